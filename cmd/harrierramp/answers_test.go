package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"harrierramp/internal/testkit"
)

const (
	errorResponse  = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	maxExtraDelay  = 2 * time.Millisecond // from a response to the bytes that an endpoint sends straight after it
	quickInterval  = 5 * time.Millisecond // between a client's requests, so that connections are used again at once
	answersTestRNG = 1                    // seed
)

// Guards against giving a message the outcome of another one: endpoints send a second copy of a good response, or noise,
// straight after it. Every accepted message is delivered by its own response, or gets its own final answer.
func TestBytesAfterAnswersAreNoOutcome(t *testing.T) {
	playStrangers(t, buildProgram(t), strangers{limit: usualLimits, interval: quickInterval, mayRefuse: true, endpoint: newVerboseEndpoint})
}

// newVerboseEndpoint starts an endpoint that sends more than belongs to most of its good responses, while nothing else
// waits on the connection, and answers a quarter of the calls with an error. On half of its connections the system holds
// small writes back.
func newVerboseEndpoint(t *testing.T, l *faultLedger) string {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(answersTestRNG, 0))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	return testkit.NewPartner(t, func(nc net.Conn, req *http.Request) bool {
		id := req.Header.Get("X-Trace-Id")
		l.recordCall(id, true)
		if nc.RemoteAddr().(*net.TCPAddr).Port%2 == 0 {
			if err := nc.(*net.TCPConn).SetNoDelay(false); err != nil {
				return false
			}
		}
		kind := draw(4)
		if kind == 0 {
			_, err := io.WriteString(nc, errorResponse)
			return err == nil
		}
		extra := []string{"", testkit.DeliveredResponse, "\r\nnoise\x00\r\n\r\n"}[kind-1]
		if draw(2) == 0 { // in one piece
			_, err := io.WriteString(nc, testkit.DeliveredResponse+extra)
			l.recordDelivery(id)
			return err == nil
		}
		if _, err := io.WriteString(nc, testkit.DeliveredResponse); err != nil {
			return false
		}
		l.recordDelivery(id)
		time.Sleep(time.Duration(draw(int(maxExtraDelay))))
		if !testkit.IsQuiet(nc) {
			return true
		}
		_, err := io.WriteString(nc, extra)
		return err == nil
	}).Addr()
}

// Guards against being killed for memory by the answers of endpoints: all slots get an answer of short header lines, or
// many interim ones, that stops before its end.
func TestAnswersDoNotExhaustMemory(t *testing.T) {
	program := buildProgram(t)
	var lines strings.Builder
	for i := range 11 << 10 {
		fmt.Fprintf(&lines, "k%x:\r\n", i)
	}
	for name, text := range map[string]string{
		"header lines":      "HTTP/1.1 500 Internal Server Error\r\n" + lines.String(),
		"interim responses": strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+lines.String()[:4<<10]+"\r\n", 7) + "HTTP/1.1 500 Internal Server Error\r\n" + lines.String(),
		"trailers":          "HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\nTrailer: k0\r\n\r\n0\r\n" + lines.String(),
	} {
		t.Run(name, func(t *testing.T) {
			playStrangers(t, program, strangers{limit: nodeLimits{memoryMB: 32, sockets: 1024}, workers: 256, interval: quickInterval, mayRefuse: true, endpoint: func(t *testing.T, l *faultLedger) string {
				return testkit.NewPartner(t, func(nc net.Conn, req *http.Request) bool {
					l.recordCall(req.Header.Get("X-Trace-Id"), true)
					io.WriteString(nc, text) // an error means that the node has ended the connection
					return testkit.NeverRespond(nc, req)
				}).Addr()
			}})
		})
	}
}
