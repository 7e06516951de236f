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
	"sync/atomic"
	"time"

	"harrierramp/internal/listwatch"
)

const (
	maxClaim      = 4 << 10
	maxPost       = 64 << 10
	readTimeout   = 2 * time.Second // for a whole request; who is slower has to be closed within 3 s
	writeTimeout  = 3 * time.Second // for one line to a watcher, or a whole answer
	orderTimeout  = 2 * time.Second
	idleTimeout   = time.Minute // longer than the pauses between renewals
	idleLine      = 2 * time.Second
	leastBeat     = 100 * time.Millisecond // that a watcher may ask for
	defaultLeaseM = 10_000
)

// claim is the body of a registration.
type claim struct {
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

// member is the claim of an id, with what it leaves open filled in.
func (c claim) member(id string) (Member, error) {
	if c.Cell == nil {
		return Member{}, fmt.Errorf("%w: cell is missing", ErrBad)
	}
	m := Member{
		Instance: Instance{
			ID: id, Addr: c.Addr, Locality: c.Locality, Flavor: c.Flavor, Cell: *c.Cell, Phase: c.Phase, Size: c.Size,
			UpSince: c.UpSince,
		},
		Owner: c.Owner, LeaseMS: c.LeaseMS,
	}
	if m.Size == 0 {
		m.Size = 1
	}
	if m.LeaseMS == 0 {
		m.LeaseMS = defaultLeaseM
	}
	return m, nil
}

// granted answers whoever holds a lease.
type granted struct {
	Revision Revision `json:"revision"`
	LeaseMS  int64    `json:"lease_ms"`
}

// Handler answers nodes, instances and other servers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", s.list)
	mux.HandleFunc("GET /registry/status", func(w http.ResponseWriter, _ *http.Request) { s.answer(w, s.status()) })
	mux.HandleFunc("PUT /registry/instances/{id}", s.renewals(s.register))
	mux.HandleFunc("POST /registry/instances/{id}/renew", s.renewals(s.renew))
	mux.HandleFunc("PUT /registry/instances/{id}/phase", s.renewals(s.setPhase))
	mux.HandleFunc("DELETE /registry/instances/{id}", s.renewals(s.withdraw))
	mux.HandleFunc("PUT /registry/floor", s.require)
	mux.HandleFunc("POST /registry/nodes", s.renewals(s.claimed))
	mux.HandleFunc("GET /registry/nodes", s.nodes)
	mux.HandleFunc("GET /registry/history", func(w http.ResponseWriter, _ *http.Request) { s.answer(w, s.feed.told()) })
	mux.HandleFunc("POST /reports", s.report)
	mux.HandleFunc("GET /reports", s.reported)
	return mux
}

// HTTPServer serves h to at most so many connections; who comes beyond them is closed at once.
func (s *Server) HTTPServer(h http.Handler, places int64, log *slog.Logger) *http.Server {
	var open atomic.Int64
	return &http.Server{
		Handler: h, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnState: func(nc net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				s.figures.connections.Add(1)
				if open.Add(1) > places {
					s.figures.turnedAway.Add(1)
					nc.Close()
				}
			case http.StateClosed, http.StateHijacked:
				open.Add(-1)
				s.figures.connections.Add(-1)
			}
		},
	}
}

// answer writes a value as JSON.
func (s *Server) answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		s.log.Debug("answer_not_taken", "err", err)
	}
}

// refuse tells why not, and for some reasons when or where to come instead.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	said := struct {
		Error   string `json:"error"`
		AfterMS int64  `json:"after_ms,omitempty"`
		Primary string `json:"primary,omitempty"`
	}{Error: err.Error()}
	var conflict *Conflict
	var elsewhere *notPrimary
	var large *http.MaxBytesError
	code := http.StatusServiceUnavailable
	notNow, turn := isLater(err)
	switch {
	case turn:
		said.AfterMS = notNow.wait.Milliseconds()
		listwatch.SetRetryAfter(w.Header(), notNow.wait, notNow.turn)
	case rosterCode(err) != 0:
		code = rosterCode(err)
	case errors.As(err, &conflict):
		code, said.AfterMS = http.StatusConflict, conflict.After.Milliseconds()
	case errors.As(err, &elsewhere):
		code, said.Primary = http.StatusMisdirectedRequest, elsewhere.primary
	case errors.Is(err, errPrimary), errors.Is(err, errNothing):
		code = http.StatusConflict
	case errors.As(err, &large):
		code = http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrUnknown):
		code = http.StatusNotFound
	case errors.Is(err, ErrBad):
		code = http.StatusBadRequest
	}
	switch {
	case turn:
		s.figures.later.Add(1)
	case code >= 500:
		s.figures.failures.Add(1)
	case code == http.StatusConflict, code == http.StatusMisdirectedRequest, code == http.StatusNotFound:
		s.figures.refused.Add(1)
	default:
		s.figures.badCalls.Add(1)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if err := json.NewEncoder(w).Encode(said); err != nil {
		s.log.Debug("refusal_not_taken", "err", err)
	}
}

// body reads a bounded body whole.
func body(w http.ResponseWriter, r *http.Request, most int64) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBad, err)
	}
	return raw, nil
}

// read reads the body of a call: one JSON object with no fields but those that v names.
func read(w http.ResponseWriter, r *http.Request, v any) error {
	raw, err := body(w, r, maxClaim)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrBad, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: something follows the object", ErrBad)
	}
	return nil
}

// order carries out what a call asks for, and answers it.
func (s *Server) order(w http.ResponseWriter, r *http.Request, p plan) {
	ctx, cancel := context.WithTimeout(r.Context(), orderTimeout)
	defer cancel()
	reply, err := s.do(ctx, order{plan: s.asPrimary(p)})
	if err != nil {
		s.refuse(w, err)
		return
	}
	if reply == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	s.answer(w, reply)
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var c claim
	if err := read(w, r, &c); err != nil {
		s.refuse(w, err)
		return
	}
	m, err := c.member(r.PathValue("id"))
	if err != nil {
		s.refuse(w, err)
		return
	}
	s.order(w, r, func(now time.Duration) (List, any, error) {
		l, err := s.cat.Register(now, time.Now().UnixMilli(), m)
		return l, granted{max(l.Revision, s.cat.Head()), m.LeaseMS}, err
	})
}

// owned is the body of a call on an instance that its owner makes.
type owned struct {
	Owner string `json:"owner"`
	Phase string `json:"phase"`
}

func readOwned(w http.ResponseWriter, r *http.Request) (owned, error) {
	var o owned
	if err := read(w, r, &o); err != nil {
		return o, err
	}
	if err := checkWord("owner", o.Owner); err != nil {
		return o, fmt.Errorf("%w: %w", ErrBad, err)
	}
	return o, nil
}

// byOwner answers a call on an instance that its owner makes.
func (s *Server) byOwner(w http.ResponseWriter, r *http.Request, do func(now time.Duration, id string, o owned) (List, any, error)) {
	o, err := readOwned(w, r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	id := r.PathValue("id")
	s.order(w, r, func(now time.Duration) (List, any, error) { return do(now, id, o) })
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	s.byOwner(w, r, func(now time.Duration, id string, o owned) (List, any, error) {
		lease, err := s.cat.Renew(now, id, o.Owner)
		return List{}, granted{s.cat.Head(), lease.Milliseconds()}, err
	})
}

func (s *Server) setPhase(w http.ResponseWriter, r *http.Request) {
	s.byOwner(w, r, func(now time.Duration, id string, o owned) (List, any, error) {
		l, err := s.cat.SetPhase(now, id, o.Owner, o.Phase)
		return l, nil, err
	})
}

func (s *Server) withdraw(w http.ResponseWriter, r *http.Request) {
	s.byOwner(w, r, func(now time.Duration, id string, o owned) (List, any, error) {
		l, err := s.cat.Withdraw(now, id, o.Owner)
		return l, nil, err
	})
}

// require sets what is asked of every node.
func (s *Server) require(w http.ResponseWriter, r *http.Request) {
	var f listwatch.Floor
	if err := read(w, r, &f); err != nil {
		s.refuse(w, err)
		return
	}
	s.order(w, r, func(time.Duration) (List, any, error) {
		l, err := s.cat.Require(f)
		return l, granted{Revision: max(l.Revision, s.cat.Head())}, err
	})
}

// report takes notices. Any server takes them, also one that follows: a node must not wait for the primary.
func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	raw, err := body(w, r, maxPost)
	if err != nil {
		s.refuse(w, err)
		return
	}
	notices, err := readNotices(raw)
	if err != nil {
		s.refuse(w, fmt.Errorf("%w: %w", ErrBad, err))
		return
	}
	if err := s.reports.add(time.Now(), notices); err != nil {
		s.figures.diskErrors.Add(1)
		s.refuse(w, err)
		return
	}
	s.figures.notices.Add(int64(len(notices)))
	w.WriteHeader(http.StatusNoContent)
}

// number reads a number from the query; absent is 0.
func number(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("%w: %s is %q, no number from 0 on", ErrBad, name, text)
	}
	return n, nil
}

func (s *Server) reported(w http.ResponseWriter, r *http.Request) {
	after, err := number(r, "after")
	if err != nil {
		s.refuse(w, err)
		return
	}
	page, err := s.reports.since(after)
	if err != nil {
		s.refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	if _, err := w.Write(page); err != nil {
		s.log.Debug("notices_not_taken", "err", err)
	}
}
