package stage

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/egress"
	"harrierramp/internal/lab/judge"
	"harrierramp/internal/lab/model"
	"harrierramp/internal/lab/relay"
	"harrierramp/internal/partner"
)

const (
	binWidth    = 100 * time.Millisecond
	maxBins     = int((2*MaxLength + 5*time.Minute) / binWidth)
	copySlack   = 100 * time.Millisecond // the end of a call that its node has given up may reach a partner so late
	startWindow = 5 * time.Second        // a start
	lateSlack   = 50 * time.Millisecond
)

// Bin is what happened in a tenth of a second.
type Bin struct {
	ListRequests         int `json:"asks"`      // for the list, also those that found nobody
	ListsServed          int `json:"served"`    // lists that servers began to tell
	ListRequestsDeferred int `json:"told"`      // asks that were answered with when to come
	ListBytes            int `json:"listBytes"` // from servers to nodes
	Conns                int `json:"conns"`     // at endpoints
	ConnsRejected        int `json:"hungUp"`
	Calls                int `json:"calls"`
	CallsRefused         int `json:"refused"` // of the calls
	CallsExecuted        int `json:"ran"`
	Datagrams            int `json:"datagrams"`
	DatagramsLost        int `json:"lost"` // of the datagrams
	Submitted            int `json:"handedIn"`
	Busy                 int `json:"busy"`
	Failed               int `json:"failed"`
}

// message is a message as a client first hands it in, with all later tries at it.
type message struct {
	id, submissionID     string
	node                 int
	dest                 int
	class                int
	submittedAt          time.Duration
	deadline             time.Duration
	submissions          int
	accepted             bool
	ended                bool
	calls                []*call // of this try
	executions           int     // of all tries
	submissionExecutions int     // of this try
	firstExecutedAt      time.Duration
	outcome              string
	newSubmission        bool // the hand-in that comes is a new try
	trace                []string
}

const maxTraceEntries = 24 // words of a message's story

// tell adds to the message's story, which is printed if it ends badly. The ledger's lock is held.
func (m *message) tracef(at time.Duration, format string, args ...any) {
	if len(m.trace) < maxTraceEntries {
		m.trace = append(m.trace, fmt.Sprintf("%.3f ", at.Seconds())+fmt.Sprintf(format, args...))
	}
}

type call struct {
	endpoint  string
	peerAddr  string
	startedAt time.Duration
	ended     bool
	attempt   int
}

// ledger is what the stage has seen: at clients, partners, relays and list servers, never what a node says of itself.
// Its methods may be called from many goroutines.
type ledger struct {
	script           *Script
	day              model.Day
	startTime        atomic.Pointer[time.Time]
	noticesMayBeLate bool // faults keep nodes from list servers, so that notices may come late

	mu               sync.Mutex
	bins             []Bin
	bySubmissionID   map[string]*message // every try
	messages         []*message
	judge            *judge.Judge
	nodes            []nodeStats
	endpoints        []endpointStats
	endpointIndex    map[string]int // of endpoints, by id
	violations       []string       // rules of the stage's own
	violationCount   int
	unexpectedEvents int
	crashes          int
	unmarkedCalls    int // calls without a mark, where nodes are to mark them
}

// nodeSeen is a node as the stage sees it. Times are since its start; -1 for never.
type nodeStats struct {
	started, ready, listed, called, delivered time.Duration
	lateCalls                                 int
	startCount                                int
}

type endpointStats struct {
	id               string
	dest             int
	conns            int
	openConns        int
	maxOpenConns     int
	maxOpenAtStart   int // of those, in the first earlySpan of the play,
	maxOpenLastThird int // and in the last third of it
	calls            int
	connsRejected    int
	callsRefused     int
	overloads        int
	maxLoad          float64
	withdrawnAt      time.Duration // -1 while it is in the list
	lateCalls        int
	lastLateCall     time.Duration // after the withdrawal
	lateCallsByBasis map[decisionBasis]int
}

func newLedger(s *Script, day model.Day, began time.Time) *ledger {
	l := &ledger{script: s, day: day, bySubmissionID: map[string]*message{}, endpointIndex: map[string]int{}, nodes: make([]nodeStats, s.Nodes)}
	l.startTime.Store(&began)
	l.judge = judge.New(&l.day)
	for i := range l.nodes {
		l.nodes[i] = nodeStats{started: -1, ready: -1, listed: -1, called: -1, delivered: -1}
	}
	for d, spec := range day.Dests {
		for _, e := range spec.Endpoints {
			l.endpointIndex[e.ID] = len(l.endpoints)
			l.endpoints = append(l.endpoints, endpointStats{id: e.ID, dest: d, withdrawnAt: -1, lateCallsByBasis: map[decisionBasis]int{}})
		}
	}
	return l
}

func (l *ledger) now() time.Duration { return time.Since(*l.startTime.Load()) }

// restart begins the play's clock anew, before anything has happened.
func (l *ledger) resetClock() {
	now := time.Now()
	l.startTime.Store(&now)
}

// excuse notes that nodes may be kept from list servers, or these be out: notices may come late from now on.
func (l *ledger) allowLateNotices() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noticesMayBeLate = true
}

// bin is the one of a moment. The lock is held.
func (l *ledger) bin(at time.Duration) *Bin {
	i := min(max(int(at/binWidth), 0), maxBins-1)
	for len(l.bins) <= i {
		l.bins = append(l.bins, Bin{})
	}
	return &l.bins[i]
}

// observe tells the judge. The lock is held.
func (l *ledger) observe(e model.Event) {
	e.At += model.StartTime()
	e.WrittenAt += model.StartTime()
	e.Deadline += model.StartTime()
	l.judge.Observe(&e)
}

// breaks notes a broken rule of the stage's own. The lock is held.
func (l *ledger) recordViolation(rule, format string, args ...any) {
	if l.violationCount++; len(l.violations) < 20 {
		l.violations = append(l.violations, fmt.Sprintf("%9.3f s  %s: ", l.now().Seconds(), rule)+fmt.Sprintf(format, args...))
	}
}

// passed takes what the relays see. (relay.New)
func (l *ledger) relayEvent(e relay.Event) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bin(at)
	switch {
	case e.Type == relay.DatagramForwarded:
		b.Datagrams++
	case e.Type == relay.DatagramLost:
		b.DatagramsLost++
	case e.From.Kind == relay.Node && e.To.Kind == relay.Server:
		if e.Type == relay.ConnFailed || e.Type == relay.DataForwarded && bytes.HasPrefix(e.Data, []byte("GET /registry/instances")) {
			b.ListRequests++
		}
	case e.From.Kind == relay.Server && e.To.Kind == relay.Node && e.Type == relay.DataForwarded:
		b.ListBytes += e.Bytes
		switch {
		case bytes.HasPrefix(e.Data, []byte("HTTP/1.1 503")) && bytes.Contains(e.Data, []byte("Retry-After-Ms")):
			b.ListRequestsDeferred++
		case bytes.HasPrefix(e.Data, []byte("HTTP/1.1 200")) || bytes.Contains(e.Data, []byte(`"revision"`)):
			b.ListsServed++
			if n := l.node(e.To.Index); n != nil && n.listed < 0 {
				n.listed = at - n.started
			}
		}
	}
}

func (l *ledger) node(n int) *nodeStats {
	if n < 0 || n >= len(l.nodes) {
		return nil
	}
	return &l.nodes[n]
}

// began and died tell of a node's process. Times of a start count for the first one.
func (l *ledger) nodeStarted(n int) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	x := &l.nodes[n]
	if x.startCount == 0 {
		x.started = at
	}
	l.observe(model.Event{At: at, Kind: model.NodeStarted, Node: n, Attempt: x.startCount})
	x.startCount++
}

func (l *ledger) nodeDied(n int) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(model.Event{At: at, Kind: model.NodeStopped, Node: n})
}

// crash notes a process that has ended by itself.
func (l *ledger) processCrashed(name, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes++
	l.recordViolation("crash", "%s ends by itself: %s", name, how)
}

// pong notes that a node takes clients.
func (l *ledger) nodeReady(n int) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := &l.nodes[n]; x.ready < 0 {
		x.ready = at - x.started
	}
}

// hand notes a hand-in, before it is made, and returns the id to hand it in under.
func (l *ledger) submitting(m *message) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.submissions++; m.submissions == 1 {
		m.submittedAt, m.submissionID = at, m.id
		l.messages = append(l.messages, m)
		l.bin(at).Submitted++
	} else {
		m.submissionID = fmt.Sprintf("%s~%d", m.id, m.submissions)
	}
	m.calls, m.accepted, m.submissionExecutions = nil, false, 0
	l.bySubmissionID[m.submissionID] = m
	m.tracef(at, "handed in as %s until %.3f", m.submissionID, m.deadline.Seconds())
	l.observe(model.Event{
		At: at, Kind: model.Submitted, Node: m.node, Msg: m.submissionID, FirstID: m.id, Class: m.class, Dest: m.dest, Deadline: m.deadline, InQuota: true,
	})
}

// answered notes what a node says to a hand-in. end is whether the client leaves it at that.
func (l *ledger) submissionAnswered(m *message, told model.SubmitResult, end bool) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	m.tracef(at, "told %d, end %v", told, end)
	switch told {
	case model.SubmitAccepted:
		if m.accepted || m.ended {
			return
		}
		m.accepted = true
		l.observe(model.Event{At: at, Kind: model.Accepted, Node: m.node, Msg: m.submissionID, FirstID: m.id, Class: m.class, Dest: m.dest, Deadline: m.deadline})
		if m.submissionExecutions > 0 {
			l.endMessage(m, at, choice.Success, "delivered")
		}
	case model.SubmitRejected:
		l.bin(at).Busy++
		if end {
			l.endMessage(m, at, choice.Rejected, "refused")
		} else { // the try is over, the message goes on
			l.observe(l.answerEvent(m, at, choice.Rejected))
		}
	case model.SubmitFailed:
		l.bin(at).Failed++
		l.endMessage(m, at, choice.ServerError, "failed")
	case model.SubmitUnanswered:
		if end {
			m.ended, m.outcome = true, "unheard"
		}
	}
}

func (l *ledger) answerEvent(m *message, at time.Duration, o choice.Outcome) model.Event {
	return model.Event{At: at, Kind: model.Answered, Node: m.node, Msg: m.submissionID, FirstID: m.id, Class: m.class, Dest: m.dest, Outcome: o, Deadline: m.deadline}
}

// over gives a message its end. The lock is held.
func (l *ledger) endMessage(m *message, at time.Duration, o choice.Outcome, end string) {
	if m.ended {
		return
	}
	m.ended, m.outcome = true, end
	m.tracef(at, "over: %s", end)
	l.observe(l.answerEvent(m, at, o))
}

// notice takes what a list server says that a node has told it.
func (l *ledger) notice(id, state string, when time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.bySubmissionID[id]
	if m == nil {
		l.unexpectedEvents++
		return
	}
	if id != m.submissionID || m.ended {
		return
	}
	at := when.Sub(*l.startTime.Load())
	if l.noticesMayBeLate { // the way to the servers is part of what is played
		at = min(at, m.deadline)
	}
	if !m.accepted { // the answer to the hand-in got lost
		m.accepted = true
		l.observe(model.Event{At: at, Kind: model.Accepted, Node: m.node, Msg: m.submissionID, FirstID: m.id, Class: m.class, Dest: m.dest, Deadline: m.deadline})
	}
	if state == "failed" {
		l.endMessage(m, at, choice.ServerError, "failed late")
	} else {
		l.endMessage(m, at, choice.Rejected, "returned")
	}
}

// partner takes what partners see. (partner.Config.Seen)
func (l *ledger) partnerEvent(node int, s partner.Event) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b, i, known := l.bin(at), 0, false
	if i, known = l.endpointIndex[s.Endpoint]; !known {
		l.unexpectedEvents++
		return
	}
	e, n := &l.endpoints[i], l.node(node)
	if n == nil && s.Type != partner.Overloaded {
		l.unexpectedEvents++
		return
	}
	switch s.Type {
	case partner.ConnectionOpened:
		b.Conns++
		e.conns++
		e.openConns++
		e.maxOpenConns = max(e.maxOpenConns, e.openConns)
		if at < l.script.Start.Nodes.Duration()+startWindow {
			e.maxOpenAtStart = max(e.maxOpenAtStart, e.openConns)
		}
		if at > l.script.Length.Duration()*2/3 {
			e.maxOpenLastThird = max(e.maxOpenLastThird, e.openConns)
		}
	case partner.ConnectionClosed:
		e.openConns--
	case partner.ConnectionRejected:
		b.ConnsRejected++
		e.connsRejected++
	case partner.Overloaded:
		e.overloads++
	case partner.CallReceived:
		b.Calls++
		e.calls++
		e.maxLoad = max(e.maxLoad, s.Load)
		by, marked := parseDecisionBasis(node, s.Header.Get(egress.DecisionBasisHeader))
		if l.script.Node.Audit && !marked {
			l.unmarkedCalls++
		}
		if n.called < 0 {
			n.called = at - n.started
		}
		if grace := l.day.Settings.DrainTimeout + lateSlack; e.withdrawnAt >= 0 && at > e.withdrawnAt+grace {
			e.lateCalls++
			n.lateCalls++
			e.lateCallsByBasis[by]++
			e.lastLateCall = at - e.withdrawnAt
		}
		l.callReceived(node, e, s, at)
	case partner.CallRefused:
		b.CallsRefused++
		e.callsRefused++
		l.callEnded(node, e, s, at, choice.Rejected)
	case partner.CallExecuted:
		b.CallsExecuted++
		if n.delivered < 0 {
			n.delivered = at - n.started
		}
		l.callEnded(node, e, s, at, choice.Success)
	}
}

// rests is whose a call is, and on which list it rests, as the call itself says.
type decisionBasis struct {
	node        int
	incarnation uint32
	revision    int64
}

// readRests reads the mark of a call of a node; false if there is none.
func parseDecisionBasis(node int, text string) (decisionBasis, bool) {
	r := decisionBasis{node: node}
	n, err := fmt.Sscanf(text, "%d.%d", &r.revision, &r.incarnation)
	if err != nil || n != 2 || r.revision <= 0 || r.incarnation == 0 {
		return decisionBasis{node: node}, false
	}
	return r, true
}

// called notes the beginning of a call. The lock is held.
func (l *ledger) callReceived(node int, e *endpointStats, s partner.Event, at time.Duration) {
	m := l.bySubmissionID[s.MessageID]
	if m == nil {
		l.recordViolation("strange", "%s is called by node %d for %q, which nobody has handed in", e.id, node, s.MessageID)
		return
	}
	m.tracef(at, "%s called for %s", e.id, s.MessageID)
	if m.submissionID != s.MessageID {
		return // an earlier try, which its client has been told is over
	}
	for _, o := range m.calls {
		if !o.ended && at-o.startedAt > copySlack {
			l.recordViolation("copies", "%s is called for %s while its call at %s is out since %v", e.id, s.MessageID, o.endpoint, at-o.startedAt)
		}
	}
	c := &call{endpoint: e.id, peerAddr: s.PeerAddr, startedAt: at, attempt: len(m.calls)}
	m.calls = append(m.calls, c)
	ev := model.Event{At: at, Node: node, Msg: s.MessageID, FirstID: m.id, Class: m.class, Dest: e.dest, Endpoint: e.id, Attempt: c.attempt, WrittenAt: at}
	ev.Kind = model.Sent
	l.observe(ev)
	ev.Kind = model.RequestReceived
	l.observe(ev)
}

// ended notes the end of a call at its partner. The lock is held.
func (l *ledger) callEnded(node int, e *endpointStats, s partner.Event, at time.Duration, o choice.Outcome) {
	m := l.bySubmissionID[s.MessageID]
	if m == nil {
		if o == choice.Success {
			l.recordViolation("strange", "%s runs %q, which nobody has handed in", e.id, s.MessageID)
		}
		return
	}
	m.tracef(at, "%s ends %s with %d", e.id, s.MessageID, o)
	i := slices.IndexFunc(m.calls, func(c *call) bool { return c.peerAddr == s.PeerAddr && c.endpoint == e.id && !c.ended })
	ev := model.Event{At: at, Node: node, Msg: s.MessageID, FirstID: m.id, Class: m.class, Dest: e.dest, Endpoint: e.id, Outcome: o}
	if i < 0 && s.MessageID == m.submissionID && o == choice.Success {
		l.recordViolation("strange", "%s runs %s without a call of it", e.id, s.MessageID)
	}
	if i >= 0 {
		m.calls[i].ended = true
		ev.Attempt = i
	}
	if o == choice.Success {
		if s.MessageID == m.submissionID {
			m.submissionExecutions++
		}
		if m.executions++; m.executions == 1 {
			m.firstExecutedAt = at
		}
		ev.Kind = model.Executed
		l.observe(ev)
	} else {
		ev.Kind = model.LimitExceeded
		l.observe(ev)
	}
	if i < 0 {
		return
	}
	ev.Kind = model.AttemptEnded
	l.observe(ev)
	if o == choice.Success && m.accepted {
		l.endMessage(m, at, choice.Success, "delivered")
	}
}

// withdrew notes that the list leaves an endpoint out, or has it again.
func (l *ledger) setWithdrawn(endpoint string, gone bool) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &l.endpoints[l.endpointIndex[endpoint]]
	if e.withdrawnAt = -1; gone {
		e.withdrawnAt = at
	}
}

// open is how many messages that are taken on have no end yet.
func (l *ledger) openMessages() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.messages {
		if !m.ended {
			n++
		}
	}
	return n
}
