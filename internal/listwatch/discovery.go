package listwatch

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"

	"harrierramp/internal/backoff"
)

// List is discovery's form of the list of endpoints, whole or as changes.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
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

// Watcher follows the list.
type Watcher struct {
	Log    *slog.Logger
	Client *http.Client
	At     *Addresses
	Pause  backoff.Backoff // between watches
	Heard  func()          // a server has said something
	Turned func()          // the watch goes to the next server
	// check looks at a list before it is taken: it may give another in its place, or refuse it, and with it the server
	// that told it. Nil takes each as it comes: the platform's discovery says what holds.
	Check func(context.Context, List) (List, error)
	Tell  func(List)
}

// Run follows the list from a revision until the context ends. Each watch that ends turns it to the next server.
func (w *Watcher) Run(ctx context.Context, after int64) {
	for turn := 0; ctx.Err() == nil; turn++ {
		addr, here, cancel := w.At.Here(ctx, turn)
		url := fmt.Sprintf("http://%s/registry/instances?watch=1&after=%d", addr, after)
		err := Lines(here, w.Client, url, w.Heard, func(line []byte) error {
			var l List
			err := json.Unmarshal(line, &l)
			if err == nil && w.Check != nil {
				l, err = w.Check(here, l)
			}
			if err == nil {
				after = l.Revision
				w.Pause.Reset()
				w.Tell(l)
			}
			return err
		})
		if here.Err() != nil {
			w.Pause.Reset() // it has moved, or the node ends
		} else {
			w.Turned()
			w.Log.Debug("list_watch_ended", "addr", addr, "err", err)
			backoff.Sleep(here, w.Pause.Next())
		}
		cancel()
	}
}
