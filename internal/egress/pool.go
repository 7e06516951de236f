// Package egress makes the HTTP calls to endpoints. Each call writes one request on one connection and has one outcome.
// The package never sends a request twice; retries are decided elsewhere.
package egress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/connreuse"
	"harrierramp/internal/transient"
)

// The Transport of net/http is not used for calls, because it treats a request with an Idempotency-Key as replayable
// and resends it by itself when a reused connection breaks, may dial for a call that an idle connection then serves,
// does not report how much of a request was written, and does not check whose response a reused connection brings. This
// package writes a request once, on one connection.

const (
	idleTimeoutMargin = 400 * time.Millisecond // the endpoint's idle timer starts a transit time earlier
	localRetryTimeout = 250 * time.Millisecond // for a local shortage of sockets, addresses or routes to pass
)

// Call is one delivery attempt to be made.
type Call struct {
	ID, Key       string
	Body          []byte
	Endpoint      *Endpoint
	Deadline      time.Time
	LatestStart   time.Time // nothing is written after it; if zero, Deadline is the only limit
	DecisionBasis string    // value of DecisionBasisHeader; no header if empty
}

// Result is the outcome of a call.
type Result struct {
	Outcome      choice.Outcome
	RetryAfter   time.Duration // delay that the endpoint asked for; 0 if none
	NoSlot       bool          // the endpoint had no free slot
	MessageDone  bool          // the endpoint answered that the message is delivered or must not be delivered any more
	Reused       bool          // the call used an idle connection
	ResponseRead bool          // a response was read to its end, or to a status line with 200
	// Start and end of writing the request; zero if it was not written completely.
	WriteStart, WriteEnd time.Time
	Report               choice.LimitReport
}

// Pool makes calls and keeps idle connections for reuse.
type Pool struct {
	dialTimeout, idleTimeout time.Duration
	dialContext              func(ctx context.Context, network, addr string) (net.Conn, error)
	maxIdle                  int
	connSem                  chan struct{}   // holds one element per connection
	requestsWritten          *atomic.Int64   // counts requests that were written completely
	closeCtx                 context.Context // cancelled by Close: nothing new may be written
	cancelCloseCtx           context.CancelFunc

	mu        sync.Mutex
	idleConns map[string][]*conn // by endpoint ID; the most recently used is last
	idleCount int
}

// NewPool returns a pool that holds at most maxConns connections, which leaves the other descriptors of the process to
// other uses. Connections originate from the address source, or from one that the system chooses if source is nil.
func NewPool(source net.Addr, dialTimeout, connIdle time.Duration, maxIdle, maxConns int, requestsWritten *atomic.Int64) *Pool {
	if dialTimeout <= 0 {
		dialTimeout = time.Second
	}
	closeCtx, cancelCloseCtx := context.WithCancel(context.Background())
	return &Pool{
		closeCtx: closeCtx, cancelCloseCtx: cancelCloseCtx, dialContext: (&net.Dialer{LocalAddr: source}).DialContext, dialTimeout: dialTimeout, idleTimeout: max(connIdle-idleTimeoutMargin, connIdle/2), maxIdle: maxIdle,
		connSem: make(chan struct{}, maxConns), requestsWritten: requestsWritten, idleConns: map[string][]*conn{},
	}
}

// Do makes one call. It returns once the endpoint's slot is free again: after the response, or after closing the
// connection.
func (p *Pool) Do(ctx context.Context, c Call) Result {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	if c.mustNotStart(ctx) {
		return Result{Outcome: choice.NotSent}
	}
	k, reused, err := p.connect(ctx, c)
	switch {
	case errors.Is(err, errNoConnCapacity), errors.Is(err, errStartForbidden), err != nil && p.closeCtx.Err() != nil:
		return Result{Outcome: choice.NotSent}
	case err != nil:
		return Result{Outcome: choice.ConnectFailed}
	}
	request, err := encodeRequest(c) // contains the time that is left, so encode it after the dial
	// A dial takes up to a second. Meanwhile the endpoint may have become blocked, or the latest start may have passed.
	if err != nil || c.mustNotStart(ctx) || p.closeCtx.Err() != nil {
		p.putBack(c.Endpoint, k)
		return Result{Outcome: choice.NotSent}
	}
	stop := context.AfterFunc(ctx, func() { k.Close() })
	res, reuse := k.roundTrip(ctx, request[k.begunBytes:], p.requestsWritten)
	k.answeredAt, k.begunBytes = time.Now(), 0
	if stop() && reuse {
		p.putIdle(c.Endpoint, k)
	} else {
		k.Close()
	}
	res.Reused = reused
	return res
}

// mustNotStart reports whether it is too late to start the call, or the endpoint is currently blocked.
func (c Call) mustNotStart(ctx context.Context) bool {
	now := time.Now()
	return ctx.Err() != nil || c.Endpoint.blocked(now) || (!c.LatestStart.IsZero() && now.After(c.LatestStart))
}

// errStartForbidden reports that the call must not start any more.
var errStartForbidden = errors.New("the call must not start")

// errNoConnCapacity reports that no slot or descriptor was available for a new connection, or that one became available
// too late to complete the dial.
var errNoConnCapacity = errors.New("no capacity for a new connection")

// connect returns a connection for a call, idle or new. It takes the dial timeout at most, because the rules for
// repeating a call depend on the latest time at which it can start.
func (p *Pool) connect(ctx context.Context, c Call) (k *conn, reused bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	defer context.AfterFunc(p.closeCtx, cancel)()
	if k := p.beginOnIdle(ctx, c); k != nil {
		return k, true, nil
	}
	if c.mustNotStart(ctx) {
		return nil, false, errStartForbidden
	}
	k, err = p.openConn(ctx, c.Endpoint.Addr)
	return k, false, err
}

// openConn opens a new connection before ctx ends. It waits for a slot first.
func (p *Pool) openConn(ctx context.Context, addr string) (*conn, error) {
	began := time.Now()
	if !p.acquireSlot(ctx) {
		return nil, errNoConnCapacity
	}
	waited := time.Since(began)
	k, err := p.dial(ctx, addr)
	var timeoutErr net.Error
	if errors.As(err, &timeoutErr) && timeoutErr.Timeout() && waited > p.dialTimeout/10 {
		return nil, errNoConnCapacity // the dial had too little time left to blame the endpoint
	}
	if err != nil && isLocalShortage(err) {
		return nil, fmt.Errorf("%w: %w", errNoConnCapacity, err)
	}
	return k, err
}

// isLocalShortage reports whether this machine lacked a descriptor or memory for a socket, which is no fault of the
// endpoint.
func isLocalShortage(err error) bool {
	return errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// beginOnIdle takes an idle connection, and begins the request of a call on it to prove that nothing that is still to
// come can be taken for its response. It returns nil if there is no connection of which that is proven.
func (p *Pool) beginOnIdle(ctx context.Context, c Call) *conn {
	for {
		k := p.takeIdle(ctx, c.Endpoint)
		if k == nil {
			return nil
		}
		prefix, began := requestPrefix(c.Endpoint), time.Now()
		err := connreuse.Begin(ctx, k.Conn, k.received.bytes, prefix)
		switch {
		case err == nil:
			k.begunBytes, k.begunAt = len(prefix), began
			return k
		case errors.Is(err, errors.ErrUnsupported):
			return k // nothing is written, and nothing but its rest speaks for it
		}
		k.Close()
		if errors.Is(err, connreuse.ErrNotConfirmed) {
			return nil // the others would take as long
		}
	}
}

// putBack keeps a connection whose call is not made. If the call's request has been begun, it closes the connection.
func (p *Pool) putBack(e *Endpoint, k *conn) {
	if k.begunBytes == 0 {
		p.putIdle(e, k)
	} else {
		k.Close()
	}
}

// acquireSlot acquires a slot for a new connection. If none is free, it closes an idle connection, and then waits for
// the next slot to be released.
func (p *Pool) acquireSlot(ctx context.Context) bool {
	select {
	case p.connSem <- struct{}{}:
		return true
	default:
	}
	p.mu.Lock()
	for id, kept := range p.idleConns {
		k := kept[0]
		p.removeIdle(id, 0)
		k.Close()
		break
	}
	p.mu.Unlock()
	select {
	case p.connSem <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// dial opens a connection in a slot that the caller has acquired, and releases the slot on failure.
func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	var nc net.Conn
	err := transient.RetryLocal(ctx, min(localRetryTimeout, p.dialTimeout/2), func() (err error) {
		nc, err = p.dialContext(ctx, "tcp", addr)
		return err
	})
	release := sync.OnceFunc(func() { <-p.connSem })
	if err != nil {
		release()
		return nil, err
	}
	return newConn(nc, addr, release), nil
}

// takeIdle removes and returns the most recently used idle connection that has settled and is still usable. If none has
// settled, it waits for the one that settles first. It returns nil if there is no idle connection.
func (p *Pool) takeIdle(ctx context.Context, e *Endpoint) *conn {
	for ctx.Err() == nil {
		k := p.removeSettled(e)
		if k == nil {
			return nil
		}
		if !k.awaitSettled(ctx) {
			k.Close()
			continue
		}
		// Interrupt the read of the idle watch. Had it seen an end or a byte, it would not end with this timeout. It
		// may have missed what arrived since its last read, and then a request would be certain to fail with a reset.
		k.SetReadDeadline(time.Unix(1, 0))
		err := <-k.watchDone
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && k.addr == e.Addr && k.isQuiet() {
			return k
		}
		k.Close()
	}
	return nil
}

// removeSettled removes and returns the most recently used idle connection that has settled, or else the one that settles
// first, or nil if there is no idle connection.
func (p *Pool) removeSettled(e *Endpoint) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idleConns[e.ID]
	if len(kept) == 0 {
		return nil
	}
	now, i := time.Now(), 0
	for n, k := range slices.Backward(kept) {
		if k.untilSettled(now) <= 0 {
			i = n
			break
		}
	}
	k := kept[i]
	p.removeIdle(e.ID, i)
	return k
}

// removeIdle removes the i-th idle connection of an endpoint. The caller holds p.mu.
func (p *Pool) removeIdle(id string, i int) {
	p.idleCount--
	if p.idleConns[id] = slices.Delete(p.idleConns[id], i, i+1); len(p.idleConns[id]) == 0 {
		delete(p.idleConns, id)
	}
}

// putIdle keeps a connection for the next call and watches it. The connection is closed if the endpoint closes it, if
// the endpoint sends unsolicited data, or after being idle for almost as long as the endpoint allows.
func (p *Pool) putIdle(e *Endpoint, k *conn) {
	k.watchDone = make(chan error, 1)
	k.limitReader.N = 1
	p.mu.Lock()
	// Checked under the lock, because a caller that blocks an endpoint sets the flag before it calls CloseIdle.
	unusable := e.Withdrawn.Load() || e.Disabled.Load() || p.closeCtx.Err() != nil
	if unusable || p.idleCount >= p.maxIdle || k.SetReadDeadline(time.Now().Add(p.idleTimeout)) != nil {
		p.mu.Unlock()
		k.Close()
		return
	}
	p.idleConns[e.ID] = append(p.idleConns[e.ID], k)
	p.idleCount++
	p.mu.Unlock()
	go func() { // ends with the connection, or when takeIdle interrupts the read
		_, err := k.br.Peek(1)
		p.mu.Lock()
		if i := slices.Index(p.idleConns[e.ID], k); i >= 0 {
			p.removeIdle(e.ID, i)
			k.Close()
		}
		p.mu.Unlock()
		k.watchDone <- err
	}()
}

// CloseIdle closes the idle connections of an endpoint.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.idleConns[id] {
		k.Close()
	}
	p.idleCount -= len(p.idleConns[id])
	delete(p.idleConns, id)
}

// Close closes all idle connections, and makes the pool close others after their current call. Calls that have not
// started writing are not sent.
func (p *Pool) Close() {
	p.cancelCloseCtx()
	p.mu.Lock()
	ids := make([]string, 0, len(p.idleConns))
	for id := range p.idleConns {
		ids = append(ids, id)
	}
	p.mu.Unlock()
	for _, id := range ids {
		p.CloseIdle(id)
	}
}
