package turns

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
type storm struct {
	asks, busiest, told int
	last                time.Duration // the last member was served so long after the server came
	early               int           // members that came sooner than they were told
}

// play has a fleet start within a span while its server comes late. turned members keep their turns; others ask at once
// and then do as they are told.
func play(seed uint64, fleet int, span, late time.Duration, turned bool) (s storm) {
	rng := rand.New(rand.NewPCG(seed, 1))
	g := NewGate(testRate, 1)
	var q queue
	turns, held := make([]*Turn, fleet), make([]uint64, fleet)
	due := make([]time.Duration, fleet)
	for i := range fleet {
		turns[i] = NewTurn(fleet, i, rng)
		at := time.Duration(rng.Float64() * float64(span))
		if turned {
			at += turns[i].First()
		}
		heap.Push(&q, event{at, i})
	}
	var times []time.Duration
	for q.Len() > 0 {
		e := heap.Pop(&q).(event)
		if e.at < due[e.member] {
			s.early++
		}
		times = append(times, e.at)
		if e.at < late {
			heap.Push(&q, event{e.at + turns[e.member].Again(0), e.member})
			continue
		}
		ok, wait, turn := g.Ask(e.at, Whole, held[e.member])
		if ok {
			s.last = e.at - late
			continue
		}
		s.told++
		held[e.member] = turn
		d, _ := turns[e.member].Told(wait)
		due[e.member] = e.at + wait
		heap.Push(&q, event{e.at + d, e.member})
	}
	s.asks = len(times)
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
func TestAStartTakesTurns(t *testing.T) {
	for _, fleet := range []int{1, 10, 100, 200, 300, 1000, 3000, 10_000} {
		for _, late := range []time.Duration{0, 5 * time.Second, time.Minute} {
			t.Run(fmt.Sprintf("%d members, server after %v", fleet, late), func(t *testing.T) {
				for seed := range uint64(3) {
					s := play(seed, fleet, 500*time.Millisecond, late, true)
					bound := 500*time.Millisecond + 2*max(LeastCycle, time.Duration(fleet)*Spacing)*6/10
					if s.busiest > testRate || s.last > bound || s.early > 0 {
						t.Errorf("seed %d: %d asks in the busiest second, the last after %v of %v, %d told, %d early", seed, s.busiest, s.last, bound, s.told, s.early)
					}
					if seed == 0 {
						t.Logf("%d asks, %d in the busiest second, %d told, the last after %v", s.asks, s.busiest, s.told, s.last)
					}
				}
			})
		}
	}
}

// Members that know nothing of turns and all ask in the same moment are served at the rate all the same.
func TestTheGateAloneGivesEachATurn(t *testing.T) {
	for _, fleet := range []int{300, 3000, 10_000} {
		s := play(7, fleet, time.Millisecond, 0, false)
		ideal := time.Duration(float64(fleet) / testRate * float64(time.Second))
		t.Logf("%d members: %d asks, the last after %v, at best %v", fleet, s.asks, s.last, ideal)
		if s.last > ideal*11/10+300*time.Millisecond || s.asks > 3*fleet {
			t.Errorf("%d members: %d asks, the last after %v", fleet, s.asks, s.last)
		}
	}
}

// Whatever comes in whatever order, a gate serves no more whole lists than its rate and burst allow, gives no turn twice,
// tells nobody a wait without sense, and lets renewals in while others wait.
func TestTheGateHoldsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 1000).Draw(t, "rate")
		g := NewGate(rate, 1)
		now, served, out := time.Duration(0), 0.0, map[uint64]bool{}
		for range rapid.IntRange(1, 400).Draw(t, "asks") {
			now += time.Duration(rapid.Int64Range(0, int64(50*time.Millisecond)).Draw(t, "pause"))
			c := Class(rapid.IntRange(0, 2).Draw(t, "class"))
			held := uint64(rapid.IntRange(0, 60).Draw(t, "turn")) // also turns that were never given
			ok, wait, turn := g.Ask(now, c, held)
			switch {
			case ok:
				served += cost[c]
			case wait < leastWait || wait > time.Minute+time.Duration(400/rate*float64(time.Second)):
				t.Fatalf("told to wait %v", wait)
			case turn != 0 && turn != held && out[turn]:
				t.Fatalf("turn %d is given twice", turn)
			}
			out[turn] = true
			if most := rate*now.Seconds() + g.burst()*(1+borrowFrom) + 1; served > most {
				t.Fatalf("%v served after %v, and %v at most", served, now, most)
			}
		}
	})
}

// Renewals go before whole lists: in the middle of a storm they are let in.
func TestRenewalsGoFirst(t *testing.T) {
	g := NewGate(testRate, 1)
	refused := 0
	for i := range 2000 {
		now := time.Duration(i) * time.Millisecond
		for range 3 {
			g.Ask(now, Whole, 0)
		}
		if i%10 == 0 {
			if ok, _, _ := g.Ask(now, Renewal, 0); !ok {
				refused++
			}
		}
	}
	if refused > 0 {
		t.Errorf("%d of 200 renewals are told to wait", refused)
	}
}

// A turn that nobody takes does not stay for ever, and no more are kept than the bound.
func TestTurnsAreBounded(t *testing.T) {
	g := NewGate(1, 1)
	for range 2 * mostTurns {
		g.Ask(0, Whole, 0)
	}
	if g.Out() > mostTurns {
		t.Errorf("%d turns are out", g.Out())
	}
	g.Ask(100*time.Hour, Whole, 0)
	if g.Out() > 1 {
		t.Errorf("%d turns are out long after their time", g.Out())
	}
}

// What is told is heeded within its bounds, and what makes no sense is not.
func TestWhatIsToldIsHeeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		turn := NewTurn(rapid.IntRange(-5, 20_000).Draw(t, "fleet"), rapid.IntRange(-5, 20_000).Draw(t, "number"), rand.New(rand.NewPCG(1, 2)))
		wait := time.Duration(rapid.Int64().Draw(t, "wait"))
		d, ok := turn.Told(wait)
		if sense := wait > 0 && wait <= MostTold; ok != sense || sense && (d < wait || d > 2*wait) || d <= 0 || d > 2*max(MostTold, turn.Cycle()) {
			t.Fatalf("told %v, it waits %v, %v", wait, d, ok)
		}
		if first := turn.First(); first < 0 || first > turn.Cycle() {
			t.Fatalf("first after %v of %v", first, turn.Cycle())
		}
		if again := turn.Again(wait); again <= 0 || again > turn.Cycle()*3/2 {
			t.Fatalf("again after %v of %v", again, turn.Cycle())
		}
	})
}
