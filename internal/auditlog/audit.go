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

const phaseServing = "SERVING"

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
	revision, fromMS, untilMS int64
}

// spans are the times in which each endpoint was out.
func (h History) withdrawals() map[string][]withdrawal {
	out := map[string][]withdrawal{}
	for _, c := range h.Changes {
		all := out[c.ID]
		withdrawn := len(all) > 0 && all[len(all)-1].untilMS == 0
		switch {
		case c.Phase != phaseServing && !withdrawn:
			out[c.ID] = append(all, withdrawal{revision: c.Revision, fromMS: c.AtMS})
		case c.Phase == phaseServing && withdrawn:
			all[len(all)-1].untilMS = max(c.AtMS, 1)
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
func (a *Auditor) AddMissing(node, reason string) { a.addUnknown(node, 0, "%s", reason) }

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
	endpoint                  string
	revision                  int64
	writtenFrom, writtenUntil int64 // written between, node's clock; until 0 while the process may still write it
	outcome                   Outcome
}

type staleNote struct {
	atMS   int64
	reason string
}

// Add takes a node's record in. A record that can't be read is told among what is unknown.
func (a *Auditor) Add(node string, raw []byte) {
	entries, damaged, err := Parse(raw)
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
	for _, e := range entries {
		if e.Header != nil {
			previous := current
			if current = processes[e.Header.Incarnation]; current == nil && previous != nil && e.AtMS >= previous.lastMS {
				previous.endedMS = e.AtMS // a folder has one process at a time
			}
			if current == nil {
				current = &processLog{header: *e.Header, pending: map[int64]int{}, clockError: -1}
				processes[e.Header.Incarnation] = current
			}
		}
		if current == nil { // its head was damaged
			continue
		}
		current.add(e)
	}
	withdrawals := a.History.withdrawals()
	for _, n := range slices.Sorted(maps.Keys(processes)) {
		a.auditProcess(processes[n], withdrawals)
	}
}

func (p *processLog) add(entry Entry) {
	p.lostEntries, p.lastMS = p.lostEntries+entry.LostEntries, max(p.lastMS, entry.AtMS)
	for _, b := range entry.Starts {
		p.pending[b.Seq] = len(p.calls)
		p.calls = append(p.calls, call{endpoint: b.Endpoint, revision: entry.Revision, writtenFrom: entry.AtMS})
	}
	for _, e := range entry.Ends {
		i, known := p.pending[e.Seq]
		if !known {
			continue
		}
		c := &p.calls[i]
		if c.outcome = e.Outcome; e.Outcome != OutcomeUnsent {
			c.writtenFrom, c.writtenUntil = e.WriteStartMS, e.WriteStartMS+e.WriteTookMS
		}
		delete(p.pending, e.Seq)
	}
	if s := entry.ClockSync; s != nil {
		// The server read its clock between the exchange's beginning and its end.
		if half := (s.TookMS + 1) / 2; p.clockError < 0 || half < p.clockError {
			p.clockOffset, p.clockError = s.ServerMS-(s.EndedMS-s.TookMS/2), half
		}
	}
	if entry.StaleReason != "" {
		p.staleNotes = append(p.staleNotes, staleNote{entry.AtMS, entry.StaleReason})
	}
}

// why is the last trouble up to a moment.
func (p *processLog) staleReasonAt(atMS int64) string {
	reason := "not told"
	for _, note := range p.staleNotes {
		if note.atMS <= atMS {
			reason = note.reason
		}
	}
	return reason
}

func (a *Auditor) addUnknown(node string, incarnation uint32, format string, args ...any) {
	a.report.Unknown = append(a.report.Unknown, Unknown{node, incarnation, fmt.Sprintf(format, args...)})
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
		if c.writtenUntil == 0 {
			c.writtenUntil = p.endedMS
		}
		if c.outcome == OutcomeUnsent || c.writtenFrom+p.clockOffset < a.SinceMS {
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
					Node: p.header.Node, Incarnation: p.header.Incarnation, Endpoint: c.endpoint, Revision: c.revision, WithdrawnRevision: w.revision, Reason: p.staleReasonAt(c.writtenFrom),
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
func (c call) classify(w withdrawal, offset, grace, slack int64) (verdict, int64) {
	from, until := c.writtenFrom+offset, c.writtenUntil+offset
	if c.writtenUntil == 0 { // from its beginning on, nobody knows when it was written, if it was
		until = 1 << 62
	}
	lateFrom, lateUntil := w.fromMS+grace, int64(1<<62)
	if w.untilMS != 0 {
		lateUntil = w.untilMS
	}
	switch {
	case until+slack < lateFrom || from-slack > lateUntil:
		return inTime, 0
	case from-slack > lateFrom && until+slack < lateUntil && c.outcome == OutcomeAnswered:
		return late, until - w.fromMS
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
