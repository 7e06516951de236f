package registry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"harrierramp/internal/admission"
)

// admissionControl limits the rate at which requests are served while many clients start. Renewals come first, then
// watchers that lack some changes, then clients that need the complete list.
type admissionControl struct {
	mu      sync.Mutex
	limiter *admission.Limiter
}

func newAdmissionControl(rate float64) *admissionControl {
	return &admissionControl{limiter: admission.NewLimiter(rate, rand.Uint64N(1<<52)+1)}
}

// deferredError refuses a request that can't be served now. A client that retries after retryAfter presents the turn,
// a reserved place.
type deferredError struct {
	retryAfter time.Duration
	turn       uint64
}

func (e *deferredError) Error() string {
	return fmt.Sprintf("not now: come again after %v", e.retryAfter)
}

// admit admits a request or refuses it with a *deferredError. quota is the client's. heldTurn is the turn from an earlier
// refusal, 0 if none.
func (a *admissionControl) admit(now time.Duration, quota *admission.Quota, priority admission.Priority, heldTurn uint64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if wait := quota.Take(now, a.limiter, priority); wait > 0 {
		return &deferredError{retryAfter: wait}
	}
	ok, wait, turn := a.limiter.Admit(now, priority, heldTurn)
	if ok {
		return nil
	}
	return &deferredError{wait, turn}
}

// quotaKey is the context key of the quota of a request's connection.
type quotaKey struct{}

// withQuota adds a quota to the context of a connection's requests.
func withQuota(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, quotaKey{}, new(admission.Quota))
}

// quotaOf returns the quota of a request's connection. The caller may use it only within admit.
func quotaOf(r *http.Request) *admission.Quota {
	if q, ok := r.Context().Value(quotaKey{}).(*admission.Quota); ok {
		return q
	}
	return new(admission.Quota)
}

// outstanding returns the number of turns that were handed out and not used yet.
func (a *admissionControl) outstanding() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.Outstanding()
}

// admitList admits a request for the list, or refuses it. Following servers are always admitted.
func (s *Server) admitList(r *http.Request, after Revision) error {
	q := r.URL.Query()
	if q.Get("replica") == "1" {
		return nil
	}
	priority := admission.FullList
	// A client that has a revision and does not watch wants a second opinion on the list that another server gave it.
	if s.feed.hasChangesSince(after) || after > 0 && q.Get("watch") != "1" {
		priority = admission.PartialList
	}
	heldTurn, err := queryInt(r, "turn")
	if err != nil {
		return err
	}
	return s.admission.admit(s.now(), quotaOf(r), priority, uint64(heldTurn))
}

// rateLimited wraps a handler of calls on one instance or node. A call that admission control refuses is answered with
// the time to retry.
func (s *Server) rateLimited(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := s.admission.admit(s.now(), quotaOf(r), admission.Renewal, 0); err != nil {
			s.writeError(w, err)
			return
		}
		next(w, r)
	}
}

// asDeferred returns the *deferredError in err, if there is one.
func asDeferred(err error) (*deferredError, bool) { return errors.AsType[*deferredError](err) }
