package node

import (
	"testing"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/backoff"
)

// busiestSecond is the most asks within a second that a fleet makes whose every ask fails, all from the same moment on.
func busiestSecond(fleet int, asks bool) int {
	return busiest(fleet, func() backoff.Backoff { return askPauses(choice.Settings{Fleet: fleet, AskForList: asks}) })
}

func busiest(fleet int, pauses func() backoff.Backoff) int {
	const length = 120
	counts := make([]int, length*10)
	for range fleet {
		pause := pauses()
		if pause.Last == 0 { // all ask at once, and hear
			counts[0]++
			continue
		}
		for at := pause.Next(); at < length*time.Second; at += pause.Next() {
			counts[at/(100*time.Millisecond)]++
		}
	}
	most, sum := 0, 0
	for i, n := range counts {
		if sum += n; i >= 10 {
			sum -= counts[i-10]
		}
		most = max(most, sum)
	}
	return most
}

func TestAFleetThatFailsInCommonDoesNotAskInStep(t *testing.T) {
	small, large := busiestSecond(80, true), busiestSecond(400, true)
	if large > 2*small {
		t.Errorf("400 nodes ask up to %d times a second, 80 nodes %d times", large, small)
	}
	if all := busiestSecond(400, false); all < 2*large {
		t.Errorf("asks that are no work for discovery are held back as well: %d against %d a second", all, large)
	}
}

func TestPausesEndWithSuccess(t *testing.T) {
	pause := askPauses(choice.Settings{Fleet: 80, AskForList: true})
	first := pause.Next()
	for range 5 {
		pause.Next()
	}
	if late := pause.Next(); late < 4*first/2 {
		t.Errorf("a pause of %v after %v: it does not grow", late, first)
	}
	pause.Reset()
	if again := pause.Next(); again > 80*askSpacing {
		t.Errorf("the first pause after a success is %v, more than %v", again, 80*askSpacing)
	}
}
