package journal

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// Open replays the journal in dir, as far as its records are whole.
func Open(dir string, diskMB float64) (*Journal, error) {
	if diskMB <= 0 {
		diskMB = DefaultDiskMB
	}
	j := &Journal{dir: dir, budgetBytes: int64(diskMB*(1<<20)) - 16<<10, live: map[uint64]*Message{}, nextSeq: 1}
	// A compaction that was cut short left its file; the old one is still whole.
	if err := os.Remove(j.path() + ".new"); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	file, err := os.OpenFile(j.path(), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	j.file = file
	switch err := j.replay(file); {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF): // what a torn tail would have guarded was not done
	case errors.Is(err, errCorrupt):
		j.Damage = fmt.Errorf("journal: at byte %d: %w", j.fileBytes, err)
	default: // what stands behind is not known, and may be owed
		return nil, errors.Join(fmt.Errorf("journal: at byte %d: %w", j.fileBytes, err), file.Close())
	}
	// Without a truncation a new file has to be written before anything is appended.
	j.needsRewrite = j.truncateTail() != nil
	return j, nil
}

// replay applies the records of r as far as they are whole. Its error is io.EOF after the last one.
func (j *Journal) replay(r io.Reader) error {
	buffered := bufio.NewReaderSize(r, 64<<10)
	for {
		payload, err := readRecord(buffered)
		if err != nil {
			return err
		}
		j.apply(payload)
		j.fileBytes += int64(recordHeaderBytes + len(payload))
	}
}

// apply brings what is live up to date with one record.
func (j *Journal) apply(payload []byte) {
	f := &payloadReader{rest: payload[1:]}
	seq := f.uvarint()
	j.nextSeq = max(j.nextSeq, seq+1)
	p := j.live[seq]
	if p == nil && payload[0] != recAccepted {
		return
	}
	switch payload[0] {
	case recAccepted:
		p = &Message{seq: seq, ID: string(f.bytes()), Key: string(f.bytes()), Class: int(f.uvarint()), Dest: int(f.uvarint()),
			Deadline: f.time(), Body: f.bytes(), Tenant: -1}
		if len(f.rest) > 0 { // not in journals of earlier builds
			p.Tenant = int(f.uvarint()) - 1
		}
		if !f.malformed {
			j.live[seq] = p
			j.liveBytes += p.size()
		}
	case recAttempt:
		s := Attempt{At: f.time(), Zone: int(f.uvarint())}
		if len(f.rest) > 0 { // not in journals of earlier builds, which leave it unread
			s.ListRevision, s.Incarnation = int64(f.uvarint()), uint32(f.uvarint())
		}
		if !f.malformed {
			p.Attempts = append(p.Attempts, s)
		}
	case recNotExecuted:
		if n := f.uvarint(); !f.malformed && n < uint64(len(p.Attempts)) {
			p.Attempts[n].NotExecuted, p.Attempts[n].Failed = true, true
		}
	case recFailed:
		if n := f.uvarint(); !f.malformed && n < uint64(len(p.Attempts)) {
			p.Attempts[n].Failed = true
		}
	case recEnded:
		e := &Ending{Failed: f.uvarint() == 1, RetryAfter: time.Duration(f.uvarint()) * time.Millisecond}
		if !f.malformed {
			j.liveBytes -= p.size()
			p.Ended, p.Body, p.Attempts = e, nil, nil // only the notice is owed
			j.liveBytes += p.size()
		}
	case recSettled:
		j.liveBytes -= p.size()
		delete(j.live, seq)
	}
}

// giveUp drops what is queued: only a new file can hold what is live.
func (j *Journal) discardPending() { j.pending, j.needsRewrite = nil, true }

// Restamp changes the times of all that is live, and writes it to a new file. After an error the times have changed here
// alone, and it is to be called again.
func (j *Journal) Restamp(change func(time.Time) time.Time) error {
	for _, p := range j.live {
		p.Deadline = change(p.Deadline)
		for i := range p.Attempts {
			p.Attempts[i].At = change(p.Attempts[i].At)
		}
	}
	if len(j.live) == 0 {
		return nil
	}
	return j.compact()
}

// recover writes the new file that a broken journal needs. What has been queued meanwhile is live, and so in it.
func (j *Journal) rewrite() error {
	if j.staleTail && j.truncateTail() == nil {
		j.staleTail = false
	}
	j.pending = nil
	return j.compact()
}

// rewind cuts off whatever stands behind the last whole record.
func (j *Journal) truncateTail() error {
	return j.file.Truncate(j.fileBytes)
}

// compact writes what is live, queued records included, to a new file that takes the old one's place. After an error the
// old one stands, and compact fails at once for CompactPause: a full disk should not have all that is live written to it
// again and again.
func (j *Journal) compact() (err error) {
	if time.Now().Before(j.compactNotBefore) {
		return errUnwritable
	}
	defer func() {
		if err != nil {
			j.compactNotBefore = time.Now().Add(CompactRetryDelay)
		}
	}()
	file, err := os.OpenFile(j.path()+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("journal: compaction: %w", err)
	}
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("journal: compaction: %w", err), file.Close(), os.Remove(file.Name()))
		}
	}()
	size, err := j.writeLive(file)
	if err != nil {
		return err
	}
	if err := os.Rename(file.Name(), j.path()); err != nil {
		return err
	}
	old := j.file
	j.file, j.fileBytes, j.pending, j.needsRewrite, j.staleTail = file, size, nil, false, false // a large buffer is not kept
	old.Close()                                                                                 // nothing of the old file is needed any more
	return nil
}

// writeLive writes the records of what is live, and returns how many bytes they take.
func (j *Journal) writeLive(f io.Writer) (size int64, err error) {
	w := bufio.NewWriterSize(f, 64<<10)
	put := func(payload []byte) {
		n, _ := w.Write(appendRecord(nil, payload)) // the error stays with w
		size += int64(n)
	}
	for _, p := range j.live {
		put(acceptedRecord(p))
		for i, s := range p.Attempts {
			put(attemptRecord(p.seq, s))
			switch {
			case s.NotExecuted:
				put(outcomeRecord(recNotExecuted, p.seq, i))
			case s.Failed:
				put(outcomeRecord(recFailed, p.seq, i))
			}
		}
		if p.Ended != nil {
			put(endedRecord(p.seq, *p.Ended))
		}
	}
	return size, w.Flush()
}
