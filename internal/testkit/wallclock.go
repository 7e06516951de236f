package testkit

import (
	"time"
	"unsafe"
)

// StepWallClock returns t as the clock would have read it if the wall clock had been stepped by a whole number of
// seconds while the monotonic clock ran on. t must have a monotonic reading.
func StepWallClock(t time.Time, by time.Duration) time.Time {
	const secondsAt = 30 // the first word of time.Time holds the wall clock's seconds above this bit and its nanoseconds below
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall += uint64(int64(by/time.Second) << secondsAt)
	return t
}
