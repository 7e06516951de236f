// Package policy has what decides in the lab: the project's own sender, and textbook ones to hold it against. The
// textbook ones keep the rules that any sender must keep (one copy out, waits, drains, the classes' effects, answers in
// time) and otherwise do what their name says and no more.
package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/lab/model"
)

// Named makes a policy by its name. See Names.
func Named(name string) (model.Maker, error) {
	switch name {
	case "ours":
		return func(_ *model.World, s choice.Settings, seed uint64) model.Policy { return choice.New(s, seed) }, nil
	case "ours-alone": // without notes between nodes
		return func(_ *model.World, s choice.Settings, seed uint64) model.Policy {
			s.PeerDatagrams = false
			return choice.New(s, seed)
		}, nil
	case "bound":
		return newBound(), nil
	}
	pick, admit, _ := strings.Cut(name, "+")
	p, ok := pickers[pick]
	if !ok {
		return nil, fmt.Errorf("no policy %q: one of %s", name, strings.Join(Names(), ", "))
	}
	if admit == "" {
		admit = "none"
	}
	a, ok := admitters[admit]
	if !ok {
		return nil, fmt.Errorf("policy %q: no admission %q: one of %s", name, admit, strings.Join(sorted(admitters), ", "))
	}
	return func(w *model.World, s choice.Settings, seed uint64) model.Policy {
		return newTextbook(w, s, seed, p(), a)
	}, nil
}

// Names are the policies; any picker may be followed by + and an admission.
func Names() []string {
	out := []string{"ours", "ours-alone", "bound"}
	for _, p := range sorted(pickers) {
		out = append(out, p)
	}
	for _, a := range sorted(admitters) {
		if a != "none" {
			out = append(out, "lrt+"+a)
		}
	}
	return out
}

func sorted[V any](m map[string]V) (out []string) {
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

const (
	margin  = 15 * time.Millisecond  // final answers are given so long before the deadline
	rest    = 100 * time.Millisecond // of a message after a failure, doubled each time
	tryFor  = 2.0                    // aims that an attempt may take where a repeat is allowed
	wakeIn  = 20 * time.Millisecond
	smooth  = 0.2
	minSeen = 5 * time.Millisecond
)

// textbook is a sender with a picker and an admission.
type textbook struct {
	w     *model.World
	cfg   choice.Settings
	rng   *rand.Rand
	pick  picker
	admit newAdmission
	now   time.Duration
	acts  []choice.Action
	dests map[int]*target
	eps   map[string]*point
	msgs  map[string]*waiting
	queue []*waiting // in the order of arrival
	out   map[try]*flight
	wake  time.Duration
	leave bool
}

type try struct {
	id string
	n  int
}

// target is a destination as a textbook sender knows it.
type target struct {
	id    int
	eps   []*point
	gate  admission
	wait  time.Duration
	queue int
	out   int
}

// point is an endpoint as it knows it.
type point struct {
	id       string
	dest     *target
	zone     int
	apart    bool
	ready    bool
	out      int
	response float64 // smoothed, in seconds; 0 for none yet
	wait     time.Duration
	weight   float64
}

type waiting struct {
	choice.MessageArrived
	class     choice.Class
	came      time.Duration
	attempts  int
	out       bool
	touched   bool
	mayRun    time.Duration
	zone      int
	notBefore time.Duration
	over      bool
}

type flight struct {
	m    *waiting
	p    *point
	sent time.Duration
}

func newTextbook(w *model.World, cfg choice.Settings, seed uint64, p picker, a newAdmission) *textbook {
	return &textbook{
		w: w, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 7)), pick: p, admit: a, dests: map[int]*target{}, eps: map[string]*point{},
		msgs: map[string]*waiting{}, out: map[try]*flight{},
	}
}

// Step decides. (model.Policy)
func (t *textbook) Step(now time.Duration, events []choice.Event) []choice.Action {
	t.now, t.acts = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case choice.ListUpdate:
			t.listed(e)
		case choice.MessageArrived:
			t.arrived(e)
		case choice.MessageResumed:
			m := t.hold(e.MessageArrived)
			m.attempts, m.touched, m.mayRun, m.zone = e.Attempts, e.MayHaveRun && m.class.Effect != choice.Idempotent, e.FirstRunSentAt, e.Zone
		case choice.AttemptEnded:
			t.ended(e)
		case choice.WakeDue:
			t.wake = 0
		case choice.ShuttingDown:
			t.leave = true
		}
	}
	t.expire()
	if !t.leave {
		t.release()
	}
	t.arm()
	return t.acts
}

func (t *textbook) do(a choice.Action) { t.acts = append(t.acts, a) }

func (t *textbook) target(id int) *target {
	d := t.dests[id]
	if d == nil {
		d = &target{id: id, gate: t.admit(t.rng)}
		if b, ok := d.gate.(*tokens); ok {
			b.fleet = float64(t.cfg.FleetSize)
		}
		t.dests[id] = d
	}
	return d
}

func (t *textbook) listed(l choice.ListUpdate) {
	if l.Whole {
		for _, p := range t.eps {
			p.ready = false
		}
	}
	for _, e := range l.Entries {
		p := t.eps[e.Endpoint]
		if p == nil {
			d := t.target(e.Dest)
			p = &point{id: e.Endpoint, dest: d, zone: e.Zone, apart: e.Kind >= 0 && e.Kind < len(t.cfg.Kinds) && t.cfg.Kinds[e.Kind].SeparateRoutes}
			t.eps[e.Endpoint] = p
			d.eps = append(d.eps, p)
		}
		p.ready, p.weight = e.Phase == choice.Ready, e.Weight
	}
}

func (t *textbook) hold(a choice.MessageArrived) *waiting {
	m := &waiting{MessageArrived: a, came: t.now}
	if a.Class >= 0 && a.Class < len(t.cfg.Classes) {
		m.class = t.cfg.Classes[a.Class]
	}
	t.msgs[a.ID] = m
	t.queue = append(t.queue, m)
	t.target(a.Dest).queue++
	return m
}

func (t *textbook) arrived(a choice.MessageArrived) {
	d := t.target(a.Dest)
	if !d.gate.admit(t.now, d) {
		t.do(choice.Refuse{ID: a.ID, RetryAfter: t.cfg.MaxRetryAfter})
		return
	}
	t.hold(a)
}

func (t *textbook) finish(m *waiting, a choice.Action) {
	if m.over {
		return
	}
	m.over = true
	if !m.out {
		t.target(m.Dest).queue--
	}
	delete(t.msgs, m.ID)
	if a != nil {
		t.do(a)
	}
}

// giveUp ends a message as its effect allows.
func (t *textbook) giveUp(m *waiting) {
	if m.class.Effect == choice.Idempotent || !m.touched && !m.out {
		t.finish(m, choice.Refuse{ID: m.ID, RetryAfter: t.cfg.MaxRetryAfter})
		return
	}
	t.finish(m, choice.Fail{ID: m.ID})
}

func (t *textbook) expire() {
	t.queue = slices.DeleteFunc(t.queue, func(m *waiting) bool {
		if !m.over && (!m.out && t.now >= m.Deadline-margin-t.cfg.Tick || t.now >= m.Deadline) {
			t.giveUp(m)
		}
		return m.over
	})
}

func (t *textbook) ended(e choice.AttemptEnded) {
	f := t.out[try{e.ID, e.Attempt}]
	if f == nil {
		return
	}
	delete(t.out, try{e.ID, e.Attempt})
	m, p := f.m, f.p
	p.out--
	p.dest.out--
	if e.RetryAfter > 0 {
		if until := t.now + e.RetryAfter; p.apart {
			p.wait = max(p.wait, until)
		} else {
			p.dest.wait = max(p.dest.wait, until)
		}
	}
	took := (t.now - f.sent).Seconds()
	if e.Outcome != choice.NotSent && e.Outcome != choice.Rejected {
		if e.Outcome != choice.Success {
			took = max(took, m.class.Aim.Seconds())
		}
		if p.response == 0 {
			p.response = took
		}
		p.response += smooth * (took - p.response)
	}
	p.dest.gate.heard(t.now, (t.now - m.came).Seconds(), e.Outcome == choice.Success)
	if m.over {
		return
	}
	m.out = false
	p.dest.queue++
	ran := e.Outcome == choice.ServerError || e.Outcome == choice.TimedOut || e.Outcome == choice.ConnReset || e.Outcome == choice.Cancelled
	if ran && m.class.Effect != choice.Idempotent && !m.touched {
		m.touched, m.mayRun, m.zone = true, f.sent, p.zone
	}
	switch {
	case e.Outcome == choice.Success || e.MessageDone:
		t.finish(m, nil)
	case ran && m.class.Effect == choice.AtMostOnce, t.cfg.MaxAttempts > 0 && m.attempts >= t.cfg.MaxAttempts:
		t.giveUp(m)
	default:
		m.notBefore = t.now + rest<<min(m.attempts, 5)
	}
}

// fit tells that an endpoint may be sent a message now.
func (t *textbook) fit(m *waiting, p *point) bool {
	if !p.ready || t.now < p.wait || t.now < p.dest.wait {
		return false
	}
	if m.touched && m.class.Effect == choice.Deduplicated {
		late := t.now > m.mayRun+m.class.DedupWindow-t.cfg.DialTimeout-margin-2*t.cfg.Tick
		return !late && (m.class.AllEndpointsDeduplicate || p.zone == m.zone)
	}
	return true
}

// release sends the waiting, the oldest first, while there are slots.
func (t *textbook) release() {
	for _, m := range t.queue {
		if t.cfg.Slots > 0 && len(t.out) >= t.cfg.Slots {
			return
		}
		if m.over || m.out || t.now < m.notBefore || t.now >= m.Deadline-margin-2*t.cfg.Tick {
			continue
		}
		d := t.target(m.Dest)
		var fit []*point
		for _, p := range d.eps {
			if t.fit(m, p) {
				fit = append(fit, p)
			}
		}
		if len(fit) == 0 || !d.gate.send(t.now, d) {
			continue
		}
		p := t.pick(t, fit)
		if p == nil {
			continue
		}
		until := m.Deadline - margin/2
		if m.class.Effect != choice.AtMostOnce {
			until = min(until, t.now+time.Duration(tryFor*float64(m.class.Aim)))
		}
		t.out[try{m.ID, m.attempts}] = &flight{m, p, t.now}
		m.attempts++
		m.out = true
		d.queue--
		d.out++
		p.out++
		t.do(choice.Send{ID: m.ID, Endpoint: p.id, AbandonAt: until})
	}
}

func (t *textbook) arm() {
	if len(t.msgs) > 0 && (t.wake <= t.now) {
		t.wake = t.now + wakeIn
		t.do(choice.Wake{At: t.wake})
	}
}
