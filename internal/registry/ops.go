package registry

import (
	"context"
	"net/http"
	"time"
)

const (
	promoteTimeout = peerTimeout + commandTimeout
	// A follower that has heard nothing from its primary for this long reports that it is not ready, because its copy
	// may be stale.
	followerStaleAfter = 10 * time.Second
)

// OpsHandler returns the handler of the operator interface.
func (s *Server) OpsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ops/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if reason := s.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /ops/stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		if _, err := w.Write(s.statsText()); err != nil {
			s.log.Debug("stats_not_taken", "err", err)
		}
	})
	mux.HandleFunc("PUT /ops/promote", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), promoteTimeout)
		defer cancel()
		if _, err := s.Promote(ctx, r.URL.Query().Get("empty") == "1"); err != nil {
			s.writeError(w, err)
			return
		}
		s.writeJSON(w, s.status())
	})
	mux.HandleFunc("PUT /ops/nodes/forget", s.forgetNode)
	mux.HandleFunc("PUT /ops/instances/phase", func(w http.ResponseWriter, r *http.Request) {
		id, phase := r.URL.Query().Get("id"), r.URL.Query().Get("phase")
		s.runCommand(w, r, func(now time.Duration) (List, any, error) {
			l, err := s.catalog.SetPhase(now, id, "", phase)
			return l, nil, err
		})
	})
	mux.HandleFunc("PUT /ops/instances/withdraw", func(w http.ResponseWriter, r *http.Request) {
		id := r.URL.Query().Get("id")
		s.runCommand(w, r, func(now time.Duration) (List, any, error) {
			l, err := s.catalog.Withdraw(now, id, "")
			return l, nil, err
		})
	})
	return mux
}

// notReadyReason returns why new readers should not be sent to this server; empty if it is ready.
func (s *Server) notReadyReason() string {
	switch {
	case s.feed.head() == 0:
		return errNoList.Error()
	case s.is(roleUnconfirmed):
		return errUnconfirmed.Error()
	case s.is(roleFollower) && s.primarySilence() > followerStaleAfter:
		return "the primary is silent"
	}
	return ""
}
