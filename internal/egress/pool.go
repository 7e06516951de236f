// Package egress makes the calls to endpoints: one request, one connection, one outcome each. It sends nothing twice and
// decides nothing.
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
	"harrierramp/internal/nonblock"
	"harrierramp/internal/transient"
)

// net/http's Transport is not used for calls: it takes a request with an Idempotency-Key for replayable and
// sends it again by itself when a reused connection breaks, dials beside a call that may find an idle
// connection first, and does not tell how much of a request was written. Here a request is written once, on
// one connection, by one Write.

const (
	maxResponseHeaderBytes    = 32 << 10
	maxResponseBodyBytes      = 64 << 10
	idleTimeoutMargin         = 400 * time.Millisecond // an endpoint's idle clock may be ahead of ours by an answer's way
	loadHeader                = "Endpoint-Load-Metrics"
	maxInformationalResponses = 8 // 1xx answers ahead of the real one
	maxRetryAfter             = 10 * time.Minute
	// An answer is written at once, and holds 64 KiB at most: once its first byte has come, a link that is of any use
	// brings the rest in answerRest. What follows a first line with 200 says nothing more, and only decides whether the
	// connection serves again; so it is not worth holding the slot for longer than a slow round trip.
	responseRestTimeout  = time.Second
	localRetryTimeout    = 250 * time.Millisecond // for this machine to have a socket, an address and a route again
	deliveredRestTimeout = 250 * time.Millisecond
)

// Call is one attempt to be made.
type Call struct {
	ID, Key       string
	Body          []byte
	Endpoint      *Endpoint
	Deadline      time.Time
	LatestStart   time.Time // no byte is written later; zero for any time before NotPast
	DecisionBasis string    // on which list and process, for RestsHeader; empty for no header
}

// RestsHeader names what a call rests on: the revision of the list, and which process of the node it is, with a dot between
// them.
const DecisionBasisHeader = "X-Rests-On"

// Result is how it ended.
type Result struct {
	Outcome      choice.Outcome
	RetryAfter   time.Duration
	NoSlot       bool
	MessageDone  bool
	Reused       bool // it went over a connection that had stood idle
	ResponseRead bool // an answer, read to its end or to what says delivered
	// The request was written whole between these; zero for one that was not.
	WriteStart, WriteEnd time.Time
	Report               choice.LimitReport
}

// Pool makes calls, on connections that it keeps between them.
type Pool struct {
	dialTimeout, idleTimeout time.Duration
	dialContext              func(ctx context.Context, network, addr string) (net.Conn, error)
	maxIdle                  int
	connSem                  chan struct{}   // one taken for each connection
	requestsWritten          *atomic.Int64   // messages written whole
	closeCtx                 context.Context // ends when nothing new may be written
	cancelCloseCtx           context.CancelFunc

	mu        sync.Mutex
	idleConns map[string][]*conn // by endpoint; the last one was used last
	idleCount int
}

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	addr        string
	limitReader *io.LimitedReader
	br          *bufio.Reader
	watchDone   chan error // the idle watch's end
	release     func()     // gives back its place; may be called again
}

// NewPool makes a pool that holds most connections altogether: the descriptors beyond are others'. They come from source,
// or from where the system chooses if that is nil.
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

// Do makes one call. It returns when its slot is free again: at the answer, or with the connection closed.
func (p *Pool) Do(ctx context.Context, c Call) Result {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	if c.mustNotStart(ctx) {
		return Result{Outcome: choice.NotSent}
	}
	k := p.takeIdle(c.Endpoint)
	reused := k != nil
	if !reused {
		var err error
		if k, err = p.openConn(ctx, c.Endpoint.Addr); errors.Is(err, errNoConnCapacity) || (err != nil && p.closeCtx.Err() != nil) {
			return Result{Outcome: choice.NotSent}
		} else if err != nil {
			return Result{Outcome: choice.ConnectFailed}
		}
	}
	// A dial takes up to a second; what was told meanwhile, or the time that has passed, may forbid the first byte.
	if c.mustNotStart(ctx) || p.closeCtx.Err() != nil {
		p.putIdle(c.Endpoint, k)
		return Result{Outcome: choice.NotSent}
	}
	request, err := encodeRequest(c) // tells how long we wait from now on
	if err != nil {
		p.putIdle(c.Endpoint, k)
		return Result{Outcome: choice.NotSent}
	}
	stop := context.AfterFunc(ctx, func() { k.Close() })
	res, reuse := k.roundTrip(ctx, request, p.requestsWritten)
	if stop() && reuse {
		p.putIdle(c.Endpoint, k)
	} else {
		k.Close()
	}
	res.Reused = reused
	return res
}

// late tells that the call may not begin any more, or not now.
func (c Call) mustNotStart(ctx context.Context) bool {
	now := time.Now()
	return ctx.Err() != nil || c.Endpoint.blocked(now) || (!c.LatestStart.IsZero() && now.After(c.LatestStart))
}

// errNoPlace says that no descriptor was to be had for a new connection, or too late for it to come up.
var errNoConnCapacity = errors.New("no place for a connection")

// open makes a new connection. What it takes, the wait for a place included, stays within the time of a dial: rules hang
// on when a call can begin at the latest.
func (p *Pool) openConn(ctx context.Context, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	defer context.AfterFunc(p.closeCtx, cancel)()
	began := time.Now()
	if !p.acquireSlot(ctx) {
		return nil, errNoConnCapacity
	}
	waited := time.Since(began)
	k, err := p.dial(ctx, addr)
	var timeoutErr net.Error
	if errors.As(err, &timeoutErr) && timeoutErr.Timeout() && waited > p.dialTimeout/10 {
		return nil, errNoConnCapacity // what was left of the time says nothing of the endpoint
	}
	if err != nil && isLocalShortage(err) {
		return nil, fmt.Errorf("%w: %w", errNoConnCapacity, err)
	}
	return k, err
}

// lacksRoom tells that this machine had no descriptor or memory for a socket, which says nothing of the endpoint.
func isLocalShortage(err error) bool {
	return errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

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

// place takes a place for a new connection: a free one, that of one kept idle, or the next that a call gives back.
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

// dial opens a connection in a place that was taken for it.
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
	l := &io.LimitedReader{R: transient.Reader(nc)}
	return &conn{Conn: nc, addr: addr, limitReader: l, br: bufio.NewReaderSize(l, 4096), release: release}
}

// exchange writes the request, which counts among the tries once it is written whole, and reads the answer; reuse
// tells that the connection is good for another call.
func (k *conn) roundTrip(ctx context.Context, request []byte, requestsWritten *atomic.Int64) (res Result, reuse bool) {
	writeStart := time.Now()
	if n, err := transient.Write(k, request); err != nil && n < len(request) {
		return Result{Outcome: choice.ConnectFailed}, false // without its last byte the endpoint has not begun it
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

// answer reads one answer and tells whether the connection may carry another call. One that can't be read to its
// end proves nothing, whatever it began to say, but for a first line with 200: that line holds. One that has begun has so
// long to end.
func (k *conn) readResponse() (Result, bool, error) {
	for range maxInformationalResponses {
		k.limitReader.N = maxResponseHeaderBytes + maxResponseBodyBytes
		delivered := false
		if k.awaitFirstByte() {
			if delivered = k.peekStatusOK(); delivered {
				k.setReadTimeout(deliveredRestTimeout)
			}
		}
		resp, err := http.ReadResponse(k.br, nil)
		if err == nil && resp.StatusCode < 200 {
			if err = k.SetReadDeadline(time.Time{}); err == nil {
				continue // the real answer may take its time
			}
		}
		if err == nil {
			var n int64
			n, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBodyBytes+1))
			resp.Body.Close()
			if err == nil && n > maxResponseBodyBytes {
				err = errors.New("a body too large")
			}
		}
		switch {
		case err == nil: // more than the answer in the buffer belongs to no call
			return classifyResponse(resp), !resp.Close && k.br.Buffered() == 0, nil
		case delivered:
			return Result{Outcome: choice.Success, MessageDone: true}, false, nil
		}
		return Result{}, false, fmt.Errorf("answer: %w", err)
	}
	return Result{}, false, errors.New("answer: only 1xx")
}

// begins waits for the first byte of an answer, and bounds the time of the rest.
func (k *conn) awaitFirstByte() bool {
	_, err := k.br.Peek(1)
	if err == nil {
		k.setReadTimeout(responseRestTimeout)
	}
	return err == nil
}

// endBy has reads fail after so long. An error means that the connection is closed, and they fail at once.
func (k *conn) setReadTimeout(d time.Duration) { k.SetReadDeadline(time.Now().Add(d)) }

// saysDelivered looks ahead for a first line with 200, which may be the last that comes of the answer. It waits
// for no more bytes than it takes to tell.
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

// outcome reads the protocol's table of answers.
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
	default: // 500, and what the protocol does not know: it may have run
		res.Outcome = choice.ServerError
	}
	return res
}

// loadReport reads "x0=0.4,x1=25"; what can't be read is left out.
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

// take returns a kept connection that is still good, the one used last, or nil.
func (p *Pool) takeIdle(e *Endpoint) *conn {
	for {
		p.mu.Lock()
		kept := p.idleConns[e.ID]
		if len(kept) == 0 {
			p.mu.Unlock()
			return nil
		}
		k := kept[len(kept)-1]
		p.removeIdle(e.ID, len(kept)-1)
		p.mu.Unlock()
		// The watch is called back from its read. Had it met an end or a byte, it would not end by this time-out; but
		// what has come since it last looked it may not have seen, and a request would be a sure reset.
		k.SetReadDeadline(time.Unix(1, 0))
		err := <-k.watchDone
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && k.addr == e.Addr && k.isQuiet() {
			return k
		}
		k.Close()
	}
}

// silent tells that a connection between calls is as it was left: nothing has come on it, and it has not ended.
func (k *conn) isQuiet() bool {
	var b [1]byte
	_, err := nonblock.Read(k.Conn, b[:])
	return errors.Is(err, nonblock.ErrWouldBlock)
}

// drop takes the i-th kept connection of an endpoint out; the lock is held.
func (p *Pool) removeIdle(id string, i int) {
	p.idleCount--
	if p.idleConns[id] = slices.Delete(p.idleConns[id], i, i+1); len(p.idleConns[id]) == 0 {
		delete(p.idleConns, id)
	}
}

// give keeps a connection for the next call, and watches it: it is closed when the endpoint closes it, sends
// something unasked for, or when it has stood idle for nearly as long as the endpoint allows.
func (p *Pool) putIdle(e *Endpoint, k *conn) {
	k.watchDone = make(chan error, 1)
	k.limitReader.N = 1
	p.mu.Lock()
	// Under the lock: whoever shuts an endpoint says so first, and then hangs up.
	unusable := e.Withdrawn.Load() || e.Disabled.Load() || p.closeCtx.Err() != nil
	if unusable || p.idleCount >= p.maxIdle || k.SetReadDeadline(time.Now().Add(p.idleTimeout)) != nil {
		p.mu.Unlock()
		k.Close()
		return
	}
	p.idleConns[e.ID] = append(p.idleConns[e.ID], k)
	p.idleCount++
	p.mu.Unlock()
	go func() { // ends with the connection, or when take calls it back
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

// HangUp closes the kept connections of an endpoint.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.idleConns[id] {
		k.Close()
	}
	p.idleCount -= len(p.idleConns[id])
	delete(p.idleConns, id)
}

// Close closes all kept connections, and keeps none from now on.
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
