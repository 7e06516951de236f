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
type desk struct {
	mu sync.Mutex
	t  *rollout.Table
}

func newDesk() *desk { return &desk{t: rollout.NewTable()} }

// with runs something on the table, which holds every revision up to head.
func (d *desk) with(now time.Duration, head Revision, do func(t *rollout.Table)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.t.Advance(now, int64(head))
	do(d.t)
}

// claimed takes what a node says of itself. Any server takes it, also one that follows.
func (s *Server) claimed(w http.ResponseWriter, r *http.Request) {
	var c rollout.Report
	err := read(w, r, &c)
	if err == nil {
		s.desk.with(s.now(), s.feed.head(), func(t *rollout.Table) { err = t.Apply(s.now(), c) })
	}
	if err != nil {
		s.refuse(w, err)
		return
	}
	w.Header().Set(listwatch.ClockHeader, strconv.FormatInt(time.Now().UnixMilli(), 10))
	w.WriteHeader(http.StatusNoContent)
}

const (
	nodesPause = 250 * time.Millisecond // between looks for whoever watches the table
	nodesQuiet = 5 * time.Second        // after which it is told again all the same
)

// nodes tells what is known of the fleet; with watch=1 a line each time that a claim or a revision has changed it, four a
// second at most.
func (s *Server) nodes(w http.ResponseWriter, r *http.Request) {
	view := func() (v rollout.Snapshot) {
		s.desk.with(s.now(), s.feed.head(), func(t *rollout.Table) { v = t.Snapshot(s.now()) })
		return v
	}
	if r.URL.Query().Get("watch") != "1" {
		s.answer(w, view())
		return
	}
	if s.figures.watchers.Add(1) > int64(s.cfg.MaxWatchers) {
		s.figures.watchers.Add(-1)
		s.refuse(w, errors.New("too many watchers"))
		return
	}
	defer s.figures.watchers.Add(-1)
	looks := time.NewTicker(nodesPause)
	defer looks.Stop()
	rc := http.NewResponseController(w)
	for told, at := int64(-1), time.Duration(0); ; {
		var changed int64
		s.desk.with(s.now(), s.feed.head(), func(t *rollout.Table) { changed = t.Version() })
		if changed != told || s.now()-at >= nodesQuiet {
			told, at = changed, s.now()
			err := rc.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err == nil {
				err = json.NewEncoder(w).Encode(view())
			}
			if err = errors.Join(err, rc.Flush()); err != nil {
				s.log.Debug("nodes_not_taken", "err", err)
				return
			}
		}
		select {
		case <-looks.C:
		case <-r.Context().Done():
			return
		case <-s.stopped:
			return
		}
	}
}

// forget takes a node out of the table that is gone for good, in the name of an operator.
func (s *Server) forget(w http.ResponseWriter, r *http.Request) {
	var was bool
	name := r.URL.Query().Get("name")
	s.desk.with(s.now(), s.feed.head(), func(t *rollout.Table) { was = t.Drop(name) })
	if !was {
		s.refuse(w, fmt.Errorf("%w: no node %q has told", ErrUnknown, name))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// rosterCode is the status for a claim that is refused; 0 for another error.
func rosterCode(err error) int {
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
