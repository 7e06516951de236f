package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// RequestSpacing is the time between two requests of a fleet whose nodes all want the list at the same moment. A
	// server's rate has to be above 1/RequestSpacing; the margin absorbs the random jitter.
	RequestSpacing = 5500 * time.Microsecond
	// MinCycle is the shortest time between two requests of one node, however small the fleet.
	MinCycle = 100 * time.Millisecond
	// MaxRetryAfter is the longest wait that a node accepts. A longer one is a fault of the server.
	MaxRetryAfter       = 5 * time.Minute
	maxRetryAfterJitter = 100 * time.Millisecond // random delay added to a server's wait; at most the wait itself
)

// Pacer decides when one node of a fleet asks for the list, which all nodes may want at the same moment. Its place in
// the cycle follows from the node's number, so that the requests are evenly spaced and not only on average; jitter
// within that place keeps them from synchronizing with anything else.
type Pacer struct {
	cycle      time.Duration // between two requests of one node
	phase      float64       // start of the node's place in the cycle, from 0 to 1
	phaseWidth float64       // length of that place, as a share of the cycle
	rng        *rand.Rand
}

// NewPacer returns the pacer of a node, by its number and the number of nodes in the fleet. A number out of range is
// taken modulo the fleet's size.
func NewPacer(fleet, number int, rng *rand.Rand) *Pacer {
	fleet = max(fleet, 1)
	number = ((number % fleet) + fleet) % fleet
	// Nodes with adjacent numbers often start one after the other. A stride by the golden ratio puts them far apart
	// in the cycle and spreads any run of numbers evenly.
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

// Cycle returns the time in which each node of the fleet may ask once.
func (p *Pacer) Cycle() time.Duration { return p.cycle }

// InitialDelay returns how long to wait after something that all nodes notice at the same moment, such as a start of
// the whole fleet or the loss of a server.
func (p *Pacer) InitialDelay() time.Duration {
	return time.Duration((p.phase + p.phaseWidth*p.rng.Float64()) * float64(p.cycle))
}

// RetryDelay returns how long to wait after a failed request that took the given time.
func (p *Pacer) RetryDelay(took time.Duration) time.Duration {
	jitter := time.Duration((p.rng.Float64() - 0.5) * p.phaseWidth * float64(p.cycle))
	return max(p.cycle+jitter-max(took, 0), min(p.cycle, MinCycle)/2)
}

// RetryAfter returns how long to wait after a response that asked for the given wait: never less than that, and at
// most twice as long. If the wait is out of range, ok is false and the delay is the node's own cycle.
func (p *Pacer) RetryAfter(wait time.Duration) (d time.Duration, ok bool) {
	if wait <= 0 || wait > MaxRetryAfter {
		return p.RetryDelay(0), false
	}
	return wait + time.Duration(p.rng.Float64()*float64(min(wait, maxRetryAfterJitter))), true
}
