package node

import (
	"log/slog"
	"testing"
	"time"

	"harrierramp/internal/handover"
	"harrierramp/internal/ingress"
)

// newIdleNode returns a node whose loop does not run, with a draining endpoint of destination 7.
func newIdleNode(t *testing.T) *Node {
	t.Helper()
	cfg, err := loadConfig(writeConfig(t, "127.0.0.1:1", "127.0.0.1:1", drainingMember()), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	n := New(cfg, slog.New(slog.DiscardHandler))
	events, err := n.loadState(t.Context(), handover.Ownership{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.journal.Close() })
	n.step(t.Context(), events, nil)
	return n
}

// All submissions of a message within one step get the same answer. Once, the second was answered as accepted
// while the first was refused, and the message was lost.
func TestDuplicatesInOneStepGetSameAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		life    time.Duration
		refused bool
	}{"accepted now": {10 * time.Second, false}, "past its deadline": {time.Millisecond, true}} {
		t.Run(name, func(t *testing.T) {
			n := newIdleNode(t)
			var batch []any
			var replies []chan ingress.Answer
			for range 3 {
				a := submission{
					Request: ingress.Request{ID: "x", Dest: 7, TTL: c.life, ReceivedAt: time.Now().Add(-20 * time.Millisecond)},
					reply:   make(chan ingress.Answer, 1),
				}
				batch, replies = append(batch, a), append(replies, a.reply)
			}
			n.processBatch(t.Context(), batch)
			for i, r := range replies {
				if got := <-r; got.Refused != c.refused {
					t.Errorf("submission %d of 3 got %+v", i+1, got)
				}
			}
			if open := n.messages["x"] != nil; open == c.refused {
				t.Errorf("the node has the message: %v", open)
			}
		})
	}
}
