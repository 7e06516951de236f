package registry

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// After an add that failed half way, and whose part could not be cut off, the file is still one that a start can read.
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
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0) // neither written nor cut
	if err != nil {
		t.Skip("no /dev/full here")
	}
	r.file = full
	if r.add(now, []notice{{ID: "given up", State: "failed"}}) == nil {
		t.Fatal("the full disk took it")
	}
	// What such a disk may have kept of it: more than the next line.
	line := `{"seq":2,"id":"` + strings.Repeat("x", 300) + `"` + "}\n"
	if _, err := good.WriteAt([]byte(line), r.size); err != nil {
		t.Fatal(err)
	}
	if r.add(now, []notice{{ID: "too early", State: "failed"}}) == nil {
		t.Error("taken although the end can't be cut")
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
