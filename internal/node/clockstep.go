package node

import (
	"time"
)

const (
	minClockStep       = 200 * time.Millisecond // of the wall clock against the monotonic one
	clockCheckInterval = 250 * time.Millisecond // between looks at the clocks while messages are held
)

// wallClock notices when the wall clock is set while the process runs. The journal's times outlast the process, and so
// can't be on the monotonic clock.
type wallClock struct {
	startedAt     time.Time     // with both readings
	appliedOffset time.Duration // of the wall clock since then, as far as the journal knows
}

// stepped is how far the wall clock has been set since the journal's times were written, 0 for not to speak of.
func (w *wallClock) stepped(now time.Time) time.Duration {
	by := now.Round(0).Sub(w.startedAt.Round(0)) - now.Sub(w.startedAt) - w.appliedOffset
	if by.Abs() < minClockStep {
		return 0
	}
	return by
}

// restamp has the journal hold its times by the wall clock that is shown now, so that the next process reads deadlines and
// windows as this one does. Where they can't be written it is tried again at the next step.
func (n *Node) restamp(now time.Time) {
	by := n.wallClock.stepped(now)
	if by == 0 {
		return
	}
	err := n.journal.Restamp(func(t time.Time) time.Time { return now.Add(n.clockAt(t) - n.clockAt(now)) })
	n.log.Warn("clock_stepped", "by", by, "messages", len(n.messages), "err", err)
	if err == nil {
		n.wallClock.appliedOffset += by
	}
}

// untilClockLook is the time until the next look at the clocks.
func (n *Node) untilClockCheck() time.Duration {
	if len(n.messages) == 0 {
		return time.Hour
	}
	return clockCheckInterval
}
