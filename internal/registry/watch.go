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

// getInstances writes the list, or with watch=1 the list and its changes until the watcher disconnects.
func (s *Server) getInstances(w http.ResponseWriter, r *http.Request) {
	after, err := queryInt(r, "after")
	if err != nil {
		s.writeError(w, err)
		return
	}
	if s.feed.head() == 0 {
		s.writeError(w, errNoList) // a client must not take this for an empty list
		return
	}
	if err := s.admitList(r, Revision(after)); err != nil {
		s.writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("watch") != "1" {
		n, err := s.feed.updateSince(0, false, true)
		if err != nil {
			s.writeError(w, err)
			return
		}
		if _, err := w.Write(n.line); err != nil {
			s.log.Debug("list_not_taken", "err", err)
		}
		return
	}
	if s.stats.watchers.Add(1) > int64(s.cfg.MaxWatchers) {
		s.stats.watchers.Add(-1)
		s.writeError(w, errors.New("too many watchers"))
		return
	}
	defer s.stats.watchers.Add(-1)
	heartbeat := maxHeartbeatInterval
	if ms, err := queryInt(r, "beat"); err != nil {
		s.writeError(w, err)
		return
	} else if ms > 0 {
		heartbeat = min(max(time.Duration(min(ms, maxHeartbeatInterval.Milliseconds()))*time.Millisecond, minHeartbeatInterval), maxHeartbeatInterval)
		w.Header().Set(listwatch.HeartbeatHeader, strconv.FormatInt(heartbeat.Milliseconds(), 10))
	}
	s.streamList(w, r, Revision(after), r.URL.Query().Get("replica") == "1", heartbeat)
}

// streamList sends a watcher the changes from its revision to the present and then each later change. When nothing has
// changed for about the heartbeat interval, it sends an empty line.
func (s *Server) streamList(w http.ResponseWriter, r *http.Request, after Revision, replica bool, heartbeat time.Duration) {
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		s.log.Error("watch_not_opened", "err", err)
		return
	}
	var sentRevision atomic.Int64
	if sentRevision.Store(int64(after)); replica {
		defer s.stats.followers.add(&sentRevision)()
	}
	idle := time.NewTimer(0)
	defer idle.Stop()
	for first := true; ; first = false {
		n, err := s.feed.updateSince(after, replica, first)
		if err != nil {
			s.log.Error("list_not_told", "err", err)
			return
		}
		line := n.line
		if line == nil {
			line = []byte("\n")
		} else if n.complete && after != 0 {
			s.stats.resyncs.Add(1)
		}
		after = n.head
		if err := s.sendLine(w, rc, line); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				s.stats.slowWatchers.Add(1)
			}
			return
		}
		sentRevision.Store(int64(after))
		// The jitter keeps watchers that were notified together from getting all later empty lines at the same time.
		idle.Reset(heartbeat - rand.N(heartbeat/4))
		select {
		case <-n.changed:
		case <-idle.C:
		case <-r.Context().Done():
			return
		case <-s.stopped:
			return
		}
	}
}

// sendLine writes one line to a watcher, which must accept it within writeTimeout.
func (s *Server) sendLine(w http.ResponseWriter, rc *http.ResponseController, line []byte) error {
	if err := rc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := w.Write(line); err != nil {
		return err
	}
	s.stats.lines.Add(1)
	s.stats.bytes.Add(int64(len(line)))
	return rc.Flush()
}
