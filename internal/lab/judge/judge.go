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
	timingSlack     = 50 * time.Millisecond  // every time limit is so much longer
	maxNoticeDelay  = 300 * time.Millisecond // a final answer may come so late after its message's time
	restartGrace    = 1500 * time.Millisecond
	inTransitGrace  = 100 * time.Millisecond // a wait lets calls through that were on their way
	maxViolations   = 20                     // violations that are told in full
	ringSize        = 1 << 13
	windowSize      = 5 * time.Second
	worstWindowSize = 10 * time.Second
)

// Violation is a broken rule.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at"`
	Msg     string        `json:"msg,omitempty"`
	Node    int           `json:"node"`
	Text    string        `json:"text"`
	Context []string      `json:"around,omitempty"`
}

// Judge is the ledger of one run. It is an Observer.
type Judge struct {
	day         *model.Day
	submissions map[string]*submission
	requests    map[string]*request
	nodes       []nodeState
	dests       []destState
	destOf      map[string]int // of endpoints, their destination
	ring        []model.Event
	eventCount  int
	now         time.Duration
	result      Result
}

// entry is a message as it was handed in once.
type submission struct {
	firstID, id        string
	class, dest        int
	node               int
	deadline           time.Duration
	accepted, answered bool
	delivered          bool
	attempts           []attempt
}

type attempt struct {
	sentAt          time.Duration
	received, ended bool
	notRun          bool
	zone            int
	endpoint        string
}

// try is a client's first try and all that came of it.
type request struct {
	submittedAt time.Duration
	class       int
	tenant      int
	dest        int
	inQuota     bool
	earned      float64
	delivered   bool
	late        bool
	answered    bool
	outcome     choice.Outcome
}

type nodeState struct {
	up          bool
	startedAt   time.Duration
	submissions []*submission // handed in there; some are over
	waits       map[string]waitSpan
	withdrawnAt map[string]time.Duration
}

type waitSpan struct{ from, to time.Duration }

type destState struct {
	separateRoutes bool
	endpointsDown  int // endpoints of it that are
	downAt         time.Duration
	awareNodes     map[int]bool
	recentCalls    []callRecord // in the last span of the cold budget
}

type callRecord struct {
	at   time.Duration
	node int
}

// New makes the ledger of one run of a day.
func New(day *model.Day) *Judge {
	j := &Judge{
		day: day, submissions: map[string]*submission{}, requests: map[string]*request{}, destOf: map[string]int{},
		nodes: make([]nodeState, len(day.Nodes)), dests: make([]destState, len(day.Dests)), ring: make([]model.Event, 0, 256),
	}
	for i, d := range day.Dests {
		j.dests[i] = destState{separateRoutes: d.Kind < len(day.Settings.Kinds) && day.Settings.Kinds[d.Kind].SeparateRoutes, awareNodes: map[int]bool{}}
		for _, e := range d.Endpoints {
			j.destOf[e.ID] = i
		}
	}
	return j
}

// broken notes a violation.
func (j *Judge) addViolation(rule string, e *model.Event, format string, args ...any) {
	j.result.ViolationCount++
	if len(j.result.Violations) >= maxViolations {
		return
	}
	v := Violation{Rule: rule, At: e.At - model.StartTime(), Msg: e.Msg, Node: e.Node, Text: fmt.Sprintf(format, args...)}
	for i := range j.ring {
		o := &j.ring[(j.eventCount+i)%len(j.ring)]
		if e.Msg != "" && o.Msg == e.Msg || e.Msg == "" && o.Node == e.Node && e.At-o.At < time.Second {
			v.Context = append(v.Context, Describe(o))
		}
	}
	if n := len(v.Context); n > 40 {
		v.Context = v.Context[n-40:]
	}
	j.result.Violations = append(j.result.Violations, v)
}

// Observe takes what happens. (model.Observer)
func (j *Judge) Observe(e *model.Event) {
	j.now = e.At
	if len(j.ring) < ringSize {
		j.ring = append(j.ring, *e)
	} else {
		j.ring[j.eventCount%ringSize] = *e
	}
	j.eventCount++
	j.result.Events++
	switch e.Kind {
	case model.Submitted:
		j.submitted(e)
	case model.Accepted:
		if m := j.submissions[e.Msg]; m != nil {
			m.accepted = true
		}
	case model.Answered:
		j.answered(e)
	case model.Sent:
		j.sent(e)
	case model.RequestReceived:
		j.requestReceived(e)
	case model.Executed:
		j.executed(e)
	case model.AttemptEnded:
		j.attemptEnded(e)
	case model.LimitExceeded:
		j.result.OverLimit++
		j.window().OverLimit++
	case model.WithdrawalReceived:
		n := &j.nodes[e.Node]
		if n.withdrawnAt == nil {
			n.withdrawnAt = map[string]time.Duration{}
		}
		if _, told := n.withdrawnAt[e.Endpoint]; !told {
			n.withdrawnAt[e.Endpoint] = e.At
		}
	case model.OutageBegan, model.OutageEnded:
		d := &j.dests[e.Dest]
		if e.Kind == model.OutageEnded {
			d.endpointsDown--
			break
		}
		if d.endpointsDown++; d.endpointsDown == 1 {
			if e.At-d.downAt > j.day.Settings.WarmUpTime {
				clear(d.awareNodes)
			}
			d.downAt = e.At
		}
	case model.DestinationCollapsed:
		j.collapsed(e)
	case model.NodeStopped:
		n := &j.nodes[e.Node]
		n.up, n.waits = false, nil
		j.nodeStopped(e)
	case model.NodeStarted:
		j.nodes[e.Node].up, j.nodes[e.Node].startedAt = true, e.At
	case model.DatagramDelivered:
		j.result.PeerBytes += int64(e.Attempt)
		j.result.Datagrams++
	case model.ConnectionOpened:
		j.result.Handshakes++
	case model.InvalidAction:
		j.addViolation("malformed", e, "%s", e.Text)
	}
}

func (j *Judge) submitted(e *model.Event) {
	m := &submission{firstID: e.FirstID, id: e.Msg, class: e.Class, dest: e.Dest, node: e.Node, deadline: e.Deadline}
	j.submissions[e.Msg] = m
	j.nodes[e.Node].submissions = append(j.nodes[e.Node].submissions, m)
	if e.Msg != e.FirstID {
		j.result.Resubmitted++
		return
	}
	j.requests[e.FirstID] = &request{submittedAt: e.At, class: e.Class, tenant: e.Tenant, dest: e.Dest, inQuota: e.InQuota}
	j.result.Offered++
	j.window().Offered++
}

func (j *Judge) answered(e *model.Event) {
	m, t := j.submissions[e.Msg], j.requests[e.FirstID]
	if m == nil || t == nil {
		j.addViolation("answer", e, "an answer to a message that nobody handed in")
		return
	}
	if m.answered {
		j.addViolation("answer", e, "a second final answer")
		return
	}
	m.answered = true
	if late := e.At - m.deadline; m.accepted && late > j.day.Settings.AnswerGrace+maxNoticeDelay && e.At > j.nodes[e.Node].startedAt+restartGrace {
		j.addViolation("answer", e, "the final answer comes %v late", late)
	}
	// What a client hears last counts; a delivery outlives a refusal heard elsewhere.
	t.answered = true
	if !t.delivered {
		t.outcome = e.Outcome
	}
	if e.Outcome != choice.Success {
		return
	}
	if !m.delivered {
		j.addViolation("answer", e, "told as delivered, and it has not run")
	}
	if !t.delivered {
		t.delivered, t.outcome = true, choice.Success
		t.earned, t.late = j.worth(t, e.At)
	}
}

// worth is what a delivery at a moment earns, and whether it is past the aim.
func (j *Judge) worth(t *request, at time.Duration) (float64, bool) {
	return Worth(&j.day.Settings, t.class, j.maxWorth(t), at-t.submittedAt)
}

// Worth is what a message of a class that asks for so much earns if it is delivered at an age, and whether that is past its
// aim.
func Worth(s *choice.Settings, class int, maxWorth float64, age time.Duration) (float64, bool) {
	c := s.Classes[class]
	switch {
	case age <= c.Aim:
		return maxWorth, false
	case age > c.Deadline+s.AnswerGrace+timingSlack:
		return 0, true
	case s.WorthHalves:
		w := maxWorth
		for late := age - c.Aim; late > 0; late -= c.Aim {
			w /= 2
		}
		return max(w, maxWorth*c.LateWorth), true
	}
	part := float64(age-c.Aim) / float64(max(c.Deadline-c.Aim, 1))
	return maxWorth * (1 - (1-c.LateWorth)*part), true
}

func (j *Judge) maxWorth(t *request) float64 { return MaxWorth(&j.day.Settings, t.class, t.inQuota) }

// Asked is what a message of a class can earn at most, in its tenant's share or beyond it.
func MaxWorth(s *choice.Settings, class int, inQuota bool) float64 {
	if inQuota {
		return s.Classes[class].Worth
	}
	return s.Classes[class].Worth * s.OverQuotaWorth
}

func (j *Judge) attempt(e *model.Event) (*submission, *attempt) {
	m := j.submissions[e.Msg]
	if m == nil || e.Attempt < 0 || e.Attempt >= len(m.attempts) {
		return m, nil
	}
	return m, &m.attempts[e.Attempt]
}

func (j *Judge) sent(e *model.Event) {
	m := j.submissions[e.Msg]
	if m == nil {
		return
	}
	m.attempts = append(m.attempts, attempt{sentAt: e.At, zone: e.Zone, endpoint: e.Endpoint})
	if e.Dest != m.dest {
		j.addViolation("endpoint", e, "sent to %s of destination %d, and it is for %d", e.Endpoint, e.Dest, m.dest)
	}
}

func (j *Judge) requestReceived(e *model.Event) {
	j.result.Calls++
	j.window().Calls++
	if j.day.Nodes[e.Node].Zone != e.Zone {
		j.result.CrossZoneCalls++
	}
	m, a := j.attempt(e)
	if a == nil {
		return
	}
	a.received = true
	c := j.day.Settings.Classes[m.class]
	for i := range m.attempts[:e.Attempt] {
		o := &m.attempts[i]
		if o.received && !o.ended && !j.day.Settings.MayDuplicate {
			j.addViolation("copies", e, "attempt %d is still out", i)
		}
		mayRun := !o.notRun && (o.received || !o.ended)
		if !mayRun {
			continue
		}
		switch {
		case c.Effect == choice.AtMostOnce:
			j.addViolation("repeat", e, "attempt %d may have run", i)
		case c.Effect == choice.Deduplicated && e.At-o.sentAt > c.DedupWindow+timingSlack:
			j.addViolation("repeat", e, "attempt %d may have run %v ago", i, e.At-o.sentAt)
		case c.Effect == choice.Deduplicated && !c.AllEndpointsDeduplicate && o.zone != e.Zone:
			j.addViolation("repeat", e, "attempt %d may have run in another zone", i)
		}
	}
	n := &j.nodes[e.Node]
	if told, ok := n.withdrawnAt[e.Endpoint]; ok && e.WrittenAt > told+j.day.Settings.DrainTimeout+timingSlack {
		j.addViolation("drain", e, "sent %v after the node was told", e.WrittenAt-told)
	}
	if w, ok := n.waits[j.limitKey(e)]; ok && e.WrittenAt < w.to-timingSlack && e.WrittenAt > w.from+inTransitGrace {
		j.addViolation("wait", e, "sent %v before the end of a wait", w.to-e.WrittenAt)
	}
	d := &j.dests[e.Dest]
	d.recentCalls = append(d.recentCalls, callRecord{e.At, e.Node})
	if len(d.recentCalls) > 4096 {
		j.dropOldCalls(d, e.At)
	}
}

func (j *Judge) limitKey(e *model.Event) string {
	if j.dests[e.Dest].separateRoutes {
		return e.Endpoint
	}
	return fmt.Sprint(e.Dest)
}

func (j *Judge) dropOldCalls(d *destState, now time.Duration) {
	keep := 0
	for keep < len(d.recentCalls) && now-d.recentCalls[keep].at > j.day.Settings.OverloadDuration {
		keep++
	}
	d.recentCalls = append(d.recentCalls[:0], d.recentCalls[keep:]...)
}

func (j *Judge) executed(e *model.Event) {
	m := j.submissions[e.Msg]
	if m == nil {
		return
	}
	if m.delivered {
		j.result.DuplicateRuns++
	}
	m.delivered = true
}

func (j *Judge) attemptEnded(e *model.Event) {
	_, a := j.attempt(e)
	if a != nil {
		a.ended = true
		a.notRun = e.Outcome == choice.Rejected || e.Outcome == choice.ConnectFailed || e.Outcome == choice.NotSent
		if a.received && (e.Outcome == choice.ConnectFailed || e.Outcome == choice.NotSent) {
			a.notRun = false
		}
	}
	n := &j.nodes[e.Node]
	if e.RetryAfter > 0 {
		if n.waits == nil {
			n.waits = map[string]waitSpan{}
		}
		k := j.limitKey(e)
		if w := n.waits[k]; e.At+e.RetryAfter > w.to {
			n.waits[k] = waitSpan{e.At, e.At + e.RetryAfter}
		}
	}
	if d := &j.dests[e.Dest]; d.endpointsDown > 0 && e.Outcome != choice.Success && e.Outcome != choice.NotSent && e.Outcome != choice.Cancelled {
		d.awareNodes[e.Node] = true
	}
}

// fell tells who pushed a cold destination over.
func (j *Judge) collapsed(e *model.Event) {
	d := &j.dests[e.Dest]
	j.dropOldCalls(d, e.At)
	fromAware := 0
	for _, s := range d.recentCalls {
		if d.awareNodes[s.node] {
			fromAware++
		}
	}
	j.result.Collapses++
	if len(d.recentCalls) > 0 && 3*fromAware >= 2*len(d.recentCalls) {
		j.addViolation("cold", e, "destination %d fell over; %d of its last %d calls came from nodes that knew", e.Dest, fromAware, len(d.recentCalls))
	}
}

// died ends what was out at a node.
func (j *Judge) nodeStopped(e *model.Event) {
	open := j.nodes[e.Node].submissions[:0]
	for _, m := range j.nodes[e.Node].submissions {
		if m.answered {
			continue
		}
		for i := range m.attempts {
			m.attempts[i].ended = true
		}
		open = append(open, m)
	}
	j.nodes[e.Node].submissions = open
}
