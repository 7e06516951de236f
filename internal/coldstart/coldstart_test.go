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
		cached  CachedList
		listed  time.Duration // when a server's list arrives; 0 for never
		readyAt time.Duration // 0 for never
		reason  string        // part of the reason before that
	}{
		"a server sends a list":             {Config{}, CachedList{}, 3 * s, 3 * s, "no list is kept"},
		"no list ever arrives":              {Config{}, CachedList{}, 0, 0, "no list is kept"},
		"a cached list serves at once":      {Config{}, CachedList{true, -1}, 0, s, ""},
		"a cached list waits":               {Config{CachedAfter: 2 * s}, CachedList{true, s}, 0, 3 * s, "comes into force 2s"},
		"a server is earlier":               {Config{CachedAfter: 4 * s}, CachedList{true, s}, 2 * s, 2 * s, "comes into force"},
		"the cache is too old":              {Config{CachedMaxAge: s}, CachedList{true, 2 * s}, 0, 0, "2s old"},
		"too old, and a server sends one":   {Config{CachedMaxAge: s}, CachedList{true, 2 * s}, 4 * s, 4 * s, "2s old"},
		"a cache of unknown age":            {Config{CachedMaxAge: s}, CachedList{true, -1}, 0, 0, "unknown age"},
		"any age is accepted without limit": {Config{CachedMaxAge: 0}, CachedList{true, 1000 * time.Hour}, 0, s, ""},
	} {
		t.Run(name, func(t *testing.T) {
			start := New(c.cfg, s, c.cached)
			for now := s; now < 10*s; now += 100 * time.Millisecond {
				due := start.CachedListDue(now)
				if c.listed > 0 && now == c.listed {
					start.ObserveList(now, false, 1)
				}
				if ready := c.readyAt > 0 && now >= c.readyAt; start.Ready() != ready || (due && !ready) {
					t.Fatalf("at %v: ready %v", now, start.Ready())
				}
				if reason := start.Reason(); start.Ready() != (reason == "") || !start.Ready() && !strings.Contains(reason, c.reason) {
					t.Fatalf("at %v the reason is %q", now, reason)
				}
				if start.Complete() != (c.listed > 0 && now >= c.listed) {
					t.Fatalf("at %v: complete %v", now, start.Complete())
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
		start := New(cfg, 0, CachedList{rapid.Bool().Draw(t, "kept"), span.Draw(t, "age") - time.Second})
		now, wasReady, timesInForce, firsts := time.Duration(0), false, 0, 0
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += span.Draw(t, "pause") / 10
			if rapid.Bool().Draw(t, "list") && start.ObserveList(now, rapid.Bool().Draw(t, "settles"), rapid.IntRange(0, 1).Draw(t, "endpoints")) {
				firsts++
			}
			if start.CachedListDue(now) {
				if timesInForce++; start.Complete() {
					t.Fatal("the cached list comes into force after a server's complete list")
				}
			}
			if wasReady && !start.Ready() {
				t.Fatal("ready has been revoked")
			}
			if wasReady = start.Ready(); timesInForce > 1 || firsts > 1 {
				t.Fatalf("the cached list came into force %d times, and %d lists were the first", timesInForce, firsts)
			}
			if wait := start.RetryAfter(rapid.Float64Range(0, 1).Draw(t, "chance")); wait < minRetryAfter/2 || wait > 2*maxRetryAfter {
				t.Fatalf("clients are told to wait %v", wait)
			}
		}
	})
}

// A list service that has just started: its empty list is not usable, a list that still grows is usable but
// leaves no destination unknown, and only once it has settled are missing destinations unknown.
func TestSettlingListLeavesNoDestinationUnknown(t *testing.T) {
	start := New(Config{}, 0, CachedList{})
	if start.ObserveList(1, true, 0) || start.Ready() || start.Complete() || !strings.Contains(start.Reason(), "just begun") {
		t.Errorf("an empty settling list: ready %v, complete %v, %q", start.Ready(), start.Complete(), start.Reason())
	}
	if !start.ObserveList(2, true, 3) || !start.Ready() || start.Complete() {
		t.Errorf("a growing list: ready %v, complete %v", start.Ready(), start.Complete())
	}
	if start.ObserveList(3, false, 0) || !start.Complete() {
		t.Error("a settled list is not complete")
	}
}
