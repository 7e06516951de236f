package choice

import (
	"bytes"
	"encoding/json"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// A Sender that is restored from a snapshot must decide as the original would have, at any moment: the snapshot must
// contain slots, waits, budgets, gates, the order of keys, and disabled endpoints.
func TestRestoredSenderDecidesTheSame(t *testing.T) {
	for seed := range uint64(4) {
		one, other := runRandomEvents(t, seed, 800), runRandomEventsRestoring(t, seed, 800, 7)
		if len(one.log) == 0 || !slices.Equal(one.log, other.log) {
			i := 0
			for i < min(len(one.log), len(other.log)) && one.log[i] == other.log[i] {
				i++
			}
			t.Errorf("seed %d: the Senders differ from action %d of %d on", seed, i, len(one.log))
		}
	}
}

// Data that Snapshot cannot have written must be an error and not cause a panic.
func TestRestoreRejectsInvalidSnapshots(t *testing.T) {
	w := runRandomEvents(t, 3, 300)
	raw, err := w.sender.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	whole := string(raw)
	for _, text := range []string{
		"", "{}", whole[:len(whole)/2], strings.Replace(whole, `"Active":`, `"Active":[99],"x":`, 1),
		strings.Replace(whole, `"Open":`, `"Open":[100000],"x":`, 1), strings.Replace(whole, `"Random":"`, `"Random":"AA`, 1),
	} {
		if _, err := Restore(w.cfg, 1, []byte(text)); err == nil {
			t.Errorf("%.40q was accepted", text)
		}
	}
}

// Builds of other versions write the fields in another order and layout, and with fields that this one does not know.
func TestRestoreReadsOtherLayouts(t *testing.T) {
	w := runRandomEvents(t, 3, 300)
	raw, err := w.sender.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		t.Fatal(err)
	}
	for _, dest := range tree["Dests"].([]any) {
		fields := dest.(map[string]any)["Fields"].(map[string]any)
		fields["of a \"later\" build, {\\"] = []any{map[string]any{"a": "}],\""}, nil, 1.5}
	}
	indented, err := json.MarshalIndent(tree, "", "\t") // sorts the fields
	if err != nil {
		t.Fatal(err)
	}
	other, err := Restore(w.cfg, 1, indented)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := other.Snapshot(); err != nil || !bytes.Equal(again, raw) {
		t.Errorf("the state differs after another layout: %v", err)
	}
}

// A figure that is no number can't be handed over; the error names its field.
func TestSnapshotRejectsInvalidNumbers(t *testing.T) {
	w := runRandomEvents(t, 3, 300)
	w.sender.failureRate = math.Inf(1)
	if _, err := w.sender.Snapshot(); err == nil || !strings.Contains(err.Error(), "failing") {
		t.Errorf("got %v", err)
	}
}

// FuzzRestore checks that no input makes Restore panic.
func FuzzRestore(f *testing.F) {
	s := New(testSettings(), 1)
	s.Step(time.Hour, []Event{fullList(Entry{Endpoint: "e", Dest: 1, Weight: 10}), MessageArrived{ID: "m", Dest: 1, Deadline: time.Hour + time.Minute}})
	raw, err := s.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		Restore(testSettings(), 1, raw) // an error is as good as a Sender
	})
}
