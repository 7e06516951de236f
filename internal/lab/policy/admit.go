package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// admission decides at one destination whether a message is taken on, and whether one may go out.
type admission interface {
	admit(now time.Duration, d *target) bool
	send(now time.Duration, d *target) bool
	// heard takes a response, from arrival to outcome, in seconds.
	heard(now time.Duration, response float64, passed bool)
}

type newAdmission func(r *rand.Rand) admission

// admitters are the textbook ways to admit. BBC, OCC, CS and LC are the paper's, on the ratio of the smoothed response
// time to the lowest average seen.
var admitters = map[string]newAdmission{
	"none":     func(*rand.Rand) admission { return &none{} },
	"bbc60-80": func(*rand.Rand) admission { return &bbc{lower: 60, upper: 80} },
	"bbc20-40": func(*rand.Rand) admission { return &bbc{lower: 20, upper: 40} },
	"occ50":    func(r *rand.Rand) admission { return &occ{at: 50, rng: r} },
	"occ30":    func(r *rand.Rand) admission { return &occ{at: 30, rng: r} },
	"cs50":     func(*rand.Rand) admission { return &cs{at: 50, every: 200 * time.Millisecond} },
	"lc30":     func(*rand.Rand) admission { return &lc{at: 30} },
	"lc70":     func(*rand.Rand) admission { return &lc{at: 70} },
	"aimd":     func(*rand.Rand) admission { return &aimd{limit: 4} },
	"gradient": func(*rand.Rand) admission { return &gradient{limit: 4} },
	"tokens":   func(*rand.Rand) admission { return &tokens{} },
}

// ratio is the paper's measure.
type ratio struct{ average, lowest float64 }

func (r *ratio) heard(_ time.Duration, response float64, _ bool) {
	response = max(response, minSeen.Seconds())
	if r.average == 0 {
		r.average, r.lowest = response, response
	}
	r.average += smooth * (response - r.average)
	r.lowest = min(r.lowest, r.average)
}

func (r *ratio) now() float64 {
	if r.lowest == 0 {
		return 0
	}
	return r.average / r.lowest
}

type none struct{ ratio }

func (*none) admit(time.Duration, *target) bool { return true }
func (*none) send(time.Duration, *target) bool  { return true }

// idle lets a single message through a shut gate at which nothing else waits, or it could never open again.
func idle(d *target) bool { return d.queue+d.out == 0 }

// bbc is bang-bang control: shut above the upper bound, open again below the lower.
type bbc struct {
	ratio
	lower, upper float64
	shut         bool
}

func (b *bbc) admit(_ time.Duration, d *target) bool {
	if r := b.now(); r > b.upper {
		b.shut = true
	} else if r < b.lower {
		b.shut = false
	}
	return !b.shut || idle(d)
}
func (*bbc) send(time.Duration, *target) bool { return true }

// occ is occupancy control: the further above the point, the less likely a message is admitted.
type occ struct {
	ratio
	at  float64
	rng *rand.Rand
}

func (o *occ) admit(_ time.Duration, d *target) bool {
	r := o.now()
	return r <= o.at || o.rng.Float64() < o.at/r || idle(d)
}
func (*occ) send(time.Duration, *target) bool { return true }

// cs is call spacing: above the point, one message in each span.
type cs struct {
	ratio
	at    float64
	every time.Duration
	next  time.Duration
}

func (c *cs) admit(now time.Duration, d *target) bool {
	if c.now() <= c.at || idle(d) {
		return true
	}
	if now < c.next {
		return false
	}
	c.next = now + c.every
	return true
}
func (*cs) send(time.Duration, *target) bool { return true }

// lc is level control: nothing above the level.
type lc struct {
	ratio
	at float64
}

func (l *lc) admit(_ time.Duration, d *target) bool { return l.now() <= l.at || idle(d) }
func (*lc) send(time.Duration, *target) bool        { return true }

// aimd bounds the calls out: one more for a limit's worth of passes, half as many after a failure (Chiu and Jain).
type aimd struct {
	none
	limit float64
	cutAt time.Duration
}

func (a *aimd) send(_ time.Duration, d *target) bool { return float64(d.out) < a.limit }

func (a *aimd) heard(now time.Duration, _ float64, passed bool) {
	if passed {
		a.limit = min(a.limit+1/a.limit, 1000)
	} else if now-a.cutAt > 250*time.Millisecond {
		a.limit, a.cutAt = max(1, a.limit/2), now
	}
}

// gradient bounds the calls out by the gradient of latency, as published for adaptive concurrency limits: the limit is
// scaled by the ratio of the long-term to the present latency, plus room for a queue.
type gradient struct {
	none
	limit, long, short float64
}

func (g *gradient) send(_ time.Duration, d *target) bool { return float64(d.out) < g.limit }

func (g *gradient) heard(_ time.Duration, response float64, passed bool) {
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
type tokens struct {
	none
	level float64
	at    time.Duration
	fleet float64
}

func (b *tokens) send(now time.Duration, d *target) bool {
	rate := 0.0
	for _, p := range d.eps {
		if p.ready && (p.apart || rate == 0) {
			rate += p.weight
		}
	}
	if rate <= 0 {
		return true
	}
	rate /= max(b.fleet, 1)
	b.level = min(b.level+rate*(now-b.at).Seconds(), max(1, rate/4))
	if b.at = now; b.level < 1 {
		return false
	}
	b.level--
	return true
}
