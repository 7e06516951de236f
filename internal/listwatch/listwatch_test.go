package listwatch

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
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

func TestLinesOfAWatch(t *testing.T) {
	url := serve(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "{1}\n\n\n{2}\n") })
	var got []string
	heard := 0
	err := Lines(t.Context(), http.DefaultClient, url, Silence, func() { heard++ }, func(l []byte) error {
		got = append(got, string(l))
		return nil
	})
	if !errors.Is(err, io.EOF) || heard != 4 || !slices.Equal(got, []string{"{1}", "{2}"}) {
		t.Errorf("got %q, heard %d lines, %v", got, heard, err)
	}
}

func TestAWatchThatIsRefusedTellsWhy(t *testing.T) {
	url := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no list yet"+strings.Repeat("x", 1<<20), http.StatusServiceUnavailable)
	})
	err := Lines(t.Context(), http.DefaultClient, url, Silence, nil, nil)
	var status *StatusError
	if !errors.As(err, &status) || status.Code != 503 || !strings.HasPrefix(status.Text, "no list yet") || len(status.Text) > 256 {
		t.Errorf("got %v", err)
	}
}

func TestALineThatIsRefusedEndsTheWatch(t *testing.T) {
	bad := errors.New("bad")
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "{1}\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	if err := Lines(t.Context(), http.DefaultClient, url, Silence, nil, func([]byte) error { return bad }); !errors.Is(err, bad) {
		t.Errorf("got %v", err)
	}
}

// A server whose machine is gone says nothing and closes nothing.
func TestASilentWatchIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
			here, there := net.Pipe()
			go io.Copy(io.Discard, there)
			return here, nil
		}}}
		defer client.CloseIdleConnections()
		if err := Lines(t.Context(), client, "http://silent/", Silence, nil, nil); !errors.Is(err, context.Canceled) {
			t.Errorf("got %v", err)
		}
	})
}
