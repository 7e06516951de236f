// Package outbox hands notices of final answers to the platform until they are taken.
package outbox

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"harrierramp/internal/backoff"
	"harrierramp/internal/journal"
	"harrierramp/internal/listwatch"
)

const (
	maxPostBytes      = 64 << 10 // of a post, which maxNotices keeps to
	maxNoticesPerPost = 32       // in one post: with the longest ids, every byte escaped, its body stays under 64 KiB

	agentTimeout  = 200 * time.Millisecond // a notice is overdue 300 ms after its message's time: there is time for two posts
	agentMaxPause = 50 * time.Millisecond

	serviceTimeout = 500 * time.Millisecond
	// A list service that took longer than serviceTimeout for every post would never be heard to take any, and be given
	// each again and again.
	serviceMaxTimeout = 4 * time.Second
)

// Pace is how posts are repeated that are not taken.
type RetryPolicy struct {
	Timeout, MaxTimeout time.Duration // a post is given up after Timeout, later ones after up to Patience
	MaxPause            time.Duration // pauses between posts grow up to this
}

// AgentPace is for an agent on the node's own machine, which answers at once and at no cost.
func AgentRetryPolicy() RetryPolicy { return RetryPolicy{agentTimeout, agentTimeout, agentMaxPause} }

// ServicePace is for a list service that a fleet shares and that may be slow.
func ServiceRetryPolicy() RetryPolicy {
	return RetryPolicy{serviceTimeout, serviceMaxTimeout, backoff.MaxDelay}
}

// Notice tells the platform how a message ended that was taken on and not delivered.
type Notice struct {
	Message *journal.Message `json:"-"`
	ID      string           `json:"id"`
	State   string           `json:"state"`
	AfterMS int64            `json:"after_ms,omitempty"`
}

// NewNotice is the notice of a message that has its final answer.
func NewNotice(p *journal.Message) Notice {
	if p.Ended.Failed {
		return Notice{Message: p, ID: p.ID, State: "failed"}
	}
	return Notice{Message: p, ID: p.ID, State: "returned", AfterMS: p.Ended.RetryAfter.Milliseconds()}
}

// Run posts the notices that come, in order, until ctx ends. A post that is not taken is made again, for a
// notice that comes twice does no harm and one that never comes loses its message. What was taken goes to
// done; the journal keeps the rest for the next start. After each post that was given up for its time, one waits twice as
// long for the next, as far as the pace allows.
func Run(
	ctx context.Context, log *slog.Logger, client *http.Client, addrs *listwatch.Addresses, policy RetryPolicy, notices <-chan []Notice,
	accepted func([]Notice),
) {
	timeout := policy.Timeout
	for serverIndex := 0; ; {
		var batch []Notice
		select {
		case batch = <-notices:
		case <-ctx.Done():
			return
		}
		pause := backoff.Backoff{Initial: backoff.InitialDelay, Max: policy.MaxPause}
		for len(batch) > 0 {
			chunk := batch[:min(len(batch), maxNoticesPerPost)]
			addr, addrCtx, cancel := addrs.Pick(ctx, serverIndex)
			err := post(addrCtx, client, addr, chunk, timeout)
			switch {
			case err == nil:
				batch = batch[len(chunk):]
				pause.Reset()
				timeout = max(timeout/2, policy.Timeout)
				accepted(chunk)
			case addrCtx.Err() != nil:
				pause.Reset() // it has moved, or the node ends
			default:
				serverIndex++
				if errors.Is(err, context.DeadlineExceeded) {
					timeout = min(2*timeout, policy.MaxTimeout)
				}
				log.Debug("notices_not_taken", "addr", addr, "count", len(chunk), "err", err)
				backoff.Sleep(addrCtx, pause.Next())
			}
			cancel()
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// post makes one post of notices, an object a line.
func post(ctx context.Context, client *http.Client, addr string, batch []Notice, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body bytes.Buffer
	lines := json.NewEncoder(&body)
	for _, n := range batch {
		if err := lines.Encode(n); err != nil {
			return err
		}
	}
	_, err := listwatch.Post(ctx, client, "http://"+addr+"/reports", body.Bytes())
	return err
}
