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
	maxBodyBytes    = 64 << 10
	shutdownTimeout = time.Second // for calls under way when a partner closes
)

// Config is what one endpoint is like.
type Config struct {
	ID        string
	Rate      float64       // calls a second that it takes; above it refuses. 0 for no limit
	Burst     float64       // calls that it takes at once after a pause; at least 1 where there is a rate
	Latency   time.Duration // from a call's last byte to its answer
	Listen    string        // an address of loopback; a free port if empty
	MaxConns  int           // connections that it takes, 0 for any number; who comes beyond is hung up on
	ColdStart ColdStart
	OnEvent   func(Event) // hears of what comes, from many goroutines, and must not wait; may be nil
}

// Cold is what an endpoint is like after a start, where it has a rate: it takes From of that, and all of it Within. Sent
// more than Multiple of what it takes, over a span of Fall, it falls over: it refuses everything for DownFor, and is cold
// again. The zero value is always warm.
type ColdStart struct {
	InitialShare, OverloadFactor         float64
	WarmUpTime, OverloadWindow, Downtime time.Duration
}

// What tells what a Seen is of.
type EventType uint8

// What comes to a partner.
const (
	ConnectionOpened   EventType = iota
	ConnectionRejected           // a connection beyond the limit
	ConnectionClosed             // a connection has ended
	CallReceived                 // a call has come whole
	CallRefused                  // over the limit, shut, or fallen
	CallExecuted                 // a call has run; its answer may get lost
	Overloaded                   // too much was sent to it while it was cold
)

// Seen is one thing that comes to a partner. Load is what was sent in the last span over what it bears, where it is cold.
type Event struct {
	Type      EventType
	Endpoint  string
	PeerAddr  string // host and port
	MessageID string // of the message
	Header    http.Header
	Load      float64
}

// Ledger is what has run at all partners that share it. It is safe for use by many goroutines.
type Ledger struct {
	mu       sync.Mutex
	runs     map[string]int
	firstRun time.Time
}

// NewLedger makes an empty one.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

func (l *Ledger) recordRun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[id]++; l.firstRun.IsZero() {
		l.firstRun = time.Now()
	}
}

// Runs is how often a message ran.
func (l *Ledger) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// First is when the first message ran; zero if none has.
func (l *Ledger) FirstRun() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstRun
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
	cfg      Config
	ledger   *Ledger
	ln       net.Listener
	srv      http.Server
	served   sync.WaitGroup
	refusing atomic.Bool

	mu          sync.Mutex
	tokens      float64
	lastRefill  time.Time
	warmUpStart time.Time   // it is as warm as this says
	downUntil   time.Time   // it has fallen over
	recentCalls []time.Time // of the last span of Cold.Fall
	openConns   int
}

// Start serves on a free port of loopback until Close.
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
	p.served.Go(func() { p.srv.Serve(ln) }) // its error says that it was closed
	return p, nil
}

// Addr is where it listens.
func (p *Partner) Addr() string { return p.ln.Addr().String() }

// Shut makes it refuse every call, or take them again; then it is cold.
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

// connection counts connections, and hangs up on who comes beyond the limit.
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

// Close ends it, after the calls that are under way.
func (p *Partner) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if p.srv.Shutdown(ctx) != nil {
		p.srv.Close()
	}
	p.served.Wait()
}

// ServeHTTP answers one call. (http.Handler)
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
	p.ledger.recordRun(e.MessageID) // it may have run, whether or not the answer arrives
	e.Type = CallExecuted
	p.emit(e)
}

// warmth is the share of its rate that it takes at a moment. The lock is held.
func (p *Partner) capacityShare(now time.Time) float64 {
	c := p.cfg.ColdStart
	if c.WarmUpTime <= 0 || now.Sub(p.warmUpStart) >= c.WarmUpTime {
		return 1
	}
	return c.InitialShare + (1-c.InitialShare)*float64(now.Sub(p.warmUpStart))/float64(c.WarmUpTime)
}

// bear counts a call, and tells what share of what a cold endpoint bears it has been sent, and whether it falls now.
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

// take takes a token, or tells when there is one.
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
