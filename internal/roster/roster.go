// Package roster is who of a fleet has applied which version: the claims that nodes make, the table that a list server
// keeps of them, and when a node makes one. All of it is stepped with explicit time and does no input or output; whoever
// has a Table or a Teller owns it.
package roster

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
	MaxNodes     = 10_000         // rows of a table; a new name is refused beyond, unless a row is silent for long
	maxWord      = 64             // bytes of a name, a build or a digest
	maxChanges   = 128            // revisions whose way through the fleet is remembered
	SilentAfter  = 3 * TellEvery  // a node that has said nothing for so long is silent
	forgottenFor = 24 * time.Hour // a silent one gives its row to a new name after this
	TellEvery    = 60 * time.Second
)

// Claim is what a node says of itself.
type Claim struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"` // of its process: a later one began later
	Seq         int64  `json:"seq"`         // of the claim in that process
	Revision    int64  `json:"revision"`    // of the list that it acts on
	Build       string `json:"build"`
	Config      string `json:"config"` // a digest of what counts of its configuration
	Ready       bool   `json:"ready"`
	Out         bool   `json:"out,omitempty"`  // shut out: it does nothing new
	Door        string `json:"door,omitempty"` // of its operators
	Why         string `json:"why,omitempty"`  // it was behind, last
}

// Errors of a claim.
var (
	ErrBad  = errors.New("bad claim")
	ErrOld  = errors.New("a later claim is known")
	ErrFull = errors.New("the table is full")
)

func (c Claim) check(head int64) error {
	for name, word := range map[string]string{"name": c.Name, "build": c.Build, "config": c.Config, "door": c.Door} {
		bad := func(r rune) bool { return r <= ' ' || r > '~' }
		if len(word) > maxWord || name == "name" && word == "" || slices.ContainsFunc([]rune(word), bad) {
			return fmt.Errorf("%w: %s %.70q", ErrBad, name, word)
		}
	}
	switch {
	case len(c.Why) > 2*maxWord:
		return fmt.Errorf("%w: why has %d bytes", ErrBad, len(c.Why))
	case c.Incarnation <= 0 || c.Seq <= 0 || c.Revision < 0:
		return fmt.Errorf("%w: incarnation %d, seq %d, revision %d", ErrBad, c.Incarnation, c.Seq, c.Revision)
	case c.Revision > head:
		return fmt.Errorf("%w: revision %d is not given yet, the last is %d", ErrBad, c.Revision, head)
	}
	return nil
}

// Row is a node as the table knows it. Times are the table's clock.
type Row struct {
	Claim
	HeardMS  int64 `json:"heard_ms"`            // since it was last heard
	BehindMS int64 `json:"behind_ms,omitempty"` // since a revision holds that it does not act on; 0 for none
	Silent   bool  `json:"silent,omitempty"`
}

// Change is a revision's way through the fleet.
type Change struct {
	Revision int64 `json:"revision"`
	AgoMS    int64 `json:"ago_ms"`
	Applied  int   `json:"applied"`
	Nodes    int   `json:"nodes"`   // that were not silent when it was made
	Half     int64 `json:"half_ms"` // until half of them had it; -1 for not yet
	Most     int64 `json:"most_ms"` // until 99 of 100 had
	All      int64 `json:"all_ms"`  // until all had
}

// View is what a table tells.
type View struct {
	Head    int64    `json:"head"`
	Nodes   []Row    `json:"nodes"`
	Changes []Change `json:"changes"`
}

type row struct {
	Claim
	heard time.Duration
}

type change struct {
	revision          int64
	at                time.Duration
	nodes, applied    int
	half, most, whole time.Duration // 0 for not yet
}

// Table is what one list server knows of the fleet.
//
// Invariants: one row a name, of its latest incarnation and claim; no row claims more than head; changes rise.
type Table struct {
	head    int64
	rows    map[string]*row
	changes []change
	Refused int64 // claims
	version int64
}

// Version is another after each claim that was taken, each row that was dropped and each revision.
func (t *Table) Version() int64 { return t.version }

// NewTable is empty.
func NewTable() *Table { return &Table{rows: map[string]*row{}} }

// Advance notes that a revision holds.
func (t *Table) Advance(now time.Duration, head int64) {
	if head <= t.head {
		return
	}
	t.head = head
	t.version++
	nodes := 0
	for _, r := range t.rows {
		if now-r.heard <= SilentAfter {
			nodes++
		}
	}
	t.changes = append(t.changes, change{revision: head, at: now, nodes: nodes})
	t.changes = t.changes[max(0, len(t.changes)-maxChanges):]
}

// Take takes a claim.
func (t *Table) Take(now time.Duration, c Claim) error {
	err := c.check(t.head)
	old := t.rows[c.Name]
	if err == nil && old != nil && (c.Incarnation < old.Incarnation || c.Incarnation == old.Incarnation && c.Seq <= old.Seq) {
		err = fmt.Errorf("%w: incarnation %d, claim %d", ErrOld, old.Incarnation, old.Seq)
	}
	if err == nil && old == nil && len(t.rows) >= MaxNodes && !t.forget(now) {
		err = ErrFull
	}
	if err != nil {
		t.Refused++
		return err
	}
	from := int64(0)
	if old != nil {
		from = old.Revision
	}
	for i := range t.changes {
		if h := &t.changes[i]; h.revision > from && h.revision <= c.Revision {
			h.apply(now)
		}
	}
	t.rows[c.Name] = &row{c, now}
	t.version++
	return nil
}

// apply counts one more node that has the change.
func (h *change) apply(now time.Duration) {
	h.applied++
	reached := func(at *time.Duration, percent int) {
		if *at == 0 && 100*h.applied >= percent*h.nodes {
			*at = max(now-h.at, 1)
		}
	}
	reached(&h.half, 50)
	reached(&h.most, 99)
	reached(&h.whole, 100)
}

// forget gives up the row that has been silent longest, if that is long enough.
func (t *Table) forget(now time.Duration) bool {
	var oldest *row
	for _, r := range t.rows {
		if oldest == nil || r.heard < oldest.heard || r.heard == oldest.heard && r.Name < oldest.Name {
			oldest = r
		}
	}
	if oldest == nil || now-oldest.heard < forgottenFor {
		return false
	}
	delete(t.rows, oldest.Name)
	return true
}

// Drop takes a node out that is gone for good, and tells whether it was there.
func (t *Table) Drop(name string) bool {
	was := t.rows[name] != nil
	t.version++
	delete(t.rows, name)
	return was
}

// View tells everything, nodes by name and changes by revision.
func (t *Table) View(now time.Duration) View {
	v := View{Head: t.head, Nodes: make([]Row, 0, len(t.rows)), Changes: make([]Change, 0, len(t.changes))}
	for _, name := range slices.Sorted(maps.Keys(t.rows)) {
		r := t.rows[name]
		out := Row{Claim: r.Claim, HeardMS: (now - r.heard).Milliseconds(), Silent: now-r.heard > SilentAfter}
		if since, behind := t.behind(r); behind {
			out.BehindMS = max((now - since).Milliseconds(), 1)
		}
		v.Nodes = append(v.Nodes, out)
	}
	for _, h := range t.changes {
		v.Changes = append(v.Changes, Change{
			h.revision, (now - h.at).Milliseconds(), h.applied, h.nodes, millis(h.half), millis(h.most), millis(h.whole),
		})
	}
	return v
}

func millis(d time.Duration) int64 {
	if d == 0 {
		return -1
	}
	return d.Milliseconds()
}

// behind tells since when a node lacks a revision that holds.
func (t *Table) behind(r *row) (time.Duration, bool) {
	if r.Revision >= t.head {
		return 0, false
	}
	i, _ := slices.BinarySearchFunc(t.changes, r.Revision+1, func(h change, rev int64) int { return cmp.Compare(h.revision, rev) })
	if i == len(t.changes) {
		return 0, false
	}
	return t.changes[i].at, true
}

// Counts are the nodes, those behind, those silent, and the oldest revision that one which is not silent acts on.
func (t *Table) Counts(now time.Duration) (nodes, behind, silent int, oldest int64) {
	oldest = t.head
	for _, r := range t.rows {
		nodes++
		switch late := r.Revision < t.head; {
		case now-r.heard > SilentAfter:
			silent++
		case late:
			behind++
			oldest = min(oldest, r.Revision)
		}
	}
	return nodes, behind, silent, oldest
}

// Unfit names the nodes that are not silent and don't reach a floor, and says of how many.
func (v View) Unfit(revision int64, build, config string) (out []string, of int) {
	for _, r := range v.Nodes {
		if r.Silent {
			continue
		}
		if of++; r.Revision < revision || build != "" && r.Build != build || config != "" && r.Config != config {
			out = append(out, r.Name)
		}
	}
	return out, of
}

// Merge joins what several servers know: of each node the latest claim, by incarnation and number and not by clocks, and
// the changes of the server that is furthest.
func Merge(views []View) View {
	var out View
	rows := map[string]Row{}
	for _, v := range views {
		if v.Head >= out.Head {
			out.Head, out.Changes = v.Head, v.Changes
		}
		for _, r := range v.Nodes {
			old, known := rows[r.Name]
			if !known || r.Incarnation > old.Incarnation || r.Incarnation == old.Incarnation && r.Seq > old.Seq {
				rows[r.Name] = r
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		r := rows[name]
		if r.Revision >= out.Head {
			r.BehindMS = 0
		} else if r.BehindMS == 0 { // the server that it told is behind as well
			r.BehindMS = 1
			for _, c := range out.Changes {
				if c.Revision > r.Revision {
					r.BehindMS = max(c.AgoMS, 1)
					break
				}
			}
		}
		out.Nodes = append(out.Nodes, r)
	}
	return out
}
