// Package registry implements the list service: instances register under leases, and clients read the list of
// instances or watch it for changes. Catalog, History and the functions on lists are deterministic and use no clock,
// file or socket. Store owns the log file; Server owns the sockets and the one goroutine that changes the state.
package registry

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"harrierramp/internal/listwatch"
)

// Reasons for which a request is refused. A conflict has its own type, ConflictError.
var (
	ErrNotFound = errors.New("no such instance")
	ErrFull     = errors.New("the list is full")
	ErrInvalid  = errors.New("bad claim")
)

// ConflictError reports that a requested id or address is held by another instance or owner.
type ConflictError struct {
	Resource  string        // the id or address in conflict
	Holder    string        // id of the instance that holds it
	ExpiresIn time.Duration // remaining time of the holder's lease
}

func (c *ConflictError) Error() string {
	return fmt.Sprintf("%s is taken by %s for another %d ms", c.Resource, c.Holder, c.ExpiresIn.Milliseconds())
}

// Options configures a catalog.
type Options struct {
	MaxInstances int
	Grace        time.Duration // added to every lease when a server starts or is promoted
	// A server that hears nothing from more than PreserveShare of its instances at once, and from at least
	// PreserveMinCount, is more likely cut off itself. It then expires no lease for at most PreserveFor
	// (self-preservation).
	PreserveShare    float64
	PreserveMinCount int
	PreserveFor      time.Duration
}

// DefaultOptions returns the options that apply unless the configuration overrides them.
func DefaultOptions() Options {
	return Options{
		MaxInstances: 10_000, Grace: 5 * time.Second,
		PreserveShare: 0.5, PreserveMinCount: 3, PreserveFor: 10 * time.Minute,
	}
}

// Catalog holds the instances and their leases. A method that changes the list returns the change as a List and does
// not apply it. The caller persists that List and then passes it to Apply, so that a change takes effect only once it
// survives a restart of the process.
//
// Invariants: no two members share an id or an address; head never decreases.
type Catalog struct {
	opts     Options
	head     Revision
	lineage  lineage
	members  map[string]*leasedMember
	idByAddr map[string]string

	floor           *listwatch.Floor
	settling        bool // the list was newly begun, and the change made by EndSettling is not applied yet
	preserving      bool
	preservingSince time.Duration // start of the present or the latest self-preservation
	recentExpiries  []expiry      // within the last lease duration, oldest first
	ExpiredLeases   int64         // total number of expired leases
	Preservations   int64         // how often self-preservation began
}

// leasedMember is a member with the time at which its lease ends.
type leasedMember struct {
	Member
	expiresAt time.Duration
}

func (h *leasedMember) leaseDuration() time.Duration {
	return time.Duration(h.LeaseMS) * time.Millisecond
}

// expiry records how many leases expired at one time.
type expiry struct {
	at    time.Duration
	count int
}

// NewCatalog returns an empty catalog at revision 0.
func NewCatalog(opt Options) *Catalog {
	return &Catalog{opts: opt, members: map[string]*leasedMember{}, idByAddr: map[string]string{}}
}

// Head returns the revision of the list.
func (c *Catalog) Head() Revision { return c.head }

// Len returns the number of listed instances.
func (c *Catalog) Len() int { return len(c.members) }

// Preserving reports whether self-preservation holds back expired leases now.
func (c *Catalog) Preserving() bool { return c.preserving }

// Snapshot returns the complete list with leases and lineage.
func (c *Catalog) Snapshot() List {
	l := List{Revision: c.head, Complete: true, Members: make([]Member, 0, len(c.members)), Lineage: c.lineage, Settling: c.settling, Floor: c.floor}
	for _, h := range c.members {
		l.Members = append(l.Members, h.Member)
	}
	slices.SortFunc(l.Members, compareByID)
	return l
}

// Apply applies a list that was made by this catalog, read from the log or received from the primary. The lease of
// each member in it restarts at now.
func (c *Catalog) Apply(now time.Duration, l List) {
	if l.Complete {
		clear(c.members)
		clear(c.idByAddr)
	}
	for _, m := range l.Members {
		// If the list holds several changes, an earlier one may have given the old address to another member.
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

// Restore returns to a complete list, because the changes applied after it could not be persisted.
func (c *Catalog) Restore(now time.Duration, l List) {
	c.head = 0
	c.Apply(now, l)
}

// ExtendLeases restarts every lease with its full duration plus the grace time. It is called after a start or a
// promotion, before which the owners could not renew their leases.
func (c *Catalog) ExtendLeases(now time.Duration) {
	for _, h := range c.members {
		h.expiresAt = now + h.leaseDuration() + c.opts.Grace
	}
	c.preserving, c.recentExpiries = false, nil
}

// delta returns a list with the given changes at the next revision of the present epoch.
func (c *Catalog) delta(members ...Member) List {
	return List{Revision: c.head + 1, Members: members, Settling: c.settling}
}

// SetFloor returns the change that sets the minimum build, configuration and revision required of every node; an empty
// floor removes the requirement. A required revision must have been issued already.
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

// EndSettling returns the change that ends the period in which a newly begun list may lack running instances.
func (c *Catalog) EndSettling() List {
	l := c.delta()
	l.Members, l.Settling = []Member{}, false
	return l
}

// Register registers an instance under an id and an address. A registration that changes nothing in the list is a
// renewal of the lease.
//
// An owner is a process. While the lease of an id is valid, another owner gets the id only if it started later at the
// same address, because then the previous process has ended. If an owner states no start time, wallMS is taken.
func (c *Catalog) Register(now time.Duration, wallMS int64, m Member) (List, error) {
	old := c.members[m.ID]
	sameOwner := old != nil && old.Owner == m.Owner
	if m.Phase == "" {
		if m.Phase = Serving; sameOwner {
			m.Phase = old.Phase // an operator may have set it
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
		m.UpSince = max(m.UpSince, old.UpSince+1) // a restart must be visible even if the clock was set back
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

// lookup returns the member with the given id if owner owns it. An empty owner stands for an operator, who may act on
// every member.
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

// Renew restarts a lease with its full duration and returns that duration.
func (c *Catalog) Renew(now time.Duration, id, owner string) (time.Duration, error) {
	h, err := c.lookup(now, id, owner)
	if err != nil {
		return 0, err
	}
	h.expiresAt = now + h.leaseDuration()
	return h.leaseDuration(), nil
}

// Withdraw returns the change that removes an instance from the list.
func (c *Catalog) Withdraw(now time.Duration, id, owner string) (List, error) {
	h, err := c.lookup(now, id, owner)
	if err != nil {
		return List{}, err
	}
	return c.delta(asDeleted(h.Member)), nil
}

// SetPhase returns the change of an instance's phase. If the owner calls it, the lease is renewed as well.
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

// Expire returns the change that removes the instances whose leases have ended. It removes none while
// self-preservation is active, which begins if too many instances are silent at once and lasts at most PreserveFor.
func (c *Catalog) Expire(now time.Duration) List {
	var expired []string
	silent, longestLease := 0, time.Duration(0)
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		h := c.members[id]
		// An owner renews at least twice per lease, so half a lease without a renewal already counts as silence. If
		// only ended leases counted, the first ones of a mass loss would be taken for single losses and removed.
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
			// Contact has returned, but some instances may not have renewed since: their leases restart.
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

// RecordExpired counts the leases of a list that was made by Expire and has been applied.
func (c *Catalog) RecordExpired(now time.Duration, l List) {
	c.ExpiredLeases += int64(len(l.Members))
	c.recentExpiries = append(c.recentExpiries, expiry{now, len(l.Members)})
}

// Promote returns the list that begins an epoch owned by this server. The epoch follows both the catalog's own and
// after, the latest epoch known of other servers.
func (c *Catalog) Promote(server int, after Epoch) (List, error) {
	e, err := max(after, c.head.Epoch()).nextOwnedBy(server)
	if err != nil {
		return List{}, err
	}
	return List{Revision: firstRevision(e), Lineage: c.lineage.extend(c.head), Settling: c.settling || len(c.members) == 0}, nil
}
