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
	// A full list is suspicious if it lacks at least this many members, and more than half, of those known.
	minSuspiciousLoss = 3
	// recheckInterval is the least delay between requests while a list is held; a random part of as much again is added.
	recheckInterval = 75 * time.Millisecond
	MaxHold         = time.Second // maximum of Validator.HoldFor
	// unconfirmedTimeout is how long a list read from the cache outranks servers that send older ones while some
	// servers have not answered yet.
	unconfirmedTimeout = 30 * time.Second
)

// errOlderList rejects a server whose list is older than the node's.
var errOlderList = errors.New("the server's list is older than the known one")

// Validator checks the lists of the project's own list service before they are used.
//
// The node never goes back to an older revision. A server that sends one is a follower that lags, or a primary that
// has been replaced, and another server is asked.
//
// A full list that lacks most of the known members may come from a service that lost its state directory, or from a
// server that was promoted while far behind, whose instances have not registered again yet. But the list may also be
// right, and then calls to the missing endpoints must end within the protocol's drain grace. So the list is held back
// for most of that grace while all servers are asked for a later one; then it is obeyed. Members that a change names
// as removed are removed without delay.
type Validator struct {
	Log      *slog.Logger
	Client   *http.Client
	Servers  *Addresses
	HoldFor  time.Duration
	Revision int64
	known    map[string]bool // IDs of the known members
	// Unconfirmed is set while the known list comes from a cache file and no server has confirmed it. The file may
	// belong to another fleet, or to a service that has lost its state since. So once every server has sent an older
	// list, or one server has and unconfirmedTimeout has passed, the servers' older list is accepted.
	Unconfirmed   bool
	olderServers  map[string]bool // addresses of the servers that have sent an older list
	olderSince    time.Time       // when the first of them did
	RejectedLists *atomic.Int64   // counts lists rejected as older
	HeldLists     *atomic.Int64   // counts lists held back
}

// NewValidator returns a copy of v that starts with the known members.
func NewValidator(v Validator, known iter.Seq[Member]) *Validator {
	v.known = map[string]bool{}
	for m := range known {
		v.known[m.ID] = true
	}
	return &v
}

// Check validates a list that the server at addr sent. It implements Watcher.Check.
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

// acceptOlder reports whether a server's list is accepted although it is older than the unconfirmed one from the
// cache.
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

// losesTooMany reports whether a list that lacks lost of the known members is suspicious.
func losesTooMany(lost, known int) bool { return lost >= minSuspiciousLoss && 2*lost > known }

// countMissing returns how many of the known members a full list lacks.
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

// recheck asks all servers for a later list that is not suspicious, for at most HoldFor.
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

// fetchList gets the full list once. The request names the revision that the node has, because servers admit a node
// that only wants a second opinion before those that are starting.
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
