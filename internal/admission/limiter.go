// Package admission spreads the requests of hundreds of nodes over time. A Limiter at a server admits a number of
// requests per second and tells the others when to retry; a Pacer at each node decides when that node asks. Both take
// the time as an argument and do no I/O, so that they can be simulated. Neither is safe for concurrent use.
//
// Together they keep one bound. A fleet of N nodes that use Pacers makes at most 1/RequestSpacing requests per
// second, whatever happened to all of them at once, and each node asks again within N*RequestSpacing. A Limiter with
// a higher rate admits nearly all of these at once. Each node that it defers gets a reservation of its own, no two
// for the same moment, so that the last of N is served within N/rate of the first request, even if all ask at the
// same moment.
package admission

import (
	"time"
)

// Priority is the priority of a request. Lower values go first.
type Priority int

// The priorities.
const (
	Renewal     Priority = iota // lease renewals and registrations of instances: without them the list is wrong
	PartialList                 // watchers that miss some changes
	FullList                    // watchers that need the full list
	priorities
)

// requestCost is what a request takes from the rate, relative to a full list.
var requestCost = [priorities]float64{Renewal: 0.1, PartialList: 0.25, FullList: 1}

// DefaultRate is the default of a server's rate, in full lists per second: over a third more than a fleet that uses
// Pacers asks for.
const DefaultRate = 250

const (
	burstWindow         = 100 * time.Millisecond // the burst is what the rate yields in this time
	minWait             = 20 * time.Millisecond  // shortest wait given to a client
	maxReservations     = 1 << 14                // reservations that are outstanding at once
	reservationTTL      = 10 * time.Second       // a reservation that is not used is dropped this long after its time
	renewalBorrowBursts = 2.0                    // bursts that renewals may take from the tokens reserved for others
)

// Limiter admits requests at a rate, as a token bucket with reservations. The zero value admits everything.
type Limiter struct {
	rate            float64 // tokens per second; a full list costs one
	tokens          float64
	refilledAt      time.Duration
	promisedUntil   [priorities]time.Duration // per priority, the latest time given to a deferred request
	reservations    map[uint64]time.Duration
	lastReservation uint64
	sweptAt         time.Duration
}

// NewLimiter returns a limiter with the given rate, in full lists per second; 0 or less admits everything. Reservations
// are numbered from first+1. An earlier process of the server must not have given out the same numbers, or its
// reservations would be mistaken for this one's.
func NewLimiter(rate float64, first uint64) *Limiter {
	l := &Limiter{rate: rate, reservations: map[uint64]time.Duration{}, lastReservation: first}
	l.tokens = l.burst()
	return l
}

func (l *Limiter) burst() float64 { return max(1, l.rate*burstWindow.Seconds()) }

// minTokens returns how far a request may take the tokens down. Urgent requests may take tokens that are reserved for
// others.
func (l *Limiter) minTokens(p Priority) float64 {
	switch p {
	case Renewal:
		return -renewalBorrowBursts * l.burst()
	case PartialList:
		return -l.burst()
	}
	return 0
}

// Admit reports whether a request may be served now. If not, wait is the time until the client may retry, and
// reservation is the number to present then: it is unique, or 0 if too many reservations are outstanding or the
// priority gets none. presented is the reservation that the request carries, 0 for none.
func (l *Limiter) Admit(now time.Duration, p Priority, presented uint64) (ok bool, wait time.Duration, reservation uint64) {
	if l == nil || l.rate <= 0 {
		return true, 0, 0
	}
	l.refill(now)
	dueAt, reserved := l.reservations[presented]
	queued := p == FullList && l.promisedUntil[FullList] > now // earlier requests hold reservations for the next tokens
	if reserved && now >= dueAt {
		queued = false
	}
	if remaining := l.tokens - requestCost[p]; !queued && remaining >= l.minTokens(p)-1e-9 {
		l.tokens = remaining
		delete(l.reservations, presented)
		return true, 0, 0
	}
	if reserved && now < dueAt { // too early
		return false, max(dueAt-now, minWait), presented
	}
	delete(l.reservations, presented)
	admitAt := max(l.promisedUntil[p], now) + l.refillTime(requestCost[p])
	if !reserved { // outstanding reservations hold the next tokens; wait for later ones
		admitAt = max(admitAt, now+l.refillTime(l.minTokens(p)+requestCost[p]-l.tokens))
		if latest := now + l.refillTime(maxReservations); admitAt > latest { // more than all clients together can have
			admitAt = latest
		}
		l.promisedUntil[p] = admitAt
	} else {
		admitAt = now + l.refillTime(l.minTokens(p)+requestCost[p]-l.tokens)
	}
	admitAt = max(admitAt, now+minWait)
	if p != FullList || len(l.reservations) >= maxReservations {
		return false, admitAt - now, 0
	}
	l.lastReservation++
	l.reservations[l.lastReservation] = admitAt
	return false, admitAt - now, l.lastReservation
}

// refillTime returns how long it takes until the given number of tokens has accrued.
func (l *Limiter) refillTime(tokens float64) time.Duration {
	return time.Duration(max(tokens, 0) / l.rate * float64(time.Second))
}

func (l *Limiter) refill(now time.Duration) {
	l.tokens = min(l.tokens+l.rate*(now-l.refilledAt).Seconds(), l.burst())
	l.refilledAt = now
	if now-l.sweptAt < reservationTTL {
		return
	}
	l.sweptAt = now
	for reservation, due := range l.reservations {
		if now-due > reservationTTL {
			delete(l.reservations, reservation)
		}
	}
}

// Outstanding returns the number of reservations that have not been used yet.
func (l *Limiter) Outstanding() int { return len(l.reservations) }
