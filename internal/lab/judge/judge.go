// Package judge holds a run against the rules and counts what it was worth. It hears what happens at clients, endpoints
// and nodes, keeps a ledger of its own, and asks no policy anything.
package judge

import (
	"fmt"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/lab/model"
)

const (
	slack      = 50 * time.Millisecond  // every time limit is so much longer
	noticeLate = 300 * time.Millisecond // a final answer may come so late after its message's time
	backGrace  = 1500 * time.Millisecond
	crossed    = 100 * time.Millisecond // a wait lets calls through that were on their way
	maxKept    = 20                     // violations that are told in full
	ringSize   = 1 << 13
	windowSize = 5 * time.Second
	worstSize  = 10 * time.Second
)

// Violation is a broken rule.
type Violation struct {
	Rule   string        `json:"rule"`
	At     time.Duration `json:"at"`
	Msg    string        `json:"msg,omitempty"`
	Node   int           `json:"node"`
	Text   string        `json:"text"`
	Around []string      `json:"around,omitempty"`
}

// Judge is the ledger of one run. It is an Observer.
type Judge struct {
	day   *model.Day
	msgs  map[string]*entry
	tries map[string]*try
	nodes []nodeEntry
	dests []destEntry
	place map[string]int // of endpoints, their destination
	ring  []model.Event
	seen  int
	now   time.Duration
	res   Result
}

// entry is a message as it was handed in once.
type entry struct {
	first, id   string
	class, dest int
	node        int
	deadline    time.Duration
	taken, over bool
	delivered   bool
	attempts    []attempt
}

type attempt struct {
	sentAt      time.Duration
	began, done bool
	notRun      bool
	zone        int
	endpoint    string
}

// try is a client's first try and all that came of it.
type try struct {
	at        time.Duration
	class     int
	tenant    int
	dest      int
	inShare   bool
	earned    float64
	delivered bool
	late      bool
	answered  bool
	end       choice.Outcome
}

type nodeEntry struct {
	up     bool
	upAt   time.Duration
	open   []*entry // handed in there; some are over
	waits  map[string]until
	drains map[string]time.Duration
}

type until struct{ from, to time.Duration }

type destEntry struct {
	apart     bool
	down      int // endpoints of it that are
	downAt    time.Duration
	witnesses map[int]bool
	sends     []sender // in the last span of the cold budget
}

type sender struct {
	at   time.Duration
	node int
}

// New makes the ledger of one run of a day.
func New(day *model.Day) *Judge {
	j := &Judge{
		day: day, msgs: map[string]*entry{}, tries: map[string]*try{}, place: map[string]int{},
		nodes: make([]nodeEntry, len(day.Nodes)), dests: make([]destEntry, len(day.Dests)), ring: make([]model.Event, 0, 256),
	}
	for i, d := range day.Dests {
		j.dests[i] = destEntry{apart: d.Kind < len(day.Settings.Kinds) && day.Settings.Kinds[d.Kind].SeparateRoutes, witnesses: map[int]bool{}}
		for _, e := range d.Endpoints {
			j.place[e.ID] = i
		}
	}
	return j
}

// broken notes a violation.
func (j *Judge) broken(rule string, e *model.Event, format string, args ...any) {
	j.res.Broken++
	if len(j.res.Violations) >= maxKept {
		return
	}
	v := Violation{Rule: rule, At: e.At - model.Start(), Msg: e.Msg, Node: e.Node, Text: fmt.Sprintf(format, args...)}
	for i := range j.ring {
		o := &j.ring[(j.seen+i)%len(j.ring)]
		if e.Msg != "" && o.Msg == e.Msg || e.Msg == "" && o.Node == e.Node && e.At-o.At < time.Second {
			v.Around = append(v.Around, Describe(o))
		}
	}
	if n := len(v.Around); n > 40 {
		v.Around = v.Around[n-40:]
	}
	j.res.Violations = append(j.res.Violations, v)
}

// Observe takes what happens. (model.Observer)
func (j *Judge) Observe(e *model.Event) {
	j.now = e.At
	if len(j.ring) < ringSize {
		j.ring = append(j.ring, *e)
	} else {
		j.ring[j.seen%ringSize] = *e
	}
	j.seen++
	j.res.Events++
	switch e.What {
	case model.HandedIn:
		j.handedIn(e)
	case model.TakenOn:
		if m := j.msgs[e.Msg]; m != nil {
			m.taken = true
		}
	case model.Answered:
		j.answered(e)
	case model.Sent:
		j.sent(e)
	case model.Began:
		j.began(e)
	case model.Ran:
		j.ran(e)
	case model.Ended:
		j.ended(e)
	case model.Refused:
		j.res.OverLimit++
		j.window().OverLimit++
	case model.ToldList:
		n := &j.nodes[e.Node]
		if n.drains == nil {
			n.drains = map[string]time.Duration{}
		}
		if _, told := n.drains[e.Endpoint]; !told {
			n.drains[e.Endpoint] = e.At
		}
	case model.OutageBegan, model.OutageEnded:
		d := &j.dests[e.Dest]
		if e.What == model.OutageEnded {
			d.down--
			break
		}
		if d.down++; d.down == 1 {
			if e.At-d.downAt > j.day.Settings.WarmUpTime {
				clear(d.witnesses)
			}
			d.downAt = e.At
		}
	case model.Fell:
		j.fell(e)
	case model.Died:
		n := &j.nodes[e.Node]
		n.up, n.waits = false, nil
		j.died(e)
	case model.Started:
		j.nodes[e.Node].up, j.nodes[e.Node].upAt = true, e.At
	case model.Datagram:
		j.res.PeerBytes += int64(e.Attempt)
		j.res.Datagrams++
	case model.Handshake:
		j.res.Handshakes++
	case model.Strange:
		j.broken("malformed", e, "%s", e.Text)
	}
}

func (j *Judge) handedIn(e *model.Event) {
	m := &entry{first: e.First, id: e.Msg, class: e.Class, dest: e.Dest, node: e.Node, deadline: e.Deadline}
	j.msgs[e.Msg] = m
	j.nodes[e.Node].open = append(j.nodes[e.Node].open, m)
	if e.Msg != e.First {
		j.res.Again++
		return
	}
	j.tries[e.First] = &try{at: e.At, class: e.Class, tenant: e.Tenant, dest: e.Dest, inShare: e.InShare}
	j.res.Offered++
	j.window().Offered++
}

func (j *Judge) answered(e *model.Event) {
	m, t := j.msgs[e.Msg], j.tries[e.First]
	if m == nil || t == nil {
		j.broken("answer", e, "an answer to a message that nobody handed in")
		return
	}
	if m.over {
		j.broken("answer", e, "a second final answer")
		return
	}
	m.over = true
	if late := e.At - m.deadline; m.taken && late > j.day.Settings.AnswerGrace+noticeLate && e.At > j.nodes[e.Node].upAt+backGrace {
		j.broken("answer", e, "the final answer comes %v late", late)
	}
	// What a client hears last counts; a delivery outlives a refusal heard elsewhere.
	t.answered = true
	if !t.delivered {
		t.end = e.Outcome
	}
	if e.Outcome != choice.Success {
		return
	}
	if !m.delivered {
		j.broken("answer", e, "told as delivered, and it has not run")
	}
	if !t.delivered {
		t.delivered, t.end = true, choice.Success
		t.earned, t.late = j.worth(t, e.At)
	}
}

// worth is what a delivery at a moment earns, and whether it is past the aim.
func (j *Judge) worth(t *try, at time.Duration) (float64, bool) {
	return Worth(&j.day.Settings, t.class, j.asked(t), at-t.at)
}

// Worth is what a message of a class that asks for so much earns if it is delivered at an age, and whether that is past its
// aim.
func Worth(s *choice.Settings, class int, asked float64, age time.Duration) (float64, bool) {
	c := s.Classes[class]
	switch {
	case age <= c.Aim:
		return asked, false
	case age > c.Deadline+s.AnswerGrace+slack:
		return 0, true
	case s.WorthHalves:
		w := asked
		for late := age - c.Aim; late > 0; late -= c.Aim {
			w /= 2
		}
		return max(w, asked*c.LateWorth), true
	}
	part := float64(age-c.Aim) / float64(max(c.Deadline-c.Aim, 1))
	return asked * (1 - (1-c.LateWorth)*part), true
}

func (j *Judge) asked(t *try) float64 { return Asked(&j.day.Settings, t.class, t.inShare) }

// Asked is what a message of a class can earn at most, in its tenant's share or beyond it.
func Asked(s *choice.Settings, class int, inShare bool) float64 {
	if inShare {
		return s.Classes[class].Worth
	}
	return s.Classes[class].Worth * s.OverQuotaWorth
}

func (j *Judge) attempt(e *model.Event) (*entry, *attempt) {
	m := j.msgs[e.Msg]
	if m == nil || e.Attempt < 0 || e.Attempt >= len(m.attempts) {
		return m, nil
	}
	return m, &m.attempts[e.Attempt]
}

func (j *Judge) sent(e *model.Event) {
	m := j.msgs[e.Msg]
	if m == nil {
		return
	}
	m.attempts = append(m.attempts, attempt{sentAt: e.At, zone: e.Zone, endpoint: e.Endpoint})
	if e.Dest != m.dest {
		j.broken("endpoint", e, "sent to %s of destination %d, and it is for %d", e.Endpoint, e.Dest, m.dest)
	}
}

func (j *Judge) began(e *model.Event) {
	j.res.Calls++
	j.window().Calls++
	if j.day.Nodes[e.Node].Zone != e.Zone {
		j.res.Crossed++
	}
	m, a := j.attempt(e)
	if a == nil {
		return
	}
	a.began = true
	c := j.day.Settings.Classes[m.class]
	for i := range m.attempts[:e.Attempt] {
		o := &m.attempts[i]
		if o.began && !o.done && !j.day.Settings.MayDuplicate {
			j.broken("copies", e, "attempt %d is still out", i)
		}
		mayRun := !o.notRun && (o.began || !o.done)
		if !mayRun {
			continue
		}
		switch {
		case c.Effect == choice.AtMostOnce:
			j.broken("repeat", e, "attempt %d may have run", i)
		case c.Effect == choice.Deduplicated && e.At-o.sentAt > c.DedupWindow+slack:
			j.broken("repeat", e, "attempt %d may have run %v ago", i, e.At-o.sentAt)
		case c.Effect == choice.Deduplicated && !c.AllEndpointsDeduplicate && o.zone != e.Zone:
			j.broken("repeat", e, "attempt %d may have run in another zone", i)
		}
	}
	n := &j.nodes[e.Node]
	if told, ok := n.drains[e.Endpoint]; ok && e.Wrote > told+j.day.Settings.DrainTimeout+slack {
		j.broken("drain", e, "sent %v after the node was told", e.Wrote-told)
	}
	if w, ok := n.waits[j.waitKey(e)]; ok && e.Wrote < w.to-slack && e.Wrote > w.from+crossed {
		j.broken("wait", e, "sent %v before the end of a wait", w.to-e.Wrote)
	}
	d := &j.dests[e.Dest]
	d.sends = append(d.sends, sender{e.At, e.Node})
	if len(d.sends) > 4096 {
		j.trim(d, e.At)
	}
}

func (j *Judge) waitKey(e *model.Event) string {
	if j.dests[e.Dest].apart {
		return e.Endpoint
	}
	return fmt.Sprint(e.Dest)
}

func (j *Judge) trim(d *destEntry, now time.Duration) {
	keep := 0
	for keep < len(d.sends) && now-d.sends[keep].at > j.day.Settings.OverloadDuration {
		keep++
	}
	d.sends = append(d.sends[:0], d.sends[keep:]...)
}

func (j *Judge) ran(e *model.Event) {
	m := j.msgs[e.Msg]
	if m == nil {
		return
	}
	if m.delivered {
		j.res.Repeated++
	}
	m.delivered = true
}

func (j *Judge) ended(e *model.Event) {
	_, a := j.attempt(e)
	if a != nil {
		a.done = true
		a.notRun = e.Outcome == choice.Rejected || e.Outcome == choice.ConnectFailed || e.Outcome == choice.NotSent
		if a.began && (e.Outcome == choice.ConnectFailed || e.Outcome == choice.NotSent) {
			a.notRun = false
		}
	}
	n := &j.nodes[e.Node]
	if e.Wait > 0 {
		if n.waits == nil {
			n.waits = map[string]until{}
		}
		k := j.waitKey(e)
		if w := n.waits[k]; e.At+e.Wait > w.to {
			n.waits[k] = until{e.At, e.At + e.Wait}
		}
	}
	if d := &j.dests[e.Dest]; d.down > 0 && e.Outcome != choice.Success && e.Outcome != choice.NotSent && e.Outcome != choice.Cancelled {
		d.witnesses[e.Node] = true
	}
}

// fell tells who pushed a cold destination over.
func (j *Judge) fell(e *model.Event) {
	d := &j.dests[e.Dest]
	j.trim(d, e.At)
	knew := 0
	for _, s := range d.sends {
		if d.witnesses[s.node] {
			knew++
		}
	}
	j.res.Fell++
	if len(d.sends) > 0 && 3*knew >= 2*len(d.sends) {
		j.broken("cold", e, "destination %d fell over; %d of its last %d calls came from nodes that knew", e.Dest, knew, len(d.sends))
	}
}

// died ends what was out at a node.
func (j *Judge) died(e *model.Event) {
	open := j.nodes[e.Node].open[:0]
	for _, m := range j.nodes[e.Node].open {
		if m.over {
			continue
		}
		for i := range m.attempts {
			m.attempts[i].done = true
		}
		open = append(open, m)
	}
	j.nodes[e.Node].open = open
}
