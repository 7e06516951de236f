// Package staleness tells a node that the rest of its fleet acts on a later list than it does. Nodes exchange small
// datagrams with the list revision that they act on, and a node that cannot catch up within a bound is fenced: it
// begins nothing new until it has. Detector is deterministic: it takes datagrams, the time and a seed, and returns
// datagrams and what is to be done.
//
// In logs and metrics, a fenced node is called shut out.
//
// The traffic per node does not depend on the fleet's size: one datagram per gossip interval, two more for each
// change of the list, and answers to nodes that are behind.
package staleness

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"
)

// Config configures a Detector.
type Config struct {
	Self           int // index of this node in the fleet
	FleetSize      int // number of nodes, including this one
	Seed           uint64
	GossipInterval time.Duration // between announcements to a random peer; 0 for DefaultGossipInterval
}

// Limits of the detection.
const (
	// DefaultGossipInterval is the default of Config.GossipInterval.
	DefaultGossipInterval = 400 * time.Millisecond
	// ServerQueryAfter is how long other nodes must be ahead before another list server is asked. Up to an eighth
	// more is added at random, so that not all nodes ask at the same moment. A server that is only half a second slow
	// has sent the list by then.
	ServerQueryAfter = 600 * time.Millisecond
	// FenceAfter is how long a node may know that it is behind before it is fenced.
	FenceAfter = 700 * time.Millisecond
	// ServerQueryInterval is how often another list server is asked while the node is behind.
	ServerQueryInterval = time.Second
	// observationTTL is how long a peer's revision counts. A node that hears from nobody goes on: an outage stops no
	// node.
	observationTTL = 3 * time.Second
	// minConfirmations is how many peers must act on a later list, or all of them in a smaller fleet. So a single
	// peer that is wrong, or lies, cannot get a node fenced.
	minConfirmations       = 2
	maxSilenceQueryBackoff = 400 * time.Millisecond // between queries while the list server is silent
	// silenceQueryBurst is how long peers are queried without backoff after the list server has fallen silent, unless
	// enough of them have confirmed a later list before. What is left of the grace then is FenceAfter.
	silenceQueryBurst  = 250 * time.Millisecond
	changeFanout       = 2                     // peers told of a change at once
	queryFanout        = 3                     // peers queried for confirmation
	burstFanout        = 6                     // peers queried at a time within silenceQueryBurst
	minQueryBackoff    = 50 * time.Millisecond // before querying again, doubled each time: datagrams get lost
	maxUnfenceJitter   = time.Second           // nodes that were fenced resume at random times within this span
	unfenceJitterAfter = 2 * time.Second       // a node that was fenced for less resumes at once
)

// Magic is the first byte of a datagram. No datagram of the choice and membership packages starts with it.
const Magic = 'V'

const (
	version      = 1
	datagramSize = 11
)

type kind uint8

const (
	kindAnnounce kind = iota + 1 // answered by a peer that knows of a later list
	kindQuery                    // always answered
	kindReply                    // never answered
	kindCount
)

// Datagram is to be sent to a node.
type Datagram struct {
	To      int
	Payload []byte
}

func encode(k kind, revision int64) []byte {
	return binary.BigEndian.AppendUint64([]byte{Magic, version, byte(k)}, uint64(revision))
}

func decode(b []byte) (k kind, revision int64, ok bool) {
	if len(b) != datagramSize || b[0] != Magic || b[1] != version {
		return 0, 0, false
	}
	k, revision = kind(b[2]), int64(binary.BigEndian.Uint64(b[3:]))
	return k, revision, k > 0 && k < kindCount && revision >= 0
}

// observation is the revision that a peer has reported.
type observation struct {
	peer     int
	revision int64
	seenAt   time.Duration
}

// Detector is one node's view of which peers are ahead of it.
//
// Invariants: the node is fenced only while enough peers have recently reported a later list, or while its revision
// is below the floor; the detector keeps one observation of each peer that is ahead, and none of others.
type Detector struct {
	cfg                 Config
	rng                 *rand.Rand
	revision            int64
	floor               int64
	peersAhead          []observation // at most one per peer
	announceAt          time.Duration
	queryAt             time.Duration // when peers are queried for confirmation; 0 while nobody is ahead
	queryBackoff        time.Duration
	silentSince         time.Duration // when the list server fell silent
	silenceQueryAt      time.Duration // when peers are queried because the list server is silent; 0 while it is heard
	silenceQueryBackoff time.Duration // delay until the next such query
	behindSince         time.Duration // -1 if not behind
	serverQueryAt       time.Duration // when another list server is asked
	fenced              bool
	fencedSince         time.Duration
	unfenceAt           time.Duration // 0 while it has not caught up
	outgoing            []Datagram
	Malformed           int64 // datagrams that could not be decoded
	FenceCount          int64 // times that the node was fenced
}

// New returns the Detector of a node that acts on a revision.
func New(cfg Config, now time.Duration, revision int64) *Detector {
	if cfg.GossipInterval == 0 {
		cfg.GossipInterval = DefaultGossipInterval
	}
	d := &Detector{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))), revision: revision, behindSince: -1, queryBackoff: minQueryBackoff}
	d.announceAt = now + time.Duration(d.rng.Int64N(int64(cfg.GossipInterval)))
	return d
}

// randomPeers draws up to count other nodes.
func (d *Detector) randomPeers(count int) (out []int) {
	count = min(count, d.cfg.FleetSize-1)
	for len(out) < count {
		if i := d.rng.IntN(d.cfg.FleetSize); i != d.cfg.Self && !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	return out
}

func (d *Detector) send(k kind, to ...int) {
	for _, i := range to {
		d.outgoing = append(d.outgoing, Datagram{i, encode(k, d.revision)})
	}
}

// SetRevision records the revision that the node acts on from now on.
func (d *Detector) SetRevision(now time.Duration, revision int64) {
	if revision == d.revision {
		return
	}
	d.revision = revision
	d.peersAhead = slices.DeleteFunc(d.peersAhead, func(w observation) bool { return w.revision <= revision })
	d.send(kindAnnounce, d.randomPeers(changeFanout)...)
}

// SetServerSilent records whether the list server is silent. If so, peers are queried at once, and again with a
// growing delay.
func (d *Detector) SetServerSilent(now time.Duration, silent bool) {
	switch {
	case !silent:
		d.silenceQueryAt = 0
	case d.silenceQueryAt == 0:
		d.silentSince, d.silenceQueryAt, d.silenceQueryBackoff = now, now, minQueryBackoff
	}
}

// SetFloor sets the minimum revision that the list service requires of all nodes; 0 for none.
func (d *Detector) SetFloor(revision int64) { d.floor = revision }

// Receive processes a datagram from another node.
func (d *Detector) Receive(now time.Duration, from int, payload []byte) {
	k, revision, ok := decode(payload)
	if !ok || from < 0 || from >= d.cfg.FleetSize || from == d.cfg.Self {
		d.Malformed++
		return
	}
	if k == kindQuery || k == kindAnnounce && revision < d.revision {
		d.send(kindReply, from)
	}
	d.peersAhead = slices.DeleteFunc(d.peersAhead, func(w observation) bool { return w.peer == from })
	if revision > d.revision {
		d.peersAhead = append(d.peersAhead, observation{from, revision, now})
		d.requestConfirmation(now)
	}
}

// requestConfirmation queries peers while too few of them report a later revision.
func (d *Detector) requestConfirmation(now time.Duration) {
	switch {
	case len(d.peersAhead) == 0:
		d.queryAt, d.queryBackoff = 0, minQueryBackoff
	case d.confirmedRevision() == 0 && now >= d.queryAt:
		d.queryAt, d.queryBackoff = now+d.queryBackoff, min(2*d.queryBackoff, observationTTL)
		d.send(kindQuery, d.randomPeers(queryFanout)...)
	}
}

// confirmedRevision returns the latest revision that enough peers act on; 0 if none is later than the node's own.
func (d *Detector) confirmedRevision() int64 {
	need := min(minConfirmations, d.cfg.FleetSize-1)
	if need == 0 || len(d.peersAhead) < need {
		return 0
	}
	revisions := make([]int64, len(d.peersAhead))
	for i, w := range d.peersAhead {
		revisions[i] = w.revision
	}
	slices.SortFunc(revisions, func(a, b int64) int { return cmp.Compare(b, a) })
	return revisions[need-1]
}

// StepResult is the outcome of a Step.
type StepResult struct {
	FenceChanged  bool  // the node was fenced or unfenced
	QueryServer   bool  // another list server than the current one is to be asked
	NewerRevision int64 // the revision that others act on, or the floor, if it is later than the node's own; else 0
}

// Step does what is due. Datagrams that have arrived must be passed to Receive first.
func (d *Detector) Step(now time.Duration) (result StepResult) {
	d.peersAhead = slices.DeleteFunc(d.peersAhead, func(w observation) bool { return now-w.seenAt > observationTTL })
	d.requestConfirmation(now)
	if d.silenceQueryAt > 0 && now >= d.silenceQueryAt {
		d.queryInSilence(now)
	}
	if now >= d.announceAt {
		d.announceAt = now + d.cfg.GossipInterval/2 + time.Duration(d.rng.Int64N(int64(d.cfg.GossipInterval)))
		d.send(kindAnnounce, d.randomPeers(1)...)
	}
	result.NewerRevision = max(d.confirmedRevision(), d.floor)
	if result.NewerRevision <= d.revision || d.revision == 0 { // a node without a list waits for its first one
		result.NewerRevision, d.behindSince = 0, -1
		return d.unfence(now, result)
	}
	d.unfenceAt = 0
	if d.behindSince < 0 {
		d.behindSince, d.serverQueryAt = now, now+ServerQueryAfter+time.Duration(d.rng.Int64N(int64(ServerQueryAfter/8)))
	}
	if now >= d.serverQueryAt {
		result.QueryServer, d.serverQueryAt = true, now+ServerQueryInterval
	}
	if !d.fenced && now-d.behindSince >= FenceAfter {
		d.fenced, d.fencedSince, result.FenceChanged = true, now, true
		d.FenceCount++
	}
	return result
}

// queryInSilence queries peers because the list server is silent: many in a burst until a later list is confirmed, and
// then fewer with a growing delay.
func (d *Detector) queryInSilence(now time.Duration) {
	fanout := burstFanout
	if now-d.silentSince >= silenceQueryBurst || d.confirmedRevision() > d.revision {
		fanout, d.silenceQueryBackoff = queryFanout, min(2*d.silenceQueryBackoff, maxSilenceQueryBackoff)
	}
	d.send(kindQuery, d.randomPeers(fanout)...)
	d.silenceQueryAt = now + d.silenceQueryBackoff
}

// unfence lifts the fence of a node that has caught up, or that nobody reports as behind any more. Many nodes catch
// up at once when the cause is fixed, so each that was fenced for long waits for a random part of maxUnfenceJitter.
func (d *Detector) unfence(now time.Duration, result StepResult) StepResult {
	if !d.fenced {
		return result
	}
	if d.unfenceAt == 0 {
		if d.unfenceAt = now; now-d.fencedSince >= unfenceJitterAfter {
			d.unfenceAt += time.Duration(d.rng.Int64N(int64(maxUnfenceJitter)))
		}
	}
	if now >= d.unfenceAt {
		d.fenced, d.unfenceAt, result.FenceChanged = false, 0, true
	}
	return result
}

// Fenced reports whether the node is fenced: it must not begin anything new.
func (d *Detector) Fenced() bool { return d.fenced }

// Behind returns since when the node has known that it is behind; ok is false if it is not.
func (d *Detector) Behind() (since time.Duration, ok bool) { return d.behindSince, d.behindSince >= 0 }

// Take returns the datagrams to send since the last call.
func (d *Detector) Take() []Datagram {
	out := d.outgoing
	d.outgoing = nil
	return out
}

// WakeAt returns when Step is to be called next.
func (d *Detector) WakeAt() time.Duration {
	at := d.announceAt
	if d.behindSince >= 0 {
		if at = min(at, d.serverQueryAt); !d.fenced {
			at = min(at, d.behindSince+FenceAfter)
		}
	}
	if d.unfenceAt > 0 {
		at = min(at, d.unfenceAt)
	}
	for _, w := range d.peersAhead {
		at = min(at, w.seenAt+observationTTL+time.Millisecond)
	}
	if d.silenceQueryAt > 0 {
		at = min(at, d.silenceQueryAt)
	}
	if d.queryAt > 0 && d.confirmedRevision() == 0 {
		at = min(at, d.queryAt)
	}
	if d.behindSince >= 0 && (max(d.confirmedRevision(), d.floor) <= d.revision || d.revision == 0) {
		at = 0 // it has caught up: Step decides when to unfence
	}
	return at
}
