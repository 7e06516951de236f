package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"
)

const (
	keptName    = "list.json"
	maxKeptList = 4 << 20
	keepPause   = time.Second // between writes: a list that changes often is not worth the disk's time
	keepShare   = 8           // the kept list may take this part of the disk, and as much again while it is replaced
)

// keptList is the last good list on disk, for a start while no list server answers. It has room of its own, which the
// journal does without. Losing it loses nothing that is owed, so that a disk that can't take it is only noted.
type keptList struct {
	path  string
	room  int64
	dirty bool // the file is older than what is known
	next  time.Time
}

// keptRoom is the room of the kept list, 0 if there is none.
func (c Config) keptRoom() int64 {
	if c.Registry == nil || !c.Registry.Keep {
		return 0
	}
	mb := c.Limits.DiskMB
	if mb <= 0 {
		mb = defaultDiskMB
	}
	return min(int64(mb*(1<<20))/keepShare, maxKeptList)
}

// journalMB is what the disk's limit leaves for the journal.
func (c Config) journalMB() float64 {
	if c.keptRoom() == 0 {
		return c.Limits.DiskMB
	}
	mb := c.Limits.DiskMB
	if mb <= 0 {
		mb = defaultDiskMB
	}
	return mb - 2*float64(c.keptRoom())/(1<<20)
}

func (c Config) keptList() *keptList {
	if c.keptRoom() == 0 {
		return nil
	}
	return &keptList{path: filepath.Join(c.State, keptName), room: c.keptRoom()}
}

// read returns the list that was kept; none was if its revision is 0.
func (k *keptList) read() (list, error) {
	var l list
	raw, err := os.ReadFile(k.path)
	if errors.Is(err, os.ErrNotExist) {
		return l, nil
	}
	if err != nil {
		return l, fmt.Errorf("kept list: %w", err)
	}
	if err := json.Unmarshal(raw, &l); err != nil {
		return list{}, fmt.Errorf("kept list: %w", err)
	}
	return l, nil
}

// changed notes that a list has come.
func (k *keptList) changed(revision int64) { k.dirty = revision > 0 }

// wait is how long it is until the file is due.
func (k *keptList) wait(now time.Time) time.Duration {
	if !k.dirty {
		return time.Hour
	}
	return max(k.next.Sub(now), 0)
}

// write replaces the file as a whole.
func (k *keptList) write(l list) error {
	k.next = time.Now().Add(keepPause)
	raw, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("kept list: %w", err)
	}
	if int64(len(raw)) > k.room {
		return fmt.Errorf("kept list: %d bytes, and room for %d", len(raw), k.room)
	}
	return replaceFile(k.path, raw)
}

// keepList writes the list down if it is due. An empty one is never worth more than what was kept.
func (n *Node) keepList() {
	if n.kept == nil || n.kept.wait(time.Now()) > 0 {
		return
	}
	if n.kept.dirty = false; len(n.members) == 0 {
		return
	}
	l := list{Revision: n.revision, Complete: true}
	for _, id := range slices.Sorted(maps.Keys(n.members)) {
		l.Members = append(l.Members, n.members[id])
	}
	if err := n.kept.write(l); err != nil {
		n.log.Warn("the list is not kept", "err", err)
	}
}

// replaceFile puts a file in the place of another: a kill leaves the old one or the new one.
func replaceFile(path string, raw []byte) error {
	fresh := path + ".new"
	if err := os.WriteFile(fresh, raw, 0o600); err != nil {
		return errors.Join(err, os.Remove(fresh))
	}
	return os.Rename(fresh, path)
}
