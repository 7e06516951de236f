package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// admission decides at one destination whether a message is taken on, and whether one may go out.
type admission interface {
	admit(now time.Duration, d *destination) bool
	maySend(now time.Duration, d *destination) bool
	// heard takes a response, from arrival to outcome, in seconds.
	observe(now time.Duration, response float64, passed bool)
}

type newAdmission func(r *rand.Rand) admission

// admitters are the textbook ways to admit. BBC, OCC, CS and LC are the paper's, on the ratio of the smoothed response
// time to the lowest average seen.
var admissions = map[string]newAdmission{
	"none":     func(*rand.Rand) admission { return &admitAll{} },
	"bbc60-80": func(*rand.Rand) admission { return &bangBang{lower: 60, upper: 80} },
	"bbc20-40": func(*rand.Rand) admission { return &bangBang{lower: 20, upper: 40} },
	"occ50":    func(r *rand.Rand) admission { return &occupancy{threshold: 50, rng: r} },
	"occ30":    func(r *rand.Rand) admission { return &occupancy{threshold: 30, rng: r} },
	"cs50":     func(*rand.Rand) admission { return &callSpacing{threshold: 50, interval: 200 * time.Millisecond} },
	"lc30":     func(*rand.Rand) admission { return &levelControl{threshold: 30} },
	"lc70":     func(*rand.Rand) admission { return &levelControl{threshold: 70} },
	"aimd":     func(*rand.Rand) admission { return &aimd{limit: 4} },
	"gradient": func(*rand.Rand) admission { return &gradient{limit: 4} },
	"tokens":   func(*rand.Rand) admission { return &tokenBucket{} },
}

// ratio is the paper's measure.
type responseRatio struct{ average, lowest float64 }

func (r *responseRatio) observe(_ time.Duration, response float64, _ bool) {
	response = max(response, minResponse.Seconds())
	if r.average == 0 {
		r.average, r.lowest = response, response
	}
	r.average += ewmaWeight * (response - r.average)
	r.lowest = min(r.lowest, r.average)
}

func (r *responseRatio) value() float64 {
	if r.lowest == 0 {
		return 0
	}
	return r.average / r.lowest
}

type admitAll struct{ responseRatio }

func (*admitAll) admit(time.Duration, *destination) bool   { return true }
func (*admitAll) maySend(time.Duration, *destination) bool { return true }

// idle lets a single message through a shut gate at which nothing else waits, or it could never open again.
func nothingPending(d *destination) bool { return d.queued+d.inProgress == 0 }

// bbc is bang-bang control: shut above the upper bound, open again below the lower.
type bangBang struct {
	responseRatio
	lower, upper float64
	closed       bool
}

func (b *bangBang) admit(_ time.Duration, d *destination) bool {
	if r := b.value(); r > b.upper {
		b.closed = true
	} else if r < b.lower {
		b.closed = false
	}
	return !b.closed || nothingPending(d)
}
func (*bangBang) maySend(time.Duration, *destination) bool { return true }

// occ is occupancy control: the further above the point, the less likely a message is admitted.
type occupancy struct {
	responseRatio
	threshold float64
	rng       *rand.Rand
}

func (o *occupancy) admit(_ time.Duration, d *destination) bool {
	r := o.value()
	return r <= o.threshold || o.rng.Float64() < o.threshold/r || nothingPending(d)
}
func (*occupancy) maySend(time.Duration, *destination) bool { return true }

// cs is call spacing: above the point, one message in each span.
type callSpacing struct {
	responseRatio
	threshold float64
	interval  time.Duration
	next      time.Duration
}

func (c *callSpacing) admit(now time.Duration, d *destination) bool {
	if c.value() <= c.threshold || nothingPending(d) {
		return true
	}
	if now < c.next {
		return false
	}
	c.next = now + c.interval
	return true
}
func (*callSpacing) maySend(time.Duration, *destination) bool { return true }

// lc is level control: nothing above the level.
type levelControl struct {
	responseRatio
	threshold float64
}

func (l *levelControl) admit(_ time.Duration, d *destination) bool {
	return l.value() <= l.threshold || nothingPending(d)
}
func (*levelControl) maySend(time.Duration, *destination) bool { return true }

// aimd bounds the calls out: one more for a limit's worth of passes, half as many after a failure (Chiu and Jain).
type aimd struct {
	admitAll
	limit       float64
	decreasedAt time.Duration
}

func (a *aimd) maySend(_ time.Duration, d *destination) bool { return float64(d.inProgress) < a.limit }

func (a *aimd) observe(now time.Duration, _ float64, passed bool) {
	if passed {
		a.limit = min(a.limit+1/a.limit, 1000)
	} else if now-a.decreasedAt > 250*time.Millisecond {
		a.limit, a.decreasedAt = max(1, a.limit/2), now
	}
}

// gradient bounds the calls out by the gradient of latency, as published for adaptive concurrency limits: the limit is
// scaled by the ratio of the long-term to the present latency, plus room for a queue.
type gradient struct {
	admitAll
	limit, long, short float64
}

func (g *gradient) maySend(_ time.Duration, d *destination) bool {
	return float64(d.inProgress) < g.limit
}

func (g *gradient) observe(_ time.Duration, response float64, passed bool) {
	if !passed {
		g.limit = max(1, g.limit*0.9)
		return
	}
	if g.long == 0 {
		g.long, g.short = response, response
	}
	g.long += 0.01 * (response - g.long)
	g.short += 0.2 * (response - g.short)
	slope := min(1, max(0.5, g.long/max(g.short, 1e-3)))
	g.limit = min(1000, max(1, 0.8*g.limit+0.2*(g.limit*slope+math.Sqrt(g.limit))))
}

// tokens sends at an even share of the limit that the list tells, as a sender does that knows the true limit and
// nothing of the others.
type tokenBucket struct {
	admitAll
	tokens    float64
	updatedAt time.Duration
	fleetSize float64
}

func (b *tokenBucket) maySend(now time.Duration, d *destination) bool {
	rate := 0.0
	for _, p := range d.endpoints {
		if p.ready && (p.separateRoute || rate == 0) {
			rate += p.weight
		}
	}
	if rate <= 0 {
		return true
	}
	rate /= max(b.fleetSize, 1)
	b.tokens = min(b.tokens+rate*(now-b.updatedAt).Seconds(), max(1, rate/4))
	if b.updatedAt = now; b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
