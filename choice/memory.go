package choice

import (
	"math"
	"time"
)

// maxRemembered bounds what a sender remembers of destinations; those that were mentioned first come first.
const maxRememberedDests = 1024

// Memory is what a sender has learnt and a new process of its node begins with. Times are ages when it was written.
type Memory struct {
	Dests []RememberedDest
}

// RememberedDest is a destination in a Memory.
type RememberedDest struct {
	ID                int
	Average, Baseline float64 // of the gate, in seconds; 0 for none
	Routes            []RememberedRoute
}

// RememberedRoute is a route in a Memory: an endpoint, or all of a destination that share one.
type RememberedRoute struct {
	Endpoint         string        // one of it
	PenalizedLatency float64       `json:"Response"`
	SmoothedLatency  float64       `json:"Usual"`
	LimitShare       float64       `json:"Part"` // of the limit, as a keeper knows it; 0 if it keeps none
	CircuitOpen      bool          `json:"Sick"` // struck
	ColdFor          time.Duration `json:"Cold"` // or back for so long; 0 for neither
}

// Remember is what a new process of this node should begin with.
func (s *Sender) Remember() Memory {
	var m Memory
	for _, d := range s.destinationOrder {
		if len(m.Dests) == maxRememberedDests {
			break
		}
		dest := RememberedDest{ID: d.id}
		if d.gate.sampled {
			dest.Average, dest.Baseline = rounded(d.gate.average), rounded(d.gate.baseline)
		}
		for _, e := range d.endpoints {
			remembered := RememberedRoute{Endpoint: e.id, PenalizedLatency: rounded(e.penalizedLatency), SmoothedLatency: rounded(e.smoothedLatency), CircuitOpen: e.route.circuitOpen}
			r := e.route
			if f := r.fleetRoute; f != nil {
				r, remembered.LimitShare, remembered.CircuitOpen = f, rounded(f.limitShare), f.circuitOpen
			}
			if r.recoveryStartedAt > 0 {
				remembered.ColdFor = max(s.now-r.recoveryStartedAt, 1)
			}
			dest.Routes = append(dest.Routes, remembered)
		}
		m.Dests = append(m.Dests, dest)
	}
	return m
}

// rounded keeps what a new process can use of a figure: a tenth of a millisecond, or of a thousandth. What is there stays.
func rounded(x float64) float64 {
	const unit = 1e-4
	if x <= 0 {
		return x
	}
	return max(math.Round(x/unit), 1) / (1 / unit)
}

// recalled takes what an earlier process of the node has learnt, the older the less of it. What this one has learnt
// itself stays.
func (s *Sender) handleMemoryRestored(e MemoryRestored) {
	trust := math.Exp(-seconds(e.Age) / seconds(memoryDecayTime))
	for _, dest := range e.Dests {
		d := s.destinations[dest.ID]
		if d == nil || e.Age < 0 {
			continue
		}
		if !d.gate.sampled && dest.Average > 0 && dest.Baseline > 0 {
			d.gate = gate{average: dest.Baseline + trust*max(dest.Average-dest.Baseline, 0), baseline: dest.Baseline, sampledAt: s.now, sampled: true}
		}
		for _, remembered := range dest.Routes {
			ep := s.endpoints[remembered.Endpoint]
			if ep == nil || ep.dest != d {
				continue
			}
			if ep.smoothedLatency == 0 && remembered.SmoothedLatency > 0 {
				ep.smoothedLatency, ep.penalizedLatency = remembered.SmoothedLatency, remembered.SmoothedLatency+trust*max(remembered.PenalizedLatency-remembered.SmoothedLatency, 0)
			}
			s.restoreRoute(ep, remembered, e.Age, trust)
		}
	}
}
