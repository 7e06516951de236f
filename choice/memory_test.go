package choice

import (
	"testing"
	"time"
)

// A new process begins with what the one before had learnt, the older the less; an outage that it knew of is met as cold.
func TestWhatWasLearntIsTrustedLessWithItsAge(t *testing.T) {
	w := newFleet(t, 40, true)
	w.run(10*time.Second, fleetLimit)
	first := w.senders[0].keeper(w.senders[0].dests[0], 0)
	old := w.senders[first]
	m := old.Remember()
	if len(m.Dests) != 1 || m.Dests[0].Routes[0].Usual <= 0 || m.Dests[0].Average <= 0 {
		t.Fatalf("%+v", m)
	}
	m.Dests[0].Routes[0].Part = 0.5
	m.Dests = append(m.Dests, RememberedDest{ID: 99, Routes: []RememberedRoute{{Endpoint: "nobody"}}})
	begin := func(m Memory, age time.Duration) (*Sender, *endpoint) {
		cfg := w.cfg
		cfg.Number = first
		s := New(cfg, 1)
		s.Step(w.now, []Event{list(Entry{Endpoint: "p", Weight: fleetLimit}), Recalled{m, age}})
		return s, s.eps["p"]
	}
	young, ep := begin(m, time.Second)
	if ep.usual != m.Dests[0].Routes[0].Usual || !ep.dest.gate.seen || ep.route.recovering() {
		t.Errorf("usual %v, gate %+v", ep.usual, ep.dest.gate)
	}
	aged, far := begin(m, 5*time.Minute)
	if a, b := young.fleet(ep).part, aged.fleet(far).part; a > 0.55 || b < 0.95 {
		t.Errorf("after a second %v of the limit, after five minutes %v", a, b)
	}
	m.Dests[0].Routes[0].Sick = true
	if _, ep := begin(m, time.Second); !ep.route.fleet.recovering() {
		t.Error("an outage is forgotten")
	}
	if _, ep := begin(m, -time.Second); ep.usual != 0 {
		t.Error("what comes from the future is believed")
	}
}
