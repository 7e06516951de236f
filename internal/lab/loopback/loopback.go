// Package loopback plays a day of the lab's model in real time, with real harrierramp processes on loopback sockets:
// real kills, real journals, the list and notices by protocol. The partners, clients and troubles are the model's own.
// It talks to 127.0.0.0/8 only, is bounded by the day, and ends the processes that it started and no others. Between nodes,
// and from nodes to endpoints, stand relays: zones that are cut off, machines that vanish and nodes that are deaf are
// played there.
package loopback

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/backoff"
	"harrierramp/internal/lab/judge"
	"harrierramp/internal/lab/model"
	"harrierramp/internal/lab/process"
	"harrierramp/internal/lab/relay"
)

const (
	// MaxNodes bounds a run: each node is a process, and each of its connections takes three descriptors here.
	MaxNodes = 100
	// MaxLength bounds a run's arrivals.
	MaxLength    = 10 * time.Minute
	readyTimeout = 15 * time.Second
)

// Options are what a run needs beside its day.
type Options struct {
	Program string    // harrierramp
	Log     io.Writer // of the processes; nil to drop it
}

// run is a day under way.
type run struct {
	Options
	ctx         context.Context
	world       *model.World
	day         *model.Day
	nodes       []*node
	submissions sync.WaitGroup

	block      *process.AddrBlock
	starter    *process.Starter
	network    *relay.Network
	zones      map[relay.Party]int
	faultTasks sync.WaitGroup

	mu                sync.Mutex
	servers           map[string]*endpointServer // by endpoint
	parties           []relay.Party              // of the endpoints
	unresponsiveRules map[string]*relay.FaultRule
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
	block, err := process.ReserveBlock()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("loopback: %w", err), os.RemoveAll(dir))
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &run{
		Options: o, ctx: ctx, day: &day, block: block, starter: process.NewStarter(), zones: map[relay.Party]int{},
		servers: map[string]*endpointServer{}, unresponsiveRules: map[string]*relay.FaultRule{},
	}
	r.network = relay.New(day.Seed, block.PartyAt, func(relay.Event) {})
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
	err = r.start()
	if err == nil {
		for _, t := range day.Faults {
			r.faultTasks.Go(func() { r.injectNetworkFault(t) })
		}
		err = r.world.RunRealTime(ctx)
	}
	cancel()
	r.faultTasks.Wait()
	r.submissions.Wait()
	err = errors.Join(err, r.close(), os.RemoveAll(dir))
	if err != nil {
		return nil, fmt.Errorf("loopback: %w", err)
	}
	return ledger.Result(), nil
}

// ready opens the ways and the sockets of the partners, writes the configurations, starts the nodes and waits until they
// serve: only then the day begins.
func (r *run) start() error {
	var parties []relay.Party
	var faces, owns []string
	for _, n := range r.nodes {
		parties = append(parties, n.party)
		r.zones[n.party] = r.day.Nodes[n.index].Zone
		faces = append(faces, process.HostPort(r.block.FaceAddr(n.party), process.PeerPort))
		owns = append(owns, process.HostPort(r.block.OwnAddr(n.party), process.PeerPort))
	}
	if err := r.network.ListenUDP(parties, faces, owns); err != nil {
		return err
	}
	for _, e := range r.world.List() {
		if err := r.addEndpoint(e); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		if err := n.writeConfig(faces); err != nil {
			return err
		}
		n.Start()
	}
	for _, n := range r.nodes {
		for end := time.Now().Add(readyTimeout); !n.isServing(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) || r.ctx.Err() != nil {
				return fmt.Errorf("node %d does not serve", n.index)
			}
		}
	}
	return nil
}

// open opens the socket of an endpoint and its face, and tells all nodes of it.
func (r *run) addEndpoint(e model.ListEntry) error {
	r.mu.Lock()
	p := relay.Party{Kind: relay.Partner, Index: len(r.parties)}
	r.parties = append(r.parties, p)
	r.zones[p] = e.Zone
	r.mu.Unlock()
	own, face := process.HostPort(r.block.OwnAddr(p), process.PartnerPort), process.HostPort(r.block.FaceAddr(p), process.PartnerPort)
	s, err := newEndpointServer(r, p, e.Endpoint, own)
	if err != nil {
		return err
	}
	s.faceAddr = face
	r.mu.Lock()
	r.servers[e.Endpoint] = s
	r.mu.Unlock()
	if err := r.network.ListenTCP(face, p, own); err != nil {
		return err
	}
	for _, n := range r.nodes {
		n.updateMember(e)
	}
	return nil
}

func (r *run) server(endpoint string) *endpointServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servers[endpoint]
}

func (r *run) close() error {
	var errs []error
	for _, n := range r.nodes {
		errs = append(errs, n.close())
	}
	r.network.Close()
	for _, s := range r.servers {
		s.close()
	}
	r.starter.Close()
	return errors.Join(append(errs, r.block.Release())...)
}

// impair plays the troubles of the network that the model leaves to the ways.
func (r *run) injectNetworkFault(t model.Fault) {
	if t.Kind != model.ZonePartition && t.Kind != model.DatagramsBlocked || !backoff.Sleep(r.ctx, t.At) {
		return
	}
	from, to := relay.PartySet{}, relay.PartySet{}
	var rules []*relay.FaultRule
	r.mu.Lock()
	for p, zone := range r.zones {
		if t.Kind == model.ZonePartition && zone == t.Zone {
			from[p] = true
		} else if t.Kind == model.ZonePartition {
			to[p] = true
		} else if p.Kind == relay.Node {
			from[p] = true
			to[p] = len(t.Nodes) == 0 || slices.Contains(t.Nodes, p.Index)
		}
	}
	r.mu.Unlock()
	rules = append(rules, r.network.AddFault(from, to, relay.Fault{ResetOnHeal: true}))
	if t.Kind == model.ZonePartition {
		rules = append(rules, r.network.AddFault(to, from, relay.Fault{ResetOnHeal: true}))
	}
	backoff.Sleep(r.ctx, t.Duration)
	for _, rule := range rules {
		r.network.RemoveFault(rule)
	}
}

// Struck takes an endpoint's machine away or its process down, and back. (model.Sockets)
func (r *run) OutageChanged(endpoint, kind string, down bool) {
	s := r.server(endpoint)
	if s == nil {
		return
	}
	switch kind {
	case model.Crash:
		s.setDown(down)
		if err := r.network.SetDown(s.party, down); err != nil {
			fmt.Fprintf(r.Log, "loopback: endpoint %s: %v\n", endpoint, err)
		}
	case model.Unresponsive:
		r.mu.Lock()
		defer r.mu.Unlock()
		if rule := r.unresponsiveRules[endpoint]; rule != nil {
			r.network.RemoveFault(rule)
			delete(r.unresponsiveRules, endpoint)
		}
		if down {
			from := relay.PartySet{}
			for _, n := range r.nodes {
				from[n.party] = true
			}
			r.unresponsiveRules[endpoint] = r.network.AddFault(from, relay.PartySet{s.party: true}, relay.Fault{ResetOnHeal: true})
		}
	}
}

// Opened opens the socket of a new endpoint. (model.Sockets)
func (r *run) EndpointAdded(endpoint string) {
	for _, e := range r.world.List() {
		if e.Endpoint == endpoint && r.server(endpoint) == nil {
			if err := r.addEndpoint(e); err != nil {
				fmt.Fprintf(r.Log, "loopback: %v\n", err)
			}
		}
	}
}

var memberPhases = map[choice.Phase]string{choice.Ready: "SERVING", choice.Draining: "DRAINING", choice.Removed: "DELETED"}
