package node

import (
	"time"
)

const (
	minClockStep       = 200 * time.Millisecond // smallest step of the wall clock against the monotonic one that counts
	clockCheckInterval = 250 * time.Millisecond // between comparisons of the clocks while there are messages
)

// wallClock detects that the wall clock is set while the process runs. The journal's times outlive the process
// and so cannot be on the monotonic clock.
type wallClock struct {
	startedAt     time.Time     // with wall clock and monotonic readings
	appliedOffset time.Duration // steps of the wall clock since then that the journal's times include
}

// stepped returns by how much the wall clock was set since the journal's times were written, or 0 if by less
// than minClockStep.
func (w *wallClock) stepped(now time.Time) time.Duration {
	by := now.Round(0).Sub(w.startedAt.Round(0)) - now.Sub(w.startedAt) - w.appliedOffset
	if by.Abs() < minClockStep {
		return 0
	}
	return by
}

// restamp converts the times in the journal to the wall clock's current setting, so that the next process reads
// deadlines and deduplication windows as this one does. If the journal cannot be written, the next step tries
// again.
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

// untilClockCheck returns the time until the next comparison of the clocks.
func (n *Node) untilClockCheck() time.Duration {
	if len(n.messages) == 0 {
		return time.Hour
	}
	return clockCheckInterval
}
