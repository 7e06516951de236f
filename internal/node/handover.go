package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"harrierramp/choice"
)

// handOver gives the node to a successor, between two steps of the loop. It tells whether that owns it now; if not,
// nothing has changed.
func (n *Node) handOver(l *link) bool {
	err := n.journal.flush()
	if err == nil && (len(n.acts) > 0 || n.remote > 0) {
		err = errors.New("not at rest") // acts that wait for the journal, or calls of a process before this one
	}
	var state *carriedNode
	if err == nil {
		state, err = n.carry()
	}
	if err == nil {
		err = l.send(frame{State: state}, int(n.lock.Fd()))
	}
	if err != nil {
		n.log.Error("not handed over", "err", errors.Join(err, l.close()))
		return false
	}
	// What is out there goes on; what has not been written is the successor's to send.
	n.pool.close()
	return true
}

func (n *Node) carry() (*carriedNode, error) {
	sender, err := n.sender.Carry()
	if err != nil {
		return nil, err
	}
	state := &carriedNode{
		Clock: n.now(), At: time.Now().UnixNano(), Sender: sender, Revision: n.revision,
		Dests: slices.Sorted(maps.Keys(n.dests)), Named: slices.Sorted(maps.Keys(n.named)),
	}
	for _, id := range slices.Sorted(maps.Keys(n.members)) {
		state.Members = append(state.Members, n.members[id])
	}
	for a := range n.out {
		state.Out = append(state.Out, callName{a.id, a.n})
	}
	return state, nil
}

// begin takes the node's state into this process: from the journal, from what a predecessor has handed over, and
// from what this process has known since it owned the node itself. Calls that have ended since then are
// unheard. It returns the module's first events.
func (n *Node) begin(c claim, unheard []called) ([]choice.Event, error) {
	var err error
	if n.journal, err = openJournal(n.cfg.State, n.cfg.journalMB()); err != nil {
		return nil, err
	}
	before := n.orders
	if n.orders, err = readOrders(n.cfg.State); err == nil && !c.upgrade {
		err = n.orders.setDrained(false) // a drain is the running node's: it ends with a restart
	}
	if err != nil {
		return nil, errors.Join(err, n.journal.close())
	}
	known := n.cfg.Known
	if n.kept = n.cfg.keptList(); n.kept != nil {
		if last, err := n.kept.read(); err != nil {
			n.log.Warn("the list that was kept can't be used", "err", err)
		} else if last.Revision > known.Revision {
			known = last
		}
	}
	if n.members != nil {
		known = list{Revision: n.revision, Members: slices.Collect(maps.Values(n.members))}
	}
	if s := c.state; s != nil {
		if n.sender, err = choice.Carried(n.cfg.Settings, seed(n.cfg.Seed), s.Sender); err != nil {
			return nil, errors.Join(err, n.journal.close()) // the predecessor goes on
		}
		n.start = time.Now().Add(-(s.Clock - epoch) - min(max(time.Since(time.Unix(0, s.At)), 0), askTimeout))
		n.wakeAt = n.sender.WakeAt()
		known = list{Revision: s.Revision, Members: s.Members}
		for _, d := range s.Dests {
			n.dests[d] = true
		}
		for _, id := range s.Named {
			n.named[id] = true
		}
	}
	known.Complete = true
	n.pool = n.newPool()
	n.messages, n.owed, n.acts, n.held = map[string]*past{}, nil, nil, 0
	clear(n.eps)
	events := []choice.Event{n.listed(known)}
	for _, id := range slices.Sorted(maps.Keys(n.orders.out)) {
		events = append(events, choice.Disabled{Endpoint: id})
	}
	if before != nil {
		for _, id := range slices.Sorted(maps.Keys(before.out)) {
			if !n.orders.out[id] {
				events = append(events, choice.Enabled{Endpoint: id})
			}
		}
	}
	return append(events, n.replayed(c, unheard)...), nil
}

// replayed makes the events of what the journal says is still owed, in the order in which it was taken on.
func (n *Node) replayed(c claim, unheard []called) (events []choice.Event) {
	for _, seq := range slices.Sorted(maps.Keys(n.journal.live)) {
		p := n.journal.live[seq]
		n.messages[p.id] = p
		if p.ended != nil {
			n.owed = append(n.owed, newNotice(p))
		} else {
			n.held++
		}
	}
	for _, e := range unheard {
		n.out[e.attempt] = outCall{m: n.pastOf(e.id), endpoint: e.endpoint}
		events = append(events, n.called(e))
	}
	carried := map[string]bool{}
	if c.state != nil {
		for _, name := range c.state.Out {
			a := attempt{name.ID, name.N}
			n.out[a] = outCall{m: n.pastOf(a.id), cancel: func() {
				if err := c.from.send(frame{Cancel: &name}, -1); err != nil {
					n.log.Debug("call not called off", "id", name.ID, "err", err)
				}
			}}
			n.remote++
		}
	}
	for _, id := range n.sender.Held() {
		// One that this process knew when it handed over may have met its end meanwhile: the journal tells.
		if p := n.messages[id]; c.state != nil && p != nil && p.ended == nil {
			carried[id] = true
		} else {
			events = append(events, choice.Dropped{ID: id})
		}
	}
	resumed := 0
	for _, seq := range slices.Sorted(maps.Keys(n.journal.live)) {
		if p := n.journal.live[seq]; p.ended == nil && !carried[p.id] {
			events = append(events, n.resumed(p))
			resumed++
		}
	}
	if len(n.messages) > 0 {
		n.log.Info("journal replayed", "resumed", resumed, "carried", len(carried), "notices", len(n.owed), "out", n.remote)
	}
	return events
}

// pastOf is what the journal knows of a message, or an empty past of one that is over but whose call is out.
func (n *Node) pastOf(id string) *past {
	if p := n.messages[id]; p != nil {
		return p
	}
	return &past{id: id, tenant: -1, class: -1, ended: &ending{}}
}

// orphaned says that the predecessor is gone, and its calls with it.
type orphaned struct{}

// predecessor takes what the old process sends until it has gone.
func (n *Node) predecessor(ctx context.Context, l *link) {
	defer n.tell(ctx, orphaned{})
	for {
		f, file, err := l.receive()
		if err != nil {
			n.log.Info("the predecessor is gone", "err", err)
			return
		}
		switch {
		case f.Client != nil && file != nil:
			nc, err := net.FileConn(file)
			if err != nil {
				n.log.Error("a client's connection can't be taken over", "err", err)
				break
			}
			n.clients.adopt(nc, *f.Client)
		case f.Ended != nil:
			n.tell(ctx, *f.Ended)
		case f.Order != nil:
			o := order{endpoint: f.Order.Endpoint, on: f.Order.On, done: make(chan error, 1)}
			n.tell(ctx, o)
			go func() { // ends with the order, or with the node
				done := orderDone{Number: f.Order.Number}
				select {
				case err := <-o.done:
					if done.Unknown = errors.Is(err, errUnknownEndpoint); err != nil {
						done.No = err.Error()
					}
				case <-ctx.Done():
					done.No = errNotServing.Error()
				}
				if err := l.send(frame{Done: &done}, -1); err != nil {
					n.log.Debug("answer to an order not passed on", "err", err)
				}
			}()
		}
		if file != nil {
			file.Close() // a connection has a descriptor of its own by now
		}
	}
}

// remoteEnded turns the outcome of a predecessor's call into one of ours.
func (n *Node) remoteEnded(e endedCall) called {
	at := n.eps[e.Endpoint]
	if at == nil {
		at = &endpoint{id: e.Endpoint, wait: new(atomic.Int64)}
	}
	return called{attempt{e.ID, e.N}, at, result{
		outcome: e.Outcome, wait: e.Wait, noSlot: e.NoSlot, closed: e.Closed, reused: e.Reused, report: e.Report,
	}, e.Took}
}

// orphans ends the calls that were out at a predecessor when it went: their connections went with it.
func (n *Node) orphans() (events []choice.Event) {
	for a, o := range n.out {
		if o.endpoint == nil {
			events = append(events, n.called(n.remoteEnded(endedCall{callName: callName{a.id, a.n}, Outcome: choice.Cut})))
		}
	}
	return events
}

// moveClient passes a client's connection on.
func moveClient(l *link, nc net.Conn, m movedClient) error {
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
	if err := raw.Control(func(fd uintptr) { sent = l.send(frame{Client: &m}, int(fd)) }); err != nil {
		return err
	}
	return sent
}
