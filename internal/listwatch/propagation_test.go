package listwatch

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"harrierramp/internal/backoff"
)

// propagationDeadline is the time by which a node must know a change, after discovery has it and can be reached, or
// after its stream fell silent.
const propagationDeadline = 6 * time.Second

// Whatever goes wrong with up to three requests in a row, a change that discovery has since the last of them must be
// known before the deadline. Discovery can be reached by any request after that one, and a stream that had delivered
// something was silent since then.
func TestChangeIsKnownBeforePropagationDeadline(t *testing.T) {
	list := func(revision int) string {
		return fmt.Sprintf("{\"revision\":%d,\"complete\":true,\"members\":[]}\n", revision)
	}
	writeAndClose := func(pieces ...string) func(net.Conn) {
		return func(nc net.Conn) { writePieces(0, pieces...)(nc); nc.Close() }
	}
	failures := []struct {
		name  string
		serve func(net.Conn)
	}{
		{"no dial", nil},
		{"an end", writeAndClose()},
		{"503", writeAndClose("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")},
		{"silence", writePieces(0)},
		{"a head", writePieces(0, responseHead)},
		{"half a list", writePieces(0, responseHead, list(1)[:10])},
		{"a list, then silence", writePieces(0, responseHead, list(1))},
		{"a list, then empty lines inside the next", writePieces(time.Second/2, append([]string{responseHead, list(1), list(2)[:10]}, emptyLines(20)...)...)},
		{"a list, then its end", writeAndClose(responseHead, list(1))},
	}
	for name, c := range map[string]struct {
		patience time.Duration
		pauses   func() backoff.Backoff
	}{
		"an agent":     {AgentResponseTimeout, AgentBackoff},
		"asked by one": {DiscoveryResponseTimeout, func() backoff.Backoff { return DiscoveryBackoff(1) }},
		"asked by 350": {DiscoveryResponseTimeout, func() backoff.Backoff { return DiscoveryBackoff(350) }},
	} {
		t.Run(name, func(t *testing.T) {
			var worst time.Duration
			var worstCase string
			run := func(which []int) {
				var names []string
				var serve []func(net.Conn)
				for _, i := range which {
					names, serve = append(names, failures[i].name), append(serve, failures[i].serve)
				}
				inVirtualTime(t, func(t *testing.T) {
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					var requests []time.Time
					var knownAt time.Time
					w := Watcher{
						Log: slog.New(slog.DiscardHandler), Client: fakeAgent(append(serve, writePieces(0, responseHead, list(9)))...),
						Servers: NewAddresses([]string{"agent"}), ResponseTimeout: c.patience, Backoff: c.pauses(), OnActivity: func() {}, OnServerChange: func() {},
						OnRequest: func() { requests = append(requests, time.Now()) },
						OnList: func(l List) {
							if l.Revision == 9 {
								knownAt = time.Now()
								cancel()
							}
						},
					}
					w.Run(ctx, 0)
					if knownAt.IsZero() || len(requests) <= len(serve) {
						t.Fatalf("%s: never known, after %d requests", strings.Join(names, "; "), len(requests))
					}
					took := knownAt.Sub(requests[len(serve)-1])
					if took > worst {
						worst, worstCase = took, strings.Join(names, "; ")
					}
					if took >= propagationDeadline {
						t.Errorf("%s: known after %v", strings.Join(names, "; "), took)
					}
				})
			}
			var sequences func(prefix []int)
			sequences = func(prefix []int) {
				if len(prefix) > 0 {
					run(prefix)
				}
				for i := 0; len(prefix) < 3 && i < len(failures); i++ {
					sequences(append(prefix[:len(prefix):len(prefix)], i))
				}
			}
			sequences(nil)
			t.Logf("worst case %v: %s", worst, worstCase)
		})
	}
}

// The parts of these times must add up to less than 6 s, with a margin for the response.
func TestTimeoutsFitPropagationDeadline(t *testing.T) {
	for name, sum := range map[string]time.Duration{
		"a silent stream, then a new request":                          IdleTimeout + maxSilenceBackoff,
		"an agent's silent stream, and no answer to the first request": IdleTimeout + maxAgentBackoff + AgentResponseTimeout + maxAgentBackoff,
		"a request just before discovery could be reached":             DiscoveryResponseTimeout + maxDiscoveryBackoff,
	} {
		if sum > propagationDeadline-250*time.Millisecond {
			t.Errorf("%s: %v", name, sum)
		}
	}
}
