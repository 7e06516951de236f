package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"harrierramp/internal/testkit"
)

var (
	faultSeed  = flag.Uint64("faults.seed", 1, "first seed of TestSoakWhileCallsFail")
	faultSeeds = flag.Uint64("faults.seeds", 0, "number of seeds that TestSoakWhileCallsFail runs")
)

const (
	clientTimeout    = 400 * time.Millisecond // how long clients wait for a connection or an answer
	clientCount      = 8
	seedCount        = 12 // number of seeds of TestNoMessageIsLostUnderSyscallFaults
	scenarioDuration = 12 * time.Second
	quietDuration    = 2500 * time.Millisecond // without faults at the end, so that all messages can finish
)

// faultSettings are the platform's settings, with short times so that many messages expire.
const faultSettings = `{"fleetSize":1,"categories":[
	{"name":"status","effect":"idempotent","group":"all","aim":400,"deadline":1500,"worth":1,"lateWorth":0.3,"window":1000},
	{"name":"order","effect":"deduplicated","group":"all","aim":400,"deadline":1500,"worth":1,"lateWorth":0.3,"window":1000},
	{"name":"payout","effect":"at_most_once","group":"all","aim":400,"deadline":1500,"worth":1,"lateWorth":0.3,"window":1000}],
	"contract":{"coldFrom":0.29,"fall":2000,"fallMultiple":1.5,"graceToAnswer":20,"stopSendingWithin":250,"warmWithin":2000},
	"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":48},
	"failureDomains":["z"],"flavors":["m"],
	"limits":{"cancel":true,"connIdle":5000,"dialTimeout":500,"maxAttempts":12,"maxOpen":400,"maxRetryAfter":1000,"mayDuplicate":true,"retryAfter":true},
	"tick":5,"weights":"rough"}`

// faultKinds are the faults that a scenario draws from, with their shortest and longest duration. Socket faults are
// short, because a notice that needs a new connection has 300 ms. Faults of the state directory may last longer.
var faultKinds = []struct {
	name        string
	least, most time.Duration
	fault       func(rng *rand.Rand) *injectedFault
}{
	{"writes: no space left", 100 * time.Millisecond, 2500 * time.Millisecond, func(*rand.Rand) *injectedFault {
		return &injectedFault{decide: tearWrites(true, syscall.ENOSPC)}
	}},
	{"writes and truncation: input/output error", 100 * time.Millisecond, 2500 * time.Millisecond, func(*rand.Rand) *injectedFault {
		return &injectedFault{decide: tearWrites(false, syscall.EIO)}
	}},
	{"opening files of the state directory", 50 * time.Millisecond, 2500 * time.Millisecond, func(*rand.Rand) *injectedFault {
		return &injectedFault{decide: failMatching(isStateCall(unix.SYS_OPENAT), syscall.ENFILE, syscall.EIO, syscall.ENOSPC, syscall.EMFILE)}
	}},
	{"renames", 50 * time.Millisecond, 2500 * time.Millisecond, func(*rand.Rand) *injectedFault {
		return &injectedFault{decide: failMatching(isStateCall(unix.SYS_RENAMEAT), syscall.EIO, syscall.ENOSPC)}
	}},
	{"sockets", 20 * time.Millisecond, 200 * time.Millisecond, func(*rand.Rand) *injectedFault {
		return &injectedFault{decide: failMatching(hasNumber(unix.SYS_SOCKET), syscall.ENFILE, syscall.ENOBUFS, syscall.EMFILE, syscall.ENOMEM)}
	}},
	{"connects", 20 * time.Millisecond, 200 * time.Millisecond, func(*rand.Rand) *injectedFault {
		return &injectedFault{decide: failMatching(hasNumber(unix.SYS_CONNECT), syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ETIMEDOUT)}
	}},
	{"accepts", 20 * time.Millisecond, 200 * time.Millisecond, func(*rand.Rand) *injectedFault {
		return &injectedFault{decide: failMatching(hasNumber(unix.SYS_ACCEPT4), syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.EMFILE)}
	}},
	{"socket reads and writes without memory", 20 * time.Millisecond, 200 * time.Millisecond, func(*rand.Rand) *injectedFault { return &injectedFault{decide: failWithoutMemory} }},
	{"interrupted calls", 200 * time.Millisecond, 2 * time.Second, func(*rand.Rand) *injectedFault { return &injectedFault{decide: interruptCalls} }},
	{"short reads and writes", 200 * time.Millisecond, 2 * time.Second, func(*rand.Rand) *injectedFault { return &injectedFault{decide: shortenTransfers} }},
}

// processExit is an exit of the process during a scenario, after which it is restarted.
type processExit struct {
	at                    time.Duration
	graceful, duringWrite bool // graceful: SIGTERM comes before the kill; duringWrite: the kill comes in the middle of a write
}

// faultPlan is the sequence of faults and exits that is drawn from a seed.
type faultPlan struct {
	faults []*injectedFault
	exits  []processExit
	hang   [2]time.Duration // start and end of the period in which the second destination does not answer
}

func newFaultPlan(rng *rand.Rand) faultPlan {
	var p faultPlan
	for at := 500 * time.Millisecond; at < scenarioDuration-quietDuration; {
		kind := faultKinds[rng.IntN(len(faultKinds))]
		f := kind.fault(rng)
		f.name, f.from = kind.name, at
		f.to = min(at+kind.least+time.Duration(rng.Int64N(int64(kind.most-kind.least))), scenarioDuration-quietDuration)
		if rng.IntN(4) > 0 { // otherwise the next fault overlaps this one
			at = f.to + time.Duration(rng.IntN(500))*time.Millisecond
		}
		p.faults = append(p.faults, f)
	}
	switch rng.IntN(4) {
	case 0:
		p.exits = []processExit{{at: 3*time.Second + time.Duration(rng.IntN(3000))*time.Millisecond, graceful: true}}
	case 1, 2:
		p.exits = []processExit{
			{at: 2*time.Second + time.Duration(rng.IntN(2000))*time.Millisecond, duringWrite: rng.IntN(2) == 0},
			{at: 6*time.Second + time.Duration(rng.IntN(2000))*time.Millisecond, duringWrite: rng.IntN(2) == 0},
		}
	}
	hang := time.Duration(rng.IntN(8000)) * time.Millisecond
	p.hang = [2]time.Duration{hang, hang + time.Duration(500+rng.IntN(2000))*time.Millisecond}
	return p
}

func (p faultPlan) String() string {
	var b strings.Builder
	for _, f := range p.faults {
		fmt.Fprintf(&b, "%6.3f to %6.3f s %s (%d calls)\n", f.from.Seconds(), f.to.Seconds(), f.name, f.struckCalls)
	}
	for _, e := range p.exits {
		fmt.Fprintf(&b, "%6.3f s the process is ended, by SIGTERM: %v, during a write: %v\n", e.at.Seconds(), e.graceful, e.duringWrite)
	}
	fmt.Fprintf(&b, "%6.3f to %6.3f s the second destination hangs\n", p.hang[0].Seconds(), p.hang[1].Seconds())
	return b.String()
}

// While system calls fail temporarily, every accepted message is delivered or reported in time, no message is forwarded
// after its final answer, every request that was read is answered, and the node does not crash.
func TestNoMessageIsLostUnderSyscallFaults(t *testing.T) { runFaultSeeds(t, 1, seedCount) }

// The same test, run by hand with seeds given by flags.
func TestSoakWhileCallsFail(t *testing.T) {
	if *faultSeeds == 0 {
		t.Skip("run by hand with -faults.seeds and -faults.seed")
	}
	runFaultSeeds(t, *faultSeed, *faultSeeds)
}

func runFaultSeeds(t *testing.T, first, count uint64) {
	t.Helper()
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runFaultScenario(t, seed, newFaultPlan(rand.New(rand.NewPCG(seed, 1))))
		})
	}
}

// faultScenario is one node with a fake platform, two destinations of two endpoints each, and a ledger.
type faultScenario struct {
	ledger   *faultLedger
	schedule *faultSchedule
	platform *fakePlatform
	node     *faultyNode
}

// newFaultScenario starts a scenario. replies returns, for the number of a destination, the function that chooses the
// replies of one of its endpoints.
func newFaultScenario(t *testing.T, seed uint64, faults []*injectedFault, replies func(l *faultLedger, dest int) func() reply) *faultScenario {
	t.Helper()
	l := newFaultLedger()
	s := &faultSchedule{rng: rand.New(rand.NewPCG(seed, 2)), startedAt: l.startedAt, faults: faults}
	state := filepath.Join(t.TempDir(), stateDirectory)
	if err := os.Mkdir(state, 0o700); err != nil {
		t.Fatal(err)
	}
	var members []string
	for i := range 4 {
		dest := 1 + i/2
		members = append(members, member(fmt.Sprintf("e%d", i), newFaultEndpoint(t, l, replies(l, dest)), dest))
	}
	p := newFakePlatform(t, l, members)
	return &faultScenario{l, s, p, newFaultyNode(t, p, state, faultSettings, s.decide, l)}
}

// runFaultScenario runs one node with clients and endpoints through the plan and checks the ledger.
func runFaultScenario(t *testing.T, seed uint64, plan faultPlan) {
	t.Helper()
	endpoints := uint64(0)
	scenario := newFaultScenario(t, seed, plan.faults, func(l *faultLedger, dest int) func() reply {
		endpoints++
		return replyChooser(l, plan, dest, seed+endpoints)
	})
	l, s, n := scenario.ledger, scenario.schedule, scenario.node
	longestStall := monitorStalls(t)
	monitorResponsiveness(t, scenario)
	var clients sync.WaitGroup
	for i := range clientCount {
		clients.Go(func() { (&faultClient{n: n, l: l, rng: rand.New(rand.NewPCG(seed, 100+uint64(i))), number: i}).run() })
	}
	for _, e := range plan.exits {
		time.Sleep(time.Until(l.startedAt.Add(e.at)))
		if e.duringWrite {
			s.setKillNextWrite(true)
			for end := time.Now().Add(200 * time.Millisecond); n.isRunning() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			s.setKillNextWrite(false)
		}
		n.restart(e.graceful)
	}
	clients.Wait()
	time.Sleep(quietDuration)
	if !n.isRunning() {
		l.recordViolation("crash", "the process has exited")
	}
	violations := l.verify()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("%v\n%v\nlongest stall of the test process %v, of the fault injector %v; %d answers were interrupted",
		plan, l.counts, longestStall(), n.injector.MaxResponseTime(), n.injector.Interrupted())
	if l.counts["delivered"] < 100 || l.counts["reported failed"]+l.counts["reported returned"] == 0 {
		t.Error("no verdict: too few messages were delivered or reported")
	}
	for _, b := range violations[:min(len(violations), 5)] {
		t.Error(b)
	}
	if len(violations) > 0 {
		t.Errorf("%d rule violations", len(violations))
		if raw, err := os.ReadFile(n.log); err == nil {
			kept := filepath.Join(os.TempDir(), fmt.Sprintf("faults-seed-%d.log", seed))
			t.Logf("writing the node's log to %s: %v", kept, os.WriteFile(kept, raw, 0o600))
		}
	}
}

// monitorStalls starts to measure how long this process is not scheduled, and returns a function that returns the
// longest such time so far.
func monitorStalls(t *testing.T) func() time.Duration {
	var longest atomic.Int64
	const tick = 5 * time.Millisecond
	go func() {
		for last := time.Now(); t.Context().Err() == nil; {
			time.Sleep(tick)
			now := time.Now()
			longest.Store(max(longest.Load(), int64(now.Sub(last)-tick)))
			last = now
		}
	}()
	return func() time.Duration { return time.Duration(longest.Load()) }
}

const (
	pingInterval   = 50 * time.Millisecond
	maxPingSilence = 600 * time.Millisecond // longer than any fault keeps a running node from answering PING
)

// monitorResponsiveness starts to ping the node. If a running node does not answer for maxPingSilence, it records a
// violation with what each of the node's threads is waiting for, and sends SIGQUIT, which makes the node print its
// goroutines and exit.
func monitorResponsiveness(t *testing.T, scenario *faultScenario) {
	go func() {
		for lastAnswer := time.Now(); t.Context().Err() == nil; time.Sleep(pingInterval) {
			if scenario.ledger.restartedSince(scenario.ledger.now()-maxPingSilence) || scenario.node.respondsToPing() {
				lastAnswer = time.Now()
				continue
			}
			if time.Since(lastAnswer) < maxPingSilence {
				continue
			}
			scenario.ledger.recordViolation("silence", "the node has not answered PING for %v; its injector: slowest %v, interrupted %d\n%s",
				time.Since(lastAnswer), scenario.node.injector.MaxResponseTime(), scenario.node.injector.Interrupted(), scenario.node.threadStates())
			scenario.node.signal(syscall.SIGQUIT)
			return
		}
	}()
}

// replyChooser returns a function that draws an endpoint's replies at random.
func replyChooser(l *faultLedger, plan faultPlan, dest int, seed uint64) func() reply {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 3))
	return func() reply {
		mu.Lock()
		defer mu.Unlock()
		x := rng.IntN(100)
		if now := l.now(); dest == 2 && now >= plan.hang[0] && now < plan.hang[1] {
			return replyNever
		}
		switch {
		case x < 84:
			return replyDelivered
		case x < 87:
			return replySlow
		case x < 90:
			return replyError
		case x < 93:
			return replyRefusal
		case x < 95:
			return replyReset
		}
		return replyNever
	}
}

// faultClient submits messages one after the other on one connection, like the platform's clients.
type faultClient struct {
	n      *faultyNode
	l      *faultLedger
	rng    *rand.Rand
	number int

	nc       net.Conn
	br       *bufio.Reader
	answered bool // a request has been answered on this connection
}

func (c *faultClient) run() {
	defer c.disconnect()
	for i := 0; c.l.now() < scenarioDuration-quietDuration+time.Second; i++ {
		class := []string{"status", "order", "payout"}[c.rng.IntN(3)]
		ttl := time.Duration(200+c.rng.IntN(1300)) * time.Millisecond
		id := fmt.Sprintf("m%dx%d", c.number, i)
		fields := fmt.Sprintf("c=%s,d=%d,dest=%d", class, ttl.Milliseconds(), 1+c.rng.IntN(2))
		if class == "order" {
			fields += ",k=" + id
		}
		c.submit(id, class, ttl, testkit.EnqueueRequest(id, fields, strings.Repeat("b", c.rng.IntN(600))))
		pause := time.Duration(10+c.rng.IntN(60)) * time.Millisecond
		if c.rng.IntN(100) == 0 {
			pause = 2200*time.Millisecond + time.Duration(c.rng.IntN(20)-10)*time.Millisecond // around the time when the node closes idle connections
		}
		time.Sleep(pause)
	}
}

func (c *faultClient) disconnect() {
	if c.nc != nil {
		c.nc.Close()
	}
	c.nc, c.answered = nil, false
}

// submit submits one message. If a reused connection has ended, it tries again on a new one.
func (c *faultClient) submit(id, class string, ttl time.Duration, request string) {
	for {
		if c.nc == nil {
			nc, err := net.DialTimeout("tcp", c.n.addr, clientTimeout)
			if err != nil {
				return // the node is down
			}
			c.nc, c.br, c.answered = nc, bufio.NewReader(nc), false
		}
		reused := c.answered
		began := c.l.now()
		c.l.recordSubmission(id, class, ttl)
		if c.nc.SetDeadline(time.Now().Add(clientTimeout)) != nil {
			c.disconnect()
			return
		}
		_, err := io.WriteString(c.nc, request)
		written := err == nil
		var line string
		if written {
			line, err = c.br.ReadString('\n')
		}
		switch netErr, _ := err.(net.Error); {
		case err == nil:
			c.l.recordAnswer(id, strings.TrimSpace(line))
			c.answered = true
			return
		case netErr != nil && netErr.Timeout():
			c.l.recordEvent(id, "its client timed out")
			c.disconnect()
			return
		}
		c.disconnect()
		time.Sleep(20 * time.Millisecond) // by then, a kill is recorded in the ledger
		switch {
		case reused:
			c.l.recordEvent(id, "the reused connection has ended: %v", err)
			continue
		case written && !c.l.restartedSince(began):
			c.l.recordClosedConnection(id, err)
		}
		return
	}
}
