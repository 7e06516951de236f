package listwatch

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	dialRaceInterval = 75 * time.Millisecond // a connection to an agent on the same machine is up at once
	maxRacingDials   = 4                     // dials beside each other
)

// NewAgentClient is NewClient for an agent on the node's own machine. A connection to it that does not come up is not waited
// for: final answers are due within 300 ms.
func NewAgentClient(source net.Addr) *http.Client {
	dialer := &net.Dialer{LocalAddr: source, Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 2, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return raceDials(ctx, func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, network, addr) })
		},
	}}
}

// race dials, and again every raceAfter beside the dials that have not come up, raceMost at most. It returns the first
// connection, or an error once every dial that was begun has failed. Other connections are closed.
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
			case <-ctx.Done(): // another one has won, or nobody waits any more
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
