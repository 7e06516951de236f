package registry

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// watcherView is the list that a watcher builds from the lines it receives.
type watcherView struct {
	revision Revision
	members  map[string]Member
}

func (v *watcherView) apply(l List) {
	if l.Complete {
		v.members = map[string]Member{}
	}
	for _, m := range l.Members {
		if v.members[m.ID] = m; m.Phase == Deleted {
			delete(v.members, m.ID)
		}
	}
	v.revision = l.Revision
}

// A watcher that misses any changes and reconnects to either of two servers ends up with that server's list. The
// sequence includes changes, promotions, a primary that continues alone, and its return as a follower.
func TestWatchersConvergeOnServerList(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		type server struct {
			c *Catalog
			h *History
		}
		add := func(s server, l List) {
			if l.Revision != 0 {
				s.c.Apply(0, l)
				s.h.Add(l)
			}
		}
		var servers [2]server
		for i := range servers {
			servers[i] = server{NewCatalog(DefaultOptions()), NewHistory()}
		}
		promote := func(i int) {
			// A server without contact to the other does not know its epoch and may choose an earlier one.
			var known Epoch
			if rng.IntN(2) == 0 {
				known = servers[1-i].c.Head().Epoch()
			}
			l, err := servers[i].c.Promote(i, known)
			if err != nil {
				t.Fatal(err)
			}
			add(servers[i], l)
		}
		promote(0)
		watchers := make([]watcherView, 12)
		primary, connected := 0, true
		for range 400 {
			s := servers[primary]
			m := instance(rng.IntN(15))
			switch rng.IntN(8) {
			case 0, 1, 2, 3:
				m.Size = 1 + rng.Float64()
				if l, err := s.c.Register(0, 0, m); err == nil {
					add(s, l)
				}
			case 4:
				if l, err := s.c.Withdraw(0, m.ID, ""); err == nil {
					add(s, l)
				}
			case 5:
				connected = rng.IntN(3) > 0
			case 6: // the other is promoted; changes that it has not received are lost
				if rng.IntN(6) == 0 {
					promote(1 - primary)
					if servers[1-primary].c.Head() > s.c.Head() {
						primary = 1 - primary
					}
				}
			}
			s = servers[primary]
			if f := servers[1-primary]; connected && rng.IntN(2) == 0 && f.c.Head() != s.c.Head() {
				add(f, s.h.Since(f.c.Head()))
				if f.c.Head() != s.c.Head() || !reflect.DeepEqual(f.c.Snapshot(), s.c.Snapshot()) {
					t.Fatalf("seed %d: the follower has %+v, the primary %+v", seed, f.c.Snapshot(), s.c.Snapshot())
				}
			}
			w := &watchers[rng.IntN(len(watchers))]
			// A watcher chooses another server if this one's list is older than its own.
			if at := servers[rng.IntN(2)]; at.c.Head() >= w.revision && at.c.Head() > 0 {
				w.apply(at.h.Since(w.revision))
				want := watcherView{members: map[string]Member{}}
				want.apply(at.c.Snapshot())
				if !reflect.DeepEqual(*w, want) {
					t.Fatalf("seed %d: a watcher sees %+v, the server has %+v", seed, *w, want)
				}
			}
		}
	}
}

func TestPromotionRaisesRevision(t *testing.T) {
	c := newTestCatalog(t, 3)
	seen := c.Head()
	behind := NewCatalog(DefaultOptions())
	behind.Apply(0, c.Snapshot())
	register(t, c, 0, instance(4)) // the other never receives it
	for _, s := range []int{2, 3, 2} {
		l, err := behind.Promote(s, 0)
		if err != nil {
			t.Fatal(err)
		}
		behind.Apply(0, l)
		if behind.Head() <= c.Head() || behind.Head() <= seen || behind.Head().Epoch().Owner() != s {
			t.Fatalf("revision %d by %d after %d and %d", behind.Head(), s, c.Head(), seen)
		}
		seen = behind.Head()
	}
	if other, err := c.Promote(1, 0); err != nil || other.Revision.Epoch() == behind.Head().Epoch() {
		t.Errorf("two servers own epoch %d, %v", other.Revision.Epoch(), err)
	}
}

func TestEpochOverflow(t *testing.T) {
	if e, err := maxEpoch.nextOwnedBy(0); err == nil {
		t.Errorf("epoch %d after the last", e)
	}
}

func TestCompactedOrUnknownRevisionGetsFullList(t *testing.T) {
	c, h := newTestCatalog(t, 1), NewHistory()
	h.Add(c.Snapshot())
	first := c.Head()
	for n := range maxHistory + 10 {
		m := instance(0)
		m.Size = float64(2 + n)
		l, err := c.Register(0, 0, m)
		if err != nil {
			t.Fatal(err)
		}
		c.Apply(0, l)
		h.Add(l)
	}
	if len(h.changes) != maxHistory {
		t.Errorf("%d changes are kept", len(h.changes))
	}
	for name, c := range map[string]struct {
		after Revision
		whole bool
	}{
		"compacted": {first, true}, "ahead": {c.Head() + 1, true}, "at the floor": {h.compacted, false},
		"present": {c.Head(), false}, "of no epoch": {5, true}, "none": {0, true},
	} {
		if l := h.Since(c.after); l.Complete != c.whole || l.Revision != h.head {
			t.Errorf("%s: %d, complete %v", name, l.Revision, l.Complete)
		}
	}
	if l := h.Since(h.compacted); len(l.Members) != 1 {
		t.Errorf("%d changes of one instance are sent as %d", maxHistory, len(l.Members))
	}
}

func BenchmarkSince(b *testing.B) {
	for _, count := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c, h := NewCatalog(DefaultOptions()), NewHistory()
			for n := range count {
				l, err := c.Register(0, 0, instance(n))
				if err != nil {
					b.Fatal(err)
				}
				c.Apply(time.Second, l)
				h.Add(l)
			}
			for b.Loop() {
				h.Since(c.Head() - 1)
			}
		})
	}
}
