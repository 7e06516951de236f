package choice

import (
	"testing"
	"time"
)

// A keeper that membership says is gone is passed over at once; without it, some asks go unanswered first.
func TestGoneCoordinatorIsSkipped(t *testing.T) {
	successesWithin := func(withMembership bool, span time.Duration) (passed int) {
		w := newFleetSim(t, 40, true)
		w.run(3*time.Second, fleetLimit)
		first := w.senders[0].coordinator(w.senders[0].destinations[0], 0)
		w.senders[first] = nil
		for i := range w.senders {
			if withMembership {
				w.step(i, MemberChanged{Number: first, Gone: true, LeftCleanly: true})
			}
		}
		w.passed = 0
		w.run(span, 2*fleetLimit)
		return w.passed
	}
	const span = 400 * time.Millisecond
	withMembership, withoutMembership := successesWithin(true, span), successesWithin(false, span)
	t.Logf("in %v after a keeper's end %d calls pass with membership, %d without", span, withMembership, withoutMembership)
	if withMembership <= withoutMembership {
		t.Errorf("%d calls pass with membership, %d without", withMembership, withoutMembership)
	}
}

// While a fleet is split, both sides together keep to the limit if they know who is on the other side.
func TestBothSidesOfPartitionKeepToLimit(t *testing.T) {
	split := func(withMembership bool) *fleetSim {
		w := newFleetSim(t, 40, true)
		side := func(i int) bool { return i%2 == 0 }
		w.run(5*time.Second, 1.5*fleetLimit)
		w.blocked = func(from, to int) bool { return side(from) != side(to) }
		for i := range w.senders {
			for k := range w.senders {
				if withMembership && side(i) != side(k) {
					w.step(i, MemberChanged{Number: k, Gone: true})
				}
			}
		}
		w.run(2*time.Second, 1.5*fleetLimit) // what was granted before
		w.passed, w.refused = 0, 0
		w.run(6*time.Second, 1.5*fleetLimit)
		return w
	}
	with, without := split(true), split(false)
	limit := int(6 * fleetLimit)
	t.Logf("of %d calls that the limit allows, with membership %d pass and %d are refused, without it %d and %d",
		limit, with.passed, with.refused, without.passed, without.refused)
	if with.refused > limit/10 || with.passed < limit*7/10 {
		t.Errorf("%d calls pass and %d are refused, of %d", with.passed, with.refused, limit)
	}
	if without.refused < 3*with.refused {
		t.Errorf("without membership %d are refused: the test does not tell", without.refused)
	}
}

// Who has left takes nothing along, and who was cut off is given up for dead after a time: the rest get all there is.
func TestRemainingMembersGetWholeLimit(t *testing.T) {
	for name, c := range map[string]struct {
		left bool
		wait time.Duration
		want float64
	}{"left": {true, 0, 1}, "cut off": {false, 0, 0.5}, "dead": {false, partitionTimeout, 1}} {
		w := newFleetSim(t, 10, true)
		s := w.senders[0]
		for k := 5; k < 10; k++ {
			w.step(0, MemberChanged{Number: k, Gone: true, LeftCleanly: c.left})
		}
		s.now += c.wait
		if got := s.reachableShare(); got != c.want {
			t.Errorf("%s: the rest may use %v of the limit, want %v", name, got, c.want)
		}
		for k := 5; k < 10; k++ {
			w.step(0, MemberChanged{Number: k})
		}
		if got := s.reachableShare(); got != 1 {
			t.Errorf("%s: all are back and use %v", name, got)
		}
	}
}

// The last of a fleet keeps every limit itself, whatever ranks are asked for.
func TestLastMemberCoordinatesItself(t *testing.T) {
	w := newFleetSim(t, 6, true)
	w.run(2*time.Second, fleetLimit)
	for k := range 6 {
		if k != 2 {
			w.senders[k] = nil
		}
	}
	for k := range 6 {
		w.step(2, MemberChanged{Number: k, Gone: true, LeftCleanly: true}) // this one too, which is nonsense
	}
	w.passed = 0
	for range 40 {
		w.run(100*time.Millisecond, 3*fleetLimit)
	}
	if w.passed == 0 {
		t.Error("nothing passes")
	}
	for rank := range coordinatorRanks {
		if got := w.senders[2].coordinator(w.senders[2].destinations[0], rank); got != 2 {
			t.Errorf("rank %d is %d", rank, got)
		}
	}
}

// Half of a fleet takes the first keeper for gone, which runs and knows nothing of it. Two keepers grant, but not both
// the whole.
func TestTwoCoordinatorsDoNotBothGrantWholeLimit(t *testing.T) {
	w := newFleetSim(t, 40, true)
	w.run(5*time.Second, 1.5*fleetLimit)
	first := w.senders[0].coordinator(w.senders[0].destinations[0], 0)
	second := w.senders[0].coordinator(w.senders[0].destinations[0], 1)
	for i := range w.senders {
		if i != first && (i%2 == 0 || i == second) {
			w.step(i, MemberChanged{Number: first, Gone: true})
		}
	}
	w.passed, w.refused = 0, 0
	const span = 1500 * time.Millisecond
	w.run(span, 4*fleetLimit)
	sent, limit := w.passed+w.refused, int(fleetLimit*seconds(span))
	t.Logf("%d calls in %v, of %d that the limit allows", sent, span, limit)
	if most := limit * 16 / 10; sent > most {
		t.Errorf("%d calls are made, more than %d", sent, most)
	}
	if sent < limit/2 {
		t.Errorf("only %d calls are made", sent)
	}
}

// A keeper that leaves tells the next what the destination takes; without that the next one begins with more.
func TestLeavingCoordinatorHandsOverLimit(t *testing.T) {
	after := func(handOver bool) (part float64) {
		w := newFleetSim(t, 12, true)
		w.run(3*time.Second, fleetLimit)
		d := w.senders[0].destinations[0]
		first, second := w.senders[0].coordinator(d, 0), w.senders[0].coordinator(d, 1)
		known := w.senders[first].destinations[0].endpoints[0]
		w.senders[first].fleetRoute(known).limitShare = 0.2
		w.step(first, ShuttingDown{HandOver: handOver})
		w.senders[first] = nil
		for i := range w.senders {
			w.step(i, MemberChanged{Number: first, Gone: true, LeftCleanly: true})
		}
		w.run(100*time.Millisecond, 1)
		return w.senders[second].fleetRoute(w.senders[second].destinations[0].endpoints[0]).limitShare
	}
	with, without := after(true), after(false)
	if with < 0.15 || with > 0.3 || without <= with {
		t.Errorf("the next keeper begins with %v of the limit, without a word with %v", with, without)
	}
}
