// Package metrics counts what a node does, for its operators.
package metrics

import (
	"bytes"
	"fmt"
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
	OwnList                                         bool
	ListRevision, ListOlder, ListDoubted, ListTurns atomic.Int64
	listHeard                                       atomic.Int64 // Unix time in nanoseconds of a server's last line
}

// ends counts the final answers of a class.
type ends struct{ ok, shed, errors atomic.Int64 }

// New has a figure for each of the classes.
func New(classes []string) *Set {
	f := &Set{classes: classes, ends: make([]ends, len(classes))}
	f.ListLine()
	return f
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
func (f *Set) ListLine() { f.listHeard.Store(time.Now().UnixNano()) }

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

// Text writes the figures as StatsD lines.
func (f *Set) Text() []byte {
	var b bytes.Buffer
	for i, name := range f.classes {
		e := &f.ends[i]
		fmt.Fprintf(&b, "router.ok.%s:%d|c\n", name, e.ok.Load())
		fmt.Fprintf(&b, "router.shed.%s:%d|c\n", name, e.shed.Load())
		fmt.Fprintf(&b, "router.errors.%s:%d|c\n", name, e.errors.Load())
	}
	fmt.Fprintf(&b, "router.tries:%d|c\n", f.Tries.Load())
	fmt.Fprintf(&b, "router.active:%d|g\n", f.Active.Load())
	fmt.Fprintf(&b, "router.pool_size:%d|g\n", f.PoolSize.Load())
	fmt.Fprintf(&b, "router.pool_ejected:%d|g\n", f.PoolEjected.Load())
	if f.OwnList {
		fmt.Fprintf(&b, "router.list_revision:%d|g\n", f.ListRevision.Load())
		fmt.Fprintf(&b, "router.list_silent_ms:%d|g\n", time.Since(time.Unix(0, f.listHeard.Load())).Milliseconds())
		fmt.Fprintf(&b, "router.list_turns:%d|c\n", f.ListTurns.Load())
		fmt.Fprintf(&b, "router.list_older:%d|c\n", f.ListOlder.Load())
		fmt.Fprintf(&b, "router.list_doubted:%d|c\n", f.ListDoubted.Load())
	}
	if f.Fellows {
		fmt.Fprintf(&b, "router.members_present:%d|g\n", f.present.Load())
		fmt.Fprintf(&b, "router.members_suspect:%d|g\n", f.suspects.Load())
		fmt.Fprintf(&b, "router.members_agreed_ms:%d|g\n", f.agreedAgo.Load())
		fmt.Fprintf(&b, "router.members_health:%d|g\n", f.health.Load())
		fmt.Fprintf(&b, "router.members_refuted:%d|c\n", f.refuted.Load())
		fmt.Fprintf(&b, "router.members_probes:%d|c\n", f.probes.Load())
		fmt.Fprintf(&b, "router.members_missed:%d|c\n", f.missed.Load())
		fmt.Fprintf(&b, "router.members_strange:%d|c\n", f.strange.Load())
		fmt.Fprintf(&b, "router.members_strangers:%d|c\n", f.Strangers.Load())
	}
	return b.Bytes()
}
