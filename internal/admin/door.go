// Package admin is the operators' door of a node: HTTP/1.1, one call a connection, few places, a bounded wait. It
// decides nothing; what operators ask goes to the node, which it knows as Operators.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// Callers wait 1 s for an answer, and some connect and finish no call. Few places, of which the longest
	// unfinished gives way, keep them from shutting out the others and from the descriptors.
	DoorPlaces  = 8
	doorTimeout = 2 * time.Second        // for a whole call
	doorGrace   = 500 * time.Millisecond // for calls under way when the door closes
	orderWait   = 900 * time.Millisecond // for a change to hold; past it the caller is told no
)

// Why an order gets a no.
var (
	ErrUnknownEndpoint = errors.New("no such endpoint")
	ErrNotServing      = errors.New("this process does not serve now")
	ErrNoMembership    = errors.New("membership is off")
	ErrLogLevel        = errors.New("no such log level")
	ErrNoPeers         = errors.New("the socket to the other nodes could not be opened")
)

// Operators is what the door needs of the node.
type Operators interface {
	NotReady() string // why not; empty if it is ready
	Stats() []byte
	WriteMetrics(w io.Writer) error
	SetLogLevel(name string) error
	Members(ctx context.Context) (*View, error)
	Acts(w io.Writer) error // the record of acts, as it stands
	Disable(ctx context.Context, endpoint string) error
	Enable(ctx context.Context, endpoint string) error
	Drain(ctx context.Context, on bool) error
}

// door answers the operators.
type door struct {
	srv http.Server
	ln  *doorListener
	log *slog.Logger
}

// NewDoor answers operators on ln, in the name of n, once Serve runs.
func NewDoor(ln net.Listener, n Operators, log *slog.Logger) *door {
	d := &door{ln: &doorListener{Listener: ln, open: map[*doorConn]struct{}{}}, log: log}
	order := func(do func(ctx context.Context, r *http.Request) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), orderWait)
			defer cancel()
			switch err := do(ctx, r); {
			case err == nil:
				w.WriteHeader(http.StatusNoContent)
			case errors.Is(err, ErrUnknownEndpoint):
				http.Error(w, err.Error(), http.StatusNotFound)
			default:
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			}
		}
	}
	endpoint := func(do func(ctx context.Context, endpoint string) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id := r.URL.Query().Get("id")
			if id == "" {
				http.Error(w, "id is needed", http.StatusBadRequest)
				return
			}
			order(func(ctx context.Context, _ *http.Request) error { return do(ctx, id) })(w, r)
		}
	}
	drain := func(on bool) http.HandlerFunc {
		return order(func(ctx context.Context, _ *http.Request) error { return n.Drain(ctx, on) })
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ops/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if why := n.NotReady(); why != "" {
			http.Error(w, why, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /ops/stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		if _, err := w.Write(n.Stats()); err != nil {
			log.Debug("stats_not_taken", "err", err)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		if err := n.WriteMetrics(w); err != nil {
			log.Debug("metrics_not_taken", "err", err)
		}
	})
	mux.HandleFunc("GET /ops/acts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		if err := n.Acts(w); err != nil {
			log.Debug("acts_not_taken", "err", err)
		}
	})
	mux.HandleFunc("PUT /ops/log/level", func(w http.ResponseWriter, r *http.Request) {
		if err := n.SetLogLevel(r.URL.Query().Get("level")); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /ops/members", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), orderWait)
		defer cancel()
		v, err := n.Members(ctx)
		switch {
		case errors.Is(err, ErrNoMembership):
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(v); err != nil {
			log.Debug("members_not_taken", "err", err)
		}
	})
	mux.HandleFunc("PUT /ops/endpoints/down", endpoint(n.Disable))
	mux.HandleFunc("PUT /ops/endpoints/up", endpoint(n.Enable))
	mux.HandleFunc("PUT /ops/drain/start", drain(true))
	mux.HandleFunc("PUT /ops/drain/stop", drain(false))
	d.srv = http.Server{
		Handler: mux, ReadTimeout: doorTimeout, WriteTimeout: doorTimeout, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	d.srv.SetKeepAlivesEnabled(false)
	return d
}

// Serve answers until close.
func (d *door) Serve() {
	if err := d.srv.Serve(d.ln); !errors.Is(err, http.ErrServerClosed) {
		d.log.Error("door_shut", "err", err)
	}
}

// Close lets calls under way have their answers, for a moment.
func (d *door) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), doorGrace)
	defer cancel()
	if err := d.srv.Shutdown(ctx); err != nil {
		d.log.Debug("door_calls_cut", "err", errors.Join(err, d.srv.Close()))
	}
}

// doorListener bounds the connections: the longest open one is closed for a newcomer.
type doorListener struct {
	net.Listener
	mu   sync.Mutex
	open map[*doorConn]struct{}
}

type doorConn struct {
	net.Conn
	ln    *doorListener
	since time.Time
}

func (l *doorListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &doorConn{Conn: nc, ln: l, since: time.Now()}
	l.mu.Lock()
	var oldest *doorConn
	if len(l.open) >= DoorPlaces {
		for o := range l.open {
			if oldest == nil || o.since.Before(oldest.since) {
				oldest = o
			}
		}
	}
	l.open[c] = struct{}{}
	l.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

func (c *doorConn) Close() error {
	c.ln.mu.Lock()
	delete(c.ln.open, c)
	c.ln.mu.Unlock()
	return c.Conn.Close()
}
