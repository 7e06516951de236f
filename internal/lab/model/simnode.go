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

func newSimNode(w *World, n int) *simNode {
	h := &simNode{w: w, number: n, zone: w.Day.Nodes[n].Zone, messages: map[string]*message{}, phases: map[string]choice.Phase{}, incarnation: -1}
	for _, d := range w.destinations {
		for _, e := range d.endpoints {
			h.phases[e.id] = choice.Ready
			h.listOrder = append(h.listOrder, e.id)
		}
	}
	return h
}

// start starts a new incarnation of the node, with the messages of its journal.
func (h *simNode) start() {
	if h.up {
		return
	}
	w := h.w
	h.up, h.incarnation, h.stepScheduled, h.wakeAt, h.inbox = true, h.incarnation+1, false, 0, nil
	h.inProgress, h.idleConns, h.retryAt = map[attemptKey]*call{}, map[string][]time.Duration{}, map[any]*time.Duration{}
	s := w.Day.Settings
	s.Number = h.number
	h.policy = w.newPolicy(w, s, w.rng.seeds.Uint64())
	w.emit(Event{Kind: NodeStarted, Node: h.number, Attempt: h.incarnation})
	whole := choice.ListUpdate{Whole: true}
	for _, id := range h.listOrder {
		whole.Entries = append(whole.Entries, h.listEntry(w.endpoints[id], h.phases[id]))
	}
	h.postEvent(whole)
	if h.memory != nil {
		h.postEvent(choice.MemoryRestored{Memory: *h.memory, Age: w.now - h.memoryAt})
	}
	if !w.Day.KeepJournal {
		h.messages, h.journal, h.openMessages = map[string]*message{}, nil, 0
	}
	for _, m := range h.journal {
		if !m.finished {
			h.postEvent(h.resumedEvent(m))
		}
	}
}

// resumedEvent returns the event that hands a message of the journal to the policy of a new incarnation.
func (h *simNode) resumedEvent(m *message) choice.MessageResumed {
	r := choice.MessageResumed{MessageArrived: h.arrivedEvent(m), Attempts: len(m.attempts)}
	for _, s := range m.attempts {
		r.Failed = r.Failed || s.failed
		if !s.notRun && !r.MayHaveRun {
			r.MayHaveRun, r.FirstRunSentAt, r.Zone = true, s.sentAt, s.zone
		}
	}
	return r
}

// arrivedEvent returns the event that hands a new message to the policy.
func (h *simNode) arrivedEvent(m *message) choice.MessageArrived {
	return choice.MessageArrived{ID: m.id, Class: m.class, Tenant: m.tenant, Dest: m.dest, Deadline: m.deadline}
}

// kill ends the process at once and drops its connections. If the journal is not kept, the clients resubmit.
func (h *simNode) kill() {
	if !h.up {
		return
	}
	h.up = false
	if p, ok := h.policy.(interface{ Remember() choice.Memory }); ok && h.w.Day.KeepMemory {
		m := p.Remember()
		h.memory, h.memoryAt = &m, h.w.now
	}
	h.w.emit(Event{Kind: NodeStopped, Node: h.number})
	for _, c := range h.inProgress {
		if !c.done {
			c.done = true
			c.endpoint.conns--
		}
	}
	for id, idle := range h.idleConns {
		h.w.endpoints[id].conns -= len(idle)
	}
	h.inProgress = nil
	if h.journal = slices.DeleteFunc(h.journal, func(m *message) bool { return m.finished }); !h.w.Day.KeepJournal {
		for _, m := range h.journal {
			h.w.clients.resubmitLater(m)
		}
	}
}

// terminate restarts the node by SIGTERM.
func (h *simNode) terminate() {
	incarnation := h.incarnation
	inThisIncarnation := func(run func()) func() {
		return func() {
			if h.up && h.incarnation == incarnation {
				run()
			}
		}
	}
	h.w.after(shutdownDelay, inThisIncarnation(func() { h.postEvent(choice.ShuttingDown{}) }))
	h.w.after(exitDelay, inThisIncarnation(h.kill))
	h.w.after(restartDelay, h.start)
}

// submit takes a client's message. It returns false if the node is down.
func (h *simNode) submit(m *message) bool {
	if !h.up {
		return false
	}
	if s := h.w.Day.Settings; s.MaxOpenMessages > 0 && h.openMessages >= s.MaxOpenMessages {
		h.answer(m, choice.Rejected, 0)
		return true
	}
	m.awaitingAccept = true
	h.messages[m.id] = m
	h.journal = append(h.journal, m)
	if h.openMessages++; len(h.journal) > 64 && len(h.journal) > 4*h.openMessages {
		h.journal = slices.DeleteFunc(h.journal, func(m *message) bool { return m.finished })
	}
	h.postEvent(h.arrivedEvent(m))
	return true
}

// postEvent queues an event for the policy's step at the present time, and schedules that step if necessary.
func (h *simNode) postEvent(e choice.Event) {
	if !h.up {
		return
	}
	h.inbox = append(h.inbox, e)
	if !h.stepScheduled {
		h.stepScheduled = true
		incarnation := h.incarnation
		h.w.after(0, func() {
			if h.up && h.incarnation == incarnation {
				h.step()
			}
		})
	}
}

// step runs one step of the policy and performs its actions. A panic of the policy ends the run with an error.
func (h *simNode) step() {
	defer func() {
		if p := recover(); p != nil {
			h.w.err = fmt.Errorf("node %d: panic: %v", h.number, p)
		}
	}()
	h.stepScheduled = false
	events := h.inbox
	h.inbox = nil
	if h.wakeAt > 0 && h.w.now >= h.wakeAt {
		h.wakeAt = 0
		events = append(events, choice.WakeDue{Tag: "sweep"})
	}
	actions := h.policy.Step(h.w.now, events)
	for _, a := range actions {
		h.perform(a)
	}
	for _, e := range events {
		if a, ok := e.(choice.MessageArrived); ok {
			if m := h.messages[a.ID]; m != nil && m.awaitingAccept {
				m.awaitingAccept = false
				h.w.emit(Event{Kind: Accepted, Node: h.number, Msg: m.id, FirstID: m.firstID, Class: m.class, Dest: m.dest, Deadline: m.deadline})
			}
		}
	}
}

// perform performs an action of the policy.
func (h *simNode) perform(a choice.Action) {
	switch a := a.(type) {
	case choice.Send:
		h.send(a)
	case choice.Refuse:
		if m := h.messages[a.ID]; m != nil {
			h.finish(m, choice.Rejected, a.RetryAfter)
		} else {
			h.reportInvalid("refusal of message %q, which the node does not hold", a.ID)
		}
	case choice.Fail:
		if m := h.messages[a.ID]; m != nil {
			h.finish(m, choice.ServerError, 0)
		} else {
			h.reportInvalid("failure of message %q, which the node does not hold", a.ID)
		}
	case choice.Cancel:
		if c := h.inProgress[attemptKey{a.ID, a.Attempt}]; c != nil {
			c.cancel()
		}
	case choice.CloseIdle:
		h.w.endpoints[a.Endpoint].conns -= len(h.idleConns[a.Endpoint])
		delete(h.idleConns, a.Endpoint)
	case choice.SendDatagram:
		h.sendDatagram(a)
	case choice.Wake:
		if h.wakeAt == 0 || a.At < h.wakeAt {
			h.wakeAt = a.At
			incarnation := h.incarnation
			h.w.events.add(max(a.At, h.w.now), func() {
				if h.up && h.incarnation == incarnation && h.wakeAt == a.At && !h.stepScheduled {
					h.stepScheduled = true
					h.step()
				}
			})
		}
	}
}

// reportInvalid reports an action of the policy that is not allowed.
func (h *simNode) reportInvalid(format string, args ...any) {
	h.w.emit(Event{Kind: InvalidAction, Node: h.number, Text: fmt.Sprintf(format, args...)})
}

// send starts an attempt. If no slot is free, or MaxAttempts are used up, the attempt ends at once as not sent.
func (h *simNode) send(a choice.Send) {
	w := h.w
	m, e := h.messages[a.ID], w.endpoints[a.Endpoint]
	if m == nil || m.finished || e == nil {
		h.reportInvalid("send of message %q to endpoint %q: unknown message or endpoint, or the message has its final answer", a.ID, a.Endpoint)
		return
	}
	w.callCount++
	c := &call{
		node: h, incarnation: h.incarnation, number: w.callCount, msg: m, id: m.id, class: m.class, attempt: len(m.attempts), endpoint: e, abandonAt: a.AbandonAt,
	}
	if a.AbandonAt <= 0 || a.AbandonAt > m.deadline {
		c.abandonAt = m.deadline
	}
	m.attempts = append(m.attempts, attemptRecord{sentAt: w.now, zone: e.zone})
	w.emit(c.event(Sent))
	slots, maxAttempts := w.Day.Settings.Slots, w.Day.Settings.MaxAttempts
	switch {
	case slots > 0 && len(h.inProgress) >= slots, maxAttempts > 0 && c.attempt >= maxAttempts:
		c.done = true
		m.attempts[c.attempt].notRun = true
		h.postEvent(choice.AttemptEnded{ID: m.id, Attempt: c.attempt, Endpoint: e.id, Outcome: choice.NotSent, NoSlot: c.attempt < maxAttempts})
		return
	}
	h.inProgress[attemptKey{m.id, c.attempt}] = c
	if h.sendForbidden(e) {
		c.end(choice.NotSent, 0)
		return
	}
	c.start()
}

// sendForbidden is the network code's last check before the first byte is written: a list change or a Retry-After that
// arrived since the policy's decision forbids the call.
func (h *simNode) sendForbidden(e *endpoint) bool {
	return h.phases[e.id] != choice.Ready || h.w.now < *h.retryAtFor(e)
}

// retryAtFor returns the end of the last Retry-After that applies to an endpoint, for reading and writing.
func (h *simNode) retryAtFor(e *endpoint) *time.Duration {
	var at any = e.dest.id
	if e.dest.sharedLimit == nil {
		at = e.id
	}
	if h.retryAt[at] == nil {
		h.retryAt[at] = new(time.Duration)
	}
	return h.retryAt[at]
}

// takeIdleConn takes an idle connection that the endpoint has not closed yet. It returns false if there is none.
func (h *simNode) takeIdleConn(e *endpoint) bool {
	idle := h.idleConns[e.id]
	for len(idle) > 0 {
		since := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		h.idleConns[e.id] = idle
		if h.w.now-since < h.w.Day.Settings.IdleConnTimeout-idleConnMargin && !e.hasOutage(Crash) {
			return true
		}
		e.conns--
	}
	return false
}

// putIdleConn returns a connection to the idle ones.
func (h *simNode) putIdleConn(e *endpoint) { h.idleConns[e.id] = append(h.idleConns[e.id], h.w.now) }

// sendDatagram sends a datagram to another node. It may be lost.
func (h *simNode) sendDatagram(a choice.SendDatagram) {
	w := h.w
	if a.To < 0 || a.To >= len(w.simNodes) || len(a.Payload) > 256 {
		h.reportInvalid("datagram of %d bytes to node %d: unknown node, or more than 256 bytes", len(a.Payload), a.To)
		return
	}
	to, net := w.simNodes[a.To], w.Day.Net
	delay := net.DatagramDelayMin + time.Duration(w.rng.net.Float64()*float64(net.DatagramDelayMax-net.DatagramDelayMin))
	if lost := w.rng.net.Float64() < net.DatagramLoss; lost || w.partitioned(h.zone, to.zone) {
		return
	}
	w.after(delay, func() {
		if !to.up || w.datagramsBlocked(to.number) {
			return
		}
		w.emit(Event{Kind: DatagramDelivered, Node: to.number, Attempt: len(a.Payload)})
		to.postEvent(choice.DatagramReceived{From: h.number, Payload: a.Payload})
	})
}

// updateList applies a change of the list that has reached the node.
func (h *simNode) updateList(e *endpoint, phase choice.Phase) {
	if _, known := h.phases[e.id]; !known {
		h.listOrder = append(h.listOrder, e.id)
	}
	h.phases[e.id] = phase // the discovery agent stores it even while the node's process is down
	if phase != choice.Ready {
		h.w.emit(Event{Kind: WithdrawalReceived, Node: h.number, Endpoint: e.id})
	}
	h.postEvent(choice.ListUpdate{Entries: []choice.Entry{h.listEntry(e, phase)}})
}

func (h *simNode) listEntry(e *endpoint, phase choice.Phase) choice.Entry {
	return choice.Entry{
		Endpoint: e.id, Zone: e.zone, Kind: e.dest.spec.Kind, Dest: e.dest.id, Phase: phase, Weight: e.dest.spec.Weight,
	}
}

// finish gives a message its final answer and forgets it.
func (h *simNode) finish(m *message, o choice.Outcome, wait time.Duration) {
	if m.finished {
		return
	}
	m.finished = true
	h.openMessages--
	delete(h.messages, m.id)
	h.answer(m, o, wait)
}

// answer reports the final answer of a message to its client, which may retry after a refusal.
func (h *simNode) answer(m *message, o choice.Outcome, wait time.Duration) {
	h.w.emit(Event{
		Kind: Answered, Node: h.number, Msg: m.id, FirstID: m.firstID, Class: m.class, Tenant: m.tenant, Dest: m.dest, Outcome: o, RetryAfter: wait, Deadline: m.deadline,
	})
	if o == choice.Rejected {
		h.w.clients.handleRefusal(m, h.number, wait)
	}
}
