package egress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/testkit"
)

// calledBack is a connection that has something come in the moment in which the watch on it is called back.
type hookedConn struct {
	*net.TCPConn
	onPastDeadline func()
}

func (c hookedConn) SetReadDeadline(at time.Time) error {
	err := c.TCPConn.SetReadDeadline(at)
	if !at.IsZero() && time.Until(at) < 0 {
		c.onPastDeadline()
	}
	return err
}

// What comes on an idle connection as it is taken, be it an end, a reset or a stray byte, is met before a request is
// written to it: the call goes over a new one.
func TestTakeIdleDetectsPeerActivity(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(far *net.TCPConn) error
		good bool
	}{
		"nothing":          {func(*net.TCPConn) error { return nil }, true},
		"its end":          {func(far *net.TCPConn) error { return far.CloseWrite() }, false},
		"half a line":      {func(far *net.TCPConn) error { _, err := io.WriteString(far, "HTTP/1."); return err }, false},
		"an answer to all": {func(far *net.TCPConn) error { _, err := io.WriteString(far, testkit.DeliveredResponse); return err }, false},
		"a reset": {func(far *net.TCPConn) error {
			far.SetLinger(0)
			return far.Close()
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			conns := make(chan *net.TCPConn, 4)
			p := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
				conns <- nc.(*net.TCPConn)
				_, err := io.WriteString(nc, testkit.DeliveredResponse)
				return err == nil
			})
			pool, e := testPool(), endpointAt(p.Addr())
			defer pool.Close()
			if res := pool.Do(t.Context(), testCall(e)); res.Outcome != choice.Success {
				t.Fatalf("%+v", res)
			}
			far := <-conns
			pool.mu.Lock()
			k := pool.idleConns[e.ID][0]
			near := k.Conn.(*net.TCPConn)
			k.Conn = hookedConn{near, func() {
				if err := c.act(far); err != nil {
					t.Error(err)
				}
				if !c.good {
					testkit.WaitForPendingData(t, near)
				}
			}}
			pool.mu.Unlock()
			res := pool.Do(t.Context(), testCall(e))
			if res.Outcome != choice.Success || res.Reused != c.good {
				t.Errorf("%+v", res)
			}
			if _, n := p.Counts(); c.good != (n == 1) {
				t.Errorf("%d connections", n)
			}
		})
	}
}

// An answer that has begun holds its slot no longer than it is worth: what says delivered has said it with its first
// line, and what says nothing to the end proves nothing.
func TestEndlessResponsesReleaseSlot(t *testing.T) {
	const patience = 20 * time.Second
	for text, want := range map[string]choice.Outcome{
		"HTTP/1.1 200 OK\r\n":                                              choice.Success,
		"HTTP/1.1 200 OK\r\nX-A: b":                                        choice.Success,
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nab":                  choice.Success,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n": choice.Success,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":      choice.Success,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n":                 choice.Success,
		"H":                               choice.ConnReset,
		"HTTP/1.1 20":                     choice.ConnReset,
		"HTTP/1.1 503 Busy\r\nContent-Le": choice.ConnReset,
		"HTTP/1.1 503 Busy\r\nContent-Length: 10\r\n\r\nab":                choice.ConnReset,
		"HTTP/1.1 429 Wait\r\nRetry-After: 1\r\nContent-Length: 5\r\n\r\n": choice.ConnReset,
		strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100):               choice.ConnReset,
	} {
		t.Run(strconv.Quote(text[:min(len(text), 50)]), func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			p := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
				io.WriteString(nc, text)
				io.Copy(io.Discard, nc)
				close(ended)
				return false
			})
			pool := testPool()
			defer pool.Close()
			call := testCall(endpointAt(p.Addr()))
			call.Deadline = time.Now().Add(patience)
			began := time.Now()
			res := pool.Do(t.Context(), call)
			if res.Outcome != want || time.Since(began) > patience/2 {
				t.Errorf("%+v after %v", res, time.Since(began))
			}
			select {
			case <-ended: // the endpoint has its slot back
			case <-time.After(testkit.WaitTimeout):
				t.Error("the connection stays open")
			}
		})
	}
}

// A process that ends before the rest of an answer that says delivered has come knows that it is.
func TestStatusOKCountsWhenCancelledMidResponse(t *testing.T) {
	p := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
		io.WriteString(nc, "HTTP/1.1 200 OK\r\n")
		return testkit.NeverRespond(nc, nil)
	})
	near, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	k := newConn(near, p.Addr(), func() {})
	ctx, leave := context.WithCancel(t.Context())
	context.AfterFunc(ctx, func() { k.Close() })
	request, err := encodeRequest(testCall(endpointAt(p.Addr())))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := near.Write(request); err != nil {
		t.Fatal(err)
	}
	testkit.WaitForPendingData(t, near.(*net.TCPConn))
	if k.limitReader.N = maxResponseHeaderBytes; !k.peekStatusOK() { // its line is read
		t.Fatal("the first line does not say delivered")
	}
	leave()
	if got, reuse, err := k.readResponse(); got.Outcome != choice.Success || !got.MessageDone || reuse || err != nil {
		t.Errorf("%+v, reuse %v, %v", got, reuse, err)
	}
}

// held is a pool with room for one connection, which a call holds until it is let go.
func newFullPool(t *testing.T, dial time.Duration) (pool *Pool, release func()) {
	t.Helper()
	inside, goOn := make(chan struct{}), make(chan struct{})
	p := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
		close(inside)
		<-goOn
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	pool = NewPool(nil, dial, time.Minute, 16, 1, new(atomic.Int64))
	t.Cleanup(pool.Close)
	go pool.Do(t.Context(), testCall(&Endpoint{ID: "holder", Addr: p.Addr(), Cooldown: new(Cooldown)}))
	<-inside
	return pool, func() { close(goOn) }
}

// While a call waits for its connection the world goes on: what it tells the endpoint of its time is what is left, and
// what is forbidden by then is not begun.
func TestConditionsRecheckedAfterDial(t *testing.T) {
	const wait = 300 * time.Millisecond
	for name, c := range map[string]struct {
		change func(*Call)
		sent   bool
	}{
		"time has passed":            {func(*Call) {}, true},
		"the endpoint is drained":    {func(c *Call) { c.Endpoint.Withdrawn.Store(true) }, false},
		"operators have taken it":    {func(c *Call) { c.Endpoint.Disabled.Store(true) }, false},
		"a wait was told":            {func(c *Call) { c.Endpoint.Cooldown.Extend(time.Now().Add(time.Minute)) }, false},
		"a repeat is no longer safe": {func(c *Call) { c.LatestStart = time.Now().Add(wait / 2) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pool, release := newFullPool(t, 10*time.Second)
			p := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse))
			call := testCall(endpointAt(p.Addr()))
			call.Deadline = time.Now().Add(5 * time.Second)
			if name == "a repeat is no longer safe" {
				c.change(&call)
			}
			res := make(chan Result)
			go func() { res <- pool.Do(t.Context(), call) }()
			time.Sleep(wait) // time that passes, whatever runs meanwhile
			if name != "a repeat is no longer safe" {
				c.change(&call)
			}
			release()
			got := <-res
			if calls, _ := p.Counts(); c.sent != (calls == 1) || c.sent != (got.Outcome == choice.Success) {
				t.Fatalf("%d calls, %+v", calls, got)
			}
			if !c.sent {
				if got.Outcome != choice.NotSent {
					t.Errorf("%+v", got)
				}
				return
			}
			told := p.Next(t).Header.Get("X-Expires-In")
			if ms, err := strconv.Atoi(strings.TrimSuffix(told, "m")); err != nil || ms > int((5*time.Second-wait).Milliseconds()) {
				t.Errorf("the endpoint is told %q, and %v of 5 s have passed", told, wait)
			}
		})
	}
}

// The wait for a place and the dial together last no longer than a dial may: when a repeat can begin at the latest is
// reckoned from that. A dial that had only what the wait for its place has left says nothing of the endpoint.
func TestSlotWaitAndDialShareTimeout(t *testing.T) {
	t.Parallel()
	const dial = 2 * time.Second
	pool, release := newFullPool(t, dial)
	call := testCall(endpointAt(testkit.UnresponsiveAddr(t)))
	call.Deadline = time.Now().Add(time.Minute)
	began := time.Now()
	res := make(chan Result)
	go func() { res <- pool.Do(t.Context(), call) }()
	time.Sleep(dial * 3 / 4)
	release()
	if got, took := <-res, time.Since(began); got.Outcome != choice.NotSent || took > dial*3/2 {
		t.Errorf("%+v after %v", got, took)
	}
	call.Deadline = time.Now().Add(time.Minute)
	if got := pool.Do(t.Context(), call); got.Outcome != choice.ConnectFailed { // with all of its time
		t.Errorf("%+v", got)
	}
}

// A connection that nobody may use any more by the time its call ends is not kept.
func TestUnusableConnIsNotKept(t *testing.T) {
	for name, change := range map[string]func(*Pool, *Endpoint){
		"the endpoint is shut": func(pool *Pool, e *Endpoint) {
			e.Withdrawn.Store(true)
			pool.CloseIdle(e.ID)
		},
		"operators have taken it out": func(pool *Pool, e *Endpoint) {
			e.Disabled.Store(true)
			pool.CloseIdle(e.ID)
		},
		"the pool is closed": func(pool *Pool, _ *Endpoint) { pool.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inside, goOn, ended := make(chan struct{}), make(chan struct{}), make(chan error, 1)
			p := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
				close(inside)
				<-goOn
				io.WriteString(nc, testkit.DeliveredResponse)
				_, err := bufio.NewReader(nc).ReadByte()
				ended <- err
				return false
			})
			pool, e := testPool(), endpointAt(p.Addr())
			defer pool.Close()
			res := make(chan Result)
			go func() { res <- pool.Do(t.Context(), testCall(e)) }()
			<-inside
			change(pool, e)
			close(goOn)
			if got := <-res; got.Outcome != choice.Success {
				t.Errorf("%+v", got)
			}
			select {
			case err := <-ended:
				if err != io.EOF {
					t.Error(err)
				}
			case <-time.After(testkit.WaitTimeout):
				t.Error("the connection is kept")
			}
		})
	}
}

// A call that ends, or is called off, while its dial does not come up leaves neither a place taken nor a dial under way.
func TestAbandonedDialReleasesSlot(t *testing.T) {
	addr := testkit.UnresponsiveAddr(t)
	for name, end := range map[string]func(cancel context.CancelFunc, pool *Pool, c *Call){
		"called off":         func(cancel context.CancelFunc, _ *Pool, _ *Call) { cancel() },
		"the pool is closed": func(_ context.CancelFunc, pool *Pool, _ *Call) { pool.Close() },
		"out of time":        func(_ context.CancelFunc, _ *Pool, _ *Call) {},
	} {
		pool, call := NewPool(nil, time.Minute, time.Minute, 16, 1, new(atomic.Int64)), testCall(endpointAt(addr))
		if name == "out of time" {
			call.Deadline = time.Now().Add(100 * time.Millisecond)
		}
		ctx, cancel := context.WithCancel(t.Context())
		res := make(chan Result)
		go func() { res <- pool.Do(ctx, call) }()
		if name != "out of time" {
			testkit.Eventually(t, "the dial is under way", func() bool { return testkit.CountPendingDials(t, addr) == 1 })
		}
		end(cancel, pool, &call)
		if got := <-res; got.Outcome != choice.ConnectFailed && got.Outcome != choice.NotSent {
			t.Errorf("%s: %+v", name, got)
		}
		if n := len(pool.connSem); n != 0 {
			t.Errorf("%s: %d places are taken", name, n)
		}
		testkit.Eventually(t, "no dial is under way", func() bool { return testkit.CountPendingDials(t, addr) == 0 })
		cancel()
		pool.Close()
	}
}
