// Package pausemonitor detects that the process did not run for a while, because it was stopped or swapped out,
// or its machine was suspended. What the process knows may be long out of date then, although its own clock and
// connections look normal, so it has to hear from the outside again before it acts. The package gets the time
// as an argument and does no input or output.
package pausemonitor

import "time"

const (
	// MinPause is the time between two steps above which the process counts as paused. A process that gets its
	// share of a core never takes that long.
	MinPause = time.Second
	// StepInterval is how often Step has to be called, and StaleStepInterval how often while the monitor is
	// stale.
	StepInterval      = 250 * time.Millisecond
	StaleStepInterval = 50 * time.Millisecond
	// ReceiveDelay is how long after the end of a pause received data may have been sent before it: the data
	// was in a buffer.
	ReceiveDelay = 100 * time.Millisecond
	// MaxStale is the longest that a process waits for newer data, so that an outage of the sender of that data
	// does not stop it.
	MaxStale = 1500 * time.Millisecond
)

// Monitor detects pauses from the times at which Step is called. The zero value is ready for use.
//
// Invariant: a monitor is stale only between the end of a pause and the first data received that was sent after
// it, and for MaxStale at most.
type Monitor struct {
	lastStep    time.Duration
	stepped     bool
	stale       bool
	pauseEnd    time.Duration // end of the last pause
	pauseLength time.Duration // length of the last pause
	Pauses      int64         // number of pauses
}

// Step records that the process runs at time now, and that it last received data about what it acts on at
// lastHeard. changed reports whether the monitor has just become stale or has just ceased to be. paused is the
// length of the pause that this step has detected, or 0.
func (m *Monitor) Step(now, lastHeard time.Duration) (changed bool, paused time.Duration) {
	if m.stepped && now-m.lastStep > MinPause {
		paused = now - m.lastStep
		changed, m.stale, m.pauseEnd, m.pauseLength = !m.stale, true, now, paused
		m.Pauses++
	}
	m.lastStep, m.stepped = now, true
	if m.stale && paused == 0 && (lastHeard >= m.pauseEnd+ReceiveDelay || now-m.pauseEnd >= MaxStale) {
		m.stale, changed = false, true
	}
	return changed, paused
}

// UnreadFor returns how long data that was read at readAt may have been unread in a buffer because the process
// did not run: data that is read during or soon after a pause may have arrived at its beginning.
func (m *Monitor) UnreadFor(readAt time.Duration) time.Duration {
	if readAt <= m.pauseEnd-m.pauseLength || readAt > m.pauseEnd+ReceiveDelay {
		return 0
	}
	return m.pauseLength
}

// Stale reports whether the process must not start anything new on the basis of what it knew before the pause.
func (m *Monitor) Stale() bool { return m.stale }

// UntilNextStep returns the time until Step has to be called again at the latest.
func (m *Monitor) UntilNextStep(now time.Duration) time.Duration {
	next := StepInterval
	if m.stale {
		next = StaleStepInterval
	}
	return max(m.lastStep+next-now, 0)
}
