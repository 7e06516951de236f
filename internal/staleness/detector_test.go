package staleness

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms           = time.Millisecond
	stepInterval = 10 * ms
)

// fleet simulates nodes in virtual time, with datagrams that are lost and delayed.
type fleet struct {
	nodes         []*Detector
	rng           *rand.Rand
	now           time.Duration
	lossRate      float64
	maxDelay      time.Duration
	inFlight      []inFlightDatagram
	fencedAt      []time.Duration // when each node was last fenced; -1 if it is not
	serverQueries []int           // times that each node asked another list server
	sentCount     int
	reachable     func(from, to int) bool // nil if all are reachable
}

type inFlightDatagram struct {
	at       time.Duration
	from, to int
	payload  []byte
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 7)), serverQueries: make([]int, n)}
	for i := range n {
		f.nodes = append(f.nodes, New(Config{Self: i, FleetSize: n, Seed: seed}, 0, 10))
		f.fencedAt = append(f.fencedAt, -1)
	}
	return f
}

// run advances the simulation to a time.
func (f *fleet) run(until time.Duration) {
	for ; f.now < until; f.now += stepInterval {
		rest := f.inFlight[:0]
		for _, d := range f.inFlight {
			if d.at > f.now {
				rest = append(rest, d)
				continue
			}
			f.nodes[d.to].Receive(f.now, d.from, d.payload)
		}
		f.inFlight = rest
		for i, c := range f.nodes {
			if c.WakeAt() <= f.now {
				n := c.Step(f.now)
				if n.QueryServer {
					f.serverQueries[i]++
				}
				if f.fencedAt[i] = -1; c.Fenced() {
					f.fencedAt[i] = f.now
				}
			}
			f.transmit(i)
		}
	}
}

func (f *fleet) transmit(i int) {
	for _, d := range f.nodes[i].Take() {
		f.sentCount++
		if f.rng.Float64() < f.lossRate || f.reachable != nil && !f.reachable(i, d.To) {
			continue
		}
		at := f.now + time.Duration(f.rng.Int64N(int64(f.maxDelay)+1))
		f.inFlight = append(f.inFlight, inFlightDatagram{at, i, d.To, d.Payload})
	}
}

// publish gives nodes a revision within a time span, each at a random moment.
func (f *fleet) publish(revision int64, from, to int, within time.Duration) {
	begin := f.now
	at := map[int]time.Duration{}
	for i := from; i < to; i++ {
		at[i] = begin + time.Duration(f.rng.Int64N(int64(within)))
	}
	for len(at) > 0 {
		for i, when := range at {
			if when <= f.now {
				f.nodes[i].SetRevision(f.now, revision)
				delete(at, i)
			}
		}
		f.run(f.now + stepInterval)
	}
}

func (f *fleet) fencedCount() (n int) {
	for _, c := range f.nodes {
		if c.Fenced() {
			n++
		}
	}
	return n
}

// A node that a change does not reach must be fenced before the grace of one second and another half second have
// passed, as long as two others know of the change, or its only peer does. No other node is ever fenced. After the
// list has arrived everywhere, all nodes resume soon, spread over time.
func TestOnlyStaleNodesAreFenced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{2, 3, 10, 50, 300}).Draw(t, "nodes")
		f := newFleet(n, rapid.Uint64().Draw(t, "seed"))
		f.lossRate, f.maxDelay = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "lost"), rapid.SampledFrom([]time.Duration{0, 30 * ms}).Draw(t, "late")
		behind := max(n*rapid.IntRange(0, 50).Draw(t, "behind%")/100, 1)
		f.run(2 * time.Second)
		f.publish(11, behind, n, 200*ms) // the first nodes are cut off
		f.run(2800 * ms)
		for _, c := range f.nodes[:behind] { // three heartbeats, one per 250 ms, are missing
			c.SetServerSilent(f.now, true)
		}
		f.run(3700 * ms)
		notFenced := 0
		for i, c := range f.nodes {
			if i >= behind && c.FenceCount > 0 {
				t.Fatalf("node %d of %d has the list but is fenced", i, n)
			}
			if i < behind && !c.Fenced() {
				notFenced++
			}
			if i < behind && c.Fenced() && f.serverQueries[i] == 0 {
				t.Fatalf("node %d never asked another server", i)
			}
		}
		if notFenced > behind/20 && (f.lossRate == 0 || n > 10) {
			t.Fatalf("%d of %d nodes that are behind are not fenced after 1.5 s, in a fleet of %d", notFenced, behind, n)
		}
		f.run(5 * time.Second)
		if out := f.fencedCount(); out != behind {
			t.Fatalf("%d of %d nodes that are behind are fenced after 3 s", out, behind)
		}
		for _, c := range f.nodes[:behind] {
			c.SetServerSilent(f.now, false)
		}
		f.publish(11, 0, behind, 10*ms)
		most := f.fencedCount()
		f.run(f.now + 500*ms)
		if left := f.fencedCount(); most >= 50 && (left < most/5 || left > most*4/5) {
			t.Fatalf("%d of %d nodes are fenced half a second after all have the list", left, most)
		}
		f.run(f.now + maxUnfenceJitter)
		if left := f.fencedCount(); left > 0 {
			t.Fatalf("%d nodes are still fenced", left)
		}
	})
}

// Guards against a node that is behind learning too late that it is: with a tenth of the datagrams lost, and replies from
// few nodes that know of the change, none of 19 in 50 is missed in any of the seeds.
func TestStaleNodesAreFencedDespiteLoss(t *testing.T) {
	const seeds, nodes, behind = 1000, 50, 19
	for seed := range uint64(seeds) {
		f := newFleet(nodes, seed)
		f.lossRate, f.maxDelay = 0.1, 30*ms
		f.run(2 * time.Second)
		f.publish(11, behind, nodes, 200*ms)
		f.run(2800 * ms)
		for _, c := range f.nodes[:behind] {
			c.SetServerSilent(f.now, true)
		}
		f.run(3700 * ms)
		if fenced := f.fencedCount(); fenced != behind {
			t.Errorf("seed %d: %d of %d nodes that are behind are fenced", seed, fenced, behind)
		}
	}
}

// A server that is half a second slow keeps a third of the fleet behind for that long. No node may ask another server
// or be fenced for it.
func TestSlowServerCausesNoFencing(t *testing.T) {
	f := newFleet(300, 3)
	f.run(2 * time.Second)
	f.publish(11, 100, 300, 50*ms)
	f.run(2500 * ms)
	f.publish(11, 0, 100, 50*ms)
	f.run(5 * time.Second)
	for i, c := range f.nodes {
		if c.FenceCount > 0 || f.serverQueries[i] > 0 {
			t.Fatalf("node %d: fenced %d times, %d queries to other servers", i, c.FenceCount, f.serverQueries[i])
		}
	}
}

// While nobody knows of a change, nobody is fenced; a single node that claims a later list fences nobody; and a
// fenced node that then hears from nobody resumes. So an outage stops no node.
func TestOutageAndSingleLiarFenceNobody(t *testing.T) {
	f := newFleet(20, 1)
	f.run(2 * time.Second)
	f.nodes[0].SetRevision(f.now, 1<<60) // claims a revision that does not exist
	f.run(60 * time.Second)
	if f.fencedCount() > 0 {
		t.Errorf("%d nodes are fenced because of a single peer", f.fencedCount())
	}
	f = newFleet(20, 2)
	f.publish(11, 5, 20, 100*ms)
	f.run(2 * time.Second)
	if f.fencedCount() != 5 {
		t.Fatalf("%d nodes are fenced, want 5", f.fencedCount())
	}
	f.reachable = func(from, to int) bool { return from >= 5 && to >= 5 }
	f.run(f.now + observationTTL + maxUnfenceJitter + time.Second)
	if f.fencedCount() > 0 {
		t.Errorf("%d nodes are fenced though they hear from nobody", f.fencedCount())
	}
}

// A node that is starting and has no list yet must not be fenced.
func TestStartingNodeIsNotFenced(t *testing.T) {
	f := newFleet(10, 4)
	f.nodes[3] = New(Config{Self: 3, FleetSize: 10}, 0, 0)
	f.run(5 * time.Second)
	if f.fencedCount() > 0 || f.serverQueries[3] > 0 {
		t.Errorf("%d nodes are fenced, %d queries", f.fencedCount(), f.serverQueries[3])
	}
}

func TestFloorFencesNode(t *testing.T) {
	f := newFleet(3, 1)
	f.nodes[1].SetFloor(12)
	f.run(2 * time.Second)
	if !f.nodes[1].Fenced() || f.fencedCount() != 1 {
		t.Errorf("%d nodes are fenced", f.fencedCount())
	}
	f.nodes[1].SetFloor(0)
	f.run(4 * time.Second)
	if f.fencedCount() != 0 {
		t.Errorf("%d nodes are fenced after the floor was removed", f.fencedCount())
	}
}

// The traffic per node must not depend on the fleet's size.
func TestTrafficPerNodeIsIndependentOfFleetSize(t *testing.T) {
	for _, n := range []int{10, 300, 10_000} {
		f := newFleet(n, 1)
		f.run(10 * time.Second)
		rest := float64(f.sentCount) / float64(n) / 10
		f.sentCount = 0
		f.publish(11, 0, n, 200*ms)
		f.run(f.now + time.Second)
		change := float64(f.sentCount)/float64(n) - 1.2*rest
		t.Logf("%d nodes: %.1f datagrams per node and second at rest, %.1f more for a change", n, rest, change)
		if rest > 3 || change > 12 {
			t.Errorf("%d nodes: %.1f datagrams per node and second at rest, %.1f for a change", n, rest, change)
		}
	}
}

func FuzzReceive(f *testing.F) {
	f.Add(encode(kindQuery, 12), 1)
	f.Fuzz(func(t *testing.T, text []byte, from int) {
		c := New(Config{Self: 0, FleetSize: 4}, 0, 10)
		c.Receive(0, from, text)
		if n := c.Step(time.Second); n.FenceChanged || len(c.peersAhead) > 1 {
			t.Error(n, c.peersAhead)
		}
	})
}
