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
		t.Errorf("a follower takes a write: %d %s", code, said)
	}
	a.stop()
	if got := b.list(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("was %+v, is %+v", want, got)
	}
	a = a.restart()
	eventually(t, "the primary is confirmed", func() bool { return a.s.is(rolePrimary) })
	a.register(7, 60_000)
	if l := w.next(t); len(l.Members) != 1 || l.Members[0].ID != "s7" {
		t.Errorf("the follower's watcher is told %+v", l)
	}
}

// A restart of both: a follower keeps its list, and a follower with an empty folder claims none.
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
		t.Errorf("a follower that knows nothing tells %d %s", code, said)
	}
}

// A primary that comes back after a promotion is told so before it takes a write, loses what nobody else has heard,
// and follows; watchers of either only see revisions rise.
func TestDeposedPrimaryFollowsAfterRestart(t *testing.T) {
	a, b := startPair(t)
	a.register(1, 60_000)
	eventually(t, "the follower has it all", inSync(a, b))
	b.stop()
	a.register(2, 60_000) // that the follower never hears
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
		t.Errorf("promoted twice: %d", code)
	}
	if b.s.feed.head() <= w.revision {
		t.Fatalf("revision %d after %d", b.s.feed.head(), w.revision)
	}
	moved := b.watch(w.revision) // as a node does that has lost the old primary
	if l := moved.next(t); !l.Complete || len(l.Members) != 2 {
		t.Errorf("a watcher of the old epoch is told %+v", l)
	}
	a = a.restart()
	for a.s.role.Load() == roleUnconfirmed {
		if code, _ := a.call("PUT", "/registry/instances/s4", registrationBody(4, 60_000)); code < 400 {
			t.Fatalf("the old primary takes a write: %d", code)
		}
	}
	eventually(t, "the old primary follows", inSync(a, b))
	if code, said := a.call("PUT", "/registry/instances/s4", registrationBody(4, 60_000)); code != 421 || !strings.Contains(said, b.addr) {
		t.Errorf("the old primary takes a write: %d %s", code, said)
	}
	if got, want := a.list(), b.list(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("the old primary tells %+v, the present one %+v", got, want)
	}
	a = a.restart()
	eventually(t, "it follows after a restart as well", func() bool { return a.s.is(roleFollower) && inSync(a, b)() })
}

// While nobody can tell a primary that started whether it still is one, it takes no writes, and nothing lapses.
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
		t.Errorf("reads go on: %+v", l)
	}
	if code, said := a.callOps("PUT", "/ops/promote"); code != 200 { // the operator knows better
		t.Fatalf("promote: %d %s", code, said)
	}
	a.register(2, 60_000)
	b = b.restart()
	eventually(t, "the other follows", inSync(a, b))
	if !b.s.is(roleFollower) {
		t.Errorf("it is the %v", b.s.role.Load())
	}
}

// To promote a server that has nothing would empty the list; an operator has to say that it is meant.
func TestPromotionWithoutListNeedsEmptyFlag(t *testing.T) {
	cfg := testConfig(t)
	cfg.Bootstrap, cfg.Number, cfg.Peers = false, 1, []string{"127.0.0.1:1", "127.0.0.1:2"}
	b := startServer(t, cfg, listen(t, "127.0.0.1:0"))
	if code, said := b.callOps("PUT", "/ops/promote"); code != 409 || !strings.Contains(said, "empty=1") {
		t.Errorf("promote: %d %s", code, said)
	}
	if b.s.feed.head() != 0 || !b.s.is(roleFollower) {
		t.Error("it has a list now")
	}
	if code, said := b.callOps("PUT", "/ops/promote?empty=1"); code != 200 {
		t.Errorf("promote: %d %s", code, said)
	}
	b.register(1, 60_000)
}

// A list that is begun anew after all folders were lost must come after what nodes know.
func TestBootstrapAfterEpoch(t *testing.T) {
	cfg := testConfig(t)
	cfg.AfterEpoch = 50
	a := startServer(t, cfg, listen(t, "127.0.0.1:0"))
	if e := a.list().Revision.Epoch(); e <= 50 || e.Owner() != 0 {
		t.Errorf("it begins with epoch %d", e)
	}
}

func TestFollowerLagIsReported(t *testing.T) {
	a, b := startPair(t)
	a.register(1, 60_000)
	eventually(t, "the follower has it all", inSync(a, b))
	eventually(t, "the primary tells of it", func() bool {
		_, text := a.callOps("GET", "/ops/stats")
		return strings.Contains(text, "registry.followers:1|g") && strings.Contains(text, "registry.lag_revisions:0|g")
	})
	if code, _ := b.callOps("GET", "/ops/readiness"); code != 204 {
		t.Errorf("ready: %d", code)
	}
}
