package node

import (
	"slices"

	"harrierramp/choice"
	"harrierramp/internal/egress"
	"harrierramp/internal/listwatch"
)

func (n *Node) newPool() *egress.Pool {
	s, most := n.cfg.Settings, n.cfg.Limits.Sockets
	return egress.NewPool(n.cfg.SourceAddr(), s.DialTimeout, s.IdleConnTimeout, max(most/4, 8), callPlaces(most), &n.figures.Attempts)
}

// callPlaces is how many descriptors calls may take: clients have a third, and the rest is set aside for the door,
// discovery, notices, files and the listeners.
func callPlaces(sockets int) int { return max(sockets-sockets/3-setAside, 8) }

// listed brings the endpoints up to date. Calls that have not written their first byte hear of it by shut.
func (n *Node) listed(l listwatch.List) choice.ListUpdate {
	if n.kept != nil {
		n.kept.MarkDirty(l.Revision)
	}
	if n.revision = l.Revision; l.Complete || n.members == nil {
		n.members = map[string]listwatch.Member{}
	}
	l.Members = slices.DeleteFunc(l.Members, func(m listwatch.Member) bool { return m.ID == "" })
	entries := entries(l, n.cfg.Names)
	named := map[string]bool{}
	for i, m := range l.Members {
		named[m.ID] = true
		if n.members[m.ID] = m; entries[i].Phase == choice.Removed {
			delete(n.members, m.ID)
		}
		n.dests[m.Cell] = true
		n.named[m.ID] = true
		e := n.eps[m.ID]
		if entries[i].Phase != choice.Ready {
			n.shut(e)
			continue
		}
		if e == nil || e.Addr != m.Addr {
			n.shut(e)
			e = &egress.Endpoint{ID: m.ID, Addr: m.Addr, Zone: entries[i].Zone, Cooldown: n.waitOf(entries[i])}
			e.Disabled.Store(n.orders.out[m.ID])
			n.eps[m.ID] = e
		}
	}
	for id, e := range n.eps {
		if l.Complete && !named[id] {
			n.shut(e)
		}
	}
	return choice.ListUpdate{Whole: l.Complete, Entries: entries}
}

func (n *Node) shut(e *egress.Endpoint) {
	if e != nil {
		e.Withdrawn.Store(true)
		delete(n.eps, e.ID)
		n.pool.CloseIdle(e.ID)
	}
}

// waitOf is where the waits are kept that bind an endpoint: its own if it is a route apart.
func (n *Node) waitOf(e choice.Entry) *egress.Cooldown {
	if kinds := n.cfg.Settings.Kinds; e.Kind >= 0 && e.Kind < len(kinds) && kinds[e.Kind].SeparateRoutes {
		return new(egress.Cooldown)
	}
	if n.waits[e.Dest] == nil {
		n.waits[e.Dest] = new(egress.Cooldown)
	}
	return n.waits[e.Dest]
}
