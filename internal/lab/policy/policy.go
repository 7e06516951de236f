// Package policy provides the policies that the lab compares: the project's own sender (choice.Sender), reference
// senders with published load balancing and admission control algorithms, and an idealized upper bound. The reference
// senders keep the rules for every sender (one call in progress per message, Retry-After, drains, the effects of the
// classes, final answers in time) and otherwise do only what their algorithm says.
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

// Named returns the factory of the policy with the given name. See Names.
func Named(name string) (model.PolicyFactory, error) {
	switch name {
	case "ours":
		return func(_ *model.World, s choice.Settings, seed uint64) model.Policy { return choice.New(s, seed) }, nil
	case "ours-alone": // without datagrams between nodes
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
		return nil, fmt.Errorf("no policy %q: must be one of %s", name, strings.Join(Names(), ", "))
	}
	if admit == "" {
		admit = "none"
	}
	a, ok := admissions[admit]
	if !ok {
		return nil, fmt.Errorf("policy %q: unknown admission control %q: must be one of %s", name, admit, strings.Join(sorted(admissions), ", "))
	}
	return func(w *model.World, s choice.Settings, seed uint64) model.Policy {
		return newReferenceSender(w, s, seed, p(), a)
	}, nil
}

// Names lists the names of policies. Besides these, any picker may be followed by + and the name of an admission
// control, as in "uniform+aimd".
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

// sorted returns the keys of a map in order.
func sorted[V any](m map[string]V) (out []string) {
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

const (
	answerMargin       = 15 * time.Millisecond  // final answers are given this long before the deadline
	baseBackoff        = 100 * time.Millisecond // pause of a message after a failed attempt, doubled each time
	attemptTimeoutAims = 2.0                    // attempt timeout, in aims of the class, where a repeat is allowed
	wakeInterval       = 20 * time.Millisecond  // between steps while messages are open
	ewmaWeight         = 0.2                    // weight of a new sample in smoothed response times
	minResponse        = 5 * time.Millisecond   // shorter response times count as this in responseRatio
)

// referenceSender is a sender with a picker, which chooses endpoints, and an admission control for each destination.
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
	queue        []*message // open messages in the order of arrival
	inProgress   map[attemptKey]*attempt
	wakeAt       time.Duration
	shuttingDown bool
}

// attemptKey identifies an attempt of a message.
type attemptKey struct {
	id      string
	attempt int
}

// destination is what a reference sender knows about a destination.
type destination struct {
	id         int
	endpoints  []*endpoint
	gate       admission
	retryAt    time.Duration
	queued     int
	inProgress int
}

// endpoint is what a reference sender knows about an endpoint.
type endpoint struct {
	id            string
	dest          *destination
	zone          int
	separateRoute bool
	ready         bool
	inProgress    int
	meanResponse  float64 // smoothed response time in seconds; 0 before the first response
	retryAt       time.Duration
	weight        float64
}

// message is an open message. mayHaveRun says that an attempt may have been executed where that restricts repeats; the
// firstRun fields then describe the first such attempt.
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

// attempt is an attempt in progress.
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

// Step handles events and returns the actions that follow. It implements model.Policy.
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

// destination returns the state of a destination, which it creates if necessary.
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

// updateList applies a list update; a whole list makes all endpoints that it does not name unavailable.
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

// enqueue adds a message that has been admitted.
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

// arrived admits or refuses a new message.
func (t *referenceSender) arrived(a choice.MessageArrived) {
	d := t.destination(a.Dest)
	if !d.gate.admit(t.now, d) {
		t.emit(choice.Refuse{ID: a.ID, RetryAfter: t.cfg.MaxRetryAfter})
		return
	}
	t.enqueue(a)
}

// finish forgets a message and emits a, its final answer, if it is not nil.
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

// giveUp ends an undelivered message: it is refused if that is safe for its effect, and failed if it may have run.
func (t *referenceSender) giveUp(m *message) {
	if m.class.Effect == choice.Idempotent || !m.mayHaveRun && !m.inProgress {
		t.finish(m, choice.Refuse{ID: m.ID, RetryAfter: t.cfg.MaxRetryAfter})
		return
	}
	t.finish(m, choice.Fail{ID: m.ID})
}

// expire gives up the messages whose deadline is near; those with a call in progress are kept until the deadline.
func (t *referenceSender) expire() {
	t.queue = slices.DeleteFunc(t.queue, func(m *message) bool {
		if !m.finished && (!m.inProgress && t.now >= m.Deadline-answerMargin-t.cfg.Tick || t.now >= m.Deadline) {
			t.giveUp(m)
		}
		return m.finished
	})
}

// attemptEnded handles the outcome of an attempt: it updates the estimates and finishes the message or keeps it for a
// retry.
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

// eligible reports whether a message may be sent to an endpoint now.
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

// sendQueued sends waiting messages, the oldest first, while slots are free.
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

// scheduleWake requests the next step while messages are open.
func (t *referenceSender) scheduleWake() {
	if len(t.messages) > 0 && (t.wakeAt <= t.now) {
		t.wakeAt = t.now + wakeInterval
		t.emit(choice.Wake{At: t.wakeAt})
	}
}
