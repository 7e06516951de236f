package egress

import (
	"testing"
	"time"

	"harrierramp/internal/testkit"
)

func TestCooldownIgnoresWallClockStep(t *testing.T) {
	told := time.Now()
	var w Cooldown
	if w.Active(told) {
		t.Error("no wait was told")
	}
	w.Extend(told.Add(time.Second))
	w.Extend(told.Add(time.Millisecond)) // a shorter one ends nothing
	for _, step := range []time.Duration{0, time.Hour, -time.Hour} {
		within, after := testkit.StepWallClock(told.Add(900*time.Millisecond), step), testkit.StepWallClock(told.Add(1100*time.Millisecond), step)
		if step != 0 && within.Round(0).Sub(told.Round(0)) != 900*time.Millisecond+step {
			t.Fatal("the clock is not stepped")
		}
		if !w.Active(within) || w.Active(after) {
			t.Errorf("stepped by %v: it lasts %v within its time and %v after it", step, w.Active(within), w.Active(after))
		}
	}
	e := &Endpoint{Cooldown: &w}
	if !e.blocked(testkit.StepWallClock(told, time.Hour)) {
		t.Error("a step of the clock opens the endpoint")
	}
}
