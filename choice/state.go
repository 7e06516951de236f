package choice

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Sender makes the decisions of one delivery node.
type Sender struct {
	cfg                Settings
	rngSource          *rand.PCG
	rng                *rand.Rand // draws from rngSource
	now                time.Duration
	destinations       map[int]*destination
	destinationOrder   []*destination // in order of first mention; map order must not affect decisions
	endpoints          map[string]*endpoint
	messages           map[string]*message
	openMessages       []*message               // in order of arrival; expireMessages removes those that have ended
	keyQueues          map[string][]*message    // messages of Ordered classes by key, in order of arrival
	keyBlockedUntil    map[string]time.Duration // keys that must pause until then
	connTableFullUntil map[int]time.Duration    // by kind of destination: connection tables seem full until then
	connTables         map[int]connTableStats   // by kind of destination
	idleCandidates     []*endpoint              // endpoints whose connections may have become idle in this step
	tenants            []tenant
	callsInFlight      int                         // number of calls; a batch is one call
	inFlight           map[attempt]inFlightAttempt // attempts that have no outcome yet
	activeDestinations []*destination              // with messages waiting or calls in flight; updated in sendWaiting
	coordinated        []*destination              // destinations that this node coordinates and has requests for
	goneMembers        map[int]bool                // members that are gone
	lostMembers        map[int]time.Duration       // since when members are gone without notice; nil without membership
	nextWakeAt         time.Duration               // the earliest wake that was requested; 0 for none
	listRetryBackoff   time.Duration               // pause before the list is requested again
	listRequestAt      time.Duration               // when to request the list; 0 for never
	shuttingDown       bool
	sendsPaused        bool            // since a SendsPaused event
	disabledEndpoints  map[string]bool // endpoints that operators have disabled
	failureRate        float64         // smoothed share of failed calls on routes whose circuit is closed
	actions            []Action
}

// connTableStats holds the smoothed shares of refused calls at a kind of destination, separately for calls over new
// and over reused connections. Refusals with a RetryAfter are not counted. ReusedSeen says whether there was a call
// over a reused connection at all.
type connTableStats struct {
	NewRefused    float64 `json:"New"`
	ReusedRefused float64 `json:"Kept"`
	ReusedSeen    bool    `json:"Seen"`
}

// tenant is the token bucket of a tenant's quota on this node.
type tenant struct {
	tokens     float64
	refilledAt time.Duration
}

// destination is the state of one destination.
type destination struct {
	id                      int
	gate                    gate
	kind                    int
	sharedRoute             *route // route of all endpoints, unless each one has its own
	endpoints               []*endpoint
	waiting                 []*message // in order of arrival
	slotUse                 float64    // recently used slot time in seconds, decaying
	slotUseUpdatedAt        time.Duration
	calls                   []*call // in flight, oldest first
	lastGateTrialAt         time.Duration
	recentArrivals          float64 // number of recent arrivals, decaying
	recentArrivalsUpdatedAt time.Duration
	requester               grantRequester
	coordinators            []int         // nodes that may coordinate its limit, by rank; nil if not ranked yet
	requests                requestQueue  // requests to this node as the coordinator
	lastPeerRequestAt       time.Duration // last request from another node
	coordinated             bool          // is in Sender.coordinated
	hasWork                 bool          // is in Sender.activeDestinations
}

// grantRequester is the state of a node towards the coordinator of a destination: the requests that it made, the
// grants that it got, and its allowance while no coordinator answers.
type grantRequester struct {
	coordinatorRank       int           // rank of the coordinator that requests go to
	uncoordinated         bool          // no coordinator answers
	requestSeq            uint16        // number of the last request
	pendingCalls          int           // calls that were requested and not granted yet
	requestedAt           time.Duration // last request for calls
	answeredAt            time.Duration // last answer of a coordinator; 0 for none
	missedRequests        int           // consecutive requests without an answer
	lastSeekAt            time.Duration
	seekTurn              int    // selects the rank that is tried next
	lastGrantSeq          uint16 // highest grant number that has arrived
	grantsSeen            uint64 // bit i: grant lastGrantSeq-i has arrived
	grants                []grant
	unansweredSince       time.Duration // first request after the last answer
	recentGrants          float64       // recent grants; decays like recentArrivals, with time constant demandDecayTime
	recentGrantsUpdatedAt time.Duration
	grantedShare          float64 // share of arrivals that got grants when the coordinator fell silent
	allowanceTokens       float64 // tokens of the allowance, one per call
	allowanceRefilledAt   time.Duration
	allowanceFactor       float64       // factor on the allowance, cut by refusals
	lastFailureAt         time.Duration // last call that failed without a refusal
	firstSeenAt           time.Duration // when the destination was first mentioned
}

// grant is the permission for one call on a route.
type grant struct {
	route     uint16
	expiresAt time.Duration
}

// grantRequest is the request of a node, as its coordinator holds it.
type grantRequest struct {
	from           int
	requestSeq     uint16        // number of the request in its last datagram
	calls          int           // requested and not granted yet
	urgency        uint8         // worth of the best message, as a fraction of 255
	preferredRoute uint16        // route that the requesting node has drawn
	waitingSince   time.Duration // since when it has had calls to grant
	refreshedAt    time.Duration // last time it was sent
	answerOwed     bool          // it has had no answer yet
	lastGrantSeq   uint16        // number of the last grant to the node
	lastGrantAt    time.Duration // time of that grant
	deferredUntil  time.Duration // the node recently got no connection; it comes after others until then
	firstSeenOrder int           // order of the nodes' first requests
	heap           *requestHeap  // heap that it is in; nil for none
	heapIndex      int           // index in that heap
}

// gate is the admission control of one destination, with two bounds as in the paper.
type gate struct {
	average, baseline float64 // seconds
	sampledAt         time.Duration
	sampled, shut     bool
}

// route is what limits, waits and outages apply to: a destination, or a single endpoint if each one has its own route.
// A fleet-wide route is the coordinator's view of a route, and counts the calls of all nodes.
type route struct {
	waitUntil           time.Duration // no call before this time, by a RetryAfter or after refusals
	reportedLimit       float64       // calls per second, as the destination reports it; 0 for no limit
	limitReported       bool          // the destination has reported its limit, or that it has none
	limitLeft           float64       // share of the limit that was left at the last report
	weight              float64       // calls per second, as the list says; 0 for unknown
	limitShare          float64       // this node's share of the limit
	limitShareUpdatedAt time.Duration
	tokens              float64
	refilledAt          time.Duration
	failures            int           // consecutive failures
	firstFailureAt      time.Duration // time of the first of them
	refusalBackoff      time.Duration // pause after the latest of consecutive refusals; 0 after a success
	circuitOpen         bool
	failureRanNothing   bool // the last failure proved that the message did not run
	nextTrialAt         time.Duration
	trialBackoff        time.Duration
	trialInFlight       bool          // a trial call is in flight
	recoveryStartedAt   time.Duration // start of the recovery; 0 if there is none
	outageStartedAt     time.Duration // start of the outage
	demandSinceOutage   float64       // this node's messages for the route since the start of the outage
	peakRate            float64       // most successful calls per second so far, where no limit is known
	windowSuccesses     float64       // successful calls since windowStartedAt
	windowStartedAt     time.Duration
	lastTrialAt         time.Duration // fleet-wide route: last trial
	lastSuccessAt       time.Duration // fleet-wide route: last success
	refusedShare        float64       // fleet-wide route: smoothed share of refused calls
	lastCutAt           time.Duration // last cut of limitShare for refusals
	fleetWide           bool          // the route counts the calls of all nodes
	initialShare        float64       // fleet-wide route: share that the coordinator began with
	fleetRoute          *route        // fleet-wide view of this route, on its coordinator; nil for none
}

// endpoint is the state of one endpoint.
type endpoint struct {
	id                         string
	zone                       int
	dest                       *destination
	route                      *route
	ready                      bool
	listed                     bool          // is in the list, ready or draining
	disabled                   bool          // operators have disabled it
	penalizedLatency           float64       // smoothed, in seconds; failures count as slow
	smoothedLatency            float64       // smoothed, in seconds; successful calls only
	lastSentAt                 time.Duration // time of the last call
	sendInterval               float64       // smoothed time between calls, in seconds
	ejectionTime, ejectedUntil time.Duration // length and end of the last ejection, after a failed connection
}

// message is the state of one message.
type message struct {
	id             string
	class          *Class
	key            string
	worth          float64
	dest           *destination
	arrivedAt      time.Duration
	handedInAt     time.Duration // when the client first handed it in, computed from the deadline
	aim            time.Duration
	deadline       time.Duration
	attempts       int
	inFlight       int           // attempts in flight
	firstRunSentAt time.Duration // send time of the first attempt that the destination may have processed
	mayHaveRun     bool          // there was such an attempt
	runZone        int           // zone of that attempt's endpoint
	retryAt        time.Duration // no attempt before this time
	queued         bool          // is in destination.waiting
	ended          bool          // delivered, answered or dropped
	resumed        bool          // found at a restart
}

// attempt identifies one Send.
type attempt struct {
	id     string
	number int
}

// inFlightAttempt is the message and the call of an attempt that is in flight.
type inFlightAttempt struct {
	message *message
	call    *call
}

// call is one call to an endpoint, with one message or a batch.
type call struct {
	endpoint        *endpoint
	sentAt          time.Duration
	unfinished      int  // attempts that have no outcome yet
	trial           bool // made while the circuit is open
	attempts        []attempt
	cancelRequested bool // a Cancel was emitted
	repeatable      bool // it has no at-most-once message
}

// emit adds an action to the result of the step.
func (s *Sender) emit(a Action) { s.actions = append(s.actions, a) }

// seconds converts a duration to seconds.
func seconds(t time.Duration) float64 { return t.Seconds() }

// duration converts seconds to a duration.
func duration(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }

// destination returns the state of a destination, and creates it at the first mention.
func (s *Sender) destination(id int) *destination {
	d := s.destinations[id]
	if d == nil {
		d = &destination{id: id, sharedRoute: newRoute(), requester: grantRequester{allowanceFactor: 1, firstSeenAt: s.now}}
		if s.cfg.ColdStart {
			d.requester.allowanceRefilledAt = s.now // tokens are counted from here on: no free call per node
		}
		s.destinations[id] = d
		s.destinationOrder = append(s.destinationOrder, d)
	}
	return d
}

// hasSeparateRoutes reports whether each endpoint of the destination has a route of its own.
func (s *Sender) hasSeparateRoutes(d *destination) bool {
	return d.kind >= 0 && d.kind < len(s.cfg.Kinds) && s.cfg.Kinds[d.kind].SeparateRoutes
}

// maxBatch is the largest number of messages in one call to the destination.
func (s *Sender) maxBatch(d *destination) int {
	if d.kind < 0 || d.kind >= len(s.cfg.Kinds) {
		return 1
	}
	return max(s.cfg.Kinds[d.kind].MaxBatch, 1)
}

// enqueue adds a message to its destination's waiting messages, in order of arrival.
func (s *Sender) enqueue(m *message) {
	if m.queued || m.ended {
		return
	}
	d := m.dest
	if !d.hasWork {
		d.hasWork = true
		s.activeDestinations = append(s.activeDestinations, d)
	}
	m.queued = true
	i := len(d.waiting)
	for i > 0 && d.waiting[i-1].arrivedAt > m.arrivedAt {
		i--
	}
	d.waiting = append(d.waiting, nil)
	copy(d.waiting[i+1:], d.waiting[i:])
	d.waiting[i] = m
}

// dequeue removes a message from the waiting ones.
func (d *destination) dequeue(m *message) {
	if !m.queued {
		return
	}
	m.queued = false
	for i, w := range d.waiting {
		if w == m {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
			return
		}
	}
}

// releaseSlot frees the slot of a call whose attempts all have their outcomes.
func (s *Sender) releaseSlot(c *call) {
	s.callsInFlight--
	d := c.endpoint.dest
	for i, o := range d.calls {
		if o == c {
			d.calls = append(d.calls[:i], d.calls[i+1:]...)
			break
		}
	}
}

// trimKeyQueue removes ended messages from the front of a key's queue. A message with an attempt in flight keeps its
// place.
func (s *Sender) trimKeyQueue(key string) {
	queue := s.keyQueues[key]
	for len(queue) > 0 && queue[0].ended && queue[0].inFlight == 0 {
		queue = queue[1:]
	}
	if s.keyQueues[key] = queue; len(queue) == 0 {
		delete(s.keyQueues, key)
	}
}

// EndpointCounts counts the endpoints in the list, and those among them that are avoided because operators disabled
// them or their circuit is open.
func (s *Sender) EndpointCounts() (listed, avoided int) {
	for _, d := range s.destinationOrder {
		for _, e := range d.endpoints {
			if e.listed && s.endpoints[e.id] == e {
				listed++
				if e.disabled || (e.ready && e.route.circuitOpen) {
					avoided++
				}
			}
		}
	}
	return listed, avoided
}

// usable reports whether both the list and the operators allow new calls to the endpoint.
func (e *endpoint) usable() bool { return e.ready && !e.disabled }

// applyList applies a list, or changes of it, to the state. A whole list replaces the old one.
func (s *Sender) applyList(l ListUpdate) {
	if l.Whole {
		for _, d := range s.destinationOrder {
			for _, e := range d.endpoints {
				e.ready, e.listed = false, false
			}
		}
	}
	for _, entry := range l.Entries {
		d := s.destination(entry.Dest)
		e := s.endpoints[entry.Endpoint]
		if e == nil || e.dest != d {
			e = &endpoint{id: entry.Endpoint, zone: entry.Zone, dest: d}
			e.disabled = s.disabledEndpoints[e.id]
			s.endpoints[entry.Endpoint] = e
			d.endpoints = append(d.endpoints, e)
			d.kind = entry.Kind
			if e.route = d.sharedRoute; s.hasSeparateRoutes(d) {
				e.route = newRoute()
			}
		}
		e.ready, e.listed = entry.Phase == Ready, entry.Phase != Removed
		if s.cfg.WeightIsRate && entry.Weight > 0 {
			e.route.weight = entry.Weight
		}
	}
}

// newRoute returns a route with the whole limit and one token.
func newRoute() *route { return &route{limitShare: 1, tokens: 1} }

// finish ends a message with the given final action. The action is nil if the message ended without one, for example
// because it was delivered.
func (s *Sender) finish(m *message, a Action) {
	if m.ended {
		return
	}
	m.ended = true
	m.dest.dequeue(m)
	delete(s.messages, m.id)
	if a != nil {
		s.emit(a)
	}
}

// arrivalRate is the recent rate of arrivals for the destination at this node, in messages per second.
func (d *destination) arrivalRate(now time.Duration) float64 {
	return d.recentArrivals * math.Exp(-seconds(now-d.recentArrivalsUpdatedAt)/seconds(demandDecayTime)) / seconds(demandDecayTime)
}

// decaySlotUse brings the recently used slot time of the destination up to date.
func (d *destination) decaySlotUse(now time.Duration) {
	fade := math.Exp(-seconds(now-d.slotUseUpdatedAt) / seconds(slotUseDecayTime))
	d.slotUse = float64(d.slotUse*fade) + float64(float64(len(d.calls))*seconds(slotUseDecayTime)*(1-fade))
	d.slotUseUpdatedAt = now
}

// recovering reports whether the circuit of the route is open, or the destination may still be cold.
func (r *route) recovering() bool { return r.circuitOpen || r.recoveryStartedAt > 0 }

// allCircuitsOpen reports whether the destination has no usable endpoint with a closed circuit.
func (d *destination) allCircuitsOpen() bool {
	for _, e := range d.endpoints {
		if e.usable() && !e.route.circuitOpen {
			return false
		}
	}
	return true
}

// applyReport stores what an endpoint reports about its limit. Invalid values are ignored.
func (s *Sender) applyReport(r *route, rep LimitReport) {
	if rep.HasLimit && rep.Limit >= 0 && !math.IsInf(rep.Limit, 0) {
		r.limitReported, r.reportedLimit, r.limitLeft = true, rep.Limit, 0
		if rep.HasLeft && rep.Left > 0 {
			r.limitLeft = min(rep.Left, 1)
		}
	}
}

// smooth adds a sample to an exponentially weighted moving average. A single sample counts as at most 20 times the
// average.
func smooth(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + float64(smoothingFactor*(min(sample, 20*old)-old))
}

// coordinator is the node of the given rank that may coordinate the destination's limit. All nodes that see the same
// members get the same result.
func (s *Sender) coordinator(d *destination, rank int) int {
	if d.coordinators == nil {
		return s.rankCoordinators(d, rank)
	}
	return d.coordinators[min(rank, len(d.coordinators)-1)]
}

// rankCoordinators ranks the nodes that may coordinate the destination's limit. It returns the one with the given
// rank, or the last one if there are fewer.
func (s *Sender) rankCoordinators(d *destination, rank int) int {
	type ranked struct {
		mix    uint64
		number int
	}
	var lowest []ranked // kept sorted in one pass: fleets are large, and few ranks are needed
	for i := range s.cfg.FleetSize {
		if x := rankHash(d.id, i); !s.goneMembers[i] && (len(lowest) < coordinatorRanks || x < lowest[len(lowest)-1].mix) {
			at, _ := slices.BinarySearchFunc(lowest, x, func(r ranked, x uint64) int { return cmp.Compare(r.mix, x) })
			lowest = slices.Insert(lowest, at, ranked{x, i})
			lowest = lowest[:min(len(lowest), coordinatorRanks)]
		}
	}
	d.coordinators = nil
	for _, r := range lowest {
		d.coordinators = append(d.coordinators, r.number)
	}
	return d.coordinators[min(rank, len(d.coordinators)-1)]
}

// updateMembers records which members are gone, and since when those are that left without notice.
func (s *Sender) updateMembers(e MemberChanged) {
	if s.lostMembers == nil {
		s.goneMembers, s.lostMembers = map[int]bool{}, map[int]time.Duration{}
	}
	delete(s.goneMembers, e.Number)
	delete(s.lostMembers, e.Number)
	if e.Gone && e.Number != s.cfg.Number {
		if s.goneMembers[e.Number] = true; !e.LeftCleanly {
			s.lostMembers[e.Number] = s.now
		}
	}
}

// expireRequests drops requests that were not repeated, and destinations that have none left.
func (s *Sender) expireRequests() {
	s.coordinated = slices.DeleteFunc(s.coordinated, func(d *destination) bool {
		d.coordinated = !d.requests.expire(s.now - requestTTL)
		return !d.coordinated
	})
}

// maxClassWorth is the highest worth among the classes, and above 0.
func (s *Sender) maxClassWorth() float64 {
	most := 1e-9
	for _, c := range s.cfg.Classes {
		most = max(most, c.Worth)
	}
	return most
}

// hasGrant reports whether there is a grant for the endpoint's route, or the allowance permits a call without one.
func (s *Sender) hasGrant(e *endpoint) bool {
	has := func(g grant) bool { return g.route == s.routeID(e) && s.now < g.expiresAt }
	return slices.ContainsFunc(e.dest.requester.grants, has) || s.withinAllowance(e)
}

// consumeGrant uses up a grant for a call, or a token of the allowance if there is none.
func (s *Sender) consumeGrant(e *endpoint) {
	c := &e.dest.requester
	if i := slices.IndexFunc(c.grants, func(g grant) bool { return g.route == s.routeID(e) }); i >= 0 {
		c.grants = slices.Delete(c.grants, i, i+1)
	} else {
		c.allowanceTokens--
	}
}

// othersAvailable reports whether other endpoints of the same route take connections, as far as is known.
func (s *Sender) othersAvailable(ep *endpoint) bool {
	return slices.ContainsFunc(ep.dest.endpoints, func(o *endpoint) bool {
		return o != ep && o.route == ep.route && o.usable() && s.now >= o.ejectedUntil
	})
}

// registerMessage creates the state of a new message and counts it as demand for its destination.
func (s *Sender) registerMessage(e MessageArrived) (*message, *destination) {
	d := s.destination(e.Dest)
	d.recentArrivals, d.recentArrivalsUpdatedAt = float64(d.arrivalRate(s.now)*seconds(demandDecayTime))+1, s.now
	// An unknown class is possible after a restart with other settings. Its messages must not be repeated.
	class := &Class{Effect: AtMostOnce}
	if e.Class >= 0 && e.Class < len(s.cfg.Classes) {
		class = &s.cfg.Classes[e.Class]
	}
	m := &message{
		id: e.ID, class: class, dest: d, arrivedAt: s.now, deadline: e.Deadline, worth: class.Worth,
		handedInAt: e.Deadline - class.Deadline,
	}
	m.aim = min(class.Aim+duration(float64(class.AimStretch*seconds(e.Hint))), max(class.Deadline, class.Aim))
	if !s.withinQuota(e.Tenant) {
		m.worth = float64(m.worth * s.cfg.OverQuotaWorth)
	}
	s.messages[m.id] = m
	if s.sharesLimits() && (d.requester.uncoordinated || d.requester.answeredAt < d.requester.requestedAt) {
		arrival, _ := s.allowance(d)
		d.requester.allowanceTokens += arrival
	}
	return m, d
}

// queueMessage adds an admitted message to the waiting ones.
func (s *Sender) queueMessage(m *message, key string) {
	s.openMessages = append(s.openMessages, m)
	if m.class.Ordered && key != "" {
		m.key = key
		s.keyQueues[m.key] = append(s.keyQueues[m.key], m)
	}
	s.enqueue(m)
	for _, e := range m.dest.endpoints {
		if e.route.recovering() {
			e.route.demandSinceOutage += 1 / float64(len(m.dest.endpoints))
		}
	}
}

// allowsRequest is the check before every send, except for the grant.
func (s *Sender) allowsRequest(m *message, e *endpoint) bool {
	return s.messageAllows(m, e) && e.usable() && s.now >= e.route.waitUntil
}

// sharesLimits reports whether the nodes of the fleet share limits by datagrams at all.
func (s *Sender) sharesLimits() bool { return s.cfg.PeerDatagrams && s.cfg.FleetSize > 1 }

// needsGrant reports whether calls to the destination need grants.
func (s *Sender) needsGrant(d *destination) bool {
	return s.sharesLimits() && !d.requester.uncoordinated
}
