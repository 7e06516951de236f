// Package client hands messages in as the platform's clients do: ENQUEUE over RESP2, on one connection that is opened
// again when it breaks.
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

// Patience is how long a client of the platform waits for an answer.
const AnswerTimeout = 400 * time.Millisecond

const maxAnswerBytes = 512

// Message is one message to hand in.
type Message struct {
	ID, Class, Tenant, Key string // Tenant and Key may be empty
	Dest                   int
	TTL                    time.Duration
	Body                   []byte
}

// Answer is what a node says to a message.
type Answer int

// The answers. After Unheard the message may have been taken on.
const (
	NoAnswer Answer = iota
	Accepted
	Busy
	Failed
)

// Client is one connection to a node. It is not safe for use by many goroutines.
type Client struct {
	addr    string
	timeout time.Duration
	nc      net.Conn
	br      *bufio.Reader
}

// New makes a client of the node at addr that waits so long for an answer; 0 for Patience.
func New(addr string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = AnswerTimeout
	}
	return &Client{addr: addr, timeout: timeout}
}

// Close ends the connection.
func (c *Client) Close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// Enqueue hands a message in. wait is how long the node asks to be left alone after Busy, 0 if it says nothing of that.
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
		ms, _ := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY"))) // no number is no wait
		return Busy, time.Duration(ms) * time.Millisecond, nil
	case strings.HasPrefix(line, "-"):
		return Failed, 0, errors.New(line[1:])
	}
	return NoAnswer, 0, fmt.Errorf("%s says %q", c.addr, line)
}

// Ping tells whether the node takes clients.
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

// Request writes words as an array of bulk strings.
func EncodeCommand(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}
