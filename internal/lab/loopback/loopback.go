// Package loopback plays a day of the lab's model in real time, with real harrierramp processes on loopback sockets:
// real kills, real journals, the list and notices by protocol. The partners, clients and troubles are the model's own.
// It talks to 127.0.0.1 only, is bounded by the day, and ends the processes that it started and no others. Datagrams
// between nodes go directly from one to the other; cut zones and deaf nodes are not played.
package loopback

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/lab/judge"
	"harrierramp/internal/lab/model"
)

const (
	// MaxNodes bounds a run: each node is a process, with an address of its own for each endpoint.
	MaxNodes = 16
	// MaxLength bounds a run's arrivals.
	MaxLength = 10 * time.Minute
	readyWait = 15 * time.Second
)

// Options are what a run needs beside its day.
type Options struct {
	Program string    // harrierramp
	Log     io.Writer // of the processes; nil to drop it
}

// run is a day under way.
type run struct {
	Options
	ctx   context.Context
	world *model.World
	day   *model.Day
	nodes []*node
	hands sync.WaitGroup
}

// Play plays a day and returns what the ledger says of it.
func Play(ctx context.Context, day model.Day, o Options) (*judge.Result, error) {
	if n := len(day.Nodes); n < 1 || n > MaxNodes {
		return nil, fmt.Errorf("loopback: %d nodes: from 1 to %d", n, MaxNodes)
	}
	if day.Length > MaxLength {
		return nil, fmt.Errorf("loopback: a day of %v: %v at most", day.Length, MaxLength)
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	dir, err := os.MkdirTemp("", "harrierlab-")
	if err != nil {
		return nil, fmt.Errorf("loopback: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &run{Options: o, ctx: ctx, day: &day}
	ledger := judge.New(&day)
	var remotes []model.Remote
	for i := range day.Nodes {
		n, err := newNode(r, i, filepath.Join(dir, fmt.Sprintf("n%d", i)))
		if err != nil {
			cancel()
			return nil, errors.Join(fmt.Errorf("loopback: %w", err), r.close(), os.RemoveAll(dir))
		}
		r.nodes = append(r.nodes, n)
		remotes = append(remotes, n)
	}
	r.world = model.NewRemote(day, remotes, r, ledger)
	err = r.ready()
	if err == nil {
		err = r.world.RunReal(ctx)
	}
	cancel()
	r.hands.Wait()
	err = errors.Join(err, r.close(), os.RemoveAll(dir))
	if err != nil {
		return nil, fmt.Errorf("loopback: %w", err)
	}
	return ledger.Result(), nil
}

// ready opens the sockets of the partners, writes the configurations, starts the nodes and waits until they serve:
// only then the day begins.
func (r *run) ready() error {
	var peers []string
	for _, n := range r.nodes {
		peers = append(peers, n.peerAddr)
	}
	for _, n := range r.nodes {
		for _, e := range r.world.List() {
			if err := n.open(e); err != nil {
				return err
			}
		}
		if err := n.configure(peers); err != nil {
			return err
		}
		n.Begin()
	}
	for _, n := range r.nodes {
		for end := time.Now().Add(readyWait); !n.serves(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) || r.ctx.Err() != nil {
				return fmt.Errorf("node %d does not serve", n.n)
			}
		}
	}
	return nil
}

func (r *run) close() error {
	var errs []error
	for _, n := range r.nodes {
		errs = append(errs, n.close())
	}
	return errors.Join(errs...)
}

// Struck opens and shuts an endpoint's sockets. (model.Sockets)
func (r *run) Struck(endpoint, kind string, down bool) {
	if kind != model.Crash {
		return
	}
	for _, n := range r.nodes {
		n.sockets[endpoint].refuse(down)
	}
}

// Opened opens the sockets of a new endpoint. (model.Sockets)
func (r *run) Opened(endpoint string) {
	for _, e := range r.world.List() {
		if e.Endpoint != endpoint {
			continue
		}
		for _, n := range r.nodes {
			if n.sockets[endpoint] == nil {
				if err := n.open(e); err != nil {
					fmt.Fprintf(r.Log, "loopback: %v\n", err)
				}
			}
		}
	}
}

// listen opens a free port of loopback.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

var phases = map[choice.Phase]string{choice.Ready: "SERVING", choice.Draining: "DRAINING", choice.Gone: "DELETED"}
