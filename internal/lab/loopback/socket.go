package loopback

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/lab/model"
	"harrierramp/internal/lab/relay"
)

const (
	maxBody   = 64 << 10
	callPause = 60 * time.Second // the longest that anything stands on a socket
)

// socket is an endpoint, behind its face.
type socket struct {
	r        *run
	party    relay.Party
	endpoint string
	addr     string
	face     string // where nodes reach it

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]bool
	shut  bool
	wg    sync.WaitGroup
}

func newSocket(r *run, party relay.Party, endpoint, addr string) (*socket, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := &socket{r: r, party: party, endpoint: endpoint, addr: addr, ln: ln, conns: map[net.Conn]bool{}}
	s.wg.Go(func() { s.accept(ln) })
	return s, nil
}

func (s *socket) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return // closed
		}
		s.mu.Lock()
		if s.shut {
			s.mu.Unlock()
			nc.Close()
			continue
		}
		s.conns[nc] = true
		s.mu.Unlock()
		s.wg.Go(func() {
			s.converse(nc)
			s.mu.Lock()
			delete(s.conns, nc)
			s.mu.Unlock()
			nc.Close()
		})
	}
}

// refuse closes the socket and all connections on it, as a process does that dies, or opens it again.
func (s *socket) refuse(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down {
		s.ln.Close()
		for nc := range s.conns {
			nc.Close()
		}
		return
	}
	if s.shut {
		return
	}
	ln, err := net.Listen("tcp4", s.addr)
	if err != nil {
		fmt.Fprintf(s.r.Log, "loopback: endpoint %s: %v\n", s.endpoint, err)
		return
	}
	s.ln = ln
	s.wg.Go(func() { s.accept(ln) })
}

func (s *socket) close() {
	s.mu.Lock()
	s.shut = true
	s.ln.Close()
	for nc := range s.conns {
		nc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

type outcome struct {
	o    choice.Outcome
	wait time.Duration
}

// converse answers calls on one connection, as the model's endpoint says.
func (s *socket) converse(nc net.Conn) {
	br := bufio.NewReader(nc)
	from, ok := s.r.block.PartyAt(nc.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap())
	if !ok || from.Kind != relay.Node {
		return
	}
	for {
		if nc.SetDeadline(time.Now().Add(callPause)) != nil {
			return
		}
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(req.Body, maxBody)); err != nil {
			return
		}
		id := req.Header.Get("X-Trace-Id")
		answers := make(chan outcome, 1)
		s.r.world.Do(s.r.ctx, func() {
			s.r.world.HandleCall(from.Index, s.endpoint, id, func(o choice.Outcome, wait time.Duration) { answers <- outcome{o, wait} })
		})
		// The node gives a call up by closing its connection.
		gone := make(chan struct{})
		go func() { // ends with the connection, or with the read being called back
			defer close(gone)
			if _, err := br.Peek(1); err != nil && s.r.ctx.Err() == nil {
				return
			}
		}()
		var a outcome
		select {
		case a = <-answers:
			nc.SetReadDeadline(time.Unix(1, 0))
			<-gone
		case <-gone:
			s.r.world.Do(s.r.ctx, func() { s.r.world.CallAbandoned(from.Index, id) })
			return
		case <-s.r.ctx.Done():
			return
		}
		if !answer(nc, a) {
			return
		}
	}
}

// answer writes the protocol's answer and tells whether the connection goes on.
func answer(nc net.Conn, a outcome) bool {
	text := ""
	switch a.o {
	case choice.Success:
		text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	case choice.ServerError:
		text = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	case choice.Rejected:
		if text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"; a.wait > 0 {
			text = "HTTP/1.1 429 Too Many Requests\r\nRetry-After: " + strconv.FormatFloat(a.wait.Seconds(), 'f', 3, 64) + "\r\nContent-Length: 0\r\n\r\n"
		}
	default:
		if t, ok := nc.(*net.TCPConn); ok {
			t.SetLinger(0) // a reset
		}
		return false
	}
	_, err := io.WriteString(nc, text)
	return err == nil
}

var _ model.EndpointObserver = (*run)(nil)
