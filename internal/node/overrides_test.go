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

// A disabled endpoint gets no calls, even after a list drops and returns it and after a restart. Disabling it
// twice takes only one call to enable it again.
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
		t.Fatalf("%d calls to a disabled endpoint", calls)
	}
	testkit.MustCallAdmin(t, adminAddr, "PUT", "/ops/endpoints/up?id=e", 204)
	p.Next(t)
	p.Next(t)
	mustMetric(t, adminAddr, "router.pool_ejected", "0|g")
	testkit.MustCallAdmin(t, adminAddr, "PUT", "/ops/endpoints/up?id=e", 204)
}

// A command that cannot be stored is refused and does not take effect.
func TestCommandThatCannotBeStoredIsRefused(t *testing.T) {
	t.Parallel()
	p, r, state := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse)), newFakeDiscovery(t), t.TempDir()
	addr, adminAddr, _ := startNodeWithAdmin(t, r, state, memberJSON("e", p.Addr(), 7, "SERVING"))
	// Makes writing the file fail.
	if err := os.MkdirAll(filepath.Join(state, overridesFileName+".new", "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	testkit.MustCallAdmin(t, adminAddr, "PUT", "/ops/endpoints/down?id=e", 503)
	testkit.MustCallAdmin(t, adminAddr, "PUT", "/ops/drain/start", 503)
	mustAnswer(t, addr, testkit.EncodeRESP("PING"), "+PONG")
	mustAnswer(t, addr, testkit.EnqueueRequest("a", statusFields, ""), "+OK")
	p.Next(t)
}

// While the node is drained, PING is refused and connections are closed between requests, never during one.
// Accepted messages are delivered. Ending the drain undoes all of that.
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
		t.Fatal("a drained node answers PING with PONG")
	}
	testkit.MustExchange(t, half, halfR, text[20:], "+OK") // the request was in progress when the drain began
	for _, br := range []*bufio.Reader{idleR, halfR} {
		if b, err := br.ReadByte(); err != io.EOF {
			t.Errorf("got %q, %v instead of the end of the connection", b, err)
		}
	}
	late, lateR := testkit.Dial(t, addr) // a connection that is opened nevertheless is served once and closed
	testkit.MustExchange(t, late, lateR, testkit.EnqueueRequest("c", statusFields, ""), "+OK")
	if b, err := lateR.ReadByte(); err != io.EOF {
		t.Errorf("got %q, %v instead of the end of the connection", b, err)
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

// A drain ends when the node restarts, unlike the disabling of an endpoint.
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
