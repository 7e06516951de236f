package registry

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"harrierramp/internal/listwatch"
	"harrierramp/internal/roster"
)

// desk is where nodes tell what they have applied. Each server keeps what it was told; who asks joins them.
type desk struct {
	mu sync.Mutex
	t  *roster.Table
}

func newDesk() *desk { return &desk{t: roster.NewTable()} }

// with runs something on the table, which holds every revision up to head.
func (d *desk) with(now time.Duration, head Revision, do func(t *roster.Table)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.t.Advance(now, int64(head))
	do(d.t)
}

// claimed takes what a node says of itself. Any server takes it, also one that follows.
func (s *Server) claimed(w http.ResponseWriter, r *http.Request) {
	var c roster.Claim
	err := read(w, r, &c)
	if err == nil {
		s.desk.with(s.now(), s.feed.head(), func(t *roster.Table) { err = t.Take(s.now(), c) })
	}
	if err != nil {
		s.refuse(w, err)
		return
	}
	w.Header().Set(listwatch.ClockHeader, strconv.FormatInt(time.Now().UnixMilli(), 10))
	w.WriteHeader(http.StatusNoContent)
}

// nodes tells what is known of the fleet.
func (s *Server) nodes(w http.ResponseWriter, _ *http.Request) {
	var v roster.View
	s.desk.with(s.now(), s.feed.head(), func(t *roster.Table) { v = t.View(s.now()) })
	s.answer(w, v)
}

// forget takes a node out of the table that is gone for good, in the name of an operator.
func (s *Server) forget(w http.ResponseWriter, r *http.Request) {
	var was bool
	name := r.URL.Query().Get("name")
	s.desk.with(s.now(), s.feed.head(), func(t *roster.Table) { was = t.Drop(name) })
	if !was {
		s.refuse(w, fmt.Errorf("%w: no node %q has told", ErrUnknown, name))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// rosterCode is the status for a claim that is refused; 0 for another error.
func rosterCode(err error) int {
	switch {
	case errors.Is(err, roster.ErrBad):
		return http.StatusBadRequest
	case errors.Is(err, roster.ErrOld):
		return http.StatusConflict
	case errors.Is(err, roster.ErrFull):
		return http.StatusInsufficientStorage
	}
	return 0
}
