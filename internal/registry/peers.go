package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"harrierramp/internal/listwatch"
)

const (
	peerPollInterval     = time.Second            // between status requests to the other servers, with jitter
	fastPeerPollInterval = 150 * time.Millisecond // while this server waits for another: to be confirmed, or to follow
	peerTimeout          = time.Second
	peerStatusTTL        = 5 * time.Second // an older status counts as unknown
)

// status is the state that a server reports to the other servers and to clients.
type status struct {
	Number    int      `json:"number"`
	Role      role     `json:"role"`
	Epoch     Epoch    `json:"epoch"`
	Revision  Revision `json:"revision"`
	Instances int64    `json:"instances"`
	Primary   string   `json:"primary,omitempty"` // address of the server that a follower follows
}

// peers holds the last known status of the other servers.
type peers struct {
	others []string // addresses

	mu   sync.Mutex
	last map[string]receivedStatus
}

type receivedStatus struct {
	status
	at time.Time
}

func newPeers(cfg Config) *peers {
	p := &peers{last: map[string]receivedStatus{}}
	for i, addr := range cfg.Peers {
		if i != cfg.Number {
			p.others = append(p.others, addr)
		}
	}
	return p
}

func (p *peers) record(addr string, st status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last[addr] = receivedStatus{st, time.Now()}
}

// recentStatuses returns the status by address of the servers that reported one within peerStatusTTL.
func (p *peers) recentStatuses() map[string]status {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]status{}
	for addr, h := range p.last {
		if time.Since(h.at) < peerStatusTTL {
			out[addr] = h.status
		}
	}
	return out
}

// primary returns the address of the primary, empty if none is known. If several servers claim to be the primary, the
// one with the latest epoch is returned.
func (p *peers) primary() string {
	known := p.recentStatuses()
	var best string
	for _, addr := range slices.Sorted(maps.Keys(known)) {
		if st := known[addr]; st.Role == rolePrimary && (best == "" || st.Epoch > known[best].Epoch) {
			best = addr
		}
	}
	return best
}

// latestEpoch returns the latest epoch among the given statuses.
func latestEpoch(known map[string]status) Epoch {
	var e Epoch
	for _, st := range known {
		e = max(e, st.Epoch)
	}
	return e
}

// status returns the status of this server.
func (s *Server) status() status {
	head := s.feed.head()
	st := status{
		Number: s.cfg.Number, Role: s.role.Load().(role), Epoch: head.Epoch(), Revision: head,
		Instances: s.stats.instances.Load(),
	}
	if st.Role == roleFollower {
		st.Primary = s.peers.primary()
	}
	return st
}

// pollPeers requests the status of the other servers repeatedly and has the loop update the role after each round.
func (s *Server) pollPeers(ctx context.Context) {
	if len(s.peers.others) == 0 {
		return
	}
	for ctx.Err() == nil {
		s.pollAllPeers(ctx)
		if _, err := s.submit(ctx, command{plan: s.updateRole}); err != nil && ctx.Err() == nil {
			s.log.Error("role_unsettled", "err", err)
		}
		if s.is(roleUnconfirmed) || s.is(roleFollower) && s.peers.primary() == "" {
			sleep(ctx, jitter(fastPeerPollInterval))
		} else {
			sleep(ctx, jitter(peerPollInterval))
		}
	}
}

// pollAllPeers requests the status of all other servers once and returns the latest epoch known of them.
func (s *Server) pollAllPeers(ctx context.Context) Epoch {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var requests sync.WaitGroup
	for _, addr := range s.peers.others {
		requests.Go(func() {
			st, err := s.fetchStatus(ctx, addr)
			if err != nil {
				s.log.Debug("server_silent", "addr", addr, "err", err)
				return
			}
			s.peers.record(addr, st)
		})
	}
	requests.Wait()
	return latestEpoch(s.peers.recentStatuses())
}

func (s *Server) fetchStatus(ctx context.Context, addr string) (status, error) {
	var st status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/registry/status", nil)
	if err != nil {
		return st, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return st, fmt.Errorf("status: %s", resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&st); err != nil {
		return st, fmt.Errorf("status: %w", err)
	}
	if st.Epoch < 0 || st.Epoch > maxEpoch || st.Number == s.cfg.Number {
		return st, fmt.Errorf("status: impossible epoch %d of server %d", st.Epoch, st.Number)
	}
	return st, nil
}

// updateRole sets the role by the statuses of the other servers. If another server has a later epoch, this server
// becomes a follower.
func (s *Server) updateRole(now time.Duration) (List, any, error) {
	known := s.peers.recentStatuses()
	switch superseded := latestEpoch(known) > s.catalog.Head().Epoch(); {
	case s.is(roleFollower):
	case superseded:
		s.log.Warn("deposed", "own", s.catalog.Head().Epoch(), "latest", latestEpoch(known))
		s.role.Store(roleFollower)
	case s.is(roleUnconfirmed) && (len(known) == len(s.peers.others) || len(known) > 0 && now > confirmTimeout):
		return List{}, nil, s.confirmPrimary(now)
	}
	return List{}, nil, nil
}

// followPrimary replicates the primary's list while this server is a follower.
func (s *Server) followPrimary(ctx context.Context) {
	for ctx.Err() == nil {
		addr := s.peers.primary()
		if !s.is(roleFollower) || addr == "" {
			sleep(ctx, jitter(tickInterval))
			continue
		}
		followCtx, cancel := context.WithCancel(ctx)
		url := fmt.Sprintf("http://%s/registry/instances?watch=1&replica=1&after=%d", addr, s.feed.head())
		err := listwatch.Follow(followCtx, s.client, url, listwatch.FollowOptions{ResponseTimeout: listwatch.ServiceIdleTimeout, IdleTimeout: listwatch.ServiceIdleTimeout, OnActivity: func() {
			s.stats.primaryHeardAt.Store(time.Now().UnixNano())
			if !s.is(roleFollower) || s.peers.primary() != addr {
				cancel()
			}
		}}, func(line []byte) error {
			l, err := decodeList(line)
			if err == nil {
				_, err = s.submit(followCtx, command{plan: func(time.Duration) (List, any, error) { return s.planReplicated(l) }})
			}
			return err
		})
		cancel()
		if ctx.Err() == nil {
			s.log.Info("primary_watch_ended", "addr", addr, "err", err)
		}
		sleep(ctx, jitter(2*tickInterval))
	}
}

// planReplicated accepts a list from the primary. It refuses one that is older than the present list, because the
// sender has then been deposed or has lost its state directory.
func (s *Server) planReplicated(l List) (List, any, error) {
	switch head := s.catalog.Head(); {
	case !s.is(roleFollower):
		return List{}, nil, errAlreadyPrimary
	case l.Revision < head:
		return List{}, nil, fmt.Errorf("%w: %d after %d", errStaleList, l.Revision, head)
	case l.Revision == head:
		return List{}, nil, nil
	}
	return l, nil, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
