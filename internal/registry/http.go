package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"harrierramp/internal/connlimit"
	"harrierramp/internal/fairqueue"
	"harrierramp/internal/listwatch"
)

const (
	maxBodyBytes         = 4 << 10
	maxReportsBodyBytes  = 64 << 10
	defaultLargeBodies   = 32                     // of more than maxBodyBytes, that are read at once
	connCost             = 100 * time.Microsecond // processor time to accept a connection and to end it
	requestCost          = 100 * time.Microsecond // processor time to read a request and to answer it
	readTimeout          = 2 * time.Second        // for a whole request; a slower client must be disconnected within 3 s
	writeTimeout         = 3 * time.Second        // for one line to a watcher, or a whole response
	commandTimeout       = 2 * time.Second
	idleTimeout          = time.Minute // longer than the time between renewals of one instance
	maxHeartbeatInterval = 2 * time.Second
	minHeartbeatInterval = 100 * time.Millisecond // shortest interval that a watcher may request
	defaultLeaseMS       = 10_000
)

// registration is the body of a request to register an instance.
type registration struct {
	Addr     string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     *int    `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
	Owner    string  `json:"owner"`
	LeaseMS  int64   `json:"lease_ms"`
}

// member returns the member to register under id, with defaults for omitted fields.
func (r registration) member(id string) (Member, error) {
	if r.Cell == nil {
		return Member{}, fmt.Errorf("%w: cell is missing", ErrInvalid)
	}
	m := Member{
		Instance: Instance{
			ID: id, Addr: r.Addr, Locality: r.Locality, Flavor: r.Flavor, Cell: *r.Cell, Phase: r.Phase, Size: r.Size,
			UpSince: r.UpSince,
		},
		Owner: r.Owner, LeaseMS: r.LeaseMS,
	}
	if m.Size == 0 {
		m.Size = 1
	}
	if m.LeaseMS == 0 {
		m.LeaseMS = defaultLeaseMS
	}
	return m, nil
}

// leaseGrant is the response to a registration or a renewal.
type leaseGrant struct {
	Revision Revision `json:"revision"`
	LeaseMS  int64    `json:"lease_ms"`
}

// Handler returns the handler for nodes, instances and other servers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", s.getInstances)
	mux.HandleFunc("GET /registry/status", func(w http.ResponseWriter, _ *http.Request) { s.writeJSON(w, s.status()) })
	mux.HandleFunc("PUT /registry/instances/{id}", s.rateLimited(s.register))
	mux.HandleFunc("POST /registry/instances/{id}/renew", s.rateLimited(s.renew))
	mux.HandleFunc("PUT /registry/instances/{id}/phase", s.rateLimited(s.setPhase))
	mux.HandleFunc("DELETE /registry/instances/{id}", s.rateLimited(s.withdraw))
	mux.HandleFunc("PUT /registry/floor", s.setFloor)
	mux.HandleFunc("POST /registry/nodes", s.rateLimited(s.reportNode))
	mux.HandleFunc("GET /registry/nodes", s.getNodes)
	mux.HandleFunc("GET /registry/history", func(w http.ResponseWriter, _ *http.Request) { s.writeJSON(w, s.feed.auditHistory()) })
	mux.HandleFunc("POST /reports", s.addNotices)
	mux.HandleFunc("GET /reports", s.getNotices)
	return mux
}

// HTTPServer returns a server that serves h on at most maxConns connections to ln, and the listener for its Serve. A
// further connection takes the place of one that has not brought a request yet, or is closed at once. The processor time
// for connections and requests is granted by scheduler.
func (s *Server) HTTPServer(
	ln net.Listener, h http.Handler, maxConns int, scheduler *fairqueue.Scheduler, log *slog.Logger,
) (*http.Server, net.Listener) {
	bounded := connlimit.NewListener(ln, connlimit.Limits{
		Open: maxConns, Serving: 2 * maxConns, ConnCost: connCost, RequestCost: requestCost,
	}, scheduler, func() { s.stats.rejectedConnections.Add(1) })
	return &http.Server{
		Handler: bounded.Handler(h), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return withQuota(bounded.ConnContext(ctx, nc), nc)
		},
		ConnState: func(nc net.Conn, state http.ConnState) {
			bounded.ConnState(nc, state)
			switch state {
			case http.StateNew:
				s.stats.connections.Add(1)
			case http.StateClosed, http.StateHijacked:
				s.stats.connections.Add(-1)
			}
		},
	}, bounded
}

// writeJSON writes a value as JSON.
func (s *Server) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		s.log.Debug("answer_not_taken", "err", err)
	}
}

// writeError writes the error as a response. Depending on the error, the response also says when to retry or which
// server is the primary.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	response := struct {
		Error   string `json:"error"`
		AfterMS int64  `json:"after_ms,omitempty"`
		Primary string `json:"primary,omitempty"`
	}{Error: err.Error()}
	var conflict *ConflictError
	var notPrimary *notPrimaryError
	var large *http.MaxBytesError
	code := http.StatusServiceUnavailable
	deferral, deferred := asDeferred(err)
	switch {
	case deferred:
		response.AfterMS = deferral.retryAfter.Milliseconds()
		listwatch.SetRetryAfter(w.Header(), deferral.retryAfter, deferral.turn)
	case rolloutStatusCode(err) != 0:
		code = rolloutStatusCode(err)
	case errors.As(err, &conflict):
		code, response.AfterMS = http.StatusConflict, conflict.ExpiresIn.Milliseconds()
	case errors.As(err, &notPrimary):
		code, response.Primary = http.StatusMisdirectedRequest, notPrimary.primary
	case errors.Is(err, errAlreadyPrimary), errors.Is(err, errNeverHadList):
		code = http.StatusConflict
	case errors.As(err, &large):
		code = http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrNotFound):
		code = http.StatusNotFound
	case errors.Is(err, ErrInvalid):
		code = http.StatusBadRequest
	}
	switch {
	case deferred:
		s.stats.deferred.Add(1)
	case code >= 500:
		s.stats.failures.Add(1)
	case code == http.StatusConflict, code == http.StatusMisdirectedRequest, code == http.StatusNotFound:
		s.stats.refusedCalls.Add(1)
	default:
		s.stats.badRequests.Add(1)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if err := json.NewEncoder(w).Encode(response); err != nil {
		s.log.Debug("refusal_not_taken", "err", err)
	}
}

// readBody reads a whole request body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return raw, nil
}

// decodeBody decodes a request body into v. The body must be one JSON object without unknown fields.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) error {
	raw, err := readBody(w, r, maxBodyBytes)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: something follows the object", ErrInvalid)
	}
	return nil
}

// runCommand executes a plan on the primary and writes its reply as the response.
func (s *Server) runCommand(w http.ResponseWriter, r *http.Request, plan planFunc) {
	ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
	defer cancel()
	reply, err := s.submit(ctx, command{plan: s.primaryOnly(plan)})
	if err != nil {
		s.writeError(w, err)
		return
	}
	if reply == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	s.writeJSON(w, reply)
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var reg registration
	if err := decodeBody(w, r, &reg); err != nil {
		s.writeError(w, err)
		return
	}
	m, err := reg.member(r.PathValue("id"))
	if err != nil {
		s.writeError(w, err)
		return
	}
	s.runCommand(w, r, func(now time.Duration) (List, any, error) {
		l, err := s.catalog.Register(now, time.Now().UnixMilli(), m)
		return l, leaseGrant{max(l.Revision, s.catalog.Head()), m.LeaseMS}, err
	})
}

// ownerRequest is the body of an owner's request for its instance.
type ownerRequest struct {
	Owner string `json:"owner"`
	Phase string `json:"phase"`
}

func readOwnerRequest(w http.ResponseWriter, r *http.Request) (ownerRequest, error) {
	var o ownerRequest
	if err := decodeBody(w, r, &o); err != nil {
		return o, err
	}
	if err := validateName("owner", o.Owner); err != nil {
		return o, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return o, nil
}

// handleOwnerRequest decodes an owner's request for its instance and executes plan for it.
func (s *Server) handleOwnerRequest(w http.ResponseWriter, r *http.Request, plan func(now time.Duration, id string, o ownerRequest) (List, any, error)) {
	o, err := readOwnerRequest(w, r)
	if err != nil {
		s.writeError(w, err)
		return
	}
	id := r.PathValue("id")
	s.runCommand(w, r, func(now time.Duration) (List, any, error) { return plan(now, id, o) })
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	s.handleOwnerRequest(w, r, func(now time.Duration, id string, o ownerRequest) (List, any, error) {
		lease, err := s.catalog.Renew(now, id, o.Owner)
		return List{}, leaseGrant{s.catalog.Head(), lease.Milliseconds()}, err
	})
}

func (s *Server) setPhase(w http.ResponseWriter, r *http.Request) {
	s.handleOwnerRequest(w, r, func(now time.Duration, id string, o ownerRequest) (List, any, error) {
		l, err := s.catalog.SetPhase(now, id, o.Owner, o.Phase)
		return l, nil, err
	})
}

func (s *Server) withdraw(w http.ResponseWriter, r *http.Request) {
	s.handleOwnerRequest(w, r, func(now time.Duration, id string, o ownerRequest) (List, any, error) {
		l, err := s.catalog.Withdraw(now, id, o.Owner)
		return l, nil, err
	})
}

// setFloor sets the minimum build, configuration and revision required of every node.
func (s *Server) setFloor(w http.ResponseWriter, r *http.Request) {
	var f listwatch.Floor
	if err := decodeBody(w, r, &f); err != nil {
		s.writeError(w, err)
		return
	}
	s.runCommand(w, r, func(time.Duration) (List, any, error) {
		l, err := s.catalog.SetFloor(f)
		return l, leaseGrant{Revision: max(l.Revision, s.catalog.Head())}, err
	})
}

// addNotices stores notices. Followers accept them too, so that a node need not wait for the primary.
func (s *Server) addNotices(w http.ResponseWriter, r *http.Request) {
	raw, err := s.readReports(w, r)
	if err != nil {
		s.writeError(w, err)
		return
	}
	notices, err := parseNotices(raw)
	if err != nil {
		s.writeError(w, fmt.Errorf("%w: %w", ErrInvalid, err))
		return
	}
	if err := s.notices.add(time.Now(), notices); err != nil {
		s.stats.diskErrors.Add(1)
		s.writeError(w, err)
		return
	}
	s.stats.notices.Add(int64(len(notices)))
	w.WriteHeader(http.StatusNoContent)
}

// errTooManyLargeBodies refuses a large body while others are being read.
var errTooManyLargeBodies = errors.New("too many large bodies at once")

// readReports reads the body of a post of notices.
func (s *Server) readReports(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength >= 0 && r.ContentLength <= maxBodyBytes {
		return readBody(w, r, maxBodyBytes)
	}
	select {
	case s.largeBodies <- struct{}{}:
		defer func() { <-s.largeBodies }()
		return readBody(w, r, maxReportsBodyBytes)
	default:
		return nil, errTooManyLargeBodies
	}
}

// queryInt returns a non-negative number from the query; 0 if it is absent.
func queryInt(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("%w: %s is %q, no number from 0 on", ErrInvalid, name, text)
	}
	return n, nil
}

func (s *Server) getNotices(w http.ResponseWriter, r *http.Request) {
	after, err := queryInt(r, "after")
	if err != nil {
		s.writeError(w, err)
		return
	}
	page, err := s.notices.pageAfter(after)
	if err != nil {
		s.writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	if _, err := w.Write(page); err != nil {
		s.log.Debug("notices_not_taken", "err", err)
	}
}
