package choice

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fall is a span in which a partner that is back cold got more calls than it bears: N in a span of Fall, N being what the
// settings allow it then, and 2 x root of N + 2 by chance.
type overload struct {
	calls, byAware int // knowing are those of senders that had met the outage
	tolerated      float64
}

// broken tells that the fall breaks the rule: over two thirds of it came from who knew.
func (f overload) violatesRule() bool { return 3*f.byAware > 2*f.calls }

// coldSum plays an outage, and returns the falls of the partner after its return.
func overloadsAfterOutage(w *fleetSim, limit float64, restartsPerStep int) (overloads []overload) {
	load := 1.2 * limit
	w.run(8*time.Second, load)
	w.down = true
	clear(w.sawOutage)
	w.run(6*time.Second, load)
	back := w.now
	w.down, w.calls = false, nil
	for at, next := 0, 0; at < 20; at++ { // some begin anew while it is cold, with what they remember
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
		return w.cfg.ColdCapacity + (1-w.cfg.ColdCapacity)*min(1, seconds(at-back)/seconds(w.cfg.WarmUpTime))
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

// sparesACold plays coldSum and holds it to the rule.
func checkRecoveryLoad(t *testing.T, size int, limit float64, datagrams bool, lossRate float64, restartsPerStep int) {
	w := newFleetSim(t, size, datagrams)
	w.rng, w.lossRate, w.limit, w.weight = rand.New(rand.NewPCG(uint64(size), 7)), lossRate, limit, limit
	for i := range w.senders {
		w.start(i)
	}
	overloads := overloadsAfterOutage(w, limit, restartsPerStep)
	if len(overloads) > 0 {
		t.Logf("%d spans over what is borne, the first with %d calls, %d of them by who knew, of %.0f", len(overloads), overloads[0].calls, overloads[0].byAware, overloads[0].tolerated)
		if overloads[0].violatesRule() { // what has fallen stays down: only the first counts
			t.Error("over two thirds of a fall came from senders that knew of the outage")
		}
	}
	if len(w.calls) == 0 || w.passed == 0 {
		t.Error("nothing passes")
	}
}

// What all senders together send a partner that is back cold stays under what it bears, whatever the fleet's size, with or
// without notes, with half of them lost, and while senders begin anew; or else a third of it and more comes from senders
// that can't know of the outage.
func TestFleetDoesNotOverloadRecoveringDestination(t *testing.T) {
	for _, size := range []int{1, 2, 9, 30, 300, 1024} {
		for _, limit := range []float64{5, 20, 100} {
			for name, c := range map[string]struct {
				tell    bool
				lose    float64
				restart int
			}{
				"no notes":           {},
				"no notes, restarts": {restart: max(size/20, 1)},
				"notes":              {tell: true},
				"notes, restarts":    {tell: true, restart: max(size/20, 1)},
				"half of them lost":  {tell: true, lose: 0.5},
			} {
				if size > 300 && c.tell {
					continue // minutes, and the same keepers
				}
				t.Run(fmt.Sprintf("%d senders, limit %v, %s", size, limit, name), func(t *testing.T) {
					t.Parallel()
					checkRecoveryLoad(t, size, limit, c.tell, c.lose, c.restart)
				})
			}
		}
	}
}
