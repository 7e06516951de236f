package listwatch

import (
	"context"
	"net"
	"net/http"
	"time"

	"harrierramp/internal/connreuse"
)

const (
	dialRaceInterval = 75 * time.Millisecond // an agent on the same machine accepts at once
	maxRacingDials   = 4                     // concurrent dials for one connection
)

// NewAgentClient is like NewClient, for an agent on the node's own machine. A dial that hangs is not waited for but
// raced by further ones: final notices are due within 300 ms.
func NewAgentClient(source net.Addr) *http.Client { return newClient(racingDialer(source)) }

// NewAgentPostClient is like NewPostClient, for an agent on the node's own machine: see NewAgentClient.
func NewAgentPostClient(source net.Addr) *http.Client {
	return &http.Client{Transport: &connreuse.Transport{DialContext: racingDialer(source)}}
}

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// racingDialer returns a function that opens connections from source by raceDials.
func racingDialer(source net.Addr) dialFunc {
	dialer := &net.Dialer{LocalAddr: source, Timeout: dialTimeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		return raceDials(ctx, func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, network, addr) })
	}
}

// raceDials dials, and starts another dial every dialRaceInterval while none has succeeded, up to maxRacingDials. It
// returns the first connection, or an error once all started dials have failed. Surplus connections are closed.
func raceDials(ctx context.Context, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		conn net.Conn
		err  error
	}
	results := make(chan result)
	start := func() {
		go func() {
			conn, err := dial(ctx)
			select {
			case results <- result{conn, err}:
			case <-ctx.Done(): // another dial has won, or the caller has given up
				if err == nil {
					conn.Close()
				}
			}
		}()
	}
	start()
	started, pending := 1, 1
	ticker := time.NewTicker(dialRaceInterval)
	defer ticker.Stop()
	for {
		select {
		case r := <-results:
			if pending--; r.err == nil || pending == 0 {
				return r.conn, r.err
			}
		case <-ticker.C:
			if started < maxRacingDials {
				start()
				started++
				pending++
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
