package registry

import (
	"sync"
	"time"

	"harrierramp/internal/auditlog"
)

// maxLines bounds the encoded lines that are kept for watchers at the same revision.
const maxCachedLines = 64

// feed is where watchers get their lines. It holds nothing for any one of them: a watcher comes with the revision it
// has, and gets one line that leads from there to the present. So one that is slow skips what is between, costs no
// memory but the line it is being sent, and delays nobody; and a change costs one encoding for all who are up to date.
type feed struct {
	coalesceInterval time.Duration // changes so close together wake watchers once

	mu              sync.Mutex
	history         *History
	notifyScheduled bool          // a wake is on its way
	changed         chan struct{} // closed by the next wake
	lineCache       map[lineKey][]byte
}

type lineKey struct {
	after      Revision
	withLeases bool
}

func newFeed(coalesceInterval time.Duration) *feed {
	return &feed{coalesceInterval: coalesceInterval, history: NewHistory(), changed: make(chan struct{}), lineCache: map[lineKey][]byte{}}
}

// add tells of lists that hold.
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

// next is what a watcher is to be sent; no line if it is up to date. News come when to ask again.
type update struct {
	line     []byte
	head     Revision
	complete bool
	changed  <-chan struct{}
}

// since leads on from a revision. Who has nothing to hear is only told so if it is the first time.
func (f *feed) updateSince(after Revision, withLeases, initial bool) (update, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := update{head: f.history.head, changed: f.changed}
	if after == u.head && !initial {
		return u, nil
	}
	if u.complete = !f.history.covers(after); u.complete {
		after = 0 // the whole list is the same for all
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

// whole is the list as it holds, with leases.
func (f *feed) snapshot() List {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history.Since(0)
}

// leadsFrom tells whether changes lead from a revision to the list of now.
func (f *feed) hasChangesSince(after Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return after == f.history.head || f.history.covers(after)
}

// told is the changes that are remembered.
func (f *feed) auditHistory() auditlog.History {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history.AuditHistory()
}

// head is the revision that holds.
func (f *feed) head() Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history.head
}
