package tcpinfo

import (
	"errors"
	"io"
	"net"
	"testing"

	"harrierramp/internal/testkit"
)

// A peer that has closed its side is gone even if what it sent before is unread.
func TestPeerGone(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(far *net.TCPConn) error
		gone bool
	}{
		"bytes":      {func(*net.TCPConn) error { return nil }, false},
		"half-close": {func(far *net.TCPConn) error { return far.CloseWrite() }, true},
		"close":      {func(far *net.TCPConn) error { return far.Close() }, true},
		"reset":      {func(far *net.TCPConn) error { return errors.Join(far.SetLinger(0), far.Close()) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := testkit.TCPPair(t)
			if _, err := io.WriteString(far, "unread"); err != nil {
				t.Fatal(err)
			}
			if err := c.act(far); err != nil {
				t.Fatal(err)
			}
			if c.gone {
				testkit.Eventually(t, "the end is seen", func() bool { return PeerGone(near) })
			} else if PeerGone(near) {
				t.Error("the peer counts as gone")
			}
		})
	}
}

// Of what is no TCP connection there is no description, and its peer does not count as gone.
func TestOtherConnections(t *testing.T) {
	near, _ := net.Pipe()
	if _, err := Get(near); !errors.Is(err, errors.ErrUnsupported) || PeerGone(near) {
		t.Errorf("got %v", err)
	}
}
