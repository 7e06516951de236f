package choice

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetSim simulates the Senders of a fleet with one destination whose rate limit they share. Refused calls count
// against the limit as well. Datagrams may be delayed, duplicated or lost. It runs in simulated time.
type fleetSim struct {
	t       *testing.T
	cfg     Settings
	senders []*Sender // nil for a node that is down
	now     time.Duration
	rng     *rand.Rand
	queue   eventQueue
	seq     int
	wakes   []time.Duration

	limit, tokens, weight   float64 // limit in calls per second, calls that are free now, and the limit in the list
	refilledAt              time.Duration
	windowedLimit           bool // the limit is a number of calls in each second, and no token bucket
	down                    bool
	randomRefusals          float64      // share of the calls that are refused regardless of the limit
	staleList               map[int]bool // nodes whose list has an endpoint that is gone
	passed, refused, failed int
	calls                   []callRecord
	sawOutage               map[int]bool // nodes that made a call while the destination was down
	answered                map[string]bool
	attempts                map[string]int
	lossRate, duplicateRate float64
	maxExtraDelay           time.Duration // longest extra delay of a datagram; one in ten has some
	blocked                 func(from, to int) bool
}

// callRecord is a call that the destination got.
type callRecord struct {
	at     time.Duration
	sender int
}

type scheduledEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const fleetLimit = 20.0

func newFleetSim(t *testing.T, senders int, datagrams bool) *fleetSim {
	cfg := testSettings()
	cfg.FleetSize, cfg.PeerDatagrams, cfg.MaxAttempts = senders, datagrams, 12
	w := &fleetSim{
		t: t, cfg: cfg, senders: make([]*Sender, senders), now: time.Hour, rng: rand.New(rand.NewPCG(7, 7)),
		wakes: make([]time.Duration, senders), limit: fleetLimit, weight: fleetLimit, refilledAt: time.Hour, answered: map[string]bool{}, sawOutage: map[int]bool{},
		attempts: map[string]int{},
	}
	for i := range senders {
		w.start(i)
	}
	return w
}

func (w *fleetSim) start(i int) {
	cfg := w.cfg
	cfg.Number = i
	w.senders[i] = New(cfg, w.rng.Uint64())
	w.wakes[i] = 0
	w.step(i, fullList(Entry{Endpoint: w.endpoint(i), Weight: w.weight}))
}

func (w *fleetSim) endpoint(i int) string {
	if w.staleList[i] {
		return "gone"
	}
	return "p"
}

func (w *fleetSim) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, scheduledEvent{w.now + d, w.seq, do})
}

// step passes events to a Sender and carries out its actions. Outcomes and wakes of an earlier process are dropped.
func (w *fleetSim) step(i int, events ...Event) {
	s := w.senders[i]
	if s == nil {
		return
	}
	for _, a := range s.Step(w.now, events) {
		switch a := a.(type) {
		case Send:
			n := w.attempts[a.ID]
			w.attempts[a.ID]++
			o, took := w.call(i, a.Endpoint)
			if left := a.AbandonAt - w.now; took > left {
				o, took = TimedOut, left
			}
			w.after(took, func() {
				if w.senders[i] != s {
					return
				}
				if o == Success {
					w.endMessage(a.ID)
				}
				w.step(i, AttemptEnded{ID: a.ID, Attempt: n, Endpoint: a.Endpoint, Outcome: o, Took: took, MessageDone: o == Success})
			})
		case Refuse:
			w.endMessage(a.ID)
		case Fail:
			w.endMessage(a.ID)
		case SendDatagram:
			w.deliver(i, a)
		case Wake:
			w.wakes[i] = a.At
			w.after(a.At-w.now, func() {
				if w.senders[i] == s && w.wakes[i] == a.At {
					w.step(i, WakeDue{Tag: a.Tag})
				}
			})
		}
	}
}

// deliver delivers a datagram once, three times or not at all.
func (w *fleetSim) deliver(from int, a SendDatagram) {
	copies := 1
	if w.blocked != nil && w.blocked(from, a.To) {
		return
	}
	if w.rng.Float64() < w.lossRate {
		copies = 0
	} else if w.rng.Float64() < w.duplicateRate {
		copies = 3
	}
	for range copies {
		d := time.Duration(1500+w.rng.IntN(28500)) * time.Microsecond
		if w.maxExtraDelay > 0 && w.rng.IntN(10) == 0 {
			d += time.Duration(w.rng.Int64N(int64(w.maxExtraDelay)))
		}
		w.after(d, func() { w.step(a.To, DatagramReceived{From: from, Payload: a.Payload}) })
	}
}

// call is the outcome of a call that starts now, and how long it takes.
func (w *fleetSim) call(by int, endpoint string) (Outcome, time.Duration) {
	w.calls = append(w.calls, callRecord{w.now, by})
	if w.down {
		w.sawOutage[by] = true
	}
	if w.down || endpoint == "gone" {
		w.failed++
		return ConnectFailed, 30 * ms
	}
	if w.windowedLimit && w.now/time.Second != w.refilledAt/time.Second {
		w.tokens = w.limit
	} else if !w.windowedLimit {
		w.tokens = min(w.tokens+w.limit*seconds(w.now-w.refilledAt), w.limit/4)
	}
	w.refilledAt = w.now
	w.tokens--
	if w.tokens < 0 || w.rng.Float64() < w.randomRefusals {
		w.refused++
		return Rejected, 60 * ms
	}
	w.passed++
	return Success, 100*ms + time.Duration(w.rng.IntN(int(200*ms)))
}

func (w *fleetSim) endMessage(id string) {
	if w.answered[id] {
		w.t.Errorf("%s ended twice", id)
	}
	w.answered[id] = true
}

// run simulates some time with the given rate of messages, spread unevenly over the nodes.
func (w *fleetSim) run(length time.Duration, perSecond float64) {
	w.t.Helper()
	end := w.now + length
	next := w.now
	for {
		gap := time.Duration(w.rng.ExpFloat64() / perSecond * float64(time.Second))
		next += gap
		at := min(next, end)
		for len(w.queue) > 0 && w.queue[0].at <= at {
			h := heap.Pop(&w.queue).(scheduledEvent)
			w.now = h.at
			h.do()
		}
		if w.now = at; at == end {
			return
		}
		i := min(w.rng.IntN(len(w.senders)), w.rng.IntN(len(w.senders)))
		w.seq++
		id := fmt.Sprint("m", w.seq)
		if w.senders[i] != nil {
			w.step(i, MessageArrived{ID: id, Deadline: w.now + 10*time.Second})
		}
	}
}

func TestFleetKeepsToSharedLimit(t *testing.T) {
	uncoordinated := newFleetSim(t, 40, false)
	uncoordinated.run(20*time.Second, 1.5*fleetLimit)
	w := newFleetSim(t, 40, true)
	w.run(20*time.Second, 1.5*fleetLimit)
	if least := int(0.9 * 20 * fleetLimit); w.passed < least || w.refused > w.passed/10 {
		t.Errorf("%d calls passed and %d were refused; at least %d could pass", w.passed, w.refused, least)
	}
	if uncoordinated.passed > w.passed*3/4 {
		t.Errorf("%d passed without datagrams and %d with them: the test cannot tell the difference", uncoordinated.passed, w.passed)
	}
}

func TestFleetAdaptsToLoweredLimit(t *testing.T) {
	w := newFleetSim(t, 40, true)
	w.run(3*time.Second, fleetLimit)
	w.limit = fleetLimit / 3
	w.run(2*time.Second, fleetLimit)
	w.passed, w.refused = 0, 0
	w.run(8*time.Second, fleetLimit)
	if least := int(0.6 * 8 * w.limit); w.passed < least || w.refused > w.passed {
		t.Errorf("%d calls passed and %d were refused; at least %d could pass", w.passed, w.refused, least)
	}
	w.limit = fleetLimit
	w.run(4*time.Second, fleetLimit)
	w.passed = 0
	w.run(4*time.Second, 1.5*fleetLimit)
	if least := int(0.85 * 4 * fleetLimit); w.passed < least {
		t.Errorf("%d calls passed after the limit was back; at least %d could", w.passed, least)
	}
}

// Neither the list nor the destination reports the limit. The coordinator must estimate it from the calls that
// succeed, follow it down, and return to it when it rises.
func TestFleetEstimatesUnreportedLimit(t *testing.T) {
	w := newFleetSim(t, 40, true)
	w.cfg.WeightIsRate = false
	for i := range w.senders {
		w.start(i)
	}
	for _, c := range []struct {
		name         string
		limit        float64
		settle, span time.Duration
		least, most  float64 // passed and refused, as shares of the limit
	}{
		{"found", fleetLimit, 5 * time.Second, 10 * time.Second, 0.7, 0.25},
		{"lowered", fleetLimit / 2, 5 * time.Second, 10 * time.Second, 0.6, 0.5},
		{"back", fleetLimit, 15 * time.Second, 10 * time.Second, 0.7, 0.25},
	} {
		w.limit = c.limit
		w.run(c.settle, 1.5*fleetLimit)
		w.passed, w.refused = 0, 0
		w.run(c.span, 1.5*fleetLimit)
		all := c.limit * seconds(c.span)
		t.Logf("%s: %d passed and %d refused of %.0f", c.name, w.passed, w.refused, all)
		if float64(w.passed) < c.least*all || float64(w.refused) > c.most*all {
			t.Errorf("%s: %d calls passed and %d were refused, of %.0f that could pass", c.name, w.passed, w.refused, all)
		}
	}
}

// All nodes start at the same moment without memory, and hold far more messages than the cold destination can take.
// Together they must stay below what it tolerates, whether or not they hear each other.
func TestStartingFleetDoesNotOverloadColdDestination(t *testing.T) {
	for name, lossRate := range map[string]float64{"heard": 0, "half heard": 0.5, "deaf": 1} {
		for _, size := range []int{10, 40, 300} {
			w := newFleetSim(t, size, true)
			w.cfg.ColdStart, w.lossRate = true, lossRate
			for i := range w.senders {
				w.start(i)
			}
			span := w.cfg.OverloadDuration
			w.run(span, 10*fleetLimit)
			warm := w.cfg.ColdCapacity + (1-w.cfg.ColdCapacity)*seconds(span)/2/seconds(w.cfg.WarmUpTime)
			tolerated := w.cfg.OverloadMultiple * warm * fleetLimit * seconds(span)
			t.Logf("%s, %d nodes: %d calls in %v, %.0f are tolerated", name, size, w.passed+w.refused, span, tolerated)
			if calls := float64(w.passed + w.refused); calls > tolerated+1 { // one more by chance
				t.Errorf("%s, %d nodes: %v calls, and %.0f are tolerated", name, size, calls, tolerated)
			}
			if lossRate == 0 && w.passed == 0 {
				t.Errorf("%s, %d nodes: no call succeeds", name, size)
			}
		}
	}
}

// No limit is reported and no datagram arrives, from the start on. A destination without a limit must still get all
// messages, and one with a limit must not get many times what it takes.
func TestFleetWithoutDatagramsOrReportedLimitsKeepsSending(t *testing.T) {
	for name, c := range map[string]struct {
		senders            int
		limit, least, most float64
	}{
		"40, no limit":   {40, 1000 * fleetLimit, 0.9, 1.1},
		"40, a low one":  {40, fleetLimit / 2, 0.15, 1}, // refused calls count against the limit as well
		"300, no limit":  {300, 1000 * fleetLimit, 0.9, 1.1},
		"300, a low one": {300, fleetLimit / 2, 0.01, 1}, // the first call of each node alone exceeds the limit
	} {
		w := newFleetSim(t, c.senders, true)
		w.cfg.WeightIsRate, w.lossRate, w.limit = false, 1, c.limit
		for i := range w.senders {
			w.start(i)
		}
		w.run(30*time.Second, fleetLimit)
		w.run(11*time.Second, 0.001)
		came := 30 * fleetLimit
		t.Logf("%s: %d passed and %d refused of %.0f", name, w.passed, w.refused, came)
		if float64(w.passed) < c.least*came || float64(w.passed+w.refused) > c.most*came {
			t.Errorf("%s: %d calls passed and %d were refused, of %.0f messages", name, w.passed, w.refused, came)
		}
	}
}

func TestFleetSendsSingleTrialsDuringOutage(t *testing.T) {
	w := newFleetSim(t, 40, true)
	w.run(3*time.Second, fleetLimit)
	w.down = true
	w.run(time.Second, fleetLimit)
	w.failed = 0
	w.run(5*time.Second, fleetLimit)
	if w.failed < 3 || w.failed > 25 {
		t.Errorf("%d trials in 5 s by a fleet of %d nodes", w.failed, len(w.senders))
	}
	w.down, w.passed = false, 0
	w.run(time.Second, fleetLimit)
	if w.passed == 0 {
		t.Error("the end of the outage is not noticed within a second")
	}
	if most := int(2*w.cfg.OverloadMultiple*w.cfg.ColdCapacity*fleetLimit) + 2; w.passed+w.refused > most {
		t.Errorf("%d calls in the first second after the outage, more than %d", w.passed+w.refused, most)
	}
}

func TestLostDuplicatedOrDelayedDatagrams(t *testing.T) {
	withoutDatagrams := newFleetSim(t, 40, false)
	withoutDatagrams.run(20*time.Second, 1.5*fleetLimit)
	for _, c := range []struct {
		name         string
		lose, repeat float64
		late         time.Duration
		least        float64 // share of the limit
	}{
		{"some lost", 0.1, 0, 0, 0.8},
		{"repeated", 0, 0.5, 0, 0.85},
		{"old", 0, 0.1, 5 * time.Second, 0.8},
		{"all lost", 1, 0, 0, 0.5 * float64(withoutDatagrams.passed) / (20 * fleetLimit)},
	} {
		w := newFleetSim(t, 40, true)
		w.lossRate, w.duplicateRate, w.maxExtraDelay = c.lose, c.repeat, c.late
		w.run(20*time.Second, 1.5*fleetLimit)
		if least := int(c.least * 20 * fleetLimit); w.passed < least {
			t.Errorf("%s: %d calls passed and %d were refused; at least %d should pass", c.name, w.passed, w.refused, least)
		}
		arrivals := len(w.answered)
		w.run(11*time.Second, 0.001)
		for id := range w.attempts {
			if !w.answered[id] {
				t.Errorf("%s: %s has no final answer", c.name, id)
			}
		}
		if arrivals == 0 {
			t.Errorf("%s: no message ended", c.name)
		}
	}
}

// Two thirds of a fleet crash at once, the coordinator among them, and come back later.
func TestCoordinatorCrash(t *testing.T) {
	w := newFleetSim(t, 40, true)
	w.run(2*time.Second, fleetLimit)
	first := w.senders[0].coordinator(w.senders[0].destinations[0], 0)
	for i := range 40 {
		if i == first || i%3 != 0 {
			w.senders[i] = nil
		}
	}
	w.passed, w.refused = 0, 0
	w.run(3*time.Second, 2*fleetLimit)
	if least := int(0.5 * 3 * fleetLimit); w.passed < least {
		t.Errorf("%d calls passed while coordinators were down; at least %d should", w.passed, least)
	}
	for i := range 40 {
		if w.senders[i] == nil {
			w.start(i)
		}
	}
	w.run(2*time.Second, fleetLimit)
	w.passed, w.refused = 0, 0
	w.run(6*time.Second, 1.5*fleetLimit)
	if least := int(0.75 * 6 * fleetLimit); w.passed < least || w.refused > w.passed/5 {
		t.Errorf("%d calls passed and %d were refused after the restart; at least %d could pass", w.passed, w.refused, least)
	}
	for i, s := range w.senders {
		if c := s.destinations[0].requester; c.coordinatorRank != 0 && c.answeredAt > w.now-time.Second {
			t.Errorf("node %d still sends requests to the coordinator of rank %d", i, c.coordinatorRank)
		}
	}
}

func TestDatagramRoundTrip(t *testing.T) {
	for _, n := range []datagram{
		{kind: datagramRequest, dest: 300, route: 9, seq: 65535, lastGrantSeq: 7, count: 3, urgency: 255},
		{kind: datagramGrant, dest: 1, route: 500, seq: 3, count: 1},
		{kind: datagramCallEnd, dest: 2, route: 4, outcome: Rejected, wait: 785 * ms},
	} {
		b := n.encode()
		if got, ok := decodeDatagram(b); !ok || got != n {
			t.Errorf("%+v was decoded as %+v, %v", n, got, ok)
		}
		for cut := range b {
			if _, ok := decodeDatagram(b[:cut]); ok && cut != len(b) {
				t.Errorf("%d of %d bytes were decoded as a datagram", cut, len(b))
			}
		}
	}
	w := newScenario(t, testSettings(), 1)
	w.sender.cfg.PeerDatagrams = true
	w.step(0, oneEndpoint())
	for _, text := range [][]byte{nil, {0}, []byte("g\x00\x00\x00\x00\x00\x00\xff"), []byte("e\x00\x00\x00\x00\xff\x00\x00"), []byte("xxxxxxxxxxxxxxxxxxxxxxx")} {
		w.step(ms, DatagramReceived{From: 1, Payload: text}, DatagramReceived{From: 77, Payload: text}, DatagramReceived{From: -1, Payload: text})
	}
	if n := len(w.sender.destinations[0].requester.grants); n != 0 {
		t.Errorf("%d grants were accepted that were not requested", n)
	}
}

// A few calls are refused at any rate, for example when a queue is full for a moment. Cutting the rate for each of
// them would cost more than the refusals do.
func TestOccasionalRefusalsDoNotCutFleetRate(t *testing.T) {
	w := newFleetSim(t, 40, true)
	w.randomRefusals = 0.1
	w.run(3*time.Second, fleetLimit)
	w.passed = 0
	w.run(15*time.Second, 1.5*fleetLimit)
	if least := int(0.65 * 15 * fleetLimit); w.passed < least {
		t.Errorf("%d calls passed and %d were refused; at least %d could pass", w.passed, w.refused, least)
	}
}

// After many restarts at once, half of the nodes have a list whose endpoints are gone, the coordinator among them. For
// the other nodes that is no outage.
func TestStaleListsDoNotOpenCircuitForFleet(t *testing.T) {
	w := newFleetSim(t, 40, true)
	first := w.senders[0].coordinator(w.senders[0].destinations[0], 0)
	w.staleList = map[int]bool{first: true}
	for i := range 40 {
		if i%2 == 0 {
			w.staleList[i] = true
		}
		w.start(i)
	}
	w.run(3*time.Second, fleetLimit)
	w.passed = 0
	w.run(10*time.Second, fleetLimit)
	if least := int(0.35 * 10 * fleetLimit); w.passed < least {
		t.Errorf("%d calls passed, of about %d that could", w.passed, int(0.5*10*fleetLimit))
	}
}

func TestUnreachableEndpointDoesNotOpenRouteCircuit(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, fullList(Entry{Endpoint: "a", Weight: 1000}, Entry{Endpoint: "gone", Weight: 1000}))
	refuse := func(id string) {
		for range 6 {
			w.sender.updateHealth(&call{endpoint: w.sender.endpoints[id]}, AttemptEnded{Outcome: ConnectFailed, Took: 30 * ms})
		}
	}
	if refuse("gone"); w.sender.endpoints["a"].route.recovering() {
		t.Error("one endpoint that is gone opens the circuit of the whole destination")
	}
	m := &message{class: &w.cfg.Classes[0], dest: w.sender.endpoints["a"].dest, arrivedAt: w.sender.now, deadline: w.sender.now + time.Minute}
	w.sender.refill(w.sender.endpoints["a"].route)
	for range 50 {
		if e := w.sender.pickEndpoint(m, w.sender.maySend); e == nil || e.id != "a" {
			t.Fatalf("picked %v, although another endpoint takes connections", e)
		}
	}
	if refuse("a"); !w.sender.endpoints["a"].route.recovering() {
		t.Error("the circuit stays closed although no endpoint takes connections")
	}
}

func TestReorderedGrantsCountOnce(t *testing.T) {
	var c grantRequester
	for _, g := range []struct {
		seq   uint16
		fresh bool
	}{
		{65534, true}, {65534, false}, {1, true}, {65535, true}, {0, true}, {65535, false}, {0, false}, {2, true},
		{1, false}, {900, true}, {899, true}, {899, false}, {30000, true}, {29999, true},
	} {
		if got := c.isNewGrant(g.seq); got != g.fresh {
			t.Errorf("grant %d is new: %v", g.seq, got)
		}
	}
}

// A grant for a message that has ended in the meantime must be available to the other nodes again.
func TestUnusedGrantsAreReturned(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.sender.cfg.PeerDatagrams, w.sender.cfg.FleetSize = true, 2
	w.step(0, fullList(Entry{Endpoint: "a", Weight: 100}))
	d := w.sender.destinations[0]
	if w.sender.coordinator(d, 0) != 0 {
		d.coordinators = []int{0, 1}
	}
	w.step(time.Second)
	d.requester.grants = []grant{{route: 0, expiresAt: w.now + grantTTL}}
	f := w.sender.fleetRoute(d.endpoints[0])
	f.weight, f.tokens, f.refilledAt = 1, 0, w.now
	d.hasWork = true
	w.sender.activeDestinations = append(w.sender.activeDestinations, d)
	w.sender.now = w.now + grantTTL
	if w.sender.requestGrants(); len(d.requester.grants) != 0 || f.tokens < 1 {
		t.Errorf("%d grants are kept, and %v calls may be made", len(d.requester.grants), f.tokens)
	}
}
