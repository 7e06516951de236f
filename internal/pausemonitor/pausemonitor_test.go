package pausemonitor

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestPauseDetection(t *testing.T) {
	for name, c := range map[string]struct {
		// Pause after one second of regular steps.
		pause time.Duration
		// Times after the end of the pause at which data is received.
		received []time.Duration
		// How long the monitor stays stale after the pause, in steps of 50 ms.
		stale time.Duration
	}{
		"none":                   {0, nil, 0},
		"a late step":            {900 * ms, nil, 0},
		"nothing is received":    {10 * time.Second, nil, MaxStale},
		"data was in a buffer":   {10 * time.Second, []time.Duration{10 * ms}, MaxStale},
		"data was sent after it": {10 * time.Second, []time.Duration{10 * ms, 240 * ms}, 250 * ms},
		"a minute":               {time.Minute, []time.Duration{150 * ms}, 150 * ms},
	} {
		var m Monitor
		now := time.Duration(0)
		for ; now <= time.Second; now += 50 * ms {
			if changed, _ := m.Step(now, now); changed || m.Stale() {
				t.Fatalf("%s: stale at %v", name, now)
			}
		}
		now += c.pause - 50*ms
		end, staleFor := now, time.Duration(0)
		before := now - max(c.pause, 50*ms)
		for ; now < end+3*time.Second; now += 50 * ms {
			received := time.Duration(0)
			for _, h := range c.received {
				if end+h <= now {
					received = end + h
				}
			}
			if m.Step(now, received); m.Stale() {
				staleFor = now - end + 50*ms
			}
		}
		wantUnread := c.pause
		if c.pause <= MinPause {
			wantUnread = 0
		}
		for at, want := range map[time.Duration]time.Duration{before - ms: 0, end - ms: wantUnread, end + ReceiveDelay: wantUnread, end + ReceiveDelay + ms: 0} {
			if got := m.UnreadFor(at); got != want {
				t.Errorf("%s: data read %v after the end may have been unread for %v, want %v", name, at-end, got, want)
			}
		}
		if staleFor != c.stale {
			t.Errorf("%s: stale for %v, want %v", name, staleFor, c.stale)
		}
	}
}

// For any sequence of steps and received data, a running monitor is never stale for longer than MaxStale, and
// never without a pause.
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
				t.Fatalf("%d pauses of %d, stale %v, %v after the last", m.Pauses, pauses, m.Stale(), now-since)
			}
			if wait := m.UntilNextStep(now); wait <= 0 || wait > StepInterval {
				t.Fatalf("the next step is due in %v", wait)
			}
		}
	})
}
