package paper

import "math/rand/v2"

// Controls are the paper's seven cases.
var Controls = []string{"bbc20-40", "bbc60-80", "occ30", "occ50", "cs50", "lc30", "lc70"}

// control is one proxy's admission, on the ratio of its present response time to that of the empty system.
type control struct {
	smoothedResponseTime float64 // smoothed response time
	decide               func(now, ratio float64) bool
}

type controlState struct {
	closed      bool
	nextAllowed float64
}

// spacing is T of call spacing, in service times: one session in each.
const callSpacing = 5

func newControl(name string, r *rand.Rand) control {
	st := &controlState{}
	bbc := func(low, high float64) func(now, x float64) bool {
		return func(_, x float64) bool {
			if x > high {
				st.closed = true
			} else if x < low {
				st.closed = false
			}
			return !st.closed
		}
	}
	occ := func(at float64) func(now, x float64) bool {
		return func(_, x float64) bool { return x <= at || r.Float64() < (at/x)*(at/x) }
	}
	level := func(at float64) func(now, x float64) bool { return func(_, x float64) bool { return x <= at } }
	var c control
	switch name {
	case "bbc20-40":
		c.decide = bbc(20, 40)
	case "bbc60-80":
		c.decide = bbc(60, 80)
	case "occ30":
		c.decide = occ(30)
	case "occ50":
		c.decide = occ(50)
	case "cs50", "cs30":
		at := 50.0
		if name == "cs30" {
			at = 30
		}
		c.decide = func(now, x float64) bool {
			if x <= at {
				return true
			}
			if now < st.nextAllowed {
				return false
			}
			st.nextAllowed = now + callSpacing
			return true
		}
	case "lc30":
		c.decide = level(30)
	case "lc70":
		c.decide = level(70)
	default:
		c.decide = func(_, _ float64) bool { return true }
	}
	return c
}

func (c *control) ratio(empty float64) float64 { return c.smoothedResponseTime / empty }

func (c *control) admit(now, ratio float64) bool {
	if c.decide(now, ratio) {
		return true
	}
	// Nothing more comes through a shut gate, and so nothing that could open it: what was heard last fades.
	c.smoothedResponseTime *= rejectionDecay
	return false
}

// fade is how the response time of a proxy that takes nothing on comes down, by turned away session.
const rejectionDecay = 0.98

func (c *control) observe(took float64) {
	c.smoothedResponseTime += measuredDelayWeight * (took - c.smoothedResponseTime)
}
