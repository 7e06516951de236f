package journal

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// Open opens the journal in dir, creating it if necessary, and replays its records up to the first invalid one. diskMB
// is the disk budget in MiB; zero or less means DefaultDiskMB.
func Open(dir string, diskMB float64) (*Journal, error) {
	if diskMB <= 0 {
		diskMB = DefaultDiskMB
	}
	j := &Journal{dir: dir, budgetBytes: int64(diskMB*(1<<20)) - 16<<10, live: map[uint64]*Message{}, nextSeq: 1}
	// An interrupted compaction leaves its incomplete file; the old file is still valid.
	if err := os.Remove(j.path() + ".new"); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	file, err := os.OpenFile(j.path(), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	j.file = file
	switch err := j.replay(file); {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF): // the action of a torn record was not performed
	case errors.Is(err, errCorrupt):
		j.Damage = fmt.Errorf("journal: at byte %d: %w", j.fileBytes, err)
	default: // the rest is unknown and may hold unsettled messages
		return nil, errors.Join(fmt.Errorf("journal: at byte %d: %w", j.fileBytes, err), file.Close())
	}
	// If the tail cannot be truncated, a new file has to be written before anything is appended.
	j.needsRewrite = j.truncateTail() != nil
	return j, nil
}

// replay applies the records of r up to the first invalid one. It returns io.EOF if all records were valid.
func (j *Journal) replay(r io.Reader) error {
	buffered := bufio.NewReaderSize(r, 64<<10)
	for {
		payload, err := readRecord(buffered)
		if err != nil {
			return err
		}
		j.noteSettled(payload)
		j.apply(payload)
		j.fileBytes += int64(recordHeaderBytes + len(payload))
	}
}

// noteSettled adds the message of a record that settles one to FoundSettled.
func (j *Journal) noteSettled(payload []byte) {
	f := &payloadReader{rest: payload[1:]}
	if p := j.live[f.uvarint()]; p != nil && payload[0] == recSettled {
		j.FoundSettled = append(j.FoundSettled, Settled{ID: p.ID, Delivered: p.Ended == nil, MayHaveRun: p.MayHaveRun()})
	}
}

// apply updates the live messages by one record.
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
		if len(f.rest) > 0 { // absent in journals of earlier builds
			p.Tenant = int(f.uvarint()) - 1
		}
		if !f.malformed {
			j.live[seq] = p
			j.liveBytes += p.size()
		}
	case recAttempt:
		s := Attempt{At: f.time(), Zone: int(f.uvarint())}
		if len(f.rest) > 0 { // absent in journals of earlier builds, which ignore it
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
		ranBefore := p.MayHaveRun()
		if len(f.rest) > 0 { // absent in journals of earlier builds, which ignore it
			ranBefore = f.uvarint() == 1
		}
		if !f.malformed {
			j.liveBytes -= p.size()
			p.Ended, p.ranBefore, p.Body, p.Attempts = e, ranBefore, nil, nil // only the notice is left to send
			j.liveBytes += p.size()
		}
	case recSettled:
		j.liveBytes -= p.size()
		delete(j.live, seq)
	}
}

// discardPending drops the queued records. From then on only a new file can hold all live messages.
func (j *Journal) discardPending() { j.pending, j.needsRewrite = nil, true }

// Restamp applies change to the times of all live messages and writes them to a new file. If it fails, the times have
// changed only in memory, and it has to be called again.
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

// rewrite writes the new file that is needed after a failed append. The file contains the records that were queued
// meanwhile, since those have been applied to the live messages.
func (j *Journal) rewrite() error {
	if j.staleTail && j.truncateTail() == nil {
		j.staleTail = false
	}
	j.pending = nil
	return j.compact()
}

// truncateTail removes everything after the last valid record from the file.
func (j *Journal) truncateTail() error {
	return j.file.Truncate(j.fileBytes)
}

// compact writes the live messages, including the effect of queued records, to a new file that replaces the old one. If
// it fails, the old file stays in use, and further calls fail at once for CompactRetryDelay, so that all live messages
// are not written to a full disk over and over.
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
	// A nil pending slice, so that a large buffer is not kept.
	j.file, j.fileBytes, j.pending, j.needsRewrite, j.staleTail = file, size, nil, false, false
	old.Close() // the old file is no longer needed, so an error does not matter
	return nil
}

// writeLive writes records of all live messages and returns their size in bytes.
func (j *Journal) writeLive(f io.Writer) (size int64, err error) {
	w := bufio.NewWriterSize(f, 64<<10)
	put := func(payload []byte) {
		n, _ := w.Write(appendRecord(nil, payload)) // Flush returns the error
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
			put(endedRecord(p.seq, *p.Ended, p.ranBefore))
		}
	}
	return size, w.Flush()
}
