package listwatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"harrierramp/internal/backoff"
)

const (
	// What is lost is doubted if it is at least so many and more than half of what was known.
	doubtLeast = 3
	doubtPause = 75 * time.Millisecond // between asks while it is, and up to as much again
	MostDoubt  = time.Second           // the most that a list may be held
	// What a file says is held against servers that tell less for so long, while others have yet to be heard.
	unconfirmedLast = 30 * time.Second
)

// errOlderList refuses a server that is behind what the node knows.
var errOlderList = errors.New("the server's list is older than what is known")

// Doubt looks at the lists of the project's own service before they are taken.
//
// A list never takes the node back to an older revision: the server that tells it is a follower that lags, or a
// primary that has been replaced, and another server is asked.
//
// A whole list without most of what was known is what a service tells that has lost its folder, or that was promoted
// far behind, and whose instances have yet to register again. But it may as well be true, and then sends to what it
// leaves out have to end within the protocol's grace. So it is held for most of that grace, in which all servers
// are asked for a later list; then it is obeyed. What changes say by name is never doubted.
type Doubt struct {
	Log     *slog.Logger
	Client  *http.Client
	At      *Addresses
	Hold    time.Duration
	Head    int64
	members map[string]bool // by id
	// Unconfirmed says that what is known comes from a file, and no server has said so yet. It may be another fleet's, or
	// of a service that has lost its folder since. So once every server has told an earlier list, or one has and
	// unconfirmedLast has passed, the servers are believed.
	Unconfirmed bool
	behind      map[string]bool // addresses that have told an earlier list meanwhile
	since       time.Time       // the first of them
	Older       *atomic.Int64   // lists refused
	Doubted     *atomic.Int64   // lists held
}

// NewDoubt begins with what is known.
func NewDoubt(d Doubt, known iter.Seq[Member]) *Doubt {
	d.members = map[string]bool{}
	for m := range known {
		d.members[m.ID] = true
	}
	return &d
}

// Check is what watch does with each list of the server at addr.
func (d *Doubt) Check(ctx context.Context, addr string, l List) (List, error) {
	if l.Revision < d.Head && !d.ahead(addr, l) {
		d.Older.Add(1)
		return l, fmt.Errorf("%w: revision %d after %d", errOlderList, l.Revision, d.Head)
	}
	d.Unconfirmed = false
	if lost := d.lost(l); doubtful(lost, len(d.members)) {
		d.Doubted.Add(1)
		d.Log.Warn("list_doubted", "revision", l.Revision, "lost", lost, "known", len(d.members))
		l = d.reconsider(ctx, l)
		d.Log.Warn("list_taken", "revision", l.Revision, "lost", d.lost(l))
	}
	d.take(l)
	return l, nil
}

// ahead tells whether what is known is not to be held against a server that tells less.
func (d *Doubt) ahead(addr string, l List) bool {
	if !d.Unconfirmed || !l.Complete {
		return false
	}
	if d.behind == nil {
		d.behind, d.since = map[string]bool{}, time.Now()
	}
	d.behind[addr] = true
	for _, a := range d.At.all() {
		if !d.behind[a] && time.Since(d.since) < unconfirmedLast {
			return false
		}
	}
	d.Log.Warn("kept_list_ahead", "kept", d.Head, "told", l.Revision)
	return true
}

// doubtful tells whether losing so many of those known is worth a second look.
func doubtful(lost, known int) bool { return lost >= doubtLeast && 2*lost > known }

// lost is how many of those known a whole list leaves out.
func (d *Doubt) lost(l List) int {
	if !l.Complete {
		return 0
	}
	lost := len(d.members)
	for _, m := range l.Members {
		if d.members[m.ID] {
			lost--
		}
	}
	return lost
}

func (d *Doubt) take(l List) {
	if d.Head = l.Revision; l.Complete {
		clear(d.members)
	}
	for _, m := range l.Members {
		if d.members[m.ID] = true; m.Phase == "DELETED" {
			delete(d.members, m.ID)
		}
	}
}

// reconsider asks all servers for a later list that is not doubtful, for as long as the list may be held.
func (d *Doubt) reconsider(ctx context.Context, l List) List {
	ctx, cancel := context.WithTimeout(ctx, d.Hold)
	defer cancel()
	for {
		for _, addr := range d.At.all() {
			later, err := askList(ctx, d.Client, addr, d.Head)
			if err != nil {
				d.Log.Debug("list_no_second_opinion", "addr", addr, "err", err)
				continue
			}
			if later.Revision > l.Revision {
				l = later
			}
			if !doubtful(d.lost(l), len(d.members)) {
				return l
			}
		}
		if !backoff.Sleep(ctx, doubtPause+rand.N(doubtPause)) {
			return l
		}
	}
}

// askList gets the whole list once. It says which revision is known: who only wants a second opinion goes before those
// that begin.
func askList(ctx context.Context, client *http.Client, addr string, known int64) (List, error) {
	var l List
	url := fmt.Sprintf("http://%s/registry/instances?after=%d", addr, known)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return l, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("list: %s", resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, MaxKeptList)).Decode(&l); err != nil {
		return l, fmt.Errorf("list: %w", err)
	}
	return l, nil
}
