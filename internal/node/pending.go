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

// unrecordedNoticeLead is how long before a message's deadline its notice may be sent without a journal record.
// A restart takes longer than that, so a restarted process finds the deadline passed and ends the message for
// that reason.
const unrecordedNoticeLead = 20 * time.Millisecond

// pendingEffects are effects that the loop has decided on and that must wait until their journal records are
// written. While the journal cannot be written, no call is made late: calls are withdrawn at once, and a notice
// is sent without a record when its message's deadline has nearly come. Refusals wait for the journal.
type pendingEffects struct {
	calls   []pendingCall
	answers []pendingAnswer
	notices []pendingNotice
}

// pendingCall is a call whose attempt has been added to the journal.
type pendingCall struct {
	attemptID
	message  *journal.Message
	call     egress.Call
	pool     *egress.Pool
	auditSeq int64
}

// pendingAnswer is a final answer to a client whose message the journal holds as accepted.
type pendingAnswer struct {
	to     submission
	answer ingress.Answer
}

// pendingNotice is a notice whose message's final answer has been added to the journal.
type pendingNotice struct {
	notice outbox.Notice
	sendBy time.Time // then it is sent even if its record is not written
}

// empty reports whether no effect waits for the journal.
func (p *pendingEffects) empty() bool { return len(p.calls)+len(p.answers)+len(p.notices) == 0 }

// untilNoticeDue returns the time until the first notice is sent without its record.
func (p *pendingEffects) untilNoticeDue(now time.Time) time.Duration {
	wait := time.Hour
	for _, h := range p.notices {
		wait = min(wait, max(h.sendBy.Sub(now), 0))
	}
	return wait
}

// performPending performs all pending effects. Their journal records have been written.
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

// withdrawPending takes the place of performPending while the journal cannot be written: calls end as not sent,
// and notices that are due are sent without a record.
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

// startCall makes a call on its own goroutine. The outcome is an event of the loop.
func (n *Node) startCall(ctx context.Context, c pendingCall) {
	ctx, cancel := context.WithCancel(ctx)
	n.inFlight[c.attemptID] = inFlightCall{c.message, c.call.Endpoint, cancel, c.auditSeq}
	n.calls.Go(func() {
		defer cancel()
		began := time.Now()
		result := c.pool.Do(ctx, c.call)
		// enqueue is not used, because it drops the event when its context ends: the loop must receive the
		// outcome of every call, also during shutdown.
		n.events <- callResult{c.attemptID, c.call.Endpoint, result, time.Since(began)}
	})
}
