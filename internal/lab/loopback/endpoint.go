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
	maxBodyBytes = 64 << 10
	connTimeout  = 60 * time.Second // the longest that anything stands on a socket
)

// socket is an endpoint, behind its face.
type endpointServer struct {
	run      *run
	party    relay.Party
	endpoint string
	addr     string
	faceAddr string // where nodes reach it

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	closed   bool
	wg       sync.WaitGroup
}

func newEndpointServer(r *run, party relay.Party, endpoint, addr string) (*endpointServer, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := &endpointServer{run: r, party: party, endpoint: endpoint, addr: addr, listener: ln, conns: map[net.Conn]bool{}}
	s.wg.Go(func() { s.accept(ln) })
	return s, nil
}

func (s *endpointServer) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return // closed
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			nc.Close()
			continue
		}
		s.conns[nc] = true
		s.mu.Unlock()
		s.wg.Go(func() {
			s.serveConn(nc)
			s.mu.Lock()
			delete(s.conns, nc)
			s.mu.Unlock()
			nc.Close()
		})
	}
}

// refuse closes the socket and all connections on it, as a process does that dies, or opens it again.
func (s *endpointServer) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down {
		s.listener.Close()
		for nc := range s.conns {
			nc.Close()
		}
		return
	}
	if s.closed {
		return
	}
	ln, err := net.Listen("tcp4", s.addr)
	if err != nil {
		fmt.Fprintf(s.run.Log, "loopback: endpoint %s: %v\n", s.endpoint, err)
		return
	}
	s.listener = ln
	s.wg.Go(func() { s.accept(ln) })
}

func (s *endpointServer) close() {
	s.mu.Lock()
	s.closed = true
	s.listener.Close()
	for nc := range s.conns {
		nc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

type callResult struct {
	outcome    choice.Outcome
	retryAfter time.Duration
}

// converse answers calls on one connection, as the model's endpoint says.
func (s *endpointServer) serveConn(nc net.Conn) {
	br := bufio.NewReader(nc)
	from, ok := s.run.block.PartyAt(nc.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap())
	if !ok || from.Kind != relay.Node {
		return
	}
	for {
		if nc.SetDeadline(time.Now().Add(connTimeout)) != nil {
			return
		}
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(req.Body, maxBodyBytes)); err != nil {
			return
		}
		id := req.Header.Get("X-Trace-Id")
		answers := make(chan callResult, 1)
		s.run.world.Do(s.run.ctx, func() {
			s.run.world.HandleCall(from.Index, s.endpoint, id, func(o choice.Outcome, wait time.Duration) { answers <- callResult{o, wait} })
		})
		// The node gives a call up by closing its connection.
		gone := make(chan struct{})
		go func() { // ends with the connection, or with the read being called back
			defer close(gone)
			if _, err := br.Peek(1); err != nil && s.run.ctx.Err() == nil {
				return
			}
		}()
		var a callResult
		select {
		case a = <-answers:
			nc.SetReadDeadline(time.Unix(1, 0))
			<-gone
		case <-gone:
			s.run.world.Do(s.run.ctx, func() { s.run.world.CallAbandoned(from.Index, id) })
			return
		case <-s.run.ctx.Done():
			return
		}
		if !writeResponse(nc, a) {
			return
		}
	}
}

// answer writes the protocol's answer and tells whether the connection goes on.
func writeResponse(nc net.Conn, a callResult) bool {
	text := ""
	switch a.outcome {
	case choice.Success:
		text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	case choice.ServerError:
		text = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	case choice.Rejected:
		if text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"; a.retryAfter > 0 {
			text = "HTTP/1.1 429 Too Many Requests\r\nRetry-After: " + strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64) + "\r\nContent-Length: 0\r\n\r\n"
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
