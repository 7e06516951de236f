package ingress

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"harrierramp/internal/fairqueue"
	"harrierramp/internal/nonblock"
	"harrierramp/internal/tcpinfo"
	"harrierramp/internal/transient"
)

// maxUnusableCommands is how many commands in a row may be no request before the connection is closed.
const maxUnusableCommands = 16

// closeReason is the reason that is logged for the end of a connection.
type closeReason string

const (
	closeHandedOver        closeReason = "handed over to another process"
	closeIdle              closeReason = "closed between requests" // by Drain, Close or eviction
	closeNoRequest         closeReason = "no request"              // within the timeout, or the client disconnected
	closeIncompleteRequest closeReason = "incomplete request"      // within the timeout, or the client disconnected
	closeWriteFailed       closeReason = "answer could not be written"
	closeProtocolError     closeReason = "protocol error"
	closeUnusable          closeReason = "too many commands that are no request"
	closeConnBroken        closeReason = "connection error"
	closeOverloaded        closeReason = "the request was stopped for others" // its memory or slot was needed

	keepServing closeReason = "" // the connection is not to be closed
)

// connStart is the state of a connection when it is admitted. Its times are on the monotonic clock.
type connStart struct {
	lastActivity time.Time // of the last answer, or the start of the connection
	requestStart time.Time // of the first byte of a partially read request; zero if none was read
	unanswered   []byte    // bytes already read of requests without an answer
	hadRequest   bool      // has sent at least one request
}

// clientConn serves one connection on the clients' port. The goroutine that runs serve owns it.
//
// All work on what the peer has sent is done within turns of the server's scheduler: a turn begins when a read returns
// or the previous answer has been written, and ends before anything that may block.
type clientConn struct {
	server       *Server
	nc           net.Conn
	turn         *fairqueue.Flow
	input        *connReader
	r            *bufio.Reader // reads from input
	lastActivity time.Time
	requestStart time.Time // zero between requests
	hadRequest   bool      // has sent a command
	sentMessage  bool      // has submitted a message, on this process or another one
	hadUsable    bool      // the last command was a request or a PING
	unusable     int       // commands in a row that were no request
	reserved     int64     // bytes of the server's memory budget
}

func newClientConn(s *Server, nc net.Conn, start connStart) *clientConn {
	turn := s.scheduler.NewFlow()
	if start.hadRequest {
		turn.SetClass(fairqueue.Known)
	}
	input := newConnReader(nc, turn, start.unanswered)
	r := bufio.NewReaderSize(input, readBufferBytes)
	return &clientConn{
		server: s, nc: nc, turn: turn, input: input, r: r,
		lastActivity: start.lastActivity, requestStart: start.requestStart, hadRequest: start.hadRequest, sentMessage: start.hadRequest,
	}
}

// serveConn serves a connection to its end.
func (s *Server) serveConn(nc net.Conn, start connStart) {
	c := newClientConn(s, nc, start)
	reason, err := c.serve()
	c.turn.End()
	if reason == closeHandedOver {
		nc.Close() // closes only our descriptor: the other process keeps the connection
	} else {
		s.lingeringClose(nc, c.r)
		c.turn.End()
	}
	s.log.Debug("client_closed", "client", nc.RemoteAddr(), "reason", reason, "err", err)
	s.mu.Lock()
	delete(s.conns, nc)
	s.mu.Unlock()
}

// serve answers requests until the connection is to be closed or has been handed over to another process. The error is
// the one that the connection returned, if any.
func (c *clientConn) serve() (closeReason, error) {
	for {
		arrived, reason, err := c.awaitCommand()
		if arrived {
			reason, err = c.serveCommand()
		}
		if reason != keepServing {
			return reason, err
		}
	}
}

// awaitCommand waits until the first byte of a command can be read. If arrived is false, the connection is to be closed,
// unless reason is keepServing.
func (c *clientConn) awaitCommand() (arrived bool, reason closeReason, err error) {
	// Set the deadline before updateState, because interruptRead overwrites the deadline of an idle connection.
	if err := c.nc.SetDeadline(c.lastActivity.Add(idleTimeout)); err != nil {
		return false, closeConnBroken, err
	}
	if c.server.isCloseExpired() {
		return false, closeIdle, nil // even if the peer never pauses between commands
	}
	if c.r.Buffered() == 0 && len(c.input.prefix) == 0 && !c.server.updateState(c.nc, true, c.lastActivity) {
		return false, c.leave(closeIdle), nil
	}
	if _, err := c.r.Peek(1); err != nil && !c.input.pollPending(err) {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false, closeNoRequest, err
		}
		return false, c.leave(closeNoRequest), err
	}
	return true, keepServing, nil
}

// leave ends the service of a connection between requests: it hands the connection over if the server hands over, and
// otherwise returns reason. If the other process has gone, the connection is served further.
func (c *clientConn) leave(reason closeReason) closeReason {
	if !c.server.handingOver() {
		return reason
	}
	if c.handOver(nil) {
		return closeHandedOver
	}
	return keepServing
}

// serveCommand reads a command and answers it.
func (c *clientConn) serveCommand() (closeReason, error) {
	if c.requestStart.IsZero() {
		c.requestStart = time.Now()
	}
	c.server.updateState(c.nc, false, c.lastActivity)
	if err := c.nc.SetDeadline(c.requestDeadline()); err != nil {
		return closeConnBroken, err
	}
	c.turn.Begin()
	args, err := c.readCommand()
	defer c.releaseMemory()
	switch {
	case err == nil && len(args) == 0:
		return c.serveEmptyCommand()
	case err == nil:
		return c.answer(args)
	case errors.Is(err, errProtocol):
		c.server.metrics.UnusableCommands.Add(1)
		if writeErr := c.write(Answer{ErrorText: err.Error()}.line()); writeErr != nil {
			return closeWriteFailed, writeErr
		}
		return closeProtocolError, err
	case errors.Is(err, errBodyTooLarge), errors.Is(err, errArgTooLarge):
		return c.finishCommand(Answer{ErrorText: err.Error()}.line(), false)
	case errors.Is(err, errOverloaded):
		return c.refuse(false)
	case c.server.isEvicted(c.nc) && errors.Is(err, os.ErrDeadlineExceeded):
		return c.refuse(true)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.releaseMemory()
		c.sitOut()
	}
	return closeIncompleteRequest, err
}

// readCommand reads a command. Meanwhile the connection may be evicted if its peer stalls.
func (c *clientConn) readCommand() ([][]byte, error) {
	c.input.lastInput.Store(monotonicNow())
	c.server.setReading(c.nc, c.input)
	defer c.server.setReading(c.nc, nil)
	commands := commandReader{r: c.r, reserve: c.reserveMemory}
	return commands.read()
}

// reserveMemory reserves memory for a large body.
func (c *clientConn) reserveMemory(bytes int) error {
	c.turn.End()
	defer c.turn.Begin()
	c.input.lastInput.Store(math.MaxInt64) // while it waits, it is not the peer that has stalled
	err := c.server.memory.acquire(int64(bytes), c.hadUsable)
	c.input.lastInput.Store(monotonicNow())
	if err != nil {
		return err
	}
	c.reserved += int64(bytes)
	c.server.metrics.RequestBytes.Add(int64(bytes))
	c.server.setHoldsMemory(c.nc, true)
	return nil
}

// releaseMemory gives back the memory that the current command has reserved.
func (c *clientConn) releaseMemory() {
	if c.reserved > 0 {
		c.server.setHoldsMemory(c.nc, false)
		c.server.memory.release(c.reserved)
		c.server.metrics.RequestBytes.Add(-c.reserved)
		c.reserved = 0
	}
}

// refuse ends the connection in the middle of a request. Nothing was done about the request, so it is refused.
func (c *clientConn) refuse(stalled bool) (closeReason, error) {
	c.releaseMemory() // others wait for it
	if stalled {
		c.sitOut()
	}
	if err := c.write(Answer{Refused: true}.line()); err != nil {
		return closeWriteFailed, err
	}
	return closeOverloaded, nil
}

// sitOut keeps a peer that has sent no request before and stops in the middle of its first one, and drops its input, until
// a peer that sends nothing would be closed, or the slot is needed. If it could come again sooner, such peers would connect
// the more often, the less memory there is for them, and each connection takes processor time.
func (c *clientConn) sitOut() {
	if !c.hadUsable && c.server.keepUntil(c.nc, c.lastActivity.Add(idleTimeout)) {
		c.r.Discard(maxDiscardBytes) // ends with an error, mostly at the deadline
	}
}

// requestDeadline returns the time by which the current request has to be read.
func (c *clientConn) requestDeadline() time.Time {
	deadline := c.requestStart.Add(requestTimeout)
	if first := c.lastActivity.Add(firstRequestTimeout); !c.hadRequest && first.Before(deadline) {
		return first
	}
	return deadline
}

// answer executes a command and writes its answer.
func (c *clientConn) answer(args [][]byte) (closeReason, error) {
	line, usable := c.handleCommand(args)
	for line == handoverSentinel {
		if c.handOver(encodeCommand(args)) {
			return closeHandedOver, nil
		}
		line, usable = c.handleCommand(args)
	}
	return c.finishCommand(line, usable)
}

// serveEmptyCommand leaves the connection as idle as before, since an empty command has no answer. Many in a row are
// answered by an error.
func (c *clientConn) serveEmptyCommand() (closeReason, error) {
	c.requestStart = time.Time{}
	reason := c.countUnusable()
	if reason == keepServing {
		return keepServing, nil
	}
	if err := c.write(Answer{ErrorText: "no command"}.line()); err != nil {
		return closeWriteFailed, err
	}
	return reason, nil
}

// countUnusable counts a command that was no request, and returns the reason to close the connection if there were too
// many in a row.
func (c *clientConn) countUnusable() closeReason {
	c.server.metrics.UnusableCommands.Add(1)
	if c.unusable++; c.unusable < maxUnusableCommands {
		return keepServing
	}
	return closeUnusable
}

// finishCommand writes the answer to a command. usable says whether the command was a request, or a PING.
func (c *clientConn) finishCommand(line string, usable bool) (closeReason, error) {
	if err := c.write(line); err != nil {
		return closeWriteFailed, err
	}
	c.lastActivity, c.requestStart, c.hadRequest = time.Now(), time.Time{}, true
	if !c.sentMessage && c.server.isEvicted(c.nc) {
		return closeIdle, nil // however many commands are still to be read
	}
	if c.hadUsable = usable; usable {
		c.unusable = 0
		return keepServing, nil
	}
	return c.countUnusable(), nil
}

// handleCommand executes one command and returns the line to answer, and whether the command was a request or a PING.
func (c *clientConn) handleCommand(args [][]byte) (line string, usable bool) {
	s := c.server
	switch commandName(args[0]) {
	case commandPing:
		return s.pingAnswer(), true
	case commandEnqueue:
		q, err := parseEnqueue(args, s.names, c.requestStart)
		if err != nil {
			return Answer{ErrorText: err.Error()}.line(), false
		}
		q.ClientGone = func() bool { return tcpinfo.PeerGone(c.nc) }
		c.turn.End()
		if !c.sentMessage {
			c.sentMessage = true
			c.turn.SetClass(fairqueue.Known)
			s.setSentMessage(c.nc)
		}
		defer c.turn.Begin()
		if q.ClientGone() { // nobody waits for the answer any more, and the client may submit the message again
			return Answer{Refused: true}.line(), true
		}
		return s.handle(q).line(), true
	}
	return Answer{ErrorText: "unknown command"}.line(), false
}

// write writes one line, and fails if the client does not read it within requestTimeout.
func (c *clientConn) write(line string) error {
	c.turn.End()
	if err := c.nc.SetWriteDeadline(time.Now().Add(requestTimeout)); err != nil {
		return err
	}
	began := time.Now()
	_, err := transient.Write(c.nc, []byte(line))
	c.turn.Charge(time.Since(began))
	return err
}

// handOver passes the connection to the other process and reports whether that succeeded. command is the command that is
// to be answered there, as it would be read again; nil between commands.
func (c *clientConn) handOver(command []byte) bool {
	c.turn.End()
	defer c.turn.Begin()
	ahead, _ := c.r.Peek(c.r.Buffered()) // cannot fail: asks only for buffered bytes
	return c.server.handOverConn(c.nc, ConnHandover{
		Unanswered: slices.Concat(command, ahead, c.input.prefix), LastActivityUnixNano: c.lastActivity.UnixNano(), RequestStartUnixNano: c.requestStart.UnixNano(),
	})
}

const (
	readBufferBytes = 1024
	readCallCost    = 2 * time.Microsecond // processor time of a read, beside that of copying
	readByteCost    = time.Nanosecond      // processor time of copying a byte
)

// clockOrigin is the origin of the times that are stored as a number.
var clockOrigin = time.Now()

// monotonicNow returns the time in nanoseconds since clockOrigin.
func monotonicNow() int64 { return int64(time.Since(clockOrigin)) }

// connReader reads from a connection. Each read ends the connection's turn, and begins one when it has got bytes.
type connReader struct {
	nc        net.Conn
	src       io.Reader // reads from nc
	turn      *fairqueue.Flow
	prefix    []byte       // returned before anything from src
	lastInput atomic.Int64 // nanoseconds since clockOrigin: when the last byte came, or the current request began
}

func newConnReader(nc net.Conn, turn *fairqueue.Flow, prefix []byte) *connReader {
	return &connReader{nc: nc, src: transient.Reader(nc), turn: turn, prefix: prefix}
}

// Read is part of io.Reader.
func (t *connReader) Read(p []byte) (n int, err error) {
	if len(t.prefix) > 0 {
		n = copy(p, t.prefix)
		if t.prefix = t.prefix[n:]; len(t.prefix) == 0 {
			t.prefix = nil // a large one is no longer needed
		}
		return n, nil
	}
	t.turn.End()
	n, err = t.src.Read(p)
	if n > 0 {
		t.lastInput.Store(math.MaxInt64) // while it waits for its turn, it is not the peer that has stalled
		t.turn.Charge(readCallCost + time.Duration(n)*readByteCost)
		t.turn.Begin()
		t.lastInput.Store(monotonicNow())
	}
	return n, err
}

// pollPending reports whether a request has arrived although the wait for one ended with err. It reads the socket once
// without blocking, so that a connection is not closed with an unread request in its receive buffer.
func (t *connReader) pollPending(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	var b [finalReadBytes]byte
	n, err := nonblock.Read(t.nc, b[:])
	t.prefix = append(t.prefix, b[:n]...)
	return err == nil
}

// lingeringClose closes a connection; connections that are not handed over are closed only here. Closing a socket with
// unread input, or receiving input after that, resets the connection, and the client may lose its last answer. So the
// write side is closed first, and further input is dropped and never served: a client whose request ends without an
// answer knows that it has to send it again. This lasts until the client closes its side, for lingerTimeout or
// maxDiscardBytes at most, or until the slot is needed for a new connection.
func (s *Server) lingeringClose(nc net.Conn, input *bufio.Reader) {
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
		input.Discard(maxDiscardBytes) // errors do not matter: the connection is closed next
	}
}

// closeUnserved closes a connection that is not served.
func (s *Server) closeUnserved(nc net.Conn) {
	c := newClientConn(s, nc, connStart{})
	s.lingeringClose(nc, c.r)
	c.turn.End()
}
