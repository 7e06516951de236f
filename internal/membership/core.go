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
	Self        int           // of Members
	Members     []ID          // all that may take part, this one too
	Incarnation uint32        // later than any that it ever had, if that is known; else 0
	Period      time.Duration // between pings
	Timeout     time.Duration // for an answer, before others are asked to ping
	Seed        uint64
}

const (
	indirect      = 3  // others who are asked to ping
	gossipFactor  = 3  // a claim is sent so many times the logarithm of the fleet
	suspectFactor = 5  // of periods, times the fleet's decimal logarithm, that a suspect has at least
	suspectMost   = 4  // and so many times that if nobody else suspects it
	confirmers    = 3  // others whose suspicion shortens it to the least
	mostHealth    = 8  // periods and time-outs of a node that is slow itself grow up to so many times and one
	syncEvery     = 10 // periods between digests to those present,
	reachEvery    = 5  // and to those gone
	deafAfter     = 3  // periods without a datagram from anybody
	maxBuckets    = 3  // of a view that differ and are sent at once
	maxRelays     = 64 // pings for others at once
	leaveFan      = 8  // members that hear of a leave from the node itself
)

// member is what is held of one.
type member struct {
	id          ID
	state       State
	incarnation uint32
	reason      Reason
	since       time.Duration
	heard       time.Duration // the last datagram from it; 0 for never
	until       time.Duration // of a suspicion
	accusers    []ID
	rumour      int  // times that the claim about it has been sent; -1 when it is not being sent any more
	minor       bool // the claim changes nothing about who is present
}

// Reason tells why a member is held for what it is.
type Reason string

// The reasons.
const (
	Assumed  Reason = "listed, not heard of yet"
	Heard    Reason = "it spoke"
	Told     Reason = "others say so"
	NoAnswer Reason = "it does not answer"
	Expired  Reason = "it was suspected and did not speak up"
	SaidLeft Reason = "it said so"
)

// Datagram is to be sent to a member.
type Datagram struct {
	To   int
	Text []byte
}

// Change is news of a member that is gone or is back.
type Change struct {
	Member int
	Gone   bool
}

// Counts are what a core counts.
type Counts struct {
	Strange  int64 // datagrams that could not be read, or came from or told of nobody known
	Probes   int64
	Missed   int64 // that were not answered
	Refuted  int64 // claims about this node that were wrong
	Suspects int64 // suspicions raised here
	Deaths   int64 // that ran out here
}

// Core is the membership as one node sees it.
type Core struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	members []member
	index   map[ID]int
	leaving bool
	health  int // 0 is good
	seq     uint16
	order   []int // of pings
	probe   probe
	probeAt time.Duration // of the next
	periods int
	relays  []relay
	due     time.Duration // the wake that was asked for
	rumours []int         // members whose claims are being sent
	out     []Datagram
	changes []Change
	agreed  time.Duration // when another had the same view; 0 never
	heard   time.Duration // the last datagram from anybody
	Counts  Counts
}

// probe is the ping that is out.
type probe struct {
	target    int // -1 for none
	seq       uint16
	ask, end  time.Duration // when others are asked, and when it has failed
	asked     bool
	nacksDue  int
	nacksHere int
}

// relay is a ping for another.
type relay struct {
	from, target int
	fromSeq, seq uint16
	nackAt       time.Duration // 0 once it is sent
	end          time.Duration
}

// New makes a core. All members are held for present until they are found silent.
func New(cfg Config, now time.Duration) *Core {
	c := &Core{
		cfg: cfg, now: now, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))), index: map[ID]int{},
		probe: probe{target: -1},
	}
	for i, id := range cfg.Members {
		c.members = append(c.members, member{id: id, reason: Assumed, since: now, rumour: -1})
		c.index[id] = i
	}
	self := &c.members[cfg.Self]
	self.incarnation, self.reason = min(cfg.Incarnation, maxIncarnation), Heard
	c.spread(cfg.Self, true)
	c.probeAt = now + time.Duration(c.rng.Int64N(int64(cfg.Period)))
	c.due = c.probeAt
	return c
}

// scaled is a time that grows when this node is slow itself.
func (c *Core) scaled(d time.Duration) time.Duration { return d * time.Duration(1+c.health) }

func (c *Core) healthier() { c.health = max(c.health-1, 0) }
func (c *Core) sicker()    { c.health = min(c.health+1, mostHealth) }

// Incarnation is the node's own, to be kept for its next start.
func (c *Core) Incarnation() uint32 { return c.members[c.cfg.Self].incarnation }

// Take returns what is to be sent and what has changed since it was last called.
func (c *Core) Take() ([]Datagram, []Change) {
	out, changes := c.out, c.changes
	c.out, c.changes = nil, nil
	return out, changes
}

// Wake is when Tick is to be called next.
func (c *Core) Wake() time.Duration {
	at := c.probeAt
	if c.probe.target >= 0 {
		at = min(at, c.probe.end)
		if !c.probe.asked {
			at = min(at, c.probe.ask)
		}
	}
	for _, r := range c.relays {
		at = min(at, r.end)
		if r.nackAt > 0 {
			at = min(at, r.nackAt)
		}
	}
	for i := range c.members {
		if m := &c.members[i]; m.state == Suspect {
			at = min(at, m.until)
		}
	}
	// A suspicion that others have shortened may have run out before they said so. That is not this node's delay.
	c.due = max(at, c.now)
	return c.due
}

// Tick does what is due. The datagrams that have come have to be handed in first.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if late := now - c.due; late > c.cfg.Period/2 {
		// The node was not running: what it waited for may have come, and nobody had time to speak up.
		c.sicker()
		c.probe.ask, c.probe.end = c.probe.ask+late, c.probe.end+late
		for i := range c.members {
			c.members[i].until += late
		}
	}
	c.due = now
	if c.leaving {
		c.probeAt = now + c.cfg.Period
		return
	}
	c.relayed()
	c.probed()
	for i := range c.members {
		if m := &c.members[i]; m.state == Suspect && now >= m.until {
			c.Counts.Deaths++
			c.hold(i, claim{m.id, Dead, m.incarnation, 0}, Expired)
		}
	}
	if now >= c.probeAt {
		c.period()
	}
}

// probed follows the ping that is out.
func (c *Core) probed() {
	p := &c.probe
	if p.target < 0 {
		return
	}
	if !p.asked && c.now >= p.ask {
		p.asked = true
		for _, i := range c.some(indirect, p.target) {
			p.nacksDue++
			c.send(i, message{kind: kindPingReq, seq: p.seq, target: c.members[p.target].id})
		}
	}
	if c.now < p.end {
		return
	}
	c.Counts.Missed++
	// Those who were asked say at least that they heard nothing. If they and everybody else are silent, it may be this
	// node that does not hear. Not if it hears others: then many have died at once, and it must not slow down now.
	m := &c.members[p.target]
	if p.nacksHere < max(p.nacksDue, 1) && m.state == Alive && c.now-c.heard > c.scaled(deafAfter*c.cfg.Period) {
		c.sicker()
	}
	i := p.target
	if p.target = -1; !m.state.Gone() {
		if m.state == Alive {
			c.Counts.Suspects++
		}
		c.accuse(i, claim{m.id, Suspect, m.incarnation, c.members[c.cfg.Self].id}, NoAnswer)
	}
}

// period pings the next member, and now and then compares views.
func (c *Core) period() {
	c.probeAt = c.now + c.scaled(c.cfg.Period)
	c.periods++
	if c.periods%syncEvery == 1 {
		if some := c.some(1, -1); len(some) > 0 {
			c.sendDigest(some[0])
		}
	}
	if c.periods%reachEvery == 0 {
		if gone := c.pick(1, func(i int) bool { return c.members[i].state.Gone() }); len(gone) > 0 {
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
		target: i, seq: c.seq, ask: c.now + c.scaled(c.cfg.Timeout), end: c.now + c.scaled(c.cfg.Period)*9/10,
	}
	c.send(i, message{kind: kindPing, seq: c.seq})
}

// nextTarget goes round all that are present, in an order that is drawn anew each time. A suspect that enough others
// suspect too is left to speak up.
func (c *Core) nextTarget() int {
	for range 2 {
		for len(c.order) > 0 {
			i := c.order[0]
			c.order = c.order[1:]
			if m := &c.members[i]; !m.state.Gone() && len(m.accusers) <= confirmers {
				return i
			}
		}
		for i := range c.members {
			if i != c.cfg.Self && !c.members[i].state.Gone() {
				c.order = append(c.order, i)
			}
		}
		c.rng.Shuffle(len(c.order), func(a, b int) { c.order[a], c.order[b] = c.order[b], c.order[a] })
	}
	return -1
}

// pick draws members for which fit holds.
func (c *Core) pick(count int, fit func(int) bool) (out []int) {
	var all []int
	for i := range c.members {
		if i != c.cfg.Self && fit(i) {
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
func (c *Core) some(count, other int) []int {
	return c.pick(count, func(i int) bool { return i != other && c.members[i].state == Alive })
}

// relayed ends the pings for others.
func (c *Core) relayed() {
	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool { return c.now >= r.end })
	for i := range c.relays {
		if r := &c.relays[i]; r.nackAt > 0 && c.now >= r.nackAt {
			r.nackAt = 0
			c.send(r.from, message{kind: kindNack, seq: r.fromSeq})
		}
	}
}

// Receive takes a datagram that came from a member's address.
func (c *Core) Receive(now time.Duration, from int, text []byte) {
	c.now = now
	m, ok := decode(text)
	if !ok || from < 0 || from >= len(c.members) || from == c.cfg.Self {
		c.Counts.Strange++
		return
	}
	f := &c.members[from]
	f.heard, c.heard = now, now
	if alive := (claim{f.id, Alive, m.incarnation, 0}); alive.overrides(f.state, f.incarnation) {
		c.hold(from, alive, Heard)
	} else if f.reason == Assumed {
		f.reason = Heard
	}
	for _, cl := range m.claims {
		c.heardClaim(cl, m.kind == kindEntries)
	}
	switch m.kind {
	case kindPing:
		c.send(from, message{kind: kindAck, seq: m.seq})
	case kindAck:
		c.acked(from, m.seq)
	case kindNack:
		if c.probe.target >= 0 && c.probe.seq == m.seq {
			c.probe.nacksHere++
		}
	case kindPingReq:
		c.pingFor(from, m)
	case kindDigest:
		c.compare(from, m)
	case kindSame:
		c.agreed = now
	case kindEntries:
		if m.want {
			c.sendEntries(from, int(m.bucket), false)
		}
	}
}

// acked takes an answer to a ping of this node, or to one for another.
func (c *Core) acked(from int, seq uint16) {
	if c.probe.target >= 0 && c.probe.seq == seq {
		// From the target, or from one that was asked and has heard it.
		c.probe.target = -1
		c.healthier()
		return
	}
	if i := slices.IndexFunc(c.relays, func(r relay) bool { return r.seq == seq && r.target == from }); i >= 0 {
		c.send(c.relays[i].from, message{kind: kindAck, seq: c.relays[i].fromSeq})
		c.relays = slices.Delete(c.relays, i, i+1)
	}
}

// pingFor pings a member for another.
func (c *Core) pingFor(from int, m message) {
	target, ok := c.index[m.target]
	if !ok || target == c.cfg.Self || len(c.relays) >= maxRelays {
		c.Counts.Strange++
		return
	}
	c.seq++
	c.relays = append(c.relays, relay{
		from: from, target: target, fromSeq: m.seq, seq: c.seq, nackAt: c.now + c.cfg.Timeout, end: c.now + c.cfg.Period,
	})
	c.send(target, message{kind: kindPing, seq: c.seq})
}

// heardClaim takes what somebody says of a member. What is merged from a view was not seen just now: who is held for
// present has time to speak up before it is taken for dead.
func (c *Core) heardClaim(cl claim, merged bool) {
	i, ok := c.index[cl.id]
	if !ok {
		c.Counts.Strange++
		return
	}
	m := &c.members[i]
	if i == c.cfg.Self {
		c.heardOfSelf(cl)
		return
	}
	if merged && cl.state == Dead && !m.state.Gone() && cl.incarnation >= m.incarnation {
		cl.state = Suspect
	}
	if cl.state == Suspect {
		c.accuse(i, cl, Told)
	} else if cl.overrides(m.state, m.incarnation) {
		reason := Told
		if cl.state == Left {
			reason = SaidLeft
		}
		c.hold(i, cl, reason)
	}
}

// heardOfSelf refutes what is wrong about this node.
func (c *Core) heardOfSelf(cl claim) {
	self := &c.members[c.cfg.Self]
	if cl.incarnation < self.incarnation || (cl.state == Alive && cl.incarnation == self.incarnation) || c.leaving {
		return
	}
	// A later one that is alive is its own, from before a start without its folder.
	if self.incarnation = min(cl.incarnation+1, maxIncarnation); cl.state != Alive {
		c.Counts.Refuted++
		if cl.state == Suspect {
			c.sicker()
		}
	}
	c.spread(c.cfg.Self, false)
}

// accuse takes a suspicion, a new one or one more of the same.
func (c *Core) accuse(i int, cl claim, why Reason) {
	m := &c.members[i]
	if m.state == Suspect && m.incarnation == cl.incarnation {
		if len(m.accusers) <= confirmers && !slices.Contains(m.accusers, cl.by) {
			m.accusers = append(m.accusers, cl.by)
			m.until = m.since + c.suspicion(len(m.accusers)-1)
			c.spread(i, false)
		}
		return
	}
	if !cl.overrides(m.state, m.incarnation) {
		return
	}
	m.accusers = append(m.accusers[:0], cl.by)
	c.hold(i, cl, why)
	m.since = c.now
	m.until = m.since + c.suspicion(0)
}

// suspicion is how long a suspect has, when so many others suspect it as well.
func (c *Core) suspicion(others int) time.Duration {
	present := 0
	for i := range c.members {
		if !c.members[i].state.Gone() {
			present++
		}
	}
	least := suspectFactor * max(1, math.Log10(float64(present))) * float64(c.cfg.Period)
	most := suspectMost * least
	share := 1.0 // where nobody else could confirm it
	if most := min(confirmers, present-2); most > 0 {
		share = min(1, math.Log(float64(others)+1)/math.Log(float64(most)+1))
	}
	return time.Duration(max(least, most-share*(most-least)))
}

// hold takes a claim for what holds of a member from now on, and passes it on.
func (c *Core) hold(i int, cl claim, why Reason) {
	m := &c.members[i]
	was, minor := m.state.Gone(), m.state == Alive && cl.state == Alive
	m.incarnation = cl.incarnation
	if m.state != cl.state {
		m.state, m.reason, m.since = cl.state, why, c.now
	}
	if m.state != Suspect {
		m.accusers = m.accusers[:0]
	}
	if m.state.Gone() != was {
		c.changes = append(c.changes, Change{i, m.state.Gone()})
	}
	c.spread(i, minor)
}

// spread sends the claim about a member with what goes out, from the start.
func (c *Core) spread(i int, minor bool) {
	if c.members[i].rumour < 0 {
		c.rumours = append(c.rumours, i)
	}
	c.members[i].rumour, c.members[i].minor = 0, minor
}

// claimOf is what this node says of a member.
func (c *Core) claimOf(i int) claim {
	m := &c.members[i]
	cl := claim{id: m.id, state: m.state, incarnation: m.incarnation}
	if m.state == Suspect && len(m.accusers) > 0 {
		cl.by = m.accusers[len(m.accusers)-1]
	}
	return cl
}

// send sends a message with as many claims as fit: first what is held of the receiver, if it should speak up, then
// those that change who is present, and of each kind those that were sent least. When a whole fleet starts, all have
// a new incarnation to tell, and that must not hold up news of the dead.
func (c *Core) send(to int, m message) {
	m.incarnation = c.Incarnation()
	b := m.head()
	if c.members[to].state != Alive {
		b, _ = appendClaim(b, c.claimOf(to))
	}
	slices.SortStableFunc(c.rumours, func(x, y int) int {
		a, b := &c.members[x], &c.members[y]
		if a.minor != b.minor {
			return cmp.Compare(b2i(a.minor), b2i(b.minor))
		}
		return cmp.Compare(a.rumour, b.rumour)
	})
	most := gossipFactor * bits.Len(uint(len(c.members)))
	for _, i := range c.rumours {
		var fits bool
		if b, fits = appendClaim(b, c.claimOf(i)); !fits {
			break
		}
		c.members[i].rumour++
	}
	c.rumours = slices.DeleteFunc(c.rumours, func(i int) bool {
		if c.members[i].rumour < most {
			return false
		}
		c.members[i].rumour = -1
		return true
	})
	c.out = append(c.out, Datagram{to, b})
}

func b2i(b bool) int {
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
	c.spread(c.cfg.Self, false)
	for _, i := range c.some(leaveFan, -1) {
		c.seq++
		c.send(i, message{kind: kindPing, seq: c.seq})
	}
}

// Return takes a leave back.
func (c *Core) Return(now time.Duration) {
	if c.now = now; !c.leaving {
		return
	}
	c.leaving = false
	self := &c.members[c.cfg.Self]
	self.state, self.incarnation = Alive, min(self.incarnation+1, maxIncarnation)
	c.spread(c.cfg.Self, false)
	c.probeAt = now
}
