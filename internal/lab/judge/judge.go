// Package judge checks a run against the rules for senders and computes its score. It observes the events at clients,
// endpoints and nodes and keeps a ledger of its own; it never relies on what a policy says about itself.
package judge

import (
	"fmt"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/lab/model"
)

const (
	timingSlack     = 50 * time.Millisecond   // tolerance of every time limit
	maxNoticeDelay  = 300 * time.Millisecond  // a final answer may come this long after the deadline and AnswerGrace
	restartGrace    = 1500 * time.Millisecond // after a node's start, late final answers are not violations
	inTransitGrace  = 100 * time.Millisecond  // calls written this soon after a Retry-After arrived do not violate it
	maxViolations   = 20                      // violations that are reported in full
	ringSize        = 1 << 13                 // last events that are kept for the context of violations
	windowSize      = 5 * time.Second         // length of a Window
	worstWindowSize = 10 * time.Second        // length of the periods of Result.WorstWindow
)

// Violation is a broken rule.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at"` // since the start of the day
	Msg     string        `json:"msg,omitempty"`
	Node    int           `json:"node"`
	Text    string        `json:"text"`
	Context []string      `json:"around,omitempty"` // preceding events of the message, or of the node in the last second
}

// Judge is the ledger of one run. It implements model.Observer.
type Judge struct {
	day         *model.Day
	submissions map[string]*submission
	requests    map[string]*request
	nodes       []nodeState
	dests       []destState
	destOf      map[string]int // destination of each endpoint
	ring        []model.Event  // the last events
	eventCount  int
	now         time.Duration
	result      Result
}

// submission is one submission of a message. A message that is submitted again has a second one.
type submission struct {
	firstID, id        string
	class, dest        int
	node               int
	deadline           time.Duration
	accepted, answered bool
	delivered          bool
	attempts           []attempt
}

// attempt is a delivery attempt.
type attempt struct {
	sentAt          time.Duration
	received, ended bool
	notRun          bool
	zone            int
	endpoint        string
}

// request is a client's message over all its submissions.
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

// nodeState is the state of a node.
type nodeState struct {
	up          bool
	startedAt   time.Duration
	submissions []*submission            // submitted to the node; some have their final answer
	waits       map[string]waitSpan      // Retry-After periods, by limitKey
	withdrawnAt map[string]time.Duration // when the node learned that an endpoint drains or is removed
}

// waitSpan is the period of a Retry-After.
type waitSpan struct{ from, to time.Duration }

// destState is the state of a destination. awareNodes are the nodes that have seen a call fail while an endpoint was
// down.
type destState struct {
	separateRoutes bool
	endpointsDown  int           // number of its endpoints that are down
	downAt         time.Duration // when the last outage of the destination began
	awareNodes     map[int]bool
	recentCalls    []callRecord // calls in the last OverloadDuration
}

// callRecord is a call that reached a destination.
type callRecord struct {
	at   time.Duration
	node int
}

// New creates the ledger of one run of a day.
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

// addViolation records a violation. Violations beyond maxViolations are only counted.
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

// Observe handles an event. It implements model.Observer.
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
		if _, known := n.withdrawnAt[e.Endpoint]; !known {
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
	m, r := j.submissions[e.Msg], j.requests[e.FirstID]
	if m == nil || r == nil {
		j.addViolation("answer", e, "answer to a message that was not submitted")
		return
	}
	if m.answered {
		j.addViolation("answer", e, "second final answer")
		return
	}
	m.answered = true
	if late := e.At - m.deadline; m.accepted && late > j.day.Settings.AnswerGrace+maxNoticeDelay && e.At > j.nodes[e.Node].startedAt+restartGrace {
		j.addViolation("answer", e, "final answer is %v late", late)
	}
	// The client's last answer counts, but a delivery is not undone by a refusal of another submission.
	r.answered = true
	if !r.delivered {
		r.outcome = e.Outcome
	}
	if e.Outcome != choice.Success {
		return
	}
	if !m.delivered {
		j.addViolation("answer", e, "reported as delivered, but no endpoint has executed it")
	}
	if !r.delivered {
		r.delivered, r.outcome = true, choice.Success
		r.earned, r.late = j.worth(r, e.At)
	}
}

// worth returns the worth of a delivery at a time, and whether that is past the aim.
func (j *Judge) worth(r *request, at time.Duration) (float64, bool) {
	return Worth(&j.day.Settings, r.class, j.maxWorth(r), at-r.submittedAt)
}

// Worth returns what a message of a class, which is worth at most maxWorth, earns if it is delivered at an age, and
// whether that is past the aim of the class.
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

func (j *Judge) maxWorth(r *request) float64 { return MaxWorth(&j.day.Settings, r.class, r.inQuota) }

// MaxWorth returns what a message of a class can earn at most, within its tenant's quota or beyond it.
func MaxWorth(s *choice.Settings, class int, inQuota bool) float64 {
	if inQuota {
		return s.Classes[class].Worth
	}
	return s.Classes[class].Worth * s.OverQuotaWorth
}

// attempt returns the submission and the attempt that an event is about; nil if unknown.
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
		j.addViolation("endpoint", e, "sent to %s of destination %d, but the message is for destination %d", e.Endpoint, e.Dest, m.dest)
	}
}

// requestReceived checks a call that has reached an endpoint against the rules for copies, repeats, drains and waits.
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
			j.addViolation("copies", e, "attempt %d is still in progress", i)
		}
		mayHaveRun := !o.notRun && (o.received || !o.ended)
		if !mayHaveRun {
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
	if withdrawnAt, ok := n.withdrawnAt[e.Endpoint]; ok && e.WrittenAt > withdrawnAt+j.day.Settings.DrainTimeout+timingSlack {
		j.addViolation("drain", e, "sent %v after the node learned that the endpoint drains or is removed", e.WrittenAt-withdrawnAt)
	}
	if w, ok := n.waits[j.limitKey(e)]; ok && e.WrittenAt < w.to-timingSlack && e.WrittenAt > w.from+inTransitGrace {
		j.addViolation("wait", e, "sent %v before the end of a Retry-After", w.to-e.WrittenAt)
	}
	d := &j.dests[e.Dest]
	d.recentCalls = append(d.recentCalls, callRecord{e.At, e.Node})
	if len(d.recentCalls) > 4096 {
		j.dropOldCalls(d, e.At)
	}
}

// limitKey returns the key of the rate limit that an event's call counts against: the endpoint for separate routes,
// otherwise the destination.
func (j *Judge) limitKey(e *model.Event) string {
	if j.dests[e.Dest].separateRoutes {
		return e.Endpoint
	}
	return fmt.Sprint(e.Dest)
}

// dropOldCalls forgets the calls that are older than OverloadDuration.
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

// attemptEnded records an outcome, and with it a Retry-After and whether the node has seen the destination fail.
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

// collapsed finds out which nodes overloaded a cold destination. It is a violation if at least two thirds of the recent
// calls came from nodes that had seen the destination fail, and so should have slowed down.
func (j *Judge) collapsed(e *model.Event) {
	d := &j.dests[e.Dest]
	j.dropOldCalls(d, e.At)
	fromAware := 0
	for _, c := range d.recentCalls {
		if d.awareNodes[c.node] {
			fromAware++
		}
	}
	j.result.Collapses++
	if len(d.recentCalls) > 0 && 3*fromAware >= 2*len(d.recentCalls) {
		j.addViolation("cold", e, "destination %d collapsed while cold; %d of its last %d calls came from nodes that had seen it fail", e.Dest, fromAware, len(d.recentCalls))
	}
}

// nodeStopped ends the attempts in progress at a node.
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
