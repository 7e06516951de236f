// Package stage plays what many processes do together when some break, stall or lose contact: real list servers and
// real nodes on loopback, stand-in partners, clients, and a relay on every way between them, with faults by a script or
// by a test.
//
// The stage judges from outside, by what clients, partners and relays have seen. It talks to 127.0.0.0/8 only, is
// bounded in processes and time, and ends what it has started and nothing else, also when it is killed itself.
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

// Options are what a stage needs beside its script.
type Options struct {
	Program    string    // harrierramp
	Env        []string  // of its processes, beside this one's
	Dir        string    // where folders and logs stand, and stay; empty for a folder that goes with the stage
	Output     io.Writer // told what is done; nil for nobody
	ServerArgs []string  // more arguments of list servers
	NodeArgs   []string  // and of nodes
}

// Stage is a fleet that is set up. One goroutine opens and closes it; the rest may be called from many.
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
	noticeSeqs []int64 // of the notices read at each list server
}

// listedPartner is a partner with its lease at the list service.
type registeredPartner struct {
	partner      *partner.Partner
	instance     partner.Instance
	client       *http.Client
	deregister   context.CancelFunc // nil while it is not in the list
	deregistered chan struct{}      // closed when it has left
}

// Open sets a stage up: all addresses are held and all faces open, and nothing is started yet but partners.
func Open(ctx context.Context, s Script, o Options) (st *Stage, err error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("stage: %w", err)
	}
	day, err := s.judgeDay()
	if err != nil {
		return nil, fmt.Errorf("stage: %w", err)
	}
	st = &Stage{script: s, options: o, dir: o.Dir, rng: rand.New(rand.NewPCG(s.Seed, 1)), noticeSeqs: make([]int64, s.Servers)}
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
	st.ledger = newLedger(&st.script, day, time.Now())
	st.net = relay.New(s.Seed, st.addrs.PartyAt, st.ledger.relayEvent)
	st.starter = process.NewStarter()
	if err := st.prepareFleet(); err != nil {
		return nil, errors.Join(fmt.Errorf("stage: %w", err), st.Close())
	}
	return st, nil
}

// build opens the faces, and prepares the processes.
func (st *Stage) prepareFleet() error {
	var parties []relay.Party
	var faces, owns []string
	for i := range st.script.Nodes {
		p := relay.Party{Kind: relay.Node, Index: i}
		parties = append(parties, p)
		faces, owns = append(faces, process.HostPort(st.addrs.FaceAddr(p), process.PeerPort)), append(owns, process.HostPort(st.addrs.OwnAddr(p), process.PeerPort))
		raw, err := st.nodeConfig(i)
		if err != nil {
			return err
		}
		file := filepath.Join(st.dir, p.String()+".json")
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			return err
		}
		x, err := st.newProcess(p, append([]string{"serve", "--config", file, "--state", filepath.Join(st.dir, p.String())}, st.options.NodeArgs...))
		if err != nil {
			return err
		}
		st.nodes = append(st.nodes, x)
	}
	if st.script.Node.PeerDatagrams {
		if err := st.net.ListenUDP(parties, faces, owns); err != nil {
			return err
		}
	}
	for i := range st.script.Servers {
		p := relay.Party{Kind: relay.Server, Index: i}
		if err := st.net.ListenTCP(process.HostPort(st.addrs.FaceAddr(p), process.ListPort), p, process.HostPort(st.addrs.OwnAddr(p), process.ListPort)); err != nil {
			return err
		}
		x, err := st.newProcess(p, st.serverArgs(i))
		if err != nil {
			return err
		}
		st.servers = append(st.servers, x)
	}
	shared := partner.NewLedger()
	for d, spec := range st.script.Dests {
		for k := range spec.Endpoints {
			if err := st.startPartner(d, k, spec, shared); err != nil {
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

// openPartner starts a partner on its own address, and opens its face.
func (st *Stage) startPartner(dest, n int, spec DestSpec, shared *partner.Ledger) error {
	p := relay.Party{Kind: relay.Partner, Index: len(st.partners)}
	own := process.HostPort(st.addrs.OwnAddr(p), process.PartnerPort)
	cfg := partner.Config{
		ID: endpointID(dest, n), Rate: spec.Rate, Burst: spec.Burst, Latency: spec.Latency.Duration(), Listen: own, MaxConns: spec.Connections,
	}
	cfg.OnEvent = func(s partner.Event) { st.ledger.partnerEvent(st.nodeAt(s.PeerAddr), s) }
	if spec.Cold {
		c := st.ledger.day.Settings
		cfg.ColdStart = partner.ColdStart{InitialShare: c.ColdCapacity, OverloadFactor: c.OverloadMultiple, WarmUpTime: c.WarmUpTime, OverloadWindow: c.OverloadDuration, Downtime: 2 * time.Second}
	}
	one, err := partner.Start(cfg, shared)
	if err != nil {
		return err
	}
	source := &net.TCPAddr{IP: net.IP(st.addrs.OwnAddr(p).AsSlice())}
	face := process.HostPort(st.addrs.FaceAddr(p), process.PartnerPort)
	st.partners = append(st.partners, &registeredPartner{
		partner: one, instance: partner.Instance{ID: cfg.ID, Addr: face, Zone: "a", Kind: "partner", Dest: dest, Size: max(spec.Rate, 1)},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{LocalAddr: source}).DialContext}},
	})
	return st.net.ListenTCP(face, p, own)
}

// nodeOf is the number of the node that an address is of, -1 for none.
func (st *Stage) nodeAt(hostPort string) int {
	if a, err := net.ResolveTCPAddr("tcp4", hostPort); err == nil {
		if p, ok := st.addrs.PartyAt(a.AddrPort().Addr().Unmap()); ok && p.Kind == relay.Node {
			return p.Index
		}
	}
	return -1
}

// List puts a partner into the list, or takes it out. It returns at once.
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
	ctx, leave := context.WithCancel(st.ctx)
	before, left := x.deregistered, make(chan struct{})
	x.deregister, x.deregistered = leave, left
	st.wg.Go(func() {
		defer close(left)
		if before != nil {
			<-before
		}
		st.ledger.setWithdrawn(x.instance.ID, false)
		partner.KeepRegistered(ctx, x.client, servers, x.instance)
		st.ledger.setWithdrawn(x.instance.ID, true)
		x.client.CloseIdleConnections()
	})
}

// of is the process of a party; nil for partners, which are none.
func (st *Stage) process(p relay.Party) *process.Process {
	switch p.Kind {
	case relay.Node:
		return st.nodes[p.Index]
	case relay.Server:
		return st.servers[p.Index]
	}
	return nil
}

// Impair puts a fault on the ways between two groups until the function that it returns is called.
func (st *Stage) AddFault(from, to []relay.Party, f relay.Fault) (lift func()) {
	touches := func(all []relay.Party) bool {
		return slices.ContainsFunc(all, func(p relay.Party) bool { return p.Kind == relay.Server })
	}
	if touches(from) || touches(to) {
		st.ledger.allowLateNotices()
	}
	r := st.net.AddFault(partySet(from), partySet(to), f)
	return func() { st.net.RemoveFault(r) }
}

func partySet(all []relay.Party) relay.PartySet {
	out := relay.PartySet{}
	for _, p := range all {
		out[p] = true
	}
	return out
}

// Start starts a process, if it does not run.
func (st *Stage) Start(p relay.Party) error {
	x := st.process(p)
	if p.Kind == relay.Node && !x.Running() {
		st.ledger.nodeStarted(p.Index)
	}
	return x.Start()
}

// Kill ends a process at once.
func (st *Stage) Kill(p relay.Party) error {
	err := st.process(p).Kill()
	st.recordExit(p)
	return err
}

// End tells a process to end, and waits until it has.
func (st *Stage) Stop(p relay.Party) error {
	err := st.process(p).Stop()
	st.recordExit(p)
	return err
}

// over notes that a process has ended. The face of a list server stays, so that asks which find nobody are counted.
func (st *Stage) recordExit(p relay.Party) {
	if p.Kind == relay.Node {
		st.ledger.nodeDied(p.Index)
	} else {
		st.ledger.allowLateNotices()
	}
}

// Pause stops a process where it is, or lets it go on.
func (st *Stage) SetPaused(p relay.Party, on bool) error {
	if on && p.Kind == relay.Server {
		st.ledger.allowLateNotices()
	}
	return st.process(p).SetPaused(on)
}

// Fill makes the disk of a process full, or gives it room again.
func (st *Stage) SetDiskFull(p relay.Party, full bool) error { return st.process(p).SetDiskFull(full) }

// Empty takes away what a process that does not run has kept.
func (st *Stage) ClearState(p relay.Party) error { return st.process(p).ClearState() }

// Damage spoils a file of a process that does not run, by chance from the script's seed.
func (st *Stage) CorruptFile(p relay.Party, file string) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.process(p).CorruptFile(file, st.rng)
}

// Shut makes a partner refuse every call, or take them again, cold.
func (st *Stage) SetRefusing(n int, shut bool) { st.partners[n].partner.SetRefusing(shut) }

// Addr is where clients reach a node, and Door where operators do.
func (st *Stage) ClientAddr(n int) string {
	return process.HostPort(st.addrs.OwnAddr(relay.Party{Kind: relay.Node, Index: n}), process.ClientPort)
}

// Door is the operators' door of a node, where the script gives it one.
func (st *Stage) AdminAddr(n int) string {
	return process.HostPort(st.addrs.OwnAddr(relay.Party{Kind: relay.Node, Index: n}), process.NodeAdminPort)
}

// mark notes something that is done.
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

// Close ends everything that was started, and returns what went wrong with it.
func (st *Stage) Close() error {
	st.cancel()
	st.wg.Wait()
	var ends sync.WaitGroup
	for _, p := range slices.Concat(st.nodes, st.servers) {
		ends.Go(func() { st.recordError(p.Kill()) })
	}
	ends.Wait()
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
