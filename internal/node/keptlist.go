package node

import (
	"maps"
	"slices"
	"time"

	"harrierramp/internal/config"
	"harrierramp/internal/journal"
	"harrierramp/internal/listwatch"
)

const keepShare = 8 // the kept list may take this part of the disk, and as much again while it is replaced

// keptRoom is the room of the kept list, 0 if there is none.
func keptRoom(c config.Config) int64 {
	if c.Registry == nil || !c.Registry.Keep {
		return 0
	}
	mb := float64(c.Limits.Disk)
	if mb <= 0 {
		mb = journal.DefaultDiskMB
	}
	return min(int64(mb*(1<<20))/keepShare, listwatch.MaxKeptList)
}

// journalMB is what the disk's limit leaves for the journal.
func journalMB(c config.Config) float64 {
	mb := float64(c.Limits.Disk)
	if mb <= 0 {
		mb = journal.DefaultDiskMB
	}
	return mb - 2*float64(keptRoom(c)+learntRoom)/(1<<20)
}

func keptList(c config.Config) *listwatch.Kept {
	if keptRoom(c) == 0 {
		return nil
	}
	return listwatch.NewKept(c.State, keptRoom(c))
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
		n.log.Warn("list_not_kept", "err", err)
	}
}
