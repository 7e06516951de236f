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
	// startTime is the clock when a run begins. It is not zero, so that times shortly before the start, which a policy
	// may remember, are still positive.
	startTime = time.Minute
	// settleTime is how long a run may continue after the last arrival. Every message has its final answer before that.
	settleTime = 45 * time.Second
)

// World is a run of a day: the state of the simulated fleet, its clients and its destinations.
type World struct {
	Day          Day
	now          time.Duration
	events       queue
	observer     Observer
	newPolicy    PolicyFactory
	nodes        []node
	simNodes     []*simNode // the simulated nodes; nil in a run with real processes
	destinations []*destination
	endpoints    map[string]*endpoint
	rng          streams
	surgeFactor  float64 // present factor on the rate of arrivals
	err          error
	Steps        int64 // scheduled events handled so far
	messageCount int   // submissions so far; numbers the message ids
	clients      clients

	endpointObserver EndpointObserver // set if nodes are real processes
	tasks            chan func()      // functions for the world's goroutine, set if nodes are real processes
	callCount        int              // calls so far
}

// node is a node of the fleet: a simulated node or a real process.
type node interface {
	start()
	kill()
	terminate()
	submit(m *message) bool
	updateList(e *endpoint, phase choice.Phase)
}

// streams holds an independent random stream for each part of the model, so that, for example, a policy that makes more
// calls does not change the traffic.
type streams struct{ traffic, clients, net, destinations, faults, seeds *rand.Rand }

func newStreams(seed uint64) streams {
	s := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	return streams{s(1), s(2), s(3), s(4), s(5), s(6)}
}

// ErrPolicy reports that a policy panicked. The error's text says how to reproduce the run.
var ErrPolicy = errors.New("policy")

// New creates a simulated run of a day, to be played by Run. obs receives all its events.
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

// Now returns the present time of the run, which begins at StartTime.
func (w *World) Now() time.Duration { return w.now }

// StartTime returns the time at which every run begins.
func StartTime() time.Duration { return startTime }

// Run plays the day to its end. It returns early if ctx ends or a policy fails.
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

// after schedules a function to run after d.
func (w *World) after(d time.Duration, run func()) { w.events.add(w.now+max(d, 0), run) }

// emit passes an event with the present time to the observer.
func (w *World) emit(e Event) {
	e.At = w.now
	w.observer.Observe(&e)
}

// delay draws the one-way network delay between two zones.
func (w *World) delay(a, b int) time.Duration {
	d := w.Day.Net.SameZoneDelay
	if a != b {
		d = w.Day.Net.CrossZoneDelay
	}
	return time.Duration(float64(d) * (1 + w.Day.Net.Jitter*(2*w.rng.net.Float64()-1)))
}

// partitioned reports whether a partition separates two zones now.
func (w *World) partitioned(a, b int) bool {
	if a == b {
		return false
	}
	for _, f := range w.Day.Faults {
		if f.Kind == ZonePartition && (f.Zone == a || f.Zone == b) && w.active(f) {
			return true
		}
	}
	return false
}

// active reports whether a fault is in progress.
func (w *World) active(f Fault) bool {
	return w.now >= startTime+f.At && w.now < startTime+f.At+f.Duration
}

// faultSize returns the Size of a fault of the kind that is in progress at a destination, or fallback if there is none.
// With a negative dest it looks for faults at any destination.
func (w *World) faultSize(kind string, dest int, fallback float64) float64 {
	for _, f := range w.Day.Faults {
		if f.Kind == kind && w.active(f) && (dest < 0 || slices.Contains(f.Dests, dest)) {
			return f.Size
		}
	}
	return fallback
}

// datagramsBlocked reports whether a fault keeps a node from receiving datagrams now.
func (w *World) datagramsBlocked(node int) bool {
	for _, f := range w.Day.Faults {
		if f.Kind == DatagramsBlocked && w.active(f) && (len(f.Nodes) == 0 || slices.Contains(f.Nodes, node)) {
			return true
		}
	}
	return false
}

// injectFault begins a fault and schedules its end. Kinds that are not listed here are looked up while in progress, by
// faultSize, partitioned and datagramsBlocked.
func (w *World) injectFault(f Fault) {
	switch f.Kind {
	case Crash, Unresponsive, RejectAll:
		for _, i := range f.Dests {
			for _, e := range w.destinations[i].endpoints {
				if f.Zone < 0 || e.zone == f.Zone {
					w.scheduleOutage(e, f)
				}
			}
		}
	case Flap:
		for i := range f.Dests {
			for _, e := range w.destinations[f.Dests[i]].endpoints {
				step := time.Duration(f.Size * float64(time.Second))
				for at := time.Duration(0); at < f.Duration; at += 2 * step {
					w.after(at, func() { w.scheduleOutage(e, Fault{Kind: Crash, Duration: step}) })
				}
			}
		}
	case Kill:
		for _, n := range f.Nodes {
			w.nodes[n].kill()
			w.after(f.Duration, w.nodes[n].start)
		}
	case RollingRestart:
		w.rollingRestart(f)
	case ReplaceEndpoints:
		w.replaceEndpoints(f)
	case Surge:
		w.surgeFactor *= f.Size
		w.after(f.Duration, func() { w.surgeFactor /= f.Size })
	}
}

// scheduleOutage begins an outage of an endpoint and schedules its end.
func (w *World) scheduleOutage(e *endpoint, f Fault) {
	e.beginOutage(f.Kind)
	w.after(f.Duration, func() { e.endOutage(f.Kind) })
}

// rollingRestart restarts all nodes, a tenth at a time: every second one by SIGTERM, the others by a kill.
func (w *World) rollingRestart(f Fault) {
	const parts = 10
	order := w.rng.faults.Perm(len(w.nodes))
	for i, n := range order {
		h := w.nodes[n]
		at := f.Duration * time.Duration(i*parts/len(order)) / parts
		if i%2 == 0 {
			w.after(at, h.terminate)
			continue
		}
		w.after(at, h.kill)
		w.after(at+600*time.Millisecond, h.start)
	}
}

// replaceEndpoints replaces the endpoints in turn: each is drained and later removed while a new one takes over.
func (w *World) replaceEndpoints(f Fault) {
	var all []*endpoint
	for _, i := range f.Dests {
		all = append(all, w.destinations[i].endpoints...)
	}
	for i, e := range all {
		at := f.Duration * time.Duration(i) / time.Duration(len(all))
		w.after(at, func() {
			id := e.id + "r" // the replacement of a machine has a new id
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

// publishListChange sends a change of the list to all nodes, each with its own delay.
func (w *World) publishListChange(e *endpoint, phase choice.Phase) {
	e.phase = phase
	spec := w.Day.List
	listDelay := time.Duration(w.faultSize(ListDelay, -1, 0) * float64(time.Second))
	delay := spec.DelayMin + time.Duration(w.rng.net.Float64()*float64(spec.DelayMax-spec.DelayMin)) + listDelay
	if phase == choice.Ready {
		delay = listDelay + spec.Spread
	}
	for _, h := range w.nodes {
		w.after(delay+time.Duration(w.rng.net.Float64()*float64(spec.Spread)), func() { h.updateList(e, phase) })
	}
}

// SpareCapacity returns how many calls from a node of the zone an endpoint would accept now, by its true state. It is
// meant for idealized policies; a real node cannot know this.
func (w *World) SpareCapacity(id string, zone int) int {
	e := w.endpoints[id]
	if e == nil || e.phase != choice.Ready || len(e.outages) > 0 || w.partitioned(zone, e.zone) {
		return 0
	}
	d := e.dest
	freeSlots := e.servers - e.busy - len(e.queue)
	if d.spec.Limit <= 0 {
		return max(freeSlots, 0)
	}
	rate, callsLeft := d.rate()*e.warmth(), 0.0
	if d.spec.Window <= 0 {
		callsLeft = min(e.limit.tokens+rate*(w.now-e.limit.updatedAt).Seconds(), max(1, rate/4))
	} else {
		callsLeft = max(1, rate*d.spec.Window.Seconds())
		if int64(w.now/d.spec.Window) == e.limit.window {
			callsLeft -= e.limit.windowCount
		}
	}
	return max(min(freeSlots, int(callsLeft)), 0)
}

// LimitKey returns the key of the rate limit that applies to an endpoint: its destination's number, or its own id if it
// is a separate route.
func (w *World) LimitKey(id string) string {
	if e := w.endpoints[id]; e != nil && e.dest.sharedLimit != nil {
		return strconv.Itoa(e.dest.id)
	}
	return id
}

// After schedules a function of an idealized policy to run after d.
func (w *World) After(d time.Duration, run func()) { w.after(d, run) }

// OneWayDelay returns the mean one-way network delay between two zones.
func (w *World) OneWayDelay(a, b int) time.Duration {
	if a == b {
		return w.Day.Net.SameZoneDelay
	}
	return w.Day.Net.CrossZoneDelay
}
