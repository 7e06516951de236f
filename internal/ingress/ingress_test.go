package ingress

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"harrierramp/internal/testkit"
)

func startTestServer(t *testing.T, maxConns int, handle func(Request) Answer) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := NewServer(ln, maxConns, testkit.TestNames, handle)
	go c.Serve(t.Context())
	t.Cleanup(func() {
		select {
		case <-c.stop:
		default:
			c.Close()
		}
	})
	return c, ln.Addr().String()
}

// Whatever comes, the client hears an error, the node does not fall, and nothing of it is taken on.
func TestMalformedRequestsAreRejected(t *testing.T) {
	_, addr := startTestServer(t, 100, func(Request) Answer {
		t.Error("bad input was handed on")
		return Answer{}
	})
	big := strings.Repeat("x", maxBodyBytes+1)
	for _, text := range []string{
		testkit.EnqueueRequest("id", "c=notice,d=8000,dest=7", big),
		testkit.EnqueueRequest("id", "c=other,d=8000,dest=7", "b"),
		testkit.EnqueueRequest("id", "c=notice,d=soon,dest=7", "b"),
		testkit.EnqueueRequest("id", "c=notice,d=NaN,dest=7", "b"),
		testkit.EnqueueRequest("id", "c=notice,d=-1,dest=7", "b"),
		testkit.EnqueueRequest("id", "c=notice,d=1e300,dest=7", "b"),
		testkit.EnqueueRequest("id", "c=notice,d=8000,dest=-7", "b"),
		testkit.EnqueueRequest("id", "c=notice,d=8000,dest=seven", "b"),
		testkit.EnqueueRequest("id", "c=notice,d=8000", "b"),
		testkit.EnqueueRequest("", "c=notice,d=8000,dest=7", "b"),
		testkit.EnqueueRequest("id\r\nX-Other: 1", "c=notice,d=8000,dest=7", "b"),
		testkit.EnqueueRequest("id", "c=notice,d=8000,dest=7,k=a b", "b"),
		testkit.EnqueueRequest(strings.Repeat("i", 300), "c=notice,d=8000,dest=7", "b"),
		testkit.EnqueueRequest("id", strings.Repeat(",", 2000), "b"),
		testkit.EncodeRESP("ENQUEUE", "0000", "id"), testkit.EncodeRESP("FLUSHALL"), "GET / HTTP/1.1\r\n",
		"*1\r\n$9223372036854775807\r\nPING\r\n", "*1\r\n$-5\r\n", "*2147483647\r\n", "*-3\r\n", "*x\r\n", "*1\r\n:4\r\n",
		"*1\r\n$3\r\nPINGPONG\r\n", "*1\r\n$99999999999999999999\r\n", strings.Repeat("y", 5000),
	} {
		if got := testkit.Exchange(t, addr, text); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%.60q: got %q", text, got)
		}
	}
	// Half a command and a close.
	nc, _ := testkit.Dial(t, addr)
	io.WriteString(nc, "*5\r\n$7\r\nENQ")
	nc.Close()
	if got := testkit.Exchange(t, addr, testkit.EncodeRESP("ping")); got != "+PONG" {
		t.Errorf("got %q", got)
	}
}

// After an error about one request, the connection goes on where the framing is sound.
func TestConnSurvivesOversizedBody(t *testing.T) {
	var got Request
	_, addr := startTestServer(t, 100, func(q Request) Answer {
		got = q
		return Answer{}
	})
	nc, br := testkit.Dial(t, addr)
	go io.WriteString(nc, testkit.EnqueueRequest("a", "c=notice,d=8000,dest=7", strings.Repeat("x", maxBodyBytes+1))+
		"PING\r\n"+testkit.EnqueueRequest("b", "c=notice,t=globex,d=1500.5,dest=7,k=key,r=1", "\r\n\x00$*")+testkit.EncodeRESP("PING"))
	for _, want := range []string{"-ERR a body", "+PONG", "+OK", "+PONG"} {
		if line, err := br.ReadString('\n'); err != nil || !strings.HasPrefix(line, want) {
			t.Fatalf("got %q, %v, want %q", line, err, want)
		}
	}
	if got.ID != "b" || got.Tenant != 1 || got.Key != "key" || got.Dest != 7 || got.TTL != 1500500*time.Microsecond || string(got.Body) != "\r\n\x00$*" {
		t.Errorf("got %+v", got)
	}
}

func TestAnswerLines(t *testing.T) {
	for want, a := range map[string]Answer{
		"+OK\r\n": {}, "-BUSY\r\n": {Refused: true}, "-BUSY 1500\r\n": {Refused: true, RetryAfter: 1500 * time.Millisecond},
		"-ERR no\r\n": {ErrorText: "no"},
	} {
		if got := a.line(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// A request that has been read gets its answer, also while the node hangs up on everybody.
func TestCloseAnswersRequestsAlreadyRead(t *testing.T) {
	inside, release := make(chan struct{}), make(chan struct{})
	c, addr := startTestServer(t, 100, func(Request) Answer {
		close(inside)
		<-release
		return Answer{}
	})
	idle, idleReader := testkit.Dial(t, addr)
	io.WriteString(idle, testkit.EncodeRESP("PING"))
	if _, err := idleReader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	nc, br := testkit.Dial(t, addr)
	io.WriteString(nc, testkit.EnqueueRequest("a", "c=notice,d=8000,dest=7", "b"))
	<-inside
	done := make(chan struct{})
	go func() {
		c.Close()
		close(done)
	}()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	close(release)
	if line, err := br.ReadString('\n'); line != "+OK\r\n" {
		t.Errorf("got %q, %v", line, err)
	}
	<-done
}

// Half a request must not keep the node from leaving before it is killed.
func TestCloseDoesNotWaitForIncompleteRequest(t *testing.T) {
	c, addr := startTestServer(t, 100, func(Request) Answer { return Answer{} })
	nc, br := testkit.Dial(t, addr)
	io.WriteString(nc, testkit.EncodeRESP("PING")+"*5\r\n$7\r\nENQ")
	if line, err := br.ReadString('\n'); line != "+PONG\r\n" {
		t.Fatalf("got %q, %v", line, err)
	}
	done := make(chan struct{})
	go func() {
		c.Close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(requestTimeout - 200*time.Millisecond):
		t.Error("the node waits for the rest of a request")
	}
}

// Descriptors are bounded, and whoever holds a place without a request yields it to a newcomer.
func TestConnLimit(t *testing.T) {
	c, addr := startTestServer(t, 2, func(Request) Answer { return Answer{} })
	for range 5 { // silent, but open
		nc, br := testkit.Dial(t, addr)
		io.WriteString(nc, testkit.EncodeRESP("PING"))
		if line, err := br.ReadString('\n'); line != "+PONG\r\n" {
			t.Fatalf("got %q, %v", line, err)
		}
		c.mu.Lock()
		conns := len(c.conns)
		c.mu.Unlock()
		if conns > 2 {
			t.Errorf("%d connections are open", conns)
		}
	}
}

// A peer that has no proper request must not hold its place for more than the platform's 3 s.
func TestConnsWithoutRequestTimeOut(t *testing.T) {
	for name, act := range map[string]func(net.Conn){
		"silent":      func(net.Conn) {},
		"empty lines": func(nc net.Conn) { writeSlowly(nc, strings.Repeat("\r\n", 100), 500*time.Millisecond) },
		"slow": func(nc net.Conn) {
			writeSlowly(nc, testkit.EnqueueRequest("a", "c=notice,d=8000,dest=7", "b"), 100*time.Millisecond)
		},
		"half a request at the last moment": func(nc net.Conn) {
			time.Sleep(idleTimeout - 50*time.Millisecond)
			io.WriteString(nc, "*5\r\n$7\r\nENQ")
		},
		"not reading": func(nc net.Conn) { io.WriteString(nc, testkit.EncodeRESP("PING")) },
		"silent after a request": func(nc net.Conn) {
			io.WriteString(nc, testkit.EncodeRESP("PING"))
			bufio.NewReader(nc).ReadString('\n')
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := NewServer(nil, 1, testkit.TestNames, func(q Request) Answer {
					t.Errorf("%q was handed in", q.ID)
					return Answer{}
				})
				near, far := net.Pipe()
				c.conns[near] = &connState{idle: true, lastActivity: time.Now()}
				began := time.Now()
				var acting sync.WaitGroup
				acting.Go(func() { act(far) })
				c.serveConn(near, connStart{lastActivity: time.Now()})
				if took := time.Since(began); took > 2900*time.Millisecond {
					t.Errorf("closed after %s", took)
				}
				far.Close()
				acting.Wait()
			})
		})
	}
}

// drip writes text a byte at a time until it is hung up on.
func writeSlowly(nc net.Conn, text string, pause time.Duration) {
	for _, b := range []byte(text) {
		if _, err := nc.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// A request that comes cut at any byte is one request, and what follows it in the same piece is the next.
func TestRequestSplitAtAnyByte(t *testing.T) {
	received := make(chan Request, 1)
	_, addr := startTestServer(t, 4, func(q Request) Answer {
		received <- q
		return Answer{}
	})
	text := testkit.EnqueueRequest("id", "c=notice,t=globex,d=8000,dest=7", "bo\r\ndy")
	nc, br := testkit.Dial(t, addr)
	for cut := 1; cut < len(text); cut++ {
		if _, err := io.WriteString(nc, text[:cut]); err != nil {
			t.Fatal(err)
		}
		runtime.Gosched() // the pieces may still come as one; most don't
		testkit.MustExchange(t, nc, br, text[cut:], "+OK")
		if q := <-received; string(q.Body) != "bo\r\ndy" || q.ID != "id" || q.Dest != 7 || q.Tenant != 1 {
			t.Fatalf("cut at %d: got %+v", cut, q)
		}
	}
	testkit.MustExchange(t, nc, br, text+testkit.EncodeRESP("PING"), "+OK")
	<-received
	if line, err := br.ReadString('\n'); line != "+PONG\r\n" {
		t.Errorf("got %q, %v", line, err)
	}
}

// Clients walk away inside a request, or before its answer: nothing of half a request is taken on, the whole one
// is, once, and the places are free again.
func TestClientDisconnects(t *testing.T) {
	received, answers := make(chan Request, 100), make(chan struct{})
	c, addr := startTestServer(t, 4, func(q Request) Answer {
		received <- q
		<-answers
		return Answer{}
	})
	text := testkit.EnqueueRequest("id", "c=notice,t=acme,d=8000,dest=7", strings.Repeat("x", 100))
	for cut := 0; cut < len(text); cut += 7 {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(nc, text[:cut]); err != nil {
			t.Fatal(err)
		}
		nc.Close()
	}
	nc, _ := testkit.Dial(t, addr)
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	if q := <-received; q.ID != "id" {
		t.Errorf("%q was handed in", q.ID)
	}
	nc.Close()
	close(answers)
	testkit.Eventually(t, "the places are free", func() bool { return c.ConnCount() == 0 && len(c.connSem) == 0 })
	if len(received) != 0 {
		t.Errorf("%d messages beside the whole one", len(received))
	}
}

// The wall clock is stepped between a connection's begin, or its last answer, and its next request: the request is read as
// ever.
func TestWallClockStepKeepsConn(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			c := NewServer(nil, 1, testkit.TestNames, func(Request) Answer { return Answer{} })
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			client, br := testkit.Dial(t, ln.Addr().String())
			served, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			c.conns[served] = &connState{idle: true, lastActivity: time.Now()}
			done := make(chan struct{})
			go func() {
				defer close(done)
				c.serveConn(served, connStart{lastActivity: testkit.StepWallClock(time.Now(), step)})
			}()
			request := testkit.EnqueueRequest("a", "c=notice,d=1000,dest=1", "body")
			if _, err := io.WriteString(client, request[:len(request)/2]); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // the first half has been read
			testkit.MustExchange(t, client, br, request[len(request)/2:], "+OK")
			client.Close()
			<-done
		})
	}
}

// What another process says of a connection may have been written before a step of the wall clock.
func TestHandedOverConnSurvivesWallClockStep(t *testing.T) {
	now := time.Now()
	for _, age := range []time.Duration{-time.Hour, 0, 100 * time.Millisecond, time.Hour} {
		got := now.Sub(clampToRecent(now, now.Add(-age).UnixNano()))
		if want := min(max(age, 0), requestTimeout); (got - want).Abs() > time.Microsecond {
			t.Errorf("%v old: taken for %v", age, got)
		}
	}
}
