package pausemonitor

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestPauseDetection(t *testing.T) {
	for name, c := range map[string]struct {
		gap   time.Duration   // after a second of ticks
		heard []time.Duration // after its end
		blind time.Duration   // for so long after it, in steps of 50 ms
	}{
		"none":                       {0, nil, 0},
		"a late tick":                {900 * ms, nil, 0},
		"nobody is heard":            {10 * time.Second, nil, MaxStale},
		"something lay in a buffer":  {10 * time.Second, []time.Duration{10 * ms}, MaxStale},
		"something is said after it": {10 * time.Second, []time.Duration{10 * ms, 240 * ms}, 250 * ms},
		"a minute":                   {time.Minute, []time.Duration{150 * ms}, 150 * ms},
	} {
		var m Monitor
		now := time.Duration(0)
		for ; now <= time.Second; now += 50 * ms {
			if changed, _ := m.Step(now, now); changed || m.Stale() {
				t.Fatalf("%s: blind at %v", name, now)
			}
		}
		now += c.gap - 50*ms
		end, staleFor := now, time.Duration(0)
		before := now - max(c.gap, 50*ms)
		for ; now < end+3*time.Second; now += 50 * ms {
			heard := time.Duration(0)
			for _, h := range c.heard {
				if end+h <= now {
					heard = end + h
				}
			}
			if m.Step(now, heard); m.Stale() {
				staleFor = now - end + 50*ms
			}
		}
		wantUnread := c.gap
		if c.gap <= MinPause {
			wantUnread = 0
		}
		for at, want := range map[time.Duration]time.Duration{before - ms: 0, end - ms: wantUnread, end + ReceiveDelay: wantUnread, end + ReceiveDelay + ms: 0} {
			if got := m.UnreadFor(at); got != want {
				t.Errorf("%s: what is read %v after its end may have lain for %v, want %v", name, at-end, got, want)
			}
		}
		if staleFor != c.blind {
			t.Errorf("%s: blind for %v, want %v", name, staleFor, c.blind)
		}
	}
}

// Whatever the ticks and whatever is heard: never blind for longer than the bound while it runs, never without a gap.
func TestStalePeriodIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Monitor
		now, heard, since, pauses := time.Duration(0), time.Duration(0), time.Duration(0), int64(0)
		for i := range rapid.IntRange(1, 200).Draw(t, "ticks") {
			pause := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "pause"))
			now += pause
			if rapid.Bool().Draw(t, "heard") {
				heard = now
			}
			if pause > MinPause && i > 0 {
				since = now
				pauses++
			}
			m.Step(now, heard)
			if m.Pauses != pauses || m.Stale() && (pauses == 0 || now-since >= MaxStale) || pause > MinPause && i > 0 && !m.Stale() {
				t.Fatalf("%d gaps of %d, blind %v, %v after the last", m.Pauses, pauses, m.Stale(), now-since)
			}
			if wait := m.UntilNextStep(now); wait <= 0 || wait > StepInterval {
				t.Fatalf("it wants to be asked after %v", wait)
			}
		}
	})
}
