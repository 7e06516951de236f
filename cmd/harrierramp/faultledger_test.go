package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	noticeSlack  = 350 * time.Millisecond // after a message's time, of which 50 ms are the rules' on sockets
	restartSlack = 1500 * time.Millisecond
	ruleSlack    = 50 * time.Millisecond
)

// faultLedger is what a play sees from outside, and holds it to the rules.
type faultLedger struct {
	mu       sync.Mutex
	began    time.Time
	messages map[string]*handedIn
	broken   []string
	restarts []restartSpan
	figures  map[string]int
}

// handedIn is a message as the play has seen it. Times are since the play's begin; 0 for never.
type handedIn struct {
	id, class  string
	due        time.Duration // its time is up
	taken      bool          // its client heard so
	delivered  time.Duration
	ended      time.Duration // the first final answer but a delivery
	ran        int
	lastCalled time.Duration
	story      []string
}

// restartSpan is from the end of a process to when the next is ready.
type restartSpan struct{ from, to time.Duration }

func newFaultLedger() *faultLedger {
	return &faultLedger{began: time.Now(), messages: map[string]*handedIn{}, figures: map[string]int{}}
}

func (l *faultLedger) now() time.Duration { return time.Since(l.began) }

// breaks notes a broken rule.
func (l *faultLedger) breaks(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaksLocked(rule, fmt.Sprintf(format, args...))
}

func (l *faultLedger) breaksLocked(rule, text string) {
	l.broken = append(l.broken, fmt.Sprintf("%.3f %s: %s", l.now().Seconds(), rule, text))
}

// of is a message, which may have come before its client has been noted.
func (l *faultLedger) of(id string) *handedIn {
	m := l.messages[id]
	if m == nil {
		m = &handedIn{id: id}
		l.messages[id] = m
	}
	return m
}

func (m *handedIn) tell(at time.Duration, format string, args ...any) {
	m.story = append(m.story, fmt.Sprintf("%.3f ", at.Seconds())+fmt.Sprintf(format, args...))
}

// sent notes that a client begins to hand a message in.
func (l *faultLedger) sent(id, class string, life time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.of(id)
	m.class, m.due = class, l.now()+life
	m.tell(l.now(), "handed in as %s for %v", class, life)
	l.figures["handed in"]++
}

// answered notes what the client has heard.
func (l *faultLedger) answered(id, line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.of(id)
	m.tell(l.now(), "its client hears %q", line)
	l.figures["client hears "+strings.Fields(line + " ?")[0]]++
	switch {
	case strings.HasPrefix(line, "+"):
		m.taken = true
	case strings.HasPrefix(line, "-") && m.ended == 0:
		m.ended = l.now()
	}
}

// noticed notes a report of a final answer.
func (l *faultLedger) noticed(id, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.of(id)
	m.tell(l.now(), "reported %s", state)
	l.figures["reported "+state]++
	if m.ended == 0 {
		m.ended = l.now()
	}
}

// called notes a call whose last byte has come.
func (l *faultLedger) called(id string, runs bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, now := l.of(id), l.now()
	m.tell(now, "called, runs %v", runs)
	l.figures["calls"]++
	if m.lastCalled = now; runs {
		m.ran++
	}
	if m.ended > 0 && now > m.ended+ruleSlack {
		l.breaksLocked("lost", fmt.Sprintf("%s is forwarded %v after it ended:\n\t%s", id, now-m.ended, strings.Join(m.story, "\n\t")))
	}
	if m.class == "payout" && m.ran > 1 && runs {
		l.breaksLocked("duplicate", fmt.Sprintf("%s runs again:\n\t%s", id, strings.Join(m.story, "\n\t")))
	}
}

func (l *faultLedger) delivered(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.of(id)
	m.tell(l.now(), "delivered")
	if m.delivered == 0 {
		m.delivered = l.now()
		l.figures["delivered"]++
	}
}

// down notes that the node is told to end, or killed.
func (l *faultLedger) down() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restarts = append(l.restarts, restartSpan{l.now(), 0})
}

// ready notes that it answers again.
func (l *faultLedger) ready() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.restarts); n > 0 && l.restarts[n-1].to == 0 {
		l.restarts[n-1].to = l.now()
		l.figures["restarts"]++
	}
}

// restarting tells whether the node was down, or told to end, at some time since a moment.
func (l *faultLedger) restarting(since time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.restarts {
		if r.to == 0 || r.to >= since {
			return true
		}
	}
	return false
}

// closed notes that a request's connection ended without an answer.
func (l *faultLedger) closed(id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.of(id)
	m.tell(l.now(), "its connection ends: %v", err)
	l.breaksLocked("lost", fmt.Sprintf("%s gets no answer:\n\t%s", id, strings.Join(m.story, "\n\t")))
}

// noteFor adds to a message's story.
func (l *faultLedger) noteFor(id, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(id).tell(l.now(), format, args...)
}

// settle holds every message that was taken on to its final answer, and returns the rules that were broken.
func (l *faultLedger) settle() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make([]string, 0, len(l.messages))
	for id := range l.messages {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		m := l.messages[id]
		if !m.taken || m.delivered > 0 {
			continue
		}
		due := m.due + noticeSlack
		for _, r := range l.restarts {
			if due >= r.from && due <= r.to+restartSlack {
				due = r.to + restartSlack + ruleSlack
			}
		}
		if m.ended == 0 {
			l.breaksLocked("lost", fmt.Sprintf("%s has no final answer:\n\t%s", id, strings.Join(m.story, "\n\t")))
		} else if m.ended > due {
			l.breaksLocked("lost", fmt.Sprintf("%s has its final answer %v late:\n\t%s", id, m.ended-due, strings.Join(m.story, "\n\t")))
		}
	}
	return l.broken
}
