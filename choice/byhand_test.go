package choice

import (
	"testing"
	"time"
)

// An endpoint that operators have taken out gets neither first nor further attempts, whatever the list, its health
// and the outcome of what was out say, until it is put back; then it is cold.
func TestDisabledEndpointGetsNothing(t *testing.T) {
	a := Entry{Endpoint: "a", Dest: 0, Weight: 10}
	b := Entry{Endpoint: "b", Dest: 1, Weight: 10}
	s := New(settings(), 1)
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
	if n := sends(list(a, b), Arrived{ID: "m0", DropDead: now + time.Minute}); n != 1 {
		t.Fatal("the endpoint is not used at all")
	}
	if _, avoided := s.Pool(); avoided != 0 {
		t.Fatalf("%d avoided", avoided)
	}
	for _, c := range []struct {
		name   string
		events []Event
	}{
		{"told", []Event{Disabled{"a"}, Arrived{ID: "m1", DropDead: now + time.Minute}}},
		{"told twice", []Event{Disabled{"a"}}},
		{"a success", []Event{Ended{ID: "m0", Endpoint: "a", Outcome: Pass, Closed: true, Took: ms}}},
		{"dropped from the list", []Event{list(b)}},
		{"listed again", []Event{list(a, b)}},
		{"listed by a change", []Event{Listed{Entries: []Entry{a}}, Arrived{ID: "m2", DropDead: now + time.Minute}}},
	} {
		if n := sends(c.events...); n != 0 {
			t.Errorf("%s: %d sends", c.name, n)
		}
	}
	sends(list(a, b))
	if size, avoided := s.Pool(); size != 2 || avoided != 1 {
		t.Errorf("the pool is %d, %d avoided", size, avoided)
	}
	n := sends(Enabled{"a"})
	for range 3 {
		n += sends(Rang{})
	}
	if n == 0 || !s.eps["a"].route.recovering() || s.eps["a"].route.sick {
		t.Errorf("put back: %d sends, recovering %v", n, s.eps["a"].route.recovering())
	}
	if _, avoided := s.Pool(); avoided != 0 {
		t.Errorf("%d avoided", avoided)
	}
}

// Told before any list has named it, as after a restart, it holds as well; putting back one that was never out
// costs nothing.
func TestDisabledBeforeTheList(t *testing.T) {
	for _, out := range []bool{true, false} {
		s := New(settings(), 1)
		told := Event(Enabled{"a"})
		if out {
			told = Disabled{"a"}
		}
		s.Step(time.Hour, []Event{told})
		sent := false
		for _, a := range s.Step(time.Hour+ms, []Event{one(), Arrived{ID: "m", DropDead: 2 * time.Hour}}) {
			_, ok := a.(Send)
			sent = sent || ok
		}
		if sent == out || s.eps["a"].route.recovering() {
			t.Errorf("out %v: sent %v, recovering %v", out, sent, s.eps["a"].route.recovering())
		}
	}
}
