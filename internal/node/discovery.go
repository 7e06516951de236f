package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/listwatch"
	"harrierramp/internal/wire"
)

const (
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
	askSpacing   = 50 * time.Millisecond // of the whole fleet's first asks again after a failure common to all
)

// list is discovery's form of the list of endpoints, whole or as changes.
type list struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

type member struct {
	ID       string  `json:"id"`
	Addr     string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
}

var phases = map[string]choice.Phase{
	"SERVING": choice.Ready, "DRAINING": choice.Draining, "DELETED": choice.Gone,
}

// entries converts a list for the module. A member of a phase that is not known is taken as draining.
func (l list) entries(names wire.Names) []choice.Entry {
	out := make([]choice.Entry, 0, len(l.Members))
	for _, m := range l.Members {
		phase, ok := phases[m.Phase]
		if !ok {
			phase = choice.Draining
		}
		out = append(out, choice.Entry{
			Endpoint: m.ID, Zone: slices.Index(names.Zones, m.Locality), Kind: slices.Index(names.Kinds, m.Flavor),
			Dest: m.Cell, Phase: phase, Weight: m.Size,
		})
	}
	return out
}

// endpoint is what calls need to know of one; the loop writes it, calls in flight read it.
type endpoint struct {
	id, addr string
	zone     int
	shut     atomic.Bool   // it drains or is gone
	out      atomic.Bool   // operators have taken it out
	wait     *atomic.Int64 // Unix time in nanoseconds; its destination, or route, asked to be left alone until then
}

// closedTo tells that nothing new may go to the endpoint now.
func (e *endpoint) closedTo(now time.Time) bool {
	return e.shut.Load() || e.out.Load() || now.UnixNano() < e.wait.Load()
}

// backoff is a pause that doubles from first to last, with half of it left to chance so that nodes don't return in step.
type backoff struct{ first, last, pause time.Duration }

func (b *backoff) next() time.Duration {
	b.pause = min(max(2*b.pause, b.first), max(b.first, b.last))
	return b.pause/2 + rand.N(b.pause/2+1)
}

// reset starts over: what was tried has gone well.
func (b *backoff) reset() { b.pause = 0 }

// askPauses are the pauses between asks for the list. Where discovery has to be asked, every ask is work for it, and
// one that it can't take in fails late: a whole fleet that asks again within a second or two keeps it from answering
// anybody. So the pauses grow with the fleet, whose asks together stay under a rate that doesn't hang on its size.
func askPauses(s choice.Settings) backoff {
	if !s.AskForList {
		return backoff{first: firstBackoff, last: lastBackoff}
	}
	first := max(firstBackoff, time.Duration(s.Fleet)*askSpacing)
	return backoff{first: first, last: max(lastBackoff, 8*first)}
}

// sleep waits, and tells whether the context is still alive after it.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// discovery is where discovery is to be found. It moves when the configuration is replaced.
type discovery struct {
	mu    sync.Mutex
	addrs []string      // of servers that tell the same
	first int           // the one that this node begins with, so that a fleet spreads over them
	moved chan struct{} // closed by the next move
}

func newDiscovery(addrs []string) *discovery {
	return &discovery{addrs: addrs, first: rand.N(len(addrs)), moved: make(chan struct{})}
}

// move sends to the addresses whatever is asked of discovery from now on, and ends what is being asked elsewhere.
func (r *discovery) move(addrs []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Equal(addrs, r.addrs) {
		close(r.moved)
		r.addrs, r.first, r.moved = addrs, rand.N(len(addrs)), make(chan struct{})
	}
}

// here returns the address for whoever has turned away from so many, and a context that ends when discovery moves.
func (r *discovery) here(ctx context.Context, turn int) (string, context.Context, context.CancelFunc) {
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
func (r *discovery) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addrs
}

// watcher follows the list.
type watcher struct {
	log     *slog.Logger
	client  *http.Client
	at      *discovery
	pause   backoff // between watches
	figures *figures
	// check looks at a list before it is taken: it may give another in its place, or refuse it, and with it the server
	// that told it. Nil takes each as it comes: the platform's discovery says what holds.
	check func(context.Context, list) (list, error)
	tell  func(list)
}

// run follows the list from a revision until the context ends. Each watch that ends turns it to the next server.
func (w *watcher) run(ctx context.Context, after int64) {
	for turn := 0; ctx.Err() == nil; turn++ {
		addr, here, cancel := w.at.here(ctx, turn)
		url := fmt.Sprintf("http://%s/registry/instances?watch=1&after=%d", addr, after)
		err := listwatch.Lines(here, w.client, url, w.figures.listLine, func(line []byte) error {
			var l list
			err := json.Unmarshal(line, &l)
			if err == nil && w.check != nil {
				l, err = w.check(here, l)
			}
			if err == nil {
				after = l.Revision
				w.pause.reset()
				w.tell(l)
			}
			return err
		})
		if here.Err() != nil {
			w.pause.reset() // it has moved, or the node ends
		} else {
			w.figures.listTurns.Add(1)
			w.log.Debug("watch ended", "addr", addr, "err", err)
			sleep(here, w.pause.next())
		}
		cancel()
	}
}
