package fairqueue

import (
	"container/heap"
	"time"
)

// turn is one flow's place in the queue. It belongs to the core from request until finish.
type turn struct {
	start    time.Duration // start tag: turns are granted in the order of their start tags
	finish   time.Duration // finish tag of the last turn
	sequence uint64        // order of requests with equal start tags
}

// core decides which flow gets the next turn, by start-time fair queueing. Virtual time passes by the time that turns
// use, divided by the number of flows that want one. A flow's turn starts where its last one finished in virtual time, or
// wakeCredit before the present, whichever is later, and the earliest start is next. So flows that always want a turn
// share the time evenly, one that comes back after a pause overtakes them, and a stream of new flows delays them only by
// their number. core does no I/O and reads no clock; the caller passes the time since some origin. It is not safe for
// concurrent use.
type core struct {
	parallel int // turns that may be held at once
	held     int
	share    float64       // of the time of `parallel` processors that all turns together may use
	burst    time.Duration // processor time that may be used at once after a pause

	queue      turnQueue
	sequence   uint64
	virtual    time.Duration // virtual time
	budget     time.Duration // processor time that may be used now; negative after an expensive turn
	refilledAt time.Duration
}

func newCore(parallel int, share float64, burst time.Duration) *core {
	return &core{parallel: parallel, share: share, burst: burst, budget: burst}
}

// request queues a turn.
func (c *core) request(t *turn) {
	t.start = max(t.finish, c.virtual-wakeCredit)
	t.sequence = c.sequence
	c.sequence++
	heap.Push(&c.queue, t)
}

// next returns the turn to grant at time now, which counts as held from then on. It returns nil if there is none; wait
// is then the time until there may be one, or 0 if that depends on a call of request or finish.
func (c *core) next(now time.Duration) (granted *turn, wait time.Duration) {
	if len(c.queue) == 0 || c.held >= c.parallel {
		return nil, 0
	}
	c.refill(now)
	if c.budget <= 0 {
		return nil, max(time.Duration(float64(-c.budget)/(c.share*float64(c.parallel))), minThrottle)
	}
	granted = heap.Pop(&c.queue).(*turn)
	c.virtual = max(c.virtual, granted.start)
	c.held++
	return granted, 0
}

// finish ends a turn that used the processor for the given time.
func (c *core) finish(t *turn, used time.Duration) {
	c.held--
	t.finish = t.start + used
	c.virtual += used / time.Duration(len(c.queue)+c.held+1)
	c.budget -= used
}

// charge books processor time that a flow used outside its turns.
func (c *core) charge(t *turn, used time.Duration) {
	t.finish += used
	c.budget -= used
}

func (c *core) refill(now time.Duration) {
	gained := time.Duration(float64(now-c.refilledAt) * c.share * float64(c.parallel))
	c.budget = min(c.budget+gained, c.burst*time.Duration(c.parallel))
	c.refilledAt = now
}

// turnQueue is a heap of turns, the next one first.
type turnQueue []*turn

func (q turnQueue) Len() int { return len(q) }

func (q turnQueue) Less(i, j int) bool {
	if q[i].start != q[j].start {
		return q[i].start < q[j].start
	}
	return q[i].sequence < q[j].sequence
}

func (q turnQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *turnQueue) Push(t any) { *q = append(*q, t.(*turn)) }

// Pop is part of heap.Interface.
func (q *turnQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return t
}
