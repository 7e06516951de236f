package journal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// Contents are what stands in a journal's file at one moment.
type Contents struct {
	Unsettled  []*Message // in the order in which they were taken on
	ValidBytes int64      // of whole records
	// Damage is why reading ended before the end of the file, nil if it did not. Torn tells that the file ends inside
	// its last record, as a kill leaves it or as it looks while a node writes; anything else is damage.
	Damage error
	Torn   bool
}

// Read reads the journal in a folder without changing anything, also while a node writes it.
func Read(dir string) (Contents, error) {
	f, err := os.Open(filepath.Join(dir, journalFile))
	if err != nil {
		return Contents{}, fmt.Errorf("journal: %w", err)
	}
	defer f.Close()
	return ReadFrom(f)
}

// ReadFrom reads a journal's bytes.
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
