package egress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/testkit"
)

// hookedConn is a connection that calls onPastDeadline when its read is interrupted by a deadline in the past.
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

// Guards against writing a request to an idle connection that the endpoint closes, resets or writes to at the moment
// that the connection is taken from the pool. Such a call must use a new connection.
func TestTakeIdleDetectsPeerActivity(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(far *net.TCPConn) error
		good bool
	}{
		"nothing":          {func(*net.TCPConn) error { return nil }, true},
		"a close":          {func(far *net.TCPConn) error { return far.CloseWrite() }, false},
		"a partial line":   {func(far *net.TCPConn) error { _, err := io.WriteString(far, "HTTP/1."); return err }, false},
		"a whole response": {func(far *net.TCPConn) error { _, err := io.WriteString(far, testkit.DeliveredResponse); return err }, false},
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

// Guards against taking a second copy of a response, or other bytes that an endpoint sends straight after one, for the
// response to the next call. The first call must succeed, and the second one must get its own outcome.
func TestBytesAfterResponseAreNotTheNextResponse(t *testing.T) {
	for name, extra := range map[string]string{
		"a second copy": testkit.DeliveredResponse, "a partial line": "HTTP/1.", "noise": "\r\n\x00garbage\r\n\r\n",
		"an informational response": "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		for _, delay := range []time.Duration{0, 200 * time.Microsecond, time.Millisecond, settleTime / 2} {
			t.Run(fmt.Sprintf("%s after %v", name, delay), func(t *testing.T) {
				const tries = 50
				for range tries {
					if playExtraBytes(t, extra, delay) {
						return
					}
				}
				t.Errorf("no verdict: in %d tries the endpoint never sent its bytes within %v", tries, settleTime)
			})
		}
	}
}

// playExtraBytes makes two calls. The endpoint sends extra bytes after its first response. It returns false if the
// endpoint was held up and sent them later than straight after the response.
func playExtraBytes(t *testing.T, extra string, delay time.Duration) (inTime bool) {
	var calls atomic.Int64
	took := make(chan time.Duration, 1)
	p := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
		if calls.Add(1) > 1 {
			_, err := io.WriteString(nc, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		began := time.Now()
		if _, err := io.WriteString(nc, testkit.DeliveredResponse); err != nil {
			t.Error(err)
		}
		for time.Since(began) < delay { // a sleep would be too long
			runtime.Gosched()
		}
		_, err := io.WriteString(nc, extra)
		took <- time.Since(began)
		return err == nil
	})
	pool, e := testPool(), endpointAt(p.Addr())
	defer pool.Close()
	first := pool.Do(t.Context(), testCall(e))
	second := pool.Do(t.Context(), testCall(e))
	if <-took >= settleTime {
		return false
	}
	if first.Outcome != choice.Success {
		t.Errorf("first call: %+v", first)
	}
	if second.Outcome != choice.ServerError || second.Reused {
		t.Errorf("second call: %+v", second)
	}
	return true
}

// A connection that has settled is preferred, and calls in a row use one connection.
func TestSettledConnsAreReused(t *testing.T) {
	p := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse))
	pool, e := testPool(), endpointAt(p.Addr())
	defer pool.Close()
	for range 10 {
		if res := pool.Do(t.Context(), testCall(e)); res.Outcome != choice.Success {
			t.Errorf("%+v", res)
		}
	}
	if calls, conns := p.Counts(); calls != 10 || conns != 1 {
		t.Errorf("%d calls on %d connections", calls, conns)
	}
}

// A response that starts and never ends must not hold its slot for long. It counts as delivered if its status line has
// 200, and proves nothing otherwise.
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
			case <-ended: // the endpoint's slot is free again
			case <-time.After(testkit.WaitTimeout):
				t.Error("the connection stays open")
			}
		})
	}
}

// A call that is cancelled after a status line with 200, before the rest of the response, must count as delivered.
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
	if k.limitReader.N = maxResponseHeaderBytes; !k.peekStatusOK() { // the status line is buffered
		t.Fatal("the status line was not recognized")
	}
	leave()
	if got, reuse, err := k.readResponse(); got.Outcome != choice.Success || !got.MessageDone || reuse || err != nil {
		t.Errorf("%+v, reuse %v, %v", got, reuse, err)
	}
}

// newFullPool returns a pool with a single connection slot, which a call holds until release is called.
func newFullPool(t *testing.T, dial time.Duration) (pool *Pool, release func()) {
	t.Helper()
	entered, proceed := make(chan struct{}), make(chan struct{})
	p := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
		close(entered)
		<-proceed
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	pool = NewPool(nil, dial, time.Minute, 16, 1, new(atomic.Int64))
	t.Cleanup(pool.Close)
	go pool.Do(t.Context(), testCall(&Endpoint{ID: "holder", Addr: p.Addr(), Cooldown: new(Cooldown)}))
	<-entered
	return pool, func() { close(proceed) }
}

// Conditions may change while a call waits for its connection. The request must announce the time that is left when it
// is written, and a call that has become forbidden meanwhile must not be sent.
func TestConditionsRecheckedAfterDial(t *testing.T) {
	const wait = 300 * time.Millisecond
	for name, c := range map[string]struct {
		change func(*Call)
		sent   bool
	}{
		"only time has passed":       {func(*Call) {}, true},
		"the endpoint is drained":    {func(c *Call) { c.Endpoint.Withdrawn.Store(true) }, false},
		"the endpoint is disabled":   {func(c *Call) { c.Endpoint.Disabled.Store(true) }, false},
		"a cooldown has started":     {func(c *Call) { c.Endpoint.Cooldown.Extend(time.Now().Add(time.Minute)) }, false},
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
			time.Sleep(wait) // the elapsed time is what the test needs
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
			expiresIn := p.Next(t).Header.Get("X-Expires-In")
			if ms, err := strconv.Atoi(strings.TrimSuffix(expiresIn, "m")); err != nil || ms > int((5*time.Second-wait).Milliseconds()) {
				t.Errorf("X-Expires-In is %q after %v of 5 s", expiresIn, wait)
			}
		})
	}
}

// Waiting for a slot and dialing must together stay within the dial timeout, because the latest start of a repeated
// call is computed from it. A dial that times out after a long wait for its slot must not count as a failure of the
// endpoint.
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
	if got := pool.Do(t.Context(), call); got.Outcome != choice.ConnectFailed { // with the whole timeout for the dial
		t.Errorf("%+v", got)
	}
}

// A connection must not be kept idle after its call if its endpoint was blocked or the pool closed during the call.
func TestUnusableConnIsNotKept(t *testing.T) {
	for name, change := range map[string]func(*Pool, *Endpoint){
		"the endpoint is withdrawn": func(pool *Pool, e *Endpoint) {
			e.Withdrawn.Store(true)
			pool.CloseIdle(e.ID)
		},
		"the endpoint is disabled": func(pool *Pool, e *Endpoint) {
			e.Disabled.Store(true)
			pool.CloseIdle(e.ID)
		},
		"the pool is closed": func(pool *Pool, _ *Endpoint) { pool.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			entered, proceed, ended := make(chan struct{}), make(chan struct{}), make(chan error, 1)
			p := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
				close(entered)
				<-proceed
				io.WriteString(nc, testkit.DeliveredResponse)
				_, err := bufio.NewReader(nc).ReadByte()
				ended <- err
				return false
			})
			pool, e := testPool(), endpointAt(p.Addr())
			defer pool.Close()
			res := make(chan Result)
			go func() { res <- pool.Do(t.Context(), testCall(e)) }()
			<-entered
			change(pool, e)
			close(proceed)
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

// A call that ends or is cancelled during its dial must neither keep its connection slot nor leave the dial running.
func TestAbandonedDialReleasesSlot(t *testing.T) {
	addr := testkit.UnresponsiveAddr(t)
	for name, end := range map[string]func(cancel context.CancelFunc, pool *Pool, c *Call){
		"call cancelled":     func(cancel context.CancelFunc, _ *Pool, _ *Call) { cancel() },
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
			testkit.Eventually(t, "the dial is in progress", func() bool { return testkit.CountPendingDials(t, addr) == 1 })
		}
		end(cancel, pool, &call)
		if got := <-res; got.Outcome != choice.ConnectFailed && got.Outcome != choice.NotSent {
			t.Errorf("%s: %+v", name, got)
		}
		if n := len(pool.connSem); n != 0 {
			t.Errorf("%s: %d connection slots are taken", name, n)
		}
		testkit.Eventually(t, "no dial is in progress", func() bool { return testkit.CountPendingDials(t, addr) == 0 })
		cancel()
		pool.Close()
	}
}
