// Package paper plays the study of Tirana and Medhi, "Congestion Avoidance in S-CSCF Selection in an IMS Network", from
// which the design comes: M proxies (P-CSCF) choose among N servers (S-CSCF) for each session, with exponential service
// times, and admit sessions by one of seven controls. What the paper leaves open (sizes of queues, messages a session,
// how old feedback is) is in Config, with our choice as the default.
package paper

import (
	"container/heap"
	"math/rand/v2"
	"slices"
)

// Config is one run. Rates are of the servers, whose mean service time is 1.
type Config struct {
	Proxies, Servers   int
	Load               float64 // of all servers: arrivals of messages over what they can serve
	Selection          string  // uniform, round-robin or lrt
	Control            string  // none, or as in Controls
	Sessions           int     // that arrive
	MessagesPerSession int     // of a session, one after the other; 1 is a session without state
	QueueLimit         int     // messages that a server or proxy holds; 0 for no bound
	FeedbackInterval   float64 // time between the delays that servers tell; 0 for never
	Seed               uint64
	Trace              func(at float64, ratio float64) // of the first proxy, at each arrival; may be nil
}

// proxySpeed is how much faster a proxy is than a server, so that servers are what is short.
const proxyCapacityFactor = 4

// Result is what came of a run.
type Result struct {
	Mean, P95 float64 // response time of sessions that were served, in service times
	Rejected  float64 // share of sessions that were turned away
}

type session struct {
	proxy, server int
	messagesLeft  int
	arrivedAt     float64 // of the session
	sentAt        float64 // of the message
}

type station struct {
	queue []*session
	rate  float64
}

// event is the end of a service or an arrival.
type event struct {
	at      float64
	seq     int
	kind    int // 0 arrival at a proxy, 1 end at a proxy, 2 end at a server, 3 feedback
	station int
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds one. (heap.Interface)
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop takes the last out. (heap.Interface)
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type sim struct {
	cfg               Config
	rng               *rand.Rand
	now               float64
	seq               int
	events            events
	proxies           []station
	servers           []station
	arrivalRates      []float64 // arrivals of sessions at each proxy
	knownDelays       []float64 // delays to each server, as all know them: the I-CSCFs gather them from the proxies
	nextServer        []int
	controls          []control
	emptyResponseTime float64 // mean response time of an empty system
	arrivedCount      int
	rejectedCount     int
	responseTimes     []float64
}

// Run plays one run; the same Config gives the same Result.
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
	total := cfg.Load * float64(cfg.Servers) / float64(cfg.MessagesPerSession)
	sum := 0.0
	for range cfg.Proxies { // the paper draws the input rates within a range
		r := 0.75 + 0.5*s.rng.Float64()
		if cfg.Proxies == 1 {
			r = 1
		}
		s.arrivalRates, sum = append(s.arrivalRates, r), sum+r
	}
	for i := range s.arrivalRates {
		s.arrivalRates[i] *= total / sum
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
			for i, t := range s.servers { // servers push what a message would meet there
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

func (s *sim) schedule(after float64, kind, station int) {
	s.seq++
	heap.Push(&s.events, event{s.now + after, s.seq, kind, station})
}

// arrive admits a session or turns it away.
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

func (s *sim) choose(p int) int {
	switch s.cfg.Selection {
	case "round-robin":
		s.nextServer[p]++
		return s.nextServer[p] % s.cfg.Servers
	case "lrt":
		best, from := -1, s.rng.IntN(s.cfg.Servers)
		for i := range s.cfg.Servers {
			if n := (from + i) % s.cfg.Servers; best < 0 || s.knownDelays[n] < s.knownDelays[best] {
				best = n
			}
		}
		return best
	}
	return s.rng.IntN(s.cfg.Servers)
}

func (s *sim) enqueueAtProxy(j *session) {
	q := &s.proxies[j.proxy]
	if q.queue = append(q.queue, j); len(q.queue) == 1 {
		s.schedule(s.rng.ExpFloat64()/q.rate, 1, j.proxy)
	}
}

// forward passes a message on from a proxy to its server.
func (s *sim) forward(p int) {
	q := &s.proxies[p]
	j := q.queue[0]
	if q.queue = q.queue[1:]; len(q.queue) > 0 {
		s.schedule(s.rng.ExpFloat64()/q.rate, 1, p)
	}
	t := &s.servers[j.server]
	if s.cfg.QueueLimit > 0 && len(t.queue) >= s.cfg.QueueLimit {
		s.rejectedCount++ // the session is lost there
		return
	}
	j.sentAt = s.now
	if t.queue = append(t.queue, j); len(t.queue) == 1 {
		s.schedule(s.rng.ExpFloat64()/t.rate, 2, j.server)
	}
}

const (
	measuredDelayWeight = 0.2 // weight of a delay that a proxy has measured
	reportedDelayWeight = 0.8 // and of one that a server tells
)

func (s *sim) completeService(n int) {
	t := &s.servers[n]
	j := t.queue[0]
	if t.queue = t.queue[1:]; len(t.queue) > 0 {
		s.schedule(s.rng.ExpFloat64()/t.rate, 2, n)
	}
	// Proxies tell what they measure; it is older by the time that it took.
	s.knownDelays[n] += measuredDelayWeight * (s.now - j.sentAt - s.knownDelays[n])
	if j.messagesLeft--; j.messagesLeft > 0 {
		s.enqueueAtProxy(j)
		return
	}
	took := s.now - j.arrivedAt
	s.responseTimes = append(s.responseTimes, took)
	s.controls[j.proxy].observe(took)
}
