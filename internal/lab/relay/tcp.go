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
	maxBufferedChunks = 64 // chunks read but not yet written, for each direction of a connection
	dialTimeout       = 2 * time.Second
)

// face is the address by which other parties reach a party. It listens while the party is up.
type face struct {
	addr     *net.TCPAddr
	party    Party
	target   string
	listener *net.TCPListener // nil while the party is down
}

// ListenTCP opens the face of a party: connections to addr are forwarded to target, with the faults of the paths
// between the two parties. The face listens when ListenTCP returns, until Close or SetDown.
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

// SetDown closes a party's face, so that connections are refused as by a machine whose process has ended, or opens it
// again.
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

// openFace listens at a face, unless it does already, and accepts connections.
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
			if err != nil { // most likely out of file descriptors
				time.Sleep(10 * time.Millisecond)
				continue
			}
			n.wg.Go(func() { n.proxy(nc, f.party, f.target) })
		}
	})
	return nil
}

// proxiedConn is a connection through a relay. It has two halves: downstream to the connecting party, upstream to the
// target.
type proxiedConn struct {
	downstream *net.TCPConn
	done       chan struct{} // closed by close

	mu       sync.Mutex
	upstream *net.TCPConn // nil until the target is connected
	closed   bool
}

// setUpstream sets the connection to the target. If the proxied connection is closed already, it closes upstream and
// returns false.
func (conn *proxiedConn) setUpstream(upstream *net.TCPConn) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closed {
		upstream.Close()
		return false
	}
	conn.upstream = upstream
	return true
}

// close closes both halves. With reset both peers get a connection reset.
func (conn *proxiedConn) close(reset bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closed {
		return
	}
	conn.closed = true
	close(conn.done)
	for _, nc := range []*net.TCPConn{conn.downstream, conn.upstream} {
		if nc == nil {
			continue
		}
		if reset {
			nc.SetLinger(0)
		}
		nc.Close()
	}
}

// proxy forwards one accepted connection to the target until it ends.
func (n *Network) proxy(downstream *net.TCPConn, to Party, target string) {
	source := downstream.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	from, known := n.partyAt(source)
	conn := &proxiedConn{downstream: downstream, done: make(chan struct{})}
	defer conn.close(false)
	f, _ := n.currentFault(from, to)
	if !known || f.Refuse {
		n.onEvent(Event{Type: ConnFailed, From: from, To: to})
		conn.close(true)
		return
	}
	stop := make(chan struct{})
	defer close(stop)
	n.wg.Go(func() { // Network.Close ends its connections
		select {
		case <-stop:
		case <-n.done:
			conn.close(true)
		}
	})
	if !n.awaitReachable(conn, from, to) { // a fault blocks the path: the SYN does not arrive
		return
	}
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.IP(source.AsSlice())}}
	upstream, err := d.Dial("tcp4", target)
	if err != nil {
		n.onEvent(Event{Type: ConnFailed, From: from, To: to})
		conn.close(true)
		return
	}
	if !conn.setUpstream(upstream.(*net.TCPConn)) {
		return
	}
	n.onEvent(Event{Type: ConnOpened, From: from, To: to})
	if n.happens(f.ResetShare) {
		reset := func() {
			n.onEvent(Event{Type: ConnReset, From: from, To: to})
			conn.close(true)
		}
		delay := n.randomDuration(f.ResetWithin)
		if delay == 0 { // before anything is forwarded
			reset()
			return
		}
		defer time.AfterFunc(delay, reset).Stop()
	}
	var directions sync.WaitGroup
	directions.Go(func() { n.forward(conn, conn.downstream, conn.upstream, from, to) })
	directions.Go(func() { n.forward(conn, conn.upstream, conn.downstream, to, from) })
	directions.Wait()
}

// awaitReachable waits while a fault blocks the path to the target. It returns false if the connection has ended
// meanwhile.
func (n *Network) awaitReachable(conn *proxiedConn, from, to Party) bool {
	for resetOnHeal := false; ; {
		f, changed := n.currentFault(from, to)
		if resetOnHeal = resetOnHeal || f.ResetOnHeal; !f.blocks() {
			if resetOnHeal {
				conn.close(true)
			}
			return !resetOnHeal
		}
		if awaitChange(conn.downstream, conn.done, changed) {
			return false
		}
	}
}

// awaitChange waits until the faults change or the connection ends, and returns true in the latter case. Nothing reads
// from the connection at this time, so it polls whether the peer has closed it: an abandoned connection must not be
// opened to the target later.
func awaitChange(nc *net.TCPConn, done, changed <-chan struct{}) bool {
	poll := time.NewTicker(50 * time.Millisecond)
	defer poll.Stop()
	for {
		select {
		case <-done:
			return true
		case <-changed:
			return false
		case <-poll.C:
			if peerClosed(nc) {
				return true
			}
		}
	}
}

// peerClosed returns whether the peer has closed a connection. It peeks, and consumes no data.
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

// chunk is the data of one read, to be written when it is due. A chunk without data is the end of the stream.
type chunk struct {
	data  []byte
	due   time.Time
	reset bool
}

// forward copies data from one half to the other until the stream or the connection ends.
func (n *Network) forward(conn *proxiedConn, src, dst *net.TCPConn, from, to Party) {
	buffered := make(chan chunk, maxBufferedChunks)
	var reader sync.WaitGroup
	defer reader.Wait()
	reader.Go(func() {
		defer close(buffered)
		var lastDue time.Time
		for {
			b := make([]byte, chunkBytes)
			size, err := src.Read(b)
			f, _ := n.currentFault(from, to)
			due := time.Now().Add(f.Delay + n.randomDuration(f.Jitter))
			if due.Before(lastDue) {
				due = lastDue
			}
			lastDue = due
			c := chunk{data: b[:size], due: due}
			if err != nil {
				c.reset = !errors.Is(err, io.EOF)
			}
			select {
			case buffered <- c:
			case <-conn.done:
				return
			}
			if err != nil {
				return
			}
		}
	})
	passed := 0
	for c := range buffered {
		if !n.writeChunk(conn, dst, c, from, to, &passed) {
			conn.close(true)
			return
		}
	}
}

// writeChunk writes a chunk when it is due and no fault blocks the path. It returns whether the connection goes on.
func (n *Network) writeChunk(conn *proxiedConn, dst *net.TCPConn, c chunk, from, to Party, passed *int) bool {
	if !sleep(conn, time.Until(c.due)) {
		return false
	}
	resetOnHeal := false
	for data := c.data; len(data) > 0; {
		f, changed := n.currentFault(from, to)
		if resetOnHeal && !f.blocks() {
			return false
		}
		limit := len(data)
		if f.StallAfter > 0 {
			limit = min(limit, f.StallAfter-*passed)
		}
		if f.blocks() || limit <= 0 {
			resetOnHeal = resetOnHeal || f.ResetOnHeal
			select {
			case <-changed:
				continue
			case <-conn.done:
				return false
			}
		}
		if f.BytesPerSecond > 0 { // in pieces of about a tenth of a second
			limit = min(limit, max(f.BytesPerSecond/10, 1))
			if !sleep(conn, time.Duration(limit)*time.Second/time.Duration(f.BytesPerSecond)) {
				return false
			}
		}
		if _, err := dst.Write(data[:limit]); err != nil {
			return false
		}
		n.onEvent(Event{Type: DataForwarded, From: from, To: to, Bytes: limit, Data: data[:limit]})
		*passed += limit
		data = data[limit:]
	}
	if len(c.data) > 0 && !c.reset {
		return true
	}
	// Faults hold the end of the stream in the same way as data.
	for {
		f, changed := n.currentFault(from, to)
		if !f.blocks() && (f.StallAfter == 0 || *passed < f.StallAfter) {
			break
		}
		resetOnHeal = resetOnHeal || f.ResetOnHeal
		select {
		case <-changed:
		case <-conn.done:
			return false
		}
	}
	if c.reset || resetOnHeal {
		return false
	}
	return dst.CloseWrite() == nil
}

// sleep waits, and returns false if the connection ends meanwhile.
func sleep(conn *proxiedConn, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-conn.done:
		return false
	}
}
