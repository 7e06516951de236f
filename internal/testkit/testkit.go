// Package testkit holds helpers shared by the tests of several packages: stand-in endpoints, a client for the node's
// protocol, calls to the admin API, and waits for conditions.
package testkit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"harrierramp/internal/wire"
)

// WaitTimeout is how long a test waits for something before it fails. It is long because no test uses it to assert
// speed.
const WaitTimeout = 30 * time.Second

// Partner is a stand-in endpoint on a loopback socket. It calls serve for each request; false closes the connection.
type Partner struct {
	ln    net.Listener
	serve func(nc net.Conn, req *http.Request) bool

	Mu       sync.Mutex
	Calls    []*http.Request
	conns    int
	Received chan *http.Request // the calls, as long as no more than its capacity wait to be read
}

// NewPartner starts a partner that serves until the test ends.
func NewPartner(t *testing.T, serve func(nc net.Conn, req *http.Request) bool) *Partner {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Partner{ln: ln, serve: serve, Received: make(chan *http.Request, 1000)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			p.Mu.Lock()
			p.conns++
			p.Mu.Unlock()
			t.Cleanup(func() { nc.Close() })
			go p.serveConn(nc)
		}
	}()
	return p
}

func (p *Partner) serveConn(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		p.Mu.Lock()
		p.Calls = append(p.Calls, req)
		p.Mu.Unlock()
		select {
		case p.Received <- req:
		default: // a partner that waited here for its test would look like one that hangs
		}
		if !p.serve(nc, req) {
			return
		}
	}
}

// Addr returns the address that the partner listens on.
func (p *Partner) Addr() string { return p.ln.Addr().String() }

// Counts returns the numbers of calls and connections so far.
func (p *Partner) Counts() (calls, conns int) {
	p.Mu.Lock()
	defer p.Mu.Unlock()
	return len(p.Calls), p.conns
}

// Next waits for the next call and returns its request.
func (p *Partner) Next(t *testing.T) *http.Request {
	t.Helper()
	select {
	case req := <-p.Received:
		return req
	case <-time.After(WaitTimeout):
		t.Fatal("no call arrived within WaitTimeout")
		return nil
	}
}

// RespondWith returns a serve function that answers every request with text.
func RespondWith(text string) func(net.Conn, *http.Request) bool {
	return func(nc net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(nc, text)
		return err == nil
	}
}

// DeliveredResponse is the HTTP response that confirms a delivery.
const DeliveredResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// NeverRespond is a serve function that keeps the connection open and never answers.
func NeverRespond(nc net.Conn, _ *http.Request) bool {
	io.Copy(io.Discard, nc)
	return false
}

// Eventually waits until condition returns true, and fails the test if it does not within WaitTimeout.
func Eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// TestNames are the names of classes and tenants that tests use.
var TestNames = wire.Names{Classes: []string{"notice"}, Tenants: []string{"acme", "globex"}}

// Dial connects to a node as a client. The connection closes when the test ends.
func Dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	if err := nc.SetDeadline(time.Now().Add(WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	return nc, bufio.NewReader(nc)
}

// EncodeRESP encodes words as a RESP array of bulk strings.
func EncodeRESP(words ...string) string {
	var b strings.Builder
	b.WriteString("*" + strconv.Itoa(len(words)) + "\r\n")
	for _, w := range words {
		b.WriteString("$" + strconv.Itoa(len(w)) + "\r\n" + w + "\r\n")
	}
	return b.String()
}

// EnqueueRequest returns the request that hands in one message.
func EnqueueRequest(id, fields, body string) string {
	return EncodeRESP("ENQUEUE", "0000", id, fields, body)
}

// Exchange sends text on a new connection and returns the first line of the answer.
func Exchange(t *testing.T, addr, text string) string {
	t.Helper()
	nc, br := Dial(t, addr)
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	line, err := br.ReadString('\n')
	if err != nil {
		t.Fatalf("%.60q: %v", text, err)
	}
	return strings.TrimRight(line, "\r\n")
}

// MustExchange sends text on an open connection and fails the test unless the next line read is want.
func MustExchange(t *testing.T, w io.Writer, br *bufio.Reader, text, want string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
	if line, err := br.ReadString('\n'); line != want+"\r\n" {
		t.Fatalf("%.60q: got %q, %v", text, fmt.Sprint(line), err)
	}
}

// CallAdmin makes one request to the admin API at addr and returns the status and body of its response.
func CallAdmin(t *testing.T, addr, method, path string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// MustCallAdmin makes one request to the admin API at addr and fails the test unless the response has the status want.
func MustCallAdmin(t *testing.T, addr, method, path string, want int) {
	t.Helper()
	if got, body := CallAdmin(t, addr, method, path); got != want {
		t.Fatalf("%s %s: got %d %q, want %d", method, path, got, body, want)
	}
}
