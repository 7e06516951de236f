// Package choice makes the decisions of a delivery node: whether to admit a message, when and to which endpoint to
// send it, whether to retry it, and when to give it up.
//
// A Sender is a deterministic state machine. Its inputs are the Settings, a random seed and the events that are passed
// to Step together with the current time; its outputs are actions. It has no clock, does no I/O, and shares no memory
// with other Senders. The events and actions are in types.go, the state is in state.go, and this file has the
// decisions about single messages, endpoints and routes. The Senders of a fleet coordinate their use of a
// destination's rate limit by datagrams, see fleet.go.
//
// Every decision keeps these rules:
//
//  1. Each message gets exactly one final answer, in time.
//  2. A message is repeated only as its class's Effect allows.
//  3. An endpoint that drains, or that operators have disabled, gets no new calls from that step on.
//  4. A destination that comes back from an outage is not overloaded while it is cold.
//  5. Messages of an Ordered class with the same key do not overtake each other.
//  6. A destination gets no calls before its RetryAfter is over.
//
// Terms that are used throughout:
//
//   - A route is what limits, waits and outages apply to: a destination as a whole or, at some kinds of destination,
//     each endpoint.
//   - The gate of a destination admits messages or refuses them at arrival, by the ratio of the average response time
//     to its baseline.
//   - The circuit of a route opens when an outage is detected. While it is open, single calls are made as trials. The
//     first success closes it and starts the recovery, which lasts until the destination is warm.
//   - The cold budget bounds the calls during a recovery.
//   - The coordinator of a destination is the node that grants the calls of all nodes to it. A node that hears no
//     coordinator makes calls within its allowance.
package choice

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// Factors of the baseline response time of a destination. Its admission gate shuts when the average response time
	// rises above the upper factor times the baseline, and opens again when the average falls below the lower factor
	// times the baseline. The gate is the bang-bang control of Tirana and Medhi, "Congestion Avoidance in S-CSCF
	// Selection in an IMS Network" (see internal/lab/paper), with the bounds that did best in that paper, "BBC 60-80".
	gateUpperRatio, gateLowerRatio = 80, 60
	// At a slow destination the messages expire before the ratio reaches its bounds. So the gate also compares the
	// average with these shares of the class's deadline.
	gateUpperDeadlineShare, gateLowerDeadlineShare = 0.5, 1.0 / 3
	// Weight of a sample in the averages of an endpoint's latencies and of the interval between its calls. In the
	// gate's average of response times it is the lowest weight, which applies while samples are frequent. A sample that
	// comes long after the last one weighs more, see gateSmoothingTime.
	smoothingFactor = 0.2
	// A gate sample weighs more the longer it is since the last one: 1 - 1/e after this time.
	gateSmoothingTime = 2 * time.Second
	baselineRiseTime  = 120 * time.Second // the baseline rises by a factor of e in this time, up to the average
	// A failed attempt counts in the gate's average as a response time of at least this many aims, so that the average
	// gets worse. One aim is the Aim of the message's class, with its AimStretch. It is still better to hold messages
	// through an outage than to refuse them, so failures alone must not shut the gate. The long response times of the
	// held messages shut it when the outage lasts too long.
	failurePenaltyAims = 1.0
	minResponseTime    = 5 * time.Millisecond   // lower bound of response times, so that ratios stay finite
	gateTrialInterval  = 500 * time.Millisecond // pause between messages that a shut gate admits as trials

	// Health of a route: the circuit breaker.
	failureRateSmoothing    = 0.05 // weight of a call in the failure rate over all routes
	maxRandomRunProbability = 0.02 // a run of failures that is less likely than this at that rate is not chance
	// A longer RetryAfter exceeds the window of any rate limit, so it means that the destination is down.
	minOutageRetryAfter = 2200 * time.Millisecond
	minTrialBackoff     = 250 * time.Millisecond // first pause between the trials of an open circuit
	minEjectionTime     = 1 * time.Second        // an endpoint that takes no connection is avoided this long at first,
	maxEjectionTime     = 10 * time.Second       // and at most this long
	// Longest pause between trials. It is a fraction of the length of an outage that matters.
	maxTrialBackoff      = 1000 * time.Millisecond
	failuresToOpen       = 3               // consecutive failures that open the circuit if failures are rare elsewhere;
	sustainedFailureTime = 2 * time.Second // one less is enough if no call succeeded for this long,
	rareCallCount        = 0.5             // or if this node expects fewer calls than this in that time
	// Share of its even part of the cold budget that a node may use whatever its own demand is. The bound on the load
	// during a recovery counts the calls of all nodes that know of the outage; 10 % less leaves room for chance.
	evenColdShare = 0.9
	// Share of its own demand that a node may send during a recovery. It is lower, because the demand on a busy
	// destination may exceed its capacity.
	demandColdShare = 0.4
	maxWeightError  = 1.5 // factor by which an approximate weight may be too high

	// Connections. An endpoint has a connection table of limited size, in which idle connections count.
	connTableFullTime   = 30 * time.Second // after a sign of full tables, idle connections are closed for this long
	connTableSmoothing  = 0.1              // weight of a call in the shares of refused calls that give the sign:
	connTableFullExcess = 0.4              // new connections are refused this much more often than reused ones

	// Slots.
	slowCallFactor       = 5                      // a destination with a call older than this many latencies is slow,
	minSlowCallTime      = 700 * time.Millisecond // but not before this time, because of random variation
	slotUseDecayTime     = 2 * time.Second        // decay time of the slot time that a destination has used
	slotChargePerCall    = 10 * time.Millisecond  // slot time that is charged at once, so that destinations alternate
	maxImpairedSlotShare = 0.4                    // share of the slots that all impaired destinations may hold together

	// Rate limits.
	shareCutFactor = 0.5 // factor on this node's share of a limit when a call is refused over the limit
	// Growth of the share per second while calls succeed, relative to the share or to an even one if that is larger.
	shareGrowthPerSecond = 0.25
	demandDecayTime      = 10 * time.Second       // decay time of the arrivals and grants that are counted as recent
	burstSeconds         = 0.25                   // a token bucket holds this many seconds of its rate
	minRefusalBackoff    = 120 * time.Millisecond // first pause of a route after a refusal without a RetryAfter

	// Attempts.
	timeoutLatencyFactor = 6                      // time-out in smoothed latencies, where a repeat is allowed,
	timeoutFailureFactor = 1.5                    // times this per failure in a row, so that slow calls can succeed,
	minTimeoutAims       = 0.5                    // and at least this many aims, which leaves time for a repeat,
	maxTimeoutAims       = 2.0                    // and at most this many
	retryBackoffBase     = 100 * time.Millisecond // pause of a message after a failure, doubled with each attempt
	pickLatencyExponent  = 2                      // the odds of an endpoint fall with this power of its latency
	minWakeInterval      = 10 * time.Millisecond  // shortest time between wakes,
	waitingPollInterval  = 30 * time.Millisecond  // and the time between them while a message waits to be sent
	answerMargin         = 15 * time.Millisecond  // final answers are given this long before the deadline
)

// New returns the Sender of a delivery node that has just started.
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

// Step handles the events that came by the time now, and returns the actions to carry out, in order. Events are
// handled in two passes: lists, operators' commands, membership and pauses first, so that a drain takes effect in the
// same step; then messages and outcomes.
func (s *Sender) Step(now time.Duration, events []Event) []Action {
	s.now, s.actions = now, nil
	// Lists and operators first: no message may go to an endpoint that drains as of this step.
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
			s.nextWakeAt = 0 // with a rounded clock the wake may come slightly early, and must be requested again
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
	if !s.shuttingDown && !s.sendsPaused { // held messages continue in the next process, or after the pause
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

// setDisabled disables or enables an endpoint for the operators, whatever its health and the list say. An operator who
// disables an endpoint most likely restarts it, so it is treated as cold when it is enabled again.
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

// handleArrived admits a message or refuses it at once.
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

// handleResumed takes over a message from before a restart. It was admitted then, so the gate is not asked again. It
// ends here if an attempt may have run and must not be repeated. A known failure may have been part of an outage whose
// end this process did not see, so the routes of the destination start a recovery.
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

// admit decides at arrival whether a message is taken on. There are two additions to the gate of the paper: bounds in
// shares of the deadline, and a bound on the messages that one destination may have waiting (the room that is left for
// open messages), so that the backlog of one does not cause refusals for all.
func (s *Sender) admit(d *destination, m *message) bool {
	if s.cfg.MaxOpenMessages > 0 && len(d.waiting) > s.cfg.MaxOpenMessages-len(s.openMessages) {
		return false
	}
	if d.gate.accepts(d.gate.average, seconds(m.class.Deadline)) {
		return true
	}
	// The gate is shut: with no message waiting or in flight, one trial message may bring the average down.
	if len(d.waiting) == 0 && len(d.calls) == 0 && s.now-d.lastGateTrialAt >= gateTrialInterval {
		d.lastGateTrialAt = s.now
		return true
	}
	return false
}

// accepts moves the gate between its bounds and reports whether it is open. Both values are in seconds.
func (g *gate) accepts(current, deadline float64) bool {
	base := max(g.baseline, seconds(minResponseTime))
	upper, lower := float64(gateUpperRatio*base), float64(gateLowerRatio*base)
	if deadline > 0 {
		upper, lower = min(upper, gateUpperDeadlineShare*deadline), min(lower, gateLowerDeadlineShare*deadline)
	}
	g.shut = current > upper || (g.sampled && g.shut && current >= lower)
	return !g.shut
}

// retryAfter is the time after which a refused client may try again: about as long as the backlog lasts.
func (s *Sender) retryAfter(d *destination) time.Duration {
	after := s.cfg.MaxRetryAfter
	if d.gate.sampled && !d.gate.shut {
		after = min(after, duration(d.gate.average))
	}
	return after
}

// refusalIsSafe reports whether a message may be refused: a refusal promises that the client can safely hand the
// message in again.
func (s *Sender) refusalIsSafe(m *message) bool {
	if m.class.Effect == Idempotent || (m.inFlight == 0 && !m.mayHaveRun) {
		return true
	}
	return m.class.Effect == Deduplicated && m.mayHaveRun && m.class.AllEndpointsDeduplicate && s.now <= s.dedupWindowEnd(m)
}

// giveUp ends a message: refused if that is safe, and failed otherwise.
func (s *Sender) giveUp(m *message) {
	if s.refusalIsSafe(m) {
		s.finish(m, Refuse{ID: m.id, RetryAfter: s.retryAfter(m.dest)})
	} else {
		s.finish(m, Fail{ID: m.id})
	}
}

// expireMessages gives each open message a final answer in time, and removes the messages that have ended.
func (s *Sender) expireMessages() {
	s.openMessages = slices.DeleteFunc(s.openMessages, func(m *message) bool {
		switch {
		case m.ended:
		case s.now >= m.deadline-answerMargin-s.cfg.Tick && m.inFlight == 0, s.now >= m.deadline:
			s.giveUp(m)
		case m.mayHaveRun && m.inFlight == 0 && m.class.Effect == Deduplicated && s.now >= s.dedupWindowEnd(m)-2*waitingPollInterval:
			s.giveUp(m) // after the dedup window it could be neither sent nor refused
		}
		return m.ended
	})
}

// handleAttemptEnded handles the outcome of an attempt.
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
		return // it ended before; the state of its call and its key had to be updated all the same
	}
	staleReset := s.isStaleConnReset(c, e)
	if !staleReset {
		s.sampleGate(m, c, e.Outcome)
	}
	switch {
	case e.MessageDone || e.Outcome == Success:
		s.finish(m, nil)
	case m.inFlight > 0: // another attempt is in flight and may still succeed
	case s.now >= m.deadline-answerMargin, mayHaveRun && m.class.Effect == AtMostOnce, s.attemptsExhausted(m):
		s.giveUp(m)
	default:
		if !staleReset && (mayHaveRun || e.Outcome == ConnectFailed) {
			m.retryAt = s.now + retryBackoffBase<<min(m.attempts, 16)
		}
		s.enqueue(m)
	}
}

// isStaleConnReset reports whether a call was lost because its connection was closed. An endpoint may close an idle
// connection at any moment, and a call that crosses the close is reset before it could be answered. That is no sign of
// an outage or of slowness. If the endpoint is down, the next call, over a new connection, shows it.
func (s *Sender) isStaleConnReset(c *call, e AttemptEnded) bool {
	return e.Outcome == ConnReset && e.ReusedConn && seconds(e.Took) < c.endpoint.smoothedLatency/2
}

// sampleGate is the only place that turns outcomes into samples of the gate.
//
// An attempt that did not deliver the message counts as slow. Otherwise fast errors would keep the ratio low while
// every call is rejected. A refusal counts only if all circuits of the destination are open. Otherwise it is over a
// rate limit, which affects the pace and is no sample: the wait that follows is part of the response time of the
// delivery.
//
// If the message was held through an outage, only the time since the end of the outage counts, or the duration of the
// call if that is longer. The wait before says nothing about what a new message would meet, and it used to keep the
// gate shut for messages that could have been delivered in time.
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

// updateHealth updates the latencies of an endpoint, and the health and the share of the limit of its route, after a
// call.
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
			// Connect failures followed by a success: the table was full.
			s.connTableFullUntil[ep.dest.kind] = s.now + connTableFullTime
		}
		s.recordSuccess(r)
	case NotSent:
	case Rejected:
		// The pause grows with each refusal in a row, whether the destination is over a limit or down. Refusals alone
		// are no outage: a large fleet gets three in a row at any busy limit.
		if s.now-r.waitUntil > r.refusalBackoff {
			r.refusalBackoff = minRefusalBackoff
		} else if s.now >= r.waitUntil { // not from a call that was in flight at the previous refusal
			r.refusalBackoff *= 2
		}
		if backoff := r.refusalBackoff; s.needsGrant(ep.dest) {
			r.waitUntil = max(r.waitUntil, s.now+e.RetryAfter) // the coordinator makes the pause, by granting less
		} else {
			r.waitUntil = max(r.waitUntil, s.now+max(e.RetryAfter, backoff))
		}
		ep.penalizedLatency = smooth(ep.penalizedLatency, float64(2*max(ep.penalizedLatency, took)))
		// A refusal by a destination without a limit means a full queue, as when the destination hangs.
		queueFull := r.limitReported && r.reportedLimit == 0
		if outage := e.RetryAfter > minOutageRetryAfter; outage || queueFull || r.circuitOpen {
			s.recordFailure(ep.dest, r, outage, true)
		} else if e.RetryAfter > 0 || e.ReusedConn || s.now >= s.connTableFullUntil[ep.dest.kind] {
			// Otherwise the refusal was most likely due to a full connection table.
			s.cutShare(ep.dest, r)
			if c := &ep.dest.requester; c.answeredAt < c.requestedAt {
				c.allowanceFactor = float64(c.allowanceFactor * allowanceCutFactor)
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

// eject avoids an endpoint that takes no connections, for a longer time with each failure. It reports whether other
// endpoints of its route are available. If so, the endpoint has most likely been removed and the list is late, and the
// failure does not count against the route.
func (s *Sender) eject(ep *endpoint) (othersAvailable bool) {
	if s.now >= ep.ejectedUntil {
		ep.ejectionTime = min(max(2*ep.ejectionTime, minEjectionTime), maxEjectionTime)
		ep.ejectedUntil = s.now + ep.ejectionTime
	}
	return s.othersAvailable(ep)
}

// closeIdleConns closes idle connections that may keep other nodes out: the connection table of an endpoint may be
// small, idle connections count, and those of a large fleet fill it. A connection is closed if the endpoint would
// close it before its next use anyway, or if the tables of that kind of destination seem full. In the second case each
// call costs a handshake, and a message that waits for its turn waits without a connection. A connection that a call
// of this step uses is not idle.
func (s *Sender) closeIdleConns() {
	for _, ep := range s.idleCandidates {
		rarelyCalled := s.cfg.IdleConnTimeout > 0 && (ep.sendInterval == 0 || ep.sendInterval > seconds(s.cfg.IdleConnTimeout))
		if ep.lastSentAt < s.now && (rarelyCalled && len(ep.dest.waiting) == 0 || s.now < s.connTableFullUntil[ep.dest.kind]) {
			s.emit(CloseIdle{Endpoint: ep.id})
		}
	}
	s.idleCandidates = s.idleCandidates[:0]
}

// cutShare lowers this node's share of a limit after a refusal. The share falls to this node's own demand at once,
// whatever it was before, and is halved from there: where refused calls also count against the limit, a fleet that
// keeps asking gets nothing. The tokens are drawn at random, so that the nodes of a fleet do not make their next calls
// at the same time.
func (s *Sender) cutShare(d *destination, r *route) {
	if limit := s.limit(r); limit > 0 {
		r.limitShare = min(r.limitShare, 2*d.arrivalRate(s.now)/limit)
	}
	r.limitShare = max(r.limitShare*shareCutFactor, 0.5/float64(s.cfg.FleetSize))
	r.limitShareUpdatedAt, r.lastCutAt = s.now, s.now
	r.tokens = min(r.tokens, s.rng.Float64())
}

// recordFailure counts a sign of an outage: a failed connection, an error, a time-out, or a refusal that means an
// outage. If certain is set, the circuit opens at once. An open circuit gets single trials with growing pauses, and
// after that the cold budget applies until the destination is certain to be warm again.
//
// A single failure is no outage. A run of failures is one if it is longer than the failure rate over all routes can
// explain, so that a lossy network path of this node does not open all circuits. Only the first failure after a
// success counts in that rate; otherwise an outage would raise the threshold for its own detection. If a destination
// has separate routes, their runs are added up, because an outage mostly affects all of them and each has few calls.
func (s *Sender) recordFailure(d *destination, r *route, certain, ranNothing bool) {
	r.failureRanNothing, r.limitShareUpdatedAt = ranNothing, s.now
	r.failures++
	if !r.circuitOpen {
		if r.failures == 1 {
			r.firstFailureAt = s.now
			s.failureRate += float64(failureRateSmoothing * (1 - s.failureRate))
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
		if !r.fleetWide { // a fleet-wide route keeps its pause: one node makes the trials for all
			r.trialBackoff = min(2*r.trialBackoff, maxTrialBackoff)
		}
		r.nextTrialAt = s.now + r.trialBackoff/2 + time.Duration(s.rng.Int64N(int64(r.trialBackoff)))
	}
}

// openCircuit marks the start of an outage. The token bucket starts at a random level below one call. Otherwise the
// nodes of a large fleet, most of which hold a single message, would all try at the same time after the start of the
// outage.
func (s *Sender) openCircuit(r *route) {
	if !r.recovering() {
		r.outageStartedAt, r.demandSinceOutage = s.now, 1
		r.tokens, r.refilledAt = s.rng.Float64(), s.now
	}
	r.circuitOpen, r.trialBackoff, r.recoveryStartedAt = true, minTrialBackoff, 0
	r.nextTrialAt = s.now + r.trialBackoff
}

// startRecovery treats a route as just back from an outage, with a cold destination.
func (s *Sender) startRecovery(r *route) {
	s.openCircuit(r)
	r.circuitOpen, r.recoveryStartedAt = false, s.now
}

// recordSuccess counts a delivered call. It ends an outage, continues a recovery, or lets the share of the limit grow.
func (s *Sender) recordSuccess(r *route) {
	if !r.circuitOpen && r.failures == 0 {
		s.failureRate = float64(s.failureRate * (1 - failureRateSmoothing))
	}
	r.refusalBackoff, r.failures = 0, 0
	if gap := seconds(s.now - r.windowStartedAt); gap > 1 {
		r.peakRate = max(r.peakRate, r.windowSuccesses/gap)
		r.windowSuccesses, r.windowStartedAt = 0, s.now
	}
	r.windowSuccesses++
	// The share of a node that calls rarely would never grow back by steps of at most a second. So it grows for the
	// whole time since the last update, as far as the destination reports that it has room.
	maxSpan := max(1, r.limitLeft*seconds(demandDecayTime))
	growth := shareGrowthPerSecond
	if r.fleetWide && r.refusedShare < fleetRefusalThreshold/4 {
		// Few refusals: a coordinator that took over may soon use the whole limit.
		growth = takeoverGrowthPerSecond
	}
	r.limitShare = min(1, r.limitShare+float64(growth*max(r.limitShare, s.evenShare(r))*min(maxSpan, seconds(s.now-r.limitShareUpdatedAt))))
	r.limitShareUpdatedAt = s.now
	switch {
	case r.circuitOpen:
		r.circuitOpen, r.recoveryStartedAt = false, s.now
	case r.recoveryStartedAt > 0 && s.now-r.recoveryStartedAt > s.cfg.WarmUpTime:
		r.recoveryStartedAt = 0
	}
}

// capacity is a cautious estimate of the calls per second that the route can take from all nodes when it is warm.
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

// callRate is the number of calls per second that this node may make on the route, and whether there is such a limit.
// During a recovery the rate is a part of the cold budget, which is OverloadMultiple times the capacity that the
// destination has regained by now. The part follows this node's own demand since the start of the outage. Over all
// nodes that adds up to the demand on the destination, which it can serve when it is warm. An even part would starve
// the few nodes of a large fleet that hold messages, and waste what the others do not use.
func (s *Sender) callRate(r *route) (rate float64, limited bool) {
	if r.recovering() && s.cfg.OverloadDuration > 0 && s.cfg.OverloadMultiple > 0 {
		capacityShare := s.cfg.ColdCapacity
		if r.recoveryStartedAt > 0 && s.cfg.WarmUpTime > 0 {
			capacityShare += float64((1 - capacityShare) * min(1, seconds(s.now-r.recoveryStartedAt)/seconds(s.cfg.WarmUpTime)))
		}
		evenRate := float64(s.capacity(r) * s.evenShare(r))
		ownDemand := r.demandSinceOutage / max(seconds(s.now-r.outageStartedAt), seconds(s.cfg.OverloadDuration))
		budget := max(evenColdShare*evenRate, demandColdShare*min(ownDemand, s.capacity(r)))
		rate = float64(s.cfg.OverloadMultiple * capacityShare * budget)
		if r.fleetWide {
			rate = float64(min(rate*s.coldBudgetShare(r), r.limitShare*s.capacity(r)) * s.reachableShare())
		}
		return rate, true
	}
	limit := s.limit(r)
	if r.fleetWide {
		limit = float64(limit * s.reachableShare())
	}
	if limit == 0 && r.fleetWide && s.cfg.ColdStart {
		limit = max(slowStartRate, slowStartFactor*r.bestRate(s.now))
	}
	return float64(r.limitShare * limit), limit > 0
}

// refill brings the token bucket of a route up to date. During a recovery it saves no tokens for a burst.
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
			maxTokens = max(1, fleetRecoveryBurstSeconds*rate) // one call per wake would be too few for a whole fleet
		}
	}
	r.tokens = min(r.tokens+float64(rate*seconds(s.now-r.refilledAt)), maxTokens)
	r.refilledAt = s.now
}

// isImpaired reports whether a destination is slow, or whether the last call failed on all its routes. The latter
// counts because with few slots, first attempts at destinations that do not answer used to hold all of them.
func (s *Sender) isImpaired(d *destination) bool {
	for _, e := range d.endpoints {
		if e.usable() && e.route.failures == 0 {
			return s.isSlow(d)
		}
	}
	return true
}

// atImpairedSlotCap reports whether the destination is impaired and all impaired destinations together hold their
// share of the slots.
func (s *Sender) atImpairedSlotCap(d *destination) bool {
	return s.isImpaired(d) && s.cfg.Slots > 0 && float64(s.impairedSlots()) >= max(1, maxImpairedSlotShare*float64(s.cfg.Slots))
}

// preempt cancels a call that is in flight far longer than usual while no slot is free. Destinations that do not
// answer, or a lossy network path, must not stop the delivery to all others. A call whose messages may be repeated is
// cancelled first. A call with an at-most-once message ends as failed, so it is cancelled only while slow destinations
// hold more than their share of the slots. The work of a cancelled call may be lost, but a node without free slots
// would lose far more.
func (s *Sender) preempt() {
	if !s.cfg.MayCancel || s.cfg.Slots <= 0 || s.callsInFlight < s.cfg.Slots {
		return
	}
	slowCalls, victim, mostOverdue := 0, (*call)(nil), 0.0
	for _, d := range s.activeDestinations {
		slow := s.isSlow(d)
		for _, c := range d.calls {
			if c.cancelRequested {
				return // its slot will be free soon
			}
			if slow {
				slowCalls++
			}
			slowThreshold := max(slowCallFactor*c.endpoint.smoothedLatency, seconds(minSlowCallTime))
			slowThreshold = float64(slowThreshold * math.Pow(timeoutFailureFactor, float64(c.endpoint.route.failures)))
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

// sendWaiting fills the free slots. The destination that used the least slot time recently goes first, so that one
// with long calls does not get as many slots as one with short calls.
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

// nextMessage finds the message that a destination would send now, and its endpoint. Messages go in order of arrival
// unless the queue is so long that waiting lowers their worth. Then the message goes first that would lose most by
// waiting as long as the oldest one has waited.
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

// worthLoss is the worth that a message loses if it is sent after the delay and not now. A message that a restart
// found without an attempt goes before all others, in order of arrival: by its worth alone it could wait until its
// deadline.
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

// pickEndpoint draws an endpoint at random among those that pass the check. The odds of an endpoint fall with its
// latency. Ejected endpoints are used only if there are no others.
func (s *Sender) pickEndpoint(m *message, check func(*message, *endpoint) bool) *endpoint {
	total := 0.0
	var candidates []*endpoint
	var odds []float64
	for _, e := range m.dest.endpoints {
		if check(m, e) {
			if ejected := s.now < e.ejectedUntil; ejected && len(candidates) > 0 && s.now >= candidates[0].ejectedUntil {
				continue
			} else if !ejected && len(candidates) > 0 && s.now < candidates[0].ejectedUntil {
				candidates, odds, total = nil, nil, 0 // an endpoint that takes connections replaces those that do not
			}
			o := math.Pow(max(e.penalizedLatency, seconds(minResponseTime)), -pickLatencyExponent)
			candidates, odds, total = append(candidates, e), append(odds, o), total+o
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	x := float64(s.rng.Float64() * total)
	for i, e := range candidates {
		if x -= odds[i]; x < 0 {
			return e
		}
	}
	return candidates[len(candidates)-1]
}

// routeAllows is the part of the check before a send that depends on the endpoint alone: operators, drain, RetryAfter,
// circuit breaker and rate.
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

// maySend is the check before every send. There is no path around it.
func (s *Sender) maySend(m *message, e *endpoint) bool {
	return s.routeAllows(e) && s.messageAllows(m, e)
}

// messageAllows is the part of the check that depends on the message.
func (s *Sender) messageAllows(m *message, e *endpoint) bool {
	if m.ended || m.inFlight > 0 || s.now < m.retryAt || s.attemptsExhausted(m) {
		return false
	}
	if s.cfg.Slots > 0 && s.callsInFlight >= s.cfg.Slots || s.now >= m.deadline-answerMargin-2*s.cfg.Tick {
		return false
	}
	switch m.class.Effect {
	case AtMostOnce:
		// While the circuit is open, an attempt may end without proof that the message did not run, unless the
		// failures there prove that nothing runs. A message past half of its time has less to lose.
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
		// A message that was tried before may be retried without the pause.
		queue := s.keyQueues[m.key]
		if (s.now < s.keyBlockedUntil[m.key] && m.attempts == 0) || (len(queue) > 0 && queue[0] != m) {
			return false
		}
	}
	return true
}

// send sends a message and, if the kind of destination allows batches, more of the destination's waiting messages in
// the same call.
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

// abandonAt is the clock time at which an attempt is abandoned. An at-most-once message cannot be retried, so its
// attempt gets all the time that is left.
func (s *Sender) abandonAt(m *message, e *endpoint) time.Duration {
	last := m.deadline - answerMargin/2
	if m.class.Effect == AtMostOnce {
		return last
	}
	aim := seconds(m.aim)
	t := float64(max(timeoutLatencyFactor*e.smoothedLatency, minTimeoutAims*aim) * math.Pow(timeoutFailureFactor, float64(e.route.failures)))
	if e.smoothedLatency == 0 {
		t = aim
	}
	t = min(t, maxTimeoutAims*aim)
	return min(last, s.now+duration(t))
}

// handleProbeEnded treats the result of a probe like that of a call.
func (s *Sender) handleProbeEnded(e ProbeEnded) {
	if ep := s.endpoints[e.Endpoint]; ep != nil {
		s.applyReport(ep.route, e.Report)
		s.updateHealth(&call{endpoint: ep, trial: true}, AttemptEnded{Outcome: e.Outcome, Took: e.Took})
	}
}
