// Package connlimit bounds the connections of an HTTP server to which anyone may connect. A newcomer takes the place of a
// connection that has not brought a whole request yet, so that peers which stop in the middle of one do not keep others
// out. Connections and requests take processor time that a fairqueue.Scheduler grants, since package net/http works for
// them on goroutines of its own. Heads of requests are limited by package headlimit.
package connlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	"harrierramp/internal/fairqueue"
	"harrierramp/internal/headlimit"
)

const (
	readCallCost = 15 * time.Microsecond // processor time of a read, and of waking the goroutine that waits for it
	readByteCost = time.Nanosecond       // processor time of copying a byte
)

// Limits are the bounds of a Listener.
type Limits struct {
	Open    int // connections that are open
	Serving int // connections whose goroutine has not ended, though they may be closed; at least Open
	// MaxBytes ends a connection that sends more; 0 for no bound.
	MaxBytes int
	// EvictServed has a newcomer take the place of the oldest connection if all have brought a request. Otherwise the
	// newcomer is closed.
	EvictServed bool
	ConnCost    time.Duration // processor time to accept a connection and to end it
	RequestCost time.Duration // processor time to read a request and to answer it
}

// Listener accepts connections within Limits. The http.Server that serves it has to use its ConnState, its ConnContext
// and a handler that Handler returns.
type Listener struct {
	net.Listener
	limits    Limits
	scheduler *fairqueue.Scheduler
	accepting *fairqueue.Flow // of the goroutine that accepts
	serving   chan struct{}   // holds one element for each connection whose goroutine has not ended
	closed    chan struct{}
	closeOnce sync.Once
	onRefused func()

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewListener returns a Listener that accepts connections on ln. onRefused, unless it is nil, is called for each
// connection, a newcomer or another one, that is closed because there are not enough places.
func NewListener(ln net.Listener, limits Limits, scheduler *fairqueue.Scheduler, onRefused func()) *Listener {
	if onRefused == nil {
		onRefused = func() {}
	}
	accepting := scheduler.NewFlow()
	accepting.SetClass(fairqueue.Accepting)
	return &Listener{
		Listener: ln, limits: limits, scheduler: scheduler, accepting: accepting, onRefused: onRefused,
		serving: make(chan struct{}, max(limits.Serving, limits.Open)), closed: make(chan struct{}), conns: map[*conn]struct{}{},
	}
}

// conn is an open connection.
type conn struct {
	*headlimit.Conn
	listener *Listener
	openedAt time.Time
	served   bool            // has brought a whole request
	received int             // bytes; of the goroutine that reads
	input    *fairqueue.Flow // of the goroutine that reads
	requests *fairqueue.Flow // of the goroutine that serves requests
}

// Accept is part of net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		// While connections wait to be accepted, this goroutine could run for a whole time slice, and close connections
		// for later ones before their requests are read.
		runtime.Gosched()
		select {
		case l.serving <- struct{}{}:
		case <-l.closed:
			return nil, net.ErrClosed
		}
		nc, err := l.Listener.Accept()
		if err != nil {
			<-l.serving
			return nil, err
		}
		l.accepting.Spend(l.limits.ConnCost)
		c := &conn{Conn: headlimit.NewConn(nc), listener: l, openedAt: time.Now(), input: l.scheduler.NewFlow(), requests: l.scheduler.NewFlow()}
		refused := l.admit(c)
		if refused != nil {
			l.onRefused()
			refused.Close()
		}
		if refused != c {
			return c, nil
		}
		<-l.serving
	}
}

// admit gives a connection a place. It returns the connection to close for that, or c if there is no place for it, or nil.
func (l *Listener) admit(c *conn) (refused *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limits.Open {
		if refused = l.victim(); refused == nil {
			return c
		}
	}
	l.conns[c] = struct{}{}
	return refused
}

// victim returns the connection to close for a newcomer, or nil if there is none. The caller holds l.mu.
func (l *Listener) victim() (victim *conn) {
	for c := range l.conns {
		if (!c.served || l.limits.EvictServed) && c.isBefore(victim) {
			victim = c
		}
	}
	return victim
}

// isBefore reports whether c is to be closed for another connection before o, which may be nil.
func (c *conn) isBefore(o *conn) bool {
	switch {
	case o == nil:
		return true
	case c.served != o.served:
		return o.served
	}
	return c.openedAt.Before(o.openedAt)
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Close closes the listener and ends a wait in Accept.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// ConnState notes the end of a request, and that of a connection's goroutine.
func (l *Listener) ConnState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok {
		headlimit.Reset(c.Conn, state)
	}
	if state == http.StateClosed || state == http.StateHijacked {
		<-l.serving
	}
}

// connKey is the context key of a request's conn.
type connKey struct{}

// ConnContext adds a connection to the context of its requests.
func (l *Listener) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// Handler returns a handler that passes requests to next once there is processor time for them. A connection has brought a
// whole request when next is called for one without a body, or returns.
func (l *Listener) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.requests.Spend(l.limits.RequestCost)
		if r.ContentLength == 0 {
			c.setServed()
		}
		next.ServeHTTP(w, r)
		c.setServed()
	})
}

// setServed records that the connection has brought a whole request.
func (c *conn) setServed() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.served = true
}

// Read is part of net.Conn. It ends a connection that sends more than it may, and waits for the processor time that the
// input takes.
func (c *conn) Read(p []byte) (int, error) {
	if c.listener.limits.MaxBytes > 0 && c.received > c.listener.limits.MaxBytes {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	c.received += n
	if n > 0 {
		c.input.Spend(readCallCost + time.Duration(n)*readByteCost)
	}
	return n, err
}

// Close is part of net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
