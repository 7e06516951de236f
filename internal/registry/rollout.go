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

// rolloutTable holds the reports of nodes on the revision, build and configuration that they have applied. Each server
// keeps only the reports that it received; a client that wants the whole fleet merges the tables of all servers.
type rolloutTable struct {
	mu    sync.Mutex
	table *rollout.Table
}

func newRolloutTable() *rolloutTable { return &rolloutTable{table: rollout.NewTable()} }

// update calls fn on the table, after the table has taken note of every revision up to head.
func (rt *rolloutTable) update(now time.Duration, head Revision, fn func(t *rollout.Table)) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.table.Advance(now, int64(head))
	fn(rt.table)
}

// reportNode stores a node's report about itself. Followers accept reports too.
func (s *Server) reportNode(w http.ResponseWriter, r *http.Request) {
	var report rollout.Report
	err := decodeBody(w, r, &report)
	if err == nil {
		s.rollout.update(s.now(), s.feed.head(), func(t *rollout.Table) { err = t.Apply(s.now(), report) })
	}
	if err != nil {
		s.writeError(w, err)
		return
	}
	w.Header().Set(listwatch.ClockHeader, strconv.FormatInt(time.Now().UnixMilli(), 10))
	w.WriteHeader(http.StatusNoContent)
}

const (
	nodesPollInterval      = 250 * time.Millisecond // between checks for changes on behalf of a watcher of the table
	nodesHeartbeatInterval = 5 * time.Second        // after which an unchanged table is sent again
)

// getNodes returns the table of nodes. With watch=1 it sends the table as a line each time that a report or a revision
// has changed it, at most four times a second.
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

// forgetNode removes a node that will not return from the table, at an operator's request.
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

// rolloutStatusCode returns the HTTP status for a refused report; 0 for other errors.
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
