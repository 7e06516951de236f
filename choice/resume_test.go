package choice

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// After a restart a message must be treated by what may have run, as it would have been without the restart.
func TestResumedMessagesRespectEffect(t *testing.T) {
	const now = time.Hour
	cfg := testSettings()
	classOf := func(e Effect) int {
		for i, c := range cfg.Classes {
			if c.Effect == e && !c.Ordered && (e != Deduplicated || c.AllEndpointsDeduplicate) {
				return i
			}
		}
		t.Fatalf("no class of effect %d", e)
		return 0
	}
	safe, keyed, unsafe := classOf(Idempotent), classOf(Deduplicated), classOf(AtMostOnce)
	window := cfg.Classes[keyed].DedupWindow
	for _, c := range []struct {
		name  string
		class int
		left  time.Duration
		e     MessageResumed
		want  string
	}{
		{"idempotent, not sent", safe, 5 * time.Second, MessageResumed{}, "send"},
		{"idempotent, may have run", safe, 5 * time.Second, MessageResumed{Attempts: 1, MayHaveRun: true, FirstRunSentAt: now - time.Second}, "send"},
		{"deduplicated, inside its window", keyed, 5 * time.Second, MessageResumed{Attempts: 1, MayHaveRun: true, FirstRunSentAt: now - window/2}, "send"},
		{"deduplicated, past its window", keyed, 5 * time.Second, MessageResumed{Attempts: 1, MayHaveRun: true, FirstRunSentAt: now - window}, "fail"},
		{"at-most-once, not sent", unsafe, 5 * time.Second, MessageResumed{}, "send"},
		{"at-most-once, never ran", unsafe, 5 * time.Second, MessageResumed{Attempts: 1}, "send"},
		{"at-most-once, may have run", unsafe, 5 * time.Second, MessageResumed{Attempts: 1, MayHaveRun: true, FirstRunSentAt: now - time.Second}, "fail"},
		{"unknown class, not sent", 99, 5 * time.Second, MessageResumed{}, "send"},
		{"unknown class, may have run", 99, 5 * time.Second, MessageResumed{Attempts: 1, MayHaveRun: true, FirstRunSentAt: now - time.Second}, "fail"},
		{"out of time", safe, -time.Second, MessageResumed{}, "push back"},
		{"at-most-once, out of time, may have run", unsafe, -time.Second, MessageResumed{Attempts: 1, MayHaveRun: true, FirstRunSentAt: now - time.Second}, "fail"},
		{"out of attempts", safe, 5 * time.Second, MessageResumed{Attempts: cfg.MaxAttempts}, "push back"},
	} {
		s := New(cfg, 1)
		c.e.MessageArrived = MessageArrived{ID: "m", Class: c.class, Deadline: now + c.left}
		got := ""
		for _, a := range s.Step(now, []Event{oneEndpoint(), c.e}) {
			switch a := a.(type) {
			case Send:
				got += "send"
			case Fail:
				got += "fail"
			case Refuse:
				got += "push back"
				if a.RetryAfter <= 0 {
					t.Errorf("%s: no RetryAfter", c.name)
				}
			}
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// A backlog that failed before the restart must be sent at the rate of a cold destination, and not all at once.
func TestResumedBacklogStartsAtColdRate(t *testing.T) {
	for _, failed := range []bool{false, true} {
		cfg := testSettings()
		s := New(cfg, 1)
		events := []Event{oneEndpoint()}
		for _, id := range []string{"a", "b", "c"} {
			events = append(events, MessageResumed{
				MessageArrived: MessageArrived{ID: id, Deadline: time.Hour + 5*time.Second}, Attempts: 1, Failed: failed,
			})
		}
		sends := 0
		for _, a := range s.Step(time.Hour, events) {
			if _, ok := a.(Send); ok {
				sends++
			}
		}
		if r := s.endpoints["a"].route; r.recovering() != failed || (failed && sends > 1) || (!failed && sends == 0) {
			t.Errorf("failed %v: recovering %v, %d sends", failed, r.recovering(), sends)
		}
	}
}

// A shutdown must stop new sends and nothing else: messages still get their final answers.
func TestShuttingDownSendsNothingNew(t *testing.T) {
	s := New(testSettings(), 1)
	s.Step(time.Hour, []Event{oneEndpoint(), ShuttingDown{}})
	for _, a := range s.Step(time.Hour+ms, []Event{MessageArrived{ID: "m", Deadline: time.Hour + time.Second}}) {
		if _, ok := a.(Send); ok {
			t.Error("sent during the shutdown")
		}
	}
	ended := false
	for _, a := range s.Step(time.Hour+time.Second, []Event{WakeDue{}}) {
		if p, ok := a.(Refuse); ok && p.ID == "m" {
			ended = true
		}
	}
	if !ended {
		t.Error("a held message got no final answer at its deadline")
	}
}

// Messages that a restart finds without an attempt must be tried, even if newer messages with a higher worth keep
// arriving for a destination that takes fewer than arrive. Behind those they would wait until their deadlines.
func TestResumedUntriedMessagesAreNotStarved(t *testing.T) {
	cfg := testSettings()
	s, now := New(cfg, 1), time.Hour
	s.Step(now, []Event{fullList(Entry{Endpoint: "a", Dest: 0, Weight: 8})}) // half of this is the node's share at most
	const found, limit = 20, 4
	var events []Event
	for i := range found {
		events = append(events, MessageResumed{MessageArrived: MessageArrived{ID: fmt.Sprint("found", i), Class: 0, Deadline: now + 9*time.Second}})
	}
	tried, gaveUp, accepted, window := 0, 0, 0, now
	for n := 0; now < time.Hour+9*time.Second; n++ {
		if now-window >= time.Second {
			window, accepted = now, 0
		}
		if n%5 == 0 { // ten per second
			events = append(events, MessageArrived{ID: fmt.Sprint("new", n), Class: 2, Deadline: now + 10*time.Second})
		}
		actions := s.Step(now, append(events, WakeDue{Tag: "sweep"}))
		events = nil
		for _, a := range actions {
			switch a := a.(type) {
			case Send:
				o := Success
				if accepted++; accepted > limit {
					o = Rejected
				}
				if strings.HasPrefix(a.ID, "found") && o == Success {
					tried++
				}
				m := s.messages[a.ID]
				events = append(events, AttemptEnded{ID: a.ID, Attempt: m.attempts - 1, Endpoint: a.Endpoint, Outcome: o, Took: 20 * ms, MessageDone: o == Success})
			case Refuse:
				if strings.HasPrefix(a.ID, "found") {
					gaveUp++
				}
			}
		}
		now += 20 * ms
	}
	if tried < found*3/4 {
		t.Errorf("of %d messages found, %d were tried and %d were given up", found, tried, gaveUp)
	}
}
