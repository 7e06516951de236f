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

// event is a request that is due.
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

// startOutcome describes how a start of a fleet went.
type startOutcome struct {
	requests, busiest, deferred int
	lastServed                  time.Duration // when the last member was served, since the server came up
	earlyRetries                int           // requests before the time that the limiter had given
}

// simulateStart has a fleet start within a time span while its server comes up late. Paced members use a Pacer; the
// others ask at once and then follow the limiter's answers.
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

// Whatever the size of the fleet and however late its server, the requests per second must stay below the server's
// rate, and the last member must be served within a time that follows from size and rate alone.
func TestPacedStartStaysUnderRate(t *testing.T) {
	for _, fleet := range []int{1, 10, 100, 200, 300, 1000, 3000, 10_000} {
		for _, late := range []time.Duration{0, 5 * time.Second, time.Minute} {
			t.Run(fmt.Sprintf("%d members, server after %v", fleet, late), func(t *testing.T) {
				for seed := range uint64(3) {
					s := simulateStart(seed, fleet, 500*time.Millisecond, late, true)
					bound := 500*time.Millisecond + 2*max(MinCycle, time.Duration(fleet)*RequestSpacing)*6/10
					if s.busiest > testRate || s.lastServed > bound || s.earlyRetries > 0 {
						t.Errorf("seed %d: %d requests in the busiest second, the last served after %v of %v, %d deferred, %d early", seed, s.busiest, s.lastServed, bound, s.deferred, s.earlyRetries)
					}
					if seed == 0 {
						t.Logf("%d requests, %d in the busiest second, %d deferred, the last served after %v", s.requests, s.busiest, s.deferred, s.lastServed)
					}
				}
			})
		}
	}
}

// Members without a Pacer that all ask at the same moment must still be served at the limiter's rate.
func TestLimiterServesUnpacedStartAtRate(t *testing.T) {
	for _, fleet := range []int{300, 3000, 10_000} {
		s := simulateStart(7, fleet, time.Millisecond, 0, false)
		ideal := time.Duration(float64(fleet) / testRate * float64(time.Second))
		t.Logf("%d members: %d requests, the last served after %v, at best %v", fleet, s.requests, s.lastServed, ideal)
		if s.lastServed > ideal*11/10+300*time.Millisecond || s.requests > 3*fleet {
			t.Errorf("%d members: %d requests, the last served after %v", fleet, s.requests, s.lastServed)
		}
	}
}

// Whatever requests come in whatever order, a limiter must not serve more than its rate and burst allow, must not
// give out a reservation twice, and must give every deferred request a sane wait.
func TestLimiterNeverExceedsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 1000).Draw(t, "rate")
		g := NewLimiter(rate, 1)
		now, served, issued := time.Duration(0), 0.0, map[uint64]bool{}
		for range rapid.IntRange(1, 400).Draw(t, "asks") {
			now += time.Duration(rapid.Int64Range(0, int64(50*time.Millisecond)).Draw(t, "pause"))
			p := Priority(rapid.IntRange(0, 2).Draw(t, "class"))
			presented := uint64(rapid.IntRange(0, 60).Draw(t, "turn")) // includes reservations that were never given out
			ok, wait, reservation := g.Admit(now, p, presented)
			switch {
			case ok:
				served += requestCost[p]
			case wait < minWait || wait > time.Minute+time.Duration(400/rate*float64(time.Second)):
				t.Fatalf("deferred by %v", wait)
			case reservation != 0 && reservation != presented && issued[reservation]:
				t.Fatalf("reservation %d is given out twice", reservation)
			}
			issued[reservation] = true
			if most := rate*now.Seconds() + g.burst()*(1+renewalBorrowBursts) + 1; served > most {
				t.Fatalf("%v served after %v, at most %v allowed", served, now, most)
			}
		}
	})
}

// Renewals go before full lists: they must be admitted in the middle of a storm of list requests.
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
		t.Errorf("%d of 200 renewals are deferred", refused)
	}
}

// A reservation that is not used must not stay forever, and the number of reservations must stay bounded.
func TestReservationsAreBounded(t *testing.T) {
	g := NewLimiter(1, 1)
	for range 2 * maxReservations {
		g.Admit(0, FullList, 0)
	}
	if g.Outstanding() > maxReservations {
		t.Errorf("%d reservations are outstanding", g.Outstanding())
	}
	g.Admit(100*time.Hour, FullList, 0)
	if g.Outstanding() > 1 {
		t.Errorf("%d reservations are outstanding long after their time", g.Outstanding())
	}
}

// A wait within its bounds must be obeyed, and one out of range must be replaced by the node's own cycle.
func TestPacerDelaysStayInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pacer := NewPacer(rapid.IntRange(-5, 20_000).Draw(t, "fleet"), rapid.IntRange(-5, 20_000).Draw(t, "number"), rand.New(rand.NewPCG(1, 2)))
		wait := time.Duration(rapid.Int64().Draw(t, "wait"))
		d, ok := pacer.RetryAfter(wait)
		if valid := wait > 0 && wait <= MaxRetryAfter; ok != valid || valid && (d < wait || d > 2*wait) || d <= 0 || d > 2*max(MaxRetryAfter, pacer.Cycle()) {
			t.Fatalf("RetryAfter(%v) is %v, %v", wait, d, ok)
		}
		if first := pacer.InitialDelay(); first < 0 || first > pacer.Cycle() {
			t.Fatalf("initial delay %v, cycle %v", first, pacer.Cycle())
		}
		if retry := pacer.RetryDelay(wait); retry <= 0 || retry > pacer.Cycle()*3/2 {
			t.Fatalf("retry delay %v, cycle %v", retry, pacer.Cycle())
		}
	})
}
