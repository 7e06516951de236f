package node

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"harrierramp/internal/backoff"
	"harrierramp/internal/listwatch"
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
func turnPauses(fleet int) backoff.Backoff {
	first := max(leastTurn, time.Duration(fleet)*turnSpacing)
	return backoff.Backoff{First: first, Last: max(backoff.Last, 8*first)}
}

// newWatcher is what follows the list for the node, from what it knows now.
func (n *Node) newWatcher(tell func(listwatch.List)) *listwatch.Watcher {
	w := &listwatch.Watcher{
		Log: n.log, Client: n.client, At: n.discovery, Pause: askPauses(n.cfg.Settings), Heard: n.figures.ListLine,
		Turned: func() { n.figures.ListTurns.Add(1) }, Tell: tell,
	}
	if n.cfg.Registry != nil {
		w.Pause, w.Check = turnPauses(n.cfg.Settings.Fleet), n.newDoubt().Check
	}
	return w
}

func (n *Node) newDoubt() *listwatch.Doubt {
	return listwatch.NewDoubt(listwatch.Doubt{
		Log: n.log, Client: n.client, At: n.discovery, Hold: min(n.cfg.Settings.DrainGrace*3/4, listwatch.MostDoubt),
		Head: n.revision, Older: &n.figures.ListOlder, Doubted: &n.figures.ListDoubted,
	}, maps.Values(n.members))
}
