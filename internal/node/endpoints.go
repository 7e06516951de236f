package node

import (
	"slices"

	"harrierramp/choice"
	"harrierramp/internal/egress"
	"harrierramp/internal/listwatch"
)

// newPool returns the pool of connections to endpoints.
func (n *Node) newPool() *egress.Pool {
	s, maxSockets := n.cfg.Settings, n.cfg.Limits.Sockets
	return egress.NewPool(n.cfg.SourceAddr(), s.DialTimeout, s.IdleConnTimeout, max(maxSockets/4, 8), callDescriptors(maxSockets), &n.metrics.Attempts)
}

// callDescriptors returns how many file descriptors calls may use out of the limit of sockets. Clients get a
// third, and reservedDescriptors are left for the admin API, discovery, notices, files and the listeners.
func callDescriptors(sockets int) int { return max(sockets-sockets/3-reservedDescriptors, 8) }

// applyList updates the endpoints from a list and returns the sender's event for it. Endpoints that no longer
// serve are marked as withdrawn, which stops calls that have not written their first byte.
func (n *Node) applyList(l listwatch.List) choice.ListUpdate {
	if n.listCache != nil {
		n.listCache.MarkDirty(l.Revision)
	}
	if n.listRevision = l.Revision; l.Complete || n.listMembers == nil {
		n.listMembers = map[string]listwatch.Member{}
	}
	l.Members = slices.DeleteFunc(l.Members, func(m listwatch.Member) bool { return m.ID == "" })
	entries := listEntries(l, n.cfg.Names)
	listed := map[string]bool{}
	for i, m := range l.Members {
		listed[m.ID] = true
		if n.listMembers[m.ID] = m; entries[i].Phase == choice.Removed {
			delete(n.listMembers, m.ID)
		}
		n.knownDests[m.Cell] = true
		n.knownEndpoints[m.ID] = true
		e := n.endpoints[m.ID]
		if entries[i].Phase != choice.Ready {
			n.retireEndpoint(e)
			continue
		}
		if e == nil || e.Addr != m.Addr {
			n.retireEndpoint(e)
			e = &egress.Endpoint{ID: m.ID, Addr: m.Addr, Zone: entries[i].Zone, Cooldown: n.endpointCooldown(entries[i])}
			e.Disabled.Store(n.overrides.disabled[m.ID])
			n.endpoints[m.ID] = e
		}
	}
	for id, e := range n.endpoints {
		if l.Complete && !listed[id] {
			n.retireEndpoint(e)
		}
	}
	return choice.ListUpdate{Whole: l.Complete, Entries: entries}
}

// retireEndpoint removes an endpoint that may get no more calls, and closes its idle connections. e may be nil.
func (n *Node) retireEndpoint(e *egress.Endpoint) {
	if e != nil {
		e.Withdrawn.Store(true)
		delete(n.endpoints, e.ID)
		n.pool.CloseIdle(e.ID)
	}
}

// endpointCooldown returns the cooldown that applies to an endpoint: its own if endpoints of its kind have
// separate routes, and otherwise that of its destination.
func (n *Node) endpointCooldown(e choice.Entry) *egress.Cooldown {
	if kinds := n.cfg.Settings.Kinds; e.Kind >= 0 && e.Kind < len(kinds) && kinds[e.Kind].SeparateRoutes {
		return new(egress.Cooldown)
	}
	if n.destCooldowns[e.Dest] == nil {
		n.destCooldowns[e.Dest] = new(egress.Cooldown)
	}
	return n.destCooldowns[e.Dest]
}
