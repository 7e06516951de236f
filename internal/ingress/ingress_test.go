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

// Malformed requests must get an error answer. They must neither reach the handler nor crash the server.
func TestMalformedRequestsAreRejected(t *testing.T) {
	_, addr := startTestServer(t, 100, func(Request) Answer {
		t.Error("a malformed request reached the handler")
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
	// An incomplete command, followed by a close.
	nc, _ := testkit.Dial(t, addr)
	io.WriteString(nc, "*5\r\n$7\r\nENQ")
	nc.Close()
	if got := testkit.Exchange(t, addr, testkit.EncodeRESP("ping")); got != "+PONG" {
		t.Errorf("got %q", got)
	}
}

// A connection must stay usable after a rejected request whose framing is intact.
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

// Close must not drop requests that were already read: they still get their answer, while idle connections are closed.
func TestCloseAnswersRequestsAlreadyRead(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	c, addr := startTestServer(t, 100, func(Request) Answer {
		close(entered)
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
	<-entered
	done := make(chan struct{})
	go func() {
		c.Close()
		close(done)
	}()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v", err)
	}
	close(release)
	if line, err := br.ReadString('\n'); line != "+OK\r\n" {
		t.Errorf("got %q, %v", line, err)
	}
	<-done
}

// An incomplete request must not delay the shutdown until the process is killed.
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
		t.Error("Close waits for the rest of a request")
	}
}

// The number of connections is limited, and idle connections are evicted for new ones.
func TestConnLimit(t *testing.T) {
	c, addr := startTestServer(t, 2, func(Request) Answer { return Answer{} })
	for range 5 { // idle, but open
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

// A client that sends no complete request must be disconnected within the platform's limit of 3 s.
func TestConnsWithoutRequestTimeOut(t *testing.T) {
	for name, act := range map[string]func(net.Conn){
		"silent":      func(net.Conn) {},
		"empty lines": func(nc net.Conn) { writeSlowly(nc, strings.Repeat("\r\n", 100), 500*time.Millisecond) },
		"slow": func(nc net.Conn) {
			writeSlowly(nc, testkit.EnqueueRequest("a", "c=notice,d=8000,dest=7", "b"), 100*time.Millisecond)
		},
		"incomplete request just before the idle timeout": func(nc net.Conn) {
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
					t.Errorf("request %q reached the handler", q.ID)
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

// writeSlowly writes text one byte at a time until the connection is closed.
func writeSlowly(nc net.Conn, text string, pause time.Duration) {
	for _, b := range []byte(text) {
		if _, err := nc.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// A request that arrives in two segments, split at any byte, is read as one request, and the bytes that follow it in
// the same segment are read as the next one.
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
		runtime.Gosched() // the two parts may still arrive together; most do not
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

// Clients may disconnect inside a request or before its answer. An incomplete request must not reach the handler, a
// complete one must reach it exactly once, and the connection slots must be released.
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
		t.Errorf("request %q reached the handler", q.ID)
	}
	nc.Close()
	close(answers)
	testkit.Eventually(t, "all slots are released", func() bool { return c.ConnCount() == 0 && len(c.connSem) == 0 })
	if len(received) != 0 {
		t.Errorf("%d requests beside the complete one", len(received))
	}
}

// A step of the wall clock between the start of a connection, or its last answer, and the next request must not time
// out the connection.
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

// The times that another process sends with a connection may precede a step of the wall clock. They must not make the
// connection time out at once.
func TestHandedOverConnSurvivesWallClockStep(t *testing.T) {
	now := time.Now()
	for _, age := range []time.Duration{-time.Hour, 0, 100 * time.Millisecond, time.Hour} {
		got := now.Sub(clampToRecent(now, now.Add(-age).UnixNano()))
		if want := min(max(age, 0), requestTimeout); (got - want).Abs() > time.Microsecond {
			t.Errorf("age %v: converted to %v", age, got)
		}
	}
}
