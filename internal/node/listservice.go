package node

import (
	"maps"
	"math/rand/v2"

	"harrierramp/internal/listwatch"
	"harrierramp/internal/turns"
)

// turn is this node's among the others, for what all may want of the list service at once.
func (n *Node) turn() *turns.Turn {
	s := n.cfg.Settings
	return turns.NewTurn(s.Fleet, s.Number, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// newWatcher is what follows the list for the node, from what it knows now.
func (n *Node) newWatcher(tell func(listwatch.List)) *listwatch.Watcher {
	w := &listwatch.Watcher{
		Log: n.log, Client: n.client, At: n.discovery, Pause: listwatch.AgentPauses(), Patience: listwatch.AgentPatience, Heard: n.figures.RecordListActivity,
		Turned: func() { n.figures.ListWatchesEnded.Add(1) }, Tell: tell,
	}
	if n.cfg.Settings.AskForList {
		w.Pause, w.Patience = listwatch.AskPauses(n.cfg.Settings.Fleet), listwatch.AskPatience
	}
	if n.cfg.Registry != nil {
		w.Turns, w.Begin, w.Check = n.turn(), n.cold != nil && !n.cold.Whole(), n.newDoubt().Check
		w.Trouble, w.Nudged = n.late, n.nudge
		w.Beat = n.cfg.Registry.HeartbeatInterval.Duration()
		w.Asked, w.Later = func() { n.figures.ListRequests.Add(1) }, func() { n.figures.ListRequestsDeferred.Add(1) }
	}
	return w
}

func (n *Node) newDoubt() *listwatch.Doubt {
	return listwatch.NewDoubt(listwatch.Doubt{
		Log: n.log, Client: n.client, At: n.discovery, Hold: min(n.cfg.Settings.DrainGrace*3/4, listwatch.MostDoubt),
		Head: n.revision, Unconfirmed: n.unconfirmed, Older: &n.figures.OlderListsRefused, Doubted: &n.figures.SuspiciousListsHeld,
	}, maps.Values(n.members))
}
