package rollout

import (
	"math/rand/v2"
	"time"
)

const (
	minReportInterval = time.Second      // between reports of one node
	reportSpread      = 2 * time.Second  // the nodes of a fleet report a change within this span
	maxRetryDelay     = 30 * time.Second // between attempts while no server accepts the report
)

// Reporter decides when a node reports what it acts on: soon after a change, and once per ReportInterval. A change
// that all nodes apply at once is reported over two seconds, and several changes in that time are reported together.
// So a node's cost depends neither on the fleet's size nor on how often the list changes.
type Reporter struct {
	rng        *rand.Rand
	report     Report
	dirty      bool
	inFlight   bool // a report is being sent
	dueAt      time.Duration
	retryDelay time.Duration // before the next attempt
}

// NewReporter returns a Reporter that starts with the given state. The incarnation must rise with each process of the
// node.
func NewReporter(now time.Duration, report Report, rng *rand.Rand) *Reporter {
	r := &Reporter{rng: rng, report: report, dirty: true}
	r.dueAt = now + r.jitter(reportSpread)
	return r
}

func (r *Reporter) jitter(d time.Duration) time.Duration {
	return time.Duration(r.rng.Float64() * float64(d))
}

// Update records the revision that the node acts on, whether it is ready, and whether it is fenced.
func (r *Reporter) Update(now time.Duration, revision int64, ready, fenced bool, lagReason string) {
	if r.report.Revision == revision && r.report.Ready == ready && r.report.Fenced == fenced {
		return
	}
	r.report.Revision, r.report.Ready, r.report.Fenced = revision, ready, fenced
	if lagReason != "" {
		r.report.LagReason = lagReason
	}
	if !r.dirty {
		r.dirty = true
		r.dueAt = min(r.dueAt, now+minReportInterval/4+r.jitter(reportSpread-minReportInterval/4))
	}
}

// WakeAt returns when Next is to be called; 0 while a report is being sent.
func (r *Reporter) WakeAt() time.Duration {
	if r.inFlight {
		return 0
	}
	return r.dueAt
}

// Next returns the report that is due, if any. The caller sends it and then calls Done.
func (r *Reporter) Next(now time.Duration) (Report, bool) {
	if r.inFlight || now < r.dueAt {
		return Report{}, false
	}
	r.report.Seq++
	r.inFlight, r.dirty = true, false
	return r.report, true
}

// Done records whether a server has accepted the report.
func (r *Reporter) Done(now time.Duration, accepted bool) {
	r.inFlight = false
	if !accepted {
		r.dirty = true
		r.retryDelay = min(max(2*r.retryDelay, minReportInterval), maxRetryDelay)
		r.dueAt = now + r.retryDelay/2 + r.jitter(r.retryDelay/2)
		return
	}
	r.retryDelay = 0
	if r.dirty { // the state has changed meanwhile
		r.dueAt = now + minReportInterval
		return
	}
	r.dueAt = now + ReportInterval*3/4 + r.jitter(ReportInterval/2)
}
