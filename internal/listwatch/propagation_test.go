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

// countsAsTold is how long after discovery had a change and could be reached, or after a watch fell silent, a node is held to
// know it.
const propagationDeadline = 6 * time.Second

// Whatever up to three asks in a row meet, a change that discovery has from the last of them on is known before it counts
// as told: discovery can be reached by whoever asks after that one, and a watch that it has told something was silent from
// there on.
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
						t.Fatalf("%s: never known, after %d asks", strings.Join(names, "; "), len(requests))
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
			t.Logf("at the worst after %v: %s", worst, worstCase)
		})
	}
}

// The sums of the parts that make up those times, each under the 6 s by what an answer takes.
func TestTimeoutsFitPropagationDeadline(t *testing.T) {
	for name, sum := range map[string]time.Duration{
		"a silent watch, then an ask anew":                         IdleTimeout + maxSilenceBackoff,
		"an agent's silent watch, and a first ask that meets none": IdleTimeout + maxAgentBackoff + AgentResponseTimeout + maxAgentBackoff,
		"an ask that began just before discovery could be reached": DiscoveryResponseTimeout + maxDiscoveryBackoff,
	} {
		if sum > propagationDeadline-250*time.Millisecond {
			t.Errorf("%s: %v", name, sum)
		}
	}
}
