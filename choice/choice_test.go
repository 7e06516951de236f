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
		t.Error("a fresh gate must accept")
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
		t.Errorf("after ten minutes at a new base speed the baseline is %v, was %v", g.baseline, before)
	}
}

func TestShutGateRefusesButAdmitsTrials(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, oneEndpoint())
	g := &w.sender.destinations[0].gate
	*g = gate{sampled: true, baseline: 0.1, average: 9, sampledAt: w.now}
	w.step(5*ms, w.newArrival("trial", 0, 0))
	if len(w.sends) != 1 || len(w.refusals) != 0 {
		t.Fatalf("an idle shut gate must admit one trial: %v", w.log)
	}
	w.step(5*ms, w.newArrival("next", 0, 0))
	if len(w.refusals) != 1 || w.refusals[0].ID != "next" || w.refusals[0].RetryAfter <= 0 {
		t.Fatalf("a shut gate refuses with a retry-after: %v", w.log)
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

// A process that has yet to look sends nothing, ends what is due, and goes on from where it was.
func TestNothingIsSentWhilePaused(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, oneEndpoint())
	w.step(5*ms, w.newArrival("before", 0, 0))
	w.step(5*ms, SendsPaused{On: true}, w.newArrival("in it", 0, 0))
	w.idle(time.Second)
	if len(w.sends) != 1 {
		t.Fatalf("%d calls are made: %v", len(w.sends), w.log)
	}
	w.step(5*ms, SendsPaused{})
	if len(w.sends) != 2 {
		t.Errorf("%d calls are made after it: %v", len(w.sends), w.log)
	}
	w.step(5*ms, SendsPaused{On: true}, w.newArrival("late", 0, 0))
	w.drainAll() // each message has its end in time, or the story fails
}

func TestEveryMessageEnds(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, w.newArrival("nowhere", 0, 9)) // no such destination, no list at all
	w.step(5*ms, oneEndpoint(), w.newArrival("gone", 1, 0))
	w.step(5*ms, fullList(), w.outcome("gone", ConnectFailed, 0)) // its endpoint left
	w.step(5*ms, oneEndpoint(), w.newArrival("slow", 2, 0))
	w.drainAll()
	if !slices.ContainsFunc(w.refusals, func(b Refuse) bool { return b.ID == "nowhere" }) {
		t.Error("what never ran is refused, not failed")
	}
}

func TestEffectLimitsRepeats(t *testing.T) {
	t.Run("unsafe fails after an unsure end", func(t *testing.T) {
		w := newScenario(t, testSettings(), 1)
		w.step(0, oneEndpoint(), w.newArrival("u", 2, 0))
		w.step(5*ms, w.outcome("u", ConnReset, 0))
		if len(w.failures) != 1 {
			t.Fatal(w.log)
		}
	})
	t.Run("unsafe goes again when nothing ran", func(t *testing.T) {
		w := newScenario(t, testSettings(), 1)
		w.step(0, oneEndpoint(), w.newArrival("u", 2, 0))
		w.step(5*ms, w.outcome("u", Rejected, 0))
		w.idle(time.Second)
		if len(w.sends) != 2 {
			t.Fatal(w.log)
		}
		w.drainAll()
	})
	t.Run("keyed is refused before its window ends", func(t *testing.T) {
		w := newScenario(t, testSettings(), 1)
		w.step(0, oneEndpoint(), w.newArrival("k", 1, 0))
		w.step(5*ms, w.outcome("k", TimedOut, 0), fullList())
		w.idle(5 * time.Second)
		if len(w.refusals) != 1 {
			t.Fatal(w.log)
		}
	})
	t.Run("keyed of one zone stays there", func(t *testing.T) {
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
		t.Fatal("the other endpoint is free")
	}
	w.step(5*ms, ListUpdate{Entries: []Entry{{Endpoint: "a", Weight: 10}, {Endpoint: "b", Phase: Removed}}})
	w.idle(time.Second)
	w.step(5*ms, w.newArrival("4", 0, 0))
	if last := w.sends[len(w.sends)-1]; last.Endpoint != "a" {
		t.Errorf("an endpoint may come back: %v", last)
	}
	w.drainAll()
}

// Messages held through an outage kept the gate shut for new ones that could be in time.
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
		t.Errorf("the average is %v s after a hold through an outage", d.gate.average)
	}
	// The call that ends an outage starts the recovery at its own outcome; it still lasted as long as it did.
	w.step(5*ms, w.newArrival("next", 0, 0))
	w.idle(300 * ms)
	d.gate, d.endpoints[0].route.circuitOpen = gate{}, true
	w.step(5*ms, w.outcome("next", Success, 0))
	if d.gate.baseline < 0.3 {
		t.Errorf("the baseline fell to %v s", d.gate.baseline)
	}
}

// A destination that is back cold must not be pushed over by the backlog that a fleet held through its outage,
// be the fleet two busy senders or many that seldom call there; nor must the backlog starve.
func TestBacklogStaysWithinColdBudget(t *testing.T) {
	for _, fleet := range []int{2, 40} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) { checkColdBudget(t, fleet) })
	}
}

func checkColdBudget(t *testing.T, fleet int) {
	cfg := testSettings()
	cfg.Slots, cfg.MaxOpenMessages, cfg.FleetSize = 50, 400, fleet
	var senders []*scenario
	for i := range fleet {
		w := newScenario(t, cfg, uint64(i))
		w.step(0, oneEndpoint()) // 10 calls a second
		senders = append(senders, w)
	}
	start := senders[0].now
	back, rng := start+8*time.Second, rand.New(rand.NewPCG(5, 5))
	var when []time.Duration
	served := 0
	for n := range 2400 {
		to := rng.IntN(fleet) // 6.7 messages a second in all
		for i, w := range senders {
			var events []Event
			for _, a := range w.sortedInFlight() {
				f := w.inFlight[a]
				if age := w.now - f.sentAt; age >= 50*ms {
					e := AttemptEnded{ID: a.id, Attempt: a.number, Endpoint: f.Endpoint, Took: age, Outcome: ConnectFailed}
					if f.sentAt >= back {
						e.Outcome, e.MessageDone = Success, true
						served++
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
				when = append(when, w.now)
			}
		}
	}
	for i, from := range when {
		if from < back {
			continue
		}
		count := 0
		for _, at := range when[i:] {
			if at < from+cfg.OverloadDuration {
				count++
			}
		}
		share := min(1, cfg.ColdCapacity+(1-cfg.ColdCapacity)*(from-back+cfg.OverloadDuration/2).Seconds()/cfg.WarmUpTime.Seconds())
		if most := cfg.OverloadMultiple * share * 12 * cfg.OverloadDuration.Seconds(); float64(count) > most {
			t.Fatalf("%d calls in the window from %v after the return, at most %.1f", count, from-back, most)
		}
	}
	if served < 70 {
		t.Errorf("only %d of 160 messages served: the backlog starves", served)
	}
}

// A wake that rings a little early is asked for again; else what waits would wait for other news.
func TestEarlyWakeIsRequestedAgain(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, w.newArrival("m", 0, 0))
	w.step(w.wakeTimes[0]-w.now-time.Microsecond, WakeDue{})
	if len(w.wakeTimes) < 2 {
		t.Fatal("no wake is asked for")
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
	// The first ends while its attempt is out: the turn passes only with the outcome and after the rest.
	w.step(5*ms, MessageDropped{ID: "1"})
	w.idle(100 * ms)
	if len(w.sends) != 1 {
		t.Fatal("overtaken while an attempt was out")
	}
	w.step(5*ms, w.outcome("1", TimedOut, 0))
	w.idle(cfg.OrderedPause + 500*ms)
	if len(w.sends) != 2 {
		t.Fatalf("the turn was never passed on: %v", w.log)
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
			t.Errorf("apart %v: sends %v", apart, w.sends)
		}
		w.idle(2500 * ms)
		if len(w.sends) < 3 {
			t.Errorf("apart %v: nothing more after the wait: %v", apart, w.sends)
		}
		w.drainAll()
	}
}

// Hung destinations held every slot until long time-outs, and healthy ones starved.
func TestHungDestinationsDoNotHoldAllSlots(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	var entries []Entry
	for i := range 5 {
		entries = append(entries, Entry{Endpoint: fmt.Sprint("e", i), Dest: i, Weight: 20})
	}
	w.step(0, fullList(entries...))
	served := 0
	for n := range 800 {
		var events []Event
		for _, a := range w.sortedInFlight() {
			f := w.inFlight[a]
			e := AttemptEnded{ID: a.id, Attempt: a.number, Endpoint: f.Endpoint, Took: w.now - f.sentAt}
			switch {
			case f.Endpoint == "e0" && w.now-f.sentAt >= 50*ms:
				e.Outcome, e.MessageDone = Success, true
				served++
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
		for _, a := range w.sender.actions { // what is called off ends in the next step
			if c, ok := a.(Cancel); ok {
				w.step(ms, w.outcome(c.ID, Cancelled, 0))
			}
		}
	}
	if served < 24 {
		t.Errorf("the one healthy destination of five had %d of 32 messages served", served)
	}
}

// A destination whose calls last long took as many slots as a fast one, and held each far longer.
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

// An endpoint that takes few connections refuses ours while others pass: no outage, and idle ones are given back.
func TestFullConnTableIsNoOutage(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, oneEndpoint(), w.newArrival("1", 0, 0))
	w.step(time.Second, w.outcome("1", ConnectFailed, 0))
	if w.sender.destinations[0].endpoints[0].route.circuitOpen {
		t.Fatal("one failed connect made an outage")
	}
	w.idle(time.Second)
	w.step(5*ms, w.outcome("1", Success, 0))
	if !slices.ContainsFunc(w.sender.actions, func(a Action) bool { return a == CloseIdle{Endpoint: "a"} }) {
		t.Error("the idle connection was kept")
	}
}

// One destination's backlog must not take the whole room for held messages.
func TestBacklogLeavesRoomForOthers(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, fullList(Entry{Endpoint: "b", Dest: 1, Weight: 10}))
	for i := range 100 {
		w.step(5*ms, w.newArrival(fmt.Sprint("m", i), 0, 0)) // no endpoint there
	}
	if held := len(w.sender.destinations[0].waiting); held > w.cfg.MaxOpenMessages/2+1 {
		t.Errorf("%d of %d places held by one destination", held, w.cfg.MaxOpenMessages)
	}
	w.step(5*ms, w.newArrival("other", 0, 1))
	if n := len(w.sends); n != 1 || w.sends[0].ID != "other" {
		t.Errorf("the healthy destination was not served: %v", w.sends)
	}
	w.drainAll()
}

func TestTrialsNeverUseAtMostOnceMessages(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, oneEndpoint())
	w.sender.destinations[0].recentArrivals, w.sender.destinations[0].recentArrivalsUpdatedAt = 30, w.now // a busy sender
	for i := range failuresToOpen {
		id := fmt.Sprint("s", i)
		w.step(500*ms, w.newArrival(id, 0, 0))
		w.step(5*ms, w.outcome(id, ServerError, 0))
	}
	if !w.sender.destinations[0].endpoints[0].route.circuitOpen {
		t.Fatal("a run of failures makes an outage")
	}
	w.step(5*ms, w.newArrival("u", 2, 0))
	w.idle(2 * time.Second)
	for _, s := range w.sends {
		if s.ID == "u" {
			t.Fatal("an unsafe message went out as a trial")
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
		t.Errorf("sending stopped after odd reports: %v", last)
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
				t.Errorf("only %d sends: the story tests little", len(w.sends))
			}
		})
	}
}

func TestDecisionsAreDeterministic(t *testing.T) {
	a, b := runRandomEvents(t, 7, 2000), runRandomEvents(t, 7, 2000)
	if !slices.Equal(a.log, b.log) {
		t.Error("two runs over the same events differ")
	}
}

// A lossy path: lost calls held the few slots until their time-outs, though their messages may be repeated.
func TestOverdueRepeatableCallsFreeTheirSlots(t *testing.T) {
	cfg := testSettings()
	cfg.Slots = 2
	w := newScenario(t, cfg, 1)
	w.step(0, fullList(Entry{Endpoint: "a", Weight: 1000}))
	w.step(5*ms, w.newArrival("0", 0, 0))
	w.step(100*ms, w.outcome("0", Success, 0))
	w.step(5*ms, w.newArrival("lost", 0, 0), w.newArrival("unsafe", 2, 0), w.newArrival("next", 0, 0))
	called := map[string]bool{}
	for end := w.now + 950*ms; w.now < end; {
		w.step(10*ms, WakeDue{})
		for _, a := range w.sender.actions {
			if c, ok := a.(Cancel); ok {
				called[c.ID] = true
			}
		}
	}
	if len(called) == 0 || called["unsafe"] {
		t.Errorf("called off: %v; want repeatable calls only", called)
	}
}

// A large fleet's idle connections filled small tables: one that will be closed before its next use goes back.
func TestRarelyUsedConnIsClosed(t *testing.T) {
	for _, c := range []struct {
		gap  time.Duration
		back bool
	}{{10 * time.Second, true}, {500 * ms, false}} {
		cfg := testSettings()
		cfg.IdleConnTimeout = 5 * time.Second
		w := newScenario(t, cfg, 1)
		w.step(0, oneEndpoint())
		back := false
		for i := range 4 {
			id := fmt.Sprint("m", i)
			w.idle(c.gap)
			w.step(5*ms, w.newArrival(id, 0, 0))
			w.step(100*ms, w.outcome(id, Success, 0))
			back = slices.Contains(w.sender.actions, Action(CloseIdle{Endpoint: "a"}))
		}
		if back != c.back {
			t.Errorf("calls %v apart: connection given back is %v", c.gap, back)
		}
	}
}

// A rare sender has no third call in time: two failures in a row are an outage for it, not for a busy one.
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
			t.Errorf("failures %v apart: outage is %v", c.gap, got)
		}
	}
}

// Calls that cross an endpoint's close of idle connections are lost at once, and several of them make no
// outage: the endpoint goes on answering, so they go out again without a rest. A reset that takes as long as an
// answer, or on a new connection, is a failure like any other.
func TestStaleConnResetIsNoOutage(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
		fresh bool
		sick  bool
	}{{"stray", ms, false, false}, {"while it was served", 300 * ms, false, true}, {"on a new connection", ms, true, true}} {
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
				t.Fatalf("%s: it did not go out again at once", c.name)
			}
			w.idle(time.Second)
			if r.circuitOpen {
				break
			}
		}
		if r.circuitOpen != c.sick || (w.sender.endpoints["a"].penalizedLatency > response) != c.sick {
			t.Errorf("%s: outage is %v, response %v after %v", c.name, r.circuitOpen, w.sender.endpoints["a"].penalizedLatency, response)
		}
	}
}

// Where refused calls use up the limit, a fleet that goes on asking gets nothing: at the first refusal a
// sender's part falls to its own demand.
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
		t.Errorf("%v calls a second after a refusal; four messages came in four seconds", rate)
	}
	w.drainAll()
}

// A hung destination's queue fills, and it refuses: where no limit is told, a run of refusals is an outage.
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
		t.Error("three refusals where there is no limit are no outage")
	}
}
