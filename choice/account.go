package choice

import (
	"math"
	"time"
)

// What is counted, measured and looked up for the decisions, and decides nothing itself.

// arm asks to be woken when a message's time is up, and soon while one waits for a slot, a rest or a pace.
// What is out wakes the sender by its outcome; with nothing held it sleeps.
func (s *Sender) arm() {
	due := time.Duration(math.MaxInt64)
	if s.askAt > 0 {
		due = s.askAt
	}
	if len(s.kept) > 0 {
		due = min(due, s.now+sweepEvery)
	}
	for _, m := range s.open {
		due = min(due, max(m.dropDead-endMargin-s.cfg.Tick, s.now+sweepEvery))
		if m.waits {
			due = min(due, s.now+pollEvery)
		}
	}
	if due < math.MaxInt64 && (s.wakeAt <= s.now || due < s.wakeAt) {
		s.wakeAt = due
		s.do(Wake{At: due, Tag: "sweep"})
	}
}

// listed brings the list of endpoints up to date, and asks again for one that could not be had.
func (s *Sender) listed(l Listed) {
	if l.Failed {
		s.asking = min(max(2*s.asking, trialFirst), time.Minute)
		if s.cfg.AskForList {
			s.askAt = s.now + s.asking
		}
		return
	}
	s.asking = 0
	s.relist(l)
}

// inShare counts a request against its tenant's share, of which this sender sees its part.
func (s *Sender) inShare(i int) bool {
	if i < 0 || i >= len(s.tenants) || s.cfg.Tenants[i].PerSecond <= 0 {
		return true
	}
	t, rate := &s.tenants[i], s.cfg.Tenants[i].PerSecond/float64(s.cfg.Fleet)
	t.tokens = min(t.tokens+rate*seconds(s.now-t.at), 2*rate+1)
	t.at = s.now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// sample takes a response time into the average, and keeps the lowest average as the baseline.
func (g *gate) sample(now time.Duration, sec float64) {
	if !g.seen {
		g.seen, g.average, g.baseline, g.at = true, sec, sec, now
		return
	}
	gap := seconds(now - g.at)
	w := max(smoothing, 1-math.Exp(-gap/seconds(smoothSpan)))
	g.average += w * (sec - g.average)
	g.baseline = min(g.baseline*math.Exp(gap/seconds(baselineSpan)), g.average)
	g.at = now
}

// tableSample takes a call's outcome into what is known of the connection tables of a kind, and returns by how much more
// of the calls over new connections are refused than of those over kept ones; 0 before one of these has been seen. A limit
// refuses both alike; a full table refuses the new ones, and those that are kept idle fill it. A refusal that tells a
// wait is a limit's, or a shut door's.
func (s *Sender) tableSample(kind int, e Ended) float64 {
	t, refused := s.tables[kind], 0.0
	if e.Outcome == Rejected {
		refused = 1
	}
	switch {
	case e.Outcome != Pass && (e.Outcome != Rejected || e.Wait > 0):
	case e.Reused:
		t.Kept += tableWeight * (refused - t.Kept)
		t.Seen = true
	default:
		t.New += tableWeight * (refused - t.New)
	}
	if s.tables[kind] = t; !t.Seen {
		return 0
	}
	return t.New - t.Kept
}

// windowEnd is the last moment at which a keyed message's repeat is surely dropped: its call may begin as
// late as a connect takes at the most.
func (s *Sender) windowEnd(m *message) time.Duration {
	return s.beginBy(m) - s.cfg.DialTimeout
}

// beginBy is the last moment at which a repeat of a keyed message may begin; 0 for none.
func (s *Sender) beginBy(m *message) time.Duration {
	if m.class.Effect != Keyed || !m.touched {
		return 0
	}
	return m.mayRun + m.class.Window - endMargin - 2*s.cfg.Tick
}

// even is a sender's even part of what a route takes; all of it where the route stands for all senders.
func (s *Sender) even(r *route) float64 {
	if r.whole {
		return 1
	}
	return 1 / float64(s.cfg.Fleet)
}

// limit is what the route takes a second from all senders as far as it is told, 0 for no limit.
func (s *Sender) limit(r *route) float64 {
	switch {
	case !r.reported && r.weight > 0:
		return r.weight
	case r.limit > 0:
		return r.limit
	}
	return s.found(r)
}

// slow tells that a destination's oldest call has been out far longer than usual: before any time-out has
// passed, silence and crawling look like this. Its share of the slots is capped then.
func (s *Sender) slow(d *destination) bool {
	if len(d.calls) == 0 {
		return false
	}
	c := d.calls[0]
	return seconds(s.now-c.sentAt) > max(slowFactor*c.ep.usual, seconds(slowLeast))
}

// lameHeld counts the slots that lame destinations hold.
func (s *Sender) lameHeld() int {
	n := 0
	for _, d := range s.active {
		if len(d.calls) > 0 && s.lame(d) {
			n += len(d.calls)
		}
	}
	return n
}

// value is what a delivery at a moment is worth.
func (s *Sender) value(m *message, at time.Duration) float64 {
	age, late := at-m.born, m.class.LateWorth
	switch {
	case at > m.dropDead:
		return 0
	case age <= m.aim || m.aim <= 0:
		return m.worth
	case s.cfg.Halves:
		return m.worth * max(late, math.Exp2(-float64(age-m.aim)/float64(m.aim)))
	}
	return m.worth * (1 - (1-late)*float64(age-m.aim)/float64(max(m.class.Deadline-m.aim, 1)))
}

func (s *Sender) spent(m *message) bool {
	return s.cfg.MaxAttempts > 0 && m.attempts >= s.cfg.MaxAttempts
}

// fleet is the route as its keeper knows it, for the calls of all.
func (s *Sender) fleet(e *endpoint) *route {
	fresh := e.route.fleet == nil
	if fresh {
		e.route.fleet = newRoute()
		e.route.fleet.whole = true
		e.route.fleet.part, e.route.fleet.partAt = s.beginAt(e.dest), s.now
		e.route.fleet.begins = e.route.fleet.part
	}
	e.route.fleet.weight = e.route.weight
	if fresh {
		s.begin(e, e.route.fleet)
	}
	return e.route.fleet
}

// warn tells a keeper that was silent of the outages that this sender has met meanwhile.
func (s *Sender) warn(d *destination, keeper int) {
	told := map[*route]bool{}
	for _, e := range d.endpoints {
		if r := e.route; r.recovering() && !told[r] {
			told[r] = true
			n := note{kind: noteCold, dest: d.id, route: s.mark(e)}
			if !r.sick {
				n.count, n.wait = 1, s.now-r.coldFrom
			}
			s.note(keeper, n)
		}
	}
}

// sure is the share of the cold budget that a keeper hands out: what its rank begins with, all, a half, a quarter or an
// eighth, so that all who may believe themselves keeper hand out less than twice the budget together, and one that all hear
// the whole of it. Where the fleet may just have begun it is the part that it has of the limit, but for a quarter, which is
// for those who hear no keeper and go by their allowance.
func (s *Sender) sure(r *route) float64 {
	if s.cfg.Cautious {
		return 0.75 * r.part
	}
	return r.begins
}

// best is the most that the route has passed in a second.
func (r *route) best(now time.Duration) float64 {
	return max(r.busiest, r.passed/max(1, seconds(now-r.passedAt)), 1)
}

// newSince is since when this sender has known a destination of which no keeper has ever told it; 0 if one has.
func (s *Sender) newSince(c *claim) time.Duration {
	if s.cfg.Cautious && c.heardAt == 0 {
		return c.beganAt
	}
	return 0
}

// grantRate is how many calls a second the keeper granted of late.
func (c *claim) grantRate(now time.Duration) float64 {
	return c.got * math.Exp(-seconds(now-c.gotAt)/seconds(demandSpan)) / seconds(demandSpan)
}
