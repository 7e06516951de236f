package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"harrierramp/internal/testkit"
)

// metricValue returns the value of a metric from a node's admin API, or "" if it is not there.
func metricValue(t *testing.T, adminAddr, name string) string {
	t.Helper()
	_, body := testkit.CallAdmin(t, adminAddr, "GET", "/ops/stats")
	for line := range strings.Lines(body) {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			return strings.TrimSpace(rest)
		}
	}
	return ""
}

func mustMetric(t *testing.T, adminAddr, name, want string) {
	t.Helper()
	got := ""
	for end := time.Now().Add(testkit.WaitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if got = metricValue(t, adminAddr, name); got == want {
			return
		}
	}
	t.Errorf("%s: got %q, want %q", name, got, want)
}

// The metrics agree with what the clients, the endpoint and the platform observed.
func TestMetricsMatchWhatPeersSaw(t *testing.T) {
	t.Parallel()
	answers := make(chan string, 3)
	p, r := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(nc, <-answers)
		return err == nil
	}), newFakeDiscovery(t)
	addr, adminAddr, _ := startNodeWithAdmin(t, r, t.TempDir(), memberJSON("e", p.Addr(), 7, "SERVING"), memberJSON("f", "127.0.0.1:9", 8, "DRAINING"))
	mustMetric(t, adminAddr, "router.pool_size", "2|g")

	mustAnswer(t, addr, testkit.EnqueueRequest("a", statusFields, ""), "+OK")
	p.Next(t)
	mustMetric(t, adminAddr, "router.active", "1|g")
	answers <- "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n" // then the retry
	answers <- testkit.DeliveredResponse
	p.Next(t)
	mustMetric(t, adminAddr, "router.ok.status", "1|c")
	mustAnswer(t, addr, testkit.EnqueueRequest("b", payoutFields, ""), "+OK")
	// The message may have been delivered and must not be sent again.
	answers <- "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"
	testkit.Eventually(t, "the notice of the failure arrives", func() bool { return r.noticeState("b") == "failed" })
	mustAnswer(t, addr, testkit.EnqueueRequest("c", "c=order,d=50000,dest=99", ""), "-ERR unknown destination")
	for i := range 5 { // four fit; their endpoint is draining and gets no calls
		want := "+OK"
		if i == 4 {
			want = "-BUSY"
		}
		got := testkit.Exchange(t, addr, testkit.EnqueueRequest(fmt.Sprint("h", i), "c=status,d=50000,dest=8", ""))
		if !strings.HasPrefix(got, want) && i < 3 {
			t.Fatalf("message %d: got %q", i, got)
		}
	}
	calls, _ := p.Counts()
	mustMetric(t, adminAddr, "router.tries", fmt.Sprint(calls, "|c"))
	mustMetric(t, adminAddr, "router.errors.payout", "1|c")
	mustMetric(t, adminAddr, "router.errors.order", "1|c")
	mustMetric(t, adminAddr, "router.ok.payout", "0|c")
	shed, active := 0, 0
	fmt.Sscanf(metricValue(t, adminAddr, "router.shed.status"), "%d|c", &shed)
	fmt.Sscanf(metricValue(t, adminAddr, "router.active"), "%d|g", &active)
	if shed+active != 5 || active == 0 || shed == 0 {
		t.Errorf("of five messages %d were shed and %d are open", shed, active)
	}
}
