package egress

import (
	"sync/atomic"
	"time"
)

// Endpoint is what calls need to know of one; the loop writes it, calls in flight read it.
type Endpoint struct {
	ID, Addr  string
	Zone      int
	Withdrawn atomic.Bool // it drains or is gone
	Disabled  atomic.Bool // operators have taken it out
	Cooldown  *Cooldown   // its destination, or route, asked to be left alone
}

// Wait is how long calls are to be kept from a destination. It is shared by its endpoints, and runs on the monotonic clock:
// a step of the wall clock neither ends it nor prolongs it. The zero value binds nothing.
type Cooldown struct {
	until atomic.Int64 // since processStart, in nanoseconds
}

var processStart = time.Now()

// Extend has the wait last until a moment at least, which has to bear a monotonic reading. One goroutine may call it.
func (w *Cooldown) Extend(until time.Time) {
	w.until.Store(max(int64(until.Sub(processStart)), w.until.Load()))
}

// Binds tells whether the wait lasts at a moment.
func (w *Cooldown) Active(now time.Time) bool { return int64(now.Sub(processStart)) < w.until.Load() }

// closedTo tells that nothing new may go to the endpoint now.
func (e *Endpoint) blocked(now time.Time) bool {
	return e.Withdrawn.Load() || e.Disabled.Load() || e.Cooldown.Active(now)
}
