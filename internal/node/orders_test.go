package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
)

// An endpoint out by hand gets nothing: not by a list that drops and returns it, not after a restart; two calls out
// need one call back.
func TestEndpointOutByHand(t *testing.T) {
	t.Parallel()
	p, r, state := newPartner(t, says(delivered)), newRegistry(t), t.TempDir()
	e := serving("e", p.addr(), 7, "SERVING")
	addr, door, stop := startOperated(t, r, state, e)
	mustOperate(t, door, "PUT", "/ops/endpoints/down?id=nobody", 404)
	mustOperate(t, door, "PUT", "/ops/endpoints/up?id=nobody", 404)
	mustOperate(t, door, "PUT", "/ops/endpoints/down?id=e", 204)
	mustOperate(t, door, "PUT", "/ops/endpoints/down?id=e", 204)
	mustFigure(t, door, "router.pool_ejected", "1|g")
	mustAnswer(t, addr, enqueue("a", ofStatus, ""), "+OK")
	r.tell(listOf(2, true))
	mustFigure(t, door, "router.pool_size", "0|g")
	r.tell(listOf(3, true, e))
	mustFigure(t, door, "router.pool_size", "1|g")
	mustFigure(t, door, "router.pool_ejected", "1|g")
	stop()

	addr, door, _ = startOperated(t, r, state, e)
	mustFigure(t, door, "router.pool_ejected", "1|g")
	mustAnswer(t, addr, enqueue("b", ofStatus, ""), "+OK")
	if calls, _ := p.counts(); calls != 0 {
		t.Fatalf("%d calls at an endpoint that is out", calls)
	}
	mustOperate(t, door, "PUT", "/ops/endpoints/up?id=e", 204)
	p.next(t)
	p.next(t)
	mustFigure(t, door, "router.pool_ejected", "0|g")
	mustOperate(t, door, "PUT", "/ops/endpoints/up?id=e", 204)
}

// A change that can't be made to last gets a no, and is not in force.
func TestOrderThatCannotLastIsRefused(t *testing.T) {
	t.Parallel()
	p, r, state := newPartner(t, says(delivered)), newRegistry(t), t.TempDir()
	addr, door, _ := startOperated(t, r, state, serving("e", p.addr(), 7, "SERVING"))
	if err := os.MkdirAll(filepath.Join(state, ordersName+".new", "x"), 0o700); err != nil { // nothing can be written there
		t.Fatal(err)
	}
	mustOperate(t, door, "PUT", "/ops/endpoints/down?id=e", 503)
	mustOperate(t, door, "PUT", "/ops/drain/start", 503)
	mustAnswer(t, addr, resp("PING"), "+PONG")
	mustAnswer(t, addr, enqueue("a", ofStatus, ""), "+OK")
	p.next(t)
}

// While drained, PING says no and connections end between requests, never over one; what was taken on is
// delivered. The end of the drain undoes all of it.
func TestDrain(t *testing.T) {
	t.Parallel()
	answer := make(chan struct{})
	p := newPartner(t, func(nc net.Conn, _ *http.Request) bool {
		<-answer
		_, err := io.WriteString(nc, delivered)
		return err == nil
	})
	r := newRegistry(t)
	addr, door, _ := startOperated(t, r, t.TempDir(), serving("e", p.addr(), 7, "SERVING"))
	mustAnswer(t, addr, enqueue("a", ofStatus, ""), "+OK")
	p.next(t)
	idle, idleR := dialTest(t, addr)
	mustSay(t, idle, idleR, resp("PING"), "+PONG")
	half, halfR := dialTest(t, addr)
	text := enqueue("b", ofStatus, "")
	if _, err := io.WriteString(half, text[:20]); err != nil {
		t.Fatal(err)
	}

	mustOperate(t, door, "PUT", "/ops/drain/start", 204)
	if got := ask(t, addr, resp("PING")); got == "+PONG" {
		t.Fatal("a drained node says yes")
	}
	mustSay(t, half, halfR, text[20:], "+OK") // under way at the call
	for _, br := range []*bufio.Reader{idleR, halfR} {
		if b, err := br.ReadByte(); err != io.EOF {
			t.Errorf("got %q, %v and no close", b, err)
		}
	}
	late, lateR := dialTest(t, addr) // one that came all the same is served, and ends
	mustSay(t, late, lateR, enqueue("c", ofStatus, ""), "+OK")
	if b, err := lateR.ReadByte(); err != io.EOF {
		t.Errorf("got %q, %v and no close", b, err)
	}
	close(answer)
	mustFigure(t, door, "router.ok.status", "3|c")

	mustOperate(t, door, "PUT", "/ops/drain/stop", 204)
	nc, br := dialTest(t, addr)
	mustSay(t, nc, br, resp("PING"), "+PONG")
	mustSay(t, nc, br, enqueue("d", ofStatus, ""), "+OK")
	mustSay(t, nc, br, resp("PING"), "+PONG")
	mustFigure(t, door, "router.ok.status", "4|c")
}

// A drain is over with the node that was told of it; what was taken out is not.
func TestDrainEndsWithARestart(t *testing.T) {
	t.Parallel()
	r, state := newRegistry(t), t.TempDir()
	_, door, stop := startOperated(t, r, state, held())
	mustOperate(t, door, "PUT", "/ops/drain/start", 204)
	stop()
	addr, _, _ := startOperated(t, r, state, held())
	mustAnswer(t, addr, resp("PING"), "+PONG")
}

// A connection whose wait for a request is ended is looked at once more before it is closed: one that has come by
// then is read.
func TestCloseDoesNotCrossARequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	far, _ := dialTest(t, ln.Addr().String())
	near, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	r := bufio.NewReader(near)
	callBack(near)
	if _, err := r.Peek(1); err == nil || lastLook(near, r, err) {
		t.Fatalf("%v, and a request where none has come", err)
	}
	callBack(near)
	if _, err := io.WriteString(far, resp("PING")); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Peek(1); err == nil || !lastLook(near, r, err) {
		t.Fatalf("%v, and a request is not seen", err)
	}
	if args, err := readCommand(r); err != nil || string(args[0]) != "PING" {
		t.Errorf("got %q, %v", args, err)
	}
	if _, err := r.Peek(1); lastLook(near, r, io.EOF) {
		t.Errorf("%v, and the end of a connection is taken for a request", err)
	}
}

func mustSay(t *testing.T, w io.Writer, br *bufio.Reader, text, want string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
	if line, err := br.ReadString('\n'); line != want+"\r\n" {
		t.Fatalf("%.60q: got %q, %v", text, fmt.Sprint(line), err)
	}
}
