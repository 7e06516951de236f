package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	chunkBytes        = 16 << 10
	maxBufferedChunks = 64 // read and not yet passed on, on one way of a connection
	dialTimeout       = 2 * time.Second
)

// face is where a party is reached. It is bound while the party is up.
type face struct {
	addr     *net.TCPAddr
	party    Party
	target   string
	listener *net.TCPListener // nil while the party is down
}

// TCP opens a face: who connects there reaches the party at the target, by the faults of the ways between them. The
// face is bound before TCP returns, and held until Close, or while Down.
func (n *Network) ListenTCP(addr string, to Party, target string) error {
	if _, err := parseLoopback(target); err != nil {
		return err
	}
	at, err := parseLoopback(addr)
	if err != nil {
		return err
	}
	f := &face{addr: net.TCPAddrFromAddrPort(at), party: to, target: target}
	if err := n.openFace(f); err != nil {
		return err
	}
	if !n.addCloser(func() { n.closeFace(f) }) {
		return net.ErrClosed
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faces[to] = f
	return nil
}

// Down has a party's face refuse connections, as the machine of a process that is gone does, or take them again.
func (n *Network) SetDown(p Party, down bool) error {
	n.mu.Lock()
	f := n.faces[p]
	n.mu.Unlock()
	if f == nil {
		return fmt.Errorf("relay: %s has no face", p)
	}
	if down {
		n.closeFace(f)
		return nil
	}
	return n.openFace(f)
}

func (n *Network) closeFace(f *face) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f.listener != nil {
		f.listener.Close()
		f.listener = nil
	}
}

// open binds a face, if it is not, and accepts there.
func (n *Network) openFace(f *face) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f.listener != nil || n.closed {
		return nil
	}
	ln, err := net.ListenTCP("tcp4", f.addr)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	f.listener = ln
	n.wg.Go(func() {
		for {
			nc, err := ln.AcceptTCP()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // out of descriptors, most likely
				time.Sleep(10 * time.Millisecond)
				continue
			}
			n.wg.Go(func() { n.proxy(nc, f.party, f.target) })
		}
	})
	return nil
}

// link is one connection through a relay.
type proxiedConn struct {
	downstream *net.TCPConn
	done       chan struct{} // closed when it is over

	mu       sync.Mutex
	upstream *net.TCPConn // nil until the other party is reached
	closed   bool
}

// reached takes the other half, and tells whether the link is still wanted.
func (l *proxiedConn) setUpstream(far *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		far.Close()
		return false
	}
	l.upstream = far
	return true
}

// end ends both halves; with a reset the other sides read that.
func (l *proxiedConn) close(reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	close(l.done)
	for _, nc := range []*net.TCPConn{l.downstream, l.upstream} {
		if nc == nil {
			continue
		}
		if reset {
			nc.SetLinger(0)
		}
		nc.Close()
	}
}

func (n *Network) proxy(near *net.TCPConn, to Party, target string) {
	source := near.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	from, known := n.partyAt(source)
	l := &proxiedConn{downstream: near, done: make(chan struct{})}
	defer l.close(false)
	f, _ := n.currentFault(from, to)
	if !known || f.Refuse {
		n.onEvent(Event{Type: ConnFailed, From: from, To: to})
		l.close(true)
		return
	}
	stop := make(chan struct{})
	defer close(stop)
	n.wg.Go(func() { // a closed Net ends its connections
		select {
		case <-stop:
		case <-n.done:
			l.close(true)
		}
	})
	if !n.awaitReachable(l, from, to) { // the first packet does not arrive
		return
	}
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.IP(source.AsSlice())}}
	far, err := d.Dial("tcp4", target)
	if err != nil {
		n.onEvent(Event{Type: ConnFailed, From: from, To: to})
		l.close(true)
		return
	}
	if !l.setUpstream(far.(*net.TCPConn)) {
		return
	}
	n.onEvent(Event{Type: ConnOpened, From: from, To: to})
	if n.happens(f.ResetShare) {
		t := time.AfterFunc(n.randomDuration(f.ResetWithin), func() {
			n.onEvent(Event{Type: ConnReset, From: from, To: to})
			l.close(true)
		})
		defer t.Stop()
	}
	var ways sync.WaitGroup
	ways.Go(func() { n.forward(l, l.downstream, l.upstream, from, to) })
	ways.Go(func() { n.forward(l, l.upstream, l.downstream, to, from) })
	ways.Wait()
}

// reach waits while the way to the other party is cut, and tells whether the connection is still wanted.
func (n *Network) awaitReachable(l *proxiedConn, from, to Party) bool {
	for vanished := false; ; {
		f, changed := n.currentFault(from, to)
		if vanished = vanished || f.ResetOnHeal; !f.blocks() {
			if vanished {
				l.close(true)
			}
			return !vanished
		}
		if awaitChange(l.downstream, l.done, changed) {
			return false
		}
	}
}

// gone waits until the faults change or the link is over, and tells the latter. A connection that nobody reads from is
// looked at now and then: who has given it up is not to be connected later.
func awaitChange(nc *net.TCPConn, over, changed <-chan struct{}) bool {
	look := time.NewTicker(50 * time.Millisecond)
	defer look.Stop()
	for {
		select {
		case <-over:
			return true
		case <-changed:
			return false
		case <-look.C:
			if peerClosed(nc) {
				return true
			}
		}
	}
}

// hungUp tells whether the other side has closed a connection, without taking anything from it.
func peerClosed(nc *net.TCPConn) bool {
	raw, err := nc.SyscallConn()
	if err != nil {
		return true
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || peekErr == nil && n == 0 || errors.Is(peekErr, syscall.ECONNRESET)
}

// chunk is what was read at once, to be passed on when it is due; without text, the end of what there is.
type chunk struct {
	data  []byte
	due   time.Time
	reset bool
}

// way passes on what comes from one half to the other, until it ends.
func (n *Network) forward(l *proxiedConn, src, dst *net.TCPConn, from, to Party) {
	ahead := make(chan chunk, maxBufferedChunks)
	var reader sync.WaitGroup
	defer reader.Wait()
	reader.Go(func() {
		defer close(ahead)
		var last time.Time
		for {
			b := make([]byte, chunkBytes)
			k, err := src.Read(b)
			f, _ := n.currentFault(from, to)
			due := time.Now().Add(f.Delay + n.randomDuration(f.Jitter))
			if due.Before(last) {
				due = last
			}
			last = due
			c := chunk{data: b[:k], due: due}
			if err != nil {
				c.reset = !errors.Is(err, io.EOF)
			}
			select {
			case ahead <- c:
			case <-l.done:
				return
			}
			if err != nil {
				return
			}
		}
	})
	passed := 0
	for c := range ahead {
		if !n.writeChunk(l, dst, c, from, to, &passed) {
			l.close(true)
			return
		}
	}
}

// pass writes one chunk when it is due and the way is not cut. It tells whether the connection goes on.
func (n *Network) writeChunk(l *proxiedConn, dst *net.TCPConn, c chunk, from, to Party, passed *int) bool {
	if !sleep(l, time.Until(c.due)) {
		return false
	}
	vanished := false
	for text := c.data; len(text) > 0; {
		f, changed := n.currentFault(from, to)
		if vanished && !f.blocks() {
			return false
		}
		room := len(text)
		if f.StallAfter > 0 {
			room = min(room, f.StallAfter-*passed)
		}
		if f.blocks() || room <= 0 {
			vanished = vanished || f.ResetOnHeal
			select {
			case <-changed:
				continue
			case <-l.done:
				return false
			}
		}
		if f.BytesPerSecond > 0 { // in pieces of a tenth of a second or so
			room = min(room, max(f.BytesPerSecond/10, 1))
			if !sleep(l, time.Duration(room)*time.Second/time.Duration(f.BytesPerSecond)) {
				return false
			}
		}
		if _, err := dst.Write(text[:room]); err != nil {
			return false
		}
		n.onEvent(Event{Type: DataForwarded, From: from, To: to, Bytes: room, Data: text[:room]})
		*passed += room
		text = text[room:]
	}
	if len(c.data) > 0 && !c.reset {
		return true
	}
	// An end is held like anything else.
	for {
		f, changed := n.currentFault(from, to)
		if !f.blocks() && (f.StallAfter == 0 || *passed < f.StallAfter) {
			break
		}
		vanished = vanished || f.ResetOnHeal
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
	if c.reset || vanished {
		return false
	}
	return dst.CloseWrite() == nil
}

// rest waits, and tells whether the link is still there.
func sleep(l *proxiedConn, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.done:
		return false
	}
}
