// Package gcstats reads what the garbage collector costs the process, and how near the Go runtime is to its memory limit.
package gcstats

import (
	"math"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// Stats are figures of the Go runtime. The times are estimates of the runtime, as of the end of the last collection.
type Stats struct {
	CollectorTime time.Duration // processor time that the collector has used since the process started
	BusyTime      time.Duration // processor time that the process has used, the collector's included
	Collections   int64         // since the process started
	LiveBytes     int64         // heap in use after the last collection
	MemoryBytes   int64         // all memory that the runtime holds
	LimitBytes    int64         // the runtime's soft memory limit; 0 for none
}

const (
	collectorSeconds = "/cpu/classes/gc/total:cpu-seconds"
	totalSeconds     = "/cpu/classes/total:cpu-seconds"
	idleSeconds      = "/cpu/classes/idle:cpu-seconds"
	collections      = "/gc/cycles/total:gc-cycles"
	liveBytes        = "/gc/heap/live:bytes"
	mappedBytes      = "/memory/classes/total:bytes"
	releasedBytes    = "/memory/classes/heap/released:bytes"
)

// Read returns the current figures. It may be called from any goroutine.
func Read() Stats {
	samples := []metrics.Sample{
		{Name: collectorSeconds}, {Name: totalSeconds}, {Name: idleSeconds},
		{Name: collections}, {Name: liveBytes}, {Name: mappedBytes}, {Name: releasedBytes},
	}
	metrics.Read(samples)
	seconds := func(i int) time.Duration { return time.Duration(samples[i].Value.Float64() * float64(time.Second)) }
	count := func(i int) int64 { return int64(samples[i].Value.Uint64()) }
	s := Stats{
		CollectorTime: seconds(0), BusyTime: seconds(1) - seconds(2),
		Collections: count(3), LiveBytes: count(4), MemoryBytes: count(5) - count(6),
	}
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 { // a negative limit only reads it
		s.LimitBytes = limit
	}
	return s
}

// Share returns the collector's share of the processor time between two readings, from 0 to 1.
func Share(before, after Stats) float64 {
	busy := after.BusyTime - before.BusyTime
	if busy <= 0 {
		return 0
	}
	return min(float64(after.CollectorTime-before.CollectorTime)/float64(busy), 1)
}
