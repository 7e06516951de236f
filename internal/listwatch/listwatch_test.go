package listwatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.URL
}

func TestFollowOverHTTP(t *testing.T) {
	url := serve(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "{\"n\":1}\n\n\n{\"n\":2}\n") })
	var got []string
	heard := 0
	err := Follow(t.Context(), http.DefaultClient, url, FollowOptions{ResponseTimeout: IdleTimeout, OnActivity: func() { heard++ }}, func(l []byte) error {
		got = append(got, string(l))
		return nil
	})
	if !errors.Is(err, io.EOF) || heard != 4 || !slices.Equal(got, []string{`{"n":1}`, `{"n":2}`}) {
		t.Errorf("got %q, heard %d lines, %v", got, heard, err)
	}
}

func TestFollowReturnsStatusError(t *testing.T) {
	url := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no list yet"+strings.Repeat("x", 1<<20), http.StatusServiceUnavailable)
	})
	err := Follow(t.Context(), http.DefaultClient, url, FollowOptions{ResponseTimeout: IdleTimeout}, nil)
	var status *StatusError
	if !errors.As(err, &status) || status.Code != 503 || !strings.HasPrefix(status.Text, "no list yet") || len(status.Text) > 256 {
		t.Errorf("got %v", err)
	}
}

func TestFollowEndsWhenMessageHandlerFails(t *testing.T) {
	bad := errors.New("bad")
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "{\"n\":1}\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	if err := Follow(t.Context(), http.DefaultClient, url, FollowOptions{ResponseTimeout: IdleTimeout}, func([]byte) error { return bad }); !errors.Is(err, bad) {
		t.Errorf("got %v", err)
	}
}

// A server whose machine is gone sends nothing and does not close the connection.
func TestFollowGivesUpOnSilentServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
			here, there := net.Pipe()
			go io.Copy(io.Discard, there)
			return here, nil
		}}}
		defer client.CloseIdleConnections()
		if err := Follow(t.Context(), client, "http://silent/", FollowOptions{ResponseTimeout: IdleTimeout}, nil); !errors.Is(err, errSilent) {
			t.Errorf("got %v", err)
		}
	})
}

// fixedPacer records the waits that servers asked for.
type fixedPacer struct{ hints []time.Duration }

func (f *fixedPacer) InitialDelay() time.Duration            { return 0 }
func (f *fixedPacer) RetryDelay(time.Duration) time.Duration { return time.Millisecond }
func (f *fixedPacer) RetryAfter(wait time.Duration) (time.Duration, bool) {
	f.hints = append(f.hints, wait)
	return wait, wait > 0 && wait < time.Minute
}

// A watcher that is told when to retry must ask the same server at that time, with its reservation. After a wait that
// is out of range it asks the next server.
func TestWatcherHonorsRetryAfter(t *testing.T) {
	var requests []string
	var times []time.Time
	answers := []string{"120", "", "x", "-5", "0", "99999999999999999999", "9223372036854775807"}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests, times = append(requests, r.URL.RawQuery), append(times, time.Now())
		if n := len(requests) - 1; n < len(answers) {
			if answers[n] != "" {
				w.Header().Set("Retry-After-Ms", answers[n])
				w.Header().Set("Registry-Turn", "77")
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, `{"revision":3,"complete":true,"members":[]}`)
	}))
	defer srv.Close()
	ctx, cancel := context.WithCancel(t.Context())
	pacer, retries, serverChanges, counted := &fixedPacer{}, 0, 0, 0
	w := Watcher{
		Log: slog.New(slog.DiscardHandler), Client: http.DefaultClient, Servers: NewAddresses([]string{srv.Listener.Addr().String()}), Pacer: pacer,
		PaceStart: true, OnRequest: func() { counted++ }, OnRetryLater: func() { retries++ }, OnServerChange: func() { serverChanges++ }, OnActivity: func() {}, OnList: func(List) { cancel() },
	}
	w.Run(ctx, 0)
	if len(requests) != len(answers)+1 || counted != len(requests) || retries != 1 || serverChanges != len(answers)-1 || len(pacer.hints) != 6 {
		t.Fatalf("%d requests, %d counted, %d to be retried, %d server changes, %v", len(requests), counted, retries, serverChanges, pacer.hints)
	}
	if !strings.Contains(requests[1], "turn=77") || strings.Contains(requests[2], "turn") || times[1].Sub(times[0]) < 120*time.Millisecond {
		t.Errorf("requests %q after %v", requests, times[1].Sub(times[0]))
	}
}
