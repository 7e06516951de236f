package coldstart

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A story of each way to begin.
func TestWhatAStartWaitsFor(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		cfg     Config
		kept    Kept
		listed  time.Duration // by a server; 0 for never
		readyAt time.Duration // 0 for never
		why     string        // before that
	}{
		"a server tells":                 {Config{}, Kept{}, 3 * s, 3 * s, "no list is kept"},
		"nobody ever does":               {Config{}, Kept{}, 0, 0, "no list is kept"},
		"a kept list serves at once":     {Config{}, Kept{true, -1}, 0, s, ""},
		"a kept list waits":              {Config{KeptAfter: 2 * s}, Kept{true, s}, 0, 3 * s, "comes into force 2s"},
		"a server is before it":          {Config{KeptAfter: 4 * s}, Kept{true, s}, 2 * s, 2 * s, "comes into force"},
		"it is too old":                  {Config{KeptMost: s}, Kept{true, 2 * s}, 0, 0, "2s old"},
		"it is too old, a server tells":  {Config{KeptMost: s}, Kept{true, 2 * s}, 4 * s, 4 * s, "2s old"},
		"it is of unknown age":           {Config{KeptMost: s}, Kept{true, -1}, 0, 0, "unknown age"},
		"its age is no matter if unsaid": {Config{KeptMost: 0}, Kept{true, 1000 * time.Hour}, 0, s, ""},
	} {
		t.Run(name, func(t *testing.T) {
			x := New(c.cfg, s, c.kept)
			for now := s; now < 10*s; now += 100 * time.Millisecond {
				due := x.KeptDue(now)
				if c.listed > 0 && now == c.listed {
					x.Listed(now, false, 1)
				}
				if ready := c.readyAt > 0 && now >= c.readyAt; x.Ready() != ready || (due && !ready) {
					t.Fatalf("at %v: ready %v", now, x.Ready())
				}
				if why := x.Reason(); x.Ready() != (why == "") || !x.Ready() && !strings.Contains(why, c.why) {
					t.Fatalf("at %v it says %q", now, why)
				}
				if x.Whole() != (c.listed > 0 && now >= c.listed) {
					t.Fatalf("at %v: whole %v", now, x.Whole())
				}
			}
		})
	}
}

// Whatever comes in whatever order: ready stays ready, the kept list comes into force once at most and never after a
// server's, and what clients are told is bounded.
func TestAStartGoesOneWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "span"))
		})
		cfg := Config{KeptAfter: span.Draw(t, "after"), KeptMost: span.Draw(t, "most"), Cycle: span.Draw(t, "cycle")}
		x := New(cfg, 0, Kept{rapid.Bool().Draw(t, "kept"), span.Draw(t, "age") - time.Second})
		now, was, due, firsts := time.Duration(0), false, 0, 0
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += span.Draw(t, "pause") / 10
			if rapid.Bool().Draw(t, "list") && x.Listed(now, rapid.Bool().Draw(t, "settles"), rapid.IntRange(0, 1).Draw(t, "endpoints")) {
				firsts++
			}
			if x.KeptDue(now) {
				if due++; x.Whole() {
					t.Fatal("the kept list comes into force after a server's")
				}
			}
			if was && !x.Ready() {
				t.Fatal("it is no longer ready")
			}
			if was = x.Ready(); due > 1 || firsts > 1 {
				t.Fatalf("in force %d times, first %d times", due, firsts)
			}
			if wait := x.Come(rapid.Float64Range(0, 1).Draw(t, "chance")); wait < leastWait/2 || wait > 2*mostWait {
				t.Fatalf("clients are told %v", wait)
			}
		}
	})
}

// A list service that has just begun: its empty list says nothing, one that grows serves and names nobody unknown, and
// only when it has settled is what it lacks unknown.
func TestAListThatSettles(t *testing.T) {
	x := New(Config{}, 0, Kept{})
	if x.Listed(1, true, 0) || x.Ready() || x.Whole() || !strings.Contains(x.Reason(), "just begun") {
		t.Errorf("an empty list that settles: ready %v, whole %v, %q", x.Ready(), x.Whole(), x.Reason())
	}
	if !x.Listed(2, true, 3) || !x.Ready() || x.Whole() {
		t.Errorf("one that grows: ready %v, whole %v", x.Ready(), x.Whole())
	}
	if x.Listed(3, false, 0) || !x.Whole() {
		t.Error("one that has settled is not whole")
	}
}
