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
	ErrUnknown = errors.New("no such instance")
	ErrFull    = errors.New("the list is full")
	ErrBad     = errors.New("bad claim")
)

// Conflict is a claim on an id or an address that another has.
type Conflict struct {
	What   string        // what is taken
	Holder string        // the id that has it
	After  time.Duration // when it falls free, if its lease is not renewed
}

func (c *Conflict) Error() string {
	return fmt.Sprintf("%s is taken by %s for another %d ms", c.What, c.Holder, c.After.Milliseconds())
}

// Options are the rules of a catalog.
type Options struct {
	MaxInstances int
	Grace        time.Duration // what every lease gets on top when a server starts or is promoted
	// A server that loses sight of more than PreserveShare of its instances at once, and of at least PreserveLeast,
	// is more likely cut off itself: it lets no lease lapse, for at most PreserveFor.
	PreserveShare float64
	PreserveLeast int
	PreserveFor   time.Duration
}

// DefaultOptions are the rules unless a deployment says otherwise.
func DefaultOptions() Options {
	return Options{
		MaxInstances: 10_000, Grace: 5 * time.Second,
		PreserveShare: 0.5, PreserveLeast: 3, PreserveFor: 10 * time.Minute,
	}
}

// Catalog holds the instances and their leases. Whatever changes the list is a List that the catalog makes and then
// applies: the caller writes it down in between, so that nothing holds that would not outlast the process.
//
// Invariants: no two members have an id or an address in common; head only rises.
type Catalog struct {
	opt     Options
	head    Revision
	past    lineage
	members map[string]*held
	byAddr  map[string]string

	floor      *listwatch.Floor
	settling   bool // the list was begun anew, until Settled holds
	preserving bool
	since      time.Duration // preserving, or the last time it was not
	lapsed     []lapse       // of the last lease time, oldest first
	Lapses     int64         // leases that lapsed
	Preserved  int64         // times that lapses were held back
}

// held is a member whose lease ends at until.
type held struct {
	Member
	until time.Duration
}

func (h *held) lease() time.Duration { return time.Duration(h.LeaseMS) * time.Millisecond }

// lapse is how many leases lapsed together.
type lapse struct {
	at    time.Duration
	count int
}

// NewCatalog is an empty list without a revision.
func NewCatalog(opt Options) *Catalog {
	return &Catalog{opt: opt, members: map[string]*held{}, byAddr: map[string]string{}}
}

// Head is the revision of the list.
func (c *Catalog) Head() Revision { return c.head }

// Len is how many instances are listed.
func (c *Catalog) Len() int { return len(c.members) }

// Preserving tells whether lapses are held back now.
func (c *Catalog) Preserving() bool { return c.preserving }

// Whole is the whole list, with leases and lineage.
func (c *Catalog) Whole() List {
	l := List{Revision: c.head, Complete: true, Members: make([]Member, 0, len(c.members)), Lineage: c.past, Settling: c.settling, Floor: c.floor}
	for _, h := range c.members {
		l.Members = append(l.Members, h.Member)
	}
	slices.SortFunc(l.Members, byID)
	return l
}

// Apply takes over a list that was made here, read from the log or heard from the primary. Leases begin anew by it.
func (c *Catalog) Apply(now time.Duration, l List) {
	if l.Complete {
		clear(c.members)
		clear(c.byAddr)
	}
	for _, m := range l.Members {
		// In a list of several changes the address may be another's by now.
		if old := c.members[m.ID]; old != nil && c.byAddr[old.Addr] == m.ID {
			delete(c.byAddr, old.Addr)
		}
		if m.Phase == Deleted {
			delete(c.members, m.ID)
			continue
		}
		h := &held{Member: m}
		h.until = now + h.lease()
		c.members[m.ID], c.byAddr[m.Addr] = h, m.ID
	}
	if l.Complete || l.Lineage != nil {
		c.past = l.Lineage
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
func (c *Catalog) Grace(now time.Duration) {
	for _, h := range c.members {
		h.until = now + h.lease() + c.opt.Grace
	}
	c.preserving, c.lapsed = false, nil
}

// changes is the next revision of this epoch.
func (c *Catalog) changes(members ...Member) List {
	return List{Revision: c.head + 1, Members: members, Settling: c.settling}
}

// Require sets what is asked of every node; an empty floor asks nothing any more. No revision can be asked for that is
// not given yet.
func (c *Catalog) Require(f listwatch.Floor) (List, error) {
	for name, word := range map[string]string{"build": f.Build, "config": f.Config} {
		if word == "" {
			continue
		}
		if err := checkWord(name, word); err != nil {
			return List{}, fmt.Errorf("%w: %w", ErrBad, err)
		}
	}
	if f.Revision < 0 || Revision(f.Revision) > c.head {
		return List{}, fmt.Errorf("%w: revision %d, and the last that is given is %d", ErrBad, f.Revision, c.head)
	}
	if c.floor == nil && f == (listwatch.Floor{}) || c.floor != nil && *c.floor == f {
		return List{}, nil
	}
	l := c.changes()
	l.Members, l.Floor = []Member{}, &f
	return l, nil
}

// Settled ends the time in which the list that was begun anew may lack instances that are there.
func (c *Catalog) Settled() List {
	l := c.changes()
	l.Members, l.Settling = []Member{}, false
	return l
}

// Register grants a claim on an id and an address. Without a change to the list, the claim is only a renewal.
//
// An owner is a process. Another owner gets an id while its lease lives only if it has started later at the same
// address, for then the one before is gone. An owner that tells no start is taken to have started by the wall clock.
func (c *Catalog) Register(now time.Duration, wallMS int64, m Member) (List, error) {
	old := c.members[m.ID]
	same := old != nil && old.Owner == m.Owner
	if m.Phase == "" {
		if m.Phase = Serving; same {
			m.Phase = old.Phase // as operators may have set it
		}
	}
	if m.UpSince == 0 {
		if m.UpSince = wallMS; same {
			m.UpSince = old.UpSince
		}
	}
	if m.Phase == Deleted {
		return List{}, fmt.Errorf("%w: phase %q is not for a claim", ErrBad, Deleted)
	}
	if err := m.check(); err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrBad, err)
	}
	live := old != nil && old.until > now
	if restarted := old != nil && old.Addr == m.Addr && m.UpSince > old.UpSince; live && !same && !restarted {
		return List{}, &Conflict{"id " + m.ID, m.ID, old.until - now}
	}
	if old != nil && !same {
		m.UpSince = max(m.UpSince, old.UpSince+1) // a restart shows, whatever the clock did
	}
	var gone []Member
	if id := c.byAddr[m.Addr]; id != "" && id != m.ID {
		other := c.members[id]
		if other.until > now {
			return List{}, &Conflict{"host_port " + m.Addr, id, other.until - now}
		}
		gone = append(gone, deleted(other.Member))
	}
	if old == nil && len(c.members)-len(gone) >= c.opt.MaxInstances {
		return List{}, ErrFull
	}
	if same && old.Member == m {
		old.until = now + old.lease()
		return List{}, nil
	}
	return c.changes(append(gone, m)...), nil
}

// of finds a member for its owner. Operators come with no owner.
func (c *Catalog) of(now time.Duration, id, owner string) (*held, error) {
	h := c.members[id]
	switch {
	case h == nil:
		return nil, ErrUnknown
	case owner != "" && h.Owner != owner:
		return nil, &Conflict{"id " + id, id, max(h.until-now, 0)}
	}
	return h, nil
}

// Renew keeps a lease for its full time from now.
func (c *Catalog) Renew(now time.Duration, id, owner string) (time.Duration, error) {
	h, err := c.of(now, id, owner)
	if err != nil {
		return 0, err
	}
	h.until = now + h.lease()
	return h.lease(), nil
}

// Withdraw takes an instance from the list.
func (c *Catalog) Withdraw(now time.Duration, id, owner string) (List, error) {
	h, err := c.of(now, id, owner)
	if err != nil {
		return List{}, err
	}
	return c.changes(deleted(h.Member)), nil
}

// SetPhase changes an instance's phase; an owner's word is a renewal as well.
func (c *Catalog) SetPhase(now time.Duration, id, owner, phase string) (List, error) {
	h, err := c.of(now, id, owner)
	if err != nil {
		return List{}, err
	}
	if phase != Serving && phase != Draining {
		return List{}, fmt.Errorf("%w: phase %q is not known: %s or %s", ErrBad, phase, Serving, Draining)
	}
	if owner != "" {
		h.until = now + h.lease()
	}
	if h.Phase == phase {
		return List{}, nil
	}
	m := h.Member
	m.Phase = phase
	return c.changes(m), nil
}

func deleted(m Member) Member {
	m.Phase = Deleted
	return m
}

// Lapse takes those from the list whose leases have ended, unless too many ended at once.
func (c *Catalog) Lapse(now time.Duration) List {
	var late []string
	quiet, longest := 0, time.Duration(0)
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		h := c.members[id]
		// Whoever renews in time does so twice in a lease, so half a lease without a word is a sign already. Counted
		// only when over, the first leases to end would be taken for single losses.
		if h.until-now <= h.lease()/2 {
			quiet++
			longest = max(longest, h.lease())
		}
		if h.until <= now {
			late = append(late, id)
		}
	}
	c.lapsed = slices.DeleteFunc(c.lapsed, func(l lapse) bool { return now-l.at > max(longest, minLease) })
	total := len(c.members)
	for _, l := range c.lapsed {
		quiet, total = quiet+l.count, total+l.count
	}
	if most := quiet >= c.opt.PreserveLeast && float64(quiet) > c.opt.PreserveShare*float64(total); !most {
		if c.preserving {
			// Contact is back, but not everybody has used it yet.
			for _, id := range late {
				c.members[id].until = now + c.members[id].lease()
			}
			late, c.preserving = nil, false
		}
	} else if len(late) > 0 {
		if !c.preserving {
			c.preserving, c.since = true, now
			c.Preserved++
		}
		if now-c.since < c.opt.PreserveFor {
			late = nil
		}
	}
	if len(late) == 0 {
		return List{}
	}
	gone := make([]Member, len(late))
	for i, id := range late {
		gone[i] = deleted(c.members[id].Member)
	}
	return c.changes(gone...)
}

// Lapsed notes that a list made by Lapse holds.
func (c *Catalog) Lapsed(now time.Duration, l List) {
	c.Lapses += int64(len(l.Members))
	c.lapsed = append(c.lapsed, lapse{now, len(l.Members)})
}

// Promote begins an epoch of this server's after the given one, which no server may have passed.
func (c *Catalog) Promote(server int, after Epoch) (List, error) {
	e, err := max(after, c.head.Epoch()).next(server)
	if err != nil {
		return List{}, err
	}
	return List{Revision: firstOf(e), Lineage: c.past.after(c.head), Settling: c.settling || len(c.members) == 0}, nil
}
