package node

import (
	"runtime"
	"testing"

	"harrierramp/internal/testkit"
)

// An endpoint that accepts calls and never responds costs each call its timeout and no more: slots, connections
// and goroutines are released, and the messages end.
func TestSilentEndpointLeaksNothing(t *testing.T) {
	p, r := testkit.NewPartner(t, testkit.NeverRespond), newFakeDiscovery(t)
	before := runtime.NumGoroutine()
	addr, adminAddr, stop := startNodeWithAdmin(t, r, t.TempDir(), memberJSON("e", p.Addr(), 7, "SERVING"))
	for _, id := range []string{"a", "b", "c"} {
		mustAnswer(t, addr, testkit.EnqueueRequest(id, "c=payout,d=700,dest=7", ""), "+OK")
	}
	for _, id := range []string{"a", "b", "c"} {
		testkit.Eventually(t, "the end of "+id, func() bool { return r.noticeState(id) != "" })
	}
	mustMetric(t, adminAddr, "router.active", "0|g")
	stop()
	// The goroutines of the partner and of the fake discovery end with their connections.
	testkit.Eventually(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= before+2 })
}
