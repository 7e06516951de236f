package rollout

import (
	"math/rand/v2"
	"time"
)

const (
	minReportInterval = time.Second      // between claims of one node
	reportSpread      = 2 * time.Second  // within which the fleet tells of a change
	maxRetryDelay     = 30 * time.Second // between tries at servers that don't take a claim
)

// Teller is when a node tells what it acts on: soon after a change, and once in TellEvery. A change that all apply at once
// is told spread over two seconds, and many changes in that time are told as one. So what a node costs does not hang on
// the fleet's size, nor on how often the list changes.
type Reporter struct {
	rng        *rand.Rand
	report     Report
	dirty      bool
	inFlight   bool // a claim is on its way
	dueAt      time.Duration
	retryDelay time.Duration // between tries
}

// NewTeller begins at a moment with what holds then. Its incarnation must rise with each process of the node.
func NewReporter(now time.Duration, report Report, rng *rand.Rand) *Reporter {
	r := &Reporter{rng: rng, report: report, dirty: true}
	r.dueAt = now + r.jitter(reportSpread)
	return r
}

func (r *Reporter) jitter(d time.Duration) time.Duration {
	return time.Duration(r.rng.Float64() * float64(d))
}

// Update notes what the node acts on now, whether it is ready, and whether it is shut out.
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

// Wake is when Next has to be asked; 0 while a claim is on its way.
func (r *Reporter) WakeAt() time.Duration {
	if r.inFlight {
		return 0
	}
	return r.dueAt
}

// Next is the claim that is due, if one is. Its end comes by Done.
func (r *Reporter) Next(now time.Duration) (Report, bool) {
	if r.inFlight || now < r.dueAt {
		return Report{}, false
	}
	r.report.Seq++
	r.inFlight, r.dirty = true, false
	return r.report, true
}

// Done notes whether a server has taken the claim.
func (r *Reporter) Done(now time.Duration, accepted bool) {
	r.inFlight = false
	if !accepted {
		r.dirty = true
		r.retryDelay = min(max(2*r.retryDelay, minReportInterval), maxRetryDelay)
		r.dueAt = now + r.retryDelay/2 + r.jitter(r.retryDelay/2)
		return
	}
	r.retryDelay = 0
	if r.dirty { // something has changed meanwhile
		r.dueAt = now + minReportInterval
		return
	}
	r.dueAt = now + ReportInterval*3/4 + r.jitter(ReportInterval/2)
}
