package policy

// picker chooses among the endpoints that a message may go to; nil sends nothing.
type picker func(t *referenceSender, fit []*endpoint) *endpoint

// pickers are the textbook ways to choose.
var pickers = map[string]func() picker{
	"uniform": func() picker {
		return func(t *referenceSender, fit []*endpoint) *endpoint { return fit[t.rng.IntN(len(fit))] }
	},
	"round-robin": func() picker {
		turns := map[*destination]int{}
		return func(_ *referenceSender, fit []*endpoint) *endpoint {
			d := fit[0].dest
			turns[d]++
			return fit[turns[d]%len(fit)]
		}
	},
	"least-out": func() picker {
		return func(t *referenceSender, fit []*endpoint) *endpoint {
			return leastCost(t, fit, func(p *endpoint) float64 { return float64(p.inProgress) })
		}
	},
	// Mitzenmacher's power of two choices: of two drawn, the one with fewer out.
	"two-choices": func() picker {
		return func(t *referenceSender, fit []*endpoint) *endpoint {
			a, b := fit[t.rng.IntN(len(fit))], fit[t.rng.IntN(len(fit))]
			if b.inProgress < a.inProgress {
				return b
			}
			return a
		}
	},
	// LRT-w-FB of the paper that the design names: the lowest smoothed response time.
	"lrt": func() picker {
		return func(t *referenceSender, fit []*endpoint) *endpoint {
			return leastCost(t, fit, func(p *endpoint) float64 { return p.meanResponse })
		}
	},
}

// least is the one with the least, the first of equals being drawn.
func leastCost(t *referenceSender, eligible []*endpoint, cost func(*endpoint) float64) *endpoint {
	first := t.rng.IntN(len(eligible))
	best := eligible[first]
	for i := range eligible {
		if p := eligible[(first+i)%len(eligible)]; cost(p) < cost(best) {
			best = p
		}
	}
	return best
}
