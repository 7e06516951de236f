// Package gap tells a process that it did not run for a while: it was stopped, swapped out, or its machine was. What it
// knew may be long out of date then, though its own clock and connections look as ever, so it looks before it acts. It is
// stepped with explicit time and does no input or output.
package gap

import "time"

const (
	// After is how late a tick may come. A process that has its share of a core is never so late.
	After = time.Second
	// Tick is how often Step has to be asked, and Soon how often while it is blind.
	Tick = 250 * time.Millisecond
	Soon = 50 * time.Millisecond
	// Settle is how long after a gap something that is heard may have been sent before its end: it lay in a buffer.
	Settle = 100 * time.Millisecond
	// Bound is the longest that a process waits to hear something: an outage of whoever it listens to stops nothing.
	Bound = 1500 * time.Millisecond
)

// Gap watches the ticks of one process. The zero value has seen none.
//
// Invariant: it is blind only between the end of a gap and the first thing heard that was said after it, and for Bound at
// most.
type Gap struct {
	last   time.Duration
	seen   bool
	blind  bool
	since  time.Duration // the end of the gap
	missed time.Duration // how long it was
	Count  int64         // gaps
}

// Step notes that the process runs at a moment, and when it last heard of what it acts on. changed is whether it has just
// become blind, or no longer is; missed is how long the gap was in the former case.
func (g *Gap) Step(now, heard time.Duration) (changed bool, missed time.Duration) {
	if g.seen && now-g.last > After {
		missed = now - g.last
		changed, g.blind, g.since, g.missed = !g.blind, true, now, missed
		g.Count++
	}
	g.last, g.seen = now, true
	if g.blind && missed == 0 && (heard >= g.since+Settle || now-g.since >= Bound) {
		g.blind, changed = false, true
	}
	return changed, missed
}

// Lain is how long something that was read at a moment may have lain unread, since the process did not run: what is read
// soon after a gap may have come at its beginning.
func (g *Gap) Lain(read time.Duration) time.Duration {
	if read <= g.since-g.missed || read > g.since+Settle {
		return 0
	}
	return g.missed
}

// Blind tells whether nothing new may be begun on what was known.
func (g *Gap) Blind() bool { return g.blind }

// Wait is when Step has to be asked again at the latest.
func (g *Gap) Wait(now time.Duration) time.Duration {
	next := Tick
	if g.blind {
		next = Soon
	}
	return max(g.last+next-now, 0)
}
