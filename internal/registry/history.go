package registry

import (
	"maps"
	"slices"

	"harrierramp/internal/auditlog"
	"harrierramp/internal/listwatch"
)

// maxHistory bounds how many changes are kept for watchers that resume from an older revision.
const maxHistory = 4096

// History holds what watchers can be sent: the list and the recent changes that led to it.
//
// Invariant: changes holds every change after the revision compacted, in order.
type History struct {
	head      Revision
	compacted Revision
	lineage   lineage
	settling  bool             // List.Settling of the head
	required  *listwatch.Floor // minimum versions required of every node; empty after the requirement was removed
	atMS      int64            // List.AtMS of the head
	members   map[string]Member
	changes   []change
}

type change struct {
	revision Revision
	member   Member
	atMS     int64 // List.AtMS
}

// NewHistory returns an empty history at revision 0.
func NewHistory() *History { return &History{members: map[string]Member{}} }

// Add adds a list that the catalog has applied. A complete list discards the earlier changes, because they do not lead
// to it.
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

// covers reports whether all changes after a revision are known.
func (h *History) covers(after Revision) bool {
	return after >= h.compacted && after > 0 && h.lineage.contains(after, h.head)
}

// AuditHistory returns the retained changes, with which an audit compares the actions of nodes.
func (h *History) AuditHistory() auditlog.History {
	out := auditlog.History{Floor: int64(h.compacted), Head: int64(h.head), Changes: make([]auditlog.Change, 0, len(h.changes))}
	for _, c := range h.changes {
		out.Changes = append(out.Changes, auditlog.Change{Revision: int64(c.revision), AtMS: c.atMS, ID: c.member.ID, Phase: c.member.Phase})
	}
	return out
}

// Since returns what leads from a revision to the present list: the latest state of every member that changed, or the
// complete list if the changes are not known.
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
