package outbox

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"harrierramp/internal/journal"
	"harrierramp/internal/listwatch"
)

// A backlog of notices, as after a long outage of the platform, is delivered completely in bodies within the
// protocol's size limit, and each notice is reported as accepted once.
func TestNoticeBacklogStaysWithinBodyLimit(t *testing.T) {
	const count = 100
	sizes := make(chan int, count)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			t.Error(err)
		}
		sizes <- len(body)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer srv.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()

	var batch []Notice
	for range count {
		batch = append(batch, NewNotice(&journal.Message{ID: strings.Repeat("<", 256), Ended: &journal.Ending{RetryAfter: time.Second}}))
	}
	notices := make(chan []Notice, 1)
	notices <- batch
	accepted := 0
	Run(ctx, slog.New(slog.DiscardHandler), srv.Client(), listwatch.NewAddresses([]string{srv.Listener.Addr().String()}), AgentRetryPolicy(), notices, func(done []Notice) {
		if accepted += len(done); accepted >= count {
			cancel()
		}
	})
	if accepted != count {
		t.Errorf("%d of %d notices accepted", accepted, count)
	}
	close(sizes)
	for n := range sizes {
		if n > maxPostBytes {
			t.Errorf("a body of %d bytes is over the limit", n)
		}
	}
}

// A list service that takes longer than the first timeout for every post gets a notice twice at most, not for
// ever.
func TestSlowListServiceGetsLongerTimeout(t *testing.T) {
	posts := make(chan struct{}, 100)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		posts <- struct{}{}
		time.Sleep(serviceTimeout * 3 / 2)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer srv.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	notices := make(chan []Notice, 1)
	notices <- []Notice{NewNotice(&journal.Message{ID: "a", Ended: &journal.Ending{}})}
	accepted := 0
	Run(ctx, slog.New(slog.DiscardHandler), srv.Client(), listwatch.NewAddresses([]string{srv.Listener.Addr().String()}), ServiceRetryPolicy(), notices, func(done []Notice) {
		accepted += len(done)
		cancel()
	})
	if accepted != 1 || len(posts) > 2 {
		t.Errorf("%d accepted after %d posts", accepted, len(posts))
	}
}
