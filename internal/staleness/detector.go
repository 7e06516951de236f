// Package straggler tells a node that the rest of its fleet acts on a later list than it does: nodes tell each other by
// small datagrams which revision they act on, and one that can't follow within a bound is shut out until it can. Core is
// deterministic: it is handed datagrams, the time and a seed, and hands back datagrams and what is to be done.
//
// What it costs does not hang on the fleet's size: one datagram a period, two more for each change of the list, and
// answers to those that are behind.
package staleness

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"
)

// Config is what a core is told at its start.
type Config struct {
	Self           int // of Fleet
	FleetSize      int // nodes, this one too
	Seed           uint64
	GossipInterval time.Duration // between words to somebody drawn by chance; 0 for DefaultPeriod
}

// Bounds, in which a straggler is met.
const (
	DefaultGossipInterval = 400 * time.Millisecond
	// AskAfter is how long others have to be ahead before another server is asked, and up to an eighth more, so that not all
	// ask in one moment. A server that is merely half a second slow has told by then.
	ServerQueryAfter = 600 * time.Millisecond
	// Bound is how long a node may be behind, as it knows, before it is shut out.
	FenceAfter = 700 * time.Millisecond
	// AskAgain is how often another server is asked meanwhile.
	ServerQueryInterval = time.Second
	// fresh is how long a word counts. A node that is alone goes on: an outage stops nothing.
	observationTTL = 3 * time.Second
	// witnesses have to say that they act on a later list, or all others where there are fewer. So no single one that is
	// wrong, or lies, shuts anybody out.
	minConfirmations       = 2
	maxSilenceQueryBackoff = 400 * time.Millisecond
	changeFanout           = 2                     // that hear of a change at once
	queryFanout            = 3                     // that are asked to bear witness
	minQueryBackoff        = 50 * time.Millisecond // until they are asked again, doubled each time: datagrams get lost
	maxUnfenceJitter       = time.Second           // those that were shut out come back within so long of each other
	unfenceJitterAfter     = 2 * time.Second       // of being shut out; who was for less comes back at once
)

// Magic begins a word; no note of package choice and no datagram of membership does.
const Magic = 'V'

const (
	version      = 1
	datagramSize = 11
)

type kind uint8

const (
	kindAnnounce kind = iota + 1 // answered where the receiver knows of a later list
	kindQuery                    // answered in any case
	kindReply                    // not answered
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

// word is what another node has said.
type observation struct {
	peer     int
	revision int64
	seenAt   time.Duration
}

// Core is one node's view of who is ahead.
//
// Invariants: it is shut out only while enough others have said of late that they act on a later list, or a floor is set
// that it does not reach; it keeps one word of each node that is ahead, and none of others.
type Detector struct {
	cfg                 Config
	rng                 *rand.Rand
	revision            int64
	floor               int64
	peersAhead          []observation // by node
	announceAt          time.Duration
	queryAt             time.Duration // when others are to be asked to bear witness; 0 while nobody is ahead
	queryBackoff        time.Duration
	silenceQueryAt      time.Duration // when others are asked since the own list server is silent; 0 while it is heard
	silenceQueryBackoff time.Duration // pause
	behindSince         time.Duration // since; -1 for not
	serverQueryAt       time.Duration // when another server is to be asked
	fenced              bool
	fencedSince         time.Duration
	unfenceAt           time.Duration // 0 while it has not caught up
	outgoing            []Datagram
	Malformed           int64 // datagrams that could not be read
	FenceCount          int64 // times that it was shut out
}

// New makes a core that acts on a revision.
func New(cfg Config, now time.Duration, revision int64) *Detector {
	if cfg.GossipInterval == 0 {
		cfg.GossipInterval = DefaultGossipInterval
	}
	d := &Detector{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))), revision: revision, behindSince: -1, queryBackoff: minQueryBackoff}
	d.announceAt = now + time.Duration(d.rng.Int64N(int64(cfg.GossipInterval)))
	return d
}

// others draws other nodes.
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

// Listed notes the revision that the node acts on from now on.
func (d *Detector) SetRevision(now time.Duration, revision int64) {
	if revision == d.revision {
		return
	}
	d.revision = revision
	d.peersAhead = slices.DeleteFunc(d.peersAhead, func(w observation) bool { return w.revision <= revision })
	d.send(kindAnnounce, d.randomPeers(changeFanout)...)
}

// Doubt notes whether the list server is silent: then others are asked at once, and again with growing pauses.
func (d *Detector) SetServerSilent(now time.Duration, silent bool) {
	switch {
	case !silent:
		d.silenceQueryAt = 0
	case d.silenceQueryAt == 0:
		d.silenceQueryAt, d.silenceQueryBackoff = now, minQueryBackoff
	}
}

// Floor notes the least revision that the list service asks of all; 0 for none.
func (d *Detector) SetFloor(revision int64) { d.floor = revision }

// Receive takes a datagram of another node.
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

// verify asks others to bear witness while only one says that it is ahead.
func (d *Detector) requestConfirmation(now time.Duration) {
	switch {
	case len(d.peersAhead) == 0:
		d.queryAt, d.queryBackoff = 0, minQueryBackoff
	case d.confirmedRevision() == 0 && now >= d.queryAt:
		d.queryAt, d.queryBackoff = now+d.queryBackoff, min(2*d.queryBackoff, observationTTL)
		d.send(kindQuery, d.randomPeers(queryFanout)...)
	}
}

// witnessed is the latest revision that enough others say they act on; 0 for none that is later than the own.
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

// News is what a step has brought.
type StepResult struct {
	FenceChanged  bool  // whether the node is shut out
	QueryServer   bool  // another list server than the one that is followed
	NewerRevision int64 // the revision that others act on, where that is later
}

// Step does what is due, after the datagrams that have come were handed in.
func (d *Detector) Step(now time.Duration) (result StepResult) {
	d.peersAhead = slices.DeleteFunc(d.peersAhead, func(w observation) bool { return now-w.seenAt > observationTTL })
	d.requestConfirmation(now)
	if d.silenceQueryAt > 0 && now >= d.silenceQueryAt {
		d.send(kindQuery, d.randomPeers(queryFanout)...)
		d.silenceQueryAt, d.silenceQueryBackoff = now+d.silenceQueryBackoff, min(2*d.silenceQueryBackoff, maxSilenceQueryBackoff)
	}
	if now >= d.announceAt {
		d.announceAt = now + d.cfg.GossipInterval/2 + time.Duration(d.rng.Int64N(int64(d.cfg.GossipInterval)))
		d.send(kindAnnounce, d.randomPeers(1)...)
	}
	result.NewerRevision = max(d.confirmedRevision(), d.floor)
	if result.NewerRevision <= d.revision || d.revision == 0 { // who has no list yet waits for one in its turn
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

// back lets a node in again that has caught up, or that nobody says is behind any more. Many do so at once when what kept
// them is mended, so each that was out for long waits for some part of backMost.
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

// Out tells whether the node is shut out: it begins nothing new on what it knows.
func (d *Detector) Fenced() bool { return d.fenced }

// Behind tells since when the node knows that it is behind.
func (d *Detector) Behind() (since time.Duration, ok bool) { return d.behindSince, d.behindSince >= 0 }

// Take returns what is to be sent since it was last called.
func (d *Detector) Take() []Datagram {
	out := d.outgoing
	d.outgoing = nil
	return out
}

// Wake is when Step has to be called next.
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
		at = 0 // it has caught up, and Step decides about the way back
	}
	return at
}
