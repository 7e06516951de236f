package registry

import (
	"maps"
	"slices"

	"harrierramp/internal/auditlog"
	"harrierramp/internal/listwatch"
)

// maxHistory bounds how many changes are kept for watchers that come with an older revision.
const maxHistory = 4096

// History is what watchers can be told: the list, and what changed on the way to it.
//
// Invariant: every change after floor is in ring, in order.
type History struct {
	head    Revision
	floor   Revision
	past    lineage
	settles bool             // List.Settling of the head
	asked   *listwatch.Floor // of every node; an empty one where that was taken back
	at      int64            // List.AtMS of the head
	members map[string]Member
	ring    []change
}

type change struct {
	rev  Revision
	m    Member
	atMS int64 // List.AtMS
}

// NewHistory knows nothing yet.
func NewHistory() *History { return &History{members: map[string]Member{}} }

// Add takes over what the catalog has applied. Nothing leads to a whole list but the list itself.
func (h *History) Add(l List) {
	if l.Complete {
		h.ring, h.floor = nil, l.Revision
		clear(h.members)
	}
	for _, m := range l.Members {
		if h.members[m.ID] = m; m.Phase == Deleted {
			delete(h.members, m.ID)
		}
		if !l.Complete {
			h.ring = append(h.ring, change{l.Revision, m, l.AtMS})
		}
	}
	if over := len(h.ring) - maxHistory; over > 0 {
		h.floor = h.ring[over-1].rev
		h.ring = slices.Delete(h.ring, 0, over)
	}
	if l.Complete || l.Lineage != nil {
		h.past = l.Lineage
	}
	if l.Complete || l.Floor != nil {
		h.asked = l.Floor
	}
	h.head, h.settles, h.at = l.Revision, l.Settling, l.AtMS
}

// tells whether what changed after a revision is known.
func (h *History) tells(after Revision) bool {
	return after >= h.floor && after > 0 && h.past.holds(after, h.head)
}

// Told is what an audit holds the acts of nodes against: the changes in the ring.
func (h *History) Told() auditlog.History {
	out := auditlog.History{Floor: int64(h.floor), Head: int64(h.head), Changes: make([]auditlog.Change, 0, len(h.ring))}
	for _, c := range h.ring {
		out.Changes = append(out.Changes, auditlog.Change{Revision: int64(c.rev), AtMS: c.atMS, ID: c.m.ID, Phase: c.m.Phase})
	}
	return out
}

// Since is what leads from a revision to the list of now: the latest state of all that changed, or the whole list
// when that can't be told.
func (h *History) Since(after Revision) List {
	if !h.tells(after) {
		l := List{Revision: h.head, Complete: true, Members: slices.AppendSeq([]Member{}, maps.Values(h.members)), Lineage: h.past, Settling: h.settles, Floor: h.asked}
		slices.SortFunc(l.Members, byID)
		return l
	}
	l := List{Revision: h.head, Members: []Member{}, Lineage: h.past, Settling: h.settles, Floor: h.asked, AtMS: h.at}
	told := map[string]bool{}
	for _, c := range slices.Backward(h.ring) {
		if c.rev <= after {
			break
		}
		if !told[c.m.ID] {
			told[c.m.ID] = true
			l.Members = append(l.Members, c.m)
		}
	}
	slices.SortFunc(l.Members, byID)
	return l
}
