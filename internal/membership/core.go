// Package membership lets each node of a fleet know which other nodes are present, by the SWIM protocol with
// Lifeguard's local health. Core is deterministic: it takes datagrams, the time and a seed, and returns datagrams and
// changes. Its caller owns the socket, the clock and the file with the incarnation.
//
// In each period a member pings another one, in an order that reaches all. If that member does not answer, a few
// others are asked to ping it too, and it is suspected if they get no answer either. Claims about members are
// piggybacked on these datagrams. A suspect that hears of the suspicion refutes it under a higher incarnation, which
// only the suspect itself can create; a suspect that does not refute in time is dead. Now and then members compare
// digests of their views, also with members that they consider gone, so that a member that joined late and partitions
// that were cut off catch up.
//
// Invariants: a member's incarnation only rises; a node never takes its own state from others; the amount of data
// sent per period does not grow with the fleet.
package membership

import (
	"cmp"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// Config configures a Core.
type Config struct {
	Self         int           // index of this node in Members
	Members      []ID          // all possible members, including this node
	Incarnation  uint32        // higher than any this node has used before, if that is known; else 0
	PingInterval time.Duration // length of a period
	AckTimeout   time.Duration // time for an answer before others are asked to ping the member
	Seed         uint64
}

const (
	indirectProbes   = 3  // members asked to ping a member that does not answer
	retransmitMult   = 3  // a claim is sent this many times the binary logarithm of the fleet's size
	suspicionMult    = 5  // least suspicion timeout in periods, per decimal logarithm of the fleet's size
	maxSuspicionMult = 4  // the timeout without confirmations is this many times the least one
	maxConfirmations = 3  // confirmations by other members that shorten the timeout to the least one
	maxHealthScore   = 8  // a node that is slow itself lengthens its periods and timeouts by up to this factor plus one
	syncPeriods      = 10 // periods between digests to a present member
	reconnectPeriods = 5  // periods between digests to a member that is gone
	isolationPeriods = 3  // periods without any datagram before a node doubts its own connection
	maxSyncBuckets   = 3  // differing buckets sent at once
	maxRelays        = 64 // pings for others in progress at once
	leaveFanout      = 8  // members that a leaving node tells directly
)

// member is what a node knows of a member.
type member struct {
	id                ID
	state             State
	incarnation       uint32
	reason            Reason
	stateSince        time.Duration
	lastHeard         time.Duration // last datagram from it; 0 for never
	suspicionDeadline time.Duration // end of a suspicion
	suspectedBy       []ID
	transmissions     int  // times that the claim about it has been sent; -1 if it is not being sent
	lowPriority       bool // the claim does not change who is present
}

// Reason says why a member is in its state.
type Reason string

// The reasons. Their texts are part of the operators' API, so they stay as they are.
const (
	ReasonListed           Reason = "listed, not heard of yet"
	ReasonHeard            Reason = "it spoke"
	ReasonGossip           Reason = "others say so"
	ReasonNoAck            Reason = "it does not answer"
	ReasonSuspicionExpired Reason = "it was suspected and did not speak up"
	ReasonLeft             Reason = "it said so"
)

// Datagram is to be sent to a member.
type Datagram struct {
	To      int
	Payload []byte
}

// Change is a member that is gone, or present again.
type Change struct {
	Member int
	Gone   bool
}

// Counts are the counters of a Core.
type Counts struct {
	Rejected     int64 // datagrams that are malformed, or that come from or name an unknown member
	Probes       int64
	FailedProbes int64 // probes without an answer
	Refutations  int64 // wrong claims about this node that it refuted
	Suspicions   int64 // suspicions raised by this node
	Deaths       int64 // suspicions that expired on this node
}

// Core is the membership protocol of one node.
type Core struct {
	cfg         Config
	rng         *rand.Rand
	now         time.Duration
	members     []member
	index       map[ID]int
	leaving     bool
	healthScore int // 0 is healthy
	seq         uint16
	probeOrder  []int // members still to be pinged in this round
	probe       probe
	nextProbeAt time.Duration // when the next period starts
	periods     int
	relays      []relay
	wakeAt      time.Duration // the time returned by WakeAt
	gossipQueue []int         // members whose claims are being sent
	outgoing    []Datagram
	changes     []Change
	agreedAt    time.Duration // when another member last had the same view; 0 for never
	lastHeard   time.Duration // last datagram from any member
	Counts      Counts
}

// probe is the ping in progress.
type probe struct {
	target             int // -1 for none
	seq                uint16
	indirectAt, failAt time.Duration // when others are asked to ping the target, and when the probe has failed
	indirectSent       bool
	nacksExpected      int
	nacksReceived      int
}

// relay is a ping on behalf of another member.
type relay struct {
	from, target int
	fromSeq, seq uint16
	nackAt       time.Duration // 0 once the nack is sent
	expiresAt    time.Duration
}

// New returns a Core. All members count as present until they are found silent.
func New(cfg Config, now time.Duration) *Core {
	c := &Core{
		cfg: cfg, now: now, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))), index: map[ID]int{},
		probe: probe{target: -1},
	}
	for i, id := range cfg.Members {
		c.members = append(c.members, member{id: id, reason: ReasonListed, stateSince: now, transmissions: -1})
		c.index[id] = i
	}
	self := &c.members[cfg.Self]
	self.incarnation, self.reason = min(cfg.Incarnation, maxIncarnation), ReasonHeard
	c.enqueueClaim(cfg.Self, true)
	c.nextProbeAt = now + time.Duration(c.rng.Int64N(int64(cfg.PingInterval)))
	c.wakeAt = c.nextProbeAt
	return c
}

// scaled lengthens a duration while this node is slow itself.
func (c *Core) scaled(d time.Duration) time.Duration { return d * time.Duration(1+c.healthScore) }

func (c *Core) improveHealth() { c.healthScore = max(c.healthScore-1, 0) }
func (c *Core) degradeHealth() { c.healthScore = min(c.healthScore+1, maxHealthScore) }

// Incarnation returns the node's own incarnation, to be stored for its next start.
func (c *Core) Incarnation() uint32 { return c.members[c.cfg.Self].incarnation }

// Take returns the datagrams to send and the changes since the last call.
func (c *Core) Take() ([]Datagram, []Change) {
	out, changes := c.outgoing, c.changes
	c.outgoing, c.changes = nil, nil
	return out, changes
}

// WakeAt returns when Tick is to be called next.
func (c *Core) WakeAt() time.Duration {
	at := c.nextProbeAt
	if c.probe.target >= 0 {
		at = min(at, c.probe.failAt)
		if !c.probe.indirectSent {
			at = min(at, c.probe.indirectAt)
		}
	}
	for _, r := range c.relays {
		at = min(at, r.expiresAt)
		if r.nackAt > 0 {
			at = min(at, r.nackAt)
		}
	}
	for i := range c.members {
		if m := &c.members[i]; m.state == Suspect {
			at = min(at, m.suspicionDeadline)
		}
	}
	// A suspicion that other members have confirmed may have expired before their confirmation arrived. That is not a
	// delay of this node.
	c.wakeAt = max(at, c.now)
	return c.wakeAt
}

// Tick does what is due. Datagrams that have arrived must be passed to Receive first.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if late := now - c.wakeAt; late > c.cfg.PingInterval/2 {
		// The process was not running: answers may have arrived meanwhile, and no suspect had time to refute.
		c.degradeHealth()
		c.probe.indirectAt, c.probe.failAt = c.probe.indirectAt+late, c.probe.failAt+late
		for i := range c.members {
			c.members[i].suspicionDeadline += late
		}
	}
	c.wakeAt = now
	if c.leaving {
		c.nextProbeAt = now + c.cfg.PingInterval
		return
	}
	c.checkRelays()
	c.checkProbe()
	for i := range c.members {
		if m := &c.members[i]; m.state == Suspect && now >= m.suspicionDeadline {
			c.Counts.Deaths++
			c.setState(i, claim{m.id, Dead, m.incarnation, 0}, ReasonSuspicionExpired)
		}
	}
	if now >= c.nextProbeAt {
		c.startPeriod()
	}
}

// checkProbe advances the probe in progress.
func (c *Core) checkProbe() {
	p := &c.probe
	if p.target < 0 {
		return
	}
	if !p.indirectSent && c.now >= p.indirectAt {
		p.indirectSent = true
		for _, i := range c.randomAlive(indirectProbes, p.target) {
			p.nacksExpected++
			c.send(i, message{kind: kindPingReq, seq: p.seq, target: c.members[p.target].id})
		}
	}
	if c.now < p.failAt {
		return
	}
	c.Counts.FailedProbes++
	// The members that were asked send at least a nack. If they and everyone else are silent, the fault may be this
	// node's connection. If other datagrams still arrive, many members have died at once, and this node must not slow
	// down.
	m := &c.members[p.target]
	if p.nacksReceived < max(p.nacksExpected, 1) && m.state == Alive && c.now-c.lastHeard > c.scaled(isolationPeriods*c.cfg.PingInterval) {
		c.degradeHealth()
	}
	i := p.target
	if p.target = -1; !m.state.Gone() {
		if m.state == Alive {
			c.Counts.Suspicions++
		}
		c.handleSuspicion(i, claim{m.id, Suspect, m.incarnation, c.members[c.cfg.Self].id}, ReasonNoAck)
	}
}

// startPeriod pings the next member, and now and then sends a digest.
func (c *Core) startPeriod() {
	c.nextProbeAt = c.now + c.scaled(c.cfg.PingInterval)
	c.periods++
	if c.periods%syncPeriods == 1 {
		if alive := c.randomAlive(1, -1); len(alive) > 0 {
			c.sendDigest(alive[0])
		}
	}
	if c.periods%reconnectPeriods == 0 {
		if gone := c.randomMembers(1, func(i int) bool { return c.members[i].state.Gone() }); len(gone) > 0 {
			c.sendDigest(gone[0])
		}
	}
	if c.probe.target >= 0 {
		return // the last probe, lengthened by the health score, is still in progress
	}
	i := c.nextTarget()
	if i < 0 {
		return
	}
	c.Counts.Probes++
	c.seq++
	// The whole probe fits into a period.
	c.probe = probe{
		target: i, seq: c.seq, indirectAt: c.now + c.scaled(c.cfg.AckTimeout), failAt: c.now + c.scaled(c.cfg.PingInterval)*9/10,
	}
	c.send(i, message{kind: kindPing, seq: c.seq})
}

// nextTarget returns the next member to ping, or -1. Each round goes through all present members in a new random
// order. A suspect with enough confirmations is skipped: it has to refute by itself.
func (c *Core) nextTarget() int {
	for range 2 {
		for len(c.probeOrder) > 0 {
			i := c.probeOrder[0]
			c.probeOrder = c.probeOrder[1:]
			if m := &c.members[i]; !m.state.Gone() && len(m.suspectedBy) <= maxConfirmations {
				return i
			}
		}
		for i := range c.members {
			if i != c.cfg.Self && !c.members[i].state.Gone() {
				c.probeOrder = append(c.probeOrder, i)
			}
		}
		c.rng.Shuffle(len(c.probeOrder), func(a, b int) { c.probeOrder[a], c.probeOrder[b] = c.probeOrder[b], c.probeOrder[a] })
	}
	return -1
}

// randomMembers draws up to count members that match.
func (c *Core) randomMembers(count int, match func(int) bool) (out []int) {
	var all []int
	for i := range c.members {
		if i != c.cfg.Self && match(i) {
			all = append(all, i)
		}
	}
	for len(all) > 0 && len(out) < count {
		k := c.rng.IntN(len(all))
		out = append(out, all[k])
		all = slices.Delete(all, k, k+1)
	}
	return out
}

// randomAlive draws up to count members that are alive, other than except.
func (c *Core) randomAlive(count, except int) []int {
	return c.randomMembers(count, func(i int) bool { return i != except && c.members[i].state == Alive })
}

// checkRelays sends nacks that are due and drops pings for others that have expired.
func (c *Core) checkRelays() {
	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool { return c.now >= r.expiresAt })
	for i := range c.relays {
		if r := &c.relays[i]; r.nackAt > 0 && c.now >= r.nackAt {
			r.nackAt = 0
			c.send(r.from, message{kind: kindNack, seq: r.fromSeq})
		}
	}
}

// Receive processes a datagram that came from a member's address.
func (c *Core) Receive(now time.Duration, from int, payload []byte) {
	c.now = now
	m, ok := decode(payload)
	if !ok || from < 0 || from >= len(c.members) || from == c.cfg.Self {
		c.Counts.Rejected++
		return
	}
	f := &c.members[from]
	f.lastHeard, c.lastHeard = now, now
	if alive := (claim{f.id, Alive, m.incarnation, 0}); alive.overrides(f.state, f.incarnation) {
		c.setState(from, alive, ReasonHeard)
	} else if f.reason == ReasonListed {
		f.reason = ReasonHeard
	}
	for _, cl := range m.claims {
		c.handleClaim(cl, m.kind == kindEntries)
	}
	switch m.kind {
	case kindPing:
		c.send(from, message{kind: kindAck, seq: m.seq})
	case kindAck:
		c.handleAck(from, m.seq)
	case kindNack:
		if c.probe.target >= 0 && c.probe.seq == m.seq {
			c.probe.nacksReceived++
		}
	case kindPingReq:
		c.relayPing(from, m)
	case kindDigest:
		c.handleDigest(from, m)
	case kindInSync:
		c.agreedAt = now
	case kindEntries:
		if m.wantReply {
			c.sendEntries(from, int(m.bucket), false)
		}
	}
}

// handleAck processes the answer to a ping of this node, or to a ping for another member.
func (c *Core) handleAck(from int, seq uint16) {
	if c.probe.target >= 0 && c.probe.seq == seq {
		// From the target itself, or from a relay that got the target's answer.
		c.probe.target = -1
		c.improveHealth()
		return
	}
	if i := slices.IndexFunc(c.relays, func(r relay) bool { return r.seq == seq && r.target == from }); i >= 0 {
		c.send(c.relays[i].from, message{kind: kindAck, seq: c.relays[i].fromSeq})
		c.relays = slices.Delete(c.relays, i, i+1)
	}
}

// relayPing pings a member on behalf of another one.
func (c *Core) relayPing(from int, m message) {
	target, ok := c.index[m.target]
	if !ok || target == c.cfg.Self || len(c.relays) >= maxRelays {
		c.Counts.Rejected++
		return
	}
	c.seq++
	c.relays = append(c.relays, relay{
		from: from, target: target, fromSeq: m.seq, seq: c.seq, nackAt: c.now + c.cfg.AckTimeout, expiresAt: c.now + c.cfg.PingInterval,
	})
	c.send(target, message{kind: kindPing, seq: c.seq})
}

// handleClaim processes a claim about a member. A claim that was merged from a view is not a fresh observation: a
// member that is held as present is only suspected, so that it has time to refute, before it is taken for dead.
func (c *Core) handleClaim(cl claim, merged bool) {
	i, ok := c.index[cl.id]
	if !ok {
		c.Counts.Rejected++
		return
	}
	m := &c.members[i]
	if i == c.cfg.Self {
		c.handleSelfClaim(cl)
		return
	}
	if merged && cl.state == Dead && !m.state.Gone() && cl.incarnation >= m.incarnation {
		cl.state = Suspect
	}
	if cl.state == Suspect {
		c.handleSuspicion(i, cl, ReasonGossip)
	} else if cl.overrides(m.state, m.incarnation) {
		reason := ReasonGossip
		if cl.state == Left {
			reason = ReasonLeft
		}
		c.setState(i, cl, reason)
	}
}

// handleSelfClaim refutes a wrong claim about this node.
func (c *Core) handleSelfClaim(cl claim) {
	self := &c.members[c.cfg.Self]
	if cl.incarnation < self.incarnation || (cl.state == Alive && cl.incarnation == self.incarnation) || c.leaving {
		return
	}
	// A higher incarnation with state alive is this node's own, from before it lost its state directory.
	if self.incarnation = min(cl.incarnation+1, maxIncarnation); cl.state != Alive {
		c.Counts.Refutations++
		if cl.state == Suspect {
			c.degradeHealth()
		}
	}
	c.enqueueClaim(c.cfg.Self, false)
}

// handleSuspicion processes a new suspicion, or a confirmation of a known one.
func (c *Core) handleSuspicion(i int, cl claim, reason Reason) {
	m := &c.members[i]
	if m.state == Suspect && m.incarnation == cl.incarnation {
		if len(m.suspectedBy) <= maxConfirmations && !slices.Contains(m.suspectedBy, cl.suspectedBy) {
			m.suspectedBy = append(m.suspectedBy, cl.suspectedBy)
			m.suspicionDeadline = m.stateSince + c.suspicionTimeout(len(m.suspectedBy)-1)
			c.enqueueClaim(i, false)
		}
		return
	}
	if !cl.overrides(m.state, m.incarnation) {
		return
	}
	m.suspectedBy = append(m.suspectedBy[:0], cl.suspectedBy)
	c.setState(i, cl, reason)
	m.stateSince = c.now
	m.suspicionDeadline = m.stateSince + c.suspicionTimeout(0)
}

// suspicionTimeout returns how long a suspect has to refute, by the number of confirmations from other members.
func (c *Core) suspicionTimeout(confirmations int) time.Duration {
	present := 0
	for i := range c.members {
		if !c.members[i].state.Gone() {
			present++
		}
	}
	least := suspicionMult * max(1, math.Log10(float64(present))) * float64(c.cfg.PingInterval)
	most := maxSuspicionMult * least
	share := 1.0 // no other member could confirm it
	if most := min(maxConfirmations, present-2); most > 0 {
		share = min(1, math.Log(float64(confirmations)+1)/math.Log(float64(most)+1))
	}
	return time.Duration(max(least, most-share*(most-least)))
}

// setState takes over a claim as the state of a member and queues it for sending.
func (c *Core) setState(i int, cl claim, reason Reason) {
	m := &c.members[i]
	wasGone, lowPriority := m.state.Gone(), m.state == Alive && cl.state == Alive
	m.incarnation = cl.incarnation
	if m.state != cl.state {
		m.state, m.reason, m.stateSince = cl.state, reason, c.now
	}
	if m.state != Suspect {
		m.suspectedBy = m.suspectedBy[:0]
	}
	if m.state.Gone() != wasGone {
		c.changes = append(c.changes, Change{i, m.state.Gone()})
	}
	c.enqueueClaim(i, lowPriority)
}

// enqueueClaim starts sending the claim about a member with the outgoing datagrams.
func (c *Core) enqueueClaim(i int, lowPriority bool) {
	if c.members[i].transmissions < 0 {
		c.gossipQueue = append(c.gossipQueue, i)
	}
	c.members[i].transmissions, c.members[i].lowPriority = 0, lowPriority
}

// claimOf returns this node's claim about a member.
func (c *Core) claimOf(i int) claim {
	m := &c.members[i]
	cl := claim{id: m.id, state: m.state, incarnation: m.incarnation}
	if m.state == Suspect && len(m.suspectedBy) > 0 {
		cl.suspectedBy = m.suspectedBy[len(m.suspectedBy)-1]
	}
	return cl
}

// send queues a message with as many claims as fit: first the one about the receiver, if it has to refute it, then
// those that change who is present before the others, each group ordered by the fewest transmissions. When a whole
// fleet starts, every member has a new incarnation to announce, and that must not delay claims about dead members.
func (c *Core) send(to int, m message) {
	m.incarnation = c.Incarnation()
	b := m.header()
	if c.members[to].state != Alive {
		b, _ = appendClaim(b, c.claimOf(to))
	}
	slices.SortStableFunc(c.gossipQueue, func(x, y int) int {
		a, b := &c.members[x], &c.members[y]
		if a.lowPriority != b.lowPriority {
			return cmp.Compare(boolToInt(a.lowPriority), boolToInt(b.lowPriority))
		}
		return cmp.Compare(a.transmissions, b.transmissions)
	})
	maxTransmissions := retransmitMult * bits.Len(uint(len(c.members)))
	for _, i := range c.gossipQueue {
		var fits bool
		if b, fits = appendClaim(b, c.claimOf(i)); !fits {
			break
		}
		c.members[i].transmissions++
	}
	c.gossipQueue = slices.DeleteFunc(c.gossipQueue, func(i int) bool {
		if c.members[i].transmissions < maxTransmissions {
			return false
		}
		c.members[i].transmissions = -1
		return true
	})
	c.outgoing = append(c.outgoing, Datagram{to, b})
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Leave announces that the node is leaving. It still answers pings but no longer probes others.
func (c *Core) Leave(now time.Duration) {
	if c.now = now; c.leaving {
		return
	}
	c.leaving = true
	c.probe.target = -1
	c.members[c.cfg.Self].state = Left
	c.enqueueClaim(c.cfg.Self, false)
	for _, i := range c.randomAlive(leaveFanout, -1) {
		c.seq++
		c.send(i, message{kind: kindPing, seq: c.seq})
	}
}

// Rejoin undoes a Leave.
func (c *Core) Rejoin(now time.Duration) {
	if c.now = now; !c.leaving {
		return
	}
	c.leaving = false
	self := &c.members[c.cfg.Self]
	self.state, self.incarnation = Alive, min(self.incarnation+1, maxIncarnation)
	c.enqueueClaim(c.cfg.Self, false)
	c.nextProbeAt = now
}
