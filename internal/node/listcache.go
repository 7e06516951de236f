package node

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/coldstart"
	"harrierramp/internal/config"
	"harrierramp/internal/journal"
	"harrierramp/internal/listwatch"
)

const listCacheDiskDivisor = 8 // the kept list may take this part of the disk, and as much again while it is replaced

// keptRoom is the room of the kept list, 0 if there is none.
func listCacheBytes(c config.Config) int64 {
	if c.Registry == nil || !c.Registry.KeepList {
		return 0
	}
	return min(int64(diskMB(c)*(1<<20))/listCacheDiskDivisor, listwatch.MaxCachedList)
}

// diskMB is the limit of the lasting folder.
func diskMB(c config.Config) float64 {
	if c.Limits.Disk <= 0 {
		return journal.DefaultDiskMB
	}
	return float64(c.Limits.Disk)
}

// journalMB is what the disk's limit leaves for the journal.
func journalMB(c config.Config) float64 {
	mb := diskMB(c) - 2*float64(listCacheBytes(c)+estimatesBytes(c))/(1<<20)
	if c.Audit != nil {
		mb -= float64(c.Audit.RecordSize)
	}
	return mb
}

func newListCache(c config.Config) *listwatch.Cache {
	if listCacheBytes(c) == 0 {
		return nil
	}
	return listwatch.NewCache(c.StateDir, listCacheBytes(c))
}

// startWith begins to wait for a list, and returns what may be served on at once: what the configuration names, or the
// list that is kept, whichever is later. One that may come into force later is left in n.stale.
func (n *Node) initialList() listwatch.List {
	known, savedAt := n.cfg.KnownList, time.Time{}
	if n.listCache != nil {
		if last, when, err := n.listCache.Read(); err != nil {
			n.log.Warn("kept_list_unusable", "err", err)
		} else if last.Revision > known.Revision {
			known, savedAt = last, when
		}
	}
	if n.cfg.Registry == nil {
		return known
	}
	cached := coldstart.CachedList{Present: known.Revision > 0, Age: -1}
	if !savedAt.IsZero() {
		cached.Age = max(time.Since(savedAt), 0) // the clock may have been set back
	}
	// The whole fleet may be starting. Where list servers answer, their lists come to one node after the other; so do the
	// kept ones come into force.
	pacer := n.newPacer()
	n.startup = coldstart.New(coldstart.Config{
		CachedAfter: n.cfg.Registry.KeptListWait.Duration() + pacer.InitialDelay(), CachedMaxAge: n.cfg.Registry.KeptListMaxAge.Duration(), QueryCycle: pacer.Cycle(),
	}, n.now(), cached)
	if n.startup.CachedListDue(n.now()) {
		n.listUnconfirmed = true
		n.noteListLate("a start on a kept list")
		return known
	}
	n.pendingCachedList = known
	n.updateStartupWait()
	return listwatch.List{}
}

// awaited is what the start waits for, for readers that must not wait for the loop.
type waitReason struct {
	since  time.Time
	reason string
}

// await tells clients and operators whether the node waits for a list.
func (n *Node) updateStartupWait() {
	if n.startup == nil || n.startup.Ready() {
		n.startupWait.Store(nil)
		return
	}
	a := &waitReason{n.processStart, n.startup.Reason()}
	if before := n.startupWait.Swap(a); before == nil || before.reason != a.reason {
		n.log.Info("list_awaited", "reason", a.reason)
	}
}

// awaiting says what the start waits for, and since when; empty once it is ready. It may be called from any goroutine.
func (n *Node) unavailableReason() string {
	if a := n.startupWait.Load(); a != nil {
		return fmt.Sprintf("waiting for the list since %.1f s: %s", time.Since(a.since).Seconds(), a.reason)
	}
	if a := n.fenceReason.Load(); a != nil {
		return fmt.Sprintf("shut out since %.1f s: %s", time.Since(a.since).Seconds(), a.reason)
	}
	return ""
}

// begun notes the first list of a server's, which ends the wait for one.
func (n *Node) startupListed(l listwatch.List) {
	if n.startup == nil {
		return
	}
	if !n.startup.ObserveList(n.now(), l.Settling, len(l.Members)) {
		n.updateStartupWait()
		return
	}
	took, _ := n.startup.ReadyAfter()
	n.updateStartupWait()
	n.metrics.ObserveFirstList(time.Since(n.processStart))
	n.log.Info("list_known", "revision", l.Revision, "took", time.Since(n.processStart), "ready_after", took, "asks", n.metrics.ListRequests.Load(),
		"told_later", n.metrics.ListRequestsDeferred.Load())
}

// keptDue brings the kept list into force where no server has told one for too long.
func (n *Node) activateCachedList() (events []choice.Event) {
	if n.startup == nil || !n.startup.CachedListDue(n.now()) {
		return nil
	}
	n.noteListLate("a start on a kept list")
	n.log.Warn("kept_list_in_force", "revision", n.pendingCachedList.Revision, "members", len(n.pendingCachedList.Members))
	known := n.pendingCachedList
	known.Complete, n.pendingCachedList = true, listwatch.List{}
	n.updateStartupWait()
	return []choice.Event{n.applyList(known)}
}

// keepList writes the list down if it is due. An empty one is never worth more than what was kept.
func (n *Node) saveList() {
	if n.listCache == nil || n.listCache.UntilDue(time.Now()) > 0 {
		return
	}
	if n.listCache.Dirty = false; len(n.listMembers) == 0 {
		return
	}
	l := listwatch.List{Revision: n.listRevision, Complete: true}
	for _, id := range slices.Sorted(maps.Keys(n.listMembers)) {
		l.Members = append(l.Members, n.listMembers[id])
	}
	if err := n.listCache.Write(l); err != nil {
		n.log.Warn("list_not_kept", "err", err)
	}
}
