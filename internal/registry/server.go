package registry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"harrierramp/internal/listwatch"
	"harrierramp/internal/rollout"
)

const (
	tick      = 100 * time.Millisecond // between looks at the leases
	maxOrders = 256                    // that are written down together
	// A primary that starts does not know whether another was promoted meanwhile. It takes writes once all the other
	// servers have told their epochs, or once one has and the rest stayed silent for confirmAfter.
	confirmAfter = 3 * time.Second
	storePause   = time.Second // between tries to write a log anew that can't be written
)

// Config is what a server is told at its start.
type Config struct {
	Number      int      // of this server among Peers; no two may have the same
	Peers       []string // addresses of all servers by number, this one's too; empty for one that is alone
	Bootstrap   bool     // with an empty folder, begin a list of one's own
	After       Epoch    // with Bootstrap, the list's epoch is later than this one, for those who have heard of it
	State       string   // the folder that lasts
	Options     Options
	Coalesce    time.Duration // changes so close together are told at once
	MaxWatchers int
	MaxReports  int64         // bytes of notices that are kept
	Settle      time.Duration // a list that is begun anew is told as not whole for so long; 0 for not at all
	StartRate   float64       // whole lists a second that are told to those who begin; the others are told when to come. 0 for any number
	Source      net.Addr      // where connections to other servers come from; nil for the system's choice
}

// Errors of orders.
var (
	errStopped     = errors.New("the server is stopping")
	errUnconfirmed = errors.New("not confirmed yet: no other server has told that its epoch is not later")
	errPrimary     = errors.New("this server is the primary already")
	errBehind      = errors.New("the list is older than what this server has")
	errNoList      = errors.New("no list yet")
	errNothing     = errors.New("this server has never had a list: every instance would be lost; say empty=1 if that is meant")
)

// notPrimary refuses a write.
type notPrimary struct{ primary string }

func (e *notPrimary) Error() string {
	if e.primary == "" {
		return "this server is a follower, and knows no primary"
	}
	return "this server is a follower of " + e.primary
}

// role is what a server is. It is never configured: the epoch in its folder says who owns the list.
type role string

const (
	rolePrimary     role = "primary"
	roleUnconfirmed role = "unconfirmed"
	roleFollower    role = "follower"
)

// plan makes the change that an order asks for, if any, and its answer.
type plan func(now time.Duration) (l List, reply any, err error)

// order is something that may change the list, carried out by the loop. What its plan makes holds once it is written
// down; held is called then.
type order struct {
	plan plan
	held func(now time.Duration, l List)
	done chan result
}

type result struct {
	reply any
	err   error
}

// Server is a list server. One goroutine, in Run, owns all that is not said to be shared.
type Server struct {
	cfg     Config
	log     *slog.Logger
	store   *Store
	cat     *Catalog
	feed    *feed    // shared: what holds
	reports *reports // shared
	figures figures  // shared
	peers   *peers   // shared
	gate    *gate    // shared
	desk    *desk    // shared
	client  *http.Client
	start   time.Time
	orders  chan order
	stopped chan struct{} // closed when orders are no longer taken
	role    atomic.Value  // shared: role
	retryAt time.Duration // of the store
	settled time.Duration // when a list that was begun anew is taken for whole
}

// New opens the folder and reads the list in it.
func New(cfg Config, log *slog.Logger) (*Server, error) {
	if cfg.Number < 0 || cfg.Number >= maxServers || (len(cfg.Peers) > 0 && cfg.Number >= len(cfg.Peers)) {
		return nil, fmt.Errorf("registry: no server has the number %d", cfg.Number)
	}
	store, lists, err := OpenStore(cfg.State)
	if err != nil {
		return nil, err
	}
	reps, err := openReports(cfg.State, cfg.MaxReports)
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	s := &Server{
		cfg: cfg, log: log, store: store, cat: NewCatalog(cfg.Options), feed: newFeed(cfg.Coalesce), reports: reps,
		peers: newPeers(cfg), start: time.Now(), orders: make(chan order, maxOrders), stopped: make(chan struct{}),
		client: listwatch.NewClient(cfg.Source), gate: newGate(cfg.StartRate), desk: newDesk(),
	}
	for _, l := range lists {
		s.cat.Apply(0, l)
	}
	s.cat.Grace(0)
	s.feed.add(lists...)
	if err := s.assume(); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

// assume takes the role that the folder says.
func (s *Server) assume() error {
	head := s.cat.Head()
	switch {
	case head == 0 && s.cfg.Bootstrap, head != 0 && head.Epoch().Owner() == s.cfg.Number:
		s.role.Store(roleUnconfirmed)
	default:
		s.role.Store(roleFollower)
	}
	if s.is(roleUnconfirmed) && len(s.peers.others) == 0 {
		return s.confirm(0)
	}
	return nil
}

func (s *Server) is(r role) bool { return s.role.Load() == r }

func (s *Server) now() time.Duration { return time.Since(s.start) }

// confirm makes a primary of a server that owns its epoch, since nobody has a later one.
func (s *Server) confirm(now time.Duration) error {
	// The end of the log may be lost, with revisions that others have heard: they must not be given out again.
	if s.cat.Head() == 0 || s.store.Cut > 0 {
		l, err := s.promote(s.cfg.After)
		if err == nil {
			err = s.write(l)
		}
		if err != nil {
			return err
		}
		s.cat.Apply(now, l)
		s.feed.add(l)
		s.store.Cut = 0
	}
	s.cat.Grace(now)
	s.settled = now + s.cfg.Settle
	s.role.Store(rolePrimary)
	s.log.Info("primary", "epoch", s.cat.Head().Epoch(), "revision", s.cat.Head(), "instances", s.cat.Len())
	return nil
}

// promote is the list that begins this server's next epoch.
func (s *Server) promote(after Epoch) (List, error) {
	l, err := s.cat.Promote(s.cfg.Number, after)
	l.Settling = l.Settling && s.cfg.Settle > 0
	return l, err
}

func (s *Server) close() error { return errors.Join(s.store.Close(), s.reports.close()) }

// Run carries out orders until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	var parts sync.WaitGroup
	term, end := context.WithCancel(ctx)
	parts.Go(func() { s.askPeers(term) })
	parts.Go(func() { s.follow(term) })
	s.loop(ctx)
	close(s.stopped)
	end()
	parts.Wait()
	s.client.CloseIdleConnections()
	return s.close()
}

func (s *Server) loop(ctx context.Context) {
	ticks := time.NewTicker(tick)
	defer ticks.Stop()
	for {
		var batch []order
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			batch = append(batch, order{plan: s.lapse, held: s.lapsed}, order{plan: s.settle})
			s.heal()
		case o := <-s.orders:
			batch = append(batch, o)
		}
		for more := true; more && len(batch) < maxOrders; {
			select {
			case o := <-s.orders:
				batch = append(batch, o)
			default:
				more = false
			}
		}
		s.carryOut(batch)
	}
}

// carryOut plans the orders one after the other, writes their changes down together, and then tells everybody.
func (s *Server) carryOut(batch []order) {
	now := s.now()
	results := make([]result, len(batch))
	changes := make([]List, len(batch))
	var lists []List
	for i, o := range batch {
		l, reply, err := o.plan(now)
		if results[i] = (result{reply, err}); err == nil && l.Revision != 0 {
			if l.AtMS == 0 { // not copied from who decided it
				l.AtMS = time.Now().UnixMilli()
			}
			s.cat.Apply(now, l)
			lists, changes[i] = append(lists, l), l
		}
	}
	if len(lists) > 0 {
		if err := s.write(lists...); err != nil {
			s.figures.diskErrors.Add(1)
			s.log.Error("changes_not_taken", "count", len(lists), "err", err)
			s.cat.Restore(now, s.feed.whole())
			for i := range results {
				if changes[i].Revision != 0 {
					results[i] = result{err: fmt.Errorf("%w: %w", errStoreDown, err)}
				}
			}
		} else {
			s.feed.add(lists...)
			for i, o := range batch {
				if o.held != nil && changes[i].Revision != 0 {
					o.held(now, changes[i])
				}
			}
		}
	}
	for i, o := range batch {
		if o.done != nil {
			o.done <- results[i]
		}
	}
	s.publish()
}

// write puts lists into the log, or a whole one in its place when it has grown large or can't be appended to.
func (s *Server) write(lists ...List) error {
	due, down := s.now() >= s.retryAt, s.store.Down()
	switch {
	case down && !due:
		return errStoreDown
	case !down && (!due || !s.store.Large()):
		return s.store.Append(lists...)
	}
	s.retryAt = s.now() + storePause
	err := s.store.Compact(s.after(lists))
	if err != nil && !down { // the old log may have room yet
		s.log.Error("log_not_compacted", "err", err)
		return s.store.Append(lists...)
	}
	return err
}

// after is the whole list once the lists hold.
func (s *Server) after(lists []List) List {
	c := NewCatalog(s.cfg.Options)
	c.Apply(0, s.feed.whole())
	for _, l := range lists {
		c.Apply(0, l)
	}
	return c.Whole()
}

// heal writes a log anew that can't be appended to, so that writes are taken again without being asked for.
func (s *Server) heal() {
	if s.store.f == nil || !s.store.Down() || s.now() < s.retryAt {
		return
	}
	s.retryAt = s.now() + storePause
	if err := s.store.Compact(s.feed.whole()); err != nil {
		s.log.Error("log_not_compacted", "err", err)
	}
}

// lapse is the order that time gives.
func (s *Server) lapse(now time.Duration) (List, any, error) {
	if !s.is(rolePrimary) || s.store.Down() {
		return List{}, nil, nil
	}
	preserved := s.cat.Preserved
	l := s.cat.Lapse(now)
	if s.cat.Preserved > preserved {
		s.log.Warn("preserving", "instances", s.cat.Len())
	}
	return l, nil, nil
}

// settle is the order by which time ends the beginning of a list.
func (s *Server) settle(now time.Duration) (List, any, error) {
	if !s.is(rolePrimary) || !s.cat.settling || now < s.settled || s.store.Down() {
		return List{}, nil, nil
	}
	l := s.cat.Settled()
	s.log.Info("list_settled", "revision", l.Revision, "instances", s.cat.Len())
	return l, nil, nil
}

func (s *Server) lapsed(now time.Duration, l List) {
	s.cat.Lapsed(now, l)
	for _, m := range l.Members {
		s.log.Warn("lease_lapsed", "id", m.ID, "host_port", m.Addr)
	}
}

// publish brings the gauges up to date for readers that must not wait for the loop.
func (s *Server) publish() {
	s.desk.with(s.now(), s.feed.head(), func(*rollout.Table) {})
	s.figures.instances.Store(int64(s.cat.Len()))
	s.figures.lapsed.Store(s.cat.Lapses)
	s.figures.preserved.Store(s.cat.Preserved)
	s.figures.preserving.Store(s.cat.Preserving())
	s.figures.logBytes.Store(s.store.Size())
}

// do has the loop carry out an order and waits for its result.
func (s *Server) do(ctx context.Context, o order) (any, error) {
	o.done = make(chan result, 1)
	select {
	case s.orders <- o:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.stopped:
		return nil, errStopped
	}
	select {
	case r := <-o.done:
		return r.reply, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.stopped:
		return nil, errStopped
	}
}

// asPrimary lets a plan through only where the list is written.
func (s *Server) asPrimary(p plan) plan {
	return func(now time.Duration) (List, any, error) {
		switch {
		case s.is(roleFollower):
			return List{}, nil, &notPrimary{s.peers.primary()}
		case s.is(roleUnconfirmed):
			return List{}, nil, errUnconfirmed
		}
		return p(now)
	}
}

// Promote makes this server the primary, by an epoch after all that it and the servers it reaches know of. One that
// has never had a list begins an empty one only if that is asked for.
func (s *Server) Promote(ctx context.Context, empty bool) (Epoch, error) {
	known := s.askAll(ctx)
	reply, err := s.do(ctx, order{
		plan: func(now time.Duration) (List, any, error) {
			if s.is(rolePrimary) {
				return List{}, nil, errPrimary
			}
			if s.cat.Head() == 0 && !empty {
				return List{}, nil, errNothing
			}
			l, err := s.promote(known)
			return l, l.Revision.Epoch(), err
		},
		held: func(now time.Duration, l List) {
			s.cat.Grace(now)
			s.settled = now + s.cfg.Settle
			s.role.Store(rolePrimary)
			s.log.Warn("promoted", "epoch", l.Revision.Epoch(), "instances", s.cat.Len())
		},
	})
	if err != nil {
		return 0, err
	}
	return reply.(Epoch), nil
}

// jittered is a pause of about d.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }
