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
	req := x.(*grantRequest)
	req.heapIndex = len(*h)
	*h = append(*h, req)
}
func (h *requestHeap) Pop() any {
	old := *h
	req := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return req
}

// want is what a sender asks for; new, after an ask of that number, if it has not asked before.
func (q *requestQueue) requestOf(from int, seq uint16, rng *rand.Rand) *grantRequest {
	req := q.byNode[from]
	if req == nil {
		if q.byNode == nil {
			q.byNode = map[int]*grantRequest{}
		}
		q.created++
		req = &grantRequest{from: from, requestSeq: seq, lastGrantSeq: uint16(rng.Uint32()), firstSeenOrder: q.created}
		q.byNode[from] = req
	}
	return req
}

// asked notes that a want was said again, and is owed an answer.
func (q *requestQueue) refresh(req *grantRequest, now time.Duration) {
	req.refreshedAt = now
	q.refreshes = append(q.refreshes, requestRefresh{req, now})
	if !req.answerOwed {
		req.answerOwed = true
		q.unanswered = append(q.unanswered, req)
	}
	q.reposition(req, now)
}

// moved puts a want where it belongs, after something of it has changed.
func (q *requestQueue) reposition(req *grantRequest, now time.Duration) {
	q.removeFromHeap(req)
	switch {
	case req.calls <= 0:
	case now < req.deferredUntil:
		req.heap = &q.deferred
		heap.Push(req.heap, req)
	default:
		req.heap = &q.ready
		heap.Push(req.heap, req)
	}
}

func (q *requestQueue) removeFromHeap(req *grantRequest) {
	if req.heap != nil {
		heap.Remove(req.heap, req.heapIndex)
		req.heap = nil
	}
}

// first is who comes first, nil for nobody. Who got no connection of late comes after the others.
func (q *requestQueue) head(now time.Duration) *grantRequest {
	var due []*grantRequest
	for _, req := range q.deferred {
		if now >= req.deferredUntil {
			due = append(due, req)
		}
	}
	for _, req := range due { // not while the heap is walked
		q.reposition(req, now)
	}
	switch {
	case len(q.ready) > 0:
		return q.ready[0]
	case len(q.deferred) > 0:
		return q.deferred[0]
	}
	return nil
}

// answer hands over those that are still owed an answer, in the order in which they asked.
func (q *requestQueue) answerPending(send func(*grantRequest)) {
	for _, req := range q.unanswered {
		if req.answerOwed && q.byNode[req.from] == req {
			req.answerOwed = false
			send(req)
		}
	}
	clear(q.unanswered)
	q.unanswered = q.unanswered[:0]
}

// drop forgets who has not asked again since a moment, and tells whether nobody is left.
func (q *requestQueue) expire(cutoff time.Duration) (empty bool) {
	expired := 0
	for ; expired < len(q.refreshes) && q.refreshes[expired].at <= cutoff; expired++ {
		if req := q.refreshes[expired].request; req.refreshedAt == q.refreshes[expired].at && q.byNode[req.from] == req {
			q.removeFromHeap(req)
			delete(q.byNode, req.from)
		}
	}
	if clear(q.refreshes[:expired]); expired > 0 {
		q.refreshes = q.refreshes[expired:]
	}
	return len(q.byNode) == 0
}
