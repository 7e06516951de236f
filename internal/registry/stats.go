package registry

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"harrierramp/internal/rollout"
)

// stats holds the counters and gauges for operators. Counters start at 0 with the process, as those of nodes do.
type stats struct {
	instances, logBytes                 atomic.Int64
	expiredLeases, preservations        atomic.Int64
	preserving                          atomic.Bool
	watchers, resyncs, slowWatchers     atomic.Int64
	lines, bytes                        atomic.Int64 // written to watchers
	connections, rejectedConnections    atomic.Int64
	badRequests, refusedCalls, failures atomic.Int64
	diskErrors, notices                 atomic.Int64
	deferred                            atomic.Int64 // requests that were told when to retry
	primaryHeardAt                      atomic.Int64 // Unix time in nanoseconds of the primary's last line
	followers                           followerSet
}

// followerSet holds, for each watch by a following server, the last revision that was sent on it.
type followerSet struct {
	mu            sync.Mutex
	sentRevisions map[*atomic.Int64]struct{}
}

func (f *followerSet) add(sentRevision *atomic.Int64) (remove func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sentRevisions == nil {
		f.sentRevisions = map[*atomic.Int64]struct{}{}
	}
	f.sentRevisions[sentRevision] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.sentRevisions, sentRevision)
	}
}

// lag returns the number of followers and the largest number of revisions that one of them lags behind head.
func (f *followerSet) lag(head Revision) (count int, maxLag int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for sentRevision := range f.sentRevisions {
		maxLag = max(maxLag, int64(head)-sentRevision.Load())
	}
	return len(f.sentRevisions), maxLag
}

// statsText returns the statistics as StatsD lines.
func (s *Server) statsText() []byte {
	var b bytes.Buffer
	f, st := &s.stats, s.status()
	count := func(name string, v *atomic.Int64) { fmt.Fprintf(&b, "registry.%s:%d|c\n", name, v.Load()) }
	gauge := func(name string, v int64) { fmt.Fprintf(&b, "registry.%s:%d|g\n", name, v) }
	flag := func(on bool) int64 {
		if on {
			return 1
		}
		return 0
	}
	gauge("revision", int64(st.Revision))
	gauge("epoch", int64(st.Epoch))
	gauge("primary", flag(st.Role == rolePrimary))
	gauge("instances", f.instances.Load())
	gauge("watchers", f.watchers.Load())
	count("resyncs", &f.resyncs)
	count("slow", &f.slowWatchers)
	count("lines", &f.lines)
	count("bytes", &f.bytes)
	count("lapsed", &f.expiredLeases)
	count("preserved", &f.preservations)
	gauge("preserving", flag(f.preserving.Load()))
	followers, maxLag := f.followers.lag(st.Revision)
	gauge("followers", int64(followers))
	gauge("lag_revisions", maxLag)
	gauge("lag_ms", s.primarySilence().Milliseconds())
	gauge("connections", f.connections.Load())
	count("turned_away", &f.rejectedConnections)
	count("told_later", &f.deferred)
	gauge("turns_out", int64(s.admission.outstanding()))
	s.rollout.update(s.now(), s.feed.head(), func(t *rollout.Table) {
		nodes, behind, silent, oldest := t.Counts(s.now())
		gauge("nodes", int64(nodes))
		gauge("nodes_behind", int64(behind))
		gauge("nodes_silent", int64(silent))
		gauge("oldest_revision", oldest)
		fmt.Fprintf(&b, "registry.claims_refused:%d|c\n", t.Rejected)
	})
	count("bad_calls", &f.badRequests)
	count("refused", &f.refusedCalls)
	count("failures", &f.failures)
	count("disk_errors", &f.diskErrors)
	gauge("log_bytes", f.logBytes.Load())
	count("notices", &f.notices)
	return b.Bytes()
}

// primarySilence returns how long a follower has heard nothing from its primary; 0 unless this server is a follower.
func (s *Server) primarySilence() time.Duration {
	if !s.is(roleFollower) {
		return 0
	}
	heardAt := s.stats.primaryHeardAt.Load()
	if heardAt == 0 {
		return s.now()
	}
	return time.Since(time.Unix(0, heardAt))
}
