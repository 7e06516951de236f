// Package ingress serves clients that hand messages in by RESP2: bounded connections, bounded requests, an answer or a
// close in time for each peer. Whether a message is taken on is for who made the Server to say.
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

// The reader below is our own: redcon v1.6.4 indexes out of its buffer on a bulk length near the largest
// integer, loops over whatever array count it is told, and buffers requests without bound.

const (
	maxBodyBytes     = 64 << 10
	maxArgBytes      = 1 << 10 // of a request's words, all but the body
	maxArgs          = 8
	maxLineBytes     = 512     // a length line, or an inline command
	maxDiscardBytes  = 1 << 20 // of a body that is too large, so that the connection stays of use
	maxTTL           = 24 * time.Hour
	maxReplayBytes   = maxBodyBytes + maxArgs*maxArgBytes + 8<<10 // more than the largest request that is taken, and what is read ahead
	handoverSentinel = "moved"                                    // in place of an answer, never written

	// A peer may fall silent for good, and each place it holds is lost to the others. Clients write a request
	// at once and wait 400 ms for its answer; the platform lets a connection without a request go after 2 s,
	// and wants to see an answer or a close 3 s after it came.
	idleTimeout           = 2200 * time.Millisecond
	requestTimeout        = time.Second             // from a request's first byte to its last, and to write an answer
	firstRequestTimeout   = 2800 * time.Millisecond // from the connection to the last byte of its first request
	closeGrace            = 500 * time.Millisecond  // for requests that are half read when the node leaves
	drainPropagationDelay = 500 * time.Millisecond  // the front hears of a drain within 0.1 s, and obeys 0.2 s later
	lingerTimeout         = 200 * time.Millisecond  // in which a client may read its last answer while what it still sends is dropped
	evictedLingerTimeout  = 20 * time.Millisecond   // the same, where a newcomer waits for the place
	finalReadBytes        = 512                     // of a request that crosses the end of a wait for one; the rest is read as ever
)

// Request is one message as a client hands it in.
type Request struct {
	ID, Key     string
	Class, Dest int
	Tenant      int // -1 for none that the settings name
	TTL         time.Duration
	Body        []byte
	ReceivedAt  time.Time
}

// Answer is what the client is told: taken on, refused, or failed with a reason.
type Answer struct {
	Refused    bool
	RetryAfter time.Duration
	ErrorText  string
	HandedOver bool // another process of this node answers
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

// errProtocol ends a connection: where its next request begins can't be told.
var errProtocol = errors.New("Protocol error")

// errTooLarge is a request that was read to its end and can't be taken.
var errTooLarge = errors.New("a body holds 65536 bytes at most")

// readCommand reads an array of bulk strings or an inline command, within bounds.
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

// unexpected keeps an end inside a request apart from one between requests.
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

// parseEnqueue reads the words of an ENQUEUE.
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

// isToken tells that a word can go into a header as it is.
func isHeaderSafe(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= 256
}

// Server serves the node's clients.
type Server struct {
	ln             net.Listener
	connSem        chan struct{} // a place for each connection
	stop           chan struct{}
	acceptDone     chan struct{} // closed when nothing more is accepted
	names          wire.Names
	handle         func(Request) Answer
	log            *slog.Logger
	notReadyReason func() string // what keeps the node from taking messages; nil for never anything

	mu           sync.Mutex
	conns        map[net.Conn]*connState
	closed       bool
	resumed      chan struct{}                      // closed when connections are accepted again; nil while they are
	handOverTo   func(net.Conn, ConnHandover) error // passes a connection to the process that owns the node; nil in that
	drainTimer   *time.Timer                        // set while the node is drained: when it goes off, connections end between requests
	drainElapsed bool                               // it has gone off
	closeExpired bool                               // nothing is waited for any more: Close has given all its time
	wg           sync.WaitGroup
}

// peer is where an open connection stands.
type connState struct {
	idle         bool      // between requests, since then
	lastActivity time.Time // of its last answer, or when it came
	hadRequest   bool      // it has made a request
	evicted      bool      // its place is wanted: it ends when its request, if it has one, is answered
	closing      bool      // it gets nothing more; the client may still read
}

// NewServer serves clients on ln with at most so many connections. hand is called for each message, from many
// goroutines, and its answer is what the client hears.
func NewServer(ln net.Listener, maxConns int, names wire.Names, handle func(Request) Answer) *Server {
	return &Server{
		ln: ln, connSem: make(chan struct{}, max(maxConns, 1)), stop: make(chan struct{}), acceptDone: make(chan struct{}),
		names: names, handle: handle, conns: map[net.Conn]*connState{}, log: slog.New(slog.DiscardHandler),
	}
}

// LogTo has the end of each connection logged, at debug. It is called before Serve.
func (s *Server) SetLogger(log *slog.Logger) { s.log = log }

// Await has PING say no while why says what the node waits for. It is called before Serve.
func (s *Server) SetNotReadyReason(reason func() string) { s.notReadyReason = reason }

// Serve accepts connections until the listener is closed, but while it is paused.
func (s *Server) Serve(ctx context.Context) {
	defer close(s.acceptDone)
	for {
		if !s.awaitResume() {
			return
		}
		nc, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) { // called back by pause
				continue
			}
			if errors.Is(err, net.ErrClosed) || !backoff.Sleep(ctx, backoff.InitialDelay) { // out of descriptors, most likely
				return
			}
			continue
		}
		if !s.admit(nc, connStart{lastActivity: time.Now()}) {
			return
		}
	}
}

// admit serves a connection. With all places taken, a newcomer gets that of the connection which has stood longest
// between requests.
func (s *Server) admit(nc net.Conn, start connStart) bool {
	select {
	case s.connSem <- struct{}{}:
	default:
		s.evictIdle()
		select {
		case s.connSem <- struct{}{}:
		case <-s.stop:
			s.wg.Go(func() { s.lingeringClose(nc) }) // Close waits for it, but not before it has begun to end the others
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		go func() { // no longer than hangUp may take
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

// Adopt serves a connection that another process of this node has accepted.
func (s *Server) Adopt(nc net.Conn, m ConnHandover) {
	now := time.Now()
	start := connStart{lastActivity: clampToRecent(now, m.LastActivityUnixNano), hadRequest: true, unanswered: m.Unanswered}
	if len(m.Unanswered) > 0 {
		start.requestStart = clampToRecent(now, m.RequestStartUnixNano)
	}
	s.admit(nc, start)
}

// start is where a connection stands when it is admitted. Its times are on the monotonic clock.
type connStart struct {
	lastActivity time.Time // of its last answer, or when it came
	requestStart time.Time // the first byte of the request that was read; zero for none
	unanswered   []byte    // of requests without an answer
	hadRequest   bool      // it has made a request
}

// recently is a moment of another process on the monotonic clock: not in the future, and not so long ago that a step of the
// wall clock would end the connection.
func clampToRecent(now time.Time, unixNano int64) time.Time {
	return now.Add(-min(max(now.Sub(time.Unix(0, unixNano)), 0), requestTimeout))
}

// Pause accepts nothing until resume: newcomers stay in the socket's queue, which other processes serve.
func (s *Server) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed == nil {
		s.resumed = make(chan struct{})
		if d, ok := s.ln.(interface{ SetDeadline(time.Time) error }); ok {
			d.SetDeadline(time.Unix(1, 0)) // an error means that it is closed
		}
	}
}

// Resume ends a pause, and the moving of connections.
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

// wait waits for the end of a pause and tells whether there is more to accept.
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

// Move passes each connection to another process of this node, as soon as it stands between requests or its request
// is found to be that process's to answer.
func (s *Server) HandOver(to func(net.Conn, ConnHandover) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOverTo = to
	s.interruptIdle()
}

// moved passes one connection on, and tells whether that is done. If it can't be, the process at the other end is
// gone, and none is moved any more.
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

// Count is the number of open connections.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// evict calls back a connection that is ending anyway, or else the one that has stood longest between requests, if there
// is one.
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

// callBack ends a connection's wait for a request. It is not closed from here: a request that has just been
// read must have its answer.
func interruptRead(nc net.Conn) { nc.SetReadDeadline(time.Unix(1, 0)) }

// mark notes whether a connection stands between requests, and tells whether it may go on.
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

// lastLook tells whether a request has come after all when the wait for one has been ended: a connection is not
// closed over a request that lies in its socket.
func pollPending(nc net.Conn, replay *replayReader, err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	var b [finalReadBytes]byte
	n, err := nonblock.Read(nc, b[:])
	replay.prefix = append(replay.prefix, b[:n]...)
	return err == nil
}

// hangUp ends a connection, and is the only one that does. A close over bytes that lie unread, or come after it, resets
// the connection, and takes the last answer with it. So our side ends first, and what comes then is dropped, never
// served: a client that sent it knows from the end without an answer that it is to send it again. That lasts until the
// client has ended its side too, or lingerTimeout, or maxSkipped bytes, or until the place is wanted.
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
	mayLinger := !s.closeExpired && nc.SetReadDeadline(time.Now().Add(linger)) == nil // under the lock: evict ends it
	s.mu.Unlock()
	if mayLinger {
		io.Copy(io.Discard, io.LimitReader(nc, maxDiscardBytes)) // whatever comes, the connection ends next
	}
}

// Drain sends clients away, or takes them again. PING says no at once. The front takes a while to hear of it, and
// until then its new connections are served as ever; then each connection ends between requests; a new one, the
// front's own among them, may make one.
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

// drained tells that clients are being sent away.
func (s *Server) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainTimer != nil
}

// callBackIdle ends the wait of every connection between requests; the lock is held.
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
		nc.Close() // our descriptor alone: the connection is another process's
	} else {
		s.lingeringClose(nc)
	}
	s.log.Debug("client_closed", "client", nc.RemoteAddr(), "reason", reason, "err", err)
	s.mu.Lock()
	delete(s.conns, nc)
	s.mu.Unlock()
}

// closeReason is why a connection ends, for the log.
type closeReason string

const (
	closeHandedOver        closeReason = "passed on to another process"
	closeIdle              closeReason = "ended between requests" // by Drain, Close or for a newcomer
	closeNoRequest         closeReason = "no request"             // in time, or the client is gone
	closeIncompleteRequest closeReason = "half a request"         // the rest did not come in time, or the client is gone
	closeWriteFailed       closeReason = "the answer can't be written"
	closeProtocolError     closeReason = "not the protocol"
	closeConnBroken        closeReason = "the connection is broken"
)

// converse answers requests until the connection is to end, or is passed on to another process. The error is what the
// connection said, if anything.
func (s *Server) serveRequests(nc net.Conn, start connStart) (closeReason, error) {
	replay := &replayReader{src: transient.Reader(nc), prefix: start.unanswered}
	r := bufio.NewReaderSize(replay, 4096)
	lastActivity, requestStart, hadRequest := start.lastActivity, start.requestStart, start.hadRequest
	for {
		replay.resetRecording(r)
		// In this order: idle connections are called back by their deadline.
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
			continue // no request: the connection is as idle as before
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

// answer writes one line within the time that a client has to read it.
func writeAnswer(nc net.Conn, line string) error {
	if err := nc.SetWriteDeadline(time.Now().Add(requestTimeout)); err != nil {
		return err
	}
	_, err := transient.Write(nc, []byte(line))
	return err
}

// moving tells that connections go to another process.
func (s *Server) handingOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handOverTo != nil
}

// replayReader reads a connection and keeps what it has read since the last answer, so that another process can read that
// again.
type replayReader struct {
	src      io.Reader
	prefix   []byte // read before anything of src
	recorded []byte
}

func (t *replayReader) Read(p []byte) (n int, err error) {
	if len(t.prefix) > 0 {
		n = copy(p, t.prefix)
		t.prefix = t.prefix[n:]
	} else {
		n, err = t.src.Read(p)
	}
	if len(t.recorded) <= maxReplayBytes { // past that it is a request that gets its answer here
		t.recorded = append(t.recorded, p[:n]...)
	}
	return n, err
}

// restart begins anew with what the reader has read ahead.
func (t *replayReader) resetRecording(r *bufio.Reader) {
	ahead, _ := r.Peek(r.Buffered()) // no more than there is, and so no error
	t.recorded = append(t.recorded[:0], ahead...)
	if cap(t.recorded) > maxReplayBytes/16 && len(ahead) == 0 {
		t.recorded = nil // an idle connection keeps no large buffer
	}
}

// unanswered is all that has been read, and is to be read again, of requests without an answer.
func (t *replayReader) unanswered() []byte { return slices.Concat(t.recorded, t.prefix) }

// command answers one command.
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

// Close stops accepting, hangs up on clients between requests, and lets the others have their answer first. A
// client that is slow with the rest of its request, or with reading, must not hold the node until it is killed: it
// takes closeGrace and lingerTimeout at the most, but for answers that the node owes.
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

// callBackAll ends every wait for the rest of a request; with cut every other as well, and no more are begun.
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
