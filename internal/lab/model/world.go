package model

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"harrierramp/choice"
)

const (
	// start is the clock when a run begins: times before it stay above zero for whoever remembers some.
	startTime = time.Minute
	// tail is how long a run may go on after the last arrival; every message has its end before.
	settleTime = 45 * time.Second
)

// World is one run of a day.
type World struct {
	Day          Day
	now          time.Duration
	events       queue
	observer     Observer
	newPolicy    PolicyFactory
	nodes        []node
	simNodes     []*simNode // those that are played here
	destinations []*destination
	endpoints    map[string]*endpoint
	rng          streams
	surgeFactor  float64 // present factor on the traffic
	err          error
	Steps        int64 // events of the run so far
	messageCount int   // messages
	clients      clients

	endpointObserver EndpointObserver // where nodes are real processes
	tasks            chan func()      // likewise
	callCount        int              // made so far
}

// node is a node of the fleet: one that is played here, or a real process.
type node interface {
	start()
	kill()
	terminate()
	submit(m *message) bool
	updateList(e *endpoint, phase choice.Phase)
}

// streams keeps apart what draws on chance, so that a policy that asks for more calls does not change the traffic.
type streams struct{ traffic, clients, net, destinations, faults, seeds *rand.Rand }

func newStreams(seed uint64) streams {
	s := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	return streams{s(1), s(2), s(3), s(4), s(5), s(6)}
}

// ErrPolicy is a policy that panicked or acted malformed; the text tells how to play it again.
var ErrPolicy = errors.New("policy")

// New makes a run that Run plays. obs hears of all that happens.
func New(day Day, policy PolicyFactory, obs Observer) *World {
	w := &World{Day: day, now: startTime, observer: obs, newPolicy: policy, endpoints: map[string]*endpoint{}, rng: newStreams(day.Seed), surgeFactor: 1}
	for i := range day.Dests {
		w.destinations = append(w.destinations, newDestination(w, i))
	}
	for i := range day.Nodes {
		h := newSimNode(w, i)
		w.simNodes, w.nodes = append(w.simNodes, h), append(w.nodes, h)
	}
	w.clients = newClients(w)
	return w
}

// Now is the clock; a day begins after Start.
func (w *World) Now() time.Duration { return w.now }

// Start is the clock when a day begins.
func StartTime() time.Duration { return startTime }

// Run plays the day to its end. It ends early when ctx does or a policy fails.
func (w *World) Run(ctx context.Context) error {
	for _, h := range w.nodes {
		h.start()
	}
	for _, t := range w.Day.Faults {
		w.events.add(startTime+t.At, func() { w.injectFault(t) })
	}
	w.clients.scheduleNext()
	for last := startTime + w.Day.Length + settleTime; len(w.events.heap) > 0; {
		p := w.events.next()
		if p.at > last {
			return nil
		}
		w.now = p.at
		if w.Steps++; w.Steps%4096 == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		if p.run(); w.err != nil {
			return fmt.Errorf("%w: day %s, %d nodes, seed %d, event %d at %v: %w",
				ErrPolicy, w.Day.Name, len(w.Day.Nodes), w.Day.Seed, w.Steps, w.now-startTime, w.err)
		}
	}
	return nil
}

func (w *World) after(d time.Duration, run func()) { w.events.add(w.now+max(d, 0), run) }

func (w *World) emit(e Event) {
	e.At = w.now
	w.observer.Observe(&e)
}

// delay is one way between zones.
func (w *World) delay(a, b int) time.Duration {
	d := w.Day.Net.SameZoneDelay
	if a != b {
		d = w.Day.Net.CrossZoneDelay
	}
	return time.Duration(float64(d) * (1 + w.Day.Net.Jitter*(2*w.rng.net.Float64()-1)))
}

// cut tells that nothing passes between two zones now.
func (w *World) partitioned(a, b int) bool {
	if a == b {
		return false
	}
	for _, t := range w.Day.Faults {
		if t.Kind == ZonePartition && (t.Zone == a || t.Zone == b) && w.active(t) {
			return true
		}
	}
	return false
}

func (w *World) active(t Fault) bool {
	return w.now >= startTime+t.At && w.now < startTime+t.At+t.Duration
}

// size is the size of a trouble of the kind that holds now for a destination, or otherwise.
func (w *World) faultSize(kind string, dest int, fallback float64) float64 {
	for _, t := range w.Day.Faults {
		if t.Kind == kind && w.active(t) && (dest < 0 || slices.Contains(t.Dests, dest)) {
			return t.Size
		}
	}
	return fallback
}

// deaf tells that a node hears no datagrams now.
func (w *World) datagramsBlocked(node int) bool {
	for _, t := range w.Day.Faults {
		if t.Kind == DatagramsBlocked && w.active(t) && (len(t.Nodes) == 0 || slices.Contains(t.Nodes, node)) {
			return true
		}
	}
	return false
}

// trouble begins one, and asks for its end.
func (w *World) injectFault(t Fault) {
	switch t.Kind {
	case Crash, Unresponsive, RejectAll:
		for _, i := range t.Dests {
			for _, e := range w.destinations[i].endpoints {
				if t.Zone < 0 || e.zone == t.Zone {
					w.scheduleOutage(e, t)
				}
			}
		}
	case Flap:
		for i := range t.Dests {
			for _, e := range w.destinations[t.Dests[i]].endpoints {
				step := time.Duration(t.Size * float64(time.Second))
				for at := time.Duration(0); at < t.Duration; at += 2 * step {
					w.after(at, func() { w.scheduleOutage(e, Fault{Kind: Crash, Duration: step}) })
				}
			}
		}
	case Kill:
		for _, n := range t.Nodes {
			w.nodes[n].kill()
			w.after(t.Duration, w.nodes[n].start)
		}
	case RollingRestart:
		w.rollingRestart(t)
	case ReplaceEndpoints:
		w.replaceEndpoints(t)
	case Surge:
		w.surgeFactor *= t.Size
		w.after(t.Duration, func() { w.surgeFactor /= t.Size })
	}
}

func (w *World) scheduleOutage(e *endpoint, t Fault) {
	e.beginOutage(t.Kind)
	w.after(t.Duration, func() { e.endOutage(t.Kind) })
}

// restart restarts all nodes, a tenth at a time: every second one by SIGTERM, the others by a kill.
func (w *World) rollingRestart(t Fault) {
	const parts = 10
	order := w.rng.faults.Perm(len(w.nodes))
	for i, n := range order {
		h := w.nodes[n]
		at := t.Duration * time.Duration(i*parts/len(order)) / parts
		if i%2 == 0 {
			w.after(at, h.terminate)
			continue
		}
		w.after(at, h.kill)
		w.after(at+600*time.Millisecond, h.start)
	}
}

// replace drains endpoints in turn, each beside a new one.
func (w *World) replaceEndpoints(t Fault) {
	var all []*endpoint
	for _, i := range t.Dests {
		all = append(all, w.destinations[i].endpoints...)
	}
	for i, e := range all {
		at := t.Duration * time.Duration(i) / time.Duration(len(all))
		w.after(at, func() {
			id := e.id + "r" // a machine that replaces another has a new id
			for w.endpoints[id] != nil {
				id += "r"
			}
			replacement := e.dest.addEndpoint(EndpointSpec{ID: id, Zone: e.zone})
			w.publishListChange(replacement, choice.Ready)
			w.after(time.Second, func() { w.publishListChange(e, choice.Draining) })
			w.after(5*time.Second, func() { w.publishListChange(e, choice.Removed) })
		})
	}
}

// change tells all nodes of a change of the list, each in its own time.
func (w *World) publishListChange(e *endpoint, phase choice.Phase) {
	e.phase = phase
	spec := w.Day.List
	listDelay := time.Duration(w.faultSize(ListDelay, -1, 0) * float64(time.Second))
	base := spec.DelayMin + time.Duration(w.rng.net.Float64()*float64(spec.DelayMax-spec.DelayMin)) + listDelay
	if phase == choice.Ready {
		base = listDelay + spec.Spread
	}
	for _, h := range w.nodes {
		w.after(base+time.Duration(w.rng.net.Float64()*float64(spec.Spread)), func() { h.updateList(e, phase) })
	}
}

// Room is how many calls an endpoint would take at this moment from a node of a zone, by its true state: for policies
// that know what no node can know.
func (w *World) SpareCapacity(id string, zone int) int {
	e := w.endpoints[id]
	if e == nil || e.phase != choice.Ready || len(e.outages) > 0 || w.partitioned(zone, e.zone) {
		return 0
	}
	d := e.dest
	room := e.servers - e.busy - len(e.queue)
	if d.spec.Limit <= 0 {
		return max(room, 0)
	}
	rate, left := d.rate()*e.warmth(), 0.0
	if d.spec.Window <= 0 {
		left = min(e.limit.tokens+rate*(w.now-e.limit.updatedAt).Seconds(), max(1, rate/4))
	} else {
		left = max(1, rate*d.spec.Window.Seconds())
		if int64(w.now/d.spec.Window) == e.limit.window {
			left -= e.limit.windowCount
		}
	}
	return max(min(room, int(left)), 0)
}

// Limiter names what limits an endpoint: its destination, or itself where routes are apart.
func (w *World) LimitKey(id string) string {
	if e := w.endpoints[id]; e != nil && e.dest.sharedLimit != nil {
		return strconv.Itoa(e.dest.id)
	}
	return id
}

// After calls a function of a policy that knows the world, once the clock has gone on so far.
func (w *World) After(d time.Duration, run func()) { w.after(d, run) }

// Reach is about how long a call's last byte takes between zones.
func (w *World) OneWayDelay(a, b int) time.Duration {
	if a == b {
		return w.Day.Net.SameZoneDelay
	}
	return w.Day.Net.CrossZoneDelay
}
