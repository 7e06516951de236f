package main

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"harrierramp/internal/testkit"
)

// always has endpoints answer in one way.
func always(r reply) func(*faultLedger, int) func() reply {
	return func(*faultLedger, int) func() reply { return func() reply { return r } }
}

// handIn hands one message in on a connection of its own and returns the answer.
func (p *faultPlay) handIn(t *testing.T, id, class string, life time.Duration) string {
	t.Helper()
	p.ledger.sent(id, class, life)
	fields := fmt.Sprintf("c=%s,dest=1,k=%s,d=%d", class, id, life.Milliseconds())
	line := testkit.Ask(t, p.node.addr, testkit.Enqueue(id, fields, "body"))
	p.ledger.answered(id, line)
	return line
}

// mustKeepTheRules ends the play.
func (p *faultPlay) mustKeepTheRules(t *testing.T) {
	t.Helper()
	for _, broken := range p.ledger.settle() {
		t.Error(broken)
	}
}

func TestFinalAnswersComeInTimeWhileTheJournalCannotBeWritten(t *testing.T) {
	t.Parallel()
	p := newFaultPlay(t, 1, nil, always(replyNever))
	for id, class := range map[string]string{"s": "status", "o": "order", "p": "payout"} {
		if got := p.handIn(t, id, class, 900*time.Millisecond); got != "+OK" {
			t.Fatalf("%s: %q", id, got)
		}
	}
	outage := p.schedule.fail(3*time.Second, fails(writesFile, syscall.ENOSPC))
	time.Sleep(2 * time.Second)
	p.mustKeepTheRules(t)
	if p.schedule.struck(outage) == 0 {
		t.Error("no verdict: no write has failed")
	}
}
