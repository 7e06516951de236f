package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/atomicfile"
	"harrierramp/internal/config"
)

const (
	estimatesFileName = "learnt.json"
	// The file may take 1/estimatesDiskDivisor of the disk limit, and as much again while it is being replaced,
	// but never less than minEstimatesBytes. The 192 KiB out of 3 MiB hold 1,024 destinations.
	estimatesDiskDivisor   = 16
	minEstimatesBytes      = 24 << 10
	estimatesWriteInterval = 2 * time.Second // minimum time between writes
	maxEstimatesAge        = 2 * time.Minute // older estimates are not used
)

// estimateStore keeps the sender's estimates of destinations and endpoints in the state folder, so that after a
// restart of the fleet not every node has to form them anew. Nothing else depends on the file. The loop owns
// the store.
type estimateStore struct {
	path      string
	maxBytes  int64 // limit of the file's size
	dirty     bool  // calls have ended since the last write
	nextWrite time.Time
}

// estimatesFile is the stored form of the estimates.
type estimatesFile struct {
	At     int64           `json:"at"`  // Unix time in milliseconds
	Sum    uint32          `json:"sum"` // CRC-32 of Memory
	Memory json.RawMessage `json:"memory"`
}

func newEstimateStore(c config.Config) *estimateStore {
	return &estimateStore{path: filepath.Join(c.StateDir, estimatesFileName), maxBytes: estimatesBytes(c)}
}

// estimatesBytes returns the maximum size of the file.
func estimatesBytes(c config.Config) int64 {
	return max(int64(diskMB(c)*(1<<20))/estimatesDiskDivisor, minEstimatesBytes)
}

// read returns the stored estimates and their age. ok is false if there are none, or if they are too old or
// from the future.
func (s *estimateStore) read(now time.Time) (e choice.MemoryRestored, ok bool, err error) {
	raw, err := os.ReadFile(s.path)
	if errors.Is(err, os.ErrNotExist) {
		return e, false, nil
	}
	if err != nil {
		return e, false, fmt.Errorf("stored estimates: %w", err)
	}
	var f estimatesFile
	if err := json.Unmarshal(raw, &f); err != nil {
		return e, false, fmt.Errorf("stored estimates: %w", err)
	}
	if crc32.ChecksumIEEE(f.Memory) != f.Sum {
		return e, false, errors.New("stored estimates: checksum mismatch")
	}
	if err := json.Unmarshal(f.Memory, &e.Memory); err != nil {
		return e, false, fmt.Errorf("stored estimates: %w", err)
	}
	e.Age = now.Sub(time.UnixMilli(f.At))
	return e, e.Age >= 0 && e.Age <= maxEstimatesAge, nil
}

// write replaces the file. It fails if the estimates exceed the size limit.
func (s *estimateStore) write(m choice.Memory, now time.Time) error {
	s.dirty, s.nextWrite = false, now.Add(estimatesWriteInterval)
	memory, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("stored estimates: %w", err)
	}
	raw, err := json.Marshal(estimatesFile{now.UnixMilli(), crc32.ChecksumIEEE(memory), memory})
	if err != nil {
		return fmt.Errorf("stored estimates: %w", err)
	}
	if int64(len(raw)) > s.maxBytes {
		return fmt.Errorf("stored estimates: %d bytes exceed the limit of %d", len(raw), s.maxBytes)
	}
	return atomicfile.Replace(s.path, raw)
}

// saveEstimates writes the estimates if they have changed and a write is due.
func (n *Node) saveEstimates() {
	if now := time.Now(); n.estimates != nil && n.estimates.dirty && !now.Before(n.estimates.nextWrite) {
		if err := n.estimates.write(n.sender.Remember(), now); err != nil {
			n.log.Warn("learnt_not_kept", "err", err)
		}
	}
}

// restoredEstimates returns the sender's event with the estimates of an earlier process, if there are any.
func (n *Node) restoredEstimates() []choice.Event {
	e, ok, err := n.estimates.read(time.Now())
	if err != nil {
		n.log.Warn("learnt_unusable", "err", err)
	}
	if !ok {
		return nil
	}
	return []choice.Event{e}
}
