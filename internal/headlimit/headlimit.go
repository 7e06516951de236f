// Package headlimit limits the lines in the heads of HTTP requests. Package net/http limits the bytes of a head only, and
// holds many times as much for a head of very many short fields.
package headlimit

import (
	"errors"
	"net"
	"net/http"
)

// MaxLines is how many lines a request's head may have.
const MaxLines = 64

// errTooManyLines ends a connection whose request has too many lines in its head.
var errTooManyLines = errors.New("too many header fields")

// Conn is a connection on which heads are limited. Its reads must not be concurrent. The http.Server that serves it must
// call Reset at the end of each request: see ConnState of http.Server.
type Conn struct {
	net.Conn
	head counter
}

// NewConn returns a connection that reads from nc, before its first request.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// Read is part of net.Conn. It fails once a head has too many lines.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.head.accept(p[:n]) {
		return 0, errTooManyLines
	}
	return n, err
}

// CloseWrite shuts down the writing side. Package net/http does so before it closes a connection with unread input, since
// its peer could lose the response otherwise.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Reset begins the next head if a connection's request has ended. It does nothing for connections of other types.
func Reset(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*Conn); ok && state == http.StateIdle {
		c.head = counter{}
	}
}

// counter counts the lines of a head, up to the empty line at its end. Empty lines before a request count.
type counter struct {
	lines    int
	ended    bool
	textSeen bool // in the current line
	begun    bool // a line with text was seen
}

// accept counts the next bytes, and reports whether the head has no more than MaxLines so far.
func (c *counter) accept(b []byte) bool {
	for _, char := range b {
		switch {
		case c.ended:
			return true
		case char == '\n':
			c.lines++
			c.ended = c.begun && !c.textSeen
			c.textSeen = false
		case char != '\r':
			c.textSeen, c.begun = true, true
		}
		if c.lines > MaxLines {
			return false
		}
	}
	return true
}
