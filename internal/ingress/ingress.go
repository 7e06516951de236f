// Package ingress implements the server through which clients submit messages over RESP2. It bounds the number of
// connections and the size of requests, and answers or closes each connection within a time limit. The handler passed
// to NewServer decides whether a message is accepted.
package ingress

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"harrierramp/internal/backoff"
	"harrierramp/internal/fairqueue"
	"harrierramp/internal/metrics"
	"harrierramp/internal/wire"
)

const (
	maxBodyBytes     = 64 << 10
	maxArgBytes      = 1 << 10 // for each argument other than the body
	maxArgs          = 8
	maxLineBytes     = 512     // a RESP length line or an inline command
	maxDiscardBytes  = 1 << 20 // bytes read and dropped of an oversized body, so that the connection stays usable
	maxTTL           = 24 * time.Hour
	handoverSentinel = "moved" // returned instead of an answer; never written

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

	messageTimeout    = 500 * time.Millisecond // a connection without a message for so long is the first to lose its slot
	slotRetryInterval = 50 * time.Millisecond  // between evictions for one new connection

	acceptCost = 100 * time.Microsecond // processor time to accept a connection and to end it
)

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
	metrics        *metrics.Clients
	scheduler      *fairqueue.Scheduler // of the processor time for clients' input
	accepting      *fairqueue.Flow      // of Serve
	memory         *memoryBudget        // of large requests

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
	idle         bool        // between requests
	lastActivity time.Time   // of the last answer, or the start of the connection
	hadRequest   bool        // has sent at least one request
	evicted      bool        // its slot or memory is needed: closes once its current request, if any, is answered
	slotNeeded   bool        // it is evicted for its slot
	closing      bool        // our side is closed; the client may still read its last answer
	reading      *connReader // of the request that is being read; nil otherwise
	holdsMemory  bool        // has reserved memory for a large request
	openedAt     time.Time
	sentMessage  bool // has submitted a message
}

// NewServer returns a Server that accepts at most maxConns connections on ln. handle is called for each message, from
// many goroutines, and returns the answer for the client.
func NewServer(ln net.Listener, maxConns int, names wire.Names, handle func(Request) Answer) *Server {
	s := &Server{
		metrics: new(metrics.Clients),
		ln:      ln, connSem: make(chan struct{}, max(maxConns, 1)), stop: make(chan struct{}), acceptDone: make(chan struct{}),
		names: names, handle: handle, conns: map[net.Conn]*connState{}, log: slog.New(slog.DiscardHandler),
	}
	s.SetScheduler(fairqueue.New(1, 1))
	s.SetRequestMemory(math.MaxInt64)
	return s
}

// SetLogger sets the logger, which records the end of each connection at debug level. It must be called before Serve.
func (s *Server) SetLogger(log *slog.Logger) { s.log = log }

// SetMetrics sets the metrics to update. It must be called before Serve.
func (s *Server) SetMetrics(m *metrics.Clients) { s.metrics = m }

// SetRequestMemory bounds the memory, in bytes, of large requests that are being read or wait for their answer. It must
// be called before Serve. Without it there is no bound.
func (s *Server) SetRequestMemory(bytes int64) {
	s.memory = &memoryBudget{limit: bytes, evict: func(count int) { s.evictStalled(count, true) }}
}

// SetScheduler sets the scheduler of the processor time for clients' input, which other servers of the process may
// share. It must be called before Serve.
func (s *Server) SetScheduler(scheduler *fairqueue.Scheduler) {
	s.scheduler, s.accepting = scheduler, scheduler.NewFlow()
	s.accepting.SetClass(fairqueue.Accepting)
}

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
		start := connStart{lastActivity: time.Now()}
		s.accepting.Spend(acceptCost)
		if !s.admit(nc, start) {
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
		if !s.awaitSlot() {
			s.wg.Go(func() { s.closeUnserved(nc) }) // Close waits for this, but first starts to end the others
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		go func() { // bounded by the duration of lingeringClose
			defer func() { <-s.connSem }()
			s.closeUnserved(nc)
		}()
		return false
	}
	s.conns[nc] = &connState{
		idle: true, lastActivity: start.lastActivity, hadRequest: start.hadRequest, openedAt: time.Now(), sentMessage: start.hadRequest,
	}
	s.wg.Go(func() {
		defer func() { <-s.connSem }()
		s.serveConn(nc, start)
	})
	return true
}

// awaitSlot acquires a slot for a connection, which takes an eviction. It returns false if the server is closing.
func (s *Server) awaitSlot() bool {
	retry := time.NewTicker(slotRetryInterval)
	defer retry.Stop()
	for {
		if !s.evictIdle() {
			s.evictStalled(1, false)
		}
		select {
		case s.connSem <- struct{}{}:
			return true
		case <-s.stop:
			return false
		case <-retry.C:
		}
	}
}

// Adopt serves a connection that another process of this node accepted and handed over. It does not wait for a slot.
func (s *Server) Adopt(nc net.Conn, m ConnHandover) {
	now := time.Now()
	start := connStart{lastActivity: clampToRecent(now, m.LastActivityUnixNano), hadRequest: true, unanswered: m.Unanswered}
	if len(m.Unanswered) > 0 {
		start.requestStart = clampToRecent(now, m.RequestStartUnixNano)
	}
	go s.admit(nc, start) // ends when the connection has a slot, or when the server closes
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
func (s *Server) handOverConn(nc net.Conn, state ConnHandover) bool {
	s.mu.Lock()
	to := s.handOverTo
	s.mu.Unlock()
	if to == nil {
		return false
	}
	if to(nc, state) == nil {
		return true
	}
	s.mu.Lock()
	s.handOverTo = nil
	s.mu.Unlock()
	return false
}

// handingOver reports whether connections are handed over to another process.
func (s *Server) handingOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handOverTo != nil
}

// ConnCount returns the number of open connections.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// evictIdle interrupts a connection that is closing already, or else one that has been open for messageTimeout without
// submitting a message, or else one between requests, and reports whether there is one. Of several it takes the one that
// was active least recently.
func (s *Server) evictIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var victim net.Conn
	for nc, p := range s.conns {
		rank := p.evictionRank(now)
		if rank == notEvictable {
			continue
		}
		if victim != nil {
			best := s.conns[victim]
			bestRank := best.evictionRank(now)
			if rank > bestRank || (rank == bestRank && !p.lastActivity.Before(best.lastActivity)) {
				continue
			}
		}
		victim = nc
	}
	if victim != nil {
		s.conns[victim].slotNeeded = true
		s.evict(victim)
	}
	return victim != nil
}

// evictionRank is the order in which connections are evicted for a new one; the lowest rank comes first.
type evictionRank int

const (
	rankClosing   evictionRank = iota
	rankNoMessage              // submitted no message for messageTimeout
	rankIdle
	notEvictable
)

func (p *connState) evictionRank(now time.Time) evictionRank {
	switch {
	case p.evicted:
		return notEvictable
	case p.closing:
		return rankClosing
	case !p.sentMessage && now.Sub(p.openedAt) > messageTimeout:
		return rankNoMessage
	case p.idle:
		return rankIdle
	}
	return notEvictable
}

// evictStalled interrupts up to count connections whose peer has stopped in the middle of a request for stallTimeout,
// first the one that stopped first. If holdsMemory is set, only those count that have reserved memory.
func (s *Server) evictStalled(count int, holdsMemory bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := monotonicNow() - int64(stallTimeout)
	var stalled []net.Conn
	for nc, p := range s.conns {
		if p.reading != nil && !p.evicted && (p.holdsMemory || !holdsMemory) && p.reading.lastInput.Load() <= newest {
			stalled = append(stalled, nc)
		}
	}
	slices.SortFunc(stalled, func(a, b net.Conn) int {
		return cmp.Compare(s.conns[a].reading.lastInput.Load(), s.conns[b].reading.lastInput.Load())
	})
	for _, nc := range stalled[:min(count, len(stalled))] {
		s.conns[nc].slotNeeded = !holdsMemory
		s.evict(nc)
	}
}

// evict interrupts a connection for another one. The caller holds s.mu.
func (s *Server) evict(nc net.Conn) {
	s.conns[nc].evicted = true
	s.metrics.Evicted.Add(1)
	interruptRead(nc)
}

// keepUntil keeps an evicted connection whose slot is not needed until the deadline. It reports whether the connection may
// be read from until then; the first to lose its slot is such a one.
func (s *Server) keepUntil(nc net.Conn, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.conns[nc]
	if p.slotNeeded || s.closed {
		return false
	}
	p.evicted, p.closing = false, true
	return nc.SetReadDeadline(deadline) == nil
}

// isEvicted reports whether a connection is to end for another one.
func (s *Server) isEvicted(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[nc].evicted
}

// isCloseExpired reports whether the time limits of Close have passed.
func (s *Server) isCloseExpired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeExpired
}

// setSentMessage records that a connection has submitted a message.
func (s *Server) setSentMessage(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[nc].sentMessage = true
}

// setReading records that a request is being read by way of input, or that none is if input is nil.
func (s *Server) setReading(nc net.Conn, input *connReader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[nc].reading = input
}

// setHoldsMemory records whether a connection has reserved memory.
func (s *Server) setHoldsMemory(nc net.Conn, holds bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[nc].holdsMemory = holds
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

// pingAnswer returns the answer to PING.
func (s *Server) pingAnswer() string {
	if s.draining() {
		return "-DRAINING this node takes no new clients\r\n"
	}
	if s.notReadyReason != nil {
		if reason := s.notReadyReason(); reason != "" {
			return "-LOADING " + reason + "\r\n"
		}
	}
	return "+PONG\r\n"
}

// interruptIdle interrupts the reads of all idle connections. The caller holds s.mu.
func (s *Server) interruptIdle() {
	for nc, p := range s.conns {
		if p.idle {
			interruptRead(nc)
		}
	}
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
