package choice

import (
	"math"
	"time"
)

// maxRememberedDests bounds the number of destinations in a Memory. Those that were mentioned first are kept.
const maxRememberedDests = 1024

// Memory is what a Sender has learnt and what the next process of its node begins with. Times in it are ages at the
// time of writing.
type Memory struct {
	Dests []RememberedDest
}

// RememberedDest is a destination in a Memory.
type RememberedDest struct {
	ID                int
	Average, Baseline float64 // of the admission gate, in seconds; 0 for none
	Routes            []RememberedRoute
}

// RememberedRoute is a route in a Memory. A route that several endpoints share is in it once for each.
type RememberedRoute struct {
	Endpoint         string        // ID of the endpoint
	PenalizedLatency float64       `json:"Response"` // smoothed, in seconds; failures count as slow
	SmoothedLatency  float64       `json:"Usual"`    // smoothed, in seconds; successful calls only
	LimitShare       float64       `json:"Part"`     // of the limit, if the node is the coordinator; 0 otherwise
	CircuitOpen      bool          `json:"Sick"`     // the route is in an outage
	ColdFor          time.Duration `json:"Cold"`     // age of its recovery; 0 if it is not in one
}

// Remember returns what the next process of this node should begin with.
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

// rounded rounds a figure to the precision that is useful to a new process: 0.1 ms for a latency, 0.0001 for a share.
// A positive figure stays positive.
func rounded(x float64) float64 {
	const unit = 1e-4
	if x <= 0 {
		return x
	}
	return max(math.Round(x/unit), 1) / (1 / unit)
}

// handleMemoryRestored takes over what an earlier process of the node had learnt. The older it is, the less weight it
// has. It does not replace what this process has learnt itself.
func (s *Sender) handleMemoryRestored(e MemoryRestored) {
	trust := math.Exp(-seconds(e.Age) / seconds(memoryDecayTime))
	for _, dest := range e.Dests {
		d := s.destinations[dest.ID]
		if d == nil || e.Age < 0 {
			continue
		}
		if !d.gate.sampled && dest.Average > 0 && dest.Baseline > 0 {
			d.gate = gate{average: dest.Baseline + float64(trust*max(dest.Average-dest.Baseline, 0)), baseline: dest.Baseline, sampledAt: s.now, sampled: true}
		}
		for _, remembered := range dest.Routes {
			ep := s.endpoints[remembered.Endpoint]
			if ep == nil || ep.dest != d {
				continue
			}
			if ep.smoothedLatency == 0 && remembered.SmoothedLatency > 0 {
				ep.smoothedLatency, ep.penalizedLatency = remembered.SmoothedLatency, remembered.SmoothedLatency+float64(trust*max(remembered.PenalizedLatency-remembered.SmoothedLatency, 0))
			}
			s.restoreRoute(ep, remembered, e.Age, trust)
		}
	}
}
