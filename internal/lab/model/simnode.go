package model

import (
	"fmt"
	"slices"
	"time"

	"harrierramp/choice"
)

// After SIGTERM a node goes on as ever for a while, then sends nothing new, and is gone when it is killed.
const (
	shutdownDelay  = 1200 * time.Millisecond
	exitDelay      = 2700 * time.Millisecond
	restartDelay   = 4300 * time.Millisecond
	idleConnMargin = 400 * time.Millisecond
)

// host is a node: what the network code does round a policy.
type simNode struct {
	w             *World
	number        int
	zone          int
	up            bool
	incarnation   int
	policy        Policy
	inbox         []choice.Event
	stepScheduled bool          // a step is asked for
	wakeAt        time.Duration // the policy's; 0 none
	messages      map[string]*message
	journal       []*message // the journal, in the order of acceptance
	openMessages  int        // without their final answer
	inProgress    map[attemptKey]*call
	memory        *choice.Memory             // what the last life had learnt,
	memoryAt      time.Duration              // until then
	idleConns     map[string][]time.Duration // since when connections stand idle, by endpoint
	retryAt       map[any]*time.Duration     // told waits: by destination, or by endpoint where routes are apart
	phases        map[string]choice.Phase
	listOrder     []string // of list, in the order in which they came
}

type attemptKey struct {
	id      string
	attempt int
}

// held is a message at a node, and what its journal has of it.
type message struct {
	id, firstID    string
	class          int
	tenant         int
	dest           int
	deadline       time.Duration
	attempts       []attemptRecord
	finished       bool
	awaitingAccept bool // its client waits to hear whether it is taken on
}

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

// begin starts a life of the node, from its journal.
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

func (h *simNode) arrivedEvent(m *message) choice.MessageArrived {
	return choice.MessageArrived{ID: m.id, Class: m.class, Tenant: m.tenant, Dest: m.dest, Deadline: m.deadline}
}

// die ends the process at once.
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

// leave ends it by SIGTERM.
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

// hand takes a client's message. It tells whether the node is there to hear it.
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

// deliver hands the policy an event, in the step of this moment.
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

func (h *simNode) perform(a choice.Action) {
	switch a := a.(type) {
	case choice.Send:
		h.send(a)
	case choice.Refuse:
		if m := h.messages[a.ID]; m != nil {
			h.finish(m, choice.Rejected, a.RetryAfter)
		} else {
			h.reportInvalid("a refusal of %q, which it does not hold", a.ID)
		}
	case choice.Fail:
		if m := h.messages[a.ID]; m != nil {
			h.finish(m, choice.ServerError, 0)
		} else {
			h.reportInvalid("a failure of %q, which it does not hold", a.ID)
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

func (h *simNode) reportInvalid(format string, args ...any) {
	h.w.emit(Event{Kind: InvalidAction, Node: h.number, Text: fmt.Sprintf(format, args...)})
}

func (h *simNode) send(a choice.Send) {
	w := h.w
	m, e := h.messages[a.ID], w.endpoints[a.Endpoint]
	if m == nil || m.finished || e == nil {
		h.reportInvalid("a send of %q to %q, which it does not hold or know", a.ID, a.Endpoint)
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

// closedTo is the network code's last look: a list or a told wait that came in between forbids the first byte.
func (h *simNode) sendForbidden(e *endpoint) bool {
	return h.phases[e.id] != choice.Ready || h.w.now < *h.retryAtFor(e)
}

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

// takeIdle takes an idle connection that the endpoint has not closed by now.
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

func (h *simNode) putIdleConn(e *endpoint) { h.idleConns[e.id] = append(h.idleConns[e.id], h.w.now) }

func (h *simNode) sendDatagram(a choice.SendDatagram) {
	w := h.w
	if a.To < 0 || a.To >= len(w.simNodes) || len(a.Payload) > 256 {
		h.reportInvalid("a note of %d bytes to node %d", len(a.Payload), a.To)
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

// listed is a change of the list that has come.
func (h *simNode) updateList(e *endpoint, phase choice.Phase) {
	if _, known := h.phases[e.id]; !known {
		h.listOrder = append(h.listOrder, e.id)
	}
	h.phases[e.id] = phase // the agent has it, whether or not the process runs
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

// finish gives a message its final answer.
func (h *simNode) finish(m *message, o choice.Outcome, wait time.Duration) {
	if m.finished {
		return
	}
	m.finished = true
	h.openMessages--
	delete(h.messages, m.id)
	h.answer(m, o, wait)
}

// answer tells the client. A message that is delivered has its answer by the endpoint.
func (h *simNode) answer(m *message, o choice.Outcome, wait time.Duration) {
	h.w.emit(Event{
		Kind: Answered, Node: h.number, Msg: m.id, FirstID: m.firstID, Class: m.class, Tenant: m.tenant, Dest: m.dest, Outcome: o, RetryAfter: wait, Deadline: m.deadline,
	})
	if o == choice.Rejected {
		h.w.clients.handleRefusal(m, h.number, wait)
	}
}
