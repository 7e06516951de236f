package choice

import (
	"fmt"
	"testing"
	"time"
)

// Nodes that cannot exchange datagrams call a destination that does not report its limit and counts refused calls
// against it. They must find the limit: most of it must be used, and few calls may be refused.
func TestUncoordinatedSendersEstimateLimit(t *testing.T) {
	for _, c := range []struct {
		fleet int
		limit int // calls in each second, from all nodes
		load  float64
	}{{1, 3, 0.8}, {1, 3, 1.5}, {6, 6, 0.8}, {6, 6, 1.2}, {6, 6, 2}, {30, 20, 1.3}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			cfg := testSettings()
			cfg.FleetSize, cfg.WeightIsRate = c.fleet, false
			var fleet []*scenario
			for i := range c.fleet {
				cfg.Number = i
				w := newScenario(t, cfg, uint64(i+1))
				w.step(0, fullList(Entry{Endpoint: "a", Dest: 0}))
				fleet = append(fleet, w)
			}
			calls, passed, window, taken, arrivalsDue := 0, 0, time.Duration(0), 0, 0.0
			due := make([]map[string]Outcome, c.fleet) // outcomes for the next step
			const span = 60 * time.Second
			for now := time.Duration(0); now < span; now += 20 * ms {
				if now-window >= time.Second {
					window, taken = now, 0
				}
				arrivalsDue += c.load * float64(c.limit) * seconds(20*ms)
				for i, w := range fleet {
					events := []Event{WakeDue{Tag: "sweep"}}
					for _, a := range w.sortedInFlight() {
						if o, heard := due[i][a.id]; heard {
							events = append(events, w.outcome(a.id, o, 0))
						}
					}
					if arrivalsDue >= 1 && int(now/(20*ms))%c.fleet == i {
						for ; arrivalsDue >= 1; arrivalsDue-- {
							events = append(events, w.newArrival(fmt.Sprint(now, arrivalsDue), 0, 0))
						}
					}
					before := len(w.sends)
					w.step(20*ms, events...)
					due[i] = map[string]Outcome{}
					for _, s := range w.sends[before:] {
						if calls++; taken < c.limit {
							due[i][s.ID] = Success
							passed++
						} else {
							due[i][s.ID] = Rejected
						}
						taken++ // refused calls count against the limit as well
					}
				}
			}
			possible := min(c.load, 1) * float64(c.limit) * seconds(span)
			t.Logf("%d calls, %d passed of %.0f that could", calls, passed, possible)
			if float64(passed) < 0.75*possible || calls-passed > calls/5 {
				t.Errorf("%d of %.0f are delivered, by %d calls", passed, possible, calls)
			}
		})
	}
}
