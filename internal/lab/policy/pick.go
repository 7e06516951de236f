package policy

// picker chooses among the endpoints that a message may go to; nil sends nothing.
type picker func(t *textbook, fit []*point) *point

// pickers are the textbook ways to choose.
var pickers = map[string]func() picker{
	"uniform": func() picker {
		return func(t *textbook, fit []*point) *point { return fit[t.rng.IntN(len(fit))] }
	},
	"round-robin": func() picker {
		turns := map[*target]int{}
		return func(_ *textbook, fit []*point) *point {
			d := fit[0].dest
			turns[d]++
			return fit[turns[d]%len(fit)]
		}
	},
	"least-out": func() picker {
		return func(t *textbook, fit []*point) *point {
			return least(t, fit, func(p *point) float64 { return float64(p.out) })
		}
	},
	// Mitzenmacher's power of two choices: of two drawn, the one with fewer out.
	"two-choices": func() picker {
		return func(t *textbook, fit []*point) *point {
			a, b := fit[t.rng.IntN(len(fit))], fit[t.rng.IntN(len(fit))]
			if b.out < a.out {
				return b
			}
			return a
		}
	},
	// LRT-w-FB of the paper that the design names: the lowest smoothed response time.
	"lrt": func() picker {
		return func(t *textbook, fit []*point) *point {
			return least(t, fit, func(p *point) float64 { return p.response })
		}
	},
}

// least is the one with the least, the first of equals being drawn.
func least(t *textbook, fit []*point, of func(*point) float64) *point {
	first := t.rng.IntN(len(fit))
	best := fit[first]
	for i := range fit {
		if p := fit[(first+i)%len(fit)]; of(p) < of(best) {
			best = p
		}
	}
	return best
}
