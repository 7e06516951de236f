package losses

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"harrierramp/choice"
	"harrierramp/internal/lab/model"
)

const s = time.Second

func day() *model.Day {
	return &model.Day{
		Nodes: []model.NodeSpec{{}, {Zone: 1}}, Dests: []model.DestSpec{{Limit: 10, Endpoints: []model.EndpointSpec{{ID: "e"}}}},
		Settings: choice.Settings{
			Classes: []choice.Class{{Aim: s, Deadline: 10 * s, Worth: 1, LateWorth: 0.5}}, Kinds: []choice.Kind{{}}, OverQuotaWorth: 0.2, WarmUpTime: 5 * s,
		},
		Faults: []model.Fault{{Kind: model.ZonePartition, Zone: 1, At: 100 * s, Duration: 10 * s}},
	}
}

// Each cause is named by what happened, and nothing else.
func TestCauseOfEachLoss(t *testing.T) {
	at := func(d time.Duration, w model.EventKind, e model.Event) model.Event {
		e.At, e.Kind, e.Msg, e.FirstID, e.Endpoint, e.Deadline, e.InQuota = d+model.StartTime(), w, "m", "m", "e", 10*s+model.StartTime(), true
		return e
	}
	in := at(0, model.Submitted, model.Event{})
	sent := func(d time.Duration, n int) model.Event { return at(d, model.Sent, model.Event{Attempt: n}) }
	ended := func(d time.Duration, n int, o choice.Outcome) model.Event {
		return at(d, model.AttemptEnded, model.Event{Attempt: n, Outcome: o})
	}
	answer := func(d time.Duration, o choice.Outcome) model.Event {
		return at(d, model.Answered, model.Event{Outcome: o})
	}
	busy := func() (out []model.Event) { // the destination passes what it can
		for i := range 120 { // from before it is handed in
			out = append(out, at(time.Duration(i-5)*100*time.Millisecond, model.Executed, model.Event{}))
		}
		return out
	}
	for name, c := range map[string]struct {
		events []model.Event
		want   Cause
	}{
		"no room at arrival":   {append(busy(), in, answer(0, choice.Rejected)), RefusedSaturated},
		"room at arrival":      {[]model.Event{in, answer(0, choice.Rejected)}, RefusedWithCapacity},
		"waited in vain":       {append(busy(), in, answer(9*s, choice.Rejected)), WaitedSaturated},
		"waited for nothing":   {[]model.Event{in, answer(9*s, choice.Rejected)}, WaitedWithCapacity},
		"late, with room":      {[]model.Event{in, sent(4*s, 0), ended(5*s, 0, choice.Success), answer(5*s, choice.Success)}, WaitedWithCapacity},
		"over the limit":       {[]model.Event{in, sent(0, 0), ended(3*s, 0, choice.Rejected), sent(4*s, 1), ended(5*s, 1, choice.Success), answer(5*s, choice.Success)}, OverLimit},
		"nothing there":        {[]model.Event{in, sent(0, 0), ended(3*s, 0, choice.ConnectFailed), answer(9*s, choice.Rejected)}, EndpointDown},
		"down":                 {[]model.Event{in, at(0, model.OutageBegan, model.Event{}), sent(0, 0), ended(3*s, 0, choice.TimedOut), answer(9*s, choice.ServerError)}, EndpointDown},
		"its answer got lost":  {[]model.Event{in, sent(0, 0), ended(3*s, 0, choice.ConnReset), answer(9*s, choice.ServerError)}, Retried},
		"the partner was slow": {[]model.Event{in, sent(0, 0), ended(3*s, 0, choice.Success), answer(3*s, choice.Success)}, SlowEndpoint},
		"refused in an outage": {[]model.Event{at(0, model.OutageBegan, model.Event{}), in, answer(0, choice.Rejected)}, DestinationDegraded},
		"refused after one":    {[]model.Event{at(-4*s, model.OutageBegan, model.Event{}), at(-3*s, model.OutageEnded, model.Event{}), in, answer(0, choice.Rejected)}, DestinationDegraded},
		"its zone was cut":     {[]model.Event{at(101*s, model.Submitted, model.Event{Node: 1}), at(101*s, model.Answered, model.Event{Node: 1, Outcome: choice.Rejected})}, ZonePartitioned},
		"the node was dead":    {[]model.Event{in, at(0, model.NodeUnavailable, model.Event{})}, NodeDown},
	} {
		l := New(day())
		for _, e := range c.events {
			l.Observe(&e)
		}
		for i := range 20 { // what it can, long after
			l.Observe(&model.Event{At: model.StartTime() + 200*s + time.Duration(i)*100*time.Millisecond, Kind: model.Executed})
		}
		r := l.Report()
		if got := r.Lost[c.want.String()]; got <= 0 || math.Abs(got+r.Served-1) > 1e-9 || len(r.Lost) != 1 {
			t.Errorf("%s: %v, served %.2f", name, r.Lost, r.Served)
		}
	}
}

// Whatever happens in whatever order, what is served and what is lost come to all that was asked for, by cause, by phase and
// by kind.
func TestServedAndLostAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := New(day()), time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "msg")
			l.Observe(&model.Event{
				At: now, Kind: model.EventKind(rapid.IntRange(0, int(model.InvalidAction)).Draw(t, "what")), Msg: id, FirstID: id, Endpoint: "e",
				Node: rapid.IntRange(0, 1).Draw(t, "node"), Attempt: rapid.IntRange(0, 2).Draw(t, "attempt"), Deadline: now + 10*s,
				Outcome: choice.Outcome(rapid.IntRange(0, int(choice.NotSent)).Draw(t, "outcome")), InQuota: rapid.Bool().Draw(t, "share"),
			})
		}
		r := l.Report()
		if len(l.order) == 0 {
			return
		}
		for name, parts := range map[string][]map[string]float64{
			"causes": {r.Lost}, "phases": {r.ByPhase["before"], r.ByPhase["during"], r.ByPhase["after"]}, "kinds": {r.ByKind[0]},
		} {
			sum := r.Served
			for _, p := range parts {
				for _, x := range p {
					sum += x
				}
			}
			if math.Abs(sum-1) > 1e-9 {
				t.Fatalf("%s: served and lost come to %v", name, sum)
			}
		}
		if j := r.Fairness["jain_10s"]; j < 0 || j > 1+1e-9 {
			t.Fatalf("Jain's index is %v", j)
		}
	})
}

func TestJain(t *testing.T) {
	for want, shares := range map[float64][]float64{1: {0.5, 0.5, 0.5}, 0.25: {1, 0, 0, 0}, 0.5: {1, 1, 0, 0}} {
		if got := Jain(shares); math.Abs(got-want) > 1e-9 {
			t.Errorf("%v: %v, want %v", shares, got, want)
		}
	}
}
