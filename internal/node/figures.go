package node

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"time"

	"harrierramp/internal/membership"
)

// figures are what the operators read. Counters run from the start of the process, each counted once, where its
// event happens; the loop publishes the gauges after every step, so that a reader waits for nobody.
type figures struct {
	classes []string
	ends    []ends       // by class
	tries   atomic.Int64 // messages written whole to endpoints

	active, poolSize, poolEjected atomic.Int64

	// Of the other nodes; told only where membership is on.
	fellows                                     bool
	present, suspects, agreedAgo, health        atomic.Int64
	refuted, probes, missed, strange, strangers atomic.Int64
	// Of the list; told only where it is the project's own service's.
	ownList                                         bool
	listRevision, listOlder, listDoubted, listTurns atomic.Int64
	listHeard                                       atomic.Int64 // Unix time in nanoseconds of a server's last line
}

// ends counts the final answers of a class.
type ends struct{ ok, shed, errors atomic.Int64 }

func newFigures(classes []string) *figures {
	f := &figures{classes: classes, ends: make([]ends, len(classes))}
	f.listLine()
	return f
}

// delivered, shed and failed count a message's final answer. A class that the settings don't name has no figure.
func (f *figures) delivered(class int) {
	if e := f.of(class); e != nil {
		e.ok.Add(1)
	}
}

func (f *figures) shed(class int) {
	if e := f.of(class); e != nil {
		e.shed.Add(1)
	}
}

func (f *figures) failed(class int) {
	if e := f.of(class); e != nil {
		e.errors.Add(1)
	}
}

func (f *figures) of(class int) *ends {
	if f == nil || class < 0 || class >= len(f.ends) {
		return nil
	}
	return &f.ends[class]
}

// listLine notes that a list server has said something.
func (f *figures) listLine() { f.listHeard.Store(time.Now().UnixNano()) }

// publishFellows brings the figures of membership up to date.
func (f *figures) publishFellows(core *membership.Core, now time.Duration) {
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

// text writes the figures as StatsD lines.
func (f *figures) text() []byte {
	var b bytes.Buffer
	for i, name := range f.classes {
		e := &f.ends[i]
		fmt.Fprintf(&b, "router.ok.%s:%d|c\n", name, e.ok.Load())
		fmt.Fprintf(&b, "router.shed.%s:%d|c\n", name, e.shed.Load())
		fmt.Fprintf(&b, "router.errors.%s:%d|c\n", name, e.errors.Load())
	}
	fmt.Fprintf(&b, "router.tries:%d|c\n", f.tries.Load())
	fmt.Fprintf(&b, "router.active:%d|g\n", f.active.Load())
	fmt.Fprintf(&b, "router.pool_size:%d|g\n", f.poolSize.Load())
	fmt.Fprintf(&b, "router.pool_ejected:%d|g\n", f.poolEjected.Load())
	if f.ownList {
		fmt.Fprintf(&b, "router.list_revision:%d|g\n", f.listRevision.Load())
		fmt.Fprintf(&b, "router.list_silent_ms:%d|g\n", time.Since(time.Unix(0, f.listHeard.Load())).Milliseconds())
		fmt.Fprintf(&b, "router.list_turns:%d|c\n", f.listTurns.Load())
		fmt.Fprintf(&b, "router.list_older:%d|c\n", f.listOlder.Load())
		fmt.Fprintf(&b, "router.list_doubted:%d|c\n", f.listDoubted.Load())
	}
	if f.fellows {
		fmt.Fprintf(&b, "router.members_present:%d|g\n", f.present.Load())
		fmt.Fprintf(&b, "router.members_suspect:%d|g\n", f.suspects.Load())
		fmt.Fprintf(&b, "router.members_agreed_ms:%d|g\n", f.agreedAgo.Load())
		fmt.Fprintf(&b, "router.members_health:%d|g\n", f.health.Load())
		fmt.Fprintf(&b, "router.members_refuted:%d|c\n", f.refuted.Load())
		fmt.Fprintf(&b, "router.members_probes:%d|c\n", f.probes.Load())
		fmt.Fprintf(&b, "router.members_missed:%d|c\n", f.missed.Load())
		fmt.Fprintf(&b, "router.members_strange:%d|c\n", f.strange.Load())
		fmt.Fprintf(&b, "router.members_strangers:%d|c\n", f.strangers.Load())
	}
	return b.Bytes()
}
