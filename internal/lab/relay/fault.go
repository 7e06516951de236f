// Package relay forwards all traffic between processes on loopback and injects network faults. Every connection and
// datagram between two parties passes a socket of a Network, which can delay, hold, drop, duplicate, reorder or
// throttle the traffic and reset connections. Faults apply to each direction separately.
//
// A party is identified by the source address of its connections. The relay connects to the target from that same
// address, so that the target sees who is connecting. Addresses outside 127.0.0.0/8 are rejected.
package relay

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Kind is the kind of a party.
type Kind uint8

// The kinds of parties.
const (
	Node Kind = iota
	Server
	Partner
)

var kindNames = []string{"node", "server", "partner"}

// Party is a process, or a stand-in for one, such as a partner.
type Party struct {
	Kind  Kind
	Index int
}

func (p Party) String() string { return fmt.Sprintf("%s-%d", kindNames[p.Kind], p.Index) }

// PartySet is a set of parties.
type PartySet map[Party]bool

// Fault describes the faults of the path from one party to another. The zero value forwards everything.
type Fault struct {
	// Cut forwards nothing and reports no error: connections stay open, and data sent on them arrives when the fault
	// ends. Datagrams are lost.
	Cut bool
	// ResetOnHeal is a Cut that resets the connections with held data when it ends, as a machine does that has
	// restarted and does not know them.
	ResetOnHeal bool
	// Refuse resets new connections at once. It applies to the path from the connecting party.
	Refuse bool
	// ResetShare is the share of new connections, from 0 to 1, that are reset at a random time within ResetWithin. It
	// applies to the path from the connecting party.
	ResetShare  float64
	ResetWithin time.Duration
	// Delay, and a random time below Jitter, are added to all traffic. The order on a connection is kept.
	Delay, Jitter time.Duration
	// BytesPerSecond is the maximum rate of one connection; 0 for no limit.
	BytesPerSecond int
	// StallAfter holds a connection, as Cut does, after it has sent this many bytes on this path; 0 for never.
	StallAfter int
	// LossShare, DuplicateShare and ReorderShare are shares of datagrams, from 0 to 1. A reordered datagram is delayed
	// by up to 50 ms.
	LossShare, DuplicateShare, ReorderShare float64
}

const (
	maxReorderDelay = 50 * time.Millisecond
	maxDelay        = 10 * time.Minute
)

// Check returns an error if a value of the fault is out of range.
func (f Fault) Check() error {
	for name, v := range map[string]float64{"reset": f.ResetShare, "lose": f.LossShare, "repeat": f.DuplicateShare, "reorder": f.ReorderShare} {
		if !(v >= 0 && v <= 1) {
			return fmt.Errorf("%s is %v: must be a share from 0 to 1", name, v)
		}
	}
	for name, v := range map[string]time.Duration{"delay": f.Delay, "jitter": f.Jitter, "reset_within": f.ResetWithin} {
		if v < 0 || v > maxDelay {
			return fmt.Errorf("%s is %v: must be from 0 to %v", name, v, maxDelay)
		}
	}
	if f.BytesPerSecond < 0 || f.StallAfter < 0 {
		return fmt.Errorf("rate %d and stop_after %d: must not be negative", f.BytesPerSecond, f.StallAfter)
	}
	return nil
}

// combine returns the effect of both faults together: delays add up, and of other values the more severe one applies.
func (f Fault) combine(other Fault) Fault {
	stricter := func(a, b int) int {
		if a == 0 || b == 0 {
			return max(a, b)
		}
		return min(a, b)
	}
	return Fault{
		Cut: f.Cut || other.Cut, ResetOnHeal: f.ResetOnHeal || other.ResetOnHeal, Refuse: f.Refuse || other.Refuse,
		ResetShare: max(f.ResetShare, other.ResetShare), ResetWithin: max(f.ResetWithin, other.ResetWithin),
		Delay: f.Delay + other.Delay, Jitter: f.Jitter + other.Jitter,
		BytesPerSecond: stricter(f.BytesPerSecond, other.BytesPerSecond), StallAfter: stricter(f.StallAfter, other.StallAfter),
		LossShare: max(f.LossShare, other.LossShare), DuplicateShare: max(f.DuplicateShare, other.DuplicateShare), ReorderShare: max(f.ReorderShare, other.ReorderShare),
	}
}

// EventType is the type of an Event.
type EventType uint8

// The types of events.
const (
	ConnOpened        EventType = iota // From has connected to To
	ConnFailed                         // a connection could not be made, or was refused by a fault
	ConnReset                          // a fault has reset a connection
	DataForwarded                      // Bytes were forwarded on a connection
	DatagramForwarded                  // a datagram of Bytes was forwarded
	DatagramLost                       // a datagram of Bytes was lost
)

// Event is one event of a Network. Data is the forwarded data, for DataForwarded only. The callback must not retain it.
type Event struct {
	Type     EventType
	From, To Party
	Bytes    int
	Data     []byte
}

// Network owns the relays and the faults that are in force. Its methods may be called from many goroutines.
type Network struct {
	partyAt func(netip.Addr) (Party, bool)
	onEvent func(Event)

	mu               sync.Mutex
	rng              *rand.Rand
	rules            []*FaultRule
	rulesChanged     chan struct{} // closed when the rules change
	closers          []func()
	delayedDatagrams int // datagrams that wait to be sent
	faces            map[Party]*face
	closed           bool
	done             chan struct{} // closed by Close
	wg               sync.WaitGroup
}

// FaultRule is a fault on the paths from one set of parties to another, in force until RemoveFault.
type FaultRule struct {
	from, to PartySet
	fault    Fault
}

// New creates a Network without sockets. partyAt returns the party of an address. onEvent is called for each event,
// from many goroutines, and must not block. All random decisions use the seed.
func New(seed uint64, partyAt func(netip.Addr) (Party, bool), onEvent func(Event)) *Network {
	return &Network{partyAt: partyAt, onEvent: onEvent, rng: rand.New(rand.NewPCG(seed, 0x57a6e)), rulesChanged: make(chan struct{}), done: make(chan struct{}), faces: map[Party]*face{}}
}

// AddFault applies a fault to the paths from each party in from to each party in to, until RemoveFault.
func (n *Network) AddFault(from, to PartySet, f Fault) *FaultRule {
	r := &FaultRule{from, to, f}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = append(n.rules, r)
	n.notifyRulesChanged()
	return r
}

// RemoveFault ends a fault. Traffic that it held is forwarded.
func (n *Network) RemoveFault(r *FaultRule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = slices.DeleteFunc(n.rules, func(o *FaultRule) bool { return o == r })
	n.notifyRulesChanged()
}

func (n *Network) notifyRulesChanged() {
	close(n.rulesChanged)
	n.rulesChanged = make(chan struct{})
}

// blocks returns whether the fault stops all traffic.
func (f Fault) blocks() bool { return f.Cut || f.ResetOnHeal }

// currentFault returns the combined fault of a path, and a channel that closes when the rules change.
func (n *Network) currentFault(from, to Party) (Fault, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var f Fault
	for _, r := range n.rules {
		if r.from[from] && r.to[to] {
			f = f.combine(r.fault)
		}
	}
	return f, n.rulesChanged
}

// happens returns true with the given probability. It draws no random number if that is not positive.
func (n *Network) happens(share float64) bool {
	if share <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < share
}

// randomDuration returns a random duration below a bound, or 0 if the bound is not positive.
func (n *Network) randomDuration(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.rng.Int64N(int64(bound)))
}

// addCloser registers a function that Close calls. If the Network is closed already, it calls it now and returns false.
func (n *Network) addCloser(closer func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		closer()
		return false
	}
	n.closers = append(n.closers, closer)
	return true
}

// Close closes all relays and connections, and waits for their goroutines.
func (n *Network) Close() {
	n.mu.Lock()
	if !n.closed {
		close(n.done)
	}
	n.closed = true
	closers := n.closers
	n.closers = nil
	n.mu.Unlock()
	for _, end := range closers {
		end()
	}
	n.wg.Wait()
}

// CheckLoopback returns an error unless addr is an IPv4 loopback address with a port.
func CheckLoopback(addr string) error {
	_, err := parseLoopback(addr)
	return err
}

// parseLoopback parses an IPv4 loopback address with a port, and rejects all other addresses.
func parseLoopback(addr string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return a, fmt.Errorf("relay: %w", err)
	}
	if !a.Addr().Is4() || !a.Addr().IsLoopback() {
		return a, fmt.Errorf("relay: %s is not on loopback", addr)
	}
	return a, nil
}
