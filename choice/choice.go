// Package choice decides for a delivery node: refuse or admit a message, when to send it, to which endpoint,
// whether to try again, when to give up. Its interface (Settings, Events, Actions) is in types.go and its
// bare state in state.go; every decision, table and tuned value is here. A Sender is a deterministic state
// machine: time comes with Step, randomness from the seed, and it shares nothing with other senders.
package choice

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// Gate. Bounds of the response ratio are the paper's best, BBC 60-80.
	gateUpperRatio, gateLowerRatio = 80, 60
	// The ratio bounds cannot act before a slow destination's messages expire, so shares of the deadline do.
	gateUpperDeadlineShare, gateLowerDeadlineShare = 0.5, 1.0 / 3
	smoothingFactor                                = 0.2               // weight of a sample when they come often
	gateSmoothingTime                              = 2 * time.Second   // after a silence this long a sample weighs more
	baselineRiseTime                               = 120 * time.Second // the baseline grows by a factor e in this time
	// A failed attempt counts for so many aims at least: it reads ill, but holding through an outage beats
	// refusing, so it must not shut the gate alone. The hold that follows does when it grows too long.
	failurePenaltyAims = 1.0
	minResponseTime    = 5 * time.Millisecond   // keeps ratios finite
	gateTrialInterval  = 500 * time.Millisecond // pause between trial messages of a shut, idle gate

	// Health of a route.
	failureRateSmoothing    = 0.05                    // weight of a call in the share of failures met everywhere
	maxRandomRunProbability = 0.02                    // a run of failures less likely than this by that share is no luck
	minOutageRetryAfter     = 2200 * time.Millisecond // a told wait longer than any limit's span means shut
	minTrialBackoff         = 250 * time.Millisecond  // half-open trials: first pause,
	minEjectionTime         = 1 * time.Second         // an endpoint without connections is left alone so long at first,
	maxEjectionTime         = 10 * time.Second        // and at the longest
	maxTrialBackoff         = 1000 * time.Millisecond // and the longest, a fraction of the outages worth noticing
	failuresToOpen          = 3                       // failures in a row that make an outage where they are rare,
	sustainedFailureTime    = 2 * time.Second         // one less if none passed for so long,
	rareCallCount           = 0.5                     // or where we have so few calls in that time
	// Rule four counts the load of knowing senders; a tenth less than all of it leaves room for chance.
	evenColdShare = 0.9
	// Of its own demand a sender takes less, for a busy destination may be asked for more than it can do.
	demandColdShare = 0.4
	maxWeightError  = 1.5 // a rough weight may be this many times too high

	// Connections.
	connTableFullTime   = 30 * time.Second // idle connections of a kind are given back so long after a sign
	connTableSmoothing  = 0.1              // of full tables: by a smoothed share, weighing a call so much,
	connTableFullExcess = 0.4              // so many more calls are refused over new connections than over kept ones

	// Slots.
	slowCallFactor       = 5                      // a call older than so many usual times makes its destination slow
	minSlowCallTime      = 700 * time.Millisecond // but not before this, or noise would
	slotUseDecayTime     = 2 * time.Second        // slot time fades from memory in this span
	slotChargePerCall    = 10 * time.Millisecond  // slot time booked at once, so that sends of one moment take turns
	maxImpairedSlotShare = 0.4                    // share of the slots that all slow destinations together may hold

	// Pacing.
	shareCutFactor       = 0.5                    // factor on this sender's part at a refusal over the limit
	shareGrowthPerSecond = 0.25                   // growth a second while calls pass, of the part or an even share
	demandDecayTime      = 10 * time.Second       // this sender's own demand is what arrived of late
	burstSeconds         = 0.25                   // seconds of pace that may go at once
	minRefusalBackoff    = 120 * time.Millisecond // first rest after a refusal that told no wait

	// Attempts.
	timeoutLatencyFactor = 6                      // time-out in usual times, where a repeat is allowed,
	timeoutFailureFactor = 1.5                    // growing with each failure in a row, lest a slow one never pass
	minTimeoutAims       = 0.5                    // and this share of the aim at least: a repeat still fits in it,
	maxTimeoutAims       = 2.0                    // and at most so many aims
	retryBackoffBase     = 100 * time.Millisecond // rest of a message after a failure, doubled each time
	pickLatencyExponent  = 2                      // odds of an endpoint fall with this power of its response
	minWakeInterval      = 10 * time.Millisecond  // wakes are this far apart at least,
	waitingPollInterval  = 30 * time.Millisecond  // and this far while something waits
	answerMargin         = 15 * time.Millisecond  // final answers are given this long before the deadline
)

// New returns the decision maker of a delivery node that has just started.
func New(cfg Settings, seed uint64) *Sender {
	source := rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)
	s := &Sender{
		cfg: cfg, rngSource: source, rng: rand.New(source),
		destinations: map[int]*destination{}, endpoints: map[string]*endpoint{}, messages: map[string]*message{},
		keyQueues: map[string][]*message{}, keyBlockedUntil: map[string]time.Duration{}, inFlight: map[attempt]inFlightAttempt{},
		tenants: make([]tenant, len(cfg.Tenants)), connTableFullUntil: map[int]time.Duration{}, connTables: map[int]connTableStats{},
		disabledEndpoints: map[string]bool{},
	}
	s.cfg.FleetSize = max(cfg.FleetSize, 1)
	if cfg.ListOnRequest {
		s.listRequestAt = 1 // at once
	}
	return s
}

// Step takes the events of a moment and returns what to do about them, in order.
func (s *Sender) Step(now time.Duration, events []Event) []Action {
	s.now, s.actions = now, nil
	// Lists and operators first: a drain acts in the step that told of it.
	for _, e := range events {
		switch e := e.(type) {
		case ListUpdate:
			s.handleListUpdate(e)
		case EndpointDisabled:
			s.setDisabled(e.Endpoint, true)
		case EndpointEnabled:
			s.setDisabled(e.Endpoint, false)
		case MemberChanged:
			s.handleMemberChanged(e)
		case MemoryRestored:
			s.handleMemoryRestored(e)
		case SendsPaused:
			s.sendsPaused = e.On
		}
	}
	for _, e := range events {
		switch e := e.(type) {
		case MessageArrived:
			s.handleArrived(e)
		case MessageResumed:
			s.handleResumed(e)
		case AttemptEnded:
			s.handleAttemptEnded(e)
		case ProbeEnded:
			s.handleProbeEnded(e)
		case DatagramReceived:
			s.handleDatagramReceived(e)
		case MessageDropped:
			if m := s.messages[e.ID]; m != nil {
				s.finish(m, nil)
			}
		case WakeDue:
			s.nextWakeAt = 0 // a rounded clock may ring a little before the time
		case ShuttingDown:
			s.shuttingDown = true
			s.handOverLimits(e)
		}
	}
	if s.listRequestAt > 0 && now >= s.listRequestAt {
		s.listRequestAt = 0
		s.emit(RequestList{})
	}
	s.expireMessages()
	if !s.shuttingDown && !s.sendsPaused { // what is held goes on in the next life, or once it is known what holds
		s.sendWaiting()
		if s.sharesLimits() {
			if s.requestGrants(); s.issueGrants() {
				s.sendWaiting()
			}
		}
		s.preempt()
	}
	s.closeIdleConns()
	s.scheduleWake()
	return s.actions
}

// setOut takes an endpoint out or puts it back, whatever its health and the list. Who takes one out most
// likely restarts it, so it is taken for cold on its return.
func (s *Sender) setDisabled(id string, disabled bool) {
	wasDisabled := s.disabledEndpoints[id]
	if s.disabledEndpoints[id] = true; !disabled {
		delete(s.disabledEndpoints, id)
	}
	e := s.endpoints[id]
	if e == nil {
		return
	}
	if e.disabled = disabled; wasDisabled && !disabled {
		e.route.failures = 0
		s.startRecovery(e.route)
	}
}

// arrived admits a message or refuses it at once.
func (s *Sender) handleArrived(e MessageArrived) {
	if s.messages[e.ID] != nil {
		return
	}
	m, d := s.registerMessage(e)
	if !s.admit(d, m) {
		s.finish(m, Refuse{ID: m.id, RetryAfter: s.retryAfter(d)})
		return
	}
	s.queueMessage(m, e.Key)
}

// resumed takes back a message from before a restart. It was admitted then, so no gate is asked; what may
// have run already and may not be repeated ends here. A failure known from before may have been an outage's,
// whose end this life did not see: the way back there is taken as cold.
func (s *Sender) handleResumed(e MessageResumed) {
	if s.messages[e.ID] != nil {
		return
	}
	m, d := s.registerMessage(e.MessageArrived)
	m.attempts, m.mayHaveRun = e.Attempts, e.MayHaveRun && m.class.Effect != Idempotent
	m.firstRunSentAt, m.runZone, m.resumed = e.FirstRunSentAt, e.Zone, true
	pastWindow := m.mayHaveRun && m.class.Effect == Deduplicated && s.now >= s.dedupWindowEnd(m)
	if (m.mayHaveRun && m.class.Effect == AtMostOnce) || pastWindow || s.attemptsExhausted(m) || s.now >= m.deadline-answerMargin {
		s.giveUp(m)
		return
	}
	for _, ep := range d.endpoints {
		if r := ep.route; e.Failed && !r.recovering() {
			s.startRecovery(r)
		}
	}
	s.queueMessage(m, e.Key)
}

// admit asks the gate, at arrival. Beside the paper's ratio stand two departures: the deadline bounds, and
// a share of the room for held messages, since one backlog must not turn everybody else's messages away.
func (s *Sender) admit(d *destination, m *message) bool {
	if s.cfg.MaxOpenMessages > 0 && len(d.waiting) > s.cfg.MaxOpenMessages-len(s.openMessages) {
		return false
	}
	if d.gate.accepts(d.gate.average, seconds(m.class.Deadline)) {
		return true
	}
	// Shut: with nobody held or out, a single trial message lets the ratio fall.
	if len(d.waiting) == 0 && len(d.calls) == 0 && s.now-d.lastGateTrialAt >= gateTrialInterval {
		d.lastGateTrialAt = s.now
		return true
	}
	return false
}

// accepts moves the gate between its bounds and tells whether it is open.
func (g *gate) accepts(current, deadline float64) bool {
	base := max(g.baseline, seconds(minResponseTime))
	upper, lower := gateUpperRatio*base, gateLowerRatio*base
	if deadline > 0 {
		upper, lower = min(upper, gateUpperDeadlineShare*deadline), min(lower, gateLowerDeadlineShare*deadline)
	}
	g.shut = current > upper || (g.sampled && g.shut && current >= lower)
	return !g.shut
}

// retryAfter asks a refused client to stay away for about as long as the backlog lasts.
func (s *Sender) retryAfter(d *destination) time.Duration {
	after := s.cfg.MaxRetryAfter
	if d.gate.sampled && !d.gate.shut {
		after = min(after, duration(d.gate.average))
	}
	return after
}

// mayRefuse tells whether a refusal promises the truth, that coming again is harmless.
func (s *Sender) refusalIsSafe(m *message) bool {
	if m.class.Effect == Idempotent || (m.inFlight == 0 && !m.mayHaveRun) {
		return true
	}
	return m.class.Effect == Deduplicated && m.mayHaveRun && m.class.AllEndpointsDeduplicate && s.now <= s.dedupWindowEnd(m)
}

// giveUp ends a message as its effect allows.
func (s *Sender) giveUp(m *message) {
	if s.refusalIsSafe(m) {
		s.finish(m, Refuse{ID: m.id, RetryAfter: s.retryAfter(m.dest)})
	} else {
		s.finish(m, Fail{ID: m.id})
	}
}

// expire gives every open message its end in time, and sweeps out the ended.
func (s *Sender) expireMessages() {
	s.openMessages = slices.DeleteFunc(s.openMessages, func(m *message) bool {
		switch {
		case m.ended:
		case s.now >= m.deadline-answerMargin-s.cfg.Tick && m.inFlight == 0, s.now >= m.deadline:
			s.giveUp(m)
		case m.mayHaveRun && m.inFlight == 0 && m.class.Effect == Deduplicated && s.now >= s.dedupWindowEnd(m)-2*waitingPollInterval:
			s.giveUp(m) // soon it could neither be sent nor refused
		}
		return m.ended
	})
}

// ended takes the outcome of an attempt.
func (s *Sender) handleAttemptEnded(e AttemptEnded) {
	key := attempt{e.ID, e.Attempt}
	m, c := s.inFlight[key].message, s.inFlight[key].call
	if c == nil {
		return
	}
	delete(s.inFlight, key)
	if c.unfinished--; c.unfinished == 0 {
		s.releaseSlot(c)
	}
	s.applyReport(c.endpoint.route, e.Report)
	s.updateHealth(c, e)
	if !s.isStaleConnReset(c, e) && c.unfinished == 0 {
		s.reportCallEnd(c.endpoint, e.Outcome, e.RetryAfter)
	}
	m.inFlight--
	mayHaveRun := e.Outcome == ServerError || e.Outcome == TimedOut || e.Outcome == ConnReset || e.Outcome == Cancelled
	if mayHaveRun && m.class.Effect != Idempotent && (!m.mayHaveRun || c.sentAt < m.firstRunSentAt) {
		m.mayHaveRun, m.firstRunSentAt, m.runZone = true, c.sentAt, c.endpoint.zone
	}
	if mayHaveRun && e.Outcome != ServerError && m.key != "" {
		s.keyBlockedUntil[m.key] = max(s.keyBlockedUntil[m.key], s.now+s.cfg.OrderedPause)
	}
	if m.ended {
		return // ended meanwhile; its turn and its key had to hear of the outcome all the same
	}
	staleReset := s.isStaleConnReset(c, e)
	if !staleReset {
		s.sampleGate(m, c, e.Outcome)
	}
	switch {
	case e.MessageDone || e.Outcome == Success:
		s.finish(m, nil)
	case m.inFlight > 0: // another copy is out and may still pass
	case s.now >= m.deadline-answerMargin, mayHaveRun && m.class.Effect == AtMostOnce, s.attemptsExhausted(m):
		s.giveUp(m)
	default:
		if !staleReset && (mayHaveRun || e.Outcome == ConnectFailed) {
			m.retryAt = s.now + retryBackoffBase<<min(m.attempts, 16)
		}
		s.enqueue(m)
	}
}

// stray tells that a call was lost with its connection. An endpoint may close an idle one at any moment, and
// a call that crosses the close is reset before it could be answered: no sign of an outage or of slowness.
// If the endpoint is down, the next call, over a new connection, tells.
func (s *Sender) isStaleConnReset(c *call, e AttemptEnded) bool {
	return e.Outcome == ConnReset && e.ReusedConn && seconds(e.Took) < c.endpoint.smoothedLatency/2
}

// sample is the one place that turns outcomes into gate samples. Whatever did not deliver is charged as slow,
// or fast errors would make the ratio read healthy while everything is rejected; a refusal for being over a
// limit is pacing news and no sample, for the hold that follows shows in the final one. Of a message held
// through an outage only the time since the return counts (the call itself in any case): its hold says
// nothing of what a new one would meet, and the old backlog kept the gate shut for messages that could be
// in time.
func (s *Sender) sampleGate(m *message, c *call, o Outcome) {
	sec := seconds(s.now - max(m.arrivedAt, min(c.endpoint.route.recoveryStartedAt, c.sentAt)))
	switch o {
	case Success:
	case NotSent, Cancelled:
		return
	case Rejected:
		if !m.dest.allCircuitsOpen() {
			return
		}
		fallthrough
	default:
		sec = max(sec, failurePenaltyAims*seconds(m.aim))
	}
	m.dest.gate.sample(s.now, sec)
}

// judge updates the health of an endpoint and its route from an outcome.
func (s *Sender) updateHealth(c *call, e AttemptEnded) {
	ep, r, took := c.endpoint, c.endpoint.route, max(seconds(e.Took), seconds(minResponseTime))
	if c.trial {
		r.trialInFlight = false
	}
	if s.isStaleConnReset(c, e) {
		return
	}
	if s.sampleConnTable(ep.dest.kind, e) > connTableFullExcess {
		s.connTableFullUntil[ep.dest.kind] = s.now + connTableFullTime
	}
	switch e.Outcome {
	case Success:
		ep.smoothedLatency, ep.ejectionTime = smooth(ep.smoothedLatency, took), 0
		ep.penalizedLatency = smooth(ep.penalizedLatency, took)
		if r.failures > 0 && r.failureRanNothing && !r.circuitOpen {
			s.connTableFullUntil[ep.dest.kind] = s.now + connTableFullTime // no connection, then a pass: a full table
		}
		s.recordSuccess(r)
	case NotSent:
	case Rejected:
		// Refusals in a row rest longer each time, over a limit or shut. They are no outage by themselves:
		// a large fleet meets three in a row at any busy limit.
		if s.now-r.waitUntil > r.refusalBackoff {
			r.refusalBackoff = minRefusalBackoff
		} else if s.now >= r.waitUntil { // no fellow of the call that told of it
			r.refusalBackoff *= 2
		}
		if backoff := r.refusalBackoff; s.needsGrant(ep.dest) {
			r.waitUntil = max(r.waitUntil, s.now+e.RetryAfter) // for the rest the keeper holds back grants
		} else {
			r.waitUntil = max(r.waitUntil, s.now+max(e.RetryAfter, backoff))
		}
		ep.penalizedLatency = smooth(ep.penalizedLatency, 2*max(ep.penalizedLatency, took))
		// Refused where there is no limit: a full queue, as of a destination that hangs.
		queueFull := r.limitReported && r.reportedLimit == 0
		if outage := e.RetryAfter > minOutageRetryAfter; outage || queueFull || r.circuitOpen {
			s.recordFailure(ep.dest, r, outage, true)
		} else if e.RetryAfter > 0 || e.ReusedConn || s.now >= s.connTableFullUntil[ep.dest.kind] { // else a full table's
			s.cutShare(ep.dest, r)
			if c := &ep.dest.requester; c.answeredAt < c.requestedAt {
				c.allowanceFactor *= allowanceCutFactor
			}
		}
	default:
		ep.penalizedLatency = smooth(ep.penalizedLatency, max(2*ep.penalizedLatency, took, seconds(minSlowCallTime)))
		ep.dest.requester.lastFailureAt = s.now
		if e.Outcome == ConnectFailed && s.eject(ep) {
			return
		}
		s.recordFailure(ep.dest, r, false, e.Outcome == ConnectFailed)
	}
	if c.unfinished == 0 && e.Outcome != ConnectFailed && e.Outcome != NotSent {
		s.idleCandidates = append(s.idleCandidates, ep)
	}
}

// shun leaves an endpoint that takes no connection alone for a while, longer each time, and tells whether
// others of its route are left: then it has most likely gone, the list is late, and the route is not struck.
func (s *Sender) eject(ep *endpoint) (othersAvailable bool) {
	if s.now >= ep.ejectedUntil {
		ep.ejectionTime = min(max(2*ep.ejectionTime, minEjectionTime), maxEjectionTime)
		ep.ejectedUntil = s.now + ep.ejectionTime
	}
	return s.othersAvailable(ep)
}

// giveBack closes idle connections that stand in other senders' way: an endpoint's table may be small, idle
// ones counted, and a large fleet fills it. It acts where the connection would be closed before its next use
// anyway, and at a kind where tables seem full: that costs handshakes while the sign lasts, and what waits
// for its pace or a rest waits without a connection. One that this step's calls take is no idle one.
func (s *Sender) closeIdleConns() {
	for _, ep := range s.idleCandidates {
		rarelyCalled := s.cfg.IdleConnTimeout > 0 && (ep.sendInterval == 0 || ep.sendInterval > seconds(s.cfg.IdleConnTimeout))
		if ep.lastSentAt < s.now && (rarelyCalled && len(ep.dest.waiting) == 0 || s.now < s.connTableFullUntil[ep.dest.kind]) {
			s.emit(CloseIdle{Endpoint: ep.id})
		}
	}
	s.idleCandidates = s.idleCandidates[:0]
}

// cut lowers this sender's part of the limit at a refusal. It knows its part by its own demand: whatever it
// was, it falls to that at once and is halved from there, for where refused calls use up the limit, a fleet
// that goes on asking gets nothing. The next call comes at any moment of the new pace, lest all come at once.
func (s *Sender) cutShare(d *destination, r *route) {
	if limit := s.limit(r); limit > 0 {
		r.limitShare = min(r.limitShare, 2*d.arrivalRate(s.now)/limit)
	}
	r.limitShare = max(r.limitShare*shareCutFactor, 0.5/float64(s.cfg.FleetSize))
	r.limitShareUpdatedAt, r.lastCutAt = s.now, s.now
	r.tokens = min(r.tokens, s.rng.Float64())
}

// failure notes a sign of an outage. It covers every kind: refused connections, errors, silence, shut doors.
// A route gone sick gets single trials with growing pauses; the cold budget holds until it is surely warm.
// One failure is no outage: a run is, if it is longer than the failures met everywhere explain. So a
// lossy path of our own does not make all destinations look struck. Only calls that follow a pass there count
// in that share, or an outage would raise the bar for itself. Routes apart of one destination add up their
// runs, for an outage mostly takes them all and each sees few calls.
func (s *Sender) recordFailure(d *destination, r *route, certain, ranNothing bool) {
	r.failureRanNothing, r.limitShareUpdatedAt = ranNothing, s.now
	r.failures++
	if !r.circuitOpen {
		if r.failures == 1 {
			r.firstFailureAt = s.now
			s.failureRate += failureRateSmoothing * (1 - s.failureRate)
		}
		minRun := float64(failuresToOpen)
		if s.now-r.firstFailureAt >= sustainedFailureTime || (!r.fleetWide && d.arrivalRate(s.now)*seconds(sustainedFailureTime) < rareCallCount) {
			minRun--
		}
		neededRun := max(minRun, math.Log(maxRandomRunProbability)/math.Log(min(max(s.failureRate, 0.01), 0.7)))
		failures := r.failures
		for _, other := range d.endpoints {
			if !r.fleetWide && other.route != r {
				failures += other.route.failures
			}
		}
		if certain || float64(failures) >= neededRun {
			s.openCircuit(r)
		}
	} else if s.now >= r.nextTrialAt {
		if !r.fleetWide { // one tries for all
			r.trialBackoff = min(2*r.trialBackoff, maxTrialBackoff)
		}
		r.nextTrialAt = s.now + r.trialBackoff/2 + time.Duration(s.rng.Int64N(int64(r.trialBackoff)))
	}
}

// strike opens an outage. The allowance starts anywhere below one call, or the senders of a large fleet, most
// of which hold a single message, would all try at the same age of the outage.
func (s *Sender) openCircuit(r *route) {
	if !r.recovering() {
		r.outageStartedAt, r.demandSinceOutage = s.now, 1
		r.tokens, r.refilledAt = s.rng.Float64(), s.now
	}
	r.circuitOpen, r.trialBackoff, r.recoveryStartedAt = true, minTrialBackoff, 0
	r.nextTrialAt = s.now + r.trialBackoff
}

// cool takes a route for just back from an outage.
func (s *Sender) startRecovery(r *route) {
	s.openCircuit(r)
	r.circuitOpen, r.recoveryStartedAt = false, s.now
}

// passed notes a delivered call: the end of an outage, a step of the recovery, or plain health.
func (s *Sender) recordSuccess(r *route) {
	if !r.circuitOpen && r.failures == 0 {
		s.failureRate *= 1 - failureRateSmoothing
	}
	r.refusalBackoff, r.failures = 0, 0
	if gap := seconds(s.now - r.windowStartedAt); gap > 1 {
		r.peakRate = max(r.peakRate, r.windowSuccesses/gap)
		r.windowSuccesses, r.windowStartedAt = 0, s.now
	}
	r.windowSuccesses++
	// A rare sender's part would never come back in steps of a second; it grows by its whole pause where the
	// destination tells that there is room.
	maxSpan := max(1, r.limitLeft*seconds(demandDecayTime))
	growth := shareGrowthPerSecond
	if r.fleetWide && r.refusedShare < fleetRefusalThreshold/4 { // not too much, it seems: who took a limit over soon has all of it
		growth = takeoverGrowthPerSecond
	}
	r.limitShare = min(1, r.limitShare+growth*max(r.limitShare, s.evenShare(r))*min(maxSpan, seconds(s.now-r.limitShareUpdatedAt)))
	r.limitShareUpdatedAt = s.now
	switch {
	case r.circuitOpen:
		r.circuitOpen, r.recoveryStartedAt = false, s.now
	case r.recoveryStartedAt > 0 && s.now-r.recoveryStartedAt > s.cfg.WarmUpTime:
		r.recoveryStartedAt = 0
	}
}

// capacity is a careful guess of what the route takes a second from all senders when it is warm.
func (s *Sender) capacity(r *route) float64 {
	switch {
	case r.reportedLimit > 0:
		return r.reportedLimit
	case r.weight > 0 && s.cfg.ApproximateWeights:
		return r.weight / maxWeightError
	case r.weight > 0:
		return r.weight
	}
	return max(r.peakRate, 1)
}

// pace is how many calls a second this sender may send on the route, and whether it is so bound. Of the cold
// budget it takes what its own demand since the outage began calls for: over all senders that sums up to what
// the destination is asked for, which a warm one can do. An even share starves the few senders of a large
// fleet that hold messages, and wastes what the others leave.
func (s *Sender) callRate(r *route) (rate float64, limited bool) {
	if r.recovering() && s.cfg.OverloadDuration > 0 && s.cfg.OverloadMultiple > 0 {
		capacityShare := s.cfg.ColdCapacity
		if r.recoveryStartedAt > 0 && s.cfg.WarmUpTime > 0 {
			capacityShare += (1 - capacityShare) * min(1, seconds(s.now-r.recoveryStartedAt)/seconds(s.cfg.WarmUpTime))
		}
		evenRate := s.capacity(r) * s.evenShare(r)
		ownDemand := r.demandSinceOutage / max(seconds(s.now-r.outageStartedAt), seconds(s.cfg.OverloadDuration))
		budget := max(evenColdShare*evenRate, demandColdShare*min(ownDemand, s.capacity(r)))
		rate = s.cfg.OverloadMultiple * capacityShare * budget
		if r.fleetWide {
			rate = min(rate*s.coldBudgetShare(r), r.limitShare*s.capacity(r)) * s.reachableShare()
		}
		return rate, true
	}
	limit := s.limit(r)
	if r.fleetWide {
		limit *= s.reachableShare()
	}
	if limit == 0 && r.fleetWide && s.cfg.ColdStart {
		limit = max(slowStartRate, slowStartFactor*r.bestRate(s.now))
	}
	return r.limitShare * limit, limit > 0
}

// refill brings the token bucket up to now. On the way back from an outage nothing is saved up for a burst.
func (s *Sender) refill(r *route) {
	rate, limited := s.callRate(r)
	if !limited {
		r.tokens, r.refilledAt = 1, s.now
		return
	}
	maxTokens := max(1, burstSeconds*rate)
	if r.recovering() {
		maxTokens = 1
		if r.fleetWide {
			maxTokens = max(1, fleetRecoveryBurstSeconds*rate) // wakes are too far apart for one call at a time of a whole fleet
		}
	}
	r.tokens = min(r.tokens+rate*seconds(s.now-r.refilledAt), maxTokens)
	r.refilledAt = s.now
}

// lame tells that a destination is slow, or that at each of its routes the last call failed. With few slots,
// first tries at silent destinations held them all.
func (s *Sender) isImpaired(d *destination) bool {
	for _, e := range d.endpoints {
		if e.usable() && e.route.failures == 0 {
			return s.isSlow(d)
		}
	}
	return true
}

// heldBack tells that lame destinations, of which this is one, hold their share of the slots.
func (s *Sender) atImpairedSlotCap(d *destination) bool {
	return s.isImpaired(d) && s.cfg.Slots > 0 && float64(s.impairedSlots()) >= max(1, maxImpairedSlotShare*float64(s.cfg.Slots))
}

// preempt calls off calls that are out far longer than usual while no slot is free: silence, be it a few
// destinations' or a lossy path's, must not stop delivery to all the others. A call whose messages may be
// repeated goes first and at once; one that may not, only while slow destinations hold more than their share
// of the slots, for it ends failed. Called-off work may be wasted; a full node would lose far more.
func (s *Sender) preempt() {
	if !s.cfg.MayCancel || s.cfg.Slots <= 0 || s.callsInFlight < s.cfg.Slots {
		return
	}
	slowCalls, victim, mostOverdue := 0, (*call)(nil), 0.0
	for _, d := range s.activeDestinations {
		slow := s.isSlow(d)
		for _, c := range d.calls {
			if c.cancelRequested {
				return // its slot is about to come back
			}
			if slow {
				slowCalls++
			}
			slowThreshold := max(slowCallFactor*c.endpoint.smoothedLatency, seconds(minSlowCallTime))
			slowThreshold *= math.Pow(timeoutFailureFactor, float64(c.endpoint.route.failures))
			overdue := seconds(s.now-c.sentAt) / slowThreshold
			if (c.repeatable && overdue > 1) || (!c.repeatable && slow && victim == nil) {
				if victim == nil || (c.repeatable && (!victim.repeatable || overdue > mostOverdue)) {
					victim, mostOverdue = c, overdue
				}
			}
		}
	}
	if victim == nil || (!victim.repeatable && float64(slowCalls) <= maxImpairedSlotShare*float64(s.cfg.Slots)) {
		return
	}
	victim.cancelRequested = true
	for _, a := range victim.attempts {
		if s.inFlight[a].call == victim {
			s.emit(Cancel{ID: a.id, Attempt: a.number})
		}
	}
}

// release fills free slots: the waiting destination that had the least slot time of late comes first, so that
// one whose calls last long does not get as many slots as a fast one.
func (s *Sender) sendWaiting() {
	s.activeDestinations = slices.DeleteFunc(s.activeDestinations, func(d *destination) bool {
		d.decaySlotUse(s.now)
		d.hasWork = len(d.waiting)+len(d.calls) > 0
		return !d.hasWork
	})
	for {
		var best *destination
		var bestMsg *message
		var bestEp *endpoint
		if s.cfg.Slots > 0 && s.callsInFlight >= s.cfg.Slots {
			return
		}
		for _, d := range s.activeDestinations {
			if len(d.waiting) == 0 || (best != nil && d.slotUse >= best.slotUse) {
				continue
			}
			if m, ep := s.nextMessage(d); m != nil {
				best, bestMsg, bestEp = d, m, ep
			}
		}
		if best == nil {
			return
		}
		s.send(best, bestMsg, bestEp)
	}
}

// next finds the message a destination would release now, and its endpoint. The order is that of arrival,
// unless the queue is so long that waiting costs worth: then the one that loses most by waiting as long
// as the oldest has waited goes first.
func (s *Sender) nextMessage(d *destination) (*message, *endpoint) {
	if s.atImpairedSlotCap(d) {
		return nil, nil
	}
	anyOpen := false
	for _, e := range d.endpoints {
		s.refill(e.route)
		anyOpen = anyOpen || s.routeAllows(e)
	}
	if !anyOpen {
		return nil, nil
	}
	horizon := s.now - d.waiting[0].arrivedAt
	var best *message
	var bestEp *endpoint
	maxLoss := -1.0
	for _, m := range d.waiting {
		if loss := s.worthLoss(m, horizon); loss > maxLoss {
			if ep := s.pickEndpoint(m, s.maySend); ep != nil {
				best, bestEp, maxLoss = m, ep, loss
			}
		}
	}
	return best, bestEp
}

// loss is the worth that a message loses by waiting for another span. What a restart found untried comes
// before all others, in order of arrival: by its worth alone it would wait to its end.
func (s *Sender) worthLoss(m *message, delay time.Duration) float64 {
	if m.resumed && m.attempts == 0 {
		return math.MaxFloat64
	}
	latency := time.Duration(0)
	if e := m.dest.endpoints; len(e) > 0 {
		latency = duration(e[0].smoothedLatency)
	}
	return s.worthAt(m, s.now+latency) - s.worthAt(m, s.now+latency+delay)
}

// draw picks an endpoint at random among those that pass a check, odds falling with smoothed latency.
func (s *Sender) pickEndpoint(m *message, check func(*message, *endpoint) bool) *endpoint {
	total := 0.0
	var candidates []*endpoint
	var odds []float64
	for _, e := range m.dest.endpoints {
		if check(m, e) {
			if ejected := s.now < e.ejectedUntil; ejected && len(candidates) > 0 && s.now >= candidates[0].ejectedUntil {
				continue
			} else if !ejected && len(candidates) > 0 && s.now < candidates[0].ejectedUntil {
				candidates, odds, total = nil, nil, 0 // whoever takes connections comes before those that don't
			}
			o := math.Pow(max(e.penalizedLatency, seconds(minResponseTime)), -pickLatencyExponent)
			candidates, odds, total = append(candidates, e), append(odds, o), total+o
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	x := s.rng.Float64() * total
	for i, e := range candidates {
		if x -= odds[i]; x < 0 {
			return e
		}
	}
	return candidates[len(candidates)-1]
}

// routeOpen is the part of the check that hangs on the endpoint alone: operators, drain, wait,
// health, budget and pace.
func (s *Sender) routeAllows(e *endpoint) bool {
	r := e.route
	if !e.usable() || s.now < r.waitUntil {
		return false
	}
	if s.needsGrant(e.dest) {
		return s.hasGrant(e)
	}
	if r.tokens < 1 || s.sharesLimits() && !s.withinAllowance(e) {
		return false
	}
	return !r.circuitOpen || (!r.trialInFlight && s.now >= r.nextTrialAt)
}

// check is the one gate before every send; no path goes round it.
func (s *Sender) maySend(m *message, e *endpoint) bool {
	return s.routeAllows(e) && s.messageAllows(m, e)
}

// fits is the part of the check that hangs on the message.
func (s *Sender) messageAllows(m *message, e *endpoint) bool {
	if m.ended || m.inFlight > 0 || s.now < m.retryAt || s.attemptsExhausted(m) {
		return false
	}
	if s.cfg.Slots > 0 && s.callsInFlight >= s.cfg.Slots || s.now >= m.deadline-answerMargin-2*s.cfg.Tick {
		return false
	}
	switch m.class.Effect {
	case AtMostOnce:
		// On a sick route an unsafe message risks an unsure end, unless failures there prove that
		// nothing ran; with most of its time gone it has less to lose.
		pastHalf := s.now-m.arrivedAt > (m.deadline-m.arrivedAt)/2
		if m.mayHaveRun || (e.route.circuitOpen && !e.route.failureRanNothing && !pastHalf) {
			return false
		}
	case Deduplicated:
		if m.mayHaveRun && (s.now > s.dedupWindowEnd(m) || (!m.class.AllEndpointsDeduplicate && e.zone != m.runZone)) {
			return false
		}
	}
	if m.key != "" {
		s.trimKeyQueue(m.key)
		// Whoever had the turn before may try again without a rest.
		queue := s.keyQueues[m.key]
		if (s.now < s.keyBlockedUntil[m.key] && m.attempts == 0) || (len(queue) > 0 && queue[0] != m) {
			return false
		}
	}
	return true
}

// send sends a message and, where the kind allows, more of the destination's waiting ones in the same call.
func (s *Sender) send(d *destination, m *message, e *endpoint) {
	r := e.route
	c := &call{endpoint: e, sentAt: s.now, trial: r.circuitOpen, repeatable: true}
	r.trialInFlight = r.trialInFlight || c.trial
	group := []*message{m}
	for _, o := range d.waiting {
		if len(group) >= s.maxBatch(d) || c.trial {
			break
		}
		if o != m && s.maySend(o, e) {
			group = append(group, o)
		}
	}
	for _, o := range group {
		d.dequeue(o)
		a := attempt{o.id, o.attempts}
		s.inFlight[a], c.attempts = inFlightAttempt{o, c}, append(c.attempts, a)
		o.attempts++
		o.inFlight++
		c.unfinished++
		c.repeatable = c.repeatable && o.class.Effect != AtMostOnce
		s.emit(Send{ID: o.id, Endpoint: e.id, AbandonAt: s.abandonAt(o, e), LatestStart: s.latestStart(o)})
	}
	if s.needsGrant(d) {
		s.consumeGrant(e)
	} else {
		r.tokens--
		d.requester.allowanceTokens--
	}
	if e.lastSentAt > 0 {
		e.sendInterval = smooth(e.sendInterval, seconds(s.now-e.lastSentAt))
	}
	e.lastSentAt = s.now
	s.callsInFlight++
	d.calls = append(d.calls, c)
	d.slotUse += seconds(slotChargePerCall)
}

// timeout is the clock time at which an attempt is abandoned. An unsafe message cannot be tried again, so it
// is given all its time.
func (s *Sender) abandonAt(m *message, e *endpoint) time.Duration {
	last := m.deadline - answerMargin/2
	if m.class.Effect == AtMostOnce {
		return last
	}
	aim := seconds(m.aim)
	t := max(timeoutLatencyFactor*e.smoothedLatency, minTimeoutAims*aim) * math.Pow(timeoutFailureFactor, float64(e.route.failures))
	if e.smoothedLatency == 0 {
		t = aim
	}
	t = min(t, maxTimeoutAims*aim)
	return min(last, s.now+duration(t))
}

// probed takes the result of a probe as it takes that of a call.
func (s *Sender) handleProbeEnded(e ProbeEnded) {
	if ep := s.endpoints[e.Endpoint]; ep != nil {
		s.applyReport(ep.route, e.Report)
		s.updateHealth(&call{endpoint: ep, trial: true}, AttemptEnded{Outcome: e.Outcome, Took: e.Took})
	}
}
