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

// handOver gives the node to a successor, between two steps of the loop. It tells whether that owns it now; if not,
// nothing has changed.
func (n *Node) handOver(l *handover.Link) bool {
	err := n.journal.Flush()
	if err == nil && (!n.pending.empty() || len(n.withdrawnCalls) > 0 || n.remoteCalls > 0) {
		err = errors.New("not at rest") // what waits for the journal, or calls of a process before this one
	}
	var state *handover.State
	if err == nil {
		state, err = n.exportState()
	}
	if err == nil {
		err = l.Send(handover.Frame{State: state}, int(n.ownershipLock.Fd()))
	}
	if err != nil {
		n.log.Error("handover_failed", "err", errors.Join(err, l.Close()))
		return false
	}
	// What is out there goes on; what has not been written is the successor's to send.
	n.pool.Close()
	return true
}

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
	for a := range n.inFlight {
		state.InFlight = append(state.InFlight, handover.Attempt{MessageID: a.messageID, Number: a.attempt})
	}
	return state, nil
}

// begin takes the node's state into this process: from the journal, from what a predecessor has handed over, and
// from what this process has known since it owned the node itself. Calls that have ended since then are
// unheard. It returns the module's first events.
func (n *Node) loadState(ctx context.Context, ownership handover.Ownership, unreported []callResult) ([]choice.Event, error) {
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
			err = n.overrides.setDrained(false) // a drain is the running node's: it ends with a restart
		}
		return err
	})
	if err != nil {
		return nil, errors.Join(err, n.journal.Close())
	}
	n.listCache = newListCache(n.cfg)
	var known listwatch.List
	switch { // a process that has known a list, or takes one over, does not begin
	case ownership.State != nil && ownership.State.Revision > 0:
		known = listwatch.List{Revision: ownership.State.Revision, Members: ownership.State.Members}
	case n.listMembers != nil && n.listRevision > 0:
		known = listwatch.List{Revision: n.listRevision, Members: slices.Collect(maps.Values(n.listMembers))}
	default:
		known = n.initialList()
	}
	if s := ownership.State; s != nil {
		if n.sender, err = choice.Restore(n.cfg.Settings, seed(n.cfg.Seed), s.Sender); err != nil {
			return nil, errors.Join(err, n.journal.Close()) // the predecessor goes on
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
	if ownership.State == nil && before == nil { // a sender that was carried over, or goes on, knows better
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
	return append(events, n.replayJournal(ownership, unreported)...), nil
}

// startPatience is how long a start goes on trying to read or write its folder. The platform gives a node 30 s to be ready.
const startupRetryTimeout = 20 * time.Second

// patiently does what a start needs, again as long as it fails for a reason that may pass.
func (n *Node) retryStartup(ctx context.Context, operation func() error) error {
	onFailure := func(err error) { n.log.Warn("start_waits", "err", err) }
	return transient.Retry(ctx, startupRetryTimeout, onFailure, operation)
}

// replayed makes the events of what the journal says is still owed, in the order in which it was taken on.
func (n *Node) replayJournal(ownership handover.Ownership, unreported []callResult) (events []choice.Event) {
	for _, p := range n.journal.Unsettled() {
		n.messages[p.ID] = p
		if p.Ended != nil {
			n.noticeQueue = append(n.noticeQueue, outbox.NewNotice(p))
		} else {
			n.openMessages++
		}
	}
	for _, e := range unreported {
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
		// One that this process knew when it handed over may have met its end meanwhile: the journal tells.
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

// pastOf is what the journal knows of a message, or an empty past of one that is over but whose call is out.
func (n *Node) journaledMessage(id string) *journal.Message {
	if p := n.messages[id]; p != nil {
		return p
	}
	return &journal.Message{ID: id, Tenant: -1, Class: -1, Ended: &journal.Ending{}}
}

// orphaned says that the predecessor is gone, and its calls with it.
type predecessorGone struct{}

// predecessor takes what the old process sends until it has gone.
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
			go func() { // ends with the order, or with the node
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
			file.Close() // a connection has a descriptor of its own by now
		}
	}
}

// remoteEnded turns the outcome of a predecessor's call into one of ours.
func (n *Node) remoteResult(e handover.CallResult) callResult {
	endpoint := n.endpoints[e.Endpoint]
	if endpoint == nil {
		endpoint = &egress.Endpoint{ID: e.Endpoint, Cooldown: new(egress.Cooldown)}
	}
	return callResult{attemptID{e.MessageID, e.Number}, endpoint, egress.Result{
		Outcome: e.Outcome, RetryAfter: e.RetryAfter, NoSlot: e.NoSlot, MessageDone: e.MessageDone, Reused: e.Reused, Report: e.Report,
	}, e.Took}
}

// orphans ends the calls that were out at a predecessor when it went: their connections went with it.
func (n *Node) failRemoteCalls() (events []choice.Event) {
	for a, o := range n.inFlight {
		if o.endpoint == nil {
			events = append(events, n.finishCall(n.remoteResult(handover.CallResult{Attempt: handover.Attempt{MessageID: a.messageID, Number: a.attempt}, Outcome: choice.ConnReset})))
		}
	}
	return events
}

// moveClient passes a client's connection on.
func moveClient(l *handover.Link, nc net.Conn, m ingress.ConnHandover) error {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return fmt.Errorf("handover: a connection of type %T", nc)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	// Not by File, whose descriptor would come out of the last ones that are free.
	var sent error
	if err := raw.Control(func(fd uintptr) { sent = l.Send(handover.Frame{Client: &m}, int(fd)) }); err != nil {
		return err
	}
	return sent
}
