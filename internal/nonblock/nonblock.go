// Package nonblock reads what is available on a socket without blocking, independent of read deadlines. A read with an
// expired deadline cannot do that: it fails before it looks at the socket, even if data or EOF has arrived.
package nonblock

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// ErrWouldBlock reports that no data is available and that the connection has not ended.
var ErrWouldBlock = errors.New("no data available")

// Read reads available data into p, which must not be empty, and never blocks. The error is ErrWouldBlock if no data is
// available, and io.EOF at the end of the connection. Other errors come from the connection; errors.ErrUnsupported
// means that it is not a socket. Read clears the read deadline. It must not be called concurrently with other reads.
func Read(c net.Conn, p []byte) (int, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n, readErr := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		for {
			if n, readErr = syscall.Read(int(fd), p); !errors.Is(readErr, syscall.EINTR) {
				return true
			}
		}
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(readErr, syscall.EAGAIN):
		return 0, ErrWouldBlock
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
