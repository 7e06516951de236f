// Package outbox delivers notices of messages' final answers to the platform, and repeats each until it is
// accepted.
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
	maxPostBytes      = 64 << 10 // bytes of a post's body; maxNoticesPerPost ensures it
	maxNoticesPerPost = 32       // with the longest IDs and every byte escaped, a body stays under maxPostBytes

	agentTimeout  = 200 * time.Millisecond // a notice is overdue 300 ms after its message's deadline: two posts fit
	agentMaxPause = 50 * time.Millisecond

	serviceTimeout = 500 * time.Millisecond
	// If a list service took longer than serviceTimeout for every post and the timeout never grew, each post
	// would time out and be repeated for ever.
	serviceMaxTimeout = 4 * time.Second
)

// RetryPolicy determines how posts are repeated that were not accepted.
type RetryPolicy struct {
	Timeout, MaxTimeout time.Duration // of a post: it grows from Timeout up to MaxTimeout while posts time out
	MaxPause            time.Duration // pauses between posts grow up to MaxPause
}

// AgentRetryPolicy is for an agent on the node's own machine, which answers immediately and at no cost.
func AgentRetryPolicy() RetryPolicy { return RetryPolicy{agentTimeout, agentTimeout, agentMaxPause} }

// ServiceRetryPolicy is for a list service that the fleet shares and that may be slow.
func ServiceRetryPolicy() RetryPolicy {
	return RetryPolicy{serviceTimeout, serviceMaxTimeout, backoff.MaxDelay}
}

// Notice tells the platform how a message ended that was accepted and not delivered.
type Notice struct {
	Message *journal.Message `json:"-"`
	EndedAt time.Time        `json:"-"` // when this process learned of the final answer
	ID      string           `json:"id"`
	State   string           `json:"state"`
	AfterMS int64            `json:"after_ms,omitempty"`
}

// NewNotice returns the notice for a message that has its final answer.
func NewNotice(p *journal.Message) Notice {
	if p.Ended.Failed {
		return Notice{Message: p, EndedAt: time.Now(), ID: p.ID, State: "failed"}
	}
	return Notice{Message: p, EndedAt: time.Now(), ID: p.ID, State: "returned", AfterMS: p.Ended.RetryAfter.Milliseconds()}
}

// Run posts the notices from the channel, in order, until ctx ends. A post that is not accepted is repeated,
// because a duplicate notice does no harm, while a missing one loses its message. Accepted notices are passed
// to accepted; the journal keeps the others for the next start. After each post that timed out, the timeout of
// the next one doubles, up to the policy's limit; after each accepted one it halves.
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
				pause.Reset() // the address has changed, or the node stops
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

// post sends notices in one request, one JSON object per line.
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
