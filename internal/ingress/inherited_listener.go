package ingress

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// inheritedListener is a listening socket that is shared with other processes, including its file status flags. If one
// of them makes the socket blocking, accept ignores deadlines and Close and blocks until a client connects. So Accept
// sets O_NONBLOCK before each accept call and waits for clients in the poller. (net.TCPListener cannot be used: its
// SyscallConn does not support Read.)
type inheritedListener struct {
	f      *os.File
	raw    syscall.RawConn
	addr   net.Addr
	closed atomic.Bool
}

// InheritedListener returns a listener on the socket that the platform keeps open and passes to each process as
// descriptor number. The socket is never shut down, since that would stop it for every process that shares it.
func InheritedListener(number int) (net.Listener, error) {
	if err := syscall.SetNonblock(number, true); err != nil { // the poller accepts only non-blocking files
		return nil, fmt.Errorf("descriptor %d: %w", number, err)
	}
	syscall.CloseOnExec(number)
	l := &inheritedListener{f: os.NewFile(uintptr(number), "inherited socket")}
	ln, err := net.FileListener(l.f) // duplicates the descriptor
	if err == nil {
		l.addr = ln.Addr()
		err = ln.Close()
	}
	if err == nil {
		l.raw, err = l.f.SyscallConn()
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("descriptor %d: %w", number, err), l.f.Close())
	}
	return l, nil
}

func (l *inheritedListener) Accept() (net.Conn, error) {
	var accepted int
	var fail error
	err := l.raw.Read(func(fd uintptr) bool {
		if fail = syscall.SetNonblock(int(fd), true); fail != nil {
			return true
		}
		for {
			accepted, _, fail = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if !errors.Is(fail, syscall.EINTR) && !errors.Is(fail, syscall.ECONNABORTED) {
				return !errors.Is(fail, syscall.EAGAIN)
			}
		}
	})
	if l.closed.Load() && err != nil {
		err = net.ErrClosed
	}
	if err = errors.Join(err, fail); err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	f := os.NewFile(uintptr(accepted), "client")
	nc, err := net.FileConn(f)
	return nc, errors.Join(err, f.Close())
}

func (l *inheritedListener) SetDeadline(t time.Time) error { return l.f.SetReadDeadline(t) }

func (l *inheritedListener) Addr() net.Addr { return l.addr }

func (l *inheritedListener) Close() error {
	l.closed.Store(true)
	return l.f.Close()
}
