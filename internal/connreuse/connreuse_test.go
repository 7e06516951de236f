package connreuse

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"harrierramp/internal/testkit"
)

const (
	response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	prefix   = "POST / HTTP/1.1\r\nHost: x\r\n"
)

// answeredPair returns a connection that has received one response, and the peer's end of it.
func answeredPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	near, far = testkit.TCPPair(t)
	if _, err := io.WriteString(far, response); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(near, make([]byte, len(response))); err != nil {
		t.Fatal(err)
	}
	return near, far
}

// A connection whose peer has sent nothing beyond its response is proven, and the peer has the prefix.
func TestBeginConfirmsQuietConnection(t *testing.T) {
	near, far := answeredPair(t)
	if err := Begin(t.Context(), near, uint64(len(response)), []byte(prefix)); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(prefix))
	if _, err := io.ReadFull(far, got); err != nil || string(got) != prefix {
		t.Errorf("the peer got %q, %v", got, err)
	}
}

// Guards against reusing a connection whose peer has sent more than its response, however its system held that back.
func TestBeginDetectsUnsolicitedInput(t *testing.T) {
	for name, act := range map[string]func(far *net.TCPConn) error{
		"bytes":   func(far *net.TCPConn) error { _, err := io.WriteString(far, "x"); return err },
		"a close": func(far *net.TCPConn) error { return far.CloseWrite() },
		"held back": func(far *net.TCPConn) error {
			if err := far.SetNoDelay(false); err != nil {
				return err
			}
			// The first byte goes out at once, and the others wait until it is acknowledged.
			for range 3 {
				if _, err := io.WriteString(far, "x"); err != nil {
					return err
				}
			}
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := answeredPair(t)
			if err := act(far); err != nil {
				t.Fatal(err)
			}
			received := uint64(len(response))
			if name == "held back" { // the first byte belonged to the response
				if _, err := near.Read(make([]byte, 1)); err != nil {
					t.Fatal(err)
				}
				received++
			}
			if err := Begin(t.Context(), near, received, []byte(prefix)); !errors.Is(err, ErrUnsolicited) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// A connection whose bytes are not acknowledged is given up within maxConfirmWait, or when the caller's context ends.
func TestBeginGivesUpWithoutAcknowledgment(t *testing.T) {
	near, far := answeredPair(t)
	// The peer's receive window is closed, so the prefix can't be sent.
	if err := far.SetReadBuffer(1); err != nil {
		t.Fatal(err)
	}
	if err := near.SetWriteDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Write(make([]byte, 16<<20)); err == nil {
		t.Fatal("the peer's window does not close")
	}
	if err := near.SetWriteDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if err := awaitAcknowledged(t.Context(), near, uint64(len(response))); !errors.Is(err, ErrNotConfirmed) {
		t.Errorf("got %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := awaitAcknowledged(ctx, near, uint64(len(response))); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}

// Of what is no TCP connection, nothing can be proven, and nothing is written.
func TestBeginNeedsTCP(t *testing.T) {
	near, _ := net.Pipe()
	if err := Begin(t.Context(), near, 0, []byte(prefix)); !errors.Is(err, errors.ErrUnsupported) {
		t.Errorf("got %v", err)
	}
}
