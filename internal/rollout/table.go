// Package roster is who of a fleet has applied which version: the claims that nodes make, the table that a list server
// keeps of them, and when a node makes one. All of it is stepped with explicit time and does no input or output; whoever
// has a Table or a Teller owns it.
package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Bounds.
const (
	MaxNodes            = 10_000             // rows of a table; a new name is refused beyond, unless a row is silent for long
	maxFieldLen         = 64                 // bytes of a name, a build or a digest
	maxTrackedRevisions = 128                // revisions whose way through the fleet is remembered
	SilentAfter         = 3 * ReportInterval // a node that has said nothing for so long is silent
	evictAfter          = 24 * time.Hour     // a silent one gives its row to a new name after this
	ReportInterval      = 60 * time.Second
)

// Claim is what a node says of itself.
type Report struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"` // of its process: a later one began later
	Seq         int64  `json:"seq"`         // of the claim in that process
	Revision    int64  `json:"revision"`    // of the list that it acts on
	Build       string `json:"build"`
	Config      string `json:"config"` // a digest of what counts of its configuration
	Ready       bool   `json:"ready"`
	Fenced      bool   `json:"out,omitempty"`  // shut out: it does nothing new
	AdminAddr   string `json:"door,omitempty"` // of its operators
	LagReason   string `json:"why,omitempty"`  // it was behind, last
}

// Errors of a claim.
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

// Row is a node as the table knows it. Times are the table's clock.
type NodeStatus struct {
	Report
	LastReportMS int64 `json:"heard_ms"`            // since it was last heard
	BehindMS     int64 `json:"behind_ms,omitempty"` // since a revision holds that it does not act on; 0 for none
	Silent       bool  `json:"silent,omitempty"`
}

// Change is a revision's way through the fleet.
type RevisionProgress struct {
	Revision int64 `json:"revision"`
	AgeMS    int64 `json:"ago_ms"`
	Applied  int   `json:"applied"`
	Nodes    int   `json:"nodes"`   // that were not silent when it was made
	HalfMS   int64 `json:"half_ms"` // until half of them had it; -1 for not yet
	P99MS    int64 `json:"most_ms"` // until 99 of 100 had
	AllMS    int64 `json:"all_ms"`  // until all had
}

// View is what a table tells.
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
// Invariants: one row a name, of its latest incarnation and claim; no row claims more than head; changes rise.
type Table struct {
	head      int64
	nodes     map[string]*nodeEntry
	revisions []trackedRevision
	Rejected  int64 // claims
	version   int64
}

// Version is another after each claim that was taken, each row that was dropped and each revision.
func (t *Table) Version() int64 { return t.version }

// NewTable is empty.
func NewTable() *Table { return &Table{nodes: map[string]*nodeEntry{}} }

// Advance notes that a revision holds.
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

// Take takes a claim.
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

// apply counts one more node that has the change.
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

// forget gives up the row that has been silent longest, if that is long enough.
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

// Drop takes a node out that is gone for good, and tells whether it was there.
func (t *Table) Drop(name string) bool {
	was := t.nodes[name] != nil
	t.version++
	delete(t.nodes, name)
	return was
}

// View tells everything, nodes by name and changes by revision.
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

// behind tells since when a node lacks a revision that holds.
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

// Counts are the nodes, those behind, those silent, and the oldest revision that one which is not silent acts on.
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

// Unfit names the nodes that are not silent and don't reach a floor, and says of how many.
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

// Merge joins what several servers know: of each node the latest claim, by incarnation and number and not by clocks, and
// the changes of the server that is furthest.
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
		} else if r.BehindMS == 0 { // the server that it told is behind as well
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
