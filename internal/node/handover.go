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
	if err == nil && (!n.guarded.empty() || len(n.withdrawn) > 0 || n.remote > 0) {
		err = errors.New("not at rest") // what waits for the journal, or calls of a process before this one
	}
	var state *handover.State
	if err == nil {
		state, err = n.carry()
	}
	if err == nil {
		err = l.Send(handover.Frame{State: state}, int(n.lock.Fd()))
	}
	if err != nil {
		n.log.Error("handover_failed", "err", errors.Join(err, l.Close()))
		return false
	}
	// What is out there goes on; what has not been written is the successor's to send.
	n.pool.Close()
	return true
}

func (n *Node) carry() (*handover.State, error) {
	sender, err := n.sender.Snapshot()
	if err != nil {
		return nil, err
	}
	state := &handover.State{
		Clock: n.now(), At: time.Now().UnixNano(), Sender: sender, Revision: n.revision,
		Dests: slices.Sorted(maps.Keys(n.dests)), Named: slices.Sorted(maps.Keys(n.named)),
	}
	for _, id := range slices.Sorted(maps.Keys(n.members)) {
		state.Members = append(state.Members, n.members[id])
	}
	for a := range n.out {
		state.Out = append(state.Out, handover.CallName{ID: a.id, N: a.n})
	}
	return state, nil
}

// begin takes the node's state into this process: from the journal, from what a predecessor has handed over, and
// from what this process has known since it owned the node itself. Calls that have ended since then are
// unheard. It returns the module's first events.
func (n *Node) begin(ctx context.Context, c handover.Claim, unheard []called) ([]choice.Event, error) {
	err := n.patiently(ctx, func() (err error) {
		n.journal, err = journal.Open(n.cfg.StateDir, journalMB(n.cfg))
		return err
	})
	if err != nil {
		return nil, err
	}
	if n.journal.Damage != nil {
		n.log.Error("journal_damaged", "err", n.journal.Damage)
	}
	n.journal.OnAppend = n.figures.ObserveJournalAppend
	before := n.orders
	err = n.patiently(ctx, func() (err error) {
		if n.orders, err = readOrders(n.cfg.StateDir); err == nil && !c.Upgrade {
			err = n.orders.setDrained(false) // a drain is the running node's: it ends with a restart
		}
		return err
	})
	if err != nil {
		return nil, errors.Join(err, n.journal.Close())
	}
	n.kept = keptList(n.cfg)
	var known listwatch.List
	switch { // a process that has known a list, or takes one over, does not begin
	case c.State != nil && c.State.Revision > 0:
		known = listwatch.List{Revision: c.State.Revision, Members: c.State.Members}
	case n.members != nil && n.revision > 0:
		known = listwatch.List{Revision: n.revision, Members: slices.Collect(maps.Values(n.members))}
	default:
		known = n.startWith()
	}
	if s := c.State; s != nil {
		if n.sender, err = choice.Restore(n.cfg.Settings, seed(n.cfg.Seed), s.Sender); err != nil {
			return nil, errors.Join(err, n.journal.Close()) // the predecessor goes on
		}
		n.start = time.Now().Add(-(s.Clock - epoch) - min(max(time.Since(time.Unix(0, s.At)), 0), handover.AskTimeout))
		n.wakeAt = n.sender.NextWakeAt()
		for _, d := range s.Dests {
			n.dests[d] = true
		}
		for _, id := range s.Named {
			n.named[id] = true
		}
	}
	known.Complete = true
	n.learnt = newLearnt(n.cfg)
	n.pool = n.newPool()
	n.messages, n.owed, n.held = map[string]*journal.Message{}, nil, 0
	n.guarded, n.withdrawn = guarded{}, nil
	clear(n.eps)
	events := []choice.Event{n.listed(known)}
	if c.State == nil && before == nil { // a sender that was carried over, or goes on, knows better
		events = append(events, n.recalled()...)
	}
	for _, id := range slices.Sorted(maps.Keys(n.orders.out)) {
		events = append(events, choice.EndpointDisabled{Endpoint: id})
	}
	if before != nil {
		for _, id := range slices.Sorted(maps.Keys(before.out)) {
			if !n.orders.out[id] {
				events = append(events, choice.EndpointEnabled{Endpoint: id})
			}
		}
	}
	return append(events, n.replayed(c, unheard)...), nil
}

// startPatience is how long a start goes on trying to read or write its folder. The platform gives a node 30 s to be ready.
const startPatience = 20 * time.Second

// patiently does what a start needs, again as long as it fails for a reason that may pass.
func (n *Node) patiently(ctx context.Context, do func() error) error {
	failed := func(err error) { n.log.Warn("start_waits", "err", err) }
	return transient.Retry(ctx, startPatience, failed, do)
}

// replayed makes the events of what the journal says is still owed, in the order in which it was taken on.
func (n *Node) replayed(c handover.Claim, unheard []called) (events []choice.Event) {
	for _, p := range n.journal.Unsettled() {
		n.messages[p.ID] = p
		if p.Ended != nil {
			n.owed = append(n.owed, outbox.NewNotice(p))
		} else {
			n.held++
		}
	}
	for _, e := range unheard {
		n.out[e.attempt] = outCall{m: n.pastOf(e.id), endpoint: e.endpoint}
		events = append(events, n.called(e))
	}
	carried := map[string]bool{}
	if c.State != nil {
		for _, name := range c.State.Out {
			a := attempt{name.ID, name.N}
			n.out[a] = outCall{m: n.pastOf(a.id), cancel: func() {
				if err := c.From.Send(handover.Frame{Cancel: &name}, -1); err != nil {
					n.log.Debug("cancel_not_passed_on", "msg_id", name.ID, "err", err)
				}
			}}
			n.remote++
		}
	}
	for _, id := range n.sender.OpenMessageIDs() {
		// One that this process knew when it handed over may have met its end meanwhile: the journal tells.
		if p := n.messages[id]; c.State != nil && p != nil && p.Ended == nil {
			carried[id] = true
		} else {
			events = append(events, choice.MessageDropped{ID: id})
		}
	}
	resumed, untried := 0, 0
	for _, p := range n.journal.Unsettled() {
		if p.Ended == nil && !carried[p.ID] {
			events = append(events, n.resumed(p))
			resumed++
			if len(p.Attempts) == 0 {
				untried++
			}
			n.log.Debug("message_found", "msg_id", p.ID, "class", p.Class, "dest", p.Dest, "sends", len(p.Attempts), "left", time.Until(p.Deadline))
		}
	}
	if len(n.messages) > 0 {
		n.log.Info("journal_replayed", "resumed", resumed, "untried", untried, "carried", len(carried), "notices", len(n.owed), "out", n.remote)
	}
	return events
}

// pastOf is what the journal knows of a message, or an empty past of one that is over but whose call is out.
func (n *Node) pastOf(id string) *journal.Message {
	if p := n.messages[id]; p != nil {
		return p
	}
	return &journal.Message{ID: id, Tenant: -1, Class: -1, Ended: &journal.Ending{}}
}

// orphaned says that the predecessor is gone, and its calls with it.
type orphaned struct{}

// predecessor takes what the old process sends until it has gone.
func (n *Node) predecessor(ctx context.Context, l *handover.Link) {
	defer n.tell(ctx, orphaned{})
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
			n.clients.Adopt(nc, *f.Client)
		case f.Ended != nil:
			n.tell(ctx, *f.Ended)
		case f.Order != nil:
			o := order{endpoint: f.Order.Endpoint, on: f.Order.On, done: make(chan error, 1)}
			n.tell(ctx, o)
			go func() { // ends with the order, or with the node
				done := handover.OrderDone{Number: f.Order.Number}
				select {
				case err := <-o.done:
					if done.Unknown = errors.Is(err, admin.ErrUnknownEndpoint); err != nil {
						done.No = err.Error()
					}
				case <-ctx.Done():
					done.No = admin.ErrNotServing.Error()
				}
				if err := l.Send(handover.Frame{Done: &done}, -1); err != nil {
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
func (n *Node) remoteEnded(e handover.EndedCall) called {
	at := n.eps[e.Endpoint]
	if at == nil {
		at = &egress.Endpoint{ID: e.Endpoint, Cooldown: new(egress.Cooldown)}
	}
	return called{attempt{e.ID, e.N}, at, egress.Result{
		Outcome: e.Outcome, RetryAfter: e.Wait, NoSlot: e.NoSlot, MessageDone: e.Closed, Reused: e.Reused, Report: e.Report,
	}, e.Took}
}

// orphans ends the calls that were out at a predecessor when it went: their connections went with it.
func (n *Node) orphans() (events []choice.Event) {
	for a, o := range n.out {
		if o.endpoint == nil {
			events = append(events, n.called(n.remoteEnded(handover.EndedCall{CallName: handover.CallName{ID: a.id, N: a.n}, Outcome: choice.ConnReset})))
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
