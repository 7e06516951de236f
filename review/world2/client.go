package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func randomHex(bytes int) string {
	b := make([]byte, bytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// NewMsg registers a message that is about to be handed in.
func (w *World) NewMsg(class string, dest int, ttl time.Duration, body []byte, keyed bool) *Msg {
	m := &Msg{ID: randomHex(16), Class: class, Dest: dest, TTL: ttl, Body: body}
	if keyed {
		m.Key = randomHex(8)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.msgs[m.ID] = m
	w.order = append(w.order, m)
	return m
}

// Encode is the message as a command.
func (m *Msg) Encode(again string) []byte {
	fields := fmt.Sprintf("c=%s,t=karama,d=%d,dest=%d%s", m.Class, m.TTL.Milliseconds(), m.Dest, again)
	if m.Key != "" {
		fields = fmt.Sprintf("c=%s,t=karama,d=%d,k=%s,dest=%d%s", m.Class, m.TTL.Milliseconds(), m.Key, m.Dest, again)
	}
	words := []string{"ENQUEUE", "0000000000000000", m.ID, fields, string(m.Body)}
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, x := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(x), x)
	}
	return []byte(b.String())
}

// Clients keep connections to a node and open more when all are busy.
type Clients struct {
	w    *World
	addr string
	mu   sync.Mutex
	free []*clientConn
}

type clientConn struct {
	nc net.Conn
	r  *bufio.Reader
}

// NewClients returns the clients of the node at addr.
func (w *World) NewClients(addr string) *Clients { return &Clients{w: w, addr: addr} }

// Hand hands a message in and waits 400 ms for the answer.
func (c *Clients) Hand(m *Msg) string {
	c.mu.Lock()
	var k *clientConn
	if len(c.free) > 0 {
		k = c.free[len(c.free)-1]
		c.free = c.free[:len(c.free)-1]
	}
	c.mu.Unlock()
	line := c.try(m, k)
	if line == "closed" { // a close between requests crossed this one: once more on a new connection
		line = c.try(m, nil)
	}
	if line == "closed" {
		line = "none"
	}
	c.w.mu.Lock()
	m.Answer, m.AnsweredAt = line, c.w.now()
	c.w.logLocked("answer: %s %s dest %d: %s", m.ID, m.Class, m.Dest, line)
	c.w.mu.Unlock()
	return line
}

func (c *Clients) try(m *Msg, k *clientConn) string {
	reused := k != nil
	if k == nil {
		nc, err := net.DialTimeout("tcp", c.addr, 400*time.Millisecond)
		if err != nil {
			return "unreachable"
		}
		k = &clientConn{nc: nc, r: bufio.NewReader(nc)}
	}
	c.w.mu.Lock()
	m.SentAt = c.w.now()
	c.w.mu.Unlock()
	k.nc.SetDeadline(time.Now().Add(400 * time.Millisecond))
	_, err := k.nc.Write(m.Encode(""))
	if err == nil {
		var line string
		if line, err = k.r.ReadString('\n'); err == nil {
			c.mu.Lock()
			c.free = append(c.free, k)
			c.mu.Unlock()
			return strings.TrimSpace(line)
		}
	}
	k.nc.Close()
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		return "none"
	}
	if reused {
		return "closed"
	}
	return "none"
}

// Close closes the connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.free {
		k.nc.Close()
	}
	c.free = nil
}
