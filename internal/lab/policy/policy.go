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
func Named(name string) (model.PolicyFactory, error) {
	switch name {
	case "ours":
		return func(_ *model.World, s choice.Settings, seed uint64) model.Policy { return choice.New(s, seed) }, nil
	case "ours-alone": // without notes between nodes
		return func(_ *model.World, s choice.Settings, seed uint64) model.Policy {
			s.PeerDatagrams = false
			return choice.New(s, seed)
		}, nil
	case "bound":
		return newOracle(), nil
	}
	pick, admit, _ := strings.Cut(name, "+")
	p, ok := pickers[pick]
	if !ok {
		return nil, fmt.Errorf("no policy %q: one of %s", name, strings.Join(Names(), ", "))
	}
	if admit == "" {
		admit = "none"
	}
	a, ok := admissions[admit]
	if !ok {
		return nil, fmt.Errorf("policy %q: no admission %q: one of %s", name, admit, strings.Join(sorted(admissions), ", "))
	}
	return func(w *model.World, s choice.Settings, seed uint64) model.Policy {
		return newReferenceSender(w, s, seed, p(), a)
	}, nil
}

// Names are the policies; any picker may be followed by + and an admission.
func Names() []string {
	out := []string{"ours", "ours-alone", "bound"}
	for _, p := range sorted(pickers) {
		out = append(out, p)
	}
	for _, a := range sorted(admissions) {
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
	answerMargin       = 15 * time.Millisecond  // final answers are given so long before the deadline
	baseBackoff        = 100 * time.Millisecond // of a message after a failure, doubled each time
	attemptTimeoutAims = 2.0                    // aims that an attempt may take where a repeat is allowed
	wakeInterval       = 20 * time.Millisecond
	ewmaWeight         = 0.2
	minResponse        = 5 * time.Millisecond
)

// textbook is a sender with a picker and an admission.
type referenceSender struct {
	world        *model.World
	cfg          choice.Settings
	rng          *rand.Rand
	pick         picker
	newGate      newAdmission
	now          time.Duration
	actions      []choice.Action
	destinations map[int]*destination
	endpoints    map[string]*endpoint
	messages     map[string]*message
	queue        []*message // in the order of arrival
	inProgress   map[attemptKey]*attempt
	wakeAt       time.Duration
	shuttingDown bool
}

type attemptKey struct {
	id      string
	attempt int
}

// target is a destination as a textbook sender knows it.
type destination struct {
	id         int
	endpoints  []*endpoint
	gate       admission
	retryAt    time.Duration
	queued     int
	inProgress int
}

// point is an endpoint as it knows it.
type endpoint struct {
	id            string
	dest          *destination
	zone          int
	separateRoute bool
	ready         bool
	inProgress    int
	meanResponse  float64 // smoothed, in seconds; 0 for none yet
	retryAt       time.Duration
	weight        float64
}

type message struct {
	choice.MessageArrived
	class          choice.Class
	arrivedAt      time.Duration
	attempts       int
	inProgress     bool
	mayHaveRun     bool
	firstRunSentAt time.Duration
	firstRunZone   int
	notBefore      time.Duration
	finished       bool
}

type attempt struct {
	message  *message
	endpoint *endpoint
	sentAt   time.Duration
}

func newReferenceSender(w *model.World, cfg choice.Settings, seed uint64, p picker, a newAdmission) *referenceSender {
	return &referenceSender{
		world: w, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 7)), pick: p, newGate: a, destinations: map[int]*destination{}, endpoints: map[string]*endpoint{},
		messages: map[string]*message{}, inProgress: map[attemptKey]*attempt{},
	}
}

// Step decides. (model.Policy)
func (t *referenceSender) Step(now time.Duration, events []choice.Event) []choice.Action {
	t.now, t.actions = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case choice.ListUpdate:
			t.updateList(e)
		case choice.MessageArrived:
			t.arrived(e)
		case choice.MessageResumed:
			m := t.enqueue(e.MessageArrived)
			m.attempts, m.mayHaveRun, m.firstRunSentAt, m.firstRunZone = e.Attempts, e.MayHaveRun && m.class.Effect != choice.Idempotent, e.FirstRunSentAt, e.Zone
		case choice.AttemptEnded:
			t.attemptEnded(e)
		case choice.WakeDue:
			t.wakeAt = 0
		case choice.ShuttingDown:
			t.shuttingDown = true
		}
	}
	t.expire()
	if !t.shuttingDown {
		t.sendQueued()
	}
	t.scheduleWake()
	return t.actions
}

func (t *referenceSender) emit(a choice.Action) { t.actions = append(t.actions, a) }

func (t *referenceSender) destination(id int) *destination {
	d := t.destinations[id]
	if d == nil {
		d = &destination{id: id, gate: t.newGate(t.rng)}
		if b, ok := d.gate.(*tokenBucket); ok {
			b.fleetSize = float64(t.cfg.FleetSize)
		}
		t.destinations[id] = d
	}
	return d
}

func (t *referenceSender) updateList(l choice.ListUpdate) {
	if l.Whole {
		for _, p := range t.endpoints {
			p.ready = false
		}
	}
	for _, e := range l.Entries {
		p := t.endpoints[e.Endpoint]
		if p == nil {
			d := t.destination(e.Dest)
			p = &endpoint{id: e.Endpoint, dest: d, zone: e.Zone, separateRoute: e.Kind >= 0 && e.Kind < len(t.cfg.Kinds) && t.cfg.Kinds[e.Kind].SeparateRoutes}
			t.endpoints[e.Endpoint] = p
			d.endpoints = append(d.endpoints, p)
		}
		p.ready, p.weight = e.Phase == choice.Ready, e.Weight
	}
}

func (t *referenceSender) enqueue(a choice.MessageArrived) *message {
	m := &message{MessageArrived: a, arrivedAt: t.now}
	if a.Class >= 0 && a.Class < len(t.cfg.Classes) {
		m.class = t.cfg.Classes[a.Class]
	}
	t.messages[a.ID] = m
	t.queue = append(t.queue, m)
	t.destination(a.Dest).queued++
	return m
}

func (t *referenceSender) arrived(a choice.MessageArrived) {
	d := t.destination(a.Dest)
	if !d.gate.admit(t.now, d) {
		t.emit(choice.Refuse{ID: a.ID, RetryAfter: t.cfg.MaxRetryAfter})
		return
	}
	t.enqueue(a)
}

func (t *referenceSender) finish(m *message, a choice.Action) {
	if m.finished {
		return
	}
	m.finished = true
	if !m.inProgress {
		t.destination(m.Dest).queued--
	}
	delete(t.messages, m.ID)
	if a != nil {
		t.emit(a)
	}
}

// giveUp ends a message as its effect allows.
func (t *referenceSender) giveUp(m *message) {
	if m.class.Effect == choice.Idempotent || !m.mayHaveRun && !m.inProgress {
		t.finish(m, choice.Refuse{ID: m.ID, RetryAfter: t.cfg.MaxRetryAfter})
		return
	}
	t.finish(m, choice.Fail{ID: m.ID})
}

func (t *referenceSender) expire() {
	t.queue = slices.DeleteFunc(t.queue, func(m *message) bool {
		if !m.finished && (!m.inProgress && t.now >= m.Deadline-answerMargin-t.cfg.Tick || t.now >= m.Deadline) {
			t.giveUp(m)
		}
		return m.finished
	})
}

func (t *referenceSender) attemptEnded(e choice.AttemptEnded) {
	f := t.inProgress[attemptKey{e.ID, e.Attempt}]
	if f == nil {
		return
	}
	delete(t.inProgress, attemptKey{e.ID, e.Attempt})
	m, p := f.message, f.endpoint
	p.inProgress--
	p.dest.inProgress--
	if e.RetryAfter > 0 {
		if until := t.now + e.RetryAfter; p.separateRoute {
			p.retryAt = max(p.retryAt, until)
		} else {
			p.dest.retryAt = max(p.dest.retryAt, until)
		}
	}
	took := (t.now - f.sentAt).Seconds()
	if e.Outcome != choice.NotSent && e.Outcome != choice.Rejected {
		if e.Outcome != choice.Success {
			took = max(took, m.class.Aim.Seconds())
		}
		if p.meanResponse == 0 {
			p.meanResponse = took
		}
		p.meanResponse += ewmaWeight * (took - p.meanResponse)
	}
	p.dest.gate.observe(t.now, (t.now - m.arrivedAt).Seconds(), e.Outcome == choice.Success)
	if m.finished {
		return
	}
	m.inProgress = false
	p.dest.queued++
	mayHaveRun := e.Outcome == choice.ServerError || e.Outcome == choice.TimedOut || e.Outcome == choice.ConnReset || e.Outcome == choice.Cancelled
	if mayHaveRun && m.class.Effect != choice.Idempotent && !m.mayHaveRun {
		m.mayHaveRun, m.firstRunSentAt, m.firstRunZone = true, f.sentAt, p.zone
	}
	switch {
	case e.Outcome == choice.Success || e.MessageDone:
		t.finish(m, nil)
	case mayHaveRun && m.class.Effect == choice.AtMostOnce, t.cfg.MaxAttempts > 0 && m.attempts >= t.cfg.MaxAttempts:
		t.giveUp(m)
	default:
		m.notBefore = t.now + baseBackoff<<min(m.attempts, 5)
	}
}

// fit tells that an endpoint may be sent a message now.
func (t *referenceSender) eligible(m *message, p *endpoint) bool {
	if !p.ready || t.now < p.retryAt || t.now < p.dest.retryAt {
		return false
	}
	if m.mayHaveRun && m.class.Effect == choice.Deduplicated {
		windowOver := t.now > m.firstRunSentAt+m.class.DedupWindow-t.cfg.DialTimeout-answerMargin-2*t.cfg.Tick
		return !windowOver && (m.class.AllEndpointsDeduplicate || p.zone == m.firstRunZone)
	}
	return true
}

// release sends the waiting, the oldest first, while there are slots.
func (t *referenceSender) sendQueued() {
	for _, m := range t.queue {
		if t.cfg.Slots > 0 && len(t.inProgress) >= t.cfg.Slots {
			return
		}
		if m.finished || m.inProgress || t.now < m.notBefore || t.now >= m.Deadline-answerMargin-2*t.cfg.Tick {
			continue
		}
		d := t.destination(m.Dest)
		var eligible []*endpoint
		for _, p := range d.endpoints {
			if t.eligible(m, p) {
				eligible = append(eligible, p)
			}
		}
		if len(eligible) == 0 || !d.gate.maySend(t.now, d) {
			continue
		}
		p := t.pick(t, eligible)
		if p == nil {
			continue
		}
		abandonAt := m.Deadline - answerMargin/2
		if m.class.Effect != choice.AtMostOnce {
			abandonAt = min(abandonAt, t.now+time.Duration(attemptTimeoutAims*float64(m.class.Aim)))
		}
		t.inProgress[attemptKey{m.ID, m.attempts}] = &attempt{m, p, t.now}
		m.attempts++
		m.inProgress = true
		d.queued--
		d.inProgress++
		p.inProgress++
		t.emit(choice.Send{ID: m.ID, Endpoint: p.id, AbandonAt: abandonAt})
	}
}

func (t *referenceSender) scheduleWake() {
	if len(t.messages) > 0 && (t.wakeAt <= t.now) {
		t.wakeAt = t.now + wakeInterval
		t.emit(choice.Wake{At: t.wakeAt})
	}
}
