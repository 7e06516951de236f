// Package paper reproduces the study of Tirana and Medhi, "Congestion Avoidance in S-CSCF Selection in an IMS Network",
// on which the design is based: M proxies (P-CSCF) select one of N servers (S-CSCF) for each session, with exponential
// service times, and admit sessions by one of seven controls. What the paper does not specify (queue limits, messages
// per session, interval of feedback) is in Config; DefaultStudy has the values chosen here.
package paper

import (
	"container/heap"
	"math/rand/v2"
	"slices"
)

// Config describes one run. The unit of time is the mean service time of a server.
type Config struct {
	Proxies, Servers   int
	Load               float64 // arrival rate of messages divided by the capacity of all servers
	Selection          string  // uniform, round-robin or lrt
	Control            string  // none, or one of Controls
	Sessions           int     // number of sessions that arrive
	MessagesPerSession int     // sent one after the other; 1 is a stateless session
	QueueLimit         int     // maximum number of messages at a server or proxy; 0 for no limit
	FeedbackInterval   float64 // interval at which servers report their delays; 0 for never
	Seed               uint64
	// Trace is called with the response ratio of the first proxy at each arrival there; it may be nil.
	Trace func(at float64, ratio float64)
}

// proxyCapacityFactor is the ratio of the capacity of all proxies to that of all servers. It is above 1 so that the
// servers are the bottleneck.
const proxyCapacityFactor = 4

// Result is the outcome of a run.
type Result struct {
	Mean, P95 float64 // response times of completed sessions, in service times
	Rejected  float64 // share of sessions that were rejected
}

// session is a session in progress. One of its messages at a time is in the system.
type session struct {
	proxy, server int
	messagesLeft  int
	arrivedAt     float64
	sentAt        float64 // when the current message was sent to the server
}

// station is a proxy or a server: a single-server FIFO queue with exponential service times.
type station struct {
	queue []*session
	rate  float64
}

// event is an arrival, the end of a service, or the feedback of the servers.
type event struct {
	at      float64
	seq     int
	kind    int // 0 arrival at a proxy, 1 end of service at a proxy, 2 end of service at a server, 3 feedback
	station int // index of the proxy or server
}

// events is a heap of events in order of time, and of scheduling for equal times.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// sim is the state of a run.
type sim struct {
	cfg               Config
	rng               *rand.Rand
	now               float64
	seq               int
	events            events
	proxies           []station
	servers           []station
	arrivalRates      []float64 // arrival rate of sessions at each proxy
	knownDelays       []float64 // delay of each server as known to all proxies: the I-CSCFs collect it from the proxies
	nextServer        []int     // round-robin position of each proxy
	controls          []control
	emptyResponseTime float64 // mean response time of an empty system
	arrivedCount      int
	rejectedCount     int
	responseTimes     []float64
}

// Run simulates one run. The same Config always gives the same Result.
func Run(cfg Config) Result {
	s := &sim{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 17))}
	s.proxies, s.servers = make([]station, cfg.Proxies), make([]station, cfg.Servers)
	for i := range s.proxies {
		s.proxies[i].rate = proxyCapacityFactor * float64(cfg.Servers) / float64(cfg.Proxies)
	}
	for i := range s.servers {
		s.servers[i].rate = 1
	}
	s.emptyResponseTime = float64(cfg.MessagesPerSession) * (1/s.proxies[0].rate + 1)
	s.knownDelays = make([]float64, cfg.Servers)
	totalRate := cfg.Load * float64(cfg.Servers) / float64(cfg.MessagesPerSession)
	sum := 0.0
	for range cfg.Proxies { // the paper draws the input rates within a range
		r := 0.75 + 0.5*s.rng.Float64()
		if cfg.Proxies == 1 {
			r = 1
		}
		s.arrivalRates, sum = append(s.arrivalRates, r), sum+r
	}
	for i := range s.arrivalRates {
		s.arrivalRates[i] *= totalRate / sum
		s.nextServer = append(s.nextServer, i)
		s.controls = append(s.controls, newControl(cfg.Control, s.rng))
		s.schedule(s.rng.ExpFloat64()/s.arrivalRates[i], 0, i)
	}
	if cfg.FeedbackInterval > 0 {
		s.schedule(cfg.FeedbackInterval, 3, 0)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		switch e.kind {
		case 0:
			s.arrive(e.station)
		case 1:
			s.forward(e.station)
		case 2:
			s.completeService(e.station)
		case 3:
			for i, t := range s.servers { // servers report the delay that a new message would have
				s.knownDelays[i] += reportedDelayWeight * (float64(len(t.queue)+1)/t.rate - s.knownDelays[i])
			}
			if s.arrivedCount < cfg.Sessions {
				s.schedule(cfg.FeedbackInterval, 3, 0)
			}
		}
	}
	slices.Sort(s.responseTimes)
	r := Result{Rejected: float64(s.rejectedCount) / float64(max(s.arrivedCount, 1))}
	for _, x := range s.responseTimes {
		r.Mean += x / float64(len(s.responseTimes))
	}
	if n := len(s.responseTimes); n > 0 {
		r.P95 = s.responseTimes[n*95/100]
	}
	return r
}

// schedule adds an event after a delay.
func (s *sim) schedule(delay float64, kind, station int) {
	s.seq++
	heap.Push(&s.events, event{s.now + delay, s.seq, kind, station})
}

// arrive handles the arrival of a session at a proxy: it is admitted or rejected.
func (s *sim) arrive(p int) {
	if s.arrivedCount >= s.cfg.Sessions {
		return
	}
	s.arrivedCount++
	s.schedule(s.rng.ExpFloat64()/s.arrivalRates[p], 0, p)
	c := &s.controls[p]
	ratio := c.ratio(s.emptyResponseTime)
	if p == 0 && s.cfg.Trace != nil {
		s.cfg.Trace(s.now, ratio)
	}
	full := s.cfg.QueueLimit > 0 && len(s.proxies[p].queue) >= s.cfg.QueueLimit
	if full || !c.admit(s.now, ratio) {
		s.rejectedCount++
		return
	}
	j := &session{proxy: p, server: s.choose(p), messagesLeft: s.cfg.MessagesPerSession, arrivedAt: s.now}
	s.enqueueAtProxy(j)
}

// choose selects the server of a session that arrived at proxy p. The policy lrt (least response time) takes the server
// with the lowest known delay; equal ones are tried from a random position.
func (s *sim) choose(p int) int {
	switch s.cfg.Selection {
	case "round-robin":
		s.nextServer[p]++
		return s.nextServer[p] % s.cfg.Servers
	case "lrt":
		best, start := -1, s.rng.IntN(s.cfg.Servers)
		for i := range s.cfg.Servers {
			if n := (start + i) % s.cfg.Servers; best < 0 || s.knownDelays[n] < s.knownDelays[best] {
				best = n
			}
		}
		return best
	}
	return s.rng.IntN(s.cfg.Servers)
}

// enqueueAtProxy queues the next message of a session at its proxy.
func (s *sim) enqueueAtProxy(j *session) {
	proxy := &s.proxies[j.proxy]
	if proxy.queue = append(proxy.queue, j); len(proxy.queue) == 1 {
		s.schedule(s.rng.ExpFloat64()/proxy.rate, 1, j.proxy)
	}
}

// forward moves a message from a proxy to its server when the service at the proxy ends.
func (s *sim) forward(p int) {
	proxy := &s.proxies[p]
	j := proxy.queue[0]
	if proxy.queue = proxy.queue[1:]; len(proxy.queue) > 0 {
		s.schedule(s.rng.ExpFloat64()/proxy.rate, 1, p)
	}
	server := &s.servers[j.server]
	if s.cfg.QueueLimit > 0 && len(server.queue) >= s.cfg.QueueLimit {
		s.rejectedCount++ // the queue of the server is full, and the session is lost
		return
	}
	j.sentAt = s.now
	if server.queue = append(server.queue, j); len(server.queue) == 1 {
		s.schedule(s.rng.ExpFloat64()/server.rate, 2, j.server)
	}
}

// Weights of a new value in the exponential smoothing of delays.
const (
	measuredDelayWeight = 0.2 // of a delay measured by a proxy
	reportedDelayWeight = 0.8 // of a delay reported by a server
)

// completeService ends the service of a message at a server. The session goes on with its next message or is complete.
func (s *sim) completeService(server int) {
	station := &s.servers[server]
	j := station.queue[0]
	if station.queue = station.queue[1:]; len(station.queue) > 0 {
		s.schedule(s.rng.ExpFloat64()/station.rate, 2, server)
	}
	// The proxy reports the delay that it measured, which is out of date by that delay.
	s.knownDelays[server] += measuredDelayWeight * (s.now - j.sentAt - s.knownDelays[server])
	if j.messagesLeft--; j.messagesLeft > 0 {
		s.enqueueAtProxy(j)
		return
	}
	responseTime := s.now - j.arrivedAt
	s.responseTimes = append(s.responseTimes, responseTime)
	s.controls[j.proxy].observe(responseTime)
}
