package ingress

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"harrierramp/internal/testkit"
)

// Whatever makes the node end a connection, a request that comes in that very moment neither takes the last answer with
// it nor is served behind the end: the client reads what was written to it, then an end, never a reset.
func TestCloseDeliversLastAnswerDespiteLateRequest(t *testing.T) {
	late := testkit.EnqueueRequest("late", "c=notice,d=8000,dest=7", strings.Repeat("x", 2000))
	ping, half := testkit.EncodeRESP("PING"), "*5\r\n$7\r\nENQ"
	for name, c := range map[string]struct {
		most  int
		first string // what the client has sent before
		want  string // the last answer
		end   func(t *testing.T, c *Server, addr string)
	}{
		"shutdown while it rests":       {4, ping, "+PONG\r\n", func(_ *testing.T, c *Server, _ string) { c.Close() }},
		"shutdown inside a request":     {4, ping + half, "+PONG\r\n", func(_ *testing.T, c *Server, _ string) { c.Close() }},
		"a newcomer wants the place":    {1, ping, "+PONG\r\n", func(t *testing.T, _ *Server, addr string) { testkit.Dial(t, addr) }},
		"it has rested too long":        {4, ping, "+PONG\r\n", func(*testing.T, *Server, string) {}},
		"a drain":                       {4, ping, "+PONG\r\n", func(_ *testing.T, c *Server, _ string) { c.Drain(true) }},
		"a request that does not end":   {4, ping + half, "+PONG\r\n", func(*testing.T, *Server, string) {}},
		"no request, and an error line": {4, "*1\r\n:4\r\n", "-ERR Protocol error: expected '$'\r\n", func(*testing.T, *Server, string) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			addr, ended := ln.Addr().String(), make(chan *net.TCPConn, 8)
			goOn := make(chan struct{})
			s := NewServer(testkit.CloseHookListener{TCPListener: ln.(*net.TCPListener), BeforeClose: func(nc *net.TCPConn) {
				ended <- nc
				<-goOn
			}}, c.most, testkit.TestNames, func(q Request) Answer {
				t.Errorf("%q is taken on behind the end", q.ID)
				return Answer{}
			})
			go s.Serve(t.Context())
			nc, br := testkit.Dial(t, addr)
			if _, err := io.WriteString(nc, c.first); err != nil {
				t.Fatal(err)
			}
			// The rest of the last answer is read after the end: a reset must not have taken it.
			if b, err := br.Peek(len(c.want)); string(b) != c.want {
				t.Fatalf("%q, %v", b, err)
			}
			ending := make(chan struct{})
			go func() {
				defer close(ending)
				c.end(t, s, addr)
			}()
			near := <-ended // about to end its side
			if _, err := io.WriteString(nc, late); err != nil {
				t.Fatal(err)
			}
			testkit.WaitForPendingData(t, near)
			close(goOn)
			if got, err := io.ReadAll(br); err != nil || string(got) != c.want {
				t.Errorf("the client reads %q, %v", got, err)
			}
			nc.Close()
			<-ending
			select {
			case <-s.stop:
			default:
				s.Close()
			}
		})
	}
}

// slowClock is a connection whose process does not run for a while after each deadline that it sets.
type stalledConn struct{ *net.TCPConn }

func (s stalledConn) SetReadDeadline(at time.Time) error {
	err := s.TCPConn.SetReadDeadline(at)
	if d := time.Until(at); d > 0 && d < time.Second {
		time.Sleep(d + time.Millisecond) // until the deadline has passed
	}
	return err
}

// A request that lies in the socket when the wait for one has ended is seen, also by a node that does not run in time
// to look: a deadline that has passed hides it.
func TestPollPendingFindsRequestAfterDeadline(t *testing.T) {
	near, far := testkit.TCPPair(t)
	nc := stalledConn{near}
	in := &replayReader{src: nc}
	interruptRead(nc)
	if _, err := in.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) || pollPending(nc, in, err) {
		t.Fatalf("%v, and a request where none has come", err)
	}
	if _, err := io.WriteString(far, testkit.EncodeRESP("PING")); err != nil {
		t.Fatal(err)
	}
	testkit.WaitForPendingData(t, near)
	interruptRead(nc)
	if _, err := in.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) || !pollPending(nc, in, err) {
		t.Fatalf("%v, and a request is not seen", err)
	}
	if got := string(in.unanswered()); got != testkit.EncodeRESP("PING") {
		t.Errorf("%q is left to be read", got)
	}
	if pollPending(nc, in, io.EOF) {
		t.Error("the end of a connection is taken for a request")
	}
}

// Peers that rest and do not hang up when they are told to must not keep newcomers waiting: their places are had at once.
func TestIdleConnsAreEvictedForNewClients(t *testing.T) {
	c, addr := startTestServer(t, 8, func(Request) Answer { return Answer{} })
	began := time.Now()
	for range 40 {
		nc, br := testkit.Dial(t, addr)
		testkit.MustExchange(t, nc, br, testkit.EncodeRESP("PING"), "+PONG")
		if n := c.ConnCount(); n > 8 {
			t.Errorf("%d connections are open", n)
		}
	}
	if took := time.Since(began); took > 20*lingerTimeout {
		t.Errorf("40 newcomers wait for %v, and a client gives up after 400 ms", took)
	}
}

// A connection that waits for a place when the node leaves is ended like the others, and does not keep the node from it:
// all have their time at once.
func TestCloseEndsConnWaitingForSlot(t *testing.T) {
	inside, goOn := make(chan struct{}), make(chan struct{})
	c, addr := startTestServer(t, 1, func(Request) Answer {
		close(inside)
		<-goOn
		return Answer{}
	})
	busy, busyReader := testkit.Dial(t, addr)
	if _, err := io.WriteString(busy, testkit.EnqueueRequest("a", "c=notice,d=8000,dest=7", "b")); err != nil {
		t.Fatal(err)
	}
	<-inside
	waits, waitsReader := testkit.Dial(t, addr)
	if _, err := io.WriteString(waits, testkit.EncodeRESP("PING")); err != nil {
		t.Fatal(err)
	}
	closed := make(chan struct{})
	go func() {
		c.Close()
		close(closed)
	}()
	if _, err := waitsReader.ReadByte(); err != io.EOF { // a node that had not accepted it resets it: ECONNRESET
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the one that waits: %v", err)
		}
	}
	close(goOn)
	if line, err := busyReader.ReadString('\n'); line != "+OK\r\n" {
		t.Errorf("got %q, %v", line, err)
	}
	<-closed
}
