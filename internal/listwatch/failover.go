package listwatch

import "time"

// Links decides what to do about a server that has fallen silent while its connection stays open. A beat that does not
// come proves nothing: the server may be slow, or the node may. So another server is asked beside it, and the first is
// left only if that one knows more, or if the silence lasts. It is stepped with explicit time and does no input or output.
//
// Invariants: the first server is never left while it is heard and no other knows more; there is never a second one without a first; no more than
// one act comes of one Step.
type Failover struct {
	silentAfter    time.Duration // of silence: another is asked beside it
	switchAfter    time.Duration // of silence, while the other is heard: it is left
	recoveredAfter time.Duration // of beats: the other is let go

	currentHeardAt   time.Duration // the first server, last
	steadySince      time.Duration // it has been heard without a doubtful gap since then
	hasCandidate     bool          // another is asked
	candidateHeardAt time.Duration // it was last heard, or opened
	candidateActive  bool          // it has said something
	candidateAhead   bool          // more than the first
}

// Act is what to do now.
type Action int

// What there is to do.
const (
	NoAction          Action = iota
	OpenCandidate            // ask another server beside the first
	DropCandidate            // let the other go
	SwitchToCandidate        // the other is the first from now on
	ReplaceCandidate         // the other is silent as well: ask a third in its place
)

// NewLinks follows a server that beats so often, from its first line on.
func NewFailover(now, heartbeat time.Duration) *Failover {
	return &Failover{silentAfter: 3 * heartbeat, switchAfter: 12 * heartbeat, recoveredAfter: 8 * heartbeat, currentHeardAt: now, steadySince: now}
}

// Heard notes that the first server has said something.
func (l *Failover) CurrentHeard(now time.Duration) {
	if now-l.currentHeardAt > l.silentAfter {
		l.steadySince = now
	}
	l.currentHeardAt = now
}

// HeardOther notes that the other has, and whether that was more than the first has told.
func (l *Failover) CandidateHeard(now time.Duration, ahead bool) {
	l.candidateHeardAt, l.candidateActive, l.candidateAhead = now, true, l.candidateAhead || ahead
}

// Lost notes that the other's connection has ended.
func (l *Failover) CandidateLost() {
	l.hasCandidate, l.candidateActive, l.candidateAhead = false, false, false
}

// Silent tells whether the first server is doubted now.
func (l *Failover) Silent(now time.Duration) bool { return now-l.currentHeardAt > l.silentAfter }

// Step tells what to do at a moment.
func (l *Failover) Step(now time.Duration) Action {
	silent := l.Silent(now)
	switch {
	case !l.hasCandidate && silent:
		l.hasCandidate, l.candidateHeardAt = true, now
		return OpenCandidate
	case !l.hasCandidate:
		return NoAction
	case l.candidateActive && now-l.candidateHeardAt <= l.silentAfter && (l.candidateAhead || now-l.currentHeardAt > l.switchAfter):
		l.currentHeardAt, l.steadySince = now, now
		l.CandidateLost()
		return SwitchToCandidate
	case !silent && now-l.steadySince >= l.recoveredAfter:
		l.CandidateLost()
		return DropCandidate
	case now-l.candidateHeardAt > l.switchAfter && silent:
		l.candidateHeardAt, l.candidateActive, l.candidateAhead = now, false, false
		return ReplaceCandidate
	}
	return NoAction
}
