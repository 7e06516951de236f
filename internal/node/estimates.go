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
	estimatesFileName      = "learnt.json"
	estimatesDiskDivisor   = 16              // the file may take this part of the disk, and as much again while it is replaced:
	minEstimatesBytes      = 24 << 10        // 192 KiB of 3 MB hold 1,024 destinations; but never less than this
	estimatesWriteInterval = 2 * time.Second // between writes
	maxEstimatesAge        = 2 * time.Minute // older than this it is worth nothing
)

// learnt is what the sender has learnt, in the lasting folder, so that a restart of the fleet does not learn every
// destination anew in every node. Losing it loses only that. The loop owns it.
type estimateStore struct {
	path      string
	maxBytes  int64 // for the file, in bytes
	dirty     bool  // calls have ended since the last write
	nextWrite time.Time
}

// learntFile is its lasting form.
type estimatesFile struct {
	At     int64           `json:"at"`  // Unix time in milliseconds
	Sum    uint32          `json:"sum"` // CRC-32 of Memory
	Memory json.RawMessage `json:"memory"`
}

func newEstimateStore(c config.Config) *estimateStore {
	return &estimateStore{path: filepath.Join(c.StateDir, estimatesFileName), maxBytes: estimatesBytes(c)}
}

// learntRoom is the room of the file, in bytes.
func estimatesBytes(c config.Config) int64 {
	return max(int64(diskMB(c)*(1<<20))/estimatesDiskDivisor, minEstimatesBytes)
}

// read returns what was written and how long ago; ok is false where there is nothing that can be used.
func (s *estimateStore) read(now time.Time) (e choice.MemoryRestored, ok bool, err error) {
	raw, err := os.ReadFile(s.path)
	if errors.Is(err, os.ErrNotExist) {
		return e, false, nil
	}
	if err != nil {
		return e, false, fmt.Errorf("learnt: %w", err)
	}
	var f estimatesFile
	if err := json.Unmarshal(raw, &f); err != nil {
		return e, false, fmt.Errorf("learnt: %w", err)
	}
	if crc32.ChecksumIEEE(f.Memory) != f.Sum {
		return e, false, errors.New("learnt: a wrong checksum")
	}
	if err := json.Unmarshal(f.Memory, &e.Memory); err != nil {
		return e, false, fmt.Errorf("learnt: %w", err)
	}
	e.Age = now.Sub(time.UnixMilli(f.At))
	return e, e.Age >= 0 && e.Age <= maxEstimatesAge, nil
}

// write replaces the file. What is too large for its room is not kept.
func (s *estimateStore) write(m choice.Memory, now time.Time) error {
	s.dirty, s.nextWrite = false, now.Add(estimatesWriteInterval)
	memory, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("learnt: %w", err)
	}
	raw, err := json.Marshal(estimatesFile{now.UnixMilli(), crc32.ChecksumIEEE(memory), memory})
	if err != nil {
		return fmt.Errorf("learnt: %w", err)
	}
	if int64(len(raw)) > s.maxBytes {
		return fmt.Errorf("learnt: %d bytes, and room for %d", len(raw), s.maxBytes)
	}
	return atomicfile.Replace(s.path, raw)
}

// keepLearnt writes it down if it is due.
func (n *Node) saveEstimates() {
	if now := time.Now(); n.estimates != nil && n.estimates.dirty && !now.Before(n.estimates.nextWrite) {
		if err := n.estimates.write(n.sender.Remember(), now); err != nil {
			n.log.Warn("learnt_not_kept", "err", err)
		}
	}
}

// recalled is the event for what an earlier process has learnt, if there is any.
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
