// Package partner implements a stand-in for the external partners that nodes deliver to: an HTTP endpoint with a rate
// limit, a latency, and faults that can be switched on. A ledger records the executed calls, so that the results that
// clients and nodes report can be checked against it. Demonstrations, tests and the lab use it on loopback.
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
	maxBodyBytes    = 64 << 10
	shutdownTimeout = time.Second // for calls in progress when a partner closes
)

// Config configures one endpoint.
type Config struct {
	ID        string
	Rate      float64       // accepted calls per second; calls above it are refused. 0 for no limit
	Burst     float64       // calls accepted at once after a pause; at least 1 if there is a rate
	Latency   time.Duration // from the last byte of a call to its response
	Listen    string        // a loopback address; a free port if empty
	MaxConns  int           // connections above this number are closed; 0 for no limit
	ColdStart ColdStart
	OnEvent   func(Event) // called from many goroutines; must not block; may be nil
}

// ColdStart is the behavior after a start of an endpoint that has a rate limit. Its capacity rises linearly from
// InitialShare of the rate to the whole rate within WarmUpTime. If it gets more than OverloadFactor times its current
// capacity over a period of OverloadWindow, it becomes overloaded: it refuses every call for Downtime, and is cold
// again after that. With the zero value an endpoint is always warm.
type ColdStart struct {
	InitialShare, OverloadFactor         float64
	WarmUpTime, OverloadWindow, Downtime time.Duration
}

// EventType is the type of an Event.
type EventType uint8

// The types of events.
const (
	ConnectionOpened   EventType = iota
	ConnectionRejected           // a connection above the limit was closed
	ConnectionClosed             // a connection ended
	CallReceived                 // a call was received completely
	CallRefused                  // above the limit, switched to refuse, or down after an overload
	CallExecuted                 // a call was executed; its response may get lost
	Overloaded                   // the endpoint was sent too much while it was cold
)

// Event is something that a partner observed.
type Event struct {
	Type      EventType
	Endpoint  string
	PeerAddr  string // host and port
	MessageID string
	Header    http.Header
	Load      float64 // calls in the last OverloadWindow relative to the overload threshold; 0 unless cold
}

// Ledger counts the executed calls of all partners that share it. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	runs     map[string]int
	firstRun time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

func (l *Ledger) recordRun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[id]++; l.firstRun.IsZero() {
		l.firstRun = time.Now()
	}
}

// Runs returns how often a message was executed.
func (l *Ledger) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// FirstRun returns the time of the first execution, or the zero time if there was none.
func (l *Ledger) FirstRun() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstRun
}

// Counts returns the number of messages that were executed, and how many of them more than once.
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
	cfg      Config
	ledger   *Ledger
	ln       net.Listener
	srv      http.Server
	served   sync.WaitGroup
	refusing atomic.Bool

	mu          sync.Mutex
	tokens      float64
	lastRefill  time.Time
	warmUpStart time.Time   // start of the current warm-up
	downUntil   time.Time   // end of the downtime after an overload
	recentCalls []time.Time // within the last OverloadWindow
	openConns   int
}

// Start starts a partner, which serves until Close.
func Start(cfg Config, ledger *Ledger) (*Partner, error) {
	ln, err := net.Listen("tcp", cmp.Or(cfg.Listen, "127.0.0.1:0"))
	if err != nil {
		return nil, fmt.Errorf("partner %s: %w", cfg.ID, err)
	}
	now := time.Now()
	p := &Partner{cfg: cfg, ledger: ledger, ln: ln, tokens: max(cfg.Burst, 1), lastRefill: now, warmUpStart: now}
	p.srv = http.Server{
		Handler: p, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: 15 * time.Second,
		ConnState: p.onConnState, ErrorLog: log.New(io.Discard, "", 0),
	}
	p.served.Go(func() { p.srv.Serve(ln) }) // always returns an error after Close
	return p, nil
}

// Addr returns the address on which the partner listens.
func (p *Partner) Addr() string { return p.ln.Addr().String() }

// SetRefusing makes the partner refuse every call, or accept calls again. Either way it starts a new warm-up.
func (p *Partner) SetRefusing(refusing bool) {
	p.refusing.Store(refusing)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmUpStart, p.recentCalls = time.Now(), nil
}

func (p *Partner) emit(e Event) {
	if p.cfg.OnEvent != nil {
		e.Endpoint = p.cfg.ID
		p.cfg.OnEvent(e)
	}
}

// onConnState counts connections and closes those above the limit.
func (p *Partner) onConnState(nc net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		p.mu.Lock()
		p.openConns++
		full := p.cfg.MaxConns > 0 && p.openConns > p.cfg.MaxConns
		p.mu.Unlock()
		p.emit(Event{Type: ConnectionOpened, PeerAddr: nc.RemoteAddr().String()})
		if full {
			p.emit(Event{Type: ConnectionRejected, PeerAddr: nc.RemoteAddr().String()})
			nc.Close()
		}
	case http.StateClosed, http.StateHijacked:
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		p.emit(Event{Type: ConnectionClosed, PeerAddr: nc.RemoteAddr().String()})
	}
}

// Close stops the partner. It waits for calls in progress for up to shutdownTimeout.
func (p *Partner) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if p.srv.Shutdown(ctx) != nil {
		p.srv.Close()
	}
	p.served.Wait()
}

// ServeHTTP answers one call. It implements http.Handler.
func (p *Partner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, "the body can't be read", http.StatusBadRequest)
		return
	}
	if r.Method != http.MethodPost || r.URL.Path != "/v1/messages" {
		http.NotFound(w, r)
		return
	}
	e := Event{PeerAddr: r.RemoteAddr, MessageID: r.Header.Get("X-Trace-Id"), Header: r.Header}
	now := time.Now()
	overloaded := false
	e.Load, overloaded = p.recordLoad(now)
	e.Type = CallReceived
	p.emit(e)
	if overloaded {
		p.emit(Event{Type: Overloaded})
	}
	if p.refusing.Load() || p.isDown(now) {
		e.Type = CallRefused
		p.emit(e)
		http.Error(w, "shut", http.StatusServiceUnavailable)
		return
	}
	if retryAfter, ok := p.takeToken(now); !ok {
		e.Type = CallRefused
		p.emit(e)
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
		http.Error(w, "above the limit", http.StatusTooManyRequests)
		return
	}
	if p.cfg.Latency > 0 {
		select {
		case <-time.After(p.cfg.Latency):
		case <-r.Context().Done():
		}
	}
	p.ledger.recordRun(e.MessageID) // counts as executed even if the response does not arrive
	e.Type = CallExecuted
	p.emit(e)
}

// capacityShare returns the share of the rate that is accepted at the time now. The caller holds p.mu.
func (p *Partner) capacityShare(now time.Time) float64 {
	c := p.cfg.ColdStart
	if c.WarmUpTime <= 0 || now.Sub(p.warmUpStart) >= c.WarmUpTime {
		return 1
	}
	return c.InitialShare + (1-c.InitialShare)*float64(now.Sub(p.warmUpStart))/float64(c.WarmUpTime)
}

// recordLoad counts a call. load is the load of a cold endpoint relative to its overload threshold, and overloaded
// reports whether this call exceeds the threshold.
func (p *Partner) recordLoad(now time.Time) (load float64, overloaded bool) {
	c := p.cfg.ColdStart
	p.mu.Lock()
	defer p.mu.Unlock()
	share := p.capacityShare(now)
	if c.OverloadWindow <= 0 || share >= 1 || now.Before(p.downUntil) {
		p.recentCalls = nil
		return 0, false
	}
	for len(p.recentCalls) > 0 && now.Sub(p.recentCalls[0]) > c.OverloadWindow {
		p.recentCalls = p.recentCalls[1:]
	}
	p.recentCalls = append(p.recentCalls, now)
	load = float64(len(p.recentCalls)) / (c.OverloadFactor * share * p.cfg.Rate * c.OverloadWindow.Seconds())
	if load > 1 {
		p.downUntil = now.Add(c.Downtime)
		p.warmUpStart, p.recentCalls = p.downUntil, nil
		return load, true
	}
	return load, false
}

func (p *Partner) isDown(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.downUntil)
}

// takeToken takes a token from the rate limiter, or returns the time until one is available.
func (p *Partner) takeToken(now time.Time) (time.Duration, bool) {
	if p.cfg.Rate <= 0 {
		return 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rate := p.cfg.Rate * p.capacityShare(now)
	p.tokens = min(p.tokens+now.Sub(p.lastRefill).Seconds()*rate, max(p.cfg.Burst, 1))
	p.lastRefill = now
	if p.tokens < 1 {
		return time.Duration((1 - p.tokens) / rate * float64(time.Second)), false
	}
	p.tokens--
	return 0, true
}
