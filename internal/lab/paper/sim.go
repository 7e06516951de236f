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
	Proxies, Servers int
	Load             float64 // of all servers: arrivals of messages over what they can serve
	Selection        string  // uniform, round-robin or lrt
	Control          string  // none, or as in Controls
	Sessions         int     // that arrive
	Messages         int     // of a session, one after the other; 1 is a session without state
	Buffer           int     // messages that a server or proxy holds; 0 for no bound
	Feedback         float64 // time between the delays that servers tell; 0 for never
	Seed             uint64
	Trace            func(at float64, ratio float64) // of the first proxy, at each arrival; may be nil
}

// proxySpeed is how much faster a proxy is than a server, so that servers are what is short.
const proxySpeed = 4

// Result is what came of a run.
type Result struct {
	Mean, P95 float64 // response time of sessions that were served, in service times
	Rejected  float64 // share of sessions that were turned away
}

type job struct {
	proxy, server int
	left          int
	came          float64 // of the session
	sent          float64 // of the message
}

type station struct {
	queue []*job
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
	cfg       Config
	rng       *rand.Rand
	now       float64
	seq       int
	events    events
	proxies   []station
	servers   []station
	rates     []float64 // arrivals of sessions at each proxy
	known     []float64 // delays to each server, as all know them: the I-CSCFs gather them from the proxies
	turn      []int
	controls  []control
	empty     float64 // mean response time of an empty system
	arrived   int
	rejected  int
	responses []float64
}

// Run plays one run; the same Config gives the same Result.
func Run(cfg Config) Result {
	s := &sim{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 17))}
	s.proxies, s.servers = make([]station, cfg.Proxies), make([]station, cfg.Servers)
	for i := range s.proxies {
		s.proxies[i].rate = proxySpeed * float64(cfg.Servers) / float64(cfg.Proxies)
	}
	for i := range s.servers {
		s.servers[i].rate = 1
	}
	s.empty = float64(cfg.Messages) * (1/s.proxies[0].rate + 1)
	s.known = make([]float64, cfg.Servers)
	total := cfg.Load * float64(cfg.Servers) / float64(cfg.Messages)
	sum := 0.0
	for range cfg.Proxies { // the paper draws the input rates within a range
		r := 0.75 + 0.5*s.rng.Float64()
		if cfg.Proxies == 1 {
			r = 1
		}
		s.rates, sum = append(s.rates, r), sum+r
	}
	for i := range s.rates {
		s.rates[i] *= total / sum
		s.turn = append(s.turn, i)
		s.controls = append(s.controls, newControl(cfg.Control, s.rng))
		s.add(s.rng.ExpFloat64()/s.rates[i], 0, i)
	}
	if cfg.Feedback > 0 {
		s.add(cfg.Feedback, 3, 0)
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
			s.served(e.station)
		case 3:
			for i, t := range s.servers { // servers push what a message would meet there
				s.known[i] += push * (float64(len(t.queue)+1)/t.rate - s.known[i])
			}
			if s.arrived < cfg.Sessions {
				s.add(cfg.Feedback, 3, 0)
			}
		}
	}
	slices.Sort(s.responses)
	r := Result{Rejected: float64(s.rejected) / float64(max(s.arrived, 1))}
	for _, x := range s.responses {
		r.Mean += x / float64(len(s.responses))
	}
	if n := len(s.responses); n > 0 {
		r.P95 = s.responses[n*95/100]
	}
	return r
}

func (s *sim) add(after float64, kind, station int) {
	s.seq++
	heap.Push(&s.events, event{s.now + after, s.seq, kind, station})
}

// arrive admits a session or turns it away.
func (s *sim) arrive(p int) {
	if s.arrived >= s.cfg.Sessions {
		return
	}
	s.arrived++
	s.add(s.rng.ExpFloat64()/s.rates[p], 0, p)
	c := &s.controls[p]
	ratio := c.ratio(s.empty)
	if p == 0 && s.cfg.Trace != nil {
		s.cfg.Trace(s.now, ratio)
	}
	full := s.cfg.Buffer > 0 && len(s.proxies[p].queue) >= s.cfg.Buffer
	if full || !c.admit(s.now, ratio) {
		s.rejected++
		return
	}
	j := &job{proxy: p, server: s.choose(p), left: s.cfg.Messages, came: s.now}
	s.toProxy(j)
}

func (s *sim) choose(p int) int {
	switch s.cfg.Selection {
	case "round-robin":
		s.turn[p]++
		return s.turn[p] % s.cfg.Servers
	case "lrt":
		best, from := -1, s.rng.IntN(s.cfg.Servers)
		for i := range s.cfg.Servers {
			if n := (from + i) % s.cfg.Servers; best < 0 || s.known[n] < s.known[best] {
				best = n
			}
		}
		return best
	}
	return s.rng.IntN(s.cfg.Servers)
}

func (s *sim) toProxy(j *job) {
	q := &s.proxies[j.proxy]
	if q.queue = append(q.queue, j); len(q.queue) == 1 {
		s.add(s.rng.ExpFloat64()/q.rate, 1, j.proxy)
	}
}

// forward passes a message on from a proxy to its server.
func (s *sim) forward(p int) {
	q := &s.proxies[p]
	j := q.queue[0]
	if q.queue = q.queue[1:]; len(q.queue) > 0 {
		s.add(s.rng.ExpFloat64()/q.rate, 1, p)
	}
	t := &s.servers[j.server]
	if s.cfg.Buffer > 0 && len(t.queue) >= s.cfg.Buffer {
		s.rejected++ // the session is lost there
		return
	}
	j.sent = s.now
	if t.queue = append(t.queue, j); len(t.queue) == 1 {
		s.add(s.rng.ExpFloat64()/t.rate, 2, j.server)
	}
}

const (
	smooth = 0.2 // weight of a delay that a proxy has measured
	push   = 0.8 // and of one that a server tells
)

func (s *sim) served(n int) {
	t := &s.servers[n]
	j := t.queue[0]
	if t.queue = t.queue[1:]; len(t.queue) > 0 {
		s.add(s.rng.ExpFloat64()/t.rate, 2, n)
	}
	// Proxies tell what they measure; it is older by the time that it took.
	s.known[n] += smooth * (s.now - j.sent - s.known[n])
	if j.left--; j.left > 0 {
		s.toProxy(j)
		return
	}
	took := s.now - j.came
	s.responses = append(s.responses, took)
	s.controls[j.proxy].heard(took)
}
