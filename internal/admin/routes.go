package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// routes returns the handler of all requests, for the node n.
func (s *Server) routes(n Node) http.Handler {
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
	mux.HandleFunc("GET /ops/stats", s.textHandler("text/plain; charset=utf-8", func(w io.Writer) error {
		_, err := w.Write(n.Stats())
		return err
	}, func(err error) { s.log.Debug("stats_not_taken", "err", err) }))
	mux.HandleFunc("GET /metrics", s.textHandler("text/plain; version=0.0.4; charset=utf-8", n.WriteMetrics,
		func(err error) { s.log.Debug("metrics_not_taken", "err", err) }))
	mux.HandleFunc("GET /ops/acts", s.textHandler("text/plain; charset=utf-8", n.WriteAuditRecord,
		func(err error) { s.log.Debug("acts_not_taken", "err", err) }))
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
			s.log.Debug("members_not_taken", "err", err)
		}
	})
	mux.HandleFunc("PUT /ops/endpoints/down", endpointCommand(n.DisableEndpoint))
	mux.HandleFunc("PUT /ops/endpoints/up", endpointCommand(n.EnableEndpoint))
	mux.HandleFunc("PUT /ops/drain/start", drainCommand(true))
	mux.HandleFunc("PUT /ops/drain/stop", drainCommand(false))
	return mux
}

// textHandler returns a handler that responds with what render writes. The text is rendered in one turn, and then sent to
// a caller who may be slow. logFailure is called if it can't be rendered or sent.
func (s *Server) textHandler(contentType string, render func(io.Writer) error, logFailure func(error)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		turn := s.scheduler.NewFlow()
		turn.Begin()
		var text bytes.Buffer
		err := render(&text)
		turn.End()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			logFailure(err)
			return
		}
		w.Header().Set("Content-Type", contentType)
		if _, err := w.Write(text.Bytes()); err != nil {
			logFailure(err)
		}
	}
}
