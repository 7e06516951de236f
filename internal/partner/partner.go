// Package partner is a stand-in for the outside partners that nodes deliver to: an HTTP endpoint with a limit, a time
// to answer, and troubles that can be turned on. It keeps a ledger of what ran, so that what clients and nodes say can
// be held against it. It serves demonstrations, tests and the lab on loopback.
package partner

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxBody = 64 << 10
	grace   = time.Second // for calls under way when a partner closes
)

// Config is what one endpoint is like.
type Config struct {
	ID      string
	Rate    float64       // calls a second that it takes; above it refuses. 0 for no limit
	Burst   float64       // calls that it takes at once after a pause; at least 1 where there is a rate
	Latency time.Duration // from a call's last byte to its answer
	Listen  string        // an address of loopback; a free port if empty
	Conns   int           // connections that it takes, 0 for any number; who comes beyond is hung up on
	Cold    Cold
	Seen    func(Seen) // hears of what comes, from many goroutines, and must not wait; may be nil
}

// Cold is what an endpoint is like after a start, where it has a rate: it takes From of that, and all of it Within. Sent
// more than Multiple of what it takes, over a span of Fall, it falls over: it refuses everything for DownFor, and is cold
// again. The zero value is always warm.
type Cold struct {
	From, Multiple        float64
	Within, Fall, DownFor time.Duration
}

// What tells what a Seen is of.
type What uint8

// What comes to a partner.
const (
	Connected What = iota
	HungUp         // a connection beyond the limit
	Closed         // a connection has ended
	Called         // a call has come whole
	Refused        // over the limit, shut, or fallen
	Ran            // a call has run; its answer may get lost
	Fell           // too much was sent to it while it was cold
)

// Seen is one thing that comes to a partner. Load is what was sent in the last span over what it bears, where it is cold.
type Seen struct {
	What     What
	Endpoint string
	From     string // host and port
	ID       string // of the message
	Header   http.Header
	Load     float64
}

// Ledger is what has run at all partners that share it. It is safe for use by many goroutines.
type Ledger struct {
	mu    sync.Mutex
	runs  map[string]int
	first time.Time
}

// NewLedger makes an empty one.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

func (l *Ledger) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[id]++; l.first.IsZero() {
		l.first = time.Now()
	}
}

// Runs is how often a message ran.
func (l *Ledger) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// First is when the first message ran; zero if none has.
func (l *Ledger) First() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first
}

// Counts are the messages that ran, and how many of them ran more than once.
func (l *Ledger) Counts() (delivered, repeated int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.runs {
		if delivered++; n > 1 {
			repeated++
		}
	}
	return delivered, repeated
}

// Partner is a running endpoint.
type Partner struct {
	cfg    Config
	ledger *Ledger
	ln     net.Listener
	srv    http.Server
	served sync.WaitGroup
	shut   atomic.Bool

	mu     sync.Mutex
	tokens float64
	filled time.Time
	since  time.Time   // it is as warm as this says
	downTo time.Time   // it has fallen over
	calls  []time.Time // of the last span of Cold.Fall
	open   int
}

// Start serves on a free port of loopback until Close.
func Start(cfg Config, ledger *Ledger) (*Partner, error) {
	ln, err := net.Listen("tcp", cmp.Or(cfg.Listen, "127.0.0.1:0"))
	if err != nil {
		return nil, fmt.Errorf("partner %s: %w", cfg.ID, err)
	}
	now := time.Now()
	p := &Partner{cfg: cfg, ledger: ledger, ln: ln, tokens: max(cfg.Burst, 1), filled: now, since: now}
	p.srv = http.Server{
		Handler: p, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: 15 * time.Second,
		ConnState: p.connection, ErrorLog: log.New(io.Discard, "", 0),
	}
	p.served.Go(func() { p.srv.Serve(ln) }) // its error says that it was closed
	return p, nil
}

// Addr is where it listens.
func (p *Partner) Addr() string { return p.ln.Addr().String() }

// Shut makes it refuse every call, or take them again; then it is cold.
func (p *Partner) Shut(shut bool) {
	p.shut.Store(shut)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.since, p.calls = time.Now(), nil
}

func (p *Partner) seen(s Seen) {
	if p.cfg.Seen != nil {
		s.Endpoint = p.cfg.ID
		p.cfg.Seen(s)
	}
}

// connection counts connections, and hangs up on who comes beyond the limit.
func (p *Partner) connection(nc net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		p.mu.Lock()
		p.open++
		full := p.cfg.Conns > 0 && p.open > p.cfg.Conns
		p.mu.Unlock()
		p.seen(Seen{What: Connected, From: nc.RemoteAddr().String()})
		if full {
			p.seen(Seen{What: HungUp, From: nc.RemoteAddr().String()})
			nc.Close()
		}
	case http.StateClosed, http.StateHijacked:
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		p.seen(Seen{What: Closed, From: nc.RemoteAddr().String()})
	}
}

// Close ends it, after the calls that are under way.
func (p *Partner) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if p.srv.Shutdown(ctx) != nil {
		p.srv.Close()
	}
	p.served.Wait()
}

// ServeHTTP answers one call. (http.Handler)
func (p *Partner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
		http.Error(w, "the body can't be read", http.StatusBadRequest)
		return
	}
	if r.Method != http.MethodPost || r.URL.Path != "/v1/messages" {
		http.NotFound(w, r)
		return
	}
	s := Seen{From: r.RemoteAddr, ID: r.Header.Get("X-Trace-Id"), Header: r.Header}
	now := time.Now()
	fell := false
	s.Load, fell = p.bear(now)
	s.What = Called
	p.seen(s)
	if fell {
		p.seen(Seen{What: Fell})
	}
	if p.shut.Load() || p.fallen(now) {
		s.What = Refused
		p.seen(s)
		http.Error(w, "shut", http.StatusServiceUnavailable)
		return
	}
	if wait, ok := p.take(now); !ok {
		s.What = Refused
		p.seen(s)
		w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		http.Error(w, "above the limit", http.StatusTooManyRequests)
		return
	}
	if p.cfg.Latency > 0 {
		select {
		case <-time.After(p.cfg.Latency):
		case <-r.Context().Done():
		}
	}
	p.ledger.ran(s.ID) // it may have run, whether or not the answer arrives
	s.What = Ran
	p.seen(s)
}

// warmth is the share of its rate that it takes at a moment. The lock is held.
func (p *Partner) warmth(now time.Time) float64 {
	c := p.cfg.Cold
	if c.Within <= 0 || now.Sub(p.since) >= c.Within {
		return 1
	}
	return c.From + (1-c.From)*float64(now.Sub(p.since))/float64(c.Within)
}

// bear counts a call, and tells what share of what a cold endpoint bears it has been sent, and whether it falls now.
func (p *Partner) bear(now time.Time) (load float64, fell bool) {
	c := p.cfg.Cold
	p.mu.Lock()
	defer p.mu.Unlock()
	warm := p.warmth(now)
	if c.Fall <= 0 || warm >= 1 || now.Before(p.downTo) {
		p.calls = nil
		return 0, false
	}
	for len(p.calls) > 0 && now.Sub(p.calls[0]) > c.Fall {
		p.calls = p.calls[1:]
	}
	p.calls = append(p.calls, now)
	load = float64(len(p.calls)) / (c.Multiple * warm * p.cfg.Rate * c.Fall.Seconds())
	if load > 1 {
		p.downTo = now.Add(c.DownFor)
		p.since, p.calls = p.downTo, nil
		return load, true
	}
	return load, false
}

func (p *Partner) fallen(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.downTo)
}

// take takes a token, or tells when there is one.
func (p *Partner) take(now time.Time) (time.Duration, bool) {
	if p.cfg.Rate <= 0 {
		return 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rate := p.cfg.Rate * p.warmth(now)
	p.tokens = min(p.tokens+now.Sub(p.filled).Seconds()*rate, max(p.cfg.Burst, 1))
	p.filled = now
	if p.tokens < 1 {
		return time.Duration((1 - p.tokens) / rate * float64(time.Second)), false
	}
	p.tokens--
	return 0, true
}
