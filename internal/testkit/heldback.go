package testkit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// heldBackWork is how long a HeldBackPartner works on a request: a response to an earlier one comes sooner.
const heldBackWork = 2 * time.Millisecond

// HeldBackPartner is a partner whose system holds back small writes, as it does unless a program asks for TCP_NODELAY.
// It answers its requests in turn with Good and with Bad. Straight after Good it sends Extra, while nothing else waits on
// the connection.
type HeldBackPartner struct {
	*Partner
	Good, Bad, Extra string

	mu       sync.Mutex
	requests int
	extras   int
}

// NewHeldBackPartner starts a partner that serves until the test ends.
func NewHeldBackPartner(t *testing.T, good, bad, extra string) *HeldBackPartner {
	h := &HeldBackPartner{Good: good, Bad: bad, Extra: extra}
	h.Partner = NewPartner(t, h.respond)
	return h
}

// Extras returns how many times Extra was sent.
func (h *HeldBackPartner) Extras() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.extras
}

func (h *HeldBackPartner) respond(nc net.Conn, _ *http.Request) bool {
	h.mu.Lock()
	good := h.requests%2 == 0
	h.requests++
	h.mu.Unlock()
	time.Sleep(heldBackWork)
	if nc.(*net.TCPConn).SetNoDelay(false) != nil {
		return false
	}
	if !good {
		_, err := io.WriteString(nc, h.Bad)
		return err == nil
	}
	if _, err := io.WriteString(nc, h.Good); err != nil {
		return false
	}
	if !IsQuiet(nc) {
		return true
	}
	h.mu.Lock()
	h.extras++
	h.mu.Unlock()
	_, err := io.WriteString(nc, h.Extra)
	return err == nil
}

// IsQuiet reports whether nothing waits on a connection, neither bytes nor an end.
func IsQuiet(nc net.Conn) (quiet bool) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return quiet && err == nil
}
