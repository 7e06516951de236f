package node

import (
	"maps"
	"slices"
	"time"

	"harrierramp/internal/journal"
	"harrierramp/internal/listwatch"
)

const keepShare = 8 // the kept list may take this part of the disk, and as much again while it is replaced

// keptRoom is the room of the kept list, 0 if there is none.
func (c Config) keptRoom() int64 {
	if c.Registry == nil || !c.Registry.Keep {
		return 0
	}
	mb := c.Limits.DiskMB
	if mb <= 0 {
		mb = journal.DefaultDiskMB
	}
	return min(int64(mb*(1<<20))/keepShare, listwatch.MaxKeptList)
}

// journalMB is what the disk's limit leaves for the journal.
func (c Config) journalMB() float64 {
	if c.keptRoom() == 0 {
		return c.Limits.DiskMB
	}
	mb := c.Limits.DiskMB
	if mb <= 0 {
		mb = journal.DefaultDiskMB
	}
	return mb - 2*float64(c.keptRoom())/(1<<20)
}

func (c Config) keptList() *listwatch.Kept {
	if c.keptRoom() == 0 {
		return nil
	}
	return listwatch.NewKept(c.State, c.keptRoom())
}

// keepList writes the list down if it is due. An empty one is never worth more than what was kept.
func (n *Node) keepList() {
	if n.kept == nil || n.kept.Wait(time.Now()) > 0 {
		return
	}
	if n.kept.Dirty = false; len(n.members) == 0 {
		return
	}
	l := listwatch.List{Revision: n.revision, Complete: true}
	for _, id := range slices.Sorted(maps.Keys(n.members)) {
		l.Members = append(l.Members, n.members[id])
	}
	if err := n.kept.Write(l); err != nil {
		n.log.Warn("the list is not kept", "err", err)
	}
}
