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
type gate struct {
	mu sync.Mutex
	g  *admission.Limiter
}

func newGate(rate float64) *gate {
	return &gate{g: admission.NewLimiter(rate, rand.Uint64N(1<<52)+1)}
}

// later refuses an ask that can't be served now.
type later struct {
	wait time.Duration
	turn uint64
}

func (e *later) Error() string { return fmt.Sprintf("not now: come again after %v", e.wait) }

// ask lets an ask through, or refuses it with a *later.
func (g *gate) ask(now time.Duration, c admission.Priority, held uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	ok, wait, turn := g.g.Admit(now, c, held)
	if ok {
		return nil
	}
	return &later{wait, turn}
}

// out is how many turns are given out and not yet taken.
func (g *gate) out() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.g.Outstanding()
}

// admit lets somebody through who wants the list. Other servers follow at any time.
func (s *Server) admit(r *http.Request, after Revision) error {
	q := r.URL.Query()
	if q.Get("replica") == "1" {
		return nil
	}
	class := admission.FullList
	if s.feed.leadsFrom(after) || after > 0 && q.Get("watch") != "1" { // the latter wants a second opinion on what it was told
		class = admission.PartialList
	}
	held, err := number(r, "turn")
	if err != nil {
		return err
	}
	return s.gate.ask(s.now(), class, uint64(held))
}

// renewals lets a call on an instance through, or answers it, and tells which.
func (s *Server) renewals(do http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := s.gate.ask(s.now(), admission.Renewal, 0); err != nil {
			s.refuse(w, err)
			return
		}
		do(w, r)
	}
}

// isLater tells whether a refusal says when to come.
func isLater(err error) (*later, bool) { return errors.AsType[*later](err) }
