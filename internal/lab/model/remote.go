package model

import (
	"context"
	"time"

	"harrierramp/choice"
)

// Remote is a node that is a real process, as the driver of real sockets sees it. Its methods are called by the world's
// goroutine and must not wait.
type Remote interface {
	Begin()          // start the process
	Die()            // kill it
	Leave()          // SIGTERM
	Hand(m Handed)   // hand a message in; the answer comes by World.Told
	Listed(m Listed) // tell of a change of the list
}

// Handed is a message on its way to a real node.
type Handed struct {
	ID          string
	Class, Dest int
	Tenant      int
	Left        time.Duration // until its deadline
}

// Listed is an entry of the list.
type Listed struct {
	Endpoint         string
	Zone, Kind, Dest int
	Phase            choice.Phase
	Weight           float64
}

// Sockets is the side of the endpoints: it hears when they go down and come back. It must not wait.
type Sockets interface {
	Struck(endpoint, kind string, down bool)
	Opened(endpoint string) // a new one
}

// Told is a node's answer to a hand-in, or a notice of its.
type Told int

// What nodes say.
const (
	Taken Told = iota
	Busy
	Failed
	Nothing // no answer: the node is dead, or too slow
)

// remote is a node that is a real process.
type remote struct {
	w    *World
	n    int
	r    Remote
	msgs map[string]*remoteMsg
	life int
}

type remoteMsg struct {
	*held
	taken, delivered, ended bool
}

// remoteCall is a call that a real process makes.
type remoteCall struct {
	node  int
	reply func(o choice.Outcome, wait time.Duration)
}

// NewRemote makes a run of a day in real time whose nodes are real processes.
func NewRemote(day Day, nodes []Remote, sockets Sockets, obs Observer) *World {
	w := New(day, nil, obs)
	w.hosts, w.sockets, w.inject = nil, sockets, make(chan func(), 1024)
	w.nodes = nil
	for i, r := range nodes {
		w.nodes = append(w.nodes, &remote{w: w, n: i, r: r, msgs: map[string]*remoteMsg{}})
	}
	return w
}

func (w *World) struck(e *endpoint, kind string, down bool) {
	if w.sockets != nil {
		w.sockets.Struck(e.id, kind, down)
	}
}

// Do runs a function on the world's goroutine. It waits while much is to be done, and not at all once ctx ends.
func (w *World) Do(ctx context.Context, run func()) {
	select {
	case w.inject <- run:
	case <-ctx.Done():
	}
}

// RunReal plays the day on the wall clock until the last message has its end or ctx ends. settled tells that nothing
// more is awaited once all arrivals are over.
func (w *World) RunReal(ctx context.Context) error {
	began := time.Now()
	for _, n := range w.nodes {
		n.begin()
	}
	for _, t := range w.Day.Troubles {
		w.q.add(start+t.At, func() { w.trouble(t) })
	}
	w.front.next()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for last := start + w.Day.Length + tail; ; {
		w.now = max(w.now, start+time.Since(began))
		if w.now > start+w.Day.Length && w.settled() || w.now > last {
			return nil
		}
		wait := 20 * time.Millisecond
		if len(w.q.heap) > 0 {
			wait = min(wait, max(w.q.heap[0].at-w.now, 0))
		}
		if wait == 0 {
			w.Steps++
			w.q.next().run()
			continue
		}
		timer.Reset(wait)
		select {
		case run := <-w.inject:
			w.now = max(w.now, start+time.Since(began))
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
		for _, m := range n.(*remote).msgs {
			if m.taken && !m.ended {
				return false
			}
		}
	}
	return true
}

// List is the list as it is, for a process that starts.
func (w *World) List() (out []Listed) {
	for _, d := range w.dests {
		for _, e := range d.eps {
			out = append(out, e.entry(e.phase))
		}
	}
	return out
}

func (e *endpoint) entry(phase choice.Phase) Listed {
	return Listed{e.id, e.zone, e.dest.spec.Kind, e.dest.id, phase, e.dest.spec.Weight}
}

// Call is a call of a real node that has come to an endpoint, its last byte included. reply is called once, on the
// world's goroutine, unless the endpoint never answers. It runs on the world's goroutine.
func (w *World) Call(node int, endpoint, id string, reply func(o choice.Outcome, wait time.Duration)) {
	e, n := w.eps[endpoint], w.nodes[node].(*remote)
	m := n.msgs[id]
	if e == nil || m == nil {
		w.tell(Event{What: Strange, Node: node, Msg: id, Text: "a call for a message that nobody handed in there"})
		reply(choice.ServerError, 0)
		return
	}
	c := &call{
		msg: m.held, id: id, class: m.class, attempt: len(m.sends), ep: e, began: w.now, written: true, wrote: w.now,
		remote: &remoteCall{node, reply},
	}
	m.sends = append(m.sends, sent{at: w.now, zone: e.zone})
	w.tell(c.event(Sent))
	w.after(w.delay(w.Day.Nodes[node].Zone, e.zone), func() { e.begin(c) })
}

// answer is the endpoint's answer, which the node has after its way.
func (r *remoteCall) answer(c *call, o choice.Outcome, wait time.Duration) {
	w := c.ep.dest.w
	w.after(w.delay(c.ep.zone, w.Day.Nodes[r.node].Zone), func() {
		if c.done {
			return
		}
		c.done = true
		e := c.event(Ended)
		e.Outcome, e.Wait = o, wait
		w.tell(e)
		if m := w.nodes[r.node].(*remote).msgs[c.id]; o == choice.Success && m != nil {
			m.delivered = true
			w.end(m, r.node, choice.Success, 0)
		}
		r.reply(o, wait)
	})
}

// Gone says that a real node has given up a call that is out: its connection has ended.
func (w *World) Gone(node int, id string) {
	m := w.nodes[node].(*remote).msgs[id]
	if m == nil {
		return
	}
	w.tell(Event{What: Ended, Node: node, Msg: id, First: m.first, Class: m.class, Dest: m.dest, Attempt: len(m.sends) - 1, Outcome: choice.Cancelled})
}

// Answer is what a node says to a hand-in. It runs on the world's goroutine.
func (w *World) Answer(node int, id string, t Told, wait time.Duration) {
	m := w.nodes[node].(*remote).msgs[id]
	if m == nil {
		return
	}
	switch t {
	case Taken:
		m.taken = true
		w.tell(Event{What: TakenOn, Node: node, Msg: id, First: m.first, Class: m.class, Dest: m.dest, Deadline: m.deadline})
		if m.delivered {
			w.end(m, node, choice.Success, 0)
		}
	case Nothing:
		w.tell(Event{What: Unheard, Node: node, Msg: id, First: m.first, Class: m.class, Dest: m.dest})
		w.front.again(m.held)
	case Busy:
		m.taken = true // it has its end with that
		w.end(m, node, choice.Rejected, wait)
	case Failed:
		m.taken = true
		w.end(m, node, choice.ServerError, 0)
	}
}

// Notice is a notice of a node's. One for a message that is over does no harm.
func (w *World) Notice(node int, id string, t Told, wait time.Duration) {
	m := w.nodes[node].(*remote).msgs[id]
	if m == nil || m.ended {
		return
	}
	o := choice.Rejected
	if t == Failed {
		o = choice.ServerError
	}
	w.end(m, node, o, wait)
}

// end is a message's final answer, once its client has heard that it is taken on.
func (w *World) end(m *remoteMsg, node int, o choice.Outcome, wait time.Duration) {
	if m.ended || !m.taken {
		return
	}
	m.ended = true
	w.tell(Event{
		What: Answered, Node: node, Msg: m.id, First: m.first, Class: m.class, Tenant: m.tenant, Dest: m.dest, Outcome: o, Wait: wait, Deadline: m.deadline,
	})
	if o == choice.Rejected {
		w.front.refused(m.held, node, wait)
	}
}

func (r *remote) begin() {
	r.w.tell(Event{What: Started, Node: r.n, Attempt: r.life})
	r.life++
	r.r.Begin()
}

func (r *remote) die() {
	r.w.tell(Event{What: Died, Node: r.n})
	r.r.Die()
}

func (r *remote) leave() {
	r.r.Leave()
	r.w.after(backAfter-600*time.Millisecond, r.die)
	r.w.after(backAfter, r.begin)
}

func (r *remote) hand(m *held) bool {
	r.msgs[m.id] = &remoteMsg{held: m}
	r.r.Hand(Handed{m.id, m.class, m.dest, m.tenant, m.deadline - r.w.now})
	return true
}

func (r *remote) listed(e *endpoint, phase choice.Phase) {
	if phase != choice.Ready {
		r.w.tell(Event{What: ToldList, Node: r.n, Endpoint: e.id})
	} else if r.w.sockets != nil {
		r.w.sockets.Opened(e.id)
	}
	r.r.Listed(e.entry(phase))
}
