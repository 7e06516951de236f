package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"harrierramp/internal/listwatch"
	"harrierramp/internal/rollout"
)

// desk is where nodes tell what they have applied. Each server keeps what it was told; who asks joins them.
type rolloutTable struct {
	mu    sync.Mutex
	table *rollout.Table
}

func newRolloutTable() *rolloutTable { return &rolloutTable{table: rollout.NewTable()} }

// with runs something on the table, which holds every revision up to head.
func (d *rolloutTable) update(now time.Duration, head Revision, fn func(t *rollout.Table)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Advance(now, int64(head))
	fn(d.table)
}

// claimed takes what a node says of itself. Any server takes it, also one that follows.
func (s *Server) reportNode(w http.ResponseWriter, r *http.Request) {
	var c rollout.Report
	err := decodeBody(w, r, &c)
	if err == nil {
		s.rollout.update(s.now(), s.feed.head(), func(t *rollout.Table) { err = t.Apply(s.now(), c) })
	}
	if err != nil {
		s.writeError(w, err)
		return
	}
	w.Header().Set(listwatch.ClockHeader, strconv.FormatInt(time.Now().UnixMilli(), 10))
	w.WriteHeader(http.StatusNoContent)
}

const (
	nodesPollInterval      = 250 * time.Millisecond // between looks for whoever watches the table
	nodesHeartbeatInterval = 5 * time.Second        // after which it is told again all the same
)

// nodes tells what is known of the fleet; with watch=1 a line each time that a claim or a revision has changed it, four a
// second at most.
func (s *Server) getNodes(w http.ResponseWriter, r *http.Request) {
	snapshot := func() (v rollout.Snapshot) {
		s.rollout.update(s.now(), s.feed.head(), func(t *rollout.Table) { v = t.Snapshot(s.now()) })
		return v
	}
	if r.URL.Query().Get("watch") != "1" {
		s.writeJSON(w, snapshot())
		return
	}
	if s.stats.watchers.Add(1) > int64(s.cfg.MaxWatchers) {
		s.stats.watchers.Add(-1)
		s.writeError(w, errors.New("too many watchers"))
		return
	}
	defer s.stats.watchers.Add(-1)
	ticker := time.NewTicker(nodesPollInterval)
	defer ticker.Stop()
	rc := http.NewResponseController(w)
	for sentVersion, sentAt := int64(-1), time.Duration(0); ; {
		var version int64
		s.rollout.update(s.now(), s.feed.head(), func(t *rollout.Table) { version = t.Version() })
		if version != sentVersion || s.now()-sentAt >= nodesHeartbeatInterval {
			sentVersion, sentAt = version, s.now()
			err := rc.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err == nil {
				err = json.NewEncoder(w).Encode(snapshot())
			}
			if err = errors.Join(err, rc.Flush()); err != nil {
				s.log.Debug("nodes_not_taken", "err", err)
				return
			}
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		case <-s.stopped:
			return
		}
	}
}

// forget takes a node out of the table that is gone for good, in the name of an operator.
func (s *Server) forgetNode(w http.ResponseWriter, r *http.Request) {
	var found bool
	name := r.URL.Query().Get("name")
	s.rollout.update(s.now(), s.feed.head(), func(t *rollout.Table) { found = t.Drop(name) })
	if !found {
		s.writeError(w, fmt.Errorf("%w: no node %q has told", ErrNotFound, name))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// rosterCode is the status for a claim that is refused; 0 for another error.
func rolloutStatusCode(err error) int {
	switch {
	case errors.Is(err, rollout.ErrInvalid):
		return http.StatusBadRequest
	case errors.Is(err, rollout.ErrStale):
		return http.StatusConflict
	case errors.Is(err, rollout.ErrTableFull):
		return http.StatusInsufficientStorage
	}
	return 0
}
