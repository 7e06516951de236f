package registry

import (
	"cmp"
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
	tickInterval    = 100 * time.Millisecond // between checks for expired leases
	maxCommandBatch = 256                    // commands whose changes are persisted together
	// A primary that starts does not know whether another server was promoted meanwhile. It accepts writes once all
	// other servers have reported their epochs, or once one has and the rest have been silent for confirmTimeout.
	confirmTimeout     = 3 * time.Second
	storeRetryInterval = time.Second // between attempts to compact the log
)

// Config configures a server.
type Config struct {
	Number         int      // index of this server in Peers; unique among the servers
	Peers          []string // addresses of all servers by number, including this one; empty for a single server
	Bootstrap      bool     // begin a new list if the state directory is empty
	AfterEpoch     Epoch    // with Bootstrap, the new list's epoch is later than this one, which nodes may know
	StateDir       string   // state directory
	Options        Options
	Coalesce       time.Duration // changes within this interval are sent together
	MaxWatchers    int
	MaxReportBytes int64         // size limit of the stored notices in bytes; 0 for the default
	SettleTime     time.Duration // how long a newly begun list is marked as settling; 0 to leave it unmarked
	// StartRate limits the complete lists per second that are sent to starting clients. Further clients get a time to
	// retry. 0 means no limit.
	StartRate   float64
	LargeBodies int      // large bodies that are read at once; 0 for the default
	SourceAddr  net.Addr // local address of connections to other servers; nil for the system's choice
}

// Errors of commands.
var (
	errStopped        = errors.New("the server is stopping")
	errUnconfirmed    = errors.New("not confirmed yet: no other server has told that its epoch is not later")
	errAlreadyPrimary = errors.New("this server is the primary already")
	errStaleList      = errors.New("received list is older than this server's list")
	errNoList         = errors.New("no list yet")
	errNeverHadList   = errors.New("this server has never had a list: every instance would be lost; say empty=1 if that is meant")
)

// notPrimaryError refuses a write on a follower; primary is the primary's address, empty if unknown.
type notPrimaryError struct{ primary string }

func (e *notPrimaryError) Error() string {
	if e.primary == "" {
		return "this server is a follower, and knows no primary"
	}
	return "this server is a follower of " + e.primary
}

// role is the role of a server. It is not configured but follows from the epoch in the state directory, which
// determines the server that owns the list.
type role string

const (
	rolePrimary     role = "primary"
	roleUnconfirmed role = "unconfirmed"
	roleFollower    role = "follower"
)

// planFunc computes the change that a command makes, if any, and the command's reply.
type planFunc func(now time.Duration) (l List, reply any, err error)

// command is a possible change of the list that the loop executes. The change made by plan takes effect once it is
// persisted; then onCommit is called.
type command struct {
	plan     planFunc
	onCommit func(now time.Duration, l List)
	done     chan result
}

type result struct {
	reply any
	err   error
}

// Server is a list server. The fields not marked as shared belong to the one goroutine of the loop in Run.
type Server struct {
	cfg          Config
	log          *slog.Logger
	store        *Store
	catalog      *Catalog
	feed         *feed             // shared: the persisted list and its changes
	notices      *noticeLog        // shared
	stats        stats             // shared
	peers        *peers            // shared
	admission    *admissionControl // shared
	largeBodies  chan struct{}     // shared: holds one element per large body that is being read
	rollout      *rolloutTable     // shared
	client       *http.Client
	startedAt    time.Time
	commands     chan command
	stopped      chan struct{} // closed when commands are no longer executed
	role         atomic.Value  // shared: role
	storeRetryAt time.Duration // time of the next attempt to compact the log
	settleAt     time.Duration // when a newly begun list counts as settled
}

// New opens the state directory and reads the list in it.
func New(cfg Config, log *slog.Logger) (*Server, error) {
	if cfg.Number < 0 || cfg.Number >= maxServers || (len(cfg.Peers) > 0 && cfg.Number >= len(cfg.Peers)) {
		return nil, fmt.Errorf("registry: invalid server number %d", cfg.Number)
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
		client: listwatch.NewClient(cfg.SourceAddr), admission: newAdmissionControl(cfg.StartRate), largeBodies: make(chan struct{}, cmp.Or(cfg.LargeBodies, defaultLargeBodies)), rollout: newRolloutTable(),
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

// initRole sets the role that follows from the state directory.
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

// confirmPrimary makes this server, which owns its epoch, the primary after no other server reported a later epoch.
func (s *Server) confirmPrimary(now time.Duration) error {
	// After a truncated log, lost revisions may have been received by others and must not be issued again.
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

// planPromotion returns the list that begins this server's next epoch.
func (s *Server) planPromotion(after Epoch) (List, error) {
	l, err := s.catalog.Promote(s.cfg.Number, after)
	l.Settling = l.Settling && s.cfg.SettleTime > 0
	return l, err
}

func (s *Server) close() error { return errors.Join(s.store.Close(), s.notices.close()) }

// Run executes commands until ctx ends, then closes the server's files.
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

// execute plans the commands one after the other, persists their changes together, and then publishes them and sends
// the results.
func (s *Server) execute(batch []command) {
	now := s.now()
	results := make([]result, len(batch))
	changes := make([]List, len(batch))
	var lists []List
	for i, cmd := range batch {
		l, reply, err := cmd.plan(now)
		if results[i] = (result{reply, err}); err == nil && l.Revision != 0 {
			if l.AtMS == 0 { // a replicated change already has the time of the server that decided it
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

// persist appends lists to the log. If the log has grown large or can't be appended to, it is compacted into a complete
// list instead.
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
	if err != nil && !down { // appending to the old log may still succeed
		s.log.Error("log_not_compacted", "err", err)
		return s.store.Append(lists...)
	}
	return err
}

// snapshotAfter returns the complete list as it is after the given lists are applied.
func (s *Server) snapshotAfter(lists []List) List {
	c := NewCatalog(s.cfg.Options)
	c.Apply(0, s.feed.snapshot())
	for _, l := range lists {
		c.Apply(0, l)
	}
	return c.Snapshot()
}

// repairLog compacts a log that can't be appended to, so that the server recovers without waiting for a write.
func (s *Server) repairLog() {
	if s.store.file == nil || !s.store.Unwritable() || s.now() < s.storeRetryAt {
		return
	}
	s.storeRetryAt = s.now() + storeRetryInterval
	if err := s.store.Compact(s.feed.snapshot()); err != nil {
		s.log.Error("log_not_compacted", "err", err)
	}
}

// planExpiry is the plan of the periodic command that removes expired leases.
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

// planSettled is the plan of the periodic command that ends the settling of a newly begun list.
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

// updateStats updates the gauges, so that readers of statistics need not wait for the loop.
func (s *Server) updateStats() {
	s.rollout.update(s.now(), s.feed.head(), func(*rollout.Table) {})
	s.stats.instances.Store(int64(s.catalog.Len()))
	s.stats.expiredLeases.Store(s.catalog.ExpiredLeases)
	s.stats.preservations.Store(s.catalog.Preservations)
	s.stats.preserving.Store(s.catalog.Preserving())
	s.stats.logBytes.Store(s.store.Size())
}

// submit has the loop execute a command and waits for its result.
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

// primaryOnly wraps a plan so that it is refused unless this server is the primary.
func (s *Server) primaryOnly(plan planFunc) planFunc {
	return func(now time.Duration) (List, any, error) {
		switch {
		case s.is(roleFollower):
			return List{}, nil, &notPrimaryError{s.peers.primary()}
		case s.is(roleUnconfirmed):
			return List{}, nil, errUnconfirmed
		}
		return plan(now)
	}
}

// Promote makes this server the primary with an epoch later than those of this server and of all servers that it
// reaches. A server that has never had a list begins an empty one only if empty is set.
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

// jitter returns a random duration from d/2 to 3d/2.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
