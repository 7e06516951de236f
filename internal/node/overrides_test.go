package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"harrierramp/internal/testkit"
)

// An endpoint out by hand gets nothing: not by a list that drops and returns it, not after a restart; two calls out
// need one call back.
func TestDisabledEndpointGetsNoCalls(t *testing.T) {
	t.Parallel()
	p, r, state := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse)), newFakeDiscovery(t), t.TempDir()
	e := memberJSON("e", p.Addr(), 7, "SERVING")
	addr, adminAddr, stop := startNodeWithAdmin(t, r, state, e)
	testkit.MustCallAdmin(t, adminAddr, "PUT", "/ops/endpoints/down?id=nobody", 404)
	testkit.MustCallAdmin(t, adminAddr, "PUT", "/ops/endpoints/up?id=nobody", 404)
	testkit.MustCallAdmin(t, adminAddr, "PUT", "/ops/endpoints/down?id=e", 204)
	testkit.MustCallAdmin(t, adminAddr, "PUT", "/ops/endpoints/down?id=e", 204)
	mustMetric(t, adminAddr, "router.pool_ejected", "1|g")
	mustAnswer(t, addr, testkit.EnqueueRequest("a", statusFields, ""), "+OK")
	r.publish(listJSON(2, true))
	mustMetric(t, adminAddr, "router.pool_size", "0|g")
	r.publish(listJSON(3, true, e))
	mustMetric(t, adminAddr, "router.pool_size", "1|g")
	mustMetric(t, adminAddr, "router.pool_ejected", "1|g")
	stop()

	addr, adminAddr, _ = startNodeWithAdmin(t, r, state, e)
	mustMetric(t, adminAddr, "router.pool_ejected", "1|g")
	mustAnswer(t, addr, testkit.EnqueueRequest("b", statusFields, ""), "+OK")
	if calls, _ := p.Counts(); calls != 0 {
		t.Fatalf("%d calls at an endpoint that is out", calls)
	}
	testkit.MustCallAdmin(t, adminAddr, "PUT", "/ops/endpoints/up?id=e", 204)
	p.Next(t)
	p.Next(t)
	mustMetric(t, adminAddr, "router.pool_ejected", "0|g")
	testkit.MustCallAdmin(t, adminAddr, "PUT", "/ops/endpoints/up?id=e", 204)
}

// A change that can't be made to last gets a no, and is not in force.
func TestCommandThatCannotBeStoredIsRefused(t *testing.T) {
	t.Parallel()
	p, r, state := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse)), newFakeDiscovery(t), t.TempDir()
	addr, adminAddr, _ := startNodeWithAdmin(t, r, state, memberJSON("e", p.Addr(), 7, "SERVING"))
	if err := os.MkdirAll(filepath.Join(state, overridesFileName+".new", "x"), 0o700); err != nil { // nothing can be written there
		t.Fatal(err)
	}
	testkit.MustCallAdmin(t, adminAddr, "PUT", "/ops/endpoints/down?id=e", 503)
	testkit.MustCallAdmin(t, adminAddr, "PUT", "/ops/drain/start", 503)
	mustAnswer(t, addr, testkit.EncodeRESP("PING"), "+PONG")
	mustAnswer(t, addr, testkit.EnqueueRequest("a", statusFields, ""), "+OK")
	p.Next(t)
}

// While drained, PING says no and connections end between requests, never over one; what was taken on is
// delivered. The end of the drain undoes all of it.
func TestDrainClosesConnectionsBetweenRequests(t *testing.T) {
	t.Parallel()
	answer := make(chan struct{})
	p := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
		<-answer
		_, err := io.WriteString(nc, testkit.DeliveredResponse)
		return err == nil
	})
	r := newFakeDiscovery(t)
	addr, adminAddr, _ := startNodeWithAdmin(t, r, t.TempDir(), memberJSON("e", p.Addr(), 7, "SERVING"))
	mustAnswer(t, addr, testkit.EnqueueRequest("a", statusFields, ""), "+OK")
	p.Next(t)
	idle, idleR := testkit.Dial(t, addr)
	testkit.MustExchange(t, idle, idleR, testkit.EncodeRESP("PING"), "+PONG")
	half, halfR := testkit.Dial(t, addr)
	text := testkit.EnqueueRequest("b", statusFields, "")
	if _, err := io.WriteString(half, text[:20]); err != nil {
		t.Fatal(err)
	}

	testkit.MustCallAdmin(t, adminAddr, "PUT", "/ops/drain/start", 204)
	if got := testkit.Exchange(t, addr, testkit.EncodeRESP("PING")); got == "+PONG" {
		t.Fatal("a drained node says yes")
	}
	testkit.MustExchange(t, half, halfR, text[20:], "+OK") // under way at the call
	for _, br := range []*bufio.Reader{idleR, halfR} {
		if b, err := br.ReadByte(); err != io.EOF {
			t.Errorf("got %q, %v and no close", b, err)
		}
	}
	late, lateR := testkit.Dial(t, addr) // one that came all the same is served, and ends
	testkit.MustExchange(t, late, lateR, testkit.EnqueueRequest("c", statusFields, ""), "+OK")
	if b, err := lateR.ReadByte(); err != io.EOF {
		t.Errorf("got %q, %v and no close", b, err)
	}
	close(answer)
	mustMetric(t, adminAddr, "router.ok.status", "3|c")

	testkit.MustCallAdmin(t, adminAddr, "PUT", "/ops/drain/stop", 204)
	nc, br := testkit.Dial(t, addr)
	testkit.MustExchange(t, nc, br, testkit.EncodeRESP("PING"), "+PONG")
	testkit.MustExchange(t, nc, br, testkit.EnqueueRequest("d", statusFields, ""), "+OK")
	testkit.MustExchange(t, nc, br, testkit.EncodeRESP("PING"), "+PONG")
	mustMetric(t, adminAddr, "router.ok.status", "4|c")
}

// A drain is over with the node that was told of it; what was taken out is not.
func TestRestartEndsDrain(t *testing.T) {
	t.Parallel()
	r, state := newFakeDiscovery(t), t.TempDir()
	_, adminAddr, stop := startNodeWithAdmin(t, r, state, drainingMember())
	testkit.MustCallAdmin(t, adminAddr, "PUT", "/ops/drain/start", 204)
	stop()
	addr, _, _ := startNodeWithAdmin(t, r, state, drainingMember())
	mustAnswer(t, addr, testkit.EncodeRESP("PING"), "+PONG")
}

// A connection whose wait for a request is ended is looked at once more before it is closed: one that has come by
// then is read.
