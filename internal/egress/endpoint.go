package egress

import (
	"sync/atomic"
	"time"
)

// Endpoint is what calls need to know of one; the loop writes it, calls in flight read it.
type Endpoint struct {
	ID, Addr string
	Zone     int
	Shut     atomic.Bool   // it drains or is gone
	Out      atomic.Bool   // operators have taken it out
	Wait     *atomic.Int64 // Unix time in nanoseconds; its destination, or route, asked to be left alone until then
}

// closedTo tells that nothing new may go to the endpoint now.
func (e *Endpoint) closedTo(now time.Time) bool {
	return e.Shut.Load() || e.Out.Load() || now.UnixNano() < e.Wait.Load()
}
