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
	Owed  []*Message // in the order in which they were taken on
	Bytes int64      // of whole records
	// Damage is why reading ended before the end of the file, nil if it did not. Torn tells that the file ends inside
	// its last record, as a kill leaves it or as it looks while a node writes; anything else is damage.
	Damage error
	Torn   bool
}

// Read reads the journal in a folder without changing anything, also while a node writes it.
func Read(dir string) (Contents, error) {
	f, err := os.Open(filepath.Join(dir, journalName))
	if err != nil {
		return Contents{}, fmt.Errorf("journal: %w", err)
	}
	defer f.Close()
	return ReadFrom(f)
}

// ReadFrom reads a journal's bytes.
func ReadFrom(r io.Reader) (Contents, error) {
	j := Journal{live: map[uint64]*Message{}, next: 1}
	err := j.replay(r)
	c := Contents{Owed: j.Owed(), Bytes: j.written}
	switch {
	case errors.Is(err, io.EOF):
	case errors.Is(err, io.ErrUnexpectedEOF):
		c.Damage, c.Torn = fmt.Errorf("at byte %d: the file ends inside a record", j.written), true
	case errors.Is(err, errDamaged):
		c.Damage = fmt.Errorf("at byte %d: %w", j.written, err)
	default:
		return c, fmt.Errorf("journal: at byte %d: %w", j.written, err)
	}
	return c, nil
}
