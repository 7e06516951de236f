package connreuse

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxResponseBytes = 128 << 10 // head and body
	maxIdlePerAddr   = 2
	idleTimeout      = time.Minute
)

// errResponseTooLong reports a response of more than maxResponseBytes.
var errResponseTooLong = errors.New("response too long")

// Transport is an http.RoundTripper for short requests over plain TCP. It keeps connections, and uses one again only if
// it is proven that the next response on it belongs to the next request, which the Transport of net/http does not check.
// It reads each response whole. It never sends a request twice. It is safe for concurrent use.
type Transport struct {
	// DialContext opens connections.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*persistentConn // by address; the most recently used is last
}

// persistentConn is a connection for requests and responses in turn.
type persistentConn struct {
	net.Conn
	br       *bufio.Reader
	received uint64      // bytes read from Conn
	expire   *time.Timer // closes the connection while it is idle
}

// Read is part of io.Reader. It counts what it reads.
func (p *persistentConn) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	p.received += uint64(n)
	return n, err
}

// RoundTrip is part of http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var request bytes.Buffer
	if err := req.Write(&request); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	p, rest, err := t.begin(req.Context(), req.URL.Host, request.Bytes())
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(req.Context(), func() { p.Close() })
	resp, err := p.roundTrip(req, rest)
	if !stop() || err != nil || resp.Close || p.br.Buffered() > 0 {
		p.Close()
	} else {
		t.putIdle(req.URL.Host, p)
	}
	if err != nil && req.Context().Err() != nil {
		err = context.Cause(req.Context())
	}
	return resp, err
}

// begin returns a connection for a request, and the part of the request that is still to be written.
func (t *Transport) begin(ctx context.Context, addr string, request []byte) (p *persistentConn, rest []byte, err error) {
	prefix := headStart(request)
	for p := t.takeIdle(addr); p != nil; p = t.takeIdle(addr) {
		if Begin(ctx, p.Conn, p.received, prefix) == nil {
			return p, request[len(prefix):], nil
		}
		p.Close()
	}
	nc, err := t.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	p = &persistentConn{Conn: nc}
	p.br = bufio.NewReader(p)
	return p, request, nil
}

// headStart returns the first two lines of a request: the request line, and the Host field.
func headStart(request []byte) []byte {
	end := 0
	for range 2 {
		end += bytes.IndexByte(request[end:], '\n') + 1
	}
	return request[:end]
}

// roundTrip writes the rest of a request and reads its response.
func (p *persistentConn) roundTrip(req *http.Request, rest []byte) (*http.Response, error) {
	if _, err := p.Write(rest); err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: p, N: maxResponseBytes}
	p.br.Reset(limited)
	resp, err := http.ReadResponse(p.br, req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if limited.N <= 0 {
		return nil, errResponseTooLong
	}
	if err != nil {
		return nil, err
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}

// takeIdle removes and returns the idle connection that was used last, or nil if there is none.
func (t *Transport) takeIdle(addr string) *persistentConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.idle[addr]
	if len(kept) == 0 {
		return nil
	}
	p := kept[len(kept)-1]
	t.removeIdle(addr, p)
	p.expire.Stop()
	return p
}

// putIdle keeps a connection for the next request.
func (t *Transport) putIdle(addr string, p *persistentConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle[addr]) >= maxIdlePerAddr {
		p.Close()
		return
	}
	if t.idle == nil {
		t.idle = map[string][]*persistentConn{}
	}
	t.idle[addr] = append(t.idle[addr], p)
	p.expire = time.AfterFunc(idleTimeout, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.removeIdle(addr, p) {
			p.Close()
		}
	})
}

// removeIdle removes a connection from the idle ones, and reports whether it was one. The caller holds t.mu.
func (t *Transport) removeIdle(addr string, p *persistentConn) bool {
	for i, other := range t.idle[addr] {
		if other == p {
			if t.idle[addr] = append(t.idle[addr][:i], t.idle[addr][i+1:]...); len(t.idle[addr]) == 0 {
				delete(t.idle, addr)
			}
			return true
		}
	}
	return false
}

// CloseIdleConnections closes the connections that no request uses. Clients call it by http.Client's method of that name.
func (t *Transport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, kept := range t.idle {
		for _, p := range kept {
			p.expire.Stop()
			p.Close()
		}
	}
	t.idle = nil
}
