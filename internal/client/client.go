// Package client submits messages to a node as the platform's clients do: by ENQUEUE commands over RESP2, on one
// connection that is reopened after an error.
package client

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// AnswerTimeout is how long the platform's clients wait for an answer.
const AnswerTimeout = 400 * time.Millisecond

const maxAnswerBytes = 512

// Message is a message to submit.
type Message struct {
	ID, Class, Tenant, Key string // Tenant and Key may be empty
	Dest                   int
	TTL                    time.Duration
	Body                   []byte
}

// Answer is a node's answer to a message.
type Answer int

// The possible answers. After NoAnswer the message may have been accepted.
const (
	NoAnswer Answer = iota
	Accepted
	Busy
	Failed
)

// Client submits messages to a node over one connection. It is not safe for concurrent use.
type Client struct {
	addr    string
	timeout time.Duration
	nc      net.Conn
	br      *bufio.Reader
}

// New returns a client of the node at addr that waits for answers for timeout, or for AnswerTimeout if timeout is not
// positive.
func New(addr string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = AnswerTimeout
	}
	return &Client{addr: addr, timeout: timeout}
}

// Close closes the connection.
func (c *Client) Close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// Enqueue submits a message. After Busy, retryAfter is the delay that the node asks for before a retry, or 0 if it
// gives none.
func (c *Client) Enqueue(m Message) (a Answer, retryAfter time.Duration, err error) {
	fields := fmt.Sprintf("c=%s,d=%d,dest=%d", m.Class, m.TTL.Milliseconds(), m.Dest)
	if m.Tenant != "" {
		fields += ",t=" + m.Tenant
	}
	if m.Key != "" {
		fields += ",k=" + m.Key
	}
	line, err := c.roundTrip(EncodeCommand("ENQUEUE", "0000", m.ID, fields, string(m.Body)))
	if err != nil {
		return NoAnswer, 0, err
	}
	switch {
	case strings.HasPrefix(line, "+"):
		return Accepted, 0, nil
	case strings.HasPrefix(line, "-BUSY"):
		ms, _ := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY"))) // a missing number means no delay
		return Busy, time.Duration(ms) * time.Millisecond, nil
	case strings.HasPrefix(line, "-"):
		return Failed, 0, errors.New(line[1:])
	}
	return NoAnswer, 0, fmt.Errorf("%s sent an unexpected answer: %q", c.addr, line)
}

// Ping reports whether the node accepts clients.
func (c *Client) Ping() bool {
	line, err := c.roundTrip(EncodeCommand("PING"))
	return err == nil && line == "+PONG"
}

func (c *Client) roundTrip(request string) (line string, err error) {
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	if c.nc == nil {
		if c.nc, err = net.DialTimeout("tcp", c.addr, c.timeout); err != nil {
			return "", err
		}
		c.br = bufio.NewReaderSize(c.nc, maxAnswerBytes)
	}
	if err := c.nc.SetDeadline(time.Now().Add(c.timeout)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(c.nc, request); err != nil {
		return "", err
	}
	raw, err := c.br.ReadSlice('\n')
	return strings.TrimRight(string(raw), "\r\n"), err
}

// EncodeCommand encodes words as a RESP array of bulk strings.
func EncodeCommand(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}
