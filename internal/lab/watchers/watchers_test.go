package watchers

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"harrierramp/internal/registry"
)

// A real list server that takes few a second serves all who begin at once, turned or not; who keeps a turn is hardly ever
// told to come later.
func TestServerServesAllStartingWatchers(t *testing.T) {
	for name, turned := range map[string]bool{"turned": true, "all at once": false} {
		t.Run(name, func(t *testing.T) {
			log := slog.New(slog.DiscardHandler)
			s, err := registry.New(registry.Config{
				Bootstrap: true, StateDir: t.TempDir(), Options: registry.DefaultOptions(), MaxWatchers: 1000, StartRate: 250,
			}, log)
			if err != nil {
				t.Fatal(err)
			}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			front := s.HTTPServer(s.Handler(), 1000, log)
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 2)
			go func() { ended <- front.Serve(ln) }()
			go func() { ended <- s.Run(ctx) }()
			defer func() {
				cancel()
				front.Close()
				for range 2 {
					if err := <-ended; err != nil && err != http.ErrServerClosed {
						t.Error(err)
					}
				}
			}()
			const count = 200
			r, err := Run(t.Context(), Options{Servers: []string{ln.Addr().String()}, Count: count, Timeout: 20 * time.Second, PaceStart: turned})
			if err != nil || r.Listed != count {
				t.Fatalf("%+v, %v", r, err)
			}
			if t.Logf("%+v", r); turned && r.RetryLaters > count/10 || !turned && r.RetryLaters < count/4 || r.Requests < count+r.RetryLaters {
				t.Errorf("%d asks, %d told to come later", r.Requests, r.RetryLaters)
			}
		})
	}
}

func TestNonLoopbackServerIsRejected(t *testing.T) {
	for _, addr := range []string{"10.0.0.1:80", "example:80"} {
		if _, err := Run(t.Context(), Options{Servers: []string{addr}, Count: 1, Timeout: time.Second}); err == nil {
			t.Errorf("%s is watched", addr)
		}
	}
}
