package paper

import "math/rand/v2"

// Controls are the names of the paper's seven controls: bang-bang control (bbc) with a lower and an upper threshold,
// occupancy control (occ), call spacing (cs) and level control (lc), with one threshold each.
var Controls = []string{"bbc20-40", "bbc60-80", "occ30", "occ50", "cs50", "lc30", "lc70"}

// control is the admission control of one proxy. It decides on the ratio of the smoothed response time of the proxy's
// sessions to the mean response time of an empty system. Times are in mean service times of a server.
type control struct {
	smoothedResponseTime float64
	decide               func(now, ratio float64) bool
}

// controlState is the state that some controls keep between decisions.
type controlState struct {
	closed      bool    // bang-bang control: sessions are rejected until the ratio is below the lower threshold
	nextAllowed float64 // call spacing: time from which the next session is admitted
}

// callSpacing is the paper's parameter T of call spacing, in service times: in overload one session is admitted per T.
const callSpacing = 5

// newControl returns the control with a name; any name other than a known one admits every session.
func newControl(name string, r *rand.Rand) control {
	state := &controlState{}
	bbc := func(low, high float64) func(now, ratio float64) bool {
		return func(_, ratio float64) bool {
			if ratio > high {
				state.closed = true
			} else if ratio < low {
				state.closed = false
			}
			return !state.closed
		}
	}
	occ := func(limit float64) func(now, ratio float64) bool {
		return func(_, ratio float64) bool { return ratio <= limit || r.Float64() < (limit/ratio)*(limit/ratio) }
	}
	threshold := func(limit float64) func(now, ratio float64) bool {
		return func(_, ratio float64) bool { return ratio <= limit }
	}
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
		limit := 50.0
		if name == "cs30" {
			limit = 30
		}
		c.decide = func(now, ratio float64) bool {
			if ratio <= limit {
				return true
			}
			if now < state.nextAllowed {
				return false
			}
			state.nextAllowed = now + callSpacing
			return true
		}
	case "lc30":
		c.decide = threshold(30)
	case "lc70":
		c.decide = threshold(70)
	default:
		c.decide = func(_, _ float64) bool { return true }
	}
	return c
}

// ratio returns the response ratio, given the mean response time of an empty system.
func (c *control) ratio(emptyResponseTime float64) float64 {
	return c.smoothedResponseTime / emptyResponseTime
}

// admit reports whether a session that arrives at the given time and response ratio is admitted.
func (c *control) admit(now, ratio float64) bool {
	if c.decide(now, ratio) {
		return true
	}
	// While sessions are rejected, no new response times arrive that could end the rejection. So the smoothed response
	// time decays with each rejected session.
	c.smoothedResponseTime *= rejectionDecay
	return false
}

// rejectionDecay is the factor by which each rejected session lowers the smoothed response time.
const rejectionDecay = 0.98

// observe adds the response time of a completed session to the smoothed response time.
func (c *control) observe(responseTime float64) {
	c.smoothedResponseTime += measuredDelayWeight * (responseTime - c.smoothedResponseTime)
}
