package egress

import (
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

func endpointAt(addr string) *Endpoint {
	return &Endpoint{ID: "e", Addr: addr, Cooldown: new(Cooldown)}
}

func testPool() *Pool { return NewPool(nil, 2*time.Second, time.Minute, 16, 64, new(atomic.Int64)) }

func testCall(e *Endpoint) Call {
	return Call{ID: "9b1f03aa5c7e2d41", Key: "5c0f", Body: []byte("body\x00"), Endpoint: e, Deadline: time.Now().Add(testkit.WaitTimeout)}
}

func TestResponseOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, says string
		want       Result
	}{
		{"delivered", testkit.DeliveredResponse, Result{Outcome: choice.Success, MessageDone: true}},
		{"delivered with a load report", "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: x0=0.4,x1=25\r\nContent-Length: 0\r\n\r\n",
			Result{Outcome: choice.Success, MessageDone: true, Report: choice.LimitReport{Left: 0.4, Limit: 25, HasLeft: true, HasLimit: true}}},
		{"malformed load report", "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: x0=often,,x1=NaN\r\nContent-Length: 0\r\n\r\n",
			Result{Outcome: choice.Success, MessageDone: true}},
		{"after a 1xx", "HTTP/1.1 103 Early Hints\r\n\r\n" + testkit.DeliveredResponse, Result{Outcome: choice.Success, MessageDone: true}},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", Result{Outcome: choice.ServerError}},
		{"rejected with Retry-After", "HTTP/1.1 429 No\r\nRetry-After: 0.35\r\nContent-Length: 0\r\n\r\n",
			Result{Outcome: choice.Rejected, RetryAfter: 350 * time.Millisecond}},
		{"rejected without Retry-After", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", Result{Outcome: choice.Rejected}},
		{"no slot", "HTTP/1.1 503 No\r\nX-Line-Busy: 1\r\nContent-Length: 0\r\n\r\n", Result{Outcome: choice.NotSent, NoSlot: true}},
		{"all attempts used", "HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n", Result{Outcome: choice.NotSent}},
		{"over", "HTTP/1.1 410 No\r\nContent-Length: 0\r\n\r\n", Result{Outcome: choice.NotSent, MessageDone: true}},
		{"unknown status", "HTTP/1.1 418 No\r\nContent-Length: 0\r\n\r\n", Result{Outcome: choice.ServerError}},
		{"no HTTP", "what?\r\n\r\n", Result{Outcome: choice.ConnReset}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := testkit.NewPartner(t, testkit.RespondWith(c.says))
			got := testPool().Do(t.Context(), testCall(endpointAt(p.Addr())))
			if got.ResponseRead != (c.want.Outcome != choice.ConnReset) || got.WriteStart.IsZero() || got.WriteEnd.Before(got.WriteStart) {
				t.Errorf("response read %v, request written from %v to %v", got.ResponseRead, got.WriteStart, got.WriteEnd)
			}
			got.ResponseRead, got.WriteStart, got.WriteEnd = false, c.want.WriteStart, c.want.WriteEnd
			if got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestConnectionFailureOutcomes(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ln.Close()
		if got := testPool().Do(t.Context(), testCall(endpointAt(ln.Addr().String()))); got.Outcome != choice.ConnectFailed {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("broken before the last byte", func(t *testing.T) {
		near, far := net.Pipe() // unbuffered: a write returns only once it is read
		go func() {
			io.ReadFull(far, make([]byte, 10))
			far.Close()
		}()
		k, tries := &conn{Conn: near}, new(atomic.Int64)
		if got, reuse := k.roundTrip(t.Context(), []byte(strings.Repeat("x", 100)), tries); got.Outcome != choice.ConnectFailed || reuse || tries.Load() != 0 {
			t.Errorf("got %+v, reuse %v, %d requests written", got, reuse, tries.Load())
		}
	})
	t.Run("ended after the last byte", func(t *testing.T) {
		p := testkit.NewPartner(t, func(net.Conn, *http.Request) bool { return false })
		if got := testPool().Do(t.Context(), testCall(endpointAt(p.Addr()))); got.Outcome != choice.ConnReset {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("timed out", func(t *testing.T) {
		closed := make(chan bool, 1)
		p := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
			_, err := nc.Read(make([]byte, 1))
			closed <- err != nil // a call that times out closes its connection
			return false
		})
		c := testCall(endpointAt(p.Addr()))
		c.Deadline = time.Now().Add(100 * time.Millisecond)
		if got := testPool().Do(t.Context(), c); got.Outcome != choice.TimedOut || !<-closed {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("call cancelled", func(t *testing.T) {
		p := testkit.NewPartner(t, testkit.NeverRespond)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-p.Received
			cancel()
		}()
		if got := testPool().Do(ctx, testCall(endpointAt(p.Addr()))); got.Outcome != choice.Cancelled {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("deadline passed before the start", func(t *testing.T) {
		p := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse))
		c := testCall(endpointAt(p.Addr()))
		c.Deadline = time.Now().Add(-time.Second)
		if got := testPool().Do(t.Context(), c); got.Outcome != choice.NotSent {
			t.Errorf("got %+v", got)
		}
	})
}

func TestRequestHeaders(t *testing.T) {
	p := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse))
	testPool().Do(t.Context(), testCall(endpointAt(p.Addr())))
	req := p.Next(t)
	left, err := strconv.Atoi(strings.TrimSuffix(req.Header.Get("X-Expires-In"), "m"))
	if req.Method != "POST" || req.URL.Path != "/v1/messages" || req.Header.Get("X-Trace-Id") != "9b1f03aa5c7e2d41" ||
		req.Header.Get("Idempotency-Key") != "5c0f" || req.ContentLength != 5 || err != nil || left < 1 {
		t.Errorf("got %s %s %v", req.Method, req.URL, req.Header)
	}
}

// Guards against resending a request when a reused connection breaks: that could execute the call twice.
func TestNoResendOnBrokenReusedConn(t *testing.T) {
	first := true
	p := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
		if first {
			first = false
			io.WriteString(nc, testkit.DeliveredResponse)
			return true
		}
		return false
	})
	pool, e := testPool(), endpointAt(p.Addr())
	if got := pool.Do(t.Context(), testCall(e)); got.Outcome != choice.Success || got.Reused {
		t.Fatalf("got %+v", got)
	}
	if got := pool.Do(t.Context(), testCall(e)); got.Outcome != choice.ConnReset || !got.Reused {
		t.Errorf("got %+v", got)
	}
	if calls, conns := p.Counts(); calls != 2 || conns != 1 {
		t.Errorf("%d calls on %d connections", calls, conns)
	}
}

// A status line with 200 counts as delivered even if the rest of the response is lost. Any other truncated response
// must not be taken as proof of anything, in particular not that the call was not executed.
func TestTruncatedResponses(t *testing.T) {
	for text, want := range map[string]choice.Outcome{
		"HTTP/1.1 200":                  choice.Success,
		"HTTP/1.1 200 O":                choice.Success,
		"HTTP/1.1 200 OK\r\nContent-Le": choice.Success,
		"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nd21e":  choice.Success,
		"HTTP/1.1 200 OK\r\n\x00\xff\r\n\r\n":                choice.Success,
		"HTTP/1.1 20":                                        choice.ConnReset,
		"HTTP/1.1 2000 OK\r\n":                               choice.ConnReset,
		"HTTP/1.1 503 No\r\nContent-Le":                      choice.ConnReset,
		"HTTP/1.1 503 No\r\nContent-Length: 16\r\n\r\nd21e":  choice.ConnReset,
		"HTTP/1.1 429 No\r\nRetry-After: 1\r\nTransfer-Enco": choice.ConnReset,
		"\x16\x03\x01 200 OK":                                choice.ConnReset,
	} {
		p := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
			io.WriteString(nc, text)
			return false
		})
		pool := testPool()
		if got := pool.Do(t.Context(), testCall(endpointAt(p.Addr()))); got.Outcome != want || got.MessageDone != (want == choice.Success) {
			t.Errorf("%q: got %+v", text, got)
		}
		if pool.idleCount != 0 {
			t.Errorf("%q: the connection was kept", text)
		}
	}
}

// An idle connection that the endpoint closes must be dropped: a request written to it would fail with a reset.
func TestRemoteCloseDropsIdleConn(t *testing.T) {
	p := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
		io.WriteString(nc, testkit.DeliveredResponse)
		return false
	})
	pool, e := testPool(), endpointAt(p.Addr())
	for range 3 {
		if got := pool.Do(t.Context(), testCall(e)); got.Outcome != choice.Success {
			t.Fatalf("got %+v", got)
		}
		testkit.Eventually(t, "the closed connection is dropped", func() bool {
			pool.mu.Lock()
			defer pool.mu.Unlock()
			return pool.idleCount == 0
		})
	}
}

func TestIdleConnTimesOut(t *testing.T) {
	p := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse))
	pool, e := NewPool(nil, time.Second, 20*time.Millisecond, 16, 64, new(atomic.Int64)), endpointAt(p.Addr())
	pool.Do(t.Context(), testCall(e))
	testkit.Eventually(t, "the idle connection is dropped", func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return pool.idleCount == 0
	})
}

func TestCloseIdle(t *testing.T) {
	p := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse))
	pool, e := testPool(), endpointAt(p.Addr())
	pool.Do(t.Context(), testCall(e))
	pool.CloseIdle(e.ID)
	pool.Do(t.Context(), testCall(e))
	if calls, conns := p.Counts(); calls != 2 || conns != 2 {
		t.Errorf("%d calls on %d connections", calls, conns)
	}
	pool.Close()
	if pool.idleCount != 0 {
		t.Error("idle connections are kept after Close")
	}
}

// A connection with bytes after the response must not be reused: they would be taken for the next call's response.
func TestConnWithExtraBytesIsNotReused(t *testing.T) {
	p := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse+"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"))
	pool, e := testPool(), endpointAt(p.Addr())
	for range 3 {
		if got := pool.Do(t.Context(), testCall(e)); got.Outcome != choice.Success {
			t.Errorf("got %+v", got)
		}
	}
}

// A drain or cooldown that starts between the decision to call and the first byte must prevent the call.
func TestNoCallToBlockedEndpoint(t *testing.T) {
	p := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse))
	drained, waiting := endpointAt(p.Addr()), endpointAt(p.Addr())
	drained.Withdrawn.Store(true)
	waiting.Cooldown.Extend(time.Now().Add(time.Hour))
	for _, e := range []*Endpoint{drained, waiting} {
		if got := testPool().Do(t.Context(), testCall(e)); got.Outcome != choice.NotSent {
			t.Errorf("got %+v", got)
		}
	}
	if calls, _ := p.Counts(); calls != 0 {
		t.Errorf("%d calls", calls)
	}
}

// When all connection slots are taken, a call must close an idle connection or wait for a slot. If none becomes free,
// the call is reported as not sent, rather than as a failure of the endpoint.
func TestCallsStayWithinConnLimit(t *testing.T) {
	p, q := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse)), testkit.NewPartner(t, testkit.NeverRespond)
	pool := NewPool(nil, 50*time.Millisecond, time.Minute, 16, 1, new(atomic.Int64))
	e, f := endpointAt(p.Addr()), &Endpoint{ID: "f", Addr: q.Addr(), Cooldown: new(Cooldown)}
	if got := pool.Do(t.Context(), testCall(e)); !got.MessageDone {
		t.Fatalf("got %+v", got)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { // takes the slot of the idle connection
		defer close(done)
		pool.Do(ctx, testCall(f))
	}()
	q.Next(t)
	if got := pool.Do(t.Context(), testCall(e)); got.Outcome != choice.NotSent {
		t.Errorf("got %+v", got)
	}
	cancel()
	<-done
	if got := pool.Do(t.Context(), testCall(e)); !got.MessageDone {
		t.Errorf("after the slot was released: got %+v", got)
	}
}
