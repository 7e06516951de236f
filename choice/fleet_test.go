package choice

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetWorld steps the senders of a fleet in module time, with one partner whose limit all share and whose refused
// calls use up the limit, and with notes that come late, twice or not at all.
type fleetWorld struct {
	t       *testing.T
	cfg     Settings
	senders []*Sender // nil for one that is down
	now     time.Duration
	rng     *rand.Rand
	queue   happenings
	seq     int
	wakes   []time.Duration

	limit, level, weight float64 // calls a second, how many of them are free now, and what the list says
	filled               time.Duration
	spans                bool // the limit is a count in each second
	down                 bool
	odd                  float64      // share of the calls that are refused whatever the limit
	old                  map[int]bool // senders whose list names an endpoint that is gone
	passed, full, failed int
	calls                []madeCall
	met                  map[int]bool // senders that called while it was down
	answered             map[string]bool
	attempts             map[string]int
	lose, repeat         float64
	late                 time.Duration // how much later some of the notes come
	cut                  func(from, to int) bool
}

type madeCall struct {
	at time.Duration
	by int
}

type happening struct {
	at  time.Duration
	seq int
	do  func()
}

type happenings []happening

func (q happenings) Len() int { return len(q) }
func (q happenings) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q happenings) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *happenings) Push(x any)   { *q = append(*q, x.(happening)) }
func (q *happenings) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const fleetLimit = 20.0

func newFleet(t *testing.T, senders int, tell bool) *fleetWorld {
	cfg := settings()
	cfg.Fleet, cfg.MayTell, cfg.MaxAttempts = senders, tell, 12
	w := &fleetWorld{
		t: t, cfg: cfg, senders: make([]*Sender, senders), now: time.Hour, rng: rand.New(rand.NewPCG(7, 7)),
		wakes: make([]time.Duration, senders), limit: fleetLimit, weight: fleetLimit, filled: time.Hour, answered: map[string]bool{}, met: map[int]bool{},
		attempts: map[string]int{},
	}
	for i := range senders {
		w.start(i)
	}
	return w
}

func (w *fleetWorld) start(i int) {
	cfg := w.cfg
	cfg.Number = i
	w.senders[i] = New(cfg, w.rng.Uint64())
	w.wakes[i] = 0
	w.step(i, list(Entry{Endpoint: w.endpoint(i), Weight: w.weight}))
}

func (w *fleetWorld) endpoint(i int) string {
	if w.old[i] {
		return "gone"
	}
	return "p"
}

func (w *fleetWorld) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, happening{w.now + d, w.seq, do})
}

// step lets a sender decide; what it has to say of an earlier life reaches nobody.
func (w *fleetWorld) step(i int, events ...Event) {
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
			if left := a.NotPast - w.now; took > left {
				o, took = TimedOut, left
			}
			w.after(took, func() {
				if w.senders[i] != s {
					return
				}
				if o == Pass {
					w.end(a.ID)
				}
				w.step(i, Ended{ID: a.ID, Attempt: n, Endpoint: a.Endpoint, Outcome: o, Took: took, Closed: o == Pass})
			})
		case PushBack:
			w.end(a.ID)
		case Fail:
			w.end(a.ID)
		case Tell:
			w.carry(i, a)
		case Wake:
			w.wakes[i] = a.At
			w.after(a.At-w.now, func() {
				if w.senders[i] == s && w.wakes[i] == a.At {
					w.step(i, Rang{Tag: a.Tag})
				}
			})
		}
	}
}

func (w *fleetWorld) carry(from int, a Tell) {
	copies := 1
	if w.cut != nil && w.cut(from, a.To) {
		return
	}
	if w.rng.Float64() < w.lose {
		copies = 0
	} else if w.rng.Float64() < w.repeat {
		copies = 3
	}
	for range copies {
		d := time.Duration(1500+w.rng.IntN(28500)) * time.Microsecond
		if w.late > 0 && w.rng.IntN(10) == 0 {
			d += time.Duration(w.rng.Int64N(int64(w.late)))
		}
		w.after(d, func() { w.step(a.To, Told{From: from, Text: a.Text}) })
	}
}

// call is what the partner makes of a call now.
func (w *fleetWorld) call(by int, endpoint string) (Outcome, time.Duration) {
	w.calls = append(w.calls, madeCall{w.now, by})
	if w.down {
		w.met[by] = true
	}
	if w.down || endpoint == "gone" {
		w.failed++
		return ConnectFailed, 30 * ms
	}
	if w.spans && w.now/time.Second != w.filled/time.Second {
		w.level = w.limit
	} else if !w.spans {
		w.level = min(w.level+w.limit*seconds(w.now-w.filled), w.limit/4)
	}
	w.filled = w.now
	w.level--
	if w.level < 0 || w.rng.Float64() < w.odd {
		w.full++
		return Rejected, 60 * ms
	}
	w.passed++
	return Pass, 100*ms + time.Duration(w.rng.IntN(int(200*ms)))
}

func (w *fleetWorld) end(id string) {
	if w.answered[id] {
		w.t.Errorf("%s ended twice", id)
	}
	w.answered[id] = true
}

// run goes on for a while with so many messages a second, spread unevenly over the senders.
func (w *fleetWorld) run(length time.Duration, perSecond float64) {
	w.t.Helper()
	end := w.now + length
	next := w.now
	for {
		gap := time.Duration(w.rng.ExpFloat64() / perSecond * float64(time.Second))
		next += gap
		at := min(next, end)
		for len(w.queue) > 0 && w.queue[0].at <= at {
			h := heap.Pop(&w.queue).(happening)
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
			w.step(i, Arrived{ID: id, DropDead: w.now + 10*time.Second})
		}
	}
}

func TestAFleetKeepsToALimitThatNoneSees(t *testing.T) {
	alone := newFleet(t, 40, false)
	alone.run(20*time.Second, 1.5*fleetLimit)
	w := newFleet(t, 40, true)
	w.run(20*time.Second, 1.5*fleetLimit)
	if least := int(0.9 * 20 * fleetLimit); w.passed < least || w.full > w.passed/10 {
		t.Errorf("%d calls passed and %d were refused; at least %d could pass", w.passed, w.full, least)
	}
	if alone.passed > w.passed*3/4 {
		t.Errorf("without notes %d passed, with them %d: the test does not tell", alone.passed, w.passed)
	}
}

func TestAFleetFindsALoweredLimit(t *testing.T) {
	w := newFleet(t, 40, true)
	w.run(3*time.Second, fleetLimit)
	w.limit = fleetLimit / 3
	w.run(2*time.Second, fleetLimit)
	w.passed, w.full = 0, 0
	w.run(8*time.Second, fleetLimit)
	if least := int(0.6 * 8 * w.limit); w.passed < least || w.full > w.passed {
		t.Errorf("%d calls passed and %d were refused; at least %d could pass", w.passed, w.full, least)
	}
	w.limit = fleetLimit
	w.run(4*time.Second, fleetLimit)
	w.passed = 0
	w.run(4*time.Second, 1.5*fleetLimit)
	if least := int(0.85 * 4 * fleetLimit); w.passed < least {
		t.Errorf("%d calls passed after the limit was back; at least %d could", w.passed, least)
	}
}

// Neither the list nor an answer tells the limit: the keeper finds it from what passes, follows it down, and comes back
// up to it.
func TestAFleetFindsALimitThatNobodyTells(t *testing.T) {
	w := newFleet(t, 40, true)
	w.cfg.Weighted = false
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
		w.passed, w.full = 0, 0
		w.run(c.span, 1.5*fleetLimit)
		all := c.limit * seconds(c.span)
		t.Logf("%s: %d passed and %d refused of %.0f", c.name, w.passed, w.full, all)
		if float64(w.passed) < c.least*all || float64(w.full) > c.most*all {
			t.Errorf("%s: %d calls passed and %d were refused, of %.0f that could pass", c.name, w.passed, w.full, all)
		}
	}
}

// All begin at the same moment, remember nothing, and hold far more than their cold partner bears: what they send together
// stays under that, whether or not they hear each other.
func TestAFleetThatBeginsSparesAColdPartner(t *testing.T) {
	for name, lose := range map[string]float64{"heard": 0, "half heard": 0.5, "deaf": 1} {
		for _, size := range []int{10, 40, 300} {
			w := newFleet(t, size, true)
			w.cfg.Cautious, w.lose = true, lose
			for i := range w.senders {
				w.start(i)
			}
			span := w.cfg.Fall
			w.run(span, 10*fleetLimit)
			warm := w.cfg.ColdFrom + (1-w.cfg.ColdFrom)*seconds(span)/2/seconds(w.cfg.WarmWithin)
			bears := w.cfg.FallMultiple * warm * fleetLimit * seconds(span)
			t.Logf("%s, %d senders: %d calls in %v, %.0f are borne", name, size, w.passed+w.full, span, bears)
			if calls := float64(w.passed + w.full); calls > bears+1 { // one more by chance
				t.Errorf("%s, %d senders: %v calls, and %.0f are borne", name, size, calls, bears)
			}
			if lose == 0 && w.passed == 0 {
				t.Errorf("%s, %d senders: nothing passes", name, size)
			}
		}
	}
}

// Nobody tells a limit and nobody hears anybody, from the first moment on: what a partner without a limit could take is
// sent all the same, and one with a limit is not asked for many times what it takes.
func TestADeafFleetWithoutToldLimitsGoesOn(t *testing.T) {
	for name, c := range map[string]struct {
		senders            int
		limit, least, most float64
	}{
		"40, no limit":   {40, 1000 * fleetLimit, 0.9, 1.1},
		"40, a low one":  {40, fleetLimit / 2, 0.15, 1}, // a refused call uses it up as well
		"300, no limit":  {300, 1000 * fleetLimit, 0.9, 1.1},
		"300, a low one": {300, fleetLimit / 2, 0.01, 1}, // first calls alone are more than it takes
	} {
		w := newFleet(t, c.senders, true)
		w.cfg.Weighted, w.lose, w.limit = false, 1, c.limit
		for i := range w.senders {
			w.start(i)
		}
		w.run(30*time.Second, fleetLimit)
		w.run(11*time.Second, 0.001)
		came := 30 * fleetLimit
		t.Logf("%s: %d passed and %d refused of %.0f", name, w.passed, w.full, came)
		if float64(w.passed) < c.least*came || float64(w.passed+w.full) > c.most*came {
			t.Errorf("%s: %d calls passed and %d were refused, of %.0f messages", name, w.passed, w.full, came)
		}
	}
}

func TestAFleetTriesAStruckPartnerOnce(t *testing.T) {
	w := newFleet(t, 40, true)
	w.run(3*time.Second, fleetLimit)
	w.down = true
	w.run(time.Second, fleetLimit)
	w.failed = 0
	w.run(5*time.Second, fleetLimit)
	if w.failed < 3 || w.failed > 25 {
		t.Errorf("%d trials in 5 s, of a fleet of %d", w.failed, len(w.senders))
	}
	w.down, w.passed = false, 0
	w.run(time.Second, fleetLimit)
	if w.passed == 0 {
		t.Error("the return is not noticed within a second")
	}
	if most := int(2*w.cfg.FallMultiple*w.cfg.ColdFrom*fleetLimit) + 2; w.passed+w.full > most {
		t.Errorf("%d calls in the first second of the return, over %d", w.passed+w.full, most)
	}
}

func TestNotesThatAreLostRepeatedOrOld(t *testing.T) {
	without := newFleet(t, 40, false)
	without.run(20*time.Second, 1.5*fleetLimit)
	for _, c := range []struct {
		name         string
		lose, repeat float64
		late         time.Duration
		least        float64 // share of the limit
	}{
		{"some lost", 0.1, 0, 0, 0.8},
		{"repeated", 0, 0.5, 0, 0.85},
		{"old", 0, 0.1, 5 * time.Second, 0.8},
		{"all lost", 1, 0, 0, 0.5 * float64(without.passed) / (20 * fleetLimit)},
	} {
		w := newFleet(t, 40, true)
		w.lose, w.repeat, w.late = c.lose, c.repeat, c.late
		w.run(20*time.Second, 1.5*fleetLimit)
		if least := int(c.least * 20 * fleetLimit); w.passed < least {
			t.Errorf("%s: %d calls passed and %d were refused; at least %d should pass", c.name, w.passed, w.full, least)
		}
		arrivals := len(w.answered)
		w.run(11*time.Second, 0.001)
		for id := range w.attempts {
			if !w.answered[id] {
				t.Errorf("%s: %s has no end", c.name, id)
			}
		}
		if arrivals == 0 {
			t.Errorf("%s: nothing ended", c.name)
		}
	}
}

// Most of a fleet is killed at once and comes back: whoever kept the limit is gone, then there again.
func TestKeepersThatDie(t *testing.T) {
	w := newFleet(t, 40, true)
	w.run(2*time.Second, fleetLimit)
	first := w.senders[0].keeper(w.senders[0].dests[0], 0)
	for i := range 40 {
		if i == first || i%3 != 0 {
			w.senders[i] = nil
		}
	}
	w.passed, w.full = 0, 0
	w.run(3*time.Second, 2*fleetLimit)
	if least := int(0.5 * 3 * fleetLimit); w.passed < least {
		t.Errorf("%d calls passed while keepers were down; at least %d should", w.passed, least)
	}
	for i := range 40 {
		if w.senders[i] == nil {
			w.start(i)
		}
	}
	w.run(2*time.Second, fleetLimit)
	w.passed, w.full = 0, 0
	w.run(6*time.Second, 1.5*fleetLimit)
	if least := int(0.75 * 6 * fleetLimit); w.passed < least || w.full > w.passed/5 {
		t.Errorf("%d calls passed and %d were refused after the return; at least %d could pass", w.passed, w.full, least)
	}
	for i, s := range w.senders {
		if c := s.dests[0].claim; c.rank != 0 && c.heardAt > w.now-time.Second {
			t.Errorf("sender %d still asks keeper %d", i, c.rank)
		}
	}
}

func TestNotesAreReadAsWritten(t *testing.T) {
	for _, n := range []note{
		{kind: noteAsk, dest: 300, route: 9, seq: 65535, seen: 7, count: 3, urgency: 255},
		{kind: noteGrant, dest: 1, route: 500, seq: 3, count: 1},
		{kind: noteEnd, dest: 2, route: 4, outcome: Rejected, wait: 785 * ms},
	} {
		b := n.encode()
		if got, ok := decodeNote(b); !ok || got != n {
			t.Errorf("%+v came as %+v, %v", n, got, ok)
		}
		for cut := range b {
			if _, ok := decodeNote(b[:cut]); ok && cut != len(b) {
				t.Errorf("%d of %d bytes were read as a note", cut, len(b))
			}
		}
	}
	w := newStory(t, settings(), 1)
	w.s.cfg.MayTell = true
	w.step(0, one())
	for _, text := range [][]byte{nil, {0}, []byte("g\x00\x00\x00\x00\x00\x00\xff"), []byte("e\x00\x00\x00\x00\xff\x00\x00"), []byte("xxxxxxxxxxxxxxxxxxxxxxx")} {
		w.step(ms, Told{From: 1, Text: text}, Told{From: 77, Text: text}, Told{From: -1, Text: text})
	}
	if n := len(w.s.dests[0].claim.grants); n != 0 {
		t.Errorf("%d grants that were not asked for", n)
	}
}

// A few refusals come at any pace, as of a queue that is full for a moment; giving up pace for each would cost more
// than the refusals do.
func TestAFleetKeepsItsPaceThroughOddRefusals(t *testing.T) {
	w := newFleet(t, 40, true)
	w.odd = 0.1
	w.run(3*time.Second, fleetLimit)
	w.passed = 0
	w.run(15*time.Second, 1.5*fleetLimit)
	if least := int(0.65 * 15 * fleetLimit); w.passed < least {
		t.Errorf("%d calls passed and %d were refused; at least %d could pass", w.passed, w.full, least)
	}
}

// After a herd of restarts most senders have a list whose endpoints are gone, the keeper among them. That is no
// outage for the others.
func TestSendersWithAnOldListDontStrikeForAll(t *testing.T) {
	w := newFleet(t, 40, true)
	first := w.senders[0].keeper(w.senders[0].dests[0], 0)
	w.old = map[int]bool{first: true}
	for i := range 40 {
		if i%2 == 0 {
			w.old[i] = true
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

func TestAnEndpointWithoutConnectionsStrikesNotItsRoute(t *testing.T) {
	w := newStory(t, settings(), 1)
	w.step(0, list(Entry{Endpoint: "a", Weight: 1000}, Entry{Endpoint: "gone", Weight: 1000}))
	refuse := func(id string) {
		for range 6 {
			w.s.judge(&call{ep: w.s.eps[id]}, Ended{Outcome: ConnectFailed, Took: 30 * ms})
		}
	}
	if refuse("gone"); w.s.eps["a"].route.recovering() {
		t.Error("one endpoint that is gone has its whole partner struck")
	}
	m := &message{class: &w.cfg.Classes[0], dest: w.s.eps["a"].dest, arrived: w.s.now, dropDead: w.s.now + time.Minute}
	w.s.refill(w.s.eps["a"].route)
	for range 50 {
		if e := w.s.draw(m, w.s.check); e == nil || e.id != "a" {
			t.Fatalf("drawn: %v, where another endpoint takes connections", e)
		}
	}
	if refuse("a"); !w.s.eps["a"].route.recovering() {
		t.Error("a partner none of whose endpoints takes connections is not struck")
	}
}

func TestGrantsThatOvertakeEachOtherCountOnce(t *testing.T) {
	var c claim
	for _, g := range []struct {
		seq   uint16
		fresh bool
	}{
		{65534, true}, {65534, false}, {1, true}, {65535, true}, {0, true}, {65535, false}, {0, false}, {2, true},
		{1, false}, {900, true}, {899, true}, {899, false}, {30000, true}, {29999, true},
	} {
		if got := c.fresh(g.seq); got != g.fresh {
			t.Errorf("grant %d is fresh: %v", g.seq, got)
		}
	}
}

// A grant for a message that has ended meanwhile is no loss to the others.
func TestUnusedGrantsComeBack(t *testing.T) {
	w := newStory(t, settings(), 1)
	w.s.cfg.MayTell, w.s.cfg.Fleet = true, 2
	w.step(0, list(Entry{Endpoint: "a", Weight: 100}))
	d := w.s.dests[0]
	if w.s.keeper(d, 0) != 0 {
		d.keepers = []int{0, 1}
	}
	w.step(time.Second)
	d.claim.grants = []grant{{route: 0, until: w.now + grantLast}}
	f := w.s.fleet(d.endpoints[0])
	f.weight, f.tokens, f.tokensAt = 1, 0, w.now
	d.active = true
	w.s.active = append(w.s.active, d)
	w.s.now = w.now + grantLast
	if w.s.claims(); len(d.claim.grants) != 0 || f.tokens < 1 {
		t.Errorf("%d grants are kept and %v calls may go", len(d.claim.grants), f.tokens)
	}
}
