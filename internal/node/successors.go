package node

import (
	"context"
	"errors"
	"net"
	"time"

	"harrierramp/internal/backoff"
	"harrierramp/internal/fairqueue"
	"harrierramp/internal/handover"
)

const (
	successorRequestTimeout = 500 * time.Millisecond // for a connected process to send its request
	successorConnCost       = 100 * time.Microsecond // processor time to accept a connection, read a request and close
)

// acceptSuccessors passes each process that asks to take over the node to the loop, until ln is closed.
func (n *Node) acceptSuccessors(ctx context.Context, ln *net.UnixListener) {
	turn := n.inputScheduler.NewFlow()
	turn.SetClass(fairqueue.Accepting)
	for {
		nc, err := ln.AcceptUnix()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || !backoff.Sleep(ctx, backoff.InitialDelay) {
				return
			}
			continue
		}
		turn.Spend(successorConnCost)
		l := &handover.Link{Conn: nc}
		if err := nc.SetReadDeadline(time.Now().Add(successorRequestTimeout)); err == nil {
			var f handover.Frame
			if f, err = l.ReceiveRequest(); err == nil && f.Ask && nc.SetReadDeadline(time.Time{}) == nil {
				select {
				case n.handoverRequests <- l:
					continue
				case <-ctx.Done():
				}
			}
		}
		l.Close()
	}
}
