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
	ArrivalFull Cause = iota // refused at arrival, and the destination was used up
	ArrivalRoom              // refused at arrival though there was room
	WaitFull                 // waited for a call, and the destination was used up
	WaitRoom                 // waited for a call though there was room
	Cut                      // its sender's zone was cut off
	Hurt                     // refused or waited while an endpoint of its destination was down, or cold after it
	OverLimit                // its calls were refused over a limit
	Dead                     // its calls met an endpoint that was down, or nothing
	Retried                  // its calls failed otherwise, or their answers were lost
	Slow                     // it was called in time, and the partner was slow
	Node                     // its node was dead
	causes
)

var names = [causes]string{
	"refused at arrival, used up", "refused at arrival, with room", "waited, used up", "waited, with room", "zone cut off",
	"endpoints down or cold",
	"over the limit",
	"sent to the dead", "failed and tried again", "slow partner", "node was dead",
}

func (c Cause) String() string { return names[c] }

const (
	roomShare  = 0.85
	binSize    = 500 * time.Millisecond
	atArrival  = 50 * time.Millisecond // a refusal so soon is one at arrival
	fairWindow = 10 * time.Second
	fairLeast  = 3 // messages of a sender in a window, to be counted for fairness
)

// The phases of a day: before its first trouble, while one lasts, and after.
const (
	before = iota
	during
	after
	phases
)

var phaseNames = [phases]string{"before", "during", "after"}

// message is a client's first try and all that came of it.
type message struct {
	at, deadline     time.Duration
	class, dest      int
	node, tenant     int
	asked, earned    float64
	deliveredAt      time.Duration // 0 for not
	refusedAtArrival bool
	unheard          bool
	handedIn         time.Duration // last
	firstSent        time.Duration // 0 for never
	spent            [causes]time.Duration
	sentAt           map[int]time.Duration // attempts that are out, of the last hand-in
	endpoint         map[int]string
}

type bin struct {
	passed, refused int
	hurt            bool // some endpoint was down or cold
}

// Ledger gathers a day. It is an Observer.
type Ledger struct {
	day      *model.Day
	messages map[string]*message
	order    []*message
	bins     [][]bin   // by destination
	can      []float64 // calls a second, by the limit
	down     map[string]bool
	bests    []float64       // of best, once the day is over
	downs    []int           // endpoints of each destination
	cold     []time.Duration // until then
	place    map[string]int  // of endpoints
	waits    []time.Duration // of each sender, the longest for a first call
}

// New is for a day.
func New(day *model.Day) *Ledger {
	l := &Ledger{
		day: day, messages: map[string]*message{}, bins: make([][]bin, len(day.Dests)), can: make([]float64, len(day.Dests)),
		down: map[string]bool{}, downs: make([]int, len(day.Dests)), cold: make([]time.Duration, len(day.Dests)), place: map[string]int{}, waits: make([]time.Duration, len(day.Nodes)),
	}
	for i, d := range day.Dests {
		for _, e := range d.Endpoints {
			l.place[e.ID] = i
		}
		if l.can[i] = d.Limit; d.Kind >= 0 && d.Kind < len(day.Settings.Kinds) && day.Settings.Kinds[d.Kind].SeparateRoutes {
			l.can[i] *= float64(len(d.Endpoints))
		}
	}
	return l
}

func (l *Ledger) bin(dest int, at time.Duration) *bin {
	i := int(max(at, 0) / binSize)
	for len(l.bins[dest]) <= i {
		begins := time.Duration(len(l.bins[dest])) * binSize
		l.bins[dest] = append(l.bins[dest], bin{hurt: l.downs[dest] > 0 || begins < l.cold[dest]})
	}
	return &l.bins[dest][i]
}

// Observe hears of everything.
func (l *Ledger) Observe(e *model.Event) {
	switch e.What {
	case model.OutageBegan:
		if d, known := l.place[e.Endpoint]; known && !l.down[e.Endpoint] {
			l.down[e.Endpoint] = true
			l.bin(d, e.At).hurt = true
			l.downs[d]++
		}
		return
	case model.OutageEnded:
		if d, known := l.place[e.Endpoint]; known && l.down[e.Endpoint] {
			delete(l.down, e.Endpoint)
			l.bin(d, e.At).hurt = true
			l.downs[d]--
			l.cold[d] = e.At + l.day.Settings.WarmUpTime
		}
		return
	case model.Refused:
		l.bin(e.Dest, e.At).refused++
		return
	case model.Ran:
		l.bin(e.Dest, e.At).passed++
		return
	case model.HandedIn:
		l.handedIn(e)
		return
	}
	m := l.messages[e.First]
	if m == nil {
		return
	}
	l.bin(m.dest, e.At) // as it is at this moment
	switch e.What {
	case model.Unheard:
		m.unheard = true
	case model.Sent:
		if m.firstSent == 0 {
			m.firstSent = e.At
			l.waits[e.Node] = max(l.waits[e.Node], e.At-m.at)
		}
		m.sentAt[e.Attempt], m.endpoint[e.Attempt] = e.At, e.Endpoint
	case model.Ended:
		l.ended(m, e)
	case model.Answered:
		switch {
		case e.Outcome == choice.Success && m.deliveredAt == 0:
			m.deliveredAt = e.At
			m.earned, _ = judge.Worth(&l.day.Settings, m.class, m.asked, e.At-m.at)
		case e.Outcome == choice.Rejected && m.firstSent == 0 && e.At-m.handedIn <= atArrival:
			m.refusedAtArrival = true
		}
	}
}

func (l *Ledger) handedIn(e *model.Event) {
	m := l.messages[e.First]
	if m == nil {
		m = &message{
			at: e.At, deadline: e.Deadline, class: e.Class, dest: e.Dest, node: e.Node, tenant: e.Tenant,
			asked: judge.Asked(&l.day.Settings, e.Class, e.InShare),
		}
		l.messages[e.First] = m
		l.order = append(l.order, m)
	}
	l.bin(m.dest, e.At)
	m.handedIn, m.unheard, m.sentAt, m.endpoint = e.At, false, map[int]time.Duration{}, map[int]string{}
}

// ended books the time that an attempt took to the cause that its outcome names.
func (l *Ledger) ended(m *message, e *model.Event) {
	began, out := m.sentAt[e.Attempt]
	if !out {
		return
	}
	took, cause := e.At-began, Retried
	switch {
	case e.Outcome == choice.Success:
		cause = Slow
	case e.Outcome == choice.Rejected:
		cause = OverLimit
	case e.Outcome == choice.ConnectFailed || l.down[m.endpoint[e.Attempt]]:
		cause = Dead
	}
	m.spent[cause] += max(took, time.Millisecond)
	delete(m.sentAt, e.Attempt)
}

const bestBins = 4

// best is what a destination passed in a second of its best two.
func best(bins []bin) float64 {
	sum, most := 0, 0
	for i, b := range bins {
		if sum += b.passed; i >= bestBins {
			sum -= bins[i-bestBins].passed
		}
		most = max(most, sum)
	}
	return float64(most) / (bestBins * binSize.Seconds())
}

// room tells whether a destination could have taken more in a span, and whether all its endpoints were well.
func (l *Ledger) room(dest int, from, to time.Duration) (room, well bool) {
	well = true
	passed, refused, most, can := 0, 0, 0.0, l.bests[dest]
	if limit := l.can[dest]; limit > 0 {
		can = min(can, limit)
	}
	first, last := int(max(from, 0)/binSize), int(max(to, from, 0)/binSize)
	for i := first; i <= last; i++ {
		var b bin
		if i < len(l.bins[dest]) {
			b = l.bins[dest][i]
		}
		most += roomShare * can * l.part(dest, time.Duration(i)*binSize) * binSize.Seconds()
		passed, refused, well = passed+b.passed, refused+b.refused, well && !b.hurt
	}
	return refused == 0 && float64(passed) < most, well
}

// part is how much of what it can a destination could at a moment, by the day's troubles.
func (l *Ledger) part(dest int, at time.Duration) float64 {
	part := 1.0
	at -= model.Start()
	for _, t := range l.day.Troubles {
		switch {
		case at < t.At || at >= t.At+t.Len || !slices.Contains(t.Dests, dest):
		case t.Kind == model.Lower:
			part *= t.Size
		case t.Kind == model.Slow && t.Size > 1:
			part /= t.Size
		}
	}
	return part
}

// cut tells whether a node's zone was cut off at some moment of a span.
func (l *Ledger) cut(node int, from, to time.Duration) bool {
	for _, t := range l.day.Troubles {
		begins := t.At + model.Start()
		if t.Kind == model.CutZone && t.Zone == l.day.Nodes[node].Zone && from < begins+t.Len && to >= begins {
			return true
		}
	}
	return false
}

// cause is what took most of a message's time, of what it lost worth by.
func (l *Ledger) cause(m *message) Cause {
	full := func(room, full Cause, from, to time.Duration) Cause {
		switch some, well := l.room(m.dest, from, to); {
		case l.cut(m.node, from, to):
			return Cut
		case !well:
			return Hurt
		case some:
			return room
		}
		return full
	}
	aim := l.day.Settings.Classes[m.class].Aim // by then it would have been worth all
	if m.firstSent == 0 {
		switch {
		case m.unheard:
			return Node
		case m.refusedAtArrival:
			return full(ArrivalRoom, ArrivalFull, m.handedIn, m.handedIn+aim)
		}
		return full(WaitRoom, WaitFull, m.at, m.deadline)
	}
	best, most := full(WaitRoom, WaitFull, m.at, m.firstSent), m.firstSent-m.at
	if m.refusedAtArrival { // it came again, and the time in between is the refusal's
		best = full(ArrivalRoom, ArrivalFull, m.at, m.at+aim)
	}
	for c, spent := range m.spent {
		if spent > most {
			best, most = Cause(c), spent
		}
	}
	return best
}

func (l *Ledger) phase(at time.Duration) int {
	at -= model.Start()
	begins, ends := time.Duration(math.MaxInt64), time.Duration(0)
	for _, t := range l.day.Troubles {
		begins, ends = min(begins, t.At), max(ends, t.At+t.Len)
	}
	switch {
	case at < begins:
		return before
	case at < ends:
		return during
	}
	return after
}

// Report is where the worth of a day went, as shares of all that was asked for, and how fairly senders were served.
type Report struct {
	Served float64                       `json:"served"`
	Lost   map[string]float64            `json:"lost"`     // by cause
	Phases map[string]map[string]float64 `json:"by_phase"` // and phase
	Kinds  map[int]map[string]float64    `json:"by_kind"`  // and kind of destination
	Fair   map[string]float64            `json:"fair"`
}

// Report closes the ledger.
func (l *Ledger) Report() Report {
	l.bests = make([]float64, len(l.bins))
	for i, b := range l.bins {
		l.bests[i] = best(b)
	}
	r := Report{Lost: map[string]float64{}, Phases: map[string]map[string]float64{}, Kinds: map[int]map[string]float64{}}
	total := 0.0
	for _, m := range l.order {
		total += m.asked
		r.Served += m.earned
	}
	add := func(to map[string]float64, cause Cause, lost float64) { to[cause.String()] += lost / total }
	for _, m := range l.order {
		lost := m.asked - m.earned
		if lost <= 0 {
			continue
		}
		c, phase, kind := l.cause(m), phaseNames[l.phase(m.at)], l.day.Dests[m.dest].Kind
		if r.Phases[phase] == nil {
			r.Phases[phase] = map[string]float64{}
		}
		if r.Kinds[kind] == nil {
			r.Kinds[kind] = map[string]float64{}
		}
		add(r.Lost, c, lost)
		add(r.Phases[phase], c, lost)
		add(r.Kinds[kind], c, lost)
	}
	r.Served /= max(total, 1e-9)
	r.Fair = l.fairness()
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
		s.asked, s.earned, s.count = s.asked+m.asked, s.earned+m.earned, s.count+1
		return s
	}
	for _, m := range l.order {
		k := key{m.at / fairWindow, m.node}
		by[k], tenants[m.tenant] = into(by[k], m), into(tenants[m.tenant], m)
		zone := l.day.Nodes[m.node].Zone
		zones[zone] = into(zones[zone], m)
	}
	windows := map[time.Duration][]float64{}
	for k, s := range by {
		if s.count >= fairLeast && s.asked > 0 {
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
	for _, w := range l.waits {
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
