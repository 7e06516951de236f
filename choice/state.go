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
	cfg     Settings
	source  *rand.PCG
	rng     *rand.Rand // on source
	now     time.Duration
	dests   map[int]*destination
	order   []*destination // in order of first mention, so that nothing hangs on map order
	eps     map[string]*endpoint
	msgs    map[string]*message
	open    []*message // in order of arrival; ended ones are swept out
	lines   map[string][]*message
	rests   map[string]time.Duration // keys at rest until then
	crowded map[int]time.Duration    // connection tables of a kind seem full until then
	tables  map[int]table            // by kind of destination
	rested  []*endpoint              // whose connections may be idle since this step
	tenants []tenant
	busy    int                   // calls out
	sent    map[attempt]sending   // attempts without an outcome
	active  []*destination        // with messages waiting or calls out; swept in release
	kept    []*destination        // whose limits this sender keeps for others, while they ask
	gone    map[int]bool          // senders that membership says are gone,
	lost    map[int]time.Duration // and since when those are that did not say so; nil without membership
	wakeAt  time.Duration         // the earliest wake asked for
	asking  time.Duration         // pause before the list is asked for again
	askAt   time.Duration
	leaving bool
	blind   bool            // Blind holds
	out     map[string]bool // endpoints that operators have taken out
	failing float64         // smoothed share of failures at routes not known to be struck
	actions []Action
}

// table is what calls tell of the connection tables of a kind: the smoothed shares of those refused with no wait told,
// New over connections that were opened for them and Kept over those that had stood idle, of which one has been Seen.
type table struct {
	New, Kept float64
	Seen      bool
}

type tenant struct {
	tokens float64
	at     time.Duration
}

// destination is one partner: its gate, endpoints and waiting messages.
type destination struct {
	id        int
	gate      gate
	kind      int
	shared    *route // of all endpoints, unless they are routes apart
	endpoints []*endpoint
	waiting   []*message // in order of arrival
	used      float64    // slot time it had of late, in seconds
	usedAt    time.Duration
	calls     []*call // out, oldest first
	lastTrial time.Duration
	came      float64 // messages that came of late, fading
	cameAt    time.Duration
	claim     claim
	keepers   []int         // senders that keep its limit, the first before the others
	wants     line          // of senders that ask this one
	othersAt  time.Duration // last ask of another sender
	kept      bool          // stands in the sender's list of those
	active    bool          // stands in the sender's list of those with something to do
}

// claim is what a sender has asked and got of a destination's keeper.
type claim struct {
	rank       int  // of the keeper that is asked
	alone      bool // none answers
	seq        uint16
	wanted     int // calls asked for and not granted yet
	askedAt    time.Duration
	heardAt    time.Duration
	misses     int // asks in a row without an answer
	soughtAt   time.Duration
	turn       int    // of the keepers that are sought
	grantSeq   uint16 // the furthest grant that has come
	grantsSeen uint64 // which of those before it have
	grants     []grant
	silentAt   time.Duration // first ask since the keeper was last heard
	got        float64       // grants that came of late, fading as arrivals do,
	gotAt      time.Duration
	share      float64 // and their part of the arrivals when the keeper fell silent
	tokens     float64 // of the allowance
	tokensAt   time.Duration
	allowed    float64       // factor on it: refusals cut it
	failedAt   time.Duration // last call that failed there, but for refusals
	beganAt    time.Duration // the destination was first heard of
}

// grant is leave for one call.
type grant struct {
	route uint16
	until time.Duration
}

// want is what a sender has asked of this one, the keeper.
type want struct {
	from      int
	seq       uint16
	n         int
	urgency   uint8
	route     uint16 // drawn by who asks
	since     time.Duration
	at        time.Duration // last said
	owed      bool          // the ask has no answer yet
	grantSeq  uint16
	grantAt   time.Duration // last grant
	lostUntil time.Duration // its calls got no connection of late
	number    int           // in the order of who first asked
	in        *wantHeap     // of its line; nil for none
	place     int           // there
}

// gate is the two-bound admission control of the paper, for one destination.
type gate struct {
	average, baseline float64 // seconds
	at                time.Duration
	seen, shut        bool
}

// route is what limits, waits and outages bind: a destination, or an endpoint that is a route apart.
type route struct {
	waitUntil   time.Duration // rule six
	limit       float64       // calls a second as reported
	reported    bool
	left        float64 // share of it left at the last report
	weight      float64
	part        float64 // this sender's part of the limit
	partAt      time.Duration
	tokens      float64
	tokensAt    time.Duration
	fails       int           // failures in a row
	failedAt    time.Duration // the first of them
	rest        time.Duration // after the last of the refusals in a row
	sick        bool
	harmless    bool // the last failure proved that nothing ran
	trialAt     time.Duration
	backoff     time.Duration
	trial       bool          // a trial is out
	coldFrom    time.Duration // start of the recovery; 0 none
	struckAt    time.Duration // start of the outage
	demand      float64       // this sender's messages for the route since then
	busiest     float64       // most calls passed in a second, for want of any limit
	passed      float64
	passedAt    time.Duration
	triedAt     time.Duration // last trial, where it stands for all senders
	deliveredAt time.Duration // last pass, there
	full        float64       // smoothed share of calls refused over the limit, there
	cutAt       time.Duration // last cut for refusals, where it stands for all senders
	whole       bool          // it stands for the calls of all senders
	begins      float64       // the part of its limit that its keeper began with, there
	fleet       *route        // the same route as its keeper knows it
}

type endpoint struct {
	id                  string
	zone                int
	dest                *destination
	route               *route
	ready               bool
	listed              bool          // it is in the list, ready or draining
	disabled            bool          // operators have taken it out
	response            float64       // smoothed seconds, failures counting slow
	usual               float64       // smoothed seconds of passed calls
	sentAt              time.Duration // last call
	gap                 float64       // smoothed seconds between calls
	shunRest, shunUntil time.Duration // it takes no connections
}

type message struct {
	id        string
	class     *Class
	key       string
	worth     float64
	dest      *destination
	arrived   time.Duration
	born      time.Duration // first hand-in, as far as the deadline tells
	aim       time.Duration
	dropDead  time.Duration
	attempts  int
	out       int
	mayRun    time.Duration // send time of the first attempt that may have run
	touched   bool          // there is such an attempt
	zone      int           // its endpoint's zone
	notBefore time.Duration
	waits     bool
	over      bool
	found     bool // at a restart
}

// attempt names one Send.
type attempt struct {
	id string
	n  int
}

// sending is a message in a call.
type sending struct {
	m *message
	c *call
}

// call is one call at an endpoint, with one or several messages.
type call struct {
	ep         *endpoint
	sentAt     time.Duration
	left       int
	trial      bool
	sends      []attempt
	called     bool // called off
	repeatable bool // none of its messages is unsafe
}

// do adds an action to the reply.
func (s *Sender) do(a Action) { s.actions = append(s.actions, a) }

// seconds and span convert between durations and seconds.
func seconds(t time.Duration) float64 { return t.Seconds() }

func span(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }

// destination returns the state of a destination, new if it was not mentioned before.
func (s *Sender) destination(id int) *destination {
	d := s.dests[id]
	if d == nil {
		d = &destination{id: id, shared: newRoute(), claim: claim{allowed: 1, beganAt: s.now}}
		if s.cfg.Cautious {
			d.claim.tokensAt = s.now // not one call for each sender
		}
		s.dests[id] = d
		s.order = append(s.order, d)
	}
	return d
}

// apart tells that the endpoints are routes of their own.
func (s *Sender) apart(d *destination) bool {
	return d.kind >= 0 && d.kind < len(s.cfg.Kinds) && s.cfg.Kinds[d.kind].Apart
}

// batch is the most messages in one call.
func (s *Sender) batch(d *destination) int {
	if d.kind < 0 || d.kind >= len(s.cfg.Kinds) {
		return 1
	}
	return max(s.cfg.Kinds[d.kind].Batch, 1)
}

// enqueue puts a message among its destination's waiting, in order of arrival.
func (s *Sender) enqueue(m *message) {
	if m.waits || m.over {
		return
	}
	d := m.dest
	if !d.active {
		d.active = true
		s.active = append(s.active, d)
	}
	m.waits = true
	i := len(d.waiting)
	for i > 0 && d.waiting[i-1].arrived > m.arrived {
		i--
	}
	d.waiting = append(d.waiting, nil)
	copy(d.waiting[i+1:], d.waiting[i:])
	d.waiting[i] = m
}

// dequeue takes it out again.
func (d *destination) dequeue(m *message) {
	if !m.waits {
		return
	}
	m.waits = false
	for i, w := range d.waiting {
		if w == m {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
			return
		}
	}
}

// hangEnd gives back the slot of a call all of whose messages have their outcomes.
func (s *Sender) hangEnd(c *call) {
	s.busy--
	d := c.ep.dest
	for i, o := range d.calls {
		if o == c {
			d.calls = append(d.calls[:i], d.calls[i+1:]...)
			break
		}
	}
}

// trimLine drops ended messages from the head of a key's line; one with an attempt out still holds its turn.
func (s *Sender) trimLine(key string) {
	line := s.lines[key]
	for len(line) > 0 && line[0].over && line[0].out == 0 {
		line = line[1:]
	}
	if s.lines[key] = line; len(line) == 0 {
		delete(s.lines, key)
	}
}

// Pool counts the listed endpoints, and those of them that are avoided: taken out by operators, or struck.
func (s *Sender) Pool() (size, avoided int) {
	for _, d := range s.order {
		for _, e := range d.endpoints {
			if e.listed && s.eps[e.id] == e {
				size++
				if e.disabled || (e.ready && e.route.sick) {
					avoided++
				}
			}
		}
	}
	return size, avoided
}

// usable tells that neither the list nor the operators forbid new work there.
func (e *endpoint) usable() bool { return e.ready && !e.disabled }

// relist takes the entries of a list into the state. A whole list replaces the old one.
func (s *Sender) relist(l Listed) {
	if l.Whole {
		for _, d := range s.order {
			for _, e := range d.endpoints {
				e.ready, e.listed = false, false
			}
		}
	}
	for _, entry := range l.Entries {
		d := s.destination(entry.Dest)
		e := s.eps[entry.Endpoint]
		if e == nil || e.dest != d {
			e = &endpoint{id: entry.Endpoint, zone: entry.Zone, dest: d}
			e.disabled = s.out[e.id]
			s.eps[entry.Endpoint] = e
			d.endpoints = append(d.endpoints, e)
			d.kind = entry.Kind
			if e.route = d.shared; s.apart(d) {
				e.route = newRoute()
			}
		}
		e.ready, e.listed = entry.Phase == Ready, entry.Phase != Gone
		if s.cfg.Weighted && entry.Weight > 0 {
			e.route.weight = entry.Weight
		}
	}
}

func newRoute() *route { return &route{part: 1, tokens: 1} }

// finish ends a message; a is nil when it is over without our doing.
func (s *Sender) finish(m *message, a Action) {
	if m.over {
		return
	}
	m.over = true
	m.dest.dequeue(m)
	delete(s.msgs, m.id)
	if a != nil {
		s.do(a)
	}
}

// rate is how many messages a second came here for the destination of late.
func (d *destination) rate(now time.Duration) float64 {
	return d.came * math.Exp(-seconds(now-d.cameAt)/seconds(demandSpan)) / seconds(demandSpan)
}

// spend brings the slot time that the destination had of late up to now.
func (d *destination) spend(now time.Duration) {
	fade := math.Exp(-seconds(now-d.usedAt) / seconds(slotSpan))
	d.used = d.used*fade + float64(len(d.calls))*seconds(slotSpan)*(1-fade)
	d.usedAt = now
}

// recovering tells that the route is struck, or not yet surely warm again.
func (r *route) recovering() bool { return r.sick || r.coldFrom > 0 }

func (d *destination) troubled() bool {
	for _, e := range d.endpoints {
		if e.usable() && !e.route.sick {
			return false
		}
	}
	return true
}

// report takes what an endpoint tells of its limit; odd values are skipped.
func (s *Sender) report(r *route, rep Report) {
	if rep.HasLimit && rep.Limit >= 0 && !math.IsInf(rep.Limit, 0) {
		r.reported, r.limit, r.left = true, rep.Limit, 0
		if rep.HasLeft && rep.Left > 0 {
			r.left = min(rep.Left, 1)
		}
	}
}

func ease(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + smoothing*(min(sample, 20*old)-old)
}

// keeper is the sender that keeps the destination's limit at a rank, the same for all senders that see the same others.
func (s *Sender) keeper(d *destination, rank int) int {
	if d.keepers == nil {
		return s.rankAnew(d, rank)
	}
	return d.keepers[min(rank, len(d.keepers)-1)]
}

// rankAnew ranks those who may keep the destination's limit, and returns the one at a rank, or else the last.
func (s *Sender) rankAnew(d *destination, rank int) int {
	type ranked struct {
		mix    uint64
		number int
	}
	var first []ranked // in one pass: fleets are large, and few are wanted
	for i := range s.cfg.Fleet {
		if x := mix(d.id, i); !s.gone[i] && (len(first) < keeperRanks || x < first[len(first)-1].mix) {
			at, _ := slices.BinarySearchFunc(first, x, func(r ranked, x uint64) int { return cmp.Compare(r.mix, x) })
			first = slices.Insert(first, at, ranked{x, i})
			first = first[:min(len(first), keeperRanks)]
		}
	}
	d.keepers = nil
	for _, r := range first {
		d.keepers = append(d.keepers, r.number)
	}
	return d.keepers[min(rank, len(d.keepers)-1)]
}

// meet notes which senders are gone, and since when those are that have not said so. Lost is nil without membership.
func (s *Sender) meet(e Member) {
	if s.lost == nil {
		s.gone, s.lost = map[int]bool{}, map[int]time.Duration{}
	}
	delete(s.gone, e.Number)
	delete(s.lost, e.Number)
	if e.Gone && e.Number != s.cfg.Number {
		if s.gone[e.Number] = true; !e.Left {
			s.lost[e.Number] = s.now
		}
	}
}

// dropWants forgets asks that have not been said again, and destinations without any.
func (s *Sender) dropWants() {
	s.kept = slices.DeleteFunc(s.kept, func(d *destination) bool {
		d.kept = !d.wants.drop(s.now - askedLast)
		return !d.kept
	})
}

func (s *Sender) mostWorth() float64 {
	most := 1e-9
	for _, c := range s.cfg.Classes {
		most = max(most, c.Worth)
	}
	return most
}

// granted tells that there is a grant for the endpoint's route.
func (s *Sender) granted(e *endpoint) bool {
	has := func(g grant) bool { return g.route == s.mark(e) && s.now < g.until }
	return slices.ContainsFunc(e.dest.claim.grants, has) || s.onAllowance(e)
}

// useGrant takes a grant away for a call.
func (s *Sender) useGrant(e *endpoint) {
	c := &e.dest.claim
	if i := slices.IndexFunc(c.grants, func(g grant) bool { return g.route == s.mark(e) }); i >= 0 {
		c.grants = slices.Delete(c.grants, i, i+1)
	} else {
		c.tokens--
	}
}

// othersOpen tells that other endpoints of its route take connections, as far as it is known.
func (s *Sender) othersOpen(ep *endpoint) bool {
	return slices.ContainsFunc(ep.dest.endpoints, func(o *endpoint) bool {
		return o != ep && o.route == ep.route && o.usable() && s.now >= o.shunUntil
	})
}

// take notes a new message and its demand on the destination.
func (s *Sender) take(e Arrived) (*message, *destination) {
	d := s.destination(e.Dest)
	d.came, d.cameAt = d.rate(s.now)*seconds(demandSpan)+1, s.now
	class := &Class{Effect: Unsafe} // of a class that is not known, as after a restart with other settings, nothing is repeated
	if e.Class >= 0 && e.Class < len(s.cfg.Classes) {
		class = &s.cfg.Classes[e.Class]
	}
	m := &message{
		id: e.ID, class: class, dest: d, arrived: s.now, dropDead: e.DropDead, worth: class.Worth,
		born: e.DropDead - class.Deadline,
	}
	m.aim = min(class.Aim+span(class.AimStretch*seconds(e.Hint)), max(class.Deadline, class.Aim))
	if !s.inShare(e.Tenant) {
		m.worth *= s.cfg.OverShareWorth
	}
	s.msgs[m.id] = m
	if s.shared() && (d.claim.alone || d.claim.heardAt < d.claim.askedAt) {
		arrival, _ := s.allowance(d)
		d.claim.tokens += arrival
	}
	return m, d
}

// hold puts a message that was taken on among the waiting.
func (s *Sender) hold(m *message, key string) {
	s.open = append(s.open, m)
	if m.class.Ordered && key != "" {
		m.key = key
		s.lines[m.key] = append(s.lines[m.key], m)
	}
	s.enqueue(m)
	for _, e := range m.dest.endpoints {
		if e.route.recovering() {
			e.route.demand += 1 / float64(len(m.dest.endpoints))
		}
	}
}

// askable is the check before every send but for the grant.
func (s *Sender) askable(m *message, e *endpoint) bool {
	return s.fits(m, e) && e.usable() && s.now >= e.route.waitUntil
}

// shared tells that the senders share limits by notes at all.
func (s *Sender) shared() bool { return s.cfg.MayTell && s.cfg.Fleet > 1 }

// governed tells that calls to the destination wait for grants.
func (s *Sender) governed(d *destination) bool { return s.shared() && !d.claim.alone }
