// Package coldstart decides when a starting node may accept messages: it needs a list of endpoints, from a list
// server or from the cache of an earlier process. It gets the time as an argument and does no input or output.
// A Start is not safe for concurrent use.
//
// Invariants: a Start that is ready stays ready. Until a list server has sent a complete list, an unknown
// destination may still be listed later, so no message may fail because its destination is unknown.
package coldstart

import (
	"fmt"
	"time"
)

// Bounds of the time that clients are told to wait while there is no list.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Config holds the parameters of a Start.
type Config struct {
	// CachedAfter is how long the start waits for a list server before the cached list comes into force; 0 for
	// not at all.
	CachedAfter time.Duration
	// CachedMaxAge is the greatest age of a cached list that may be used; 0 for any age.
	CachedMaxAge time.Duration
	// QueryCycle is the time within which the node has queried the list service, if a list server is reachable.
	QueryCycle time.Duration
}

// CachedList describes the list that an earlier process left in the cache. The zero value means that there is
// none.
type CachedList struct {
	Present bool
	Age     time.Duration // at the start; negative if unknown, which counts as too old if there is a limit
}

// Start is the state of one start of a node.
type Start struct {
	cfg            Config
	startedAt      time.Duration
	cacheUsable    bool // there is a cached list that may come into force
	waitReason     string
	ready          bool
	serverAnswered bool // a list server has sent a usable list
	complete       bool // a list server has sent a list that does not settle any more
	readyAt        time.Duration
}

// New returns a Start that begins at time now. The texts of its reasons are sent to clients, so they stay as they are.
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

// CachedListDue returns true once, when the cached list comes into force.
func (s *Start) CachedListDue(now time.Duration) bool {
	if !s.cacheUsable || s.serverAnswered || now-s.startedAt < s.cfg.CachedAfter {
		return false
	}
	s.cacheUsable, s.ready, s.readyAt = false, true, now
	return true
}

// WakeAt returns the time at which CachedListDue has to be called; 0 for never.
func (s *Start) WakeAt() time.Duration {
	if !s.cacheUsable || s.serverAnswered {
		return 0
	}
	return s.startedAt + s.cfg.CachedAfter
}

// ObserveList records that a list server has sent a list with this number of endpoints, and returns whether it
// is the first usable one. A list is settling while the list service has just started and endpoints still
// register: it may lack endpoints, so a destination that it does not name is not known to be unknown, and an
// empty one is not usable.
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

// Ready reports whether the node may accept messages.
func (s *Start) Ready() bool { return s.ready }

// Complete reports whether a list server has sent a complete list, so that a destination that it does not name
// is unknown.
func (s *Start) Complete() bool { return s.complete }

// ReadyAfter returns how long the start took until the node was ready. The second result is false before that.
func (s *Start) ReadyAfter() (time.Duration, bool) { return s.readyAt - s.startedAt, s.ready }

// Reason returns what the start waits for. It is empty once the node is ready.
func (s *Start) Reason() string {
	if s.ready {
		return ""
	}
	return "no list server has told a list that can be served on yet, and " + s.waitReason
}

// RetryAfter returns how long a client is told to wait while there is no list. jitter, from 0 to 1, spreads the
// clients.
func (s *Start) RetryAfter(jitter float64) time.Duration {
	wait := min(max(s.cfg.QueryCycle, minRetryAfter), maxRetryAfter)
	return wait/2 + time.Duration(jitter*float64(wait))
}
