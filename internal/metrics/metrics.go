// Package metrics collects the counters, gauges and latency histograms of a node and exports them as StatsD lines and
// in the Prometheus text format.
package metrics

import (
	"sync/atomic"
	"time"

	"harrierramp/internal/membership"
)

// Set holds all metrics of a node. Counters start at zero with the process and are incremented once, where the event
// happens. The node's event loop stores the gauges after each step, so reading a metric never waits for the loop.
type Set struct {
	classes  []string
	outcomes []outcomeCounts // by class
	Attempts atomic.Int64    // calls written completely to endpoints

	Active, PoolSize, PoolEjected atomic.Int64

	Clients Clients

	// Metrics of the membership protocol, exported only if MembershipEnabled is set.
	MembershipEnabled                                                   bool
	present, suspect, lastAgreementAgoMS, localHealth                   atomic.Int64
	refutations, probes, missedProbes, invalidDatagrams, UnknownSenders atomic.Int64
	// Metrics of the endpoint list, exported only if the node follows this project's list service.
	ListServiceEnabled                                                                             bool
	ListRevision, OlderListsRefused, SuspiciousListsHeld, ListWatchesEnded                         atomic.Int64
	lastListActivity                                                                               atomic.Pointer[time.Time] // when a list server last sent a line, on the monotonic clock
	ListRequests, ListRequestsDeferred, ProcessPauses, AuditRecordsLost, TimesFenced, PeersAheadBy atomic.Int64
	firstListMS, firstCallMS, firstDeliveryMS                                                      atomic.Int64 // milliseconds since the start of the process, plus 1; 0 until the event has happened

	histograms histograms
}

// Clients holds the metrics of the connections on the clients' port. The server for clients updates them.
type Clients struct {
	UnusableCommands atomic.Int64 // commands that are no request: malformed, unknown, empty or oversized
	Evicted          atomic.Int64 // connections ended for others: for their slot, or for the memory of a stalled request
	RequestBytes     atomic.Int64 // bytes reserved now for large requests that are read or wait for their answer
}

// outcomeCounts counts the final answers of one message class.
type outcomeCounts struct{ delivered, shed, failed atomic.Int64 }

// New returns a Set with outcome counters for each of the given message classes.
func New(classes []string) *Set {
	s := &Set{classes: classes, outcomes: make([]outcomeCounts, len(classes)), histograms: newHistograms()}
	s.RecordListActivity()
	return s
}

// ObserveFirstList records how long after the start of the process the first list from a list server arrived. Calls
// after the first have no effect.
func (s *Set) ObserveFirstList(d time.Duration) { setOnce(&s.firstListMS, d) }

// ObserveFirstCall records how long after the start of the process the first call to an endpoint was made. Calls after
// the first have no effect.
func (s *Set) ObserveFirstCall(d time.Duration) { setOnce(&s.firstCallMS, d) }

// ObserveFirstDelivery records how long after the start of the process the first message was delivered. Calls after the
// first have no effect.
func (s *Set) ObserveFirstDelivery(d time.Duration) { setOnce(&s.firstDeliveryMS, d) }

func setOnce(v *atomic.Int64, d time.Duration) {
	if v.Load() == 0 {
		v.CompareAndSwap(0, max(d.Milliseconds(), 0)+1)
	}
}

// CountDelivered counts a delivered message. Like CountShed and CountFailed, it ignores classes that the settings don't
// define.
func (s *Set) CountDelivered(class int) {
	if e := s.countsFor(class); e != nil {
		e.delivered.Add(1)
	}
}

// CountShed counts a message that was refused or returned undelivered.
func (s *Set) CountShed(class int) {
	if e := s.countsFor(class); e != nil {
		e.shed.Add(1)
	}
}

// CountFailed counts a message that failed permanently.
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

// RecordListActivity records that a list server has just sent a line.
func (s *Set) RecordListActivity() {
	now := time.Now()
	s.lastListActivity.Store(&now)
}

// LastListActivity returns when a list server last sent a line, or when the Set was created if none has.
func (s *Set) LastListActivity() time.Time { return *s.lastListActivity.Load() }

// PublishMembership updates the metrics of the membership protocol from its state.
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
