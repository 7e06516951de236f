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

// figureOf reads one figure at a door.
func figureOf(t *testing.T, door, name string) string {
	t.Helper()
	_, body := testkit.CallAdmin(t, door, "GET", "/ops/stats")
	for line := range strings.Lines(body) {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			return strings.TrimSpace(rest)
		}
	}
	return ""
}

func mustFigure(t *testing.T, door, name, want string) {
	t.Helper()
	got := ""
	for end := time.Now().Add(testkit.WaitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if got = figureOf(t, door, name); got == want {
			return
		}
	}
	t.Errorf("%s: got %q, want %q", name, got, want)
}

// The figures say what the clients, the endpoint and the platform saw.
func TestFiguresAreWhatPeersSaw(t *testing.T) {
	t.Parallel()
	answers := make(chan string, 3)
	p, r := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(nc, <-answers)
		return err == nil
	}), newRegistry(t)
	addr, door, _ := startOperated(t, r, t.TempDir(), serving("e", p.Addr(), 7, "SERVING"), serving("f", "127.0.0.1:9", 8, "DRAINING"))
	mustFigure(t, door, "router.pool_size", "2|g")

	mustAnswer(t, addr, testkit.EnqueueRequest("a", ofStatus, ""), "+OK")
	p.Next(t)
	mustFigure(t, door, "router.active", "1|g")
	answers <- "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n" // and once more
	answers <- testkit.DeliveredResponse
	p.Next(t)
	mustFigure(t, door, "router.ok.status", "1|c")
	mustAnswer(t, addr, testkit.EnqueueRequest("b", ofPayout, ""), "+OK")
	answers <- "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n" // it may have run and must not again
	testkit.Eventually(t, "the failure is told", func() bool { return r.state("b") == "failed" })
	mustAnswer(t, addr, testkit.EnqueueRequest("c", "c=order,d=50000,dest=99", ""), "-ERR unknown destination")
	for i := range 5 { // four fit, at an endpoint that takes nothing
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
	mustFigure(t, door, "router.tries", fmt.Sprint(calls, "|c"))
	mustFigure(t, door, "router.errors.payout", "1|c")
	mustFigure(t, door, "router.errors.order", "1|c")
	mustFigure(t, door, "router.ok.payout", "0|c")
	shed, active := 0, 0
	fmt.Sscanf(figureOf(t, door, "router.shed.status"), "%d|c", &shed)
	fmt.Sscanf(figureOf(t, door, "router.active"), "%d|g", &active)
	if shed+active != 5 || active == 0 || shed == 0 {
		t.Errorf("of five messages %d were shed and %d are held", shed, active)
	}
}
