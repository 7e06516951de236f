package node

import (
	"context"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/egress"
	"harrierramp/internal/ingress"
	"harrierramp/internal/journal"
	"harrierramp/internal/outbox"
)

// noticeLead is how long before a message's time its notice needs no record any more: a process that starts again takes
// longer, and ends the message by its time.
const noticeLead = 20 * time.Millisecond

// guarded is what the loop has decided and may not do before the journal's records of it stand in the file. While the
// journal can't be written, nothing of it is done late: a call is withdrawn at once, and a notice goes without its record
// when its message's time is up.
type guarded struct {
	calls   []plannedCall
	answers []clientAnswer
	notices []heldNotice
}

// plannedCall is a call whose attempt has been journaled.
type plannedCall struct {
	attempt
	message *journal.Message
	call    egress.Call
	pool    *egress.Pool
	act     int64
}

// clientAnswer is a final answer to a client whose message the journal has as taken on.
type clientAnswer struct {
	to     arrival
	answer ingress.Answer
}

// heldNotice is a notice whose message's final answer has been journaled.
type heldNotice struct {
	notice  outbox.Notice
	overdue time.Time // it goes then, whether its record stands or not
}

// empty tells that nothing waits for the journal.
func (g *guarded) empty() bool { return len(g.calls)+len(g.answers)+len(g.notices) == 0 }

// untilOverdue is the time until the first notice goes without its record.
func (g *guarded) untilOverdue(now time.Time) time.Duration {
	wait := time.Hour
	for _, h := range g.notices {
		wait = min(wait, max(h.overdue.Sub(now), 0))
	}
	return wait
}

// release does what is guarded, after the records of it have been written.
func (n *Node) release(ctx context.Context) {
	for _, c := range n.guarded.calls {
		n.startCall(ctx, c)
	}
	for _, a := range n.guarded.answers {
		a.to.answer(a.answer)
	}
	for _, h := range n.guarded.notices {
		n.owed = append(n.owed, h.notice)
	}
	n.guarded = guarded{}
}

// withhold is release while the journal can't be written: calls end as not sent, and notices go whose time has come.
func (n *Node) withhold() {
	for _, c := range n.guarded.calls {
		n.journal.NotRun(c.message, c.n)
		if n.audit != nil {
			n.audit.acts.ended(c.act, egress.Result{Outcome: choice.NotSent})
		}
		n.withdrawn = append(n.withdrawn, choice.AttemptEnded{ID: c.id, Attempt: c.n, Endpoint: c.call.Endpoint.ID, Outcome: choice.NotSent})
		n.log.Debug("call_withdrawn", "msg_id", c.id, "attempt", c.n, "endpoint", c.call.Endpoint.ID)
	}
	n.guarded.calls = nil
	now := time.Now()
	waiting := n.guarded.notices[:0]
	for _, h := range n.guarded.notices {
		if now.Before(h.overdue) {
			waiting = append(waiting, h)
			continue
		}
		n.owed = append(n.owed, h.notice)
		n.log.Debug("notice_unrecorded", "msg_id", h.notice.ID, "state", h.notice.State)
	}
	n.guarded.notices = waiting
}

// startCall makes a call on a goroutine of its own, whose outcome is an event of the loop.
func (n *Node) startCall(ctx context.Context, c plannedCall) {
	ctx, cancel := context.WithCancel(ctx)
	n.out[c.attempt] = outCall{c.message, c.call.Endpoint, cancel, c.act}
	n.calls.Go(func() {
		defer cancel()
		began := time.Now()
		result := c.pool.Do(ctx, c.call)
		// Not by tell: the loop takes every call's end, also while the node leaves.
		n.events <- called{c.attempt, c.call.Endpoint, result, time.Since(began)}
	})
}
