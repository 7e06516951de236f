package auditlog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Change is a change of an endpoint's phase by the list service, with the clock of the server that made it.
type Change struct {
	Revision int64  `json:"revision"`
	AtMS     int64  `json:"at_ms"`
	ID       string `json:"id"`
	Phase    string `json:"phase"`
}

// History is the list service's record of its changes: all after revision Floor.
type History struct {
	Floor   int64    `json:"floor"`
	Head    int64    `json:"head"`
	Changes []Change `json:"changes"` // by rising revision
}

// MoreComplete returns the more complete of two servers' histories: the one with the later head, or with more
// changes.
func MoreComplete(a, b History) History {
	if cmp.Or(cmp.Compare(b.Head, a.Head), cmp.Compare(len(b.Changes), len(a.Changes))) > 0 {
		return b
	}
	return a
}

const phaseServing = "SERVING"

// Finding is the calls of one process of a node to one endpoint, made by one list revision after that endpoint had
// been withdrawn or drained and the grace period had passed.
type Finding struct {
	Node              string `json:"node"`
	Incarnation       uint32 `json:"life"`
	Endpoint          string `json:"endpoint"`
	Revision          int64  `json:"revision"` // list revision that the calls were based on
	WithdrawnRevision int64  `json:"gone"`     // revision that withdrew the endpoint
	LateCalls         int    `json:"calls"`    // calls that were certainly made and certainly late
	UnsureCalls       int    `json:"unsure"`   // calls that may not have been made, or not late
	LastMS            int64  `json:"last_ms"`  // time of the last late call after the withdrawal
	Reason            string `json:"why"`      // why the node's list was out of date, as the node recorded it
}

// Unknown is something that the audit cannot determine.
type Unknown struct {
	Node        string `json:"node"`
	Incarnation uint32 `json:"life,omitempty"`
	Text        string `json:"text"`
}

// Report is the result of an audit.
type Report struct {
	Findings []Finding `json:"findings"`
	Unknown  []Unknown `json:"unknown"`
	Calls    int       `json:"calls"` // calls in the logs
	Nodes    int       `json:"nodes"`
}

// withdrawal is a time in which an endpoint was not to be called, by the service's clock. untilMS is 0 if it has not
// ended.
type withdrawal struct {
	revision, fromMS, untilMS int64
}

// withdrawals returns the withdrawals of each endpoint, by its ID.
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

// Auditor checks audit logs against the list service's history.
//
// A call is late if its request was written after the endpoint was withdrawn and the grace period had passed, and
// before the endpoint was serving again. The clocks of nodes may differ from the service's: the offset of each
// process's clock is taken from its shortest exchange with a list server. If the error of that offset plus Slack leaves
// it open whether a call was late, the call is reported as unsure.
type Auditor struct {
	History History
	Grace   time.Duration // time after a withdrawal in which calls to the endpoint are still allowed
	Slack   time.Duration // delay that writing, a relay and the endpoint's own clock may add
	SinceMS int64         // by the service's clock; earlier calls are left out
	report  Report
}

// AddMissing records a node whose log is not available, and why.
func (a *Auditor) AddMissing(node, reason string) { a.addUnknown(node, 0, "%s", reason) }

// processLog is one process's part of a node's log.
type processLog struct {
	header      Header
	calls       []call
	pending     map[int64]int // index in calls, by sequence number
	clockOffset int64         // the service's clock minus the node's, in milliseconds
	clockError  int64         // largest error of clockOffset, in milliseconds; -1 if the offset is unknown
	staleNotes  []staleNote
	lostEntries int
	lastMS      int64 // time of the last entry
	endedMS     int64 // time by which the process had ended; 0 if unknown
}

type call struct {
	endpoint string
	revision int64
	// writtenFrom and writtenUntil bound when the request was written, by the node's clock. writtenUntil is 0 while it
	// may still be written.
	writtenFrom, writtenUntil int64
	outcome                   Outcome
}

type staleNote struct {
	atMS   int64
	reason string
}

// Add audits a node's log. A log that cannot be read is reported among the unknown.
func (a *Auditor) Add(node string, raw []byte) {
	entries, damaged, err := Parse(raw)
	a.report.Nodes++
	if err != nil {
		a.addUnknown(node, 0, "%v", err)
		return
	}
	if damaged > 0 {
		a.addUnknown(node, 0, "%d entries of its audit log are truncated or corrupt", damaged)
	}
	processes := map[uint32]*processLog{}
	var current *processLog
	for _, e := range entries {
		if e.Header != nil {
			previous := current
			if current = processes[e.Header.Incarnation]; current == nil && previous != nil && e.AtMS >= previous.lastMS {
				previous.endedMS = e.AtMS // a state directory has one process at a time
			}
			if current == nil {
				current = &processLog{header: *e.Header, pending: map[int64]int{}, clockError: -1}
				processes[e.Header.Incarnation] = current
			}
		}
		if current == nil { // its header was damaged
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
		// The server read its clock between the beginning and the end of the exchange.
		if half := (s.TookMS + 1) / 2; p.clockError < 0 || half < p.clockError {
			p.clockOffset, p.clockError = s.ServerMS-(s.EndedMS-s.TookMS/2), half
		}
	}
	if entry.StaleReason != "" {
		p.staleNotes = append(p.staleNotes, staleNote{entry.AtMS, entry.StaleReason})
	}
}

// staleReasonAt returns the last recorded reason for an out-of-date list up to a time.
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

// auditProcess checks every call of a process.
func (a *Auditor) auditProcess(p *processLog, withdrawals map[string][]withdrawal) {
	if p.lostEntries > 0 {
		a.addUnknown(p.header.Node, p.header.Incarnation, "%d entries could not be written", p.lostEntries)
	}
	if p.clockError < 0 && len(p.calls) > 0 {
		a.addUnknown(p.header.Node, p.header.Incarnation, "its clock was never compared with the list service's: %d calls not audited", len(p.calls))
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
					f.Reason = "the node already had the newer list"
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
		a.addUnknown(p.header.Node, p.header.Incarnation, "%d calls used list revisions that the service no longer remembers", untraceable)
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

// classify checks a call against a withdrawal of its endpoint. For a late call it also returns how long after the
// withdrawal it was made.
func (c call) classify(w withdrawal, offset, grace, slack int64) (verdict, int64) {
	from, until := c.writtenFrom+offset, c.writtenUntil+offset
	if c.writtenUntil == 0 { // it may have been written at any time since its start, or not at all
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

// Report returns the result: findings ordered by the withdrawing revision, then by node.
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
