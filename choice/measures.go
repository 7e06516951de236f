package choice

import (
	"math"
	"time"
)

// What is counted, measured and looked up for the decisions, and decides nothing itself.

// arm asks to be woken when a message's time is up, and soon while one waits for a slot, a rest or a pace.
// What is out wakes the sender by its outcome; with nothing held it sleeps.
func (s *Sender) scheduleWake() {
	due := time.Duration(math.MaxInt64)
	if s.listRequestAt > 0 {
		due = s.listRequestAt
	}
	if len(s.coordinated) > 0 {
		due = min(due, s.now+minWakeInterval)
	}
	for _, m := range s.openMessages {
		due = min(due, max(m.deadline-answerMargin-s.cfg.Tick, s.now+minWakeInterval))
		if m.queued {
			due = min(due, s.now+waitingPollInterval)
		}
	}
	if due < math.MaxInt64 && (s.nextWakeAt <= s.now || due < s.nextWakeAt) {
		s.nextWakeAt = due
		s.emit(Wake{At: due, Tag: "sweep"})
	}
}

// listed brings the list of endpoints up to date, and asks again for one that could not be had.
func (s *Sender) handleListUpdate(l ListUpdate) {
	if l.Failed {
		s.listRetryBackoff = min(max(2*s.listRetryBackoff, minTrialBackoff), time.Minute)
		if s.cfg.ListOnRequest {
			s.listRequestAt = s.now + s.listRetryBackoff
		}
		return
	}
	s.listRetryBackoff = 0
	s.applyList(l)
}

// inShare counts a request against its tenant's share, of which this sender sees its part.
func (s *Sender) withinQuota(i int) bool {
	if i < 0 || i >= len(s.tenants) || s.cfg.Tenants[i].PerSecond <= 0 {
		return true
	}
	t, rate := &s.tenants[i], s.cfg.Tenants[i].PerSecond/float64(s.cfg.FleetSize)
	t.tokens = min(t.tokens+rate*seconds(s.now-t.refilledAt), 2*rate+1)
	t.refilledAt = s.now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// sample takes a response time into the average, and keeps the lowest average as the baseline.
func (g *gate) sample(now time.Duration, sec float64) {
	if !g.sampled {
		g.sampled, g.average, g.baseline, g.sampledAt = true, sec, sec, now
		return
	}
	gap := seconds(now - g.sampledAt)
	w := max(smoothingFactor, 1-math.Exp(-gap/seconds(gateSmoothingTime)))
	g.average += w * (sec - g.average)
	g.baseline = min(g.baseline*math.Exp(gap/seconds(baselineRiseTime)), g.average)
	g.sampledAt = now
}

// tableSample takes a call's outcome into what is known of the connection tables of a kind, and returns by how much more
// of the calls over new connections are refused than of those over kept ones; 0 before one of these has been seen. A limit
// refuses both alike; a full table refuses the new ones, and those that are kept idle fill it. A refusal that tells a
// wait is a limit's, or a shut door's.
func (s *Sender) sampleConnTable(kind int, e AttemptEnded) float64 {
	t, refused := s.connTables[kind], 0.0
	if e.Outcome == Rejected {
		refused = 1
	}
	switch {
	case e.Outcome != Success && (e.Outcome != Rejected || e.RetryAfter > 0):
	case e.ReusedConn:
		t.ReusedRefused += connTableSmoothing * (refused - t.ReusedRefused)
		t.ReusedSeen = true
	default:
		t.NewRefused += connTableSmoothing * (refused - t.NewRefused)
	}
	if s.connTables[kind] = t; !t.ReusedSeen {
		return 0
	}
	return t.NewRefused - t.ReusedRefused
}

// windowEnd is the last moment at which a keyed message's repeat is surely dropped: its call may begin as
// late as a connect takes at the most.
func (s *Sender) dedupWindowEnd(m *message) time.Duration {
	return s.latestStart(m) - s.cfg.DialTimeout
}

// beginBy is the last moment at which a repeat of a keyed message may begin; 0 for none.
func (s *Sender) latestStart(m *message) time.Duration {
	if m.class.Effect != Deduplicated || !m.mayHaveRun {
		return 0
	}
	return m.firstRunSentAt + m.class.DedupWindow - answerMargin - 2*s.cfg.Tick
}

// even is a sender's even part of what a route takes; all of it where the route stands for all senders.
func (s *Sender) evenShare(r *route) float64 {
	if r.fleetWide {
		return 1
	}
	return 1 / float64(s.cfg.FleetSize)
}

// limit is what the route takes a second from all senders as far as it is told, 0 for no limit.
func (s *Sender) limit(r *route) float64 {
	switch {
	case !r.limitReported && r.weight > 0:
		return r.weight
	case r.reportedLimit > 0:
		return r.reportedLimit
	}
	return s.estimatedLimit(r)
}

// slow tells that a destination's oldest call has been out far longer than usual: before any time-out has
// passed, silence and crawling look like this. Its share of the slots is capped then.
func (s *Sender) isSlow(d *destination) bool {
	if len(d.calls) == 0 {
		return false
	}
	c := d.calls[0]
	return seconds(s.now-c.sentAt) > max(slowCallFactor*c.endpoint.smoothedLatency, seconds(minSlowCallTime))
}

// lameHeld counts the slots that lame destinations hold.
func (s *Sender) impairedSlots() int {
	n := 0
	for _, d := range s.activeDestinations {
		if len(d.calls) > 0 && s.isImpaired(d) {
			n += len(d.calls)
		}
	}
	return n
}

// value is what a delivery at a moment is worth.
func (s *Sender) worthAt(m *message, at time.Duration) float64 {
	age, lateWorth := at-m.handedInAt, m.class.LateWorth
	switch {
	case at > m.deadline:
		return 0
	case age <= m.aim || m.aim <= 0:
		return m.worth
	case s.cfg.WorthHalves:
		return m.worth * max(lateWorth, math.Exp2(-float64(age-m.aim)/float64(m.aim)))
	}
	return m.worth * (1 - (1-lateWorth)*float64(age-m.aim)/float64(max(m.class.Deadline-m.aim, 1)))
}

func (s *Sender) attemptsExhausted(m *message) bool {
	return s.cfg.MaxAttempts > 0 && m.attempts >= s.cfg.MaxAttempts
}

// fleet is the route as its keeper knows it, for the calls of all.
func (s *Sender) fleetRoute(e *endpoint) *route {
	created := e.route.fleetRoute == nil
	if created {
		e.route.fleetRoute = newRoute()
		e.route.fleetRoute.fleetWide = true
		e.route.fleetRoute.limitShare, e.route.fleetRoute.limitShareUpdatedAt = s.initialFleetShare(e.dest), s.now
		e.route.fleetRoute.initialShare = e.route.fleetRoute.limitShare
	}
	e.route.fleetRoute.weight = e.route.weight
	if created {
		s.startCold(e, e.route.fleetRoute)
	}
	return e.route.fleetRoute
}

// warn tells a keeper that was silent of the outages that this sender has met meanwhile.
func (s *Sender) reportOutages(d *destination, coordinator int) {
	reported := map[*route]bool{}
	for _, e := range d.endpoints {
		if r := e.route; r.recovering() && !reported[r] {
			reported[r] = true
			dg := datagram{kind: datagramOutage, dest: d.id, route: s.routeID(e)}
			if !r.circuitOpen {
				dg.count, dg.wait = 1, s.now-r.recoveryStartedAt
			}
			s.sendDatagram(coordinator, dg)
		}
	}
}

// sure is the share of the cold budget that a keeper hands out: what its rank begins with, all, a half, a quarter or an
// eighth, so that all who may believe themselves keeper hand out less than twice the budget together, and one that all hear
// the whole of it. Where the fleet may just have begun it is the part that it has of the limit, but for a quarter, which is
// for those who hear no keeper and go by their allowance.
func (s *Sender) coldBudgetShare(r *route) float64 {
	if s.cfg.ColdStart {
		return 0.75 * r.limitShare
	}
	return r.initialShare
}

// best is the most that the route has passed in a second.
func (r *route) bestRate(now time.Duration) float64 {
	return max(r.peakRate, r.windowSuccesses/max(1, seconds(now-r.windowStartedAt)), 1)
}

// newSince is since when this sender has known a destination of which no keeper has ever told it; 0 if one has.
func (s *Sender) uncoordinatedSince(c *grantRequester) time.Duration {
	if s.cfg.ColdStart && c.answeredAt == 0 {
		return c.firstSeenAt
	}
	return 0
}

// grantRate is how many calls a second the keeper granted of late.
func (c *grantRequester) grantRate(now time.Duration) float64 {
	return c.recentGrants * math.Exp(-seconds(now-c.recentGrantsUpdatedAt)/seconds(demandDecayTime)) / seconds(demandDecayTime)
}
