// Package journal keeps messages that a node has taken on until nothing is owed for them any more. One goroutine owns a
// Journal.
package journal

import (
	"errors"
	"fmt"
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
	recAccepted    byte = iota + 1 // a message was taken on
	recAttempt                     // an attempt is about to be sent
	recNotExecuted                 // an attempt failed and is proven not to have run
	recFailed                      // an attempt failed and may have run
	recEnded                       // the final answer, whose notice is still owed
	recSettled                     // nothing is owed any more
)

const (
	journalFile         = "journal"
	recordHeaderBytes   = 8
	maxRecordBytes      = 64<<10 + 4<<10 + 64 // of the largest body and words that clients may send
	messageReserveBytes = 1024                // room for the small records that will follow an accepted message
	minCompactBytes     = 256 << 10           // a smaller file is not worth compacting
	DefaultDiskMB       = 3
	CompactRetryDelay   = 100 * time.Millisecond // after a failed compaction
)

var (
	errDiskBudget = errors.New("the journal's share of the disk is used up")
	errCorrupt    = errors.New("a record")
	errUnwritable = errors.New("journal: it could not be written a moment ago")
)

// Message is all that the journal knows of a message that still owes something.
type Message struct {
	seq        uint64
	ID, Key    string
	Class      int
	Tenant     int // -1 for none
	Dest       int
	Body       []byte
	Deadline   time.Time
	ReceivedAt time.Time `json:"Came"` // when it was handed in; zero after a restart, for it is not kept
	Attempts   []Attempt `json:"Sends"`
	Ended      *Ending
}

// Send is an attempt. One that has not failed was out when the journal ended, and may have run as well.
type Attempt struct {
	At           time.Time
	Zone         int
	ListRevision int64  `json:"List"` // the revision that it rests on, and
	Incarnation  uint32 `json:"Life"` // whose process's; 0 where that is not told
	NotExecuted  bool   `json:"NotRun"`
	Failed       bool
}

// Ending is the final answer of a message.
type Ending struct {
	Failed     bool
	RetryAfter time.Duration `json:"After"`
}

// size is about the room that a message takes in the journal.
func (p *Message) size() int64 {
	return int64(len(p.Body)+len(p.ID)+len(p.Key)) + messageReserveBytes
}

// Journal appends records and keeps what is live, so that it can write the file anew.
type Journal struct {
	dir              string
	budgetBytes      int64
	file             *os.File
	fileBytes        int64 // good bytes in the file
	live             map[uint64]*Message
	liveBytes        int64  // sum of the sizes of what is live
	pending          []byte // records not yet in the file
	nextSeq          uint64
	needsRewrite     bool // the file lacks records of what is live; only a new file will do
	staleTail        bool // records that were given up may stand behind the good bytes, since they could not be cut off
	compactNotBefore time.Time

	// Damage is why Open did not read to the end of the file, nil where it did or where a kill has torn the last record.
	// What stands behind it is lost.
	Damage error

	// Appended, if it is set, hears how long each write took.
	OnAppend func(time.Duration)
}

func (j *Journal) path() string { return filepath.Join(j.dir, journalFile) }

// add queues a record for the next flush, and brings what is live up to date.
func (j *Journal) enqueue(payload []byte) {
	j.pending = appendRecord(j.pending, payload)
	j.apply(payload)
}

// Attempt notes that an attempt is about to be sent.
func (j *Journal) RecordAttempt(p *Message, s Attempt) { j.enqueue(attemptRecord(p.seq, s)) }

// NotRun notes that the n-th attempt failed and is proven not to have run.
func (j *Journal) RecordNotExecuted(p *Message, n int) {
	j.enqueue(outcomeRecord(recNotExecuted, p.seq, n))
}

// Failed notes that the n-th attempt failed and may have run.
func (j *Journal) RecordFailed(p *Message, n int) { j.enqueue(outcomeRecord(recFailed, p.seq, n)) }

// Ended notes the final answer of a message, whose notice is still owed.
func (j *Journal) RecordEnded(p *Message, e Ending) { j.enqueue(endedRecord(p.seq, e)) }

// Over notes that nothing is owed any more.
func (j *Journal) RecordSettled(p *Message) { j.enqueue(record(recSettled, p.seq)) }

// Owed are the messages that still owe something, in the order in which they were taken on.
func (j *Journal) Unsettled() []*Message {
	out := make([]*Message, 0, len(j.live))
	for _, seq := range slices.Sorted(maps.Keys(j.live)) {
		out = append(out, j.live[seq])
	}
	return out
}

// Down tells that the file lacks records of what is owed: it is to be flushed again, and takes nothing on.
func (j *Journal) Down() bool { return j.needsRewrite }

// Torn tells that the next start may find messages whose records a failed Flush has given up. Until it is over, nobody may
// be told that such a message was refused.
func (j *Journal) StaleTail() bool { return j.staleTail }

// Accept numbers a new message, queues its record and returns what is kept of it; it refuses what the disk may not have room for.
// Twice what is live must fit, since a compaction holds the old file and the new one at once.
func (j *Journal) Accept(p *Message) (*Message, error) {
	if j.needsRewrite {
		return nil, errUnwritable
	}
	if 2*(j.liveBytes+p.size())+int64(len(j.pending)) > j.budgetBytes {
		return nil, errDiskBudget
	}
	p.seq = j.nextSeq
	j.enqueue(acceptedRecord(p))
	return j.live[p.seq], nil
}

// Flush writes what is queued. On an error nothing that the queued records guard may be done. What is live
// stays true all the same, and goes to a new file as soon as one can be written.
func (j *Journal) Flush() error {
	if j.needsRewrite {
		return j.rewrite()
	}
	if len(j.pending) == 0 {
		return nil
	}
	newSize := j.fileBytes + int64(len(j.pending))
	full := newSize+j.liveBytes > j.budgetBytes
	if full || (newSize > minCompactBytes && newSize > 4*j.liveBytes) {
		err := j.compact()
		if err == nil {
			return nil
		}
		if full {
			j.discardPending()
			return err
		}
		// There is room to append for now.
	}
	return j.append(newSize)
}

// append writes what is queued to the end of the file, which then holds after bytes.
func (j *Journal) append(newSize int64) error {
	began := time.Now()
	_, err := j.file.WriteAt(j.pending, j.fileBytes)
	if j.OnAppend != nil {
		j.OnAppend(time.Since(began))
	}
	if err != nil {
		// Whole records of what is not going to be done must not be found at the next start.
		truncateErr := j.truncateTail()
		j.staleTail = truncateErr != nil
		j.discardPending()
		return fmt.Errorf("journal: %w", errors.Join(err, truncateErr))
	}
	j.fileBytes = newSize
	j.pending = j.pending[:0]
	return nil
}

// Close writes what is queued and closes the file.
func (j *Journal) Close() error {
	j.compactNotBefore = time.Time{} // there is no later try
	return errors.Join(j.Flush(), j.file.Close())
}
