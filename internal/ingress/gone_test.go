package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"harrierramp/internal/testkit"
)

// playGoneClient has a client submit count requests at once and leave while the first one is being handled. It returns
// the connection and how many requests were handled.
func playGoneClient(t *testing.T, count, bodyBytes int, leave func(nc *net.TCPConn) error) (nc net.Conn, handled *atomic.Int64) {
	t.Helper()
	first, gone := make(chan struct{}), make(chan struct{})
	handled = new(atomic.Int64)
	_, addr := startTestServer(t, 100, func(Request) Answer {
		if handled.Add(1) == 1 {
			close(first)
			<-gone
		}
		return Answer{}
	})
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	var text strings.Builder
	for i := range count {
		text.WriteString(testkit.EnqueueRequest(fmt.Sprintf("m%d", i), "c=notice,d=5000,dest=7", strings.Repeat("x", bodyBytes)))
	}
	if _, err := io.WriteString(nc, text.String()); err != nil {
		t.Fatal(err)
	}
	<-first
	if err := leave(nc.(*net.TCPConn)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // the end reaches the server
	close(gone)
	return nc, handled
}

// Guards against sending on requests of a client that has left: what its end leaves unread is not handled.
func TestRequestsOfGoneClientAreNotHandled(t *testing.T) {
	for name, leave := range map[string]func(nc *net.TCPConn) error{
		"close": func(nc *net.TCPConn) error { return nc.Close() },
		"reset": func(nc *net.TCPConn) error { return errors.Join(nc.SetLinger(0), nc.Close()) },
	} {
		for _, bodyBytes := range []int{10, 3000, 60000} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, bodyBytes), func(t *testing.T) {
				_, handled := playGoneClient(t, 20, bodyBytes, leave)
				time.Sleep(300 * time.Millisecond)
				if n := handled.Load(); n != 1 {
					t.Errorf("%d requests handled", n)
				}
			})
		}
	}
}

// A client that has ended its sending side only may read on: it is told that its remaining requests are refused.
func TestHalfClosedClientIsRefused(t *testing.T) {
	const count = 20
	nc, handled := playGoneClient(t, count, 10, func(nc *net.TCPConn) error { return nc.CloseWrite() })
	if err := nc.SetReadDeadline(time.Now().Add(testkit.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	lines, want := bufio.NewScanner(nc), "+OK"
	for range count {
		if !lines.Scan() || lines.Text() != want {
			t.Fatalf("got %q, %v, want %s", lines.Text(), lines.Err(), want)
		}
		want = "-BUSY"
	}
	if n := handled.Load(); n != 1 {
		t.Errorf("%d requests handled", n)
	}
}
