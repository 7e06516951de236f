// Package backoff is how long to wait before something is tried again, so that a fleet doesn't try in step.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Pauses between tries at what costs the other side little.
const (
	InitialDelay = 50 * time.Millisecond
	MaxDelay     = 2 * time.Second
)

// Backoff is a pause that doubles from first to last, with half of it left to chance so that nodes don't return in step.
type Backoff struct{ Initial, Max, delay time.Duration }

// Next is the pause before the next try: from half of the present pause to all of it.
func (b *Backoff) Next() time.Duration {
	b.delay = min(max(2*b.delay, b.Initial), max(b.Initial, b.Max))
	return b.delay/2 + rand.N(b.delay/2+1)
}

// Reset starts over: what was tried has gone well.
func (b *Backoff) Reset() { b.delay = 0 }

// Sleep waits, and tells whether the context is still alive after it.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
