package choice

import (
	"math"
	"time"
)

// maxRemembered bounds what a sender remembers of destinations; those that were mentioned first come first.
const maxRemembered = 1024

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
	Endpoint        string // one of it
	Response, Usual float64
	Part            float64       // of the limit, as a keeper knows it; 0 if it keeps none
	Sick            bool          // struck
	Cold            time.Duration // or back for so long; 0 for neither
}

// Remember is what a new process of this node should begin with.
func (s *Sender) Remember() Memory {
	var m Memory
	for _, d := range s.order {
		if len(m.Dests) == maxRemembered {
			break
		}
		r := RememberedDest{ID: d.id}
		if d.gate.seen {
			r.Average, r.Baseline = rounded(d.gate.average), rounded(d.gate.baseline)
		}
		for _, e := range d.endpoints {
			one := RememberedRoute{Endpoint: e.id, Response: rounded(e.response), Usual: rounded(e.usual), Sick: e.route.sick}
			known := e.route
			if f := known.fleet; f != nil {
				known, one.Part, one.Sick = f, rounded(f.part), f.sick
			}
			if known.coldFrom > 0 {
				one.Cold = max(s.now-known.coldFrom, 1)
			}
			r.Routes = append(r.Routes, one)
		}
		m.Dests = append(m.Dests, r)
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
func (s *Sender) recalled(e Recalled) {
	trust := math.Exp(-seconds(e.Age) / seconds(memorySpan))
	for _, r := range e.Dests {
		d := s.dests[r.ID]
		if d == nil || e.Age < 0 {
			continue
		}
		if !d.gate.seen && r.Average > 0 && r.Baseline > 0 {
			d.gate = gate{average: r.Baseline + trust*max(r.Average-r.Baseline, 0), baseline: r.Baseline, at: s.now, seen: true}
		}
		for _, k := range r.Routes {
			ep := s.eps[k.Endpoint]
			if ep == nil || ep.dest != d {
				continue
			}
			if ep.usual == 0 && k.Usual > 0 {
				ep.usual, ep.response = k.Usual, k.Usual+trust*max(k.Response-k.Usual, 0)
			}
			s.recallRoute(ep, k, e.Age, trust)
		}
	}
}
