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
func NewReporter(now time.Duration, c Report, rng *rand.Rand) *Reporter {
	t := &Reporter{rng: rng, report: c, dirty: true}
	t.dueAt = now + t.jitter(reportSpread)
	return t
}

func (t *Reporter) jitter(d time.Duration) time.Duration {
	return time.Duration(t.rng.Float64() * float64(d))
}

// Update notes what the node acts on now, whether it is ready, and whether it is shut out.
func (t *Reporter) Update(now time.Duration, revision int64, ready, fenced bool, lagReason string) {
	if t.report.Revision == revision && t.report.Ready == ready && t.report.Fenced == fenced {
		return
	}
	t.report.Revision, t.report.Ready, t.report.Fenced = revision, ready, fenced
	if lagReason != "" {
		t.report.LagReason = lagReason
	}
	if !t.dirty {
		t.dirty = true
		t.dueAt = min(t.dueAt, now+minReportInterval/4+t.jitter(reportSpread-minReportInterval/4))
	}
}

// Wake is when Next has to be asked; 0 while a claim is on its way.
func (t *Reporter) WakeAt() time.Duration {
	if t.inFlight {
		return 0
	}
	return t.dueAt
}

// Next is the claim that is due, if one is. Its end comes by Done.
func (t *Reporter) Next(now time.Duration) (Report, bool) {
	if t.inFlight || now < t.dueAt {
		return Report{}, false
	}
	t.report.Seq++
	t.inFlight, t.dirty = true, false
	return t.report, true
}

// Done notes whether a server has taken the claim.
func (t *Reporter) Done(now time.Duration, accepted bool) {
	t.inFlight = false
	if !accepted {
		t.dirty = true
		t.retryDelay = min(max(2*t.retryDelay, minReportInterval), maxRetryDelay)
		t.dueAt = now + t.retryDelay/2 + t.jitter(t.retryDelay/2)
		return
	}
	t.retryDelay = 0
	if t.dirty { // something has changed meanwhile
		t.dueAt = now + minReportInterval
		return
	}
	t.dueAt = now + ReportInterval*3/4 + t.jitter(ReportInterval/2)
}
