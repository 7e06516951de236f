package model

import (
	"time"

	"harrierramp/choice"
)

// call is one attempt on its way.
type call struct {
	node        *simNode
	incarnation int // of the node, when it was made
	number      int // of all calls of the day
	msg         *message
	id          string
	class       int
	attempt     int
	endpoint    *endpoint
	startedAt   time.Duration
	abandonAt   time.Duration
	written     bool          // its last byte is out,
	writtenAt   time.Duration // since then
	done        bool          // the node has its outcome
	reusedConn  bool
	executed    bool
	remote      *remoteCall // of a real process; nil for one that is played here
}

func (c *call) event(kind EventKind) Event {
	n := 0
	if c.node != nil {
		n = c.node.number
	} else {
		n = c.remote.node
	}
	return Event{
		Kind: kind, Node: n, Msg: c.id, FirstID: c.msg.firstID, Class: c.class, Dest: c.endpoint.dest.id, Endpoint: c.endpoint.id, Zone: c.endpoint.zone, Attempt: c.attempt,
	}
}

// start makes the call: over an idle connection, or a new one.
func (c *call) start() {
	w, e, h := c.node.w, c.endpoint, c.node
	c.startedAt = w.now
	w.events.add(max(c.abandonAt, w.now), c.expire)
	if c.reusedConn = h.takeIdleConn(e); c.reusedConn {
		c.write()
		return
	}
	oneWay := w.delay(h.zone, e.zone)
	switch {
	case w.partitioned(h.zone, e.zone) || e.hasOutage(Unresponsive):
		w.after(w.Day.Settings.DialTimeout, func() { c.end(choice.ConnectFailed, 0) })
		return
	case e.hasOutage(Crash) || (e.dest.spec.MaxConns > 0 && e.conns >= e.dest.spec.MaxConns):
		w.after(2*oneWay, func() { c.end(choice.ConnectFailed, 0) })
		return
	}
	e.conns++
	w.emit(c.event(ConnectionOpened))
	roundTrip := float64(2 * oneWay)
	w.after(time.Duration(roundTrip*w.Day.Net.HandshakeRoundTrips), func() {
		switch {
		case c.done:
			e.conns--
		case h.sendForbidden(e):
			h.putIdleConn(e)
			c.end(choice.NotSent, 0)
		default:
			c.write()
		}
	})
}

// write sends the request.
func (c *call) write() {
	w := c.node.w
	c.written, c.writtenAt = true, w.now
	if w.partitioned(c.node.zone, c.endpoint.zone) {
		return // it never arrives, and nobody says so
	}
	w.after(w.delay(c.node.zone, c.endpoint.zone), func() { c.endpoint.receive(c) })
}

// answer sends an answer back.
func (c *call) respond(o choice.Outcome, wait time.Duration) {
	if c.remote != nil {
		c.remote.respond(c, o, wait)
		return
	}
	w := c.node.w
	if w.partitioned(c.node.zone, c.endpoint.zone) {
		return
	}
	w.after(w.delay(c.endpoint.zone, c.node.zone), func() {
		if !c.done && c.incarnation == c.node.incarnation {
			c.node.putIdleConn(c.endpoint)
		}
		c.end(o, wait)
	})
}

// reset breaks the connection.
func (c *call) reset() {
	if c.remote != nil {
		c.remote.respond(c, choice.ConnReset, 0)
		return
	}
	w := c.node.w
	w.after(w.delay(c.endpoint.zone, c.node.zone), func() {
		if !c.done {
			c.endpoint.conns--
		}
		c.end(choice.ConnReset, 0)
	})
}

// expire is the end of the node's patience.
func (c *call) expire() { c.abort(choice.TimedOut) }

// cancel gives the call up.
func (c *call) cancel() { c.abort(choice.Cancelled) }

// giveUp closes the connection; a call whose last byte was not out has not run.
func (c *call) abort(o choice.Outcome) {
	switch {
	case c.done:
	case !c.written:
		c.end(choice.ConnectFailed, 0)
	default:
		c.endpoint.conns--
		c.end(o, 0)
	}
}

// end tells the node how the call ended, once, if that life of it still lasts.
func (c *call) end(o choice.Outcome, wait time.Duration) {
	if c.done {
		return
	}
	c.done = true
	h := c.node
	if c.incarnation != h.incarnation || !h.up {
		return
	}
	delete(h.inProgress, attemptKey{c.id, c.attempt})
	switch o {
	case choice.Rejected, choice.ConnectFailed, choice.NotSent:
		c.msg.attempts[c.attempt].notRun, c.msg.attempts[c.attempt].failed = true, true
	case choice.Success:
	default:
		c.msg.attempts[c.attempt].failed = true
	}
	e := c.event(AttemptEnded)
	e.Outcome, e.RetryAfter = o, wait
	h.w.emit(e)
	if wait > 0 {
		until := h.retryAtFor(c.endpoint)
		*until = max(*until, h.w.now+wait)
	}
	if o == choice.Success && !c.msg.finished {
		h.finish(c.msg, choice.Success, 0)
	}
	h.postEvent(choice.AttemptEnded{
		ID: c.id, Attempt: c.attempt, Endpoint: c.endpoint.id, Outcome: o, Took: h.w.now - c.startedAt, MessageDone: o == choice.Success, RetryAfter: wait, ReusedConn: c.reusedConn,
	})
}
