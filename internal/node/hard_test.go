package node

import (
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
)

// A request that comes cut at any byte is one request, and what follows it in the same piece is the next.
func TestRequestCutAtAnyByte(t *testing.T) {
	handed := make(chan request, 1)
	_, addr := serveTest(t, 4, func(q request) answer {
		handed <- q
		return answer{}
	})
	text := enqueue("id", "c=notice,t=acme,d=8000,dest=7", "bo\r\ndy")
	nc, br := dialTest(t, addr)
	for cut := 1; cut < len(text); cut++ {
		if _, err := io.WriteString(nc, text[:cut]); err != nil {
			t.Fatal(err)
		}
		runtime.Gosched() // the pieces may still come as one; most don't
		mustSay(t, nc, br, text[cut:], "+OK")
		if q := <-handed; string(q.body) != "bo\r\ndy" || q.id != "id" || q.dest != 7 {
			t.Fatalf("cut at %d: got %+v", cut, q)
		}
	}
	mustSay(t, nc, br, text+resp("PING"), "+OK")
	<-handed
	if line, err := br.ReadString('\n'); line != "+PONG\r\n" {
		t.Errorf("got %q, %v", line, err)
	}
}

// Clients walk away inside a request, or before its answer: nothing of half a request is taken on, the whole one
// is, once, and the places are free again.
func TestClientsThatWalkAway(t *testing.T) {
	handed, answers := make(chan request, 100), make(chan struct{})
	c, addr := serveTest(t, 4, func(q request) answer {
		handed <- q
		<-answers
		return answer{}
	})
	text := enqueue("id", "c=notice,t=acme,d=8000,dest=7", strings.Repeat("x", 100))
	for cut := 0; cut < len(text); cut += 7 {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(nc, text[:cut]); err != nil {
			t.Fatal(err)
		}
		nc.Close()
	}
	nc, _ := dialTest(t, addr)
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	if q := <-handed; q.id != "id" {
		t.Errorf("%q was handed in", q.id)
	}
	nc.Close()
	close(answers)
	eventually(t, "the places are free", func() bool { return c.count() == 0 && len(c.room) == 0 })
	if len(handed) != 0 {
		t.Errorf("%d messages beside the whole one", len(handed))
	}
}

// An endpoint that takes calls and says nothing costs each its time-out and no more: slots, connections and
// goroutines come back, and the messages get their ends.
func TestSilentEndpointLeavesNothingBehind(t *testing.T) {
	p, r := newPartner(t, silent), newRegistry(t)
	before := runtime.NumGoroutine()
	addr, door, stop := startOperated(t, r, t.TempDir(), serving("e", p.addr(), 7, "SERVING"))
	for _, id := range []string{"a", "b", "c"} {
		mustAnswer(t, addr, enqueue(id, "c=payout,d=700,dest=7", ""), "+OK")
	}
	for _, id := range []string{"a", "b", "c"} {
		eventually(t, "the end of "+id, func() bool { return r.state(id) != "" })
	}
	mustFigure(t, door, "router.active", "0|g")
	stop()
	// The partner's and the registry's own end when their connections do.
	eventually(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= before+2 })
}
