package coldstart

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// One case for each source of the first list.
func TestReadinessByListSource(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		cfg     Config
		kept    CachedList
		listed  time.Duration // by a server; 0 for never
		readyAt time.Duration // 0 for never
		why     string        // before that
	}{
		"a server tells":                    {Config{}, CachedList{}, 3 * s, 3 * s, "no list is cached"},
		"nobody ever does":                  {Config{}, CachedList{}, 0, 0, "no list is cached"},
		"a cached list serves at once":      {Config{}, CachedList{true, -1}, 0, s, ""},
		"a cached list waits":               {Config{CachedAfter: 2 * s}, CachedList{true, s}, 0, 3 * s, "comes into force 2s"},
		"a server is earlier":               {Config{CachedAfter: 4 * s}, CachedList{true, s}, 2 * s, 2 * s, "comes into force"},
		"it is too old":                     {Config{CachedMaxAge: s}, CachedList{true, 2 * s}, 0, 0, "2s old"},
		"it is too old, a server tells":     {Config{CachedMaxAge: s}, CachedList{true, 2 * s}, 4 * s, 4 * s, "2s old"},
		"it is of unknown age":              {Config{CachedMaxAge: s}, CachedList{true, -1}, 0, 0, "unknown age"},
		"any age is accepted without limit": {Config{CachedMaxAge: 0}, CachedList{true, 1000 * time.Hour}, 0, s, ""},
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
					t.Fatalf("at %v the reason is %q", now, why)
				}
				if x.Complete() != (c.listed > 0 && now >= c.listed) {
					t.Fatalf("at %v: complete %v", now, x.Complete())
				}
			}
		})
	}
}

// For any sequence of lists: ready stays ready, the cached list comes into force at most once and never after a
// complete list of a server, and the time that clients are told to wait is bounded.
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
					t.Fatal("the cached list comes into force after a server's complete list")
				}
			}
			if was && !x.Ready() {
				t.Fatal("ready has been revoked")
			}
			if was = x.Ready(); due > 1 || firsts > 1 {
				t.Fatalf("the cached list came into force %d times, and %d lists were the first", due, firsts)
			}
			if wait := x.RetryAfter(rapid.Float64Range(0, 1).Draw(t, "chance")); wait < minRetryAfter/2 || wait > 2*maxRetryAfter {
				t.Fatalf("clients are told to wait %v", wait)
			}
		}
	})
}

// A list service that has just started: its empty list is not usable, a list that still grows is usable but
// leaves no destination unknown, and only once it has settled are missing destinations unknown.
func TestSettlingListLeavesNoDestinationUnknown(t *testing.T) {
	x := New(Config{}, 0, CachedList{})
	if x.ObserveList(1, true, 0) || x.Ready() || x.Complete() || !strings.Contains(x.Reason(), "just started") {
		t.Errorf("an empty settling list: ready %v, complete %v, %q", x.Ready(), x.Complete(), x.Reason())
	}
	if !x.ObserveList(2, true, 3) || !x.Ready() || x.Complete() {
		t.Errorf("a growing list: ready %v, complete %v", x.Ready(), x.Complete())
	}
	if x.ObserveList(3, false, 0) || !x.Complete() {
		t.Error("a settled list is not complete")
	}
}
