package nonblock

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"harrierramp/internal/testkit"
)

// Read must see available data, EOF or a reset even if the read deadline has passed, and must not block.
func TestReadIgnoresDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		peer func(t *testing.T, far *net.TCPConn)
		want error
		n    int
	}{
		"nothing": {func(*testing.T, *net.TCPConn) {}, ErrWouldBlock, 0},
		"bytes": {func(t *testing.T, far *net.TCPConn) {
			if _, err := io.WriteString(far, "xyz"); err != nil {
				t.Error(err)
			}
		}, nil, 2},
		"an end": {func(_ *testing.T, far *net.TCPConn) { far.Close() }, io.EOF, 0},
		"a reset": {func(_ *testing.T, far *net.TCPConn) {
			far.SetLinger(0)
			far.Close()
		}, syscall.ECONNRESET, 0},
	} {
		for deadline, at := range map[string]time.Time{"none": {}, "already expired": time.Unix(1, 0)} {
			near, far := testkit.TCPPair(t)
			c.peer(t, far)
			if name != "nothing" {
				testkit.WaitForPendingData(t, near)
			}
			if err := near.SetReadDeadline(at); err != nil {
				t.Fatal(err)
			}
			n, err := Read(near, make([]byte, 2))
			if n != c.n || !errors.Is(err, c.want) {
				t.Errorf("%s, deadline %s: %d bytes, %v", name, deadline, n, err)
			}
		}
	}
	near, _ := net.Pipe()
	if _, err := Read(near, make([]byte, 1)); !errors.Is(err, errors.ErrUnsupported) {
		t.Errorf("not a socket: %v", err)
	}
}
