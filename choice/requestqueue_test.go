package choice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// headByScan finds the request to grant next by a linear scan.
func headByScan(requests []*grantRequest, now time.Duration) (best *grantRequest) {
	for _, req := range requests {
		if best != nil && req.calls > 0 && (now < req.deferredUntil) != (now < best.deferredUntil) {
			if now < best.deferredUntil {
				best = req
			}
			continue
		}
		if req.calls > 0 && (best == nil || req.urgency > best.urgency || (req.urgency == best.urgency && req.waitingSince < best.waitingSince)) {
			best = req
		}
	}
	return best
}

// After any order of requests, grants, connect failures and expiries, the queue must have the same head, the same
// requests and the same pending answers as a linear scan, and its heaps must be consistent.
func TestRequestQueueMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q requestQueue
		var scanned []*grantRequest
		rng := rand.New(rand.NewPCG(1, 1))
		now := time.Second
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * ms
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				from := rapid.IntRange(0, 12).Draw(t, "from")
				w := q.requestOf(from, 0, rng)
				if !slices.Contains(scanned, w) {
					scanned = append(scanned, w)
				}
				if w.calls == 0 {
					w.waitingSince = now
				}
				w.calls, w.urgency = rapid.IntRange(0, 3).Draw(t, "n"), uint8(rapid.IntRange(0, 2).Draw(t, "urgency"))
				q.refresh(w, now)
			case 2:
				if w := q.head(now); w != nil {
					w.calls--
					w.answerOwed = false
					q.reposition(w, now)
				}
			case 3:
				if w := q.byNode[rapid.IntRange(0, 12).Draw(t, "lost")]; w != nil {
					w.deferredUntil = now + time.Duration(rapid.IntRange(-1, 1).Draw(t, "until"))*connectFailureDeferral
					q.reposition(w, now)
				}
			case 4:
				scanned = slices.DeleteFunc(scanned, func(w *grantRequest) bool { return now-w.refreshedAt >= requestTTL })
				if q.expire(now-requestTTL) != (len(scanned) == 0) {
					t.Fatalf("%d requests are left", len(scanned))
				}
			}
			if got, want := q.head(now), headByScan(scanned, now); got != want {
				t.Fatalf("the head is %+v, want %+v", got, want)
			}
			if len(q.byNode) != len(scanned) {
				t.Fatalf("%d requests in the queue, want %d", len(q.byNode), len(scanned))
			}
			for _, h := range []requestHeap{q.ready, q.deferred} {
				for i, w := range h {
					if w.heapIndex != i || w.calls <= 0 || q.byNode[w.from] != w {
						t.Fatalf("inconsistent heap: %+v at %d", w, i)
					}
				}
			}
		}
		var owed, answered int
		for _, w := range scanned {
			if w.answerOwed {
				owed++
			}
		}
		q.answerPending(func(*grantRequest) { answered++ })
		if owed != answered {
			t.Fatalf("%d answers are due, %d were given", owed, answered)
		}
	})
}

// BenchmarkRequestQueue measures a request and its grant at a coordinator with the given number of requesting nodes.
func BenchmarkRequestQueue(b *testing.B) {
	for _, senders := range []int{30, 300, 3000, 30000} {
		b.Run(fmt.Sprint(senders), func(b *testing.B) {
			var q requestQueue
			now := time.Second
			rng := rand.New(rand.NewPCG(1, 1))
			for i := range senders {
				w := q.requestOf(i, 0, rng)
				w.calls, w.urgency, w.waitingSince = 1, uint8(i%3), now
				q.refresh(w, now)
			}
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				w := q.head(now)
				w.calls--
				q.reposition(w, now)
				w = q.requestOf(i%senders, 0, rng)
				w.calls, w.waitingSince = 1, now
				q.refresh(w, now)
				q.answerPending(func(*grantRequest) {})
				q.expire(now - requestTTL*time.Duration(senders))
			}
		})
	}
}
