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
func NewFailover(now, interval time.Duration) *Failover {
	return &Failover{silentAfter: 3 * interval, switchAfter: 12 * interval, recoveredAfter: 8 * interval, currentHeardAt: now, steadySince: now}
}

// Heard notes that the first server has said something.
func (f *Failover) CurrentHeard(now time.Duration) {
	if now-f.currentHeardAt > f.silentAfter {
		f.steadySince = now
	}
	f.currentHeardAt = now
}

// HeardOther notes that the other has, and whether that was more than the first has told.
func (f *Failover) CandidateHeard(now time.Duration, ahead bool) {
	f.candidateHeardAt, f.candidateActive, f.candidateAhead = now, true, f.candidateAhead || ahead
}

// Lost notes that the other's connection has ended.
func (f *Failover) CandidateLost() {
	f.hasCandidate, f.candidateActive, f.candidateAhead = false, false, false
}

// Silent tells whether the first server is doubted now.
func (f *Failover) Silent(now time.Duration) bool { return now-f.currentHeardAt > f.silentAfter }

// Step tells what to do at a moment.
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
