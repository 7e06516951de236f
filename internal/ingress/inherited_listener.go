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

// passedListener is a listening socket that other processes have as well. They share its flags with us: where one
// makes it a blocking socket, an accept would no longer heed deadlines or a close, and hang until a client comes. So
// the flag is seen to before each accept, and it is waited for a client outside of that. (The Read of a
// net.TCPListener's SyscallConn is not to be had.)
type inheritedListener struct {
	f      *os.File
	raw    syscall.RawConn
	addr   net.Addr
	closed atomic.Bool
}

// PassedListener is the socket that the platform holds and passes on to each process under this number. It is never
// shut down, for that would end it for every process that has it.
func InheritedListener(number int) (net.Listener, error) {
	if err := syscall.SetNonblock(number, true); err != nil { // only such a file can be waited for
		return nil, fmt.Errorf("descriptor %d: %w", number, err)
	}
	syscall.CloseOnExec(number)
	l := &inheritedListener{f: os.NewFile(uintptr(number), "passed socket")}
	ln, err := net.FileListener(l.f) // by a descriptor of its own
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
