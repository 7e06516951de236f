package fairqueue

import (
	"container/heap"
	"time"
)

// Class is the kind of peer that a flow belongs to. Each class that wants turns gets an even part of the time.
type Class int

const (
	// Unknown is the class of peers that have not shown who they are. Anyone may be one, so they have a bound of their own.
	Unknown Class = iota
	// Accepting is the class of flows that accept connections. They share the bound of unknown peers, but not their queue:
	// a newcomer would otherwise wait the longer to be accepted, the more peers send without pause.
	Accepting
	// Known is the class of clients that have submitted a message, and of the other nodes of the fleet.
	Known

	classCount
)

// bounded reports whether the bound of unknown peers holds for the class.
func (c Class) bounded() bool { return c != Known }

// turn is one flow's place in the queue. It belongs to the core from request until finish.
type turn struct {
	flow     *Flow // nil in tests of the core
	class    Class
	start    time.Duration // start tag: turns of a class are granted in the order of their start tags
	finish   time.Duration // finish tag of the last turn
	sequence uint64        // order of requests with equal start tags
}

// classQueue is the queue of one class.
type classQueue struct {
	queue   turnQueue
	held    int           // turns of the class that are held
	virtual time.Duration // virtual time within the class
	used    time.Duration // start tag of the class: the time that it has used, on the virtual time of all classes
}

// core decides which flow gets the next turn, by start-time fair queueing, first among the classes and then among the
// flows of the class. Virtual time passes by the time that turns use, divided by the number of flows that want one. A
// flow's turn starts where its last one finished in virtual time, or wakeCredit before the present, whichever is later,
// and the earliest start is next. So flows that always want a turn share the time evenly, one that comes back after a
// pause overtakes them, and a stream of new flows delays them only by their number. The same holds among classes: however
// many unknown peers there are, those that are known wait for one turn at most. core does no I/O and reads no clock; the
// caller passes the time since some origin. It is not safe for concurrent use.
type core struct {
	parallel int // turns that may be held at once
	held     int
	total    bucket // of all turns
	unknown  bucket // of the turns of the classes that are bounded

	classes  [classCount]classQueue
	virtual  time.Duration // virtual time of the classes
	sequence uint64
}

// request queues a turn.
func (c *core) request(t *turn) {
	class := &c.classes[t.class]
	if len(class.queue) == 0 && class.held == 0 {
		class.used = max(class.used, c.virtual-wakeCredit)
	}
	t.start = max(t.finish, class.virtual-wakeCredit)
	t.sequence = c.sequence
	c.sequence++
	heap.Push(&class.queue, t)
}

// next returns the turn to grant at time now, which counts as held from then on. It returns nil if there is none; wait
// is then the time until there may be one, or 0 if that depends on a call of request or finish.
func (c *core) next(now time.Duration) (granted *turn, wait time.Duration) {
	c.total.refill(now)
	c.unknown.refill(now)
	class, wait := c.nextClass()
	if class == nil {
		return nil, wait
	}
	granted = heap.Pop(&class.queue).(*turn)
	class.virtual = max(class.virtual, granted.start)
	c.virtual = max(c.virtual, class.used)
	class.held++
	c.held++
	return granted, 0
}

// nextClass returns the class whose turn is next, or nil and the time until there may be one.
func (c *core) nextClass() (next *classQueue, wait time.Duration) {
	if c.held >= c.parallel {
		return nil, 0
	}
	for i := range c.classes {
		class := &c.classes[i]
		if len(class.queue) == 0 {
			continue
		}
		until := c.total.untilPositive()
		if Class(i).bounded() {
			until = max(until, c.unknown.untilPositive())
		}
		switch {
		case until > 0 && (wait == 0 || until < wait):
			wait = until
		case until > 0:
		case next == nil || class.used < next.used:
			next = class
		}
	}
	return next, wait
}

// finish ends a turn that used the processor for the given time.
func (c *core) finish(t *turn, used time.Duration) {
	class := &c.classes[t.class]
	c.held--
	class.held--
	t.finish = t.start + used
	class.virtual += used / time.Duration(len(class.queue)+class.held+1)
	c.spend(t.class, used)
}

// charge books processor time that a flow used outside its turns.
func (c *core) charge(t *turn, used time.Duration) {
	t.finish += used
	c.spend(t.class, used)
}

// spend books processor time that a class used.
func (c *core) spend(class Class, used time.Duration) {
	c.classes[class].used += used
	c.total.level -= used
	if class.bounded() {
		c.unknown.level -= used
	}
}

// bucket is a token bucket of processor time.
type bucket struct {
	rate       float64       // processor time gained in a unit of time
	depth      time.Duration // processor time that may be used at once after a pause
	level      time.Duration // processor time that may be used now; negative after expensive turns
	refilledAt time.Duration
}

func newBucket(rate float64, depth time.Duration) bucket {
	return bucket{rate: rate, depth: depth, level: depth}
}

func (b *bucket) refill(now time.Duration) {
	gained := time.Duration(float64(now-b.refilledAt) * b.rate)
	b.level = min(b.level+gained, b.depth)
	b.refilledAt = now
}

// untilPositive returns the time until processor time may be used, or 0 if it may be used now.
func (b *bucket) untilPositive() time.Duration {
	if b.level > 0 {
		return 0
	}
	return max(time.Duration(float64(-b.level)/b.rate), minThrottle)
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
