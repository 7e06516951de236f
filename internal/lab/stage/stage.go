// Package stage runs a whole fleet on one machine and tests it under faults. It starts real list servers and real nodes
// on loopback, stand-in partners and clients, and puts a relay on every path between them. A script or a test says
// which processes crash or pause and which paths fail. One run of a script is called a play.
//
// The stage judges the fleet from outside, by what clients, partners and relays observe. It connects only to
// 127.0.0.0/8 and bounds the number of processes and the duration. It ends the processes that it started and no others,
// even if the stage itself is killed.
package stage

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"harrierramp/internal/lab/process"
	"harrierramp/internal/lab/relay"
	"harrierramp/internal/partner"
)

// Options are the settings of a stage that are not part of its script.
type Options struct {
	Program    string    // path of the harrierramp binary
	Env        []string  // added to this process's environment for all processes of the stage
	Dir        string    // holds state folders and logs, and is kept; if empty, a temporary folder is used and removed
	Output     io.Writer // receives a line for each action and fault; may be nil
	ServerArgs []string  // additional arguments of each list server
	NodeArgs   []string  // additional arguments of each node
}

// Stage is a fleet of processes on loopback, with relays between them. Open and Close are called from one goroutine;
// the other methods may be called from many.
type Stage struct {
	script  Script
	options Options
	dir     string
	addrs   *process.AddrBlock
	net     *relay.Network
	starter *process.Starter
	ledger  *ledger
	nodes   []*process.Process
	servers []*process.Process
	wg      sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc

	mu         sync.Mutex
	partners   []*registeredPartner
	marks      []Mark
	errs       []error
	rng        *rand.Rand
	noticeSeqs []int64 // sequence number of the last notice read from each list server
}

// registeredPartner is a stand-in partner that renews its lease at the list service.
type registeredPartner struct {
	partner      *partner.Partner
	instance     partner.Instance
	client       *http.Client
	deregister   context.CancelFunc // nil while the partner is not to be in the list
	deregistered chan struct{}      // closed when the deregistration is finished
}

// Open sets up a stage: it reserves the addresses, opens the faces and starts the partners. A face is the address by
// which other parties reach a party, through the relay. Nodes and list servers are not started yet.
func Open(ctx context.Context, s Script, options Options) (st *Stage, err error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("stage: %w", err)
	}
	judgeDay, err := s.judgeDay()
	if err != nil {
		return nil, fmt.Errorf("stage: %w", err)
	}
	st = &Stage{script: s, options: options, dir: options.Dir, rng: rand.New(rand.NewPCG(s.Seed, 1)), noticeSeqs: make([]int64, s.Servers)}
	if st.dir == "" {
		st.dir, err = os.MkdirTemp("", "harrierlab-stage-")
	} else {
		err = os.MkdirAll(st.dir, 0o700)
	}
	if err != nil {
		return nil, fmt.Errorf("stage: %w", err)
	}
	if st.addrs, err = process.ReserveBlock(); err != nil {
		return nil, errors.Join(err, st.removeTempDir())
	}
	st.ctx, st.cancel = context.WithCancel(ctx)
	st.ledger = newLedger(&st.script, judgeDay, time.Now())
	st.net = relay.New(s.Seed, st.addrs.PartyAt, st.ledger.relayEvent)
	st.starter = process.NewStarter()
	if err := st.prepareFleet(); err != nil {
		return nil, errors.Join(fmt.Errorf("stage: %w", err), st.Close())
	}
	return st, nil
}

// prepareFleet opens the faces, prepares the processes of nodes and list servers, and starts the partners.
func (st *Stage) prepareFleet() error {
	var parties []relay.Party
	var faces, ownAddrs []string
	for i := range st.script.Nodes {
		p := relay.Party{Kind: relay.Node, Index: i}
		parties = append(parties, p)
		faces, ownAddrs = append(faces, process.HostPort(st.addrs.FaceAddr(p), process.PeerPort)), append(ownAddrs, process.HostPort(st.addrs.OwnAddr(p), process.PeerPort))
		raw, err := st.nodeConfig(i)
		if err != nil {
			return err
		}
		file := filepath.Join(st.dir, p.String()+".json")
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			return err
		}
		proc, err := st.newProcess(p, append([]string{"serve", "--config", file, "--state", filepath.Join(st.dir, p.String())}, st.options.NodeArgs...))
		if err != nil {
			return err
		}
		st.nodes = append(st.nodes, proc)
	}
	if st.script.Node.PeerDatagrams {
		if err := st.net.ListenUDP(parties, faces, ownAddrs); err != nil {
			return err
		}
	}
	for i := range st.script.Servers {
		p := relay.Party{Kind: relay.Server, Index: i}
		if err := st.net.ListenTCP(process.HostPort(st.addrs.FaceAddr(p), process.ListPort), p, process.HostPort(st.addrs.OwnAddr(p), process.ListPort)); err != nil {
			return err
		}
		proc, err := st.newProcess(p, st.serverArgs(i))
		if err != nil {
			return err
		}
		st.servers = append(st.servers, proc)
	}
	executions := partner.NewLedger()
	for d, spec := range st.script.Dests {
		for k := range spec.Endpoints {
			if err := st.startPartner(d, k, spec, executions); err != nil {
				return err
			}
		}
	}
	return nil
}

func (st *Stage) newProcess(p relay.Party, args []string) (*process.Process, error) {
	state := filepath.Join(st.dir, p.String())
	if err := os.MkdirAll(state, 0o700); err != nil {
		return nil, err
	}
	return &process.Process{
		Name: p.String(), Starter: st.starter, Program: st.options.Program, Args: args, Env: st.options.Env, StateDir: state, LogPath: state + ".log",
		OnCrash: st.ledger.processCrashed,
	}, nil
}

// startPartner starts partner n of a destination on its own address, and opens its face.
func (st *Stage) startPartner(dest, n int, spec DestSpec, executions *partner.Ledger) error {
	p := relay.Party{Kind: relay.Partner, Index: len(st.partners)}
	ownAddr := process.HostPort(st.addrs.OwnAddr(p), process.PartnerPort)
	cfg := partner.Config{
		ID: endpointID(dest, n), Rate: spec.Rate, Burst: spec.Burst, Latency: spec.Latency.Duration(), Listen: ownAddr, MaxConns: spec.Connections,
	}
	cfg.OnEvent = func(s partner.Event) { st.ledger.partnerEvent(st.nodeAt(s.PeerAddr), s) }
	if spec.Cold {
		c := st.ledger.day.Settings
		cfg.ColdStart = partner.ColdStart{InitialShare: c.ColdCapacity, OverloadFactor: c.OverloadMultiple, WarmUpTime: c.WarmUpTime, OverloadWindow: c.OverloadDuration, Downtime: 2 * time.Second}
	}
	started, err := partner.Start(cfg, executions)
	if err != nil {
		return err
	}
	source := &net.TCPAddr{IP: net.IP(st.addrs.OwnAddr(p).AsSlice())}
	face := process.HostPort(st.addrs.FaceAddr(p), process.PartnerPort)
	st.partners = append(st.partners, &registeredPartner{
		partner: started, instance: partner.Instance{ID: cfg.ID, Addr: face, Zone: "a", Kind: "partner", Dest: dest, Size: max(spec.Rate, 1)},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{LocalAddr: source}).DialContext}},
	})
	return st.net.ListenTCP(face, p, ownAddr)
}

// nodeAt returns the number of the node that an address belongs to, or -1 if it is not a node's address.
func (st *Stage) nodeAt(hostPort string) int {
	if a, err := net.ResolveTCPAddr("tcp4", hostPort); err == nil {
		if p, ok := st.addrs.PartyAt(a.AddrPort().Addr().Unmap()); ok && p.Kind == relay.Node {
			return p.Index
		}
	}
	return -1
}

// SetListed registers a partner at the list service, or deregisters it. It does not wait for the result.
func (st *Stage) SetListed(n int, listed bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	x := st.partners[n]
	if listed == (x.deregister != nil) {
		return
	}
	if !listed {
		x.deregister()
		x.deregister = nil
		return
	}
	var servers []string
	for i := range st.script.Servers {
		servers = append(servers, process.HostPort(st.addrs.FaceAddr(relay.Party{Kind: relay.Server, Index: i}), process.ListPort))
	}
	ctx, deregister := context.WithCancel(st.ctx)
	previous, deregistered := x.deregistered, make(chan struct{})
	x.deregister, x.deregistered = deregister, deregistered
	st.wg.Go(func() {
		defer close(deregistered)
		if previous != nil {
			<-previous
		}
		st.ledger.setWithdrawn(x.instance.ID, false)
		partner.KeepRegistered(ctx, x.client, servers, x.instance)
		st.ledger.setWithdrawn(x.instance.ID, true)
		x.client.CloseIdleConnections()
	})
}

// process returns the process of a node or list server. It returns nil for partners, which run inside the stage.
func (st *Stage) process(p relay.Party) *process.Process {
	switch p.Kind {
	case relay.Node:
		return st.nodes[p.Index]
	case relay.Server:
		return st.servers[p.Index]
	}
	return nil
}

// AddFault applies a fault to the paths from one group to another until the returned function is called.
func (st *Stage) AddFault(from, to []relay.Party, f relay.Fault) (remove func()) {
	hasServer := func(group []relay.Party) bool {
		return slices.ContainsFunc(group, func(p relay.Party) bool { return p.Kind == relay.Server })
	}
	if hasServer(from) || hasServer(to) {
		st.ledger.allowLateNotices()
	}
	r := st.net.AddFault(partySet(from), partySet(to), f)
	return func() { st.net.RemoveFault(r) }
}

func partySet(group []relay.Party) relay.PartySet {
	out := relay.PartySet{}
	for _, p := range group {
		out[p] = true
	}
	return out
}

// Start starts a process unless it is running.
func (st *Stage) Start(p relay.Party) error {
	proc := st.process(p)
	if p.Kind == relay.Node && !proc.Running() {
		st.ledger.nodeStarted(p.Index)
	}
	return proc.Start()
}

// Kill sends SIGKILL to a process and waits until it has ended.
func (st *Stage) Kill(p relay.Party) error {
	err := st.process(p).Kill()
	st.recordExit(p)
	return err
}

// Stop asks a process to terminate, and waits until it has ended.
func (st *Stage) Stop(p relay.Party) error {
	err := st.process(p).Stop()
	st.recordExit(p)
	return err
}

// recordExit records that a process has ended. The face of a list server stays open, so that requests sent while the
// server is down are still counted.
func (st *Stage) recordExit(p relay.Party) {
	if p.Kind == relay.Node {
		st.ledger.nodeDied(p.Index)
	} else {
		st.ledger.allowLateNotices()
	}
}

// SetPaused pauses a process with SIGSTOP, or resumes it.
func (st *Stage) SetPaused(p relay.Party, paused bool) error {
	if paused && p.Kind == relay.Server {
		st.ledger.allowLateNotices()
	}
	return st.process(p).SetPaused(paused)
}

// SetDiskFull makes writes of a process fail as on a full disk, or lets them succeed again.
func (st *Stage) SetDiskFull(p relay.Party, full bool) error { return st.process(p).SetDiskFull(full) }

// ClearState deletes the state folder's contents of a process that is not running.
func (st *Stage) ClearState(p relay.Party) error { return st.process(p).ClearState() }

// CorruptFile corrupts a state file of a process that is not running, at an offset drawn from the script's seed.
func (st *Stage) CorruptFile(p relay.Party, file string) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.process(p).CorruptFile(file, st.rng)
}

// SetRefusing makes a partner refuse every call, or accept calls again with cold capacity.
func (st *Stage) SetRefusing(n int, refusing bool) { st.partners[n].partner.SetRefusing(refusing) }

// ClientAddr is the address where a node accepts clients.
func (st *Stage) ClientAddr(n int) string {
	return process.HostPort(st.addrs.OwnAddr(relay.Party{Kind: relay.Node, Index: n}), process.ClientPort)
}

// AdminAddr is the address of a node's admin endpoint. It is served only if the script sets node.door.
func (st *Stage) AdminAddr(n int) string {
	return process.HostPort(st.addrs.OwnAddr(relay.Party{Kind: relay.Node, Index: n}), process.NodeAdminPort)
}

// recordMark records an action or fault at the current time, and prints it to Options.Output.
func (st *Stage) recordMark(text string) {
	m := Mark{st.ledger.now(), text}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.marks = append(st.marks, m)
	if st.options.Output != nil {
		fmt.Fprintf(st.options.Output, "%8.3f s  %s\n", m.At.Seconds(), text)
	}
}

func (st *Stage) recordError(err error) {
	if err == nil {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.errs = append(st.errs, err)
}

// Close ends everything that the stage started, and returns the errors of actions and of closing.
func (st *Stage) Close() error {
	st.cancel()
	st.wg.Wait()
	var killing sync.WaitGroup
	for _, p := range slices.Concat(st.nodes, st.servers) {
		killing.Go(func() { st.recordError(p.Kill()) })
	}
	killing.Wait()
	st.net.Close()
	for _, x := range st.partners {
		x.partner.Close()
		x.client.CloseIdleConnections()
	}
	st.starter.Close()
	return errors.Join(errors.Join(st.errs...), st.addrs.Release(), st.removeTempDir())
}

func (st *Stage) removeTempDir() error {
	if st.options.Dir != "" {
		return nil
	}
	return os.RemoveAll(st.dir)
}
