package node

import (
	"log/slog"
	"testing"
	"time"

	"harrierramp/internal/ingress"
	"harrierramp/internal/journal"
	"harrierramp/internal/testkit"
)

// Setting the wall clock while a node runs must not move deadlines or deduplication windows, neither in this
// process nor in the next one.
func TestWallClockStepKeepsDeadlines(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		state, began := t.TempDir(), time.Now()
		n := &Node{
			journal: openJournalAt(t, state), messages: map[string]*journal.Message{}, knownDests: map[int]bool{7: true}, clockStart: began,
			wallClock: wallClock{startedAt: began}, log: slog.New(slog.DiscardHandler),
		}
		if _, ok := n.accept(submission{Request: ingress.Request{ID: "a", Tenant: -1, Dest: 7, TTL: 50 * time.Second, ReceivedAt: began}}); !ok {
			t.Fatal("the message was not accepted")
		}
		n.journal.RecordAttempt(n.messages["a"], journal.Attempt{At: began})
		flushJournal(t, n.journal)
		deadline, sent := n.clockAt(n.messages["a"].Deadline), n.clockAt(n.messages["a"].Attempts[0].At)

		now := testkit.StepWallClock(time.Now(), step)
		n.restamp(now)
		if got := n.clockAt(n.messages["a"].Deadline); (got - deadline).Abs() > time.Millisecond {
			t.Errorf("%v: the deadline is %v later", step, got-deadline)
		}
		found := openJournalAt(t, state).Unsettled()[0]
		if left := found.Deadline.Sub(now.Round(0)); (left - 50*time.Second).Abs() > time.Second {
			t.Errorf("%v: the next process finds %v left of 50 s", step, left)
		}
		if got := found.Attempts[0].At.Sub(found.Deadline) - (sent - deadline); got.Abs() > time.Millisecond {
			t.Errorf("%v: the attempt is %v later", step, got)
		}
		if n.wallClock.stepped(now) != 0 {
			t.Errorf("%v is detected twice", step)
		}
	}
}
