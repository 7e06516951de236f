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

const patience = 20 * time.Second

var (
	near = Party{Node, 0}
	far  = Party{Server, 0}
)

// bench is a Net between a near party at 127.0.0.2 and a far one that echoes lines at 127.0.0.3.
type bench struct {
	t    *testing.T
	net  *Net
	face string

	mu   sync.Mutex
	seen map[What]int
	from string // of the last connection, as the far party sees it
}

func newBench(t *testing.T, seed uint64) *bench {
	b := &bench{t: t, seen: map[What]int{}}
	b.net = New(seed, func(a netip.Addr) (Party, bool) {
		return near, a == netip.MustParseAddr("127.0.0.2")
	}, func(e Event) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.seen[e.What]++
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
			b.from = nc.RemoteAddr().(*net.TCPAddr).IP.String()
			b.mu.Unlock()
			serving.Go(func() {
				io.Copy(nc, nc)
				nc.Close()
			})
		}
	})
	b.face = freeFace(t)
	if err := b.net.TCP(b.face, far, ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		b.net.Close()
		ln.Close()
		serving.Wait()
	})
	return b
}

func freeFace(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// dial connects as the near party.
func (b *bench) dial() *net.TCPConn {
	b.t.Helper()
	nc, err := b.tryDial()
	if err != nil {
		b.t.Fatal(err)
	}
	return nc
}

func (b *bench) tryDial() (*net.TCPConn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	nc, err := d.Dial("tcp4", b.face)
	if err != nil {
		return nil, err
	}
	b.t.Cleanup(func() { nc.Close() })
	return nc.(*net.TCPConn), nil
}

// say sends a line and waits so long for it to come back.
func say(nc net.Conn, line string, wait time.Duration) (string, error) {
	if _, err := io.WriteString(nc, line+"\n"); err != nil {
		return "", err
	}
	nc.SetReadDeadline(time.Now().Add(wait))
	return bufio.NewReader(nc).ReadString('\n')
}

func both(b *bench, f Fault) (lift func()) {
	rules := []*Rule{b.net.Impair(Set{near: true}, Set{far: true}, f), b.net.Impair(Set{far: true}, Set{near: true}, f)}
	return func() {
		for _, r := range rules {
			b.net.Lift(r)
		}
	}
}

func TestWhatPassesSaysWhoItIs(t *testing.T) {
	b := newBench(t, 1)
	nc := b.dial()
	if got, err := say(nc, "hello", patience); got != "hello\n" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	// What has passed is told after it was written, so that the other side may have it first.
	testkit.Eventually(t, "what passes is told, both ways, and who it is", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.from == "127.0.0.2" && b.seen[Opened] == 1 && b.seen[Passed] == 2
	})
}

// A cut says nothing and loses nothing: connections stay open, and what was sent arrives once it is healed; one way may
// be cut by itself.
func TestACutHoldsWhatIsSent(t *testing.T) {
	for name, ways := range map[string][2]Set{"there": {{near: true}, {far: true}}, "back": {{far: true}, {near: true}}} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1)
			nc := b.dial()
			if _, err := say(nc, "before", patience); err != nil {
				t.Fatal(err)
			}
			r := b.net.Impair(ways[0], ways[1], Fault{Cut: true})
			if got, err := say(nc, "in it", 100*time.Millisecond); err == nil {
				t.Fatalf("%q comes through", got)
			}
			b.net.Lift(r)
			nc.SetReadDeadline(time.Now().Add(patience))
			if got, err := bufio.NewReader(nc).ReadString('\n'); got != "in it\n" {
				t.Errorf("%q after it, %v", got, err)
			}
		})
	}
}

// A machine that was away knows nothing of what was sent to it meanwhile; one whose process is gone refuses.
func TestAMachineThatWasAway(t *testing.T) {
	b := newBench(t, 1)
	nc := b.dial()
	if _, err := say(nc, "before", patience); err != nil {
		t.Fatal(err)
	}
	lift := both(b, Fault{Vanish: true})
	if got, err := say(nc, "in it", 100*time.Millisecond); err == nil {
		t.Fatalf("%q comes through", got)
	}
	lift()
	nc.SetReadDeadline(time.Now().Add(patience))
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after it: %v", err)
	}
	if err := b.net.Down(far, true); err != nil {
		t.Fatal(err)
	}
	if _, err := net.Dial("tcp4", b.face); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("while it is down: %v", err)
	}
	if err := b.net.Down(far, false); err != nil {
		t.Fatal(err)
	}
	if _, err := say(b.dial(), "x", patience); err != nil {
		t.Errorf("when it is up again: %v", err)
	}
}

// Who gives a connection up while it is cut is never connected.
func TestAConnectionGivenUpInACutIsNeverMade(t *testing.T) {
	b := newBench(t, 1)
	lift := both(b, Fault{Cut: true})
	b.dial().Close()
	time.Sleep(150 * time.Millisecond) // longer than the relay takes to look
	lift()
	if got, err := say(b.dial(), "x", patience); err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.seen[Opened] != 1 {
		t.Errorf("%v", b.seen)
	}
}

func TestWhatFaultsDoToConnections(t *testing.T) {
	for name, c := range map[string]struct {
		fault       Fault
		text        string
		least, most time.Duration // until the answer
		fails       error
	}{
		"delay":      {Fault{Delay: 100 * time.Millisecond}, "x", 200 * time.Millisecond, patience, nil},
		"jitter":     {Fault{Jitter: 50 * time.Millisecond}, "x", 0, patience, nil},
		"rate":       {Fault{Rate: 1000}, fmt.Sprintf("%0300d", 0), 300 * time.Millisecond, patience, nil},
		"refused":    {Fault{Refuse: true}, "x", 0, patience, syscall.ECONNRESET},
		"reset":      {Fault{Reset: 1}, "x", 0, patience, syscall.ECONNRESET},
		"stopped":    {Fault{StopAfter: 3}, "a long line", 0, 0, nil},
		"untouched":  {Fault{Lose: 1}, "x", 0, patience, nil},
		"half reset": {Fault{Reset: 0}, "x", 0, patience, nil},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1)
			both(b, c.fault)
			began := time.Now()
			wait := c.most
			if wait == 0 {
				wait = 150 * time.Millisecond
			}
			got := ""
			nc, err := b.tryDial() // a reset may be there before the dial is over
			if err == nil {
				got, err = say(nc, c.text, wait)
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
func TestDatagrams(t *testing.T) {
	parties := []Party{{Node, 0}, {Node, 1}}
	owns, faces := []string{"127.0.0.2:0", "127.0.0.3:0"}, []string{freeFace(t), freeFace(t)}
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
	if err := n.UDP(parties, faces, owns); err != nil {
		t.Fatal(err)
	}
	count := func(f Fault, sent int) (got int) {
		r := n.Impair(Set{parties[0]: true}, Set{parties[1]: true}, f)
		defer n.Lift(r)
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
		"all": {Fault{}, 80, 80}, "cut": {Fault{Cut: true}, 0, 0}, "half": {Fault{Lose: 0.5}, 20, 60},
		"twice": {Fault{Repeat: 1}, 160, 160}, "late": {Fault{Delay: 20 * time.Millisecond, Reorder: 0.5}, 80, 80},
	} {
		if got := count(c.f, 80); got < c.least || got > c.most {
			t.Errorf("%s: %d of 80 come", name, got)
		}
	}
}

func TestOnlyLoopbackIsReached(t *testing.T) {
	n := New(1, nil, nil)
	t.Cleanup(n.Close)
	for _, addr := range []string{"10.0.0.1:80", "[::1]:80", "0.0.0.0:80", "example:80", ""} {
		if n.TCP("127.0.0.1:0", far, addr) == nil || n.TCP(addr, far, "127.0.0.1:1") == nil {
			t.Errorf("%q is taken", addr)
		}
	}
}

// Faults together are at least as bad as each, in any order.
func TestFaultsAddUp(t *testing.T) {
	fault := rapid.Custom(func(t *rapid.T) Fault {
		share, span := rapid.Float64Range(0, 1), rapid.Int64Range(0, int64(time.Second))
		return Fault{
			Cut: rapid.Bool().Draw(t, "cut"), Refuse: rapid.Bool().Draw(t, "refuse"), Reset: share.Draw(t, "reset"),
			Delay: time.Duration(span.Draw(t, "delay")), Rate: rapid.IntRange(0, 100).Draw(t, "rate"),
			StopAfter: rapid.IntRange(0, 100).Draw(t, "stop"), Lose: share.Draw(t, "lose"), Repeat: share.Draw(t, "repeat"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := fault.Draw(t, "a"), fault.Draw(t, "b")
		c := a.with(b)
		if c != b.with(a) || c.Check() != nil {
			t.Fatalf("%+v, and the other way round %+v", c, b.with(a))
		}
		if (a.Cut && !c.Cut) || c.Lose < a.Lose || c.Delay < a.Delay || (a.Rate > 0 && (c.Rate == 0 || c.Rate > a.Rate)) {
			t.Fatalf("%+v is less than %+v", c, a)
		}
	})
}
