package acts

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Change is something that the list service said of an endpoint, with the clock of the server that decided it.
type Change struct {
	Revision int64  `json:"revision"`
	AtMS     int64  `json:"at_ms"`
	ID       string `json:"id"`
	Phase    string `json:"phase"`
}

// History is what a list service remembers of its changes: all after Floor.
type History struct {
	Floor   int64    `json:"floor"`
	Head    int64    `json:"head"`
	Changes []Change `json:"changes"` // revisions rise
}

// Fuller is the one of two servers' histories that knows more: the later list, and of the same the more changes.
func Fuller(a, b History) History {
	if cmp.Or(cmp.Compare(b.Head, a.Head), cmp.Compare(len(b.Changes), len(a.Changes))) > 0 {
		return b
	}
	return a
}

const serving = "SERVING"

// Finding is the calls of one process of a node at an endpoint, by one version of the list, after that endpoint had been
// withdrawn or drained and the grace was over.
type Finding struct {
	Node     string `json:"node"`
	Life     uint32 `json:"life"`
	Endpoint string `json:"endpoint"`
	Revision int64  `json:"revision"` // that the calls rest on
	Gone     int64  `json:"gone"`     // the revision that withdrew it
	Calls    int    `json:"calls"`    // surely made, and surely late
	Unsure   int    `json:"unsure"`   // that may not have been made, or not late
	LastMS   int64  `json:"last_ms"`  // the last of them, after the withdrawal
	Why      string `json:"why"`      // the node's list was late, as it said itself
}

// Unknown is something that the audit can't tell.
type Unknown struct {
	Node string `json:"node"`
	Life uint32 `json:"life,omitempty"`
	Text string `json:"text"`
}

// Report is what an audit finds.
type Report struct {
	Findings []Finding `json:"findings"`
	Unknown  []Unknown `json:"unknown"`
	Calls    int       `json:"calls"` // on record
	Nodes    int       `json:"nodes"`
}

// span is a time in which an endpoint was not to be called, by the service's clock; until is 0 for now.
type span struct {
	revision, from, until int64
}

// spans are the times in which each endpoint was out.
func (h History) spans() map[string][]span {
	out := map[string][]span{}
	for _, c := range h.Changes {
		all := out[c.ID]
		gone := len(all) > 0 && all[len(all)-1].until == 0
		switch {
		case c.Phase != serving && !gone:
			out[c.ID] = append(all, span{revision: c.Revision, from: c.AtMS})
		case c.Phase == serving && gone:
			all[len(all)-1].until = max(c.AtMS, 1)
		}
	}
	return out
}

// Auditor holds records against a history.
//
// A call is late if its request was written after the endpoint was withdrawn and the grace had passed, and before it was
// in the list again. Clocks of nodes need not agree with the service's: each life's own is set against the service's by
// its exchanges with list servers, of which the shortest counts. What lies within the error of that, and of Slack, is
// told as unsure.
type Auditor struct {
	History History
	Grace   time.Duration // in which calls to an endpoint that is withdrawn are in order
	Slack   time.Duration // what writing, a relay and the endpoint's own clock may add
	SinceMS int64         // of the service's clock: earlier calls are left out
	report  Report
}

// Missing notes a node whose record can't be had, and why.
func (a *Auditor) Missing(node, why string) { a.unknown(node, 0, "%s", why) }

// life is one process's part of a record.
type life struct {
	head   Head
	calls  []callMade
	open   map[int64]int // index of calls by number
	offset int64         // the service's clock less the node's
	err    int64         // of it, milliseconds; below 0 for not known
	whys   []trouble
	lost   int
	last   int64 // moment on record
	over   int64 // by when the process had ended, 0 for not known
}

type callMade struct {
	endpoint    string
	revision    int64
	from, until int64 // written between, node's clock; until 0 while the process may still write it
	how         How
}

type trouble struct {
	at  int64
	why string
}

// Add takes a node's record in. A record that can't be read is told among what is unknown.
func (a *Auditor) Add(node string, raw []byte) {
	lines, damaged, err := Parse(raw)
	a.report.Nodes++
	if err != nil {
		a.unknown(node, 0, "%v", err)
		return
	}
	if damaged > 0 {
		a.unknown(node, 0, "%d lines of its record are cut or flipped", damaged)
	}
	lives := map[uint32]*life{}
	var now *life
	for _, l := range lines {
		if l.Head != nil {
			before := now
			if now = lives[l.Head.Life]; now == nil && before != nil && l.AtMS >= before.last {
				before.over = l.AtMS // a folder has one process at a time
			}
			if now == nil {
				now = &life{head: *l.Head, open: map[int64]int{}, err: -1}
				lives[l.Head.Life] = now
			}
		}
		if now == nil { // its head was damaged
			continue
		}
		now.take(l)
	}
	spans := a.History.spans()
	for _, n := range slices.Sorted(maps.Keys(lives)) {
		a.hold(lives[n], spans)
	}
}

func (x *life) take(l Line) {
	x.lost, x.last = x.lost+l.Lost, max(x.last, l.AtMS)
	for _, b := range l.Begun {
		x.open[b.Seq] = len(x.calls)
		x.calls = append(x.calls, callMade{endpoint: b.Endpoint, revision: l.List, from: l.AtMS})
	}
	for _, e := range l.Ended {
		i, known := x.open[e.Seq]
		if !known {
			continue
		}
		c := &x.calls[i]
		if c.how = e.How; e.How != Unsent {
			c.from, c.until = e.FromMS, e.FromMS+e.TookMS
		}
		delete(x.open, e.Seq)
	}
	if s := l.Sync; s != nil {
		// The server read its clock between the exchange's beginning and its end.
		if half := (s.TookMS + 1) / 2; x.err < 0 || half < x.err {
			x.offset, x.err = s.ServerMS-(s.EndedMS-s.TookMS/2), half
		}
	}
	if l.Why != "" {
		x.whys = append(x.whys, trouble{l.AtMS, l.Why})
	}
}

// why is the last trouble up to a moment.
func (x *life) why(at int64) string {
	why := "not told"
	for _, t := range x.whys {
		if t.at <= at {
			why = t.why
		}
	}
	return why
}

func (a *Auditor) unknown(node string, n uint32, format string, args ...any) {
	a.report.Unknown = append(a.report.Unknown, Unknown{node, n, fmt.Sprintf(format, args...)})
}

// hold looks at every call of a life.
func (a *Auditor) hold(x *life, spans map[string][]span) {
	if x.lost > 0 {
		a.unknown(x.head.Node, x.head.Life, "%d lines could not be written", x.lost)
	}
	if x.err < 0 && len(x.calls) > 0 {
		a.unknown(x.head.Node, x.head.Life, "its clock was never set against the service's: %d calls", len(x.calls))
		return
	}
	type key struct {
		endpoint       string
		revision, gone int64
	}
	found := map[key]*Finding{}
	early := 0
	grace, slack := a.Grace.Milliseconds(), a.Slack.Milliseconds()+x.err
	for _, c := range x.calls {
		a.report.Calls++
		if c.until == 0 {
			c.until = x.over
		}
		if c.how == Unsent || c.from+x.offset < a.SinceMS {
			continue
		}
		if c.revision < a.History.Floor {
			early++
		}
		for _, s := range spans[c.endpoint] {
			verdict, last := c.judge(s, x.offset, grace, slack)
			if verdict == inTime {
				continue
			}
			k := key{c.endpoint, c.revision, s.revision}
			f := found[k]
			if f == nil {
				f = &Finding{
					Node: x.head.Node, Life: x.head.Life, Endpoint: c.endpoint, Revision: c.revision, Gone: s.revision, Why: x.why(c.from),
				}
				if c.revision >= s.revision {
					f.Why = "it knew"
				}
				found[k] = f
			}
			if verdict == late {
				f.Calls++
				f.LastMS = max(f.LastMS, last)
			} else {
				f.Unsure++
			}
			break
		}
	}
	if early > 0 {
		a.unknown(x.head.Node, x.head.Life, "%d calls rest on lists that the service no longer remembers", early)
	}
	for _, f := range found {
		a.report.Findings = append(a.report.Findings, *f)
	}
}

type verdict int

const (
	inTime verdict = iota
	late
	unsure
)

// judge holds a call against a time in which its endpoint was out, and tells how long after the withdrawal it was made.
func (c callMade) judge(s span, offset, grace, slack int64) (verdict, int64) {
	from, until := c.from+offset, c.until+offset
	if c.until == 0 { // from its beginning on, nobody knows when it was written, if it was
		until = 1 << 62
	}
	begins, ends := s.from+grace, int64(1<<62)
	if s.until != 0 {
		ends = s.until
	}
	switch {
	case until+slack < begins || from-slack > ends:
		return inTime, 0
	case from-slack > begins && until+slack < ends && c.how == Answered:
		return late, until - s.from
	}
	return unsure, 0
}

// Report ends the audit: findings in the order of revisions, then nodes.
func (a *Auditor) Report() Report {
	slices.SortFunc(a.report.Findings, func(x, y Finding) int {
		return cmp.Or(cmp.Compare(x.Gone, y.Gone), cmp.Compare(x.Node, y.Node), cmp.Compare(x.Life, y.Life),
			cmp.Compare(x.Revision, y.Revision), cmp.Compare(x.Endpoint, y.Endpoint))
	})
	slices.SortStableFunc(a.report.Unknown, func(x, y Unknown) int { return cmp.Or(cmp.Compare(x.Node, y.Node), cmp.Compare(x.Life, y.Life)) })
	if a.report.Findings == nil {
		a.report.Findings = []Finding{}
	}
	if a.report.Unknown == nil {
		a.report.Unknown = []Unknown{}
	}
	return a.report
}
