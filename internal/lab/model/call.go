package model

import (
	"time"

	"harrierramp/choice"
)

// call is one attempt on its way.
type call struct {
	h       *host
	life    int // of the node, when it was made
	number  int // of all calls of the day
	msg     *held
	id      string
	class   int
	attempt int
	ep      *endpoint
	began   time.Duration
	notPast time.Duration
	written bool          // its last byte is out,
	wrote   time.Duration // since then
	done    bool          // the node has its outcome
	reused  bool
	ran     bool
	remote  *remoteCall // of a real process; nil for one that is played here
}

func (c *call) event(what What) Event {
	n := 0
	if c.h != nil {
		n = c.h.n
	} else {
		n = c.remote.node
	}
	return Event{
		What: what, Node: n, Msg: c.id, First: c.msg.first, Class: c.class, Dest: c.ep.dest.id, Endpoint: c.ep.id, Zone: c.ep.zone, Attempt: c.attempt,
	}
}

// start makes the call: over an idle connection, or a new one.
func (c *call) start() {
	w, e, h := c.h.w, c.ep, c.h
	c.began = w.now
	w.q.add(max(c.notPast, w.now), c.expire)
	if c.reused = h.takeIdle(e); c.reused {
		c.write()
		return
	}
	there := w.delay(h.zone, e.zone)
	switch {
	case w.cut(h.zone, e.zone) || e.is(Vanish):
		w.after(w.Day.Settings.DialTimeout, func() { c.end(choice.ConnectFailed, 0) })
		return
	case e.is(Crash) || (e.dest.spec.Conns > 0 && e.conns >= e.dest.spec.Conns):
		w.after(2*there, func() { c.end(choice.ConnectFailed, 0) })
		return
	}
	e.conns++
	w.tell(c.event(Handshake))
	round := float64(2 * there)
	w.after(time.Duration(round*w.Day.Net.Handshake), func() {
		switch {
		case c.done:
			e.conns--
		case h.closedTo(e):
			h.giveIdle(e)
			c.end(choice.NotSent, 0)
		default:
			c.write()
		}
	})
}

// write sends the request.
func (c *call) write() {
	w := c.h.w
	c.written, c.wrote = true, w.now
	if w.cut(c.h.zone, c.ep.zone) {
		return // it never arrives, and nobody says so
	}
	w.after(w.delay(c.h.zone, c.ep.zone), func() { c.ep.begin(c) })
}

// answer sends an answer back.
func (c *call) answer(o choice.Outcome, wait time.Duration) {
	if c.remote != nil {
		c.remote.answer(c, o, wait)
		return
	}
	w := c.h.w
	if w.cut(c.h.zone, c.ep.zone) {
		return
	}
	w.after(w.delay(c.ep.zone, c.h.zone), func() {
		if !c.done && c.life == c.h.life {
			c.h.giveIdle(c.ep)
		}
		c.end(o, wait)
	})
}

// reset breaks the connection.
func (c *call) reset() {
	if c.remote != nil {
		c.remote.answer(c, choice.ConnReset, 0)
		return
	}
	w := c.h.w
	w.after(w.delay(c.ep.zone, c.h.zone), func() {
		if !c.done {
			c.ep.conns--
		}
		c.end(choice.ConnReset, 0)
	})
}

// expire is the end of the node's patience.
func (c *call) expire() { c.giveUp(choice.TimedOut) }

// cancel gives the call up.
func (c *call) cancel() { c.giveUp(choice.Cancelled) }

// giveUp closes the connection; a call whose last byte was not out has not run.
func (c *call) giveUp(o choice.Outcome) {
	switch {
	case c.done:
	case !c.written:
		c.end(choice.ConnectFailed, 0)
	default:
		c.ep.conns--
		c.end(o, 0)
	}
}

// end tells the node how the call ended, once, if that life of it still lasts.
func (c *call) end(o choice.Outcome, wait time.Duration) {
	if c.done {
		return
	}
	c.done = true
	h := c.h
	if c.life != h.life || !h.up {
		return
	}
	delete(h.out, key{c.id, c.attempt})
	switch o {
	case choice.Rejected, choice.ConnectFailed, choice.NotSent:
		c.msg.sends[c.attempt].notRun, c.msg.sends[c.attempt].failed = true, true
	case choice.Success:
	default:
		c.msg.sends[c.attempt].failed = true
	}
	e := c.event(Ended)
	e.Outcome, e.Wait = o, wait
	h.w.tell(e)
	if wait > 0 {
		until := h.waitOf(c.ep)
		*until = max(*until, h.w.now+wait)
	}
	if o == choice.Success && !c.msg.over {
		h.finish(c.msg, choice.Success, 0)
	}
	h.deliver(choice.AttemptEnded{
		ID: c.id, Attempt: c.attempt, Endpoint: c.ep.id, Outcome: o, Took: h.w.now - c.began, MessageDone: o == choice.Success, RetryAfter: wait, ReusedConn: c.reused,
	})
}
