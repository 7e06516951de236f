package choice

import (
	"slices"
	"strings"
	"testing"
)

// A sender that has been carried over decides what the one it comes from would have decided, at any moment: slots,
// waits, budgets, gates, turns and what operators have taken out all come along.
func TestRestoredSenderDecidesTheSame(t *testing.T) {
	for seed := range uint64(4) {
		one, other := runRandomEvents(t, seed, 800), runRandomEventsRestoring(t, seed, 800, 7)
		if len(one.log) == 0 || !slices.Equal(one.log, other.log) {
			i := 0
			for i < min(len(one.log), len(other.log)) && one.log[i] == other.log[i] {
				i++
			}
			t.Errorf("seed %d: they part at action %d of %d", seed, i, len(one.log))
		}
	}
}

// What can't have been written by Carry is an error, not a crash.
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
			t.Errorf("%.40q was taken", text)
		}
	}
}
