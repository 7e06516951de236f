package journal

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"harrierramp/internal/testkit"
)

func openTestJournal(t *testing.T, dir string, mb float64) *Journal {
	t.Helper()
	j, err := Open(dir, mb)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.file.Close() })
	return j
}

func mustFlush(t *testing.T, j *Journal) {
	t.Helper()
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
}

func mustAccept(t *testing.T, j *Journal, id string, body []byte) *Message {
	t.Helper()
	p, err := j.Accept(&Message{
		ID: id, Key: "k" + id, Class: 1, Tenant: 2, Dest: 7, Body: body, Deadline: time.UnixMicro(time.Now().UnixMicro()),
	})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// writeEveryRecordKind writes records of every kind and returns the messages that are then live.
func writeEveryRecordKind(t *testing.T, j *Journal) map[uint64]*Message {
	t.Helper()
	now := time.UnixMicro(time.Now().UnixMicro())
	a, b := mustAccept(t, j, "a", []byte("body of a")), mustAccept(t, j, "b", nil)
	c, d := mustAccept(t, j, "c", []byte{0, 255}), mustAccept(t, j, "d", []byte("d"))
	j.enqueue(attemptRecord(a.seq, Attempt{At: now, ListRevision: 7, Incarnation: 2}))
	j.enqueue(attemptRecord(a.seq, Attempt{At: now.Add(time.Second), Zone: 2}))
	j.enqueue(outcomeRecord(recNotExecuted, a.seq, 0))
	j.enqueue(outcomeRecord(recFailed, a.seq, 1))
	j.enqueue(endedRecord(b.seq, Ending{RetryAfter: 500 * time.Millisecond}, false))
	j.enqueue(endedRecord(c.seq, Ending{Failed: true}, true))
	j.enqueue(record(recSettled, d.seq))
	mustFlush(t, j)
	return j.live
}

func requireSameLive(t *testing.T, got, want map[uint64]*Message) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%d live, want %d", len(got), len(want))
	}
	for seq, w := range want {
		g := got[seq]
		if g == nil || !bytes.Equal(g.Body, w.Body) {
			t.Fatalf("got %+v, want %+v", g, w)
		}
		gc, wc := *g, *w
		gc.Body, wc.Body = nil, nil
		if !reflect.DeepEqual(gc, wc) {
			t.Errorf("got %+v, want %+v", gc, wc)
		}
	}
}

func TestReplayRestoresLiveMessages(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 3)
	want := writeEveryRecordKind(t, j)
	again := openTestJournal(t, dir, 3)
	requireSameLive(t, again.live, want)
	if again.nextSeq != j.nextSeq || again.liveBytes != j.liveBytes {
		t.Errorf("next %d, held %d; want %d, %d", again.nextSeq, again.liveBytes, j.nextSeq, j.liveBytes)
	}
	if err := again.compact(); err != nil {
		t.Fatal(err)
	}
	requireSameLive(t, openTestJournal(t, dir, 3).live, want)
}

// A kill can tear the last record at any byte. The records before it must be restored, and records that are appended
// after the restart must be readable.
func TestTornTail(t *testing.T) {
	dir := t.TempDir()
	writeEveryRecordKind(t, openTestJournal(t, dir, 3))
	whole, err := os.ReadFile(filepath.Join(dir, journalFile))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range whole {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, journalFile), whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		j := openTestJournal(t, dir, 3)
		before := len(j.live)
		mustAccept(t, j, "new", []byte("after the tear"))
		mustFlush(t, j)
		if again := openTestJournal(t, dir, 3); len(again.live) != before+1 {
			t.Fatalf("cut at %d: %d live, want %d", cut, len(again.live), before+1)
		}
	}
	for i := range whole { // corruption ends the replay and must not panic
		bad := bytes.Clone(whole)
		bad[i] ^= 0x55
		if err := os.WriteFile(filepath.Join(dir, journalFile), bad, 0o600); err != nil {
			t.Fatal(err)
		}
		openTestJournal(t, dir, 3)
	}
}

// A node that exceeds its disk budget is treated as crashed, so the old and the new file of a compaction must fit into
// the budget together.
func TestDiskBudgetWithLargeBodies(t *testing.T) {
	dir := t.TempDir()
	const mb = 1
	j := openTestJournal(t, dir, mb)
	body := make([]byte, 64<<10)
	var held []*Message
	most, refused := int64(0), 0
	for i := range 400 {
		p, err := j.Accept(&Message{ID: fmt.Sprint(i), Body: body, Deadline: time.Now()})
		switch {
		case errors.Is(err, errDiskBudget):
			refused++
			j.enqueue(record(recSettled, held[0].seq))
			held = held[1:]
		case err != nil:
			t.Fatal(err)
		default:
			held = append(held, p)
			j.enqueue(attemptRecord(p.seq, Attempt{At: time.Now()}))
		}
		live := int64(0) // what a compaction would write now, beside the existing file
		for _, p := range j.live {
			live += int64(len(acceptedRecord(p))) + recordHeaderBytes + 64
		}
		most = max(most, j.fileBytes+live)
		mustFlush(t, j)
		info, err := os.Stat(j.path())
		if err != nil {
			t.Fatal(err)
		}
		if info.Size() != j.fileBytes {
			t.Fatalf("the file has %d bytes, the journal counts %d", info.Size(), j.fileBytes)
		}
	}
	if refused == 0 || most > mb<<20 {
		t.Errorf("refused %d messages, peak disk usage %d bytes", refused, most)
	}
	if again := openTestJournal(t, dir, mb); len(again.live) != len(held) {
		t.Errorf("%d live, want %d", len(again.live), len(held))
	}
}

func TestCompactionDropsSettledMessages(t *testing.T) {
	j := openTestJournal(t, t.TempDir(), 3)
	body := make([]byte, 1000)
	for i := range 5000 {
		p := mustAccept(t, j, fmt.Sprint(i), body)
		j.enqueue(record(recSettled, p.seq))
		mustFlush(t, j)
	}
	if j.fileBytes > 2*minCompactBytes || len(j.live) != 0 || j.liveBytes != 0 {
		t.Errorf("%d bytes, %d live, %d held", j.fileBytes, len(j.live), j.liveBytes)
	}
}

// A journal that cannot be written must not lose its messages, and must not accept new ones.
func TestUnwritableJournal(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 3)
	want := writeEveryRecordKind(t, j)
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	if err != nil {
		t.Skip("no /dev/full here")
	}
	good := j.file
	defer good.Close()
	j.file = full
	if err := os.Mkdir(j.path()+".new", 0o700); err != nil { // makes compaction fail too
		t.Fatal(err)
	}
	p := mustAccept(t, j, "lost", []byte("x"))
	if err := j.Flush(); err == nil {
		t.Fatal("Flush succeeded on a full disk")
	}
	j.enqueue(record(recSettled, p.seq)) // the client was told that it is refused
	if _, err := j.Accept(&Message{ID: "more"}); err == nil {
		t.Error("a message was accepted without a writable journal")
	}
	if err := j.Flush(); err == nil {
		t.Error("compaction succeeded although the new file cannot be created")
	}
	if err := os.Remove(j.path() + ".new"); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "the journal is written again", func() bool { return j.Flush() == nil })
	requireSameLive(t, openTestJournal(t, dir, 3).live, want)
}

// A failing compaction must not make the journal unwritable while there is room to append to the old file.
func TestAppendContinuesWhileCompactionFails(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 3)
	if err := os.Mkdir(j.path()+".new", 0o700); err != nil { // the new file cannot be created
		t.Fatal(err)
	}
	body := make([]byte, 16<<10)
	for i := range 40 {
		p := mustAccept(t, j, fmt.Sprint("m", i), body)
		mustFlush(t, j)
		if j.Down() {
			t.Fatalf("journal is down after %d bytes of 3 MB", j.fileBytes)
		}
		if i > 0 {
			j.RecordSettled(p)
		}
	}
	mustFlush(t, j)
	if got := len(openCopy(t, dir).live); got != 1 {
		t.Errorf("%d messages restored, want 1", got)
	}
}

// openCopy opens a copy of the journal file in dir as it is now, without other files of that directory.
func openCopy(t *testing.T, dir string) *Journal {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(dir, journalFile))
	if err != nil {
		t.Fatal(err)
	}
	copied := t.TempDir()
	if err := os.WriteFile(filepath.Join(copied, journalFile), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return openTestJournal(t, copied, 3)
}

// A failed write can leave records behind the last valid one, which the next start would restore. The journal must
// report that until the file has been truncated.
func TestStaleTailIsReported(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 3)
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0) // can be neither written nor truncated
	if err != nil {
		t.Skip("no /dev/full here")
	}
	good := j.file
	j.file = full
	if err := os.Mkdir(j.path()+".new", 0o700); err != nil {
		t.Fatal(err)
	}
	mustAccept(t, j, "refused", nil)
	if err := j.Flush(); err == nil || !j.StaleTail() {
		t.Errorf("stale tail %v after error %v", j.StaleTail(), err)
	}
	j.file = good // can be truncated again, though no new file can be created
	testkit.Eventually(t, "the tail is truncated", func() bool { return j.Flush() != nil && !j.StaleTail() })
	if !j.Down() {
		t.Error("the journal is up without the records of its messages")
	}
}

// A read error must not be taken for the end of the journal, since the file would be truncated there.
func TestReadErrorIsNotEndOfJournal(t *testing.T) {
	j := openTestJournal(t, t.TempDir(), 3)
	writeEveryRecordKind(t, j)
	whole, err := os.ReadFile(j.path())
	if err != nil {
		t.Fatal(err)
	}
	fails := iotest.ErrReader(syscall.EIO)
	read := Journal{live: map[uint64]*Message{}}
	if err := read.replay(io.MultiReader(bytes.NewReader(whole[:len(whole)/2]), fails)); !errors.Is(err, syscall.EIO) {
		t.Errorf("got %v", err)
	}
}
