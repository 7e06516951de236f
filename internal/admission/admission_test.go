package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testRate = DefaultRate

// event is an ask that is due.
type event struct {
	at     time.Duration
	member int
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// storm is what came of a start.
type startOutcome struct {
	requests, busiest, deferred int
	lastServed                  time.Duration // the last member was served so long after the server came
	earlyRetries                int           // members that came sooner than they were told
}

// play has a fleet start within a span while its server comes late. turned members keep their turns; others ask at once
// and then do as they are told.
func simulateStart(seed uint64, fleet int, startSpread, serverDelay time.Duration, paced bool) (s startOutcome) {
	rng := rand.New(rand.NewPCG(seed, 1))
	g := NewLimiter(testRate, 1)
	var q queue
	pacers, reservations := make([]*Pacer, fleet), make([]uint64, fleet)
	notBefore := make([]time.Duration, fleet)
	for i := range fleet {
		pacers[i] = NewPacer(fleet, i, rng)
		at := time.Duration(rng.Float64() * float64(startSpread))
		if paced {
			at += pacers[i].InitialDelay()
		}
		heap.Push(&q, event{at, i})
	}
	var times []time.Duration
	for q.Len() > 0 {
		e := heap.Pop(&q).(event)
		if e.at < notBefore[e.member] {
			s.earlyRetries++
		}
		times = append(times, e.at)
		if e.at < serverDelay {
			heap.Push(&q, event{e.at + pacers[e.member].RetryDelay(0), e.member})
			continue
		}
		ok, wait, reservation := g.Admit(e.at, FullList, reservations[e.member])
		if ok {
			s.lastServed = e.at - serverDelay
			continue
		}
		s.deferred++
		reservations[e.member] = reservation
		d, _ := pacers[e.member].RetryAfter(wait)
		notBefore[e.member] = e.at + wait
		heap.Push(&q, event{e.at + d, e.member})
	}
	s.requests = len(times)
	for i, from := 0, 0; i < len(times); i++ {
		for times[i]-times[from] >= time.Second {
			from++
		}
		s.busiest = max(s.busiest, i-from+1)
	}
	return s
}

// Whatever the size of a fleet, and however late its server, the asks of a second stay under the server's rate, and the
// last member is served after a time that follows from size and rate alone.
func TestPacedStartStaysUnderRate(t *testing.T) {
	for _, fleet := range []int{1, 10, 100, 200, 300, 1000, 3000, 10_000} {
		for _, late := range []time.Duration{0, 5 * time.Second, time.Minute} {
			t.Run(fmt.Sprintf("%d members, server after %v", fleet, late), func(t *testing.T) {
				for seed := range uint64(3) {
					s := simulateStart(seed, fleet, 500*time.Millisecond, late, true)
					bound := 500*time.Millisecond + 2*max(MinCycle, time.Duration(fleet)*RequestSpacing)*6/10
					if s.busiest > testRate || s.lastServed > bound || s.earlyRetries > 0 {
						t.Errorf("seed %d: %d asks in the busiest second, the last after %v of %v, %d told, %d early", seed, s.busiest, s.lastServed, bound, s.deferred, s.earlyRetries)
					}
					if seed == 0 {
						t.Logf("%d asks, %d in the busiest second, %d told, the last after %v", s.requests, s.busiest, s.deferred, s.lastServed)
					}
				}
			})
		}
	}
}

// Members that know nothing of turns and all ask in the same moment are served at the rate all the same.
func TestLimiterServesUnpacedStartAtRate(t *testing.T) {
	for _, fleet := range []int{300, 3000, 10_000} {
		s := simulateStart(7, fleet, time.Millisecond, 0, false)
		ideal := time.Duration(float64(fleet) / testRate * float64(time.Second))
		t.Logf("%d members: %d asks, the last after %v, at best %v", fleet, s.requests, s.lastServed, ideal)
		if s.lastServed > ideal*11/10+300*time.Millisecond || s.requests > 3*fleet {
			t.Errorf("%d members: %d asks, the last after %v", fleet, s.requests, s.lastServed)
		}
	}
}

// Whatever comes in whatever order, a gate serves no more whole lists than its rate and burst allow, gives no turn twice,
// tells nobody a wait without sense, and lets renewals in while others wait.
func TestLimiterNeverExceedsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 1000).Draw(t, "rate")
		g := NewLimiter(rate, 1)
		now, served, out := time.Duration(0), 0.0, map[uint64]bool{}
		for range rapid.IntRange(1, 400).Draw(t, "asks") {
			now += time.Duration(rapid.Int64Range(0, int64(50*time.Millisecond)).Draw(t, "pause"))
			c := Priority(rapid.IntRange(0, 2).Draw(t, "class"))
			held := uint64(rapid.IntRange(0, 60).Draw(t, "turn")) // also turns that were never given
			ok, wait, turn := g.Admit(now, c, held)
			switch {
			case ok:
				served += requestCost[c]
			case wait < minWait || wait > time.Minute+time.Duration(400/rate*float64(time.Second)):
				t.Fatalf("told to wait %v", wait)
			case turn != 0 && turn != held && out[turn]:
				t.Fatalf("turn %d is given twice", turn)
			}
			out[turn] = true
			if most := rate*now.Seconds() + g.burst()*(1+renewalBorrowBursts) + 1; served > most {
				t.Fatalf("%v served after %v, and %v at most", served, now, most)
			}
		}
	})
}

// Renewals go before whole lists: in the middle of a storm they are let in.
func TestRenewalsAreAdmittedUnderLoad(t *testing.T) {
	g := NewLimiter(testRate, 1)
	refused := 0
	for i := range 2000 {
		now := time.Duration(i) * time.Millisecond
		for range 3 {
			g.Admit(now, FullList, 0)
		}
		if i%10 == 0 {
			if ok, _, _ := g.Admit(now, Renewal, 0); !ok {
				refused++
			}
		}
	}
	if refused > 0 {
		t.Errorf("%d of 200 renewals are told to wait", refused)
	}
}

// A turn that nobody takes does not stay for ever, and no more are kept than the bound.
func TestReservationsAreBounded(t *testing.T) {
	g := NewLimiter(1, 1)
	for range 2 * maxReservations {
		g.Admit(0, FullList, 0)
	}
	if g.Outstanding() > maxReservations {
		t.Errorf("%d turns are out", g.Outstanding())
	}
	g.Admit(100*time.Hour, FullList, 0)
	if g.Outstanding() > 1 {
		t.Errorf("%d turns are out long after their time", g.Outstanding())
	}
}

// What is told is heeded within its bounds, and what makes no sense is not.
func TestPacerDelaysStayInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		turn := NewPacer(rapid.IntRange(-5, 20_000).Draw(t, "fleet"), rapid.IntRange(-5, 20_000).Draw(t, "number"), rand.New(rand.NewPCG(1, 2)))
		wait := time.Duration(rapid.Int64().Draw(t, "wait"))
		d, ok := turn.RetryAfter(wait)
		if sense := wait > 0 && wait <= MaxRetryAfter; ok != sense || sense && (d < wait || d > 2*wait) || d <= 0 || d > 2*max(MaxRetryAfter, turn.Cycle()) {
			t.Fatalf("told %v, it waits %v, %v", wait, d, ok)
		}
		if first := turn.InitialDelay(); first < 0 || first > turn.Cycle() {
			t.Fatalf("first after %v of %v", first, turn.Cycle())
		}
		if again := turn.RetryDelay(wait); again <= 0 || again > turn.Cycle()*3/2 {
			t.Fatalf("again after %v of %v", again, turn.Cycle())
		}
	})
}
