package journal

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// FuzzReader checks for arbitrary file contents that Read and Open find the same unsettled messages, and that Read does
// not change the file.
func FuzzReader(f *testing.F) {
	dir := f.TempDir()
	j, err := Open(dir, 3)
	if err != nil {
		f.Fatal(err)
	}
	for _, m := range []*Message{{ID: "a", Key: "k", Class: 1, Dest: 7, Body: []byte("x")}, {ID: "b", Tenant: -1}} {
		if m, err = j.Accept(m); err != nil {
			f.Fatal(err)
		}
		j.RecordAttempt(m, Attempt{At: m.Deadline, Zone: 1, ListRevision: 5, Incarnation: 1})
		j.RecordFailed(m, 0)
		j.RecordEnded(m, Ending{Failed: true})
	}
	if err := j.Close(); err != nil {
		f.Fatal(err)
	}
	whole, err := os.ReadFile(filepath.Join(dir, journalFile))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if len(raw) > 1<<20 {
			t.Skip()
		}
		dir := t.TempDir()
		path := filepath.Join(dir, journalFile)
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := Read(dir)
		if err != nil {
			t.Fatal(err)
		}
		if after, err := os.ReadFile(path); err != nil || !bytes.Equal(after, raw) {
			t.Fatalf("Read changed the file: %v", err)
		}
		if (got.Damage == nil) != (got.ValidBytes == int64(len(raw))) {
			t.Fatalf("%d of %d bytes, damage %v", got.ValidBytes, len(raw), got.Damage)
		}
		j, err := Open(dir, 3)
		if err != nil {
			t.Fatal(err)
		}
		defer j.Close()
		if len(j.Unsettled()) != len(got.Unsettled) {
			t.Errorf("Open found %d unsettled messages, Read %d", len(j.Unsettled()), len(got.Unsettled))
		}
	})
}
