// Package turns lets hundreds come one after another: a Gate at a server that takes so many a second and tells the others
// when to come, and a Turn at each that comes. Both are stepped with explicit time, do no input or output, and may be
// played in virtual time. Neither is safe for use by several goroutines.
//
// The two hold one bound together. A fleet of N whose members keep their Turns makes at most 1/Spacing asks a second,
// whatever happened to all of them at once, and each of them asks again within N*Spacing. A Gate whose rate is above
// that serves nearly all of them at once; whoever it can't serve gets a turn of its own, no two the same, so that the
// last of N is served within N/Rate of the first ask, however many ask in one moment.
package admission

import (
	"time"
)

// Class is how urgent an ask is. Lower ones go before higher ones.
type Priority int

// The classes.
const (
	Renewal     Priority = iota // leases and registrations of instances: without them the list itself goes wrong
	PartialList                 // watchers that lack some changes
	FullList                    // watchers that need the whole list
	priorities
)

// cost is what an ask takes of the rate, next to a whole list.
var requestCost = [priorities]float64{Renewal: 0.1, PartialList: 0.25, FullList: 1}

// DefaultRate is what a server admits where it is told nothing: over a third more than a fleet that keeps its turns asks
// for.
const DefaultRate = 250

const (
	burstWindow         = 100 * time.Millisecond // of the rate may be taken at once
	minWait             = 20 * time.Millisecond  // that anybody is told
	maxReservations     = 1 << 14                // turns that are given out and not yet taken
	reservationTTL      = 10 * time.Second       // after it has come, a turn that nobody takes is given up
	renewalBorrowBursts = 2.0                    // bursts that the most urgent may take of what is promised to others
)

// Gate admits asks at a rate. The zero value admits everything.
type Limiter struct {
	rate            float64 // whole lists a second
	tokens          float64
	refilledAt      time.Duration
	promisedUntil   [priorities]time.Duration // until when turns of a class are given out
	reservations    map[uint64]time.Duration
	lastReservation uint64
	sweptAt         time.Duration
}

// NewGate makes a gate for so many whole lists a second; 0 or less admits everything. first is any number that an
// earlier process of the server does not give out, so that its turns are not taken for this one's.
func NewLimiter(rate float64, first uint64) *Limiter {
	l := &Limiter{rate: rate, reservations: map[uint64]time.Duration{}, lastReservation: first}
	l.tokens = l.burst()
	return l
}

func (l *Limiter) burst() float64 { return max(1, l.rate*burstWindow.Seconds()) }

// floor is how far an ask of a class may take the tokens down: the urgent ones go before what is promised to others.
func (l *Limiter) minTokens(p Priority) float64 {
	switch p {
	case Renewal:
		return -renewalBorrowBursts * l.burst()
	case PartialList:
		return -l.burst()
	}
	return 0
}

// Ask tells whether an ask may be served now. If not, wait is when to come, and turn what to say then: a number that no
// other ask was given, or 0 where too many have one. held is the turn that the ask says it has, 0 for none.
func (l *Limiter) Admit(now time.Duration, p Priority, presented uint64) (ok bool, wait time.Duration, reservation uint64) {
	if l == nil || l.rate <= 0 {
		return true, 0, 0
	}
	l.refill(now)
	dueAt, reserved := l.reservations[presented]
	queued := p == FullList && l.promisedUntil[FullList] > now // others have been promised what comes next
	if reserved && now >= dueAt {
		queued = false
	}
	if remaining := l.tokens - requestCost[p]; !queued && remaining >= l.minTokens(p)-1e-9 {
		l.tokens = remaining
		delete(l.reservations, presented)
		return true, 0, 0
	}
	if reserved && now < dueAt { // it comes too soon
		return false, max(dueAt-now, minWait), presented
	}
	delete(l.reservations, presented)
	admitAt := max(l.promisedUntil[p], now) + l.refillTime(requestCost[p])
	if !reserved { // the turns that are out hold the tokens to come; short of them, it takes that long to have one
		admitAt = max(admitAt, now+l.refillTime(l.minTokens(p)+requestCost[p]-l.tokens))
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

// span is how long so many tokens take to come.
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

// Out is how many turns are given out and not yet taken.
func (l *Limiter) Outstanding() int { return len(l.reservations) }
