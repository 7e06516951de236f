package choice

import (
	"testing"
	"time"
)

// A new process must begin with what the one before had learnt, with less weight the older it is, and must treat a
// destination with a known outage as cold.
func TestRestoredMemoryLosesWeightWithAge(t *testing.T) {
	w := newFleetSim(t, 40, true)
	w.run(10*time.Second, fleetLimit)
	first := w.senders[0].coordinator(w.senders[0].destinations[0], 0)
	old := w.senders[first]
	m := old.Remember()
	if len(m.Dests) != 1 || m.Dests[0].Routes[0].SmoothedLatency <= 0 || m.Dests[0].Average <= 0 {
		t.Fatalf("%+v", m)
	}
	m.Dests[0].Routes[0].LimitShare = 0.5
	m.Dests = append(m.Dests, RememberedDest{ID: 99, Routes: []RememberedRoute{{Endpoint: "nobody"}}})
	begin := func(m Memory, age time.Duration) (*Sender, *endpoint) {
		cfg := w.cfg
		cfg.Number = first
		s := New(cfg, 1)
		s.Step(w.now, []Event{fullList(Entry{Endpoint: "p", Weight: fleetLimit}), MemoryRestored{m, age}})
		return s, s.endpoints["p"]
	}
	young, ep := begin(m, time.Second)
	if ep.smoothedLatency != m.Dests[0].Routes[0].SmoothedLatency || !ep.dest.gate.sampled || ep.route.recovering() {
		t.Errorf("usual %v, gate %+v", ep.smoothedLatency, ep.dest.gate)
	}
	aged, far := begin(m, 5*time.Minute)
	if a, b := young.fleetRoute(ep).limitShare, aged.fleetRoute(far).limitShare; a > 0.55 || b < 0.95 {
		t.Errorf("share of the limit after a second %v, after five minutes %v", a, b)
	}
	m.Dests[0].Routes[0].CircuitOpen = true
	if _, ep := begin(m, time.Second); !ep.route.fleetRoute.recovering() {
		t.Error("the outage is not restored")
	}
	if _, ep := begin(m, -time.Second); ep.smoothedLatency != 0 {
		t.Error("a memory with a negative age is used")
	}
}
