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
	head      Revision
	compacted Revision
	lineage   lineage
	settling  bool             // List.Settling of the head
	required  *listwatch.Floor // of every node; an empty one where that was taken back
	atMS      int64            // List.AtMS of the head
	members   map[string]Member
	changes   []change
}

type change struct {
	revision Revision
	member   Member
	atMS     int64 // List.AtMS
}

// NewHistory knows nothing yet.
func NewHistory() *History { return &History{members: map[string]Member{}} }

// Add takes over what the catalog has applied. Nothing leads to a whole list but the list itself.
func (h *History) Add(l List) {
	if l.Complete {
		h.changes, h.compacted = nil, l.Revision
		clear(h.members)
	}
	for _, m := range l.Members {
		if h.members[m.ID] = m; m.Phase == Deleted {
			delete(h.members, m.ID)
		}
		if !l.Complete {
			h.changes = append(h.changes, change{l.Revision, m, l.AtMS})
		}
	}
	if excess := len(h.changes) - maxHistory; excess > 0 {
		h.compacted = h.changes[excess-1].revision
		h.changes = slices.Delete(h.changes, 0, excess)
	}
	if l.Complete || l.Lineage != nil {
		h.lineage = l.Lineage
	}
	if l.Complete || l.Floor != nil {
		h.required = l.Floor
	}
	h.head, h.settling, h.atMS = l.Revision, l.Settling, l.AtMS
}

// tells whether what changed after a revision is known.
func (h *History) covers(after Revision) bool {
	return after >= h.compacted && after > 0 && h.lineage.contains(after, h.head)
}

// Told is what an audit holds the acts of nodes against: the changes in the ring.
func (h *History) AuditHistory() auditlog.History {
	out := auditlog.History{Floor: int64(h.compacted), Head: int64(h.head), Changes: make([]auditlog.Change, 0, len(h.changes))}
	for _, c := range h.changes {
		out.Changes = append(out.Changes, auditlog.Change{Revision: int64(c.revision), AtMS: c.atMS, ID: c.member.ID, Phase: c.member.Phase})
	}
	return out
}

// Since is what leads from a revision to the list of now: the latest state of all that changed, or the whole list
// when that can't be told.
func (h *History) Since(after Revision) List {
	if !h.covers(after) {
		l := List{Revision: h.head, Complete: true, Members: slices.AppendSeq([]Member{}, maps.Values(h.members)), Lineage: h.lineage, Settling: h.settling, Floor: h.required}
		slices.SortFunc(l.Members, compareByID)
		return l
	}
	l := List{Revision: h.head, Members: []Member{}, Lineage: h.lineage, Settling: h.settling, Floor: h.required, AtMS: h.atMS}
	included := map[string]bool{}
	for _, c := range slices.Backward(h.changes) {
		if c.revision <= after {
			break
		}
		if !included[c.member.ID] {
			included[c.member.ID] = true
			l.Members = append(l.Members, c.member)
		}
	}
	slices.SortFunc(l.Members, compareByID)
	return l
}
