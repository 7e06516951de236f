// Package losses tells where the worth of a day in the lab went: each point that was not earned by its cause, by phase of
// the day and by kind of destination; and how fairly senders were served. It hears what happens, as the judge does, and
// asks no policy anything.
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

// Cause is why a message did not earn what it might have.
type Cause int

// The causes. Those with room are of messages whose destination passed less than roomShare of what it can and refused
// nothing, while they waited or were refused: somebody could have sent them. What it can is its limit, or what it passed in
// its best two seconds of the day if that is less: what endpoints serve together hangs on which messages come and where
// from, and can't be told from the day's description. So room is told too rarely for a destination that never had enough to do.
const (
	RefusedSaturated    Cause = iota // refused at arrival, and the destination was used up
	RefusedWithCapacity              // refused at arrival though there was room
	WaitedSaturated                  // waited for a call, and the destination was used up
	WaitedWithCapacity               // waited for a call though there was room
	ZonePartitioned                  // its sender's zone was cut off
	DestinationDegraded              // refused or waited while an endpoint of its destination was down, or cold after it
	OverLimit                        // its calls were refused over a limit
	EndpointDown                     // its calls met an endpoint that was down, or nothing
	Retried                          // its calls failed otherwise, or their answers were lost
	SlowEndpoint                     // it was called in time, and the partner was slow
	NodeDown                         // its node was dead
	causeCount
)

var causeNames = [causeCount]string{
	"refused at arrival, used up", "refused at arrival, with room", "waited, used up", "waited, with room", "zone cut off",
	"endpoints down or cold",
	"over the limit",
	"sent to the dead", "failed and tried again", "slow partner", "node was dead",
}

func (c Cause) String() string { return causeNames[c] }

const (
	saturatedShare      = 0.85
	binSize             = 500 * time.Millisecond
	arrivalRefusalTime  = 50 * time.Millisecond // a refusal so soon is one at arrival
	fairnessWindow      = 10 * time.Second
	minFairnessMessages = 3 // messages of a sender in a window, to be counted for fairness
)

// The phases of a day: before its first trouble, while one lasts, and after.
const (
	beforeFaults = iota
	duringFaults
	afterFaults
	phaseCount
)

var phaseNames = [phaseCount]string{"before", "during", "after"}

// message is a client's first try and all that came of it.
type message struct {
	at, deadline     time.Duration
	class, dest      int
	node, tenant     int
	maxWorth, earned float64
	deliveredAt      time.Duration // 0 for not
	refusedAtArrival bool
	nodeUnavailable  bool
	submittedAt      time.Duration // last
	firstSentAt      time.Duration // 0 for never
	timeByCause      [causeCount]time.Duration
	sentAt           map[int]time.Duration // attempts that are out, of the last hand-in
	endpointOf       map[int]string
}

type bin struct {
	executed, overLimit int
	degraded            bool // some endpoint was down or cold
}

// Ledger gathers a day. It is an Observer.
type Ledger struct {
	day          *model.Day
	messages     map[string]*message
	order        []*message
	bins         [][]bin   // by destination
	limitRates   []float64 // calls a second, by the limit
	down         map[string]bool
	peakRates    []float64       // of best, once the day is over
	downCounts   []int           // endpoints of each destination
	coldUntil    []time.Duration // until then
	destOf       map[string]int  // of endpoints
	longestWaits []time.Duration // of each sender, the longest for a first call
}

// New is for a day.
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

func (l *Ledger) bin(dest int, at time.Duration) *bin {
	i := int(max(at, 0) / binSize)
	for len(l.bins[dest]) <= i {
		begins := time.Duration(len(l.bins[dest])) * binSize
		l.bins[dest] = append(l.bins[dest], bin{degraded: l.downCounts[dest] > 0 || begins < l.coldUntil[dest]})
	}
	return &l.bins[dest][i]
}

// Observe hears of everything.
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
	l.bin(m.dest, e.At) // as it is at this moment
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

// ended books the time that an attempt took to the cause that its outcome names.
func (l *Ledger) attemptEnded(m *message, e *model.Event) {
	began, out := m.sentAt[e.Attempt]
	if !out {
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

const peakBins = 4

// best is what a destination passed in a second of its best two.
func peakRate(bins []bin) float64 {
	sum, most := 0, 0
	for i, b := range bins {
		if sum += b.executed; i >= peakBins {
			sum -= bins[i-peakBins].executed
		}
		most = max(most, sum)
	}
	return float64(most) / (peakBins * binSize.Seconds())
}

// room tells whether a destination could have taken more in a span, and whether all its endpoints were well.
func (l *Ledger) hadCapacity(dest int, from, to time.Duration) (room, well bool) {
	well = true
	passed, refused, most, can := 0, 0, 0.0, l.peakRates[dest]
	if limit := l.limitRates[dest]; limit > 0 {
		can = min(can, limit)
	}
	first, last := int(max(from, 0)/binSize), int(max(to, from, 0)/binSize)
	for i := first; i <= last; i++ {
		var b bin
		if i < len(l.bins[dest]) {
			b = l.bins[dest][i]
		}
		most += saturatedShare * can * l.capacityFactor(dest, time.Duration(i)*binSize) * binSize.Seconds()
		passed, refused, well = passed+b.executed, refused+b.overLimit, well && !b.degraded
	}
	return refused == 0 && float64(passed) < most, well
}

// part is how much of what it can a destination could at a moment, by the day's troubles.
func (l *Ledger) capacityFactor(dest int, at time.Duration) float64 {
	part := 1.0
	at -= model.StartTime()
	for _, t := range l.day.Faults {
		switch {
		case at < t.At || at >= t.At+t.Duration || !slices.Contains(t.Dests, dest):
		case t.Kind == model.LowerLimit:
			part *= t.Size
		case t.Kind == model.Slow && t.Size > 1:
			part /= t.Size
		}
	}
	return part
}

// cut tells whether a node's zone was cut off at some moment of a span.
func (l *Ledger) partitioned(node int, from, to time.Duration) bool {
	for _, t := range l.day.Faults {
		begins := t.At + model.StartTime()
		if t.Kind == model.ZonePartition && t.Zone == l.day.Nodes[node].Zone && from < begins+t.Duration && to >= begins {
			return true
		}
	}
	return false
}

// cause is what took most of a message's time, of what it lost worth by.
func (l *Ledger) cause(m *message) Cause {
	full := func(room, full Cause, from, to time.Duration) Cause {
		switch some, well := l.hadCapacity(m.dest, from, to); {
		case l.partitioned(m.node, from, to):
			return ZonePartitioned
		case !well:
			return DestinationDegraded
		case some:
			return room
		}
		return full
	}
	aim := l.day.Settings.Classes[m.class].Aim // by then it would have been worth all
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
	if m.refusedAtArrival { // it came again, and the time in between is the refusal's
		best = full(RefusedWithCapacity, RefusedSaturated, m.at, m.at+aim)
	}
	for c, spent := range m.timeByCause {
		if spent > most {
			best, most = Cause(c), spent
		}
	}
	return best
}

func (l *Ledger) phase(at time.Duration) int {
	at -= model.StartTime()
	begins, ends := time.Duration(math.MaxInt64), time.Duration(0)
	for _, t := range l.day.Faults {
		begins, ends = min(begins, t.At), max(ends, t.At+t.Duration)
	}
	switch {
	case at < begins:
		return beforeFaults
	case at < ends:
		return duringFaults
	}
	return afterFaults
}

// Report is where the worth of a day went, as shares of all that was asked for, and how fairly senders were served.
type Report struct {
	Served   float64                       `json:"served"`
	Lost     map[string]float64            `json:"lost"`     // by cause
	ByPhase  map[string]map[string]float64 `json:"by_phase"` // and phase
	ByKind   map[int]map[string]float64    `json:"by_kind"`  // and kind of destination
	Fairness map[string]float64            `json:"fair"`
}

// Report closes the ledger.
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

// fairness is Jain's index of the share of worth that senders get, and the worst share, in windows of ten seconds over
// those that asked for some messages there; the longest wait of any sender for a first call; and the same by tenant and
// zone over the day.
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
	into := func(s *sum, m *message) *sum {
		if s == nil {
			s = &sum{}
		}
		s.asked, s.earned, s.count = s.asked+m.maxWorth, s.earned+m.earned, s.count+1
		return s
	}
	for _, m := range l.order {
		k := key{m.at / fairnessWindow, m.node}
		by[k], tenants[m.tenant] = into(by[k], m), into(tenants[m.tenant], m)
		zone := l.day.Nodes[m.node].Zone
		zones[zone] = into(zones[zone], m)
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
	for name, of := range map[string]map[int]*sum{"tenant": tenants, "zone": zones} {
		var shares []float64
		for _, s := range of {
			shares = append(shares, s.earned/max(s.asked, 1e-9))
		}
		out["jain_"+name] = Jain(shares)
	}
	return out
}

// Jain is the fairness index of shares: 1 where all are equal, 1/n where one has all. Of none, and of all zero, it is 1.
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
