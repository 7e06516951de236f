package listwatch

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"harrierramp/internal/backoff"
)

const (
	testHeartbeat = 100 * time.Millisecond // in simulated time
	realHeartbeat = 300 * time.Millisecond // long enough for a busy machine
)

// runFailover steps a Failover through simulated time, with a current server and a candidate that are heard as given,
// and returns the actions.
func runFailover(span time.Duration, current, candidate func(now time.Duration) (heard, more bool)) (actions []string) {
	l := NewFailover(0, testHeartbeat)
	open := false
	for now := time.Duration(0); now < span; now += 10 * time.Millisecond {
		if heard, _ := current(now); heard {
			l.CurrentHeard(now)
		}
		if heard, more := candidate(now); heard && open {
			l.CandidateHeard(now, more)
		}
		switch l.Step(now) {
		case OpenCandidate:
			open = true
			actions = append(actions, fmt.Sprint("open ", now))
		case DropCandidate:
			open = false
			actions = append(actions, fmt.Sprint("drop ", now))
		case SwitchToCandidate:
			actions = append(actions, fmt.Sprint("leave ", now))
			return actions
		case ReplaceCandidate:
			actions = append(actions, fmt.Sprint("renew ", now))
		}
	}
	return actions
}

func TestFailoverActions(t *testing.T) {
	heartbeats := func(now time.Duration) (bool, bool) { return now%testHeartbeat == 0, false }
	never := func(time.Duration) (bool, bool) { return false, false }
	ahead := func(now time.Duration) (bool, bool) { return now%testHeartbeat == 0, true }
	until := func(end time.Duration) func(time.Duration) (bool, bool) {
		return func(now time.Duration) (bool, bool) { return now%testHeartbeat == 0 && now <= end, false }
	}
	gap := func(now time.Duration) (bool, bool) {
		return now%testHeartbeat == 0 && (now <= time.Second || now >= 1500*time.Millisecond), false
	}
	delayed := func(now time.Duration) (bool, bool) { // from one second on, each heartbeat comes 50 ms late
		return now <= time.Second && now%testHeartbeat == 0 || now > time.Second && now%testHeartbeat == 50*time.Millisecond, false
	}
	for name, c := range map[string]struct {
		first, other func(time.Duration) (bool, bool)
		want         string
	}{
		"heartbeats arrive":                   {heartbeats, ahead, "[]"},
		"heartbeats become late":              {delayed, ahead, "[]"},
		"silent, candidate has a later list":  {until(time.Second), ahead, "[open 1.31s leave 1.4s]"},
		"silent, candidate has the same list": {until(time.Second), heartbeats, "[open 1.31s leave 2.21s]"},
		"silent, and so is the candidate":     {until(time.Second), never, "[open 1.31s renew 2.52s renew 3.73s renew 4.94s]"},
		"silent for a while":                  {gap, heartbeats, "[open 1.31s drop 2.3s]"},
	} {
		if got := fmt.Sprint(runFailover(5*time.Second, c.first, c.other)); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// Whatever is heard when: a server that sends heartbeats is never left, and no action on a candidate comes without
// one.
func TestFailoverInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now, hasCandidate, lastHeard, candidateAhead := NewFailover(0, testHeartbeat), time.Duration(0), false, time.Duration(0), false
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(4*testHeartbeat)).Draw(t, "pause"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				l.CurrentHeard(now)
				lastHeard = now
			case 1:
				if hasCandidate {
					more := rapid.Bool().Draw(t, "more")
					l.CandidateHeard(now, more)
					candidateAhead = candidateAhead || more
				}
			case 2:
				if hasCandidate {
					l.CandidateLost()
					hasCandidate, candidateAhead = false, false
				}
			}
			action := l.Step(now)
			silent := now-lastHeard > 3*testHeartbeat
			switch {
			case action == OpenCandidate && (hasCandidate || !silent), (action == DropCandidate || action == SwitchToCandidate || action == ReplaceCandidate) && !hasCandidate, action == SwitchToCandidate && !silent && !candidateAhead:
				t.Fatalf("action %d, has candidate %v, silent %v", action, hasCandidate, silent)
			}
			if hasCandidate = hasCandidate || action == OpenCandidate; action == DropCandidate || action == SwitchToCandidate {
				hasCandidate, candidateAhead = false, false
			}
			candidateAhead = candidateAhead && action != ReplaceCandidate
			if action == SwitchToCandidate {
				lastHeard = now
			}
		}
	})
}

// heartbeatServer is a list server that sends heartbeats until it is stalled.
type heartbeatServer struct {
	srv      *httptest.Server
	stalled  atomic.Bool
	mu       sync.Mutex
	list     List
	requests int
}

func newHeartbeatServer(t *testing.T, l List) *heartbeatServer {
	b := &heartbeatServer{list: l}
	b.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.requests++
		b.mu.Unlock()
		w.Header().Set(HeartbeatHeader, r.FormValue("beat"))
		for sent := int64(-1); r.Context().Err() == nil; time.Sleep(realHeartbeat / 2) {
			if b.stalled.Load() {
				continue
			}
			b.mu.Lock()
			if l := b.list; l.Revision != sent {
				sent = l.Revision
				json.NewEncoder(w).Encode(l)
			} else {
				fmt.Fprintln(w)
			}
			b.mu.Unlock()
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(func() {
		b.srv.CloseClientConnections()
		b.srv.Close()
	})
	return b
}

// twoServerWatch is a watcher of two servers that starts with the first one.
type twoServerWatch struct {
	servers           []*heartbeatServer
	revisions         chan int64
	serverChanges     atomic.Int64
	candidateRequests chan struct{}
}

func watchTwoServers(t *testing.T) *twoServerWatch {
	initial := List{Revision: 5, Complete: true, Members: membersOf("a", "b")}
	x := &twoServerWatch{servers: []*heartbeatServer{newHeartbeatServer(t, initial), newHeartbeatServer(t, initial)}, revisions: make(chan int64, 100), candidateRequests: make(chan struct{}, 1)}
	var addrs []string
	for _, s := range x.servers {
		addrs = append(addrs, s.srv.Listener.Addr().String())
	}
	at := NewAddresses(addrs)
	at.first = 0
	ctx, cancel := context.WithCancel(t.Context())
	known := int64(0)
	w := Watcher{
		Log: slog.New(slog.NewTextHandler(t.Output(), nil)), Client: &http.Client{}, Servers: at, Pacer: &fixedPacer{}, HeartbeatInterval: realHeartbeat,
		OnActivity: func() {}, OnServerChange: func() { x.serverChanges.Add(1) }, OnList: func(l List) { x.revisions <- l.Revision }, CandidateRequests: x.candidateRequests,
		Check: func(_ context.Context, _ string, l List) (List, error) {
			if l.Revision < known {
				return l, errOlderList
			}
			known = l.Revision
			return l, nil
		},
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx, 0)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	if got := <-x.revisions; got != 5 {
		t.Fatalf("got revision %d, want 5", got)
	}
	return x
}

func (b *heartbeatServer) requestCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests
}

// publishOnSecond gives the second server a list that the first one does not have.
func (x *twoServerWatch) publishOnSecond() {
	x.servers[1].mu.Lock()
	defer x.servers[1].mu.Unlock()
	x.servers[1].list = List{Revision: 6, Members: []Member{{ID: "a", Phase: "DELETED"}}}
}

// waitForRevision waits for a revision and returns how long that took.
func (x *twoServerWatch) waitForRevision(revision int64) time.Duration {
	began := time.Now()
	for got := int64(0); got != revision; got = <-x.revisions {
	}
	return time.Since(began)
}

// A connection that goes silent while it stays open must not keep the node on an old list: within a few heartbeats
// the list of the other server is used.
func TestWatcherLeavesSilentServer(t *testing.T) {
	x := watchTwoServers(t)
	time.Sleep(8 * realHeartbeat)
	if x.servers[1].requestCount() != 0 || x.serverChanges.Load() != 0 {
		t.Errorf("the other server got %d requests while the first sent heartbeats", x.servers[1].requestCount())
	}
	x.servers[0].stalled.Store(true)
	x.publishOnSecond()
	if took := x.waitForRevision(6); took > 20*realHeartbeat {
		t.Errorf("the other server's list is used only after %v", took)
	}
	x.servers[0].stalled.Store(false) // the watcher must not go back to it
	time.Sleep(8 * realHeartbeat)
	if x.serverChanges.Load() != 1 {
		t.Errorf("%d server changes", x.serverChanges.Load())
	}
}

// A node that hears that others act on a later list asks another server alongside the one that is behind. It follows
// the other server only if that one has a later list.
func TestRequestedCandidateReplacesServerThatIsBehind(t *testing.T) {
	x := watchTwoServers(t)
	RequestCandidate(x.candidateRequests)
	time.Sleep(4 * realHeartbeat)
	if x.serverChanges.Load() != 0 || x.servers[1].requestCount() != 1 {
		t.Errorf("%d server changes, %d requests, though the other server has no later list", x.serverChanges.Load(), x.servers[1].requestCount())
	}
	x.publishOnSecond()
	RequestCandidate(x.candidateRequests)
	x.waitForRevision(6)
	RequestCandidate(x.candidateRequests) // the first server is behind
	time.Sleep(4 * realHeartbeat)
	if x.serverChanges.Load() != 1 {
		t.Errorf("%d server changes", x.serverChanges.Load())
	}
}

// A change of the addresses must also end the backoff before the next request.
func TestAddressChangeEndsBackoff(t *testing.T) {
	b := newHeartbeatServer(t, List{Revision: 5, Complete: true, Members: membersOf("a")})
	at := NewAddresses([]string{"127.0.0.1:1"})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	w := Watcher{
		Log: slog.New(slog.DiscardHandler), Client: &http.Client{}, Servers: at, Backoff: backoff.Backoff{Initial: time.Hour, Max: time.Hour},
		OnActivity: func() {}, OnServerChange: func() { at.Set([]string{b.srv.Listener.Addr().String()}) }, OnList: func(List) { cancel() },
	}
	w.Run(ctx, 0)
	if err := ctx.Err(); err != context.Canceled {
		t.Errorf("the list never arrived: %v", err)
	}
}
