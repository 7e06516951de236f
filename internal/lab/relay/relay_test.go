package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"harrierramp/internal/testkit"
)

const testTimeout = 20 * time.Second

var (
	clientParty = Party{Node, 0}
	serverParty = Party{Server, 0}
)

// bench is a Net between a near party at 127.0.0.2 and a far one that echoes lines at 127.0.0.3.
type fixture struct {
	t    *testing.T
	net  *Network
	face string

	mu     sync.Mutex
	events map[EventType]int
	peerIP string // of the last connection, as the far party sees it
}

func newFixture(t *testing.T, seed uint64) *fixture {
	b := &fixture{t: t, events: map[EventType]int{}}
	b.net = New(seed, func(a netip.Addr) (Party, bool) {
		return clientParty, a == netip.MustParseAddr("127.0.0.2")
	}, func(e Event) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.events[e.Type]++
	})
	ln, err := net.Listen("tcp4", "127.0.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.peerIP = nc.RemoteAddr().(*net.TCPAddr).IP.String()
			b.mu.Unlock()
			serving.Go(func() {
				io.Copy(nc, nc)
				nc.Close()
			})
		}
	})
	b.face = freeAddr(t)
	if err := b.net.ListenTCP(b.face, serverParty, ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		b.net.Close()
		ln.Close()
		serving.Wait()
	})
	return b
}

func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// dial connects as the near party.
func (b *fixture) dial() *net.TCPConn {
	b.t.Helper()
	nc, err := b.tryDial()
	if err != nil {
		b.t.Fatal(err)
	}
	return nc
}

func (b *fixture) tryDial() (*net.TCPConn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	nc, err := d.Dial("tcp4", b.face)
	if err != nil {
		return nil, err
	}
	b.t.Cleanup(func() { nc.Close() })
	return nc.(*net.TCPConn), nil
}

// say sends a line and waits so long for it to come back.
func echo(nc net.Conn, line string, wait time.Duration) (string, error) {
	if _, err := io.WriteString(nc, line+"\n"); err != nil {
		return "", err
	}
	nc.SetReadDeadline(time.Now().Add(wait))
	return bufio.NewReader(nc).ReadString('\n')
}

func addFaultBothWays(b *fixture, f Fault) (lift func()) {
	rules := []*FaultRule{b.net.AddFault(PartySet{clientParty: true}, PartySet{serverParty: true}, f), b.net.AddFault(PartySet{serverParty: true}, PartySet{clientParty: true}, f)}
	return func() {
		for _, r := range rules {
			b.net.RemoveFault(r)
		}
	}
}

func TestRelayedConnKeepsSourceAddress(t *testing.T) {
	b := newFixture(t, 1)
	nc := b.dial()
	if got, err := echo(nc, "hello", testTimeout); got != "hello\n" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	// What has passed is told after it was written, so that the other side may have it first.
	testkit.Eventually(t, "what passes is told, both ways, and who it is", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.peerIP == "127.0.0.2" && b.events[ConnOpened] == 1 && b.events[DataForwarded] == 2
	})
}

// A cut says nothing and loses nothing: connections stay open, and what was sent arrives once it is healed; one way may
// be cut by itself.
func TestCutHoldsDataUntilHealed(t *testing.T) {
	for name, ways := range map[string][2]PartySet{"there": {{clientParty: true}, {serverParty: true}}, "back": {{serverParty: true}, {clientParty: true}}} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, 1)
			nc := b.dial()
			if _, err := echo(nc, "before", testTimeout); err != nil {
				t.Fatal(err)
			}
			r := b.net.AddFault(ways[0], ways[1], Fault{Cut: true})
			if got, err := echo(nc, "in it", 100*time.Millisecond); err == nil {
				t.Fatalf("%q comes through", got)
			}
			b.net.RemoveFault(r)
			nc.SetReadDeadline(time.Now().Add(testTimeout))
			if got, err := bufio.NewReader(nc).ReadString('\n'); got != "in it\n" {
				t.Errorf("%q after it, %v", got, err)
			}
		})
	}
}

// A machine that was away knows nothing of what was sent to it meanwhile; one whose process is gone refuses.
func TestMachineLossResetsConnections(t *testing.T) {
	b := newFixture(t, 1)
	nc := b.dial()
	if _, err := echo(nc, "before", testTimeout); err != nil {
		t.Fatal(err)
	}
	lift := addFaultBothWays(b, Fault{ResetOnHeal: true})
	if got, err := echo(nc, "in it", 100*time.Millisecond); err == nil {
		t.Fatalf("%q comes through", got)
	}
	lift()
	nc.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after it: %v", err)
	}
	if err := b.net.SetDown(serverParty, true); err != nil {
		t.Fatal(err)
	}
	if _, err := net.Dial("tcp4", b.face); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("while it is down: %v", err)
	}
	if err := b.net.SetDown(serverParty, false); err != nil {
		t.Fatal(err)
	}
	if _, err := echo(b.dial(), "x", testTimeout); err != nil {
		t.Errorf("when it is up again: %v", err)
	}
}

// Who gives a connection up while it is cut is never connected.
func TestConnAbandonedDuringCutIsNeverOpened(t *testing.T) {
	b := newFixture(t, 1)
	lift := addFaultBothWays(b, Fault{Cut: true})
	b.dial().Close()
	time.Sleep(150 * time.Millisecond) // longer than the relay takes to look
	lift()
	if got, err := echo(b.dial(), "x", testTimeout); err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.events[ConnOpened] != 1 {
		t.Errorf("%v", b.events)
	}
}

func TestConnectionFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault       Fault
		text        string
		least, most time.Duration // until the answer
		fails       error
	}{
		"delay":      {Fault{Delay: 100 * time.Millisecond}, "x", 200 * time.Millisecond, testTimeout, nil},
		"jitter":     {Fault{Jitter: 50 * time.Millisecond}, "x", 0, testTimeout, nil},
		"rate":       {Fault{BytesPerSecond: 1000}, fmt.Sprintf("%0300d", 0), 300 * time.Millisecond, testTimeout, nil},
		"refused":    {Fault{Refuse: true}, "x", 0, testTimeout, syscall.ECONNRESET},
		"reset":      {Fault{ResetShare: 1}, "x", 0, testTimeout, syscall.ECONNRESET},
		"stopped":    {Fault{StallAfter: 3}, "a long line", 0, 0, nil},
		"untouched":  {Fault{LossShare: 1}, "x", 0, testTimeout, nil},
		"half reset": {Fault{ResetShare: 0}, "x", 0, testTimeout, nil},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, 1)
			addFaultBothWays(b, c.fault)
			began := time.Now()
			wait := c.most
			if wait == 0 {
				wait = 150 * time.Millisecond
			}
			got := ""
			nc, err := b.tryDial() // a reset may be there before the dial is over
			if err == nil {
				got, err = echo(nc, c.text, wait)
			}
			took := time.Since(began)
			switch {
			case c.fails != nil:
				if !errors.Is(err, c.fails) && !errors.Is(err, syscall.EPIPE) {
					t.Errorf("%q, %v", got, err)
				}
			case c.most == 0:
				if err == nil || len(got) > 3 {
					t.Errorf("%q, %v", got, err)
				}
			case got != c.text+"\n" || took < c.least:
				t.Errorf("%.20q after %v, %v", got, took, err)
			}
		})
	}
}

// Datagrams carry the face of who sent them, and are lost, doubled or late as the fault says.
func TestDatagramFaults(t *testing.T) {
	parties := []Party{{Node, 0}, {Node, 1}}
	owns, faces := []string{"127.0.0.2:0", "127.0.0.3:0"}, []string{freeAddr(t), freeAddr(t)}
	var conns []*net.UDPConn
	for i := range owns {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(owns[i])))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conns, owns[i] = append(conns, conn), conn.LocalAddr().String()
	}
	who := func(a netip.Addr) (Party, bool) { return Party{Node, int(a.As4()[3]) - 2}, true }
	n := New(3, who, func(Event) {})
	t.Cleanup(n.Close)
	if err := n.ListenUDP(parties, faces, owns); err != nil {
		t.Fatal(err)
	}
	count := func(f Fault, sent int) (got int) {
		r := n.AddFault(PartySet{parties[0]: true}, PartySet{parties[1]: true}, f)
		defer n.RemoveFault(r)
		for i := range sent {
			if _, err := conns[0].WriteToUDPAddrPort([]byte{byte(i)}, netip.MustParseAddrPort(faces[1])); err != nil {
				t.Fatal(err)
			}
			if i%20 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		b := make([]byte, 10)
		for {
			conns[1].SetReadDeadline(time.Now().Add(200 * time.Millisecond))
			_, from, err := conns[1].ReadFromUDPAddrPort(b)
			if err != nil {
				return got
			}
			if got++; from.String() != faces[0] {
				t.Fatalf("a datagram from %s, and not from %s", from, faces[0])
			}
		}
	}
	for name, c := range map[string]struct {
		f           Fault
		least, most int
	}{
		"all": {Fault{}, 80, 80}, "cut": {Fault{Cut: true}, 0, 0}, "half": {Fault{LossShare: 0.5}, 20, 60},
		"twice": {Fault{DuplicateShare: 1}, 160, 160}, "late": {Fault{Delay: 20 * time.Millisecond, ReorderShare: 0.5}, 80, 80},
	} {
		if got := count(c.f, 80); got < c.least || got > c.most {
			t.Errorf("%s: %d of 80 come", name, got)
		}
	}
}

func TestAddressesOffLoopbackAreRejected(t *testing.T) {
	n := New(1, nil, nil)
	t.Cleanup(n.Close)
	for _, addr := range []string{"10.0.0.1:80", "[::1]:80", "0.0.0.0:80", "example:80", ""} {
		if n.ListenTCP("127.0.0.1:0", serverParty, addr) == nil || n.ListenTCP(addr, serverParty, "127.0.0.1:1") == nil {
			t.Errorf("%q is taken", addr)
		}
	}
}

// Faults together are at least as bad as each, in any order.
func TestCombinedFaultIsAtLeastAsSevere(t *testing.T) {
	fault := rapid.Custom(func(t *rapid.T) Fault {
		share, span := rapid.Float64Range(0, 1), rapid.Int64Range(0, int64(time.Second))
		return Fault{
			Cut: rapid.Bool().Draw(t, "cut"), Refuse: rapid.Bool().Draw(t, "refuse"), ResetShare: share.Draw(t, "reset"),
			Delay: time.Duration(span.Draw(t, "delay")), BytesPerSecond: rapid.IntRange(0, 100).Draw(t, "rate"),
			StallAfter: rapid.IntRange(0, 100).Draw(t, "stop"), LossShare: share.Draw(t, "lose"), DuplicateShare: share.Draw(t, "repeat"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := fault.Draw(t, "a"), fault.Draw(t, "b")
		c := a.combine(b)
		if c != b.combine(a) || c.Check() != nil {
			t.Fatalf("%+v, and the other way round %+v", c, b.combine(a))
		}
		if (a.Cut && !c.Cut) || c.LossShare < a.LossShare || c.Delay < a.Delay || (a.BytesPerSecond > 0 && (c.BytesPerSecond == 0 || c.BytesPerSecond > a.BytesPerSecond)) {
			t.Fatalf("%+v is less than %+v", c, a)
		}
	})
}
