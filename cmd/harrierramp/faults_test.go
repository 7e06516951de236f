package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"harrierramp/internal/lab/sysfault"
	"harrierramp/internal/testkit"
)

// alwaysReply makes every endpoint give the same reply.
func alwaysReply(r reply) func(*faultLedger, int) func() reply {
	return func(*faultLedger, int) func() reply { return func() reply { return r } }
}

// submit submits one message on a new connection and returns the answer.
func (p *faultScenario) submit(t *testing.T, id, class string, ttl time.Duration) string {
	t.Helper()
	p.ledger.recordSubmission(id, class, ttl)
	fields := fmt.Sprintf("c=%s,dest=1,k=%s,d=%d", class, id, ttl.Milliseconds())
	line := testkit.Exchange(t, p.node.addr, testkit.EnqueueRequest(id, fields, "body"))
	p.ledger.recordAnswer(id, line)
	return line
}

// requireStruck fails the test if a fault has affected fewer than least calls: the scenario then proves nothing.
func (p *faultScenario) requireStruck(t *testing.T, f *injectedFault, least int) {
	t.Helper()
	if struck := p.schedule.struckCalls(f); struck < least {
		t.Errorf("no verdict: the fault affected %d calls, and at least %d are needed", struck, least)
	}
}

// requireNoViolations fails the test if the ledger holds any violation of the rules.
func (p *faultScenario) requireNoViolations(t *testing.T) {
	t.Helper()
	for _, broken := range p.ledger.verify() {
		t.Error(broken)
	}
}

func TestFinalAnswersAreOnTimeWhileJournalWritesFail(t *testing.T) {
	t.Parallel()
	p := newFaultScenario(t, 1, nil, alwaysReply(replyNever))
	for id, class := range map[string]string{"s": "status", "o": "order", "p": "payout"} {
		if got := p.submit(t, id, class, 900*time.Millisecond); got != "+OK" {
			t.Fatalf("%s: %q", id, got)
		}
	}
	outage := p.schedule.addFault(3*time.Second, failMatching(isStateWrite, syscall.ENOSPC))
	time.Sleep(2 * time.Second)
	p.requireNoViolations(t)
	p.requireStruck(t, outage, 1)
}

func TestRefusedMessageIsNotForwardedAfterRestart(t *testing.T) {
	t.Parallel()
	p := newFaultScenario(t, 1, nil, alwaysReply(replyDelivered))
	// The record is written completely, but the write reports an error, and the node can't repair the journal before
	// the kill.
	outage := p.schedule.addFault(time.Minute, func(c sysfault.Call, _ *rand.Rand) sysfault.Verdict {
		switch {
		case isStateWrite(c):
			return sysfault.Verdict{MaxBytes: c.Size, Errno: syscall.EIO}
		case isStateCall(unix.SYS_FTRUNCATE, unix.SYS_OPENAT)(c) && !strings.HasSuffix(c.Path, "/lock"):
			return sysfault.Verdict{Errno: syscall.EIO}
		}
		return sysfault.Verdict{}
	})
	nc, br := testkit.Dial(t, p.node.addr)
	if err := nc.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		t.Fatal(err)
	}
	p.ledger.recordSubmission("refused", "status", time.Minute)
	if _, err := nc.Write([]byte(testkit.EnqueueRequest("refused", "c=status,d=60000,dest=1", "body"))); err != nil {
		t.Fatal(err)
	}
	if line, err := br.ReadString('\n'); err == nil {
		p.ledger.recordAnswer("refused", strings.TrimSpace(line))
	} else {
		p.ledger.recordEvent("refused", "its client gets no answer: %v", err)
	}
	p.requireStruck(t, outage, 1)
	p.schedule.endFault(outage)
	p.node.restart(false)
	time.Sleep(500 * time.Millisecond)
	p.requireNoViolations(t)
}

// A start recovers every unfinished message even if reading the journal fails at first, in the middle of the file.
func TestReadErrorAtStartLosesNoMessages(t *testing.T) {
	t.Parallel()
	var answers atomic.Bool
	p := newFaultScenario(t, 1, nil, func(*faultLedger, int) func() reply {
		return func() reply {
			if answers.Load() {
				return replyDelivered
			}
			return replyNever
		}
	})
	for i := range 20 {
		if got := p.submit(t, fmt.Sprint("m", i), "status", time.Minute); got != "+OK" {
			t.Fatalf("%d: %q", i, got)
		}
	}
	answers.Store(true)
	reads := 0
	p.schedule.addFault(time.Minute, func(c sysfault.Call, _ *rand.Rand) sysfault.Verdict {
		if c.Number == unix.SYS_READ && strings.HasSuffix(c.Path, stateDirectory+"/journal") {
			if reads++; reads <= 6 { // three times, 500 bytes are read and the next read fails
				if reads%2 == 1 {
					return sysfault.Verdict{MaxBytes: 500}
				}
				return sysfault.Verdict{Errno: syscall.EIO}
			}
		}
		return sysfault.Verdict{}
	})
	p.node.restart(false)
	testkit.Eventually(t, "all messages are delivered", func() bool {
		p.ledger.mu.Lock()
		defer p.ledger.mu.Unlock()
		return p.ledger.counts["delivered"] == 20
	})
	p.requireNoViolations(t)
}

func TestStartSurvivesSyscallFaults(t *testing.T) {
	t.Parallel()
	for name, decide := range map[string]func(sysfault.Call, *rand.Rand) sysfault.Verdict{
		"opening files":     failMatching(isStateCall(unix.SYS_OPENAT), syscall.ENFILE, syscall.EIO, syscall.ENOSPC),
		"reading files":     failMatching(isStateCall(unix.SYS_READ), syscall.EIO),
		"short reads":       shortenTransfers,
		"writing files":     failMatching(isStateWrite, syscall.ENOSPC, syscall.EIO),
		"truncation":        failMatching(isStateCall(unix.SYS_FTRUNCATE), syscall.EIO),
		"removal":           failMatching(isStateCall(unix.SYS_UNLINKAT), syscall.EIO),
		"sockets":           failMatching(hasNumber(unix.SYS_SOCKET), syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM),
		"interrupted calls": interruptCalls,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newFaultScenario(t, 1, nil, alwaysReply(replyNever))
			if got := p.submit(t, "m", "order", 4*time.Second); got != "+OK" {
				t.Fatal(got)
			}
			p.schedule.setKillNextWrite(true) // leaves a journal that ends inside a record
			p.node.submitIgnoringAnswer(testkit.EnqueueRequest("torn", "c=status,d=4000,dest=1", "body"))
			p.node.stop(false)
			f := p.schedule.addFaultFromFirstCall(700*time.Millisecond, decide)
			p.node.start()
			time.Sleep(4 * time.Second)
			p.requireNoViolations(t)
			p.requireStruck(t, f, 1)
		})
	}
}

// A notice is due 300 ms after its message's deadline. It must be on time even if connections failed until shortly
// before, up to 270 ms after the deadline.
func TestNoticesAreOnTimeAfterConnectionFailures(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		until  time.Duration // how long after the message's deadline the fault lasts
		decide func(sysfault.Call, *rand.Rand) sysfault.Verdict
	}{
		"no address":               {270 * time.Millisecond, failMatching(hasNumber(unix.SYS_CONNECT), syscall.EADDRNOTAVAIL)},
		"no route":                 {270 * time.Millisecond, failMatching(hasNumber(unix.SYS_CONNECT), syscall.ENETUNREACH, syscall.EHOSTUNREACH)},
		"no descriptors":           {270 * time.Millisecond, failMatching(hasNumber(unix.SYS_SOCKET), syscall.ENFILE, syscall.EMFILE)},
		"no buffers":               {270 * time.Millisecond, failMatching(hasNumber(unix.SYS_SOCKET), syscall.ENOBUFS, syscall.ENOMEM)},
		"the dial does not end":    {150 * time.Millisecond, failMatching(hasNumber(unix.SYS_CONNECT), syscall.EINTR)},
		"the answer never arrives": {100 * time.Millisecond, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newFaultScenario(t, 1, nil, alwaysReply(replyNever))
			const life = 900 * time.Millisecond
			if c.decide == nil {
				p.platform.ignoreReportsUntil(time.Now().Add(life + c.until))
			}
			if got := p.submit(t, "m", "payout", life); got != "+OK" {
				t.Fatal(got)
			}
			due := time.Now().Add(life)
			testkit.Eventually(t, "the endpoint has the call", func() bool { return p.ledger.count("calls") > 0 })
			if c.decide != nil { // from here on, only the notice needs a connection
				f := p.schedule.addFault(time.Until(due)+c.until, c.decide)
				defer p.requireStruck(t, f, 1)
			}
			time.Sleep(time.Until(due.Add(time.Second)))
			p.requireNoViolations(t)
		})
	}
}

func TestConfigIsReloadedAfterTransientReadErrors(t *testing.T) {
	t.Parallel()
	p := newFaultScenario(t, 1, nil, alwaysReply(replyNever))
	if got := p.submit(t, "m", "payout", 2500*time.Millisecond); got != "+OK" {
		t.Fatal(got)
	}
	next := newFakePlatform(t, p.ledger, p.platform.members)
	p.node.configure(next.addr(), next.list(), faultSettings)
	f := p.schedule.addFault(500*time.Millisecond, failMatching(func(c sysfault.Call) bool {
		return c.Number == unix.SYS_OPENAT && c.Path == p.node.config
	}, syscall.ENFILE, syscall.EIO))
	p.node.signal(syscall.SIGHUP)
	time.Sleep(1500 * time.Millisecond) // the node must have switched when the old address goes away
	p.platform.srv.Listener.Close()
	p.platform.srv.CloseClientConnections()
	time.Sleep(1500 * time.Millisecond)
	p.requireNoViolations(t)
	p.requireStruck(t, f, 1)
}

// A request that has been read is answered even if reads and writes on its connection fail temporarily.
func TestRequestsAreAnsweredDespiteSocketMemoryErrors(t *testing.T) {
	t.Parallel()
	p := newFaultScenario(t, 1, nil, alwaysReply(replyDelivered))
	f := p.schedule.addFault(time.Minute, failWithoutMemory)
	for i := range 40 {
		if got := p.submit(t, fmt.Sprint("m", i), "status", time.Second); got != "+OK" {
			t.Errorf("%d: %q", i, got)
		}
	}
	p.schedule.endFault(f)
	time.Sleep(1500 * time.Millisecond)
	p.requireNoViolations(t)
	p.requireStruck(t, f, 20)
}
