package choice

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// requestQueue holds the requests of the nodes at the coordinator of a destination. It is ordered by
// grantRequest.before, in heaps, so that a request, a grant and the end of a call cost O(log n) for n requesting
// nodes.
//
// Invariants: each node has one request. A request for at least one call is in one of the heaps: in deferred as long
// as deferredUntil has not passed, and in ready otherwise. Each request is in refreshes, in the order in which the
// requests were last received; an entry that is out of date may precede it.
type requestQueue struct {
	byNode     map[int]*grantRequest // by number of the requesting node
	ready      requestHeap           // requests that can be granted now
	deferred   requestHeap           // requests of nodes that recently got no connection
	refreshes  []requestRefresh
	unanswered []*grantRequest // requests that may have had no answer yet
	created    int             // number of requests created so far
}

// requestRefresh records when a request was received.
type requestRefresh struct {
	request *grantRequest
	at      time.Duration
}

// requestHeap is a heap for container/heap, ordered by grantRequest.before.
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

// requestOf returns the request of a node. If the node has none, it creates one whose last sequence number is seq.
// Grant numbers start at random, so that a node can tell them from those of an earlier process of the coordinator.
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

// refresh records that a request was received again, and that an answer is due.
func (q *requestQueue) refresh(req *grantRequest, now time.Duration) {
	req.refreshedAt = now
	q.refreshes = append(q.refreshes, requestRefresh{req, now})
	if !req.answerOwed {
		req.answerOwed = true
		q.unanswered = append(q.unanswered, req)
	}
	q.reposition(req, now)
}

// reposition moves a request to the heap and position where it belongs, after it has changed.
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

// removeFromHeap removes a request from the heap that it is in, if any.
func (q *requestQueue) removeFromHeap(req *grantRequest) {
	if req.heap != nil {
		heap.Remove(req.heap, req.heapIndex)
		req.heap = nil
	}
}

// head is the request to grant next, nil for none. A node that recently got no connection comes after all others: its
// list may be stale, and then its calls and trials say nothing about the destination.
func (q *requestQueue) head(now time.Duration) *grantRequest {
	var due []*grantRequest
	for _, req := range q.deferred {
		if now >= req.deferredUntil {
			due = append(due, req)
		}
	}
	for _, req := range due { // separately, because it changes the heap
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

// answerPending passes the requests that still need an answer to send, in the order in which they were received.
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

// expire drops the requests that were not received after the cutoff, and reports whether none is left.
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
