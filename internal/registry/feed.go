package registry

import (
	"sync"
	"time"

	"harrierramp/internal/auditlog"
)

// maxCachedLines bounds the number of encoded lines that are cached for watchers at the same revision.
const maxCachedLines = 64

// feed provides the lines that are sent to watchers. It keeps no state per watcher: a watcher states the revision that
// it has and gets one line with all changes from there to the present. A slow watcher therefore skips intermediate
// revisions, holds no memory but the line being sent, and delays no other watcher. A change is encoded once for all
// watchers that are up to date.
type feed struct {
	coalesceInterval time.Duration // changes within this interval notify watchers once

	mu              sync.Mutex
	history         *History
	notifyScheduled bool          // notify is due to run
	changed         chan struct{} // closed by the next notify
	lineCache       map[lineKey][]byte
}

type lineKey struct {
	after      Revision
	withLeases bool
}

func newFeed(coalesceInterval time.Duration) *feed {
	return &feed{coalesceInterval: coalesceInterval, history: NewHistory(), changed: make(chan struct{}), lineCache: map[lineKey][]byte{}}
}

// publish adds lists that have been persisted and schedules a notification of the watchers.
func (f *feed) publish(lists ...List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range lists {
		f.history.Add(l)
	}
	clear(f.lineCache)
	if !f.notifyScheduled {
		f.notifyScheduled = true
		time.AfterFunc(f.coalesceInterval, f.notify)
	}
}

func (f *feed) notify() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.notifyScheduled, f.changed = false, make(chan struct{})
}

// update is what to send to a watcher. line is nil if the watcher is up to date. changed is closed when the watcher
// should ask again.
type update struct {
	line     []byte
	head     Revision
	complete bool
	changed  <-chan struct{}
}

// updateSince returns the update from a revision to the present. A watcher that is up to date gets a line only if
// initial is set.
func (f *feed) updateSince(after Revision, withLeases, initial bool) (update, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := update{head: f.history.head, changed: f.changed}
	if after == u.head && !initial {
		return u, nil
	}
	if u.complete = !f.history.covers(after); u.complete {
		after = 0 // all watchers share one encoding of the complete list
	}
	key := lineKey{after, withLeases}
	line, cached := f.lineCache[key]
	if !cached {
		var err error
		if line, err = f.history.Since(after).encodeLine(withLeases); err != nil {
			return u, err
		}
		if len(f.lineCache) < maxCachedLines {
			f.lineCache[key] = line
		}
	}
	u.line = line
	return u, nil
}

// snapshot returns the persisted complete list with leases.
func (f *feed) snapshot() List {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history.Since(0)
}

// hasChangesSince reports whether the changes from a revision to the present are known.
func (f *feed) hasChangesSince(after Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return after == f.history.head || f.history.covers(after)
}

// auditHistory returns the retained changes.
func (f *feed) auditHistory() auditlog.History {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history.AuditHistory()
}

// head returns the revision of the persisted list.
func (f *feed) head() Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history.head
}
