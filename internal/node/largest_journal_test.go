package node

import (
	"fmt"
	"testing"
	"time"

	"harrierramp/internal/journal"
	"harrierramp/internal/testkit"
)

// A process that starts with the largest journal that its disk allows, of small or of large messages, is ready
// within the 10 s that the platform allows, and attempts all messages that were never attempted.
func TestLargestJournalIsReplayedWithinStartLimit(t *testing.T) {
	t.Parallel()
	for name, size := range map[string]int{"small": 1, "large": 60 << 10} {
		state := t.TempDir()
		j := openJournalAt(t, state)
		found := 0
		for ; ; found++ {
			_, err := j.Accept(&journal.Message{
				ID: fmt.Sprint("m", found), Class: 0, Tenant: -1, Dest: 7, Body: make([]byte, size), Deadline: time.Now().Add(time.Minute),
			})
			if err != nil {
				break // the journal is full
			}
			flushJournal(t, j)
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		p, r := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse)), newFakeDiscovery(t)
		began := time.Now()
		startChild(t, r, state, memberJSON("e", p.Addr(), 7, "SERVING")) // returns once the node answers PING with PONG
		took := time.Since(began)
		t.Logf("%s: %d messages found, ready after %v", name, found, took)
		if took > 10*time.Second || found < 20 {
			t.Errorf("%s: ready after %v, %d messages found", name, took, found)
		}
		seen := map[string]bool{}
		testkit.Eventually(t, "all messages are attempted", func() bool {
			select {
			case req := <-p.Received:
				seen[req.Header.Get("X-Trace-Id")] = true
			default:
			}
			return len(seen) == found
		})
	}
}
