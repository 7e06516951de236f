package choice

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func oneEndpoint() ListUpdate { return fullList(Entry{Endpoint: "a", Dest: 0, Weight: 10}) }

func TestGateHysteresis(t *testing.T) {
	for _, c := range []struct {
		name     string
		deadline float64
		baseline float64
		currents []float64
		open     []bool
	}{
		{"ratio bounds", 0, 0.1, []float64{1, 7.9, 8.1, 7, 6.1, 5.9, 7.9}, []bool{true, true, false, false, false, true, true}},
		{"deadline bounds", 12, 1, []float64{5, 6.1, 5, 4.1, 3.9, 5.9}, []bool{true, false, false, false, true, true}},
		{"the lower of both acts", 100, 0.1, []float64{8.1, 5.9}, []bool{false, true}},
	} {
		g := gate{sampled: true, baseline: c.baseline}
		for i, cur := range c.currents {
			if got := g.accepts(cur, c.deadline); got != c.open[i] {
				t.Errorf("%s: step %d, current %v: open is %v", c.name, i, cur, got)
			}
		}
	}
	if fresh := (gate{}); !fresh.accepts(0, 10) {
		t.Error("a new gate must be open")
	}
}

func TestBaselineIsLowestAverageAndRises(t *testing.T) {
	var g gate
	now := time.Hour
	for range 20 {
		now += 100 * ms
		g.sample(now, 0.2)
	}
	for range 50 {
		now += 100 * ms
		g.sample(now, 5)
	}
	if g.baseline > 0.25 || g.average < 4 {
		t.Fatalf("baseline %v, average %v", g.baseline, g.average)
	}
	before := g.baseline
	for range 600 {
		now += time.Second
		g.sample(now, 5)
	}
	if g.baseline <= before*2 || g.baseline > g.average {
		t.Errorf("after ten minutes of slower responses the baseline is %v, was %v", g.baseline, before)
	}
}

func TestShutGateRefusesButAdmitsTrials(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, oneEndpoint())
	g := &w.sender.destinations[0].gate
	*g = gate{sampled: true, baseline: 0.1, average: 9, sampledAt: w.now}
	w.step(5*ms, w.newArrival("trial", 0, 0))
	if len(w.sends) != 1 || len(w.refusals) != 0 {
		t.Fatalf("a shut gate must admit one trial if nothing is waiting: %v", w.log)
	}
	w.step(5*ms, w.newArrival("next", 0, 0))
	if len(w.refusals) != 1 || w.refusals[0].ID != "next" || w.refusals[0].RetryAfter <= 0 {
		t.Fatalf("a shut gate must refuse with a RetryAfter: %v", w.log)
	}
	for i := range 30 {
		w.idle(600 * ms)
		if len(w.inFlight) > 0 {
			id := w.sortedInFlight()[0].id
			w.step(5*ms, w.outcome(id, Success, 0))
		}
		w.step(5*ms, w.newArrival(fmt.Sprint("t", i), 0, 0))
	}
	if g.shut {
		t.Errorf("fast trials must open the gate; average %v", g.average)
	}
	w.drainAll()
}

func TestFastFailuresDoNotLowerAverage(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, oneEndpoint())
	for i := range 5 {
		id := fmt.Sprint("m", i)
		w.step(200*ms, w.newArrival(id, 0, 0))
		w.step(20*ms, w.outcome(id, Success, 0))
	}
	was := w.sender.destinations[0].gate.average
	w.step(5*ms, w.newArrival("x", 2, 0))
	w.step(5*ms, w.outcome("x", ServerError, 0)) // a fast error
	if now := w.sender.destinations[0].gate.average; now < was+0.2*smoothingFactor {
		t.Errorf("a fast error moved the average from %v to %v", was, now)
	}
	w.drainAll()
}

// During a pause nothing may be sent, messages must still get their final answers in time, and after the pause the
// waiting messages must be sent.
func TestNothingIsSentWhilePaused(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, oneEndpoint())
	w.step(5*ms, w.newArrival("before", 0, 0))
	w.step(5*ms, SendsPaused{On: true}, w.newArrival("in it", 0, 0))
	w.idle(time.Second)
	if len(w.sends) != 1 {
		t.Fatalf("%d calls after a pause began, want 1: %v", len(w.sends), w.log)
	}
	w.step(5*ms, SendsPaused{})
	if len(w.sends) != 2 {
		t.Errorf("%d calls after the pause, want 2: %v", len(w.sends), w.log)
	}
	w.step(5*ms, SendsPaused{On: true}, w.newArrival("late", 0, 0))
	w.drainAll() // fails if a message has no final answer in time
}

func TestEveryMessageEnds(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, w.newArrival("nowhere", 0, 9)) // unknown destination, and no list yet
	w.step(5*ms, oneEndpoint(), w.newArrival("gone", 1, 0))
	w.step(5*ms, fullList(), w.outcome("gone", ConnectFailed, 0)) // its endpoint is removed
	w.step(5*ms, oneEndpoint(), w.newArrival("slow", 2, 0))
	w.drainAll()
	if !slices.ContainsFunc(w.refusals, func(b Refuse) bool { return b.ID == "nowhere" }) {
		t.Error("a message that never ran must be refused, not failed")
	}
}

func TestEffectLimitsRepeats(t *testing.T) {
	t.Run("at-most-once fails after an unclear outcome", func(t *testing.T) {
		w := newScenario(t, testSettings(), 1)
		w.step(0, oneEndpoint(), w.newArrival("u", 2, 0))
		w.step(5*ms, w.outcome("u", ConnReset, 0))
		if len(w.failures) != 1 {
			t.Fatal(w.log)
		}
	})
	t.Run("at-most-once is retried if nothing ran", func(t *testing.T) {
		w := newScenario(t, testSettings(), 1)
		w.step(0, oneEndpoint(), w.newArrival("u", 2, 0))
		w.step(5*ms, w.outcome("u", Rejected, 0))
		w.idle(time.Second)
		if len(w.sends) != 2 {
			t.Fatal(w.log)
		}
		w.drainAll()
	})
	t.Run("deduplicated is refused before its window ends", func(t *testing.T) {
		w := newScenario(t, testSettings(), 1)
		w.step(0, oneEndpoint(), w.newArrival("k", 1, 0))
		w.step(5*ms, w.outcome("k", TimedOut, 0), fullList())
		w.idle(5 * time.Second)
		if len(w.refusals) != 1 {
			t.Fatal(w.log)
		}
	})
	t.Run("deduplicated in one zone stays in it", func(t *testing.T) {
		cfg := testSettings()
		cfg.Classes[1].AllEndpointsDeduplicate = false
		w := newScenario(t, cfg, 1)
		w.step(0, oneEndpoint(), w.newArrival("k", 1, 0))
		other := fullList(Entry{Endpoint: "b", Zone: 1, Weight: 10})
		w.step(5*ms, w.outcome("k", ServerError, 0), other)
		w.drainAll()
		if len(w.sends) != 1 || len(w.failures) != 1 {
			t.Fatal(w.log)
		}
	})
}

func TestDrainTakesEffectInSameStep(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, fullList(Entry{Endpoint: "a", Weight: 10}, Entry{Endpoint: "b", Weight: 10}))
	drain := ListUpdate{Entries: []Entry{{Endpoint: "a", Phase: Draining}}}
	w.step(5*ms, w.newArrival("1", 0, 0), w.newArrival("2", 0, 0), w.newArrival("3", 0, 0), drain)
	if len(w.sends) == 0 {
		t.Fatal("nothing was sent to the other endpoint")
	}
	w.step(5*ms, ListUpdate{Entries: []Entry{{Endpoint: "a", Weight: 10}, {Endpoint: "b", Phase: Removed}}})
	w.idle(time.Second)
	w.step(5*ms, w.newArrival("4", 0, 0))
	if last := w.sends[len(w.sends)-1]; last.Endpoint != "a" {
		t.Errorf("an endpoint that is listed again must be used: %v", last)
	}
	w.drainAll()
}

// The response times of messages that were held through an outage used to keep the gate shut for new messages that
// could have been delivered in time.
func TestBacklogFromOutageDoesNotShutGate(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, oneEndpoint(), w.newArrival("old", 0, 0))
	d := w.sender.destinations[0]
	w.step(7*time.Second, w.outcome("old", Rejected, 0))
	d.gate = gate{sampled: true, average: 1, baseline: 0.5, sampledAt: w.now}
	d.endpoints[0].route.recoveryStartedAt = w.now
	w.idle(2 * time.Second)
	w.step(50*ms, w.outcome("old", Success, 0))
	if d.gate.average > 3 {
		t.Errorf("the average is %v s after a message was held through an outage", d.gate.average)
	}
	// The call that ends an outage starts the recovery with its own outcome. Its duration must count all the same.
	w.step(5*ms, w.newArrival("next", 0, 0))
	w.idle(300 * ms)
	d.gate, d.endpoints[0].route.circuitOpen = gate{}, true
	w.step(5*ms, w.outcome("next", Success, 0))
	if d.gate.baseline < 0.3 {
		t.Errorf("the baseline fell to %v s", d.gate.baseline)
	}
}

// The backlog that a fleet held through an outage must not overload a destination that is back and cold, whether the
// fleet is two busy nodes or many that rarely call it. The backlog must not starve either.
func TestBacklogStaysWithinColdBudget(t *testing.T) {
	for _, fleet := range []int{2, 40} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) { checkColdBudget(t, fleet) })
	}
}

// checkColdBudget runs a fleet without datagrams through an outage of 8 s, and checks the number of calls afterwards
// in each window of OverloadDuration.
func checkColdBudget(t *testing.T, fleet int) {
	cfg := testSettings()
	cfg.Slots, cfg.MaxOpenMessages, cfg.FleetSize = 50, 400, fleet
	var senders []*scenario
	for i := range fleet {
		w := newScenario(t, cfg, uint64(i))
		w.step(0, oneEndpoint()) // 10 calls per second
		senders = append(senders, w)
	}
	start := senders[0].now
	outageEnd, rng := start+8*time.Second, rand.New(rand.NewPCG(5, 5))
	var sendTimes []time.Duration
	delivered := 0
	for n := range 2400 {
		to := rng.IntN(fleet) // 6.7 messages per second in total
		for i, w := range senders {
			var events []Event
			for _, a := range w.sortedInFlight() {
				f := w.inFlight[a]
				if age := w.now - f.sentAt; age >= 50*ms {
					e := AttemptEnded{ID: a.id, Attempt: a.number, Endpoint: f.Endpoint, Took: age, Outcome: ConnectFailed}
					if f.sentAt >= outageEnd {
						e.Outcome, e.MessageDone = Success, true
						delivered++
					}
					events = append(events, e)
				}
			}
			if n%15 == 0 && i == to {
				events = append(events, w.newArrival(fmt.Sprint("m", n), 0, 0))
			}
			before := len(w.sends)
			w.step(10*ms, append(events, WakeDue{})...)
			for range len(w.sends) - before {
				sendTimes = append(sendTimes, w.now)
			}
		}
	}
	for i, from := range sendTimes {
		if from < outageEnd {
			continue
		}
		count := 0
		for _, at := range sendTimes[i:] {
			if at < from+cfg.OverloadDuration {
				count++
			}
		}
		share := min(1, cfg.ColdCapacity+(1-cfg.ColdCapacity)*(from-outageEnd+cfg.OverloadDuration/2).Seconds()/cfg.WarmUpTime.Seconds())
		if most := cfg.OverloadMultiple * share * 12 * cfg.OverloadDuration.Seconds(); float64(count) > most {
			t.Fatalf("%d calls in the window from %v after the outage, want at most %.1f", count, from-outageEnd, most)
		}
	}
	if delivered < 70 {
		t.Errorf("only %d of 160 messages delivered: the backlog starves", delivered)
	}
}

// A wake that comes slightly early must be requested again. Otherwise a waiting message would wait until some other
// event.
func TestEarlyWakeIsRequestedAgain(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, w.newArrival("m", 0, 0))
	w.step(w.wakeTimes[0]-w.now-time.Microsecond, WakeDue{})
	if len(w.wakeTimes) < 2 {
		t.Fatal("no wake was requested")
	}
	w.drainAll()
}

func TestOrderedMessagesDoNotOvertake(t *testing.T) {
	cfg := testSettings()
	cfg.Classes[0].Ordered = true
	w := newScenario(t, cfg, 1)
	keyed := func(id string) MessageArrived { a := w.newArrival(id, 0, 0); a.Key = "k"; return a }
	w.step(0, oneEndpoint(), keyed("1"), keyed("2"))
	if len(w.sends) != 1 {
		t.Fatal(w.log)
	}
	// The first message ends while its attempt is in flight. The second one may go only after the outcome and the
	// pause.
	w.step(5*ms, MessageDropped{ID: "1"})
	w.idle(100 * ms)
	if len(w.sends) != 1 {
		t.Fatal("the second message was sent while an attempt of the first was in flight")
	}
	w.step(5*ms, w.outcome("1", TimedOut, 0))
	w.idle(cfg.OrderedPause + 500*ms)
	if len(w.sends) != 2 {
		t.Fatalf("the second message was never sent: %v", w.log)
	}
	w.drainAll()
}

func TestRetryAfterIsHonored(t *testing.T) {
	for _, apart := range []bool{false, true} {
		cfg := testSettings()
		cfg.Kinds[0].SeparateRoutes = apart
		w := newScenario(t, cfg, 1)
		w.step(0, fullList(Entry{Endpoint: "a", Weight: 10}))
		w.step(5*ms, w.newArrival("1", 0, 0))
		w.step(5*ms, w.outcome("1", Rejected, time.Second), ListUpdate{Entries: []Entry{{Endpoint: "b", Weight: 10}}})
		w.step(5*ms, w.newArrival("2", 1, 0), w.newArrival("3", 2, 0))
		if others := len(w.sends) > 1; others != apart {
			t.Errorf("separate routes %v: sends %v", apart, w.sends)
		}
		w.idle(2500 * ms)
		if len(w.sends) < 3 {
			t.Errorf("separate routes %v: nothing was sent after the wait: %v", apart, w.sends)
		}
		w.drainAll()
	}
}

// Destinations that did not answer used to hold every slot until their long time-outs, and healthy ones starved.
func TestHungDestinationsDoNotHoldAllSlots(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	var entries []Entry
	for i := range 5 {
		entries = append(entries, Entry{Endpoint: fmt.Sprint("e", i), Dest: i, Weight: 20})
	}
	w.step(0, fullList(entries...))
	delivered := 0
	for n := range 800 {
		var events []Event
		for _, a := range w.sortedInFlight() {
			f := w.inFlight[a]
			e := AttemptEnded{ID: a.id, Attempt: a.number, Endpoint: f.Endpoint, Took: w.now - f.sentAt}
			switch {
			case f.Endpoint == "e0" && w.now-f.sentAt >= 50*ms:
				e.Outcome, e.MessageDone = Success, true
				delivered++
			case w.now >= f.AbandonAt:
				e.Outcome = TimedOut
			default:
				continue
			}
			events = append(events, e)
		}
		if n%5 == 0 {
			events = append(events, w.newArrival(fmt.Sprint("m", n), n/5%3, n/5%5))
		}
		w.step(10*ms, append(events, WakeDue{})...)
		for _, a := range w.sender.actions { // a cancelled attempt ends in the next step
			if c, ok := a.(Cancel); ok {
				w.step(ms, w.outcome(c.ID, Cancelled, 0))
			}
		}
	}
	if delivered < 24 {
		t.Errorf("the one healthy destination of five got %d of 32 messages", delivered)
	}
}

// A destination with long calls used to get as many slots as one with short calls, and held each of them far longer.
func TestSlotsAreSharedByTimeHeld(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, fullList(Entry{Endpoint: "fast", Dest: 0, Weight: 1000}, Entry{Endpoint: "long", Dest: 1, Weight: 1000}))
	passed := map[string]int{}
	for n := range 500 {
		var events []Event
		for _, a := range w.sortedInFlight() {
			f := w.inFlight[a]
			if need := map[string]time.Duration{"fast": 50 * ms, "long": 600 * ms}[f.Endpoint]; w.now-f.sentAt >= need {
				events = append(events, AttemptEnded{ID: a.id, Attempt: a.number, Endpoint: f.Endpoint, Took: need, MessageDone: true})
				passed[f.Endpoint]++
			}
		}
		events = append(events, w.newArrival(fmt.Sprint("a", n), 0, n%2))
		w.step(10*ms, append(events, WakeDue{})...)
	}
	if passed["fast"] < 3*passed["long"] {
		t.Errorf("fast %d, long %d", passed["fast"], passed["long"])
	}
}

// An endpoint with a full connection table refuses new connections while calls of other nodes succeed. That is no
// outage, and idle connections must be closed.
func TestFullConnTableIsNoOutage(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, oneEndpoint(), w.newArrival("1", 0, 0))
	w.step(time.Second, w.outcome("1", ConnectFailed, 0))
	if w.sender.destinations[0].endpoints[0].route.circuitOpen {
		t.Fatal("a single failed connection opened the circuit")
	}
	w.idle(time.Second)
	w.step(5*ms, w.outcome("1", Success, 0))
	if !slices.ContainsFunc(w.sender.actions, func(a Action) bool { return a == CloseIdle{Endpoint: "a"} }) {
		t.Error("the idle connection was not closed")
	}
}

// The backlog of one destination must not use up the whole room for open messages.
func TestBacklogLeavesRoomForOthers(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, fullList(Entry{Endpoint: "b", Dest: 1, Weight: 10}))
	for i := range 100 {
		w.step(5*ms, w.newArrival(fmt.Sprint("m", i), 0, 0)) // this destination has no endpoint
	}
	if held := len(w.sender.destinations[0].waiting); held > w.cfg.MaxOpenMessages/2+1 {
		t.Errorf("one destination has %d of at most %d open messages", held, w.cfg.MaxOpenMessages)
	}
	w.step(5*ms, w.newArrival("other", 0, 1))
	if n := len(w.sends); n != 1 || w.sends[0].ID != "other" {
		t.Errorf("the message for the healthy destination was not sent: %v", w.sends)
	}
	w.drainAll()
}

func TestTrialsNeverUseAtMostOnceMessages(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, oneEndpoint())
	w.sender.destinations[0].recentArrivals, w.sender.destinations[0].recentArrivalsUpdatedAt = 30, w.now // a busy node
	for i := range failuresToOpen {
		id := fmt.Sprint("s", i)
		w.step(500*ms, w.newArrival(id, 0, 0))
		w.step(5*ms, w.outcome(id, ServerError, 0))
	}
	if !w.sender.destinations[0].endpoints[0].route.circuitOpen {
		t.Fatal("a run of failures did not open the circuit")
	}
	w.step(5*ms, w.newArrival("u", 2, 0))
	w.idle(2 * time.Second)
	for _, s := range w.sends {
		if s.ID == "u" {
			t.Fatal("an at-most-once message was sent as a trial")
		}
	}
	w.drainAll()
}

func TestInvalidLimitReportsAreIgnored(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, oneEndpoint())
	for i, v := range []float64{-1, math.NaN(), math.Inf(1), 2, 0} {
		id := fmt.Sprint("m", i)
		w.step(5*ms, w.newArrival(id, 0, 0))
		e := w.outcome(id, Success, 0)
		e.Report = LimitReport{Left: v, Limit: v, HasLeft: true, HasLimit: true}
		w.step(100*ms, e)
	}
	w.idle(2 * time.Second)
	w.step(5*ms, w.newArrival("last", 0, 0))
	w.idle(time.Second)
	if last := w.sends[len(w.sends)-1]; last.ID != "last" {
		t.Errorf("nothing was sent after invalid reports: %v", last)
	}
	w.drainAll()
}

func TestMissingSettingsDoNotCrash(t *testing.T) {
	w := newScenario(t, Settings{}, 1)
	w.step(0, oneEndpoint(), w.newArrival("m", 7, 0), w.newArrival("n", -1, 3))
	w.drainAll()
}

func TestRandomEventsKeepRules(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if w := runRandomEvents(t, seed, 2500); len(w.sends) < 50 && w.cfg.MaxOpenMessages > 10 {
				t.Errorf("only %d sends: the scenario tests little", len(w.sends))
			}
		})
	}
}

func TestDecisionsAreDeterministic(t *testing.T) {
	a, b := runRandomEvents(t, 7, 2000), runRandomEvents(t, 7, 2000)
	if !slices.Equal(a.log, b.log) {
		t.Error("two runs with the same events differ")
	}
}

// On a lossy network path, lost calls used to hold the few slots until their time-outs, although their messages may be
// repeated.
func TestOverdueRepeatableCallsFreeTheirSlots(t *testing.T) {
	cfg := testSettings()
	cfg.Slots = 2
	w := newScenario(t, cfg, 1)
	w.step(0, fullList(Entry{Endpoint: "a", Weight: 1000}))
	w.step(5*ms, w.newArrival("0", 0, 0))
	w.step(100*ms, w.outcome("0", Success, 0))
	w.step(5*ms, w.newArrival("lost", 0, 0), w.newArrival("unsafe", 2, 0), w.newArrival("next", 0, 0))
	cancelled := map[string]bool{}
	for end := w.now + 950*ms; w.now < end; {
		w.step(10*ms, WakeDue{})
		for _, a := range w.sender.actions {
			if c, ok := a.(Cancel); ok {
				cancelled[c.ID] = true
			}
		}
	}
	if len(cancelled) == 0 || cancelled["unsafe"] {
		t.Errorf("cancelled: %v; want repeatable calls only", cancelled)
	}
}

// The idle connections of a large fleet used to fill small connection tables. A connection that the endpoint would
// close before its next use must be closed at once.
func TestRarelyUsedConnIsClosed(t *testing.T) {
	for _, c := range []struct {
		gap  time.Duration
		back bool
	}{{10 * time.Second, true}, {500 * ms, false}} {
		cfg := testSettings()
		cfg.IdleConnTimeout = 5 * time.Second
		w := newScenario(t, cfg, 1)
		w.step(0, oneEndpoint())
		closed := false
		for i := range 4 {
			id := fmt.Sprint("m", i)
			w.idle(c.gap)
			w.step(5*ms, w.newArrival(id, 0, 0))
			w.step(100*ms, w.outcome(id, Success, 0))
			closed = slices.Contains(w.sender.actions, Action(CloseIdle{Endpoint: "a"}))
		}
		if closed != c.back {
			t.Errorf("calls %v apart: connection closed is %v", c.gap, closed)
		}
	}
}

// A node that calls rarely has no third call within a useful time. Two consecutive failures are an outage for it, but
// not for a busy node.
func TestTwoFailuresOpenCircuitForRareSender(t *testing.T) {
	for _, c := range []struct {
		gap  time.Duration
		busy float64
		sick bool
	}{{3 * time.Second, 0, true}, {300 * ms, 30, false}} {
		w := newScenario(t, testSettings(), 1)
		w.step(0, oneEndpoint())
		w.sender.destinations[0].recentArrivals, w.sender.destinations[0].recentArrivalsUpdatedAt = c.busy, w.now
		for i := range 2 {
			id := fmt.Sprint("m", i)
			w.step(c.gap, w.newArrival(id, 0, 0))
			w.step(5*ms, w.outcome(id, ServerError, 0), MessageDropped{ID: id})
		}
		if got := w.sender.endpoints["a"].route.circuitOpen; got != c.sick {
			t.Errorf("failures %v apart: circuit open is %v", c.gap, got)
		}
	}
}

// A call that crosses an endpoint's close of an idle connection is reset at once. Several of these are no outage,
// since the endpoint still answers, and the messages must be sent again without a pause. A reset that takes as long as
// an answer, or over a new connection, is a failure like any other.
func TestStaleConnResetIsNoOutage(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
		fresh bool
		sick  bool
	}{{"stray", ms, false, false}, {"during the call", 300 * ms, false, true}, {"on a new connection", ms, true, true}} {
		w := newScenario(t, testSettings(), 1)
		w.step(0, oneEndpoint(), w.newArrival("first", 0, 0))
		w.step(400*ms, w.outcome("first", Success, 0))
		w.step(ms, w.newArrival("m", 0, 0))
		r := w.sender.endpoints["a"].route
		response := w.sender.endpoints["a"].penalizedLatency
		for range failuresToOpen {
			w.idle(2 * time.Second / failuresToOpen)
			lost := w.outcome("m", ConnReset, 0)
			lost.Took, lost.ReusedConn = c.after, !c.fresh
			w.step(5*ms, lost)
			if !c.sick && len(w.sortedInFlight()) != 1 {
				t.Fatalf("%s: the message was not sent again at once", c.name)
			}
			w.idle(time.Second)
			if r.circuitOpen {
				break
			}
		}
		if r.circuitOpen != c.sick || (w.sender.endpoints["a"].penalizedLatency > response) != c.sick {
			t.Errorf("%s: circuit open is %v, latency %v after %v", c.name, r.circuitOpen, w.sender.endpoints["a"].penalizedLatency, response)
		}
	}
}

// Where refused calls count against the limit, a fleet that keeps asking gets nothing. So a node's share must fall to
// its own demand at the first refusal.
func TestRefusalCutsShareToOwnDemand(t *testing.T) {
	cfg := testSettings()
	cfg.FleetSize = 100
	w := newScenario(t, cfg, 1)
	w.step(0, fullList(Entry{Endpoint: "a", Weight: 100}))
	for i := range 4 {
		id := fmt.Sprint("m", i)
		w.idle(time.Second)
		w.step(5*ms, w.newArrival(id, 0, 0))
		if i < 3 {
			w.step(50*ms, w.outcome(id, Success, 0))
		}
	}
	w.step(50*ms, w.outcome("m3", Rejected, 0))
	if rate, _ := w.sender.callRate(w.sender.endpoints["a"].route); rate > 1 || rate < 0.2 {
		t.Errorf("%v calls per second after a refusal; four messages arrived in four seconds", rate)
	}
	w.drainAll()
}

// A destination that hangs fills its queue and then refuses calls. If it reports that it has no limit, a run of
// refusals is an outage.
func TestRefusalsWithoutLimitOpenCircuit(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, fullList(Entry{Endpoint: "a", Dest: 0}))
	for i := range failuresToOpen {
		id := fmt.Sprint("m", i)
		w.idle(time.Second)
		w.step(5*ms, w.newArrival(id, 0, 0))
		e := w.outcome(id, Rejected, 0)
		e.Report = LimitReport{HasLimit: true}
		w.step(50*ms, e, MessageDropped{ID: id})
	}
	if !w.sender.endpoints["a"].route.circuitOpen {
		t.Error("three refusals without a limit did not open the circuit")
	}
}
