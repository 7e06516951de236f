// Package dedup remembers the IDs of messages that have run, or may have, and have ended, so that a message that is
// submitted again is not run again.
package dedup

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"
)

const (
	// Retention is how long an ID is remembered after its message has ended.
	Retention = time.Minute

	keyBytes   = 16 // of an ID's hash: two IDs with one hash do not occur
	entryBytes = keyBytes + 4 + 1
)

// Outcome is what is remembered of a message.
type Outcome byte

const (
	// Delivered is the outcome of a message that was delivered.
	Delivered Outcome = iota + 1
	// MayHaveRun is the outcome of a message that ended otherwise, after an attempt that may have been executed.
	MayHaveRun
)

type key [keyBytes]byte

func keyOf(id string) key {
	sum := sha256.Sum256([]byte(id))
	return key(sum[:keyBytes])
}

// ending is the end of a message.
type ending struct {
	outcome Outcome
	at      time.Duration
}

// Set is a bounded set of IDs. When it is full, the ID that was added first is dropped. The zero value and nil are empty
// sets that remember nothing. Times are readings of one clock of the caller. A Set is not safe for concurrent use.
type Set struct {
	capacity int
	endings  map[key]ending
	order    []key // in the order in which they were added
}

// NewSet returns an empty set of at most capacity IDs.
func NewSet(capacity int) *Set {
	return &Set{capacity: capacity, endings: map[key]ending{}}
}

// Add remembers that the message with an ID has ended.
func (s *Set) Add(now time.Duration, id string, outcome Outcome) {
	s.add(now, keyOf(id), ending{outcome, now})
}

func (s *Set) add(now time.Duration, k key, e ending) {
	if s == nil || s.capacity == 0 {
		return
	}
	s.expire(now)
	if _, known := s.endings[k]; known {
		s.endings[k] = e
		return
	}
	if len(s.order) == s.capacity {
		s.dropFirst()
	}
	s.endings[k] = e
	s.order = append(s.order, k)
}

// Find returns the outcome of an ended message, and whether it is remembered.
func (s *Set) Find(now time.Duration, id string) (Outcome, bool) {
	if s == nil {
		return 0, false
	}
	e, ok := s.endings[keyOf(id)]
	if !ok || e.expired(now) {
		return 0, false
	}
	return e.outcome, true
}

func (e ending) expired(now time.Duration) bool { return now-e.at >= Retention }

// expire drops IDs whose retention has passed.
func (s *Set) expire(now time.Duration) {
	for len(s.order) > 0 && s.endings[s.order[0]].expired(now) {
		s.dropFirst()
	}
}

func (s *Set) dropFirst() {
	delete(s.endings, s.order[0])
	s.order = s.order[1:]
}

// Encode returns the set for another process, with ages in place of times. Each ID is the hash, the age in milliseconds
// and the outcome.
func (s *Set) Encode(now time.Duration) []byte {
	if s == nil {
		return nil
	}
	s.expire(now)
	b := make([]byte, 0, len(s.order)*entryBytes)
	for _, k := range s.order {
		e := s.endings[k]
		b = append(b, k[:]...)
		b = binary.BigEndian.AppendUint32(b, uint32(max(now-e.at, 0)/time.Millisecond))
		b = append(b, byte(e.outcome))
	}
	return b
}

// Decode adds the IDs of an encoded set. It fails without adding any if the encoding is malformed.
func (s *Set) Decode(now time.Duration, b []byte) error {
	if len(b)%entryBytes != 0 {
		return fmt.Errorf("dedup: %d bytes are no whole number of IDs", len(b))
	}
	for ; len(b) > 0; b = b[entryBytes:] {
		age := time.Duration(binary.BigEndian.Uint32(b[keyBytes:])) * time.Millisecond
		if outcome := Outcome(b[entryBytes-1]); age < Retention && (outcome == Delivered || outcome == MayHaveRun) {
			s.add(now, key(b[:keyBytes]), ending{outcome, now - age})
		}
	}
	return nil
}
