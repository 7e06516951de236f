package choice

import (
	"testing"
	"time"
)

// A coordinator that membership reports as gone must be replaced at once. Without membership, some requests go
// unanswered first.
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
	t.Logf("in %v after the end of a coordinator %d calls pass with membership, %d without", span, withMembership, withoutMembership)
	if withMembership <= withoutMembership {
		t.Errorf("%d calls pass with membership, %d without", withMembership, withoutMembership)
	}
}

// During a network partition both sides together must keep to the limit if they know which nodes are on the other
// side.
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
		w.run(2*time.Second, 1.5*fleetLimit) // uses up the grants from before
		w.passed, w.refused = 0, 0
		w.run(6*time.Second, 1.5*fleetLimit)
		return w
	}
	withMembers, withoutMembers := split(true), split(false)
	limit := int(6 * fleetLimit)
	t.Logf("of %d calls that the limit allows, with membership %d pass and %d are refused, without it %d and %d",
		limit, withMembers.passed, withMembers.refused, withoutMembers.passed, withoutMembers.refused)
	if withMembers.refused > limit/10 || withMembers.passed < limit*7/10 {
		t.Errorf("%d calls pass and %d are refused, of %d", withMembers.passed, withMembers.refused, limit)
	}
	if withoutMembers.refused < 3*withMembers.refused {
		t.Errorf("without membership %d are refused: the test cannot tell the difference", withoutMembers.refused)
	}
}

// A node that left cleanly uses no part of the limit any more. One that vanished may be partitioned, and is taken for
// dead after partitionTimeout. Then the other nodes get the whole limit.
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
			t.Errorf("%s: the remaining nodes may use %v of the limit, want %v", name, got, c.want)
		}
		for k := 5; k < 10; k++ {
			w.step(0, MemberChanged{Number: k})
		}
		if got := s.reachableShare(); got != 1 {
			t.Errorf("%s: all nodes are back and may use %v of the limit", name, got)
		}
	}
}

// The last node of a fleet must coordinate every limit itself, whatever rank is asked for.
func TestLastMemberCoordinatesItself(t *testing.T) {
	w := newFleetSim(t, 6, true)
	w.run(2*time.Second, fleetLimit)
	for k := range 6 {
		if k != 2 {
			w.senders[k] = nil
		}
	}
	for k := range 6 {
		w.step(2, MemberChanged{Number: k, Gone: true, LeftCleanly: true}) // itself too, which must be ignored
	}
	w.passed = 0
	for range 40 {
		w.run(100*time.Millisecond, 3*fleetLimit)
	}
	if w.passed == 0 {
		t.Error("no call succeeds")
	}
	for rank := range coordinatorRanks {
		if got := w.senders[2].coordinator(w.senders[2].destinations[0], rank); got != 2 {
			t.Errorf("the coordinator of rank %d is node %d", rank, got)
		}
	}
}

// Half of a fleet believes that the first coordinator is gone, while it runs and does not know that. So two
// coordinators issue grants. They must not both grant the whole limit.
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
		t.Errorf("%d calls were made, more than %d", sent, most)
	}
	if sent < limit/2 {
		t.Errorf("only %d calls were made", sent)
	}
}

// A coordinator that leaves must tell the next one what share of the limit is in use. Without that, the next one
// begins with a larger share.
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
		t.Errorf("the next coordinator begins with %v of the limit, and with %v without a hand-over", with, without)
	}
}
