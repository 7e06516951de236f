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
	Kind Kind
	N    int
}

func (p Party) String() string { return fmt.Sprintf("%s-%d", kindNames[p.Kind], p.N) }

// Set are some parties.
type Set map[Party]bool

// Fault is what is wrong with one way from one party to another. The zero value passes everything.
type Fault struct {
	// Cut passes nothing, without a word: connections stay open, and what is sent on them arrives once it is healed.
	// Datagrams are lost.
	Cut bool
	// Vanish is a Cut at whose end the connections that were held in it are reset: the machine is back, and knows nothing
	// of them.
	Vanish bool
	// Refuse closes new connections at once. It counts on the way from who connects.
	Refuse bool
	// Reset is the share of new connections, from 0 to 1, that are reset at a moment within ResetWithin. It counts on
	// the way from who connects.
	Reset       float64
	ResetWithin time.Duration
	// Delay is added to everything, and up to Jitter more by chance. The order on a connection stays.
	Delay, Jitter time.Duration
	// Rate is the most bytes a second on one connection; 0 for any number.
	Rate int
	// StopAfter holds a connection after so many bytes of its own on this way, as Cut does; 0 for never.
	StopAfter int
	// Lose, Repeat and Reorder are shares of datagrams, from 0 to 1. One that is reordered comes up to 50 ms late.
	Lose, Repeat, Reorder float64
}

const (
	reorderLate = 50 * time.Millisecond
	mostDelay   = 10 * time.Minute
)

// Check tells what is impossible in a fault.
func (f Fault) Check() error {
	for name, v := range map[string]float64{"reset": f.Reset, "lose": f.Lose, "repeat": f.Repeat, "reorder": f.Reorder} {
		if !(v >= 0 && v <= 1) {
			return fmt.Errorf("%s is %v: a share from 0 to 1", name, v)
		}
	}
	for name, v := range map[string]time.Duration{"delay": f.Delay, "jitter": f.Jitter, "reset_within": f.ResetWithin} {
		if v < 0 || v > mostDelay {
			return fmt.Errorf("%s is %v: from 0 to %v", name, v, mostDelay)
		}
	}
	if f.Rate < 0 || f.StopAfter < 0 {
		return fmt.Errorf("rate %d and stop_after %d: from 0 on", f.Rate, f.StopAfter)
	}
	return nil
}

// with is both faults together: the worse of each.
func (f Fault) with(o Fault) Fault {
	least := func(a, b int) int {
		if a == 0 || b == 0 {
			return max(a, b)
		}
		return min(a, b)
	}
	return Fault{
		Cut: f.Cut || o.Cut, Vanish: f.Vanish || o.Vanish, Refuse: f.Refuse || o.Refuse,
		Reset: max(f.Reset, o.Reset), ResetWithin: max(f.ResetWithin, o.ResetWithin),
		Delay: f.Delay + o.Delay, Jitter: f.Jitter + o.Jitter,
		Rate: least(f.Rate, o.Rate), StopAfter: least(f.StopAfter, o.StopAfter),
		Lose: max(f.Lose, o.Lose), Repeat: max(f.Repeat, o.Repeat), Reorder: max(f.Reorder, o.Reorder),
	}
}

// What tells what an Event is.
type What uint8

// What a Net sees.
const (
	Opened   What = iota // a connection: From has reached To
	Turned               // a connection that found nobody, or was refused by a fault
	Broken               // a connection that a fault has reset
	Passed               // Bytes on a connection
	Datagram             // one passed, of Bytes
	Lost                 // one did not
)

// Event is one thing that a Net sees. Text is the beginning of what passed, for Passed only; it must not be kept.
type Event struct {
	What     What
	From, To Party
	Bytes    int
	Text     []byte
}

// Net owns the relays and what is wrong with them. Its methods may be called from many goroutines.
type Net struct {
	who  func(netip.Addr) (Party, bool)
	tell func(Event)

	mu      sync.Mutex
	rng     *rand.Rand
	rules   []*Rule
	changed chan struct{} // closed when the rules change
	closers []func()
	late    int // datagrams on their way
	faces   map[Party]*face
	closed  bool
	over    chan struct{} // closed with the Net
	wg      sync.WaitGroup
}

// Rule is a fault that holds between two sets of parties until it is lifted.
type Rule struct {
	from, to Set
	fault    Fault
}

// New makes a Net without a socket. who names the party of an address; tell hears what passes, from many goroutines,
// and must not wait. Chance is drawn from the seed.
func New(seed uint64, who func(netip.Addr) (Party, bool), tell func(Event)) *Net {
	return &Net{who: who, tell: tell, rng: rand.New(rand.NewPCG(seed, 0x57a6e)), changed: make(chan struct{}), over: make(chan struct{}), faces: map[Party]*face{}}
}

// Impair puts a fault on the ways from each of the one set to each of the other, until Lift.
func (n *Net) Impair(from, to Set, f Fault) *Rule {
	r := &Rule{from, to, f}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = append(n.rules, r)
	n.news()
	return r
}

// Lift ends a fault. What was held goes on.
func (n *Net) Lift(r *Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = slices.DeleteFunc(n.rules, func(o *Rule) bool { return o == r })
	n.news()
}

func (n *Net) news() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// holds tells that nothing passes.
func (f Fault) holds() bool { return f.Cut || f.Vanish }

// fault is what is wrong with a way now, and a channel that closes when that may have changed.
func (n *Net) fault(from, to Party) (Fault, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var f Fault
	for _, r := range n.rules {
		if r.from[from] && r.to[to] {
			f = f.with(r.fault)
		}
	}
	return f, n.changed
}

// chance tells whether something of this share happens, and draws a time below a bound.
func (n *Net) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < share
}

func (n *Net) within(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.rng.Int64N(int64(bound)))
}

// keep has Close call end, or calls it now if the Net is closed already.
func (n *Net) keep(end func()) bool {
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
func (n *Net) Close() {
	n.mu.Lock()
	if !n.closed {
		close(n.over)
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
func OnLoopback(addr string) error {
	_, err := loopback(addr)
	return err
}

// loopback refuses every address that is not on this machine.
func loopback(addr string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return a, fmt.Errorf("relay: %w", err)
	}
	if !a.Addr().Is4() || !a.Addr().IsLoopback() {
		return a, fmt.Errorf("relay: %s is not on loopback", addr)
	}
	return a, nil
}
