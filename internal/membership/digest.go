package membership

import "time"

// A view is compared by the digests of its buckets, and only buckets that differ are sent. A digest tells who is
// present, and under which incarnation; whether somebody is suspected just now is no difference.

func (c *Core) bucketOf(id ID) int { return int(mixBits(uint64(id)) % buckets) }

// spreadBits mixes a number's bits.
func mixBits(x uint64) uint64 {
	for range 2 {
		x = (x ^ x>>31 ^ 0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	}
	return x ^ x>>29
}

// digests are the sums over each bucket's members, whose order does not matter. One that only this node's list names,
// and of which nothing was ever heard, does not count.
func (c *Core) digests() (out [buckets]uint32) {
	for i := range c.members {
		m := &c.members[i]
		if m.incarnation == 0 && m.state != Left {
			continue
		}
		gone := uint64(0)
		if m.state.Gone() {
			gone = 1
		}
		out[c.bucketOf(m.id)] += uint32(mixBits(uint64(m.id)<<31 ^ uint64(m.incarnation)<<1 ^ gone))
	}
	return out
}

func (c *Core) sendDigest(to int) {
	c.seq++
	c.send(to, message{kind: kindDigest, seq: c.seq, digest: c.digests()})
}

// compare answers a digest: with some of the buckets that differ, or with a word that none does.
func (c *Core) handleDigest(from int, m message) {
	own := c.digests()
	var differing []int
	for i := range own {
		if own[i] != m.digest[i] {
			differing = append(differing, i)
		}
	}
	if len(differing) == 0 {
		c.agreedAt = c.now
		c.send(from, message{kind: kindInSync, seq: m.seq})
		return
	}
	c.rng.Shuffle(len(differing), func(a, b int) { differing[a], differing[b] = differing[b], differing[a] })
	for _, bucket := range differing[:min(len(differing), maxSyncBuckets)] {
		c.sendEntries(from, bucket, true)
	}
}

// sendEntries sends what this node holds of a bucket's members; what does not fit goes another time.
func (c *Core) sendEntries(to, bucket int, wantReply bool) {
	b := message{kind: kindEntries, seq: c.seq, incarnation: c.Incarnation(), bucket: uint8(bucket), wantReply: wantReply}.header()
	first := c.rng.IntN(len(c.members))
	for k := range c.members {
		i := (first + k) % len(c.members)
		m := &c.members[i]
		if c.bucketOf(m.id) != bucket || (m.incarnation == 0 && m.state != Left) {
			continue
		}
		cl := claim{id: m.id, state: m.state, incarnation: m.incarnation}
		if cl.state == Suspect {
			cl.state = Alive // the suspicion goes its own way
		}
		var fits bool
		if b, fits = appendClaim(b, cl); !fits {
			break
		}
	}
	c.outgoing = append(c.outgoing, Datagram{to, b})
}

// Seen is a member as this node sees it.
type MemberStatus struct {
	Member      int
	State       State
	Reason      Reason
	Incarnation uint32
	Since       time.Duration // when it came to be so
	LastHeard   time.Duration // when it last spoke here; 0 for never
}

// View is what this node sees, by the members' order.
func (c *Core) View() []MemberStatus {
	out := make([]MemberStatus, len(c.members))
	for i := range c.members {
		m := &c.members[i]
		out[i] = MemberStatus{i, m.state, m.reason, m.incarnation, m.stateSince, m.lastHeard}
	}
	return out
}

// Agreed is when another member had the same view; never is 0. Health is 0 unless this node is slow itself.
func (c *Core) Health() (at time.Duration, health int) { return c.agreedAt, c.healthScore }

// Present counts those who are not gone, this node too.
func (c *Core) MemberCounts() (present, suspect int) {
	for i := range c.members {
		if !c.members[i].state.Gone() {
			present++
		}
		if c.members[i].state == Suspect {
			suspect++
		}
	}
	return present, suspect
}
