package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"harrierramp/internal/testkit"
)

// Guards against slots that stay taken after an upgrade that is taken back: calls that were out at the hand-over, and whose
// outcomes the successor had got before it ended, are over for the process that serves again.
func TestSlotsAreFreeAfterUpgradeIsTakenBack(t *testing.T) {
	t.Parallel()
	const rounds, calls = 3, 4 // together more than the slots
	responses := make(chan struct{})
	p, r := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
		<-responses
		_, err := io.WriteString(nc, testkit.DeliveredResponse)
		return err == nil
	}), newFakeDiscovery(t)
	node := newPlatform(t, r, memberJSON("e", p.Addr(), 7, "SERVING"))
	old := node.serve()
	submit := func(round int) {
		for i := range calls {
			mustAnswer(t, node.addr(), testkit.EnqueueRequest(fmt.Sprintf("m%d-%d", round, i), payoutFields, ""), "+OK")
			p.Next(t)
		}
	}
	for round := range rounds {
		submit(round)
		next := node.serve()
		for range calls {
			responses <- struct{}{}
		}
		mustMetric(t, next.adminAddr, "router.ok.payout", fmt.Sprintf("%d|c", calls))
		if round%2 == 0 {
			next.kill(t)
		} else if err := next.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		} else {
			<-next.exited
		}
		testkit.Eventually(t, "the old process serves again", func() bool { return old.ready(t) })
	}
	began := time.Now()
	submit(rounds)
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the calls were made %v after the upgrade was taken back", took)
	}
	close(responses)
	mustMetric(t, old.adminAddr, "router.active", "0|g")
	if made, _ := p.Counts(); made != (rounds+1)*calls {
		t.Errorf("%d calls for %d messages", made, (rounds+1)*calls)
	}
}
