package choice

import (
	"math"
	"time"
)

// This file has the measurements and lookups that the decisions are based on.

// scheduleWake requests a wake for the time at which a message must get its final answer, and an early one while a
// message waits for a slot, a pause or a token. Calls in flight wake the Sender by their outcome. If nothing is held,
// no wake is requested.
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

// handleListUpdate applies a list, or schedules another request for one that could not be fetched.
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

// withinQuota counts a message against its tenant's quota, of which this node has an even part, and reports whether it
// is within.
func (s *Sender) withinQuota(i int) bool {
	if i < 0 || i >= len(s.tenants) || s.cfg.Tenants[i].PerSecond <= 0 {
		return true
	}
	t, rate := &s.tenants[i], s.cfg.Tenants[i].PerSecond/float64(s.cfg.FleetSize)
	t.tokens = min(t.tokens+float64(rate*seconds(s.now-t.refilledAt)), float64(2*rate)+1)
	t.refilledAt = s.now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// sample adds a response time to the average. The lowest average becomes the baseline.
func (g *gate) sample(now time.Duration, sec float64) {
	if !g.sampled {
		g.sampled, g.average, g.baseline, g.sampledAt = true, sec, sec, now
		return
	}
	gap := seconds(now - g.sampledAt)
	w := max(smoothingFactor, 1-math.Exp(-gap/seconds(gateSmoothingTime)))
	g.average += float64(w * (sec - g.average))
	g.baseline = min(g.baseline*math.Exp(gap/seconds(baselineRiseTime)), g.average)
	g.sampledAt = now
}

// sampleConnTable adds a call to the statistics of the connection tables of a kind of destination. It returns by how
// much more often calls over new connections are refused than those over reused ones, and 0 if there was no call over
// a reused one yet. A rate limit refuses both alike. A full table refuses new connections, and idle connections are
// what fills it. A refusal with a RetryAfter comes from a rate limit or an outage.
func (s *Sender) sampleConnTable(kind int, e AttemptEnded) float64 {
	t, refused := s.connTables[kind], 0.0
	if e.Outcome == Rejected {
		refused = 1
	}
	switch {
	case e.Outcome != Success && (e.Outcome != Rejected || e.RetryAfter > 0):
	case e.ReusedConn:
		t.ReusedRefused += float64(connTableSmoothing * (refused - t.ReusedRefused))
		t.ReusedSeen = true
	default:
		t.NewRefused += float64(connTableSmoothing * (refused - t.NewRefused))
	}
	if s.connTables[kind] = t; !t.ReusedSeen {
		return 0
	}
	return t.NewRefused - t.ReusedRefused
}

// dedupWindowEnd is the last moment at which a repeat of a deduplicated message is certain to be dropped by the
// destination: establishing the connection may delay the start of the call by up to DialTimeout.
func (s *Sender) dedupWindowEnd(m *message) time.Duration {
	return s.latestStart(m) - s.cfg.DialTimeout
}

// latestStart is the last moment at which a repeat of a deduplicated message may be written; 0 for no bound.
func (s *Sender) latestStart(m *message) time.Duration {
	if m.class.Effect != Deduplicated || !m.mayHaveRun {
		return 0
	}
	return m.firstRunSentAt + m.class.DedupWindow - answerMargin - 2*s.cfg.Tick
}

// evenShare is a node's even share of what a route can take, and all of it for a fleet-wide route.
func (s *Sender) evenShare(r *route) float64 {
	if r.fleetWide {
		return 1
	}
	return 1 / float64(s.cfg.FleetSize)
}

// limit is the limit of a route in calls per second from all nodes, as far as it is known; 0 for no limit.
func (s *Sender) limit(r *route) float64 {
	switch {
	case !r.limitReported && r.weight > 0:
		return r.weight
	case r.reportedLimit > 0:
		return r.reportedLimit
	}
	return s.estimatedLimit(r)
}

// isSlow reports whether the destination's oldest call is in flight far longer than usual. A destination that does not
// answer or that gets very slow shows this before its first time-out. Its share of the slots is capped then.
func (s *Sender) isSlow(d *destination) bool {
	if len(d.calls) == 0 {
		return false
	}
	c := d.calls[0]
	return seconds(s.now-c.sentAt) > max(slowCallFactor*c.endpoint.smoothedLatency, seconds(minSlowCallTime))
}

// impairedSlots counts the slots that impaired destinations hold.
func (s *Sender) impairedSlots() int {
	n := 0
	for _, d := range s.activeDestinations {
		if len(d.calls) > 0 && s.isImpaired(d) {
			n += len(d.calls)
		}
	}
	return n
}

// worthAt is the worth of a delivery of the message at the given clock time.
func (s *Sender) worthAt(m *message, at time.Duration) float64 {
	age, lateWorth := at-m.handedInAt, m.class.LateWorth
	switch {
	case at > m.deadline:
		return 0
	case age <= m.aim || m.aim <= 0:
		return m.worth
	case s.cfg.WorthHalves:
		return float64(m.worth * max(lateWorth, math.Exp2(-float64(age-m.aim)/float64(m.aim))))
	}
	return float64(m.worth * (1 - (1-lateWorth)*float64(age-m.aim)/float64(max(m.class.Deadline-m.aim, 1))))
}

// attemptsExhausted reports whether the message has used all the attempts that the settings allow.
func (s *Sender) attemptsExhausted(m *message) bool {
	return s.cfg.MaxAttempts > 0 && m.attempts >= s.cfg.MaxAttempts
}

// fleetRoute is the fleet-wide view of an endpoint's route, which the coordinator of its destination has. It is
// created when it is first needed.
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

// reportOutages reports the outages that this node met while it heard no coordinator.
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

// coldBudgetShare is the share of the cold budget that a coordinator grants from: its initial share of the limit,
// which is all, a half, a quarter or an eighth by rank. So the coordinator that all nodes hear grants the whole
// budget, and all nodes that believe they are the coordinator grant less than twice the budget together. If the
// fleet may have just started, it is three quarters of the present share of the limit; the last quarter is for the
// nodes that hear no coordinator and use their allowance.
func (s *Sender) coldBudgetShare(r *route) float64 {
	if s.cfg.ColdStart {
		return float64(0.75 * r.limitShare)
	}
	return r.initialShare
}

// bestRate is the highest number of successful calls per second on the route so far.
func (r *route) bestRate(now time.Duration) float64 {
	return max(r.peakRate, r.windowSuccesses/max(1, seconds(now-r.windowStartedAt)), 1)
}

// uncoordinatedSince is when this node first heard of a destination for which no coordinator has ever answered. It is
// 0 if one has, or if the fleet did not just start.
func (s *Sender) uncoordinatedSince(c *grantRequester) time.Duration {
	if s.cfg.ColdStart && c.answeredAt == 0 {
		return c.firstSeenAt
	}
	return 0
}

// grantRate is the recent rate of grants, in calls per second.
func (c *grantRequester) grantRate(now time.Duration) float64 {
	return c.recentGrants * math.Exp(-seconds(now-c.recentGrantsUpdatedAt)/seconds(demandDecayTime)) / seconds(demandDecayTime)
}
