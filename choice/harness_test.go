package choice

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

const ms = time.Millisecond

// scenario drives a Sender and checks every action that it takes against the rules for a delivery node.
type scenario struct {
	t               testing.TB
	cfg             Settings
	sender          *Sender
	now             time.Duration
	messages        map[string]*trackedMessage
	messageOrder    []string // IDs in order of arrival
	endpoints       map[string]*trackedEndpoint
	waitUntil       map[string]time.Duration // by route
	keyBlockedUntil map[string]time.Duration // by key
	inFlight        map[attempt]*trackedAttempt
	calls           int
	sends           []Send
	refusals        []Refuse
	failures        []Fail
	probes          []Probe
	wakeTimes       []time.Duration
	log             []string
	sendsInBatch    map[string]int
	disabled        map[string]bool // endpoints that operators have disabled
	snapshotEvery   int             // the Sender is replaced by its restored snapshot every so many steps; 0 for never
	steps           int
}

// trackedMessage is what the scenario knows of a message, independently of the Sender.
type trackedMessage struct {
	MessageArrived
	class          Class
	attempts       int
	inFlight       int
	mayHaveRun     bool
	firstRunSentAt time.Duration
	runZone        int
	ended          bool
}

// trackedEndpoint is what the scenario knows of an endpoint.
type trackedEndpoint struct {
	Entry
	closedToSends bool
}

// trackedAttempt is an attempt that is in flight.
type trackedAttempt struct {
	Send
	sentAt    time.Duration
	holdsSlot bool
}

func newScenario(t testing.TB, cfg Settings, seed uint64) *scenario {
	return &scenario{
		t: t, cfg: cfg, sender: New(cfg, seed), now: time.Hour, messages: map[string]*trackedMessage{}, endpoints: map[string]*trackedEndpoint{},
		waitUntil: map[string]time.Duration{}, keyBlockedUntil: map[string]time.Duration{}, inFlight: map[attempt]*trackedAttempt{},
		disabled: map[string]bool{},
	}
}

func (w *scenario) hasSeparateRoutes(kind int) bool {
	return kind < len(w.cfg.Kinds) && w.cfg.Kinds[kind].SeparateRoutes
}

func (w *scenario) route(ep string) string {
	p := w.endpoints[ep]
	if w.hasSeparateRoutes(p.Kind) {
		return ep
	}
	return fmt.Sprint("dest ", p.Dest)
}

// step updates what the scenario knows from the events, steps the Sender, and checks each action.
func (w *scenario) step(after time.Duration, events ...Event) {
	w.t.Helper()
	w.now += after
	var waits []func()
	for _, e := range events {
		switch e := e.(type) {
		case ListUpdate:
			if e.Whole {
				for _, p := range w.endpoints {
					p.closedToSends = true
				}
			}
			for _, en := range e.Entries {
				w.endpoints[en.Endpoint] = &trackedEndpoint{en, en.Phase != Ready}
			}
		case EndpointDisabled:
			w.disabled[e.Endpoint] = true
		case EndpointEnabled:
			delete(w.disabled, e.Endpoint)
		case MessageArrived:
			m := &trackedMessage{MessageArrived: e}
			if e.Class >= 0 && e.Class < len(w.cfg.Classes) {
				m.class = w.cfg.Classes[e.Class]
			}
			w.messages[e.ID] = m
			w.messageOrder = append(w.messageOrder, e.ID)
		case MessageDropped:
			if m := w.messages[e.ID]; m != nil {
				m.ended = true
			}
		case AttemptEnded:
			f := w.inFlight[attempt{e.ID, e.Attempt}]
			if f == nil {
				continue
			}
			delete(w.inFlight, attempt{e.ID, e.Attempt})
			if f.holdsSlot {
				w.calls--
			}
			m := w.messages[e.ID]
			m.inFlight--
			if e.MessageDone {
				m.ended = true
			}
			mayHaveRun := e.Outcome == ServerError || e.Outcome == TimedOut || e.Outcome == ConnReset || e.Outcome == Cancelled
			if mayHaveRun && (!m.mayHaveRun || f.sentAt < m.firstRunSentAt) {
				m.mayHaveRun, m.firstRunSentAt, m.runZone = true, f.sentAt, w.endpoints[e.Endpoint].Zone
			}
			if mayHaveRun && e.Outcome != ServerError && m.class.Ordered {
				w.keyBlockedUntil[m.Key] = max(w.keyBlockedUntil[m.Key], w.now+w.cfg.OrderedPause)
			}
			if e.Outcome == Rejected && e.RetryAfter > 0 {
				r, until := w.route(e.Endpoint), w.now+e.RetryAfter
				waits = append(waits, func() { w.waitUntil[r] = max(w.waitUntil[r], until) })
			}
		}
	}
	for _, f := range waits {
		f() // stricter than the rule: even the actions of this step must respect the wait
	}
	w.sendsInBatch = map[string]int{}
	if w.steps++; w.snapshotEvery > 0 && w.steps%w.snapshotEvery == 0 {
		raw, err := w.sender.Snapshot()
		if err != nil {
			w.t.Fatal(err)
		}
		if w.sender, err = Restore(w.cfg, 0, raw); err != nil {
			w.t.Fatal(err)
		}
	}
	for _, a := range w.sender.Step(w.now, events) {
		w.checkAction(a)
	}
}

func (w *scenario) checkAction(a Action) {
	w.t.Helper()
	w.log = append(w.log, fmt.Sprintf("%v %#v", w.now, a))
	switch a := a.(type) {
	case Send:
		w.checkSend(a)
	case Refuse:
		m := w.endMessage(a.ID)
		free := m.class.Effect == Idempotent || (!m.mayHaveRun && m.inFlight == 0)
		inside := m.class.Effect == Deduplicated && m.mayHaveRun && m.class.AllEndpointsDeduplicate && w.now <= m.firstRunSentAt+m.class.DedupWindow
		if !free && !inside {
			w.t.Fatalf("%v: refused %+v, which may have run and must not be repeated", w.now, m)
		}
		w.refusals = append(w.refusals, a)
	case Fail:
		w.endMessage(a.ID)
		w.failures = append(w.failures, a)
	case Wake:
		w.wakeTimes = append(w.wakeTimes, a.At)
	case Probe:
		if !w.cfg.MayProbe {
			w.t.Fatal("probe although probes are not allowed")
		}
		w.probes = append(w.probes, a)
	case Cancel:
		if !w.cfg.MayCancel || w.inFlight[attempt{a.ID, a.Attempt}] == nil {
			w.t.Fatalf("cancel of %v is not allowed", a)
		}
	}
}

func (w *scenario) endMessage(id string) *trackedMessage {
	w.t.Helper()
	m := w.messages[id]
	if m == nil || m.ended {
		w.t.Fatalf("%v: %s answered twice or unknown", w.now, id)
	}
	if w.now > m.Deadline+w.cfg.AnswerGrace {
		w.t.Fatalf("%v: %s answered after its deadline", w.now, id)
	}
	m.ended = true
	return m
}

func (w *scenario) checkSend(a Send) {
	w.t.Helper()
	m, p := w.messages[a.ID], w.endpoints[a.Endpoint]
	switch {
	case m == nil || m.ended:
		w.t.Fatalf("%v: sent %s, which has ended or is unknown", w.now, a.ID)
	case p == nil || p.Dest != m.Dest:
		w.t.Fatalf("%v: sent %s to %s, which is not an endpoint of its destination", w.now, a.ID, a.Endpoint)
	case w.disabled[a.Endpoint]:
		w.t.Fatalf("%v: sent to %s, which operators have disabled", w.now, a.Endpoint)
	case p.closedToSends:
		w.t.Fatalf("%v: sent to endpoint %s, which is draining or not in the list", w.now, a.Endpoint)
	case w.now < w.waitUntil[w.route(a.Endpoint)]:
		w.t.Fatalf("%v: sent to %s before its RetryAfter was over", w.now, a.Endpoint)
	case m.class.Effect == AtMostOnce && (m.mayHaveRun || m.inFlight > 0):
		w.t.Fatalf("%v: at-most-once message %s sent again", w.now, a.ID)
	case m.class.Effect == Deduplicated && m.mayHaveRun && w.now > m.firstRunSentAt+m.class.DedupWindow:
		w.t.Fatalf("%v: deduplicated message %s sent after its window", w.now, a.ID)
	case m.class.Effect == Deduplicated && m.mayHaveRun && (a.LatestStart <= 0 || a.LatestStart > m.firstRunSentAt+m.class.DedupWindow):
		w.t.Fatalf("%v: deduplicated message %s may start until %v, and its window ends at %v", w.now, a.ID, a.LatestStart, m.firstRunSentAt+m.class.DedupWindow)
	case m.class.Effect == Deduplicated && m.mayHaveRun && !m.class.AllEndpointsDeduplicate && p.Zone != m.runZone:
		w.t.Fatalf("%v: deduplicated message %s sent to another zone", w.now, a.ID)
	case m.inFlight > 0 && !w.cfg.MayDuplicate:
		w.t.Fatalf("%v: two attempts of %s in flight", w.now, a.ID)
	case w.cfg.MaxAttempts > 0 && m.attempts >= w.cfg.MaxAttempts:
		w.t.Fatalf("%v: too many attempts of %s", w.now, a.ID)
	}
	if m.class.Ordered && m.Key != "" {
		if w.now < w.keyBlockedUntil[m.Key] && m.attempts == 0 {
			w.t.Fatalf("%v: sent %s during the pause of its key", w.now, a.ID)
		}
		for _, id := range w.messageOrder {
			o := w.messages[id]
			if o == m {
				break
			}
			if o.class.Ordered && o.Key == m.Key && (!o.ended || o.inFlight > 0) {
				w.t.Fatalf("%v: %s overtook %s", w.now, a.ID, id)
			}
		}
	}
	batch := 1
	if p.Kind < len(w.cfg.Kinds) {
		batch = max(w.cfg.Kinds[p.Kind].MaxBatch, 1)
	}
	slot := w.sendsInBatch[a.Endpoint]%batch == 0
	w.sendsInBatch[a.Endpoint]++
	if slot {
		w.calls++
	}
	if w.cfg.Slots > 0 && w.calls > w.cfg.Slots {
		w.t.Fatalf("%v: more calls in flight than slots", w.now)
	}
	w.inFlight[attempt{a.ID, m.attempts}] = &trackedAttempt{a, w.now, slot}
	m.attempts++
	m.inFlight++
	w.sends = append(w.sends, a)
}

// sortedInFlight lists the attempts that are in flight, in a fixed order.
func (w *scenario) sortedInFlight() []attempt {
	var list []attempt
	for a := range w.inFlight {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].id < list[j].id || (list[i].id == list[j].id && list[i].number < list[j].number)
	})
	return list
}

// outcome is the end of the only attempt of a message that is in flight.
func (w *scenario) outcome(id string, o Outcome, wait time.Duration) AttemptEnded {
	w.t.Helper()
	for a, f := range w.inFlight {
		if a.id == id {
			return AttemptEnded{
				ID: id, Attempt: a.number, Endpoint: f.Endpoint, Outcome: o, Took: w.now - f.sentAt, MessageDone: o == Success, RetryAfter: wait,
			}
		}
	}
	w.t.Fatalf("%v: no attempt of %s is in flight", w.now, id)
	return AttemptEnded{}
}

// idle lets time pass, with wakes only.
func (w *scenario) idle(span time.Duration) {
	for end := w.now + span; w.now < end; {
		w.step(10*ms, WakeDue{Tag: "sweep"})
	}
}

// drainAll runs until everything has ended, and checks that each message got a final answer.
func (w *scenario) drainAll() {
	w.t.Helper()
	for i := 0; i < 20000 && (len(w.inFlight) > 0 || w.firstOpen() != ""); i++ {
		var events []Event
		for _, a := range w.sortedInFlight() {
			f := w.inFlight[a]
			if w.now+10*ms >= f.AbandonAt {
				events = append(events, AttemptEnded{ID: a.id, Attempt: a.number, Endpoint: f.Endpoint, Outcome: TimedOut, Took: w.now - f.sentAt})
			}
		}
		w.step(10*ms, append(events, WakeDue{Tag: "sweep"})...)
	}
	if id := w.firstOpen(); id != "" {
		w.t.Fatalf("%v: %s was lost", w.now, id)
	}
}

// firstOpen is the first message without a final answer.
func (w *scenario) firstOpen() string {
	for _, id := range w.messageOrder {
		if !w.messages[id].ended {
			return id
		}
	}
	return ""
}

func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Aim: 2 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateWorth: 0.3},
			{Aim: 2 * time.Second, Deadline: 10 * time.Second, Worth: 2, LateWorth: 0.3, Effect: Deduplicated, DedupWindow: 4 * time.Second, AllEndpointsDeduplicate: true},
			{Aim: 2 * time.Second, Deadline: 10 * time.Second, Worth: 3, LateWorth: 0.3, Effect: AtMostOnce},
		},
		Kinds:     []Kind{{}, {SeparateRoutes: true}, {MaxBatch: 3}},
		FleetSize: 2, Slots: 6, MaxOpenMessages: 60, MaxAttempts: 5, MayCancel: true, Tick: 5 * ms,
		MaxRetryAfter: 2 * time.Second, AnswerGrace: 20 * ms, OverloadMultiple: 2, OverloadDuration: 2 * time.Second, ColdCapacity: 0.3,
		WarmUpTime: 8 * time.Second, OrderedPause: 300 * ms, WeightIsRate: true,
	}
}

func fullList(entries ...Entry) ListUpdate { return ListUpdate{Whole: true, Entries: entries} }

// newArrival is a message that arrives now. An unknown class gets a deadline of 10 s.
func (w *scenario) newArrival(id string, class, dest int) MessageArrived {
	d := 10 * time.Second
	if class >= 0 && class < len(w.cfg.Classes) {
		d = w.cfg.Classes[class].Deadline
	}
	return MessageArrived{ID: id, Class: class, Dest: dest, Deadline: w.now + d}
}

// runRandomEvents runs a scenario with random events of all kinds.
func runRandomEvents(t testing.TB, seed uint64, steps int) *scenario {
	return runRandomEventsRestoring(t, seed, steps, 0)
}

// runRandomEventsRestoring does the same and replaces the Sender by its restored snapshot every so many steps.
func runRandomEventsRestoring(t testing.TB, seed uint64, steps, snapshotEvery int) *scenario {
	return runRandomEventsWith(t, seed, steps, snapshotEvery, func(*Settings) {})
}

// runRandomEventsWith does the same with settings that change has modified.
func runRandomEventsWith(t testing.TB, seed uint64, steps, snapshotEvery int, change func(*Settings)) *scenario {
	rng := rand.New(rand.NewPCG(seed, 1))
	cfg := testSettings()
	chance := func(p float64) bool { return rng.Float64() < p }
	for i := range cfg.Classes {
		cfg.Classes[i].Ordered = chance(0.5)
		cfg.Classes[i].AllEndpointsDeduplicate = chance(0.5)
		cfg.Classes[i].Deadline = time.Duration(2+rng.IntN(8)) * time.Second
	}
	cfg.Slots, cfg.MaxAttempts, cfg.MayCancel = rng.IntN(8), rng.IntN(6), chance(0.7)
	cfg.WorthHalves, cfg.ListOnRequest, cfg.ApproximateWeights = chance(0.5), chance(0.3), chance(0.5)
	cfg.MaxOpenMessages = rng.IntN(80)
	if chance(0.3) {
		cfg.Tenants = []Tenant{{PerSecond: 3}, {PerSecond: 1}}
	}
	change(&cfg)
	w := newScenario(t, cfg, seed)
	w.snapshotEvery = snapshotEvery
	var all []Entry
	for i := range 12 {
		all = append(all, Entry{Endpoint: fmt.Sprint("e", i), Dest: i % 5, Kind: i % 5 % 3, Zone: i % 2, Weight: 8})
	}
	w.step(0, fullList(all...))
	failureOdds := map[string]float64{}
	for n := range steps {
		var events []Event
		for _, a := range w.sortedInFlight() {
			f := w.inFlight[a]
			age := w.now - f.sentAt
			late := w.now+5*ms >= f.AbandonAt
			if !late && !chance(0.05) {
				continue
			}
			e := AttemptEnded{ID: a.id, Attempt: a.number, Endpoint: f.Endpoint, Took: age}
			switch {
			case late:
				e.Outcome = TimedOut
			case chance(failureOdds[f.Endpoint]):
				e.Outcome = Outcome(1 + rng.IntN(7))
				if e.Outcome == Rejected && chance(0.6) {
					e.RetryAfter = time.Duration(rng.IntN(3000)) * ms
				}
			}
			e.MessageDone = e.Outcome == Success || w.messages[a.id].ended
			if chance(0.3) {
				e.Report = LimitReport{Left: rng.Float64()*3 - 1, Limit: rng.Float64()*20 - 2, HasLeft: true, HasLimit: true}
			}
			// In reality all messages of a batch have the same outcome. Here they may differ, which is harder.
			events = append(events, e)
		}
		for range rng.IntN(3) {
			if chance(0.6) {
				a := w.newArrival(fmt.Sprint("m", n, "-", len(events)), rng.IntN(3), rng.IntN(6))
				a.Key, a.Tenant = fmt.Sprint("k", rng.IntN(6)), rng.IntN(2)
				events = append(events, a)
			}
		}
		if chance(0.02) {
			failureOdds[fmt.Sprint("e", rng.IntN(12))] = rng.Float64() * 1.2
		}
		if chance(0.02) {
			e := all[rng.IntN(len(all))]
			e.Phase = Phase(rng.IntN(3))
			events = append(events, ListUpdate{Entries: []Entry{e}})
		}
		if chance(0.005) {
			events = append(events, fullList(all[rng.IntN(6):]...))
		}
		if id := fmt.Sprint("e", rng.IntN(12)); chance(0.01) {
			events = append(events, EndpointDisabled{id})
		} else if chance(0.02) {
			events = append(events, EndpointEnabled{id})
		}
		if chance(0.005) {
			events = append(events, ListUpdate{Failed: true})
		}
		if len(w.messageOrder) > 0 && chance(0.01) {
			events = append(events, MessageDropped{ID: w.messageOrder[rng.IntN(len(w.messageOrder))]})
		}
		if chance(0.01) {
			events = append(events, AttemptEnded{ID: "nobody", Endpoint: "e0"}, ProbeEnded{Endpoint: "nowhere", Outcome: ServerError})
		}
		w.step(time.Duration(5*(1+rng.IntN(4)))*ms, append(events, WakeDue{Tag: "sweep"})...)
	}
	w.drainAll()
	return w
}
