// Package gap tells a process that it did not run for a while: it was stopped, swapped out, or its machine was. What it
// knew may be long out of date then, though its own clock and connections look as ever, so it looks before it acts. It is
// stepped with explicit time and does no input or output.
package pausemonitor

import "time"

const (
	// After is how late a tick may come. A process that has its share of a core is never so late.
	MinPause = time.Second
	// Tick is how often Step has to be asked, and Soon how often while it is blind.
	StepInterval      = 250 * time.Millisecond
	StaleStepInterval = 50 * time.Millisecond
	// Settle is how long after a gap something that is heard may have been sent before its end: it lay in a buffer.
	ReceiveDelay = 100 * time.Millisecond
	// Bound is the longest that a process waits to hear something: an outage of whoever it listens to stops nothing.
	MaxStale = 1500 * time.Millisecond
)

// Gap watches the ticks of one process. The zero value has seen none.
//
// Invariant: it is blind only between the end of a gap and the first thing heard that was said after it, and for Bound at
// most.
type Monitor struct {
	lastStep    time.Duration
	stepped     bool
	stale       bool
	pauseEnd    time.Duration // the end of the gap
	pauseLength time.Duration // how long it was
	Pauses      int64         // gaps
}

// Step notes that the process runs at a moment, and when it last heard of what it acts on. changed is whether it has just
// become blind, or no longer is; missed is how long the gap was in the former case.
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

// Lain is how long something that was read at a moment may have lain unread, since the process did not run: what is read
// soon after a gap may have come at its beginning.
func (m *Monitor) UnreadFor(readAt time.Duration) time.Duration {
	if readAt <= m.pauseEnd-m.pauseLength || readAt > m.pauseEnd+ReceiveDelay {
		return 0
	}
	return m.pauseLength
}

// Blind tells whether nothing new may be begun on what was known.
func (m *Monitor) Stale() bool { return m.stale }

// Wait is when Step has to be asked again at the latest.
func (m *Monitor) UntilNextStep(now time.Duration) time.Duration {
	next := StepInterval
	if m.stale {
		next = StaleStepInterval
	}
	return max(m.lastStep+next-now, 0)
}
