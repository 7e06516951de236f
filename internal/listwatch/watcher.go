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

// List is discovery's form of the list of endpoints, whole or as changes.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
	// Settling says that the list service has begun anew: endpoints that are there may not be in the list yet. The
	// platform's discovery never says so.
	Settling bool `json:"settling,omitempty"`
	// Floor is what the list service asks of every node; the platform's discovery asks nothing.
	Floor *Floor `json:"floor,omitempty"`
}

// Floor is the least that a node has to be to act at all. What is empty or 0 is not asked for.
type Floor struct {
	Revision int64  `json:"revision,omitempty"` // of the list that it acts on
	Build    string `json:"build,omitempty"`
	Config   string `json:"config,omitempty"` // the digest of its configuration
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

// Addresses is where discovery is to be found. It moves when the configuration is replaced.
type Addresses struct {
	mu      sync.Mutex
	addrs   []string      // of servers that tell the same
	first   int           // the one that this node begins with, so that a fleet spreads over them
	changed chan struct{} // closed by the next move
}

// NewAddresses begins with one of addrs by chance; there must be one at least.
func NewAddresses(addrs []string) *Addresses {
	return &Addresses{addrs: addrs, first: rand.N(len(addrs)), changed: make(chan struct{})}
}

// Move sends to the addresses whatever is asked of discovery from now on, and ends what is being asked elsewhere.
func (a *Addresses) Set(addrs []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Equal(addrs, a.addrs) {
		close(a.changed)
		a.addrs, a.first, a.changed = addrs, rand.N(len(addrs)), make(chan struct{})
	}
}

// Here returns the address for whoever has turned away from so many, and a context that ends when discovery moves.
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

// all are the addresses.
func (a *Addresses) all() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addrs
}

// Turns are when a member of a fleet asks for the list. turns.Turn is one.
type Pacer interface {
	InitialDelay() time.Duration
	RetryDelay(took time.Duration) time.Duration
	RetryAfter(wait time.Duration) (d time.Duration, ok bool)
}

const (
	// answerPatience is how long a server that says when to come may take to say anything.
	serviceResponseTimeout = 2 * time.Second
	// AgentPatience is the same of an agent of the platform's on the node's machine, which answers at once. After Silence
	// there is 1.5 s left until what was missed counts as told: time for a second ask if the first meets silence as well.
	AgentResponseTimeout = 750 * time.Millisecond
	// AskPatience is the same where discovery has to be asked: a call that it can't take in fails after that.
	DiscoveryResponseTimeout = 2 * time.Second
	retrySpacing             = 50 * time.Millisecond // of the whole fleet's first asks again after a failure common to all
	// agentPause is the longest pause between asks of an agent on the node's machine. What an agent gets when discovery
	// returns counts as told at once, and sends have to obey it within the drain grace.
	maxAgentBackoff = 250 * time.Millisecond
	// askPause is the longest where discovery has to be asked. A change counts as told 6 s after discovery had it and could
	// be reached. An ask that began just before it could ends after AskPatience, and after this pause the next one has 0.5 s.
	maxDiscoveryBackoff = 3500 * time.Millisecond
	// silentPause is the longest after a watch that fell silent: with Silence it leaves 0.25 s of the 6 s for the answer.
	maxSilenceBackoff = 1250 * time.Millisecond
)

// AgentPauses are the pauses between asks of an agent, to whom they are no work.
func AgentBackoff() backoff.Backoff {
	return backoff.Backoff{Initial: backoff.InitialDelay, Max: maxAgentBackoff}
}

// AskPauses are those between asks where discovery has to be asked. Every ask is work for it, and one that it can't take in
// fails late: a whole fleet that asks again within a second or two keeps it from answering anybody. So the pauses grow
// with the fleet, up to askPause.
func DiscoveryBackoff(fleet int) backoff.Backoff {
	first := min(max(backoff.InitialDelay, time.Duration(fleet)*retrySpacing), maxDiscoveryBackoff)
	return backoff.Backoff{Initial: first, Max: maxDiscoveryBackoff}
}

// Watcher follows the list.
type Watcher struct {
	Log     *slog.Logger
	Client  *http.Client
	Servers *Addresses
	Backoff backoff.Backoff // between watches, without Turns
	// Patience is how long a server without Turns may take to say anything; 0 for Silence.
	ResponseTimeout time.Duration
	// Turns pace the asks where the servers are the project's own, which say when to come; nil elsewhere. With Begin the
	// first ask waits for its turn as well: the whole fleet may be starting.
	Pacer             Pacer
	PaceStart         bool
	HeartbeatInterval time.Duration // how often a server is asked to say something; 0 for as it likes
	OnRequest         func()        // an ask goes out; may be nil
	OnRetryLater      func()        // and is told to come later; may be nil
	OnActivity        func()        // a server has said something
	OnServerChange    func()        // the watch goes to the next server
	// Nudged asks for another server beside the one that is followed: others act on a later list. May be nil.
	CandidateRequests <-chan struct{}
	// Trouble hears in few words why the list may be late; may be nil.
	OnDelay func(why string)
	// check looks at a list before it is taken: it may give another in its place, or refuse it, and with it the server
	// that told it. Nil takes each as it comes: the platform's discovery says what holds.
	Check  func(ctx context.Context, addr string, l List) (List, error)
	OnList func(List)
}

// Run follows the list from a revision until the context ends. Each watch that ends turns it to the next server, but
// for one that says when to come, which is asked again then. With Beat a server that falls silent is doubted: see Links.
func (w *Watcher) Run(ctx context.Context, after int64) {
	f := follower{Watcher: w, revision: after, events: make(chan streamEvent, 16), startedAt: time.Now()}
	defer f.streams.Wait()
	if w.Pacer != nil && w.PaceStart {
		backoff.Sleep(ctx, w.Pacer.InitialDelay())
	}
	for offset, reservation := 0, uint64(0); ctx.Err() == nil; {
		_, serverCtx, cancel := w.Servers.Pick(ctx, offset) // ends also the pause below when the servers move
		s, err := f.followServer(ctx, f.openStream(ctx, offset, reservation))
		reservation, offset = 0, s.offset
		if serverCtx.Err() != nil {
			cancel()
			w.Backoff.Reset() // it has moved, or the node ends
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

// follower is a Watcher at work. One goroutine owns it, and hears from the streams by a channel.
type follower struct {
	*Watcher
	revision  int64
	events    chan streamEvent
	streams   sync.WaitGroup
	startedAt time.Time
}

// stream is one watch of one server.
type stream struct {
	addr      string
	offset    int
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	listCount int
	heard     bool          // a message, or an empty line between messages
	heartbeat time.Duration // of the server; 0 where it has none
}

// said is what a stream has heard: that it is open, a line, maybe empty, or its end.
type streamEvent struct {
	stream    *stream
	opened    bool
	heartbeat time.Duration
	message   []byte
	err       error // the end, where it is not nil
}

func (f *follower) now() time.Duration { return time.Since(f.startedAt) }

// open begins to watch a server.
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

// follow follows a server to the end of its watch, and another beside it while it is silent. It returns the stream that
// it followed last, and why that has ended.
func (f *follower) followServer(ctx context.Context, current *stream) (*stream, error) {
	var candidate *stream
	var failover *Failover
	requested := false // the other is asked since the first may be behind
	defer func() {
		current.cancel()
		if candidate != nil {
			candidate.cancel()
		}
	}()
	var ticks <-chan time.Time // without beats there is nothing to look at
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
			continue // one that was left
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
				if requested = false; f.revision > known { // it knows more
					f.Log.Warn("list_server_left", "addr", current.addr, "for", candidate.addr)
					f.OnServerChange()
					current.cancel()
					current, candidate = candidate, nil
					failover = f.newFailover(current)
					continue
				}
				dropCandidate() // it knows no more
			}
			if err != nil && e.stream == current {
				return current, err
			} else if err != nil {
				dropCandidate()
			}
		}
	}
}

// Nudge asks a Watcher that is Nudged by the channel for another server, and never waits.
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

// reason says in few words why a watch has ended.
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

// links begins to look at a server's beats; nil where it has none.
func (f *follower) newFailover(s *stream) *Failover {
	if s.heartbeat <= 0 {
		return nil
	}
	return NewFailover(f.now(), s.heartbeat)
}

// hear takes one line of a stream.
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
		// A change that was overtaken, or a discovery that has begun anew. Its whole list, asked for anew, tells.
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

// rest is how long to wait after a watch that has ended so, and the turn to come with, 0 for none: then it is the next
// server's.
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
	if s.listCount > 0 { // all who followed that server have lost it
		return w.Pacer.InitialDelay(), 0
	}
	return w.Pacer.RetryDelay(time.Since(s.startedAt)), 0
}
