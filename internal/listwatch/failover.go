package listwatch

import "time"

// Failover decides what to do about a list server that has fallen silent while its connection stays open. A missing
// heartbeat proves nothing: the server may be slow, or the node itself may be. So another server, the candidate, is
// asked alongside the current one, and the current one is left only if the candidate has a later list or if the
// silence lasts. Failover takes the time as an argument and does no I/O.
//
// Invariants: the current server is never left while it is heard, unless the candidate has a later list; there is a
// candidate only while there is a current server; each Step returns at most one action.
type Failover struct {
	silentAfter    time.Duration // after this silence of the current server a candidate is opened
	switchAfter    time.Duration // after this silence a candidate that is heard replaces the current server
	recoveredAfter time.Duration // after heartbeats for this long the candidate is dropped

	currentHeardAt   time.Duration // when the current server was last heard
	steadySince      time.Duration // the current server has been heard without a long gap since then
	hasCandidate     bool          // a candidate is open
	candidateHeardAt time.Duration // when the candidate was last heard, or opened
	candidateActive  bool          // the candidate has sent something
	candidateAhead   bool          // the candidate has a later list than the current server
}

// Action is what Failover.Step asks its caller to do.
type Action int

// The actions.
const (
	NoAction          Action = iota
	OpenCandidate            // open a stream to another server alongside the current one
	DropCandidate            // close the candidate's stream
	SwitchToCandidate        // make the candidate the current server
	ReplaceCandidate         // the candidate is silent too: try a third server in its place
)

// NewFailover checks a server that sends something at the given interval, starting with its first line.
func NewFailover(now, interval time.Duration) *Failover {
	return &Failover{silentAfter: 3 * interval, switchAfter: 12 * interval, recoveredAfter: 8 * interval, currentHeardAt: now, steadySince: now}
}

// CurrentHeard records that the current server has sent something.
func (f *Failover) CurrentHeard(now time.Duration) {
	if now-f.currentHeardAt > f.silentAfter {
		f.steadySince = now
	}
	f.currentHeardAt = now
}

// CandidateHeard records that the candidate has sent something, and whether that was a later list than the current
// server's.
func (f *Failover) CandidateHeard(now time.Duration, ahead bool) {
	f.candidateHeardAt, f.candidateActive, f.candidateAhead = now, true, f.candidateAhead || ahead
}

// CandidateLost records that the candidate's connection has ended.
func (f *Failover) CandidateLost() {
	f.hasCandidate, f.candidateActive, f.candidateAhead = false, false, false
}

// Silent reports whether the current server has been silent for too long.
func (f *Failover) Silent(now time.Duration) bool { return now-f.currentHeardAt > f.silentAfter }

// Step returns what to do at the given time.
func (f *Failover) Step(now time.Duration) Action {
	silent := f.Silent(now)
	switch {
	case !f.hasCandidate && silent:
		f.hasCandidate, f.candidateHeardAt = true, now
		return OpenCandidate
	case !f.hasCandidate:
		return NoAction
	case f.candidateActive && now-f.candidateHeardAt <= f.silentAfter && (f.candidateAhead || now-f.currentHeardAt > f.switchAfter):
		f.currentHeardAt, f.steadySince = now, now
		f.CandidateLost()
		return SwitchToCandidate
	case !silent && now-f.steadySince >= f.recoveredAfter:
		f.CandidateLost()
		return DropCandidate
	case now-f.candidateHeardAt > f.switchAfter && silent:
		f.candidateHeardAt, f.candidateActive, f.candidateAhead = now, false, false
		return ReplaceCandidate
	}
	return NoAction
}
