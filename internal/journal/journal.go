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

func (j *Journal) path() string { return filepath.Join(j.dir, journalName) }

// add queues a record for the next flush, and brings what is live up to date.
func (j *Journal) add(payload []byte) {
	j.pending = appendRecord(j.pending, payload)
	j.apply(payload)
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

// Close writes what is queued and closes the file.
func (j *Journal) Close() error {
	j.retryAt = time.Time{} // there is no later try
	return errors.Join(j.Flush(), j.f.Close())
}
