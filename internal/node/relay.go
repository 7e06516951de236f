package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"harrierramp/internal/admin"
	"harrierramp/internal/handover"
	"harrierramp/internal/ingress"
)

// relay works for a successor that owns the node: client connections move to it, outcomes of calls are reported
// to it, and operators' commands are forwarded. relay returns when the successor has gone, with the outcomes of
// all calls that were in flight at the hand-over, or with stopped set when this process may exit. exitDue is
// closed when the process has to exit.
func (n *Node) relay(ctx context.Context, l *handover.Link, exitDue <-chan struct{}) (outcomes []callResult, stopped bool) {
	linkClosed := make(chan struct{})
	results := make(chan handover.CommandResult)
	cancels := make(chan handover.Attempt)
	go func() { // ends when the link is closed, below
		defer close(linkClosed)
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
			case f.CommandResult != nil:
				results <- *f.CommandResult
			}
		}
	}()
	defer func() {
		l.Close()
		for {
			select {
			case <-cancels:
			case <-results:
			case <-linkClosed:
				return
			}
		}
	}()
	// The sender of this process does not know the reported outcomes, and the successor may end before it acts on them.
	var reported, unreported []callResult
	forwarded := map[int]operatorCommand{}
	lastNumber := 0
	tick := time.NewTicker(handover.LockRetryInterval)
	defer tick.Stop()
	for {
		select {
		case e := <-n.events:
			switch e := e.(type) {
			case submission:
				e.reply <- ingress.Answer{HandedOver: true}
			case callResult:
				if l.Send(handover.Frame{CallResult: &handover.CallResult{
					Attempt: handover.Attempt{MessageID: e.messageID, Number: e.attempt}, Endpoint: e.endpoint.ID, Outcome: e.Outcome, RetryAfter: e.RetryAfter, Took: e.took,
					NoSlot: e.NoSlot, MessageDone: e.MessageDone, Reused: e.Reused, Report: e.Report,
				}}, -1) != nil {
					unreported = append(unreported, e)
				} else {
					reported = append(reported, e)
					delete(n.inFlight, e.attemptID)
				}
			case operatorCommand:
				lastNumber++
				if err := l.Send(handover.Frame{Command: &handover.Command{Number: lastNumber, Endpoint: e.endpoint, On: e.on}}, -1); err != nil {
					e.done <- admin.ErrNotServing
				} else {
					forwarded[lastNumber] = e
				}
			}
		case c := <-cancels:
			if o, ok := n.inFlight[attemptID{c.MessageID, c.Number}]; ok {
				o.cancel()
			}
		case d := <-results:
			if o, ok := forwarded[d.Number]; ok {
				delete(forwarded, d.Number)
				switch {
				case d.Unknown:
					o.done <- admin.ErrUnknownEndpoint
				case d.Error != "":
					o.done <- errors.New(d.Error)
				default:
					o.done <- nil
				}
			}
		case <-linkClosed:
			for _, o := range forwarded {
				o.done <- admin.ErrNotServing
			}
			return slices.Concat(reported, unreported, n.cancelCalls(unreported)), ctx.Err() != nil
		case <-exitDue: // calls that are still in flight have had their time
			for _, o := range n.inFlight {
				o.cancel()
			}
			exitDue = nil
		case <-tick.C:
			if ctx.Err() != nil && len(n.inFlight) == 0 && (exitDue == nil || n.ingress.ConnCount() == 0) {
				return nil, true
			}
		}
	}
}

// cancelCalls cancels the calls in flight and waits for them. It returns their outcomes, except those in
// collected.
func (n *Node) cancelCalls(collected []callResult) (results []callResult) {
	for _, o := range n.inFlight {
		o.cancel()
	}
	for len(collected)+len(results) < len(n.inFlight) { // each cancelled call ends with an event
		switch e := (<-n.events).(type) {
		case callResult:
			results = append(results, e)
		case submission:
			e.reply <- ingress.Answer{HandedOver: true} // the connection stays here, and its request is submitted again
		case operatorCommand:
			e.done <- admin.ErrNotServing
		}
	}
	return results
}
