// Package registry is the project's own list service: instances register under leases, and whoever wants to know
// who is there reads the list or watches it. Catalog, History and the functions on lists are deterministic and know
// no clock, file or socket; Store owns the file, and Server the sockets and the one goroutine that changes things.
package registry

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"harrierramp/internal/listwatch"
)

// Why a claim is not granted. A Conflict is told by its own type.
var (
	ErrNotFound = errors.New("no such instance")
	ErrFull     = errors.New("the list is full")
	ErrInvalid  = errors.New("bad claim")
)

// Conflict is a claim on an id or an address that another has.
type ConflictError struct {
	Resource  string        // what is taken
	Holder    string        // the id that has it
	ExpiresIn time.Duration // when it falls free, if its lease is not renewed
}

func (c *ConflictError) Error() string {
	return fmt.Sprintf("%s is taken by %s for another %d ms", c.Resource, c.Holder, c.ExpiresIn.Milliseconds())
}

// Options are the rules of a catalog.
type Options struct {
	MaxInstances int
	Grace        time.Duration // what every lease gets on top when a server starts or is promoted
	// A server that loses sight of more than PreserveShare of its instances at once, and of at least PreserveLeast,
	// is more likely cut off itself: it lets no lease lapse, for at most PreserveFor.
	PreserveShare    float64
	PreserveMinCount int
	PreserveFor      time.Duration
}

// DefaultOptions are the rules unless a deployment says otherwise.
func DefaultOptions() Options {
	return Options{
		MaxInstances: 10_000, Grace: 5 * time.Second,
		PreserveShare: 0.5, PreserveMinCount: 3, PreserveFor: 10 * time.Minute,
	}
}

// Catalog holds the instances and their leases. Whatever changes the list is a List that the catalog makes and then
// applies: the caller writes it down in between, so that nothing holds that would not outlast the process.
//
// Invariants: no two members have an id or an address in common; head only rises.
type Catalog struct {
	opts     Options
	head     Revision
	lineage  lineage
	members  map[string]*leasedMember
	idByAddr map[string]string

	floor           *listwatch.Floor
	settling        bool // the list was begun anew, until Settled holds
	preserving      bool
	preservingSince time.Duration // preserving, or the last time it was not
	recentExpiries  []expiry      // of the last lease time, oldest first
	ExpiredLeases   int64         // leases that lapsed
	Preservations   int64         // times that lapses were held back
}

// held is a member whose lease ends at until.
type leasedMember struct {
	Member
	expiresAt time.Duration
}

func (h *leasedMember) leaseDuration() time.Duration {
	return time.Duration(h.LeaseMS) * time.Millisecond
}

// lapse is how many leases lapsed together.
type expiry struct {
	at    time.Duration
	count int
}

// NewCatalog is an empty list without a revision.
func NewCatalog(opt Options) *Catalog {
	return &Catalog{opts: opt, members: map[string]*leasedMember{}, idByAddr: map[string]string{}}
}

// Head is the revision of the list.
func (c *Catalog) Head() Revision { return c.head }

// Len is how many instances are listed.
func (c *Catalog) Len() int { return len(c.members) }

// Preserving tells whether lapses are held back now.
func (c *Catalog) Preserving() bool { return c.preserving }

// Whole is the whole list, with leases and lineage.
func (c *Catalog) Snapshot() List {
	l := List{Revision: c.head, Complete: true, Members: make([]Member, 0, len(c.members)), Lineage: c.lineage, Settling: c.settling, Floor: c.floor}
	for _, h := range c.members {
		l.Members = append(l.Members, h.Member)
	}
	slices.SortFunc(l.Members, compareByID)
	return l
}

// Apply takes over a list that was made here, read from the log or heard from the primary. Leases begin anew by it.
func (c *Catalog) Apply(now time.Duration, l List) {
	if l.Complete {
		clear(c.members)
		clear(c.idByAddr)
	}
	for _, m := range l.Members {
		// In a list of several changes the address may be another's by now.
		if old := c.members[m.ID]; old != nil && c.idByAddr[old.Addr] == m.ID {
			delete(c.idByAddr, old.Addr)
		}
		if m.Phase == Deleted {
			delete(c.members, m.ID)
			continue
		}
		h := &leasedMember{Member: m}
		h.expiresAt = now + h.leaseDuration()
		c.members[m.ID], c.idByAddr[m.Addr] = h, m.ID
	}
	if l.Complete || l.Lineage != nil {
		c.lineage = l.Lineage
	}
	if l.Complete || l.Floor != nil {
		c.floor = l.Floor
	}
	c.head, c.settling = max(c.head, l.Revision), l.Settling
}

// Restore goes back to a whole list: what was applied after it could not be written down.
func (c *Catalog) Restore(now time.Duration, l List) {
	c.head = 0
	c.Apply(now, l)
}

// Grace gives every lease its full time and the grace on top: those who hold them could not renew them of late.
func (c *Catalog) ExtendLeases(now time.Duration) {
	for _, h := range c.members {
		h.expiresAt = now + h.leaseDuration() + c.opts.Grace
	}
	c.preserving, c.recentExpiries = false, nil
}

// changes is the next revision of this epoch.
func (c *Catalog) delta(members ...Member) List {
	return List{Revision: c.head + 1, Members: members, Settling: c.settling}
}

// Require sets what is asked of every node; an empty floor asks nothing any more. No revision can be asked for that is
// not given yet.
func (c *Catalog) SetFloor(f listwatch.Floor) (List, error) {
	for name, value := range map[string]string{"build": f.Build, "config": f.Config} {
		if value == "" {
			continue
		}
		if err := validateName(name, value); err != nil {
			return List{}, fmt.Errorf("%w: %w", ErrInvalid, err)
		}
	}
	if f.Revision < 0 || Revision(f.Revision) > c.head {
		return List{}, fmt.Errorf("%w: revision %d, and the last that is given is %d", ErrInvalid, f.Revision, c.head)
	}
	if c.floor == nil && f == (listwatch.Floor{}) || c.floor != nil && *c.floor == f {
		return List{}, nil
	}
	l := c.delta()
	l.Members, l.Floor = []Member{}, &f
	return l, nil
}

// Settled ends the time in which the list that was begun anew may lack instances that are there.
func (c *Catalog) EndSettling() List {
	l := c.delta()
	l.Members, l.Settling = []Member{}, false
	return l
}

// Register grants a claim on an id and an address. Without a change to the list, the claim is only a renewal.
//
// An owner is a process. Another owner gets an id while its lease lives only if it has started later at the same
// address, for then the one before is gone. An owner that tells no start is taken to have started by the wall clock.
func (c *Catalog) Register(now time.Duration, wallMS int64, m Member) (List, error) {
	old := c.members[m.ID]
	sameOwner := old != nil && old.Owner == m.Owner
	if m.Phase == "" {
		if m.Phase = Serving; sameOwner {
			m.Phase = old.Phase // as operators may have set it
		}
	}
	if m.UpSince == 0 {
		if m.UpSince = wallMS; sameOwner {
			m.UpSince = old.UpSince
		}
	}
	if m.Phase == Deleted {
		return List{}, fmt.Errorf("%w: phase %q is not for a claim", ErrInvalid, Deleted)
	}
	if err := m.validate(); err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	live := old != nil && old.expiresAt > now
	if restarted := old != nil && old.Addr == m.Addr && m.UpSince > old.UpSince; live && !sameOwner && !restarted {
		return List{}, &ConflictError{"id " + m.ID, m.ID, old.expiresAt - now}
	}
	if old != nil && !sameOwner {
		m.UpSince = max(m.UpSince, old.UpSince+1) // a restart shows, whatever the clock did
	}
	var removed []Member
	if id := c.idByAddr[m.Addr]; id != "" && id != m.ID {
		other := c.members[id]
		if other.expiresAt > now {
			return List{}, &ConflictError{"host_port " + m.Addr, id, other.expiresAt - now}
		}
		removed = append(removed, asDeleted(other.Member))
	}
	if old == nil && len(c.members)-len(removed) >= c.opts.MaxInstances {
		return List{}, ErrFull
	}
	if sameOwner && old.Member == m {
		old.expiresAt = now + old.leaseDuration()
		return List{}, nil
	}
	return c.delta(append(removed, m)...), nil
}

// of finds a member for its owner. Operators come with no owner.
func (c *Catalog) lookup(now time.Duration, id, owner string) (*leasedMember, error) {
	h := c.members[id]
	switch {
	case h == nil:
		return nil, ErrNotFound
	case owner != "" && h.Owner != owner:
		return nil, &ConflictError{"id " + id, id, max(h.expiresAt-now, 0)}
	}
	return h, nil
}

// Renew keeps a lease for its full time from now.
func (c *Catalog) Renew(now time.Duration, id, owner string) (time.Duration, error) {
	h, err := c.lookup(now, id, owner)
	if err != nil {
		return 0, err
	}
	h.expiresAt = now + h.leaseDuration()
	return h.leaseDuration(), nil
}

// Withdraw takes an instance from the list.
func (c *Catalog) Withdraw(now time.Duration, id, owner string) (List, error) {
	h, err := c.lookup(now, id, owner)
	if err != nil {
		return List{}, err
	}
	return c.delta(asDeleted(h.Member)), nil
}

// SetPhase changes an instance's phase; an owner's word is a renewal as well.
func (c *Catalog) SetPhase(now time.Duration, id, owner, phase string) (List, error) {
	h, err := c.lookup(now, id, owner)
	if err != nil {
		return List{}, err
	}
	if phase != Serving && phase != Draining {
		return List{}, fmt.Errorf("%w: phase %q is not known: %s or %s", ErrInvalid, phase, Serving, Draining)
	}
	if owner != "" {
		h.expiresAt = now + h.leaseDuration()
	}
	if h.Phase == phase {
		return List{}, nil
	}
	m := h.Member
	m.Phase = phase
	return c.delta(m), nil
}

func asDeleted(m Member) Member {
	m.Phase = Deleted
	return m
}

// Lapse takes those from the list whose leases have ended, unless too many ended at once.
func (c *Catalog) Expire(now time.Duration) List {
	var expired []string
	silent, longestLease := 0, time.Duration(0)
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		h := c.members[id]
		// Whoever renews in time does so twice in a lease, so half a lease without a word is a sign already. Counted
		// only when over, the first leases to end would be taken for single losses.
		if h.expiresAt-now <= h.leaseDuration()/2 {
			silent++
			longestLease = max(longestLease, h.leaseDuration())
		}
		if h.expiresAt <= now {
			expired = append(expired, id)
		}
	}
	c.recentExpiries = slices.DeleteFunc(c.recentExpiries, func(l expiry) bool { return now-l.at > max(longestLease, minLease) })
	total := len(c.members)
	for _, l := range c.recentExpiries {
		silent, total = silent+l.count, total+l.count
	}
	if massLoss := silent >= c.opts.PreserveMinCount && float64(silent) > c.opts.PreserveShare*float64(total); !massLoss {
		if c.preserving {
			// Contact is back, but not everybody has used it yet.
			for _, id := range expired {
				c.members[id].expiresAt = now + c.members[id].leaseDuration()
			}
			expired, c.preserving = nil, false
		}
	} else if len(expired) > 0 {
		if !c.preserving {
			c.preserving, c.preservingSince = true, now
			c.Preservations++
		}
		if now-c.preservingSince < c.opts.PreserveFor {
			expired = nil
		}
	}
	if len(expired) == 0 {
		return List{}
	}
	removed := make([]Member, len(expired))
	for i, id := range expired {
		removed[i] = asDeleted(c.members[id].Member)
	}
	return c.delta(removed...)
}

// Lapsed notes that a list made by Lapse holds.
func (c *Catalog) RecordExpired(now time.Duration, l List) {
	c.ExpiredLeases += int64(len(l.Members))
	c.recentExpiries = append(c.recentExpiries, expiry{now, len(l.Members)})
}

// Promote begins an epoch of this server's after the given one, which no server may have passed.
func (c *Catalog) Promote(server int, after Epoch) (List, error) {
	e, err := max(after, c.head.Epoch()).nextOwnedBy(server)
	if err != nil {
		return List{}, err
	}
	return List{Revision: firstRevision(e), Lineage: c.lineage.extend(c.head), Settling: c.settling || len(c.members) == 0}, nil
}
