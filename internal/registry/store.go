package registry

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

const (
	logFile             = "list.log"
	lockFile            = "lock"
	minCompactBytes     = 256 << 10 // a smaller log is not compacted
	compactGrowthFactor = 4         // a log is compacted when it exceeds its complete list by this factor
)

// errStoreUnavailable is returned while the log can't be appended to until it has been compacted.
var errStoreUnavailable = errors.New("the log can't be written")

// Store is the state directory that holds the log of the list. When Append or Compact returns without an error, the
// data is synced to disk.
type Store struct {
	path           string
	lock           *os.File
	file           *os.File
	size           int64 // valid bytes of the log
	snapshotSize   int64 // size of the magic and the first record, a complete list
	dirtyTail      bool  // the file may hold invalid bytes beyond size
	TruncatedBytes int64 // bytes of a torn tail that were removed when the log was opened
}

// OpenStore opens the state directory, locks it against other processes, and returns the lists in its log; none if the
// log does not exist yet.
func OpenStore(dir string) (*Store, []List, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("store: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, nil, fmt.Errorf("store: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, nil, errors.Join(fmt.Errorf("store: directory %s is locked by another process: %w", dir, err), lock.Close())
	}
	s := &Store{path: filepath.Join(dir, logFile), lock: lock}
	lists, err := s.open()
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("store: %w", err), s.Close())
	}
	return s, lists, nil
}

func (s *Store) open() ([]List, error) {
	// A leftover from a compaction that was interrupted; the old log is intact.
	if err := os.Remove(s.path + ".new"); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	raw, err := os.ReadFile(s.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	lists, validBytes, err := readLog(s.path, raw)
	if err != nil {
		return nil, err
	}
	if s.file, err = os.OpenFile(s.path, os.O_RDWR, 0o600); err != nil {
		return nil, err
	}
	s.size, s.TruncatedBytes = validBytes, int64(len(raw))-validBytes
	if s.TruncatedBytes > 0 {
		if err := errors.Join(s.file.Truncate(validBytes), s.file.Sync()); err != nil {
			return nil, err
		}
	}
	first, err := appendRecord([]byte(logMagic), lists[0])
	s.snapshotSize = int64(len(first))
	return lists, err
}

// Append appends changes to the log. After an error none of them is in effect.
func (s *Store) Append(lists ...List) error {
	if s.file == nil || s.dirtyTail {
		return errStoreUnavailable
	}
	var raw []byte
	for _, l := range lists {
		var err error
		if raw, err = appendRecord(raw, l); err != nil {
			return fmt.Errorf("store: %w", err)
		}
	}
	_, err := s.file.WriteAt(raw, s.size)
	if err == nil {
		err = s.file.Sync()
	}
	if err != nil {
		// Part of the data may have been written, and after a failed sync the file's content is unknown.
		truncateErr := errors.Join(s.file.Truncate(s.size), s.file.Sync())
		s.dirtyTail = truncateErr != nil
		return fmt.Errorf("store: %w", errors.Join(err, truncateErr))
	}
	s.size += int64(len(raw))
	return nil
}

// ShouldCompact reports whether the log is large enough to be compacted.
func (s *Store) ShouldCompact() bool {
	return s.size > max(minCompactBytes, compactGrowthFactor*s.snapshotSize)
}

// Unwritable reports whether the log must be compacted before it can be appended to.
func (s *Store) Unwritable() bool { return s.file == nil || s.dirtyTail }

// Size returns the size of the log in bytes.
func (s *Store) Size() int64 { return s.size }

// Compact replaces the log with one that holds a complete list instead of the changes that led to it. After an error
// before the rename, the old log remains in use.
func (s *Store) Compact(snapshot List) error {
	raw, err := appendRecord([]byte(logMagic), snapshot)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	newPath := s.path + ".new"
	f, err := os.OpenFile(newPath, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	_, err = f.Write(raw)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = os.Rename(newPath, s.path)
	}
	if err != nil {
		return fmt.Errorf("store: %w", errors.Join(err, f.Close(), os.Remove(newPath)))
	}
	old := s.file
	s.file, s.size, s.snapshotSize, s.dirtyTail = f, int64(len(raw)), int64(len(raw)), false
	if old != nil {
		err = old.Close()
	}
	return errors.Join(err, syncDir(filepath.Dir(s.path)))
}

// syncDir syncs a directory, so that a rename in it survives a power failure.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Close closes the files and releases the lock of the state directory.
func (s *Store) Close() error {
	var err error
	if s.file != nil {
		err = s.file.Close()
	}
	return errors.Join(err, s.lock.Close())
}
