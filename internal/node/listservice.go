package node

import (
	"maps"
	"math/rand/v2"

	"harrierramp/internal/admission"
	"harrierramp/internal/listwatch"
)

// newPacer returns a pacer that spreads the requests of the fleet's nodes to the list service over time.
func (n *Node) newPacer() *admission.Pacer {
	s := n.cfg.Settings
	return admission.NewPacer(s.FleetSize, s.Number, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// newWatcher returns a watcher that follows the list of endpoints, starting from the node's current list, and
// passes each list to onList.
func (n *Node) newWatcher(onList func(listwatch.List)) *listwatch.Watcher {
	w := &listwatch.Watcher{
		Log: n.log, Client: n.listClient, Servers: n.discovery, Backoff: listwatch.AgentBackoff(), ResponseTimeout: listwatch.AgentResponseTimeout, OnActivity: n.metrics.RecordListActivity,
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

// newListValidator returns the validator of lists: it rejects a list older than the current one, and holds back
// for a while a list that lacks most of the current endpoints.
func (n *Node) newListValidator() *listwatch.Validator {
	return listwatch.NewValidator(listwatch.Validator{
		Log: n.log, Client: n.listClient, Servers: n.discovery, HoldFor: min(n.cfg.Settings.DrainTimeout*3/4, listwatch.MaxHold),
		Revision: n.listRevision, Unconfirmed: n.listUnconfirmed, RejectedLists: &n.metrics.OlderListsRefused, HeldLists: &n.metrics.SuspiciousListsHeld,
	}, maps.Values(n.listMembers))
}
