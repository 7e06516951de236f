package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/dedup"
	"harrierramp/internal/egress"
	"harrierramp/internal/ingress"
	"harrierramp/internal/journal"
	"harrierramp/internal/metrics"
	"harrierramp/internal/outbox"
)

// resumedEvent returns the sender's event for a message that was accepted before this start, with its history.
// An attempt counts as possibly executed unless the journal proves that it was not.
func (n *Node) resumedEvent(p *journal.Message) choice.MessageResumed {
	r := choice.MessageResumed{MessageArrived: n.arrivedEvent(p, p.Deadline), Attempts: len(p.Attempts)}
	for _, s := range p.Attempts {
		r.Failed = r.Failed || s.Failed
		if !s.NotExecuted && !r.MayHaveRun {
			r.MayHaveRun, r.FirstRunSentAt, r.Zone = true, n.clockAt(s.At), s.Zone
		}
	}
	return r
}

// arrivedEvent returns the sender's event for a new message. The caller passes the deadline, because one that
// has not been read from the journal carries a monotonic reading, and so a step of the wall clock does not move
// it.
func (n *Node) arrivedEvent(p *journal.Message, deadline time.Time) choice.MessageArrived {
	return choice.MessageArrived{ID: p.ID, Class: p.Class, Tenant: p.Tenant, Dest: p.Dest, Key: p.Key, Deadline: n.clockAt(deadline)}
}

// refuseUnjournaled refuses a message whose record could not be written. While the next start might still find
// the record in the file, the refusal waits until that is ruled out; by then the client has most likely
// disconnected without an answer.
func (n *Node) refuseUnjournaled(a submission) {
	refusal := pendingAnswer{a, ingress.Answer{Refused: true}}
	if n.journal.StaleTail() {
		n.pending.answers = append(n.pending.answers, refusal)
		return
	}
	refusal.to.answer(refusal.answer)
}

// answer sends the answer to all clients that submitted the message in this step. The channels are buffered.
func (a submission) answer(answer ingress.Answer) {
	a.reply <- answer
	for _, r := range a.duplicates {
		r <- answer
	}
}

// accept adds a new message to the journal and returns true, or returns the answer to give without asking the
// sender.
func (n *Node) accept(a submission) (ingress.Answer, bool) {
	outcome, _ := n.ended.Find(n.now(), a.ID)
	switch {
	case n.messages[a.ID] != nil:
		return ingress.Answer{}, false // accepted before: a repeated submission has no effect
	case outcome == dedup.Delivered:
		return ingress.Answer{}, false
	case outcome == dedup.MayHaveRun:
		n.metrics.CountFailed(a.Class)
		return ingress.Answer{ErrorText: "the message has ended"}, false
	case a.ClientGone != nil && a.ClientGone():
		n.metrics.CountShed(a.Class)
		return ingress.Answer{Refused: true}, false
	case n.staleness.fenced() || n.belowFloor:
		n.metrics.CountShed(a.Class)
		return ingress.Answer{Refused: true, RetryAfter: fencedRetryAfter()}, false
	// The list that the node waits for may name the destination.
	case !n.knownDests[a.Dest] && n.startup != nil && !n.startup.Complete():
		n.metrics.CountShed(a.Class)
		return ingress.Answer{Refused: true, RetryAfter: n.startup.RetryAfter(rand.Float64())}, false
	case !n.knownDests[a.Dest]:
		n.metrics.CountFailed(a.Class)
		return ingress.Answer{ErrorText: "unknown destination"}, false
	case n.cfg.Settings.MaxOpenMessages > 0 && n.openMessages >= n.cfg.Settings.MaxOpenMessages:
		n.metrics.CountShed(a.Class)
		return ingress.Answer{Refused: true}, false
	}
	p := &journal.Message{
		ID: a.ID, Key: a.Key, Class: a.Class, Tenant: a.Tenant, Dest: a.Dest, Body: a.Body, Deadline: a.ReceivedAt.Add(a.TTL),
	}
	p, err := n.journal.Accept(p)
	if err != nil {
		n.metrics.CountShed(a.Class)
		return ingress.Answer{Refused: true}, false
	}
	// Restores the monotonic readings, which the journal does not keep.
	p.ReceivedAt, p.Deadline = a.ReceivedAt, a.ReceivedAt.Add(a.TTL)
	n.messages[p.ID] = p
	n.openMessages++
	return ingress.Answer{}, true
}

// forget removes a settled message from the node and the journal. It does nothing if the message is already
// gone.
func (n *Node) forget(p *journal.Message) {
	if n.messages[p.ID] != p {
		return
	}
	if p.Ended == nil {
		n.openMessages--
	}
	delete(n.messages, p.ID)
	n.rememberEnded(journal.Settled{ID: p.ID, Delivered: p.Ended == nil, MayHaveRun: p.MayHaveRun()})
	n.journal.RecordSettled(p)
}

// rememberEnded remembers a message that may have run, so that it is not run again if it is submitted again.
func (n *Node) rememberEnded(m journal.Settled) {
	switch {
	case !m.MayHaveRun:
	case m.Delivered:
		n.ended.Add(n.now(), m.ID, dedup.Delivered)
	default:
		n.ended.Add(n.now(), m.ID, dedup.MayHaveRun)
	}
}

// finishCall records the outcome of a call in the audit log, the metrics and the journal, and returns the
// sender's event for it.
func (n *Node) finishCall(e callResult) choice.Event {
	o, ok := n.inFlight[e.attemptID]
	if !ok {
		return nil // the predecessor reported it and then exited
	}
	m := o.message
	if n.audit != nil {
		n.audit.record.callEnded(o.auditSeq, e.Result)
	}
	n.estimates.dirty = true
	n.metrics.ObserveAttempt(int(e.Outcome), e.took)
	if n.log.Enabled(context.Background(), slog.LevelDebug) {
		n.log.Debug("attempt_ended", "msg_id", e.messageID, "dest", m.Dest, "endpoint", e.endpoint.ID, "attempt", e.attempt,
			"outcome", metrics.OutcomeLabels[e.Outcome], "took", e.took)
	}
	if delete(n.inFlight, e.attemptID); o.endpoint == nil {
		n.remoteCalls--
	}
	switch e.Outcome {
	case choice.Success:
	case choice.Rejected, choice.ConnectFailed, choice.NotSent:
		n.journal.RecordNotExecuted(m, e.attempt)
	default:
		n.journal.RecordFailed(m, e.attempt)
	}
	if e.MessageDone && m.Ended == nil {
		if e.Outcome == choice.Success {
			n.metrics.CountDelivered(m.Class)
			n.metrics.ObserveFirstDelivery(time.Since(n.processStart))
		} else { // the endpoint reports the message as withdrawn or past its deadline
			n.metrics.CountFailed(m.Class)
		}
		n.forget(m)
	}
	if e.RetryAfter > 0 {
		e.endpoint.Cooldown.Extend(time.Now().Add(e.RetryAfter))
	}
	return choice.AttemptEnded{
		ID: e.messageID, Attempt: e.attempt, Endpoint: e.endpoint.ID, Outcome: e.Outcome, Took: e.took, MessageDone: e.MessageDone,
		RetryAfter: e.RetryAfter, NoSlot: e.NoSlot, ReusedConn: e.Reused, Report: e.Report,
	}
}

// endMessage gives a message its final answer: directly if its client still waits for one, and by a notice
// otherwise.
func (n *Node) endMessage(id string, e journal.Ending, undecided map[string]submission) {
	p := n.messages[id]
	if p == nil || p.Ended != nil {
		return
	}
	if e.Failed {
		n.metrics.CountFailed(p.Class)
	} else {
		n.metrics.CountShed(p.Class)
	}
	n.log.Debug("message_ended", "msg_id", id, "failed", e.Failed, "after", e.RetryAfter, "sends", len(p.Attempts), "left", time.Until(p.Deadline))
	if a, ok := undecided[id]; ok {
		delete(undecided, id)
		n.forget(p)
		reply := ingress.Answer{Refused: true, RetryAfter: e.RetryAfter}
		if e.Failed {
			reply = ingress.Answer{ErrorText: "the message failed"}
		}
		n.pending.answers = append(n.pending.answers, pendingAnswer{a, reply})
		return
	}
	n.openMessages--
	n.journal.RecordEnded(p, e)
	n.pending.notices = append(n.pending.notices, pendingNotice{outbox.NewNotice(p), p.Deadline.Add(-unrecordedNoticeLead)})
}

// prepareCall adds an attempt to the journal. The call is made once the record is written.
func (n *Node) prepareCall(a choice.Send) {
	p, e := n.messages[a.ID], n.endpoints[a.Endpoint]
	if e == nil {
		// The list has just dropped the endpoint. The call ends as NotSent, which proves that it was not
		// executed.
		e = &egress.Endpoint{ID: a.Endpoint, Cooldown: new(egress.Cooldown)}
		e.Withdrawn.Store(true)
	}
	id, now := attemptID{a.ID, len(p.Attempts)}, time.Now()
	record := journal.Attempt{At: now, Zone: e.Zone}
	if n.audit != nil {
		record.ListRevision, record.Incarnation = n.listRevision, n.audit.incarnation
	}
	n.journal.RecordAttempt(p, record)
	n.metrics.ObserveFirstCall(time.Since(n.processStart))
	if id.attempt == 0 && !p.ReceivedAt.IsZero() {
		n.metrics.ObserveFirstAttempt(p.Dest, now.Sub(p.ReceivedAt))
	}
	c := egress.Call{ID: p.ID, Key: p.Key, Body: p.Body, Endpoint: e, Deadline: n.wallTime(a.AbandonAt)}
	if a.LatestStart > 0 {
		c.LatestStart = n.wallTime(a.LatestStart)
	}
	if n.audit != nil && n.cfg.Audit.MarkCalls {
		c.DecisionBasis = n.listVersion()
	}
	var seq int64
	if n.audit != nil {
		seq = n.audit.record.callStarted(e.ID)
	}
	n.pending.calls = append(n.pending.calls, pendingCall{id, p, c, n.pool, seq})
}
