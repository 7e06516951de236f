package model

import (
	"math"
	"slices"
	"time"

	"harrierramp/choice"
)

// fallen is how long a destination stays down that fell over.
const collapseDuration = 8 * time.Second

// dest is a destination as it really is.
type destination struct {
	w           *World
	spec        DestSpec
	id          int
	endpoints   []*endpoint
	sharedLimit *limiter // shared by its endpoints; nil where they are routes apart
	coldLoad    float64  // of the cold budget: calls sent beyond what it could do
	coldLoadAt  time.Duration
	coldSince   time.Duration // when it came back; 0 when it is warm
}

// limiter is a limit: a plain rate or a count in spans.
type limiter struct {
	tokens      float64
	updatedAt   time.Duration
	window      int64
	windowCount float64
}

// endpoint is one endpoint.
type endpoint struct {
	dest      *destination
	id        string
	zone      int
	phase     choice.Phase
	limit     *limiter
	servers   int
	busy      int
	queue     []*call
	conns     int
	outages   []string // kinds of outage that hold
	reopens   time.Duration
	coldSince time.Duration
	accepted  map[*call]bool // that it has and have not been answered; walked in the order of their numbers
}

func newDestination(w *World, i int) *destination {
	d := &destination{w: w, spec: w.Day.Dests[i], id: i}
	if d.spec.Kind >= len(w.Day.Settings.Kinds) || !w.Day.Settings.Kinds[d.spec.Kind].SeparateRoutes {
		d.sharedLimit = &limiter{tokens: 1}
	}
	for _, s := range d.spec.Endpoints {
		d.addEndpoint(s)
	}
	return d
}

func (d *destination) addEndpoint(s EndpointSpec) *endpoint {
	e := &endpoint{dest: d, id: s.ID, zone: s.Zone, limit: d.sharedLimit, accepted: map[*call]bool{}}
	if e.limit == nil {
		e.limit = &limiter{tokens: 1}
	}
	e.servers = max(1, int(math.Ceil(d.spec.Capacity/float64(len(d.spec.Endpoints))*d.meanServiceSeconds())))
	d.endpoints = append(d.endpoints, e)
	d.w.endpoints[s.ID] = e
	return e
}

// work is the mean time of a call in seconds.
func (d *destination) meanServiceSeconds() float64 {
	mean := 0.0
	for _, c := range d.w.Day.Classes {
		mean += c.Share * c.ServiceTime.Seconds()
	}
	return mean * d.spec.ServiceFactor
}

// rate is the limit in calls a second at this moment.
func (d *destination) rate() float64 { return d.spec.Limit * d.w.faultSize(LowerLimit, d.id, 1) }

// take asks the limit for a call. wait is until there is room again.
func (l *limiter) take(d *destination, now time.Duration) (wait time.Duration, ok bool) {
	rate := d.rate()
	if d.spec.Limit <= 0 {
		return 0, true
	}
	if d.spec.Window <= 0 {
		l.tokens = min(l.tokens+rate*(now-l.updatedAt).Seconds(), max(1, rate/4))
		l.updatedAt = now
		if l.tokens >= 1 {
			l.tokens--
			return 0, true
		}
		spread := float64(d.spec.RetryAfterMax - d.spec.RetryAfterMin)
		return d.spec.RetryAfterMin + time.Duration(d.w.rng.destinations.Float64()*spread), false
	}
	if span := int64(now / d.spec.Window); span != l.window {
		l.window, l.windowCount = span, 0
	}
	limit := max(1, rate*d.spec.Window.Seconds())
	if l.windowCount+1 <= limit {
		l.windowCount++
		return 0, true
	}
	if d.spec.CountRejected {
		l.windowCount++
	}
	return time.Duration(l.window+1)*d.spec.Window - now, false
}

// warmth is the share of its capacity that an endpoint has now.
func (e *endpoint) warmth() float64 {
	s := e.dest.w.Day.Settings
	if e.coldSince == 0 || s.WarmUpTime <= 0 {
		return 1
	}
	passed := float64(e.dest.w.now-e.coldSince) / float64(s.WarmUpTime)
	if passed >= 1 {
		e.coldSince = 0
		return 1
	}
	return s.ColdCapacity + (1-s.ColdCapacity)*passed
}

// strike begins an outage.
func (e *endpoint) beginOutage(kind string) {
	w := e.dest.w
	if len(e.outages) == 0 {
		w.emit(Event{Kind: OutageBegan, Dest: e.dest.id, Endpoint: e.id})
	}
	e.outages = append(e.outages, kind)
	w.reportOutage(e, kind, true)
	if kind == Crash {
		lost := make([]*call, 0, len(e.accepted))
		for c := range e.accepted {
			lost = append(lost, c)
		}
		slices.SortFunc(lost, func(a, b *call) int { return a.number - b.number })
		for _, c := range lost {
			c.reset()
		}
		clear(e.accepted)
		e.busy, e.queue = 0, nil
	}
}

// recover ends it. An endpoint that answered nobody comes back cold.
func (e *endpoint) endOutage(kind string) {
	if i := slices.Index(e.outages, kind); i >= 0 {
		e.outages = slices.Delete(e.outages, i, i+1)
		e.dest.w.reportOutage(e, kind, false)
	}
	if len(e.outages) > 0 {
		return
	}
	w := e.dest.w
	e.coldSince = w.now
	if e.dest.coldSince == 0 || len(e.dest.spec.Endpoints) == 1 {
		e.dest.coldLoad, e.dest.coldLoadAt = 0, w.now
	}
	e.dest.coldSince = w.now
	w.emit(Event{Kind: OutageEnded, Dest: e.dest.id, Endpoint: e.id})
}

func (e *endpoint) hasOutage(kind string) bool { return slices.Contains(e.outages, kind) }

// begin takes a call whose last byte has come.
func (e *endpoint) receive(c *call) {
	w, d := e.dest.w, e.dest
	began := c.event(RequestReceived)
	began.WrittenAt = c.writtenAt
	w.emit(began)
	switch {
	case e.hasOutage(Crash):
		c.reset()
		return
	case e.hasOutage(Unresponsive):
		return // nothing ever
	}
	e.chargeColdBudget()
	if e.hasOutage(RejectAll) {
		e.reject(c, time.Second, false)
		return
	}
	if share := w.faultSize(FastErrors, d.id, 0); share > 0 && w.rng.destinations.Float64() < share {
		c.respond(choice.ServerError, 0)
		return
	}
	if share := w.faultSize(SpuriousRejects, d.id, 0); share > 0 && w.rng.destinations.Float64() < share {
		e.reject(c, 0, false)
		return
	}
	if wait, ok := e.limit.take(d, w.now); !ok {
		e.reject(c, wait, true)
		return
	}
	queue := int(d.spec.QueueSeconds * d.spec.Capacity / float64(len(d.spec.Endpoints)))
	if e.busy >= e.servers && len(e.queue) >= max(queue, 1) {
		e.reject(c, 0, false)
		return
	}
	e.accepted[c] = true
	if e.busy >= e.servers {
		e.queue = append(e.queue, c)
		return
	}
	e.serve(c)
}

func (e *endpoint) reject(c *call, wait time.Duration, limited bool) {
	w := e.dest.w
	if limited {
		w.emit(c.event(LimitExceeded))
	}
	if wait > 0 && w.rng.destinations.Float64() >= e.dest.spec.RetryAfterShare {
		wait = 0
	}
	c.respond(choice.Rejected, wait)
}

// charge books a call against the cold budget, and lets the destination fall over when that is gone.
func (e *endpoint) chargeColdBudget() {
	d, s := e.dest, e.dest.w.Day.Settings
	if d.coldSince == 0 || s.OverloadDuration <= 0 || s.OverloadMultiple <= 0 {
		return
	}
	w := d.w
	warmth, cold := 0.0, false
	for _, o := range d.endpoints {
		warmth += o.warmth() / float64(len(d.endpoints))
		cold = cold || o.coldSince > 0
	}
	if !cold {
		d.coldSince = 0
		return
	}
	capacity := d.spec.Limit // with headroom 1 a destination is at its limit there
	if d.sharedLimit == nil {
		capacity *= float64(len(d.endpoints))
	}
	allowed := s.OverloadMultiple * warmth * capacity
	d.coldLoad = max(0, d.coldLoad-allowed*(w.now-d.coldLoadAt).Seconds()) + 1
	d.coldLoadAt = w.now
	if d.coldLoad > max(allowed*s.OverloadDuration.Seconds(), 3) {
		d.coldLoad = 0
		w.emit(Event{Kind: DestinationCollapsed, Dest: d.id})
		for _, o := range d.endpoints {
			w.scheduleOutage(o, Fault{Kind: Crash, Duration: collapseDuration})
		}
	}
}

// serve begins the work of a call.
func (e *endpoint) serve(c *call) {
	w, d := e.dest.w, e.dest
	e.busy++
	spec := w.Day.Classes[c.class]
	sigma := math.Sqrt(math.Log(1 + spec.Variation*spec.Variation))
	took := spec.ServiceTime.Seconds() * d.spec.ServiceFactor * math.Exp(sigma*w.rng.destinations.NormFloat64()-sigma*sigma/2)
	took *= w.faultSize(Slow, d.id, 1) / e.warmth()
	if pause := w.faultSize(Pauses, d.id, 0) / 1000; pause > 0 {
		// It stands still at the beginning of each second.
		intoSecond := math.Mod(w.now.Seconds(), 1)
		if intoSecond < pause {
			took += pause - intoSecond
		}
		took += pause * math.Floor(math.Mod(w.now.Seconds(), 1)+took)
	}
	w.after(time.Duration(took*float64(time.Second)), func() { e.completeCall(c) })
}

func (e *endpoint) completeCall(c *call) {
	if !e.accepted[c] {
		return // lost in a crash
	}
	delete(e.accepted, c)
	e.busy--
	w := e.dest.w
	failed := w.rng.destinations.Float64() < e.dest.spec.ErrorShare
	if !failed {
		c.executed = true
		w.emit(c.event(Executed))
	}
	if !e.hasOutage(Unresponsive) {
		switch {
		case w.rng.destinations.Float64() < w.faultSize(LostResponses, -1, 0):
			c.reset()
		case failed:
			c.respond(choice.ServerError, 0)
		default:
			c.respond(choice.Success, 0)
		}
	}
	for len(e.queue) > 0 && e.busy < e.servers {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.serve(next)
	}
}
