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
type requestQueue struct {
	byNode     map[int]*grantRequest
	ready      requestHeap
	deferred   requestHeap
	refreshes  []requestRefresh
	unanswered []*grantRequest // an answer
	created    int             // of all that ever asked
}

type requestRefresh struct {
	request *grantRequest
	at      time.Duration
}

// wantHeap is a heap by want.before.
type requestHeap []*grantRequest

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *requestHeap) Push(x any) {
	w := x.(*grantRequest)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}
func (h *requestHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}

// want is what a sender asks for; new, after an ask of that number, if it has not asked before.
func (l *requestQueue) requestOf(from int, seq uint16, rng *rand.Rand) *grantRequest {
	w := l.byNode[from]
	if w == nil {
		if l.byNode == nil {
			l.byNode = map[int]*grantRequest{}
		}
		l.created++
		w = &grantRequest{from: from, seq: seq, lastGrantSeq: uint16(rng.Uint32()), firstSeenOrder: l.created}
		l.byNode[from] = w
	}
	return w
}

// asked notes that a want was said again, and is owed an answer.
func (l *requestQueue) refresh(w *grantRequest, now time.Duration) {
	w.refreshedAt = now
	l.refreshes = append(l.refreshes, requestRefresh{w, now})
	if !w.answerOwed {
		w.answerOwed = true
		l.unanswered = append(l.unanswered, w)
	}
	l.reposition(w, now)
}

// moved puts a want where it belongs, after something of it has changed.
func (l *requestQueue) reposition(w *grantRequest, now time.Duration) {
	l.removeFromHeap(w)
	switch {
	case w.calls <= 0:
	case now < w.deferredUntil:
		w.heap = &l.deferred
		heap.Push(w.heap, w)
	default:
		w.heap = &l.ready
		heap.Push(w.heap, w)
	}
}

func (l *requestQueue) removeFromHeap(w *grantRequest) {
	if w.heap != nil {
		heap.Remove(w.heap, w.heapIndex)
		w.heap = nil
	}
}

// first is who comes first, nil for nobody. Who got no connection of late comes after the others.
func (l *requestQueue) first(now time.Duration) *grantRequest {
	var due []*grantRequest
	for _, w := range l.deferred {
		if now >= w.deferredUntil {
			due = append(due, w)
		}
	}
	for _, w := range due { // not while the heap is walked
		l.reposition(w, now)
	}
	switch {
	case len(l.ready) > 0:
		return l.ready[0]
	case len(l.deferred) > 0:
		return l.deferred[0]
	}
	return nil
}

// answer hands over those that are still owed an answer, in the order in which they asked.
func (l *requestQueue) answerPending(send func(*grantRequest)) {
	for _, w := range l.unanswered {
		if w.answerOwed && l.byNode[w.from] == w {
			w.answerOwed = false
			send(w)
		}
	}
	clear(l.unanswered)
	l.unanswered = l.unanswered[:0]
}

// drop forgets who has not asked again since a moment, and tells whether nobody is left.
func (l *requestQueue) expire(cutoff time.Duration) (empty bool) {
	expired := 0
	for ; expired < len(l.refreshes) && l.refreshes[expired].at <= cutoff; expired++ {
		if w := l.refreshes[expired].request; w.refreshedAt == l.refreshes[expired].at && l.byNode[w.from] == w {
			l.removeFromHeap(w)
			delete(l.byNode, w.from)
		}
	}
	if clear(l.refreshes[:expired]); expired > 0 {
		l.refreshes = l.refreshes[expired:]
	}
	return len(l.byNode) == 0
}
