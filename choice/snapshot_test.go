package choice

import (
	"slices"
	"strings"
	"testing"
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
