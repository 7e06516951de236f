package registry

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"harrierramp/internal/listwatch"
)

// list answers with the list, or follows it for a watcher.
func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	after, err := number(r, "after")
	if err != nil {
		s.refuse(w, err)
		return
	}
	if s.feed.head() == 0 {
		s.refuse(w, errNoList) // nobody is to take this for an empty list
		return
	}
	if err := s.admit(r, Revision(after)); err != nil {
		s.refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("watch") != "1" {
		n, err := s.feed.since(0, false, true)
		if err != nil {
			s.refuse(w, err)
			return
		}
		if _, err := w.Write(n.line); err != nil {
			s.log.Debug("list_not_taken", "err", err)
		}
		return
	}
	if s.figures.watchers.Add(1) > int64(s.cfg.MaxWatchers) {
		s.figures.watchers.Add(-1)
		s.refuse(w, errors.New("too many watchers"))
		return
	}
	defer s.figures.watchers.Add(-1)
	pause := idleLine
	if ms, err := number(r, "beat"); err != nil {
		s.refuse(w, err)
		return
	} else if ms > 0 {
		pause = min(max(time.Duration(min(ms, idleLine.Milliseconds()))*time.Millisecond, leastBeat), idleLine)
		w.Header().Set(listwatch.HeartbeatHeader, strconv.FormatInt(pause.Milliseconds(), 10))
	}
	s.watch(w, r, Revision(after), r.URL.Query().Get("replica") == "1", pause)
}

// watch sends a watcher what leads from the revision that it has to the present, for as long as it takes it, and an
// empty line where nothing has changed for a pause.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, after Revision, replica bool, pause time.Duration) {
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		s.log.Error("watch_not_opened", "err", err)
		return
	}
	var at atomic.Int64
	if at.Store(int64(after)); replica {
		defer s.figures.followers.add(&at)()
	}
	idle := time.NewTimer(0)
	defer idle.Stop()
	for first := true; ; first = false {
		n, err := s.feed.since(after, replica, first)
		if err != nil {
			s.log.Error("list_not_told", "err", err)
			return
		}
		line := n.line
		if line == nil {
			line = []byte("\n")
		} else if n.whole && after != 0 {
			s.figures.resyncs.Add(1)
		}
		after = n.head
		if err := s.send(w, rc, line); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				s.figures.slow.Add(1)
			}
			return
		}
		at.Store(int64(after))
		// Watchers that heard of a change together must not have their empty lines together for ever.
		idle.Reset(pause - rand.N(pause/4))
		select {
		case <-n.news:
		case <-idle.C:
		case <-r.Context().Done():
			return
		case <-s.stopped:
			return
		}
	}
}

// send writes one line to a watcher, who has so long to take it.
func (s *Server) send(w http.ResponseWriter, rc *http.ResponseController, line []byte) error {
	if err := rc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := w.Write(line); err != nil {
		return err
	}
	s.figures.lines.Add(1)
	s.figures.bytes.Add(int64(len(line)))
	return rc.Flush()
}
