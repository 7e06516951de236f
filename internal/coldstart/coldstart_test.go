package coldstart

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A story of each way to begin.
func TestReadinessByListSource(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		cfg     Config
		kept    CachedList
		listed  time.Duration // by a server; 0 for never
		readyAt time.Duration // 0 for never
		why     string        // before that
	}{
		"a server tells":                 {Config{}, CachedList{}, 3 * s, 3 * s, "no list is kept"},
		"nobody ever does":               {Config{}, CachedList{}, 0, 0, "no list is kept"},
		"a kept list serves at once":     {Config{}, CachedList{true, -1}, 0, s, ""},
		"a kept list waits":              {Config{CachedAfter: 2 * s}, CachedList{true, s}, 0, 3 * s, "comes into force 2s"},
		"a server is before it":          {Config{CachedAfter: 4 * s}, CachedList{true, s}, 2 * s, 2 * s, "comes into force"},
		"it is too old":                  {Config{CachedMaxAge: s}, CachedList{true, 2 * s}, 0, 0, "2s old"},
		"it is too old, a server tells":  {Config{CachedMaxAge: s}, CachedList{true, 2 * s}, 4 * s, 4 * s, "2s old"},
		"it is of unknown age":           {Config{CachedMaxAge: s}, CachedList{true, -1}, 0, 0, "unknown age"},
		"its age is no matter if unsaid": {Config{CachedMaxAge: 0}, CachedList{true, 1000 * time.Hour}, 0, s, ""},
	} {
		t.Run(name, func(t *testing.T) {
			x := New(c.cfg, s, c.kept)
			for now := s; now < 10*s; now += 100 * time.Millisecond {
				due := x.CachedListDue(now)
				if c.listed > 0 && now == c.listed {
					x.ObserveList(now, false, 1)
				}
				if ready := c.readyAt > 0 && now >= c.readyAt; x.Ready() != ready || (due && !ready) {
					t.Fatalf("at %v: ready %v", now, x.Ready())
				}
				if why := x.Reason(); x.Ready() != (why == "") || !x.Ready() && !strings.Contains(why, c.why) {
					t.Fatalf("at %v it says %q", now, why)
				}
				if x.Complete() != (c.listed > 0 && now >= c.listed) {
					t.Fatalf("at %v: whole %v", now, x.Complete())
				}
			}
		})
	}
}

// Whatever comes in whatever order: ready stays ready, the kept list comes into force once at most and never after a
// server's, and what clients are told is bounded.
func TestReadinessNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "span"))
		})
		cfg := Config{CachedAfter: span.Draw(t, "after"), CachedMaxAge: span.Draw(t, "most"), QueryCycle: span.Draw(t, "cycle")}
		x := New(cfg, 0, CachedList{rapid.Bool().Draw(t, "kept"), span.Draw(t, "age") - time.Second})
		now, was, due, firsts := time.Duration(0), false, 0, 0
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += span.Draw(t, "pause") / 10
			if rapid.Bool().Draw(t, "list") && x.ObserveList(now, rapid.Bool().Draw(t, "settles"), rapid.IntRange(0, 1).Draw(t, "endpoints")) {
				firsts++
			}
			if x.CachedListDue(now) {
				if due++; x.Complete() {
					t.Fatal("the kept list comes into force after a server's")
				}
			}
			if was && !x.Ready() {
				t.Fatal("it is no longer ready")
			}
			if was = x.Ready(); due > 1 || firsts > 1 {
				t.Fatalf("in force %d times, first %d times", due, firsts)
			}
			if wait := x.RetryAfter(rapid.Float64Range(0, 1).Draw(t, "chance")); wait < minRetryAfter/2 || wait > 2*maxRetryAfter {
				t.Fatalf("clients are told %v", wait)
			}
		}
	})
}

// A list service that has just begun: its empty list says nothing, one that grows serves and names nobody unknown, and
// only when it has settled is what it lacks unknown.
func TestSettlingListLeavesNoDestinationUnknown(t *testing.T) {
	x := New(Config{}, 0, CachedList{})
	if x.ObserveList(1, true, 0) || x.Ready() || x.Complete() || !strings.Contains(x.Reason(), "just begun") {
		t.Errorf("an empty list that settles: ready %v, whole %v, %q", x.Ready(), x.Complete(), x.Reason())
	}
	if !x.ObserveList(2, true, 3) || !x.Ready() || x.Complete() {
		t.Errorf("one that grows: ready %v, whole %v", x.Ready(), x.Complete())
	}
	if x.ObserveList(3, false, 0) || !x.Complete() {
		t.Error("one that has settled is not whole")
	}
}
