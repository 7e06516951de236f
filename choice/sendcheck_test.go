package choice

import (
	"fmt"
	"testing"
	"time"
)

// The check before every send must reject each violation by itself, whatever the code before it does.
func TestSendCheckRejectsEachViolation(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		spoil func(s *Sender, m *message, e *endpoint)
	}{
		{"drained", 0, func(_ *Sender, _ *message, e *endpoint) { e.ready = false }},
		{"wait", 0, func(s *Sender, _ *message, e *endpoint) { e.route.waitUntil = s.now + 1 }},
		{"budget", 0, func(_ *Sender, _ *message, e *endpoint) { e.route.tokens = 0.9 }},
		{"trial in flight", 0, func(_ *Sender, _ *message, e *endpoint) { e.route.circuitOpen, e.route.trialInFlight = true, true }},
		{"trial not due", 0, func(s *Sender, _ *message, e *endpoint) { e.route.circuitOpen, e.route.nextTrialAt = true, s.now+1 }},
		{"at-most-once as a trial", 2, func(_ *Sender, _ *message, e *endpoint) { e.route.circuitOpen = true }},
		{"at-most-once that may have run", 2, func(_ *Sender, m *message, _ *endpoint) { m.mayHaveRun = true }},
		{"deduplicated after its window", 1, func(s *Sender, m *message, _ *endpoint) {
			m.mayHaveRun, m.firstRunSentAt = true, s.now-m.class.DedupWindow
		}},
		{"deduplicated whose connect may outlast its window", 1, func(s *Sender, m *message, _ *endpoint) {
			s.cfg.DialTimeout = time.Second
			m.mayHaveRun, m.firstRunSentAt = true, s.now-m.class.DedupWindow+s.cfg.DialTimeout
		}},
		{"already in flight", 0, func(_ *Sender, m *message, _ *endpoint) { m.inFlight = 1 }},
		{"no attempts left", 0, func(s *Sender, m *message, _ *endpoint) { m.attempts = s.cfg.MaxAttempts }},
		{"no slot", 0, func(s *Sender, _ *message, _ *endpoint) { s.callsInFlight = s.cfg.Slots }},
		{"over", 0, func(_ *Sender, m *message, _ *endpoint) { m.ended = true }},
		{"too late", 0, func(s *Sender, m *message, _ *endpoint) { m.deadline = s.now + answerMargin }},
		{"another message first", 0, func(s *Sender, m *message, _ *endpoint) {
			m.key = "k"
			s.keyQueues["k"] = []*message{{}, m}
		}},
	} {
		w := newScenario(t, testSettings(), 1)
		w.step(0, oneEndpoint())
		w.step(time.Second)
		s, e := w.sender, w.sender.endpoints["a"]
		m := &message{class: &s.cfg.Classes[c.class], dest: e.dest, arrivedAt: s.now, deadline: s.now + 10*time.Second}
		s.refill(e.route)
		if !s.maySend(m, e) {
			t.Fatalf("%s: the check fails without the violation", c.name)
		}
		if c.spoil(s, m, e); s.maySend(m, e) {
			t.Errorf("%s: the check passes", c.name)
		}
	}
}

// During a recovery no tokens may be saved up for a burst.
func TestNoBurstDuringRecovery(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, fullList(Entry{Endpoint: "a", Weight: 1000}))
	r := w.sender.endpoints["a"].route
	r.recoveryStartedAt = w.now
	w.step(7 * time.Second)
	if w.sender.refill(r); r.tokens > 1 {
		t.Errorf("%v calls may be made at once", r.tokens)
	}
}

// All slow destinations together must stay within their share of the slots, even if no call may be cancelled.
func TestSlowDestinationsStayWithinSlotShare(t *testing.T) {
	cfg := testSettings()
	cfg.MayCancel, cfg.Slots = false, 10
	w := newScenario(t, cfg, 1)
	w.step(0, fullList(Entry{Endpoint: "a", Dest: 0, Weight: 1000}, Entry{Endpoint: "b", Dest: 1, Weight: 1000}))
	w.step(5*ms, w.newArrival("a0", 2, 0), w.newArrival("b0", 2, 1))
	w.idle(1500 * ms) // by now neither destination has answered
	for i := range 10 {
		w.step(5*ms, w.newArrival(fmt.Sprint("m", i), 2, i%2))
	}
	if held := len(w.inFlight); float64(held) > maxImpairedSlotShare*float64(cfg.Slots) {
		t.Errorf("slow destinations hold %d of %d slots", held, cfg.Slots)
	}
}
