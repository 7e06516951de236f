package registry

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// filledLog returns a log of a complete list and some changes, and the lists in it.
func filledLog(t *testing.T, dir string, changes int) (raw []byte, lists []List) {
	t.Helper()
	s, none, err := OpenStore(dir)
	if err != nil || none != nil {
		t.Fatal(none, err)
	}
	defer s.Close()
	c := newTestCatalog(t, 2)
	lists = append(lists, c.Snapshot())
	if err := s.Compact(c.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for n := range changes {
		l := register(t, c, 0, instance(5+n))
		lists = append(lists, l)
		if err := s.Append(l); err != nil {
			t.Fatal(err)
		}
	}
	raw, err = os.ReadFile(filepath.Join(dir, logFile))
	if err != nil {
		t.Fatal(err)
	}
	return raw, lists
}

func reopen(t *testing.T, raw []byte) (*Store, []List, error) {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, logFile), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	s, lists, err := OpenStore(dir)
	if err == nil {
		t.Cleanup(func() { s.Close() })
	}
	return s, lists, err
}

// A killed process can leave any part of a write behind. Complete records are kept, the partial one is truncated, and
// the log can be appended to.
func TestTornWriteIsTruncated(t *testing.T) {
	raw, want := filledLog(t, t.TempDir(), 3)
	first, err := appendRecord([]byte(logMagic), want[0])
	if err != nil {
		t.Fatal(err)
	}
	ends := []int{len(first)}
	for _, l := range want[1:] {
		rec, err := appendRecord(nil, l)
		if err != nil {
			t.Fatal(err)
		}
		ends = append(ends, ends[len(ends)-1]+len(rec))
	}
	for size := len(first); size <= len(raw); size++ {
		wantLists := 0
		for _, end := range ends {
			if size >= end {
				wantLists++
			}
		}
		s, lists, err := reopen(t, raw[:size])
		if err != nil {
			t.Fatalf("truncated at %d: %v", size, err)
		}
		if len(lists) != wantLists || s.TruncatedBytes != int64(size-ends[wantLists-1]) {
			t.Fatalf("truncated at %d: %d lists, want %d; %d bytes removed", size, len(lists), wantLists, s.TruncatedBytes)
		}
		next := List{Revision: lists[wantLists-1].Revision + 1}
		if err := s.Append(next); err != nil {
			t.Fatal(err)
		}
		after, err := os.ReadFile(s.path)
		if err != nil {
			t.Fatal(err)
		}
		if again, _, err := readLog("log", after); err != nil || len(again) != wantLists+1 {
			t.Fatalf("truncated at %d, then appended to: %d lists, %v", size, len(again), err)
		}
	}
}

// An invalid record in front of valid ones is not a torn tail. Opening the log without it would lose its changes.
func TestCorruptMiddleRecordIsErrorWithOffset(t *testing.T) {
	raw, want := filledLog(t, t.TempDir(), 3)
	first, err := appendRecord([]byte(logMagic), want[0])
	if err != nil {
		t.Fatal(err)
	}
	second, err := appendRecord(first, want[1])
	if err != nil {
		t.Fatal(err)
	}
	for at := len(first); at < len(second); at++ {
		corrupted := append([]byte(nil), raw...)
		corrupted[at] ^= 0x41
		_, _, err := reopen(t, corrupted)
		var corrupt *CorruptError
		if !errors.As(err, &corrupt) || corrupt.Offset != int64(len(first)) {
			t.Fatalf("byte %d corrupted: %v", at, err)
		}
	}
	for name, corrupted := range map[string][]byte{"empty": {}, "no list": []byte(logMagic), "half a first list": raw[:len(first)-1]} {
		var corrupt *CorruptError
		if _, _, err := reopen(t, corrupted); !errors.As(err, &corrupt) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestCompact(t *testing.T) {
	dir := t.TempDir()
	filledLog(t, dir, 3)
	s, lists, err := OpenStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c := NewCatalog(DefaultOptions())
	for _, l := range lists {
		c.Apply(0, l)
	}
	before := s.Size()
	if err := s.Compact(c.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if s.Size() >= before {
		t.Errorf("%d bytes after %d", s.Size(), before)
	}
	raw, err := os.ReadFile(s.path)
	if err != nil {
		t.Fatal(err)
	}
	if again, _, err := readLog("log", raw); err != nil || len(again) != 1 || !reflect.DeepEqual(again[0], c.Snapshot()) {
		t.Errorf("got %+v, %v, want %+v", again, err, c.Snapshot())
	}
}

func TestStateDirIsLocked(t *testing.T) {
	dir := t.TempDir()
	s, _, err := OpenStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := OpenStore(dir); err == nil {
		t.Error("the state directory was opened twice")
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	again, _, err := OpenStore(dir)
	if err != nil {
		t.Fatalf("open after the first was closed: %v", err)
	}
	again.Close()
}

func FuzzReadLog(f *testing.F) {
	c := NewCatalog(DefaultOptions())
	raw, err := appendRecord([]byte(logMagic), c.Snapshot())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	if raw, err = appendRecord(raw, List{Revision: 9, Members: []Member{instance(1)}}); err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		lists, good, err := readLog("log", raw)
		if err != nil {
			return
		}
		again, all, err := readLog("log", raw[:good])
		if err != nil || all != good || !reflect.DeepEqual(lists, again) {
			t.Errorf("valid bytes read again as %v, %v; first as %v", again, err, lists)
		}
	})
}
