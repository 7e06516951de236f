package registry

import (
	"sync"
	"time"

	"harrierramp/internal/auditlog"
)

// maxLines bounds the encoded lines that are kept for watchers at the same revision.
const maxLines = 64

// feed is where watchers get their lines. It holds nothing for any one of them: a watcher comes with the revision it
// has, and gets one line that leads from there to the present. So one that is slow skips what is between, costs no
// memory but the line it is being sent, and delays nobody; and a change costs one encoding for all who are up to date.
type feed struct {
	span time.Duration // changes so close together wake watchers once

	mu    sync.Mutex
	h     *History
	due   bool          // a wake is on its way
	news  chan struct{} // closed by the next wake
	lines map[lineKey][]byte
}

type lineKey struct {
	after  Revision
	leases bool
}

func newFeed(span time.Duration) *feed {
	return &feed{span: span, h: NewHistory(), news: make(chan struct{}), lines: map[lineKey][]byte{}}
}

// add tells of lists that hold.
func (f *feed) add(lists ...List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range lists {
		f.h.Add(l)
	}
	clear(f.lines)
	if !f.due {
		f.due = true
		time.AfterFunc(f.span, f.wake)
	}
}

func (f *feed) wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.news)
	f.due, f.news = false, make(chan struct{})
}

// next is what a watcher is to be sent; no line if it is up to date. News come when to ask again.
type next struct {
	line  []byte
	head  Revision
	whole bool
	news  <-chan struct{}
}

// since leads on from a revision. Who has nothing to hear is only told so if it is the first time.
func (f *feed) since(after Revision, leases, first bool) (next, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := next{head: f.h.head, news: f.news}
	if after == n.head && !first {
		return n, nil
	}
	if n.whole = !f.h.tells(after); n.whole {
		after = 0 // the whole list is the same for all
	}
	key := lineKey{after, leases}
	line, kept := f.lines[key]
	if !kept {
		var err error
		if line, err = f.h.Since(after).line(leases); err != nil {
			return n, err
		}
		if len(f.lines) < maxLines {
			f.lines[key] = line
		}
	}
	n.line = line
	return n, nil
}

// whole is the list as it holds, with leases.
func (f *feed) whole() List {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.h.Since(0)
}

// leadsFrom tells whether changes lead from a revision to the list of now.
func (f *feed) leadsFrom(after Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return after == f.h.head || f.h.tells(after)
}

// told is the changes that are remembered.
func (f *feed) told() auditlog.History {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.h.Told()
}

// head is the revision that holds.
func (f *feed) head() Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.h.head
}
