package listwatch

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
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

// keptFile is what stands in the file: the list, so that a build from before the rest reads it as well, when it was
// written, and a checksum of the list.
type keptFile struct {
	List
	KeptAtMS int64  `json:"kept_at_ms,omitempty"`
	Sum      uint32 `json:"sum,omitempty"`
}

// sum is the checksum of a list; never 0, which stands for none.
func (l List) sum() (uint32, error) {
	raw, err := json.Marshal(l)
	return max(crc32.ChecksumIEEE(raw), 1), err
}

// Read returns the list that was kept, and when; none was if its revision is 0. The time is zero if it is not known. A
// file that is longer than its room, cut, or flipped anywhere is an error.
func (k *Kept) Read() (List, time.Time, error) {
	f, err := os.Open(k.path)
	if errors.Is(err, os.ErrNotExist) {
		return List{}, time.Time{}, nil
	}
	if err != nil {
		return List{}, time.Time{}, fmt.Errorf("kept list: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, MaxKeptList+1))
	if err == nil && len(raw) > MaxKeptList {
		err = fmt.Errorf("over %d bytes", MaxKeptList)
	}
	var file keptFile
	if err == nil {
		err = json.Unmarshal(raw, &file)
	}
	if err == nil && file.Sum != 0 {
		var sum uint32
		if sum, err = file.List.sum(); err == nil && sum != file.Sum {
			err = errors.New("its checksum is another")
		}
	}
	if err == nil && file.Revision < 0 {
		err = fmt.Errorf("revision %d", file.Revision)
	}
	if err != nil {
		return List{}, time.Time{}, fmt.Errorf("kept list: %w", err)
	}
	if file.KeptAtMS <= 0 {
		return file.List, time.Time{}, nil
	}
	return file.List, time.UnixMilli(file.KeptAtMS), nil
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
	sum, err := l.sum()
	if err != nil {
		return fmt.Errorf("kept list: %w", err)
	}
	raw, err := json.Marshal(keptFile{l, time.Now().UnixMilli(), sum})
	if err != nil {
		return fmt.Errorf("kept list: %w", err)
	}
	if int64(len(raw)) > k.room {
		return fmt.Errorf("kept list: %d bytes, and room for %d", len(raw), k.room)
	}
	return atomicfile.Replace(k.path, raw)
}
