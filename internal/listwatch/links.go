package listwatch

import "time"

// Links decides what to do about a server that has fallen silent while its connection stays open. A beat that does not
// come proves nothing: the server may be slow, or the node may. So another server is asked beside it, and the first is
// left only if that one knows more, or if the silence lasts. It is stepped with explicit time and does no input or output.
//
// Invariants: the first server is never left while it is heard and no other knows more; there is never a second one without a first; no more than
// one act comes of one Step.
type Links struct {
	doubtAfter time.Duration // of silence: another is asked beside it
	leaveAfter time.Duration // of silence, while the other is heard: it is left
	calmAfter  time.Duration // of beats: the other is let go

	heard  time.Duration // the first server, last
	since  time.Duration // it has been heard without a doubtful gap since then
	beside bool          // another is asked
	other  time.Duration // it was last heard, or opened
	spoke  bool          // it has said something
	knows  bool          // more than the first
}

// Act is what to do now.
type Act int

// What there is to do.
const (
	Stay  Act = iota
	Open      // ask another server beside the first
	Drop      // let the other go
	Leave     // the other is the first from now on
	Renew     // the other is silent as well: ask a third in its place
)

// NewLinks follows a server that beats so often, from its first line on.
func NewLinks(now, beat time.Duration) *Links {
	return &Links{doubtAfter: 3 * beat, leaveAfter: 12 * beat, calmAfter: 8 * beat, heard: now, since: now}
}

// Heard notes that the first server has said something.
func (l *Links) Heard(now time.Duration) {
	if now-l.heard > l.doubtAfter {
		l.since = now
	}
	l.heard = now
}

// HeardOther notes that the other has, and whether that was more than the first has told.
func (l *Links) HeardOther(now time.Duration, more bool) {
	l.other, l.spoke, l.knows = now, true, l.knows || more
}

// Lost notes that the other's connection has ended.
func (l *Links) Lost() { l.beside, l.spoke, l.knows = false, false, false }

// Silent tells whether the first server is doubted now.
func (l *Links) Silent(now time.Duration) bool { return now-l.heard > l.doubtAfter }

// Step tells what to do at a moment.
func (l *Links) Step(now time.Duration) Act {
	silent := l.Silent(now)
	switch {
	case !l.beside && silent:
		l.beside, l.other = true, now
		return Open
	case !l.beside:
		return Stay
	case l.spoke && now-l.other <= l.doubtAfter && (l.knows || now-l.heard > l.leaveAfter):
		l.heard, l.since = now, now
		l.Lost()
		return Leave
	case !silent && now-l.since >= l.calmAfter:
		l.Lost()
		return Drop
	case now-l.other > l.leaveAfter && silent:
		l.other, l.spoke, l.knows = now, false, false
		return Renew
	}
	return Stay
}
