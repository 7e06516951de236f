package admission

import (
	"testing"
	"time"
)

const quotaTestStep = 50 * time.Microsecond // between the requests of the client that asks without pause

// playGreedyClient has one client ask without pause for a time, and another one now and then for the same. It returns how
// many requests of the second were refused, and the longest wait that it was told.
func playGreedyClient(p Priority, withQuota bool, span time.Duration) (asked, refused int, longest time.Duration) {
	limiter := NewLimiter(testRate, 1)
	var greedy, other Quota
	ask := func(now time.Duration, q *Quota) (bool, time.Duration) {
		if withQuota {
			if wait := q.Take(now, limiter, p); wait > 0 {
				return false, wait
			}
		}
		ok, wait, _ := limiter.Admit(now, p, 0)
		return ok, wait
	}
	nextOther := time.Duration(0)
	for now := time.Duration(0); now < span; now += quotaTestStep {
		ask(now, &greedy)
		if now < nextOther {
			continue
		}
		nextOther = now + 100*time.Millisecond
		asked++
		if ok, wait := ask(now, &other); !ok {
			refused++
			longest = max(longest, wait)
		}
	}
	return asked, refused, longest
}

// Guards against one client that asks without pause taking all of a server's rate: other clients are admitted at once.
func TestGreedyClientLeavesOthersTheirShare(t *testing.T) {
	for name, p := range map[string]Priority{"renewals": Renewal, "partial lists": PartialList, "full lists": FullList} {
		asked, refused, longest := playGreedyClient(p, true, 20*time.Second)
		if refused > 0 {
			t.Errorf("%s: %d of %d requests of another client refused, with a wait of %v", name, refused, asked, longest)
		}
	}
}

// The wait that a client is told is bounded, however many clients asked before.
func TestToldWaitIsBounded(t *testing.T) {
	bound := NewLimiter(testRate, 1).refillTime(maxReservations) + time.Second
	if _, _, longest := playGreedyClient(FullList, false, 20*time.Second); longest > bound {
		t.Errorf("a client is told to wait %v, at most %v would do for all", longest, bound)
	}
}

// A client within its quota is never held back by it, and one that has used it up gets the rest as it accrues.
func TestQuotaAccrues(t *testing.T) {
	limiter := NewLimiter(testRate, 1)
	var q Quota
	admitted := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		if q.Take(now, limiter, FullList) == 0 {
			admitted++
		}
	}
	const share = testRate * clientShare
	if want := int(share * (10 + clientBurst.Seconds())); admitted < want-2 || admitted > want+2 {
		t.Errorf("%d full lists in 10 s, want %d", admitted, want)
	}
	unlimited := NewLimiter(0, 1)
	if wait := q.Take(0, unlimited, FullList); wait != 0 {
		t.Errorf("a wait of %v without a rate", wait)
	}
}
