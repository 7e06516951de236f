// Package backoff computes randomized, exponentially growing delays between retries, so that the nodes of a fleet do
// not retry in step.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Limits of the delay for operations that cost the other side little.
const (
	InitialDelay = 50 * time.Millisecond
	MaxDelay     = 2 * time.Second
)

// Backoff computes delays that double from Initial to Max. Half of each delay is random, so that nodes do not retry in
// step.
type Backoff struct{ Initial, Max, delay time.Duration }

// Next returns the delay before the next retry, a random value between half of the current delay and all of it.
func (b *Backoff) Next() time.Duration {
	b.delay = min(max(2*b.delay, b.Initial), max(b.Initial, b.Max))
	return b.delay/2 + rand.N(b.delay/2+1)
}

// Reset starts again from Initial. It is called after a success.
func (b *Backoff) Reset() { b.delay = 0 }

// Sleep waits for d or until ctx is done, and returns false in the latter case.
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
