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
	start = time.Minute
	// tail is how long a run may go on after the last arrival; every message has its end before.
	tail = 45 * time.Second
)

// World is one run of a day.
type World struct {
	Day   Day
	now   time.Duration
	q     queue
	obs   Observer
	make  Maker
	nodes []node
	hosts []*host // those that are played here
	dests []*dest
	eps   map[string]*endpoint
	rng   streams
	surge float64 // present factor on the traffic
	fail  error
	Steps int64 // events of the run so far
	made  int   // messages
	front front

	sockets Sockets     // where nodes are real processes
	inject  chan func() // likewise
	calls   int         // made so far
}

// node is a node of the fleet: one that is played here, or a real process.
type node interface {
	begin()
	die()
	leave()
	hand(m *held) bool
	listed(e *endpoint, phase choice.Phase)
}

// streams keeps apart what draws on chance, so that a policy that asks for more calls does not change the traffic.
type streams struct{ traffic, clients, net, partners, troubles, seeds *rand.Rand }

func newStreams(seed uint64) streams {
	s := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	return streams{s(1), s(2), s(3), s(4), s(5), s(6)}
}

// ErrPolicy is a policy that panicked or acted malformed; the text tells how to play it again.
var ErrPolicy = errors.New("policy")

// New makes a run that Run plays. obs hears of all that happens.
func New(day Day, policy Maker, obs Observer) *World {
	w := &World{Day: day, now: start, obs: obs, make: policy, eps: map[string]*endpoint{}, rng: newStreams(day.Seed), surge: 1}
	for i := range day.Dests {
		w.dests = append(w.dests, newDest(w, i))
	}
	for i := range day.Nodes {
		h := newHost(w, i)
		w.hosts, w.nodes = append(w.hosts, h), append(w.nodes, h)
	}
	w.front = newFront(w)
	return w
}

// Now is the clock; a day begins after Start.
func (w *World) Now() time.Duration { return w.now }

// Start is the clock when a day begins.
func Start() time.Duration { return start }

// Run plays the day to its end. It ends early when ctx does or a policy fails.
func (w *World) Run(ctx context.Context) error {
	for _, h := range w.nodes {
		h.begin()
	}
	for _, t := range w.Day.Troubles {
		w.q.add(start+t.At, func() { w.trouble(t) })
	}
	w.front.next()
	for last := start + w.Day.Length + tail; len(w.q.heap) > 0; {
		p := w.q.next()
		if p.at > last {
			return nil
		}
		w.now = p.at
		if w.Steps++; w.Steps%4096 == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		if p.run(); w.fail != nil {
			return fmt.Errorf("%w: day %s, %d nodes, seed %d, event %d at %v: %w",
				ErrPolicy, w.Day.Name, len(w.Day.Nodes), w.Day.Seed, w.Steps, w.now-start, w.fail)
		}
	}
	return nil
}

func (w *World) after(d time.Duration, run func()) { w.q.add(w.now+max(d, 0), run) }

func (w *World) tell(e Event) {
	e.At = w.now
	w.obs.Observe(&e)
}

// delay is one way between zones.
func (w *World) delay(a, b int) time.Duration {
	d := w.Day.Net.Same
	if a != b {
		d = w.Day.Net.Cross
	}
	return time.Duration(float64(d) * (1 + w.Day.Net.Jitter*(2*w.rng.net.Float64()-1)))
}

// cut tells that nothing passes between two zones now.
func (w *World) cut(a, b int) bool {
	if a == b {
		return false
	}
	for _, t := range w.Day.Troubles {
		if t.Kind == CutZone && (t.Zone == a || t.Zone == b) && w.during(t) {
			return true
		}
	}
	return false
}

func (w *World) during(t Trouble) bool { return w.now >= start+t.At && w.now < start+t.At+t.Len }

// size is the size of a trouble of the kind that holds now for a destination, or otherwise.
func (w *World) size(kind string, dest int, otherwise float64) float64 {
	for _, t := range w.Day.Troubles {
		if t.Kind == kind && w.during(t) && (dest < 0 || slices.Contains(t.Dests, dest)) {
			return t.Size
		}
	}
	return otherwise
}

// deaf tells that a node hears no datagrams now.
func (w *World) deaf(node int) bool {
	for _, t := range w.Day.Troubles {
		if t.Kind == Deaf && w.during(t) && (len(t.Nodes) == 0 || slices.Contains(t.Nodes, node)) {
			return true
		}
	}
	return false
}

// trouble begins one, and asks for its end.
func (w *World) trouble(t Trouble) {
	switch t.Kind {
	case Crash, Vanish, Shut:
		for _, i := range t.Dests {
			for _, e := range w.dests[i].eps {
				if t.Zone < 0 || e.zone == t.Zone {
					w.strike(e, t)
				}
			}
		}
	case Flap:
		for i := range t.Dests {
			for _, e := range w.dests[t.Dests[i]].eps {
				step := time.Duration(t.Size * float64(time.Second))
				for at := time.Duration(0); at < t.Len; at += 2 * step {
					w.after(at, func() { w.strike(e, Trouble{Kind: Crash, Len: step}) })
				}
			}
		}
	case Kill:
		for _, n := range t.Nodes {
			w.nodes[n].die()
			w.after(t.Len, w.nodes[n].begin)
		}
	case Restart:
		w.restart(t)
	case Replace:
		w.replace(t)
	case Surge:
		w.surge *= t.Size
		w.after(t.Len, func() { w.surge /= t.Size })
	}
}

func (w *World) strike(e *endpoint, t Trouble) {
	e.strike(t.Kind)
	w.after(t.Len, func() { e.recover(t.Kind) })
}

// restart restarts all nodes, a tenth at a time: every second one by SIGTERM, the others by a kill.
func (w *World) restart(t Trouble) {
	const parts = 10
	order := w.rng.troubles.Perm(len(w.nodes))
	for i, n := range order {
		h := w.nodes[n]
		at := t.Len * time.Duration(i*parts/len(order)) / parts
		if i%2 == 0 {
			w.after(at, h.leave)
			continue
		}
		w.after(at, h.die)
		w.after(at+600*time.Millisecond, h.begin)
	}
}

// replace drains endpoints in turn, each beside a new one.
func (w *World) replace(t Trouble) {
	var all []*endpoint
	for _, i := range t.Dests {
		all = append(all, w.dests[i].eps...)
	}
	for i, e := range all {
		at := t.Len * time.Duration(i) / time.Duration(len(all))
		w.after(at, func() {
			id := e.id + "r" // a machine that replaces another has a new id
			for w.eps[id] != nil {
				id += "r"
			}
			fresh := e.dest.add(EndpointSpec{ID: id, Zone: e.zone})
			w.change(fresh, choice.Ready)
			w.after(time.Second, func() { w.change(e, choice.Draining) })
			w.after(5*time.Second, func() { w.change(e, choice.Removed) })
		})
	}
}

// change tells all nodes of a change of the list, each in its own time.
func (w *World) change(e *endpoint, phase choice.Phase) {
	e.phase = phase
	spec := w.Day.List
	late := time.Duration(w.size(Stale, -1, 0) * float64(time.Second))
	base := spec.From + time.Duration(w.rng.net.Float64()*float64(spec.To-spec.From)) + late
	if phase == choice.Ready {
		base = late + spec.Spread
	}
	for _, h := range w.nodes {
		w.after(base+time.Duration(w.rng.net.Float64()*float64(spec.Spread)), func() { h.listed(e, phase) })
	}
}

// Room is how many calls an endpoint would take at this moment from a node of a zone, by its true state: for policies
// that know what no node can know.
func (w *World) Room(id string, zone int) int {
	e := w.eps[id]
	if e == nil || e.phase != choice.Ready || len(e.down) > 0 || w.cut(zone, e.zone) {
		return 0
	}
	d := e.dest
	room := e.servers - e.busy - len(e.waiting)
	if d.spec.Limit <= 0 {
		return max(room, 0)
	}
	rate, left := d.rate()*e.warmth(), 0.0
	if d.spec.Window <= 0 {
		left = min(e.limit.tokens+rate*(w.now-e.limit.at).Seconds(), max(1, rate/4))
	} else {
		left = max(1, rate*d.spec.Window.Seconds())
		if int64(w.now/d.spec.Window) == e.limit.span {
			left -= e.limit.count
		}
	}
	return max(min(room, int(left)), 0)
}

// Limiter names what limits an endpoint: its destination, or itself where routes are apart.
func (w *World) Limiter(id string) string {
	if e := w.eps[id]; e != nil && e.dest.all != nil {
		return strconv.Itoa(e.dest.id)
	}
	return id
}

// After calls a function of a policy that knows the world, once the clock has gone on so far.
func (w *World) After(d time.Duration, run func()) { w.after(d, run) }

// Reach is about how long a call's last byte takes between zones.
func (w *World) Reach(a, b int) time.Duration {
	if a == b {
		return w.Day.Net.Same
	}
	return w.Day.Net.Cross
}
