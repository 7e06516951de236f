// Package model simulates a fleet of delivery nodes and its surroundings in virtual time: clients, nodes, the network
// between them, the list of endpoints, and destinations with rate limits that the nodes are not told. It is written
// from the published documentation alone, independently of the node's own code. A Policy, usually a choice.Sender,
// decides for each node. The model does not judge the run; it reports every event to an Observer. A simulated run is
// single-threaded and deterministic: the same Day, with its seed, always gives the same events.
package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"harrierramp/choice"
)

// Day describes one simulated run: everything that the run depends on except the policy.
type Day struct {
	Name        string
	Seed        uint64
	Length      time.Duration // period during which messages arrive; the run continues until all have been answered
	Nodes       []NodeSpec
	Dests       []DestSpec
	Settings    choice.Settings // settings of each node, apart from its number
	Tenants     []TenantSpec
	Classes     []ClassSpec
	Zones       int
	Net         NetSpec
	Clients     ClientSpec
	List        ListSpec
	Faults      []Fault
	KeepJournal bool // a restarted node resumes the unfinished messages of its journal
	KeepMemory  bool // a restarted node gets back its remembered estimates (choice.Memory)
}

// NodeSpec describes a node.
type NodeSpec struct {
	Zone int
	Rate float64 // messages per second that clients submit to it
}

// DestSpec describes a destination.
type DestSpec struct {
	Kind             int
	Share            float64       // of the traffic
	Limit            float64       // calls per second over all nodes, per endpoint if the kind has separate routes; 0 for none
	Window           time.Duration // length of the fixed windows in which calls are counted; 0 for a token bucket
	CountRejected    bool          // with a Window: rejected calls count against the limit too
	RetryAfterShare  float64       // share of rejections that carry a Retry-After
	RetryAfterMin    time.Duration // range of Retry-After values of a token bucket
	RetryAfterMax    time.Duration
	Capacity         float64 // calls per second that all its endpoints serve together
	QueueSeconds     float64 // queue length, in seconds of capacity
	ServiceFactor    float64 // factor on the service times of the classes
	ServiceVariation float64 // coefficient of variation of service times
	MaxConns         int     // connections that an endpoint accepts; 0 for no limit
	ErrorShare       float64 // share of calls that fail with a server error
	Endpoints        []EndpointSpec
	Weight           float64 // weight that the list states
}

// EndpointSpec describes an endpoint.
type EndpointSpec struct {
	ID   string
	Zone int
}

// ClassSpec describes a message class: its share of the traffic and the time that endpoints need to serve it.
type ClassSpec struct {
	Share       float64
	ServiceTime time.Duration // mean, at a destination with ServiceFactor 1
	Variation   float64       // coefficient of variation
}

// TenantSpec describes a tenant by its share of the traffic.
type TenantSpec struct{ Share float64 }

// NetSpec describes the network. Delays are one-way.
type NetSpec struct {
	SameZoneDelay, CrossZoneDelay      time.Duration
	Jitter                             float64 // largest deviation, as a share of the delay
	HandshakeRoundTrips                float64 // duration of a connection's handshake, in round trips
	DatagramDelayMin, DatagramDelayMax time.Duration
	DatagramLoss                       float64
}

// ClientSpec describes how clients behave.
type ClientSpec struct {
	RetryChance                        float64 // probability of one retry after a refusal
	HonourRetryAfter                   float64 // probability that the retry honours the Retry-After
	Backoff                            time.Duration
	BurstShare                         float64       // share of messages that arrive in bursts
	BurstSeconds                       float64       // size of a burst, in seconds of the destination's limit
	ResubmitDelayMin, ResubmitDelayMax time.Duration // until a message is resubmitted to another node after its node stopped
}

// ListSpec describes how long changes of the list take to reach the nodes: a delay between DelayMin and DelayMax that
// all nodes share, plus up to Spread for each node. New endpoints arrive sooner, after one to two times Spread.
type ListSpec struct {
	DelayMin, DelayMax, Spread time.Duration
}

// Fault is a temporary disturbance.
type Fault struct {
	Kind     string
	At       time.Duration
	Duration time.Duration
	Dests    []int   // affected destinations
	Zone     int     // affected zone, -1 for none
	Nodes    []int   // affected nodes
	Size     float64 // strength, as its kind defines it: a share, a factor, or a time
}

// The kinds of faults. Size and Duration are the fields of Fault.
const (
	Crash            = "crash"        // endpoints refuse connections; they are cold afterwards
	Unresponsive     = "vanish"       // endpoints do not respond; they are cold afterwards
	FastErrors       = "fast_errors"  // a share Size of calls fails at once with a server error
	RejectAll        = "shut"         // endpoints reject all calls
	Pauses           = "pauses"       // endpoints pause for Size ms at the start of every second
	Slow             = "slow"         // service times are multiplied by Size
	SpuriousRejects  = "quick_wrong"  // a share Size of calls is rejected at once, as if over a limit
	LowerLimit       = "limit"        // rate limits are multiplied by Size
	ListDelay        = "list_late"    // changes of the list are delayed by Size seconds
	ZonePartition    = "cut_zone"     // no traffic passes between Zone and the other zones
	DatagramsBlocked = "deaf"         // nodes receive no datagrams
	LostResponses    = "answers_lost" // a share Size of responses is lost by a connection reset
	Kill             = "kill"         // nodes are killed and start again after Duration
	RollingRestart   = "restart"      // all nodes restart in turn over Duration, every second one by a kill, the others by SIGTERM
	ReplaceEndpoints = "replace"      // endpoints are drained and replaced in turn over Duration
	Flap             = "flap"         // endpoints alternate between Size seconds down and Size seconds up
	Surge            = "surge"        // the traffic is multiplied by Size
)

// Kinds lists the kinds of days that Draw accepts.
var Kinds = []string{"calm", "trouble", "overload", "herd", "zone", "split", "join", "roll", "quiet"}

// Draw draws a random day of a kind for a fleet of the given size. The ranges are those of the deployment described in
// BRIEF and its site file. The same kind, size and seed give the same day.
func Draw(kind string, nodes int, seed uint64) (Day, error) {
	if nodes < 1 || nodes > 100_000 {
		return Day{}, fmt.Errorf("fleet of %d nodes: must be from 1 to 100000", nodes)
	}
	r := rand.New(rand.NewPCG(seed, 0xda1))
	u := func(from, to float64) float64 { return from + (to-from)*r.Float64() }
	ms := func(from, to float64) time.Duration { return time.Duration(u(from, to) * float64(time.Millisecond)) }
	load := map[string][2]float64{"quiet": {0.4, 0.59}, "trouble": {0.71, 0.89}, "overload": {1, 1.3}}[kind]
	if load[1] == 0 {
		load = [2]float64{0.95, 1.15} // as the days at full fleet size show it
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
	fullRate := perNode * float64(nodes) // messages per second at load 1
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

// drawDests draws the destinations. Their shares of the traffic follow a Zipf distribution, so that a few receive much
// of it, and the large ones are mostly of kind 0, whose endpoints are separate routes.
func drawDests(r *rand.Rand, fullRate float64) (out []DestSpec) {
	u := func(from, to float64) float64 { return from + (to-from)*r.Float64() }
	destCount, zipf := 12+r.IntN(4), u(0.74, 0.96)
	total := 0.0
	for i := range destCount {
		total += math.Pow(float64(i+1), -zipf)
	}
	for i := range destCount {
		s := DestSpec{Share: math.Pow(float64(i+1), -zipf) / total, Kind: 1, ServiceFactor: u(0.85, 1.1), ErrorShare: u(0, 0.005)}
		if r.Float64() < 0.6-0.6*float64(i)/float64(destCount) {
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
		s.ServiceFactor *= math.Exp(s.ServiceVariation * 0.5 * r.NormFloat64()) // destinations differ in speed
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

// drawFaults adds the faults of a day of the given kind.
func (d *Day) drawFaults(kind string, r *rand.Rand) error {
	u := func(from, to float64) float64 { return from + (to-from)*r.Float64() }
	sec := func(from, to float64) time.Duration { return time.Duration(u(from, to) * float64(time.Second)) }
	// destsWithShare draws destinations that together receive about the given share of the traffic, and no more.
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
	addCommonFault := func() { // adds one of the faults that are usual in the deployment
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
		return fmt.Errorf("unknown kind of day %q: must be one of %v", kind, Kinds)
	}
	return nil
}
