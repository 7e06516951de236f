package membership

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	testPeriod  = time.Second
	testTimeout = 200 * time.Millisecond
)

// fleet simulates many cores in virtual time, over a network that loses, duplicates, delays and reorders datagrams.
type fleet struct {
	t                 testing.TB
	rng               *rand.Rand
	now               time.Duration
	ids               []ID
	cores             []*Core // nil while the node is down
	savedIncarnations []uint32
	events            events
	lossRate          float64
	duplicateRate     float64
	delayRate         float64                 // share of the datagrams that arrive up to ten periods late
	blocked           func(from, to int) bool // nil blocks nothing
	pausedUntil       []time.Duration         // a core is stopped before this time
	sent              []int
	bytes             []int
	falselyDead       map[int]bool          // members that were declared dead while they ran
	goneAt            map[int]time.Duration // when a member was first declared gone
	eventSeq          int
}

type event struct {
	at      time.Duration
	seq     int // order of events at the same time
	node    int
	from    int // -1 for a tick
	payload []byte
	core    *Core // the core to tick
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newFleet(t testing.TB, size int, seed uint64) *fleet {
	t.Helper()
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), cores: make([]*Core, size), savedIncarnations: make([]uint32, size),
		pausedUntil: make([]time.Duration, size), sent: make([]int, size), bytes: make([]int, size), falselyDead: map[int]bool{},
		goneAt: map[int]time.Duration{},
	}
	for i := range size {
		f.ids = append(f.ids, IDOf(fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250)))
	}
	return f
}

func (f *fleet) config(i int, incarnation uint32) Config {
	return Config{
		Self: i, Members: f.ids, Incarnation: incarnation, PingInterval: testPeriod, AckTimeout: testTimeout, Seed: f.rng.Uint64(),
	}
}

// start starts a node with the incarnation in its state directory.
func (f *fleet) start(i int) {
	f.savedIncarnations[i]++
	f.startAs(f.config(i, f.savedIncarnations[i]))
}

func (f *fleet) startAs(cfg Config) {
	f.cores[cfg.Self] = New(cfg, f.now)
	f.flush(cfg.Self)
}

func (f *fleet) startAll() *fleet {
	for i := range f.cores {
		f.start(i)
	}
	return f
}

func (f *fleet) kill(nodes ...int) {
	for _, i := range nodes {
		f.cores[i] = nil
		delete(f.goneAt, i)
	}
}

func (f *fleet) push(e event) {
	f.eventSeq++
	e.seq = f.eventSeq
	heap.Push(&f.events, e)
}

// flush sends what a core has queued and schedules its next tick.
func (f *fleet) flush(i int) {
	c := f.cores[i]
	out, changes := c.Take()
	f.savedIncarnations[i] = max(f.savedIncarnations[i], c.Incarnation())
	for _, d := range out {
		if len(d.Payload) > 256 {
			f.t.Fatalf("a datagram has %d bytes", len(d.Payload))
		}
		f.sent[i]++
		f.bytes[i] += len(d.Payload)
		if f.blocked != nil && f.blocked(i, d.To) {
			continue
		}
		for copies := 1 + boolToInt(f.rng.Float64() < f.duplicateRate); copies > 0; copies-- {
			if f.rng.Float64() >= f.lossRate {
				delay := time.Millisecond + randDuration(f.rng, 20*time.Millisecond)
				if f.rng.Float64() < f.delayRate {
					delay += randDuration(f.rng, 10*testPeriod)
				}
				f.push(event{at: f.now + delay, node: d.To, from: i, payload: d.Payload})
			}
		}
	}
	for _, ch := range changes {
		if !ch.Gone {
			continue
		}
		if f.cores[ch.Member] != nil && !f.cores[ch.Member].leaving {
			f.falselyDead[ch.Member] = true
		}
		if _, ok := f.goneAt[ch.Member]; !ok {
			f.goneAt[ch.Member] = f.now
		}
	}
	f.push(event{at: max(c.WakeAt(), f.now+time.Millisecond), node: i, from: -1, core: c})
}

func randDuration(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}

// run advances the simulation by a duration.
func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		c := f.cores[e.node]
		if c == nil {
			continue
		}
		if p := f.pausedUntil[e.node]; f.now < p {
			// The socket buffers datagrams meanwhile; the tick comes after them.
			e.at = p
			if e.from < 0 {
				e.at += time.Microsecond
			}
			f.push(e)
			continue
		}
		if e.from < 0 {
			if e.core != c || f.now < c.wakeAt {
				continue // a tick of an earlier core, or replaced by an earlier one
			}
			c.Tick(f.now)
		} else {
			c.Receive(f.now, e.from, e.payload)
		}
		f.flush(e.node)
	}
	f.now = end
}

// viewsAgree reports whether all running nodes hold exactly those nodes as present that run and have not left.
func (f *fleet) viewsAgree() bool {
	for i, c := range f.cores {
		if c == nil || c.leaving {
			continue
		}
		for k, m := range c.members {
			if run := f.cores[k] != nil && !f.cores[k].leaving; k != i && m.state.Gone() == run {
				return false
			}
		}
	}
	return true
}

// untilAgreement runs until all views agree, and returns how long that took.
func (f *fleet) untilAgreement(most time.Duration) time.Duration {
	f.t.Helper()
	began := f.now
	for !f.viewsAgree() {
		if f.now-began > most {
			f.t.Fatalf("views do not agree after %v", most)
		}
		f.run(100 * time.Millisecond)
	}
	return f.now - began
}

// measureDetection kills a node in fleets of the given size, and returns when the first node held it as gone, and
// when all did.
func measureDetection(t testing.TB, size int, seeds uint64) (first, all []time.Duration) {
	for seed := range seeds {
		f := newFleet(t, size, seed).startAll()
		f.run(10 * time.Second)
		victim := f.rng.IntN(size)
		f.kill(victim)
		at := f.now
		f.untilAgreement(2 * time.Minute)
		first, all = append(first, f.goneAt[victim]-at), append(all, f.now-at)
		if len(f.falselyDead) > 0 {
			t.Errorf("%d nodes, seed %d: %v are declared dead but run", size, seed, f.falselyDead)
		}
	}
	slices.Sort(first)
	slices.Sort(all)
	return first, all
}

func TestDeadMembersAreDetected(t *testing.T) {
	for _, size := range []int{2, 10, 100} {
		first, all := measureDetection(t, size, 3)
		t.Logf("%4d nodes: detected after %v to %v, known to all after %v to %v, ping interval %v",
			size, first[0], first[2], all[0], all[2], testPeriod)
		if all[2] > 20*testPeriod {
			t.Errorf("%d nodes: known to all after %v", size, all[2])
		}
	}
}

// traffic returns what a node of a fleet sends per second while nothing is lost and nobody is dead.
func traffic(t testing.TB, size int) (datagrams, bytes float64) {
	f := newFleet(t, size, 1).startAll()
	f.run(30 * time.Second)
	clear(f.sent)
	clear(f.bytes)
	f.run(30 * time.Second)
	for i := range f.sent {
		datagrams, bytes = datagrams+float64(f.sent[i]), bytes+float64(f.bytes[i])
	}
	return datagrams / float64(size) / 30, bytes / float64(size) / 30
}

// What a node sends must not grow with the fleet.
func TestTrafficIsIndependentOfFleetSize(t *testing.T) {
	small, _ := traffic(t, 10)
	large, bytes := traffic(t, 300)
	t.Logf("per node and second: 10 nodes %.2f datagrams, 300 nodes %.2f datagrams with %.0f bytes", small, large, bytes)
	if large > 1.5*small || bytes > 3*256 {
		t.Errorf("300 nodes: %.2f datagrams, %.0f bytes; 10 nodes: %.2f datagrams", large, bytes, small)
	}
}

// BenchmarkFleet measures, by the size of the fleet, how long it takes until a death is detected and until it is
// known to all, in periods, and what a node sends. Run each size once: go test -bench Fleet -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{10, 30, 100, 300, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				first, all := measureDetection(b, size, 5)
				datagrams, bytes := traffic(b, size)
				for name, v := range map[string]float64{
					"found-median": first[2].Seconds(), "found-most": first[4].Seconds(), "all-median": all[2].Seconds(),
					"all-most": all[4].Seconds(), "datagrams/s": datagrams, "bytes/s": bytes,
				} {
					b.ReportMetric(v, name)
				}
			}
		})
	}
}

func TestPacketLossCausesNoFalseDeath(t *testing.T) {
	for _, lost := range []float64{0, 0.05, 0.2} {
		wrong, suspects, size := 0, int64(0), 60
		for seed := range uint64(3) {
			f := newFleet(t, size, seed)
			f.lossRate, f.duplicateRate = lost, 0.05
			f.startAll()
			f.run(2 * time.Minute)
			wrong += len(f.falselyDead)
			for _, c := range f.cores {
				suspects += c.Counts.Suspicions
			}
		}
		t.Logf("%.0f%% lost, 3 times %d nodes for two minutes: %d declared dead, %d suspicions", 100*lost, size, wrong, suspects)
		if wrong > 0 {
			t.Errorf("%.0f%% lost: %d nodes are declared dead but run", 100*lost, wrong)
		}
	}
}

// A partition sees only its own members, and after it has healed all nodes soon see each other again.
func TestPartitionsMerge(t *testing.T) {
	for seed := range uint64(3) {
		f := newFleet(t, 60, seed).startAll()
		f.run(10 * time.Second)
		zone := func(i int) bool { return i%3 == 0 }
		f.blocked = func(from, to int) bool { return zone(from) != zone(to) }
		f.run(90 * time.Second)
		for i, c := range f.cores {
			for k, m := range c.members {
				if m.state.Gone() != (zone(i) != zone(k)) {
					t.Fatalf("seed %d: node %d holds node %d as %v during the partition", seed, i, k, m.state)
				}
			}
		}
		f.blocked = nil
		took := f.untilAgreement(time.Minute)
		t.Logf("seed %d: merged after %v", seed, took)
		f.run(30 * time.Second)
		if !f.viewsAgree() {
			t.Errorf("seed %d: the views differ again", seed)
		}
	}
}

// A node whose datagrams do not reach some others is reached through relays, and must not be declared dead.
func TestOneWayLossCausesNoFalseDeath(t *testing.T) {
	f := newFleet(t, 30, 1).startAll()
	f.run(5 * time.Second)
	f.blocked = func(from, to int) bool { return from == 3 && to%4 == 0 }
	f.run(2 * time.Minute)
	if len(f.falselyDead) > 0 {
		t.Errorf("%v are declared dead", f.falselyDead)
	}
}

func TestMassFailureIsDetected(t *testing.T) {
	for seed := range uint64(2) {
		f := newFleet(t, 150, seed).startAll()
		f.run(10 * time.Second)
		var dead []int
		for i := range f.cores {
			if i%10 < 7 {
				dead = append(dead, i)
			}
		}
		f.kill(dead...)
		t.Logf("seed %d: known to all after %v", seed, f.untilAgreement(3*time.Minute))
		if len(f.falselyDead) > 0 {
			t.Errorf("seed %d: %v are declared dead but run", seed, f.falselyDead)
		}
		for _, i := range dead {
			f.start(i)
		}
		t.Logf("seed %d: all present again after %v", seed, f.untilAgreement(time.Minute))
	}
}

func TestRollingRestartCausesNoFalseDeath(t *testing.T) {
	f := newFleet(t, 100, 1).startAll()
	f.run(10 * time.Second)
	for i := range f.cores {
		f.kill(i)
		f.run(600 * time.Millisecond)
		f.start(i)
	}
	f.run(10 * time.Second)
	if len(f.falselyDead) > 0 || !f.viewsAgree() {
		t.Errorf("%v are declared dead but run; views agree: %v", f.falselyDead, f.viewsAgree())
	}
}

// Without its state directory, a node starts with an incarnation that the others have long seen. They must tell it,
// so that it can raise its own.
func TestLostIncarnationIsRecovered(t *testing.T) {
	for _, dead := range []bool{false, true} {
		f := newFleet(t, 20, 1).startAll()
		f.savedIncarnations[4] = 9
		f.kill(4)
		f.start(4)
		f.run(20 * time.Second)
		f.kill(4)
		if dead {
			f.untilAgreement(2 * time.Minute)
		}
		f.savedIncarnations[4] = 0
		f.startAs(f.config(4, 0))
		f.untilAgreement(time.Minute)
		f.run(40 * time.Second)
		if got := f.cores[4].Incarnation(); got <= 10 || !f.viewsAgree() {
			t.Errorf("dead %v: incarnation %d, views agree: %v", dead, got, f.viewsAgree())
		}
	}
}

func TestLeaveSpreads(t *testing.T) {
	f := newFleet(t, 100, 1).startAll()
	f.run(10 * time.Second)
	f.cores[5].Leave(f.now)
	f.flush(5)
	took := f.untilAgreement(time.Minute)
	t.Logf("known to all after %v", took)
	if took > 10*time.Second {
		t.Errorf("known after %v", took)
	}
	for i, c := range f.cores {
		if m := c.members[5]; i != 5 && (m.state != Left || m.reason != ReasonLeft) {
			t.Fatalf("node %d holds it as %v: %s", i, m.state, m.reason)
		}
	}
	f.run(20 * time.Second)
	f.cores[5].Rejoin(f.now)
	f.flush(5)
	f.untilAgreement(time.Minute)
}

// A node that stalls is suspected but must not be declared dead, and must hardly suspect the others.
func TestSlowNodeRaisesFewSuspicions(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(t, 50, seed).startAll()
		f.run(10 * time.Second)
		for range 12 {
			f.pausedUntil[7] = f.now + 1500*time.Millisecond + randDuration(f.rng, 2*time.Second)
			f.run(5 * time.Second)
		}
		if len(f.falselyDead) > 0 {
			t.Errorf("seed %d: %v are declared dead but run", seed, f.falselyDead)
		}
		var others int64
		for i, c := range f.cores {
			if i != 7 {
				others += c.Counts.Suspicions
			}
		}
		if own := f.cores[7].Counts.Suspicions; own > 3 || others == 0 {
			t.Errorf("seed %d: the slow node raised %d suspicions, the others %d", seed, own, others)
		}
	}
}

func TestFlappingNodeDoesNotAffectOthers(t *testing.T) {
	f := newFleet(t, 30, 1).startAll()
	for range 20 {
		f.kill(2)
		f.run(randDuration(f.rng, 20*time.Second))
		f.start(2)
		f.run(randDuration(f.rng, 5*time.Second))
	}
	f.untilAgreement(time.Minute)
	delete(f.falselyDead, 2) // its death may be announced after its return
	if len(f.falselyDead) > 0 {
		t.Errorf("%v are declared dead", f.falselyDead)
	}
}

// Nodes whose member lists have another order, or lack some members, must still agree on who is meant.
func TestDifferentMemberLists(t *testing.T) {
	f := newFleet(t, 20, 1)
	f.startAll()
	short := f.config(0, 5)
	short.Members = f.ids[:15]
	f.startAs(short)
	f.run(time.Minute)
	f.kill(3)
	f.run(time.Minute)
	for i, c := range f.cores {
		if c == nil {
			continue
		}
		for k, m := range c.members {
			if m.state.Gone() != (k == 3) {
				t.Errorf("node %d holds node %d as %v", i, k, m.state)
			}
		}
	}
	if f.cores[0].Counts.Rejected == 0 {
		t.Error("claims about members that are not listed were not counted")
	}
}

func TestMembersAgreeOnViews(t *testing.T) {
	f := newFleet(t, 100, 1).startAll()
	f.run(time.Minute)
	for i, c := range f.cores {
		if at, _ := c.Health(); f.now-at > 40*time.Second {
			t.Errorf("node %d last agreed with another %v ago", i, f.now-at)
		}
	}
	if present, suspect := f.cores[0].MemberCounts(); present != 100 || suspect != 0 {
		t.Errorf("%d present, %d suspect", present, suspect)
	}
}

func TestSimulationIsDeterministic(t *testing.T) {
	play := func() string {
		f := newFleet(t, 30, 4)
		f.lossRate = 0.1
		f.startAll()
		f.run(20 * time.Second)
		f.kill(3, 4)
		f.run(30 * time.Second)
		text := fmt.Sprint(f.bytes)
		for _, c := range f.cores {
			if c != nil {
				text += fmt.Sprint(c.View())
			}
		}
		return text
	}
	if play() != play() {
		t.Error("two runs differ")
	}
}

func TestInvalidDatagramsAreRejected(t *testing.T) {
	f := newFleet(t, 3, 1).startAll()
	c := f.cores[0]
	good := message{kind: kindPing, seq: 1}.header()
	dead, _ := appendClaim(slices.Clone(good), claim{id: f.ids[2], state: Dead, incarnation: 1})
	for name, text := range map[string][]byte{
		"empty":                         {},
		"a datagram of another package": []byte("a..........."),
		"another version":               append([]byte{Magic, 2}, good[2:]...),
		"no kind":                       append([]byte{Magic, version, 0}, good[3:]...),
		"unknown kind":                  append([]byte{Magic, version, byte(kindCount)}, good[3:]...),
		"cut":                           dead[:len(dead)-2],
		"too long":                      append(slices.Clone(dead), make([]byte, 300)...),
		"unknown state":                 append(slices.Clone(good), 0, 0, 0, 1, 9, 1),
		"huge incarnation":              append(slices.Clone(good), 0, 0, 0, 1, 2, 0xff, 0xff, 0xff, 0xff, 0x7f),
		"no such bucket":                append(message{kind: kindEntries}.header()[:6], 0xff),
	} {
		before := c.Counts.Rejected
		c.Receive(f.now, 1, text)
		if c.Counts.Rejected != before+1 {
			t.Errorf("%s: not counted", name)
		}
	}
	for _, from := range []int{-1, 0, 3} {
		c.Receive(f.now, from, dead)
	}
	if c.members[2].state != Alive {
		t.Errorf("an invalid datagram changed the state to %v", c.members[2].state)
	}
	if out, _ := c.Take(); len(out) > 0 {
		t.Errorf("%d answers to invalid datagrams", len(out))
	}
	c.Receive(f.now, 1, dead)
	if c.members[2].state != Dead {
		t.Errorf("a valid datagram left the state at %v", c.members[2].state)
	}
}

func FuzzReceive(f *testing.F) {
	f.Add(message{kind: kindPing, seq: 3}.header())
	f.Add(message{kind: kindDigest}.header())
	b, _ := appendClaim(message{kind: kindEntries, bucket: 3, wantReply: true}.header(), claim{1, Suspect, 3, 2})
	f.Add(b)
	f.Fuzz(func(t *testing.T, text []byte) {
		c := New(Config{Self: 0, Members: []ID{1, 2, 3}, PingInterval: testPeriod, AckTimeout: testTimeout}, 0)
		for now := time.Second; now < 10*time.Second; now += time.Second {
			c.Receive(now, 1, text)
			c.Tick(now)
			c.WakeAt()
			out, _ := c.Take()
			for _, d := range out {
				if m, ok := decode(d.Payload); !ok || d.To < 0 || d.To > 2 {
					t.Fatalf("sends %+v to %d", m, d.To)
				}
			}
		}
		if c.members[0].state != Alive {
			t.Error("the node took its own state from others")
		}
	})
}

// Datagrams that arrive many periods late, duplicated and out of order must not change what is known since.
func TestDelayedDatagramsAreOutdated(t *testing.T) {
	for seed := range uint64(2) {
		f := newFleet(t, 40, seed)
		f.duplicateRate, f.delayRate = 0.2, 0.1
		f.startAll()
		f.run(20 * time.Second)
		for range 6 {
			victim := 1 + f.rng.IntN(39)
			f.kill(victim)
			f.run(5 * time.Second)
			f.start(victim)
			f.run(10 * time.Second)
		}
		f.delayRate = 0
		f.run(40 * time.Second) // datagrams in flight arrive
		if !f.viewsAgree() {
			t.Errorf("seed %d: the views do not agree", seed)
		}
		for i, c := range f.cores {
			if c.Incarnation() > 40 {
				t.Errorf("seed %d: node %d had to refute up to incarnation %d", seed, i, c.Incarnation())
			}
		}
	}
}
