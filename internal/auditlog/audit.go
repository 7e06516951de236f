package auditlog

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
func MoreComplete(a, b History) History {
	if cmp.Or(cmp.Compare(b.Head, a.Head), cmp.Compare(len(b.Changes), len(a.Changes))) > 0 {
		return b
	}
	return a
}

const serving = "SERVING"

// Finding is the calls of one process of a node at an endpoint, by one version of the list, after that endpoint had been
// withdrawn or drained and the grace was over.
type Finding struct {
	Node              string `json:"node"`
	Incarnation       uint32 `json:"life"`
	Endpoint          string `json:"endpoint"`
	Revision          int64  `json:"revision"` // that the calls rest on
	WithdrawnRevision int64  `json:"gone"`     // the revision that withdrew it
	LateCalls         int    `json:"calls"`    // surely made, and surely late
	UnsureCalls       int    `json:"unsure"`   // that may not have been made, or not late
	LastMS            int64  `json:"last_ms"`  // the last of them, after the withdrawal
	Reason            string `json:"why"`      // the node's list was late, as it said itself
}

// Unknown is something that the audit can't tell.
type Unknown struct {
	Node        string `json:"node"`
	Incarnation uint32 `json:"life,omitempty"`
	Text        string `json:"text"`
}

// Report is what an audit finds.
type Report struct {
	Findings []Finding `json:"findings"`
	Unknown  []Unknown `json:"unknown"`
	Calls    int       `json:"calls"` // on record
	Nodes    int       `json:"nodes"`
}

// span is a time in which an endpoint was not to be called, by the service's clock; until is 0 for now.
type withdrawal struct {
	revision, from, until int64
}

// spans are the times in which each endpoint was out.
func (h History) withdrawals() map[string][]withdrawal {
	out := map[string][]withdrawal{}
	for _, c := range h.Changes {
		all := out[c.ID]
		gone := len(all) > 0 && all[len(all)-1].until == 0
		switch {
		case c.Phase != serving && !gone:
			out[c.ID] = append(all, withdrawal{revision: c.Revision, from: c.AtMS})
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
func (a *Auditor) AddMissing(node, why string) { a.addUnknown(node, 0, "%s", why) }

// life is one process's part of a record.
type processLog struct {
	header      Header
	calls       []call
	pending     map[int64]int // index of calls by number
	clockOffset int64         // the service's clock less the node's
	clockError  int64         // of it, milliseconds; below 0 for not known
	staleNotes  []staleNote
	lostEntries int
	lastMS      int64 // moment on record
	endedMS     int64 // by when the process had ended, 0 for not known
}

type call struct {
	endpoint    string
	revision    int64
	from, until int64 // written between, node's clock; until 0 while the process may still write it
	outcome     Outcome
}

type staleNote struct {
	at     int64
	reason string
}

// Add takes a node's record in. A record that can't be read is told among what is unknown.
func (a *Auditor) Add(node string, raw []byte) {
	lines, damaged, err := Parse(raw)
	a.report.Nodes++
	if err != nil {
		a.addUnknown(node, 0, "%v", err)
		return
	}
	if damaged > 0 {
		a.addUnknown(node, 0, "%d lines of its record are cut or flipped", damaged)
	}
	processes := map[uint32]*processLog{}
	var current *processLog
	for _, l := range lines {
		if l.Header != nil {
			previous := current
			if current = processes[l.Header.Incarnation]; current == nil && previous != nil && l.AtMS >= previous.lastMS {
				previous.endedMS = l.AtMS // a folder has one process at a time
			}
			if current == nil {
				current = &processLog{header: *l.Header, pending: map[int64]int{}, clockError: -1}
				processes[l.Header.Incarnation] = current
			}
		}
		if current == nil { // its head was damaged
			continue
		}
		current.add(l)
	}
	withdrawals := a.History.withdrawals()
	for _, n := range slices.Sorted(maps.Keys(processes)) {
		a.auditProcess(processes[n], withdrawals)
	}
}

func (x *processLog) add(l Entry) {
	x.lostEntries, x.lastMS = x.lostEntries+l.LostEntries, max(x.lastMS, l.AtMS)
	for _, b := range l.Starts {
		x.pending[b.Seq] = len(x.calls)
		x.calls = append(x.calls, call{endpoint: b.Endpoint, revision: l.Revision, from: l.AtMS})
	}
	for _, e := range l.Ends {
		i, known := x.pending[e.Seq]
		if !known {
			continue
		}
		c := &x.calls[i]
		if c.outcome = e.Outcome; e.Outcome != OutcomeUnsent {
			c.from, c.until = e.WriteStartMS, e.WriteStartMS+e.WriteTookMS
		}
		delete(x.pending, e.Seq)
	}
	if s := l.ClockSync; s != nil {
		// The server read its clock between the exchange's beginning and its end.
		if half := (s.TookMS + 1) / 2; x.clockError < 0 || half < x.clockError {
			x.clockOffset, x.clockError = s.ServerMS-(s.EndedMS-s.TookMS/2), half
		}
	}
	if l.StaleReason != "" {
		x.staleNotes = append(x.staleNotes, staleNote{l.AtMS, l.StaleReason})
	}
}

// why is the last trouble up to a moment.
func (x *processLog) staleReasonAt(at int64) string {
	why := "not told"
	for _, t := range x.staleNotes {
		if t.at <= at {
			why = t.reason
		}
	}
	return why
}

func (a *Auditor) addUnknown(node string, n uint32, format string, args ...any) {
	a.report.Unknown = append(a.report.Unknown, Unknown{node, n, fmt.Sprintf(format, args...)})
}

// hold looks at every call of a life.
func (a *Auditor) auditProcess(p *processLog, withdrawals map[string][]withdrawal) {
	if p.lostEntries > 0 {
		a.addUnknown(p.header.Node, p.header.Incarnation, "%d lines could not be written", p.lostEntries)
	}
	if p.clockError < 0 && len(p.calls) > 0 {
		a.addUnknown(p.header.Node, p.header.Incarnation, "its clock was never set against the service's: %d calls", len(p.calls))
		return
	}
	type key struct {
		endpoint       string
		revision, gone int64
	}
	found := map[key]*Finding{}
	untraceable := 0
	grace, slack := a.Grace.Milliseconds(), a.Slack.Milliseconds()+p.clockError
	for _, c := range p.calls {
		a.report.Calls++
		if c.until == 0 {
			c.until = p.endedMS
		}
		if c.outcome == OutcomeUnsent || c.from+p.clockOffset < a.SinceMS {
			continue
		}
		if c.revision < a.History.Floor {
			untraceable++
		}
		for _, w := range withdrawals[c.endpoint] {
			verdict, last := c.classify(w, p.clockOffset, grace, slack)
			if verdict == inTime {
				continue
			}
			k := key{c.endpoint, c.revision, w.revision}
			f := found[k]
			if f == nil {
				f = &Finding{
					Node: p.header.Node, Incarnation: p.header.Incarnation, Endpoint: c.endpoint, Revision: c.revision, WithdrawnRevision: w.revision, Reason: p.staleReasonAt(c.from),
				}
				if c.revision >= w.revision {
					f.Reason = "it knew"
				}
				found[k] = f
			}
			if verdict == late {
				f.LateCalls++
				f.LastMS = max(f.LastMS, last)
			} else {
				f.UnsureCalls++
			}
			break
		}
	}
	if untraceable > 0 {
		a.addUnknown(p.header.Node, p.header.Incarnation, "%d calls rest on lists that the service no longer remembers", untraceable)
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
func (c call) classify(s withdrawal, offset, grace, slack int64) (verdict, int64) {
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
	case from-slack > begins && until+slack < ends && c.outcome == OutcomeAnswered:
		return late, until - s.from
	}
	return unsure, 0
}

// Report ends the audit: findings in the order of revisions, then nodes.
func (a *Auditor) Report() Report {
	slices.SortFunc(a.report.Findings, func(x, y Finding) int {
		return cmp.Or(cmp.Compare(x.WithdrawnRevision, y.WithdrawnRevision), cmp.Compare(x.Node, y.Node), cmp.Compare(x.Incarnation, y.Incarnation),
			cmp.Compare(x.Revision, y.Revision), cmp.Compare(x.Endpoint, y.Endpoint))
	})
	slices.SortStableFunc(a.report.Unknown, func(x, y Unknown) int {
		return cmp.Or(cmp.Compare(x.Node, y.Node), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	if a.report.Findings == nil {
		a.report.Findings = []Finding{}
	}
	if a.report.Unknown == nil {
		a.report.Unknown = []Unknown{}
	}
	return a.report
}
