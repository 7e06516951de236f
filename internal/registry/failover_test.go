package registry

import (
	"fmt"
	"strings"
	"testing"
)

func inSync(a, b *testServer) func() bool {
	return func() bool { return a.s.feed.head() == b.s.feed.head() }
}

func TestFollowerServesWhilePrimaryIsDown(t *testing.T) {
	a, b := startPair(t)
	for n := range 5 {
		a.register(n, 60_000)
	}
	eventually(t, "the follower has it all", inSync(a, b))
	want := a.list()
	w := b.watch(0)
	w.next(t)
	if code, said := b.call("PUT", "/registry/instances/s9", registrationBody(9, 60_000)); code != 421 || !strings.Contains(said, a.addr) {
		t.Errorf("write to a follower: %d %s", code, said)
	}
	a.stop()
	if got := b.list(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("was %+v, is %+v", want, got)
	}
	a = a.restart()
	eventually(t, "the primary is confirmed", func() bool { return a.s.is(rolePrimary) })
	a.register(7, 60_000)
	if l := w.next(t); len(l.Members) != 1 || l.Members[0].ID != "s7" {
		t.Errorf("the follower's watcher got %+v", l)
	}
}

// A restarted follower serves the list in its state directory; with an empty state directory it answers that it has no
// list, rather than with an empty one.
func TestFollowerStartsFromStateDir(t *testing.T) {
	a, b := startPair(t)
	a.register(1, 60_000)
	eventually(t, "the follower has it all", inSync(a, b))
	want := a.list()
	a.stop()
	b = b.restart()
	if got := b.list(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("was %+v, is %+v", want, got)
	}
	b.stop()
	b.cfg.StateDir = t.TempDir()
	b = b.restart()
	if code, said := b.call("GET", "/registry/instances", ""); code != 503 {
		t.Errorf("a follower without a list answers %d %s", code, said)
	}
}

// A primary that restarts after another server was promoted learns of it before it accepts a write, drops the changes
// that no other server has received, and follows. Watchers of either server only see rising revisions.
func TestDeposedPrimaryFollowsAfterRestart(t *testing.T) {
	a, b := startPair(t)
	a.register(1, 60_000)
	eventually(t, "the follower has it all", inSync(a, b))
	b.stop()
	a.register(2, 60_000) // the follower never receives this
	w := a.watch(0)
	w.next(t)
	a.stop()
	b = b.restart()
	code, said := b.callOps("PUT", "/ops/promote")
	if code != 200 {
		t.Fatalf("promote: %d %s", code, said)
	}
	b.register(3, 60_000)
	if code, _ := b.callOps("PUT", "/ops/promote"); code != 409 {
		t.Errorf("second promotion: %d", code)
	}
	if b.s.feed.head() <= w.revision {
		t.Fatalf("revision %d after %d", b.s.feed.head(), w.revision)
	}
	moved := b.watch(w.revision) // like a node that has lost the old primary
	if l := moved.next(t); !l.Complete || len(l.Members) != 2 {
		t.Errorf("a watcher of the old epoch got %+v", l)
	}
	a = a.restart()
	for a.s.role.Load() == roleUnconfirmed {
		if code, _ := a.call("PUT", "/registry/instances/s4", registrationBody(4, 60_000)); code < 400 {
			t.Fatalf("write to the unconfirmed old primary: %d", code)
		}
	}
	eventually(t, "the old primary follows", inSync(a, b))
	if code, said := a.call("PUT", "/registry/instances/s4", registrationBody(4, 60_000)); code != 421 || !strings.Contains(said, b.addr) {
		t.Errorf("write to the old primary: %d %s", code, said)
	}
	if got, want := a.list(), b.list(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("the old primary lists %+v, the present one %+v", got, want)
	}
	a = a.restart()
	eventually(t, "it follows after a restart as well", func() bool { return a.s.is(roleFollower) && inSync(a, b)() })
}

// While no other server can confirm that a restarted primary still is the primary, it accepts no writes and expires no
// leases.
func TestUnconfirmedPrimaryTakesNoWrites(t *testing.T) {
	a, b := startPair(t)
	a.register(1, 60_000)
	eventually(t, "the follower has it all", inSync(a, b))
	b.stop()
	a = a.restart()
	if code, said := a.call("PUT", "/registry/instances/s2", registrationBody(2, 60_000)); code != 503 || !strings.Contains(said, "confirmed") {
		t.Errorf("got %d %s", code, said)
	}
	if code, _ := a.callOps("GET", "/ops/readiness"); code != 503 {
		t.Errorf("ready: %d", code)
	}
	if l := a.list(); len(l.Members) != 1 {
		t.Errorf("list of the unconfirmed primary: %+v", l)
	}
	if code, said := a.callOps("PUT", "/ops/promote"); code != 200 { // an operator overrides the missing confirmation
		t.Fatalf("promote: %d %s", code, said)
	}
	a.register(2, 60_000)
	b = b.restart()
	eventually(t, "the other follows", inSync(a, b))
	if !b.s.is(roleFollower) {
		t.Errorf("the other server's role is %v", b.s.role.Load())
	}
}

// Promoting a server without a list would begin an empty one, so the operator must request that explicitly.
func TestPromotionWithoutListNeedsEmptyFlag(t *testing.T) {
	cfg := testConfig(t)
	cfg.Bootstrap, cfg.Number, cfg.Peers = false, 1, []string{"127.0.0.1:1", "127.0.0.1:2"}
	b := startServer(t, cfg, listen(t, "127.0.0.1:0"))
	if code, said := b.callOps("PUT", "/ops/promote"); code != 409 || !strings.Contains(said, "empty=1") {
		t.Errorf("promote: %d %s", code, said)
	}
	if b.s.feed.head() != 0 || !b.s.is(roleFollower) {
		t.Error("the refused promotion gave it a list")
	}
	if code, said := b.callOps("PUT", "/ops/promote?empty=1"); code != 200 {
		t.Errorf("promote: %d %s", code, said)
	}
	b.register(1, 60_000)
}

// A list that is newly begun after the loss of all state directories needs a later epoch than the one that nodes know.
func TestBootstrapAfterEpoch(t *testing.T) {
	cfg := testConfig(t)
	cfg.AfterEpoch = 50
	a := startServer(t, cfg, listen(t, "127.0.0.1:0"))
	if e := a.list().Revision.Epoch(); e <= 50 || e.Owner() != 0 {
		t.Errorf("new list has epoch %d", e)
	}
}

func TestFollowerLagIsReported(t *testing.T) {
	a, b := startPair(t)
	a.register(1, 60_000)
	eventually(t, "the follower has it all", inSync(a, b))
	eventually(t, "the primary reports the follower", func() bool {
		_, text := a.callOps("GET", "/ops/stats")
		return strings.Contains(text, "registry.followers:1|g") && strings.Contains(text, "registry.lag_revisions:0|g")
	})
	if code, _ := b.callOps("GET", "/ops/readiness"); code != 204 {
		t.Errorf("ready: %d", code)
	}
}
