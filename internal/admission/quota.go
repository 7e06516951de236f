package admission

import "time"

const (
	clientShare    = 0.1         // of a limiter's rate, for one client
	clientBurst    = time.Second // a client may take at once what its share yields in this time
	minClientBurst = 4.0         // tokens, at low rates
)

// Quota is what one client may take of a Limiter's rate, so that one that asks without pause leaves the others theirs. The
// zero value is a full quota.
type Quota struct {
	used      float64 // tokens that have not accrued again
	updatedAt time.Duration
}

// Take charges a request to the quota, whether the limiter then admits it or not. It returns 0, or the time after which
// the client may ask again; such a request is not charged, and must not be passed to the limiter.
func (q *Quota) Take(now time.Duration, l *Limiter, p Priority) (wait time.Duration) {
	if l == nil || l.rate <= 0 {
		return 0
	}
	share := l.rate * clientShare
	burst := max(minClientBurst, share*clientBurst.Seconds())
	q.used = max(q.used-share*(now-q.updatedAt).Seconds(), 0)
	q.updatedAt = now
	if excess := q.used + requestCost[p] - burst; excess > 0 {
		return max(time.Duration(excess/share*float64(time.Second)), minWait)
	}
	q.used += requestCost[p]
	return 0
}
