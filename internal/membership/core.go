// Package membership tells each node of a fleet who else is there, by SWIM with the local health of Lifeguard. Core is
// deterministic: it is handed datagrams, the time and a seed, and hands back datagrams and changes. A shell owns the
// socket, the clock and the file that the incarnation is kept in.
//
// How it works: once in a period each member pings another, in an order that reaches all. One that does not answer is
// pinged by some others as well, and suspected if they hear nothing either. What is known goes round on the back of
// these datagrams. A suspect that hears of it says that it is alive, under a later incarnation that only it can make;
// one that does not within a time is dead. Members compare digests of their views now and then, also with those they
// hold for gone, so that one that came late, or a part that was cut off, gets to know all.
//
// Invariants: a member's incarnation only rises; the own state is never taken from others; what is sent in a period
// does not grow with the fleet.
package membership

import (
	"cmp"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// Config is what a core is told at its start.
type Config struct {
	Self         int           // of Members
	Members      []ID          // all that may take part, this one too
	Incarnation  uint32        // later than any that it ever had, if that is known; else 0
	PingInterval time.Duration // between pings
	AckTimeout   time.Duration // for an answer, before others are asked to ping
	Seed         uint64
}

const (
	indirectProbes   = 3  // others who are asked to ping
	retransmitMult   = 3  // a claim is sent so many times the logarithm of the fleet
	suspicionMult    = 5  // of periods, times the fleet's decimal logarithm, that a suspect has at least
	maxSuspicionMult = 4  // and so many times that if nobody else suspects it
	maxConfirmations = 3  // others whose suspicion shortens it to the least
	maxHealthScore   = 8  // periods and time-outs of a node that is slow itself grow up to so many times and one
	syncPeriods      = 10 // periods between digests to those present,
	reconnectPeriods = 5  // and to those gone
	isolationPeriods = 3  // periods without a datagram from anybody
	maxSyncBuckets   = 3  // of a view that differ and are sent at once
	maxRelays        = 64 // pings for others at once
	leaveFanout      = 8  // members that hear of a leave from the node itself
)

// member is what is held of one.
type member struct {
	id                ID
	state             State
	incarnation       uint32
	reason            Reason
	stateSince        time.Duration
	lastHeard         time.Duration // the last datagram from it; 0 for never
	suspicionDeadline time.Duration // of a suspicion
	suspectedBy       []ID
	transmissions     int  // times that the claim about it has been sent; -1 when it is not being sent any more
	lowPriority       bool // the claim changes nothing about who is present
}

// Reason tells why a member is held for what it is.
type Reason string

// The reasons.
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

// Change is news of a member that is gone or is back.
type Change struct {
	Member int
	Gone   bool
}

// Counts are what a core counts.
type Counts struct {
	Rejected     int64 // datagrams that could not be read, or came from or told of nobody known
	Probes       int64
	FailedProbes int64 // that were not answered
	Refutations  int64 // claims about this node that were wrong
	Suspicions   int64 // suspicions raised here
	Deaths       int64 // that ran out here
}

// Core is the membership as one node sees it.
type Core struct {
	cfg         Config
	rng         *rand.Rand
	now         time.Duration
	members     []member
	index       map[ID]int
	leaving     bool
	healthScore int // 0 is good
	seq         uint16
	probeOrder  []int // of pings
	probe       probe
	nextProbeAt time.Duration // of the next
	periods     int
	relays      []relay
	wakeAt      time.Duration // the wake that was asked for
	gossipQueue []int         // members whose claims are being sent
	outgoing    []Datagram
	changes     []Change
	agreedAt    time.Duration // when another had the same view; 0 never
	lastHeard   time.Duration // the last datagram from anybody
	Counts      Counts
}

// probe is the ping that is out.
type probe struct {
	target             int // -1 for none
	seq                uint16
	indirectAt, failAt time.Duration // when others are asked, and when it has failed
	indirectSent       bool
	nacksExpected      int
	nacksReceived      int
}

// relay is a ping for another.
type relay struct {
	from, target int
	fromSeq, seq uint16
	nackAt       time.Duration // 0 once it is sent
	expiresAt    time.Duration
}

// New makes a core. All members are held for present until they are found silent.
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

// scaled is a time that grows when this node is slow itself.
func (c *Core) scaled(d time.Duration) time.Duration { return d * time.Duration(1+c.healthScore) }

func (c *Core) improveHealth() { c.healthScore = max(c.healthScore-1, 0) }
func (c *Core) degradeHealth() { c.healthScore = min(c.healthScore+1, maxHealthScore) }

// Incarnation is the node's own, to be kept for its next start.
func (c *Core) Incarnation() uint32 { return c.members[c.cfg.Self].incarnation }

// Take returns what is to be sent and what has changed since it was last called.
func (c *Core) Take() ([]Datagram, []Change) {
	out, changes := c.outgoing, c.changes
	c.outgoing, c.changes = nil, nil
	return out, changes
}

// Wake is when Tick is to be called next.
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
	// A suspicion that others have shortened may have run out before they said so. That is not this node's delay.
	c.wakeAt = max(at, c.now)
	return c.wakeAt
}

// Tick does what is due. The datagrams that have come have to be handed in first.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if late := now - c.wakeAt; late > c.cfg.PingInterval/2 {
		// The node was not running: what it waited for may have come, and nobody had time to speak up.
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

// probed follows the ping that is out.
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
	// Those who were asked say at least that they heard nothing. If they and everybody else are silent, it may be this
	// node that does not hear. Not if it hears others: then many have died at once, and it must not slow down now.
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

// period pings the next member, and now and then compares views.
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
		return // the last one, with longer time-outs, is still out
	}
	i := c.nextTarget()
	if i < 0 {
		return
	}
	c.Counts.Probes++
	c.seq++
	// The whole wait fits into a period.
	c.probe = probe{
		target: i, seq: c.seq, indirectAt: c.now + c.scaled(c.cfg.AckTimeout), failAt: c.now + c.scaled(c.cfg.PingInterval)*9/10,
	}
	c.send(i, message{kind: kindPing, seq: c.seq})
}

// nextTarget goes round all that are present, in an order that is drawn anew each time. A suspect that enough others
// suspect too is left to speak up.
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

// pick draws members for which fit holds.
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

// some draws members that are present, other than one.
func (c *Core) randomAlive(count, except int) []int {
	return c.randomMembers(count, func(i int) bool { return i != except && c.members[i].state == Alive })
}

// relayed ends the pings for others.
func (c *Core) checkRelays() {
	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool { return c.now >= r.expiresAt })
	for i := range c.relays {
		if r := &c.relays[i]; r.nackAt > 0 && c.now >= r.nackAt {
			r.nackAt = 0
			c.send(r.from, message{kind: kindNack, seq: r.fromSeq})
		}
	}
}

// Receive takes a datagram that came from a member's address.
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

// acked takes an answer to a ping of this node, or to one for another.
func (c *Core) handleAck(from int, seq uint16) {
	if c.probe.target >= 0 && c.probe.seq == seq {
		// From the target, or from one that was asked and has heard it.
		c.probe.target = -1
		c.improveHealth()
		return
	}
	if i := slices.IndexFunc(c.relays, func(r relay) bool { return r.seq == seq && r.target == from }); i >= 0 {
		c.send(c.relays[i].from, message{kind: kindAck, seq: c.relays[i].fromSeq})
		c.relays = slices.Delete(c.relays, i, i+1)
	}
}

// pingFor pings a member for another.
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

// heardClaim takes what somebody says of a member. What is merged from a view was not seen just now: who is held for
// present has time to speak up before it is taken for dead.
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

// heardOfSelf refutes what is wrong about this node.
func (c *Core) handleSelfClaim(cl claim) {
	self := &c.members[c.cfg.Self]
	if cl.incarnation < self.incarnation || (cl.state == Alive && cl.incarnation == self.incarnation) || c.leaving {
		return
	}
	// A later one that is alive is its own, from before a start without its folder.
	if self.incarnation = min(cl.incarnation+1, maxIncarnation); cl.state != Alive {
		c.Counts.Refutations++
		if cl.state == Suspect {
			c.degradeHealth()
		}
	}
	c.enqueueClaim(c.cfg.Self, false)
}

// accuse takes a suspicion, a new one or one more of the same.
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

// suspicion is how long a suspect has, when so many others suspect it as well.
func (c *Core) suspicionTimeout(confirmations int) time.Duration {
	present := 0
	for i := range c.members {
		if !c.members[i].state.Gone() {
			present++
		}
	}
	least := suspicionMult * max(1, math.Log10(float64(present))) * float64(c.cfg.PingInterval)
	most := maxSuspicionMult * least
	share := 1.0 // where nobody else could confirm it
	if most := min(maxConfirmations, present-2); most > 0 {
		share = min(1, math.Log(float64(confirmations)+1)/math.Log(float64(most)+1))
	}
	return time.Duration(max(least, most-share*(most-least)))
}

// hold takes a claim for what holds of a member from now on, and passes it on.
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

// spread sends the claim about a member with what goes out, from the start.
func (c *Core) enqueueClaim(i int, lowPriority bool) {
	if c.members[i].transmissions < 0 {
		c.gossipQueue = append(c.gossipQueue, i)
	}
	c.members[i].transmissions, c.members[i].lowPriority = 0, lowPriority
}

// claimOf is what this node says of a member.
func (c *Core) claimOf(i int) claim {
	m := &c.members[i]
	cl := claim{id: m.id, state: m.state, incarnation: m.incarnation}
	if m.state == Suspect && len(m.suspectedBy) > 0 {
		cl.suspectedBy = m.suspectedBy[len(m.suspectedBy)-1]
	}
	return cl
}

// send sends a message with as many claims as fit: first what is held of the receiver, if it should speak up, then
// those that change who is present, and of each kind those that were sent least. When a whole fleet starts, all have
// a new incarnation to tell, and that must not hold up news of the dead.
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

// Leave tells that the node is about to go. It answers others, but takes no part any more.
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

// Return takes a leave back.
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
