// Package relay owns the ways between processes on loopback: every connection and datagram between two parties goes
// through a socket of a Net, which can delay, hold, cut, thin or spoil what passes, each way by itself.
//
// A party is known by the address that its connections come from, and a relay goes on from that same address, so that
// whoever is reached sees who asks. Addresses outside 127.0.0.0/8 are refused.
package relay

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Kind is what a party is.
type Kind uint8

// The kinds of parties.
const (
	Node Kind = iota
	Server
	Partner
)

var kindNames = []string{"node", "server", "partner"}

// Party is one process, or what stands for one.
type Party struct {
	Kind  Kind
	Index int
}

func (p Party) String() string { return fmt.Sprintf("%s-%d", kindNames[p.Kind], p.Index) }

// Set are some parties.
type PartySet map[Party]bool

// Fault is what is wrong with one way from one party to another. The zero value passes everything.
type Fault struct {
	// Cut passes nothing, without a word: connections stay open, and what is sent on them arrives once it is healed.
	// Datagrams are lost.
	Cut bool
	// Vanish is a Cut at whose end the connections that were held in it are reset: the machine is back, and knows nothing
	// of them.
	ResetOnHeal bool
	// Refuse closes new connections at once. It counts on the way from who connects.
	Refuse bool
	// Reset is the share of new connections, from 0 to 1, that are reset at a moment within ResetWithin. It counts on
	// the way from who connects.
	ResetShare  float64
	ResetWithin time.Duration
	// Delay is added to everything, and up to Jitter more by chance. The order on a connection stays.
	Delay, Jitter time.Duration
	// Rate is the most bytes a second on one connection; 0 for any number.
	BytesPerSecond int
	// StopAfter holds a connection after so many bytes of its own on this way, as Cut does; 0 for never.
	StallAfter int
	// Lose, Repeat and Reorder are shares of datagrams, from 0 to 1. One that is reordered comes up to 50 ms late.
	LossShare, DuplicateShare, ReorderShare float64
}

const (
	maxReorderDelay = 50 * time.Millisecond
	maxDelay        = 10 * time.Minute
)

// Check tells what is impossible in a fault.
func (f Fault) Check() error {
	for name, v := range map[string]float64{"reset": f.ResetShare, "lose": f.LossShare, "repeat": f.DuplicateShare, "reorder": f.ReorderShare} {
		if !(v >= 0 && v <= 1) {
			return fmt.Errorf("%s is %v: a share from 0 to 1", name, v)
		}
	}
	for name, v := range map[string]time.Duration{"delay": f.Delay, "jitter": f.Jitter, "reset_within": f.ResetWithin} {
		if v < 0 || v > maxDelay {
			return fmt.Errorf("%s is %v: from 0 to %v", name, v, maxDelay)
		}
	}
	if f.BytesPerSecond < 0 || f.StallAfter < 0 {
		return fmt.Errorf("rate %d and stop_after %d: from 0 on", f.BytesPerSecond, f.StallAfter)
	}
	return nil
}

// with is both faults together: the worse of each.
func (f Fault) combine(o Fault) Fault {
	least := func(a, b int) int {
		if a == 0 || b == 0 {
			return max(a, b)
		}
		return min(a, b)
	}
	return Fault{
		Cut: f.Cut || o.Cut, ResetOnHeal: f.ResetOnHeal || o.ResetOnHeal, Refuse: f.Refuse || o.Refuse,
		ResetShare: max(f.ResetShare, o.ResetShare), ResetWithin: max(f.ResetWithin, o.ResetWithin),
		Delay: f.Delay + o.Delay, Jitter: f.Jitter + o.Jitter,
		BytesPerSecond: least(f.BytesPerSecond, o.BytesPerSecond), StallAfter: least(f.StallAfter, o.StallAfter),
		LossShare: max(f.LossShare, o.LossShare), DuplicateShare: max(f.DuplicateShare, o.DuplicateShare), ReorderShare: max(f.ReorderShare, o.ReorderShare),
	}
}

// What tells what an Event is.
type EventType uint8

// What a Net sees.
const (
	ConnOpened        EventType = iota // a connection: From has reached To
	ConnFailed                         // a connection that found nobody, or was refused by a fault
	ConnReset                          // a connection that a fault has reset
	DataForwarded                      // Bytes on a connection
	DatagramForwarded                  // one passed, of Bytes
	DatagramLost                       // one did not
)

// Event is one thing that a Net sees. Text is the beginning of what passed, for Passed only; it must not be kept.
type Event struct {
	Type     EventType
	From, To Party
	Bytes    int
	Data     []byte
}

// Net owns the relays and what is wrong with them. Its methods may be called from many goroutines.
type Network struct {
	partyAt func(netip.Addr) (Party, bool)
	onEvent func(Event)

	mu               sync.Mutex
	rng              *rand.Rand
	rules            []*FaultRule
	rulesChanged     chan struct{} // closed when the rules change
	closers          []func()
	delayedDatagrams int // datagrams on their way
	faces            map[Party]*face
	closed           bool
	done             chan struct{} // closed with the Net
	wg               sync.WaitGroup
}

// Rule is a fault that holds between two sets of parties until it is lifted.
type FaultRule struct {
	from, to PartySet
	fault    Fault
}

// New makes a Net without a socket. who names the party of an address; tell hears what passes, from many goroutines,
// and must not wait. Chance is drawn from the seed.
func New(seed uint64, who func(netip.Addr) (Party, bool), tell func(Event)) *Network {
	return &Network{partyAt: who, onEvent: tell, rng: rand.New(rand.NewPCG(seed, 0x57a6e)), rulesChanged: make(chan struct{}), done: make(chan struct{}), faces: map[Party]*face{}}
}

// Impair puts a fault on the ways from each of the one set to each of the other, until Lift.
func (n *Network) AddFault(from, to PartySet, f Fault) *FaultRule {
	r := &FaultRule{from, to, f}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = append(n.rules, r)
	n.notifyRulesChanged()
	return r
}

// Lift ends a fault. What was held goes on.
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

// holds tells that nothing passes.
func (f Fault) blocks() bool { return f.Cut || f.ResetOnHeal }

// fault is what is wrong with a way now, and a channel that closes when that may have changed.
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

// chance tells whether something of this share happens, and draws a time below a bound.
func (n *Network) happens(share float64) bool {
	if share <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < share
}

func (n *Network) randomDuration(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.rng.Int64N(int64(bound)))
}

// keep has Close call end, or calls it now if the Net is closed already.
func (n *Network) addCloser(end func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		end()
		return false
	}
	n.closers = append(n.closers, end)
	return true
}

// Close ends all relays, and every connection on them.
func (n *Network) Close() {
	n.mu.Lock()
	if !n.closed {
		close(n.done)
	}
	n.closed = true
	ends := n.closers
	n.closers = nil
	n.mu.Unlock()
	for _, end := range ends {
		end()
	}
	n.wg.Wait()
}

// OnLoopback refuses every address that is not on this machine.
func CheckLoopback(addr string) error {
	_, err := parseLoopback(addr)
	return err
}

// loopback refuses every address that is not on this machine.
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
