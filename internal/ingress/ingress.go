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
	"harrierramp/internal/nowait"
	"harrierramp/internal/transient"
	"harrierramp/internal/wire"
)

// The reader below is our own: redcon v1.6.4 indexes out of its buffer on a bulk length near the largest
// integer, loops over whatever array count it is told, and buffers requests without bound.

const (
	maxBody    = 64 << 10
	maxWord    = 1 << 10 // of a request's words, all but the body
	maxArgs    = 8
	maxLine    = 512     // a length line, or an inline command
	maxSkipped = 1 << 20 // of a body that is too large, so that the connection stays of use
	maxLife    = 24 * time.Hour
	maxReplay  = maxBody + maxArgs*maxWord + 8<<10 // more than the largest request that is taken, and what is read ahead
	movedLine  = "moved"                           // in place of an answer, never written

	// A peer may fall silent for good, and each place it holds is lost to the others. Clients write a request
	// at once and wait 400 ms for its answer; the platform lets a connection without a request go after 2 s,
	// and wants to see an answer or a close 3 s after it came.
	idleTimeout    = 2200 * time.Millisecond
	requestTimeout = time.Second             // from a request's first byte to its last, and to write an answer
	firstTimeout   = 2800 * time.Millisecond // from the connection to the last byte of its first request
	closeGrace     = 500 * time.Millisecond  // for requests that are half read when the node leaves
	drainSettle    = 500 * time.Millisecond  // the front hears of a drain within 0.1 s, and obeys 0.2 s later
	lingerTimeout  = 200 * time.Millisecond  // in which a client may read its last answer while what it still sends is dropped
	evictedLinger  = 20 * time.Millisecond   // the same, where a newcomer waits for the place
	lookSize       = 512                     // of a request that crosses the end of a wait for one; the rest is read as ever
)

// Request is one message as a client hands it in.
type Request struct {
	ID, Key     string
	Class, Dest int
	Tenant      int // -1 for none that the settings name
	Life        time.Duration
	Body        []byte
	Came        time.Time
}

// Answer is what the client is told: taken on, refused, or failed with a reason.
type Answer struct {
	Refused bool
	After   time.Duration
	Failed  string
	Moved   bool // another process of this node answers
}

func (a Answer) line() string {
	switch {
	case a.Moved:
		return movedLine
	case a.Failed != "":
		return "-ERR " + a.Failed + "\r\n"
	case a.Refused && a.After >= time.Millisecond:
		return "-BUSY " + strconv.FormatInt(a.After.Milliseconds(), 10) + "\r\n"
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
			return nil, unexpected(err)
		}
		if len(line) == 0 || line[0] != '$' {
			return nil, fmt.Errorf("%w: expected '$'", errProtocol)
		}
		size, err := strconv.Atoi(string(line[1:]))
		if err != nil || size < 0 || size > maxSkipped {
			return nil, fmt.Errorf("%w: invalid bulk length", errProtocol)
		}
		if size > maxBody {
			tooLarge = true
			if _, err := r.Discard(size); err != nil {
				return nil, unexpected(err)
			}
			size = 0
		}
		arg := make([]byte, size+2)
		if _, err := io.ReadFull(r, arg); err != nil {
			return nil, unexpected(err)
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
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || (err == nil && len(line) > maxLine) {
		return nil, fmt.Errorf("%w: a line too long", errProtocol)
	}
	if err != nil {
		if len(line) > 0 {
			return nil, unexpected(err)
		}
		return nil, err
	}
	return []byte(strings.TrimRight(string(line), "\r\n")), nil
}

// parseEnqueue reads the words of an ENQUEUE.
func parseEnqueue(args [][]byte, names wire.Names, came time.Time) (Request, error) {
	q := Request{Came: came, Class: -1, Tenant: -1, Dest: -1, Life: -1}
	if len(args) != 5 {
		return q, errors.New("wrong number of arguments for 'enqueue' command")
	}
	q.ID, q.Body = string(args[2]), args[4]
	if !isToken(q.ID) {
		return q, errors.New("the id can't be used")
	}
	if len(args[3]) > maxWord {
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
			if err != nil || !(ms >= 0 && ms <= float64(maxLife.Milliseconds())) {
				return q, errors.New("d is no time in milliseconds")
			}
			q.Life = time.Duration(ms * float64(time.Millisecond))
		case "dest":
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 {
				return q, errors.New("dest is no number")
			}
			q.Dest = n
		case "k":
			if q.Key = value; !isToken(value) {
				return q, errors.New("the key can't be used")
			}
		}
	}
	if q.Class < 0 || q.Life < 0 || q.Dest < 0 {
		return q, errors.New("c, d and dest are needed")
	}
	return q, nil
}

// isToken tells that a word can go into a header as it is.
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= 256
}

// Server serves the node's clients.
type Server struct {
	ln     net.Listener
	room   chan struct{} // a place for each connection
	stop   chan struct{}
	served chan struct{} // closed when nothing more is accepted
	names  wire.Names
	hand   func(Request) Answer
	log    *slog.Logger
	await  func() string // what keeps the node from taking messages; nil for never anything

	mu     sync.Mutex
	open   map[net.Conn]*peer
	closed bool
	paused chan struct{}               // closed when connections are accepted again; nil while they are
	moveTo func(net.Conn, Moved) error // passes a connection to the process that owns the node; nil in that
	drains *time.Timer                 // set while the node is drained: when it goes off, connections end between requests
	sends  bool                        // it has gone off
	cut    bool                        // nothing is waited for any more: Close has given all its time
	wg     sync.WaitGroup
}

// peer is where an open connection stands.
type peer struct {
	idle    bool      // between requests, since then
	since   time.Time // of its last answer, or when it came
	asked   bool      // it has made a request
	evicted bool      // its place is wanted: it ends when its request, if it has one, is answered
	ending  bool      // it gets nothing more; the client may still read
}

// NewServer serves clients on ln with at most so many connections. hand is called for each message, from many
// goroutines, and its answer is what the client hears.
func NewServer(ln net.Listener, most int, names wire.Names, hand func(Request) Answer) *Server {
	return &Server{
		ln: ln, room: make(chan struct{}, max(most, 1)), stop: make(chan struct{}), served: make(chan struct{}),
		names: names, hand: hand, open: map[net.Conn]*peer{}, log: slog.New(slog.DiscardHandler),
	}
}

// LogTo has the end of each connection logged, at debug. It is called before Serve.
func (c *Server) LogTo(log *slog.Logger) { c.log = log }

// Await has PING say no while why says what the node waits for. It is called before Serve.
func (c *Server) Await(why func() string) { c.await = why }

// Serve accepts connections until the listener is closed, but while it is paused.
func (c *Server) Serve(ctx context.Context) {
	defer close(c.served)
	for {
		if !c.wait() {
			return
		}
		nc, err := c.ln.Accept()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) { // called back by pause
				continue
			}
			if errors.Is(err, net.ErrClosed) || !backoff.Sleep(ctx, backoff.First) { // out of descriptors, most likely
				return
			}
			continue
		}
		if !c.admit(nc, start{since: time.Now()}) {
			return
		}
	}
}

// admit serves a connection. With all places taken, a newcomer gets that of the connection which has stood longest
// between requests.
func (c *Server) admit(nc net.Conn, s start) bool {
	select {
	case c.room <- struct{}{}:
	default:
		c.evict()
		select {
		case c.room <- struct{}{}:
		case <-c.stop:
			c.wg.Go(func() { c.hangUp(nc) }) // Close waits for it, but not before it has begun to end the others
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		go func() { // no longer than hangUp may take
			defer func() { <-c.room }()
			c.hangUp(nc)
		}()
		return false
	}
	c.open[nc] = &peer{idle: true, since: s.since, asked: s.asked}
	c.wg.Go(func() {
		defer func() { <-c.room }()
		c.serveConn(nc, s)
	})
	return true
}

// Adopt serves a connection that another process of this node has accepted.
func (c *Server) Adopt(nc net.Conn, m Moved) {
	now := time.Now()
	s := start{since: recently(now, m.Since), asked: true, read: m.Raw}
	if len(m.Raw) > 0 {
		s.came = recently(now, m.Came)
	}
	c.admit(nc, s)
}

// start is where a connection stands when it is admitted. Its times are on the monotonic clock.
type start struct {
	since time.Time // of its last answer, or when it came
	came  time.Time // the first byte of the request that was read; zero for none
	read  []byte    // of requests without an answer
	asked bool      // it has made a request
}

// recently is a moment of another process on the monotonic clock: not in the future, and not so long ago that a step of the
// wall clock would end the connection.
func recently(now time.Time, unixNano int64) time.Time {
	return now.Add(-min(max(now.Sub(time.Unix(0, unixNano)), 0), requestTimeout))
}

// Pause accepts nothing until resume: newcomers stay in the socket's queue, which other processes serve.
func (c *Server) Pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.paused == nil {
		c.paused = make(chan struct{})
		if d, ok := c.ln.(interface{ SetDeadline(time.Time) error }); ok {
			d.SetDeadline(time.Unix(1, 0)) // an error means that it is closed
		}
	}
}

// Resume ends a pause, and the moving of connections.
func (c *Server) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.moveTo = nil; c.paused != nil {
		if d, ok := c.ln.(interface{ SetDeadline(time.Time) error }); ok {
			d.SetDeadline(time.Time{})
		}
		close(c.paused)
		c.paused = nil
	}
}

// wait waits for the end of a pause and tells whether there is more to accept.
func (c *Server) wait() bool {
	c.mu.Lock()
	paused := c.paused
	c.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-c.stop:
			return false
		}
	}
	return true
}

// Move passes each connection to another process of this node, as soon as it stands between requests or its request
// is found to be that process's to answer.
func (c *Server) Move(to func(net.Conn, Moved) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moveTo = to
	c.callBackIdle()
}

// moved passes one connection on, and tells whether that is done. If it can't be, the process at the other end is
// gone, and none is moved any more.
func (c *Server) moved(nc net.Conn, t *replayReader, since, came time.Time) bool {
	c.mu.Lock()
	to := c.moveTo
	c.mu.Unlock()
	if to == nil {
		return false
	}
	if to(nc, Moved{Raw: t.unanswered(), Since: since.UnixNano(), Came: came.UnixNano()}) == nil {
		return true
	}
	c.mu.Lock()
	c.moveTo = nil
	c.mu.Unlock()
	return false
}

// Count is the number of open connections.
func (c *Server) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// evict calls back a connection that is ending anyway, or else the one that has stood longest between requests, if there
// is one.
func (c *Server) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var victim net.Conn
	for nc, p := range c.open {
		if p.ending && !p.evicted {
			victim = nc
			break
		}
		if p.idle && !p.evicted && (victim == nil || p.since.Before(c.open[victim].since)) {
			victim = nc
		}
	}
	if victim != nil {
		c.open[victim].evicted = true
		callBack(victim)
	}
}

// callBack ends a connection's wait for a request. It is not closed from here: a request that has just been
// read must have its answer.
func callBack(nc net.Conn) { nc.SetReadDeadline(time.Unix(1, 0)) }

// mark notes whether a connection stands between requests, and tells whether it may go on.
func (c *Server) mark(nc net.Conn, idle bool, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.open[nc]
	if idle && (c.closed || p.evicted || (c.sends && p.asked) || c.moveTo != nil) {
		return false
	}
	p.idle, p.since, p.asked = idle, since, p.asked || !idle
	return true
}

// lastLook tells whether a request has come after all when the wait for one has been ended: a connection is not
// closed over a request that lies in its socket.
func lastLook(nc net.Conn, t *replayReader, err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	var b [lookSize]byte
	n, err := nowait.Read(nc, b[:])
	t.again = append(t.again, b[:n]...)
	return err == nil
}

// hangUp ends a connection, and is the only one that does. A close over bytes that lie unread, or come after it, resets
// the connection, and takes the last answer with it. So our side ends first, and what comes then is dropped, never
// served: a client that sent it knows from the end without an answer that it is to send it again. That lasts until the
// client has ended its side too, or lingerTimeout, or maxSkipped bytes, or until the place is wanted.
func (c *Server) hangUp(nc net.Conn) {
	defer nc.Close()
	half, ok := nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.mu.Lock()
	patience := lingerTimeout
	if p := c.open[nc]; p != nil {
		if p.idle, p.ending = false, true; p.evicted {
			patience = evictedLinger
		}
	}
	lingers := !c.cut && nc.SetReadDeadline(time.Now().Add(patience)) == nil // under the lock: evict ends it
	c.mu.Unlock()
	if lingers {
		io.Copy(io.Discard, io.LimitReader(nc, maxSkipped)) // whatever comes, the connection ends next
	}
}

// Drain sends clients away, or takes them again. PING says no at once. The front takes a while to hear of it, and
// until then its new connections are served as ever; then each connection ends between requests; a new one, the
// front's own among them, may make one.
func (c *Server) Drain(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case on && c.drains == nil:
		var t *time.Timer
		t = time.AfterFunc(drainSettle, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.drains == t {
				c.sends = true
				c.callBackIdle()
			}
		})
		c.drains = t
	case !on && c.drains != nil:
		c.drains.Stop()
		c.drains, c.sends = nil, false
	}
}

// drained tells that clients are being sent away.
func (c *Server) drained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.drains != nil
}

// callBackIdle ends the wait of every connection between requests; the lock is held.
func (c *Server) callBackIdle() {
	for nc, p := range c.open {
		if p.idle {
			callBack(nc)
		}
	}
}

// serveConn serves a connection to its end.
func (c *Server) serveConn(nc net.Conn, s start) {
	reason, err := c.converse(nc, s)
	if reason == closePassedOn {
		nc.Close() // our descriptor alone: the connection is another process's
	} else {
		c.hangUp(nc)
	}
	c.log.Debug("client_closed", "client", nc.RemoteAddr(), "reason", reason, "err", err)
	c.mu.Lock()
	delete(c.open, nc)
	c.mu.Unlock()
}

// closeReason is why a connection ends, for the log.
type closeReason string

const (
	closePassedOn   closeReason = "passed on to another process"
	closeResting    closeReason = "ended between requests" // by Drain, Close or for a newcomer
	closeNoRequest  closeReason = "no request"             // in time, or the client is gone
	closeHalf       closeReason = "half a request"         // the rest did not come in time, or the client is gone
	closeUnread     closeReason = "the answer can't be written"
	closeNoProtocol closeReason = "not the protocol"
	closeBroken     closeReason = "the connection is broken"
)

// converse answers requests until the connection is to end, or is passed on to another process. The error is what the
// connection said, if anything.
func (c *Server) converse(nc net.Conn, s start) (closeReason, error) {
	t := &replayReader{src: transient.Reader(nc), again: s.read}
	r := bufio.NewReaderSize(t, 4096)
	since, came, asked := s.since, s.came, s.asked
	for {
		t.restart(r)
		// In this order: idle connections are called back by their deadline.
		if err := nc.SetDeadline(since.Add(idleTimeout)); err != nil {
			return closeBroken, err
		}
		if r.Buffered() == 0 && len(t.again) == 0 && !c.mark(nc, true, since) {
			if !c.moving() {
				return closeResting, nil
			} else if c.moved(nc, t, since, came) {
				return closePassedOn, nil
			}
			continue
		}
		if _, err := r.Peek(1); err != nil && !lastLook(nc, t, err) {
			if !c.moving() || !errors.Is(err, os.ErrDeadlineExceeded) {
				return closeNoRequest, err
			} else if c.moved(nc, t, since, came) {
				return closePassedOn, nil
			}
			continue
		}
		if came.IsZero() {
			came = time.Now()
		}
		c.mark(nc, false, since)
		until := came.Add(requestTimeout)
		if first := since.Add(firstTimeout); !asked && first.Before(until) {
			until = first
		}
		if err := nc.SetDeadline(until); err != nil {
			return closeBroken, err
		}
		args, err := readCommand(r)
		var line string
		switch {
		case err == nil && len(args) == 0:
			came = time.Time{}
			continue // no request: the connection is as idle as before
		case err == nil:
			line = c.command(args, came)
			for line == movedLine {
				if c.moved(nc, t, since, came) {
					return closePassedOn, nil
				}
				line = c.command(args, came)
			}
		case errors.Is(err, errTooLarge), errors.Is(err, errProtocol):
			line = Answer{Failed: err.Error()}.line()
		default:
			return closeHalf, err
		}
		if failed := answer(nc, line); failed != nil {
			return closeUnread, failed
		}
		if errors.Is(err, errProtocol) {
			return closeNoProtocol, err
		}
		since, came, asked = time.Now(), time.Time{}, true
	}
}

// answer writes one line within the time that a client has to read it.
func answer(nc net.Conn, line string) error {
	if err := nc.SetWriteDeadline(time.Now().Add(requestTimeout)); err != nil {
		return err
	}
	_, err := transient.Write(nc, []byte(line))
	return err
}

// moving tells that connections go to another process.
func (c *Server) moving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.moveTo != nil
}

// replayReader reads a connection and keeps what it has read since the last answer, so that another process can read that
// again.
type replayReader struct {
	src   io.Reader
	again []byte // read before anything of src
	kept  []byte
}

func (t *replayReader) Read(p []byte) (n int, err error) {
	if len(t.again) > 0 {
		n = copy(p, t.again)
		t.again = t.again[n:]
	} else {
		n, err = t.src.Read(p)
	}
	if len(t.kept) <= maxReplay { // past that it is a request that gets its answer here
		t.kept = append(t.kept, p[:n]...)
	}
	return n, err
}

// restart begins anew with what the reader has read ahead.
func (t *replayReader) restart(r *bufio.Reader) {
	ahead, _ := r.Peek(r.Buffered()) // no more than there is, and so no error
	t.kept = append(t.kept[:0], ahead...)
	if cap(t.kept) > maxReplay/16 && len(ahead) == 0 {
		t.kept = nil // an idle connection keeps no large buffer
	}
}

// unanswered is all that has been read, and is to be read again, of requests without an answer.
func (t *replayReader) unanswered() []byte { return slices.Concat(t.kept, t.again) }

// command answers one command.
func (c *Server) command(args [][]byte, came time.Time) string {
	switch strings.ToUpper(string(args[0])) {
	case "PING":
		if c.drained() {
			return "-DRAINING this node takes no new clients\r\n"
		}
		if c.await != nil {
			if why := c.await(); why != "" {
				return "-LOADING " + why + "\r\n"
			}
		}
		return "+PONG\r\n"
	case "ENQUEUE":
		q, err := parseEnqueue(args, c.names, came)
		if err != nil {
			return Answer{Failed: err.Error()}.line()
		}
		return c.hand(q).line()
	}
	return Answer{Failed: "unknown command"}.line()
}

// Close stops accepting, hangs up on clients between requests, and lets the others have their answer first. A
// client that is slow with the rest of its request, or with reading, must not hold the node until it is killed: it
// takes closeGrace and lingerTimeout at the most, but for answers that the node owes.
func (c *Server) Close() {
	close(c.stop)
	c.ln.Close()
	<-c.served
	c.mu.Lock()
	c.closed = true
	c.callBackIdle()
	c.mu.Unlock()
	defer time.AfterFunc(closeGrace, func() { c.callBackAll(false) }).Stop()
	defer time.AfterFunc(closeGrace+lingerTimeout, func() { c.callBackAll(true) }).Stop()
	c.wg.Wait()
}

// callBackAll ends every wait for the rest of a request; with cut every other as well, and no more are begun.
func (c *Server) callBackAll(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
	for nc, p := range c.open {
		if cut {
			nc.SetDeadline(time.Unix(1, 0))
		} else if !p.ending {
			callBack(nc)
		}
	}
}
