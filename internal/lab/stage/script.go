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

// Limits of a script.
const (
	MaxNodes             = 300
	MaxServers           = 7
	MaxEndpoints         = 500
	MaxLength            = 10 * time.Minute
	maxMessagesPerSecond = 200 // at one node
	maxBurstMessages     = 1000
)

// Script describes one run: the fleet, its traffic, the faults and actions, and the expected figures. The same script
// with the same seed applies the same faults to the same parties.
type Script struct {
	Name    string       `toml:"name"`
	Seed    uint64       `toml:"seed"`
	Nodes   int          `toml:"nodes"`
	Servers int          `toml:"servers"` // number of list servers
	Length  units.Millis `toml:"for"`     // duration of traffic; the run goes on until all messages have ended
	Start   StartTimes   `toml:"start"`
	Dests   []DestSpec   `toml:"destination"`
	Traffic TrafficSpec  `toml:"traffic"`
	Node    NodeSpec     `toml:"node"`
	Faults  []FaultSpec  `toml:"fault"`
	Actions []ActionSpec `toml:"act"`
	// Expect gives upper bounds, and ExpectLeast lower bounds, of figures in the report.
	Expect      map[string]float64 `toml:"expect"`
	ExpectLeast map[string]float64 `toml:"expect_least"`
}

// StartTimes says when processes are started, relative to the start of the run.
type StartTimes struct {
	Servers []units.Millis `toml:"servers"` // one for each server; 0 if left out
	Nodes   units.Millis   `toml:"nodes"`
	Spread  units.Millis   `toml:"spread"` // nodes are started at random times within this span after Nodes
}

// DestSpec is a destination and its endpoints.
type DestSpec struct {
	Endpoints   int          `toml:"endpoints"`
	Rate        float64      `toml:"rate"` // calls a second that each endpoint accepts; 0 for no limit
	Burst       float64      `toml:"burst"`
	Latency     units.Millis `toml:"latency"`
	Connections int          `toml:"connections"`
	Cold        bool         `toml:"cold"` // endpoints are cold at first and after an outage, as the contract says
}

// TrafficSpec is the traffic that clients submit to each node.
type TrafficSpec struct {
	Burst           int          `toml:"burst"`  // messages submitted at once when the node first answers PING
	Rate            float64      `toml:"rate"`   // messages a second, with exponential gaps
	TTL             units.Millis `toml:"life"`   // time from submission to a message's deadline
	AtMostOnceShare float64      `toml:"unsafe"` // share of messages of the at-most-once class
}

// NodeSpec is the configuration that all nodes share.
type NodeSpec struct {
	PeerDatagrams bool `toml:"notes"`      // nodes send each other datagrams
	Membership    bool `toml:"membership"` // nodes run the membership protocol
	CacheList     bool `toml:"keep"`       // nodes keep the list on disk over a restart
	Admin         bool `toml:"door"`       // nodes serve their admin endpoint
	Audit         bool `toml:"audit"`      // nodes publish the list revision that they act on, and send it with each call
	// Fencing makes nodes tell each other their list revision. One that cannot get the newest list stops calling. It
	// needs Audit.
	Fencing       bool         `toml:"shut_out"`
	AuditLogKB    int          `toml:"record_kb"` // size of the audit log; needs Audit
	Slots         int          `toml:"slots"`     // calls that a node may have in progress
	ListHeartbeat units.Millis `toml:"beat"`      // heartbeat interval that nodes request from list servers
	// Weights says how the list states an endpoint's capacity in calls a second: none, nominal or rough
	// (approximate).
	Weights string `toml:"weights"`
}

// FaultSpec is a fault on the paths between two groups of parties for a time. Script.Group defines how groups are
// written.
type FaultSpec struct {
	At             units.Millis `toml:"at"`
	Length         units.Millis `toml:"for"`   // 0 for the rest of the run
	Every          units.Millis `toml:"every"` // repetition interval until the traffic ends; 0 for once
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

// ActionSpec is an action on nodes, list servers or partners. The key "for" (Length) says how long it lasts.
//
// Nodes and list servers:
//   - pause stops the process with SIGSTOP, and resumes it after Length.
//   - kill and end send SIGKILL and SIGTERM. The process is started again after Length, if that is given.
//   - start starts the process.
//   - empty and damage kill the process and delete its state, or corrupt File in it. The process is started again after
//     Length, if that is given.
//   - fill makes writes fail as on a full disk, for Length.
//
// Partners:
//   - withdraw and return deregister the partner at the list service, and register it again.
//   - shut makes the partner refuse all calls, for Length.
type ActionSpec struct {
	At      units.Millis `toml:"at"`
	Length  units.Millis `toml:"for"`
	Every   units.Millis `toml:"every"`
	Spread  units.Millis `toml:"spread"` // each target is acted on at a random time within this span after At
	Targets string       `toml:"who"`
	Type    string       `toml:"do"`
	File    string       `toml:"file"`
}

var actionTargetKinds = map[string][]relay.Kind{
	"pause": {relay.Node, relay.Server}, "kill": {relay.Node, relay.Server}, "end": {relay.Node, relay.Server},
	"start": {relay.Node, relay.Server}, "empty": {relay.Node, relay.Server}, "damage": {relay.Node, relay.Server},
	"fill": {relay.Node, relay.Server}, "withdraw": {relay.Partner}, "return": {relay.Partner}, "shut": {relay.Partner},
}

// Load reads and checks a script. Unknown keys are errors.
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

// Check fills in defaults, and returns an error if the script is invalid.
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
			return fmt.Errorf("destination %d: rate, burst, latency and connections must not be negative", i)
		}
		if d.Cold && d.Rate == 0 {
			return fmt.Errorf("destination %d: cold needs a rate", i)
		}
	}
	switch {
	case s.Nodes < 1 || s.Nodes > MaxNodes:
		return fmt.Errorf("%d nodes: must be from 1 to %d", s.Nodes, MaxNodes)
	case s.Servers < 1 || s.Servers > MaxServers || len(s.Start.Servers) > s.Servers:
		return fmt.Errorf("%d list servers: must be from 1 to %d, with no more start times than servers", s.Servers, MaxServers)
	case endpoints < 1 || endpoints > MaxEndpoints:
		return fmt.Errorf("%d endpoints: must be from 1 to %d", endpoints, MaxEndpoints)
	case s.Length.Duration() < 0 || s.Length.Duration() > MaxLength || s.Traffic.TTL.Duration() <= 0 || s.Traffic.TTL.Duration() > MaxLength:
		return fmt.Errorf("traffic for %v with a message life of %v: both are at most %v", s.Length.Duration(), s.Traffic.TTL.Duration(), MaxLength)
	case !(s.Traffic.Rate >= 0 && s.Traffic.Rate <= maxMessagesPerSecond) || s.Traffic.Burst < 0 || s.Traffic.Burst > maxBurstMessages:
		return fmt.Errorf("traffic of %v messages a second and a burst of %d: at most %d and %d for each node", s.Traffic.Rate, s.Traffic.Burst, maxMessagesPerSecond, maxBurstMessages)
	case !slices.Contains([]string{"none", "nominal", "rough"}, s.Node.Weights):
		return fmt.Errorf("node.weights is %q: must be none, nominal or rough", s.Node.Weights)
	case s.Node.AuditLogKB < 0 || s.Node.AuditLogKB > 1024 || s.Node.AuditLogKB > 0 && !s.Node.Audit:
		return fmt.Errorf("node.record_kb is %d: must be from 0 to 1024, and needs node.audit", s.Node.AuditLogKB)
	case !(s.Traffic.AtMostOnceShare >= 0 && s.Traffic.AtMostOnceShare <= 1):
		return fmt.Errorf("traffic.unsafe is %v: must be a share from 0 to 1", s.Traffic.AtMostOnceShare)
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
		targets, err := s.Group(a.Targets, rng)
		if err == nil && !known {
			err = fmt.Errorf("unknown action %q", a.Type)
		}
		for _, p := range targets {
			if err == nil && p.Kind != kinds[0] && p.Kind != kinds[len(kinds)-1] {
				err = fmt.Errorf("action %s does not apply to %s", a.Type, p)
			}
		}
		if err := errors.Join(err, checkTimes(a.At, a.Length, a.Every, a.Spread)); err != nil {
			return fmt.Errorf("act %d: %w", i, err)
		}
	}
	return nil
}

func checkTimes(durations ...units.Millis) error {
	for _, t := range durations {
		if t < 0 || t.Duration() > MaxLength {
			return fmt.Errorf("a time of %v: must be from 0 to %v", t.Duration(), MaxLength)
		}
	}
	return nil
}

// Group parses a group of parties: "nodes" (all), "nodes:3", "nodes:0-9,12" or "nodes:30%" (chosen with rng), and
// likewise for servers and partners. Several such words are separated by spaces. Partners are numbered across all
// destinations.
func (s *Script) Group(text string, rng *rand.Rand) ([]relay.Party, error) {
	var out []relay.Party
	for _, word := range strings.Fields(text) {
		name, selector, selected := strings.Cut(word, ":")
		kind, total := relay.Node, s.Nodes
		switch name {
		case "nodes":
		case "servers":
			kind, total = relay.Server, s.Servers
		case "partners":
			kind, total = relay.Partner, s.partnerCount()
		default:
			return nil, fmt.Errorf("%q: must begin with nodes, servers or partners", word)
		}
		numbers, err := selectIndexes(selector, selected, total, rng)
		if err != nil {
			return nil, fmt.Errorf("%q: %w", word, err)
		}
		for _, n := range numbers {
			out = append(out, relay.Party{Kind: kind, Index: n})
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%q selects no party", text)
	}
	return out, nil
}

func selectIndexes(selector string, selected bool, total int, rng *rand.Rand) (out []int, err error) {
	if !selected {
		selector = fmt.Sprintf("0-%d", total-1)
	}
	if text, ok := strings.CutSuffix(selector, "%"); ok {
		share, err := strconv.ParseFloat(text, 64)
		if err != nil || !(share > 0 && share <= 100) {
			return nil, fmt.Errorf("%s%% is not a share: must be above 0 and at most 100", text)
		}
		return rng.Perm(total)[:max(1, int(share/100*float64(total)+0.5))], nil
	}
	for part := range strings.SplitSeq(selector, ",") {
		from, to, isRange := strings.Cut(part, "-")
		if !isRange {
			to = from
		}
		a, errA := strconv.Atoi(from)
		b, errB := strconv.Atoi(to)
		if errA != nil || errB != nil || a < 0 || b < a || b >= total {
			return nil, fmt.Errorf("%q: must be numbers from 0 to %d", part, total-1)
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
