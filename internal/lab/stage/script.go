package stage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"harrierramp/internal/lab/relay"
	"harrierramp/internal/units"
)

// Bounds of a play.
const (
	MaxNodes             = 300
	MaxServers           = 7
	MaxEndpoints         = 500
	MaxLength            = 10 * time.Minute
	maxMessagesPerSecond = 200 // messages a second at one node
	maxBurstMessages     = 1000
)

// Script says what is played. The same script with the same seed means the same faults for the same parties.
type Script struct {
	Name    string       `toml:"name"`
	Seed    uint64       `toml:"seed"`
	Nodes   int          `toml:"nodes"`
	Servers int          `toml:"servers"` // of the list
	Length  units.Millis `toml:"for"`     // of traffic; a play goes on until all is answered
	Start   StartTimes   `toml:"start"`
	Dests   []DestSpec   `toml:"destination"`
	Traffic TrafficSpec  `toml:"traffic"`
	Node    NodeSpec     `toml:"node"`
	Faults  []FaultSpec  `toml:"fault"`
	Actions []ActionSpec `toml:"act"`
	// Expect holds figures of the report to bounds: at most Expect, at least ExpectLeast.
	Expect      map[string]float64 `toml:"expect"`
	ExpectLeast map[string]float64 `toml:"expect_least"`
}

// Start is when processes are started.
type StartTimes struct {
	Servers []units.Millis `toml:"servers"` // each; at once if left out
	Nodes   units.Millis   `toml:"nodes"`
	Spread  units.Millis   `toml:"spread"` // over which the nodes are started, by chance
}

// Dest is a destination.
type DestSpec struct {
	Endpoints   int          `toml:"endpoints"`
	Rate        float64      `toml:"rate"` // calls a second of each endpoint, 0 for any number
	Burst       float64      `toml:"burst"`
	Latency     units.Millis `toml:"latency"`
	Connections int          `toml:"connections"`
	Cold        bool         `toml:"cold"` // they begin cold, and are after an outage, as the contract says
}

// Traffic is what clients hand in at each node.
type TrafficSpec struct {
	Burst           int          `toml:"burst"`  // as soon as the node says PONG for the first time
	Rate            float64      `toml:"rate"`   // messages a second
	TTL             units.Millis `toml:"life"`   // of a message
	AtMostOnceShare float64      `toml:"unsafe"` // share of messages that must not run twice
}

// NodeSpec is how nodes are configured.
type NodeSpec struct {
	PeerDatagrams bool         `toml:"notes"`
	Membership    bool         `toml:"membership"`
	CacheList     bool         `toml:"keep"`
	Admin         bool         `toml:"door"`
	Audit         bool         `toml:"audit"` // nodes tell what they act on, and mark their calls with it
	Fencing       bool         `toml:"shut_out"`
	AuditLogKB    int          `toml:"record_kb"` // of the record of acts; with Audit
	Slots         int          `toml:"slots"`
	ListHeartbeat units.Millis `toml:"beat"` // that list servers are asked for
	// Weights says whether the list tells what an endpoint takes, in calls a second: none, nominal or rough.
	Weights string `toml:"weights"`
}

// FaultAt is a fault on the ways between two groups, for a time. Groups are as Group reads them.
type FaultSpec struct {
	At             units.Millis `toml:"at"`
	Length         units.Millis `toml:"for"`   // 0 for the rest of the play
	Every          units.Millis `toml:"every"` // it comes again so often, until the traffic ends; 0 for once
	From           string       `toml:"from"`
	To             string       `toml:"to"`
	BothWays       bool         `toml:"both"`
	Cut            bool         `toml:"cut"`
	Refuse         bool         `toml:"refuse"`
	ResetShare     float64      `toml:"reset"`
	ResetWithin    units.Millis `toml:"reset_within"`
	Delay          units.Millis `toml:"delay"`
	Jitter         units.Millis `toml:"jitter"`
	BytesPerSecond int          `toml:"rate"`
	StallAfter     int          `toml:"stop_after"`
	LossShare      float64      `toml:"lose"`
	DuplicateShare float64      `toml:"repeat"`
	ReorderShare   float64      `toml:"reorder"`
}

func (f FaultSpec) relayFault() relay.Fault {
	return relay.Fault{
		Cut: f.Cut, Refuse: f.Refuse, ResetShare: f.ResetShare, ResetWithin: f.ResetWithin.Duration(), Delay: f.Delay.Duration(),
		Jitter: f.Jitter.Duration(), BytesPerSecond: f.BytesPerSecond, StallAfter: f.StallAfter, LossShare: f.LossShare, DuplicateShare: f.DuplicateShare, ReorderShare: f.ReorderShare,
	}
}

// Act is something that is done to processes. Of nodes and servers: pause (resumed after For), kill and end (started
// again after For, if that is given), start, empty, damage (a File; both of one that is started again after For), fill
// (the disk, for For). Of partners: withdraw and return from the list, shut (for For).
type ActionSpec struct {
	At      units.Millis `toml:"at"`
	Length  units.Millis `toml:"for"`
	Every   units.Millis `toml:"every"`
	Spread  units.Millis `toml:"spread"` // over which the parties are taken, by chance
	Targets string       `toml:"who"`
	Type    string       `toml:"do"`
	File    string       `toml:"file"`
}

var actionTargetKinds = map[string][]relay.Kind{
	"pause": {relay.Node, relay.Server}, "kill": {relay.Node, relay.Server}, "end": {relay.Node, relay.Server},
	"start": {relay.Node, relay.Server}, "empty": {relay.Node, relay.Server}, "damage": {relay.Node, relay.Server},
	"fill": {relay.Node, relay.Server}, "withdraw": {relay.Partner}, "return": {relay.Partner}, "shut": {relay.Partner},
}

// Load reads a script. Unknown keys are faults.
func Load(path string) (Script, error) {
	f, err := os.Open(path)
	if err != nil {
		return Script{}, fmt.Errorf("stage: %w", err)
	}
	defer f.Close()
	var s Script
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&s); err != nil {
		if strict, ok := errors.AsType[*toml.StrictMissingError](err); ok {
			return s, fmt.Errorf("stage %s: %s", path, strict.String())
		}
		return s, fmt.Errorf("stage %s: %w", path, err)
	}
	if err := s.Check(); err != nil {
		return s, fmt.Errorf("stage %s: %w", path, err)
	}
	return s, nil
}

// Check tells what is wrong with a script, and fills in what was left out.
func (s *Script) Check() error {
	if s.Servers == 0 {
		s.Servers = 1
	}
	if s.Length == 0 {
		s.Length = 10_000
	}
	if s.Traffic.TTL == 0 {
		s.Traffic.TTL = 8_000
	}
	if s.Node.Slots == 0 {
		s.Node.Slots = 64
	}
	if s.Node.Weights == "" {
		s.Node.Weights = "none"
	}
	endpoints := 0
	for i := range s.Dests {
		d := &s.Dests[i]
		d.Endpoints = max(d.Endpoints, 1)
		if endpoints += d.Endpoints; d.Rate < 0 || d.Burst < 0 || d.Latency < 0 || d.Connections < 0 {
			return fmt.Errorf("destination %d: nothing below 0", i)
		}
		if d.Cold && d.Rate == 0 {
			return fmt.Errorf("destination %d: one that begins cold needs a rate", i)
		}
	}
	switch {
	case s.Nodes < 1 || s.Nodes > MaxNodes:
		return fmt.Errorf("%d nodes: from 1 to %d", s.Nodes, MaxNodes)
	case s.Servers < 1 || s.Servers > MaxServers || len(s.Start.Servers) > s.Servers:
		return fmt.Errorf("%d list servers: from 1 to %d, and as many starts at most", s.Servers, MaxServers)
	case endpoints < 1 || endpoints > MaxEndpoints:
		return fmt.Errorf("%d endpoints: from 1 to %d", endpoints, MaxEndpoints)
	case s.Length.Duration() < 0 || s.Length.Duration() > MaxLength || s.Traffic.TTL.Duration() <= 0 || s.Traffic.TTL.Duration() > MaxLength:
		return fmt.Errorf("traffic for %v of messages that live %v: up to %v", s.Length.Duration(), s.Traffic.TTL.Duration(), MaxLength)
	case !(s.Traffic.Rate >= 0 && s.Traffic.Rate <= maxMessagesPerSecond) || s.Traffic.Burst < 0 || s.Traffic.Burst > maxBurstMessages:
		return fmt.Errorf("traffic of %v a second and %d at once: up to %d and %d at a node", s.Traffic.Rate, s.Traffic.Burst, maxMessagesPerSecond, maxBurstMessages)
	case !slices.Contains([]string{"none", "nominal", "rough"}, s.Node.Weights):
		return fmt.Errorf("node.weights is %q: none, nominal or rough", s.Node.Weights)
	case s.Node.AuditLogKB < 0 || s.Node.AuditLogKB > 1024 || s.Node.AuditLogKB > 0 && !s.Node.Audit:
		return fmt.Errorf("node.record_kb is %d: up to 1024, and with node.audit", s.Node.AuditLogKB)
	case !(s.Traffic.AtMostOnceShare >= 0 && s.Traffic.AtMostOnceShare <= 1):
		return fmt.Errorf("traffic.unsafe is %v: a share from 0 to 1", s.Traffic.AtMostOnceShare)
	}
	rng := rand.New(rand.NewPCG(s.Seed, 0))
	for i, f := range s.Faults {
		_, from := s.Group(f.From, rng)
		_, to := s.Group(f.To, rng)
		if err := errors.Join(from, to, f.relayFault().Check(), checkTimes(f.At, f.Length, f.Every)); err != nil {
			return fmt.Errorf("fault %d: %w", i, err)
		}
	}
	for i, a := range s.Actions {
		kinds, known := actionTargetKinds[a.Type]
		who, err := s.Group(a.Targets, rng)
		if err == nil && !known {
			err = fmt.Errorf("%q is nothing that can be done", a.Type)
		}
		for _, p := range who {
			if err == nil && p.Kind != kinds[0] && p.Kind != kinds[len(kinds)-1] {
				err = fmt.Errorf("%s can't be done to %s", a.Type, p)
			}
		}
		if err := errors.Join(err, checkTimes(a.At, a.Length, a.Every, a.Spread)); err != nil {
			return fmt.Errorf("act %d: %w", i, err)
		}
	}
	return nil
}

func checkTimes(times ...units.Millis) error {
	for _, t := range times {
		if t < 0 || t.Duration() > MaxLength {
			return fmt.Errorf("a time of %v: from 0 to %v", t.Duration(), MaxLength)
		}
	}
	return nil
}

// Group reads who is meant: "nodes", "nodes:3", "nodes:0-9,12", "nodes:30%" (drawn), and so for servers and partners;
// several with spaces between them. Partners are numbered through all destinations.
func (s *Script) Group(text string, rng *rand.Rand) ([]relay.Party, error) {
	var out []relay.Party
	for _, word := range strings.Fields(text) {
		name, which, some := strings.Cut(word, ":")
		kind, all := relay.Node, s.Nodes
		switch name {
		case "nodes":
		case "servers":
			kind, all = relay.Server, s.Servers
		case "partners":
			kind, all = relay.Partner, s.partnerCount()
		default:
			return nil, fmt.Errorf("%q: nodes, servers or partners", word)
		}
		numbers, err := selectIndexes(which, some, all, rng)
		if err != nil {
			return nil, fmt.Errorf("%q: %w", word, err)
		}
		for _, n := range numbers {
			out = append(out, relay.Party{Kind: kind, Index: n})
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%q names nobody", text)
	}
	return out, nil
}

func selectIndexes(which string, some bool, all int, rng *rand.Rand) (out []int, err error) {
	if !some {
		which = fmt.Sprintf("0-%d", all-1)
	}
	if text, ok := strings.CutSuffix(which, "%"); ok {
		share, err := strconv.ParseFloat(text, 64)
		if err != nil || !(share > 0 && share <= 100) {
			return nil, fmt.Errorf("%s%% is no share", text)
		}
		return rng.Perm(all)[:max(1, int(share/100*float64(all)+0.5))], nil
	}
	for part := range strings.SplitSeq(which, ",") {
		from, to, isRange := strings.Cut(part, "-")
		if !isRange {
			to = from
		}
		a, errA := strconv.Atoi(from)
		b, errB := strconv.Atoi(to)
		if errA != nil || errB != nil || a < 0 || b < a || b >= all {
			return nil, fmt.Errorf("%q: numbers from 0 to %d", part, all-1)
		}
		for n := a; n <= b; n++ {
			out = append(out, n)
		}
	}
	return out, nil
}

func (s *Script) partnerCount() (n int) {
	for _, d := range s.Dests {
		n += max(d.Endpoints, 1)
	}
	return n
}
