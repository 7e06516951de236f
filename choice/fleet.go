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
	coordinatorRanks          = 4                      // senders that are tried as a keeper, one after another
	fleetRecoveryBurstSeconds = 0.05                   // seconds of the fleet's pace that may go at once after an outage
	requestRetryInterval      = 150 * time.Millisecond // an ask is said again after this,
	requestRefreshInterval    = 400 * time.Millisecond // and after this if it was answered
	maxGrantTransitTime       = 100 * time.Millisecond // a grant has come by then, or is lost
	maxMissedRequests         = 3                      // and a keeper that has not answered so many is taken for gone
	requestTTL                = time.Second            // an ask not said again for so long is forgotten
	coordinatorSeekInterval   = time.Second            // who is alone or with a later keeper tries another so often
	grantTTL                  = 200 * time.Millisecond // a grant that is not used is given back
	fleetTrialTimeout         = 2 * time.Second        // a trial of which nothing is heard for so long is taken for lost
	fleetShareCutFactor       = 0.7                    // factor on the pace of all at refusals over the limit,
	connectFailureDeferral    = 2 * time.Second        // who got no connection comes after the others for so long
	recentSuccessTime         = 500 * time.Millisecond // an outage lets nobody else's call pass for so long
	fleetRefusalSmoothing     = 0.1                    // weight of a call in the share of refusals over the limit,
	fleetRefusalThreshold     = 0.2                    // which tells that the pace is too high: a few come at any pace
	fleetCutInterval          = 250 * time.Millisecond // once for those of calls that were out together
	minFleetShare             = 0.05                   // least share of the limit that all together try
	maxFleetRefusalBackoff    = time.Second            // longest rest of all after refusals in a row
	partitionTimeout          = 30 * time.Second       // who is gone without a word may call on elsewhere so long
	takeoverShare             = 0.5                    // part of the limit that a keeper begins with
	takeoverGrowthPerSecond   = 1.0                    // growth a second of it, while next to nothing is refused
	memoryDecayTime           = 30 * time.Second       // what an earlier process had learnt fades in this
	coordinatorSilenceTimeout = 600 * time.Millisecond // a keeper without an answer for so long is silent
	allowanceDecayTime        = 10 * time.Second       // in which an allowance goes from what was granted to an even part
	allowanceCutFactor        = 0.5                    // factor on it at a refusal over the limit,
	allowanceGrowthPerSecond  = 0.05                   // and what comes back a second
	estimateGrowthPerSecond   = 0.1                    // share by which a limit that was found is tried higher, a second
	slowStartRate             = 5.0                    // calls a second that a fleet begins with where no limit is told,
	slowStartFactor           = 2.0                    // and times its best second from there, until some are refused
)

// met takes what membership tells of another sender. Who asked one that is gone asks the next at once.
func (s *Sender) handleMemberChanged(e MemberChanged) {
	s.updateMembers(e)
	for _, d := range s.destinationOrder {
		if c, former := &d.requester, s.coordinator(d, d.requester.coordinatorRank); s.rankCoordinators(d, c.coordinatorRank) != former {
			c.coordinatorRank, c.missedRequests, c.pendingCalls, c.uncoordinated = 0, 0, 0, false
		}
	}
}

// here is the part of a limit for those who are seen. The others may be cut off, and take theirs there.
func (s *Sender) reachableShare() float64 {
	unreachable := 0
	for _, at := range s.lostMembers {
		if s.now-at < partitionTimeout {
			unreachable++
		}
	}
	return 1 - float64(unreachable)/float64(s.cfg.FleetSize)
}

// beginAt is the part of a limit with which this sender begins to keep it. Those before it in rank may keep
// it still, and not be heard by all: so each rank begins with half of the one before, and all that believe
// themselves keeper begin with less than twice the limit together. Passes make it grow.
func (s *Sender) initialFleetShare(d *destination) float64 {
	share := 1.0
	if s.lostMembers != nil {
		share = takeoverShare
	}
	for rank := 0; rank < coordinatorRanks && s.coordinator(d, rank) != s.cfg.Number; rank++ {
		share *= takeoverShare
	}
	return share
}

// claims asks for what the waiting messages could use now.
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

// wanted counts the messages that could go out if they were granted, the worth of the best of them as a share
// of the best there is, and the route that is drawn for it.
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

// missed counts an ask without an answer: a silent keeper is given up for the next, and after the last of
// them the sender goes on alone, on its allowance.
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

// allowance is what an arrival adds to the calls that this sender may make on its own while its keeper is
// silent, and what a second adds. An arrival adds the part of a call that arrivals of late were granted: over
// all senders that adds up to what the keeper gave, however few messages each holds. With time it goes over
// to an even part of the limit. So those who hear nobody stay about within the limit together, whatever each
// of them believes; a keeper that some do hear grants these no more than the limit, and both together are
// under twice that, until the refusals cut both.
func (s *Sender) allowance(d *destination) (perArrival, perSecond float64) {
	c := &d.requester
	for i, e := range d.endpoints {
		if e.usable() && (i == 0 || s.hasSeparateRoutes(d)) {
			perSecond += s.limit(e.route) / float64(s.cfg.FleetSize)
		}
	}
	grantWeight := math.Exp(-seconds(s.now-c.answeredAt) / seconds(allowanceDecayTime))
	if perSecond > 0 {
		perArrival, perSecond = c.allowanceFactor*grantWeight*c.grantedShare, perSecond*c.allowanceFactor*(1-grantWeight)
	} else { // nobody has told a limit: refusals alone bind
		perArrival, perSecond = c.allowanceFactor, c.allowanceFactor*d.arrivalRate(s.now)
	}
	if coldSince := max(c.lastFailureAt, s.uncoordinatedSince(c)); coldSince > 0 && s.now-coldSince < s.cfg.WarmUpTime { // it may be back cold
		perArrival, perSecond = perArrival*s.cfg.ColdCapacity, perSecond*s.cfg.ColdCapacity
	}
	return perArrival, perSecond
}

// onAllowance tells that the destination's keeper has been silent for so long that a call may go out without
// it, or that there is none. While one may still come, nothing goes out on the way back from an outage: the
// cold budget is its.
func (s *Sender) withinAllowance(e *endpoint) bool {
	c, r := &e.dest.requester, e.route
	coordinatorAnswers := c.answeredAt >= c.requestedAt || s.now-c.unansweredSince < coordinatorSilenceTimeout
	if !c.uncoordinated && (coordinatorAnswers || r.recovering() || r.failures > 0) {
		return false
	}
	elapsed := seconds(max(s.now-c.allowanceRefilledAt, 0))
	_, perSecond := s.allowance(e.dest)
	c.allowanceFactor = min(1, c.allowanceFactor+allowanceGrowthPerSecond*elapsed*max(c.allowanceFactor, 1/float64(s.cfg.FleetSize)))
	c.allowanceTokens = min(c.allowanceTokens+perSecond*elapsed, max(c.allowanceTokens, 1))
	c.allowanceRefilledAt = max(c.allowanceRefilledAt, s.now)
	return c.allowanceTokens >= 1
}

// seek asks an earlier keeper, or when alone each in turn, whether it is there.
func (s *Sender) seekCoordinator(d *destination) {
	c := &d.requester
	if s.now-c.lastSeekAt < coordinatorSeekInterval {
		return
	}
	c.lastSeekAt = s.now
	rank := 0
	if c.seekTurn++; c.uncoordinated && c.seekTurn%2 == 0 { // the first in between: all should come back to the same
		rank = c.seekTurn / 2 % max(len(d.coordinators), 1)
	}
	s.reportOutages(d, s.coordinator(d, rank))
	s.sendRequest(d, s.coordinator(d, rank), 0, 0, 0)
}

// tellKeeper reports a call's end to whoever keeps the destination's limit.
func (s *Sender) reportCallEnd(ep *endpoint, o Outcome, wait time.Duration) {
	if o == ConnectFailed && s.othersAvailable(ep) {
		o = NotSent // of that endpoint alone
	}
	if s.needsGrant(ep.dest) && !s.sendsPaused { // what it knows may be long past
		s.sendDatagram(s.coordinator(ep.dest, ep.dest.requester.coordinatorRank), datagram{
			kind: datagramCallEnd, dest: ep.dest.id, route: s.routeID(ep), outcome: o, wait: wait,
		})
	}
}

// grantedBy takes a keeper's answer, which may grant nothing yet. What is not needed then is given back.
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
			c.recentGrants, c.recentGrantsUpdatedAt = c.grantRate(s.now)*seconds(demandDecayTime)+1, s.now
			c.grants = append(c.grants, grant{dg.route, s.now + grantTTL})
			c.pendingCalls = max(c.pendingCalls-1, 0)
		}
	}
}

// asked takes an ask, as the keeper.
func (s *Sender) handleRequest(d *destination, from int, dg datagram) {
	if !slices.ContainsFunc(d.endpoints, (*endpoint).usable) {
		return // of a destination that is not known here others can tell more
	}
	if from != s.cfg.Number {
		if s.now-d.lastPeerRequestAt > requestTTL { // they may come from another keeper, or from none
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
	if s.now-req.lastGrantAt < maxGrantTransitTime { // the ask does not know of what has crossed it
		req.calls -= min(req.calls, int(req.lastGrantSeq-dg.lastGrantSeq))
	}
	d.requests.refresh(req, s.now)
	if !d.coordinated {
		d.coordinated = true
		s.coordinated = append(s.coordinated, d)
	}
}

// grant grants what the destinations kept here have room for, and answers all that asked. It tells whether
// something was granted to this sender itself.
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

// before tells who is granted a call first: whose message is worth most, and of these the one that has waited
// longest. Who got no connection of late comes last: its list may be old, and then its calls and trials tell
// nothing.
func (r *grantRequest) before(other *grantRequest) bool {
	return cmp.Or(cmp.Compare(other.urgency, r.urgency), cmp.Compare(r.waitingSince, other.waitingSince), r.firstSeenOrder-other.firstSeenOrder) < 0
}

// fleetRoom is an endpoint whose route takes another call of the fleet now: one of the route that was drawn
// by who asks, or else of that with most room.
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

// found is what is taken as the limit of a route that tells none and has refused: what it passed in its best
// second, and more with time. Senders that can't tell one another anything find each its own.
func (s *Sender) estimatedLimit(r *route) float64 {
	if r.lastCutAt == 0 || r.limitReported || (!r.fleetWide && s.sharesLimits()) {
		return 0
	}
	return r.bestRate(s.now) * (1 + estimateGrowthPerSecond*seconds(s.now-r.lastCutAt))
}

// begin takes a route whose limit is told for cold where nothing is remembered of it: partners may start too.
func (s *Sender) startCold(e *endpoint, f *route) {
	if s.cfg.ColdStart && s.limit(f) > 0 && s.now-e.dest.requester.firstSeenAt < s.cfg.WarmUpTime {
		s.startRecovery(f)
		f.limitShare *= takeoverShare // those of other ranks may not be heard, and begin as well
	}
}

// fleetStruck takes an outage that another sender has met while it heard no keeper, as the keeper: those who
// come back all at once must not be granted what a cold destination can't do. Others who get through know
// better.
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

// recallRoute takes over what an earlier process knew of a route: the part of its limit that it kept, and an
// outage, for the destination may be back cold by now, or has been cold for longer.
func (s *Sender) restoreRoute(e *endpoint, remembered RememberedRoute, age time.Duration, trust float64) {
	r := e.route
	if remembered.LimitShare > 0 && s.sharesLimits() && s.coordinator(e.dest, 0) == s.cfg.Number {
		r = s.fleetRoute(e)
		r.limitShare, r.limitShareUpdatedAt = 1-trust*(1-min(remembered.LimitShare, 1)), s.now
	}
	coldFor, warmUp := remembered.ColdFor+age, s.cfg.WarmUpTime
	if (remembered.CircuitOpen && age < warmUp || remembered.ColdFor > 0 && coldFor < warmUp) && !r.recovering() {
		s.startRecovery(r)
		if !remembered.CircuitOpen {
			r.recoveryStartedAt = max(s.now-coldFor, 1)
		}
	}
}

// fleetHeard takes the end of any sender's call, as the keeper.
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
		return // others get through: who does not has an old list
	}
	switch outage := wait > minOutageRetryAfter; {
	case o == NotSent: // it was not made, or not taken: the destination has room for another
		f.tokens++
	case o == Cancelled:
	case o == Success:
		s.recordSuccess(f)
		f.refusedShare *= 1 - fleetRefusalSmoothing
		f.lastSuccessAt = s.now
	case o == Rejected && !outage && !f.circuitOpen:
		f.refusedShare += fleetRefusalSmoothing * (1 - f.refusedShare)
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
