package registry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

const leaseTTL = 10 * time.Second

func instance(n int) Member {
	return Member{
		Instance: Instance{
			ID: fmt.Sprintf("s-%04d", n), Addr: fmt.Sprintf("10.0.%d.%d:80", n/250, 1+n%250), Locality: "a", Flavor: "m",
			Cell: n % 7, Size: 1, UpSince: 1000,
		},
		Owner: fmt.Sprintf("p-%d", n), LeaseMS: leaseTTL.Milliseconds(),
	}
}

// newTestCatalog returns a catalog in its first epoch with count instances registered at time 0.
func newTestCatalog(t *testing.T, count int) *Catalog {
	t.Helper()
	c := NewCatalog(DefaultOptions())
	first, err := c.Promote(1, 0)
	if err != nil {
		t.Fatal(err)
	}
	c.Apply(0, first)
	for n := range count {
		register(t, c, 0, instance(n))
	}
	return c
}

func register(t *testing.T, c *Catalog, now time.Duration, m Member) List {
	t.Helper()
	l, err := c.Register(now, 5000, m)
	if err != nil {
		t.Fatalf("register %s: %v", m.ID, err)
	}
	c.apply(now, l)
	return l
}

// apply applies a list as a server does after it was persisted.
func (c *Catalog) apply(now time.Duration, l List) {
	if l.Revision != 0 {
		c.Apply(now, l)
	}
}

func expireLeases(c *Catalog, now time.Duration) int {
	l := c.Expire(now)
	c.apply(now, l)
	c.RecordExpired(now, l)
	return len(l.Members)
}

func TestUnrenewedLeaseExpires(t *testing.T) {
	c := newTestCatalog(t, 10)
	for at := time.Second; at < 3*leaseTTL; at += time.Second {
		for n := 1; n < 10; n++ {
			if _, err := c.Renew(at, instance(n).ID, instance(n).Owner); err != nil {
				t.Fatal(err)
			}
		}
		before := c.Head()
		expired := expireLeases(c, at)
		if want := at == leaseTTL; (expired == 1) != want || expired > 1 {
			t.Fatalf("%d leases expired at %v", expired, at)
		}
		if (c.Head() > before) != (expired > 0) {
			t.Fatalf("revision %d after %d with %d leases expired", c.Head(), before, expired)
		}
	}
	if _, err := c.Renew(3*leaseTTL, instance(0).ID, instance(0).Owner); !errors.Is(err, ErrNotFound) {
		t.Errorf("an expired lease was renewed: %v", err)
	}
}

func TestRenewalAndRepeatedRegistrationAreNoChange(t *testing.T) {
	c := newTestCatalog(t, 1)
	if l := register(t, c, time.Second, instance(0)); l.Revision != 0 {
		t.Errorf("a repeated registration made revision %d", l.Revision)
	}
	if expireLeases(c, leaseTTL) != 0 {
		t.Error("a repeated registration did not renew the lease")
	}
}

// If two processes register the same id, the second gets it only if it started later at the same address, or after the
// lease of the first has ended.
func TestIDConflict(t *testing.T) {
	other := instance(0)
	other.Owner, other.Addr = "other", "10.9.9.9:80"
	c := newTestCatalog(t, 1)
	var conflict *ConflictError
	if _, err := c.Register(time.Second, 5000, other); !errors.As(err, &conflict) {
		t.Fatalf("an id was taken from its owner: %v", err)
	}
	if conflict.ExpiresIn != leaseTTL-time.Second {
		t.Errorf("conflict ends after %v", conflict.ExpiresIn)
	}
	if _, err := c.Renew(time.Second, other.ID, other.Owner); !errors.As(err, &conflict) {
		t.Errorf("another's lease was renewed: %v", err)
	}
	if _, err := c.Withdraw(time.Second, other.ID, other.Owner); !errors.As(err, &conflict) {
		t.Errorf("another's instance was withdrawn: %v", err)
	}
	if l := register(t, c, leaseTTL, other); len(l.Members) != 1 {
		t.Errorf("registration after the lease ended: %v", l)
	}
}

func TestRestartShowsWhenClockIsSetBack(t *testing.T) {
	c := newTestCatalog(t, 1)
	again := instance(0)
	again.Owner, again.UpSince = "restarted", 2000
	if l := register(t, c, time.Second, again); len(l.Members) != 1 || l.Members[0].UpSince != 2000 {
		t.Fatalf("restart changed %+v", l)
	}
	late := instance(0)
	late.Owner, late.UpSince = "late", 1500 // its clock has been set back
	if _, err := c.Register(2*time.Second, 5000, late); err == nil {
		t.Error("a process that started before the present one took its id")
	}
	if l := register(t, c, time.Minute, late); l.Members[0].UpSince <= 2000 {
		t.Errorf("restart is not visible: up since %d after 2000", l.Members[0].UpSince)
	}
}

func TestAddressHasOneOwner(t *testing.T) {
	c := newTestCatalog(t, 1)
	twin := instance(1)
	twin.Addr = instance(0).Addr
	var conflict *ConflictError
	if _, err := c.Register(time.Second, 5000, twin); !errors.As(err, &conflict) || conflict.Holder != instance(0).ID {
		t.Fatalf("an address was registered twice: %v", err)
	}
	l := register(t, c, leaseTTL, twin)
	if len(l.Members) != 2 || c.Len() != 1 {
		t.Errorf("the previous holder of the address was not withdrawn: %+v", l)
	}
}

// A list of several changes is ordered by id, so an address may appear at its new member before or after the change of
// its old member. Both must leave the address with the new one.
func TestAddressesSwappedInOneList(t *testing.T) {
	c := newTestCatalog(t, 2)
	a, b := instance(0), instance(1)
	a.Phase, b.Phase = Serving, Serving
	a.Addr, b.Addr = b.Addr, a.Addr
	c.Apply(0, List{Revision: c.Head() + 1, Members: []Member{a, b}})
	for _, m := range []Member{a, b} {
		twin := instance(5)
		twin.Addr = m.Addr
		if _, err := c.Register(time.Second, 5000, twin); err == nil {
			t.Errorf("the address of %s was registered twice", m.ID)
		}
	}
}

func TestInvalidRegistrations(t *testing.T) {
	c := newTestCatalog(t, 1)
	for name, invalidate := range map[string]func(*Member){
		"no id":         func(m *Member) { m.ID = "" },
		"long id":       func(m *Member) { m.ID = string(make([]byte, 65)) },
		"id with slash": func(m *Member) { m.ID = "a/b" },
		"no owner":      func(m *Member) { m.Owner = "" },
		"bad phase":     func(m *Member) { m.Phase = "READY" },
		"deleted":       func(m *Member) { m.Phase = Deleted },
		"no port":       func(m *Member) { m.Addr = "10.0.0.1" },
		"port 0":        func(m *Member) { m.Addr = "10.0.0.1:0" },
		"huge port":     func(m *Member) { m.Addr = "10.0.0.1:65536" },
		"no host":       func(m *Member) { m.Addr = ":80" },
		"bad cell":      func(m *Member) { m.Cell = -1 },
		"bad size":      func(m *Member) { m.Size = -1 },
		"short lease":   func(m *Member) { m.LeaseMS = 1 },
		"endless lease": func(m *Member) { m.LeaseMS = 1 << 62 },
	} {
		m := instance(7)
		invalidate(&m)
		if l, err := c.Register(0, 5000, m); err == nil {
			t.Errorf("%s: accepted as %+v", name, l)
		}
	}
	if c.Head() != firstRevision(17)+1 || c.Len() != 1 {
		t.Errorf("invalid registrations changed the list: revision %d, %d instances", c.Head(), c.Len())
	}
}

func TestCatalogIsBounded(t *testing.T) {
	opt := DefaultOptions()
	opt.MaxInstances = 2
	c := NewCatalog(opt)
	register(t, c, 0, instance(0))
	register(t, c, 0, instance(1))
	if _, err := c.Register(0, 0, instance(2)); !errors.Is(err, ErrFull) {
		t.Errorf("third instance with a limit of 2: %v", err)
	}
}

// An instance that registers again keeps the phase that an operator set.
func TestPhaseSurvivesReregistration(t *testing.T) {
	c := newTestCatalog(t, 1)
	l, err := c.SetPhase(0, instance(0).ID, "", Draining)
	if err != nil {
		t.Fatal(err)
	}
	c.apply(0, l)
	register(t, c, time.Second, instance(0))
	if got := c.Snapshot().Members[0].Phase; got != Draining {
		t.Errorf("phase %s", got)
	}
}

// When most instances go silent at once, the server keeps them. When they return, it does not remove the slower ones.
// The leases of those that stay silent then expire.
func TestPreservationOnMassExpiry(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		rng := rand.New(rand.NewPCG(seed, 0))
		const count = 40
		c := newTestCatalog(t, count)
		next := make([]time.Duration, count)
		for n := range next {
			next[n] = rand.N(leaseTTL / 3)
		}
		cut, back := 30*time.Second, 90*time.Second
		neverReturns := func(n int) bool { return n%4 == 0 } // never returns
		for at := time.Duration(0); at < 3*time.Minute; at += 100 * time.Millisecond {
			for n := range next {
				silent := at >= cut && (at < back || neverReturns(n))
				if at < next[n] || silent {
					continue
				}
				next[n] = at + leaseTTL/4 + time.Duration(rng.Int64N(int64(leaseTTL/6)))
				if _, err := c.Renew(at, instance(n).ID, instance(n).Owner); err != nil {
					t.Fatalf("seed %d: %v at %v", seed, err, at)
				}
			}
			expireLeases(c, at)
			if at < back+leaseTTL && c.Len() != count {
				t.Fatalf("seed %d: %d of %d left at %v", seed, c.Len(), count, at)
			}
			if at == back-time.Second && !c.Preserving() {
				t.Fatalf("seed %d: not preserving at %v", seed, at)
			}
		}
		if c.Len() != count*3/4 || c.Preserving() {
			t.Errorf("seed %d: %d left in the end, preserving %v", seed, c.Len(), c.Preserving())
		}
	}
}

func TestPreservationTimesOut(t *testing.T) {
	c := newTestCatalog(t, 10)
	for at := time.Duration(0); at < c.opts.PreserveFor+leaseTTL; at += time.Second {
		if expireLeases(c, at) != 0 {
			t.Fatalf("lease expired at %v", at)
		}
	}
	if expireLeases(c, c.opts.PreserveFor+2*leaseTTL) != 10 {
		t.Error("leases did not expire after PreserveFor")
	}
}

func TestLeaseGraceAfterStart(t *testing.T) {
	c := newTestCatalog(t, 3)
	again := NewCatalog(DefaultOptions())
	at := time.Hour
	again.Apply(at, c.Snapshot())
	again.ExtendLeases(at)
	if again.Expire(at+leaseTTL+again.opts.Grace-1).Revision != 0 {
		t.Error("lease expired within the grace time")
	}
	if !reflect.DeepEqual(again.Snapshot(), c.Snapshot()) {
		t.Errorf("got %+v, want %+v", again.Snapshot(), c.Snapshot())
	}
}
