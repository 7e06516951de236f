package registry

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"harrierramp/internal/rollout"
)

// figures are what operators read, in the form of the nodes' figures: counters run from the start of the process.
type figures struct {
	instances, logBytes         atomic.Int64
	lapsed, preserved           atomic.Int64
	preserving                  atomic.Bool
	watchers, resyncs, slow     atomic.Int64
	lines, bytes                atomic.Int64 // written to watchers
	connections, turnedAway     atomic.Int64
	badCalls, refused, failures atomic.Int64
	diskErrors, notices         atomic.Int64
	later                       atomic.Int64 // asks that were told when to come
	heard                       atomic.Int64 // Unix time in nanoseconds; the primary's last line
	followers                   followers
}

// followers are the watches that other servers follow this one by, with the revision that each has been sent.
type followers struct {
	mu sync.Mutex
	at map[*atomic.Int64]struct{}
}

func (f *followers) add(at *atomic.Int64) (gone func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at == nil {
		f.at = map[*atomic.Int64]struct{}{}
	}
	f.at[at] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.at, at)
	}
}

// behind tells how many there are, and how many revisions the last of them is behind.
func (f *followers) behind(head Revision) (count int, most int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for at := range f.at {
		most = max(most, int64(head)-at.Load())
	}
	return len(f.at), most
}

// text writes the figures as StatsD lines.
func (s *Server) text() []byte {
	var b bytes.Buffer
	f, st := &s.figures, s.status()
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
	count("slow", &f.slow)
	count("lines", &f.lines)
	count("bytes", &f.bytes)
	count("lapsed", &f.lapsed)
	count("preserved", &f.preserved)
	gauge("preserving", flag(f.preserving.Load()))
	followers, behind := f.followers.behind(st.Revision)
	gauge("followers", int64(followers))
	gauge("lag_revisions", behind)
	gauge("lag_ms", s.silent().Milliseconds())
	gauge("connections", f.connections.Load())
	count("turned_away", &f.turnedAway)
	count("told_later", &f.later)
	gauge("turns_out", int64(s.gate.out()))
	s.desk.with(s.now(), s.feed.head(), func(t *rollout.Table) {
		nodes, late, silent, oldest := t.Counts(s.now())
		gauge("nodes", int64(nodes))
		gauge("nodes_behind", int64(late))
		gauge("nodes_silent", int64(silent))
		gauge("oldest_revision", oldest)
		fmt.Fprintf(&b, "registry.claims_refused:%d|c\n", t.Rejected)
	})
	count("bad_calls", &f.badCalls)
	count("refused", &f.refused)
	count("failures", &f.failures)
	count("disk_errors", &f.diskErrors)
	gauge("log_bytes", f.logBytes.Load())
	count("notices", &f.notices)
	return b.Bytes()
}

// silent is how long a follower has not heard of its primary; 0 for a primary.
func (s *Server) silent() time.Duration {
	if !s.is(roleFollower) {
		return 0
	}
	heard := s.figures.heard.Load()
	if heard == 0 {
		return s.now()
	}
	return time.Since(time.Unix(0, heard))
}
