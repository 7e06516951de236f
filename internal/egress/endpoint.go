package egress

import (
	"sync/atomic"
	"time"
)

// Endpoint is the state of an endpoint that calls need. The node's event loop writes it, and calls in progress read it.
type Endpoint struct {
	ID, Addr  string
	Zone      int
	Withdrawn atomic.Bool // it is draining, or was removed from the list
	Disabled  atomic.Bool // taken out of service by operators
	Cooldown  *Cooldown   // requested by its destination or route
}

// Cooldown is a period in which a destination must not be called. The endpoints of the destination share it. It uses
// the monotonic clock, so that a step of the wall clock neither ends nor extends it. The zero value is not active.
type Cooldown struct {
	until atomic.Int64 // nanoseconds since processStart
}

var processStart = time.Now()

// Extend makes the cooldown last at least until the given time, which must have a monotonic clock reading. Only one
// goroutine may call it.
func (w *Cooldown) Extend(until time.Time) {
	w.until.Store(max(int64(until.Sub(processStart)), w.until.Load()))
}

// Active reports whether the cooldown lasts at the time now.
func (w *Cooldown) Active(now time.Time) bool { return int64(now.Sub(processStart)) < w.until.Load() }

// blocked reports whether no new call may go to the endpoint at the time now.
func (e *Endpoint) blocked(now time.Time) bool {
	return e.Withdrawn.Load() || e.Disabled.Load() || e.Cooldown.Active(now)
}
