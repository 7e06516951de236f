package model

import (
	"context"
	"time"

	"harrierramp/choice"
)

// Remote controls a node that runs as a real process, in a run on real sockets. Its methods are called on the world's
// goroutine and must not block.
type Remote interface {
	Start()                 // starts the process
	Kill()                  // kills the process
	Terminate()             // sends SIGTERM
	Submit(m Submission)    // submits a message; the result comes by World.HandleSubmitResult
	UpdateList(m ListEntry) // publishes a change of the list to the node
}

// Submission is a message that is submitted to a real node.
type Submission struct {
	ID          string
	Class, Dest int
	Tenant      int
	TimeLeft    time.Duration // until its deadline
}

// ListEntry is an entry of the list of endpoints.
type ListEntry struct {
	Endpoint         string
	Zone, Kind, Dest int
	Phase            choice.Phase
	Weight           float64
}

// EndpointObserver is told when endpoints go down or come back, and of new endpoints, so that it can change their
// sockets. Its methods must not block.
type EndpointObserver interface {
	OutageChanged(endpoint, kind string, down bool)
	EndpointAdded(endpoint string)
}

// SubmitResult is a node's response to a submission, or the result that a notice states.
type SubmitResult int

// The results of a submission.
const (
	SubmitAccepted SubmitResult = iota
	SubmitRejected
	SubmitFailed
	SubmitUnanswered // no response: the node is down or too slow
)

// remoteNode is a node that runs as a real process.
type remoteNode struct {
	w           *World
	number      int
	process     Remote
	messages    map[string]*remoteMessage
	incarnation int
}

// remoteMessage is a message submitted to a real node.
type remoteMessage struct {
	*message
	accepted, delivered, answered bool
}

// remoteCall is the part of a call that only a call of a real process has.
type remoteCall struct {
	node  int
	reply func(o choice.Outcome, wait time.Duration)
}

// NewRemote creates a run of a day in real time whose nodes are real processes. RunRealTime plays it.
func NewRemote(day Day, nodes []Remote, endpoints EndpointObserver, obs Observer) *World {
	w := New(day, nil, obs)
	w.simNodes, w.endpointObserver, w.tasks = nil, endpoints, make(chan func(), 1024)
	w.nodes = nil
	for i, r := range nodes {
		w.nodes = append(w.nodes, &remoteNode{w: w, number: i, process: r, messages: map[string]*remoteMessage{}})
	}
	return w
}

// reportOutage tells the EndpointObserver, if any, that an outage of an endpoint began or ended.
func (w *World) reportOutage(e *endpoint, kind string, down bool) {
	if w.endpointObserver != nil {
		w.endpointObserver.OutageChanged(e.id, kind, down)
	}
}

// Do runs a function on the world's goroutine. It blocks while the queue of functions is full, but no longer than ctx
// lasts.
func (w *World) Do(ctx context.Context, run func()) {
	select {
	case w.tasks <- run:
	case <-ctx.Done():
	}
}

// RunRealTime plays the day on the wall clock. It returns when all arrivals are over and every accepted message has its
// final answer, when settleTime has passed after the arrivals, or when ctx ends.
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

// settled reports whether every accepted message has its final answer.
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

// List returns the current list of endpoints, for a process that starts.
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

// HandleCall handles a call of a real node that has reached an endpoint completely. It must run on the world's
// goroutine, which also calls reply, once, unless the endpoint never responds.
func (w *World) HandleCall(node int, endpoint, id string, reply func(o choice.Outcome, wait time.Duration)) {
	e, n := w.endpoints[endpoint], w.nodes[node].(*remoteNode)
	m := n.messages[id]
	if e == nil || m == nil {
		w.emit(Event{Kind: InvalidAction, Node: node, Msg: id, Text: "call for a message that was not submitted to the node"})
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

// respond delivers the endpoint's response to the node after the network delay.
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

// CallAbandoned records that a real node has closed the connection of a call in progress.
func (w *World) CallAbandoned(node int, id string) {
	m := w.nodes[node].(*remoteNode).messages[id]
	if m == nil {
		return
	}
	w.emit(Event{Kind: AttemptEnded, Node: node, Msg: id, FirstID: m.firstID, Class: m.class, Dest: m.dest, Attempt: len(m.attempts) - 1, Outcome: choice.Cancelled})
}

// HandleSubmitResult handles the response of a node to a submission. It must run on the world's goroutine.
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
		m.accepted = true // the refusal is its final answer
		w.answer(m, node, choice.Rejected, wait)
	case SubmitFailed:
		m.accepted = true
		w.answer(m, node, choice.ServerError, 0)
	}
}

// Notice handles a notice from a node. A notice for a message that has its final answer is ignored.
func (w *World) Notice(node int, id string, result SubmitResult, wait time.Duration) {
	m := w.nodes[node].(*remoteNode).messages[id]
	if m == nil || m.answered {
		return
	}
	o := choice.Rejected
	if result == SubmitFailed {
		o = choice.ServerError
	}
	w.answer(m, node, o, wait)
}

// answer records the final answer of a message, once. It does nothing before the submission has its result; a delivery
// that came earlier is answered with that result.
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
