package node

import (
	"maps"
	"math/rand/v2"

	"harrierramp/internal/admission"
	"harrierramp/internal/listwatch"
)

// turn is this node's among the others, for what all may want of the list service at once.
func (n *Node) newPacer() *admission.Pacer {
	s := n.cfg.Settings
	return admission.NewPacer(s.FleetSize, s.Number, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// newWatcher is what follows the list for the node, from what it knows now.
func (n *Node) newWatcher(onList func(listwatch.List)) *listwatch.Watcher {
	w := &listwatch.Watcher{
		Log: n.log, Client: n.httpClient, Servers: n.discovery, Backoff: listwatch.AgentBackoff(), ResponseTimeout: listwatch.AgentResponseTimeout, OnActivity: n.metrics.RecordListActivity,
		OnServerChange: func() { n.metrics.ListWatchesEnded.Add(1) }, OnList: onList,
	}
	if n.cfg.Settings.ListOnRequest {
		w.Backoff, w.ResponseTimeout = listwatch.DiscoveryBackoff(n.cfg.Settings.FleetSize), listwatch.DiscoveryResponseTimeout
	}
	if n.cfg.Registry != nil {
		w.Pacer, w.PaceStart, w.Check = n.newPacer(), n.startup != nil && !n.startup.Complete(), n.newListValidator().Check
		w.OnDelay, w.CandidateRequests = n.noteListLate, n.recheckList
		w.HeartbeatInterval = n.cfg.Registry.HeartbeatInterval.Duration()
		w.OnRequest, w.OnRetryLater = func() { n.metrics.ListRequests.Add(1) }, func() { n.metrics.ListRequestsDeferred.Add(1) }
	}
	return w
}

func (n *Node) newListValidator() *listwatch.Validator {
	return listwatch.NewValidator(listwatch.Validator{
		Log: n.log, Client: n.httpClient, Servers: n.discovery, HoldFor: min(n.cfg.Settings.DrainTimeout*3/4, listwatch.MaxHold),
		Revision: n.listRevision, Unconfirmed: n.listUnconfirmed, RejectedLists: &n.metrics.OlderListsRefused, HeldLists: &n.metrics.SuspiciousListsHeld,
	}, maps.Values(n.listMembers))
}
