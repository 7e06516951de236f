package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// admission is an admission control for one destination. It decides whether new messages are admitted and whether
// waiting ones may be sent.
type admission interface {
	admit(now time.Duration, d *destination) bool
	maySend(now time.Duration, d *destination) bool
	// observe is told the outcome of an attempt, with the time in seconds since the message's arrival. passed says that
	// the message was delivered.
	observe(now time.Duration, response float64, passed bool)
}

type newAdmission func(r *rand.Rand) admission

// admissions are published admission controls. BBC, OCC, CS and LC are those of the paper that the design refers to;
// their input is responseRatio.
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

// responseRatio is the load measure of the paper: the smoothed response time divided by its lowest value so far.
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

// nothingPending reports that a destination has no messages waiting or in progress. A closed gate still admits a
// message then; otherwise there would be no responses, and the gate could never open again.
func nothingPending(d *destination) bool { return d.queued+d.inProgress == 0 }

// bangBang is bang-bang control (BBC): the gate closes above the upper bound and opens again below the lower one.
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

// occupancy is occupancy control (OCC): above the threshold, messages are admitted with probability threshold/ratio.
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

// callSpacing is call spacing (CS): above the threshold, one message is admitted per interval.
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

// levelControl is level control (LC): above the threshold, no messages are admitted.
type levelControl struct {
	responseRatio
	threshold float64
}

func (l *levelControl) admit(_ time.Duration, d *destination) bool {
	return l.value() <= l.threshold || nothingPending(d)
}
func (*levelControl) maySend(time.Duration, *destination) bool { return true }

// aimd bounds the calls in progress by additive increase, multiplicative decrease (Chiu and Jain): the limit grows by
// one after as many deliveries as the limit, and halves after a failure, at most once per 250 ms.
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

// gradient bounds the calls in progress by the gradient of latency, as published for adaptive concurrency limits: the
// limit is scaled by the ratio of the long-term to the short-term latency, plus room for a queue.
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

// tokenBucket sends at an equal share of the rate limit that the list states, as a sender does that knows the limit but
// not the load of the other nodes.
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
