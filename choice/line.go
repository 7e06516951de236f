package choice

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// line holds those who ask a keeper, so that an ask, a grant and the end of a call cost the logarithm of how many ask and not
// their number. Who comes first is decided by want.before.
//
// Invariants: one want for each sender; those that could use a call stand in one of the heaps, under lost as long as they
// got no connection of late; said has every want, in the order in which it was last said, some of them twice.
type line struct {
	of    map[int]*want
	turn  wantHeap
	lost  wantHeap
	said  []said
	owed  []*want // an answer
	count int     // of all that ever asked
}

type said struct {
	w  *want
	at time.Duration
}

// wantHeap is a heap by want.before.
type wantHeap []*want

func (h wantHeap) Len() int           { return len(h) }
func (h wantHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h wantHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *wantHeap) Push(x any) {
	w := x.(*want)
	w.place = len(*h)
	*h = append(*h, w)
}
func (h *wantHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}

// want is what a sender asks for; new, after an ask of that number, if it has not asked before.
func (l *line) want(from int, seq uint16, rng *rand.Rand) *want {
	w := l.of[from]
	if w == nil {
		if l.of == nil {
			l.of = map[int]*want{}
		}
		l.count++
		w = &want{from: from, seq: seq, grantSeq: uint16(rng.Uint32()), number: l.count}
		l.of[from] = w
	}
	return w
}

// asked notes that a want was said again, and is owed an answer.
func (l *line) asked(w *want, now time.Duration) {
	w.at = now
	l.said = append(l.said, said{w, now})
	if !w.owed {
		w.owed = true
		l.owed = append(l.owed, w)
	}
	l.moved(w, now)
}

// moved puts a want where it belongs, after something of it has changed.
func (l *line) moved(w *want, now time.Duration) {
	l.leave(w)
	switch {
	case w.n <= 0:
	case now < w.lostUntil:
		w.in = &l.lost
		heap.Push(w.in, w)
	default:
		w.in = &l.turn
		heap.Push(w.in, w)
	}
}

func (l *line) leave(w *want) {
	if w.in != nil {
		heap.Remove(w.in, w.place)
		w.in = nil
	}
}

// first is who comes first, nil for nobody. Who got no connection of late comes after the others.
func (l *line) first(now time.Duration) *want {
	var back []*want
	for _, w := range l.lost {
		if now >= w.lostUntil {
			back = append(back, w)
		}
	}
	for _, w := range back { // not while the heap is walked
		l.moved(w, now)
	}
	switch {
	case len(l.turn) > 0:
		return l.turn[0]
	case len(l.lost) > 0:
		return l.lost[0]
	}
	return nil
}

// answer hands over those that are still owed an answer, in the order in which they asked.
func (l *line) answer(tell func(*want)) {
	for _, w := range l.owed {
		if w.owed && l.of[w.from] == w {
			w.owed = false
			tell(w)
		}
	}
	clear(l.owed)
	l.owed = l.owed[:0]
}

// drop forgets who has not asked again since a moment, and tells whether nobody is left.
func (l *line) drop(before time.Duration) (empty bool) {
	k := 0
	for ; k < len(l.said) && l.said[k].at <= before; k++ {
		if w := l.said[k].w; w.at == l.said[k].at && l.of[w.from] == w {
			l.leave(w)
			delete(l.of, w.from)
		}
	}
	if clear(l.said[:k]); k > 0 {
		l.said = l.said[k:]
	}
	return len(l.of) == 0
}
