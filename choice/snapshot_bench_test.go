package choice

import (
	"fmt"
	"testing"
	"time"
)

// largeSender returns a sender with the largest list that the platform may have, at 64 destinations with routes of their
// own.
func largeSender(b *testing.B) (*Sender, Settings) {
	b.Helper()
	cfg := testSettings()
	s := New(cfg, 1)
	var entries []Entry
	for i := range 3200 {
		entries = append(entries, Entry{Endpoint: fmt.Sprintf("s-%08x", i), Dest: i % 64, Weight: 1})
	}
	s.Step(time.Hour, []Event{fullList(entries...)})
	return s, cfg
}

// BenchmarkSnapshot measures the state of a node with 3,200 endpoints, which nobody acts for while it is encoded.
func BenchmarkSnapshot(b *testing.B) {
	s, _ := largeSender(b)
	b.ReportAllocs()
	for b.Loop() {
		raw, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(raw)))
	}
}

// BenchmarkRestore measures the same for decoding.
func BenchmarkRestore(b *testing.B) {
	s, cfg := largeSender(b)
	raw, err := s.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Restore(cfg, 1, raw); err != nil {
			b.Fatal(err)
		}
	}
}
