package choice

import (
	"cmp"
	"math"
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
	takeOverGrow  = 1.0                    // growth a second of it, while next to nothing is refused
	memorySpan    = 30 * time.Second       // what an earlier process had learnt fades in this
	silentLast    = 600 * time.Millisecond // a keeper without an answer for so long is silent
	allowanceFade = 10 * time.Second       // in which an allowance goes from what was granted to an even part
	allowanceCut  = 0.5                    // factor on it at a refusal over the limit,
	allowanceGrow = 0.05                   // and what comes back a second
	foundGrow     = 0.1                    // share by which a limit that was found is tried higher, a second
	slowStartAt   = 5.0                    // calls a second that a fleet begins with where no limit is told,
	slowStart     = 2.0                    // and times its best second from there, until some are refused
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

// beginAt is the part of a limit with which this sender begins to keep it. Those before it in rank may keep
// it still, and not be heard by all: so each rank begins with half of the one before, and all that believe
// themselves keeper begin with less than twice the limit together. Passes make it grow.
func (s *Sender) beginAt(d *destination) float64 {
	part := 1.0
	if s.lost != nil {
		part = takeOver
	}
	for rank := 0; rank < keeperRanks && s.keeper(d, rank) != s.cfg.Number; rank++ {
		part *= takeOver
	}
	return part
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
			if unheard && s.now-c.silentAt >= silentLast {
				s.warn(d, s.keeper(d, c.rank))
			}
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
// them the sender goes on alone, on its allowance.
func (s *Sender) missed(d *destination) {
	c := &d.claim
	if c.misses++; c.misses < askMisses {
		return
	}
	c.misses, c.wanted = 0, 0
	if c.rank++; c.rank >= len(d.keepers) {
		c.rank, c.alone = 0, true
	}
}

// allowance is what an arrival adds to the calls that this sender may make on its own while its keeper is
// silent, and what a second adds. An arrival adds the part of a call that arrivals of late were granted: over
// all senders that adds up to what the keeper gave, however few messages each holds. With time it goes over
// to an even part of the limit. So those who hear nobody stay about within the limit together, whatever each
// of them believes; a keeper that some do hear grants these no more than the limit, and both together are
// under twice that, until the refusals cut both.
func (s *Sender) allowance(d *destination) (arrival, second float64) {
	c := &d.claim
	for i, e := range d.endpoints {
		if e.usable() && (i == 0 || s.apart(d)) {
			second += s.limit(e.route) / float64(s.cfg.Fleet)
		}
	}
	kept := math.Exp(-seconds(s.now-c.heardAt) / seconds(allowanceFade))
	if second > 0 {
		arrival, second = c.allowed*kept*c.share, second*c.allowed*(1-kept)
	} else { // nobody has told a limit: refusals alone bind
		arrival, second = c.allowed, c.allowed*d.rate(s.now)
	}
	if at := max(c.failedAt, s.newSince(c)); at > 0 && s.now-at < s.cfg.WarmWithin { // it may be back cold
		arrival, second = arrival*s.cfg.ColdFrom, second*s.cfg.ColdFrom
	}
	return arrival, second
}

// onAllowance tells that the destination's keeper has been silent for so long that a call may go out without
// it, or that there is none. While one may still come, nothing goes out on the way back from an outage: the
// cold budget is its.
func (s *Sender) onAllowance(e *endpoint) bool {
	c, r := &e.dest.claim, e.route
	heard := c.heardAt >= c.askedAt || s.now-c.silentAt < silentLast
	if !c.alone && (heard || r.recovering() || r.fails > 0) {
		return false
	}
	passed := seconds(max(s.now-c.tokensAt, 0))
	_, second := s.allowance(e.dest)
	c.allowed = min(1, c.allowed+allowanceGrow*passed*max(c.allowed, 1/float64(s.cfg.Fleet)))
	c.tokens = min(c.tokens+second*passed, max(c.tokens, 1))
	c.tokensAt = max(c.tokensAt, s.now)
	return c.tokens >= 1
}

// seek asks an earlier keeper, or when alone each in turn, whether it is there.
func (s *Sender) seek(d *destination) {
	c := &d.claim
	if s.now-c.soughtAt < seekEvery {
		return
	}
	c.soughtAt = s.now
	rank := 0
	if c.turn++; c.alone && c.turn%2 == 0 { // the first in between: all should come back to the same
		rank = c.turn / 2 % max(len(d.keepers), 1)
	}
	s.warn(d, s.keeper(d, rank))
	s.ask(d, s.keeper(d, rank), 0, 0, 0)
}

// tellKeeper reports a call's end to whoever keeps the destination's limit.
func (s *Sender) tellKeeper(ep *endpoint, o Outcome, wait time.Duration) {
	if o == ConnectFailed && s.othersOpen(ep) {
		o = NotSent // of that endpoint alone
	}
	if s.governed(ep.dest) && !s.blind { // what it knows may be long past
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
			c.got, c.gotAt = c.grantRate(s.now)*seconds(demandSpan)+1, s.now
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
	if from != s.cfg.Number {
		if s.now-d.othersAt > askedLast { // they may come from another keeper, or from none
			for _, e := range d.endpoints {
				f := s.fleet(e)
				f.part = min(f.part, s.beginAt(d))
			}
		}
		d.othersAt = s.now
	}
	w := d.wants.want(from, n.seq-1, s.rng)
	if !newer(n.seq, w.seq) {
		return
	}
	if w.n == 0 {
		w.since = s.now
	}
	w.seq, w.n, w.urgency, w.route = n.seq, n.count, n.urgency, n.route
	if s.now-w.grantAt < onTheWay { // the ask does not know of what has crossed it
		w.n -= min(w.n, int(w.grantSeq-n.seen))
	}
	d.wants.asked(w, s.now)
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
		for w := d.wants.first(s.now); w != nil; w = d.wants.first(s.now) {
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
			d.wants.moved(w, s.now)
			own = own || w.from == s.cfg.Number
			s.note(w.from, note{kind: noteGrant, dest: d.id, route: s.mark(e), seq: w.grantSeq, count: 1})
		}
		d.wants.answer(func(w *want) {
			s.note(w.from, note{kind: noteGrant, dest: d.id, seq: w.grantSeq})
		})
	}
	return own
}

// before tells who is granted a call first: whose message is worth most, and of these the one that has waited
// longest. Who got no connection of late comes last: its list may be old, and then its calls and trials tell
// nothing.
func (w *want) before(o *want) bool {
	return cmp.Or(cmp.Compare(o.urgency, w.urgency), cmp.Compare(w.since, o.since), w.number-o.number) < 0
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

// found is what is taken as the limit of a route that tells none and has refused: what it passed in its best
// second, and more with time. Senders that can't tell one another anything find each its own.
func (s *Sender) found(r *route) float64 {
	if r.cutAt == 0 || r.reported || (!r.whole && s.shared()) {
		return 0
	}
	return r.best(s.now) * (1 + foundGrow*seconds(s.now-r.cutAt))
}

// begin takes a route whose limit is told for cold where nothing is remembered of it: partners may start too.
func (s *Sender) begin(e *endpoint, f *route) {
	if s.cfg.Cautious && s.limit(f) > 0 && s.now-e.dest.claim.beganAt < s.cfg.WarmWithin {
		s.cool(f)
		f.part *= takeOver // those of other ranks may not be heard, and begin as well
	}
}

// fleetStruck takes an outage that another sender has met while it heard no keeper, as the keeper: those who
// come back all at once must not be granted what a cold destination can't do. Others who get through know
// better.
func (s *Sender) fleetStruck(e *endpoint, sick bool, age time.Duration) {
	f := s.fleet(e)
	if f.recovering() || age > s.cfg.WarmWithin || (f.deliveredAt > 0 && s.now-f.deliveredAt < lostSign) {
		return
	}
	s.cool(f)
	if f.coldFrom = max(s.now-age, 1); sick {
		s.strike(f)
	}
}

// recallRoute takes over what an earlier process knew of a route: the part of its limit that it kept, and an
// outage, for the destination may be back cold by now, or has been cold for longer.
func (s *Sender) recallRoute(e *endpoint, k RememberedRoute, age time.Duration, trust float64) {
	known := e.route
	if k.Part > 0 && s.shared() && s.keeper(e.dest, 0) == s.cfg.Number {
		known = s.fleet(e)
		known.part, known.partAt = 1-trust*(1-min(k.Part, 1)), s.now
	}
	since, warm := k.Cold+age, s.cfg.WarmWithin
	if (k.Sick && age < warm || k.Cold > 0 && since < warm) && !known.recovering() {
		s.cool(known)
		if !k.Sick {
			known.coldFrom = max(s.now-since, 1)
		}
	}
}

// fleetHeard takes the end of any sender's call, as the keeper.
func (s *Sender) fleetHeard(e *endpoint, from int, o Outcome, wait time.Duration) {
	f := s.fleet(e)
	f.trial = false
	if w := e.dest.wants.of[from]; w != nil && (o == ConnectFailed || o == Pass) {
		if w.lostUntil = 0; o == ConnectFailed {
			w.lostUntil = s.now + lostRest
		}
		e.dest.wants.moved(w, s.now)
	}
	if o == ConnectFailed && s.now-f.deliveredAt < lostSign && f.deliveredAt > 0 {
		return // others get through: who does not has an old list
	}
	switch shut := wait > shutWait; {
	case o == NotSent: // it was not made, or not taken: the destination has room for another
		f.tokens++
	case o == Cancelled:
	case o == Pass:
		s.passed(f)
		f.full *= 1 - fullWeight
		f.deliveredAt = s.now
	case o == Rejected && !shut && !f.sick:
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
		s.failure(e.dest, f, shut, o == Rejected || o == ConnectFailed)
	}
}
