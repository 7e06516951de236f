package listwatch

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

func TestCacheRoundTrip(t *testing.T) {
	dir := t.TempDir()
	k := NewCache(dir, 1<<17)
	if l, _, err := k.Read(); err != nil || l.Revision != 0 {
		t.Fatalf("without a file: %+v, %v", l, err)
	}
	now := time.Now()
	if k.UntilDue(now) < time.Minute {
		t.Error("a write is due without a list")
	}
	k.MarkDirty(7)
	if k.UntilDue(now) != 0 {
		t.Error("a new list is not due")
	}
	want := List{Revision: 7, Complete: true, Members: membersOf("a", "b")}
	if err := k.Write(want); err != nil {
		t.Fatal(err)
	}
	if wait := k.UntilDue(now); wait <= 0 || wait > 2*cacheWriteInterval {
		t.Errorf("the next write is due in %v", wait)
	}
	if got, _, err := NewCache(dir, 1<<17).Read(); err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %+v, %v", got, err)
	}
	var ids []string
	for n := range 5000 {
		ids = append(ids, fmt.Sprintf("endpoint-%d", n))
	}
	if err := k.Write(List{Revision: 8, Members: membersOf(ids...)}); err == nil {
		t.Error("a list larger than maxBytes is written")
	}
	if got, _, err := k.Read(); err != nil || got.Revision != 7 {
		t.Errorf("after the list that is too large: %+v, %v", got, err)
	}
	if err := os.WriteFile(k.path, []byte(`{"revision":5,"complete":true,"members":[]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, at, err := k.Read(); err != nil || got.Revision != 5 || !at.IsZero() {
		t.Errorf("file of an earlier build: %+v of %v, %v", got, at, err)
	}
}

// A truncated or corrupted cache file must be rejected, or yield the list that was written, but never another list.
func TestCacheRejectsDamagedFile(t *testing.T) {
	k := NewCache(t.TempDir(), 1<<17)
	want := List{Revision: 1<<32 + 7, Complete: true, Members: membersOf("a", "b")}
	if err := k.Write(want); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(k.path)
	if err != nil {
		t.Fatal(err)
	}
	if _, at, err := k.Read(); err != nil || time.Since(at) > time.Minute {
		t.Fatalf("written at %v, %v", at, err)
	}
	rejected := 0
	for i := range whole {
		for bit := range 8 {
			raw := slices.Clone(whole)
			if raw[i] ^= 1 << bit; bit == 0 {
				raw = raw[:i]
			}
			if err := os.WriteFile(k.path, raw, 0o600); err != nil {
				t.Fatal(err)
			}
			got, _, err := k.Read()
			if err != nil {
				rejected++
			} else if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("byte %d, bit %d: %+v is accepted", i, bit, got)
			}
		}
	}
	if rejected < 4*len(whole) {
		t.Errorf("%d of %d damaged files are rejected", rejected, 8*len(whole))
	}
}
