package journal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// Contents describes a journal file at one moment.
type Contents struct {
	Unsettled  []*Message // in the order in which they were accepted
	ValidBytes int64      // length of the valid records
	// Damage is why reading ended before the end of the file, or nil. Torn reports that the file ends inside its last
	// record, as after a kill or while a node writes to it; every other cause is real damage.
	Damage error
	Torn   bool
}

// Read reads the journal in the directory dir without changing it. A node may write to the journal at the same time.
func Read(dir string) (Contents, error) {
	f, err := os.Open(filepath.Join(dir, journalFile))
	if err != nil {
		return Contents{}, fmt.Errorf("journal: %w", err)
	}
	defer f.Close()
	return ReadFrom(f)
}

// ReadFrom reads the contents of a journal file from r.
func ReadFrom(r io.Reader) (Contents, error) {
	j := Journal{live: map[uint64]*Message{}, nextSeq: 1}
	err := j.replay(r)
	c := Contents{Unsettled: j.Unsettled(), ValidBytes: j.fileBytes}
	switch {
	case errors.Is(err, io.EOF):
	case errors.Is(err, io.ErrUnexpectedEOF):
		c.Damage, c.Torn = fmt.Errorf("at byte %d: the file ends inside a record", j.fileBytes), true
	case errors.Is(err, errCorrupt):
		c.Damage = fmt.Errorf("at byte %d: %w", j.fileBytes, err)
	default:
		return c, fmt.Errorf("journal: at byte %d: %w", j.fileBytes, err)
	}
	return c, nil
}
