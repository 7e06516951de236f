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
	faultSeed  = flag.Uint64("faults.seed", 1, "the first seed of TestSoakWhileCallsFail")
	faultSeeds = flag.Uint64("faults.seeds", 0, "how many seeds it plays")
)

const (
	answerPatience = 400 * time.Millisecond // of clients
	playClients    = 8
	playSeeds      = 12 // of TestNothingIsLostWhileCallsFail
	playLength     = 12 * time.Second
	calmLength     = 2500 * time.Millisecond // at the end, for what is owed
)

// faultSettings are the platform's, with short times so that many messages end by them.
const faultSettings = `{"fleetSize":1,"categories":[
	{"name":"status","effect":"idempotent","group":"all","aim":400,"deadline":1500,"worth":1,"lateWorth":0.3,"window":1000},
	{"name":"order","effect":"deduplicated","group":"all","aim":400,"deadline":1500,"worth":1,"lateWorth":0.3,"window":1000},
	{"name":"payout","effect":"at_most_once","group":"all","aim":400,"deadline":1500,"worth":1,"lateWorth":0.3,"window":1000}],
	"contract":{"coldFrom":0.29,"fall":2000,"fallMultiple":1.5,"graceToAnswer":20,"stopSendingWithin":250,"warmWithin":2000},
	"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":48},
	"failureDomains":["z"],"flavors":["m"],
	"limits":{"cancel":true,"connIdle":5000,"dialTimeout":500,"maxAttempts":12,"maxOpen":400,"maxRetryAfter":1000,"mayDuplicate":true,"retryAfter":true},
	"tick":5,"weights":"rough"}`

// faultKinds are what may be wrong for a while. Sockets fail for a moment only: a notice that needs a new connection has
// 300 ms. The lasting folder may fail for longer.
var faultKinds = []struct {
	name        string
	least, most time.Duration
	fault       func(rng *rand.Rand) *fault
}{
	{"writes: no space", 100 * time.Millisecond, 2500 * time.Millisecond, func(*rand.Rand) *fault {
		return &fault{decide: tornWrites(true, syscall.ENOSPC)}
	}},
	{"writes: input/output error, truncation too", 100 * time.Millisecond, 2500 * time.Millisecond, func(*rand.Rand) *fault {
		return &fault{decide: tornWrites(false, syscall.EIO)}
	}},
	{"opening files of the folder", 50 * time.Millisecond, 2500 * time.Millisecond, func(*rand.Rand) *fault {
		return &fault{decide: fails(onState(unix.SYS_OPENAT), syscall.ENFILE, syscall.EIO, syscall.ENOSPC, syscall.EMFILE)}
	}},
	{"renames", 50 * time.Millisecond, 2500 * time.Millisecond, func(*rand.Rand) *fault {
		return &fault{decide: fails(onState(unix.SYS_RENAMEAT), syscall.EIO, syscall.ENOSPC)}
	}},
	{"sockets", 20 * time.Millisecond, 200 * time.Millisecond, func(*rand.Rand) *fault {
		return &fault{decide: fails(numbered(unix.SYS_SOCKET), syscall.ENFILE, syscall.ENOBUFS, syscall.EMFILE, syscall.ENOMEM)}
	}},
	{"connects", 20 * time.Millisecond, 200 * time.Millisecond, func(*rand.Rand) *fault {
		return &fault{decide: fails(numbered(unix.SYS_CONNECT), syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ETIMEDOUT)}
	}},
	{"accepts", 20 * time.Millisecond, 200 * time.Millisecond, func(*rand.Rand) *fault {
		return &fault{decide: fails(numbered(unix.SYS_ACCEPT4), syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.EMFILE)}
	}},
	{"streams without memory", 20 * time.Millisecond, 200 * time.Millisecond, func(*rand.Rand) *fault { return &fault{decide: withoutMemory} }},
	{"interrupted calls", 200 * time.Millisecond, 2 * time.Second, func(*rand.Rand) *fault { return &fault{decide: interrupted} }},
	{"short reads and writes", 200 * time.Millisecond, 2 * time.Second, func(*rand.Rand) *fault { return &fault{decide: short} }},
}

// nodeEnd is an end of the process within a play, after which it starts again.
type nodeEnd struct {
	at            time.Duration
	leaves, tears bool // by SIGTERM first; in the middle of a write
}

// faultPlan is what a seed says of a play.
type faultPlan struct {
	faults []*fault
	ends   []nodeEnd
	hangs  [2]time.Duration // in which the second destination does not answer
}

func newFaultPlan(rng *rand.Rand) faultPlan {
	var p faultPlan
	for at := 500 * time.Millisecond; at < playLength-calmLength; {
		kind := faultKinds[rng.IntN(len(faultKinds))]
		f := kind.fault(rng)
		f.name, f.from = kind.name, at
		f.to = min(at+kind.least+time.Duration(rng.Int64N(int64(kind.most-kind.least))), playLength-calmLength)
		if rng.IntN(4) > 0 { // else the next one comes beside it
			at = f.to + time.Duration(rng.IntN(500))*time.Millisecond
		}
		p.faults = append(p.faults, f)
	}
	switch rng.IntN(4) {
	case 0:
		p.ends = []nodeEnd{{at: 3*time.Second + time.Duration(rng.IntN(3000))*time.Millisecond, leaves: true}}
	case 1, 2:
		p.ends = []nodeEnd{
			{at: 2*time.Second + time.Duration(rng.IntN(2000))*time.Millisecond, tears: rng.IntN(2) == 0},
			{at: 6*time.Second + time.Duration(rng.IntN(2000))*time.Millisecond, tears: rng.IntN(2) == 0},
		}
	}
	hang := time.Duration(rng.IntN(8000)) * time.Millisecond
	p.hangs = [2]time.Duration{hang, hang + time.Duration(500+rng.IntN(2000))*time.Millisecond}
	return p
}

func (p faultPlan) String() string {
	var b strings.Builder
	for _, f := range p.faults {
		fmt.Fprintf(&b, "%6.3f to %6.3f s %s (%d calls)\n", f.from.Seconds(), f.to.Seconds(), f.name, f.met)
	}
	for _, e := range p.ends {
		fmt.Fprintf(&b, "%6.3f s the process ends, by SIGTERM %v, in a write %v\n", e.at.Seconds(), e.leaves, e.tears)
	}
	fmt.Fprintf(&b, "%6.3f to %6.3f s the second destination hangs\n", p.hangs[0].Seconds(), p.hangs[1].Seconds())
	return b.String()
}

// Whatever fails for a moment, a message that was taken on is delivered or reported in time, nothing is forwarded after
// its end, every request that was read is answered, and the node stays up.
func TestNothingIsLostWhileCallsFail(t *testing.T) { playSeedsOfFaults(t, 1, playSeeds) }

// The same by hand, on seeds of one's own.
func TestSoakWhileCallsFail(t *testing.T) {
	if *faultSeeds == 0 {
		t.Skip("by hand, with -faults.seeds and -faults.seed")
	}
	playSeedsOfFaults(t, *faultSeed, *faultSeeds)
}

func playSeedsOfFaults(t *testing.T, first, count uint64) {
	t.Helper()
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			playFaults(t, seed, newFaultPlan(rand.New(rand.NewPCG(seed, 1))))
		})
	}
}

// faultPlay is one node with its platform, two destinations of two endpoints each, and a ledger.
type faultPlay struct {
	ledger   *faultLedger
	schedule *schedule
	platform *platform
	node     *faultyNode
}

// newFaultPlay starts one whose endpoints answer as replies says for the number of their destination.
func newFaultPlay(t *testing.T, seed uint64, faults []*fault, replies func(l *faultLedger, dest int) func() reply) *faultPlay {
	t.Helper()
	l := newFaultLedger()
	s := &schedule{rng: rand.New(rand.NewPCG(seed, 2)), began: l.began, faults: faults}
	state := filepath.Join(t.TempDir(), stateDirectory)
	if err := os.Mkdir(state, 0o700); err != nil {
		t.Fatal(err)
	}
	var members []string
	for i := range 4 {
		dest := 1 + i/2
		members = append(members, member(fmt.Sprintf("e%d", i), newFaultEndpoint(t, l, replies(l, dest)), dest))
	}
	p := newPlatform(t, l, members)
	return &faultPlay{l, s, p, newFaultyNode(t, p, state, faultSettings, s.decide, l)}
}

// playFaults plays one node with clients and endpoints through the plan.
func playFaults(t *testing.T, seed uint64, plan faultPlan) {
	t.Helper()
	endpoints := uint64(0)
	play := newFaultPlay(t, seed, plan.faults, func(l *faultLedger, dest int) func() reply {
		endpoints++
		return chooser(l, plan, dest, seed+endpoints)
	})
	l, s, n := play.ledger, play.schedule, play.node
	stall := watchForStalls(t)
	watchForSilence(t, play)
	var clients sync.WaitGroup
	for i := range playClients {
		clients.Go(func() { (&faultClient{n: n, l: l, rng: rand.New(rand.NewPCG(seed, 100+uint64(i))), number: i}).run() })
	}
	for _, e := range plan.ends {
		time.Sleep(time.Until(l.began.Add(e.at)))
		if e.tears {
			s.killInWrite(true)
			for end := time.Now().Add(200 * time.Millisecond); n.running() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			s.killInWrite(false)
		}
		n.restart(e.leaves)
	}
	clients.Wait()
	time.Sleep(calmLength)
	if !n.running() {
		l.breaks("crash", "the process has ended")
	}
	broken := l.settle()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("%v\n%v\nthe play itself was held up for %v at the most, its injector for %v, %d answers were interrupted",
		plan, l.figures, stall(), n.injector.Slowest(), n.injector.Interrupted())
	if l.figures["delivered"] < 100 || l.figures["reported failed"]+l.figures["reported returned"] == 0 {
		t.Error("no verdict: too little was seen")
	}
	for _, b := range broken[:min(len(broken), 5)] {
		t.Error(b)
	}
	if len(broken) > 0 {
		t.Errorf("%d rules broken", len(broken))
		if raw, err := os.ReadFile(n.log); err == nil {
			kept := filepath.Join(os.TempDir(), fmt.Sprintf("faults-seed-%d.log", seed))
			t.Logf("the node's log is in %s: %v", kept, os.WriteFile(kept, raw, 0o600))
		}
	}
}

// watchForStalls begins to watch how long this process does not run, and returns what tells the longest time so far.
func watchForStalls(t *testing.T) func() time.Duration {
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
	silenceTick  = 50 * time.Millisecond
	longestQuiet = 600 * time.Millisecond // more than any fault keeps a node that runs from answering PING
)

// watchForSilence begins to ask the node whether it is there. Where it runs and does not answer, it logs what each of its
// threads waits for, and has the node write down its goroutines, which ends it.
func watchForSilence(t *testing.T, p *faultPlay) {
	go func() {
		for heard := time.Now(); t.Context().Err() == nil; time.Sleep(silenceTick) {
			if p.ledger.restarting(p.ledger.now()-longestQuiet) || p.node.answers() {
				heard = time.Now()
				continue
			}
			if time.Since(heard) < longestQuiet {
				continue
			}
			p.ledger.breaks("silence", "the node has not answered PING for %v; its injector: slowest %v, interrupted %d\n%s",
				time.Since(heard), p.node.injector.Slowest(), p.node.injector.Interrupted(), p.node.threads())
			p.node.signal(syscall.SIGQUIT)
			return
		}
	}()
}

// chooser draws an endpoint's replies.
func chooser(l *faultLedger, plan faultPlan, dest int, seed uint64) func() reply {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 3))
	return func() reply {
		mu.Lock()
		defer mu.Unlock()
		x := rng.IntN(100)
		if now := l.now(); dest == 2 && now >= plan.hangs[0] && now < plan.hangs[1] {
			return replyNever
		}
		switch {
		case x < 84:
			return replyDelivered
		case x < 87:
			return replySlowly
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

// faultClient hands messages in on one connection, as the platform's clients do.
type faultClient struct {
	n      *faultyNode
	l      *faultLedger
	rng    *rand.Rand
	number int

	nc   net.Conn
	br   *bufio.Reader
	used bool // it has been answered on this connection
}

func (c *faultClient) run() {
	defer c.hangUp()
	for i := 0; c.l.now() < playLength-calmLength+time.Second; i++ {
		class := []string{"status", "order", "payout"}[c.rng.IntN(3)]
		life := time.Duration(200+c.rng.IntN(1300)) * time.Millisecond
		id := fmt.Sprintf("m%dx%d", c.number, i)
		fields := fmt.Sprintf("c=%s,d=%d,dest=%d", class, life.Milliseconds(), 1+c.rng.IntN(2))
		if class == "order" {
			fields += ",k=" + id
		}
		c.handIn(id, class, life, testkit.Enqueue(id, fields, strings.Repeat("b", c.rng.IntN(600))))
		rest := time.Duration(10+c.rng.IntN(60)) * time.Millisecond
		if c.rng.IntN(100) == 0 {
			rest = 2200*time.Millisecond + time.Duration(c.rng.IntN(20)-10)*time.Millisecond // where idle connections end
		}
		time.Sleep(rest)
	}
}

func (c *faultClient) hangUp() {
	if c.nc != nil {
		c.nc.Close()
	}
	c.nc, c.used = nil, false
}

// handIn hands one message in, once more on a new connection if an old one has ended meanwhile.
func (c *faultClient) handIn(id, class string, life time.Duration, request string) {
	for {
		if c.nc == nil {
			nc, err := net.DialTimeout("tcp", c.n.addr, answerPatience)
			if err != nil {
				return // nobody is there
			}
			c.nc, c.br, c.used = nc, bufio.NewReader(nc), false
		}
		again := c.used
		began := c.l.now()
		c.l.sent(id, class, life)
		if c.nc.SetDeadline(time.Now().Add(answerPatience)) != nil {
			c.hangUp()
			return
		}
		_, err := io.WriteString(c.nc, request)
		written := err == nil
		var line string
		if written {
			line, err = c.br.ReadString('\n')
		}
		switch late, _ := err.(net.Error); {
		case err == nil:
			c.l.answered(id, strings.TrimSpace(line))
			c.used = true
			return
		case late != nil && late.Timeout():
			c.l.noteFor(id, "its client has waited long enough")
			c.hangUp()
			return
		}
		c.hangUp()
		time.Sleep(20 * time.Millisecond) // a kill is noted by then
		switch {
		case again:
			c.l.noteFor(id, "the old connection has ended: %v", err)
			continue
		case written && !c.l.restarting(began):
			c.l.closed(id, err)
		}
		return
	}
}
