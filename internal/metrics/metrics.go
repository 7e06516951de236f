// Package metrics counts what a node does, for its operators.
package metrics

import (
	"sync/atomic"
	"time"

	"harrierramp/internal/membership"
)

// Set are what the operators read. Counters run from the start of the process, each counted once, where its
// event happens; the loop publishes the gauges after every step, so that a reader waits for nobody.
type Set struct {
	classes  []string
	outcomes []outcomeCounts // by class
	Attempts atomic.Int64    // messages written whole to endpoints

	Active, PoolSize, PoolEjected atomic.Int64

	// Of the other nodes; told only where membership is on.
	MembershipEnabled                                                   bool
	present, suspect, lastAgreementAgoMS, localHealth                   atomic.Int64
	refutations, probes, missedProbes, invalidDatagrams, UnknownSenders atomic.Int64
	// Of the list; told only where it is the project's own service's.
	ListServiceEnabled                                                                             bool
	ListRevision, OlderListsRefused, SuspiciousListsHeld, ListWatchesEnded                         atomic.Int64
	lastListActivity                                                                               atomic.Pointer[time.Time] // of a server's last line, on the monotonic clock
	ListRequests, ListRequestsDeferred, ProcessPauses, AuditRecordsLost, TimesFenced, PeersAheadBy atomic.Int64
	firstListMS, firstCallMS, firstDeliveryMS                                                      atomic.Int64 // milliseconds since the process began, plus 1; 0 for not yet

	histograms histograms
}

// ends counts the final answers of a class.
type outcomeCounts struct{ delivered, shed, failed atomic.Int64 }

// New has a figure for each of the classes.
func New(classes []string) *Set {
	s := &Set{classes: classes, outcomes: make([]outcomeCounts, len(classes)), histograms: newHistograms()}
	s.RecordListActivity()
	return s
}

// StartedWith, FirstCall and FirstDelivery note how long after its beginning a process had a server's list, made a call
// and delivered a message. Only the first time counts.
func (s *Set) ObserveFirstList(d time.Duration) { setOnce(&s.firstListMS, d) }

// FirstCall: see StartedWith.
func (s *Set) ObserveFirstCall(d time.Duration) { setOnce(&s.firstCallMS, d) }

// FirstDelivery: see StartedWith.
func (s *Set) ObserveFirstDelivery(d time.Duration) { setOnce(&s.firstDeliveryMS, d) }

func setOnce(v *atomic.Int64, d time.Duration) {
	if v.Load() == 0 {
		v.CompareAndSwap(0, max(d.Milliseconds(), 0)+1)
	}
}

// Delivered counts a message's final answer, as Shed and Failed do. A class that the settings don't name has no figure.
func (s *Set) CountDelivered(class int) {
	if e := s.countsFor(class); e != nil {
		e.delivered.Add(1)
	}
}

// Shed counts a message that was refused or handed back.
func (s *Set) CountShed(class int) {
	if e := s.countsFor(class); e != nil {
		e.shed.Add(1)
	}
}

// Failed counts a message that failed for good.
func (s *Set) CountFailed(class int) {
	if e := s.countsFor(class); e != nil {
		e.failed.Add(1)
	}
}

func (s *Set) countsFor(class int) *outcomeCounts {
	if s == nil || class < 0 || class >= len(s.outcomes) {
		return nil
	}
	return &s.outcomes[class]
}

// ListLine notes that a list server has said something.
func (s *Set) RecordListActivity() {
	now := time.Now()
	s.lastListActivity.Store(&now)
}

// ListHeard is when a server's last line came, or the start.
func (s *Set) LastListActivity() time.Time { return *s.lastListActivity.Load() }

// PublishFellows brings the figures of membership up to date.
func (s *Set) PublishMembership(core *membership.Core, now time.Duration) {
	present, suspects := core.MemberCounts()
	agreed, health := core.Health()
	s.present.Store(int64(present))
	s.suspect.Store(int64(suspects))
	s.lastAgreementAgoMS.Store(-1)
	if agreed > 0 {
		s.lastAgreementAgoMS.Store((now - agreed).Milliseconds())
	}
	s.localHealth.Store(int64(health))
	s.refutations.Store(core.Counts.Refutations)
	s.probes.Store(core.Counts.Probes)
	s.missedProbes.Store(core.Counts.FailedProbes)
	s.invalidDatagrams.Store(core.Counts.Rejected)
}
