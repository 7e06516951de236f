package registry

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// If a write fails half way and the written part can't be truncated, later writes must not leave a file that the next
// start can't read.
func TestNoticeLogReadableAfterTornWrite(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	r, err := openNoticeLog(dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.add(now, []notice{{ID: "first", State: "failed"}}); err != nil {
		t.Fatal(err)
	}
	good := r.file
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0) // fails both writes and truncation
	if err != nil {
		t.Skip("no /dev/full here")
	}
	r.file = full
	if r.add(now, []notice{{ID: "given up", State: "failed"}}) == nil {
		t.Fatal("add to a full disk succeeded")
	}
	// Simulates the bytes that the failed write left: more than the next line has.
	line := `{"seq":2,"id":"` + strings.Repeat("x", 300) + `"` + "}\n"
	if _, err := good.WriteAt([]byte(line), r.size); err != nil {
		t.Fatal(err)
	}
	if r.add(now, []notice{{ID: "too early", State: "failed"}}) == nil {
		t.Error("add succeeded although the tail can't be truncated")
	}
	r.file = good
	if err := r.add(now, []notice{{ID: "second", State: "failed"}}); err != nil {
		t.Fatal(err)
	}
	if err := r.close(); err != nil {
		t.Fatal(err)
	}
	again, err := openNoticeLog(dir, 0)
	if err != nil {
		raw, _ := os.ReadFile(filepath.Join(dir, reportsFile))
		t.Fatalf("%v: %q", err, raw)
	}
	page, err := again.pageAfter(0)
	if got := strings.Count(string(page), "\n"); got != 2 || err != nil || strings.Contains(string(page), "xxx") {
		t.Errorf("%d notices, %v: %s", got, err, page)
	}
}
