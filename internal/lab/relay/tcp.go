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
	chunkSize   = 16 << 10
	chunksAhead = 64 // read and not yet passed on, on one way of a connection
	dialWait    = 2 * time.Second
)

// face is where a party is reached. It is bound while the party is up.
type face struct {
	at     *net.TCPAddr
	to     Party
	target string
	ln     *net.TCPListener // nil while the party is down
}

// TCP opens a face: who connects there reaches the party at the target, by the faults of the ways between them. The
// face is bound before TCP returns, and held until Close, or while Down.
func (n *Net) TCP(addr string, to Party, target string) error {
	if _, err := loopback(target); err != nil {
		return err
	}
	at, err := loopback(addr)
	if err != nil {
		return err
	}
	f := &face{at: net.TCPAddrFromAddrPort(at), to: to, target: target}
	if err := n.open(f); err != nil {
		return err
	}
	if !n.keep(func() { n.shut(f) }) {
		return net.ErrClosed
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faces[to] = f
	return nil
}

// Down has a party's face refuse connections, as the machine of a process that is gone does, or take them again.
func (n *Net) Down(p Party, down bool) error {
	n.mu.Lock()
	f := n.faces[p]
	n.mu.Unlock()
	if f == nil {
		return fmt.Errorf("relay: %s has no face", p)
	}
	if down {
		n.shut(f)
		return nil
	}
	return n.open(f)
}

func (n *Net) shut(f *face) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f.ln != nil {
		f.ln.Close()
		f.ln = nil
	}
}

// open binds a face, if it is not, and accepts there.
func (n *Net) open(f *face) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f.ln != nil || n.closed {
		return nil
	}
	ln, err := net.ListenTCP("tcp4", f.at)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	f.ln = ln
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
			n.wg.Go(func() { n.converse(nc, f.to, f.target) })
		}
	})
	return nil
}

// link is one connection through a relay.
type link struct {
	near *net.TCPConn
	gone chan struct{} // closed when it is over

	mu   sync.Mutex
	far  *net.TCPConn // nil until the other party is reached
	over bool
}

// reached takes the other half, and tells whether the link is still wanted.
func (l *link) reached(far *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		far.Close()
		return false
	}
	l.far = far
	return true
}

// end ends both halves; with a reset the other sides read that.
func (l *link) end(reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return
	}
	l.over = true
	close(l.gone)
	for _, nc := range []*net.TCPConn{l.near, l.far} {
		if nc == nil {
			continue
		}
		if reset {
			nc.SetLinger(0)
		}
		nc.Close()
	}
}

func (n *Net) converse(near *net.TCPConn, to Party, target string) {
	source := near.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	from, known := n.who(source)
	l := &link{near: near, gone: make(chan struct{})}
	defer l.end(false)
	f, _ := n.fault(from, to)
	if !known || f.Refuse {
		n.tell(Event{What: Turned, From: from, To: to})
		l.end(true)
		return
	}
	stop := make(chan struct{})
	defer close(stop)
	n.wg.Go(func() { // a closed Net ends its connections
		select {
		case <-stop:
		case <-n.over:
			l.end(true)
		}
	})
	if !n.reach(l, from, to) { // the first packet does not arrive
		return
	}
	d := net.Dialer{Timeout: dialWait, LocalAddr: &net.TCPAddr{IP: net.IP(source.AsSlice())}}
	far, err := d.Dial("tcp4", target)
	if err != nil {
		n.tell(Event{What: Turned, From: from, To: to})
		l.end(true)
		return
	}
	if !l.reached(far.(*net.TCPConn)) {
		return
	}
	n.tell(Event{What: Opened, From: from, To: to})
	if n.chance(f.Reset) {
		t := time.AfterFunc(n.within(f.ResetWithin), func() {
			n.tell(Event{What: Broken, From: from, To: to})
			l.end(true)
		})
		defer t.Stop()
	}
	var ways sync.WaitGroup
	ways.Go(func() { n.way(l, l.near, l.far, from, to) })
	ways.Go(func() { n.way(l, l.far, l.near, to, from) })
	ways.Wait()
}

// reach waits while the way to the other party is cut, and tells whether the connection is still wanted.
func (n *Net) reach(l *link, from, to Party) bool {
	for vanished := false; ; {
		f, changed := n.fault(from, to)
		if vanished = vanished || f.Vanish; !f.holds() {
			if vanished {
				l.end(true)
			}
			return !vanished
		}
		if gone(l.near, l.gone, changed) {
			return false
		}
	}
}

// gone waits until the faults change or the link is over, and tells the latter. A connection that nobody reads from is
// looked at now and then: who has given it up is not to be connected later.
func gone(nc *net.TCPConn, over, changed <-chan struct{}) bool {
	look := time.NewTicker(50 * time.Millisecond)
	defer look.Stop()
	for {
		select {
		case <-over:
			return true
		case <-changed:
			return false
		case <-look.C:
			if hungUp(nc) {
				return true
			}
		}
	}
}

// hungUp tells whether the other side has closed a connection, without taking anything from it.
func hungUp(nc *net.TCPConn) bool {
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
	text  []byte
	due   time.Time
	reset bool
}

// way passes on what comes from one half to the other, until it ends.
func (n *Net) way(l *link, src, dst *net.TCPConn, from, to Party) {
	ahead := make(chan chunk, chunksAhead)
	var reader sync.WaitGroup
	defer reader.Wait()
	reader.Go(func() {
		defer close(ahead)
		var last time.Time
		for {
			b := make([]byte, chunkSize)
			k, err := src.Read(b)
			f, _ := n.fault(from, to)
			due := time.Now().Add(f.Delay + n.within(f.Jitter))
			if due.Before(last) {
				due = last
			}
			last = due
			c := chunk{text: b[:k], due: due}
			if err != nil {
				c.reset = !errors.Is(err, io.EOF)
			}
			select {
			case ahead <- c:
			case <-l.gone:
				return
			}
			if err != nil {
				return
			}
		}
	})
	passed := 0
	for c := range ahead {
		if !n.pass(l, dst, c, from, to, &passed) {
			l.end(true)
			return
		}
	}
}

// pass writes one chunk when it is due and the way is not cut. It tells whether the connection goes on.
func (n *Net) pass(l *link, dst *net.TCPConn, c chunk, from, to Party, passed *int) bool {
	if !rest(l, time.Until(c.due)) {
		return false
	}
	vanished := false
	for text := c.text; len(text) > 0; {
		f, changed := n.fault(from, to)
		if vanished && !f.holds() {
			return false
		}
		room := len(text)
		if f.StopAfter > 0 {
			room = min(room, f.StopAfter-*passed)
		}
		if f.holds() || room <= 0 {
			vanished = vanished || f.Vanish
			select {
			case <-changed:
				continue
			case <-l.gone:
				return false
			}
		}
		if f.Rate > 0 { // in pieces of a tenth of a second or so
			room = min(room, max(f.Rate/10, 1))
			if !rest(l, time.Duration(room)*time.Second/time.Duration(f.Rate)) {
				return false
			}
		}
		if _, err := dst.Write(text[:room]); err != nil {
			return false
		}
		n.tell(Event{What: Passed, From: from, To: to, Bytes: room, Text: text[:room]})
		*passed += room
		text = text[room:]
	}
	if len(c.text) > 0 && !c.reset {
		return true
	}
	// An end is held like anything else.
	for {
		f, changed := n.fault(from, to)
		if !f.holds() && (f.StopAfter == 0 || *passed < f.StopAfter) {
			break
		}
		vanished = vanished || f.Vanish
		select {
		case <-changed:
		case <-l.gone:
			return false
		}
	}
	if c.reset || vanished {
		return false
	}
	return dst.CloseWrite() == nil
}

// rest waits, and tells whether the link is still there.
func rest(l *link, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.gone:
		return false
	}
}
