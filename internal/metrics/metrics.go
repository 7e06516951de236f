// Package metrics counts what a node does, for its operators.
package metrics

import (
	"sync/atomic"
	"time"

	"harrierramp/internal/membership"
)

// Set are what the operators read. Counters run from the start of the process, each counted once, where its
// event happens; the loop publishes the gauges after every step, so that a reader waits for nobody.
type Set struct {
	classes []string
	ends    []ends       // by class
	Tries   atomic.Int64 // messages written whole to endpoints

	Active, PoolSize, PoolEjected atomic.Int64

	// Of the other nodes; told only where membership is on.
	Fellows                                     bool
	present, suspects, agreedAgo, health        atomic.Int64
	refuted, probes, missed, strange, Strangers atomic.Int64
	// Of the list; told only where it is the project's own service's.
	OwnList                                                  bool
	ListRevision, ListOlder, ListDoubted, ListTurns          atomic.Int64
	listHeard                                                atomic.Pointer[time.Time] // of a server's last line, on the monotonic clock
	ListAsks, ListLater, Gaps, ActsLost, ShutOuts, ListAhead atomic.Int64
	startList, startCall, startDelivery                      atomic.Int64 // milliseconds since the process began, plus 1; 0 for not yet

	times times
}

// ends counts the final answers of a class.
type ends struct{ ok, shed, errors atomic.Int64 }

// New has a figure for each of the classes.
func New(classes []string) *Set {
	f := &Set{classes: classes, ends: make([]ends, len(classes)), times: newTimes()}
	f.ListLine()
	return f
}

// StartedWith, FirstCall and FirstDelivery note how long after its beginning a process had a server's list, made a call
// and delivered a message. Only the first time counts.
func (f *Set) StartedWith(d time.Duration) { once(&f.startList, d) }

// FirstCall: see StartedWith.
func (f *Set) FirstCall(d time.Duration) { once(&f.startCall, d) }

// FirstDelivery: see StartedWith.
func (f *Set) FirstDelivery(d time.Duration) { once(&f.startDelivery, d) }

func once(v *atomic.Int64, d time.Duration) {
	if v.Load() == 0 {
		v.CompareAndSwap(0, max(d.Milliseconds(), 0)+1)
	}
}

// Delivered counts a message's final answer, as Shed and Failed do. A class that the settings don't name has no figure.
func (f *Set) Delivered(class int) {
	if e := f.of(class); e != nil {
		e.ok.Add(1)
	}
}

// Shed counts a message that was refused or handed back.
func (f *Set) Shed(class int) {
	if e := f.of(class); e != nil {
		e.shed.Add(1)
	}
}

// Failed counts a message that failed for good.
func (f *Set) Failed(class int) {
	if e := f.of(class); e != nil {
		e.errors.Add(1)
	}
}

func (f *Set) of(class int) *ends {
	if f == nil || class < 0 || class >= len(f.ends) {
		return nil
	}
	return &f.ends[class]
}

// ListLine notes that a list server has said something.
func (f *Set) ListLine() {
	now := time.Now()
	f.listHeard.Store(&now)
}

// ListHeard is when a server's last line came, or the start.
func (f *Set) ListHeard() time.Time { return *f.listHeard.Load() }

// PublishFellows brings the figures of membership up to date.
func (f *Set) PublishFellows(core *membership.Core, now time.Duration) {
	present, suspects := core.Present()
	agreed, health := core.Agreed()
	f.present.Store(int64(present))
	f.suspects.Store(int64(suspects))
	f.agreedAgo.Store(-1)
	if agreed > 0 {
		f.agreedAgo.Store((now - agreed).Milliseconds())
	}
	f.health.Store(int64(health))
	f.refuted.Store(core.Counts.Refuted)
	f.probes.Store(core.Counts.Probes)
	f.missed.Store(core.Counts.Missed)
	f.strange.Store(core.Counts.Strange)
}
