package choice

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Sender decides for one delivery node.
type Sender struct {
	cfg                Settings
	rngSource          *rand.PCG
	rng                *rand.Rand // on source
	now                time.Duration
	destinations       map[int]*destination
	destinationOrder   []*destination // in order of first mention, so that nothing hangs on map order
	endpoints          map[string]*endpoint
	messages           map[string]*message
	openMessages       []*message // in order of arrival; ended ones are swept out
	keyQueues          map[string][]*message
	keyBlockedUntil    map[string]time.Duration // keys at rest until then
	connTableFullUntil map[int]time.Duration    // connection tables of a kind seem full until then
	connTables         map[int]connTableStats   // by kind of destination
	idleCandidates     []*endpoint              // whose connections may be idle since this step
	tenants            []tenant
	callsInFlight      int                         // calls out
	inFlight           map[attempt]inFlightAttempt // attempts without an outcome
	activeDestinations []*destination              // with messages waiting or calls out; swept in release
	coordinated        []*destination              // whose limits this sender keeps for others, while they ask
	goneMembers        map[int]bool                // senders that membership says are gone,
	lostMembers        map[int]time.Duration       // and since when those are that did not say so; nil without membership
	nextWakeAt         time.Duration               // the earliest wake asked for
	listRetryBackoff   time.Duration               // pause before the list is asked for again
	listRequestAt      time.Duration
	shuttingDown       bool
	sendsPaused        bool            // Blind holds
	disabledEndpoints  map[string]bool // endpoints that operators have taken out
	failureRate        float64         // smoothed share of failures at routes not known to be struck
	actions            []Action
}

// table is what calls tell of the connection tables of a kind: the smoothed shares of those refused with no wait told,
// New over connections that were opened for them and Kept over those that had stood idle, of which one has been Seen.
type connTableStats struct {
	NewRefused    float64 `json:"New"`
	ReusedRefused float64 `json:"Kept"`
	ReusedSeen    bool    `json:"Seen"`
}

type tenant struct {
	tokens     float64
	refilledAt time.Duration
}

// destination is one partner: its gate, endpoints and waiting messages.
type destination struct {
	id                      int
	gate                    gate
	kind                    int
	sharedRoute             *route // of all endpoints, unless they are routes apart
	endpoints               []*endpoint
	waiting                 []*message // in order of arrival
	slotUse                 float64    // slot time it had of late, in seconds
	slotUseUpdatedAt        time.Duration
	calls                   []*call // out, oldest first
	lastGateTrialAt         time.Duration
	recentArrivals          float64 // messages that came of late, fading
	recentArrivalsUpdatedAt time.Duration
	requester               grantRequester
	coordinators            []int         // senders that keep its limit, the first before the others
	requests                requestQueue  // of senders that ask this one
	lastPeerRequestAt       time.Duration // last ask of another sender
	coordinated             bool          // stands in the sender's list of those
	hasWork                 bool          // stands in the sender's list of those with something to do
}

// claim is what a sender has asked and got of a destination's keeper.
type grantRequester struct {
	coordinatorRank       int  // of the keeper that is asked
	uncoordinated         bool // none answers
	requestSeq            uint16
	pendingCalls          int // calls asked for and not granted yet
	requestedAt           time.Duration
	answeredAt            time.Duration
	missedRequests        int // asks in a row without an answer
	lastSeekAt            time.Duration
	seekTurn              int    // of the keepers that are sought
	lastGrantSeq          uint16 // the furthest grant that has come
	grantsSeen            uint64 // which of those before it have
	grants                []grant
	unansweredSince       time.Duration // first ask since the keeper was last heard
	recentGrants          float64       // grants that came of late, fading as arrivals do,
	recentGrantsUpdatedAt time.Duration
	grantedShare          float64 // and their part of the arrivals when the keeper fell silent
	allowanceTokens       float64 // of the allowance
	allowanceRefilledAt   time.Duration
	allowanceFactor       float64       // factor on it: refusals cut it
	lastFailureAt         time.Duration // last call that failed there, but for refusals
	firstSeenAt           time.Duration // the destination was first heard of
}

// grant is leave for one call.
type grant struct {
	route     uint16
	expiresAt time.Duration
}

// want is what a sender has asked of this one, the keeper.
type grantRequest struct {
	from           int
	requestSeq     uint16
	calls          int
	urgency        uint8
	preferredRoute uint16 // drawn by who asks
	waitingSince   time.Duration
	refreshedAt    time.Duration // last said
	answerOwed     bool          // the ask has no answer yet
	lastGrantSeq   uint16
	lastGrantAt    time.Duration // last grant
	deferredUntil  time.Duration // its calls got no connection of late
	firstSeenOrder int           // in the order of who first asked
	heap           *requestHeap  // of its line; nil for none
	heapIndex      int           // there
}

// gate is the two-bound admission control of the paper, for one destination.
type gate struct {
	average, baseline float64 // seconds
	sampledAt         time.Duration
	sampled, shut     bool
}

// route is what limits, waits and outages bind: a destination, or an endpoint that is a route apart.
type route struct {
	waitUntil           time.Duration // rule six
	reportedLimit       float64       // calls a second as reported
	limitReported       bool
	limitLeft           float64 // share of it left at the last report
	weight              float64
	limitShare          float64 // this sender's part of the limit
	limitShareUpdatedAt time.Duration
	tokens              float64
	refilledAt          time.Duration
	failures            int           // failures in a row
	firstFailureAt      time.Duration // the first of them
	refusalBackoff      time.Duration // after the last of the refusals in a row
	circuitOpen         bool
	failureRanNothing   bool // the last failure proved that nothing ran
	nextTrialAt         time.Duration
	trialBackoff        time.Duration
	trialInFlight       bool          // a trial is out
	recoveryStartedAt   time.Duration // start of the recovery; 0 none
	outageStartedAt     time.Duration // start of the outage
	demandSinceOutage   float64       // this sender's messages for the route since then
	peakRate            float64       // most calls passed in a second, for want of any limit
	windowSuccesses     float64
	windowStartedAt     time.Duration
	lastTrialAt         time.Duration // last trial, where it stands for all senders
	lastSuccessAt       time.Duration // last pass, there
	refusedShare        float64       // smoothed share of calls refused over the limit, there
	lastCutAt           time.Duration // last cut for refusals, where it stands for all senders
	fleetWide           bool          // it stands for the calls of all senders
	initialShare        float64       // the part of its limit that its keeper began with, there
	fleetRoute          *route        // the same route as its keeper knows it
}

type endpoint struct {
	id                         string
	zone                       int
	dest                       *destination
	route                      *route
	ready                      bool
	listed                     bool          // it is in the list, ready or draining
	disabled                   bool          // operators have taken it out
	penalizedLatency           float64       // smoothed seconds, failures counting slow
	smoothedLatency            float64       // smoothed seconds of passed calls
	lastSentAt                 time.Duration // last call
	sendInterval               float64       // smoothed seconds between calls
	ejectionTime, ejectedUntil time.Duration // it takes no connections
}

type message struct {
	id             string
	class          *Class
	key            string
	worth          float64
	dest           *destination
	arrivedAt      time.Duration
	handedInAt     time.Duration // first hand-in, as far as the deadline tells
	aim            time.Duration
	deadline       time.Duration
	attempts       int
	inFlight       int
	firstRunSentAt time.Duration // send time of the first attempt that may have run
	mayHaveRun     bool          // there is such an attempt
	runZone        int           // its endpoint's zone
	retryAt        time.Duration
	queued         bool
	ended          bool
	resumed        bool // at a restart
}

// attempt names one Send.
type attempt struct {
	id     string
	number int
}

// sending is a message in a call.
type inFlightAttempt struct {
	message *message
	call    *call
}

// call is one call at an endpoint, with one or several messages.
type call struct {
	endpoint        *endpoint
	sentAt          time.Duration
	unfinished      int
	trial           bool
	attempts        []attempt
	cancelRequested bool // called off
	repeatable      bool // none of its messages is unsafe
}

// do adds an action to the reply.
func (s *Sender) emit(a Action) { s.actions = append(s.actions, a) }

// seconds and span convert between durations and seconds.
func seconds(t time.Duration) float64 { return t.Seconds() }

func duration(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }

// destination returns the state of a destination, new if it was not mentioned before.
func (s *Sender) destination(id int) *destination {
	d := s.destinations[id]
	if d == nil {
		d = &destination{id: id, sharedRoute: newRoute(), requester: grantRequester{allowanceFactor: 1, firstSeenAt: s.now}}
		if s.cfg.ColdStart {
			d.requester.allowanceRefilledAt = s.now // not one call for each sender
		}
		s.destinations[id] = d
		s.destinationOrder = append(s.destinationOrder, d)
	}
	return d
}

// apart tells that the endpoints are routes of their own.
func (s *Sender) hasSeparateRoutes(d *destination) bool {
	return d.kind >= 0 && d.kind < len(s.cfg.Kinds) && s.cfg.Kinds[d.kind].SeparateRoutes
}

// batch is the most messages in one call.
func (s *Sender) maxBatch(d *destination) int {
	if d.kind < 0 || d.kind >= len(s.cfg.Kinds) {
		return 1
	}
	return max(s.cfg.Kinds[d.kind].MaxBatch, 1)
}

// enqueue puts a message among its destination's waiting, in order of arrival.
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

// dequeue takes it out again.
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

// hangEnd gives back the slot of a call all of whose messages have their outcomes.
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

// trimLine drops ended messages from the head of a key's line; one with an attempt out still holds its turn.
func (s *Sender) trimKeyQueue(key string) {
	queue := s.keyQueues[key]
	for len(queue) > 0 && queue[0].ended && queue[0].inFlight == 0 {
		queue = queue[1:]
	}
	if s.keyQueues[key] = queue; len(queue) == 0 {
		delete(s.keyQueues, key)
	}
}

// Pool counts the listed endpoints, and those of them that are avoided: taken out by operators, or struck.
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

// usable tells that neither the list nor the operators forbid new work there.
func (e *endpoint) usable() bool { return e.ready && !e.disabled }

// relist takes the entries of a list into the state. A whole list replaces the old one.
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

func newRoute() *route { return &route{limitShare: 1, tokens: 1} }

// finish ends a message; a is nil when it is over without our doing.
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

// rate is how many messages a second came here for the destination of late.
func (d *destination) arrivalRate(now time.Duration) float64 {
	return d.recentArrivals * math.Exp(-seconds(now-d.recentArrivalsUpdatedAt)/seconds(demandDecayTime)) / seconds(demandDecayTime)
}

// spend brings the slot time that the destination had of late up to now.
func (d *destination) decaySlotUse(now time.Duration) {
	fade := math.Exp(-seconds(now-d.slotUseUpdatedAt) / seconds(slotUseDecayTime))
	d.slotUse = d.slotUse*fade + float64(len(d.calls))*seconds(slotUseDecayTime)*(1-fade)
	d.slotUseUpdatedAt = now
}

// recovering tells that the route is struck, or not yet surely warm again.
func (r *route) recovering() bool { return r.circuitOpen || r.recoveryStartedAt > 0 }

func (d *destination) allCircuitsOpen() bool {
	for _, e := range d.endpoints {
		if e.usable() && !e.route.circuitOpen {
			return false
		}
	}
	return true
}

// report takes what an endpoint tells of its limit; odd values are skipped.
func (s *Sender) applyReport(r *route, rep LimitReport) {
	if rep.HasLimit && rep.Limit >= 0 && !math.IsInf(rep.Limit, 0) {
		r.limitReported, r.reportedLimit, r.limitLeft = true, rep.Limit, 0
		if rep.HasLeft && rep.Left > 0 {
			r.limitLeft = min(rep.Left, 1)
		}
	}
}

func smooth(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + smoothingFactor*(min(sample, 20*old)-old)
}

// keeper is the sender that keeps the destination's limit at a rank, the same for all senders that see the same others.
func (s *Sender) coordinator(d *destination, rank int) int {
	if d.coordinators == nil {
		return s.rankCoordinators(d, rank)
	}
	return d.coordinators[min(rank, len(d.coordinators)-1)]
}

// rankAnew ranks those who may keep the destination's limit, and returns the one at a rank, or else the last.
func (s *Sender) rankCoordinators(d *destination, rank int) int {
	type ranked struct {
		mix    uint64
		number int
	}
	var lowest []ranked // in one pass: fleets are large, and few are wanted
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

// meet notes which senders are gone, and since when those are that have not said so. Lost is nil without membership.
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

// dropWants forgets asks that have not been said again, and destinations without any.
func (s *Sender) expireRequests() {
	s.coordinated = slices.DeleteFunc(s.coordinated, func(d *destination) bool {
		d.coordinated = !d.requests.expire(s.now - requestTTL)
		return !d.coordinated
	})
}

func (s *Sender) maxClassWorth() float64 {
	most := 1e-9
	for _, c := range s.cfg.Classes {
		most = max(most, c.Worth)
	}
	return most
}

// granted tells that there is a grant for the endpoint's route.
func (s *Sender) hasGrant(e *endpoint) bool {
	has := func(g grant) bool { return g.route == s.routeID(e) && s.now < g.expiresAt }
	return slices.ContainsFunc(e.dest.requester.grants, has) || s.withinAllowance(e)
}

// useGrant takes a grant away for a call.
func (s *Sender) consumeGrant(e *endpoint) {
	c := &e.dest.requester
	if i := slices.IndexFunc(c.grants, func(g grant) bool { return g.route == s.routeID(e) }); i >= 0 {
		c.grants = slices.Delete(c.grants, i, i+1)
	} else {
		c.allowanceTokens--
	}
}

// othersOpen tells that other endpoints of its route take connections, as far as it is known.
func (s *Sender) othersAvailable(ep *endpoint) bool {
	return slices.ContainsFunc(ep.dest.endpoints, func(o *endpoint) bool {
		return o != ep && o.route == ep.route && o.usable() && s.now >= o.ejectedUntil
	})
}

// take notes a new message and its demand on the destination.
func (s *Sender) registerMessage(e MessageArrived) (*message, *destination) {
	d := s.destination(e.Dest)
	d.recentArrivals, d.recentArrivalsUpdatedAt = d.arrivalRate(s.now)*seconds(demandDecayTime)+1, s.now
	class := &Class{Effect: AtMostOnce} // of a class that is not known, as after a restart with other settings, nothing is repeated
	if e.Class >= 0 && e.Class < len(s.cfg.Classes) {
		class = &s.cfg.Classes[e.Class]
	}
	m := &message{
		id: e.ID, class: class, dest: d, arrivedAt: s.now, deadline: e.Deadline, worth: class.Worth,
		handedInAt: e.Deadline - class.Deadline,
	}
	m.aim = min(class.Aim+duration(class.AimStretch*seconds(e.Hint)), max(class.Deadline, class.Aim))
	if !s.withinQuota(e.Tenant) {
		m.worth *= s.cfg.OverQuotaWorth
	}
	s.messages[m.id] = m
	if s.sharesLimits() && (d.requester.uncoordinated || d.requester.answeredAt < d.requester.requestedAt) {
		arrival, _ := s.allowance(d)
		d.requester.allowanceTokens += arrival
	}
	return m, d
}

// hold puts a message that was taken on among the waiting.
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

// askable is the check before every send but for the grant.
func (s *Sender) allowsRequest(m *message, e *endpoint) bool {
	return s.messageAllows(m, e) && e.usable() && s.now >= e.route.waitUntil
}

// shared tells that the senders share limits by notes at all.
func (s *Sender) sharesLimits() bool { return s.cfg.PeerDatagrams && s.cfg.FleetSize > 1 }

// governed tells that calls to the destination wait for grants.
func (s *Sender) needsGrant(d *destination) bool {
	return s.sharesLimits() && !d.requester.uncoordinated
}
