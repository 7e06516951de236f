package egress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/nonblock"
	"harrierramp/internal/transient"
)

// settleTime is how long a connection rests after an answer, so that an endpoint's program has time to write what it sends
// straight after it, such as a second copy. When that arrives is another matter: see connreuse.
const settleTime = 5 * time.Millisecond

// DecisionBasisHeader is the request header that names the basis of the decision to make the call: the revision of the
// endpoint list and the incarnation of the node's process, separated by a dot.
const DecisionBasisHeader = "X-Rests-On"

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

func newConn(nc net.Conn, addr string, release func()) *conn {
	received := &countingReader{src: transient.Reader(nc)}
	l := &io.LimitedReader{R: received}
	return &conn{Conn: nc, addr: addr, received: received, limitReader: l, br: bufio.NewReaderSize(l, 4096), release: release}
}

func (k *conn) Close() error {
	k.release()
	return k.Conn.Close()
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
