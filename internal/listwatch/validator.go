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
	minSuspiciousLoss = 3
	recheckInterval   = 75 * time.Millisecond // between asks while it is, and up to as much again
	MaxHold           = time.Second           // the most that a list may be held
	// What a file says is held against servers that tell less for so long, while others have yet to be heard.
	unconfirmedTimeout = 30 * time.Second
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
type Validator struct {
	Log      *slog.Logger
	Client   *http.Client
	Servers  *Addresses
	HoldFor  time.Duration
	Revision int64
	known    map[string]bool // by id
	// Unconfirmed says that what is known comes from a file, and no server has said so yet. It may be another fleet's, or
	// of a service that has lost its folder since. So once every server has told an earlier list, or one has and
	// unconfirmedLast has passed, the servers are believed.
	Unconfirmed   bool
	olderServers  map[string]bool // addresses that have told an earlier list meanwhile
	olderSince    time.Time       // the first of them
	RejectedLists *atomic.Int64   // lists refused
	HeldLists     *atomic.Int64   // lists held
}

// NewDoubt begins with what is known.
func NewValidator(v Validator, known iter.Seq[Member]) *Validator {
	v.known = map[string]bool{}
	for m := range known {
		v.known[m.ID] = true
	}
	return &v
}

// Check is what watch does with each list of the server at addr.
func (v *Validator) Check(ctx context.Context, addr string, l List) (List, error) {
	if l.Revision < v.Revision && !v.acceptOlder(addr, l) {
		v.RejectedLists.Add(1)
		return l, fmt.Errorf("%w: revision %d after %d", errOlderList, l.Revision, v.Revision)
	}
	v.Unconfirmed = false
	if missing := v.countMissing(l); losesTooMany(missing, len(v.known)) {
		v.HeldLists.Add(1)
		v.Log.Warn("list_doubted", "revision", l.Revision, "lost", missing, "known", len(v.known))
		l = v.recheck(ctx, l)
		v.Log.Warn("list_taken", "revision", l.Revision, "lost", v.countMissing(l))
	}
	v.record(l)
	return l, nil
}

// ahead tells whether what is known is not to be held against a server that tells less.
func (v *Validator) acceptOlder(addr string, l List) bool {
	if !v.Unconfirmed || !l.Complete {
		return false
	}
	if v.olderServers == nil {
		v.olderServers, v.olderSince = map[string]bool{}, time.Now()
	}
	v.olderServers[addr] = true
	for _, a := range v.Servers.all() {
		if !v.olderServers[a] && time.Since(v.olderSince) < unconfirmedTimeout {
			return false
		}
	}
	v.Log.Warn("kept_list_ahead", "kept", v.Revision, "told", l.Revision)
	return true
}

// doubtful tells whether losing so many of those known is worth a second look.
func losesTooMany(lost, known int) bool { return lost >= minSuspiciousLoss && 2*lost > known }

// lost is how many of those known a whole list leaves out.
func (v *Validator) countMissing(l List) int {
	if !l.Complete {
		return 0
	}
	missing := len(v.known)
	for _, m := range l.Members {
		if v.known[m.ID] {
			missing--
		}
	}
	return missing
}

func (v *Validator) record(l List) {
	if v.Revision = l.Revision; l.Complete {
		clear(v.known)
	}
	for _, m := range l.Members {
		if v.known[m.ID] = true; m.Phase == "DELETED" {
			delete(v.known, m.ID)
		}
	}
}

// reconsider asks all servers for a later list that is not doubtful, for as long as the list may be held.
func (v *Validator) recheck(ctx context.Context, l List) List {
	ctx, cancel := context.WithTimeout(ctx, v.HoldFor)
	defer cancel()
	for {
		for _, addr := range v.Servers.all() {
			later, err := fetchList(ctx, v.Client, addr, v.Revision)
			if err != nil {
				v.Log.Debug("list_no_second_opinion", "addr", addr, "err", err)
				continue
			}
			if later.Revision > l.Revision {
				l = later
			}
			if !losesTooMany(v.countMissing(l), len(v.known)) {
				return l
			}
		}
		if !backoff.Sleep(ctx, recheckInterval+rand.N(recheckInterval)) {
			return l
		}
	}
}

// askList gets the whole list once. It says which revision is known: who only wants a second opinion goes before those
// that begin.
func fetchList(ctx context.Context, client *http.Client, addr string, revision int64) (List, error) {
	var l List
	url := fmt.Sprintf("http://%s/registry/instances?after=%d", addr, revision)
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, MaxCachedList)).Decode(&l); err != nil {
		return l, fmt.Errorf("list: %w", err)
	}
	return l, nil
}
