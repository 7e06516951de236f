package choice

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep shows that the cost of a step depends on the messages that wait or are in flight, and not on the
// number of known destinations.
func BenchmarkStep(b *testing.B) {
	for _, dests := range []int{10, 300, 3000} {
		b.Run(fmt.Sprint(dests), func(b *testing.B) {
			var entries []Entry
			for i := range dests {
				entries = append(entries, Entry{Endpoint: fmt.Sprint("e", i), Dest: i, Weight: 10})
			}
			cfg := testSettings()
			cfg.FleetSize = 200
			s, now := New(cfg, 1), time.Hour
			s.Step(now, []Event{fullList(entries...)})
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				now += 400 * ms
				id, d := fmt.Sprint("m", n), n%dests
				n++
				s.Step(now, []Event{MessageArrived{ID: id, Dest: d, Deadline: now + 10*time.Second}})
				now += 100 * ms
				s.Step(now, []Event{AttemptEnded{ID: id, Endpoint: fmt.Sprint("e", d), Took: 100 * ms, MessageDone: true}})
			}
		})
	}
}

// With no open message a Sender must request no wake, and its lists of active work must be empty, however many
// destinations it knows.
func TestIdleSenderRequestsNoWake(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	var entries []Entry
	for i := range 500 {
		entries = append(entries, Entry{Endpoint: fmt.Sprint("e", i), Dest: i, Weight: 10})
	}
	w.step(0, fullList(entries...))
	for i := range 50 {
		id := fmt.Sprint("m", i)
		w.step(300*ms, w.newArrival(id, 0, i))
		w.step(100*ms, w.outcome(id, Success, 0))
	}
	requested := len(w.wakeTimes)
	w.step(time.Minute, WakeDue{})
	if len(w.wakeTimes) != requested || len(w.sender.activeDestinations) != 0 || len(w.sender.openMessages) != 0 {
		t.Errorf("%d wakes requested while idle, %d active destinations", len(w.wakeTimes)-requested, len(w.sender.activeDestinations))
	}
}
