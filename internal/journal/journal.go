// Package journal is the write-ahead log of a node. It stores the messages that the node has accepted until they are
// settled, that is, until each has been delivered or its final answer has been sent. A Journal is not safe for
// concurrent use.
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

// The journal is a single append-only file of records. A record consists of the length and the CRC-32 of its payload,
// four bytes each, and the payload: a record kind, the sequence number of the message, and fields that depend on the
// kind. Data that a process has written outlives the process, so the file is never synced; a kill can at most tear the
// last record.

const (
	recAccepted    byte = iota + 1 // a message was accepted
	recAttempt                     // an attempt is about to be sent
	recNotExecuted                 // an attempt failed and is proven not to have been executed
	recFailed                      // an attempt failed and may have been executed
	recEnded                       // the message has its final answer; the notice is still to be sent
	recSettled                     // nothing is left to do for the message
)

const (
	journalFile         = "journal"
	recordHeaderBytes   = 8
	maxRecordBytes      = 64<<10 + 4<<10 + 64    // the largest body and other fields that clients may send
	messageReserveBytes = 1024                   // for the small records that will follow an accepted message
	minCompactBytes     = 256 << 10              // smaller files are not worth compacting
	DefaultDiskMB       = 3                      // disk budget in MiB if none is configured
	CompactRetryDelay   = 100 * time.Millisecond // delay after a failed compaction
)

var (
	errDiskBudget = errors.New("journal: disk budget exhausted")
	errCorrupt    = errors.New("corrupt record")
	errUnwritable = errors.New("journal: not writable after a recent failure")
)

// Message is what the journal stores of an unsettled message.
type Message struct {
	seq        uint64
	ID, Key    string
	Class      int
	Tenant     int // -1 for none
	Dest       int
	Body       []byte
	Deadline   time.Time
	ReceivedAt time.Time `json:"Came"` // zero after a restart, because it is not stored
	Attempts   []Attempt `json:"Sends"`
	Ended      *Ending
	ranBefore  bool // an attempt may have been executed before the message got its final answer
}

// MayHaveRun reports whether an attempt of the message may have been executed.
func (p *Message) MayHaveRun() bool {
	return p.ranBefore || slices.ContainsFunc(p.Attempts, func(a Attempt) bool { return !a.NotExecuted })
}

// Settled is a message that has left the journal.
type Settled struct {
	ID         string
	Delivered  bool // it left without a final answer of the node
	MayHaveRun bool
}

// Attempt is a delivery attempt. One that has not failed was in progress when the journal ended, and may have been
// executed too.
type Attempt struct {
	At           time.Time
	Zone         int
	ListRevision int64  `json:"List"` // revision of the endpoint list that the attempt was decided on
	Incarnation  uint32 `json:"Life"` // of the deciding process; 0 if neither was recorded
	NotExecuted  bool   `json:"NotRun"`
	Failed       bool
}

// Ending is the final answer of a message.
type Ending struct {
	Failed     bool
	RetryAfter time.Duration `json:"After"`
}

// size estimates the space in bytes that a message takes in the journal.
func (p *Message) size() int64 {
	return int64(len(p.Body)+len(p.ID)+len(p.Key)) + messageReserveBytes
}

// Journal appends records to the file, and keeps the unsettled messages in memory so that it can write a new file.
type Journal struct {
	dir              string
	budgetBytes      int64
	file             *os.File
	fileBytes        int64               // length of the valid records in the file
	live             map[uint64]*Message // unsettled messages by sequence number
	liveBytes        int64               // sum of the sizes of the live messages
	pending          []byte              // records that are not yet in the file
	nextSeq          uint64
	needsRewrite     bool // the file lacks records of live messages, so a new file has to be written
	staleTail        bool // discarded records may follow the valid ones, since truncating the file failed
	compactNotBefore time.Time

	// Damage is why Open did not read the file to its end. It is nil if Open did, or if only the last record is torn.
	// What follows the damage is lost.
	Damage error

	// FoundSettled are the messages that Open found settled in the file, in the order in which they were. A compaction
	// drops them from the file.
	FoundSettled []Settled

	// OnAppend, if not nil, is called with the duration of each write.
	OnAppend func(time.Duration)
}

func (j *Journal) path() string { return filepath.Join(j.dir, journalFile) }

// enqueue queues a record for the next Flush and applies it to the live messages.
func (j *Journal) enqueue(payload []byte) {
	j.pending = appendRecord(j.pending, payload)
	j.apply(payload)
}

// RecordAttempt records that an attempt is about to be sent.
func (j *Journal) RecordAttempt(p *Message, s Attempt) { j.enqueue(attemptRecord(p.seq, s)) }

// RecordNotExecuted records that the n-th attempt failed and is proven not to have been executed.
func (j *Journal) RecordNotExecuted(p *Message, n int) {
	j.enqueue(outcomeRecord(recNotExecuted, p.seq, n))
}

// RecordFailed records that the n-th attempt failed and may have been executed.
func (j *Journal) RecordFailed(p *Message, n int) { j.enqueue(outcomeRecord(recFailed, p.seq, n)) }

// RecordEnded records the final answer of a message, whose notice is still to be sent.
func (j *Journal) RecordEnded(p *Message, e Ending) { j.enqueue(endedRecord(p.seq, e, p.MayHaveRun())) }

// RecordSettled records that nothing is left to do for a message.
func (j *Journal) RecordSettled(p *Message) { j.enqueue(record(recSettled, p.seq)) }

// Unsettled returns the unsettled messages in the order in which they were accepted.
func (j *Journal) Unsettled() []*Message {
	out := make([]*Message, 0, len(j.live))
	for _, seq := range slices.Sorted(maps.Keys(j.live)) {
		out = append(out, j.live[seq])
	}
	return out
}

// Down reports whether the file lacks records of unsettled messages. While it does, Accept fails, and Flush has to be
// called again.
func (j *Journal) Down() bool { return j.needsRewrite }

// StaleTail reports whether the next start may find messages whose records a failed Flush has discarded. While it may,
// no client may be told that such a message was refused.
func (j *Journal) StaleTail() bool { return j.staleTail }

// Accept assigns a sequence number to a new message, queues its record and returns the stored message. It fails if the
// message does not fit into the disk budget. The budget must hold the live messages twice, since the old and the new
// file exist at the same time during a compaction.
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

// Flush writes the queued records. If it fails, the caller must not perform the actions that the queued records
// announce. The live messages in memory stay valid, and are written to a new file as soon as that succeeds.
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
		// There is still room to append.
	}
	return j.append(newSize)
}

// append writes the queued records to the end of the file, whose valid length then is newSize.
func (j *Journal) append(newSize int64) error {
	began := time.Now()
	_, err := j.file.WriteAt(j.pending, j.fileBytes)
	if j.OnAppend != nil {
		j.OnAppend(time.Since(began))
	}
	if err != nil {
		// The next start must not find complete records of actions that are not going to be performed.
		truncateErr := j.truncateTail()
		j.staleTail = truncateErr != nil
		j.discardPending()
		return fmt.Errorf("journal: %w", errors.Join(err, truncateErr))
	}
	j.fileBytes = newSize
	j.pending = j.pending[:0]
	return nil
}

// Close writes the queued records and closes the file.
func (j *Journal) Close() error {
	j.compactNotBefore = time.Time{} // retry now: this is the last chance
	return errors.Join(j.Flush(), j.file.Close())
}
