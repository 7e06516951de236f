package judge

import (
	"fmt"
	"slices"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/lab/model"
)

// Result is what a run was worth and what it did.
type Result struct {
	Score          float64     `json:"score"`  // what counts: the parts of Served below, less the prices
	Served         float64     `json:"served"` // worth earned over worth asked for
	WorstWindow    float64     `json:"worst"`  // the same in the worst 10 s
	WorstClass     float64     `json:"worst_class"`
	Offered        int         `json:"offered"` // first tries
	Resubmitted    int         `json:"again"`   // hand-ins after those
	Delivered      int         `json:"delivered"`
	InTime         int         `json:"in_time"`
	Refused        int         `json:"refused"`
	Failed         int         `json:"failed"`
	Lost           int         `json:"lost"`
	DuplicateRuns  int         `json:"repeated"` // runs beyond the first of a message
	Calls          int         `json:"calls"`
	OverLimit      int         `json:"over_limit"`
	CrossZoneCalls int         `json:"crossed"`
	Handshakes     int         `json:"handshakes"`
	Datagrams      int64       `json:"datagrams"`
	PeerBytes      int64       `json:"peer_bytes"`
	Collapses      int         `json:"fell"`
	Events         int64       `json:"events"`
	ViolationCount int         `json:"broken"`
	Violations     []Violation `json:"violations,omitempty"`
	Windows        []Window    `json:"windows"`
	Dests          []DestUse   `json:"dests"`
	Costs          float64     `json:"prices"`
}

// Window is a stretch of five seconds, by when the first tries came.
type Window struct {
	Offered   int     `json:"offered"`
	InTime    int     `json:"in_time"`
	Late      int     `json:"late"`
	Refused   int     `json:"refused"`
	Failed    int     `json:"failed"`
	Calls     int     `json:"calls"`      // by when they came to the endpoint
	OverLimit int     `json:"over_limit"` // likewise
	Asked     float64 `json:"asked"`
	Earned    float64 `json:"earned"`
}

// DestUse is what came of a destination's messages.
type DestUse struct {
	Offered, Delivered, Refused int
	Asked, Earned               float64
}

func (j *Judge) window() *Window { return j.windowAt(j.now) }

func (j *Judge) windowAt(at time.Duration) *Window {
	i := int(max(at-model.StartTime(), 0) / windowSize)
	for len(j.result.Windows) <= i {
		j.result.Windows = append(j.result.Windows, Window{})
	}
	return &j.result.Windows[i]
}

// Result closes the ledger: what has no end by now is lost.
func (j *Judge) Result() *Result {
	r := &j.result
	end := &model.Event{At: j.now}
	ids := make([]string, 0, len(j.submissions))
	for id := range j.submissions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if m := j.submissions[id]; m.accepted && !m.answered {
			r.Lost++
			end.Msg, end.Node = id, m.node
			j.addViolation("answer", end, "no final answer")
		}
	}
	r.Dests = make([]DestUse, len(j.dests))
	firsts := make([]string, 0, len(j.requests))
	for id := range j.requests {
		firsts = append(firsts, id)
	}
	slices.SortFunc(firsts, func(a, b string) int {
		if d := j.requests[a].submittedAt - j.requests[b].submittedAt; d != 0 {
			return int(d)
		}
		return len(a) - len(b) + slices.Compare([]byte(a), []byte(b))
	})
	asked, earned := 0.0, 0.0
	classes, tenants := make([][2]float64, len(j.day.Settings.Classes)), make([][2]float64, len(j.day.Tenants))
	worst := map[int]*[2]float64{}
	for _, id := range firsts {
		t := j.requests[id]
		w, d := j.windowAt(t.submittedAt), &r.Dests[t.dest]
		full := j.maxWorth(t)
		asked, earned = asked+full, earned+t.earned
		w.Asked, w.Earned, d.Asked, d.Earned = w.Asked+full, w.Earned+t.earned, d.Asked+full, d.Earned+t.earned
		d.Offered++
		classes[t.class][0], classes[t.class][1] = classes[t.class][0]+full, classes[t.class][1]+t.earned
		if t.inQuota && t.tenant < len(tenants) {
			tenants[t.tenant][0], tenants[t.tenant][1] = tenants[t.tenant][0]+full, tenants[t.tenant][1]+t.earned
		}
		at := int((t.submittedAt - model.StartTime()) / worstWindowSize)
		if worst[at] == nil {
			worst[at] = new([2]float64)
		}
		worst[at][0], worst[at][1] = worst[at][0]+full, worst[at][1]+t.earned
		switch {
		case t.delivered && !t.late:
			r.Delivered, r.InTime, w.InTime, d.Delivered = r.Delivered+1, r.InTime+1, w.InTime+1, d.Delivered+1
		case t.delivered:
			r.Delivered, w.Late, d.Delivered = r.Delivered+1, w.Late+1, d.Delivered+1
		case t.answered && t.outcome == choice.Rejected:
			r.Refused, w.Refused, d.Refused = r.Refused+1, w.Refused+1, d.Refused+1
		default:
			r.Failed, w.Failed = r.Failed+1, w.Failed+1
		}
	}
	r.Served, r.WorstWindow, r.WorstClass = ratio(earned, asked), 1, 1
	for at, w := range worst {
		// A day's last stretch may be short; one of few messages tells nothing.
		if w[0] > asked/100 || len(worst) == 1 || at == 0 {
			r.WorstWindow = min(r.WorstWindow, ratio(w[1], w[0]))
		}
	}
	worstTenant := 1.0
	for _, c := range classes {
		r.WorstClass = min(r.WorstClass, ratio(c[1], c[0]))
	}
	for _, c := range tenants {
		worstTenant = min(worstTenant, ratio(c[1], c[0]))
	}
	if n := float64(r.Offered); n > 0 {
		r.Costs = 0.03*float64(r.OverLimit)/n + 0.03*float64(r.CrossZoneCalls)/n + 0.02*float64(r.Handshakes)/n + 0.01*float64(r.PeerBytes)/256/n
	}
	r.Score = 0.4*r.Served + 0.3*r.WorstWindow + 0.2*r.WorstClass + 0.1*worstTenant - r.Costs
	return r
}

func ratio(part, all float64) float64 {
	if all <= 0 {
		return 1
	}
	return part / all
}

var eventNames = []string{
	"handed in", "taken on", "answered", "unheard", "sent", "began", "ran", "ended", "refused over its limit", "told of the list",
	"outage began", "outage ended", "fell over", "died", "started", "datagram", "handshake", "strange",
}

var outcomeNames = []string{"pass", "fault", "no room", "too slow", "no route", "cut", "undone", "stale"}

// Describe is an event as a line for people.
func Describe(e *model.Event) string {
	s := fmt.Sprintf("%9.3f s  node %d  %s", (e.At - model.StartTime()).Seconds(), e.Node, eventNames[e.Kind])
	if e.Msg != "" {
		s += "  " + e.Msg
		if e.FirstID != "" && e.FirstID != e.Msg {
			s += " of " + e.FirstID
		}
	}
	if e.Endpoint != "" {
		s += fmt.Sprintf("  attempt %d at %s (destination %d)", e.Attempt, e.Endpoint, e.Dest)
	}
	switch e.Kind {
	case model.Submitted:
		s += fmt.Sprintf("  class %d destination %d, until %.3f s", e.Class, e.Dest, (e.Deadline - model.StartTime()).Seconds())
	case model.AttemptEnded, model.Answered:
		s += "  " + outcomeNames[e.Outcome]
		if e.RetryAfter > 0 {
			s += fmt.Sprintf(", told to wait %v", e.RetryAfter)
		}
	case model.InvalidAction:
		s += "  " + e.Text
	}
	return s
}
