package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

// ListService is the section of the configuration for the project's own list service. Its servers tell the same
// list, with revisions that only rise, whichever of them is asked.
type ListService struct {
	Addresses []string `json:"addresses"` // of all its servers, in any order
	Keep      bool     `json:"keep"`      // keep the last good list in the lasting folder
}

const (
	maxListServers = 16
	// All nodes lose a server that dies at the same moment. The first asks of the next one are spread over the
	// fleet's size, so that it is asked by about as many a second whatever the size.
	turnSpacing = 10 * time.Millisecond
	leastTurn   = 100 * time.Millisecond
	// What is lost is doubted if it is at least so many and more than half of what was known.
	doubtLeast = 3
	doubtPause = 50 * time.Millisecond // between asks while it is
	mostDoubt  = time.Second
)

// check tells what is wrong with the section.
func (s *ListService) check() error {
	if s == nil {
		return nil
	}
	if len(s.Addresses) == 0 || len(s.Addresses) > maxListServers {
		return fmt.Errorf("registry.addresses names %d servers: from 1 to %d", len(s.Addresses), maxListServers)
	}
	for i, addr := range s.Addresses {
		if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
			return fmt.Errorf("registry.addresses: %q is no address with a port", addr)
		}
		if slices.Contains(s.Addresses[:i], addr) {
			return fmt.Errorf("registry.addresses names %s twice", addr)
		}
	}
	return nil
}

// discoveryAt is where the list is to be had and notices are taken.
func (c Config) discoveryAt() []string {
	if c.Registry != nil {
		return c.Registry.Addresses
	}
	return []string{c.Discovery}
}

// turnPauses are the pauses before the next server is asked.
func turnPauses(fleet int) backoff {
	first := max(leastTurn, time.Duration(fleet)*turnSpacing)
	return backoff{first: first, last: max(lastBackoff, 8*first)}
}

// errOlderList refuses a server that is behind what the node knows.
var errOlderList = errors.New("the server's list is older than what is known")

// doubt looks at the lists of the project's own service before they are taken.
//
// A list never takes the node back to an older revision: the server that tells it is a follower that lags, or a
// primary that has been replaced, and another server is asked.
//
// A whole list without most of what was known is what a service tells that has lost its folder, or that was promoted
// far behind, and whose instances have yet to register again. But it may as well be true, and then sends to what it
// leaves out have to end within the protocol's grace. So it is held for most of that grace, in which all servers
// are asked for a later list; then it is obeyed. What changes say by name is never doubted.
type doubt struct {
	log     *slog.Logger
	client  *http.Client
	at      *discovery
	hold    time.Duration
	head    int64
	members map[string]bool // by id
	older   *atomic.Int64   // lists refused
	doubted *atomic.Int64   // lists held
}

// newWatcher is what follows the list for the node, from what it knows now.
func (n *Node) newWatcher(tell func(list)) *watcher {
	w := &watcher{
		log: n.log, client: n.client, at: n.discovery, pause: askPauses(n.cfg.Settings), figures: n.figures, tell: tell,
	}
	if n.cfg.Registry != nil {
		w.pause, w.check = turnPauses(n.cfg.Settings.Fleet), n.newDoubt().check
	}
	return w
}

func (n *Node) newDoubt() *doubt {
	d := &doubt{
		log: n.log, client: n.client, at: n.discovery, hold: min(n.cfg.Settings.DrainGrace*3/4, mostDoubt),
		head: n.revision, members: map[string]bool{}, older: &n.figures.listOlder, doubted: &n.figures.listDoubted,
	}
	for id := range n.members {
		d.members[id] = true
	}
	return d
}

// check is what watch does with each list.
func (d *doubt) check(ctx context.Context, l list) (list, error) {
	if l.Revision < d.head {
		d.older.Add(1)
		return l, fmt.Errorf("%w: revision %d after %d", errOlderList, l.Revision, d.head)
	}
	if lost := d.lost(l); doubtful(lost, len(d.members)) {
		d.doubted.Add(1)
		d.log.Warn("a list without most of what was known", "revision", l.Revision, "lost", lost, "known", len(d.members))
		l = d.reconsider(ctx, l)
		d.log.Warn("the list is taken", "revision", l.Revision, "lost", d.lost(l))
	}
	d.take(l)
	return l, nil
}

// doubtful tells whether losing so many of those known is worth a second look.
func doubtful(lost, known int) bool { return lost >= doubtLeast && 2*lost > known }

// lost is how many of those known a whole list leaves out.
func (d *doubt) lost(l list) int {
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

func (d *doubt) take(l list) {
	if d.head = l.Revision; l.Complete {
		clear(d.members)
	}
	for _, m := range l.Members {
		if d.members[m.ID] = true; m.Phase == "DELETED" {
			delete(d.members, m.ID)
		}
	}
}

// reconsider asks all servers for a later list that is not doubtful, for as long as the list may be held.
func (d *doubt) reconsider(ctx context.Context, l list) list {
	ctx, cancel := context.WithTimeout(ctx, d.hold)
	defer cancel()
	for {
		for _, addr := range d.at.all() {
			later, err := askList(ctx, d.client, addr)
			if err != nil {
				d.log.Debug("no second opinion", "addr", addr, "err", err)
				continue
			}
			if later.Revision > l.Revision {
				l = later
			}
			if !doubtful(d.lost(l), len(d.members)) {
				return l
			}
		}
		if !sleep(ctx, doubtPause) {
			return l
		}
	}
}

// askList gets the whole list once.
func askList(ctx context.Context, client *http.Client, addr string) (list, error) {
	var l list
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/registry/instances", nil)
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxKeptList)).Decode(&l); err != nil {
		return l, fmt.Errorf("list: %w", err)
	}
	return l, nil
}
