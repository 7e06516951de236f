package model

import "time"

// queue is the events to come, by time and, at equal times, in the order in which they were asked for: so a run is the
// same whenever it is played again.
type queue struct {
	heap []pending
	seq  uint64
}

type pending struct {
	at  time.Duration
	seq uint64
	run func()
}

func (p pending) before(o pending) bool { return p.at < o.at || p.at == o.at && p.seq < o.seq }

func (q *queue) add(at time.Duration, run func()) {
	q.seq++
	q.heap = append(q.heap, pending{at, q.seq, run})
	for i := len(q.heap) - 1; i > 0; {
		parent := (i - 1) / 4
		if !q.heap[i].before(q.heap[parent]) {
			break
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

// next takes the first event out; there must be one.
func (q *queue) next() pending {
	first, last := q.heap[0], len(q.heap)-1
	q.heap[0] = q.heap[last]
	q.heap[last] = pending{}
	q.heap = q.heap[:last]
	for i := 0; ; {
		smallest := i
		for c := 4*i + 1; c <= 4*i+4 && c < last; c++ {
			if q.heap[c].before(q.heap[smallest]) {
				smallest = c
			}
		}
		if smallest == i {
			return first
		}
		q.heap[i], q.heap[smallest] = q.heap[smallest], q.heap[i]
		i = smallest
	}
}
