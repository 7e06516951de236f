package testkit

import (
	"time"
	"unsafe"
)

// StepWallClock is what the clock would have shown at t if the wall clock, and not the monotonic one, had been stepped by
// whole seconds. t has to bear a monotonic reading.
func StepWallClock(t time.Time, by time.Duration) time.Time {
	const secondsAt = 30 // time.Time's first word holds the seconds of the wall clock above this bit, nanoseconds below it
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall += uint64(int64(by/time.Second) << secondsAt)
	return t
}
