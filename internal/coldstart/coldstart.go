// Package coldstart is what the start of a node waits for before it may take messages: a list of endpoints, told by a
// server or kept from before. It is stepped with explicit time and does no input or output; whoever owns the node's state
// owns a Start as well.
//
// Invariants: a Start that is ready stays so. Until a server has told the list, an unknown destination may still be named,
// so that nobody is failed for want of one.
package coldstart

import (
	"fmt"
	"time"
)

// Bounds of what a client is told to wait while there is no list.
const (
	leastWait = 100 * time.Millisecond
	mostWait  = 3 * time.Second
)

// Config is what a Start goes by.
type Config struct {
	// KeptAfter is how long a kept list waits for a server's: 0 for not at all.
	KeptAfter time.Duration
	// KeptMost is the oldest kept list that is of use; 0 for any age.
	KeptMost time.Duration
	// Cycle is the time within which the node has asked for the list, if a server is there.
	Cycle time.Duration
}

// Kept is the list from before the start. The zero value is none.
type Kept struct {
	There bool
	Age   time.Duration // at the start; negative for not known, which is taken as old
}

// Start is the state of one start.
type Start struct {
	cfg    Config
	began  time.Duration
	kept   bool // there is a kept list that may come into force
	why    string
	ready  bool
	heard  bool // a server has told a list
	listed bool // and said that it is whole
	at     time.Duration
}

// New begins a start at a moment.
func New(cfg Config, now time.Duration, kept Kept) *Start {
	s := &Start{cfg: cfg, began: now, why: "no list is kept"}
	switch {
	case !kept.There:
	case cfg.KeptMost > 0 && kept.Age < 0:
		s.why = "the kept list is of unknown age"
	case cfg.KeptMost > 0 && kept.Age > cfg.KeptMost:
		s.why = fmt.Sprintf("the kept list is %v old, and %v at most is taken", kept.Age.Round(time.Second), cfg.KeptMost)
	default:
		s.kept = true
		s.why = fmt.Sprintf("a kept list comes into force %v after the start", cfg.KeptAfter)
	}
	return s
}

// KeptDue tells, once, that the kept list comes into force now.
func (s *Start) KeptDue(now time.Duration) bool {
	if !s.kept || s.heard || now-s.began < s.cfg.KeptAfter {
		return false
	}
	s.kept, s.ready, s.at = false, true, now
	return true
}

// Wake is when KeptDue has to be asked; 0 for never.
func (s *Start) Wake() time.Duration {
	if !s.kept || s.heard {
		return 0
	}
	return s.began + s.cfg.KeptAfter
}

// Listed notes a list of a server's with so many endpoints, and tells whether it is the first. One that settles may lack
// endpoints that are there, and so does not say which destinations are unknown; an empty one that settles says nothing.
func (s *Start) Listed(now time.Duration, settles bool, endpoints int) (first bool) {
	s.listed = s.listed || !settles
	if settles && endpoints == 0 {
		if !s.heard {
			s.why = "the list service has just begun, and no endpoint has registered yet"
		}
		return false
	}
	first = !s.heard
	if s.heard = true; !s.ready {
		s.ready, s.at = true, now
	}
	return first
}

// Ready tells whether messages may be taken.
func (s *Start) Ready() bool { return s.ready }

// Whole tells whether a server has told the whole list, so that what it does not name is unknown.
func (s *Start) Whole() bool { return s.listed }

// Took is how long it was until the node was ready; false before that.
func (s *Start) Took() (time.Duration, bool) { return s.at - s.began, s.ready }

// Reason says what the start waits for; empty once it is ready.
func (s *Start) Reason() string {
	if s.ready {
		return ""
	}
	return "no list server has told a list that can be served on yet, and " + s.why
}

// Come is how long a client is told to stay away while there is no list. chance from 0 to 1 spreads the clients.
func (s *Start) Come(chance float64) time.Duration {
	wait := min(max(s.cfg.Cycle, leastWait), mostWait)
	return wait/2 + time.Duration(chance*float64(wait))
}
