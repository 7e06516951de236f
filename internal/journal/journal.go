// Package journal keeps messages that a node has taken on until nothing is owed for them any more. One goroutine owns a
// Journal.
package journal

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// The journal is one file of records, appended only. A record is its payload's length and CRC-32, four bytes
// each, and the payload: a kind, the number of its message and what the kind calls for. What a process has
// written outlasts it, so nothing is synced; a kill can at most tear the last record.

const (
	recAccepted byte = iota + 1 // a message was taken on
	recAttempt                  // an attempt is about to be sent
	recNotRun                   // an attempt failed and is proven not to have run
	recFailed                   // an attempt failed and may have run
	recEnded                    // the final answer, whose notice is still owed
	recOver                     // nothing is owed any more
)

const (
	journalName    = "journal"
	recordHead     = 8
	maxRecord      = 64<<10 + 4<<10 + 64 // of the largest body and words that clients may send
	messageReserve = 1024                // room for the small records that will follow an accepted message
	minCompact     = 256 << 10           // a smaller file is not worth compacting
	DefaultDiskMB  = 3
	CompactPause   = 100 * time.Millisecond // after a failed compaction
)

var (
	errDiskBudget  = errors.New("the journal's share of the disk is used up")
	errDamaged     = errors.New("a record")
	errJournalDown = errors.New("journal: it could not be written a moment ago")
)

// Message is all that the journal knows of a message that still owes something.
type Message struct {
	seq      uint64
	ID, Key  string
	Class    int
	Tenant   int // -1 for none
	Dest     int
	Body     []byte
	Deadline time.Time
	Came     time.Time // when it was handed in; zero after a restart, for it is not kept
	Sends    []Send
	Ended    *Ending
}

// Send is an attempt. One that has not failed was out when the journal ended, and may have run as well.
type Send struct {
	At             time.Time
	Zone           int
	List           int64  // the revision that it rests on, and
	Life           uint32 // whose process's; 0 where that is not told
	NotRun, Failed bool
}

// Ending is the final answer of a message.
type Ending struct {
	Failed bool
	After  time.Duration
}

// size is about the room that a message takes in the journal.
func (p *Message) size() int64 {
	return int64(len(p.Body)+len(p.ID)+len(p.Key)) + messageReserve
}

// Journal appends records and keeps what is live, so that it can write the file anew.
type Journal struct {
	dir     string
	budget  int64
	f       *os.File
	written int64 // good bytes in the file
	live    map[uint64]*Message
	held    int64  // sum of the sizes of what is live
	pending []byte // records not yet in the file
	next    uint64
	broken  bool // the file lacks records of what is live; only a new file will do
	torn    bool // records that were given up may stand behind the good bytes, since they could not be cut off
	retryAt time.Time

	// Damage is why Open did not read to the end of the file, nil where it did or where a kill has torn the last record.
	// What stands behind it is lost.
	Damage error

	// Appended, if it is set, hears how long each write took.
	Appended func(time.Duration)
}

// Open replays the journal in dir, as far as its records are whole.
func Open(dir string, diskMB float64) (*Journal, error) {
	if diskMB <= 0 {
		diskMB = DefaultDiskMB
	}
	j := &Journal{dir: dir, budget: int64(diskMB*(1<<20)) - 16<<10, live: map[uint64]*Message{}, next: 1}
	// A compaction that was cut short left its file; the old one is still whole.
	if err := os.Remove(j.path() + ".new"); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	f, err := os.OpenFile(j.path(), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	j.f = f
	switch err := j.replay(f); {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF): // what a torn tail would have guarded was not done
	case errors.Is(err, errDamaged):
		j.Damage = fmt.Errorf("journal: at byte %d: %w", j.written, err)
	default: // what stands behind is not known, and may be owed
		return nil, errors.Join(fmt.Errorf("journal: at byte %d: %w", j.written, err), f.Close())
	}
	// Without a truncation a new file has to be written before anything is appended.
	j.broken = j.rewind() != nil
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
		j.written += int64(recordHead + len(payload))
	}
}

func (j *Journal) path() string { return filepath.Join(j.dir, journalName) }

func readRecord(r io.Reader) ([]byte, error) {
	var head [recordHead]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n == 0 || n > maxRecord {
		return nil, fmt.Errorf("%w: of impossible length", errDamaged)
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(r, payload); errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	} else if err != nil {
		return nil, err
	}
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(head[4:]) {
		return nil, fmt.Errorf("%w: with a wrong checksum", errDamaged)
	}
	return payload, nil
}

// fields reads the fields of a payload; bad is set when it is too short.
type fields struct {
	b   []byte
	bad bool
}

func (f *fields) number() uint64 {
	v, n := binary.Uvarint(f.b)
	if n <= 0 {
		f.bad, f.b = true, nil
		return 0
	}
	f.b = f.b[n:]
	return v
}

func (f *fields) bytes() []byte {
	n := f.number()
	if n > uint64(len(f.b)) {
		f.bad, f.b = true, nil
		return nil
	}
	v := f.b[:n]
	f.b = f.b[n:]
	return v
}

func (f *fields) time() time.Time { return time.UnixMicro(int64(f.number())) }

func appendBytes(b, v []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(v))), v...)
}

func appendTime(b []byte, t time.Time) []byte {
	return binary.AppendUvarint(b, uint64(t.UnixMicro()))
}

// apply brings what is live up to date with one record.
func (j *Journal) apply(payload []byte) {
	f := &fields{b: payload[1:]}
	seq := f.number()
	j.next = max(j.next, seq+1)
	p := j.live[seq]
	if p == nil && payload[0] != recAccepted {
		return
	}
	switch payload[0] {
	case recAccepted:
		p = &Message{seq: seq, ID: string(f.bytes()), Key: string(f.bytes()), Class: int(f.number()), Dest: int(f.number()),
			Deadline: f.time(), Body: f.bytes(), Tenant: -1}
		if len(f.b) > 0 { // not in journals of earlier builds
			p.Tenant = int(f.number()) - 1
		}
		if !f.bad {
			j.live[seq] = p
			j.held += p.size()
		}
	case recAttempt:
		s := Send{At: f.time(), Zone: int(f.number())}
		if len(f.b) > 0 { // not in journals of earlier builds, which leave it unread
			s.List, s.Life = int64(f.number()), uint32(f.number())
		}
		if !f.bad {
			p.Sends = append(p.Sends, s)
		}
	case recNotRun:
		if n := f.number(); !f.bad && n < uint64(len(p.Sends)) {
			p.Sends[n].NotRun, p.Sends[n].Failed = true, true
		}
	case recFailed:
		if n := f.number(); !f.bad && n < uint64(len(p.Sends)) {
			p.Sends[n].Failed = true
		}
	case recEnded:
		e := &Ending{Failed: f.number() == 1, After: time.Duration(f.number()) * time.Millisecond}
		if !f.bad {
			j.held -= p.size()
			p.Ended, p.Body, p.Sends = e, nil, nil // only the notice is owed
			j.held += p.size()
		}
	case recOver:
		j.held -= p.size()
		delete(j.live, seq)
	}
}

// add queues a record for the next flush, and brings what is live up to date.
func (j *Journal) add(payload []byte) {
	j.pending = appendRecord(j.pending, payload)
	j.apply(payload)
}

func appendRecord(b, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(payload))
	return append(b, payload...)
}

// Attempt notes that an attempt is about to be sent.
func (j *Journal) Attempt(p *Message, s Send) { j.add(attemptRecord(p.seq, s)) }

// NotRun notes that the n-th attempt failed and is proven not to have run.
func (j *Journal) NotRun(p *Message, n int) { j.add(outcomeRecord(recNotRun, p.seq, n)) }

// Failed notes that the n-th attempt failed and may have run.
func (j *Journal) Failed(p *Message, n int) { j.add(outcomeRecord(recFailed, p.seq, n)) }

// Ended notes the final answer of a message, whose notice is still owed.
func (j *Journal) Ended(p *Message, e Ending) { j.add(endedRecord(p.seq, e)) }

// Over notes that nothing is owed any more.
func (j *Journal) Over(p *Message) { j.add(record(recOver, p.seq)) }

// Owed are the messages that still owe something, in the order in which they were taken on.
func (j *Journal) Owed() []*Message {
	out := make([]*Message, 0, len(j.live))
	for _, seq := range slices.Sorted(maps.Keys(j.live)) {
		out = append(out, j.live[seq])
	}
	return out
}

// Down tells that the file lacks records of what is owed: it is to be flushed again, and takes nothing on.
func (j *Journal) Down() bool { return j.broken }

// Torn tells that the next start may find messages whose records a failed Flush has given up. Until it is over, nobody may
// be told that such a message was refused.
func (j *Journal) Torn() bool { return j.torn }

func record(kind byte, seq uint64) []byte { return binary.AppendUvarint([]byte{kind}, seq) }

func acceptedRecord(p *Message) []byte {
	b := record(recAccepted, p.seq)
	b = appendBytes(appendBytes(b, []byte(p.ID)), []byte(p.Key))
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(p.Class)), uint64(p.Dest))
	b = appendBytes(appendTime(b, p.Deadline), p.Body)
	return binary.AppendUvarint(b, uint64(p.Tenant+1))
}

func attemptRecord(seq uint64, s Send) []byte {
	b := binary.AppendUvarint(appendTime(record(recAttempt, seq), s.At), uint64(s.Zone))
	if s.Life == 0 {
		return b
	}
	return binary.AppendUvarint(binary.AppendUvarint(b, uint64(s.List)), uint64(s.Life))
}

// outcomeRecord is of recNotRun or recFailed.
func outcomeRecord(kind byte, seq uint64, attempt int) []byte {
	return binary.AppendUvarint(record(kind, seq), uint64(attempt))
}

func endedRecord(seq uint64, e Ending) []byte {
	failed := uint64(0)
	if e.Failed {
		failed = 1
	}
	b := binary.AppendUvarint(record(recEnded, seq), failed)
	return binary.AppendUvarint(b, uint64(e.After/time.Millisecond))
}

// Accept numbers a new message, queues its record and returns what is kept of it; it refuses what the disk may not have room for.
// Twice what is live must fit, since a compaction holds the old file and the new one at once.
func (j *Journal) Accept(p *Message) (*Message, error) {
	if j.broken {
		return nil, errJournalDown
	}
	if 2*(j.held+p.size())+int64(len(j.pending)) > j.budget {
		return nil, errDiskBudget
	}
	p.seq = j.next
	j.add(acceptedRecord(p))
	return j.live[p.seq], nil
}

// Flush writes what is queued. On an error nothing that the queued records guard may be done. What is live
// stays true all the same, and goes to a new file as soon as one can be written.
func (j *Journal) Flush() error {
	if j.broken {
		return j.recover()
	}
	if len(j.pending) == 0 {
		return nil
	}
	after := j.written + int64(len(j.pending))
	full := after+j.held > j.budget
	if full || (after > minCompact && after > 4*j.held) {
		err := j.compact()
		if err == nil {
			return nil
		}
		if full {
			j.giveUp()
			return err
		}
		// There is room to append for now.
	}
	return j.append(after)
}

// append writes what is queued to the end of the file, which then holds after bytes.
func (j *Journal) append(after int64) error {
	began := time.Now()
	_, err := j.f.WriteAt(j.pending, j.written)
	if j.Appended != nil {
		j.Appended(time.Since(began))
	}
	if err != nil {
		// Whole records of what is not going to be done must not be found at the next start.
		rewound := j.rewind()
		j.torn = rewound != nil
		j.giveUp()
		return fmt.Errorf("journal: %w", errors.Join(err, rewound))
	}
	j.written = after
	j.pending = j.pending[:0]
	return nil
}

// giveUp drops what is queued: only a new file can hold what is live.
func (j *Journal) giveUp() { j.pending, j.broken = nil, true }

// Restamp changes the times of all that is live, and writes it to a new file. After an error the times have changed here
// alone, and it is to be called again.
func (j *Journal) Restamp(change func(time.Time) time.Time) error {
	for _, p := range j.live {
		p.Deadline = change(p.Deadline)
		for i := range p.Sends {
			p.Sends[i].At = change(p.Sends[i].At)
		}
	}
	if len(j.live) == 0 {
		return nil
	}
	return j.compact()
}

// recover writes the new file that a broken journal needs. What has been queued meanwhile is live, and so in it.
func (j *Journal) recover() error {
	if j.torn && j.rewind() == nil {
		j.torn = false
	}
	j.pending = nil
	return j.compact()
}

// rewind cuts off whatever stands behind the last whole record.
func (j *Journal) rewind() error {
	return j.f.Truncate(j.written)
}

// compact writes what is live, queued records included, to a new file that takes the old one's place. After an error the
// old one stands, and compact fails at once for CompactPause: a full disk should not have all that is live written to it
// again and again.
func (j *Journal) compact() (err error) {
	if time.Now().Before(j.retryAt) {
		return errJournalDown
	}
	defer func() {
		if err != nil {
			j.retryAt = time.Now().Add(CompactPause)
		}
	}()
	f, err := os.OpenFile(j.path()+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("journal: compaction: %w", err)
	}
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("journal: compaction: %w", err), f.Close(), os.Remove(f.Name()))
		}
	}()
	size, err := j.writeLive(f)
	if err != nil {
		return err
	}
	if err := os.Rename(f.Name(), j.path()); err != nil {
		return err
	}
	old := j.f
	j.f, j.written, j.pending, j.broken, j.torn = f, size, nil, false, false // a large buffer is not kept
	old.Close()                                                              // nothing of the old file is needed any more
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
		for i, s := range p.Sends {
			put(attemptRecord(p.seq, s))
			switch {
			case s.NotRun:
				put(outcomeRecord(recNotRun, p.seq, i))
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

// Close writes what is queued and closes the file.
func (j *Journal) Close() error {
	j.retryAt = time.Time{} // there is no later try
	return errors.Join(j.Flush(), j.f.Close())
}
