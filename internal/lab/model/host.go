package model

import (
	"fmt"
	"slices"
	"time"

	"harrierramp/choice"
)

// After SIGTERM a node goes on as ever for a while, then sends nothing new, and is gone when it is killed.
const (
	holdAfter  = 1200 * time.Millisecond
	leaveAfter = 2700 * time.Millisecond
	backAfter  = 4300 * time.Millisecond
	idleMargin = 400 * time.Millisecond
)

// host is a node: what the network code does round a policy.
type host struct {
	w      *World
	n      int
	zone   int
	up     bool
	life   int
	policy Policy
	inbox  []choice.Event
	due    bool          // a step is asked for
	wake   time.Duration // the policy's; 0 none
	msgs   map[string]*held
	order  []*held // the journal, in the order of acceptance
	open   int     // without their final answer
	out    map[key]*call
	memory *choice.Memory             // what the last life had learnt,
	learnt time.Duration              // until then
	idle   map[string][]time.Duration // since when connections stand idle, by endpoint
	waits  map[any]*time.Duration     // told waits: by destination, or by endpoint where routes are apart
	list   map[string]choice.Phase
	entry  []string // of list, in the order in which they came
}

type key struct {
	id string
	n  int
}

// held is a message at a node, and what its journal has of it.
type held struct {
	id, first string
	class     int
	tenant    int
	dest      int
	deadline  time.Duration
	sends     []sent
	over      bool
	fresh     bool // its client waits to hear whether it is taken on
}

type sent struct {
	at             time.Duration
	zone           int
	notRun, failed bool
}

func newHost(w *World, n int) *host {
	h := &host{w: w, n: n, zone: w.Day.Nodes[n].Zone, msgs: map[string]*held{}, list: map[string]choice.Phase{}, life: -1}
	for _, d := range w.dests {
		for _, e := range d.eps {
			h.list[e.id] = choice.Ready
			h.entry = append(h.entry, e.id)
		}
	}
	return h
}

// begin starts a life of the node, from its journal.
func (h *host) begin() {
	if h.up {
		return
	}
	w := h.w
	h.up, h.life, h.due, h.wake, h.inbox = true, h.life+1, false, 0, nil
	h.out, h.idle, h.waits = map[key]*call{}, map[string][]time.Duration{}, map[any]*time.Duration{}
	s := w.Day.Settings
	s.Number = h.n
	h.policy = w.make(w, s, w.rng.seeds.Uint64())
	w.tell(Event{What: Started, Node: h.n, Attempt: h.life})
	whole := choice.ListUpdate{Whole: true}
	for _, id := range h.entry {
		whole.Entries = append(whole.Entries, h.entryOf(w.eps[id], h.list[id]))
	}
	h.deliver(whole)
	if h.memory != nil {
		h.deliver(choice.MemoryRestored{Memory: *h.memory, Age: w.now - h.learnt})
	}
	if !w.Day.Journal {
		h.msgs, h.order, h.open = map[string]*held{}, nil, 0
	}
	for _, m := range h.order {
		if !m.over {
			h.deliver(h.resumed(m))
		}
	}
}

func (h *host) resumed(m *held) choice.MessageResumed {
	r := choice.MessageResumed{MessageArrived: h.arrived(m), Attempts: len(m.sends)}
	for _, s := range m.sends {
		r.Failed = r.Failed || s.failed
		if !s.notRun && !r.MayHaveRun {
			r.MayHaveRun, r.FirstRunSentAt, r.Zone = true, s.at, s.zone
		}
	}
	return r
}

func (h *host) arrived(m *held) choice.MessageArrived {
	return choice.MessageArrived{ID: m.id, Class: m.class, Tenant: m.tenant, Dest: m.dest, Deadline: m.deadline}
}

// die ends the process at once.
func (h *host) die() {
	if !h.up {
		return
	}
	h.up = false
	if p, ok := h.policy.(interface{ Remember() choice.Memory }); ok && h.w.Day.Memory {
		m := p.Remember()
		h.memory, h.learnt = &m, h.w.now
	}
	h.w.tell(Event{What: Died, Node: h.n})
	for _, c := range h.out {
		if !c.done {
			c.done = true
			c.ep.conns--
		}
	}
	for id, idle := range h.idle {
		h.w.eps[id].conns -= len(idle)
	}
	h.out = nil
	if h.order = slices.DeleteFunc(h.order, func(m *held) bool { return m.over }); !h.w.Day.Journal {
		for _, m := range h.order {
			h.w.front.again(m)
		}
	}
}

// leave ends it by SIGTERM.
func (h *host) leave() {
	life := h.life
	same := func(run func()) func() {
		return func() {
			if h.up && h.life == life {
				run()
			}
		}
	}
	h.w.after(holdAfter, same(func() { h.deliver(choice.ShuttingDown{}) }))
	h.w.after(leaveAfter, same(h.die))
	h.w.after(backAfter, h.begin)
}

// hand takes a client's message. It tells whether the node is there to hear it.
func (h *host) hand(m *held) bool {
	if !h.up {
		return false
	}
	if s := h.w.Day.Settings; s.MaxOpenMessages > 0 && h.open >= s.MaxOpenMessages {
		h.answer(m, choice.Rejected, 0)
		return true
	}
	m.fresh = true
	h.msgs[m.id] = m
	h.order = append(h.order, m)
	if h.open++; len(h.order) > 64 && len(h.order) > 4*h.open {
		h.order = slices.DeleteFunc(h.order, func(m *held) bool { return m.over })
	}
	h.deliver(h.arrived(m))
	return true
}

// deliver hands the policy an event, in the step of this moment.
func (h *host) deliver(e choice.Event) {
	if !h.up {
		return
	}
	h.inbox = append(h.inbox, e)
	if !h.due {
		h.due = true
		life := h.life
		h.w.after(0, func() {
			if h.up && h.life == life {
				h.step()
			}
		})
	}
}

func (h *host) step() {
	defer func() {
		if p := recover(); p != nil {
			h.w.fail = fmt.Errorf("node %d: panic: %v", h.n, p)
		}
	}()
	h.due = false
	events := h.inbox
	h.inbox = nil
	if h.wake > 0 && h.w.now >= h.wake {
		h.wake = 0
		events = append(events, choice.WakeDue{Tag: "sweep"})
	}
	actions := h.policy.Step(h.w.now, events)
	for _, a := range actions {
		h.act(a)
	}
	for _, e := range events {
		if a, ok := e.(choice.MessageArrived); ok {
			if m := h.msgs[a.ID]; m != nil && m.fresh {
				m.fresh = false
				h.w.tell(Event{What: TakenOn, Node: h.n, Msg: m.id, First: m.first, Class: m.class, Dest: m.dest, Deadline: m.deadline})
			}
		}
	}
}

func (h *host) act(a choice.Action) {
	switch a := a.(type) {
	case choice.Send:
		h.send(a)
	case choice.Refuse:
		if m := h.msgs[a.ID]; m != nil {
			h.finish(m, choice.Rejected, a.RetryAfter)
		} else {
			h.strange("a refusal of %q, which it does not hold", a.ID)
		}
	case choice.Fail:
		if m := h.msgs[a.ID]; m != nil {
			h.finish(m, choice.ServerError, 0)
		} else {
			h.strange("a failure of %q, which it does not hold", a.ID)
		}
	case choice.Cancel:
		if c := h.out[key{a.ID, a.Attempt}]; c != nil {
			c.cancel()
		}
	case choice.CloseIdle:
		h.w.eps[a.Endpoint].conns -= len(h.idle[a.Endpoint])
		delete(h.idle, a.Endpoint)
	case choice.SendDatagram:
		h.datagram(a)
	case choice.Wake:
		if h.wake == 0 || a.At < h.wake {
			h.wake = a.At
			life := h.life
			h.w.q.add(max(a.At, h.w.now), func() {
				if h.up && h.life == life && h.wake == a.At && !h.due {
					h.due = true
					h.step()
				}
			})
		}
	}
}

func (h *host) strange(format string, args ...any) {
	h.w.tell(Event{What: Strange, Node: h.n, Text: fmt.Sprintf(format, args...)})
}

func (h *host) send(a choice.Send) {
	w := h.w
	m, e := h.msgs[a.ID], w.eps[a.Endpoint]
	if m == nil || m.over || e == nil {
		h.strange("a send of %q to %q, which it does not hold or know", a.ID, a.Endpoint)
		return
	}
	w.calls++
	c := &call{
		h: h, life: h.life, number: w.calls, msg: m, id: m.id, class: m.class, attempt: len(m.sends), ep: e, notPast: a.AbandonAt,
	}
	if a.AbandonAt <= 0 || a.AbandonAt > m.deadline {
		c.notPast = m.deadline
	}
	m.sends = append(m.sends, sent{at: w.now, zone: e.zone})
	w.tell(c.event(Sent))
	slots, most := w.Day.Settings.Slots, w.Day.Settings.MaxAttempts
	switch {
	case slots > 0 && len(h.out) >= slots, most > 0 && c.attempt >= most:
		c.done = true
		m.sends[c.attempt].notRun = true
		h.deliver(choice.AttemptEnded{ID: m.id, Attempt: c.attempt, Endpoint: e.id, Outcome: choice.NotSent, NoSlot: c.attempt < most})
		return
	}
	h.out[key{m.id, c.attempt}] = c
	if h.closedTo(e) {
		c.end(choice.NotSent, 0)
		return
	}
	c.start()
}

// closedTo is the network code's last look: a list or a told wait that came in between forbids the first byte.
func (h *host) closedTo(e *endpoint) bool {
	return h.list[e.id] != choice.Ready || h.w.now < *h.waitOf(e)
}

func (h *host) waitOf(e *endpoint) *time.Duration {
	var at any = e.dest.id
	if e.dest.all == nil {
		at = e.id
	}
	if h.waits[at] == nil {
		h.waits[at] = new(time.Duration)
	}
	return h.waits[at]
}

// takeIdle takes an idle connection that the endpoint has not closed by now.
func (h *host) takeIdle(e *endpoint) bool {
	idle := h.idle[e.id]
	for len(idle) > 0 {
		since := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		h.idle[e.id] = idle
		if h.w.now-since < h.w.Day.Settings.IdleConnTimeout-idleMargin && !e.is(Crash) {
			return true
		}
		e.conns--
	}
	return false
}

func (h *host) giveIdle(e *endpoint) { h.idle[e.id] = append(h.idle[e.id], h.w.now) }

func (h *host) datagram(a choice.SendDatagram) {
	w := h.w
	if a.To < 0 || a.To >= len(w.hosts) || len(a.Payload) > 256 {
		h.strange("a note of %d bytes to node %d", len(a.Payload), a.To)
		return
	}
	to, net := w.hosts[a.To], w.Day.Net
	late := net.DatagramFrom + time.Duration(w.rng.net.Float64()*float64(net.DatagramTo-net.DatagramFrom))
	if lost := w.rng.net.Float64() < net.DatagramLoss; lost || w.cut(h.zone, to.zone) {
		return
	}
	w.after(late, func() {
		if !to.up || w.deaf(to.n) {
			return
		}
		w.tell(Event{What: Datagram, Node: to.n, Attempt: len(a.Payload)})
		to.deliver(choice.DatagramReceived{From: h.n, Payload: a.Payload})
	})
}

// listed is a change of the list that has come.
func (h *host) listed(e *endpoint, phase choice.Phase) {
	if _, known := h.list[e.id]; !known {
		h.entry = append(h.entry, e.id)
	}
	h.list[e.id] = phase // the agent has it, whether or not the process runs
	if phase != choice.Ready {
		h.w.tell(Event{What: ToldList, Node: h.n, Endpoint: e.id})
	}
	h.deliver(choice.ListUpdate{Entries: []choice.Entry{h.entryOf(e, phase)}})
}

func (h *host) entryOf(e *endpoint, phase choice.Phase) choice.Entry {
	return choice.Entry{
		Endpoint: e.id, Zone: e.zone, Kind: e.dest.spec.Kind, Dest: e.dest.id, Phase: phase, Weight: e.dest.spec.Weight,
	}
}

// finish gives a message its final answer.
func (h *host) finish(m *held, o choice.Outcome, wait time.Duration) {
	if m.over {
		return
	}
	m.over = true
	h.open--
	delete(h.msgs, m.id)
	h.answer(m, o, wait)
}

// answer tells the client. A message that is delivered has its answer by the endpoint.
func (h *host) answer(m *held, o choice.Outcome, wait time.Duration) {
	h.w.tell(Event{
		What: Answered, Node: h.n, Msg: m.id, First: m.first, Class: m.class, Tenant: m.tenant, Dest: m.dest, Outcome: o, Wait: wait, Deadline: m.deadline,
	})
	if o == choice.Rejected {
		h.w.front.refused(m, h.n, wait)
	}
}
