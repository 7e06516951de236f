// Package fairqueue bounds the processor time that a process spends on the input of its peers, and divides that time
// fairly among them.
//
// The Go scheduler gives each runnable goroutine a slice of 10 ms in turn. With one goroutine per connection and one
// processor, a hundred peers that send without pause keep the goroutine that makes the decisions waiting for a second.
// So goroutines that work on input take turns: few run at a time, each for as long as it takes to work off what it has
// read, and all together for a share of the time. What is left belongs to the rest of the process. Peers that have not
// shown who they are have a smaller share, which follows from the process's limit of processor time.
//
// A peer is a Flow. A goroutine holds its flow's turn only while it computes. It must end the turn before anything that
// may block: a read, a write, a wait for another goroutine.
package fairqueue

import (
	"sync"
	"time"
)

const (
	defaultShare = 0.5                  // of the processors: the event loop, calls and notices have the other half
	defaultBurst = 4 * time.Millisecond // well under a slice of the Go scheduler
	// unknownBurst is processor time that unknown peers may use at once after a pause, beyond their share.
	unknownBurst  = 100 * time.Millisecond
	maxTurnCharge = time.Millisecond // a turn that took longer was descheduled
	minThrottle   = 500 * time.Microsecond
	wakeCredit    = 100 * time.Microsecond // by so much processor time a flow that has paused comes before the others
)

// Scheduler grants turns to flows. It is safe for concurrent use.
type Scheduler struct {
	origin time.Time

	mu         sync.Mutex
	core       *core
	throttle   *time.Timer // calls dispatch once a bound allows for a turn again; nil if no flow waits for that
	throttleAt time.Time   // when throttle fires
}

// New returns a Scheduler for a process that runs on the given number of processors, at least one. All flows but those of
// known peers together have unknownShare of a processor's time, more than 0.
func New(processors int, unknownShare float64) *Scheduler {
	parallel := max(processors, 1)
	return &Scheduler{
		origin: time.Now(),
		core: &core{
			parallel: parallel,
			total:    newBucket(defaultShare*float64(parallel), defaultBurst*time.Duration(parallel)),
			unknown:  newBucket(unknownShare, unknownBurst),
		},
	}
}

// Flow is the input of one peer. Only one goroutine may use it at a time.
type Flow struct {
	scheduler *Scheduler
	turn      turn
	granted   chan struct{}
	holding   bool
	began     time.Time
}

// NewFlow returns a new flow of the class Unknown, which holds no turn.
func (s *Scheduler) NewFlow() *Flow {
	f := &Flow{scheduler: s, granted: make(chan struct{}, 1)}
	f.turn.flow = f
	return f
}

// SetClass moves the flow to a class. It must hold no turn.
func (f *Flow) SetClass(class Class) {
	if f.turn.class == class {
		return
	}
	f.scheduler.mu.Lock()
	defer f.scheduler.mu.Unlock()
	f.turn = turn{flow: f, class: class}
}

// Begin waits for a turn. It does nothing if the flow holds one.
func (f *Flow) Begin() {
	if f.holding {
		return
	}
	s := f.scheduler
	s.mu.Lock()
	s.core.request(&f.turn)
	s.dispatch()
	s.mu.Unlock()
	<-f.granted
	f.holding, f.began = true, time.Now()
}

// End ends the turn. It does nothing if the flow holds none.
func (f *Flow) End() {
	if !f.holding {
		return
	}
	f.holding = false
	s := f.scheduler
	used := min(time.Since(f.began), maxTurnCharge)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.finish(&f.turn, used)
	s.dispatch()
}

// Charge books processor time that the flow used outside its turns, such as that of a system call. The next turns come
// later by it.
func (f *Flow) Charge(used time.Duration) {
	f.scheduler.mu.Lock()
	defer f.scheduler.mu.Unlock()
	f.scheduler.core.charge(&f.turn, min(used, maxTurnCharge))
}

// Spend waits for a turn that stands for the given processor time, which the caller is about to use.
func (f *Flow) Spend(d time.Duration) {
	f.Begin()
	f.Charge(d)
	f.End()
}

// dispatch grants all turns that may be granted now. The caller holds s.mu.
func (s *Scheduler) dispatch() {
	for {
		next, wait := s.core.next(time.Since(s.origin))
		if next == nil {
			s.dispatchAfter(wait)
			return
		}
		next.flow.granted <- struct{}{} // buffered: a flow has one turn at a time
	}
}

// dispatchAfter calls dispatch after the given time, unless that is 0. If it is to be called later already, it is called
// sooner instead. The caller holds s.mu.
func (s *Scheduler) dispatchAfter(wait time.Duration) {
	if wait <= 0 {
		return
	}
	at := time.Now().Add(wait)
	if s.throttle != nil {
		if at.Before(s.throttleAt) {
			s.throttle.Reset(wait)
			s.throttleAt = at
		}
		return
	}
	s.throttleAt = at
	s.throttle = time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.throttle = nil
		s.dispatch()
	})
}
