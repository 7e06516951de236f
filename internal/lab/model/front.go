package model

import (
	"math"
	"strconv"
	"time"
)

// clumpSpan is how long it takes until a clump is handed in.
const clumpSpan = 300 * time.Millisecond

// front is the clients: it draws messages, hands them in, and comes again after refusals.
type front struct {
	w       *World
	nodes   []float64 // cumulative rates
	dests   []float64 // cumulative shares
	tenants []tenantUse
	share   []float64
	limit   float64 // of a destination, by the traffic that it gets
}

// tenantUse is a tenant's allowance as it truly is, over all nodes.
type tenantUse struct {
	rate, tokens float64
	at           time.Duration
}

func newFront(w *World) front {
	f := front{w: w}
	sum := 0.0
	for _, n := range w.Day.Nodes {
		sum += n.Rate
		f.nodes = append(f.nodes, sum)
	}
	sum = 0
	for _, d := range w.Day.Dests {
		sum += d.Share
		f.dests = append(f.dests, sum)
		f.limit += d.Share * d.Limit
	}
	sum = 0
	for i, t := range w.Day.Tenants {
		sum += t.Share
		f.share = append(f.share, sum)
		rate := 0.0
		if i < len(w.Day.Settings.Tenants) {
			rate = w.Day.Settings.Tenants[i].PerSecond
		}
		f.tenants = append(f.tenants, tenantUse{rate: rate, tokens: 2*rate + 1, at: start})
	}
	return f
}

// pick is the place of a drawn number in cumulative weights.
func pick(cumulative []float64, x float64) int {
	low, high := 0, len(cumulative)-1
	for x *= cumulative[high]; low < high; {
		if mid := (low + high) / 2; cumulative[mid] > x {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low
}

// next asks for the next arrival.
func (f *front) next() {
	if len(f.nodes) == 0 || len(f.dests) == 0 {
		return
	}
	w := f.w
	rate := f.nodes[len(f.nodes)-1] * w.surge
	if rate <= 0 {
		return
	}
	d := w.Day.Clients
	// Of n messages one begins a clump of k, so that the clumps hold their share.
	clump := 1.0
	if d.Clumps > 0 {
		clump = max(1, d.ClumpLen*f.limit)
		rate /= 1 + d.Clumps*(clump-1)/clump
	}
	gap := time.Duration(w.rng.traffic.ExpFloat64() / rate * float64(time.Second))
	if w.now+gap >= start+w.Day.Length {
		return
	}
	w.after(gap, func() {
		r := w.rng.traffic
		node, dest := pick(f.nodes, r.Float64()), pick(f.dests, r.Float64())
		count := 1
		if r.Float64() < d.Clumps/clump {
			count = max(1, int(math.Round(d.ClumpLen*w.Day.Dests[dest].Limit)))
		}
		for i := range count {
			class, tenant := 0, 0
			for x := r.Float64(); class < len(w.Day.Classes)-1 && x >= w.Day.Classes[class].Share; class++ {
				x -= w.Day.Classes[class].Share
			}
			if len(f.share) > 0 {
				tenant = pick(f.share, r.Float64())
			}
			at := node
			if i > 0 { // what makes a clump is the destination, not the client
				at = pick(f.nodes, r.Float64())
			}
			w.after(clumpSpan*time.Duration(i)/time.Duration(count), func() { f.first(at, dest, class, tenant) })
		}
		f.next()
	})
}

// first is a client's first try.
func (f *front) first(node, dest, class, tenant int) {
	w := f.w
	w.made++
	id := "m" + strconv.Itoa(w.made)
	m := &held{id: id, first: id, class: class, tenant: tenant, dest: dest, deadline: w.now + w.Day.Settings.Classes[class].Deadline}
	f.hand(m, node, f.inShare(tenant))
}

func (f *front) inShare(i int) bool {
	if i >= len(f.tenants) || f.tenants[i].rate <= 0 {
		return true
	}
	t := &f.tenants[i]
	t.tokens = min(t.tokens+t.rate*(f.w.now-t.at).Seconds(), 2*t.rate+1)
	t.at = f.w.now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

func (f *front) hand(m *held, node int, inShare bool) {
	w := f.w
	w.tell(Event{
		What: HandedIn, Node: node, Msg: m.id, First: m.first, Class: m.class, Tenant: m.tenant, Dest: m.dest, Deadline: m.deadline, InShare: inShare,
	})
	if w.nodes[node].hand(m) {
		return
	}
	w.tell(Event{What: Unheard, Node: node, Msg: m.id, First: m.first, Class: m.class, Dest: m.dest})
	f.again(m)
}

// again hands a message in elsewhere whose node is dead.
func (f *front) again(m *held) {
	w := f.w
	d := w.Day.Clients
	w.after(d.AgainFrom+time.Duration(w.rng.clients.Float64()*float64(d.AgainTo-d.AgainFrom)), func() {
		if w.now < m.deadline {
			f.retry(m, w.rng.clients.IntN(len(w.nodes)))
		}
	})
}

// refused may bring the message back, once.
func (f *front) refused(m *held, node int, wait time.Duration) {
	w, d := f.w, f.w.Day.Clients
	if m.id != m.first || w.rng.clients.Float64() >= d.Retries {
		return
	}
	pause := time.Duration(float64(d.Backoff) * (0.5 + w.rng.clients.Float64()))
	if wait > 0 && w.rng.clients.Float64() < d.Honour {
		pause = wait
	}
	w.after(pause, func() {
		if w.now < m.deadline {
			f.retry(m, node)
		}
	})
}

func (f *front) retry(m *held, node int) {
	w := f.w
	w.made++
	f.hand(&held{
		id: "r" + strconv.Itoa(w.made), first: m.first, class: m.class, tenant: m.tenant, dest: m.dest, deadline: m.deadline,
	}, node, true)
}
