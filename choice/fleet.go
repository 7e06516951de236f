package choice

import (
	"slices"
	"time"
)

// The senders of a fleet share each destination's limit by way of a keeper: one of them, the same for all,
// that every call is asked of beforehand, that grants calls at the pace which the destination takes from all
// senders together, and that hears how they ended. So what no sender can see from its own few calls (a limit
// lowered, an outage, a return) one of them sees from all, and what all would do in step (trials, the ends of
// waits, the way back from an outage) one does for all. Notes may be lost, late or repeated: grants run out,
// asks are said again, and a sender that hears from no keeper goes on alone, by its own pace.

const (
	keeperRanks   = 4                      // senders that are tried as a keeper, one after another
	wholeSpan     = 0.05                   // seconds of the fleet's pace that may go at once after an outage
	askAgain      = 150 * time.Millisecond // an ask is said again after this,
	askKept       = 400 * time.Millisecond // and after this if it was answered
	onTheWay      = 100 * time.Millisecond // a grant has come by then, or is lost
	askMisses     = 3                      // and a keeper that has not answered so many is taken for gone
	askedLast     = time.Second            // an ask not said again for so long is forgotten
	seekEvery     = time.Second            // who is alone or with a later keeper tries another so often
	grantLast     = 200 * time.Millisecond // a grant that is not used is given back
	trialLost     = 2 * time.Second        // a trial of which nothing is heard for so long is taken for lost
	fleetCut      = 0.7                    // factor on the pace of all at refusals over the limit,
	lostRest      = 2 * time.Second        // who got no connection comes after the others for so long
	lostSign      = 500 * time.Millisecond // an outage lets nobody else's call pass for so long
	fullWeight    = 0.1                    // weight of a call in the share of refusals over the limit,
	fullCut       = 0.2                    // which tells that the pace is too high: a few come at any pace
	fleetCutEvery = 250 * time.Millisecond // once for those of calls that were out together
	fleetFloor    = 0.05                   // least share of the limit that all together try
	fleetRestMost = time.Second            // longest rest of all after refusals in a row
	splitLast     = 30 * time.Second       // who is gone without a word may call on elsewhere so long
	takeOver      = 0.5                    // part of the limit that a keeper begins with
)

// met takes what membership tells of another sender. Who asked one that is gone asks the next at once.
func (s *Sender) met(e Member) {
	s.meet(e)
	for _, d := range s.order {
		if c, asked := &d.claim, s.keeper(d, d.claim.rank); s.rankAnew(d, c.rank) != asked {
			c.rank, c.misses, c.wanted, c.alone = 0, 0, 0, false
		}
	}
}

// here is the part of a limit for those who are seen. The others may be cut off, and take theirs there.
func (s *Sender) here() float64 {
	lost := 0
	for _, at := range s.lost {
		if s.now-at < splitLast {
			lost++
		}
	}
	return 1 - float64(lost)/float64(s.cfg.Fleet)
}

// claims asks for what the waiting messages could use now.
func (s *Sender) claims() {
	for _, d := range s.active {
		c := &d.claim
		s.giveBackGrants(d)
		if c.alone || c.rank > 0 {
			s.seek(d)
		}
		if c.alone {
			continue
		}
		n, urgency, route := s.wanted(d)
		again, unheard := askKept, c.heardAt < c.askedAt
		if unheard {
			again = askAgain
		}
		if n -= len(c.grants); n <= 0 || (n <= c.wanted && s.now-c.askedAt < again) {
			continue
		}
		if c.wanted > 0 && unheard && s.now-c.askedAt >= again {
			s.missed(d)
		}
		if !c.alone {
			c.wanted = n
			s.ask(d, s.keeper(d, c.rank), n, urgency, route)
		}
	}
}

// wanted counts the messages that could go out if they were granted, the worth of the best of them as a share
// of the best there is, and the route that is drawn for it.
func (s *Sender) wanted(d *destination) (n int, urgency float64, route uint16) {
	if s.heldBack(d) {
		return
	}
	for _, m := range d.waiting {
		if s.cfg.Slots > 0 && n >= s.cfg.Slots-s.busy {
			break
		}
		if e := s.draw(m, s.askable); e != nil {
			n++
			if u := m.worth / s.mostWorth(); u > urgency {
				urgency, route = u, s.mark(e)
			}
		}
	}
	return n, urgency, route
}

// missed counts an ask without an answer: a silent keeper is given up for the next, and after the last of
// them the sender goes on alone, at the pace of its own demand: what it holds by now is no more than its
// part.
func (s *Sender) missed(d *destination) {
	c := &d.claim
	if c.misses++; c.misses < askMisses {
		return
	}
	c.misses, c.wanted = 0, 0
	if c.rank++; c.rank >= len(d.keepers) {
		c.rank, c.alone = 0, true
		for _, e := range d.endpoints {
			if e.route.partAt < s.now { // endpoints may share it
				s.cut(d, e.route)
			}
		}
	}
}

// seek asks an earlier keeper, or when alone each in turn, whether it is there.
func (s *Sender) seek(d *destination) {
	c := &d.claim
	if s.now-c.soughtAt < seekEvery {
		return
	}
	c.soughtAt = s.now
	rank := 0
	if c.alone {
		rank = c.rank
		c.rank = (c.rank + 1) % keeperRanks % max(len(d.keepers), 1)
	}
	s.ask(d, s.keeper(d, rank), 0, 0, 0)
}

// tellKeeper reports a call's end to whoever keeps the destination's limit.
func (s *Sender) tellKeeper(ep *endpoint, o Outcome, wait time.Duration) {
	if o == NoRoute && s.othersOpen(ep) {
		o = Stale // of that endpoint alone
	}
	if s.governed(ep.dest) {
		s.note(s.keeper(ep.dest, ep.dest.claim.rank), note{
			kind: noteEnd, dest: ep.dest.id, route: s.mark(ep), outcome: o, wait: wait,
		})
	}
}

// grantedBy takes a keeper's answer, which may grant nothing yet. What is not needed then is given back.
func (s *Sender) grantedBy(d *destination, from int, n note) {
	c := &d.claim
	for rank := range keeperRanks {
		if rank >= s.cfg.Fleet || s.keeper(d, rank) != from || (!c.alone && rank > c.rank) {
			continue
		}
		if c.alone || rank < c.rank {
			c.alone, c.rank, c.wanted = false, rank, 0
		}
		c.heardAt, c.misses = s.now, 0
		if n.count > 0 && c.fresh(n.seq) {
			c.grants = append(c.grants, grant{n.route, s.now + grantLast})
			c.wanted = max(c.wanted-1, 0)
		}
	}
}

// asked takes an ask, as the keeper.
func (s *Sender) asked(d *destination, from int, n note) {
	if !slices.ContainsFunc(d.endpoints, (*endpoint).usable) {
		return // of a destination that is not known here others can tell more
	}
	i := slices.IndexFunc(d.wants, func(w *want) bool { return w.from == from })
	if i < 0 {
		i = len(d.wants)
		d.wants = append(d.wants, &want{from: from, seq: n.seq - 1, grantSeq: uint16(s.rng.Uint32())})
	}
	w := d.wants[i]
	if !newer(n.seq, w.seq) {
		return
	}
	if w.n == 0 {
		w.since = s.now
	}
	w.seq, w.n, w.urgency, w.route, w.at, w.owed = n.seq, n.count, n.urgency, n.route, s.now, true
	if s.now-w.grantAt < onTheWay { // the ask does not know of what has crossed it
		w.n -= min(w.n, int(w.grantSeq-n.seen))
	}
	if !d.kept {
		d.kept = true
		s.kept = append(s.kept, d)
	}
}

// grant grants what the destinations kept here have room for, and answers all that asked. It tells whether
// something was granted to this sender itself.
func (s *Sender) grant() (own bool) {
	s.dropWants()
	for _, d := range s.kept {
		for w := d.neediest(s.now); w != nil; w = d.neediest(s.now) {
			e := s.fleetRoom(d, w.route)
			if e == nil {
				break
			}
			f := e.route.fleet
			if f.tokens--; f.sick {
				f.trial, f.triedAt = true, s.now
			}
			w.n--
			w.owed = false
			w.grantSeq++
			w.grantAt = s.now
			own = own || w.from == s.cfg.Number
			s.note(w.from, note{kind: noteGrant, dest: d.id, route: s.mark(e), seq: w.grantSeq, count: 1})
		}
		for _, w := range d.wants {
			if w.owed {
				w.owed = false
				s.note(w.from, note{kind: noteGrant, dest: d.id, seq: w.grantSeq})
			}
		}
	}
	return own
}

// neediest is whose message is worth most, and of these the one that has waited longest. Who got no
// connection of late comes last: its list may be old, and then its calls and trials tell nothing.
func (d *destination) neediest(now time.Duration) (best *want) {
	for _, w := range d.wants {
		if best != nil && w.n > 0 && (now < w.lostUntil) != (now < best.lostUntil) {
			if now < best.lostUntil {
				best = w
			}
			continue
		}
		if w.n > 0 && (best == nil || w.urgency > best.urgency ||
			(w.urgency == best.urgency && w.since < best.since)) {
			best = w
		}
	}
	return best
}

// fleetRoom is an endpoint whose route takes another call of the fleet now: one of the route that was drawn
// by who asks, or else of that with most room.
func (s *Sender) fleetRoom(d *destination, drawn uint16) (best *endpoint) {
	for _, e := range d.endpoints {
		f := s.fleet(e)
		s.refill(f)
		if f.trial && s.now >= f.triedAt+trialLost {
			f.trial = false
		}
		if !e.usable() || s.now < f.waitUntil || f.tokens < 1 || (f.sick && (f.trial || s.now < f.trialAt)) {
			continue
		}
		if s.mark(e) == drawn {
			return e
		}
		if best == nil || f.tokens > best.route.fleet.tokens {
			best = e
		}
	}
	return best
}

// fleetHeard takes the end of any sender's call, as the keeper.
func (s *Sender) fleetHeard(e *endpoint, from int, o Outcome, wait time.Duration) {
	f := s.fleet(e)
	f.trial = false
	for _, w := range e.dest.wants {
		if w.from == from && o == NoRoute {
			w.lostUntil = s.now + lostRest
		} else if w.from == from && o == Pass {
			w.lostUntil = 0
		}
	}
	if o == NoRoute && s.now-f.deliveredAt < lostSign && f.deliveredAt > 0 {
		return // others get through: who does not has an old list
	}
	switch shut := wait > shutWait; {
	case o == Stale: // it was not made, or not taken: the destination has room for another
		f.tokens++
	case o == Undone:
	case o == Pass:
		s.passed(f)
		f.full *= 1 - fullWeight
		f.deliveredAt = s.now
	case o == NoRoom && !shut && !f.sick:
		f.full += fullWeight * (1 - f.full)
		if f.full > fullCut && s.now-f.cutAt >= fleetCutEvery {
			f.cutAt, f.partAt = s.now, s.now
			f.part = max(fleetFloor, f.part*fleetCut)
			f.tokens = min(f.tokens, 0)
			if f.rest > 0 {
				f.waitUntil = s.now + f.rest
			}
			f.rest = min(max(2*f.rest, refusedRest), fleetRestMost)
		}
	default:
		s.failure(e.dest, f, shut, o == NoRoom || o == NoRoute)
	}
}
