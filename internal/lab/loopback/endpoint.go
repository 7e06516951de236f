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
	connTimeout  = 60 * time.Second // limit for waiting for a call on a connection and answering it
)

// endpointServer is the HTTP server of an endpoint. Nodes reach it through a relay.
type endpointServer struct {
	run      *run
	party    relay.Party
	endpoint string
	addr     string
	faceAddr string // address of the relay, which nodes connect to

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	closed   bool
	wg       sync.WaitGroup
}

// newEndpointServer opens the socket of an endpoint and accepts connections on it.
func newEndpointServer(r *run, party relay.Party, endpoint, addr string) (*endpointServer, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := &endpointServer{run: r, party: party, endpoint: endpoint, addr: addr, listener: ln, conns: map[net.Conn]bool{}}
	s.wg.Go(func() { s.accept(ln) })
	return s, nil
}

// accept serves each connection in its own goroutine until the listener is closed.
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

// setDown closes the socket and all its connections, as happens when a process dies, or opens the socket again.
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

// callResult is how a call ended, according to the model.
type callResult struct {
	outcome    choice.Outcome
	retryAfter time.Duration
}

// serveConn answers the calls on a connection with the results of the endpoint in the model.
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
		results := make(chan callResult, 1)
		s.run.world.Do(s.run.ctx, func() {
			s.run.world.HandleCall(from.Index, s.endpoint, id, func(o choice.Outcome, wait time.Duration) { results <- callResult{o, wait} })
		})
		// A node cancels a call by closing the connection, so the connection is watched while the call runs.
		connClosed := make(chan struct{})
		go func() { // ends when the connection is closed, or when the read deadline set below interrupts Peek
			defer close(connClosed)
			if _, err := br.Peek(1); err != nil && s.run.ctx.Err() == nil {
				return
			}
		}()
		var result callResult
		select {
		case result = <-results:
			nc.SetReadDeadline(time.Unix(1, 0))
			<-connClosed
		case <-connClosed:
			s.run.world.Do(s.run.ctx, func() { s.run.world.CallAbandoned(from.Index, id) })
			return
		case <-s.run.ctx.Done():
			return
		}
		if !writeResponse(nc, result) {
			return
		}
	}
}

// writeResponse writes the HTTP response for a result and reports whether the connection stays open.
func writeResponse(nc net.Conn, result callResult) bool {
	response := ""
	switch result.outcome {
	case choice.Success:
		response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	case choice.ServerError:
		response = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	case choice.Rejected:
		if response = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"; result.retryAfter > 0 {
			response = "HTTP/1.1 429 Too Many Requests\r\nRetry-After: " + strconv.FormatFloat(result.retryAfter.Seconds(), 'f', 3, 64) + "\r\nContent-Length: 0\r\n\r\n"
		}
	default:
		if t, ok := nc.(*net.TCPConn); ok {
			t.SetLinger(0) // makes Close reset the connection
		}
		return false
	}
	_, err := io.WriteString(nc, response)
	return err == nil
}

var _ model.EndpointObserver = (*run)(nil)
