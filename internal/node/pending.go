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
const unrecordedNoticeLead = 20 * time.Millisecond

// guarded is what the loop has decided and may not do before the journal's records of it stand in the file. While the
// journal can't be written, nothing of it is done late: a call is withdrawn at once, and a notice goes without its record
// when its message's time is up.
type pendingEffects struct {
	calls   []pendingCall
	answers []pendingAnswer
	notices []pendingNotice
}

// plannedCall is a call whose attempt has been journaled.
type pendingCall struct {
	attemptID
	message  *journal.Message
	call     egress.Call
	pool     *egress.Pool
	auditSeq int64
}

// clientAnswer is a final answer to a client whose message the journal has as taken on.
type pendingAnswer struct {
	to     submission
	answer ingress.Answer
}

// heldNotice is a notice whose message's final answer has been journaled.
type pendingNotice struct {
	notice outbox.Notice
	sendBy time.Time // it goes then, whether its record stands or not
}

// empty tells that nothing waits for the journal.
func (p *pendingEffects) empty() bool { return len(p.calls)+len(p.answers)+len(p.notices) == 0 }

// untilOverdue is the time until the first notice goes without its record.
func (p *pendingEffects) untilNoticeDue(now time.Time) time.Duration {
	wait := time.Hour
	for _, h := range p.notices {
		wait = min(wait, max(h.sendBy.Sub(now), 0))
	}
	return wait
}

// release does what is guarded, after the records of it have been written.
func (n *Node) performPending(ctx context.Context) {
	for _, c := range n.pending.calls {
		n.startCall(ctx, c)
	}
	for _, a := range n.pending.answers {
		a.to.answer(a.answer)
	}
	for _, h := range n.pending.notices {
		n.noticeQueue = append(n.noticeQueue, h.notice)
	}
	n.pending = pendingEffects{}
}

// withhold is release while the journal can't be written: calls end as not sent, and notices go whose time has come.
func (n *Node) withdrawPending() {
	for _, c := range n.pending.calls {
		n.journal.RecordNotExecuted(c.message, c.attempt)
		if n.audit != nil {
			n.audit.record.callEnded(c.auditSeq, egress.Result{Outcome: choice.NotSent})
		}
		n.withdrawnCalls = append(n.withdrawnCalls, choice.AttemptEnded{ID: c.messageID, Attempt: c.attempt, Endpoint: c.call.Endpoint.ID, Outcome: choice.NotSent})
		n.log.Debug("call_withdrawn", "msg_id", c.messageID, "attempt", c.attempt, "endpoint", c.call.Endpoint.ID)
	}
	n.pending.calls = nil
	now := time.Now()
	waiting := n.pending.notices[:0]
	for _, h := range n.pending.notices {
		if now.Before(h.sendBy) {
			waiting = append(waiting, h)
			continue
		}
		n.noticeQueue = append(n.noticeQueue, h.notice)
		n.log.Debug("notice_unrecorded", "msg_id", h.notice.ID, "state", h.notice.State)
	}
	n.pending.notices = waiting
}

// startCall makes a call on a goroutine of its own, whose outcome is an event of the loop.
func (n *Node) startCall(ctx context.Context, c pendingCall) {
	ctx, cancel := context.WithCancel(ctx)
	n.inFlight[c.attemptID] = inFlightCall{c.message, c.call.Endpoint, cancel, c.auditSeq}
	n.calls.Go(func() {
		defer cancel()
		began := time.Now()
		result := c.pool.Do(ctx, c.call)
		// Not by tell: the loop takes every call's end, also while the node leaves.
		n.events <- callResult{c.attemptID, c.call.Endpoint, result, time.Since(began)}
	})
}
