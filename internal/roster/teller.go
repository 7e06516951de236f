package roster

import (
	"math/rand/v2"
	"time"
)

const (
	leastGap  = time.Second      // between claims of one node
	firstPart = 2 * time.Second  // within which the fleet tells of a change
	retryLast = 30 * time.Second // between tries at servers that don't take a claim
)

// Teller is when a node tells what it acts on: soon after a change, and once in TellEvery. A change that all apply at once
// is told spread over two seconds, and many changes in that time are told as one. So what a node costs does not hang on
// the fleet's size, nor on how often the list changes.
type Teller struct {
	rng   *rand.Rand
	claim Claim
	dirty bool
	out   bool // a claim is on its way
	due   time.Duration
	pause time.Duration // between tries
}

// NewTeller begins at a moment with what holds then. Its incarnation must rise with each process of the node.
func NewTeller(now time.Duration, c Claim, rng *rand.Rand) *Teller {
	t := &Teller{rng: rng, claim: c, dirty: true}
	t.due = now + t.within(firstPart)
	return t
}

func (t *Teller) within(d time.Duration) time.Duration {
	return time.Duration(t.rng.Float64() * float64(d))
}

// Update notes what the node acts on now, whether it is ready, and whether it is shut out.
func (t *Teller) Update(now time.Duration, revision int64, ready, out bool, why string) {
	if t.claim.Revision == revision && t.claim.Ready == ready && t.claim.Out == out {
		return
	}
	t.claim.Revision, t.claim.Ready, t.claim.Out = revision, ready, out
	if why != "" {
		t.claim.Why = why
	}
	if !t.dirty {
		t.dirty = true
		t.due = min(t.due, now+leastGap/4+t.within(firstPart-leastGap/4))
	}
}

// Wake is when Next has to be asked; 0 while a claim is on its way.
func (t *Teller) Wake() time.Duration {
	if t.out {
		return 0
	}
	return t.due
}

// Next is the claim that is due, if one is. Its end comes by Done.
func (t *Teller) Next(now time.Duration) (Claim, bool) {
	if t.out || now < t.due {
		return Claim{}, false
	}
	t.claim.Seq++
	t.out, t.dirty = true, false
	return t.claim, true
}

// Done notes whether a server has taken the claim.
func (t *Teller) Done(now time.Duration, taken bool) {
	t.out = false
	if !taken {
		t.dirty = true
		t.pause = min(max(2*t.pause, leastGap), retryLast)
		t.due = now + t.pause/2 + t.within(t.pause/2)
		return
	}
	t.pause = 0
	if t.dirty { // something has changed meanwhile
		t.due = now + leastGap
		return
	}
	t.due = now + TellEvery*3/4 + t.within(TellEvery/2)
}
