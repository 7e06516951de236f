// Package admin serves the HTTP API by which operators query and control a node. Flags, settings and logs call this API
// the door. It speaks HTTP/1.1 with one request per connection, a bounded number of connections and bounded waits. It
// makes no decisions: every request is passed to the node through the interface Node.
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
	// MaxConnections bounds the open connections; when it is reached, the oldest connection is closed for a new one.
	// Callers wait 1 s for an answer, and some connect and never complete a request. The bound keeps those from locking
	// out other callers and from using up the process's file descriptors.
	MaxConnections  = 8
	requestTimeout  = 2 * time.Second        // for reading a whole request, and for writing its response
	shutdownTimeout = 500 * time.Millisecond // for requests in progress when the server closes
	commandTimeout  = 900 * time.Millisecond // for a change to take effect; after it the caller gets an error
)

// Errors with which a Node refuses a request. Their texts are the bodies of HTTP responses, so they stay as they are.
var (
	ErrUnknownEndpoint       = errors.New("no such endpoint")
	ErrNotServing            = errors.New("this process does not serve now")
	ErrMembershipDisabled    = errors.New("membership is off")
	ErrUnknownLogLevel       = errors.New("no such log level")
	ErrPeerSocketUnavailable = errors.New("the socket to the other nodes could not be opened")
)

// Node is what the server needs from the node.
type Node interface {
	NotReadyReason() string // why the node is not ready; empty if it is
	Stats() []byte
	WriteMetrics(w io.Writer) error
	SetLogLevel(name string) error
	Members(ctx context.Context) (*MembershipView, error)
	WriteAuditRecord(w io.Writer) error // writes the record of the calls that the node has made
	DisableEndpoint(ctx context.Context, endpoint string) error
	EnableEndpoint(ctx context.Context, endpoint string) error
	SetDraining(ctx context.Context, on bool) error
}

// Server serves the operators' HTTP API.
type Server struct {
	srv http.Server
	ln  *boundedListener
	log *slog.Logger
}

// NewServer returns a server that answers requests on ln for the node n once Serve runs.
func NewServer(ln net.Listener, n Node, log *slog.Logger) *Server {
	s := &Server{ln: &boundedListener{Listener: ln, conns: map[*boundedConn]struct{}{}}, log: log}
	command := func(do func(ctx context.Context, r *http.Request) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
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
	endpointCommand := func(do func(ctx context.Context, endpointCommand string) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id := r.URL.Query().Get("id")
			if id == "" {
				http.Error(w, "id is needed", http.StatusBadRequest)
				return
			}
			command(func(ctx context.Context, _ *http.Request) error { return do(ctx, id) })(w, r)
		}
	}
	drainCommand := func(on bool) http.HandlerFunc {
		return command(func(ctx context.Context, _ *http.Request) error { return n.SetDraining(ctx, on) })
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ops/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if reason := n.NotReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
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
		if err := n.WriteAuditRecord(w); err != nil {
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
		ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
		defer cancel()
		v, err := n.Members(ctx)
		switch {
		case errors.Is(err, ErrMembershipDisabled):
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
	mux.HandleFunc("PUT /ops/endpoints/down", endpointCommand(n.DisableEndpoint))
	mux.HandleFunc("PUT /ops/endpoints/up", endpointCommand(n.EnableEndpoint))
	mux.HandleFunc("PUT /ops/drain/start", drainCommand(true))
	mux.HandleFunc("PUT /ops/drain/stop", drainCommand(false))
	s.srv = http.Server{
		Handler: mux, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	s.srv.SetKeepAlivesEnabled(false)
	return s
}

// Serve answers requests until Close is called.
func (s *Server) Serve() {
	if err := s.srv.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("door_shut", "err", err)
	}
}

// Close stops the server. It waits up to shutdownTimeout for requests in progress and then closes their connections.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.srv.Shutdown(ctx); err != nil {
		s.log.Debug("door_calls_cut", "err", errors.Join(err, s.srv.Close()))
	}
}

// boundedListener limits open connections to MaxConnections by closing the oldest one when another is accepted.
type boundedListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*boundedConn]struct{}
}

// boundedConn is a connection that a boundedListener keeps track of.
type boundedConn struct {
	net.Conn
	ln       *boundedListener
	openedAt time.Time
}

func (l *boundedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &boundedConn{Conn: nc, ln: l, openedAt: time.Now()}
	l.mu.Lock()
	var oldest *boundedConn
	if len(l.conns) >= MaxConnections {
		for o := range l.conns {
			if oldest == nil || o.openedAt.Before(oldest.openedAt) {
				oldest = o
			}
		}
	}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

func (c *boundedConn) Close() error {
	c.ln.mu.Lock()
	delete(c.ln.conns, c)
	c.ln.mu.Unlock()
	return c.Conn.Close()
}
