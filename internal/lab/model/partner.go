package model

import (
	"math"
	"slices"
	"time"

	"harrierramp/choice"
)

// fallen is how long a destination stays down that fell over.
const fallen = 8 * time.Second

// dest is a destination as it really is.
type dest struct {
	w     *World
	spec  DestSpec
	id    int
	eps   []*endpoint
	all   *limiter // shared by its endpoints; nil where they are routes apart
	level float64  // of the cold budget: calls sent beyond what it could do
	at    time.Duration
	cold  time.Duration // when it came back; 0 when it is warm
}

// limiter is a limit: a plain rate or a count in spans.
type limiter struct {
	tokens float64
	at     time.Duration
	span   int64
	count  float64
}

// endpoint is one endpoint.
type endpoint struct {
	dest    *dest
	id      string
	zone    int
	phase   choice.Phase
	limit   *limiter
	servers int
	busy    int
	waiting []*call
	conns   int
	down    []string // kinds of outage that hold
	reopens time.Duration
	cold    time.Duration
	calls   map[*call]bool // that it has and have not been answered; walked in the order of their numbers
}

func newDest(w *World, i int) *dest {
	d := &dest{w: w, spec: w.Day.Dests[i], id: i}
	if d.spec.Kind >= len(w.Day.Settings.Kinds) || !w.Day.Settings.Kinds[d.spec.Kind].SeparateRoutes {
		d.all = &limiter{tokens: 1}
	}
	for _, s := range d.spec.Endpoints {
		d.add(s)
	}
	return d
}

func (d *dest) add(s EndpointSpec) *endpoint {
	e := &endpoint{dest: d, id: s.ID, zone: s.Zone, limit: d.all, calls: map[*call]bool{}}
	if e.limit == nil {
		e.limit = &limiter{tokens: 1}
	}
	e.servers = max(1, int(math.Ceil(d.spec.Capacity/float64(len(d.spec.Endpoints))*d.work())))
	d.eps = append(d.eps, e)
	d.w.eps[s.ID] = e
	return e
}

// work is the mean time of a call in seconds.
func (d *dest) work() float64 {
	mean := 0.0
	for _, c := range d.w.Day.Classes {
		mean += c.Share * c.Work.Seconds()
	}
	return mean * d.spec.Service
}

// rate is the limit in calls a second at this moment.
func (d *dest) rate() float64 { return d.spec.Limit * d.w.size(Lower, d.id, 1) }

// take asks the limit for a call. wait is until there is room again.
func (l *limiter) take(d *dest, now time.Duration) (wait time.Duration, ok bool) {
	rate := d.rate()
	if d.spec.Limit <= 0 {
		return 0, true
	}
	if d.spec.Window <= 0 {
		l.tokens = min(l.tokens+rate*(now-l.at).Seconds(), max(1, rate/4))
		l.at = now
		if l.tokens >= 1 {
			l.tokens--
			return 0, true
		}
		spread := float64(d.spec.WaitTo - d.spec.WaitFrom)
		return d.spec.WaitFrom + time.Duration(d.w.rng.partners.Float64()*spread), false
	}
	if span := int64(now / d.spec.Window); span != l.span {
		l.span, l.count = span, 0
	}
	most := max(1, rate*d.spec.Window.Seconds())
	if l.count+1 <= most {
		l.count++
		return 0, true
	}
	if d.spec.Counted {
		l.count++
	}
	return time.Duration(l.span+1)*d.spec.Window - now, false
}

// warmth is the share of its capacity that an endpoint has now.
func (e *endpoint) warmth() float64 {
	s := e.dest.w.Day.Settings
	if e.cold == 0 || s.WarmUpTime <= 0 {
		return 1
	}
	passed := float64(e.dest.w.now-e.cold) / float64(s.WarmUpTime)
	if passed >= 1 {
		e.cold = 0
		return 1
	}
	return s.ColdCapacity + (1-s.ColdCapacity)*passed
}

// strike begins an outage.
func (e *endpoint) strike(kind string) {
	w := e.dest.w
	if len(e.down) == 0 {
		w.tell(Event{What: OutageBegan, Dest: e.dest.id, Endpoint: e.id})
	}
	e.down = append(e.down, kind)
	w.struck(e, kind, true)
	if kind == Crash {
		lost := make([]*call, 0, len(e.calls))
		for c := range e.calls {
			lost = append(lost, c)
		}
		slices.SortFunc(lost, func(a, b *call) int { return a.number - b.number })
		for _, c := range lost {
			c.reset()
		}
		clear(e.calls)
		e.busy, e.waiting = 0, nil
	}
}

// recover ends it. An endpoint that answered nobody comes back cold.
func (e *endpoint) recover(kind string) {
	if i := slices.Index(e.down, kind); i >= 0 {
		e.down = slices.Delete(e.down, i, i+1)
		e.dest.w.struck(e, kind, false)
	}
	if len(e.down) > 0 {
		return
	}
	w := e.dest.w
	e.cold = w.now
	if e.dest.cold == 0 || len(e.dest.spec.Endpoints) == 1 {
		e.dest.level, e.dest.at = 0, w.now
	}
	e.dest.cold = w.now
	w.tell(Event{What: OutageEnded, Dest: e.dest.id, Endpoint: e.id})
}

func (e *endpoint) is(kind string) bool { return slices.Contains(e.down, kind) }

// begin takes a call whose last byte has come.
func (e *endpoint) begin(c *call) {
	w, d := e.dest.w, e.dest
	began := c.event(Began)
	began.Wrote = c.wrote
	w.tell(began)
	switch {
	case e.is(Crash):
		c.reset()
		return
	case e.is(Vanish):
		return // nothing ever
	}
	e.charge()
	if e.is(Shut) {
		e.refuse(c, time.Second, false)
		return
	}
	if share := w.size(FastFail, d.id, 0); share > 0 && w.rng.partners.Float64() < share {
		c.answer(choice.ServerError, 0)
		return
	}
	if share := w.size(WrongOK, d.id, 0); share > 0 && w.rng.partners.Float64() < share {
		e.refuse(c, 0, false)
		return
	}
	if wait, ok := e.limit.take(d, w.now); !ok {
		e.refuse(c, wait, true)
		return
	}
	queue := int(d.spec.Depth * d.spec.Capacity / float64(len(d.spec.Endpoints)))
	if e.busy >= e.servers && len(e.waiting) >= max(queue, 1) {
		e.refuse(c, 0, false)
		return
	}
	e.calls[c] = true
	if e.busy >= e.servers {
		e.waiting = append(e.waiting, c)
		return
	}
	e.serve(c)
}

func (e *endpoint) refuse(c *call, wait time.Duration, limited bool) {
	w := e.dest.w
	if limited {
		w.tell(c.event(Refused))
	}
	if wait > 0 && w.rng.partners.Float64() >= e.dest.spec.Tells {
		wait = 0
	}
	c.answer(choice.Rejected, wait)
}

// charge books a call against the cold budget, and lets the destination fall over when that is gone.
func (e *endpoint) charge() {
	d, s := e.dest, e.dest.w.Day.Settings
	if d.cold == 0 || s.OverloadDuration <= 0 || s.OverloadMultiple <= 0 {
		return
	}
	w := d.w
	warmth, cold := 0.0, false
	for _, o := range d.eps {
		warmth += o.warmth() / float64(len(d.eps))
		cold = cold || o.cold > 0
	}
	if !cold {
		d.cold = 0
		return
	}
	capacity := d.spec.Limit // with headroom 1 a destination is at its limit there
	if d.all == nil {
		capacity *= float64(len(d.eps))
	}
	allowed := s.OverloadMultiple * warmth * capacity
	d.level = max(0, d.level-allowed*(w.now-d.at).Seconds()) + 1
	d.at = w.now
	if d.level > max(allowed*s.OverloadDuration.Seconds(), 3) {
		d.level = 0
		w.tell(Event{What: Fell, Dest: d.id})
		for _, o := range d.eps {
			w.strike(o, Trouble{Kind: Crash, Len: fallen})
		}
	}
}

// serve begins the work of a call.
func (e *endpoint) serve(c *call) {
	w, d := e.dest.w, e.dest
	e.busy++
	spec := w.Day.Classes[c.class]
	sigma := math.Sqrt(math.Log(1 + spec.Spread*spec.Spread))
	took := spec.Work.Seconds() * d.spec.Service * math.Exp(sigma*w.rng.partners.NormFloat64()-sigma*sigma/2)
	took *= w.size(Slow, d.id, 1) / e.warmth()
	if pause := w.size(Pauses, d.id, 0) / 1000; pause > 0 {
		// It stands still at the beginning of each second.
		into := math.Mod(w.now.Seconds(), 1)
		if into < pause {
			took += pause - into
		}
		took += pause * math.Floor(math.Mod(w.now.Seconds(), 1)+took)
	}
	w.after(time.Duration(took*float64(time.Second)), func() { e.served(c) })
}

func (e *endpoint) served(c *call) {
	if !e.calls[c] {
		return // lost in a crash
	}
	delete(e.calls, c)
	e.busy--
	w := e.dest.w
	failed := w.rng.partners.Float64() < e.dest.spec.Errors
	if !failed {
		c.ran = true
		w.tell(c.event(Ran))
	}
	if !e.is(Vanish) {
		switch {
		case w.rng.partners.Float64() < w.size(Lost, -1, 0):
			c.reset()
		case failed:
			c.answer(choice.ServerError, 0)
		default:
			c.answer(choice.Success, 0)
		}
	}
	for len(e.waiting) > 0 && e.busy < e.servers {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.serve(next)
	}
}
