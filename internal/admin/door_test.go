package admin

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"

	"harrierramp/internal/testkit"
)

// fakeOperators answers the door in a test's place.
type fakeOperators struct{ no error }

func (f fakeOperators) Acts(io.Writer) error { return nil }
func (f fakeOperators) NotReady() string {
	if f.no == nil {
		return ""
	}
	return f.no.Error()
}
func (f fakeOperators) Stats() []byte                         { return []byte("router.active:14|g\n") }
func (f fakeOperators) WriteMetrics(w io.Writer) error        { return f.no }
func (f fakeOperators) SetLogLevel(string) error              { return f.no }
func (f fakeOperators) Disable(context.Context, string) error { return f.no }
func (f fakeOperators) Enable(context.Context, string) error  { return f.no }
func (f fakeOperators) Members(context.Context) (*View, error) {
	return nil, ErrNoMembership
}
func (f fakeOperators) Drain(context.Context, bool) error { return f.no }

func openDoor(t *testing.T, n Operators) string {
	t.Helper()
	addr, _ := openDoors(t, n)
	return addr
}

func openDoors(t *testing.T, n Operators) (string, *door) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := NewDoor(ln, n, slog.New(slog.DiscardHandler))
	go d.Serve()
	t.Cleanup(d.Close)
	return ln.Addr().String(), d
}

func TestDoorAnswers(t *testing.T) {
	for _, c := range []struct {
		method, path string
		no           error
		want         int
	}{
		{"GET", "/ops/readiness", nil, 204},
		{"GET", "/ops/readiness", ErrNotServing, 503},
		{"GET", "/ops/stats", nil, 200},
		{"PUT", "/ops/endpoints/down?id=e", nil, 204},
		{"PUT", "/ops/endpoints/up?id=e", nil, 204},
		{"PUT", "/ops/endpoints/up?id=x", ErrUnknownEndpoint, 404},
		{"PUT", "/ops/endpoints/down?id=e", errors.New("no room on the disk"), 503},
		{"PUT", "/ops/endpoints/down", nil, 400},
		{"PUT", "/ops/endpoints/up?id=", nil, 400},
		{"GET", "/ops/endpoints/down?id=e", nil, 405},
		{"POST", "/ops/drain/start", nil, 405},
		{"PUT", "/ops/drain/start", nil, 204},
		{"PUT", "/ops/drain/stop", nil, 204},
		{"PUT", "/ops/drain", nil, 404},
		{"GET", "/metrics", nil, 200},
		{"PUT", "/ops/log/level?level=debug", nil, 204},
		{"PUT", "/ops/log/level", ErrLogLevel, 400},
		{"GET", "/", nil, 404},
	} {
		if got, body := testkit.Operate(t, openDoor(t, fakeOperators{c.no}), c.method, c.path); got != c.want {
			t.Errorf("%s %s: got %d %q, want %d", c.method, c.path, got, body, c.want)
		}
	}
}

// Callers that connect and say nothing, or half a call, keep nobody out, however many they are.
func TestDoorOutlastsUnfinishedCalls(t *testing.T) {
	door, d := openDoors(t, fakeOperators{})
	for i := range 3 * DoorPlaces {
		nc, err := net.Dial("tcp", door)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		if i%2 == 0 {
			if _, err := io.WriteString(nc, "GET /ops/sta"); err != nil {
				t.Fatal(err)
			}
		}
	}
	testkit.MustOperate(t, door, "GET", "/ops/readiness", 204) // accepted after all of them
	d.ln.mu.Lock()
	defer d.ln.mu.Unlock()
	if open := len(d.ln.open); open > DoorPlaces {
		t.Errorf("%d connections are open", open)
	}
}

func TestOneCallAConnection(t *testing.T) {
	nc, br := testkit.DialTest(t, openDoor(t, fakeOperators{}))
	if _, err := io.WriteString(nc, "GET /ops/stats HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(br) // to the close
	if err != nil || !strings.HasSuffix(string(answer), "router.active:14|g\n") {
		t.Errorf("got %q, %v", answer, err)
	}
}
