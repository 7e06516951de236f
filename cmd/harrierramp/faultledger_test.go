package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	reportSlack  = 350 * time.Millisecond // after a message's time, of which 50 ms are the rules' on sockets
	restartSlack = 1500 * time.Millisecond
	timingSlack  = 50 * time.Millisecond
)

// faultLedger is what a play sees from outside, and holds it to the rules.
type faultLedger struct {
	mu         sync.Mutex
	startedAt  time.Time
	messages   map[string]*messageRecord
	violations []string
	restarts   []restartWindow
	counts     map[string]int
}

// handedIn is a message as the play has seen it. Times are since the play's begin; 0 for never.
type messageRecord struct {
	id, class    string
	deadline     time.Duration // its time is up
	accepted     bool          // its client heard so
	deliveredAt  time.Duration
	finalAt      time.Duration // the first final answer but a delivery
	runs         int
	lastCalledAt time.Duration
	events       []string
}

// restartSpan is from the end of a process to when the next is ready.
type restartWindow struct{ from, to time.Duration }

func newFaultLedger() *faultLedger {
	return &faultLedger{startedAt: time.Now(), messages: map[string]*messageRecord{}, counts: map[string]int{}}
}

func (l *faultLedger) now() time.Duration { return time.Since(l.startedAt) }

// breaks notes a broken rule.
func (l *faultLedger) recordViolation(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordViolationLocked(rule, fmt.Sprintf(format, args...))
}

func (l *faultLedger) recordViolationLocked(rule, text string) {
	l.violations = append(l.violations, fmt.Sprintf("%.3f %s: %s", l.now().Seconds(), rule, text))
}

// of is a message, which may have come before its client has been noted.
func (l *faultLedger) message(id string) *messageRecord {
	m := l.messages[id]
	if m == nil {
		m = &messageRecord{id: id}
		l.messages[id] = m
	}
	return m
}

func (m *messageRecord) addEvent(at time.Duration, format string, args ...any) {
	m.events = append(m.events, fmt.Sprintf("%.3f ", at.Seconds())+fmt.Sprintf(format, args...))
}

// sent notes that a client begins to hand a message in.
func (l *faultLedger) recordSubmission(id, class string, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.message(id)
	m.class, m.deadline = class, l.now()+ttl
	m.addEvent(l.now(), "handed in as %s for %v", class, ttl)
	l.counts["handed in"]++
}

// answered notes what the client has heard.
func (l *faultLedger) recordAnswer(id, line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.message(id)
	m.addEvent(l.now(), "its client hears %q", line)
	l.counts["client hears "+strings.Fields(line + " ?")[0]]++
	switch {
	case strings.HasPrefix(line, "+"):
		m.accepted = true
	case strings.HasPrefix(line, "-") && m.finalAt == 0:
		m.finalAt = l.now()
	}
}

// noticed notes a report of a final answer.
func (l *faultLedger) recordReport(id, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.message(id)
	m.addEvent(l.now(), "reported %s", state)
	l.counts["reported "+state]++
	if m.finalAt == 0 {
		m.finalAt = l.now()
	}
}

// called notes a call whose last byte has come.
func (l *faultLedger) recordCall(id string, runs bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, now := l.message(id), l.now()
	m.addEvent(now, "called, runs %v", runs)
	l.counts["calls"]++
	if m.lastCalledAt = now; runs {
		m.runs++
	}
	if m.finalAt > 0 && now > m.finalAt+timingSlack {
		l.recordViolationLocked("lost", fmt.Sprintf("%s is forwarded %v after it ended:\n\t%s", id, now-m.finalAt, strings.Join(m.events, "\n\t")))
	}
	if m.class == "payout" && m.runs > 1 && runs {
		l.recordViolationLocked("duplicate", fmt.Sprintf("%s runs again:\n\t%s", id, strings.Join(m.events, "\n\t")))
	}
}

func (l *faultLedger) recordDelivery(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.message(id)
	m.addEvent(l.now(), "delivered")
	if m.deliveredAt == 0 {
		m.deliveredAt = l.now()
		l.counts["delivered"]++
	}
}

// down notes that the node is told to end, or killed.
func (l *faultLedger) recordDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restarts = append(l.restarts, restartWindow{l.now(), 0})
}

// ready notes that it answers again.
func (l *faultLedger) recordReady() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.restarts); n > 0 && l.restarts[n-1].to == 0 {
		l.restarts[n-1].to = l.now()
		l.counts["restarts"]++
	}
}

// restarting tells whether the node was down, or told to end, at some time since a moment.
func (l *faultLedger) restartedSince(since time.Duration) bool {
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
func (l *faultLedger) recordClosedConnection(id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.message(id)
	m.addEvent(l.now(), "its connection ends: %v", err)
	l.recordViolationLocked("lost", fmt.Sprintf("%s gets no answer:\n\t%s", id, strings.Join(m.events, "\n\t")))
}

// noteFor adds to a message's story.
func (l *faultLedger) recordEvent(id, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.message(id).addEvent(l.now(), format, args...)
}

// settle holds every message that was taken on to its final answer, and returns the rules that were broken.
func (l *faultLedger) verify() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make([]string, 0, len(l.messages))
	for id := range l.messages {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		m := l.messages[id]
		if !m.accepted || m.deliveredAt > 0 {
			continue
		}
		due := m.deadline + reportSlack
		for _, r := range l.restarts {
			if due >= r.from && due <= r.to+restartSlack {
				due = r.to + restartSlack + timingSlack
			}
		}
		if m.finalAt == 0 {
			l.recordViolationLocked("lost", fmt.Sprintf("%s has no final answer:\n\t%s", id, strings.Join(m.events, "\n\t")))
		} else if m.finalAt > due {
			l.recordViolationLocked("lost", fmt.Sprintf("%s has its final answer %v late:\n\t%s", id, m.finalAt-due, strings.Join(m.events, "\n\t")))
		}
	}
	return l.violations
}
