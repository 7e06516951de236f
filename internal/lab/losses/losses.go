// Package losses attributes the worth that was not earned on a day in the lab to causes, in total, by phase of the day
// and by kind of destination. It also measures how fairly senders were served. Like the judge it only observes events
// and does not rely on what a policy says about itself.
package losses

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"harrierramp/choice"
	"harrierramp/internal/lab/judge"
	"harrierramp/internal/lab/model"
)

// Cause is the reason why a message earned less than it could have.
type Cause int

// The causes. "WithCapacity" means that the destination executed less than saturatedShare of its capacity, and rejected
// no call over its limit, while the message waited or was refused: some node could have sent it. The capacity is the
// rate limit, or the rate of the destination's best two seconds of the day if that is lower. The second bound is
// measured because the throughput of the endpoints depends on which messages arrive from where, which the day's
// description does not say. For a destination that never had enough traffic, spare capacity is therefore reported too
// rarely.
const (
	RefusedSaturated    Cause = iota // refused at arrival; the destination was saturated
	RefusedWithCapacity              // refused at arrival although the destination had spare capacity
	WaitedSaturated                  // waited for a call; the destination was saturated
	WaitedWithCapacity               // waited for a call although the destination had spare capacity
	ZonePartitioned                  // the zone of its node was partitioned from the others
	DestinationDegraded              // refused, or waited, while an endpoint of its destination was down or cold after an outage
	OverLimit                        // its calls were rejected
	EndpointDown                     // its calls went to an endpoint that was down or did not connect
	Retried                          // its calls failed otherwise, or their responses were lost
	SlowEndpoint                     // sent in time, but the endpoint was slow
	NodeDown                         // its node was down
	causeCount
)

var causeNames = [causeCount]string{
	"refused at arrival, used up", "refused at arrival, with room", "waited, used up", "waited, with room", "zone cut off",
	"endpoints down or cold",
	"over the limit",
	"sent to the dead", "failed and tried again", "slow partner", "node was dead",
}

// String returns the name of the cause, which is also its key in reports.
func (c Cause) String() string { return causeNames[c] }

const (
	saturatedShare      = 0.85                   // share of its capacity from which on a destination counts as saturated
	binSize             = 500 * time.Millisecond // length of a bin
	arrivalRefusalTime  = 50 * time.Millisecond  // a refusal within this time is one at arrival
	fairnessWindow      = 10 * time.Second       // the shares of senders are compared in windows of this length
	minFairnessMessages = 3                      // senders with fewer messages in a window are left out
)

// The phases of a day: before its first fault, until the end of its last one, and after that.
const (
	beforeFaults = iota
	duringFaults
	afterFaults
	phaseCount
)

var phaseNames = [phaseCount]string{"before", "during", "after"}

// message is a client's message over all its submissions.
type message struct {
	at, deadline     time.Duration
	class, dest      int
	node, tenant     int
	maxWorth, earned float64
	deliveredAt      time.Duration // 0 if not delivered
	refusedAtArrival bool
	nodeUnavailable  bool
	submittedAt      time.Duration             // of the last submission
	firstSentAt      time.Duration             // 0 if never sent
	timeByCause      [causeCount]time.Duration // time that its attempts took, by cause
	sentAt           map[int]time.Duration     // attempts in progress, of the last submission
	endpointOf       map[int]string            // endpoint of each attempt
}

// bin counts the calls that a destination executed and rejected over its limit in a span of binSize.
type bin struct {
	executed, overLimit int
	degraded            bool // an endpoint was down or cold
}

// Ledger collects what the report of a day needs. It implements model.Observer.
type Ledger struct {
	day          *model.Day
	messages     map[string]*message
	order        []*message      // in the order of first submission
	bins         [][]bin         // by destination
	limitRates   []float64       // calls per second that the rate limit allows, by destination
	down         map[string]bool // endpoints that are down
	peakRates    []float64       // see peakRate; computed at the end of the day
	downCounts   []int           // number of endpoints that are down, by destination
	coldUntil    []time.Duration // by destination
	destOf       map[string]int  // destination of each endpoint
	longestWaits []time.Duration // longest time until the first call of a message, by node
}

// New creates the ledger of a run of a day.
func New(day *model.Day) *Ledger {
	l := &Ledger{
		day: day, messages: map[string]*message{}, bins: make([][]bin, len(day.Dests)), limitRates: make([]float64, len(day.Dests)),
		down: map[string]bool{}, downCounts: make([]int, len(day.Dests)), coldUntil: make([]time.Duration, len(day.Dests)), destOf: map[string]int{}, longestWaits: make([]time.Duration, len(day.Nodes)),
	}
	for i, d := range day.Dests {
		for _, e := range d.Endpoints {
			l.destOf[e.ID] = i
		}
		if l.limitRates[i] = d.Limit; d.Kind >= 0 && d.Kind < len(day.Settings.Kinds) && day.Settings.Kinds[d.Kind].SeparateRoutes {
			l.limitRates[i] *= float64(len(d.Endpoints))
		}
	}
	return l
}

// bin returns the bin of a time. Bins that are created on the way take the destination's present condition.
func (l *Ledger) bin(dest int, at time.Duration) *bin {
	i := int(max(at, 0) / binSize)
	for len(l.bins[dest]) <= i {
		begins := time.Duration(len(l.bins[dest])) * binSize
		l.bins[dest] = append(l.bins[dest], bin{degraded: l.downCounts[dest] > 0 || begins < l.coldUntil[dest]})
	}
	return &l.bins[dest][i]
}

// Observe handles an event. It implements model.Observer.
func (l *Ledger) Observe(e *model.Event) {
	switch e.Kind {
	case model.OutageBegan:
		if d, known := l.destOf[e.Endpoint]; known && !l.down[e.Endpoint] {
			l.down[e.Endpoint] = true
			l.bin(d, e.At).degraded = true
			l.downCounts[d]++
		}
		return
	case model.OutageEnded:
		if d, known := l.destOf[e.Endpoint]; known && l.down[e.Endpoint] {
			delete(l.down, e.Endpoint)
			l.bin(d, e.At).degraded = true
			l.downCounts[d]--
			l.coldUntil[d] = e.At + l.day.Settings.WarmUpTime
		}
		return
	case model.LimitExceeded:
		l.bin(e.Dest, e.At).overLimit++
		return
	case model.Executed:
		l.bin(e.Dest, e.At).executed++
		return
	case model.Submitted:
		l.submitted(e)
		return
	}
	m := l.messages[e.FirstID]
	if m == nil {
		return
	}
	l.bin(m.dest, e.At) // creates the bins up to now in the present condition
	switch e.Kind {
	case model.NodeUnavailable:
		m.nodeUnavailable = true
	case model.Sent:
		if m.firstSentAt == 0 {
			m.firstSentAt = e.At
			l.longestWaits[e.Node] = max(l.longestWaits[e.Node], e.At-m.at)
		}
		m.sentAt[e.Attempt], m.endpointOf[e.Attempt] = e.At, e.Endpoint
	case model.AttemptEnded:
		l.attemptEnded(m, e)
	case model.Answered:
		switch {
		case e.Outcome == choice.Success && m.deliveredAt == 0:
			m.deliveredAt = e.At
			m.earned, _ = judge.Worth(&l.day.Settings, m.class, m.maxWorth, e.At-m.at)
		case e.Outcome == choice.Rejected && m.firstSentAt == 0 && e.At-m.submittedAt <= arrivalRefusalTime:
			m.refusedAtArrival = true
		}
	}
}

func (l *Ledger) submitted(e *model.Event) {
	m := l.messages[e.FirstID]
	if m == nil {
		m = &message{
			at: e.At, deadline: e.Deadline, class: e.Class, dest: e.Dest, node: e.Node, tenant: e.Tenant,
			maxWorth: judge.MaxWorth(&l.day.Settings, e.Class, e.InQuota),
		}
		l.messages[e.FirstID] = m
		l.order = append(l.order, m)
	}
	l.bin(m.dest, e.At)
	m.submittedAt, m.nodeUnavailable, m.sentAt, m.endpointOf = e.At, false, map[int]time.Duration{}, map[int]string{}
}

// attemptEnded adds the time that an attempt took to the cause that its outcome indicates.
func (l *Ledger) attemptEnded(m *message, e *model.Event) {
	began, inProgress := m.sentAt[e.Attempt]
	if !inProgress {
		return
	}
	took, cause := e.At-began, Retried
	switch {
	case e.Outcome == choice.Success:
		cause = SlowEndpoint
	case e.Outcome == choice.Rejected:
		cause = OverLimit
	case e.Outcome == choice.ConnectFailed || l.down[m.endpointOf[e.Attempt]]:
		cause = EndpointDown
	}
	m.timeByCause[cause] += max(took, time.Millisecond)
	delete(m.sentAt, e.Attempt)
}

// peakBins is the number of bins over which peakRate looks for the maximum: two seconds.
const peakBins = 4

// peakRate returns the calls per second that a destination executed in its best two seconds.
func peakRate(bins []bin) float64 {
	sum, highest := 0, 0
	for i, b := range bins {
		if sum += b.executed; i >= peakBins {
			sum -= bins[i-peakBins].executed
		}
		highest = max(highest, sum)
	}
	return float64(highest) / (peakBins * binSize.Seconds())
}

// hadCapacity reports whether a destination had spare capacity in a period, and whether none of its endpoints was down
// or cold.
func (l *Ledger) hadCapacity(dest int, from, to time.Duration) (spare, healthy bool) {
	healthy = true
	executed, overLimit, saturated, capacity := 0, 0, 0.0, l.peakRates[dest]
	if limit := l.limitRates[dest]; limit > 0 {
		capacity = min(capacity, limit)
	}
	first, last := int(max(from, 0)/binSize), int(max(to, from, 0)/binSize)
	for i := first; i <= last; i++ {
		var b bin
		if i < len(l.bins[dest]) {
			b = l.bins[dest][i]
		}
		saturated += saturatedShare * capacity * l.capacityFactor(dest, time.Duration(i)*binSize) * binSize.Seconds()
		executed, overLimit, healthy = executed+b.executed, overLimit+b.overLimit, healthy && !b.degraded
	}
	return overLimit == 0 && float64(executed) < saturated, healthy
}

// capacityFactor returns the share of its capacity that a destination had at a time, given the faults of the day.
func (l *Ledger) capacityFactor(dest int, at time.Duration) float64 {
	factor := 1.0
	at -= model.StartTime()
	for _, f := range l.day.Faults {
		switch {
		case at < f.At || at >= f.At+f.Duration || !slices.Contains(f.Dests, dest):
		case f.Kind == model.LowerLimit:
			factor *= f.Size
		case f.Kind == model.Slow && f.Size > 1:
			factor /= f.Size
		}
	}
	return factor
}

// partitioned reports whether a node's zone was partitioned from the others at some time in a period.
func (l *Ledger) partitioned(node int, from, to time.Duration) bool {
	for _, f := range l.day.Faults {
		begins := f.At + model.StartTime()
		if f.Kind == model.ZonePartition && f.Zone == l.day.Nodes[node].Zone && from < begins+f.Duration && to >= begins {
			return true
		}
	}
	return false
}

// cause returns the cause that took most of a message's time.
func (l *Ledger) cause(m *message) Cause {
	// full chooses between the causes for a destination with and without spare capacity; outages come first.
	full := func(withCapacity, full Cause, from, to time.Duration) Cause {
		switch spare, healthy := l.hadCapacity(m.dest, from, to); {
		case l.partitioned(m.node, from, to):
			return ZonePartitioned
		case !healthy:
			return DestinationDegraded
		case spare:
			return withCapacity
		}
		return full
	}
	aim := l.day.Settings.Classes[m.class].Aim // a delivery by then would have earned the full worth
	if m.firstSentAt == 0 {
		switch {
		case m.nodeUnavailable:
			return NodeDown
		case m.refusedAtArrival:
			return full(RefusedWithCapacity, RefusedSaturated, m.submittedAt, m.submittedAt+aim)
		}
		return full(WaitedWithCapacity, WaitedSaturated, m.at, m.deadline)
	}
	best, most := full(WaitedWithCapacity, WaitedSaturated, m.at, m.firstSentAt), m.firstSentAt-m.at
	if m.refusedAtArrival { // the client submitted it again; the time in between is due to the refusal
		best = full(RefusedWithCapacity, RefusedSaturated, m.at, m.at+aim)
	}
	for c, spent := range m.timeByCause {
		if spent > most {
			best, most = Cause(c), spent
		}
	}
	return best
}

// phase returns the phase of the day at a time.
func (l *Ledger) phase(at time.Duration) int {
	at -= model.StartTime()
	begins, ends := time.Duration(math.MaxInt64), time.Duration(0)
	for _, f := range l.day.Faults {
		begins, ends = min(begins, f.At), max(ends, f.At+f.Duration)
	}
	switch {
	case at < begins:
		return beforeFaults
	case at < ends:
		return duringFaults
	}
	return afterFaults
}

// Report says which share of the possible worth was earned on a day, to which causes the rest was lost, and how fairly
// senders were served.
type Report struct {
	Served   float64                       `json:"served"`
	Lost     map[string]float64            `json:"lost"`     // by cause, as a share of the possible worth
	ByPhase  map[string]map[string]float64 `json:"by_phase"` // by phase and cause
	ByKind   map[int]map[string]float64    `json:"by_kind"`  // by kind of destination and cause
	Fairness map[string]float64            `json:"fair"`
}

// Report closes the ledger and returns the report.
func (l *Ledger) Report() Report {
	l.peakRates = make([]float64, len(l.bins))
	for i, b := range l.bins {
		l.peakRates[i] = peakRate(b)
	}
	r := Report{Lost: map[string]float64{}, ByPhase: map[string]map[string]float64{}, ByKind: map[int]map[string]float64{}}
	total := 0.0
	for _, m := range l.order {
		total += m.maxWorth
		r.Served += m.earned
	}
	add := func(to map[string]float64, cause Cause, lost float64) { to[cause.String()] += lost / total }
	for _, m := range l.order {
		lost := m.maxWorth - m.earned
		if lost <= 0 {
			continue
		}
		c, phase, kind := l.cause(m), phaseNames[l.phase(m.at)], l.day.Dests[m.dest].Kind
		if r.ByPhase[phase] == nil {
			r.ByPhase[phase] = map[string]float64{}
		}
		if r.ByKind[kind] == nil {
			r.ByKind[kind] = map[string]float64{}
		}
		add(r.Lost, c, lost)
		add(r.ByPhase[phase], c, lost)
		add(r.ByKind[kind], c, lost)
	}
	r.Served /= max(total, 1e-9)
	r.Fairness = l.fairness()
	return r
}

// fairness returns the measures of fairness between senders, that is, nodes. jain_10s is the lowest Jain's index of the
// shares of worth that they earned in a window of ten seconds, and worst_10s the lowest such share; both leave out
// senders with fewer than minFairnessMessages messages in the window. wait_longest_s is the longest time in seconds
// until the first call of a message. jain_tenant and jain_zone are Jain's index over tenants and over zones for the
// whole day.
//
// Source of the index: Jain, Chiu and Hawe, A quantitative measure of fairness, DEC TR-301, 1984.
func (l *Ledger) fairness() map[string]float64 {
	type key struct {
		window time.Duration
		node   int
	}
	type sum struct {
		asked, earned float64
		count         int
	}
	by, tenants, zones := map[key]*sum{}, map[int]*sum{}, map[int]*sum{}
	addTo := func(s *sum, m *message) *sum {
		if s == nil {
			s = &sum{}
		}
		s.asked, s.earned, s.count = s.asked+m.maxWorth, s.earned+m.earned, s.count+1
		return s
	}
	for _, m := range l.order {
		k := key{m.at / fairnessWindow, m.node}
		by[k], tenants[m.tenant] = addTo(by[k], m), addTo(tenants[m.tenant], m)
		zone := l.day.Nodes[m.node].Zone
		zones[zone] = addTo(zones[zone], m)
	}
	windows := map[time.Duration][]float64{}
	for k, s := range by {
		if s.count >= minFairnessMessages && s.asked > 0 {
			windows[k.window] = append(windows[k.window], s.earned/s.asked)
		}
	}
	out := map[string]float64{"jain_10s": 1, "worst_10s": 1, "wait_longest_s": 0}
	for _, shares := range windows {
		out["jain_10s"] = min(out["jain_10s"], Jain(shares))
		for _, x := range shares {
			out["worst_10s"] = min(out["worst_10s"], x)
		}
	}
	for _, w := range l.longestWaits {
		out["wait_longest_s"] = max(out["wait_longest_s"], w.Seconds())
	}
	for name, sums := range map[string]map[int]*sum{"tenant": tenants, "zone": zones} {
		var shares []float64
		for _, s := range sums {
			shares = append(shares, s.earned/max(s.asked, 1e-9))
		}
		out["jain_"+name] = Jain(shares)
	}
	return out
}

// Jain returns Jain's fairness index of shares: 1 if all n are equal, 1/n if one has everything. It is 1 if there are
// no shares or all are zero.
func Jain(shares []float64) float64 {
	if len(shares) == 0 {
		return 1
	}
	mean, variance := stat.PopMeanVariance(shares, nil)
	if mean == 0 {
		return 1
	}
	return mean * mean / (mean*mean + variance)
}
