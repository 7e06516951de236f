package node

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"harrierramp/choice"
)

// What was learnt comes back as it was, with its age; what is cut, flipped, old or from the future does not, and nothing
// is larger than its room.
func TestWhatWasLearntComesBack(t *testing.T) {
	l, now := newLearnt(t.TempDir()), time.UnixMilli(time.Now().UnixMilli())
	if _, ok, err := l.read(now); ok || err != nil {
		t.Fatalf("nothing was written: %v, %v", ok, err)
	}
	want := choice.Memory{Dests: []choice.RememberedDest{{ID: 7, Average: 1.5, Baseline: 0.25, Routes: []choice.RememberedRoute{
		{Endpoint: "e", Response: 2, Usual: 0.5, Part: 0.75, Cold: time.Second},
	}}}}
	if err := l.write(want, now); err != nil {
		t.Fatal(err)
	}
	got, ok, err := l.read(now.Add(3 * time.Second))
	if err != nil || !ok || got.Age != 3*time.Second || fmt.Sprint(got.Memory) != fmt.Sprint(want) {
		t.Errorf("%+v, %v, %v", got, ok, err)
	}
	for _, at := range []time.Time{now.Add(-time.Second), now.Add(time.Hour)} {
		if _, ok, _ := l.read(at); ok {
			t.Errorf("used at %v of its writing", at.Sub(now))
		}
	}
	whole, err := os.ReadFile(l.path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range whole {
		bad := append([]byte(nil), whole...)
		bad[i] ^= 1
		if err := os.WriteFile(l.path, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, ok, err := l.read(now); ok && err == nil && fmt.Sprint(got.Memory) != fmt.Sprint(want) {
			t.Fatalf("byte %d flipped: %+v is used", i, got)
		}
		if err := os.WriteFile(l.path, whole[:i], 0o600); err != nil {
			t.Fatal(err)
		}
		if _, ok, err := l.read(now); ok || err == nil {
			t.Fatalf("cut at %d, and used", i)
		}
	}
	for i := range 300 {
		want.Dests = append(want.Dests, choice.RememberedDest{ID: i, Routes: []choice.RememberedRoute{{Endpoint: strings.Repeat("x", 100)}}})
	}
	if err := l.write(want, now); err == nil {
		t.Error("more than its room is written")
	}
}
