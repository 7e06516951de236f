package listwatch

import (
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

// answerPatience is how long a server that says when to come may take to say anything.
const answerPatience = 2 * time.Second

// Watcher follows the list.
type Watcher struct {
	Log    *slog.Logger
	Client *http.Client
	At     *Addresses
	Pause  backoff.Backoff // between watches, without Turns
	// Turns pace the asks where the servers are the project's own, which say when to come; nil elsewhere. With Begin the
	// first ask waits for its turn as well: the whole fleet may be starting.
	Turns  Turns
	Begin  bool
	Asked  func() // an ask goes out; may be nil
	Later  func() // and is told to come later; may be nil
	Heard  func() // a server has said something
	Turned func() // the watch goes to the next server
	// check looks at a list before it is taken: it may give another in its place, or refuse it, and with it the server
	// that told it. Nil takes each as it comes: the platform's discovery says what holds.
	Check func(ctx context.Context, addr string, l List) (List, error)
	Tell  func(List)
}

// Run follows the list from a revision until the context ends. Each watch that ends turns it to the next server, but
// for one that says when to come, which is asked again then.
func (w *Watcher) Run(ctx context.Context, after int64) {
	if w.Turns != nil && w.Begin {
		backoff.Sleep(ctx, w.Turns.First())
	}
	turn, held := 0, uint64(0)
	for ctx.Err() == nil {
		addr, here, cancel := w.At.Here(ctx, turn)
		url := fmt.Sprintf("http://%s/registry/instances?watch=1&after=%d", addr, after)
		patience := Silence
		if w.Turns != nil {
			patience = answerPatience
		}
		if held != 0 {
			url += fmt.Sprintf("&turn=%d", held)
		}
		if w.Asked != nil {
			w.Asked()
		}
		began, lists := time.Now(), 0
		err := Lines(here, w.Client, url, patience, w.Heard, func(line []byte) error {
			var l List
			err := json.Unmarshal(line, &l)
			if err == nil && w.Check != nil {
				l, err = w.Check(here, addr, l)
			}
			if err == nil {
				after = l.Revision
				lists++
				w.Pause.Reset()
				w.Tell(l)
			}
			return err
		})
		held = 0
		if here.Err() != nil {
			w.Pause.Reset() // it has moved, or the node ends
		} else {
			w.Log.Debug("list_watch_ended", "addr", addr, "err", err)
			var wait time.Duration
			if wait, held = w.rest(err, lists > 0, time.Since(began)); held == 0 {
				w.Turned()
				turn++
			}
			backoff.Sleep(here, wait)
		}
		cancel()
	}
}

// rest is how long to wait after a watch that has ended so, and the turn to come with, 0 for none: then it is the next
// server's.
func (w *Watcher) rest(err error, served bool, took time.Duration) (time.Duration, uint64) {
	if w.Turns == nil {
		return w.Pause.Next(), 0
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
	if served { // all who followed that server have lost it
		return w.Turns.First(), 0
	}
	return w.Turns.Again(took), 0
}
