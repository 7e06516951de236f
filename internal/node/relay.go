package node

import (
	"context"
	"errors"
	"time"
)

// relay serves a successor that owns the node: clients move to it, outcomes are told, orders passed on. It returns
// when the successor has gone, with the outcomes that it has not heard of, or, as left, when this process may end.
func (n *Node) relay(ctx context.Context, l *link, gone <-chan struct{}) (unheard []called, left bool) {
	down := make(chan struct{})
	dones := make(chan orderDone)
	cancels := make(chan callName)
	go func() { // ends with the link, which is closed below
		defer close(down)
		for {
			f, file, err := l.receive()
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
		l.close()
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
	tick := time.NewTicker(askPause)
	defer tick.Stop()
	for {
		select {
		case e := <-n.events:
			switch e := e.(type) {
			case arrival:
				e.reply <- answer{moved: true}
			case called:
				if l.send(frame{Ended: &endedCall{
					callName: callName{e.id, e.n}, Endpoint: e.endpoint.id, Outcome: e.outcome, Wait: e.wait, Took: e.took,
					NoSlot: e.noSlot, Closed: e.closed, Reused: e.reused, Report: e.report,
				}}, -1) != nil {
					unheard = append(unheard, e)
				} else {
					delete(n.out, e.attempt)
				}
			case order:
				number++
				if err := l.send(frame{Order: &linkOrder{number, e.endpoint, e.on}}, -1); err != nil {
					e.done <- errNotServing
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
					o.done <- errUnknownEndpoint
				case d.No != "":
					o.done <- errors.New(d.No)
				default:
					o.done <- nil
				}
			}
		case <-down:
			for _, o := range orders {
				o.done <- errNotServing
			}
			return append(unheard, n.callOff(unheard)...), ctx.Err() != nil
		case <-gone: // what is still out has had its time
			for _, o := range n.out {
				o.cancel()
			}
			gone = nil
		case <-tick.C:
			if ctx.Err() != nil && len(n.out) == 0 && (gone == nil || n.clients.count() == 0) {
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
			e.reply <- answer{moved: true} // it stays, and asks again
		case order:
			e.done <- errNotServing
		}
	}
	return ends
}
