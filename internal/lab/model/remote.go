package model

import (
	"context"
	"time"

	"harrierramp/choice"
)

// Remote is a node that is a real process, as the driver of real sockets sees it. Its methods are called by the world's
// goroutine and must not wait.
type Remote interface {
	Start()                 // start the process
	Kill()                  // kill it
	Terminate()             // SIGTERM
	Submit(m Submission)    // hand a message in; the answer comes by World.Told
	UpdateList(m ListEntry) // tell of a change of the list
}

// Handed is a message on its way to a real node.
type Submission struct {
	ID          string
	Class, Dest int
	Tenant      int
	TimeLeft    time.Duration // until its deadline
}

// Listed is an entry of the list.
type ListEntry struct {
	Endpoint         string
	Zone, Kind, Dest int
	Phase            choice.Phase
	Weight           float64
}

// Sockets is the side of the endpoints: it hears when they go down and come back. It must not wait.
type EndpointObserver interface {
	OutageChanged(endpoint, kind string, down bool)
	EndpointAdded(endpoint string) // a new one
}

// Told is a node's answer to a hand-in, or a notice of its.
type SubmitResult int

// What nodes say.
const (
	SubmitAccepted SubmitResult = iota
	SubmitRejected
	SubmitFailed
	SubmitUnanswered // no answer: the node is dead, or too slow
)

// remote is a node that is a real process.
type remoteNode struct {
	w           *World
	number      int
	process     Remote
	messages    map[string]*remoteMessage
	incarnation int
}

type remoteMessage struct {
	*message
	accepted, delivered, answered bool
}

// remoteCall is a call that a real process makes.
type remoteCall struct {
	node  int
	reply func(o choice.Outcome, wait time.Duration)
}

// NewRemote makes a run of a day in real time whose nodes are real processes.
func NewRemote(day Day, nodes []Remote, sockets EndpointObserver, obs Observer) *World {
	w := New(day, nil, obs)
	w.simNodes, w.endpointObserver, w.tasks = nil, sockets, make(chan func(), 1024)
	w.nodes = nil
	for i, r := range nodes {
		w.nodes = append(w.nodes, &remoteNode{w: w, number: i, process: r, messages: map[string]*remoteMessage{}})
	}
	return w
}

func (w *World) reportOutage(e *endpoint, kind string, down bool) {
	if w.endpointObserver != nil {
		w.endpointObserver.OutageChanged(e.id, kind, down)
	}
}

// Do runs a function on the world's goroutine. It waits while much is to be done, and not at all once ctx ends.
func (w *World) Do(ctx context.Context, run func()) {
	select {
	case w.tasks <- run:
	case <-ctx.Done():
	}
}

// RunReal plays the day on the wall clock until the last message has its end or ctx ends. settled tells that nothing
// more is awaited once all arrivals are over.
func (w *World) RunRealTime(ctx context.Context) error {
	startedAt := time.Now()
	for _, n := range w.nodes {
		n.start()
	}
	for _, t := range w.Day.Faults {
		w.events.add(startTime+t.At, func() { w.injectFault(t) })
	}
	w.clients.scheduleNext()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for last := startTime + w.Day.Length + settleTime; ; {
		w.now = max(w.now, startTime+time.Since(startedAt))
		if w.now > startTime+w.Day.Length && w.settled() || w.now > last {
			return nil
		}
		wait := 20 * time.Millisecond
		if len(w.events.heap) > 0 {
			wait = min(wait, max(w.events.heap[0].at-w.now, 0))
		}
		if wait == 0 {
			w.Steps++
			w.events.next().run()
			continue
		}
		timer.Reset(wait)
		select {
		case run := <-w.tasks:
			w.now = max(w.now, startTime+time.Since(startedAt))
			run()
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// settled tells that every message that was taken on has its end.
func (w *World) settled() bool {
	for _, n := range w.nodes {
		for _, m := range n.(*remoteNode).messages {
			if m.accepted && !m.answered {
				return false
			}
		}
	}
	return true
}

// List is the list as it is, for a process that starts.
func (w *World) List() (out []ListEntry) {
	for _, d := range w.destinations {
		for _, e := range d.endpoints {
			out = append(out, e.listEntry(e.phase))
		}
	}
	return out
}

func (e *endpoint) listEntry(phase choice.Phase) ListEntry {
	return ListEntry{e.id, e.zone, e.dest.spec.Kind, e.dest.id, phase, e.dest.spec.Weight}
}

// Call is a call of a real node that has come to an endpoint, its last byte included. reply is called once, on the
// world's goroutine, unless the endpoint never answers. It runs on the world's goroutine.
func (w *World) HandleCall(node int, endpoint, id string, reply func(o choice.Outcome, wait time.Duration)) {
	e, n := w.endpoints[endpoint], w.nodes[node].(*remoteNode)
	m := n.messages[id]
	if e == nil || m == nil {
		w.emit(Event{Kind: InvalidAction, Node: node, Msg: id, Text: "a call for a message that nobody handed in there"})
		reply(choice.ServerError, 0)
		return
	}
	c := &call{
		msg: m.message, id: id, class: m.class, attempt: len(m.attempts), endpoint: e, startedAt: w.now, written: true, writtenAt: w.now,
		remote: &remoteCall{node, reply},
	}
	m.attempts = append(m.attempts, attemptRecord{sentAt: w.now, zone: e.zone})
	w.emit(c.event(Sent))
	w.after(w.delay(w.Day.Nodes[node].Zone, e.zone), func() { e.receive(c) })
}

// answer is the endpoint's answer, which the node has after its way.
func (r *remoteCall) respond(c *call, o choice.Outcome, wait time.Duration) {
	w := c.endpoint.dest.w
	w.after(w.delay(c.endpoint.zone, w.Day.Nodes[r.node].Zone), func() {
		if c.done {
			return
		}
		c.done = true
		e := c.event(AttemptEnded)
		e.Outcome, e.RetryAfter = o, wait
		w.emit(e)
		if m := w.nodes[r.node].(*remoteNode).messages[c.id]; o == choice.Success && m != nil {
			m.delivered = true
			w.answer(m, r.node, choice.Success, 0)
		}
		r.reply(o, wait)
	})
}

// Gone says that a real node has given up a call that is out: its connection has ended.
func (w *World) CallAbandoned(node int, id string) {
	m := w.nodes[node].(*remoteNode).messages[id]
	if m == nil {
		return
	}
	w.emit(Event{Kind: AttemptEnded, Node: node, Msg: id, FirstID: m.firstID, Class: m.class, Dest: m.dest, Attempt: len(m.attempts) - 1, Outcome: choice.Cancelled})
}

// Answer is what a node says to a hand-in. It runs on the world's goroutine.
func (w *World) HandleSubmitResult(node int, id string, result SubmitResult, wait time.Duration) {
	m := w.nodes[node].(*remoteNode).messages[id]
	if m == nil {
		return
	}
	switch result {
	case SubmitAccepted:
		m.accepted = true
		w.emit(Event{Kind: Accepted, Node: node, Msg: id, FirstID: m.firstID, Class: m.class, Dest: m.dest, Deadline: m.deadline})
		if m.delivered {
			w.answer(m, node, choice.Success, 0)
		}
	case SubmitUnanswered:
		w.emit(Event{Kind: NodeUnavailable, Node: node, Msg: id, FirstID: m.firstID, Class: m.class, Dest: m.dest})
		w.clients.resubmitLater(m.message)
	case SubmitRejected:
		m.accepted = true // it has its end with that
		w.answer(m, node, choice.Rejected, wait)
	case SubmitFailed:
		m.accepted = true
		w.answer(m, node, choice.ServerError, 0)
	}
}

// Notice is a notice of a node's. One for a message that is over does no harm.
func (w *World) Notice(node int, id string, t SubmitResult, wait time.Duration) {
	m := w.nodes[node].(*remoteNode).messages[id]
	if m == nil || m.answered {
		return
	}
	o := choice.Rejected
	if t == SubmitFailed {
		o = choice.ServerError
	}
	w.answer(m, node, o, wait)
}

// end is a message's final answer, once its client has heard that it is taken on.
func (w *World) answer(m *remoteMessage, node int, o choice.Outcome, wait time.Duration) {
	if m.answered || !m.accepted {
		return
	}
	m.answered = true
	w.emit(Event{
		Kind: Answered, Node: node, Msg: m.id, FirstID: m.firstID, Class: m.class, Tenant: m.tenant, Dest: m.dest, Outcome: o, RetryAfter: wait, Deadline: m.deadline,
	})
	if o == choice.Rejected {
		w.clients.handleRefusal(m.message, node, wait)
	}
}

func (r *remoteNode) start() {
	r.w.emit(Event{Kind: NodeStarted, Node: r.number, Attempt: r.incarnation})
	r.incarnation++
	r.process.Start()
}

func (r *remoteNode) kill() {
	r.w.emit(Event{Kind: NodeStopped, Node: r.number})
	r.process.Kill()
}

func (r *remoteNode) terminate() {
	r.process.Terminate()
	r.w.after(restartDelay-600*time.Millisecond, r.kill)
	r.w.after(restartDelay, r.start)
}

func (r *remoteNode) submit(m *message) bool {
	r.messages[m.id] = &remoteMessage{message: m}
	r.process.Submit(Submission{m.id, m.class, m.dest, m.tenant, m.deadline - r.w.now})
	return true
}

func (r *remoteNode) updateList(e *endpoint, phase choice.Phase) {
	if phase != choice.Ready {
		r.w.emit(Event{Kind: WithdrawalReceived, Node: r.number, Endpoint: e.id})
	} else if r.w.endpointObserver != nil {
		r.w.endpointObserver.EndpointAdded(e.id)
	}
	r.process.UpdateList(e.listEntry(phase))
}
