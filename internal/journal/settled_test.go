package journal

import (
	"slices"
	"testing"
	"time"
)

// A start finds which settled messages were delivered or may have run, since they must not run again.
func TestSettledMessagesAreFound(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 3)
	delivered, failed, returned, untried := mustAccept(t, j, "delivered", nil), mustAccept(t, j, "failed", nil), mustAccept(t, j, "returned", nil), mustAccept(t, j, "untried", nil)
	for _, p := range []*Message{delivered, failed, returned} {
		j.RecordAttempt(p, Attempt{At: time.Now()})
	}
	j.RecordFailed(failed, 0)
	j.RecordEnded(failed, Ending{Failed: true})
	j.RecordNotExecuted(returned, 0)
	j.RecordEnded(returned, Ending{RetryAfter: time.Second})
	for _, p := range []*Message{delivered, failed, returned, untried} {
		j.RecordSettled(p)
	}
	mustFlush(t, j)
	want := []Settled{{"delivered", true, true}, {"failed", false, true}, {"returned", false, false}, {"untried", true, false}}
	if got := openTestJournal(t, dir, 3).FoundSettled; !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Journals of earlier builds do not say with a final answer whether the message may have run; its attempts do.
func TestEndingOfEarlierBuildIsRead(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 3)
	p := mustAccept(t, j, "a", nil)
	j.RecordAttempt(p, Attempt{At: time.Now()})
	ended := endedRecord(p.seq, Ending{Failed: true}, true)
	j.enqueue(ended[:len(ended)-1])
	mustFlush(t, j)
	if found := openTestJournal(t, dir, 3).Unsettled(); len(found) != 1 || !found[0].Ended.Failed || !found[0].MayHaveRun() {
		t.Errorf("got %+v", found)
	}
}
