package listwatch

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"harrierramp/internal/atomicfile"
)

const (
	keptName    = "list.json"
	MaxKeptList = 4 << 20
	keepPause   = time.Second // between writes: a list that changes often is not worth the disk's time
)

// Kept is the last good list on disk, for a start while no list server answers. It has room of its own, which the
// journal does without. Losing it loses nothing that is owed, so that a disk that can't take it is only noted.
type Kept struct {
	path  string
	room  int64
	Dirty bool // the file is older than what is known
	next  time.Time
}

// NewKept is the kept list in a folder, with room for so many bytes.
func NewKept(dir string, room int64) *Kept {
	return &Kept{path: filepath.Join(dir, keptName), room: room}
}

// Read returns the list that was kept; none was if its revision is 0.
func (k *Kept) Read() (List, error) {
	var l List
	raw, err := os.ReadFile(k.path)
	if errors.Is(err, os.ErrNotExist) {
		return l, nil
	}
	if err != nil {
		return l, fmt.Errorf("kept list: %w", err)
	}
	if err := json.Unmarshal(raw, &l); err != nil {
		return List{}, fmt.Errorf("kept list: %w", err)
	}
	return l, nil
}

// Changed notes that a list has come.
func (k *Kept) Changed(revision int64) { k.Dirty = revision > 0 }

// Wait is how long it is until the file is due.
func (k *Kept) Wait(now time.Time) time.Duration {
	if !k.Dirty {
		return time.Hour
	}
	return max(k.next.Sub(now), 0)
}

// Write replaces the file as a whole.
func (k *Kept) Write(l List) error {
	k.next = time.Now().Add(keepPause)
	raw, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("kept list: %w", err)
	}
	if int64(len(raw)) > k.room {
		return fmt.Errorf("kept list: %d bytes, and room for %d", len(raw), k.room)
	}
	return atomicfile.Replace(k.path, raw)
}
