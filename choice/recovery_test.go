package choice

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// overload is a window of OverloadDuration in which a recovering destination got more calls than it tolerates. It
// tolerates N calls, as the settings say for its capacity at that time, and 2*sqrt(N) + 2 more for chance.
type overload struct {
	calls, byAware int // byAware are the calls of nodes that had met the outage
	tolerated      float64
}

// violatesRule reports whether the overload breaks the rule: more than two thirds of the calls came from nodes that
// knew of the outage.
func (f overload) violatesRule() bool { return 3*f.byAware > 2*f.calls }

// overloadsAfterOutage simulates an outage and returns the overloads of the destination afterwards.
func overloadsAfterOutage(w *fleetSim, limit float64, restartsPerStep int) (overloads []overload) {
	load := 1.2 * limit
	w.run(8*time.Second, load)
	w.down = true
	clear(w.sawOutage)
	w.run(6*time.Second, load)
	outageEnd := w.now
	w.down, w.calls = false, nil
	for at, next := 0, 0; at < 20; at++ { // some nodes restart while it is cold, with their memory
		for range restartsPerStep {
			i := next % len(w.senders)
			next++
			memory := w.senders[i].Remember()
			w.start(i)
			w.step(i, MemoryRestored{Memory: memory, Age: 600 * ms})
		}
		w.run(w.cfg.WarmUpTime/20, load)
	}
	share := func(at time.Duration) float64 {
		return w.cfg.ColdCapacity + (1-w.cfg.ColdCapacity)*min(1, seconds(at-outageEnd)/seconds(w.cfg.WarmUpTime))
	}
	for i, first := range w.calls {
		expected := w.cfg.OverloadMultiple * limit * seconds(w.cfg.OverloadDuration) * (share(first.at) + share(first.at+w.cfg.OverloadDuration)) / 2
		o := overload{tolerated: expected + 2*math.Sqrt(expected) + 2}
		for _, c := range w.calls[i:] {
			if c.at < first.at+w.cfg.OverloadDuration {
				if o.calls++; w.sawOutage[c.sender] {
					o.byAware++
				}
			}
		}
		if float64(o.calls) > o.tolerated {
			overloads = append(overloads, o)
		}
	}
	return overloads
}

// checkRecoveryLoad runs overloadsAfterOutage and checks the rule.
func checkRecoveryLoad(t *testing.T, size int, limit float64, datagrams bool, lossRate float64, restartsPerStep int) {
	w := newFleetSim(t, size, datagrams)
	w.rng, w.lossRate, w.limit, w.weight = rand.New(rand.NewPCG(uint64(size), 7)), lossRate, limit, limit
	for i := range w.senders {
		w.start(i)
	}
	overloads := overloadsAfterOutage(w, limit, restartsPerStep)
	if len(overloads) > 0 {
		t.Logf("%d overloads, the first with %d calls, %d of them by nodes that knew of the outage, of %.0f tolerated", len(overloads), overloads[0].calls, overloads[0].byAware, overloads[0].tolerated)
		if overloads[0].violatesRule() { // a destination that has failed stays down, so only the first overload counts
			t.Error("over two thirds of the calls in an overload came from nodes that knew of the outage")
		}
	}
	if len(w.calls) == 0 || w.passed == 0 {
		t.Error("no call succeeds")
	}
}

// The calls of all nodes together must stay below what a recovering destination tolerates, whatever the size of the
// fleet: with or without datagrams, with half of them lost, and while nodes restart. The only exception is an overload
// of which at least a third comes from nodes that cannot know of the outage.
func TestFleetDoesNotOverloadRecoveringDestination(t *testing.T) {
	for _, size := range []int{1, 2, 9, 30, 300, 1024} {
		for _, limit := range []float64{5, 20, 100} {
			for name, c := range map[string]struct {
				tell    bool
				lose    float64
				restart int
			}{
				"no datagrams":           {},
				"no datagrams, restarts": {restart: max(size/20, 1)},
				"notes":                  {tell: true},
				"datagrams, restarts":    {tell: true, restart: max(size/20, 1)},
				"half of them lost":      {tell: true, lose: 0.5},
			} {
				if size > 300 && c.tell {
					continue // would take minutes, and the coordinators are as in smaller fleets
				}
				t.Run(fmt.Sprintf("%d nodes, limit %v, %s", size, limit, name), func(t *testing.T) {
					t.Parallel()
					checkRecoveryLoad(t, size, limit, c.tell, c.lose, c.restart)
				})
			}
		}
	}
}
