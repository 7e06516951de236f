package egress

import (
	"sync/atomic"
	"time"
)

// Endpoint is what calls need to know of one; the loop writes it, calls in flight read it.
type Endpoint struct {
	ID, Addr string
	Zone     int
	Shut     atomic.Bool // it drains or is gone
	Out      atomic.Bool // operators have taken it out
	Wait     *Wait       // its destination, or route, asked to be left alone
}

// Wait is how long calls are to be kept from a destination. It is shared by its endpoints, and runs on the monotonic clock:
// a step of the wall clock neither ends it nor prolongs it. The zero value binds nothing.
type Wait struct {
	until atomic.Int64 // since processStart, in nanoseconds
}

var processStart = time.Now()

// Extend has the wait last until a moment at least, which has to bear a monotonic reading. One goroutine may call it.
func (w *Wait) Extend(until time.Time) {
	w.until.Store(max(int64(until.Sub(processStart)), w.until.Load()))
}

// Binds tells whether the wait lasts at a moment.
func (w *Wait) Binds(now time.Time) bool { return int64(now.Sub(processStart)) < w.until.Load() }

// closedTo tells that nothing new may go to the endpoint now.
func (e *Endpoint) closedTo(now time.Time) bool {
	return e.Shut.Load() || e.Out.Load() || e.Wait.Binds(now)
}
