package choice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// connTableSim simulates endpoints that each accept a limited number of connections, idle ones included, and refuse
// calls over any further connection. They have room for all calls that are made at a time.
type connTableSim struct {
	capacity  int
	idleUntil []map[int]time.Duration // by endpoint and node: when its idle connection is closed
	inUse     []int
}

// call starts a call of a node and returns its outcome.
func (t *connTableSim) call(endpoint, sender int, now time.Duration) AttemptEnded {
	idle := t.idleUntil[endpoint]
	until, kept := idle[sender]
	delete(idle, sender)
	if kept = kept && now < until; !kept {
		for i, end := range idle {
			if now >= end {
				delete(idle, i)
			}
		}
		if t.inUse[endpoint]+len(idle) >= t.capacity {
			return AttemptEnded{Outcome: Rejected}
		}
	}
	t.inUse[endpoint]++
	return AttemptEnded{Outcome: Success, ReusedConn: kept, MessageDone: true}
}

// The idle connections of a fleet fill the small connection tables of its endpoints. The fleet must notice that and
// close them, so that the messages that the connections suffice for are delivered.
func TestFleetClosesIdleConnsAtFullTable(t *testing.T) {
	const took, endpoints = 200 * ms, 6
	for _, c := range []struct{ senders, places int }{{20, 6}, {60, 12}, {300, 30}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			cfg := testSettings()
			cfg.FleetSize, cfg.WeightIsRate, cfg.IdleConnTimeout = c.senders, false, 5*time.Second
			var fleet []*scenario
			for i := range c.senders {
				cfg.Number = i
				w := newScenario(t, cfg, uint64(i+1))
				var entries []Entry
				for k := range endpoints {
					entries = append(entries, Entry{Endpoint: fmt.Sprint(k), Dest: k})
				}
				w.step(0, fullList(entries...))
				fleet = append(fleet, w)
			}
			table := &connTableSim{capacity: c.places, inUse: make([]int, endpoints)}
			for range endpoints {
				table.idleUntil = append(table.idleUntil, map[int]time.Duration{})
			}
			type due struct {
				at time.Duration
				to int
				e  AttemptEnded
			}
			out := make([][]due, c.senders)
			chance := rand.New(rand.NewPCG(1, 1))
			perSecond := 0.5 * endpoints * float64(c.places) / seconds(took)
			arrivalsDue, arrived, passed := 0.0, 0, 0
			const learn, span = 10 * time.Second, 20 * time.Second
			for now := time.Duration(0); now < learn+span; now += 20 * ms {
				arrivalsDue += perSecond * seconds(20*ms)
				for i, w := range fleet {
					events := []Event{WakeDue{Tag: "sweep"}}
					out[i] = slices.DeleteFunc(out[i], func(d due) bool {
						if d.at > now {
							return false
						}
						if events = append(events, d.e); d.e.Outcome == Success {
							table.inUse[d.to]--
							if table.idleUntil[d.to][i] = now + cfg.IdleConnTimeout; now >= learn {
								passed++
							}
						}
						return true
					})
					for ; arrivalsDue >= 1 && arrived%c.senders == i; arrivalsDue-- {
						arrived++
						events = append(events, w.newArrival(fmt.Sprint("m", arrived), 0, chance.IntN(endpoints)))
					}
					before := len(w.sends)
					w.step(20*ms, events...)
					for _, a := range w.sender.actions {
						if h, ok := a.(CloseIdle); ok {
							to, _ := strconv.Atoi(h.Endpoint)
							delete(table.idleUntil[to], i)
						}
					}
					for _, s := range w.sends[before:] {
						to, _ := strconv.Atoi(s.Endpoint)
						e := table.call(to, i, now)
						e.ID, e.Endpoint, e.Attempt, e.Took = s.ID, s.Endpoint, w.messages[s.ID].attempts-1, took
						if e.Outcome == Rejected {
							e.Took = 60 * ms
						}
						out[i] = append(out[i], due{now + e.Took, to, e})
					}
				}
			}
			possible := perSecond * seconds(span)
			t.Logf("%d of %.0f delivered", passed, possible)
			if float64(passed) < 0.8*possible {
				t.Errorf("%d of %.0f are delivered", passed, possible)
			}
		})
	}
}

// A rate limit refuses calls over new and over reused connections alike. Then connections must be kept, however many
// calls are refused.
func TestLimitRefusalsKeepConns(t *testing.T) {
	cfg := testSettings()
	cfg.IdleConnTimeout = 5 * time.Second
	w := newScenario(t, cfg, 1)
	w.step(0, oneEndpoint())
	for i := range 60 {
		id := fmt.Sprint("m", i)
		w.step(500*ms, w.newArrival(id, 0, 0))
		w.idle(500 * ms)
		if !slices.ContainsFunc(w.sortedInFlight(), func(a attempt) bool { return a.id == id }) {
			continue
		}
		e := w.outcome(id, Success, 0)
		if e.ReusedConn = i%2 == 0; i%4 < 2 {
			e.Outcome, e.MessageDone = Rejected, false
		}
		w.step(50*ms, e, MessageDropped{ID: id})
		if i >= 4 && slices.Contains(w.sender.actions, Action(CloseIdle{Endpoint: "a"})) {
			// In the first calls it cannot know yet how far apart they are.
			t.Fatalf("after %d calls the connection was closed", i+1)
		}
	}
}
