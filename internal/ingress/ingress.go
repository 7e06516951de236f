// Package ingress implements the server through which clients submit messages over RESP2. It bounds the number of
// connections and the size of requests, and answers or closes each connection within a time limit. The handler passed
// to NewServer decides whether a message is accepted.
package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"harrierramp/internal/backoff"
	"harrierramp/internal/nonblock"
	"harrierramp/internal/transient"
	"harrierramp/internal/wire"
)

// This package has its own RESP reader because redcon v1.6.4 indexes out of its buffer on a bulk length near the
// largest integer, loops over any array count that a client sends, and buffers requests without bound.

const (
	maxBodyBytes     = 64 << 10
	maxArgBytes      = 1 << 10 // for each argument other than the body
	maxArgs          = 8
	maxLineBytes     = 512     // a RESP length line or an inline command
	maxDiscardBytes  = 1 << 20 // bytes read and dropped of an oversized body, so that the connection stays usable
	maxTTL           = 24 * time.Hour
	maxReplayBytes   = maxBodyBytes + maxArgs*maxArgBytes + 8<<10 // more than the largest request and read-ahead
	handoverSentinel = "moved"                                    // returned instead of an answer; never written

	// A silent peer would occupy a connection slot forever. Clients write a request in one piece and wait 400 ms for
	// its answer. The platform drops connections without a request after 2 s, and expects an answer or a close within
	// 3 s of the connection.
	idleTimeout           = 2200 * time.Millisecond
	requestTimeout        = time.Second             // from first to last byte of a request; also to write an answer
	firstRequestTimeout   = 2800 * time.Millisecond // from accepting a connection to the last byte of its first request
	closeGrace            = 500 * time.Millisecond  // for partially read requests when the server closes
	drainPropagationDelay = 500 * time.Millisecond  // load balancers notice a drain in 0.1 s, act 0.2 s later
	lingerTimeout         = 200 * time.Millisecond  // for a client to read its last answer, while input is dropped
	evictedLingerTimeout  = 20 * time.Millisecond   // lingerTimeout when a new connection waits for the slot
	finalReadBytes        = 512                     // read without blocking when the wait for a request ends
)

// Request is a message as submitted by a client.
type Request struct {
	ID, Key     string
	Class, Dest int
	Tenant      int // -1 if the settings do not name the tenant
	TTL         time.Duration
	Body        []byte
	ReceivedAt  time.Time
}

// Answer is the reply to a request: accepted (the zero value), refused, or failed with an error text.
type Answer struct {
	Refused    bool
	RetryAfter time.Duration
	ErrorText  string
	HandedOver bool // the connection is to be handed over; another process of this node answers
}

func (a Answer) line() string {
	switch {
	case a.HandedOver:
		return handoverSentinel
	case a.ErrorText != "":
		return "-ERR " + a.ErrorText + "\r\n"
	case a.Refused && a.RetryAfter >= time.Millisecond:
		return "-BUSY " + strconv.FormatInt(a.RetryAfter.Milliseconds(), 10) + "\r\n"
	case a.Refused:
		return "-BUSY\r\n"
	}
	return "+OK\r\n"
}

// errProtocol reports malformed framing. It ends the connection, because the start of the next request is unknown.
var errProtocol = errors.New("Protocol error")

// errTooLarge reports an oversized request that was read to its end, so that the connection can continue.
var errTooLarge = errors.New("a body holds 65536 bytes at most")

// readCommand reads an array of bulk strings or an inline command within the size limits above.
func readCommand(r *bufio.Reader) ([][]byte, error) {
	line, err := readLine(r)
	if err != nil || len(line) == 0 {
		return nil, err
	}
	if line[0] != '*' {
		var words [][]byte
		for _, w := range strings.Fields(string(line)) {
			words = append(words, []byte(w))
		}
		return words, nil
	}
	count, err := strconv.Atoi(string(line[1:]))
	if err != nil || count < 0 || count > maxArgs {
		return nil, fmt.Errorf("%w: invalid multibulk length", errProtocol)
	}
	args := make([][]byte, 0, count)
	tooLarge := false
	for range count {
		line, err := readLine(r)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if len(line) == 0 || line[0] != '$' {
			return nil, fmt.Errorf("%w: expected '$'", errProtocol)
		}
		size, err := strconv.Atoi(string(line[1:]))
		if err != nil || size < 0 || size > maxDiscardBytes {
			return nil, fmt.Errorf("%w: invalid bulk length", errProtocol)
		}
		if size > maxBodyBytes {
			tooLarge = true
			if _, err := r.Discard(size); err != nil {
				return nil, unexpectedEOF(err)
			}
			size = 0
		}
		arg := make([]byte, size+2)
		if _, err := io.ReadFull(r, arg); err != nil {
			return nil, unexpectedEOF(err)
		}
		if string(arg[size:]) != "\r\n" {
			return nil, fmt.Errorf("%w: a bulk string of another length than told", errProtocol)
		}
		args = append(args, arg[:size:size])
	}
	if tooLarge {
		return nil, errTooLarge
	}
	return args, nil
}

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, to tell an end inside a request from one between requests.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || (err == nil && len(line) > maxLineBytes) {
		return nil, fmt.Errorf("%w: a line too long", errProtocol)
	}
	if err != nil {
		if len(line) > 0 {
			return nil, unexpectedEOF(err)
		}
		return nil, err
	}
	return []byte(strings.TrimRight(string(line), "\r\n")), nil
}

// parseEnqueue parses the arguments of an ENQUEUE command.
func parseEnqueue(args [][]byte, names wire.Names, receivedAt time.Time) (Request, error) {
	q := Request{ReceivedAt: receivedAt, Class: -1, Tenant: -1, Dest: -1, TTL: -1}
	if len(args) != 5 {
		return q, errors.New("wrong number of arguments for 'enqueue' command")
	}
	q.ID, q.Body = string(args[2]), args[4]
	if !isHeaderSafe(q.ID) {
		return q, errors.New("the id can't be used")
	}
	if len(args[3]) > maxArgBytes {
		return q, errors.New("the fields are too long")
	}
	for field := range strings.SplitSeq(string(args[3]), ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "c":
			if q.Class = slices.Index(names.Classes, value); q.Class < 0 {
				return q, errors.New("unknown class")
			}
		case "t":
			q.Tenant = slices.Index(names.Tenants, value)
		case "d":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0 && ms <= float64(maxTTL.Milliseconds())) {
				return q, errors.New("d is no time in milliseconds")
			}
			q.TTL = time.Duration(ms * float64(time.Millisecond))
		case "dest":
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 {
				return q, errors.New("dest is no number")
			}
			q.Dest = n
		case "k":
			if q.Key = value; !isHeaderSafe(value) {
				return q, errors.New("the key can't be used")
			}
		}
	}
	if q.Class < 0 || q.TTL < 0 || q.Dest < 0 {
		return q, errors.New("c, d and dest are needed")
	}
	return q, nil
}

// isHeaderSafe reports whether s can be used unescaped as an HTTP header value: 1 to 256 printable ASCII characters
// without spaces.
func isHeaderSafe(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= 256
}

// Server accepts and serves client connections.
type Server struct {
	ln             net.Listener
	connSem        chan struct{} // holds one element per connection
	stop           chan struct{}
	acceptDone     chan struct{} // closed when the accept loop has ended
	names          wire.Names
	handle         func(Request) Answer
	log            *slog.Logger
	notReadyReason func() string // why messages are not accepted yet, "" if they are; may be nil

	mu           sync.Mutex
	conns        map[net.Conn]*connState
	closed       bool
	resumed      chan struct{}                      // closed when accepting resumes; nil unless paused
	handOverTo   func(net.Conn, ConnHandover) error // passes a connection on; nil unless handing over
	drainTimer   *time.Timer                        // set while draining; on firing, idle connections end
	drainElapsed bool                               // drainTimer has fired
	closeExpired bool                               // the time limits of Close have passed
	wg           sync.WaitGroup
}

// connState is the state of an open connection.
type connState struct {
	idle         bool      // between requests
	lastActivity time.Time // of the last answer, or the start of the connection
	hadRequest   bool      // has sent at least one request
	evicted      bool      // its slot is needed: closes once its current request, if any, is answered
	closing      bool      // our side is closed; the client may still read its last answer
}

// NewServer returns a Server that accepts at most maxConns connections on ln. handle is called for each message, from
// many goroutines, and returns the answer for the client.
func NewServer(ln net.Listener, maxConns int, names wire.Names, handle func(Request) Answer) *Server {
	return &Server{
		ln: ln, connSem: make(chan struct{}, max(maxConns, 1)), stop: make(chan struct{}), acceptDone: make(chan struct{}),
		names: names, handle: handle, conns: map[net.Conn]*connState{}, log: slog.New(slog.DiscardHandler),
	}
}

// SetLogger sets the logger, which records the end of each connection at debug level. It must be called before Serve.
func (s *Server) SetLogger(log *slog.Logger) { s.log = log }

// SetNotReadyReason makes PING fail with the text that reason returns, unless that is empty. It must be called before
// Serve.
func (s *Server) SetNotReadyReason(reason func() string) { s.notReadyReason = reason }

// Serve accepts connections, except while paused, until the listener is closed.
func (s *Server) Serve(ctx context.Context) {
	defer close(s.acceptDone)
	for {
		if !s.awaitResume() {
			return
		}
		nc, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) { // interrupted by Pause
				continue
			}
			// Other errors are most likely a lack of descriptors, so accept again after a delay.
			if errors.Is(err, net.ErrClosed) || !backoff.Sleep(ctx, backoff.InitialDelay) {
				return
			}
			continue
		}
		if !s.admit(nc, connStart{lastActivity: time.Now()}) {
			return
		}
	}
}

// admit starts serving a connection. If all slots are taken, it first evicts the connection that has been idle longest.
// It returns false if the server is closing.
func (s *Server) admit(nc net.Conn, start connStart) bool {
	select {
	case s.connSem <- struct{}{}:
	default:
		s.evictIdle()
		select {
		case s.connSem <- struct{}{}:
		case <-s.stop:
			s.wg.Go(func() { s.lingeringClose(nc) }) // Close waits for this, but first starts to end the others
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		go func() { // bounded by the duration of lingeringClose
			defer func() { <-s.connSem }()
			s.lingeringClose(nc)
		}()
		return false
	}
	s.conns[nc] = &connState{idle: true, lastActivity: start.lastActivity, hadRequest: start.hadRequest}
	s.wg.Go(func() {
		defer func() { <-s.connSem }()
		s.serveConn(nc, start)
	})
	return true
}

// Adopt serves a connection that another process of this node accepted and handed over.
func (s *Server) Adopt(nc net.Conn, m ConnHandover) {
	now := time.Now()
	start := connStart{lastActivity: clampToRecent(now, m.LastActivityUnixNano), hadRequest: true, unanswered: m.Unanswered}
	if len(m.Unanswered) > 0 {
		start.requestStart = clampToRecent(now, m.RequestStartUnixNano)
	}
	s.admit(nc, start)
}

// connStart is the state of a connection when it is admitted. Its times are on the monotonic clock.
type connStart struct {
	lastActivity time.Time // of the last answer, or the start of the connection
	requestStart time.Time // of the first byte of a partially read request; zero if none was read
	unanswered   []byte    // bytes already read of requests without an answer
	hadRequest   bool      // has sent at least one request
}

// clampToRecent converts a wall-clock time from another process to the monotonic clock. The result is at most
// requestTimeout in the past and never in the future, so that a step of the wall clock does not end the connection.
func clampToRecent(now time.Time, unixNano int64) time.Time {
	return now.Add(-min(max(now.Sub(time.Unix(0, unixNano)), 0), requestTimeout))
}

// Pause stops accepting until Resume. New connections stay in the listen queue, which other processes may serve.
func (s *Server) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed == nil {
		s.resumed = make(chan struct{})
		if d, ok := s.ln.(interface{ SetDeadline(time.Time) error }); ok {
			d.SetDeadline(time.Unix(1, 0)) // fails only if the listener is closed
		}
	}
}

// Resume ends a pause, and stops handing over connections.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handOverTo = nil; s.resumed != nil {
		if d, ok := s.ln.(interface{ SetDeadline(time.Time) error }); ok {
			d.SetDeadline(time.Time{})
		}
		close(s.resumed)
		s.resumed = nil
	}
}

// awaitResume waits while the server is paused. It returns false if the server was closed meanwhile.
func (s *Server) awaitResume() bool {
	s.mu.Lock()
	resumed := s.resumed
	s.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
		case <-s.stop:
			return false
		}
	}
	return true
}

// HandOver passes each connection to another process of this node by calling to, once the connection is between
// requests or its request turns out to be for that process to answer.
func (s *Server) HandOver(to func(net.Conn, ConnHandover) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOverTo = to
	s.interruptIdle()
}

// handOverConn passes one connection to the other process and reports whether that succeeded. A failure means that the
// other process has ended, so no further connection is handed over.
func (s *Server) handOverConn(nc net.Conn, replay *replayReader, lastActivity, requestStart time.Time) bool {
	s.mu.Lock()
	to := s.handOverTo
	s.mu.Unlock()
	if to == nil {
		return false
	}
	if to(nc, ConnHandover{Unanswered: replay.unanswered(), LastActivityUnixNano: lastActivity.UnixNano(), RequestStartUnixNano: requestStart.UnixNano()}) == nil {
		return true
	}
	s.mu.Lock()
	s.handOverTo = nil
	s.mu.Unlock()
	return false
}

// ConnCount returns the number of open connections.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// evictIdle interrupts a connection that is closing already, or else the one that has been idle longest, if any.
func (s *Server) evictIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var victim net.Conn
	for nc, p := range s.conns {
		if p.closing && !p.evicted {
			victim = nc
			break
		}
		if p.idle && !p.evicted && (victim == nil || p.lastActivity.Before(s.conns[victim].lastActivity)) {
			victim = nc
		}
	}
	if victim != nil {
		s.conns[victim].evicted = true
		interruptRead(victim)
	}
}

// interruptRead ends a connection's wait for a request by an expired read deadline. It does not close the connection,
// since a request that has just been read must still be answered.
func interruptRead(nc net.Conn) { nc.SetReadDeadline(time.Unix(1, 0)) }

// updateState records whether a connection is between requests, and reports whether it may continue.
func (s *Server) updateState(nc net.Conn, idle bool, lastActivity time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.conns[nc]
	if idle && (s.closed || p.evicted || (s.drainElapsed && p.hadRequest) || s.handOverTo != nil) {
		return false
	}
	p.idle, p.lastActivity, p.hadRequest = idle, lastActivity, p.hadRequest || !idle
	return true
}

// pollPending reports whether a request has arrived although the wait for one ended with err. It reads the socket once
// without blocking, so that a connection is not closed with an unread request in its receive buffer.
func pollPending(nc net.Conn, replay *replayReader, err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	var b [finalReadBytes]byte
	n, err := nonblock.Read(nc, b[:])
	replay.prefix = append(replay.prefix, b[:n]...)
	return err == nil
}

// lingeringClose closes a connection; connections that are not handed over are closed only here. Closing a socket with
// unread input, or receiving input after that, resets the connection, and the client may lose its last answer. So the
// write side is closed first, and further input is dropped and never served: a client whose request ends without an
// answer knows that it has to send it again. This lasts until the client closes its side, for lingerTimeout or
// maxDiscardBytes at most, or until the slot is needed for a new connection.
func (s *Server) lingeringClose(nc net.Conn) {
	defer nc.Close()
	halfCloser, ok := nc.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	s.mu.Lock()
	linger := lingerTimeout
	if p := s.conns[nc]; p != nil {
		if p.idle, p.closing = false, true; p.evicted {
			linger = evictedLingerTimeout
		}
	}
	// Under the lock, so that evictIdle can interrupt the wait.
	mayLinger := !s.closeExpired && nc.SetReadDeadline(time.Now().Add(linger)) == nil
	s.mu.Unlock()
	if mayLinger {
		io.Copy(io.Discard, io.LimitReader(nc, maxDiscardBytes)) // errors do not matter: the connection is closed next
	}
}

// Drain starts or stops turning clients away. While draining, PING fails at once. New connections are served as usual
// for drainPropagationDelay, until the load balancer has noticed the failing PING. From then on each connection is
// closed between requests; a new one, such as the load balancer's own, may still make one request.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on && s.drainTimer == nil:
		var t *time.Timer
		t = time.AfterFunc(drainPropagationDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.drainTimer == t {
				s.drainElapsed = true
				s.interruptIdle()
			}
		})
		s.drainTimer = t
	case !on && s.drainTimer != nil:
		s.drainTimer.Stop()
		s.drainTimer, s.drainElapsed = nil, false
	}
}

// draining reports whether clients are being turned away.
func (s *Server) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainTimer != nil
}

// interruptIdle interrupts the reads of all idle connections. The caller holds s.mu.
func (s *Server) interruptIdle() {
	for nc, p := range s.conns {
		if p.idle {
			interruptRead(nc)
		}
	}
}

// serveConn serves a connection to its end.
func (s *Server) serveConn(nc net.Conn, start connStart) {
	reason, err := s.serveRequests(nc, start)
	if reason == closeHandedOver {
		nc.Close() // closes only our descriptor: the other process keeps the connection
	} else {
		s.lingeringClose(nc)
	}
	s.log.Debug("client_closed", "client", nc.RemoteAddr(), "reason", reason, "err", err)
	s.mu.Lock()
	delete(s.conns, nc)
	s.mu.Unlock()
}

// closeReason is the reason that is logged for the end of a connection.
type closeReason string

const (
	closeHandedOver        closeReason = "handed over to another process"
	closeIdle              closeReason = "closed between requests" // by Drain, Close or eviction
	closeNoRequest         closeReason = "no request"              // within the timeout, or the client disconnected
	closeIncompleteRequest closeReason = "incomplete request"      // within the timeout, or the client disconnected
	closeWriteFailed       closeReason = "answer could not be written"
	closeProtocolError     closeReason = "protocol error"
	closeConnBroken        closeReason = "connection error"
)

// serveRequests answers requests until the connection is to be closed or has been handed over to another process. The
// error is the one that the connection returned, if any.
func (s *Server) serveRequests(nc net.Conn, start connStart) (closeReason, error) {
	replay := &replayReader{src: transient.Reader(nc), prefix: start.unanswered}
	r := bufio.NewReaderSize(replay, 4096)
	lastActivity, requestStart, hadRequest := start.lastActivity, start.requestStart, start.hadRequest
	for {
		replay.resetRecording(r)
		// Set the deadline before updateState, because interruptRead overwrites the deadline of an idle connection.
		if err := nc.SetDeadline(lastActivity.Add(idleTimeout)); err != nil {
			return closeConnBroken, err
		}
		if r.Buffered() == 0 && len(replay.prefix) == 0 && !s.updateState(nc, true, lastActivity) {
			if !s.handingOver() {
				return closeIdle, nil
			} else if s.handOverConn(nc, replay, lastActivity, requestStart) {
				return closeHandedOver, nil
			}
			continue
		}
		if _, err := r.Peek(1); err != nil && !pollPending(nc, replay, err) {
			if !s.handingOver() || !errors.Is(err, os.ErrDeadlineExceeded) {
				return closeNoRequest, err
			} else if s.handOverConn(nc, replay, lastActivity, requestStart) {
				return closeHandedOver, nil
			}
			continue
		}
		if requestStart.IsZero() {
			requestStart = time.Now()
		}
		s.updateState(nc, false, lastActivity)
		deadline := requestStart.Add(requestTimeout)
		if first := lastActivity.Add(firstRequestTimeout); !hadRequest && first.Before(deadline) {
			deadline = first
		}
		if err := nc.SetDeadline(deadline); err != nil {
			return closeConnBroken, err
		}
		args, err := readCommand(r)
		var line string
		switch {
		case err == nil && len(args) == 0:
			requestStart = time.Time{}
			continue // an empty command: the connection stays as idle as before
		case err == nil:
			line = s.handleCommand(args, requestStart)
			for line == handoverSentinel {
				if s.handOverConn(nc, replay, lastActivity, requestStart) {
					return closeHandedOver, nil
				}
				line = s.handleCommand(args, requestStart)
			}
		case errors.Is(err, errTooLarge), errors.Is(err, errProtocol):
			line = Answer{ErrorText: err.Error()}.line()
		default:
			return closeIncompleteRequest, err
		}
		if writeErr := writeAnswer(nc, line); writeErr != nil {
			return closeWriteFailed, writeErr
		}
		if errors.Is(err, errProtocol) {
			return closeProtocolError, err
		}
		lastActivity, requestStart, hadRequest = time.Now(), time.Time{}, true
	}
}

// writeAnswer writes one line, and fails if the client does not read it within requestTimeout.
func writeAnswer(nc net.Conn, line string) error {
	if err := nc.SetWriteDeadline(time.Now().Add(requestTimeout)); err != nil {
		return err
	}
	_, err := transient.Write(nc, []byte(line))
	return err
}

// handingOver reports whether connections are handed over to another process.
func (s *Server) handingOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handOverTo != nil
}

// replayReader reads from a connection and records what it has read since the last answer, so that another process can
// read it again after a hand-over.
type replayReader struct {
	src      io.Reader
	prefix   []byte // returned before anything from src
	recorded []byte
}

func (t *replayReader) Read(p []byte) (n int, err error) {
	if len(t.prefix) > 0 {
		n = copy(p, t.prefix)
		t.prefix = t.prefix[n:]
	} else {
		n, err = t.src.Read(p)
	}
	if len(t.recorded) <= maxReplayBytes { // a larger request is answered by this process
		t.recorded = append(t.recorded, p[:n]...)
	}
	return n, err
}

// resetRecording restarts the recording with what r has buffered but not consumed.
func (t *replayReader) resetRecording(r *bufio.Reader) {
	ahead, _ := r.Peek(r.Buffered()) // cannot fail: asks only for buffered bytes
	t.recorded = append(t.recorded[:0], ahead...)
	if cap(t.recorded) > maxReplayBytes/16 && len(ahead) == 0 {
		t.recorded = nil // an idle connection should not keep a large buffer
	}
}

// unanswered returns everything that was read, or is still to be replayed, of requests without an answer.
func (t *replayReader) unanswered() []byte { return slices.Concat(t.recorded, t.prefix) }

// handleCommand executes one command and returns the line to answer.
func (s *Server) handleCommand(args [][]byte, receivedAt time.Time) string {
	switch strings.ToUpper(string(args[0])) {
	case "PING":
		if s.draining() {
			return "-DRAINING this node takes no new clients\r\n"
		}
		if s.notReadyReason != nil {
			if reason := s.notReadyReason(); reason != "" {
				return "-LOADING " + reason + "\r\n"
			}
		}
		return "+PONG\r\n"
	case "ENQUEUE":
		q, err := parseEnqueue(args, s.names, receivedAt)
		if err != nil {
			return Answer{ErrorText: err.Error()}.line()
		}
		return s.handle(q).line()
	}
	return Answer{ErrorText: "unknown command"}.line()
}

// Close stops accepting, closes idle connections, and answers the requests of the others before closing them. A client
// that is slow to finish its request or to read must not delay the shutdown until the process is killed, so waiting is
// limited to closeGrace and lingerTimeout, except for answers of the handler that are outstanding.
func (s *Server) Close() {
	close(s.stop)
	s.ln.Close()
	<-s.acceptDone
	s.mu.Lock()
	s.closed = true
	s.interruptIdle()
	s.mu.Unlock()
	defer time.AfterFunc(closeGrace, func() { s.interruptAll(false) }).Stop()
	defer time.AfterFunc(closeGrace+lingerTimeout, func() { s.interruptAll(true) }).Stop()
	s.wg.Wait()
}

// interruptAll interrupts every read of a request. If closeExpired is set, it interrupts all other waits on connections
// too, and no new ones are started.
func (s *Server) interruptAll(closeExpired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeExpired = closeExpired
	for nc, p := range s.conns {
		if closeExpired {
			nc.SetDeadline(time.Unix(1, 0))
		} else if !p.closing {
			interruptRead(nc)
		}
	}
}
