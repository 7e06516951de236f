// Package model is a system like the one that nodes serve, in virtual time: clients, nodes, the network between them,
// the list, and partners with limits that nobody is told. It is written from the published pages alone. Whoever
// decides for a node is a Policy, most often a choice.Sender; the model judges nothing, it tells an Observer of all
// that happens. A run is single-threaded and deterministic: a Day and its seed give the same events every time.
package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"harrierramp/choice"
)

// Day is one day, drawn: everything that a run depends on but the policy.
type Day struct {
	Name        string
	Seed        uint64
	Length      time.Duration // of arrivals; a run goes on until all is answered
	Nodes       []NodeSpec
	Dests       []DestSpec
	Settings    choice.Settings // as each node gets them, but for its number
	Tenants     []TenantSpec
	Classes     []ClassSpec
	Zones       int
	Net         NetSpec
	Clients     ClientSpec
	List        ListSpec
	Faults      []Fault
	KeepJournal bool // what a dead node held is found at its next start
	KeepMemory  bool // and what it had learnt
}

// NodeSpec is one node.
type NodeSpec struct {
	Zone int
	Rate float64 // messages a second
}

// DestSpec is a destination.
type DestSpec struct {
	Kind             int
	Share            float64       // of the traffic
	Limit            float64       // calls a second from all nodes, 0 for none; of each route where routes are apart
	Window           time.Duration // the limit is a count in spans of this length; 0 for a plain rate
	CountRejected    bool          // refused calls use up the limit too
	RetryAfterShare  float64       // share of refusals that tell a wait
	RetryAfterMin    time.Duration // a plain rate's waits
	RetryAfterMax    time.Duration
	Capacity         float64 // calls a second that its endpoints serve together
	QueueSeconds     float64 // seconds of capacity that may queue
	ServiceFactor    float64 // a factor on the classes' work
	ServiceVariation float64 // coefficient of variation of service times
	MaxConns         int     // connections that an endpoint takes, 0 for any number
	ErrorShare       float64 // share of calls that fail by themselves
	Endpoints        []EndpointSpec
	Weight           float64 // what the list tells
}

// EndpointSpec is one endpoint.
type EndpointSpec struct {
	ID   string
	Zone int
}

// ClassSpec is a class of messages as clients and partners see it.
type ClassSpec struct {
	Share       float64
	ServiceTime time.Duration // at a partner of usual pace
	Variation   float64
}

// TenantSpec is a tenant.
type TenantSpec struct{ Share float64 }

// NetSpec is the network. Delays are one way.
type NetSpec struct {
	SameZoneDelay, CrossZoneDelay      time.Duration
	Jitter                             float64 // share of the delay
	HandshakeRoundTrips                float64 // in round trips
	DatagramDelayMin, DatagramDelayMax time.Duration
	DatagramLoss                       float64
}

// ClientSpec is how clients behave.
type ClientSpec struct {
	RetryChance                        float64 // chance to come again after a refusal, once
	HonourRetryAfter                   float64 // chance to heed the wait that was told
	Backoff                            time.Duration
	BurstShare                         float64       // share of messages that come in clumps
	BurstSeconds                       float64       // size of a clump in seconds of the destination's limit
	ResubmitDelayMin, ResubmitDelayMax time.Duration // until a message of a dead node is handed in elsewhere
}

// ListSpec is how the list comes.
type ListSpec struct {
	DelayMin, DelayMax, Spread time.Duration
}

// Trouble is something that goes wrong for a while.
type Fault struct {
	Kind     string
	At       time.Duration
	Duration time.Duration
	Dests    []int   // struck destinations
	Zone     int     // struck zone, -1 for none
	Nodes    []int   // struck nodes
	Size     float64 // what the kind calls for: a share, a factor, seconds
}

// The kinds of trouble.
const (
	Crash            = "crash"        // connections are refused; cold afterwards
	Unresponsive     = "vanish"       // silence; cold afterwards
	FastErrors       = "fast_errors"  // a share Size of calls fails at once
	RejectAll        = "shut"         // all calls are refused
	Pauses           = "pauses"       // stands still for Size ms every second
	Slow             = "slow"         // service takes Size times as long
	SpuriousRejects  = "quick_wrong"  // a share Size is refused as if over a limit, at once
	LowerLimit       = "limit"        // limits fall to the part Size
	ListDelay        = "list_late"    // the list comes Size seconds later
	ZonePartition    = "cut_zone"     // nothing passes between the zone and the others
	DatagramsBlocked = "deaf"         // nodes hear no datagrams
	LostResponses    = "answers_lost" // a share Size of answers is lost with the connection
	Kill             = "kill"         // nodes die and start again after Len
	RollingRestart   = "restart"      // nodes are restarted in turn over Len, every second one by a kill
	ReplaceEndpoints = "replace"      // endpoints of the destinations are drained and replaced in turn
	Flap             = "flap"         // up and down every Size seconds
	Surge            = "surge"        // traffic is Size times as much
)

// Kinds are the days that Draw knows.
var Kinds = []string{"calm", "trouble", "overload", "herd", "zone", "split", "join", "roll", "quiet"}

// Draw draws a day of a kind for so many nodes, within the ranges of the deployment in BRIEF and its site file.
func Draw(kind string, nodes int, seed uint64) (Day, error) {
	if nodes < 1 || nodes > 100_000 {
		return Day{}, fmt.Errorf("%d nodes: from 1 to 100000", nodes)
	}
	r := rand.New(rand.NewPCG(seed, 0xda1))
	u := func(from, to float64) float64 { return from + (to-from)*r.Float64() }
	ms := func(from, to float64) time.Duration { return time.Duration(u(from, to) * float64(time.Millisecond)) }
	load := map[string][2]float64{"quiet": {0.4, 0.59}, "trouble": {0.71, 0.89}, "overload": {1, 1.3}}[kind]
	if load[1] == 0 {
		load = [2]float64{0.95, 1.15} // as the days at size show it
	}
	d := Day{
		Name: kind, Seed: seed, Length: 24 * time.Second, Zones: 2, KeepJournal: true, KeepMemory: true,
		Net: NetSpec{
			SameZoneDelay: ms(15, 45), CrossZoneDelay: 110 * time.Millisecond, Jitter: u(0.052, 0.23), HandshakeRoundTrips: u(1, 2),
			DatagramDelayMin: 1500 * time.Microsecond, DatagramDelayMax: 30 * time.Millisecond, DatagramLoss: u(0, 0.03),
		},
		Clients: ClientSpec{
			RetryChance: min(u(0, 1.5), 1), HonourRetryAfter: u(0.37, 0.89), Backoff: ms(330, 1200), BurstShare: u(0.09, 0.16), BurstSeconds: u(1.3, 3.3),
			ResubmitDelayMin: 710 * time.Millisecond, ResubmitDelayMax: 1700 * time.Millisecond,
		},
		List:    ListSpec{DelayMin: ms(1300, 2700), DelayMax: ms(2700, 4100), Spread: ms(58, 390)},
		Classes: []ClassSpec{{Share: u(0.45, 0.67), ServiceTime: ms(240, 410), Variation: u(0.59, 1.4)}, {ServiceTime: ms(160, 270), Variation: u(0.83, 1.4)}},
	}
	d.Classes[1].Share = 1 - d.Classes[0].Share
	perNode := u(3, 6)
	fullRate := perNode * float64(nodes) // messages a second at load 1
	for range nodes {
		d.Nodes = append(d.Nodes, NodeSpec{Zone: r.IntN(d.Zones), Rate: math.Exp(0.8 * r.NormFloat64())})
	}
	total := 0.0
	for _, n := range d.Nodes {
		total += n.Rate
	}
	for i := range d.Nodes {
		d.Nodes[i].Rate *= fullRate * u(load[0], load[1]) / total
	}
	d.Dests = drawDests(r, fullRate)
	for _, share := range []float64{0.45, 0.19, 0.15, 0.11, 0.1} {
		d.Tenants = append(d.Tenants, TenantSpec{Share: share * u(0.6, 1.3)})
		d.Settings.Tenants = append(d.Settings.Tenants, choice.Tenant{PerSecond: share * fullRate * 0.83})
	}
	slots := max(4, int(math.Ceil(u(2, 2.4)*perNode*0.4)))
	openMessages := max(12, int(u(5.7, 12)*perNode))
	d.Settings.Classes = []choice.Class{
		{Aim: 4 * time.Second, Deadline: 28 * time.Second, Worth: 1, LateWorth: 0.3, Effect: choice.Deduplicated, DedupWindow: 15 * time.Second},
		{Aim: 2 * time.Second, Deadline: 20 * time.Second, Worth: 3, LateWorth: 0.3, Effect: choice.Idempotent, AllEndpointsDeduplicate: true},
	}
	d.Settings.Kinds = []choice.Kind{{SeparateRoutes: true, MaxBatch: 1}, {MaxBatch: 1}}
	d.Settings.FleetSize, d.Settings.PeerDatagrams, d.Settings.MayCancel, d.Settings.MayProbe = nodes, nodes > 1, true, true
	d.Settings.Slots, d.Settings.MaxOpenMessages, d.Settings.MaxAttempts = slots, openMessages, 12
	d.Settings.WeightIsRate, d.Settings.OverQuotaWorth, d.Settings.ZoneFee = true, 0.2, []float64{0, 0}
	d.Settings.Tick, d.Settings.MaxRetryAfter, d.Settings.DialTimeout = 5*time.Millisecond, 3*time.Second, 1500*time.Millisecond
	d.Settings.IdleConnTimeout, d.Settings.DrainTimeout, d.Settings.AnswerGrace = 15*time.Second, time.Second, 20*time.Millisecond
	d.Settings.OverloadMultiple, d.Settings.OverloadDuration, d.Settings.ColdCapacity = 2.5, 3*time.Second, u(0.17, 0.24)
	d.Settings.WarmUpTime = ms(7300, 9300)
	return d, d.drawFaults(kind, r)
}

// drawDests draws the destinations: a few get much of the traffic, and the large ones are mostly of the kind whose
// endpoints are routes apart.
func drawDests(r *rand.Rand, fullRate float64) (out []DestSpec) {
	u := func(from, to float64) float64 { return from + (to-from)*r.Float64() }
	count, zipf := 12+r.IntN(4), u(0.74, 0.96)
	total := 0.0
	for i := range count {
		total += math.Pow(float64(i+1), -zipf)
	}
	for i := range count {
		s := DestSpec{Share: math.Pow(float64(i+1), -zipf) / total, Kind: 1, ServiceFactor: u(0.85, 1.1), ErrorShare: u(0, 0.005)}
		if r.Float64() < 0.6-0.6*float64(i)/float64(count) {
			s.Kind, s.ErrorShare = 0, u(0, 0.01)
		}
		calls := fullRate * s.Share
		endpoints := 1 + r.IntN(4)
		switch s.Kind {
		case 0:
			s.Limit, s.RetryAfterShare = max(calls*u(1.6, 2.7), u(2.6, 4.8)), u(0.51, 0.99)
			s.RetryAfterMin, s.RetryAfterMax = 230*time.Millisecond, 990*time.Millisecond
			s.ServiceVariation, s.QueueSeconds = u(0.35, 0.88), u(0.54, 0.98)
			if r.IntN(2) == 0 {
				s.Window = 2 * time.Second
			}
			s.Limit /= float64(endpoints)
		default:
			s.Limit, s.RetryAfterShare = max(calls*u(0.94, 2.5), u(2.9, 4.7)), u(0.0076, 0.56)
			s.Window, s.CountRejected = time.Second, true
			s.ServiceVariation, s.QueueSeconds = u(0.45, 0.9), u(0.35, 0.83)
		}
		s.ServiceFactor *= math.Exp(s.ServiceVariation * 0.5 * r.NormFloat64()) // destinations differ in pace
		s.Weight = s.Limit
		all := s.Limit
		if s.Kind == 0 {
			all *= float64(endpoints)
		}
		s.Capacity = all * u(1.2, 1.5)
		for range endpoints {
			s.Endpoints = append(s.Endpoints, EndpointSpec{ID: fmt.Sprintf("d%d-e%d-%04x", i, len(s.Endpoints), r.IntN(1<<16)), Zone: r.IntN(2)})
		}
		out = append(out, s)
	}
	return out
}

// trouble adds what goes wrong on a day of the kind.
func (d *Day) drawFaults(kind string, r *rand.Rand) error {
	u := func(from, to float64) float64 { return from + (to-from)*r.Float64() }
	sec := func(from, to float64) time.Duration { return time.Duration(u(from, to) * float64(time.Second)) }
	// some are destinations that get about a part of the traffic together.
	destsWithShare := func(part float64) (out []int) {
		for _, i := range r.Perm(len(d.Dests)) {
			if share := d.Dests[i].Share; share <= part {
				part -= share
				out = append(out, i)
			}
		}
		return out
	}
	nodes := func(share float64) []int { return r.Perm(len(d.Nodes))[:int(math.Ceil(share*float64(len(d.Nodes))))] }
	add := func(t Fault) { d.Faults = append(d.Faults, t) }
	addCommonFault := func() { // one more trouble of the deployment's own
		switch r.IntN(4) {
		case 0:
			add(Fault{Kind: Crash, At: sec(5, 10), Duration: sec(4, 8), Dests: destsWithShare(u(0.13, 0.23)), Zone: -1})
		case 1:
			add(Fault{Kind: FastErrors, At: sec(5, 10), Duration: sec(4, 8), Dests: destsWithShare(u(0.15, 0.27)), Size: u(0.36, 0.96), Zone: -1})
		case 2:
			add(Fault{Kind: Pauses, At: sec(3, 8), Duration: sec(8, 14), Dests: destsWithShare(u(0.18, 0.5)), Size: u(200, 500), Zone: -1})
		default:
			add(Fault{Kind: Unresponsive, At: sec(5, 10), Duration: sec(4, 8), Dests: destsWithShare(u(0.13, 0.31)), Zone: -1})
		}
	}
	switch kind {
	case "quiet":
	case "calm":
		add(Fault{Kind: Surge, At: sec(8, 10), Duration: 3 * time.Second, Size: 1.5, Zone: -1})
	case "trouble", "overload":
		addCommonFault()
		addCommonFault()
	case "herd":
		add(Fault{Kind: Kill, At: sec(6, 8), Duration: sec(1, 2), Nodes: nodes(0.7), Zone: -1})
		add(Fault{Kind: Kill, At: sec(17, 19), Duration: sec(1, 2), Nodes: nodes(0.3), Zone: -1})
		add(Fault{Kind: LowerLimit, At: sec(9, 11), Duration: 30 * time.Second, Dests: destsWithShare(0.4), Size: u(0.5, 0.8), Zone: -1})
		addCommonFault()
	case "zone":
		add(Fault{Kind: Crash, At: sec(7, 9), Duration: 5 * time.Second, Dests: destsWithShare(0.4), Zone: -1})
		add(Fault{Kind: Slow, At: sec(3, 5), Duration: 15 * time.Second, Dests: destsWithShare(0.12), Size: u(2, 4), Zone: -1})
		addCommonFault()
	case "split":
		at := sec(6, 8)
		if r.IntN(2) == 0 {
			add(Fault{Kind: ZonePartition, At: at, Duration: 6 * time.Second, Zone: r.IntN(d.Zones)})
		} else {
			add(Fault{Kind: Unresponsive, At: at, Duration: 6 * time.Second, Dests: destsWithShare(0.2), Zone: -1})
		}
		add(Fault{Kind: DatagramsBlocked, At: at, Duration: 6 * time.Second, Zone: -1})
		add(Fault{Kind: ListDelay, At: at, Duration: 10 * time.Second, Size: u(3.8, 9.6), Zone: -1})
		add(Fault{Kind: LostResponses, At: sec(3, 6), Duration: 14 * time.Second, Size: u(0.02, 0.06), Zone: -1})
		addCommonFault()
	case "join":
		add(Fault{Kind: LowerLimit, At: sec(6, 9), Duration: 30 * time.Second, Dests: destsWithShare(0.5), Size: u(0.5, 0.8), Zone: -1})
		addCommonFault()
	case "roll":
		add(Fault{Kind: RollingRestart, At: 4 * time.Second, Duration: 14 * time.Second, Zone: -1})
		add(Fault{Kind: ReplaceEndpoints, At: 5 * time.Second, Duration: 10 * time.Second, Dests: destsWithShare(0.4), Zone: -1})
		addCommonFault()
	default:
		return fmt.Errorf("no day of kind %q: one of %v", kind, Kinds)
	}
	return nil
}
