package listwatch

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// membersOf returns serving endpoints with the given IDs.
func membersOf(ids ...string) (out []Member) {
	for _, id := range ids {
		out = append(out, Member{ID: id, Phase: "SERVING"})
	}
	return out
}

const testGrace = 1200 * time.Millisecond

// newTestValidator returns a validator that knows six endpoints at revision 10 and may ask servers at the addresses.
func newTestValidator(t *testing.T, addrs ...string) *Validator {
	t.Helper()
	var older, doubted atomic.Int64
	return NewValidator(Validator{
		Log: slog.New(slog.NewTextHandler(t.Output(), nil)), Client: http.DefaultClient, Servers: NewAddresses(addrs),
		HoldFor: testGrace * 3 / 4, Revision: 10, RejectedLists: &older, HeldLists: &doubted,
	}, slices.Values(membersOf("a", "b", "c", "d", "e", "f")))
}

func TestValidatorRejectsOlderList(t *testing.T) {
	d := newTestValidator(t, "127.0.0.1:1")
	if _, err := d.Check(t.Context(), "127.0.0.1:1", List{Revision: 9, Complete: true}); !errors.Is(err, errOlderList) {
		t.Errorf("an older list is not rejected: %v", err)
	}
	if _, err := d.Check(t.Context(), "127.0.0.1:1", List{Revision: 10}); err != nil {
		t.Errorf("the same revision is rejected: %v", err)
	}
	if got := d.RejectedLists.Load(); got != 1 {
		t.Errorf("%d lists rejected, want 1", got)
	}
}

func TestValidatorHoldsListThatLacksMostEndpoints(t *testing.T) {
	var answer atomic.Value
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, answer.Load())
	}))
	t.Cleanup(srv.Close)
	const later = `{"revision":12,"complete":true,"members":[{"id":"a"},{"id":"b"},{"id":"c"},{"id":"d"}]}`
	const same = `{"revision":11,"complete":true,"members":[{"id":"a"}]}`
	for name, c := range map[string]struct {
		told   List
		answer string
		want   int64 // the revision that is used
		held   bool
	}{
		"missing for a moment":               {List{Revision: 11, Complete: true, Members: membersOf("a")}, later, 12, false},
		"missing for good":                   {List{Revision: 11, Complete: true, Members: membersOf("a")}, same, 11, true},
		"empty, and no valid second opinion": {List{Revision: 11, Complete: true}, "{", 11, true},
		"half missing":                       {List{Revision: 11, Complete: true, Members: membersOf("a", "b", "c")}, later, 11, false},
		"deleted by name":                    {List{Revision: 11, Members: []Member{{ID: "a", Phase: "DELETED"}, {ID: "b", Phase: "DELETED"}, {ID: "c", Phase: "DELETED"}, {ID: "d", Phase: "DELETED"}}}, later, 11, false},
		"replaced by as many more":           {List{Revision: 11, Complete: true, Members: membersOf("u", "v", "w", "x", "y", "z")}, later, 12, false},
	} {
		answer.Store(c.answer)
		d := newTestValidator(t, srv.Listener.Addr().String())
		began := time.Now()
		got, err := d.Check(t.Context(), "127.0.0.1:1", c.told)
		took := time.Since(began)
		if err != nil || got.Revision != c.want {
			t.Errorf("%s: revision %d is used, %v", name, got.Revision, err)
		}
		if c.held != (took >= d.HoldFor) || d.HoldFor >= testGrace {
			t.Errorf("%s: held for %v, limit %v, grace %v", name, took, d.HoldFor, testGrace)
		}
		if d.Revision != got.Revision {
			t.Errorf("%s: known revision is %d", name, d.Revision)
		}
	}
}
