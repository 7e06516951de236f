// Package nowait looks at what lies in a socket now, without waiting and whatever deadline is set. A read with a deadline
// can't tell that: one that has passed fails the read before it has looked, also where bytes or an end have come.
package nonblock

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// ErrNothing says that nothing has come and that the connection has not ended.
var ErrWouldBlock = errors.New("nothing has come")

// Read reads what has come into p, which must have room, and never waits. Where nothing has, the error is ErrNothing; at
// the connection's end io.EOF; any other is of the connection, or says that it is no socket. It takes the read deadline
// away. Nobody else may be reading.
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
