package egress

import (
	"testing"
	"time"

	"harrierramp/internal/testkit"
)

// A cooldown must neither end early nor last longer if the wall clock is stepped.
func TestCooldownIgnoresWallClockStep(t *testing.T) {
	start := time.Now()
	var w Cooldown
	if w.Active(start) {
		t.Error("the zero value is active")
	}
	w.Extend(start.Add(time.Second))
	w.Extend(start.Add(time.Millisecond)) // a shorter cooldown has no effect
	for _, step := range []time.Duration{0, time.Hour, -time.Hour} {
		within, after := testkit.StepWallClock(start.Add(900*time.Millisecond), step), testkit.StepWallClock(start.Add(1100*time.Millisecond), step)
		if step != 0 && within.Round(0).Sub(start.Round(0)) != 900*time.Millisecond+step {
			t.Fatal("the clock is not stepped")
		}
		if !w.Active(within) || w.Active(after) {
			t.Errorf("wall clock stepped by %v: active %v before the end and %v after it", step, w.Active(within), w.Active(after))
		}
	}
	e := &Endpoint{Cooldown: &w}
	if !e.blocked(testkit.StepWallClock(start, time.Hour)) {
		t.Error("a step of the wall clock unblocks the endpoint")
	}
}
