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
	tickInterval    = 100 * time.Millisecond // between looks at the leases
	maxCommandBatch = 256                    // that are written down together
	// A primary that starts does not know whether another was promoted meanwhile. It takes writes once all the other
	// servers have told their epochs, or once one has and the rest stayed silent for confirmAfter.
	confirmTimeout     = 3 * time.Second
	storeRetryInterval = time.Second // between tries to write a log anew that can't be written
)

// Config is what a server is told at its start.
type Config struct {
	Number         int      // of this server among Peers; no two may have the same
	Peers          []string // addresses of all servers by number, this one's too; empty for one that is alone
	Bootstrap      bool     // with an empty folder, begin a list of one's own
	AfterEpoch     Epoch    // with Bootstrap, the list's epoch is later than this one, for those who have heard of it
	StateDir       string   // the folder that lasts
	Options        Options
	Coalesce       time.Duration // changes so close together are told at once
	MaxWatchers    int
	MaxReportBytes int64         // bytes of notices that are kept
	SettleTime     time.Duration // a list that is begun anew is told as not whole for so long; 0 for not at all
	StartRate      float64       // whole lists a second that are told to those who begin; the others are told when to come. 0 for any number
	SourceAddr     net.Addr      // where connections to other servers come from; nil for the system's choice
}

// Errors of orders.
var (
	errStopped        = errors.New("the server is stopping")
	errUnconfirmed    = errors.New("not confirmed yet: no other server has told that its epoch is not later")
	errAlreadyPrimary = errors.New("this server is the primary already")
	errStaleList      = errors.New("the list is older than what this server has")
	errNoList         = errors.New("no list yet")
	errNeverHadList   = errors.New("this server has never had a list: every instance would be lost; say empty=1 if that is meant")
)

// notPrimary refuses a write.
type notPrimaryError struct{ primary string }

func (e *notPrimaryError) Error() string {
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
type planFunc func(now time.Duration) (l List, reply any, err error)

// order is something that may change the list, carried out by the loop. What its plan makes holds once it is written
// down; held is called then.
type command struct {
	plan     planFunc
	onCommit func(now time.Duration, l List)
	done     chan result
}

type result struct {
	reply any
	err   error
}

// Server is a list server. One goroutine, in Run, owns all that is not said to be shared.
type Server struct {
	cfg          Config
	log          *slog.Logger
	store        *Store
	catalog      *Catalog
	feed         *feed             // shared: what holds
	notices      *noticeLog        // shared
	stats        stats             // shared
	peers        *peers            // shared
	admission    *admissionControl // shared
	rollout      *rolloutTable     // shared
	client       *http.Client
	startedAt    time.Time
	commands     chan command
	stopped      chan struct{} // closed when orders are no longer taken
	role         atomic.Value  // shared: role
	storeRetryAt time.Duration // of the store
	settleAt     time.Duration // when a list that was begun anew is taken for whole
}

// New opens the folder and reads the list in it.
func New(cfg Config, log *slog.Logger) (*Server, error) {
	if cfg.Number < 0 || cfg.Number >= maxServers || (len(cfg.Peers) > 0 && cfg.Number >= len(cfg.Peers)) {
		return nil, fmt.Errorf("registry: no server has the number %d", cfg.Number)
	}
	store, lists, err := OpenStore(cfg.StateDir)
	if err != nil {
		return nil, err
	}
	notices, err := openNoticeLog(cfg.StateDir, cfg.MaxReportBytes)
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	s := &Server{
		cfg: cfg, log: log, store: store, catalog: NewCatalog(cfg.Options), feed: newFeed(cfg.Coalesce), notices: notices,
		peers: newPeers(cfg), startedAt: time.Now(), commands: make(chan command, maxCommandBatch), stopped: make(chan struct{}),
		client: listwatch.NewClient(cfg.SourceAddr), admission: newAdmissionControl(cfg.StartRate), rollout: newRolloutTable(),
	}
	for _, l := range lists {
		s.catalog.Apply(0, l)
	}
	s.catalog.ExtendLeases(0)
	s.feed.publish(lists...)
	if err := s.initRole(); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

// assume takes the role that the folder says.
func (s *Server) initRole() error {
	head := s.catalog.Head()
	switch {
	case head == 0 && s.cfg.Bootstrap, head != 0 && head.Epoch().Owner() == s.cfg.Number:
		s.role.Store(roleUnconfirmed)
	default:
		s.role.Store(roleFollower)
	}
	if s.is(roleUnconfirmed) && len(s.peers.others) == 0 {
		return s.confirmPrimary(0)
	}
	return nil
}

func (s *Server) is(r role) bool { return s.role.Load() == r }

func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// confirm makes a primary of a server that owns its epoch, since nobody has a later one.
func (s *Server) confirmPrimary(now time.Duration) error {
	// The end of the log may be lost, with revisions that others have heard: they must not be given out again.
	if s.catalog.Head() == 0 || s.store.TruncatedBytes > 0 {
		l, err := s.planPromotion(s.cfg.AfterEpoch)
		if err == nil {
			err = s.persist(l)
		}
		if err != nil {
			return err
		}
		s.catalog.Apply(now, l)
		s.feed.publish(l)
		s.store.TruncatedBytes = 0
	}
	s.catalog.ExtendLeases(now)
	s.settleAt = now + s.cfg.SettleTime
	s.role.Store(rolePrimary)
	s.log.Info("primary", "epoch", s.catalog.Head().Epoch(), "revision", s.catalog.Head(), "instances", s.catalog.Len())
	return nil
}

// promote is the list that begins this server's next epoch.
func (s *Server) planPromotion(after Epoch) (List, error) {
	l, err := s.catalog.Promote(s.cfg.Number, after)
	l.Settling = l.Settling && s.cfg.SettleTime > 0
	return l, err
}

func (s *Server) close() error { return errors.Join(s.store.Close(), s.notices.close()) }

// Run carries out orders until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	runCtx, cancel := context.WithCancel(ctx)
	workers.Go(func() { s.pollPeers(runCtx) })
	workers.Go(func() { s.followPrimary(runCtx) })
	s.loop(ctx)
	close(s.stopped)
	cancel()
	workers.Wait()
	s.client.CloseIdleConnections()
	return s.close()
}

func (s *Server) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var batch []command
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			batch = append(batch, command{plan: s.planExpiry, onCommit: s.expired}, command{plan: s.planSettled})
			s.repairLog()
		case cmd := <-s.commands:
			batch = append(batch, cmd)
		}
		for more := true; more && len(batch) < maxCommandBatch; {
			select {
			case cmd := <-s.commands:
				batch = append(batch, cmd)
			default:
				more = false
			}
		}
		s.execute(batch)
	}
}

// carryOut plans the orders one after the other, writes their changes down together, and then tells everybody.
func (s *Server) execute(batch []command) {
	now := s.now()
	results := make([]result, len(batch))
	changes := make([]List, len(batch))
	var lists []List
	for i, cmd := range batch {
		l, reply, err := cmd.plan(now)
		if results[i] = (result{reply, err}); err == nil && l.Revision != 0 {
			if l.AtMS == 0 { // not copied from who decided it
				l.AtMS = time.Now().UnixMilli()
			}
			s.catalog.Apply(now, l)
			lists, changes[i] = append(lists, l), l
		}
	}
	if len(lists) > 0 {
		if err := s.persist(lists...); err != nil {
			s.stats.diskErrors.Add(1)
			s.log.Error("changes_not_taken", "count", len(lists), "err", err)
			s.catalog.Restore(now, s.feed.snapshot())
			for i := range results {
				if changes[i].Revision != 0 {
					results[i] = result{err: fmt.Errorf("%w: %w", errStoreUnavailable, err)}
				}
			}
		} else {
			s.feed.publish(lists...)
			for i, cmd := range batch {
				if cmd.onCommit != nil && changes[i].Revision != 0 {
					cmd.onCommit(now, changes[i])
				}
			}
		}
	}
	for i, cmd := range batch {
		if cmd.done != nil {
			cmd.done <- results[i]
		}
	}
	s.updateStats()
}

// write puts lists into the log, or a whole one in its place when it has grown large or can't be appended to.
func (s *Server) persist(lists ...List) error {
	due, down := s.now() >= s.storeRetryAt, s.store.Unwritable()
	switch {
	case down && !due:
		return errStoreUnavailable
	case !down && (!due || !s.store.ShouldCompact()):
		return s.store.Append(lists...)
	}
	s.storeRetryAt = s.now() + storeRetryInterval
	err := s.store.Compact(s.snapshotAfter(lists))
	if err != nil && !down { // the old log may have room yet
		s.log.Error("log_not_compacted", "err", err)
		return s.store.Append(lists...)
	}
	return err
}

// after is the whole list once the lists hold.
func (s *Server) snapshotAfter(lists []List) List {
	c := NewCatalog(s.cfg.Options)
	c.Apply(0, s.feed.snapshot())
	for _, l := range lists {
		c.Apply(0, l)
	}
	return c.Snapshot()
}

// heal writes a log anew that can't be appended to, so that writes are taken again without being asked for.
func (s *Server) repairLog() {
	if s.store.file == nil || !s.store.Unwritable() || s.now() < s.storeRetryAt {
		return
	}
	s.storeRetryAt = s.now() + storeRetryInterval
	if err := s.store.Compact(s.feed.snapshot()); err != nil {
		s.log.Error("log_not_compacted", "err", err)
	}
}

// lapse is the order that time gives.
func (s *Server) planExpiry(now time.Duration) (List, any, error) {
	if !s.is(rolePrimary) || s.store.Unwritable() {
		return List{}, nil, nil
	}
	preserved := s.catalog.Preservations
	l := s.catalog.Expire(now)
	if s.catalog.Preservations > preserved {
		s.log.Warn("preserving", "instances", s.catalog.Len())
	}
	return l, nil, nil
}

// settle is the order by which time ends the beginning of a list.
func (s *Server) planSettled(now time.Duration) (List, any, error) {
	if !s.is(rolePrimary) || !s.catalog.settling || now < s.settleAt || s.store.Unwritable() {
		return List{}, nil, nil
	}
	l := s.catalog.EndSettling()
	s.log.Info("list_settled", "revision", l.Revision, "instances", s.catalog.Len())
	return l, nil, nil
}

func (s *Server) expired(now time.Duration, l List) {
	s.catalog.RecordExpired(now, l)
	for _, m := range l.Members {
		s.log.Warn("lease_lapsed", "id", m.ID, "host_port", m.Addr)
	}
}

// publish brings the gauges up to date for readers that must not wait for the loop.
func (s *Server) updateStats() {
	s.rollout.update(s.now(), s.feed.head(), func(*rollout.Table) {})
	s.stats.instances.Store(int64(s.catalog.Len()))
	s.stats.expiredLeases.Store(s.catalog.ExpiredLeases)
	s.stats.preservations.Store(s.catalog.Preservations)
	s.stats.preserving.Store(s.catalog.Preserving())
	s.stats.logBytes.Store(s.store.Size())
}

// do has the loop carry out an order and waits for its result.
func (s *Server) submit(ctx context.Context, cmd command) (any, error) {
	cmd.done = make(chan result, 1)
	select {
	case s.commands <- cmd:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.stopped:
		return nil, errStopped
	}
	select {
	case r := <-cmd.done:
		return r.reply, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.stopped:
		return nil, errStopped
	}
}

// asPrimary lets a plan through only where the list is written.
func (s *Server) primaryOnly(p planFunc) planFunc {
	return func(now time.Duration) (List, any, error) {
		switch {
		case s.is(roleFollower):
			return List{}, nil, &notPrimaryError{s.peers.primary()}
		case s.is(roleUnconfirmed):
			return List{}, nil, errUnconfirmed
		}
		return p(now)
	}
}

// Promote makes this server the primary, by an epoch after all that it and the servers it reaches know of. One that
// has never had a list begins an empty one only if that is asked for.
func (s *Server) Promote(ctx context.Context, empty bool) (Epoch, error) {
	known := s.pollAllPeers(ctx)
	reply, err := s.submit(ctx, command{
		plan: func(now time.Duration) (List, any, error) {
			if s.is(rolePrimary) {
				return List{}, nil, errAlreadyPrimary
			}
			if s.catalog.Head() == 0 && !empty {
				return List{}, nil, errNeverHadList
			}
			l, err := s.planPromotion(known)
			return l, l.Revision.Epoch(), err
		},
		onCommit: func(now time.Duration, l List) {
			s.catalog.ExtendLeases(now)
			s.settleAt = now + s.cfg.SettleTime
			s.role.Store(rolePrimary)
			s.log.Warn("promoted", "epoch", l.Revision.Epoch(), "instances", s.catalog.Len())
		},
	})
	if err != nil {
		return 0, err
	}
	return reply.(Epoch), nil
}

// jittered is a pause of about d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
