package fairqueue

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// A flow that has paused gets the next turn, however many flows always want one, and those share the time evenly.
func TestPausedFlowIsNextAndBusyOnesShareEvenly(t *testing.T) {
	const busyFlows, used, rounds = 100, 100 * time.Microsecond, 2000
	c := newCore(1, 1, time.Hour)
	busy := make([]turn, busyFlows)
	index := map[*turn]int{}
	for i := range busy {
		index[&busy[i]] = i
		c.request(&busy[i])
	}
	got := make([]time.Duration, busyFlows)
	var paused turn
	for round := range rounds {
		if round >= busyFlows && round%(2*busyFlows) == 0 {
			c.request(&paused)
			if next, _ := c.next(0); next != &paused {
				t.Fatalf("round %d: the flow that paused is not next", round)
			}
			c.finish(&paused, used)
		}
		next, _ := c.next(0)
		cost := used
		if index[next] == 0 {
			cost = 3 * used // its turns are longer, so it gets fewer
		}
		got[index[next]] += cost
		c.finish(next, cost)
		c.request(next)
	}
	for i, g := range got {
		if fair := rounds * used / busyFlows; g < fair-4*used || g > fair+4*used {
			t.Errorf("flow %d got %v, want about %v", i, g, fair)
		}
	}
}

// A burst of new flows, each of which wants one turn, does not starve a flow that was there before.
func TestNewFlowsDoNotStarveAnOldOne(t *testing.T) {
	c := newCore(1, 1, time.Hour)
	var old turn
	c.request(&old)
	next, _ := c.next(0)
	c.finish(next, time.Millisecond)
	c.request(&old)
	for range 100 {
		fresh := new(turn)
		c.request(fresh)
		next, _ := c.next(0)
		c.finish(next, 100*time.Microsecond)
		if next == &old {
			return
		}
	}
	t.Error("100 new flows came before the old one")
}

// All turns together use at most the given share of the time, after the burst.
func TestShareIsBounded(t *testing.T) {
	c := newCore(1, 0.5, 4*time.Millisecond)
	var flow turn
	c.request(&flow)
	now, used := time.Duration(0), time.Duration(0)
	for now < time.Second {
		next, wait := c.next(now)
		if next == nil {
			now += wait
			continue
		}
		now, used = now+100*time.Microsecond, used+100*time.Microsecond
		c.finish(next, 100*time.Microsecond)
		c.request(next)
	}
	if most := 505 * time.Millisecond; used > most || used < 450*time.Millisecond {
		t.Errorf("the turns used %v of 1 s, want nearly half and at most %v", used, most)
	}
}

// Flows of many goroutines never hold more turns at once than there are processors, and each flow gets its turns.
func TestTurnsAreExclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(2)
		var mu sync.Mutex
		held, most := 0, 0
		count := func(change int) {
			mu.Lock()
			defer mu.Unlock()
			held += change
			most = max(most, held)
		}
		var flows sync.WaitGroup
		for range 20 {
			flows.Go(func() {
				f := s.NewFlow()
				for range 50 {
					f.Begin()
					f.Begin() // does nothing
					count(1)
					time.Sleep(time.Millisecond)
					count(-1)
					f.End()
					f.End() // does nothing
				}
				f.Spend(time.Microsecond)
			})
		}
		flows.Wait()
		if most != 2 {
			t.Errorf("%d turns were held at once, want 2", most)
		}
	})
}
