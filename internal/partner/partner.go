// Package partner is a stand-in for the outside partners that nodes deliver to: an HTTP endpoint with a limit, a time
// to answer, and troubles that can be turned on. It keeps a ledger of what ran, so that what clients and nodes say can
// be held against it. It serves demonstrations, tests and the lab on loopback.
package partner

import (
	"context"
	"fmt"
	"io"
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
}

// Start serves on a free port of loopback until Close.
func Start(cfg Config, ledger *Ledger) (*Partner, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("partner %s: %w", cfg.ID, err)
	}
	p := &Partner{cfg: cfg, ledger: ledger, ln: ln, tokens: max(cfg.Burst, 1), filled: time.Now()}
	p.srv = http.Server{Handler: p, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: 15 * time.Second}
	p.served.Go(func() { p.srv.Serve(ln) }) // its error says that it was closed
	return p, nil
}

// Addr is where it listens.
func (p *Partner) Addr() string { return p.ln.Addr().String() }

// Shut makes it refuse every call, or take them again.
func (p *Partner) Shut(shut bool) { p.shut.Store(shut) }

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
	if p.shut.Load() {
		http.Error(w, "shut", http.StatusServiceUnavailable)
		return
	}
	if wait, ok := p.take(time.Now()); !ok {
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
	p.ledger.ran(r.Header.Get("X-Trace-Id")) // it may have run, whether or not the answer arrives
}

// take takes a token, or tells when there is one.
func (p *Partner) take(now time.Time) (time.Duration, bool) {
	if p.cfg.Rate <= 0 {
		return 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens = min(p.tokens+now.Sub(p.filled).Seconds()*p.cfg.Rate, max(p.cfg.Burst, 1))
	p.filled = now
	if p.tokens < 1 {
		return time.Duration((1 - p.tokens) / p.cfg.Rate * float64(time.Second)), false
	}
	p.tokens--
	return 0, true
}
