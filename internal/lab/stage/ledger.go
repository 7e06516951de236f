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
	copySlack   = 100 * time.Millisecond // a partner may see the end of a call this long after its node has abandoned it
	startWindow = 5 * time.Second        // from the script's start of the nodes
	lateSlack   = 50 * time.Millisecond  // added to the drain timeout before a call counts as late
)

// Bin counts the events of one tenth of a second.
type Bin struct {
	ListRequests         int `json:"asks"`      // requests for the list, including those that failed to connect
	ListsServed          int `json:"served"`    // responses of servers that contain a list or a part of it
	ListRequestsDeferred int `json:"told"`      // requests answered with a time to come again (503)
	ListBytes            int `json:"listBytes"` // bytes from list servers to nodes
	Conns                int `json:"conns"`     // connections opened at endpoints
	ConnsRejected        int `json:"hungUp"`    // connections that endpoints closed at once, at their limit
	Calls                int `json:"calls"`
	CallsRefused         int `json:"refused"`   // calls refused by endpoints
	CallsExecuted        int `json:"ran"`       // calls that endpoints executed
	Datagrams            int `json:"datagrams"` // datagrams forwarded between nodes
	DatagramsLost        int `json:"lost"`      // datagrams that were dropped
	Submitted            int `json:"handedIn"`  // messages submitted for the first time
	Busy                 int `json:"busy"`      // submissions answered with -BUSY
	Failed               int `json:"failed"`    // submissions answered with an error
}

// message is one message of a client, with all its submissions. A client submits it again under a new id after -BUSY,
// and under the same id after no answer.
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
	calls                []*call // of the current submission
	executions           int     // of all submissions
	submissionExecutions int     // of the current submission
	firstExecutedAt      time.Duration
	outcome              string
	newSubmission        bool // the next request is a new submission, with a new id
	trace                []string
}

const maxTraceEntries = 24 // entries in a message's trace

// tracef adds an entry to the message's trace, which is printed if the message ends badly. The caller holds ledger.mu.
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

// ledger records what the stage observes at clients, partners, relays and list servers. It does not use what nodes
// report about themselves. Its methods may be called from many goroutines.
type ledger struct {
	script           *Script
	day              model.Day
	startTime        atomic.Pointer[time.Time]
	noticesMayBeLate bool // faults affect the paths to list servers, so that notices may arrive late

	mu               sync.Mutex
	bins             []Bin
	bySubmissionID   map[string]*message // all submissions of all messages
	messages         []*message
	judge            *judge.Judge
	nodes            []nodeStats
	endpoints        []endpointStats
	endpointIndex    map[string]int // index into endpoints by endpoint id
	violations       []string       // the first 20 violations of the rules that the ledger itself checks
	violationCount   int
	unexpectedEvents int
	crashes          int
	unmarkedCalls    int // calls without a decision basis, where nodes are configured to send it
}

// nodeStats is what the stage has observed of a node. started is a time of the run, the other times are relative to it;
// all are -1 until they happen.
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
	maxOpenAtStart   int // highest openConns until startWindow after the nodes' start
	maxOpenLastThird int // highest openConns in the last third of the traffic
	calls            int
	connsRejected    int
	callsRefused     int
	overloads        int
	maxLoad          float64
	withdrawnAt      time.Duration // -1 while it is in the list
	lateCalls        int
	lastLateCall     time.Duration // time from the withdrawal to the last late call
	lateCallsByBasis map[decisionBasis]int
}

func newLedger(s *Script, day model.Day, startTime time.Time) *ledger {
	l := &ledger{script: s, day: day, bySubmissionID: map[string]*message{}, endpointIndex: map[string]int{}, nodes: make([]nodeStats, s.Nodes)}
	l.startTime.Store(&startTime)
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

// resetClock restarts the clock of the run. It is called before any event.
func (l *ledger) resetClock() {
	now := time.Now()
	l.startTime.Store(&now)
}

// allowLateNotices records that list servers are down or cut off from nodes, so that notices may arrive late from now
// on.
func (l *ledger) allowLateNotices() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noticesMayBeLate = true
}

// bin returns the bin of a time, and adds bins as needed. The caller holds mu.
func (l *ledger) bin(at time.Duration) *Bin {
	i := min(max(int(at/binWidth), 0), maxBins-1)
	for len(l.bins) <= i {
		l.bins = append(l.bins, Bin{})
	}
	return &l.bins[i]
}

// observe passes an event to the judge. The caller holds mu.
func (l *ledger) observe(e model.Event) {
	e.At += model.StartTime()
	e.WrittenAt += model.StartTime()
	e.Deadline += model.StartTime()
	l.judge.Observe(&e)
}

// recordViolation records the violation of a rule that the ledger itself checks. The caller holds mu.
func (l *ledger) recordViolation(rule, format string, args ...any) {
	if l.violationCount++; len(l.violations) < 20 {
		l.violations = append(l.violations, fmt.Sprintf("%9.3f s  %s: ", l.now().Seconds(), rule)+fmt.Sprintf(format, args...))
	}
}

// relayEvent records an event of the relays. It is the callback of relay.New.
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

// nodeStarted records the start of a node's process. The node's times are measured from its first start.
func (l *ledger) nodeStarted(n int) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := &l.nodes[n]
	if stats.startCount == 0 {
		stats.started = at
	}
	l.observe(model.Event{At: at, Kind: model.NodeStarted, Node: n, Attempt: stats.startCount})
	stats.startCount++
}

func (l *ledger) nodeDied(n int) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(model.Event{At: at, Kind: model.NodeStopped, Node: n})
}

// processCrashed records that a process has ended unexpectedly.
func (l *ledger) processCrashed(name, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes++
	l.recordViolation("crash", "%s ended unexpectedly: %s", name, reason)
}

// nodeReady records that a node accepts clients.
func (l *ledger) nodeReady(n int) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if stats := &l.nodes[n]; stats.ready < 0 {
		stats.ready = at - stats.started
	}
}

// submitting records a submission before it is sent, and sets the id to submit the message under.
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
	m.tracef(at, "submitted as %s with deadline %.3f", m.submissionID, m.deadline.Seconds())
	l.observe(model.Event{
		At: at, Kind: model.Submitted, Node: m.node, Msg: m.submissionID, FirstID: m.id, Class: m.class, Dest: m.dest, Deadline: m.deadline, InQuota: true,
	})
}

// submissionAnswered records a node's answer to a submission. final says that the client does not submit the message
// again.
func (l *ledger) submissionAnswered(m *message, answer model.SubmitResult, final bool) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	m.tracef(at, "answer %d, final %v", answer, final)
	switch answer {
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
		if final {
			l.endMessage(m, at, choice.Rejected, "refused")
		} else { // the submission has ended, the message is submitted again
			l.observe(l.answerEvent(m, at, choice.Rejected))
		}
	case model.SubmitFailed:
		l.bin(at).Failed++
		l.endMessage(m, at, choice.ServerError, "failed")
	case model.SubmitUnanswered:
		if final {
			m.ended, m.outcome = true, "unheard"
		}
	}
}

func (l *ledger) answerEvent(m *message, at time.Duration, o choice.Outcome) model.Event {
	return model.Event{At: at, Kind: model.Answered, Node: m.node, Msg: m.submissionID, FirstID: m.id, Class: m.class, Dest: m.dest, Outcome: o, Deadline: m.deadline}
}

// endMessage records the outcome of a message unless it has one already. The caller holds mu.
func (l *ledger) endMessage(m *message, at time.Duration, o choice.Outcome, outcome string) {
	if m.ended {
		return
	}
	m.ended, m.outcome = true, outcome
	m.tracef(at, "ended: %s", outcome)
	l.observe(l.answerEvent(m, at, o))
}

// notice records a notice of a node that was read from a list server.
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
	if l.noticesMayBeLate { // the fault between node and server may have delayed the notice
		at = min(at, m.deadline)
	}
	if !m.accepted { // the answer to the submission was lost
		m.accepted = true
		l.observe(model.Event{At: at, Kind: model.Accepted, Node: m.node, Msg: m.submissionID, FirstID: m.id, Class: m.class, Dest: m.dest, Deadline: m.deadline})
	}
	if state == "failed" {
		l.endMessage(m, at, choice.ServerError, "failed late")
	} else {
		l.endMessage(m, at, choice.Rejected, "returned")
	}
}

// partnerEvent records an event of a partner that concerns a node; node is -1 if it is unknown.
// (partner.Config.OnEvent)
func (l *ledger) partnerEvent(node int, ev partner.Event) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b, i, known := l.bin(at), 0, false
	if i, known = l.endpointIndex[ev.Endpoint]; !known {
		l.unexpectedEvents++
		return
	}
	e, n := &l.endpoints[i], l.node(node)
	if n == nil && ev.Type != partner.Overloaded {
		l.unexpectedEvents++
		return
	}
	switch ev.Type {
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
		e.maxLoad = max(e.maxLoad, ev.Load)
		basis, marked := parseDecisionBasis(node, ev.Header.Get(egress.DecisionBasisHeader))
		if l.script.Node.Audit && !marked {
			l.unmarkedCalls++
		}
		if n.called < 0 {
			n.called = at - n.started
		}
		if grace := l.day.Settings.DrainTimeout + lateSlack; e.withdrawnAt >= 0 && at > e.withdrawnAt+grace {
			e.lateCalls++
			n.lateCalls++
			e.lateCallsByBasis[basis]++
			e.lastLateCall = at - e.withdrawnAt
		}
		l.callReceived(node, e, ev, at)
	case partner.CallRefused:
		b.CallsRefused++
		e.callsRefused++
		l.callEnded(node, e, ev, at, choice.Rejected)
	case partner.CallExecuted:
		b.CallsExecuted++
		if n.delivered < 0 {
			n.delivered = at - n.started
		}
		l.callEnded(node, e, ev, at, choice.Success)
	}
}

// decisionBasis is the node, its incarnation and the list revision that a call is based on, from the call's header.
type decisionBasis struct {
	node        int
	incarnation uint32
	revision    int64
}

// parseDecisionBasis parses the decision basis header of a node's call. It returns false if the header is missing or
// invalid.
func parseDecisionBasis(node int, text string) (decisionBasis, bool) {
	r := decisionBasis{node: node}
	n, err := fmt.Sscanf(text, "%d.%d", &r.revision, &r.incarnation)
	if err != nil || n != 2 || r.revision <= 0 || r.incarnation == 0 {
		return decisionBasis{node: node}, false
	}
	return r, true
}

// callReceived records the start of a call at a partner. The caller holds mu.
func (l *ledger) callReceived(node int, e *endpointStats, s partner.Event, at time.Duration) {
	m := l.bySubmissionID[s.MessageID]
	if m == nil {
		l.recordViolation("strange", "%s received a call from node %d for %q, which was never submitted", e.id, node, s.MessageID)
		return
	}
	m.tracef(at, "%s received a call for %s", e.id, s.MessageID)
	if m.submissionID != s.MessageID {
		return // an earlier submission, whose end its client has been told
	}
	for _, other := range m.calls {
		if !other.ended && at-other.startedAt > copySlack {
			l.recordViolation("copies", "%s received a call for %s while the call at %s is in progress since %v", e.id, s.MessageID, other.endpoint, at-other.startedAt)
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

// callEnded records the end of a call at a partner. The caller holds mu.
func (l *ledger) callEnded(node int, e *endpointStats, s partner.Event, at time.Duration, o choice.Outcome) {
	m := l.bySubmissionID[s.MessageID]
	if m == nil {
		if o == choice.Success {
			l.recordViolation("strange", "%s executed %q, which was never submitted", e.id, s.MessageID)
		}
		return
	}
	m.tracef(at, "%s ended the call for %s with outcome %d", e.id, s.MessageID, o)
	i := slices.IndexFunc(m.calls, func(c *call) bool { return c.peerAddr == s.PeerAddr && c.endpoint == e.id && !c.ended })
	ev := model.Event{At: at, Node: node, Msg: s.MessageID, FirstID: m.id, Class: m.class, Dest: e.dest, Endpoint: e.id, Outcome: o}
	if i < 0 && s.MessageID == m.submissionID && o == choice.Success {
		l.recordViolation("strange", "%s executed %s without a call for it", e.id, s.MessageID)
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

// setWithdrawn records that an endpoint was withdrawn from the list, or registered again.
func (l *ledger) setWithdrawn(endpoint string, withdrawn bool) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &l.endpoints[l.endpointIndex[endpoint]]
	if e.withdrawnAt = -1; withdrawn {
		e.withdrawnAt = at
	}
}

// openMessages returns how many submitted messages have no outcome yet.
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
