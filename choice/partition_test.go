package choice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// callsAroundPartition simulates a fleet that is partitioned for six seconds. It returns the calls that succeeded and
// that were refused in the three seconds before, in the partition, and in the three seconds after it.
func callsAroundPartition(t *testing.T, senders int, seed uint64, datagrams bool, blocked func(from, to int) bool) (calls [3][2]int) {
	w := newFleetSim(t, senders, datagrams)
	w.rng = rand.New(rand.NewPCG(seed, 7))
	w.windowedLimit = true
	phase := func(i int, span time.Duration) {
		w.passed, w.refused = 0, 0
		w.run(span, 1.3*fleetLimit)
		calls[i] = [2]int{w.passed, w.refused}
	}
	w.run(6*time.Second, 1.3*fleetLimit) // time to learn the rates
	phase(0, 3*time.Second)
	w.blocked = blocked
	phase(1, 6*time.Second)
	w.blocked = nil
	phase(2, 3*time.Second)
	return calls
}

// While no node hears another, the calls that the nodes make on their allowances must add up to about the limit,
// whatever the size of the fleet. The limit must be used, and must not be exceeded by more than its own amount.
func TestAllowancesAddUpToLimit(t *testing.T) {
	all := func(from, to int) bool { return true }
	halves := func(from, to int) bool { return from%2 != to%2 }
	oneWay := func(from, to int) bool { return from%2 == 0 && to%2 == 1 }
	for _, size := range []int{10, 80, 300} {
		for name, cut := range map[string]func(int, int) bool{"all deaf": all, "halves": halves, "one way": oneWay} {
			var sum [3][2]int
			const seeds = 5
			for seed := range uint64(seeds) {
				for i, c := range callsAroundPartition(t, size, seed, true, cut) {
					sum[i][0], sum[i][1] = sum[i][0]+c[0], sum[i][1]+c[1]
				}
			}
			limit := func(sec float64) int { return int(seeds * sec * fleetLimit) }
			t.Logf("%3d nodes, %-8s: before %d of %d pass, %d refused; in the partition %d of %d, %d; after %d of %d, %d", size, name,
				sum[0][0], limit(3), sum[0][1], sum[1][0], limit(6), sum[1][1], sum[2][0], limit(3), sum[2][1])
			if most := 2 * limit(6); sum[1][0]+sum[1][1] > most {
				t.Errorf("%d nodes, %s: %d calls in the partition, more than %d", size, name, sum[1][0]+sum[1][1], most)
			}
			if least := limit(6) * 6 / 10; sum[1][0] < least {
				t.Errorf("%d nodes, %s: %d calls pass in the partition, fewer than %d", size, name, sum[1][0], least)
			}
			if least := limit(3) * 7 / 10; sum[2][0] < least {
				t.Errorf("%d nodes, %s: %d calls pass after the partition, fewer than %d", size, name, sum[2][0], least)
			}
		}
	}
}

// If the nodes of all ranks believe they are the coordinator, they must begin with less than twice the limit together.
func TestInitialFleetSharesStayBelowTwiceLimit(t *testing.T) {
	for _, fleet := range []int{2, 5, 80} {
		sum := 0.0
		for i := range fleet {
			cfg := testSettings()
			cfg.FleetSize, cfg.PeerDatagrams, cfg.Number = fleet, true, i
			s := New(cfg, 1)
			s.Step(time.Hour, []Event{fullList(Entry{Endpoint: "p", Weight: fleetLimit})})
			if d := s.destinations[0]; s.coordinator(d, 0) == i || s.coordinator(d, 1) == i || s.coordinator(d, 2) == i || s.coordinator(d, 3) == i {
				sum += s.fleetRoute(d.endpoints[0]).limitShare
			}
		}
		if sum >= 2 {
			t.Errorf("%d nodes: coordinators begin with %v of the limit", fleet, sum)
		}
	}
}

// The coordinator must first hear of an outage that other nodes met while they heard no coordinator. Otherwise a
// destination that is back and cold would get the full rate of the fleet.
func TestCoordinatorLearnsOfMissedOutages(t *testing.T) {
	for _, size := range []int{20, 80} {
		w := newFleetSim(t, size, true)
		w.run(5*time.Second, fleetLimit)
		w.blocked = func(from, to int) bool { return true }
		w.down = true
		w.run(6*time.Second, fleetLimit)
		w.blocked, w.down, w.passed, w.refused = nil, false, 0, 0
		w.run(time.Second, fleetLimit)
		// One second of the cold budget, and the calls that were in flight.
		if most := int(3*w.cfg.OverloadMultiple*w.cfg.ColdCapacity*fleetLimit) + 2; w.passed+w.refused > most {
			t.Errorf("%d nodes: %d calls in the first second after the outage, more than %d", size, w.passed+w.refused, most)
		}
	}
}

func TestOutageDatagramRoundTrip(t *testing.T) {
	for _, n := range []datagram{
		{kind: datagramOutage, dest: 7, route: 9, count: 0},
		{kind: datagramOutage, dest: 7, route: 9, count: 1, wait: 4321 * time.Millisecond},
	} {
		if got, ok := decodeDatagram(n.encode()); !ok || fmt.Sprint(got) != fmt.Sprint(n) {
			t.Errorf("%+v was decoded as %+v, %v", n, got, ok)
		}
	}
}
