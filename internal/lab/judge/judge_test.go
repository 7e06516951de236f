package judge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/lab/model"
)

func newSender(_ *model.World, s choice.Settings, seed uint64) model.Policy {
	return choice.New(s, seed)
}

// hasher keeps a trace of everything that happens.
type traceRecorder struct{ b bytes.Buffer }

func (h *traceRecorder) Observe(e *model.Event) { fmt.Fprintln(&h.b, Describe(e)) }

func runDay(t *testing.T, day model.Day, maker model.PolicyFactory, more ...model.Observer) *Result {
	t.Helper()
	j := New(&day)
	if err := model.New(day, maker, append(model.Observers{j}, more...)).Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	return j.Result()
}

func drawDay(t *testing.T, kind string, nodes int, seed uint64) model.Day {
	t.Helper()
	day, err := model.Draw(kind, nodes, seed)
	if err != nil {
		t.Fatal(err)
	}
	return day
}

// The project's own sender keeps every rule on every kind of day, and the ledger adds up.
func TestCorrectSenderKeepsEveryRule(t *testing.T) {
	for _, kind := range model.Kinds {
		for seed := range uint64(3) {
			r := runDay(t, drawDay(t, kind, 20, seed), newSender)
			if r.ViolationCount > 0 {
				t.Errorf("%s, seed %d: %+v", kind, seed, r.Violations[0])
			}
			if sum := r.Delivered + r.Refused + r.Failed; sum != r.Offered || r.Offered == 0 {
				t.Errorf("%s, seed %d: %d of %d first tries have an end", kind, seed, sum, r.Offered)
			}
		}
	}
}

// The same day and seed give the same events to the byte.
func TestRunIsDeterministic(t *testing.T) {
	for kind, nodes := range map[string]int{"split": 20, "roll": 20, "herd": 20, "trouble": 100} { // the last has an endpoint with many calls crash
		var a, b traceRecorder
		r, s := runDay(t, drawDay(t, kind, nodes, 5), newSender, &a), runDay(t, drawDay(t, kind, nodes, 5), newSender, &b)
		if !bytes.Equal(a.b.Bytes(), b.b.Bytes()) {
			x, y := strings.Split(a.b.String(), "\n"), strings.Split(b.b.String(), "\n")
			for i := range min(len(x), len(y)) {
				if x[i] != y[i] {
					t.Fatalf("%s: event %d: %s, and %s", kind, i, x[i], y[i])
				}
			}
		}
		x, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if y, err := json.Marshal(s); err != nil || !bytes.Equal(x, y) {
			t.Errorf("%s: %s, and %s", kind, x, y)
		}
	}
}

// breaker is the project's own sender with something wrong on purpose.
type faultySender struct {
	model.Policy
	w            *model.World
	corrupt      func(b *faultySender, now time.Duration, events []choice.Event, actions []choice.Action) []choice.Action
	lastSend     choice.Send
	sends        map[string]choice.Send
	listed       map[string]choice.Entry
	mayHaveRunAt map[string]string
}

func (b *faultySender) Step(now time.Duration, events []choice.Event) []choice.Action {
	for _, e := range events {
		if l, ok := e.(choice.ListUpdate); ok {
			for _, x := range l.Entries {
				b.listed[x.Endpoint] = x
			}
		}
	}
	actions := b.Policy.Step(now, events)
	for _, a := range actions {
		if s, ok := a.(choice.Send); ok {
			b.lastSend, b.sends[s.ID] = s, s
		}
	}
	return b.corrupt(b, now, events, actions)
}

func newFaultySender(spoil func(b *faultySender, now time.Duration, events []choice.Event, actions []choice.Action) []choice.Action) model.PolicyFactory {
	return func(w *model.World, s choice.Settings, seed uint64) model.Policy {
		return &faultySender{Policy: choice.New(s, seed), w: w, corrupt: spoil, sends: map[string]choice.Send{}, listed: map[string]choice.Entry{}, mayHaveRunAt: map[string]string{}}
	}
}

func without(actions []choice.Action, drop func(choice.Action) bool) (out []choice.Action) {
	for _, a := range actions {
		if !drop(a) {
			out = append(out, a)
		}
	}
	return out
}

// Senders that break each rule on purpose are caught, by the rule's name.
func TestEachRuleViolationIsDetected(t *testing.T) {
	type actions = []choice.Action
	for rule, c := range map[string]struct {
		kind  string
		spoil func(b *faultySender, now time.Duration, events []choice.Event, a actions) actions
	}{
		"answer": {"trouble", func(_ *faultySender, _ time.Duration, _ []choice.Event, a actions) actions {
			return without(a, func(a choice.Action) bool { _, ok := a.(choice.Refuse); return ok })
		}},
		"copies": {"calm", func(b *faultySender, _ time.Duration, _ []choice.Event, a actions) actions {
			if b.lastSend.ID != "" {
				a = append(a, b.lastSend)
				b.lastSend = choice.Send{}
			}
			return a
		}},
		"repeat": {"trouble", func(b *faultySender, _ time.Duration, events []choice.Event, a actions) actions {
			for _, e := range events { // one that may have run goes to the other zone
				if x, ok := e.(choice.AttemptEnded); ok && (x.Outcome == choice.TimedOut || x.Outcome == choice.ServerError || x.Outcome == choice.ConnReset) {
					b.mayHaveRunAt[x.ID] = b.sends[x.ID].Endpoint
				}
			}
			for i := range a {
				s, ok := a[i].(choice.Send)
				if first := b.listed[b.mayHaveRunAt[s.ID]]; ok && first.Endpoint != "" {
					for id, at := range b.listed {
						if at.Dest == first.Dest && at.Zone != first.Zone {
							s.Endpoint = id
							a[i] = s
						}
					}
				}
			}
			return a
		}},
		"endpoint": {"calm", func(b *faultySender, _ time.Duration, _ []choice.Event, a actions) actions {
			for i := range a {
				if s, ok := a[i].(choice.Send); ok {
					for id, x := range b.listed {
						if x.Dest == 0 && b.listed[s.Endpoint].Dest != 0 {
							s.Endpoint = id
							a[i] = s
						}
					}
				}
			}
			return a
		}},
		"malformed": {"calm", func(_ *faultySender, _ time.Duration, _ []choice.Event, a actions) actions {
			return append(a, choice.Fail{ID: "nobody's"})
		}},
	} {
		day := drawDay(t, c.kind, 10, 2)
		r := runDay(t, day, newFaultySender(c.spoil))
		got := map[string]int{}
		for _, v := range r.Violations {
			got[v.Rule]++
		}
		if got[rule] == 0 {
			t.Errorf("%s is not caught: %v", rule, got)
		}
	}
}

// What the model's network code holds back by itself, as a node's does, and what no sender does alone, is told here.
func TestRulesOfTheNetworkCode(t *testing.T) {
	day := drawDay(t, "quiet", 3, 1)
	at := day.Dests[0].Endpoints[0]
	second := func(s float64) time.Duration { return model.StartTime() + time.Duration(s*float64(time.Second)) }
	try := func(node int, msg string, attempt int, when float64) []model.Event {
		e := model.Event{At: second(when), Node: node, Msg: msg, FirstID: msg, Endpoint: at.ID, Zone: at.Zone, Attempt: attempt, Deadline: second(20)}
		in, sent, began := e, e, e
		in.Kind, sent.Kind, began.Kind = model.Submitted, model.Sent, model.RequestReceived
		began.WrittenAt = e.At
		return []model.Event{in, sent, began}
	}
	ended := func(node int, msg string, when float64, o choice.Outcome, wait time.Duration) model.Event {
		return model.Event{Kind: model.AttemptEnded, At: second(when), Node: node, Msg: msg, Endpoint: at.ID, Outcome: o, RetryAfter: wait}
	}
	told := model.Event{Kind: model.WithdrawalReceived, At: second(1), Endpoint: at.ID}
	down := model.Event{Kind: model.OutageBegan, At: second(0.5), Endpoint: at.ID}
	up := model.Event{Kind: model.OutageEnded, At: second(2), Endpoint: at.ID}
	fell := model.Event{Kind: model.DestinationCollapsed, At: second(3)}
	taken := model.Event{Kind: model.Accepted, At: second(1), Msg: "a", FirstID: "a"}
	answered := model.Event{Kind: model.Answered, At: second(2), Msg: "a", FirstID: "a", Outcome: choice.Rejected}
	late := answered
	late.At = second(30)
	join := func(parts ...[]model.Event) (out []model.Event) {
		for _, p := range parts {
			out = append(out, p...)
		}
		return out
	}
	for name, c := range map[string]struct {
		rule   string
		events []model.Event
	}{
		"within the grace of a drain":  {"", join([]model.Event{told}, try(0, "a", 0, 1.9), []model.Event{answered})},
		"after it":                     {"drain", join([]model.Event{told}, try(0, "a", 0, 2.2))},
		"another node was not told":    {"", join([]model.Event{told}, try(1, "a", 0, 2.2))},
		"crossing a wait":              {"", join(try(0, "a", 0, 1), []model.Event{ended(0, "a", 1.1, choice.Rejected, time.Second)}, try(0, "b", 0, 1.15))},
		"inside a wait":                {"wait", join(try(0, "a", 0, 1), []model.Event{ended(0, "a", 1.1, choice.Rejected, time.Second)}, try(0, "b", 0, 1.5))},
		"after a wait":                 {"", join(try(0, "a", 0, 1), []model.Event{ended(0, "a", 1.1, choice.Rejected, time.Second)}, try(0, "b", 0, 2.2))},
		"pushed over by who knew":      {"cold", join([]model.Event{down}, try(0, "a", 0, 1), []model.Event{ended(0, "a", 1.1, choice.ConnectFailed, 0), up}, try(0, "b", 0, 2.5), []model.Event{fell})},
		"pushed over by who did not":   {"", join([]model.Event{down, up}, try(0, "a", 0, 2.5), []model.Event{fell})},
		"answered in time":             {"", join(try(0, "a", 0, 1)[:1], []model.Event{taken, answered})},
		"answered twice":               {"answer", join(try(0, "a", 0, 1)[:1], []model.Event{taken, answered, answered})},
		"answered late":                {"answer", join(try(0, "a", 0, 1)[:1], []model.Event{taken, late})},
		"never answered":               {"answer", join(try(0, "a", 0, 1)[:1], []model.Event{taken})},
		"told as delivered, never ran": {"answer", join(try(0, "a", 0, 1)[:1], []model.Event{taken, {Kind: model.Answered, At: second(2), Msg: "a", FirstID: "a"}})},
	} {
		j := New(&day)
		for i := range c.events {
			j.Observe(&c.events[i])
		}
		r := j.Result()
		if (c.rule == "") != (r.ViolationCount == 0) || c.rule != "" && (len(r.Violations) == 0 || r.Violations[0].Rule != c.rule) {
			t.Errorf("%s: %+v", name, r.Violations)
		}
	}
}
