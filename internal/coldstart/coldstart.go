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
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Config is what a Start goes by.
type Config struct {
	// KeptAfter is how long a kept list waits for a server's: 0 for not at all.
	CachedAfter time.Duration
	// KeptMost is the oldest kept list that is of use; 0 for any age.
	CachedMaxAge time.Duration
	// Cycle is the time within which the node has asked for the list, if a server is there.
	QueryCycle time.Duration
}

// Kept is the list from before the start. The zero value is none.
type CachedList struct {
	Present bool
	Age     time.Duration // at the start; negative for not known, which is taken as old
}

// Start is the state of one start.
type Start struct {
	cfg            Config
	startedAt      time.Duration
	cacheUsable    bool // there is a kept list that may come into force
	waitReason     string
	ready          bool
	serverAnswered bool // a server has told a list
	complete       bool // and said that it is whole
	readyAt        time.Duration
}

// New begins a start at a moment.
func New(cfg Config, now time.Duration, cached CachedList) *Start {
	s := &Start{cfg: cfg, startedAt: now, waitReason: "no list is kept"}
	switch {
	case !cached.Present:
	case cfg.CachedMaxAge > 0 && cached.Age < 0:
		s.waitReason = "the kept list is of unknown age"
	case cfg.CachedMaxAge > 0 && cached.Age > cfg.CachedMaxAge:
		s.waitReason = fmt.Sprintf("the kept list is %v old, and %v at most is taken", cached.Age.Round(time.Second), cfg.CachedMaxAge)
	default:
		s.cacheUsable = true
		s.waitReason = fmt.Sprintf("a kept list comes into force %v after the start", cfg.CachedAfter)
	}
	return s
}

// KeptDue tells, once, that the kept list comes into force now.
func (s *Start) CachedListDue(now time.Duration) bool {
	if !s.cacheUsable || s.serverAnswered || now-s.startedAt < s.cfg.CachedAfter {
		return false
	}
	s.cacheUsable, s.ready, s.readyAt = false, true, now
	return true
}

// Wake is when KeptDue has to be asked; 0 for never.
func (s *Start) WakeAt() time.Duration {
	if !s.cacheUsable || s.serverAnswered {
		return 0
	}
	return s.startedAt + s.cfg.CachedAfter
}

// Listed notes a list of a server's with so many endpoints, and tells whether it is the first. One that settles may lack
// endpoints that are there, and so does not say which destinations are unknown; an empty one that settles says nothing.
func (s *Start) ObserveList(now time.Duration, settling bool, endpoints int) (first bool) {
	s.complete = s.complete || !settling
	if settling && endpoints == 0 {
		if !s.serverAnswered {
			s.waitReason = "the list service has just begun, and no endpoint has registered yet"
		}
		return false
	}
	first = !s.serverAnswered
	if s.serverAnswered = true; !s.ready {
		s.ready, s.readyAt = true, now
	}
	return first
}

// Ready tells whether messages may be taken.
func (s *Start) Ready() bool { return s.ready }

// Whole tells whether a server has told the whole list, so that what it does not name is unknown.
func (s *Start) Complete() bool { return s.complete }

// Took is how long it was until the node was ready; false before that.
func (s *Start) ReadyAfter() (time.Duration, bool) { return s.readyAt - s.startedAt, s.ready }

// Reason says what the start waits for; empty once it is ready.
func (s *Start) Reason() string {
	if s.ready {
		return ""
	}
	return "no list server has told a list that can be served on yet, and " + s.waitReason
}

// Come is how long a client is told to stay away while there is no list. chance from 0 to 1 spreads the clients.
func (s *Start) RetryAfter(jitter float64) time.Duration {
	wait := min(max(s.cfg.QueryCycle, minRetryAfter), maxRetryAfter)
	return wait/2 + time.Duration(jitter*float64(wait))
}
