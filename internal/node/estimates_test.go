package node

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/config"
)

// Estimates are restored unchanged, with their age. A file that is truncated, corrupt, too old or from the
// future is not used, and no file exceeds the size limit.
func TestEstimatesAreRestoredUnlessCorruptOrOld(t *testing.T) {
	store, now := newEstimateStore(config.Config{StateDir: t.TempDir()}), time.UnixMilli(time.Now().UnixMilli())
	if _, ok, err := store.read(now); ok || err != nil {
		t.Fatalf("nothing was written, got %v, %v", ok, err)
	}
	want := choice.Memory{Dests: []choice.RememberedDest{{ID: 7, Average: 1.5, Baseline: 0.25, Routes: []choice.RememberedRoute{
		{Endpoint: "e", PenalizedLatency: 2, SmoothedLatency: 0.5, LimitShare: 0.75, ColdFor: time.Second},
	}}}}
	if err := store.write(want, now); err != nil {
		t.Fatal(err)
	}
	got, ok, err := store.read(now.Add(3 * time.Second))
	if err != nil || !ok || got.Age != 3*time.Second || fmt.Sprint(got.Memory) != fmt.Sprint(want) {
		t.Errorf("%+v, %v, %v", got, ok, err)
	}
	for _, at := range []time.Time{now.Add(-time.Second), now.Add(time.Hour)} {
		if _, ok, _ := store.read(at); ok {
			t.Errorf("used %v after it was written", at.Sub(now))
		}
	}
	intact, err := os.ReadFile(store.path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range intact {
		corrupt := append([]byte(nil), intact...)
		corrupt[i] ^= 1
		if err := os.WriteFile(store.path, corrupt, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, ok, err := store.read(now); ok && err == nil && fmt.Sprint(got.Memory) != fmt.Sprint(want) {
			t.Fatalf("byte %d flipped, and %+v is used", i, got)
		}
		if err := os.WriteFile(store.path, intact[:i], 0o600); err != nil {
			t.Fatal(err)
		}
		if _, ok, err := store.read(now); ok || err == nil {
			t.Fatalf("truncated to %d bytes, and used", i)
		}
	}
	for i := range int(store.maxBytes/100) + 1 {
		want.Dests = append(want.Dests, choice.RememberedDest{ID: i, Routes: []choice.RememberedRoute{{Endpoint: strings.Repeat("x", 100)}}})
	}
	if err := store.write(want, now); err == nil {
		t.Error("a file above the size limit was written")
	}
}

// The estimates of 1,024 destinations with one endpoint each, with long names and all values set, fit on the
// disk that the platform provides, and are restored.
func TestEstimatesOf1024DestinationsFitOnDisk(t *testing.T) {
	cfg := choice.Settings{Classes: []choice.Class{{Deadline: time.Minute}}, Slots: 2000, MaxOpenMessages: 4000, WeightIsRate: true}
	s := choice.New(cfg, 1)
	var listed choice.ListUpdate
	var arrivals, ends []choice.Event
	for i := range 1024 {
		name := fmt.Sprintf("%036d", i)
		listed.Entries = append(listed.Entries, choice.Entry{Endpoint: name, Dest: i, Weight: 100})
		arrivals = append(arrivals, choice.MessageArrived{ID: name, Dest: i, Deadline: time.Hour + time.Minute})
		ends = append(ends, choice.AttemptEnded{ID: name, Endpoint: name, Took: time.Second / 7, MessageDone: true})
	}
	s.Step(time.Hour, append([]choice.Event{listed}, arrivals...))
	s.Step(time.Hour+time.Second/7, ends)
	store := newEstimateStore(config.Config{StateDir: t.TempDir()})
	if err := store.write(s.Remember(), time.Now()); err != nil {
		t.Fatal(err)
	}
	got, ok, err := store.read(time.Now())
	if err != nil || !ok || len(got.Dests) != 1024 || got.Dests[1023].Average == 0 || got.Dests[1023].Routes[0].SmoothedLatency == 0 {
		t.Errorf("%d destinations, %v, %v", len(got.Dests), ok, err)
	}
	if info, err := os.Stat(store.path); err != nil {
		t.Error(err)
	} else {
		t.Logf("%d bytes of %d", info.Size(), store.maxBytes)
	}
}
