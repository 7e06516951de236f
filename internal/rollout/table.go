// Package rollout tracks which node of a fleet has applied which list revision: the reports that nodes send, the
// table that a list server keeps of them, and when a node reports. Everything takes the time as an argument and does
// no I/O. A Table or Reporter is not safe for concurrent use.
package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Limits.
const (
	MaxNodes            = 10_000             // rows of a table; beyond it a new name needs an old row to be evicted
	maxFieldLen         = 64                 // bytes of a name, build or digest
	maxTrackedRevisions = 128                // revisions whose progress through the fleet is kept
	SilentAfter         = 3 * ReportInterval // a node that has not reported for this long is silent
	evictAfter          = 24 * time.Hour     // a node silent for this long may lose its row to a new name
	ReportInterval      = 60 * time.Second   // between reports of a node at rest
)

// Report is what a node reports about itself.
type Report struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"` // of the node's process; a later process has a higher one
	Seq         int64  `json:"seq"`         // number of the report within that process
	Revision    int64  `json:"revision"`    // list revision that the node acts on
	Build       string `json:"build"`
	Config      string `json:"config"` // digest of the node's configuration
	Ready       bool   `json:"ready"`
	Fenced      bool   `json:"out,omitempty"`  // it begins nothing new: its list is out of date, or it is below the floor
	AdminAddr   string `json:"door,omitempty"` // address of the node's admin API
	LagReason   string `json:"why,omitempty"`  // why the node's list was last late
}

// Errors of Table.Apply. Their texts are sent to nodes, so they stay as they are.
var (
	ErrInvalid   = errors.New("bad claim")
	ErrStale     = errors.New("a later claim is known")
	ErrTableFull = errors.New("the table is full")
)

func (r Report) validate(head int64) error {
	for field, value := range map[string]string{"name": r.Name, "build": r.Build, "config": r.Config, "door": r.AdminAddr} {
		bad := func(r rune) bool { return r <= ' ' || r > '~' }
		if len(value) > maxFieldLen || field == "name" && value == "" || slices.ContainsFunc([]rune(value), bad) {
			return fmt.Errorf("%w: %s %.70q", ErrInvalid, field, value)
		}
	}
	switch {
	case len(r.LagReason) > 2*maxFieldLen:
		return fmt.Errorf("%w: why has %d bytes", ErrInvalid, len(r.LagReason))
	case r.Incarnation <= 0 || r.Seq <= 0 || r.Revision < 0:
		return fmt.Errorf("%w: incarnation %d, seq %d, revision %d", ErrInvalid, r.Incarnation, r.Seq, r.Revision)
	case r.Revision > head:
		return fmt.Errorf("%w: revision %d is not given yet, the last is %d", ErrInvalid, r.Revision, head)
	}
	return nil
}

// NodeStatus is a node as the table knows it. Times are measured by the table's clock.
type NodeStatus struct {
	Report
	LastReportMS int64 `json:"heard_ms"`            // time since its last report
	BehindMS     int64 `json:"behind_ms,omitempty"` // time since the list passed the node's revision; 0 if it has not
	Silent       bool  `json:"silent,omitempty"`
}

// RevisionProgress is the progress of a list revision through the fleet.
type RevisionProgress struct {
	Revision int64 `json:"revision"`
	AgeMS    int64 `json:"ago_ms"`
	Applied  int   `json:"applied"`
	Nodes    int   `json:"nodes"`   // nodes that were not silent when it was published
	HalfMS   int64 `json:"half_ms"` // time until half of them had applied it; -1 for not yet
	P99MS    int64 `json:"most_ms"` // time until 99 % had applied it
	AllMS    int64 `json:"all_ms"`  // time until all had applied it
}

// Snapshot is the content of a table.
type Snapshot struct {
	Head      int64              `json:"head"`
	Nodes     []NodeStatus       `json:"nodes"`
	Revisions []RevisionProgress `json:"changes"`
}

type nodeEntry struct {
	Report
	reportedAt time.Duration
}

type trackedRevision struct {
	revision       int64
	publishedAt    time.Duration
	nodes, applied int
	half, p99, all time.Duration // 0 for not yet
}

// Table is what one list server knows of the fleet.
//
// Invariants: there is one row per name, with its latest incarnation and report; no report has a revision above head;
// the tracked revisions rise.
type Table struct {
	head      int64
	nodes     map[string]*nodeEntry
	revisions []trackedRevision
	Rejected  int64 // reports
	version   int64
}

// Version changes with each accepted report, each dropped row and each revision.
func (t *Table) Version() int64 { return t.version }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{nodes: map[string]*nodeEntry{}} }

// Advance records that the list has reached a revision.
func (t *Table) Advance(now time.Duration, head int64) {
	if head <= t.head {
		return
	}
	t.head = head
	t.version++
	nodes := 0
	for _, r := range t.nodes {
		if now-r.reportedAt <= SilentAfter {
			nodes++
		}
	}
	t.revisions = append(t.revisions, trackedRevision{revision: head, publishedAt: now, nodes: nodes})
	t.revisions = t.revisions[max(0, len(t.revisions)-maxTrackedRevisions):]
}

// Apply updates the table with a node's report.
func (t *Table) Apply(now time.Duration, report Report) error {
	err := report.validate(t.head)
	old := t.nodes[report.Name]
	if err == nil && old != nil && (report.Incarnation < old.Incarnation || report.Incarnation == old.Incarnation && report.Seq <= old.Seq) {
		err = fmt.Errorf("%w: incarnation %d, claim %d", ErrStale, old.Incarnation, old.Seq)
	}
	if err == nil && old == nil && len(t.nodes) >= MaxNodes && !t.evictSilent(now) {
		err = ErrTableFull
	}
	if err != nil {
		t.Rejected++
		return err
	}
	previous := int64(0)
	if old != nil {
		previous = old.Revision
	}
	for i := range t.revisions {
		if h := &t.revisions[i]; h.revision > previous && h.revision <= report.Revision {
			h.countNode(now)
		}
	}
	t.nodes[report.Name] = &nodeEntry{report, now}
	t.version++
	return nil
}

// countNode counts one more node that has applied the revision.
func (r *trackedRevision) countNode(now time.Duration) {
	r.applied++
	reached := func(at *time.Duration, percent int) {
		if *at == 0 && 100*r.applied >= percent*r.nodes {
			*at = max(now-r.publishedAt, 1)
		}
	}
	reached(&r.half, 50)
	reached(&r.p99, 99)
	reached(&r.all, 100)
}

// evictSilent removes the row that has been silent longest, if it has been silent for evictAfter.
func (t *Table) evictSilent(now time.Duration) bool {
	var oldest *nodeEntry
	for _, r := range t.nodes {
		if oldest == nil || r.reportedAt < oldest.reportedAt || r.reportedAt == oldest.reportedAt && r.Name < oldest.Name {
			oldest = r
		}
	}
	if oldest == nil || now-oldest.reportedAt < evictAfter {
		return false
	}
	delete(t.nodes, oldest.Name)
	return true
}

// Drop removes a node that is gone for good, and reports whether it was known.
func (t *Table) Drop(name string) bool {
	was := t.nodes[name] != nil
	t.version++
	delete(t.nodes, name)
	return was
}

// Snapshot returns everything that the table knows: nodes by name and revisions in order.
func (t *Table) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{Head: t.head, Nodes: make([]NodeStatus, 0, len(t.nodes)), Revisions: make([]RevisionProgress, 0, len(t.revisions))}
	for _, name := range slices.Sorted(maps.Keys(t.nodes)) {
		r := t.nodes[name]
		out := NodeStatus{Report: r.Report, LastReportMS: (now - r.reportedAt).Milliseconds(), Silent: now-r.reportedAt > SilentAfter}
		if since, behind := t.behindSince(r); behind {
			out.BehindMS = max((now - since).Milliseconds(), 1)
		}
		s.Nodes = append(s.Nodes, out)
	}
	for _, h := range t.revisions {
		s.Revisions = append(s.Revisions, RevisionProgress{
			h.revision, (now - h.publishedAt).Milliseconds(), h.applied, h.nodes, millis(h.half), millis(h.p99), millis(h.all),
		})
	}
	return s
}

func millis(d time.Duration) int64 {
	if d == 0 {
		return -1
	}
	return d.Milliseconds()
}

// behindSince returns since when the list has had a revision that the node does not act on.
func (t *Table) behindSince(r *nodeEntry) (time.Duration, bool) {
	if r.Revision >= t.head {
		return 0, false
	}
	i, _ := slices.BinarySearchFunc(t.revisions, r.Revision+1, func(h trackedRevision, rev int64) int { return cmp.Compare(h.revision, rev) })
	if i == len(t.revisions) {
		return 0, false
	}
	return t.revisions[i].publishedAt, true
}

// Counts returns the number of nodes, of those behind, of those silent, and the oldest revision that a node which is
// not silent acts on.
func (t *Table) Counts(now time.Duration) (nodes, behind, silent int, oldest int64) {
	oldest = t.head
	for _, r := range t.nodes {
		nodes++
		switch late := r.Revision < t.head; {
		case now-r.reportedAt > SilentAfter:
			silent++
		case late:
			behind++
			oldest = min(oldest, r.Revision)
		}
	}
	return nodes, behind, silent, oldest
}

// BelowFloor returns the names of the nodes that do not meet a floor, and the number of nodes checked. Silent nodes
// are left out.
func (s Snapshot) BelowFloor(revision int64, build, config string) (below []string, total int) {
	for _, r := range s.Nodes {
		if r.Silent {
			continue
		}
		if total++; r.Revision < revision || build != "" && r.Build != build || config != "" && r.Config != config {
			below = append(below, r.Name)
		}
	}
	return below, total
}

// Merge merges the tables of several servers: the latest report of each node, by incarnation and sequence number
// because clocks differ, and the revisions of the server that is furthest ahead.
func Merge(snapshots []Snapshot) Snapshot {
	var out Snapshot
	latest := map[string]NodeStatus{}
	for _, s := range snapshots {
		if s.Head >= out.Head {
			out.Head, out.Revisions = s.Head, s.Revisions
		}
		for _, r := range s.Nodes {
			old, known := latest[r.Name]
			if !known || r.Incarnation > old.Incarnation || r.Incarnation == old.Incarnation && r.Seq > old.Seq {
				latest[r.Name] = r
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(latest)) {
		r := latest[name]
		if r.Revision >= out.Head {
			r.BehindMS = 0
		} else if r.BehindMS == 0 { // the server that it reported to is behind too
			r.BehindMS = 1
			for _, c := range out.Revisions {
				if c.Revision > r.Revision {
					r.BehindMS = max(c.AgeMS, 1)
					break
				}
			}
		}
		out.Nodes = append(out.Nodes, r)
	}
	return out
}
