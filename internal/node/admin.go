package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"

	"harrierramp/internal/admin"
	"harrierramp/internal/logging"
)

// The node as the door sees it; all of these are called from any goroutine.

// NotReady says why this process does not take messages; empty if it owns the node, serves, and has a list.
func (n *Node) NotReadyReason() string {
	if !n.serving.Load() {
		return admin.ErrNotServing.Error()
	}
	return n.unavailableReason()
}

// Stats are the figures as StatsD lines.
func (n *Node) Stats() []byte { return n.metrics.StatsD() }

// WriteMetrics writes the figures in the Prometheus text format.
func (n *Node) WriteMetrics(w io.Writer) error { return n.metrics.WriteMetrics(w) }

// SetLogLevel sets the least level that is logged, from debug to error, until the process ends.
func (n *Node) SetLogLevel(name string) error {
	if n.Level == nil || name == "" {
		return admin.ErrUnknownLogLevel
	}
	if err := logging.SetLevel(n.Level, name); err != nil {
		return fmt.Errorf("%w: %w", admin.ErrUnknownLogLevel, err)
	}
	n.log.Warn("log_level_set", "level", name)
	return nil
}

// Members asks the loop who is there.
func (n *Node) Members(ctx context.Context) (*admin.MembershipView, error) {
	if n.cfg.Membership == nil {
		return nil, admin.ErrMembershipDisabled
	}
	if !n.serving.Load() {
		return nil, admin.ErrNotServing
	}
	ask := membersQuery{make(chan *admin.MembershipView, 1)}
	n.enqueue(ctx, ask)
	select {
	case v := <-ask.reply:
		if v == nil {
			return nil, admin.ErrPeerSocketUnavailable
		}
		return v, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Disable takes an endpoint out until Enable, and returns once that holds.
func (n *Node) DisableEndpoint(ctx context.Context, endpoint string) error {
	return n.submitCommand(ctx, operatorCommand{endpoint: endpoint, on: true})
}

// Enable puts an endpoint back.
func (n *Node) EnableEndpoint(ctx context.Context, endpoint string) error {
	return n.submitCommand(ctx, operatorCommand{endpoint: endpoint})
}

// Drain sends clients away, or takes them again.
func (n *Node) SetDraining(ctx context.Context, on bool) error {
	return n.submitCommand(ctx, operatorCommand{on: on})
}

// tellOrder hands an order to the loop and waits until it holds.
func (n *Node) submitCommand(ctx context.Context, o operatorCommand) error {
	if !n.serving.Load() && !n.handedOver.Load() {
		return admin.ErrNotServing
	}
	o.done = make(chan error, 1)
	n.enqueue(ctx, o)
	select {
	case err := <-o.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ServeOperators answers operators on ln until the function that it returns is called.
func (n *Node) ServeAdmin(ln net.Listener) (stop func()) {
	d := admin.NewServer(ln, n, n.log)
	var serving sync.WaitGroup
	serving.Go(d.Serve)
	return func() {
		d.Close()
		serving.Wait()
	}
}
