package model

import (
	"fmt"
	"slices"
	"time"

	"harrierramp/choice"
)

// The restart of a node by SIGTERM, in delays after the signal: the node works normally until shutdownDelay, then
// starts no new calls, is killed at exitDelay, and starts again at restartDelay.
const (
	shutdownDelay = 1200 * time.Millisecond
	exitDelay     = 2700 * time.Millisecond
	restartDelay  = 4300 * time.Millisecond
	// idleConnMargin is subtracted from the idle timeout, so that a node does not use a connection that its endpoint is
	// about to close.
	idleConnMargin = 400 * time.Millisecond
)

// simNode is a simulated node. It does what the network code of a real node does around the policy.
type simNode struct {
	w             *World
	number        int
	zone          int
	up            bool
	incarnation   int
	policy        Policy
	inbox         []choice.Event
	stepScheduled bool          // a step is scheduled for the present time
	wakeAt        time.Duration // the wake-up that the policy requested; 0 for none
	messages      map[string]*message
	journal       []*message // in the order of acceptance; survives restarts
	openMessages  int        // messages without a final answer
	inProgress    map[attemptKey]*call
	memory        *choice.Memory             // estimates that the last incarnation saved,
	memoryAt      time.Duration              // at this time
	idleConns     map[string][]time.Duration // since when each idle connection is idle, by endpoint
	retryAt       map[any]*time.Duration     // end of the last Retry-After, by destination, or by endpoint for separate routes
	phases        map[string]choice.Phase    // the list as the node knows it
	listOrder     []string                   // keys of phases, in the order in which they were added
}

// attemptKey identifies an attempt of a message.
type attemptKey struct {
	id      string
	attempt int
}

// message is a message at a node, with what the node's journal records about it.
type message struct {
	id, firstID    string
	class          int
	tenant         int
	dest           int
	deadline       time.Duration
	attempts       []attemptRecord
	finished       bool
	awaitingAccept bool // the client waits for the result of the submission
}

// attemptRecord is an attempt as the journal records it.
type attemptRecord struct {
	sentAt         time.Duration
	zone           int
	notRun, failed bool
}

func newSimNode(w *World, number int) *simNode {
	n := &simNode{w: w, number: number, zone: w.Day.Nodes[number].Zone, messages: map[string]*message{}, phases: map[string]choice.Phase{}, incarnation: -1}
	for _, d := range w.destinations {
		for _, e := range d.endpoints {
			n.phases[e.id] = choice.Ready
			n.listOrder = append(n.listOrder, e.id)
		}
	}
	return n
}

// start starts a new incarnation of the node, with the messages of its journal.
func (n *simNode) start() {
	if n.up {
		return
	}
	w := n.w
	n.up, n.incarnation, n.stepScheduled, n.wakeAt, n.inbox = true, n.incarnation+1, false, 0, nil
	n.inProgress, n.idleConns, n.retryAt = map[attemptKey]*call{}, map[string][]time.Duration{}, map[any]*time.Duration{}
	s := w.Day.Settings
	s.Number = n.number
	n.policy = w.newPolicy(w, s, w.rng.seeds.Uint64())
	w.emit(Event{Kind: NodeStarted, Node: n.number, Attempt: n.incarnation})
	whole := choice.ListUpdate{Whole: true}
	for _, id := range n.listOrder {
		whole.Entries = append(whole.Entries, n.listEntry(w.endpoints[id], n.phases[id]))
	}
	n.postEvent(whole)
	if n.memory != nil {
		n.postEvent(choice.MemoryRestored{Memory: *n.memory, Age: w.now - n.memoryAt})
	}
	if !w.Day.KeepJournal {
		n.messages, n.journal, n.openMessages = map[string]*message{}, nil, 0
	}
	for _, m := range n.journal {
		if !m.finished {
			n.postEvent(n.resumedEvent(m))
		}
	}
}

// resumedEvent returns the event that hands a message of the journal to the policy of a new incarnation.
func (n *simNode) resumedEvent(m *message) choice.MessageResumed {
	r := choice.MessageResumed{MessageArrived: n.arrivedEvent(m), Attempts: len(m.attempts)}
	for _, s := range m.attempts {
		r.Failed = r.Failed || s.failed
		if !s.notRun && !r.MayHaveRun {
			r.MayHaveRun, r.FirstRunSentAt, r.Zone = true, s.sentAt, s.zone
		}
	}
	return r
}

// arrivedEvent returns the event that hands a new message to the policy.
func (n *simNode) arrivedEvent(m *message) choice.MessageArrived {
	return choice.MessageArrived{ID: m.id, Class: m.class, Tenant: m.tenant, Dest: m.dest, Deadline: m.deadline}
}

// kill ends the process at once and drops its connections. If the journal is not kept, the clients resubmit.
func (n *simNode) kill() {
	if !n.up {
		return
	}
	n.up = false
	if p, ok := n.policy.(interface{ Remember() choice.Memory }); ok && n.w.Day.KeepMemory {
		m := p.Remember()
		n.memory, n.memoryAt = &m, n.w.now
	}
	n.w.emit(Event{Kind: NodeStopped, Node: n.number})
	for _, c := range n.inProgress {
		if !c.done {
			c.done = true
			c.endpoint.conns--
		}
	}
	for id, idle := range n.idleConns {
		n.w.endpoints[id].conns -= len(idle)
	}
	n.inProgress = nil
	if n.journal = slices.DeleteFunc(n.journal, func(m *message) bool { return m.finished }); !n.w.Day.KeepJournal {
		for _, m := range n.journal {
			n.w.clients.resubmitLater(m)
		}
	}
}

// terminate restarts the node by SIGTERM.
func (n *simNode) terminate() {
	incarnation := n.incarnation
	inThisIncarnation := func(run func()) func() {
		return func() {
			if n.up && n.incarnation == incarnation {
				run()
			}
		}
	}
	n.w.after(shutdownDelay, inThisIncarnation(func() { n.postEvent(choice.ShuttingDown{}) }))
	n.w.after(exitDelay, inThisIncarnation(n.kill))
	n.w.after(restartDelay, n.start)
}

// submit takes a client's message. It returns false if the node is down.
func (n *simNode) submit(m *message) bool {
	if !n.up {
		return false
	}
	if s := n.w.Day.Settings; s.MaxOpenMessages > 0 && n.openMessages >= s.MaxOpenMessages {
		n.answer(m, choice.Rejected, 0)
		return true
	}
	m.awaitingAccept = true
	n.messages[m.id] = m
	n.journal = append(n.journal, m)
	if n.openMessages++; len(n.journal) > 64 && len(n.journal) > 4*n.openMessages {
		n.journal = slices.DeleteFunc(n.journal, func(m *message) bool { return m.finished })
	}
	n.postEvent(n.arrivedEvent(m))
	return true
}

// postEvent queues an event for the policy's step at the present time, and schedules that step if necessary.
func (n *simNode) postEvent(e choice.Event) {
	if !n.up {
		return
	}
	n.inbox = append(n.inbox, e)
	if !n.stepScheduled {
		n.stepScheduled = true
		incarnation := n.incarnation
		n.w.after(0, func() {
			if n.up && n.incarnation == incarnation {
				n.step()
			}
		})
	}
}

// step runs one step of the policy and performs its actions. A panic of the policy ends the run with an error.
func (n *simNode) step() {
	defer func() {
		if p := recover(); p != nil {
			n.w.err = fmt.Errorf("node %d: panic: %v", n.number, p)
		}
	}()
	n.stepScheduled = false
	events := n.inbox
	n.inbox = nil
	if n.wakeAt > 0 && n.w.now >= n.wakeAt {
		n.wakeAt = 0
		events = append(events, choice.WakeDue{Tag: "sweep"})
	}
	actions := n.policy.Step(n.w.now, events)
	for _, a := range actions {
		n.perform(a)
	}
	for _, e := range events {
		if a, ok := e.(choice.MessageArrived); ok {
			if m := n.messages[a.ID]; m != nil && m.awaitingAccept {
				m.awaitingAccept = false
				n.w.emit(Event{Kind: Accepted, Node: n.number, Msg: m.id, FirstID: m.firstID, Class: m.class, Dest: m.dest, Deadline: m.deadline})
			}
		}
	}
}

// perform performs an action of the policy.
func (n *simNode) perform(a choice.Action) {
	switch a := a.(type) {
	case choice.Send:
		n.send(a)
	case choice.Refuse:
		if m := n.messages[a.ID]; m != nil {
			n.finish(m, choice.Rejected, a.RetryAfter)
		} else {
			n.reportInvalid("refusal of message %q, which the node does not hold", a.ID)
		}
	case choice.Fail:
		if m := n.messages[a.ID]; m != nil {
			n.finish(m, choice.ServerError, 0)
		} else {
			n.reportInvalid("failure of message %q, which the node does not hold", a.ID)
		}
	case choice.Cancel:
		if c := n.inProgress[attemptKey{a.ID, a.Attempt}]; c != nil {
			c.cancel()
		}
	case choice.CloseIdle:
		n.w.endpoints[a.Endpoint].conns -= len(n.idleConns[a.Endpoint])
		delete(n.idleConns, a.Endpoint)
	case choice.SendDatagram:
		n.sendDatagram(a)
	case choice.Wake:
		if n.wakeAt == 0 || a.At < n.wakeAt {
			n.wakeAt = a.At
			incarnation := n.incarnation
			n.w.events.add(max(a.At, n.w.now), func() {
				if n.up && n.incarnation == incarnation && n.wakeAt == a.At && !n.stepScheduled {
					n.stepScheduled = true
					n.step()
				}
			})
		}
	}
}

// reportInvalid reports an action of the policy that is not allowed.
func (n *simNode) reportInvalid(format string, args ...any) {
	n.w.emit(Event{Kind: InvalidAction, Node: n.number, Text: fmt.Sprintf(format, args...)})
}

// send starts an attempt. If no slot is free, or MaxAttempts are used up, the attempt ends at once as not sent.
func (n *simNode) send(a choice.Send) {
	w := n.w
	m, e := n.messages[a.ID], w.endpoints[a.Endpoint]
	if m == nil || m.finished || e == nil {
		n.reportInvalid("send of message %q to endpoint %q: unknown message or endpoint, or the message has its final answer", a.ID, a.Endpoint)
		return
	}
	w.callCount++
	c := &call{
		node: n, incarnation: n.incarnation, number: w.callCount, msg: m, id: m.id, class: m.class, attempt: len(m.attempts), endpoint: e, abandonAt: a.AbandonAt,
	}
	if a.AbandonAt <= 0 || a.AbandonAt > m.deadline {
		c.abandonAt = m.deadline
	}
	m.attempts = append(m.attempts, attemptRecord{sentAt: w.now, zone: e.zone})
	w.emit(c.event(Sent))
	slots, maxAttempts := w.Day.Settings.Slots, w.Day.Settings.MaxAttempts
	switch {
	case slots > 0 && len(n.inProgress) >= slots, maxAttempts > 0 && c.attempt >= maxAttempts:
		c.done = true
		m.attempts[c.attempt].notRun = true
		n.postEvent(choice.AttemptEnded{ID: m.id, Attempt: c.attempt, Endpoint: e.id, Outcome: choice.NotSent, NoSlot: c.attempt < maxAttempts})
		return
	}
	n.inProgress[attemptKey{m.id, c.attempt}] = c
	if n.sendForbidden(e) {
		c.end(choice.NotSent, 0)
		return
	}
	c.start()
}

// sendForbidden is the network code's last check before the first byte is written: a list change or a Retry-After that
// arrived since the policy's decision forbids the call.
func (n *simNode) sendForbidden(e *endpoint) bool {
	return n.phases[e.id] != choice.Ready || n.w.now < *n.retryAtFor(e)
}

// retryAtFor returns the end of the last Retry-After that applies to an endpoint, for reading and writing.
func (n *simNode) retryAtFor(e *endpoint) *time.Duration {
	var at any = e.dest.id
	if e.dest.sharedLimit == nil {
		at = e.id
	}
	if n.retryAt[at] == nil {
		n.retryAt[at] = new(time.Duration)
	}
	return n.retryAt[at]
}

// takeIdleConn takes an idle connection that the endpoint has not closed yet. It returns false if there is none.
func (n *simNode) takeIdleConn(e *endpoint) bool {
	idle := n.idleConns[e.id]
	for len(idle) > 0 {
		since := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		n.idleConns[e.id] = idle
		if n.w.now-since < n.w.Day.Settings.IdleConnTimeout-idleConnMargin && !e.hasOutage(Crash) {
			return true
		}
		e.conns--
	}
	return false
}

// putIdleConn returns a connection to the idle ones.
func (n *simNode) putIdleConn(e *endpoint) { n.idleConns[e.id] = append(n.idleConns[e.id], n.w.now) }

// sendDatagram sends a datagram to another node. It may be lost.
func (n *simNode) sendDatagram(a choice.SendDatagram) {
	w := n.w
	if a.To < 0 || a.To >= len(w.simNodes) || len(a.Payload) > 256 {
		n.reportInvalid("datagram of %d bytes to node %d: unknown node, or more than 256 bytes", len(a.Payload), a.To)
		return
	}
	to, net := w.simNodes[a.To], w.Day.Net
	delay := net.DatagramDelayMin + time.Duration(w.rng.net.Float64()*float64(net.DatagramDelayMax-net.DatagramDelayMin))
	if lost := w.rng.net.Float64() < net.DatagramLoss; lost || w.partitioned(n.zone, to.zone) {
		return
	}
	w.after(delay, func() {
		if !to.up || w.datagramsBlocked(to.number) {
			return
		}
		w.emit(Event{Kind: DatagramDelivered, Node: to.number, Attempt: len(a.Payload)})
		to.postEvent(choice.DatagramReceived{From: n.number, Payload: a.Payload})
	})
}

// updateList applies a change of the list that has reached the node.
func (n *simNode) updateList(e *endpoint, phase choice.Phase) {
	if _, known := n.phases[e.id]; !known {
		n.listOrder = append(n.listOrder, e.id)
	}
	n.phases[e.id] = phase // the discovery agent stores it even while the node's process is down
	if phase != choice.Ready {
		n.w.emit(Event{Kind: WithdrawalReceived, Node: n.number, Endpoint: e.id})
	}
	n.postEvent(choice.ListUpdate{Entries: []choice.Entry{n.listEntry(e, phase)}})
}

func (n *simNode) listEntry(e *endpoint, phase choice.Phase) choice.Entry {
	return choice.Entry{
		Endpoint: e.id, Zone: e.zone, Kind: e.dest.spec.Kind, Dest: e.dest.id, Phase: phase, Weight: e.dest.spec.Weight,
	}
}

// finish gives a message its final answer and forgets it.
func (n *simNode) finish(m *message, o choice.Outcome, wait time.Duration) {
	if m.finished {
		return
	}
	m.finished = true
	n.openMessages--
	delete(n.messages, m.id)
	n.answer(m, o, wait)
}

// answer reports the final answer of a message to its client, which may retry after a refusal.
func (n *simNode) answer(m *message, o choice.Outcome, wait time.Duration) {
	n.w.emit(Event{
		Kind: Answered, Node: n.number, Msg: m.id, FirstID: m.firstID, Class: m.class, Tenant: m.tenant, Dest: m.dest, Outcome: o, RetryAfter: wait, Deadline: m.deadline,
	})
	if o == choice.Rejected {
		n.w.clients.handleRefusal(m, n.number, wait)
	}
}
