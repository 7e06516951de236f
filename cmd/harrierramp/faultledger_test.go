package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	reportSlack  = 350 * time.Millisecond // after a message's deadline; 50 ms of it are the tolerance that the rules allow for sockets
	restartSlack = 1500 * time.Millisecond
	timingSlack  = 50 * time.Millisecond
)

// faultLedger records what clients, endpoints and the platform observe in a scenario, and checks it against the rules.
type faultLedger struct {
	mu         sync.Mutex
	startedAt  time.Time
	messages   map[string]*messageRecord
	violations []string
	restarts   []restartWindow
	counts     map[string]int
}

// messageRecord is what a scenario has observed of one message. Times are relative to the start of the scenario; 0
// means that the event has not happened.
type messageRecord struct {
	id, class    string
	deadline     time.Duration // when the message expires
	accepted     bool          // the client was told that the message is accepted
	deliveredAt  time.Duration
	finalAt      time.Duration // the first final answer other than a delivery
	runs         int
	lastCalledAt time.Duration
	events       []string
}

// restartWindow is the time from the end of a process until the next one is ready; to is 0 until then.
type restartWindow struct{ from, to time.Duration }

func newFaultLedger() *faultLedger {
	return &faultLedger{startedAt: time.Now(), messages: map[string]*messageRecord{}, counts: map[string]int{}}
}

func (l *faultLedger) now() time.Duration { return time.Since(l.startedAt) }

// count returns how often something was recorded.
func (l *faultLedger) count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[what]
}

// recordViolation records the violation of a rule.
func (l *faultLedger) recordViolation(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordViolationLocked(rule, fmt.Sprintf(format, args...))
}

func (l *faultLedger) recordViolationLocked(rule, text string) {
	l.violations = append(l.violations, fmt.Sprintf("%.3f %s: %s", l.now().Seconds(), rule, text))
}

// message returns the record of a message. It creates the record if an event arrives before the submission is recorded.
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

// recordSubmission records that a client starts to submit a message.
func (l *faultLedger) recordSubmission(id, class string, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.message(id)
	m.class, m.deadline = class, l.now()+ttl
	m.addEvent(l.now(), "handed in as %s for %v", class, ttl)
	l.counts["handed in"]++
}

// recordAnswer records the answer that the client received.
func (l *faultLedger) recordAnswer(id, line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.message(id)
	m.addEvent(l.now(), "its client is answered %q", line)
	l.counts["client is told "+strings.Fields(line + " ?")[0]]++
	switch {
	case strings.HasPrefix(line, "+"):
		m.accepted = true
	case strings.HasPrefix(line, "-") && m.finalAt == 0:
		m.finalAt = l.now()
	}
}

// recordReport records a report of a final answer to the platform.
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

// recordCall records a call that an endpoint has received completely. runs says whether the endpoint executes it.
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
		l.recordViolationLocked("lost", fmt.Sprintf("%s is forwarded %v after its final answer:\n\t%s", id, now-m.finalAt, strings.Join(m.events, "\n\t")))
	}
	if m.class == "payout" && m.runs > 1 && runs {
		l.recordViolationLocked("duplicate", fmt.Sprintf("%s is executed more than once:\n\t%s", id, strings.Join(m.events, "\n\t")))
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

// recordDown records that the node is told to end, or killed.
func (l *faultLedger) recordDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restarts = append(l.restarts, restartWindow{l.now(), 0})
}

// recordReady records that the node answers again.
func (l *faultLedger) recordReady() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.restarts); n > 0 && l.restarts[n-1].to == 0 {
		l.restarts[n-1].to = l.now()
		l.counts["restarts"]++
	}
}

// restartedSince reports whether the node was down or shutting down at any time since the given one.
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

// recordClosedConnection records that the connection of a request ended without an answer, which is a violation.
func (l *faultLedger) recordClosedConnection(id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.message(id)
	m.addEvent(l.now(), "its connection ends: %v", err)
	l.recordViolationLocked("lost", fmt.Sprintf("%s gets no answer:\n\t%s", id, strings.Join(m.events, "\n\t")))
}

// recordEvent adds an event to a message's record.
func (l *faultLedger) recordEvent(id, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.message(id).addEvent(l.now(), format, args...)
}

// verify checks that every accepted message was delivered or got its final answer in time. It returns all violations.
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
			l.recordViolationLocked("lost", fmt.Sprintf("%s got its final answer %v late:\n\t%s", id, m.finalAt-due, strings.Join(m.events, "\n\t")))
		}
	}
	return l.violations
}
