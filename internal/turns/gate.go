// Package turns lets hundreds come one after another: a Gate at a server that takes so many a second and tells the others
// when to come, and a Turn at each that comes. Both are stepped with explicit time, do no input or output, and may be
// played in virtual time. Neither is safe for use by several goroutines.
//
// The two hold one bound together. A fleet of N whose members keep their Turns makes at most 1/Spacing asks a second,
// whatever happened to all of them at once, and each of them asks again within N*Spacing. A Gate whose rate is above
// that serves nearly all of them at once; whoever it can't serve gets a turn of its own, no two the same, so that the
// last of N is served within N/Rate of the first ask, however many ask in one moment.
package turns

import (
	"time"
)

// Class is how urgent an ask is. Lower ones go before higher ones.
type Class int

// The classes.
const (
	Renewal Class = iota // leases and registrations of instances: without them the list itself goes wrong
	Recent               // watchers that lack some changes
	Whole                // watchers that need the whole list
	classes
)

// cost is what an ask takes of the rate, next to a whole list.
var cost = [classes]float64{Renewal: 0.1, Recent: 0.25, Whole: 1}

// DefaultRate is what a server admits where it is told nothing: over a third more than a fleet that keeps its turns asks
// for.
const DefaultRate = 250

const (
	burstSpan  = 100 * time.Millisecond // of the rate may be taken at once
	leastWait  = 20 * time.Millisecond  // that anybody is told
	mostTurns  = 1 << 14                // turns that are given out and not yet taken
	turnLasts  = 10 * time.Second       // after it has come, a turn that nobody takes is given up
	borrowFrom = 2.0                    // bursts that the most urgent may take of what is promised to others
)

// Gate admits asks at a rate. The zero value admits everything.
type Gate struct {
	rate   float64 // whole lists a second
	tokens float64
	at     time.Duration
	next   [classes]time.Duration // until when turns of a class are given out
	turns  map[uint64]time.Duration
	number uint64
	swept  time.Duration
}

// NewGate makes a gate for so many whole lists a second; 0 or less admits everything. first is any number that an
// earlier process of the server does not give out, so that its turns are not taken for this one's.
func NewGate(rate float64, first uint64) *Gate {
	g := &Gate{rate: rate, turns: map[uint64]time.Duration{}, number: first}
	g.tokens = g.burst()
	return g
}

func (g *Gate) burst() float64 { return max(1, g.rate*burstSpan.Seconds()) }

// floor is how far an ask of a class may take the tokens down: the urgent ones go before what is promised to others.
func (g *Gate) floor(c Class) float64 {
	switch c {
	case Renewal:
		return -borrowFrom * g.burst()
	case Recent:
		return -g.burst()
	}
	return 0
}

// Ask tells whether an ask may be served now. If not, wait is when to come, and turn what to say then: a number that no
// other ask was given, or 0 where too many have one. held is the turn that the ask says it has, 0 for none.
func (g *Gate) Ask(now time.Duration, c Class, held uint64) (ok bool, wait time.Duration, turn uint64) {
	if g == nil || g.rate <= 0 {
		return true, 0, 0
	}
	g.refill(now)
	due, mine := g.turns[held]
	queued := c == Whole && g.next[Whole] > now // others have been promised what comes next
	if mine && now >= due {
		queued = false
	}
	if left := g.tokens - cost[c]; !queued && left >= g.floor(c)-1e-9 {
		g.tokens = left
		delete(g.turns, held)
		return true, 0, 0
	}
	if mine && now < due { // it comes too soon
		return false, max(due-now, leastWait), held
	}
	delete(g.turns, held)
	at := max(g.next[c], now) + g.span(cost[c])
	if !mine { // the turns that are out hold the tokens to come; short of them, it takes that long to have one
		at = max(at, now+g.span(g.floor(c)+cost[c]-g.tokens))
		g.next[c] = at
	} else {
		at = now + g.span(g.floor(c)+cost[c]-g.tokens)
	}
	at = max(at, now+leastWait)
	if c != Whole || len(g.turns) >= mostTurns {
		return false, at - now, 0
	}
	g.number++
	g.turns[g.number] = at
	return false, at - now, g.number
}

// span is how long so many tokens take to come.
func (g *Gate) span(tokens float64) time.Duration {
	return time.Duration(max(tokens, 0) / g.rate * float64(time.Second))
}

func (g *Gate) refill(now time.Duration) {
	g.tokens = min(g.tokens+g.rate*(now-g.at).Seconds(), g.burst())
	g.at = now
	if now-g.swept < turnLasts {
		return
	}
	g.swept = now
	for n, due := range g.turns {
		if now-due > turnLasts {
			delete(g.turns, n)
		}
	}
}

// Out is how many turns are given out and not yet taken.
func (g *Gate) Out() int { return len(g.turns) }
