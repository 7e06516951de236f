package choice

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The nodes of a fleet share the rate limit of each destination by way of a coordinator. It is one of the nodes,
// chosen per destination by rendezvous hashing, so that all nodes that see the same members choose the same one. A
// node requests grants from it for the calls that it wants to make, the coordinator issues grants at the rate that the
// destination takes from all nodes together, and the nodes report to it how their calls ended.
//
// So the coordinator sees what no node can see from its own few calls: a lowered limit, an outage, a recovery. It also
// does once what all nodes would otherwise do at the same time: trials, the end of a pause, the ramp-up after an
// outage.
//
// These datagrams may be lost, delayed or duplicated. So grants expire, requests are repeated, and a node that hears
// from no coordinator goes on by itself, at an allowance.

const (
	// Nodes that may coordinate a destination, by rank: the second one if the first does not answer, and so on.
	coordinatorRanks          = 4
	fleetRecoveryBurstSeconds = 0.05                   // seconds of its rate in the fleet's bucket, in a recovery
	requestRetryInterval      = 150 * time.Millisecond // a request without an answer is repeated after this time,
	requestRefreshInterval    = 400 * time.Millisecond // and an answered one, for calls still wanted, after this time
	maxGrantTransitTime       = 100 * time.Millisecond // a grant that has not arrived by then is lost
	maxMissedRequests         = 3                      // a coordinator that misses this many requests in a row is gone
	requestTTL                = time.Second            // a request that is not repeated for this long is dropped
	// A node without a coordinator, or with one of a lower rank, looks for another one at this interval.
	coordinatorSeekInterval   = time.Second
	grantTTL                  = 200 * time.Millisecond // a grant that is not used by then is returned
	fleetTrialTimeout         = 2 * time.Second        // a trial whose outcome is not reported by then is lost
	fleetShareCutFactor       = 0.7                    // factor on the fleet's rate when too many calls are refused
	connectFailureDeferral    = 2 * time.Second        // a node that gets no connection comes last for this long
	recentSuccessTime         = 500 * time.Millisecond // a connect failure this soon after a success is no outage
	fleetRefusalSmoothing     = 0.1                    // weight of a call in the share of calls that are refused
	fleetRefusalThreshold     = 0.2                    // share above which the rate is too high; a few come at any rate
	fleetCutInterval          = 250 * time.Millisecond // one cut for all refused calls that were in flight together
	minFleetShare             = 0.05                   // least share of a limit that the whole fleet uses
	maxFleetRefusalBackoff    = time.Second            // longest pause of the whole fleet after consecutive refusals
	partitionTimeout          = 30 * time.Second       // a node that vanished may still make calls for this long
	takeoverShare             = 0.5                    // share of a limit that a new coordinator begins with
	takeoverGrowthPerSecond   = 1.0                    // growth of that share per second while few calls are refused
	memoryDecayTime           = 30 * time.Second       // decay time of what an earlier process had learnt
	coordinatorSilenceTimeout = 600 * time.Millisecond // a coordinator that does not answer for this long is silent
	allowanceDecayTime        = 10 * time.Second       // decay time of past grants as the measure of an allowance
	allowanceCutFactor        = 0.5                    // factor on the allowance when a call is refused over the limit,
	allowanceGrowthPerSecond  = 0.05                   // and its growth per second afterwards
	estimateGrowthPerSecond   = 0.1                    // growth of an estimated limit per second
	// A starting fleet begins with this many calls per second if the limit is unknown, and goes on with a multiple of
	// its best second so far until calls are refused.
	slowStartRate   = 5.0
	slowStartFactor = 2.0
)

// handleMemberChanged handles a change of the fleet's membership. If that changes the coordinator of a destination,
// the next request goes to the new one at once.
func (s *Sender) handleMemberChanged(e MemberChanged) {
	s.updateMembers(e)
	for _, d := range s.destinationOrder {
		if c, former := &d.requester, s.coordinator(d, d.requester.coordinatorRank); s.rankCoordinators(d, c.coordinatorRank) != former {
			c.coordinatorRank, c.missedRequests, c.pendingCalls, c.uncoordinated = 0, 0, 0, false
		}
	}
}

// reachableShare is the part of a limit that is for the members that are reachable. The others may be on the far side
// of a partition, and use their part there.
func (s *Sender) reachableShare() float64 {
	unreachable := 0
	for _, at := range s.lostMembers {
		if s.now-at < partitionTimeout {
			unreachable++
		}
	}
	return 1 - float64(unreachable)/float64(s.cfg.FleetSize)
}

// initialFleetShare is the share of a limit with which this node begins to coordinate a destination. Nodes of a
// higher rank may still coordinate it without being heard by all. So each rank begins with half of the share of the
// one before, and all nodes that believe they are the coordinator begin with less than twice the limit together.
// The share grows with successful calls.
func (s *Sender) initialFleetShare(d *destination) float64 {
	share := 1.0
	if s.lostMembers != nil {
		share = takeoverShare
	}
	for rank := 0; rank < coordinatorRanks && s.coordinator(d, rank) != s.cfg.Number; rank++ {
		share = float64(share * takeoverShare)
	}
	return share
}

// requestGrants requests grants for the waiting messages that could be sent now.
func (s *Sender) requestGrants() {
	for _, d := range s.activeDestinations {
		c := &d.requester
		s.returnExpiredGrants(d)
		if c.uncoordinated || c.coordinatorRank > 0 {
			s.seekCoordinator(d)
		}
		if c.uncoordinated {
			continue
		}
		demand, urgency, route := s.grantDemand(d)
		interval, unanswered := requestRefreshInterval, c.answeredAt < c.requestedAt
		if unanswered {
			interval = requestRetryInterval
		}
		if demand -= len(c.grants); demand <= 0 || (demand <= c.pendingCalls && s.now-c.requestedAt < interval) {
			continue
		}
		if c.pendingCalls > 0 && unanswered && s.now-c.requestedAt >= interval {
			s.countMissedRequest(d)
		}
		if !c.uncoordinated {
			c.pendingCalls = demand
			if unanswered && s.now-c.unansweredSince >= coordinatorSilenceTimeout {
				s.reportOutages(d, s.coordinator(d, c.coordinatorRank))
			}
			s.sendRequest(d, s.coordinator(d, c.coordinatorRank), demand, urgency, route)
		}
	}
}

// grantDemand counts the messages that could be sent if they had grants. The urgency is the highest worth among them,
// relative to the class with the highest worth, and the route is the one that was drawn for that message.
func (s *Sender) grantDemand(d *destination) (n int, urgency float64, route uint16) {
	if s.atImpairedSlotCap(d) {
		return
	}
	for _, m := range d.waiting {
		if s.cfg.Slots > 0 && n >= s.cfg.Slots-s.callsInFlight {
			break
		}
		if e := s.pickEndpoint(m, s.allowsRequest); e != nil {
			n++
			if u := m.worth / s.maxClassWorth(); u > urgency {
				urgency, route = u, s.routeID(e)
			}
		}
	}
	return n, urgency, route
}

// countMissedRequest counts a request without an answer. A coordinator that misses too many is replaced by the next in
// rank. After the last one, the node goes on without a coordinator, within its allowance.
func (s *Sender) countMissedRequest(d *destination) {
	c := &d.requester
	if c.missedRequests++; c.missedRequests < maxMissedRequests {
		return
	}
	c.missedRequests, c.pendingCalls = 0, 0
	if c.coordinatorRank++; c.coordinatorRank >= len(d.coordinators) {
		c.coordinatorRank, c.uncoordinated = 0, true
	}
}

// allowance is what each arriving message, and each second, add to the calls that this node may make by itself while
// its coordinator is silent.
//
// An arrival adds the share of recent arrivals that got grants. Over all nodes that adds up to what the coordinator
// granted, however few messages each one has. Over time this changes to an even part of the limit for each node. So
// the nodes that hear no coordinator stay close to the limit together, even if they disagree about which node it is. A
// coordinator that some nodes do hear grants these at most the limit. Both groups together stay below twice the limit,
// until refusals make both cut their rate.
func (s *Sender) allowance(d *destination) (perArrival, perSecond float64) {
	c := &d.requester
	for i, e := range d.endpoints {
		if e.usable() && (i == 0 || s.hasSeparateRoutes(d)) {
			perSecond += s.limit(e.route) / float64(s.cfg.FleetSize)
		}
	}
	grantWeight := math.Exp(-seconds(s.now-c.answeredAt) / seconds(allowanceDecayTime))
	if perSecond > 0 {
		perArrival, perSecond = float64(c.allowanceFactor*grantWeight*c.grantedShare), float64(perSecond*c.allowanceFactor*(1-grantWeight))
	} else { // no limit is known: only refusals limit the rate
		perArrival, perSecond = c.allowanceFactor, float64(c.allowanceFactor*d.arrivalRate(s.now))
	}
	if coldSince := max(c.lastFailureAt, s.uncoordinatedSince(c)); coldSince > 0 && s.now-coldSince < s.cfg.WarmUpTime {
		// The destination may have come back from an outage, and be cold.
		perArrival, perSecond = float64(perArrival*s.cfg.ColdCapacity), float64(perSecond*s.cfg.ColdCapacity)
	}
	return perArrival, perSecond
}

// withinAllowance reports whether a call may be made without a grant, because there is no coordinator or it has been
// silent for long enough. As long as a coordinator may still answer, nothing is sent without a grant during a
// recovery: the coordinator hands out the cold budget.
func (s *Sender) withinAllowance(e *endpoint) bool {
	c, r := &e.dest.requester, e.route
	coordinatorAnswers := c.answeredAt >= c.requestedAt || s.now-c.unansweredSince < coordinatorSilenceTimeout
	if !c.uncoordinated && (coordinatorAnswers || r.recovering() || r.failures > 0) {
		return false
	}
	elapsed := seconds(max(s.now-c.allowanceRefilledAt, 0))
	_, perSecond := s.allowance(e.dest)
	c.allowanceFactor = min(1, c.allowanceFactor+float64(allowanceGrowthPerSecond*elapsed*max(c.allowanceFactor, 1/float64(s.cfg.FleetSize))))
	c.allowanceTokens = min(c.allowanceTokens+float64(perSecond*elapsed), max(c.allowanceTokens, 1))
	c.allowanceRefilledAt = max(c.allowanceRefilledAt, s.now)
	return c.allowanceTokens >= 1
}

// seekCoordinator checks whether a coordinator of a higher rank is there again. A node without a coordinator tries all
// ranks in turn.
func (s *Sender) seekCoordinator(d *destination) {
	c := &d.requester
	if s.now-c.lastSeekAt < coordinatorSeekInterval {
		return
	}
	c.lastSeekAt = s.now
	rank := 0
	if c.seekTurn++; c.uncoordinated && c.seekTurn%2 == 0 {
		// Every other time it tries rank 0, so that all nodes return to the same coordinator.
		rank = c.seekTurn / 2 % max(len(d.coordinators), 1)
	}
	s.reportOutages(d, s.coordinator(d, rank))
	s.sendRequest(d, s.coordinator(d, rank), 0, 0, 0)
}

// reportCallEnd reports the end of a call to the coordinator of the destination.
func (s *Sender) reportCallEnd(ep *endpoint, o Outcome, wait time.Duration) {
	if o == ConnectFailed && s.othersAvailable(ep) {
		o = NotSent // that endpoint is gone; the route is not affected
	}
	if s.needsGrant(ep.dest) && !s.sendsPaused { // during a pause the outcome may be old
		s.sendDatagram(s.coordinator(ep.dest, ep.dest.requester.coordinatorRank), datagram{
			kind: datagramCallEnd, dest: ep.dest.id, route: s.routeID(ep), outcome: o, wait: wait,
		})
	}
}

// handleGrant handles a coordinator's answer to a request, with a grant or without. A grant that is not needed by then
// is returned when it expires.
func (s *Sender) handleGrant(d *destination, from int, dg datagram) {
	c := &d.requester
	for rank := range coordinatorRanks {
		if rank >= s.cfg.FleetSize || s.coordinator(d, rank) != from || (!c.uncoordinated && rank > c.coordinatorRank) {
			continue
		}
		if c.uncoordinated || rank < c.coordinatorRank {
			c.uncoordinated, c.coordinatorRank, c.pendingCalls = false, rank, 0
		}
		c.answeredAt, c.missedRequests = s.now, 0
		if dg.count > 0 && c.isNewGrant(dg.seq) {
			c.recentGrants, c.recentGrantsUpdatedAt = float64(c.grantRate(s.now)*seconds(demandDecayTime))+1, s.now
			c.grants = append(c.grants, grant{dg.route, s.now + grantTTL})
			c.pendingCalls = max(c.pendingCalls-1, 0)
		}
	}
}

// handleRequest handles a request for grants, as the coordinator.
func (s *Sender) handleRequest(d *destination, from int, dg datagram) {
	if !slices.ContainsFunc(d.endpoints, (*endpoint).usable) {
		return // no usable endpoint is known here: another coordinator may know more
	}
	if from != s.cfg.Number {
		if s.now-d.lastPeerRequestAt > requestTTL {
			// The other nodes may have used another coordinator until now, or none.
			for _, e := range d.endpoints {
				f := s.fleetRoute(e)
				f.limitShare = min(f.limitShare, s.initialFleetShare(d))
			}
		}
		d.lastPeerRequestAt = s.now
	}
	req := d.requests.requestOf(from, dg.seq-1, s.rng)
	if !isNewer(dg.seq, req.requestSeq) {
		return
	}
	if req.calls == 0 {
		req.waitingSince = s.now
	}
	req.requestSeq, req.calls, req.urgency, req.preferredRoute = dg.seq, dg.count, dg.urgency, dg.route
	if s.now-req.lastGrantAt < maxGrantTransitTime {
		// The request was sent before the latest grants arrived.
		req.calls -= min(req.calls, int(req.lastGrantSeq-dg.lastGrantSeq))
	}
	d.requests.refresh(req, s.now)
	if !d.coordinated {
		d.coordinated = true
		s.coordinated = append(s.coordinated, d)
	}
}

// issueGrants issues grants for the destinations that this node coordinates, as far as they have room, and answers all
// other requests. It reports whether this node granted a call to itself.
func (s *Sender) issueGrants() (toSelf bool) {
	s.expireRequests()
	for _, d := range s.coordinated {
		for req := d.requests.head(s.now); req != nil; req = d.requests.head(s.now) {
			e := s.endpointWithRoom(d, req.preferredRoute)
			if e == nil {
				break
			}
			f := e.route.fleetRoute
			if f.tokens--; f.circuitOpen {
				f.trialInFlight, f.lastTrialAt = true, s.now
			}
			req.calls--
			req.answerOwed = false
			req.lastGrantSeq++
			req.lastGrantAt = s.now
			d.requests.reposition(req, s.now)
			toSelf = toSelf || req.from == s.cfg.Number
			s.sendDatagram(req.from, datagram{kind: datagramGrant, dest: d.id, route: s.routeID(e), seq: req.lastGrantSeq, count: 1})
		}
		d.requests.answerPending(func(req *grantRequest) {
			s.sendDatagram(req.from, datagram{kind: datagramGrant, dest: d.id, seq: req.lastGrantSeq})
		})
	}
	return toSelf
}

// before orders the requests for grants: first the one whose message has the highest worth, and among equals the one
// that has waited longest.
func (r *grantRequest) before(other *grantRequest) bool {
	return cmp.Or(cmp.Compare(other.urgency, r.urgency), cmp.Compare(r.waitingSince, other.waitingSince), r.firstSeenOrder-other.firstSeenOrder) < 0
}

// endpointWithRoom finds an endpoint whose route has room for another call of the fleet: on the preferred route if
// possible, and otherwise on the route with most room.
func (s *Sender) endpointWithRoom(d *destination, preferred uint16) (best *endpoint) {
	for _, e := range d.endpoints {
		f := s.fleetRoute(e)
		s.refill(f)
		if f.trialInFlight && s.now >= f.lastTrialAt+fleetTrialTimeout {
			f.trialInFlight = false
		}
		if !e.usable() || s.now < f.waitUntil || f.tokens < 1 || (f.circuitOpen && (f.trialInFlight || s.now < f.nextTrialAt)) {
			continue
		}
		if s.routeID(e) == preferred {
			return e
		}
		if best == nil || f.tokens > best.route.fleetRoute.tokens {
			best = e
		}
	}
	return best
}

// estimatedLimit is the estimated limit of a route that reports none and has refused calls: the rate of its best
// second, growing with time. Nodes that cannot exchange datagrams estimate it each for themselves.
func (s *Sender) estimatedLimit(r *route) float64 {
	if r.lastCutAt == 0 || r.limitReported || (!r.fleetWide && s.sharesLimits()) {
		return 0
	}
	return float64(r.bestRate(s.now) * (1 + float64(estimateGrowthPerSecond*seconds(s.now-r.lastCutAt))))
}

// startCold treats a route with a known limit as cold if this node remembers nothing of it: destinations may be
// starting at the same time as the fleet.
func (s *Sender) startCold(e *endpoint, f *route) {
	if s.cfg.ColdStart && s.limit(f) > 0 && s.now-e.dest.requester.firstSeenAt < s.cfg.WarmUpTime {
		s.startRecovery(f)
		f.limitShare = float64(f.limitShare * takeoverShare) // coordinators of other ranks that are not heard may begin as well
	}
}

// handleOutage handles, as the coordinator of a destination, the report of a node that met an outage of a route while
// it got no answer from this coordinator. The coordinator then treats the route as recovering, or opens its circuit if
// open is set. The reason: nodes that were cut off from the coordinator and come back all at once must not be granted
// more calls than a cold destination can take.
//
// The report is ignored in three cases: the coordinator itself has the circuit of the route open or the route in
// recovery; by its age, the reported recovery began more than WarmUpTime ago; or the coordinator was told of a
// successful call on the route, by any node, less than recentSuccessTime ago.
func (s *Sender) handleOutage(e *endpoint, open bool, age time.Duration) {
	f := s.fleetRoute(e)
	if f.recovering() || age > s.cfg.WarmUpTime || (f.lastSuccessAt > 0 && s.now-f.lastSuccessAt < recentSuccessTime) {
		return
	}
	s.startRecovery(f)
	if f.recoveryStartedAt = max(s.now-age, 1); open {
		s.openCircuit(f)
	}
}

// restoreRoute takes over what an earlier process knew of a route: the share of its limit, if it was the coordinator,
// and an outage. By now the destination may be back and cold, or has been cold for some time.
func (s *Sender) restoreRoute(e *endpoint, remembered RememberedRoute, age time.Duration, trust float64) {
	r := e.route
	if remembered.LimitShare > 0 && s.sharesLimits() && s.coordinator(e.dest, 0) == s.cfg.Number {
		r = s.fleetRoute(e)
		r.limitShare, r.limitShareUpdatedAt = 1-float64(trust*(1-min(remembered.LimitShare, 1))), s.now
	}
	coldFor, warmUp := remembered.ColdFor+age, s.cfg.WarmUpTime
	if (remembered.CircuitOpen && age < warmUp || remembered.ColdFor > 0 && coldFor < warmUp) && !r.recovering() {
		s.startRecovery(r)
		if !remembered.CircuitOpen {
			r.recoveryStartedAt = max(s.now-coldFor, 1)
		}
	}
}

// handleCallEnd handles the end of a call that any node made, as the coordinator.
func (s *Sender) handleCallEnd(e *endpoint, from int, o Outcome, wait time.Duration) {
	f := s.fleetRoute(e)
	f.trialInFlight = false
	if req := e.dest.requests.byNode[from]; req != nil && (o == ConnectFailed || o == Success) {
		if req.deferredUntil = 0; o == ConnectFailed {
			req.deferredUntil = s.now + connectFailureDeferral
		}
		e.dest.requests.reposition(req, s.now)
	}
	if o == ConnectFailed && s.now-f.lastSuccessAt < recentSuccessTime && f.lastSuccessAt > 0 {
		return // other nodes get connections, so the list of this one is stale
	}
	switch outage := wait > minOutageRetryAfter; {
	case o == NotSent: // the call was not made, so its token is free again
		f.tokens++
	case o == Cancelled:
	case o == Success:
		s.recordSuccess(f)
		f.refusedShare = float64(f.refusedShare * (1 - fleetRefusalSmoothing))
		f.lastSuccessAt = s.now
	case o == Rejected && !outage && !f.circuitOpen:
		f.refusedShare += float64(fleetRefusalSmoothing * (1 - f.refusedShare))
		if f.refusedShare > fleetRefusalThreshold && s.now-f.lastCutAt >= fleetCutInterval {
			f.lastCutAt, f.limitShareUpdatedAt = s.now, s.now
			f.limitShare = max(minFleetShare, f.limitShare*fleetShareCutFactor)
			f.tokens = min(f.tokens, 0)
			if f.refusalBackoff > 0 {
				f.waitUntil = s.now + f.refusalBackoff
			}
			f.refusalBackoff = min(max(2*f.refusalBackoff, minRefusalBackoff), maxFleetRefusalBackoff)
		}
	default:
		s.recordFailure(e.dest, f, outage, o == Rejected || o == ConnectFailed)
	}
}
