package testkit

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TCPPair returns both ends of a TCP connection on loopback.
func TCPPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	out, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	in, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		out.Close()
		in.Close()
	})
	return in.(*net.TCPConn), out.(*net.TCPConn)
}

// WaitForPendingData waits until a socket has received data, an end of stream or a reset, without consuming it.
func WaitForPendingData(t *testing.T, nc syscall.Conn) {
	t.Helper()
	raw, err := nc.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	Eventually(t, "the socket has received data, an end of stream or a reset", func() bool {
		var peeked error
		err := raw.Control(func(fd uintptr) {
			// MSG_PEEK would clear a pending error, so a reset is detected by the state of the connection instead.
			if isReset(int(fd)) {
				return
			}
			_, _, peeked = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		return err == nil && !errors.Is(peeked, syscall.EAGAIN)
	})
}

// isReset reports whether the peer has reset the connection.
func isReset(fd int) bool {
	state, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
	const tcpClose = 7
	return err == nil && state&0xff == tcpClose
}

// CloseHookConn is a connection that calls BeforeClose once, before its local side ends: at the half-close, or at the
// close if that comes first.
type CloseHookConn struct {
	*net.TCPConn
	BeforeClose func(nc *net.TCPConn)
	once        sync.Once
}

// CloseWrite runs the hook and shuts down the sending side.
func (s *CloseHookConn) CloseWrite() error {
	s.once.Do(func() { s.BeforeClose(s.TCPConn) })
	return s.TCPConn.CloseWrite()
}

// Close runs the hook, if it has not run yet, and closes the connection.
func (s *CloseHookConn) Close() error {
	s.once.Do(func() { s.BeforeClose(s.TCPConn) })
	return s.TCPConn.Close()
}

// CloseHookListener accepts connections as CloseHookConns.
type CloseHookListener struct {
	*net.TCPListener
	BeforeClose func(nc *net.TCPConn)
}

// Accept waits for the next connection.
func (l CloseHookListener) Accept() (net.Conn, error) {
	nc, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &CloseHookConn{TCPConn: nc, BeforeClose: l.BeforeClose}, nil
}

// UnresponsiveAddr returns an address to which no connection is ever established: its accept queue is full and is never
// emptied.
func UnresponsiveAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(at.(*syscall.SockaddrInet4).Port))
	for range 8 {
		nc, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if os.IsTimeout(err) {
			return addr
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
	}
	t.Fatal("connections are still established although the accept queue should be full")
	return ""
}

// CountPendingDials returns how many connections to addr are still being established (state SYN_SENT).
func CountPendingDials(t *testing.T, addr string) int {
	t.Helper()
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	const synSent = "02"
	return strings.Count(string(table), fmt.Sprintf(":%04X %s ", at.Port(), synSent))
}
