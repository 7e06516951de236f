package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/admin"
	"harrierramp/internal/egress"
	"harrierramp/internal/handover"
	"harrierramp/internal/ingress"
	"harrierramp/internal/journal"
	"harrierramp/internal/listwatch"
	"harrierramp/internal/outbox"
	"harrierramp/internal/transient"
)

// handOver hands the node over to the successor at the other end of l, between two steps of the loop. It
// returns whether the successor owns the node now; if not, nothing has changed.
func (n *Node) handOver(l *handover.Link) bool {
	err := n.journal.Flush()
	if err == nil && (!n.pending.empty() || len(n.withdrawnCalls) > 0 || n.remoteCalls > 0) {
		err = errors.New("effects wait for the journal, or calls of the predecessor are in flight")
	}
	var state *handover.State
	if err == nil {
		state, err = n.exportState()
	}
	if err == nil {
		n.handingOver.Store(true) // before the successor can say that it is ready
		err = l.Send(handover.Frame{State: state}, int(n.ownershipLock.Fd()))
	}
	if err != nil {
		n.handingOver.Store(false)
		n.log.Error("handover_failed", "err", errors.Join(err, l.Close()))
		return false
	}
	// Calls in flight go on here. Calls whose request has not been written are left to the successor.
	n.pool.Close()
	return true
}

// exportState returns the state that a successor needs beside the journal and the operators' overrides.
func (n *Node) exportState() (*handover.State, error) {
	sender, err := n.sender.Snapshot()
	if err != nil {
		return nil, err
	}
	state := &handover.State{
		Clock: n.now(), ClockReadAt: time.Now().UnixNano(), Sender: sender, Revision: n.listRevision,
		KnownDests: slices.Sorted(maps.Keys(n.knownDests)), KnownEndpoints: slices.Sorted(maps.Keys(n.knownEndpoints)),
	}
	for _, id := range slices.Sorted(maps.Keys(n.listMembers)) {
		state.Members = append(state.Members, n.listMembers[id])
	}
	state.EndedIDs = n.ended.Encode(n.now())
	for a := range n.inFlight {
		state.InFlight = append(state.InFlight, handover.Attempt{MessageID: a.messageID, Number: a.attempt})
	}
	return state, nil
}

// loadState loads the node's state into this process: from the journal, from what a predecessor has handed
// over, and from what this process still knows if it owned the node before. outcomes are those of calls that
// ended since then. It returns the first events for the sender.
func (n *Node) loadState(ctx context.Context, ownership handover.Ownership, outcomes []callResult) ([]choice.Event, error) {
	err := n.retryStartup(ctx, func() (err error) {
		n.journal, err = journal.Open(n.cfg.StateDir, journalMB(n.cfg))
		return err
	})
	if err != nil {
		return nil, err
	}
	if n.journal.Damage != nil {
		n.log.Error("journal_damaged", "err", n.journal.Damage)
	}
	n.journal.OnAppend = n.metrics.ObserveJournalAppend
	before := n.overrides
	err = n.retryStartup(ctx, func() (err error) {
		if n.overrides, err = readOverrides(n.cfg.StateDir); err == nil && !ownership.Upgrade {
			err = n.overrides.setDrained(false) // a drain lasts only as long as the node runs: a restart ends it
		}
		return err
	})
	if err != nil {
		return nil, errors.Join(err, n.journal.Close())
	}
	n.listCache = newListCache(n.cfg)
	var known listwatch.List
	switch { // a process that has a list, or takes one over, does not wait for one
	case ownership.State != nil && ownership.State.Revision > 0:
		known = listwatch.List{Revision: ownership.State.Revision, Members: ownership.State.Members}
	case n.listMembers != nil && n.listRevision > 0:
		known = listwatch.List{Revision: n.listRevision, Members: slices.Collect(maps.Values(n.listMembers))}
	default:
		known = n.initialList()
	}
	if s := ownership.State; s != nil {
		if n.sender, err = choice.Restore(n.cfg.Settings, seed(n.cfg.Seed), s.Sender); err != nil {
			return nil, errors.Join(err, n.journal.Close()) // the predecessor resumes service
		}
		n.clockStart = time.Now().Add(-(s.Clock - clockOrigin) - min(max(time.Since(time.Unix(0, s.ClockReadAt)), 0), handover.RequestTimeout))
		n.wakeAt = n.sender.NextWakeAt()
		for _, d := range s.KnownDests {
			n.knownDests[d] = true
		}
		for _, id := range s.KnownEndpoints {
			n.knownEndpoints[id] = true
		}
	}
	known.Complete = true
	n.estimates = newEstimateStore(n.cfg)
	n.pool = n.newPool()
	n.messages, n.noticeQueue, n.openMessages = map[string]*journal.Message{}, nil, 0
	n.pending, n.withdrawnCalls = pendingEffects{}, nil
	clear(n.endpoints)
	events := []choice.Event{n.applyList(known)}
	// A sender that was handed over, or that served before in this process, has newer estimates.
	if ownership.State == nil && before == nil {
		events = append(events, n.restoredEstimates()...)
	}
	for _, id := range slices.Sorted(maps.Keys(n.overrides.disabled)) {
		events = append(events, choice.EndpointDisabled{Endpoint: id})
	}
	if before != nil {
		for _, id := range slices.Sorted(maps.Keys(before.disabled)) {
			if !n.overrides.disabled[id] {
				events = append(events, choice.EndpointEnabled{Endpoint: id})
			}
		}
	}
	return append(events, n.replayJournal(ownership, outcomes)...), nil
}

// startupRetryTimeout is how long a start retries operations on the state folder and the peer socket. The
// platform gives a node 30 s to become ready.
const startupRetryTimeout = 20 * time.Second

// retryStartup runs an operation that a start depends on, and repeats it while it fails with a transient error.
func (n *Node) retryStartup(ctx context.Context, operation func() error) error {
	onFailure := func(err error) { n.log.Warn("start_waits", "err", err) }
	return transient.Retry(ctx, startupRetryTimeout, onFailure, operation)
}

// replayJournal returns the sender's events for all that the journal has not settled, in the order in which the
// messages were accepted, and restores the calls that are still in flight at a predecessor.
func (n *Node) replayJournal(ownership handover.Ownership, outcomes []callResult) (events []choice.Event) {
	n.recallEnded(ownership)
	for _, p := range n.journal.Unsettled() {
		n.messages[p.ID] = p
		if p.Ended != nil {
			n.noticeQueue = append(n.noticeQueue, outbox.NewNotice(p))
		} else {
			n.openMessages++
		}
	}
	for _, e := range outcomes {
		n.inFlight[e.attemptID] = inFlightCall{message: n.journaledMessage(e.messageID), endpoint: e.endpoint}
		events = append(events, n.finishCall(e))
	}
	carried := map[string]bool{}
	if ownership.State != nil {
		for _, name := range ownership.State.InFlight {
			a := attemptID{name.MessageID, name.Number}
			n.inFlight[a] = inFlightCall{message: n.journaledMessage(a.messageID), cancel: func() {
				if err := ownership.Predecessor.Send(handover.Frame{Cancel: &name}, -1); err != nil {
					n.log.Debug("cancel_not_passed_on", "msg_id", name.MessageID, "err", err)
				}
			}}
			n.remoteCalls++
		}
	}
	for _, id := range n.sender.OpenMessageIDs() {
		// A message that the sender still has may have ended while another process owned the node: the journal
		// decides.
		if p := n.messages[id]; ownership.State != nil && p != nil && p.Ended == nil {
			carried[id] = true
		} else {
			events = append(events, choice.MessageDropped{ID: id})
		}
	}
	resumed, untried := 0, 0
	for _, p := range n.journal.Unsettled() {
		if p.Ended == nil && !carried[p.ID] {
			events = append(events, n.resumedEvent(p))
			resumed++
			if len(p.Attempts) == 0 {
				untried++
			}
			n.log.Debug("message_found", "msg_id", p.ID, "class", p.Class, "dest", p.Dest, "sends", len(p.Attempts), "left", time.Until(p.Deadline))
		}
	}
	if len(n.messages) > 0 {
		n.log.Info("journal_replayed", "resumed", resumed, "untried", untried, "carried", len(carried), "notices", len(n.noticeQueue), "out", n.remoteCalls)
	}
	return events
}

// recallEnded remembers the messages that have ended before: by what the predecessor says, and by the journal.
func (n *Node) recallEnded(ownership handover.Ownership) {
	if ownership.State != nil {
		if err := n.ended.Decode(n.now(), ownership.State.EndedIDs); err != nil {
			n.log.Warn("ended_messages_unknown", "err", err)
		}
	}
	for _, m := range n.journal.FoundSettled {
		n.rememberEnded(m)
	}
	n.journal.FoundSettled = nil
}

// journaledMessage returns the journal's record of a message. For a message that has ended and left the journal
// while a call of it is still in flight, it returns an ended message without a history.
func (n *Node) journaledMessage(id string) *journal.Message {
	if p := n.messages[id]; p != nil {
		return p
	}
	return &journal.Message{ID: id, Tenant: -1, Class: -1, Ended: &journal.Ending{}}
}

// predecessorGone is the event that the predecessor process has gone, and its calls with it.
type predecessorGone struct{}

// receiveFromPredecessor processes the frames of the old process until its end of the link closes: client
// connections, outcomes of calls, and operators' commands.
func (n *Node) receiveFromPredecessor(ctx context.Context, l *handover.Link) {
	defer n.enqueue(ctx, predecessorGone{})
	for {
		f, file, err := l.Receive()
		if err != nil {
			n.log.Info("predecessor_gone", "err", err)
			return
		}
		switch {
		case f.Client != nil && file != nil:
			nc, err := net.FileConn(file)
			if err != nil {
				n.log.Error("client_not_adopted", "err", err)
				break
			}
			n.ingress.Adopt(nc, *f.Client)
		case f.CallResult != nil:
			n.enqueue(ctx, *f.CallResult)
		case f.Command != nil:
			o := operatorCommand{endpoint: f.Command.Endpoint, on: f.Command.On, done: make(chan error, 1)}
			n.enqueue(ctx, o)
			go func() { // ends when the command is answered or the node stops
				result := handover.CommandResult{Number: f.Command.Number}
				select {
				case err := <-o.done:
					if result.Unknown = errors.Is(err, admin.ErrUnknownEndpoint); err != nil {
						result.Error = err.Error()
					}
				case <-ctx.Done():
					result.Error = admin.ErrNotServing.Error()
				}
				if err := l.Send(handover.Frame{CommandResult: &result}, -1); err != nil {
					n.log.Debug("order_answer_lost", "err", err)
				}
			}()
		}
		if file != nil {
			file.Close() // the connection uses a duplicate of this descriptor
		}
	}
}

// remoteResult converts the outcome of a predecessor's call to the form of this process's own calls.
func (n *Node) remoteResult(e handover.CallResult) callResult {
	endpoint := n.endpoints[e.Endpoint]
	if endpoint == nil {
		endpoint = &egress.Endpoint{ID: e.Endpoint, Cooldown: new(egress.Cooldown)}
	}
	return callResult{attemptID{e.MessageID, e.Number}, endpoint, egress.Result{
		Outcome: e.Outcome, RetryAfter: e.RetryAfter, NoSlot: e.NoSlot, MessageDone: e.MessageDone, Reused: e.Reused, Report: e.Report,
	}, e.Took}
}

// failRemoteCalls ends the calls that were in flight at the predecessor when it went, as connection resets:
// their connections were closed with the process.
func (n *Node) failRemoteCalls() (events []choice.Event) {
	for a, o := range n.inFlight {
		if o.endpoint == nil {
			events = append(events, n.finishCall(n.remoteResult(handover.CallResult{Attempt: handover.Attempt{MessageID: a.messageID, Number: a.attempt}, Outcome: choice.ConnReset})))
		}
	}
	return events
}

// moveClient passes a client's connection to the successor.
func moveClient(l *handover.Link, nc net.Conn, m ingress.ConnHandover) error {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return fmt.Errorf("handover: cannot pass on a connection of type %T", nc)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	// File is not used, because it duplicates the descriptor, and descriptors may be nearly exhausted.
	var sent error
	if err := raw.Control(func(fd uintptr) { sent = l.Send(handover.Frame{Client: &m}, int(fd)) }); err != nil {
		return err
	}
	return sent
}
