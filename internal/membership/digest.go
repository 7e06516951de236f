package membership

import "time"

// Views are compared by the digests of their buckets, and only buckets that differ are sent. A digest covers who is
// present and under which incarnation; a current suspicion makes no difference.

func (c *Core) bucketOf(id ID) int { return int(mixBits(uint64(id)) % buckets) }

// mixBits hashes a number.
func mixBits(x uint64) uint64 {
	for range 2 {
		x = (x ^ x>>31 ^ 0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	}
	return x ^ x>>29
}

// digests returns the sum over each bucket's members, which does not depend on their order. A member that is only on
// this node's list, and of which nothing was ever heard, does not count.
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

// handleDigest answers a digest with some of the buckets that differ, or with a message that none does.
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

// sendEntries sends this node's claims about a bucket's members. Those that do not fit are left for a later digest.
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
			cl.state = Alive // suspicions spread by themselves
		}
		var fits bool
		if b, fits = appendClaim(b, cl); !fits {
			break
		}
	}
	c.outgoing = append(c.outgoing, Datagram{to, b})
}

// MemberStatus is a member as this node sees it.
type MemberStatus struct {
	Member      int
	State       State
	Reason      Reason
	Incarnation uint32
	Since       time.Duration // when it entered its state
	LastHeard   time.Duration // last datagram from it; 0 for never
}

// View returns the status of all members, in the order of Config.Members.
func (c *Core) View() []MemberStatus {
	out := make([]MemberStatus, len(c.members))
	for i := range c.members {
		m := &c.members[i]
		out[i] = MemberStatus{i, m.state, m.reason, m.incarnation, m.stateSince, m.lastHeard}
	}
	return out
}

// Health returns when another member last had the same view, 0 for never, and this node's health score, which is 0
// unless the node is slow itself.
func (c *Core) Health() (at time.Duration, health int) { return c.agreedAt, c.healthScore }

// MemberCounts returns the number of members that are present, this node included, and how many of these are
// suspects.
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
