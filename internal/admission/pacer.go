package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// Spacing is between the asks of a fleet whose members all want the same at the same moment. A server's rate has to
	// be above one ask a Spacing; the share between is for chance.
	RequestSpacing = 5500 * time.Microsecond
	// LeastCycle is between the asks of one member, however small its fleet.
	MinCycle = 100 * time.Millisecond
	// MostTold is the longest wait that a member lets itself be told. More is a fault of whoever told it.
	MaxRetryAfter       = 5 * time.Minute
	maxRetryAfterJitter = 100 * time.Millisecond // of chance on top of a wait that was told, and no more than the wait
)

// Turn is when one member of a fleet asks for what all may want at once. Its place among the others follows from its
// number, so that their asks are evenly apart and not merely apart on average; chance within the place keeps them from
// coming in step with anything else.
type Pacer struct {
	cycle      time.Duration // from one ask to the next, of one member
	phase      float64       // in the cycle, from 0 to 1
	phaseWidth float64       // of the place
	rng        *rand.Rand
}

// NewTurn is for member number of so many; a number out of range is taken as any.
func NewPacer(fleet, number int, rng *rand.Rand) *Pacer {
	fleet = max(fleet, 1)
	number = ((number % fleet) + fleet) % fleet
	// Neighbours by number often start one after the other. The golden ratio puts them far apart, and any run of
	// numbers evenly over the cycle.
	stride := max(1, int(math.Round(float64(fleet)/math.Phi)))
	for gcd(stride, fleet) != 1 {
		stride++
	}
	return &Pacer{
		cycle: max(MinCycle, time.Duration(fleet)*RequestSpacing), phase: float64(number*stride%fleet) / float64(fleet),
		phaseWidth: 1 / float64(fleet), rng: rng,
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// Cycle is the time in which each member of the fleet has its turn once.
func (p *Pacer) Cycle() time.Duration { return p.cycle }

// First is how long to wait after something that all members notice at the same moment: a start of the whole fleet, or
// the end of a server.
func (p *Pacer) InitialDelay() time.Duration {
	return time.Duration((p.phase + p.phaseWidth*p.rng.Float64()) * float64(p.cycle))
}

// Again is how long to wait after an ask that has failed, and took so long.
func (p *Pacer) RetryDelay(took time.Duration) time.Duration {
	jitter := time.Duration((p.rng.Float64() - 0.5) * p.phaseWidth * float64(p.cycle))
	return max(p.cycle+jitter-max(took, 0), min(p.cycle, MinCycle)/2)
}

// Told is how long to wait after an ask that was told to come after a wait: never less, and at most twice that. ok is
// whether the wait makes sense; if not, the member goes by its own cycle.
func (p *Pacer) RetryAfter(wait time.Duration) (d time.Duration, ok bool) {
	if wait <= 0 || wait > MaxRetryAfter {
		return p.RetryDelay(0), false
	}
	return wait + time.Duration(p.rng.Float64()*float64(min(wait, maxRetryAfterJitter))), true
}
