package listwatch

import (
	"testing"
	"time"

	"harrierramp/internal/backoff"
)

// busiestSecond is the most asks within a second that a fleet makes whose every ask fails, all from the same moment on.
func busiestSecondOfFleet(fleet int, throughDiscovery bool) int {
	return busiestSecond(fleet, func() backoff.Backoff {
		if throughDiscovery {
			return DiscoveryBackoff(fleet)
		}
		return AgentBackoff()
	})
}

func busiestSecond(fleet int, newBackoff func() backoff.Backoff) int {
	const length = 120
	counts := make([]int, length*10)
	for range fleet {
		retry := newBackoff()
		if retry.Max == 0 { // all ask at once, and hear
			counts[0]++
			continue
		}
		for at := retry.Next(); at < length*time.Second; at += retry.Next() {
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

// Up to the size from which the pauses would be longer than a change may go unheard, the asks of all together hang little on
// the fleet's size. Beyond it they are spread over the time that there is, and never come more often than a pause allows.
func TestAFleetThatFailsInCommonDoesNotAskInStep(t *testing.T) {
	most := int(maxDiscoveryBackoff / retrySpacing)
	small, large := busiestSecondOfFleet(most/2, true), busiestSecondOfFleet(most, true)
	if large > 2*small {
		t.Errorf("%d nodes ask up to %d times a second, %d nodes %d times", most, large, most/2, small)
	}
	for _, fleet := range []int{80, 400, 1024} {
		if busy, bound := busiestSecondOfFleet(fleet, true), int(1.15*float64(fleet)*float64(time.Second)/float64(maxDiscoveryBackoff/2)); busy > bound {
			t.Errorf("%d nodes ask up to %d times a second, and %d if they share the time", fleet, busy, bound)
		}
	}
	if all := busiestSecondOfFleet(400, false); all < 2*busiestSecondOfFleet(400, true) {
		t.Errorf("asks that are no work for discovery are held back as well: %d a second", all)
	}
}

func TestBackoffResetsOnSuccess(t *testing.T) {
	retry := DiscoveryBackoff(10)
	first := retry.Next()
	for range 5 {
		retry.Next()
	}
	if late := retry.Next(); late < 4*first/2 {
		t.Errorf("a pause of %v after %v: it does not grow", late, first)
	}
	retry.Reset()
	if again := retry.Next(); again > 10*retrySpacing {
		t.Errorf("the first pause after a success is %v, more than %v", again, 10*retrySpacing)
	}
}
