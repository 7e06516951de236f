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

// fixture is a Network between a client party at 127.0.0.2 and a server party at 127.0.0.3 that echoes what it
// receives.
type fixture struct {
	t    *testing.T
	net  *Network
	face string

	mu     sync.Mutex
	events map[EventType]int
	peerIP string // source of the last connection, as the server sees it
}

func newFixture(t *testing.T, seed uint64) *fixture {
	fx := &fixture{t: t, events: map[EventType]int{}}
	fx.net = New(seed, func(a netip.Addr) (Party, bool) {
		return clientParty, a == netip.MustParseAddr("127.0.0.2")
	}, func(e Event) {
		fx.mu.Lock()
		defer fx.mu.Unlock()
		fx.events[e.Type]++
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
			fx.mu.Lock()
			fx.peerIP = nc.RemoteAddr().(*net.TCPAddr).IP.String()
			fx.mu.Unlock()
			serving.Go(func() {
				io.Copy(nc, nc)
				nc.Close()
			})
		}
	})
	fx.face = freeAddr(t)
	if err := fx.net.ListenTCP(fx.face, serverParty, ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		fx.net.Close()
		ln.Close()
		serving.Wait()
	})
	return fx
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

// dial connects as the client party.
func (fx *fixture) dial() *net.TCPConn {
	fx.t.Helper()
	nc, err := fx.tryDial()
	if err != nil {
		fx.t.Fatal(err)
	}
	return nc
}

func (fx *fixture) tryDial() (*net.TCPConn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	nc, err := d.Dial("tcp4", fx.face)
	if err != nil {
		return nil, err
	}
	fx.t.Cleanup(func() { nc.Close() })
	return nc.(*net.TCPConn), nil
}

// echo sends a line and waits for it to come back, at most for wait.
func echo(nc net.Conn, line string, wait time.Duration) (string, error) {
	if _, err := io.WriteString(nc, line+"\n"); err != nil {
		return "", err
	}
	nc.SetReadDeadline(time.Now().Add(wait))
	return bufio.NewReader(nc).ReadString('\n')
}

func addFaultBothWays(fx *fixture, f Fault) (remove func()) {
	rules := []*FaultRule{fx.net.AddFault(PartySet{clientParty: true}, PartySet{serverParty: true}, f), fx.net.AddFault(PartySet{serverParty: true}, PartySet{clientParty: true}, f)}
	return func() {
		for _, r := range rules {
			fx.net.RemoveFault(r)
		}
	}
}

func TestRelayedConnKeepsSourceAddress(t *testing.T) {
	fx := newFixture(t, 1)
	nc := fx.dial()
	if got, err := echo(nc, "hello", testTimeout); got != "hello\n" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	// The relay reports data after it has written it, so that the client may receive the echo before the event.
	testkit.Eventually(t, "events of both directions and the source address are recorded", func() bool {
		fx.mu.Lock()
		defer fx.mu.Unlock()
		return fx.peerIP == "127.0.0.2" && fx.events[ConnOpened] == 1 && fx.events[DataForwarded] == 2
	})
}

// A cut path loses nothing and reports no error: connections stay open, and data sent meanwhile arrives when the cut
// ends. Each direction can be cut by itself.
func TestCutHoldsDataUntilHealed(t *testing.T) {
	for name, directions := range map[string][2]PartySet{"there": {{clientParty: true}, {serverParty: true}}, "back": {{serverParty: true}, {clientParty: true}}} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, 1)
			nc := fx.dial()
			if _, err := echo(nc, "before", testTimeout); err != nil {
				t.Fatal(err)
			}
			r := fx.net.AddFault(directions[0], directions[1], Fault{Cut: true})
			if got, err := echo(nc, "in it", 100*time.Millisecond); err == nil {
				t.Fatalf("received %q through a cut path", got)
			}
			fx.net.RemoveFault(r)
			nc.SetReadDeadline(time.Now().Add(testTimeout))
			if got, err := bufio.NewReader(nc).ReadString('\n'); got != "in it\n" {
				t.Errorf("after the cut: %q, %v", got, err)
			}
		})
	}
}

// After ResetOnHeal a connection with held data is reset. A party that is down refuses connections until it is up
// again.
func TestMachineLossResetsConnections(t *testing.T) {
	fx := newFixture(t, 1)
	nc := fx.dial()
	if _, err := echo(nc, "before", testTimeout); err != nil {
		t.Fatal(err)
	}
	remove := addFaultBothWays(fx, Fault{ResetOnHeal: true})
	if got, err := echo(nc, "in it", 100*time.Millisecond); err == nil {
		t.Fatalf("received %q through a blocked path", got)
	}
	remove()
	nc.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after the fault: %v, want a reset", err)
	}
	if err := fx.net.SetDown(serverParty, true); err != nil {
		t.Fatal(err)
	}
	if _, err := net.Dial("tcp4", fx.face); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("while the party is down: %v, want a refused connection", err)
	}
	if err := fx.net.SetDown(serverParty, false); err != nil {
		t.Fatal(err)
	}
	if _, err := echo(fx.dial(), "x", testTimeout); err != nil {
		t.Errorf("after the party is up again: %v", err)
	}
}

// A connection that its client closes during a cut is not opened to the target when the cut ends.
func TestConnAbandonedDuringCutIsNeverOpened(t *testing.T) {
	fx := newFixture(t, 1)
	remove := addFaultBothWays(fx, Fault{Cut: true})
	fx.dial().Close()
	time.Sleep(150 * time.Millisecond) // longer than the relay's polling interval
	remove()
	if got, err := echo(fx.dial(), "x", testTimeout); err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	fx.mu.Lock()
	defer fx.mu.Unlock()
	if fx.events[ConnOpened] != 1 {
		t.Errorf("%v", fx.events)
	}
}

func TestConnectionFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault       Fault
		text        string
		least, most time.Duration // time until the echo
		fails       error
	}{
		"delay":     {Fault{Delay: 100 * time.Millisecond}, "x", 200 * time.Millisecond, testTimeout, nil},
		"jitter":    {Fault{Jitter: 50 * time.Millisecond}, "x", 0, testTimeout, nil},
		"rate":      {Fault{BytesPerSecond: 1000}, fmt.Sprintf("%0300d", 0), 300 * time.Millisecond, testTimeout, nil},
		"refused":   {Fault{Refuse: true}, "x", 0, testTimeout, syscall.ECONNRESET},
		"reset":     {Fault{ResetShare: 1}, "x", 0, testTimeout, syscall.ECONNRESET},
		"stopped":   {Fault{StallAfter: 3}, "a long line", 0, 0, nil},
		"untouched": {Fault{LossShare: 1}, "x", 0, testTimeout, nil},
		"no reset":  {Fault{ResetShare: 0}, "x", 0, testTimeout, nil},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, 1)
			addFaultBothWays(fx, c.fault)
			began := time.Now()
			wait := c.most
			if wait == 0 {
				wait = 150 * time.Millisecond
			}
			got := ""
			nc, err := fx.tryDial() // the reset may arrive before the dial returns
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

// Datagrams arrive from the sender's face, and are lost, duplicated or delayed by the fault.
func TestDatagramFaults(t *testing.T) {
	parties := []Party{{Node, 0}, {Node, 1}}
	ownAddrs, faces := []string{"127.0.0.2:0", "127.0.0.3:0"}, []string{freeAddr(t), freeAddr(t)}
	var conns []*net.UDPConn
	for i := range ownAddrs {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(ownAddrs[i])))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conns, ownAddrs[i] = append(conns, conn), conn.LocalAddr().String()
	}
	partyAt := func(a netip.Addr) (Party, bool) { return Party{Node, int(a.As4()[3]) - 2}, true }
	n := New(3, partyAt, func(Event) {})
	t.Cleanup(n.Close)
	if err := n.ListenUDP(parties, faces, ownAddrs); err != nil {
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
				t.Fatalf("a datagram from %s, want %s", from, faces[0])
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
			t.Errorf("%s: received %d datagrams of 80 sent", name, got)
		}
	}
}

func TestAddressesOffLoopbackAreRejected(t *testing.T) {
	n := New(1, nil, nil)
	t.Cleanup(n.Close)
	for _, addr := range []string{"10.0.0.1:80", "[::1]:80", "0.0.0.0:80", "example:80", ""} {
		if n.ListenTCP("127.0.0.1:0", serverParty, addr) == nil || n.ListenTCP(addr, serverParty, "127.0.0.1:1") == nil {
			t.Errorf("address %q was accepted", addr)
		}
	}
}

// The combination of two faults is at least as severe as each of them, and does not depend on the order.
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
			t.Fatalf("combined %+v, in the other order %+v", c, b.combine(a))
		}
		if (a.Cut && !c.Cut) || c.LossShare < a.LossShare || c.Delay < a.Delay || (a.BytesPerSecond > 0 && (c.BytesPerSecond == 0 || c.BytesPerSecond > a.BytesPerSecond)) {
			t.Fatalf("combined %+v is less severe than %+v", c, a)
		}
	})
}
