// Package admin serves the HTTP API by which operators query and control a node. Flags, settings and logs call this API
// the door. It speaks HTTP/1.1 with one request per connection, a bounded number of connections and bounded waits. It
// makes no decisions: every request is passed to the node through the interface Node.
package admin

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"harrierramp/internal/connlimit"
	"harrierramp/internal/fairqueue"
)

const (
	// MaxConnections bounds the open connections; when it is reached, the oldest connection is closed for a new one.
	// Callers wait 1 s for an answer, and some connect and never complete a request. The bound keeps those from locking
	// out other callers and from using up the process's file descriptors.
	MaxConnections  = 8
	maxRequestBytes = 8 << 10                // of a request line and headers; the API has no bodies
	requestTimeout  = 2 * time.Second        // for reading a whole request, and for writing its response
	shutdownTimeout = 500 * time.Millisecond // for requests in progress when the server closes
	commandTimeout  = 900 * time.Millisecond // for a change to take effect; after it the caller gets an error
	connCost        = 100 * time.Microsecond // processor time to accept a connection and to end it
	requestCost     = 100 * time.Microsecond // processor time to read a request and to answer it
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
	srv       http.Server
	ln        *connlimit.Listener
	log       *slog.Logger
	scheduler *fairqueue.Scheduler // of the processor time for requests
}

// NewServer returns a server that answers requests on ln for the node n once Serve runs. Its processor time is granted by
// scheduler, which other servers of the process may share. maxServing bounds the connections whose goroutine has not
// ended, which hold memory though they may be closed.
func NewServer(ln net.Listener, n Node, log *slog.Logger, scheduler *fairqueue.Scheduler, maxServing int) *Server {
	bounded := connlimit.NewListener(ln, connlimit.Limits{
		Open: MaxConnections, Serving: maxServing, MaxBytes: 2 * maxRequestBytes, EvictServed: true, ConnCost: connCost, RequestCost: requestCost,
	}, scheduler, nil)
	s := &Server{ln: bounded, log: log, scheduler: scheduler}
	s.srv = http.Server{
		Handler: bounded.Handler(s.routes(n)), ConnContext: bounded.ConnContext, ConnState: bounded.ConnState,
		ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, MaxHeaderBytes: maxRequestBytes,
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
