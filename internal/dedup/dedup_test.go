package dedup

import (
	"fmt"
	"testing"
	"time"
)

const start = time.Hour

func mustFind(t *testing.T, s *Set, now time.Duration, id string, want Outcome) {
	t.Helper()
	if got, ok := s.Find(now, id); got != want || ok != (want != 0) {
		t.Errorf("%s at %v: got %v, %v, want %v", id, now, got, ok, want)
	}
}

// An ID is remembered for its retention, and while newer ones leave it room.
func TestIDsAreRememberedAndDropped(t *testing.T) {
	s := NewSet(3)
	s.Add(start, "a", Delivered)
	s.Add(start+time.Second, "b", MayHaveRun)
	mustFind(t, s, start+Retention-1, "a", Delivered)
	mustFind(t, s, start+Retention, "a", 0)
	mustFind(t, s, start+Retention, "b", MayHaveRun)
	for i := range 3 {
		s.Add(start+Retention, fmt.Sprint(i), Delivered)
	}
	mustFind(t, s, start+Retention, "b", 0)
	mustFind(t, s, start+Retention, "0", Delivered)
	if len(s.order) != 3 || len(s.endings) != 3 {
		t.Errorf("%d and %d IDs", len(s.order), len(s.endings))
	}
}

// Another process remembers the same, for the rest of the retention, and what it knows itself.
func TestEncodedSet(t *testing.T) {
	s, other := NewSet(10), NewSet(10)
	s.Add(start, "a", Delivered)
	s.Add(start+time.Second, "b", MayHaveRun)
	const otherNow = 5 * time.Minute // its clock reads something else
	other.Add(otherNow, "c", Delivered)
	if err := other.Decode(otherNow, s.Encode(start+2*time.Second)); err != nil {
		t.Fatal(err)
	}
	mustFind(t, other, otherNow, "a", Delivered)
	mustFind(t, other, otherNow, "b", MayHaveRun)
	mustFind(t, other, otherNow, "c", Delivered)
	mustFind(t, other, otherNow+Retention-2*time.Second, "a", 0)
	mustFind(t, other, otherNow+Retention-2*time.Second, "b", MayHaveRun)
	if err := other.Decode(otherNow, make([]byte, entryBytes+1)); err == nil {
		t.Error("a malformed encoding is accepted")
	}
	var none *Set
	none.Add(start, "a", Delivered)
	mustFind(t, none, start, "a", 0)
}
