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
	cacheFileName = "list.json"
	// MaxCachedList is the largest size of the cache file and of a fetched list, in bytes.
	MaxCachedList      = 4 << 20
	cacheWriteInterval = time.Second // minimum time between writes: a list that changes often is not worth the disk I/O
)

// Cache keeps the last valid list on disk, for a start while no list server answers. Its disk space is budgeted apart
// from the journal's. Losing the file loses no message, so a failed write is only logged.
type Cache struct {
	path      string
	maxBytes  int64
	Dirty     bool // the file is older than the list in memory
	nextWrite time.Time
}

// NewCache returns the cache in a directory. The file may be at most maxBytes long.
func NewCache(dir string, maxBytes int64) *Cache {
	return &Cache{path: filepath.Join(dir, cacheFileName), maxBytes: maxBytes}
}

// cacheFile is the content of the file: the list, the time of writing and a checksum of the list. The list's fields
// are at the top level so that builds from before the other two fields can read the file.
type cacheFile struct {
	List
	WrittenAtMS int64  `json:"kept_at_ms,omitempty"`
	Sum         uint32 `json:"sum,omitempty"`
}

// checksum returns the list's checksum. It is never 0, which in a file means that there is none.
func (l List) checksum() (uint32, error) {
	raw, err := json.Marshal(l)
	return max(crc32.ChecksumIEEE(raw), 1), err
}

// Read returns the cached list and when it was written. The revision is 0 if there is no file, and the time is zero
// if it is unknown. A file that is too long, truncated or corrupt is an error.
func (c *Cache) Read() (List, time.Time, error) {
	f, err := os.Open(c.path)
	if errors.Is(err, os.ErrNotExist) {
		return List{}, time.Time{}, nil
	}
	if err != nil {
		return List{}, time.Time{}, fmt.Errorf("list cache: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, MaxCachedList+1))
	if err == nil && len(raw) > MaxCachedList {
		err = fmt.Errorf("file is longer than %d bytes", MaxCachedList)
	}
	var file cacheFile
	if err == nil {
		err = json.Unmarshal(raw, &file)
	}
	if err == nil && file.Sum != 0 {
		var sum uint32
		if sum, err = file.List.checksum(); err == nil && sum != file.Sum {
			err = errors.New("checksum mismatch")
		}
	}
	if err == nil && file.Revision < 0 {
		err = fmt.Errorf("negative revision %d", file.Revision)
	}
	if err != nil {
		return List{}, time.Time{}, fmt.Errorf("list cache: %w", err)
	}
	if file.WrittenAtMS <= 0 {
		return file.List, time.Time{}, nil
	}
	return file.List, time.UnixMilli(file.WrittenAtMS), nil
}

// MarkDirty records that a list with the given revision has arrived.
func (c *Cache) MarkDirty(revision int64) { c.Dirty = revision > 0 }

// UntilDue returns the time until the next write is due; an hour if there is nothing to write.
func (c *Cache) UntilDue(now time.Time) time.Duration {
	if !c.Dirty {
		return time.Hour
	}
	return max(c.nextWrite.Sub(now), 0)
}

// Write replaces the file atomically.
func (c *Cache) Write(l List) error {
	c.nextWrite = time.Now().Add(cacheWriteInterval)
	sum, err := l.checksum()
	if err != nil {
		return fmt.Errorf("list cache: %w", err)
	}
	raw, err := json.Marshal(cacheFile{l, time.Now().UnixMilli(), sum})
	if err != nil {
		return fmt.Errorf("list cache: %w", err)
	}
	if int64(len(raw)) > c.maxBytes {
		return fmt.Errorf("list cache: %d bytes, at most %d allowed", len(raw), c.maxBytes)
	}
	return atomicfile.Replace(c.path, raw)
}
