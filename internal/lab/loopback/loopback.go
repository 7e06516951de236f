// Package loopback runs a simulated day in real time, with real harrierramp processes on loopback sockets: processes
// are killed and restarted, journals are on disk, and the list and the notices go over their protocols. Partners,
// clients and faults come from the lab's model. The package connects to 127.0.0.0/8 only, runs no longer than the day,
// and terminates only the processes that it started. Traffic between nodes, and from nodes to endpoints, goes through
// relays, which inject zone partitions, machines that disappear, and blocked datagrams.
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
	// MaxNodes is the largest number of nodes in a run. Each node is a process, and each of its connections takes three
	// file descriptors in this process.
	MaxNodes = 100
	// MaxLength is the longest duration of arrivals in a run.
	MaxLength = 10 * time.Minute
	// readyTimeout is how long a node may take until it answers clients.
	readyTimeout = 15 * time.Second
)

// Options are the settings of a run that are not part of its day.
type Options struct {
	Program string    // path of the harrierramp binary
	Log     io.Writer // receives the logs of the processes; nil discards them
}

// run is the state of a day in progress.
type run struct {
	Options
	ctx         context.Context
	world       *model.World
	day         *model.Day
	nodes       []*node
	submissions sync.WaitGroup // messages being submitted to nodes

	block      *process.AddrBlock
	starter    *process.Starter
	network    *relay.Network
	zones      map[relay.Party]int
	faultTasks sync.WaitGroup // goroutines of injectNetworkFault

	mu                sync.Mutex
	servers           map[string]*endpointServer  // by endpoint
	parties           []relay.Party               // of the endpoints, in the order in which they were added
	unresponsiveRules map[string]*relay.FaultRule // faults of unresponsive endpoints, by endpoint
}

// Play runs a day and returns the result of the ledger, which checks the rules on all events.
func Play(ctx context.Context, day model.Day, o Options) (*judge.Result, error) {
	if n := len(day.Nodes); n < 1 || n > MaxNodes {
		return nil, fmt.Errorf("loopback: %d nodes: must be from 1 to %d", n, MaxNodes)
	}
	if day.Length > MaxLength {
		return nil, fmt.Errorf("loopback: day length %v exceeds the maximum of %v", day.Length, MaxLength)
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

// start opens the relays and the endpoint sockets, writes the configurations, starts the nodes and waits until all of
// them answer clients. The simulated run (day) begins only then.
func (r *run) start() error {
	var parties []relay.Party
	var faceAddrs, ownAddrs []string
	for _, n := range r.nodes {
		parties = append(parties, n.party)
		r.zones[n.party] = r.day.Nodes[n.index].Zone
		faceAddrs = append(faceAddrs, process.HostPort(r.block.FaceAddr(n.party), process.PeerPort))
		ownAddrs = append(ownAddrs, process.HostPort(r.block.OwnAddr(n.party), process.PeerPort))
	}
	if err := r.network.ListenUDP(parties, faceAddrs, ownAddrs); err != nil {
		return err
	}
	for _, e := range r.world.List() {
		if err := r.addEndpoint(e); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		if err := n.writeConfig(faceAddrs); err != nil {
			return err
		}
		n.Start()
	}
	for _, n := range r.nodes {
		for deadline := time.Now().Add(readyTimeout); !n.isServing(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) || r.ctx.Err() != nil {
				return fmt.Errorf("node %d does not answer clients", n.index)
			}
		}
	}
	return nil
}

// addEndpoint opens the socket of an endpoint and the relay in front of it, and adds the endpoint to the endpoint list
// of every node.
func (r *run) addEndpoint(e model.ListEntry) error {
	r.mu.Lock()
	party := relay.Party{Kind: relay.Partner, Index: len(r.parties)}
	r.parties = append(r.parties, party)
	r.zones[party] = e.Zone
	r.mu.Unlock()
	ownAddr, faceAddr := process.HostPort(r.block.OwnAddr(party), process.PartnerPort), process.HostPort(r.block.FaceAddr(party), process.PartnerPort)
	s, err := newEndpointServer(r, party, e.Endpoint, ownAddr)
	if err != nil {
		return err
	}
	s.faceAddr = faceAddr
	r.mu.Lock()
	r.servers[e.Endpoint] = s
	r.mu.Unlock()
	if err := r.network.ListenTCP(faceAddr, party, ownAddr); err != nil {
		return err
	}
	for _, n := range r.nodes {
		n.updateMember(e)
	}
	return nil
}

// server returns the server of an endpoint, or nil if there is none.
func (r *run) server(endpoint string) *endpointServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servers[endpoint]
}

// close kills the nodes, closes the relays and the endpoint sockets, and releases the block of addresses.
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

// injectNetworkFault applies a zone partition or blocked datagrams to the relays for the duration of the fault. The
// model handles all other kinds of faults.
func (r *run) injectNetworkFault(fault model.Fault) {
	if fault.Kind != model.ZonePartition && fault.Kind != model.DatagramsBlocked || !backoff.Sleep(r.ctx, fault.At) {
		return
	}
	from, to := relay.PartySet{}, relay.PartySet{}
	var rules []*relay.FaultRule
	r.mu.Lock()
	for p, zone := range r.zones {
		if fault.Kind == model.ZonePartition && zone == fault.Zone {
			from[p] = true
		} else if fault.Kind == model.ZonePartition {
			to[p] = true
		} else if p.Kind == relay.Node {
			from[p] = true
			to[p] = len(fault.Nodes) == 0 || slices.Contains(fault.Nodes, p.Index)
		}
	}
	r.mu.Unlock()
	rules = append(rules, r.network.AddFault(from, to, relay.Fault{ResetOnHeal: true}))
	if fault.Kind == model.ZonePartition {
		rules = append(rules, r.network.AddFault(to, from, relay.Fault{ResetOnHeal: true}))
	}
	backoff.Sleep(r.ctx, fault.Duration)
	for _, rule := range rules {
		r.network.RemoveFault(rule)
	}
}

// OutageChanged begins or ends the outage of an endpoint: a crash closes its socket, an unresponsive machine gets its
// traffic dropped by the relay. It implements model.EndpointObserver.
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

// EndpointAdded opens the socket of a new endpoint. It implements model.EndpointObserver.
func (r *run) EndpointAdded(endpoint string) {
	for _, e := range r.world.List() {
		if e.Endpoint == endpoint && r.server(endpoint) == nil {
			if err := r.addEndpoint(e); err != nil {
				fmt.Fprintf(r.Log, "loopback: %v\n", err)
			}
		}
	}
}

// memberPhases maps the phase of an endpoint to its name in the platform's list.
var memberPhases = map[choice.Phase]string{choice.Ready: "SERVING", choice.Draining: "DRAINING", choice.Removed: "DELETED"}
