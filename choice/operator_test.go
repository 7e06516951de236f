package choice

import (
	"testing"
	"time"
)

// An endpoint that operators have disabled must get neither first attempts nor retries until it is enabled, whatever
// the list, its health and the outcomes of earlier calls say. When it is enabled it must be treated as cold.
func TestDisabledEndpointGetsNothing(t *testing.T) {
	a := Entry{Endpoint: "a", Dest: 0, Weight: 10}
	b := Entry{Endpoint: "b", Dest: 1, Weight: 10}
	s := New(testSettings(), 1)
	now := time.Hour
	sends := func(events ...Event) (n int) {
		t.Helper()
		now += 200 * ms
		for _, act := range s.Step(now, events) {
			if send, ok := act.(Send); ok && send.Endpoint == "a" {
				n++
			}
		}
		return n
	}
	if n := sends(fullList(a, b), MessageArrived{ID: "m0", Deadline: now + time.Minute}); n != 1 {
		t.Fatal("the endpoint is not used before it is disabled")
	}
	if _, avoided := s.EndpointCounts(); avoided != 0 {
		t.Fatalf("%d endpoints are avoided, want 0", avoided)
	}
	for _, c := range []struct {
		name   string
		events []Event
	}{
		{"told", []Event{EndpointDisabled{"a"}, MessageArrived{ID: "m1", Deadline: now + time.Minute}}},
		{"disabled twice", []Event{EndpointDisabled{"a"}}},
		{"a success", []Event{AttemptEnded{ID: "m0", Endpoint: "a", Outcome: Success, MessageDone: true, Took: ms}}},
		{"removed from the list", []Event{fullList(b)}},
		{"listed again", []Event{fullList(a, b)}},
		{"listed by a change", []Event{ListUpdate{Entries: []Entry{a}}, MessageArrived{ID: "m2", Deadline: now + time.Minute}}},
	} {
		if n := sends(c.events...); n != 0 {
			t.Errorf("%s: %d sends", c.name, n)
		}
	}
	sends(fullList(a, b))
	if size, avoided := s.EndpointCounts(); size != 2 || avoided != 1 {
		t.Errorf("%d endpoints in the list, %d avoided", size, avoided)
	}
	n := sends(EndpointEnabled{"a"})
	for range 3 {
		n += sends(WakeDue{})
	}
	if n == 0 || !s.endpoints["a"].route.recovering() || s.endpoints["a"].route.circuitOpen {
		t.Errorf("enabled: %d sends, recovering %v", n, s.endpoints["a"].route.recovering())
	}
	if _, avoided := s.EndpointCounts(); avoided != 0 {
		t.Errorf("%d endpoints are avoided, want 0", avoided)
	}
}

// A disabled endpoint must stay disabled if it is listed only afterwards, as after a restart. Enabling an endpoint
// that was not disabled must have no effect.
func TestDisabledBeforeListed(t *testing.T) {
	for _, disabled := range []bool{true, false} {
		s := New(testSettings(), 1)
		event := Event(EndpointEnabled{"a"})
		if disabled {
			event = EndpointDisabled{"a"}
		}
		s.Step(time.Hour, []Event{event})
		sent := false
		for _, a := range s.Step(time.Hour+ms, []Event{oneEndpoint(), MessageArrived{ID: "m", Deadline: 2 * time.Hour}}) {
			_, ok := a.(Send)
			sent = sent || ok
		}
		if sent == disabled || s.endpoints["a"].route.recovering() {
			t.Errorf("disabled %v: sent %v, recovering %v", disabled, sent, s.endpoints["a"].route.recovering())
		}
	}
}
