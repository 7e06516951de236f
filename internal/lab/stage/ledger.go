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
	binSize   = 100 * time.Millisecond
	maxBins   = int((2*MaxFor + 5*time.Minute) / binSize)
	copySlack = 100 * time.Millisecond // the end of a call that its node has given up may reach a partner so late
	earlySpan = 5 * time.Second        // a start
	lateSlack = 50 * time.Millisecond
)

// Bin is what happened in a tenth of a second.
type Bin struct {
	Asks      int `json:"asks"`      // for the list, also those that found nobody
	Served    int `json:"served"`    // lists that servers began to tell
	Told      int `json:"told"`      // asks that were answered with when to come
	ListBytes int `json:"listBytes"` // from servers to nodes
	Conns     int `json:"conns"`     // at endpoints
	HungUp    int `json:"hungUp"`
	Calls     int `json:"calls"`
	Refused   int `json:"refused"` // of the calls
	Ran       int `json:"ran"`
	Datagrams int `json:"datagrams"`
	Lost      int `json:"lost"` // of the datagrams
	HandedIn  int `json:"handedIn"`
	Busy      int `json:"busy"`
	Failed    int `json:"failed"`
}

// message is a message as a client first hands it in, with all later tries at it.
type message struct {
	id, tryID string
	node      int
	dest      int
	class     int
	at        time.Duration
	until     time.Duration
	tries     int
	taken     bool
	over      bool
	calls     []*call // of this try
	ran       int     // of all tries
	ranNow    int     // of this try
	firstRan  time.Duration
	end       string
	next      bool // the hand-in that comes is a new try
	story     []string
}

const maxStory = 24 // words of a message's story

// tell adds to the message's story, which is printed if it ends badly. The ledger's lock is held.
func (m *message) tell(at time.Duration, format string, args ...any) {
	if len(m.story) < maxStory {
		m.story = append(m.story, fmt.Sprintf("%.3f ", at.Seconds())+fmt.Sprintf(format, args...))
	}
}

type call struct {
	endpoint string
	from     string
	began    time.Duration
	ended    bool
	attempt  int
}

// ledger is what the stage has seen: at clients, partners, relays and list servers, never what a node says of itself.
// Its methods may be called from many goroutines.
type ledger struct {
	script *Script
	day    model.Day
	began  atomic.Pointer[time.Time]
	blind  bool // faults keep nodes from list servers, so that notices may come late

	mu        sync.Mutex
	bins      []Bin
	byID      map[string]*message // every try
	firsts    []*message
	judge     *judge.Judge
	nodes     []nodeSeen
	endpoints []endpointSeen
	index     map[string]int // of endpoints, by id
	broken    []string       // rules of the stage's own
	brokenN   int
	strange   int
	crashes   int
	unmarked  int // calls without a mark, where nodes are to mark them
}

// nodeSeen is a node as the stage sees it. Times are since its start; -1 for never.
type nodeSeen struct {
	started, ready, listed, called, delivered time.Duration
	lateCalls                                 int
	starts                                    int
}

type endpointSeen struct {
	id        string
	dest      int
	conns     int
	open      int
	mostOpen  int
	mostEarly int // of those, in the first earlySpan of the play,
	mostLast  int // and in the last third of it
	calls     int
	hungUp    int
	refused   int
	fell      int
	load      float64
	withdrawn time.Duration // -1 while it is in the list
	lateCalls int
	lastLate  time.Duration // after the withdrawal
	lateBy    map[rests]int
}

func newLedger(s *Script, day model.Day, began time.Time) *ledger {
	l := &ledger{script: s, day: day, byID: map[string]*message{}, index: map[string]int{}, nodes: make([]nodeSeen, s.Nodes)}
	l.began.Store(&began)
	l.judge = judge.New(&l.day)
	for i := range l.nodes {
		l.nodes[i] = nodeSeen{started: -1, ready: -1, listed: -1, called: -1, delivered: -1}
	}
	for d, spec := range day.Dests {
		for _, e := range spec.Endpoints {
			l.index[e.ID] = len(l.endpoints)
			l.endpoints = append(l.endpoints, endpointSeen{id: e.ID, dest: d, withdrawn: -1, lateBy: map[rests]int{}})
		}
	}
	return l
}

func (l *ledger) now() time.Duration { return time.Since(*l.began.Load()) }

// restart begins the play's clock anew, before anything has happened.
func (l *ledger) restart() {
	now := time.Now()
	l.began.Store(&now)
}

// excuse notes that nodes may be kept from list servers, or these be out: notices may come late from now on.
func (l *ledger) excuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blind = true
}

// bin is the one of a moment. The lock is held.
func (l *ledger) bin(at time.Duration) *Bin {
	i := min(max(int(at/binSize), 0), maxBins-1)
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
func (l *ledger) breaks(rule, format string, args ...any) {
	if l.brokenN++; len(l.broken) < 20 {
		l.broken = append(l.broken, fmt.Sprintf("%9.3f s  %s: ", l.now().Seconds(), rule)+fmt.Sprintf(format, args...))
	}
}

// passed takes what the relays see. (relay.New)
func (l *ledger) passed(e relay.Event) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bin(at)
	switch {
	case e.What == relay.Datagram:
		b.Datagrams++
	case e.What == relay.Lost:
		b.Lost++
	case e.From.Kind == relay.Node && e.To.Kind == relay.Server:
		if e.What == relay.Turned || e.What == relay.Passed && bytes.HasPrefix(e.Text, []byte("GET /registry/instances")) {
			b.Asks++
		}
	case e.From.Kind == relay.Server && e.To.Kind == relay.Node && e.What == relay.Passed:
		b.ListBytes += e.Bytes
		switch {
		case bytes.HasPrefix(e.Text, []byte("HTTP/1.1 503")) && bytes.Contains(e.Text, []byte("Retry-After-Ms")):
			b.Told++
		case bytes.HasPrefix(e.Text, []byte("HTTP/1.1 200")) || bytes.Contains(e.Text, []byte(`"revision"`)):
			b.Served++
			if n := l.node(e.To.N); n != nil && n.listed < 0 {
				n.listed = at - n.started
			}
		}
	}
}

func (l *ledger) node(n int) *nodeSeen {
	if n < 0 || n >= len(l.nodes) {
		return nil
	}
	return &l.nodes[n]
}

// began and died tell of a node's process. Times of a start count for the first one.
func (l *ledger) started(n int) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	x := &l.nodes[n]
	if x.starts == 0 {
		x.started = at
	}
	l.observe(model.Event{At: at, Kind: model.NodeStarted, Node: n, Attempt: x.starts})
	x.starts++
}

func (l *ledger) died(n int) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(model.Event{At: at, Kind: model.NodeStopped, Node: n})
}

// crash notes a process that has ended by itself.
func (l *ledger) crash(name, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes++
	l.breaks("crash", "%s ends by itself: %s", name, how)
}

// pong notes that a node takes clients.
func (l *ledger) pong(n int) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := &l.nodes[n]; x.ready < 0 {
		x.ready = at - x.started
	}
}

// hand notes a hand-in, before it is made, and returns the id to hand it in under.
func (l *ledger) hand(m *message) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.tries++; m.tries == 1 {
		m.at, m.tryID = at, m.id
		l.firsts = append(l.firsts, m)
		l.bin(at).HandedIn++
	} else {
		m.tryID = fmt.Sprintf("%s~%d", m.id, m.tries)
	}
	m.calls, m.taken, m.ranNow = nil, false, 0
	l.byID[m.tryID] = m
	m.tell(at, "handed in as %s until %.3f", m.tryID, m.until.Seconds())
	l.observe(model.Event{
		At: at, Kind: model.Submitted, Node: m.node, Msg: m.tryID, FirstID: m.id, Class: m.class, Dest: m.dest, Deadline: m.until, InQuota: true,
	})
}

// answered notes what a node says to a hand-in. end is whether the client leaves it at that.
func (l *ledger) answered(m *message, told model.SubmitResult, end bool) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	m.tell(at, "told %d, end %v", told, end)
	switch told {
	case model.SubmitAccepted:
		if m.taken || m.over {
			return
		}
		m.taken = true
		l.observe(model.Event{At: at, Kind: model.Accepted, Node: m.node, Msg: m.tryID, FirstID: m.id, Class: m.class, Dest: m.dest, Deadline: m.until})
		if m.ranNow > 0 {
			l.over(m, at, choice.Success, "delivered")
		}
	case model.SubmitRejected:
		l.bin(at).Busy++
		if end {
			l.over(m, at, choice.Rejected, "refused")
		} else { // the try is over, the message goes on
			l.observe(l.answer(m, at, choice.Rejected))
		}
	case model.SubmitFailed:
		l.bin(at).Failed++
		l.over(m, at, choice.ServerError, "failed")
	case model.SubmitUnanswered:
		if end {
			m.over, m.end = true, "unheard"
		}
	}
}

func (l *ledger) answer(m *message, at time.Duration, o choice.Outcome) model.Event {
	return model.Event{At: at, Kind: model.Answered, Node: m.node, Msg: m.tryID, FirstID: m.id, Class: m.class, Dest: m.dest, Outcome: o, Deadline: m.until}
}

// over gives a message its end. The lock is held.
func (l *ledger) over(m *message, at time.Duration, o choice.Outcome, end string) {
	if m.over {
		return
	}
	m.over, m.end = true, end
	m.tell(at, "over: %s", end)
	l.observe(l.answer(m, at, o))
}

// notice takes what a list server says that a node has told it.
func (l *ledger) notice(id, state string, when time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.byID[id]
	if m == nil {
		l.strange++
		return
	}
	if id != m.tryID || m.over {
		return
	}
	at := when.Sub(*l.began.Load())
	if l.blind { // the way to the servers is part of what is played
		at = min(at, m.until)
	}
	if !m.taken { // the answer to the hand-in got lost
		m.taken = true
		l.observe(model.Event{At: at, Kind: model.Accepted, Node: m.node, Msg: m.tryID, FirstID: m.id, Class: m.class, Dest: m.dest, Deadline: m.until})
	}
	if state == "failed" {
		l.over(m, at, choice.ServerError, "failed late")
	} else {
		l.over(m, at, choice.Rejected, "returned")
	}
}

// partner takes what partners see. (partner.Config.Seen)
func (l *ledger) partner(node int, s partner.Event) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b, i, known := l.bin(at), 0, false
	if i, known = l.index[s.Endpoint]; !known {
		l.strange++
		return
	}
	e, n := &l.endpoints[i], l.node(node)
	if n == nil && s.Type != partner.Overloaded {
		l.strange++
		return
	}
	switch s.Type {
	case partner.ConnectionOpened:
		b.Conns++
		e.conns++
		e.open++
		e.mostOpen = max(e.mostOpen, e.open)
		if at < l.script.Start.Nodes.Duration()+earlySpan {
			e.mostEarly = max(e.mostEarly, e.open)
		}
		if at > l.script.For.Duration()*2/3 {
			e.mostLast = max(e.mostLast, e.open)
		}
	case partner.ConnectionClosed:
		e.open--
	case partner.ConnectionRejected:
		b.HungUp++
		e.hungUp++
	case partner.Overloaded:
		e.fell++
	case partner.CallReceived:
		b.Calls++
		e.calls++
		e.load = max(e.load, s.Load)
		by, marked := readRests(node, s.Header.Get(egress.DecisionBasisHeader))
		if l.script.Node.Audit && !marked {
			l.unmarked++
		}
		if n.called < 0 {
			n.called = at - n.started
		}
		if grace := l.day.Settings.DrainTimeout + lateSlack; e.withdrawn >= 0 && at > e.withdrawn+grace {
			e.lateCalls++
			n.lateCalls++
			e.lateBy[by]++
			e.lastLate = at - e.withdrawn
		}
		l.called(node, e, s, at)
	case partner.CallRefused:
		b.Refused++
		e.refused++
		l.ended(node, e, s, at, choice.Rejected)
	case partner.CallExecuted:
		b.Ran++
		if n.delivered < 0 {
			n.delivered = at - n.started
		}
		l.ended(node, e, s, at, choice.Success)
	}
}

// rests is whose a call is, and on which list it rests, as the call itself says.
type rests struct {
	node     int
	life     uint32
	revision int64
}

// readRests reads the mark of a call of a node; false if there is none.
func readRests(node int, text string) (rests, bool) {
	r := rests{node: node}
	n, err := fmt.Sscanf(text, "%d.%d", &r.revision, &r.life)
	if err != nil || n != 2 || r.revision <= 0 || r.life == 0 {
		return rests{node: node}, false
	}
	return r, true
}

// called notes the beginning of a call. The lock is held.
func (l *ledger) called(node int, e *endpointSeen, s partner.Event, at time.Duration) {
	m := l.byID[s.MessageID]
	if m == nil {
		l.breaks("strange", "%s is called by node %d for %q, which nobody has handed in", e.id, node, s.MessageID)
		return
	}
	m.tell(at, "%s called for %s", e.id, s.MessageID)
	if m.tryID != s.MessageID {
		return // an earlier try, which its client has been told is over
	}
	for _, o := range m.calls {
		if !o.ended && at-o.began > copySlack {
			l.breaks("copies", "%s is called for %s while its call at %s is out since %v", e.id, s.MessageID, o.endpoint, at-o.began)
		}
	}
	c := &call{endpoint: e.id, from: s.PeerAddr, began: at, attempt: len(m.calls)}
	m.calls = append(m.calls, c)
	ev := model.Event{At: at, Node: node, Msg: s.MessageID, FirstID: m.id, Class: m.class, Dest: e.dest, Endpoint: e.id, Attempt: c.attempt, WrittenAt: at}
	ev.Kind = model.Sent
	l.observe(ev)
	ev.Kind = model.RequestReceived
	l.observe(ev)
}

// ended notes the end of a call at its partner. The lock is held.
func (l *ledger) ended(node int, e *endpointSeen, s partner.Event, at time.Duration, o choice.Outcome) {
	m := l.byID[s.MessageID]
	if m == nil {
		if o == choice.Success {
			l.breaks("strange", "%s runs %q, which nobody has handed in", e.id, s.MessageID)
		}
		return
	}
	m.tell(at, "%s ends %s with %d", e.id, s.MessageID, o)
	i := slices.IndexFunc(m.calls, func(c *call) bool { return c.from == s.PeerAddr && c.endpoint == e.id && !c.ended })
	ev := model.Event{At: at, Node: node, Msg: s.MessageID, FirstID: m.id, Class: m.class, Dest: e.dest, Endpoint: e.id, Outcome: o}
	if i < 0 && s.MessageID == m.tryID && o == choice.Success {
		l.breaks("strange", "%s runs %s without a call of it", e.id, s.MessageID)
	}
	if i >= 0 {
		m.calls[i].ended = true
		ev.Attempt = i
	}
	if o == choice.Success {
		if s.MessageID == m.tryID {
			m.ranNow++
		}
		if m.ran++; m.ran == 1 {
			m.firstRan = at
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
	if o == choice.Success && m.taken {
		l.over(m, at, choice.Success, "delivered")
	}
}

// withdrew notes that the list leaves an endpoint out, or has it again.
func (l *ledger) withdrew(endpoint string, gone bool) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &l.endpoints[l.index[endpoint]]
	if e.withdrawn = -1; gone {
		e.withdrawn = at
	}
}

// open is how many messages that are taken on have no end yet.
func (l *ledger) open() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.firsts {
		if !m.over {
			n++
		}
	}
	return n
}
