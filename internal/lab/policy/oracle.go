package policy

import (
	"math/rand/v2"

	"harrierramp/choice"
	"harrierramp/internal/lab/model"
)

// newOracle returns an idealized policy that sees the true state of every endpoint and the calls that all nodes have in
// transit. It admits every message and sends only to endpoints with spare capacity. No real policy can do this; its
// result is an approximate upper bound.
func newOracle() model.PolicyFactory {
	type shared struct {
		w   *model.World
		out map[string]int // calls in transit, by the rate limit that applies to them
	}
	var s *shared
	return func(w *model.World, cfg choice.Settings, seed uint64) model.Policy {
		if s == nil || s.w != w {
			s = &shared{w, map[string]int{}}
		}
		zone := w.Day.Nodes[cfg.Number].Zone
		all := s
		t := newReferenceSender(w, cfg, seed, nil, func(*rand.Rand) admission { return &admitAll{} })
		t.pick = func(t *referenceSender, eligible []*endpoint) *endpoint {
			var best *endpoint
			mostRoom := 0
			for _, p := range eligible {
				room := w.SpareCapacity(p.id, zone) - all.out[w.LimitKey(p.id)]
				if room > mostRoom || room == mostRoom && room > 0 && p.zone == zone {
					best, mostRoom = p, room
				}
			}
			if best != nil {
				key := w.LimitKey(best.id)
				all.out[key]++
				// By then the call has arrived, and SpareCapacity counts it.
				w.After(w.OneWayDelay(zone, best.zone), func() { all.out[key]-- })
			}
			return best
		}
		return t
	}
}
