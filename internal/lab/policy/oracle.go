package policy

import (
	"math/rand/v2"

	"harrierramp/choice"
	"harrierramp/internal/lab/model"
)

// newBound is a policy that sees the true state of every endpoint and what all nodes have on the way: it sends only
// where there is room now, and takes on what it has a place for. No real one can do that; what it reaches is about what
// can be had.
func newOracle() model.PolicyFactory {
	type shared struct {
		w   *model.World
		out map[string]int // calls on the way, by what limits them
	}
	var s *shared
	return func(w *model.World, cfg choice.Settings, seed uint64) model.Policy {
		if s == nil || s.w != w {
			s = &shared{w, map[string]int{}}
		}
		zone := w.Day.Nodes[cfg.Number].Zone
		all := s
		t := newReferenceSender(w, cfg, seed, nil, func(*rand.Rand) admission { return &admitAll{} })
		t.pick = func(t *referenceSender, fit []*endpoint) *endpoint {
			var best *endpoint
			most := 0
			for _, p := range fit {
				room := w.SpareCapacity(p.id, zone) - all.out[w.LimitKey(p.id)]
				if room > most || room == most && room > 0 && p.zone == zone {
					best, most = p, room
				}
			}
			if best != nil {
				at := w.LimitKey(best.id)
				all.out[at]++
				// It has arrived by then, and counts among what the endpoint has.
				w.After(w.OneWayDelay(zone, best.zone), func() { all.out[at]-- })
			}
			return best
		}
		return t
	}
}
