package listwatch

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"harrierramp/internal/testkit"
)

// responseHead is followed by a body that lasts until the connection is closed.
const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"

// fakeAgent returns a client of a discovery agent in virtual time. Each connection is served by the next function,
// all further ones by the last.
func fakeAgent(serve ...func(nc net.Conn)) *http.Client {
	var n atomic.Int64
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			i := min(int(n.Add(1)), len(serve)) - 1
			if serve[i] == nil { // the dial hangs
				ctx, cancel := context.WithTimeout(ctx, dialTimeout) // as in NewClient; the dial outlives the request
				defer cancel()
				<-ctx.Done()
				return nil, ctx.Err()
			}
			here, there := net.Pipe()
			go func() {
				defer there.Close()
				r := bufio.NewReader(there)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				serve[i](there)
				io.Copy(io.Discard, r) // stays open unless serve has closed it
			}()
			return here, nil
		},
	}}
}

// writePieces writes pieces with a pause before each, and then stays silent with its connection open.
func writePieces(pause time.Duration, pieces ...string) func(net.Conn) {
	return func(nc net.Conn) {
		for _, p := range pieces {
			time.Sleep(pause)
			if _, err := io.WriteString(nc, p); err != nil {
				return
			}
		}
	}
}

// inVirtualTime runs a test in virtual time, and leaves time for all pending timers and connections to end.
func inVirtualTime(t *testing.T, run func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		run(t)
		time.Sleep(time.Hour)
	})
}

func emptyLines(n int) []string { return slices.Repeat([]string{"\n"}, n) }

// Messages may be on one line each, indented, several in one chunk, or split anywhere. Empty lines between messages
// count as activity and those within a message do not.
func TestFollowFramesMessages(t *testing.T) {
	indented, err := json.MarshalIndent(List{Revision: 7, Complete: true, Members: membersOf("a", "b")}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	flat, err := json.Marshal(List{Revision: 8, Members: membersOf("c")})
	if err != nil {
		t.Fatal(err)
	}
	text := "\n" + string(indented) + "\n\n\r\n" + string(flat) + "\n" + string(flat) + string(flat) + "\n\n" +
		strings.ReplaceAll(string(indented), "\n", "\n\n") + "\r\n"
	for _, size := range []int{1, 7, 100, len(text)} {
		inVirtualTime(t, func(t *testing.T) {
			var pieces []string
			for c := range slices.Chunk([]byte(text), size) {
				pieces = append(pieces, string(c))
			}
			client := fakeAgent(func(nc net.Conn) {
				writePieces(0, append([]string{responseHead}, pieces...)...)(nc)
				nc.Close()
			})
			var got []int64
			heard := 0
			err := Follow(t.Context(), client, "http://agent/", FollowOptions{ResponseTimeout: time.Second, OnActivity: func() { heard++ }}, func(m []byte) error {
				var l List
				err := json.Unmarshal(m, &l)
				got = append(got, l.Revision)
				return err
			})
			if err == nil || !slices.Equal(got, []int64{7, 8, 8, 8, 7}) {
				t.Errorf("chunks of %d: %v, %v", size, got, err)
			}
			if heard != 5+4 {
				t.Errorf("chunks of %d: activity was reported %d times", size, heard)
			}
		})
	}
}

// A stream is silent since its last complete message or empty line, even if part of a message still arrives; before
// the first one, since the request was made.
func TestFollowTimesOutWithoutCompleteMessage(t *testing.T) {
	const timeout = 750 * time.Millisecond
	whole := `{"revision":1,"complete":true,"members":[]}` + "\n"
	half := `{"revision":2,"complete":false,` + "\n"
	drip := slices.Repeat([]string{"x"}, 1000)
	for name, c := range map[string]struct {
		serve func(net.Conn)
		want  time.Duration
	}{
		"the dial hangs":               {nil, timeout},
		"no response header":           {writePieces(0), timeout},
		"partial response header":      {writePieces(100*time.Millisecond, strings.Split(responseHead, "")...), timeout},
		"header and no line":           {writePieces(0, responseHead), timeout},
		"header and half a line":       {writePieces(0, responseHead, `{"revision":`), timeout},
		"a line, then nothing":         {writePieces(0, responseHead, whole), IdleTimeout},
		"a line, and half of the next": {writePieces(time.Second, responseHead[:20], responseHead[20:]+whole), timeout},
		"empty lines, then nothing":    {writePieces(2*time.Second, append([]string{}, emptyLines(3)...)...), timeout},
		"a message without end":        {writePieces(0, append([]string{responseHead, whole, `{"revision":2,"x":"`}, drip...)...), IdleTimeout},
		"empty lines within a message": {writePieces(time.Second, append([]string{responseHead}, emptyLines(50)...)...), timeout},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				began := time.Now()
				err := Follow(t.Context(), fakeAgent(c.serve), "http://agent/", FollowOptions{ResponseTimeout: timeout}, func([]byte) error { return nil })
				if took := time.Since(began); err == nil || took != c.want {
					t.Errorf("given up after %v, want %v: %v", took, c.want, err)
				}
			})
		})
	}
	for name, c := range map[string]struct {
		serve func(net.Conn)
		want  time.Duration
	}{
		"beats": {func(nc net.Conn) {
			io.WriteString(nc, responseHead+whole)
			writePieces(2*time.Second, emptyLines(10)...)(nc)
		}, 20*time.Second + IdleTimeout},
		"heartbeats within a message": {func(nc net.Conn) {
			io.WriteString(nc, responseHead+whole+half)
			writePieces(2*time.Second, emptyLines(10)...)(nc)
		}, IdleTimeout},
		"half a line per second": {func(nc net.Conn) { io.WriteString(nc, responseHead+whole); writePieces(time.Second, drip...)(nc) }, IdleTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				began := time.Now()
				err := Follow(t.Context(), fakeAgent(c.serve), "http://agent/", FollowOptions{ResponseTimeout: timeout}, func([]byte) error { return nil })
				if took := time.Since(began); err == nil || took != c.want {
					t.Errorf("given up after %v, want %v: %v", took, c.want, err)
				}
			})
		})
	}
}

// A truncated or malformed message must end the stream at once: its content has to be requested again.
func TestFollowEndsOnMalformedMessage(t *testing.T) {
	whole := `{"revision":1,"complete":true,"members":[]}` + "\n"
	for _, bad := range []string{
		"{\"revision\":2,\"comp\n" + whole, "{\"revision\":2,\n" + whole, "}\n", "xyz\n", "{\"revision\":2]\n", "{\"revision\":2}}\n",
		"[" + strings.Repeat(" ", maxMessage) + "]\n", strings.Repeat("[", 20000) + "\n", "\x00\n",
	} {
		inVirtualTime(t, func(t *testing.T) {
			client := fakeAgent(func(nc net.Conn) {
				io.WriteString(nc, responseHead+whole+bad)
			})
			began, got := time.Now(), 0
			err := Follow(t.Context(), client, "http://agent/", FollowOptions{ResponseTimeout: time.Second}, func([]byte) error {
				got++
				return nil
			})
			if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, errSilent) || time.Since(began) > 0 || got > 2 {
				t.Errorf("%.30q: %d messages, %v after %v", bad, got, err, time.Since(began))
			}
		})
	}
}

// Reading a stream must end whatever it contains, and each message that is handed on must be valid JSON.
func FuzzFollow(f *testing.F) {
	f.Add("\n{\"revision\":1}\n\n")
	f.Add("{\n \"revision\": 1,\n\n \"members\": []\n}\n[]\"x\"1")
	f.Add("{\"a\":\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		in := &messageReader{r: newBufferedReader(strings.NewReader(text)), onEmptyLine: func() {}}
		err := in.readAll(func(m []byte) error {
			if !json.Valid(m) {
				t.Errorf("%q is handed on", m)
			}
			return nil
		}, func() {})
		if err == nil {
			t.Error("it does not end")
		}
	})
}

// runWatcher runs a Watcher in virtual time and returns the revisions it reported, with the time of each.
func runWatcher(t *testing.T, client *http.Client, after int64, span time.Duration) (seen []string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	began := time.Now()
	w := Watcher{
		Log: slog.New(slog.DiscardHandler), Client: client, Servers: NewAddresses([]string{"agent"}), ResponseTimeout: AgentResponseTimeout,
		Backoff: AgentBackoff(), OnActivity: func() {}, OnServerChange: func() {},
		OnList: func(l List) { seen = append(seen, fmt.Sprint(l.Revision, " ", time.Since(began).Round(time.Second/2))) },
	}
	w.Run(ctx, after)
	return seen
}

// A change that a silent stream missed must be known within 6 s, even if the first new request gets no answer either.
// A change that a restored agent has must be known well within a second.
func TestChangeMissedBySilentWatchIsFoundInTime(t *testing.T) {
	list := func(revision int) string {
		return fmt.Sprintf("{\"revision\":%d,\"complete\":true,\"members\":[]}\n", revision)
	}
	inVirtualTime(t, func(t *testing.T) {
		client := fakeAgent(writePieces(0, responseHead, list(1)), writePieces(0), writePieces(0, responseHead, list(2)))
		if got := runWatcher(t, client, 0, 20*time.Second); len(got) < 2 || got[0] != "1 0s" || got[1] != "2 5.5s" {
			t.Errorf("got %v", got)
		}
	})
	// Discovery is back at restoredAt.
	for restoredAt := 5 * time.Second; restoredAt < 10*time.Second; restoredAt += 130 * time.Millisecond {
		inVirtualTime(t, func(t *testing.T) {
			began := time.Now()
			serveOnceRestored := func(nc net.Conn) {
				if time.Since(began) >= restoredAt {
					writePieces(0, responseHead, list(2))(nc)
				}
			}
			var knownAt time.Duration
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			w := Watcher{
				Log: slog.New(slog.DiscardHandler), Client: fakeAgent(writePieces(0, responseHead, list(1)), serveOnceRestored), Servers: NewAddresses([]string{"agent"}),
				ResponseTimeout: AgentResponseTimeout, Backoff: AgentBackoff(),
				OnActivity: func() {}, OnServerChange: func() {}, OnList: func(l List) {
					if l.Revision == 2 {
						knownAt = time.Since(began)
						cancel()
					}
				},
			}
			w.Run(ctx, 0)
			if late := knownAt - restoredAt; knownAt == 0 || late > time.Second {
				t.Errorf("restored at %v, known at %v", restoredAt, knownAt)
			}
		})
	}
}

// A lower revision is either a change that was overtaken by a later one, or a restart of discovery. Nothing may be
// used before the full list has been requested again, and then that list is used.
func TestLowerRevisionRequestsFullList(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		var requests []string
		answers := []string{
			`{"revision":9,"complete":true,"members":[]}` + "\n" + `{"revision":8,"complete":false,"members":[{"id":"a"}]}` + "\n",
			`{"revision":4,"complete":true,"members":[]}` + "\n" + `{"revision":5,"complete":false,"members":[]}` + "\n",
		}
		client := fakeAgent(writePieces(0, responseHead+answers[0]), writePieces(0, responseHead+answers[1]))
		transport := client.Transport
		client.Transport = roundTripper(func(r *http.Request) (*http.Response, error) {
			requests = append(requests, r.URL.Query().Get("after"))
			return transport.RoundTrip(r)
		})
		if got := runWatcher(t, client, 7, 3*time.Second); !slices.Equal(got, []string{"9 0s", "4 0s", "5 0s"}) {
			t.Errorf("got %v", got)
		}
		if !slices.Equal(requests, []string{"7", "0"}) {
			t.Errorf("requests after revisions %v", requests)
		}
	})
}

// After a change of addresses, nothing that the old server still sends may be used: the new server is asked for
// changes after the last revision that was used.
func TestAddressChangeIgnoresOldServer(t *testing.T) {
	list := func(revision int) string {
		return fmt.Sprintf("{\"revision\":%d,\"complete\":false,\"members\":[]}\n", revision)
	}
	inVirtualTime(t, func(t *testing.T) {
		var requests []string
		moved := make(chan struct{})
		old := func(nc net.Conn) {
			io.WriteString(nc, responseHead+list(5))
			<-moved
			writePieces(time.Millisecond, list(6), list(6))(nc) // the connection stays open for a while
		}
		client := fakeAgent(old, writePieces(10*time.Millisecond, responseHead, list(7)))
		transport := client.Transport
		client.Transport = roundTripper(func(r *http.Request) (*http.Response, error) {
			requests = append(requests, r.URL.Host+" "+r.URL.Query().Get("after"))
			return transport.RoundTrip(r)
		})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		at := NewAddresses([]string{"old"})
		var revisions []int64
		w := Watcher{
			Log: slog.New(slog.DiscardHandler), Client: client, Servers: at, ResponseTimeout: AgentResponseTimeout,
			Backoff: AgentBackoff(), OnActivity: func() {}, OnServerChange: func() {},
			OnList: func(l List) {
				if revisions = append(revisions, l.Revision); l.Revision == 5 {
					at.Set([]string{"new"})
					close(moved)
				}
			},
		}
		w.Run(ctx, 0)
		if !slices.Equal(revisions, []int64{5, 7}) || !slices.Equal(requests, []string{"old 0", "new 5"}) {
			t.Errorf("got %v, requests %v", revisions, requests)
		}
	})
}

// A dial outlives the request that started it and needs a timeout of its own. Without one, retries to a host that
// never answers would use up file descriptors.
func TestHangingDialsTimeOut(t *testing.T) {
	t.Parallel()
	addr := testkit.UnresponsiveAddr(t)
	client := NewClient(nil)
	for range 5 {
		if err := Follow(t.Context(), client, "http://"+addr+"/", FollowOptions{ResponseTimeout: 20 * time.Millisecond}, nil); err == nil {
			t.Fatal("the server answered")
		}
	}
	testkit.Eventually(t, "no dial is under way", func() bool { return testkit.CountPendingDials(t, addr) == 0 })
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
