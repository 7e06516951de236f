package choice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// plainLine is who comes first by looking through all, as it was before there was a heap.
func plainLine(wants []*want, now time.Duration) (best *want) {
	for _, w := range wants {
		if best != nil && w.n > 0 && (now < w.lostUntil) != (now < best.lostUntil) {
			if now < best.lostUntil {
				best = w
			}
			continue
		}
		if w.n > 0 && (best == nil || w.urgency > best.urgency || (w.urgency == best.urgency && w.since < best.since)) {
			best = w
		}
	}
	return best
}

// Whatever is asked, granted, lost and dropped in whatever order: the line has the same first, the same members and the same
// debts as looking through all, and its heaps stay whole.
func TestTheLineIsAsLookingThroughAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l line
		var plain []*want
		rng := rand.New(rand.NewPCG(1, 1))
		now := time.Second
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * ms
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				from := rapid.IntRange(0, 12).Draw(t, "from")
				w := l.want(from, 0, rng)
				if !slices.Contains(plain, w) {
					plain = append(plain, w)
				}
				if w.n == 0 {
					w.since = now
				}
				w.n, w.urgency = rapid.IntRange(0, 3).Draw(t, "n"), uint8(rapid.IntRange(0, 2).Draw(t, "urgency"))
				l.asked(w, now)
			case 2:
				if w := l.first(now); w != nil {
					w.n--
					w.owed = false
					l.moved(w, now)
				}
			case 3:
				if w := l.of[rapid.IntRange(0, 12).Draw(t, "lost")]; w != nil {
					w.lostUntil = now + time.Duration(rapid.IntRange(-1, 1).Draw(t, "until"))*lostRest
					l.moved(w, now)
				}
			case 4:
				plain = slices.DeleteFunc(plain, func(w *want) bool { return now-w.at >= askedLast })
				if l.drop(now-askedLast) != (len(plain) == 0) {
					t.Fatalf("%d are left", len(plain))
				}
			}
			if got, want := l.first(now), plainLine(plain, now); got != want {
				t.Fatalf("first is %+v, and should be %+v", got, want)
			}
			if len(l.of) != len(plain) {
				t.Fatalf("%d in the line, %d should be", len(l.of), len(plain))
			}
			for _, h := range []wantHeap{l.turn, l.lost} {
				for i, w := range h {
					if w.place != i || w.n <= 0 || l.of[w.from] != w {
						t.Fatalf("%+v at %d", w, i)
					}
				}
			}
		}
		var owed, answered int
		for _, w := range plain {
			if w.owed {
				owed++
			}
		}
		l.answer(func(*want) { answered++ })
		if owed != answered {
			t.Fatalf("%d are owed an answer, %d get one", owed, answered)
		}
	})
}

// BenchmarkKeeper is what an ask and its grant cost a keeper of whom so many ask.
func BenchmarkKeeper(b *testing.B) {
	for _, senders := range []int{30, 300, 3000, 30000} {
		b.Run(fmt.Sprint(senders), func(b *testing.B) {
			var l line
			now := time.Second
			rng := rand.New(rand.NewPCG(1, 1))
			for i := range senders {
				w := l.want(i, 0, rng)
				w.n, w.urgency, w.since = 1, uint8(i%3), now
				l.asked(w, now)
			}
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				w := l.first(now)
				w.n--
				l.moved(w, now)
				w = l.want(i%senders, 0, rng)
				w.n, w.since = 1, now
				l.asked(w, now)
				l.answer(func(*want) {})
				l.drop(now - askedLast*time.Duration(senders))
			}
		})
	}
}
