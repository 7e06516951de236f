// Package egress makes the HTTP calls to endpoints. Each call writes one request on one connection and has one outcome.
// The package never sends a request twice; retries are decided elsewhere.
package egress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/connreuse"
	"harrierramp/internal/nonblock"
	"harrierramp/internal/transient"
)

// The Transport of net/http is not used for calls, because it treats a request with an Idempotency-Key as replayable
// and resends it by itself when a reused connection breaks, may dial for a call that an idle connection then serves,
// and does not report how much of a request was written. This package writes a request once, on one connection, with
// one Write.

const (
	maxResponseHeaderBytes    = 16 << 10 // also of trailers and the framing of a chunked body
	maxResponseBodyBytes      = 64 << 10
	idleTimeoutMargin         = 400 * time.Millisecond // the endpoint's idle timer starts a transit time earlier
	loadHeader                = "Endpoint-Load-Metrics"
	maxInformationalResponses = 8 // 1xx responses before the final one
	maxRetryAfter             = 10 * time.Minute
	// Endpoints write a response in one piece of at most 64 KiB, so after its first byte a usable link delivers the
	// rest within responseRestTimeout. What follows a status line with 200 carries no information beyond whether the
	// connection can be reused, so the slot is held no longer than a slow round trip to receive it.
	responseRestTimeout  = time.Second
	localRetryTimeout    = 250 * time.Millisecond // for a local shortage of sockets, addresses or routes to pass
	deliveredRestTimeout = 250 * time.Millisecond
	// settleTime is how long a connection rests after an answer, so that an endpoint's program has time to write what it
	// sends straight after it, such as a second copy. When that arrives is another matter: see connreuse.
	settleTime = 5 * time.Millisecond
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

// DecisionBasisHeader is the request header that names the basis of the decision to make the call: the revision of the
// endpoint list and the incarnation of the node's process, separated by a dot.
const DecisionBasisHeader = "X-Rests-On"

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

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	addr        string
	received    *countingReader // from the connection
	limitReader *io.LimitedReader
	br          *bufio.Reader
	watchDone   chan error // receives the read error that ended the idle watch
	release     func()     // releases the connection slot; idempotent
	answeredAt  time.Time  // when its last answer was read; zero if it has had none
	begunBytes  int        // of the next request, written ahead of the rest
	begunAt     time.Time  // when they were written
}

// countingReader counts the bytes read.
type countingReader struct {
	src   io.Reader
	bytes uint64
}

// Read is part of io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	r.bytes += uint64(n)
	return n, err
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

// requestPrefix returns the first lines of every request to an endpoint, which do not depend on the call.
func requestPrefix(e *Endpoint) []byte {
	return []byte("POST /v1/messages HTTP/1.1\r\nHost: " + e.Addr + "\r\n")
}

// encodeRequest returns the request of a call. It starts with requestPrefix.
func encodeRequest(c Call) ([]byte, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.Endpoint.Addr+"/v1/messages", bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	req.Header = http.Header{
		"X-Trace-Id":   {c.ID},
		"X-Expires-In": {strconv.FormatInt(max(time.Until(c.Deadline).Milliseconds(), 1), 10) + "m"},
		"User-Agent":   {"harrierramp"},
	}
	if c.Key != "" {
		req.Header["Idempotency-Key"] = []string{c.Key}
	}
	if c.DecisionBasis != "" {
		req.Header[DecisionBasisHeader] = []string{c.DecisionBasis}
	}
	var b bytes.Buffer
	if err := req.Write(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
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

func (k *conn) Close() error {
	k.release()
	return k.Conn.Close()
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

func newConn(nc net.Conn, addr string, release func()) *conn {
	received := &countingReader{src: transient.Reader(nc)}
	l := &io.LimitedReader{R: received}
	return &conn{Conn: nc, addr: addr, received: received, limitReader: l, br: bufio.NewReaderSize(l, 4096), release: release}
}

// roundTrip writes the request, or what is left of it, and reads the response. It increments requestsWritten once the request is written
// completely. reuse reports whether the connection can be used for another call.
func (k *conn) roundTrip(ctx context.Context, request []byte, requestsWritten *atomic.Int64) (res Result, reuse bool) {
	writeStart := time.Now()
	if k.begunBytes > 0 {
		writeStart = k.begunAt
	}
	if n, err := transient.Write(k, request); err != nil && n < len(request) {
		return Result{Outcome: choice.ConnectFailed}, false // endpoints do not execute an incomplete request
	}
	writeEnd := time.Now()
	requestsWritten.Add(1)
	res, reuse, err := k.readResponse()
	switch res.ResponseRead = err == nil; {
	case res.ResponseRead:
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		res.Outcome = choice.TimedOut
	case ctx.Err() != nil:
		res.Outcome = choice.Cancelled
	default:
		res.Outcome = choice.ConnReset
	}
	res.WriteStart, res.WriteEnd = writeStart, writeEnd
	return res, reuse
}

// readResponse reads one response and reports whether the connection can be used for another call. A response that
// cannot be read to its end proves nothing, except that a status line with 200 counts as delivered. Once a response has
// started, it must end within responseRestTimeout or deliveredRestTimeout.
func (k *conn) readResponse() (Result, bool, error) {
	for range maxInformationalResponses {
		k.limitReader.N = maxResponseHeaderBytes
		delivered := false
		if k.awaitFirstByte() {
			if delivered = k.peekStatusOK(); delivered {
				k.setReadTimeout(deliveredRestTimeout)
			}
		}
		resp, err := http.ReadResponse(k.br, nil)
		k.limitReader.N = maxResponseBodyBytes + maxResponseHeaderBytes
		if err == nil && resp.StatusCode < 200 {
			if err = k.SetReadDeadline(time.Time{}); err == nil {
				continue // the final response has no time limit until it starts
			}
		}
		if err == nil {
			var n int64
			n, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBodyBytes+1))
			resp.Body.Close()
			if err == nil && n > maxResponseBodyBytes {
				err = errors.New("response body exceeds 64 KiB")
			}
		}
		switch {
		case err == nil: // bytes after the response belong to no call: do not reuse the connection
			return classifyResponse(resp), !resp.Close && k.br.Buffered() == 0, nil
		case delivered:
			return Result{Outcome: choice.Success, MessageDone: true}, false, nil
		}
		return Result{}, false, fmt.Errorf("read response: %w", err)
	}
	return Result{}, false, errors.New("read response: too many informational responses")
}

// awaitFirstByte waits for the first byte of a response, and limits the time for the rest. It returns false on a read
// error.
func (k *conn) awaitFirstByte() bool {
	_, err := k.br.Peek(1)
	if err == nil {
		k.setReadTimeout(responseRestTimeout)
	}
	return err == nil
}

// setReadTimeout makes reads fail after d. Its error is ignored: it means that the connection is closed, so that reads
// fail anyway.
func (k *conn) setReadTimeout(d time.Duration) { k.SetReadDeadline(time.Now().Add(d)) }

// peekStatusOK reports whether the response starts with a status line with 200, without consuming it. It waits for no
// more bytes than it needs, since nothing may follow that line.
func (k *conn) peekStatusOK() bool {
	const want = "HTTP/1.? 200"
	for n := 1; n <= len(want); n++ {
		line, err := k.br.Peek(n)
		if err != nil || (line[n-1] != want[n-1] && want[n-1] != '?') {
			return false
		}
	}
	line, err := k.br.Peek(len(want) + 1)
	return err != nil || bytes.IndexByte([]byte(" \r\n"), line[len(want)]) >= 0
}

// classifyResponse maps the status codes of the delivery protocol to outcomes.
func classifyResponse(resp *http.Response) Result {
	res := Result{Report: parseLoadReport(resp.Header.Get(loadHeader))}
	switch resp.StatusCode {
	case http.StatusOK:
		res.Outcome, res.MessageDone = choice.Success, true
	case http.StatusTooManyRequests:
		res.Outcome = choice.Rejected
		if sec, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && sec > 0 {
			res.RetryAfter = time.Duration(min(sec, maxRetryAfter.Seconds()) * float64(time.Second))
		}
	case http.StatusServiceUnavailable:
		res.Outcome = choice.Rejected
		if resp.Header.Get("X-Line-Busy") == "1" {
			res.Outcome, res.NoSlot = choice.NotSent, true
		}
	case http.StatusGatewayTimeout:
		res.Outcome = choice.NotSent
	case http.StatusGone:
		res.Outcome, res.MessageDone = choice.NotSent, true
	default: // 500 and unknown codes: the call may have been executed
		res.Outcome = choice.ServerError
	}
	return res
}

// parseLoadReport parses a load report such as "x0=0.4,x1=25" and ignores malformed fields.
func parseLoadReport(text string) choice.LimitReport {
	var r choice.LimitReport
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || v != v {
			continue
		}
		switch name {
		case "x0":
			r.Left, r.HasLeft = v, true
		case "x1":
			r.Limit, r.HasLimit = v, true
		}
	}
	return r
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

// untilSettled returns how long the connection still has to rest.
func (k *conn) untilSettled(now time.Time) time.Duration { return settleTime - now.Sub(k.answeredAt) }

// awaitSettled waits until a connection that was removed from the idle ones has settled. It returns false if the idle
// watch sees an end or a byte meanwhile, or if ctx ends; the connection is of no use then.
func (k *conn) awaitSettled(ctx context.Context) bool {
	wait := k.untilSettled(time.Now())
	if wait <= 0 {
		return true
	}
	settled := time.NewTimer(wait)
	defer settled.Stop()
	select {
	case <-settled.C:
		return true
	case <-k.watchDone:
		return false
	case <-ctx.Done():
		return false
	}
}

// isQuiet reports whether an idle connection is unchanged since its last call: no input has arrived, and it is not
// closed.
func (k *conn) isQuiet() bool {
	var b [1]byte
	_, err := nonblock.Read(k.Conn, b[:])
	return errors.Is(err, nonblock.ErrWouldBlock)
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
