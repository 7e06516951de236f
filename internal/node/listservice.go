package node

import (
	"maps"
	"time"

	"harrierramp/internal/backoff"
	"harrierramp/internal/listwatch"
)

const (
	// All nodes lose a server that dies at the same moment. The first asks of the next one are spread over the
	// fleet's size, so that it is asked by about as many a second whatever the size.
	turnSpacing = 10 * time.Millisecond
	leastTurn   = 100 * time.Millisecond
)

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
