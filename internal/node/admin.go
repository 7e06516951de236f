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

// The methods that package admin uses. They may be called from any goroutine.

// NotReadyReason returns why this process does not accept messages. It is empty if the process owns the node,
// serves, has a list and is not fenced.
func (n *Node) NotReadyReason() string {
	if !n.serving.Load() || n.handingOver.Load() {
		return admin.ErrNotServing.Error()
	}
	return n.unavailableReason()
}

// Stats returns the metrics as StatsD lines.
func (n *Node) Stats() []byte { return n.metrics.StatsD() }

// WriteMetrics writes the metrics to w in the Prometheus text format.
func (n *Node) WriteMetrics(w io.Writer) error { return n.metrics.WriteMetrics(w) }

// SetLogLevel sets the minimum level that is logged, from debug to error, until the process ends.
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

// Members returns the node's view of the fleet.
func (n *Node) Members(ctx context.Context) (*admin.MembershipView, error) {
	if n.cfg.Membership == nil {
		return nil, admin.ErrMembershipDisabled
	}
	if !n.serving.Load() {
		return nil, admin.ErrNotServing
	}
	query := membersQuery{make(chan *admin.MembershipView, 1)}
	n.enqueue(ctx, query)
	select {
	case v := <-query.reply:
		if v == nil {
			return nil, admin.ErrPeerSocketUnavailable
		}
		return v, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// DisableEndpoint stops calls to an endpoint until EnableEndpoint is called. It returns once that is in effect.
func (n *Node) DisableEndpoint(ctx context.Context, endpoint string) error {
	return n.submitCommand(ctx, operatorCommand{endpoint: endpoint, on: true})
}

// EnableEndpoint allows calls to an endpoint again.
func (n *Node) EnableEndpoint(ctx context.Context, endpoint string) error {
	return n.submitCommand(ctx, operatorCommand{endpoint: endpoint})
}

// SetDraining turns clients away, or accepts them again.
func (n *Node) SetDraining(ctx context.Context, on bool) error {
	return n.submitCommand(ctx, operatorCommand{on: on})
}

// submitCommand passes a command to the loop and waits until it is in effect.
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

// ServeAdmin serves the admin API on ln until the returned function is called.
func (n *Node) ServeAdmin(ln net.Listener) (stop func()) {
	d := admin.NewServer(ln, n, n.log, n.inputScheduler, n.division.OperatorConns)
	var serving sync.WaitGroup
	serving.Go(d.Serve)
	return func() {
		d.Close()
		serving.Wait()
	}
}
