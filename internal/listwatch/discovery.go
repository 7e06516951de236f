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
	mu    sync.Mutex
	addrs []string      // of servers that tell the same
	first int           // the one that this node begins with, so that a fleet spreads over them
	moved chan struct{} // closed by the next move
}

// NewAddresses begins with one of addrs by chance; there must be one at least.
func NewAddresses(addrs []string) *Addresses {
	return &Addresses{addrs: addrs, first: rand.N(len(addrs)), moved: make(chan struct{})}
}

// Move sends to the addresses whatever is asked of discovery from now on, and ends what is being asked elsewhere.
func (r *Addresses) Move(addrs []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Equal(addrs, r.addrs) {
		close(r.moved)
		r.addrs, r.first, r.moved = addrs, rand.N(len(addrs)), make(chan struct{})
	}
}

// Here returns the address for whoever has turned away from so many, and a context that ends when discovery moves.
func (r *Addresses) Here(ctx context.Context, turn int) (string, context.Context, context.CancelFunc) {
	r.mu.Lock()
	addr, moved := r.addrs[(r.first+turn)%len(r.addrs)], r.moved
	r.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	return addr, ctx, cancel
}

// all are the addresses.
func (r *Addresses) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addrs
}

// Turns are when a member of a fleet asks for the list. turns.Turn is one.
type Turns interface {
	First() time.Duration
	Again(took time.Duration) time.Duration
	Told(wait time.Duration) (d time.Duration, ok bool)
}

const (
	// answerPatience is how long a server that says when to come may take to say anything.
	answerPatience = 2 * time.Second
	// AgentPatience is the same of an agent of the platform's on the node's machine, which answers at once. After Silence
	// there is 1.5 s left until what was missed counts as told: time for a second ask if the first meets silence as well.
	AgentPatience = 750 * time.Millisecond
	// AskPatience is the same where discovery has to be asked: a call that it can't take in fails after that.
	AskPatience = 2 * time.Second
	askSpacing  = 50 * time.Millisecond // of the whole fleet's first asks again after a failure common to all
	// agentPause is the longest pause between asks of an agent on the node's machine. What an agent gets when discovery
	// returns counts as told at once, and sends have to obey it within the drain grace.
	agentPause = 250 * time.Millisecond
	// askPause is the longest where discovery has to be asked. A change counts as told 6 s after discovery had it and could
	// be reached. An ask that began just before it could ends after AskPatience, and after this pause the next one has 0.5 s.
	askPause = 3500 * time.Millisecond
	// silentPause is the longest after a watch that fell silent: with Silence it leaves 0.25 s of the 6 s for the answer.
	silentPause = 1250 * time.Millisecond
)

// AgentPauses are the pauses between asks of an agent, to whom they are no work.
func AgentPauses() backoff.Backoff { return backoff.Backoff{First: backoff.First, Last: agentPause} }

// AskPauses are those between asks where discovery has to be asked. Every ask is work for it, and one that it can't take in
// fails late: a whole fleet that asks again within a second or two keeps it from answering anybody. So the pauses grow
// with the fleet, up to askPause.
func AskPauses(fleet int) backoff.Backoff {
	first := min(max(backoff.First, time.Duration(fleet)*askSpacing), askPause)
	return backoff.Backoff{First: first, Last: askPause}
}

// Watcher follows the list.
type Watcher struct {
	Log    *slog.Logger
	Client *http.Client
	At     *Addresses
	Pause  backoff.Backoff // between watches, without Turns
	// Patience is how long a server without Turns may take to say anything; 0 for Silence.
	Patience time.Duration
	// Turns pace the asks where the servers are the project's own, which say when to come; nil elsewhere. With Begin the
	// first ask waits for its turn as well: the whole fleet may be starting.
	Turns  Turns
	Begin  bool
	Beat   time.Duration // how often a server is asked to say something; 0 for as it likes
	Asked  func()        // an ask goes out; may be nil
	Later  func()        // and is told to come later; may be nil
	Heard  func()        // a server has said something
	Turned func()        // the watch goes to the next server
	// Nudged asks for another server beside the one that is followed: others act on a later list. May be nil.
	Nudged <-chan struct{}
	// Trouble hears in few words why the list may be late; may be nil.
	Trouble func(why string)
	// check looks at a list before it is taken: it may give another in its place, or refuse it, and with it the server
	// that told it. Nil takes each as it comes: the platform's discovery says what holds.
	Check func(ctx context.Context, addr string, l List) (List, error)
	Tell  func(List)
}

// Run follows the list from a revision until the context ends. Each watch that ends turns it to the next server, but
// for one that says when to come, which is asked again then. With Beat a server that falls silent is doubted: see Links.
func (w *Watcher) Run(ctx context.Context, after int64) {
	f := follower{Watcher: w, after: after, said: make(chan said, 16), began: time.Now()}
	defer f.streams.Wait()
	if w.Turns != nil && w.Begin {
		backoff.Sleep(ctx, w.Turns.First())
	}
	for turn, held := 0, uint64(0); ctx.Err() == nil; {
		_, here, cancel := w.At.Here(ctx, turn) // ends also the pause below when the servers move
		s, err := f.follow(ctx, f.open(ctx, turn, held))
		held, turn = 0, s.turn
		if here.Err() != nil {
			cancel()
			w.Pause.Reset() // it has moved, or the node ends
			continue
		}
		w.Log.Debug("list_watch_ended", "addr", s.addr, "err", err)
		f.trouble(reason(err))
		var wait time.Duration
		if wait, held = w.rest(err, s); held == 0 {
			w.Turned()
			turn++
		}
		backoff.Sleep(here, wait)
		cancel()
	}
}

// follower is a Watcher at work. One goroutine owns it, and hears from the streams by a channel.
type follower struct {
	*Watcher
	after   int64
	said    chan said
	streams sync.WaitGroup
	began   time.Time
}

// stream is one watch of one server.
type stream struct {
	addr   string
	turn   int
	ctx    context.Context
	cancel context.CancelFunc
	began  time.Time
	lists  int
	heard  bool          // a message, or an empty line between messages
	beat   time.Duration // of the server; 0 where it has none
}

// said is what a stream has heard: that it is open, a line, maybe empty, or its end.
type said struct {
	from *stream
	open bool
	beat time.Duration
	text []byte
	err  error // the end, where it is not nil
}

func (f *follower) now() time.Duration { return time.Since(f.began) }

// open begins to watch a server.
func (f *follower) open(ctx context.Context, turn int, held uint64) *stream {
	s := &stream{turn: turn, began: time.Now()}
	s.addr, s.ctx, s.cancel = f.At.Here(ctx, turn)
	url := fmt.Sprintf("http://%s/registry/instances?watch=1&after=%d", s.addr, f.after)
	w := Watch{Patience: cmp.Or(f.Patience, Silence), Silence: Silence}
	tell := func(m said) {
		m.from = s
		select {
		case f.said <- m:
		case <-ctx.Done():
		}
	}
	if f.Turns != nil {
		w.Patience, w.Silence = answerPatience, ServiceSilence
		if held != 0 {
			url += fmt.Sprintf("&turn=%d", held)
		}
	}
	if f.Beat > 0 {
		url += fmt.Sprintf("&beat=%d", f.Beat.Milliseconds())
		w.Opened = func(beat time.Duration) { tell(said{open: true, beat: beat}) }
	}
	w.Heard = func() { tell(said{}) }
	if f.Asked != nil {
		f.Asked()
	}
	f.streams.Go(func() {
		err := Follow(s.ctx, f.Client, url, w, func(message []byte) error {
			tell(said{text: message})
			return nil
		})
		tell(said{err: err})
	})
	return s
}

// follow follows a server to the end of its watch, and another beside it while it is silent. It returns the stream that
// it followed last, and why that has ended.
func (f *follower) follow(ctx context.Context, first *stream) (*stream, error) {
	var other *stream
	var links *Links
	nudged := false // the other is asked since the first may be behind
	defer func() {
		first.cancel()
		if other != nil {
			other.cancel()
		}
	}()
	var ticks <-chan time.Time // without beats there is nothing to look at
	if f.Beat > 0 {
		t := time.NewTicker(max(f.Beat/2, 50*time.Millisecond))
		defer t.Stop()
		ticks = t.C
	}
	drop := func() {
		if other != nil {
			other.cancel()
		}
		nudged = false
		if other = nil; links != nil {
			links.Lost()
		}
	}
	for {
		var m said
		select {
		case m = <-f.said:
		case <-ticks:
			if links == nil {
				continue
			}
			switch links.Step(f.now()) {
			case Open:
				f.Log.Warn("list_silent", "addr", first.addr)
				f.trouble("the link is silent")
				other = f.open(ctx, first.turn+1, 0)
			case Renew:
				turn := first.turn + 1
				if other != nil {
					turn = other.turn + 1
					other.cancel()
				}
				other = f.open(ctx, turn, 0)
			case Drop:
				f.Log.Info("list_silent_over", "addr", first.addr)
				drop()
			case Leave:
				f.Log.Warn("list_server_left", "addr", first.addr, "for", other.addr)
				f.Turned()
				first.cancel()
				first, other = other, nil
				links = f.links(first)
			}
			continue
		case <-f.Nudged:
			turn := first.turn + 1
			if other != nil {
				turn = other.turn + 1
			}
			drop()
			other, nudged = f.open(ctx, turn, 0), true
			continue
		case <-ctx.Done():
			return first, ctx.Err()
		}
		switch {
		case m.from != first && m.from != other:
			continue // one that was left
		case m.err != nil && m.from == first:
			if other == nil || other.lists == 0 {
				return first, m.err
			}
			f.Turned()
			first, other = other, nil
			links = f.links(first)
		case m.err != nil:
			drop()
		case m.open:
			if m.from.beat = m.beat; m.from == first {
				links = f.links(first)
			}
		default:
			known := f.after
			err := f.hear(m, first, links)
			if err == nil && m.from == other && nudged && m.text != nil {
				if nudged = false; f.after > known { // it knows more
					f.Log.Warn("list_server_left", "addr", first.addr, "for", other.addr)
					f.Turned()
					first.cancel()
					first, other = other, nil
					links = f.links(first)
					continue
				}
				drop() // it knows no more
			}
			if err != nil && m.from == first {
				return first, err
			} else if err != nil {
				drop()
			}
		}
	}
}

// Nudge asks a Watcher that is Nudged by the channel for another server, and never waits.
func Nudge(nudged chan<- struct{}) {
	select {
	case nudged <- struct{}{}:
	default:
	}
}

func (f *follower) trouble(why string) {
	if f.Trouble != nil {
		f.Trouble(why)
	}
}

// reason says in few words why a watch has ended.
func reason(err error) string {
	no, status := errors.AsType[*StatusError](err)
	switch {
	case errors.Is(err, errOlderList):
		return "a server told an older list"
	case status && no.Said:
		return "a server said to come later"
	case status:
		return fmt.Sprintf("a server answered %d", no.Code)
	}
	return "the watch ended"
}

// links begins to look at a server's beats; nil where it has none.
func (f *follower) links(s *stream) *Links {
	if s.beat <= 0 {
		return nil
	}
	return NewLinks(f.now(), s.beat)
}

// hear takes one line of a stream.
func (f *follower) hear(m said, first *stream, links *Links) error {
	m.from.heard = true
	if m.text == nil {
		f.Heard()
		if links != nil && m.from == first {
			links.Heard(f.now())
		} else if links != nil {
			links.HeardOther(f.now(), false)
		}
		return nil
	}
	var l List
	err := json.Unmarshal(m.text, &l)
	switch {
	case err != nil:
	case f.Check != nil:
		l, err = f.Check(m.from.ctx, m.from.addr, l)
	case l.Revision < f.after:
		// A change that was overtaken, or a discovery that has begun anew. Its whole list, asked for anew, tells.
		err = fmt.Errorf("%w: revision %d after %d", errOlderList, l.Revision, f.after)
		f.after = 0
	}
	if err != nil {
		return err
	}
	if links != nil && m.from != first {
		links.HeardOther(f.now(), l.Revision > f.after)
	}
	f.after = l.Revision
	m.from.lists++
	f.Pause.Reset()
	f.Tell(l)
	return nil
}

// rest is how long to wait after a watch that has ended so, and the turn to come with, 0 for none: then it is the next
// server's.
func (w *Watcher) rest(err error, s *stream) (time.Duration, uint64) {
	if w.Turns == nil {
		pause := w.Pause.Next()
		if s.heard && errors.Is(err, errSilent) {
			pause = min(pause, rand.N(silentPause))
		}
		return pause, 0
	}
	if no, ok := errors.AsType[*StatusError](err); ok && no.Said {
		wait, sense := w.Turns.Told(no.Wait)
		if !sense {
			w.Log.Warn("list_wait_absurd", "wait", no.Wait)
			return wait, 0
		}
		if w.Later != nil {
			w.Later()
		}
		return wait, no.Turn
	}
	if s.lists > 0 { // all who followed that server have lost it
		return w.Turns.First(), 0
	}
	return w.Turns.Again(time.Since(s.began)), 0
}
