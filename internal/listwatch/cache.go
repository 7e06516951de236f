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
	cacheFileName      = "list.json"
	MaxCachedList      = 4 << 20
	cacheWriteInterval = time.Second // between writes: a list that changes often is not worth the disk's time
)

// Kept is the last good list on disk, for a start while no list server answers. It has room of its own, which the
// journal does without. Losing it loses nothing that is owed, so that a disk that can't take it is only noted.
type Cache struct {
	path      string
	maxBytes  int64
	Dirty     bool // the file is older than what is known
	nextWrite time.Time
}

// NewKept is the kept list in a folder, with room for so many bytes.
func NewCache(dir string, maxBytes int64) *Cache {
	return &Cache{path: filepath.Join(dir, cacheFileName), maxBytes: maxBytes}
}

// keptFile is what stands in the file: the list, so that a build from before the rest reads it as well, when it was
// written, and a checksum of the list.
type cacheFile struct {
	List
	WrittenAtMS int64  `json:"kept_at_ms,omitempty"`
	Sum         uint32 `json:"sum,omitempty"`
}

// sum is the checksum of a list; never 0, which stands for none.
func (l List) checksum() (uint32, error) {
	raw, err := json.Marshal(l)
	return max(crc32.ChecksumIEEE(raw), 1), err
}

// Read returns the list that was kept, and when; none was if its revision is 0. The time is zero if it is not known. A
// file that is longer than its room, cut, or flipped anywhere is an error.
func (c *Cache) Read() (List, time.Time, error) {
	f, err := os.Open(c.path)
	if errors.Is(err, os.ErrNotExist) {
		return List{}, time.Time{}, nil
	}
	if err != nil {
		return List{}, time.Time{}, fmt.Errorf("kept list: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, MaxCachedList+1))
	if err == nil && len(raw) > MaxCachedList {
		err = fmt.Errorf("over %d bytes", MaxCachedList)
	}
	var file cacheFile
	if err == nil {
		err = json.Unmarshal(raw, &file)
	}
	if err == nil && file.Sum != 0 {
		var sum uint32
		if sum, err = file.List.checksum(); err == nil && sum != file.Sum {
			err = errors.New("its checksum is another")
		}
	}
	if err == nil && file.Revision < 0 {
		err = fmt.Errorf("revision %d", file.Revision)
	}
	if err != nil {
		return List{}, time.Time{}, fmt.Errorf("kept list: %w", err)
	}
	if file.WrittenAtMS <= 0 {
		return file.List, time.Time{}, nil
	}
	return file.List, time.UnixMilli(file.WrittenAtMS), nil
}

// Changed notes that a list has come.
func (c *Cache) MarkDirty(revision int64) { c.Dirty = revision > 0 }

// Wait is how long it is until the file is due.
func (c *Cache) UntilDue(now time.Time) time.Duration {
	if !c.Dirty {
		return time.Hour
	}
	return max(c.nextWrite.Sub(now), 0)
}

// Write replaces the file as a whole.
func (c *Cache) Write(l List) error {
	c.nextWrite = time.Now().Add(cacheWriteInterval)
	sum, err := l.checksum()
	if err != nil {
		return fmt.Errorf("kept list: %w", err)
	}
	raw, err := json.Marshal(cacheFile{l, time.Now().UnixMilli(), sum})
	if err != nil {
		return fmt.Errorf("kept list: %w", err)
	}
	if int64(len(raw)) > c.maxBytes {
		return fmt.Errorf("kept list: %d bytes, and room for %d", len(raw), c.maxBytes)
	}
	return atomicfile.Replace(c.path, raw)
}
