package node

import (
	"context"
	"errors"
	"time"

	"harrierramp/internal/admin"
	"harrierramp/internal/handover"
	"harrierramp/internal/ingress"
)

// relay serves a successor that owns the node: clients move to it, outcomes are told, orders passed on. It returns
// when the successor has gone, with the outcomes that it has not heard of, or, as left, when this process may end.
func (n *Node) relay(ctx context.Context, l *handover.Link, gone <-chan struct{}) (unheard []called, left bool) {
	down := make(chan struct{})
	dones := make(chan handover.OrderDone)
	cancels := make(chan handover.CallName)
	go func() { // ends with the link, which is closed below
		defer close(down)
		for {
			f, file, err := l.Receive()
			if file != nil {
				file.Close()
			}
			if err != nil {
				return
			}
			switch {
			case f.Cancel != nil:
				cancels <- *f.Cancel
			case f.Done != nil:
				dones <- *f.Done
			}
		}
	}()
	defer func() {
		l.Close()
		for {
			select {
			case <-cancels:
			case <-dones:
			case <-down:
				return
			}
		}
	}()
	orders := map[int]order{}
	number := 0
	tick := time.NewTicker(handover.AskPause)
	defer tick.Stop()
	for {
		select {
		case e := <-n.events:
			switch e := e.(type) {
			case arrival:
				e.reply <- ingress.Answer{HandedOver: true}
			case called:
				if l.Send(handover.Frame{Ended: &handover.EndedCall{
					CallName: handover.CallName{ID: e.id, N: e.n}, Endpoint: e.endpoint.ID, Outcome: e.Outcome, Wait: e.RetryAfter, Took: e.took,
					NoSlot: e.NoSlot, Closed: e.MessageDone, Reused: e.Reused, Report: e.Report,
				}}, -1) != nil {
					unheard = append(unheard, e)
				} else {
					delete(n.out, e.attempt)
				}
			case order:
				number++
				if err := l.Send(handover.Frame{Order: &handover.LinkOrder{Number: number, Endpoint: e.endpoint, On: e.on}}, -1); err != nil {
					e.done <- admin.ErrNotServing
				} else {
					orders[number] = e
				}
			}
		case c := <-cancels:
			if o, ok := n.out[attempt{c.ID, c.N}]; ok {
				o.cancel()
			}
		case d := <-dones:
			if o, ok := orders[d.Number]; ok {
				delete(orders, d.Number)
				switch {
				case d.Unknown:
					o.done <- admin.ErrUnknownEndpoint
				case d.No != "":
					o.done <- errors.New(d.No)
				default:
					o.done <- nil
				}
			}
		case <-down:
			for _, o := range orders {
				o.done <- admin.ErrNotServing
			}
			return append(unheard, n.callOff(unheard)...), ctx.Err() != nil
		case <-gone: // what is still out has had its time
			for _, o := range n.out {
				o.cancel()
			}
			gone = nil
		case <-tick.C:
			if ctx.Err() != nil && len(n.out) == 0 && (gone == nil || n.clients.ConnCount() == 0) {
				return nil, true
			}
		}
	}
}

// callOff ends the calls that are out and returns their outcomes, but for those that are known.
func (n *Node) callOff(known []called) (ends []called) {
	for _, o := range n.out {
		o.cancel()
	}
	for len(known)+len(ends) < len(n.out) { // each call that is called off ends by an event
		switch e := (<-n.events).(type) {
		case called:
			ends = append(ends, e)
		case arrival:
			e.reply <- ingress.Answer{HandedOver: true} // it stays, and asks again
		case order:
			e.done <- admin.ErrNotServing
		}
	}
	return ends
}
