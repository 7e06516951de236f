package registry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"harrierramp/internal/admission"
)

// gate admits the work of a start at the server's own pace: renewals first, then watchers that lack some changes, then
// those that need the whole list.
type admissionControl struct {
	mu      sync.Mutex
	limiter *admission.Limiter
}

func newAdmissionControl(rate float64) *admissionControl {
	return &admissionControl{limiter: admission.NewLimiter(rate, rand.Uint64N(1<<52)+1)}
}

// later refuses an ask that can't be served now.
type deferredError struct {
	retryAfter time.Duration
	turn       uint64
}

func (e *deferredError) Error() string {
	return fmt.Sprintf("not now: come again after %v", e.retryAfter)
}

// ask lets an ask through, or refuses it with a *later.
func (a *admissionControl) admit(now time.Duration, priority admission.Priority, heldTurn uint64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	ok, wait, turn := a.limiter.Admit(now, priority, heldTurn)
	if ok {
		return nil
	}
	return &deferredError{wait, turn}
}

// out is how many turns are given out and not yet taken.
func (a *admissionControl) outstanding() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.Outstanding()
}

// admit lets somebody through who wants the list. Other servers follow at any time.
func (s *Server) admitList(r *http.Request, after Revision) error {
	q := r.URL.Query()
	if q.Get("replica") == "1" {
		return nil
	}
	priority := admission.FullList
	if s.feed.hasChangesSince(after) || after > 0 && q.Get("watch") != "1" { // the latter wants a second opinion on what it was told
		priority = admission.PartialList
	}
	heldTurn, err := queryInt(r, "turn")
	if err != nil {
		return err
	}
	return s.admission.admit(s.now(), priority, uint64(heldTurn))
}

// renewals lets a call on an instance through, or answers it, and tells which.
func (s *Server) rateLimited(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := s.admission.admit(s.now(), admission.Renewal, 0); err != nil {
			s.writeError(w, err)
			return
		}
		next(w, r)
	}
}

// isLater tells whether a refusal says when to come.
func asDeferred(err error) (*deferredError, bool) { return errors.AsType[*deferredError](err) }
