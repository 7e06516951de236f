package listwatch

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"harrierramp/internal/backoff"
)

// List is the list of endpoints as discovery sends it: the full list, or only the members that changed.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
	// Settling is set while the list service has restarted without its state, so that live endpoints may still be
	// missing from the list. The platform's discovery never sets it.
	Settling bool `json:"settling,omitempty"`
	// Floor is the minimum that the list service requires of every node. The platform's discovery never sets it.
	Floor *Floor `json:"floor,omitempty"`
}

// Floor is the minimum version that a node must have in order to act at all. An empty or zero field requires nothing.
type Floor struct {
	Revision int64  `json:"revision,omitempty"` // list revision that the node acts on
	Build    string `json:"build,omitempty"`
	Config   string `json:"config,omitempty"` // digest of the node's configuration
}

// Member is one endpoint of a List.
type Member struct {
	ID       string  `json:"id"`
	Addr     string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
}

// Addresses holds the addresses of the discovery servers. They change when the configuration is replaced. It is safe
// for concurrent use.
type Addresses struct {
	mu      sync.Mutex
	addrs   []string      // servers that hold the same list
	first   int           // index of the server to try first; random, so that a fleet spreads over the servers
	changed chan struct{} // closed by the next change of the addresses
}

// NewAddresses returns Addresses that start at a random one of addrs, which must not be empty.
func NewAddresses(addrs []string) *Addresses {
	return &Addresses{addrs: addrs, first: rand.N(len(addrs)), changed: make(chan struct{})}
}

// Set replaces the addresses. Requests in progress to the old addresses are canceled.
func (a *Addresses) Set(addrs []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Equal(addrs, a.addrs) {
		close(a.changed)
		a.addrs, a.first, a.changed = addrs, rand.N(len(addrs)), make(chan struct{})
	}
}

// Pick returns the address of the server that is offset places after this node's first one, and a context that is
// canceled when the addresses change.
func (a *Addresses) Pick(ctx context.Context, offset int) (string, context.Context, context.CancelFunc) {
	a.mu.Lock()
	addr, changed := a.addrs[(a.first+offset)%len(a.addrs)], a.changed
	a.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return addr, ctx, cancel
}

// all returns all addresses.
func (a *Addresses) all() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addrs
}

// Pacer spreads the requests of a fleet's nodes for the list over time. It is implemented by admission.Pacer.
type Pacer interface {
	// InitialDelay returns the delay before a request that all nodes may want to make at the same moment.
	InitialDelay() time.Duration
	// RetryDelay returns the delay after a failed request that took the given time.
	RetryDelay(took time.Duration) time.Duration
	// RetryAfter returns the delay after a response that asked to wait; ok is false if that wait is out of range.
	RetryAfter(wait time.Duration) (d time.Duration, ok bool)
}

const (
	// serviceResponseTimeout is how long a list server, which answers overload with Retry-After, may take until the
	// first data.
	serviceResponseTimeout = 2 * time.Second
	// AgentResponseTimeout is how long an agent of the platform on the node's own machine may take until the first
	// data; such an agent answers at once. A change missed by a silent stream must be known 6 s after the stream fell
	// silent, which leaves 1.5 s after IdleTimeout: enough for a second request if the first one gets no answer
	// either.
	AgentResponseTimeout = 750 * time.Millisecond
	// DiscoveryResponseTimeout is the same limit for a remote discovery server. A request that the server cannot
	// handle fails after this time.
	DiscoveryResponseTimeout = 2 * time.Second
	retrySpacing             = 50 * time.Millisecond // between the first retries of a fleet's nodes after a common failure
	// maxAgentBackoff is the longest delay between requests to an agent on the node's machine. A change that the
	// agent receives when discovery returns counts as known to the node at once, and calls must obey it within the
	// drain grace.
	maxAgentBackoff = 250 * time.Millisecond
	// maxDiscoveryBackoff is the longest delay between requests to a remote discovery server. A change must be known
	// 6 s after discovery has it and can be reached. A request that started just before discovery became reachable
	// ends after DiscoveryResponseTimeout; after this delay, 0.5 s are left for the next one.
	maxDiscoveryBackoff = 3500 * time.Millisecond
	// maxSilenceBackoff is the longest delay after a stream that fell silent. Together with IdleTimeout it leaves
	// 0.25 s of the 6 s for the response.
	maxSilenceBackoff = 1250 * time.Millisecond
)

// AgentBackoff returns the delays between requests to an agent on the node's machine, for which requests are cheap.
func AgentBackoff() backoff.Backoff {
	return backoff.Backoff{Initial: backoff.InitialDelay, Max: maxAgentBackoff}
}

// DiscoveryBackoff returns the delays between requests to a remote discovery server, by the number of nodes in the
// fleet. Each request costs the server work, and one that it cannot handle fails late: if a whole fleet retried
// within a second or two, the server could not answer anyone. So the first delay grows with the fleet, up to
// maxDiscoveryBackoff.
func DiscoveryBackoff(fleet int) backoff.Backoff {
	first := min(max(backoff.InitialDelay, time.Duration(fleet)*retrySpacing), maxDiscoveryBackoff)
	return backoff.Backoff{Initial: first, Max: maxDiscoveryBackoff}
}

// Watcher keeps a node's list of endpoints up to date by following a list server or the platform's discovery.
type Watcher struct {
	Log     *slog.Logger
	Client  *http.Client
	Servers *Addresses
	Backoff backoff.Backoff // between requests, if Pacer is nil
	// ResponseTimeout is the time until the first data of a server, if Pacer is nil; 0 means IdleTimeout.
	ResponseTimeout time.Duration
	// Pacer schedules the requests to the project's own list servers, which answer overload with Retry-After; nil for
	// the platform's discovery. With PaceStart the first request is delayed too, because the whole fleet may be
	// starting.
	Pacer             Pacer
	PaceStart         bool
	HeartbeatInterval time.Duration // interval at which the server is asked to send something; 0 leaves it to the server
	OnRequest         func()        // a request is sent; may be nil
	OnRetryLater      func()        // the server answered with a Retry-After; may be nil
	OnActivity        func()        // a server sent a message or an empty line
	OnServerChange    func()        // the watcher moves on to another server
	// CandidateRequests asks the watcher to try another server alongside the current one, because other nodes act on
	// a later list. May be nil.
	CandidateRequests <-chan struct{}
	// OnDelay is called with a short reason when the node's list may be out of date from now on. May be nil.
	OnDelay func(why string)
	// Check validates a list before it is used. It may return another list in its place, or an error, which rejects
	// the list and the server that sent it. If nil, each list is used as it comes: the platform's discovery is
	// authoritative.
	Check  func(ctx context.Context, addr string, l List) (List, error)
	OnList func(List)
}

// Run follows the list, starting after the given revision, until ctx is done. When a stream ends, Run goes on with
// the next server, unless the server asked to retry later: then the same server is asked again after that time. With
// HeartbeatInterval, a server that falls silent is checked against another one: see Failover.
func (w *Watcher) Run(ctx context.Context, after int64) {
	f := follower{Watcher: w, revision: after, events: make(chan streamEvent, 16), startedAt: time.Now()}
	defer f.streams.Wait()
	if w.Pacer != nil && w.PaceStart {
		backoff.Sleep(ctx, w.Pacer.InitialDelay())
	}
	for offset, reservation := 0, uint64(0); ctx.Err() == nil; {
		_, serverCtx, cancel := w.Servers.Pick(ctx, offset) // a change of addresses also ends the sleep below
		s, err := f.followServer(ctx, f.openStream(ctx, offset, reservation))
		reservation, offset = 0, s.offset
		if serverCtx.Err() != nil {
			cancel()
			w.Backoff.Reset() // the addresses changed, or ctx is done
			continue
		}
		w.Log.Debug("list_watch_ended", "addr", s.addr, "err", err)
		f.reportDelay(reason(err))
		var wait time.Duration
		if wait, reservation = w.nextRequest(err, s); reservation == 0 {
			w.OnServerChange()
			offset++
		}
		backoff.Sleep(serverCtx, wait)
		cancel()
	}
}

// follower is the state of a running Watcher. It is owned by one goroutine, to which the streams send events over a
// channel.
type follower struct {
	*Watcher
	revision  int64
	events    chan streamEvent
	streams   sync.WaitGroup
	startedAt time.Time
}

// stream is one streaming request to one server.
type stream struct {
	addr      string
	offset    int
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	listCount int
	heard     bool          // a message or an empty line has arrived
	heartbeat time.Duration // interval promised by the server; 0 if it sends no heartbeats
}

// streamEvent is something that happened on a stream: it was opened, a message or an empty line arrived (only stream is
// set), a message is to be processed, or the stream ended.
type streamEvent struct {
	stream    *stream
	opened    bool
	heartbeat time.Duration
	message   []byte
	err       error // why the stream ended, if not nil
}

func (f *follower) now() time.Duration { return time.Since(f.startedAt) }

// openStream starts following the server at offset, presenting a reservation if it is not 0.
func (f *follower) openStream(ctx context.Context, offset int, reservation uint64) *stream {
	s := &stream{offset: offset, startedAt: time.Now()}
	s.addr, s.ctx, s.cancel = f.Servers.Pick(ctx, offset)
	url := fmt.Sprintf("http://%s/registry/instances?watch=1&after=%d", s.addr, f.revision)
	opts := FollowOptions{ResponseTimeout: cmp.Or(f.ResponseTimeout, IdleTimeout), IdleTimeout: IdleTimeout}
	emit := func(e streamEvent) {
		e.stream = s
		select {
		case f.events <- e:
		case <-ctx.Done():
		}
	}
	if f.Pacer != nil {
		opts.ResponseTimeout, opts.IdleTimeout = serviceResponseTimeout, ServiceIdleTimeout
		if reservation != 0 {
			url += fmt.Sprintf("&turn=%d", reservation)
		}
	}
	if f.HeartbeatInterval > 0 {
		url += fmt.Sprintf("&beat=%d", f.HeartbeatInterval.Milliseconds())
		opts.OnOpen = func(heartbeat time.Duration) { emit(streamEvent{opened: true, heartbeat: heartbeat}) }
	}
	opts.OnActivity = func() { emit(streamEvent{}) }
	if f.OnRequest != nil {
		f.OnRequest()
	}
	f.streams.Go(func() {
		err := Follow(s.ctx, f.Client, url, opts, func(message []byte) error {
			emit(streamEvent{message: message})
			return nil
		})
		emit(streamEvent{err: err})
	})
	return s
}

// followServer follows a server until its stream ends, and a candidate server alongside it while the current one is
// silent. It returns the stream that it followed last and why that stream ended.
func (f *follower) followServer(ctx context.Context, current *stream) (*stream, error) {
	var candidate *stream
	var failover *Failover
	requested := false // the candidate was opened because the current server may be behind
	defer func() {
		current.cancel()
		if candidate != nil {
			candidate.cancel()
		}
	}()
	var ticks <-chan time.Time // without heartbeats there is nothing to check
	if f.HeartbeatInterval > 0 {
		t := time.NewTicker(max(f.HeartbeatInterval/2, 50*time.Millisecond))
		defer t.Stop()
		ticks = t.C
	}
	dropCandidate := func() {
		if candidate != nil {
			candidate.cancel()
		}
		requested = false
		if candidate = nil; failover != nil {
			failover.CandidateLost()
		}
	}
	for {
		var e streamEvent
		select {
		case e = <-f.events:
		case <-ticks:
			if failover == nil {
				continue
			}
			switch failover.Step(f.now()) {
			case OpenCandidate:
				f.Log.Warn("list_silent", "addr", current.addr)
				f.reportDelay("the link is silent")
				candidate = f.openStream(ctx, current.offset+1, 0)
			case ReplaceCandidate:
				offset := current.offset + 1
				if candidate != nil {
					offset = candidate.offset + 1
					candidate.cancel()
				}
				candidate = f.openStream(ctx, offset, 0)
			case DropCandidate:
				f.Log.Info("list_silent_over", "addr", current.addr)
				dropCandidate()
			case SwitchToCandidate:
				f.Log.Warn("list_server_left", "addr", current.addr, "for", candidate.addr)
				f.OnServerChange()
				current.cancel()
				current, candidate = candidate, nil
				failover = f.newFailover(current)
			}
			continue
		case <-f.CandidateRequests:
			offset := current.offset + 1
			if candidate != nil {
				offset = candidate.offset + 1
			}
			dropCandidate()
			candidate, requested = f.openStream(ctx, offset, 0), true
			continue
		case <-ctx.Done():
			return current, ctx.Err()
		}
		switch {
		case e.stream != current && e.stream != candidate:
			continue // an event of a stream that was given up
		case e.err != nil && e.stream == current:
			if candidate == nil || candidate.listCount == 0 {
				return current, e.err
			}
			f.OnServerChange()
			current, candidate = candidate, nil
			failover = f.newFailover(current)
		case e.err != nil:
			dropCandidate()
		case e.opened:
			if e.stream.heartbeat = e.heartbeat; e.stream == current {
				failover = f.newFailover(current)
			}
		default:
			known := f.revision
			err := f.handleEvent(e, current, failover)
			if err == nil && e.stream == candidate && requested && e.message != nil {
				if requested = false; f.revision > known { // the candidate has a later list
					f.Log.Warn("list_server_left", "addr", current.addr, "for", candidate.addr)
					f.OnServerChange()
					current.cancel()
					current, candidate = candidate, nil
					failover = f.newFailover(current)
					continue
				}
				dropCandidate() // the candidate has no later list
			}
			if err != nil && e.stream == current {
				return current, err
			} else if err != nil {
				dropCandidate()
			}
		}
	}
}

// RequestCandidate asks the Watcher that reads from the channel to try another server. It never blocks.
func RequestCandidate(requests chan<- struct{}) {
	select {
	case requests <- struct{}{}:
	default:
	}
}

func (f *follower) reportDelay(reason string) {
	if f.OnDelay != nil {
		f.OnDelay(reason)
	}
}

// reason describes in a few words why a stream ended. Its texts are stored and sent to the list service, so they stay as
// they are.
func reason(err error) string {
	statusErr, isStatus := errors.AsType[*StatusError](err)
	switch {
	case errors.Is(err, errOlderList):
		return "a server told an older list"
	case isStatus && statusErr.HasRetryAfter:
		return "a server said to come later"
	case isStatus:
		return fmt.Sprintf("a server answered %d", statusErr.Code)
	}
	return "the watch ended"
}

// newFailover starts to check a server's heartbeats. It returns nil if the server sends none.
func (f *follower) newFailover(s *stream) *Failover {
	if s.heartbeat <= 0 {
		return nil
	}
	return NewFailover(f.now(), s.heartbeat)
}

// handleEvent processes a message of a stream, or the sign that a message or an empty line has arrived.
func (f *follower) handleEvent(e streamEvent, current *stream, failover *Failover) error {
	e.stream.heard = true
	if e.message == nil {
		f.OnActivity()
		if failover != nil && e.stream == current {
			failover.CurrentHeard(f.now())
		} else if failover != nil {
			failover.CandidateHeard(f.now(), false)
		}
		return nil
	}
	var l List
	err := json.Unmarshal(e.message, &l)
	switch {
	case err != nil:
	case f.Check != nil:
		l, err = f.Check(e.stream.ctx, e.stream.addr, l)
	case l.Revision < f.revision:
		// Either a later change arrived before this one, or discovery has restarted. Requesting the full list settles
		// which.
		err = fmt.Errorf("%w: revision %d after %d", errOlderList, l.Revision, f.revision)
		f.revision = 0
	}
	if err != nil {
		return err
	}
	if failover != nil && e.stream != current {
		failover.CandidateHeard(f.now(), l.Revision > f.revision)
	}
	f.revision = l.Revision
	e.stream.listCount++
	f.Backoff.Reset()
	f.OnList(l)
	return nil
}

// nextRequest returns how long to wait after a stream that ended with err, and the reservation to present to the same
// server. If the reservation is 0, the next server is asked instead.
func (w *Watcher) nextRequest(err error, s *stream) (time.Duration, uint64) {
	if w.Pacer == nil {
		delay := w.Backoff.Next()
		if s.heard && errors.Is(err, errSilent) {
			delay = min(delay, rand.N(maxSilenceBackoff))
		}
		return delay, 0
	}
	if statusErr, ok := errors.AsType[*StatusError](err); ok && statusErr.HasRetryAfter {
		wait, valid := w.Pacer.RetryAfter(statusErr.RetryAfter)
		if !valid {
			w.Log.Warn("list_wait_absurd", "wait", statusErr.RetryAfter)
			return wait, 0
		}
		if w.OnRetryLater != nil {
			w.OnRetryLater()
		}
		return wait, statusErr.Reservation
	}
	if s.listCount > 0 { // every node that followed this server has lost it
		return w.Pacer.InitialDelay(), 0
	}
	return w.Pacer.RetryDelay(time.Since(s.startedAt)), 0
}
