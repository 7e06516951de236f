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

// The cached list may take 1/listCacheDiskDivisor of the disk limit, and as much again while it is being
// replaced.
const listCacheDiskDivisor = 8

// listCacheBytes returns the maximum size of the cached list, or 0 if no list is cached.
func listCacheBytes(c config.Config) int64 {
	if c.Registry == nil || !c.Registry.KeepList {
		return 0
	}
	return min(int64(diskMB(c)*(1<<20))/listCacheDiskDivisor, listwatch.MaxCachedList)
}

// diskMB returns the size limit of the state folder in MiB.
func diskMB(c config.Config) float64 {
	if c.Limits.Disk <= 0 {
		return journal.DefaultDiskMB
	}
	return float64(c.Limits.Disk)
}

// journalMB returns what the size limit of the state folder leaves for the journal, in MiB.
func journalMB(c config.Config) float64 {
	mb := diskMB(c) - 2*float64(listCacheBytes(c)+estimatesBytes(c))/(1<<20)
	if c.Audit != nil {
		mb -= float64(c.Audit.RecordSize)
	}
	return mb
}

// newListCache returns the cache of the list, or nil if no list is cached.
func newListCache(c config.Config) *listwatch.Cache {
	if listCacheBytes(c) == 0 {
		return nil
	}
	return listwatch.NewCache(c.StateDir, listCacheBytes(c))
}

// initialList returns the list that may be used at once: that of the configuration or the cached one, whichever
// has the later revision. If it may not be used at once, initialList returns an empty list, begins to wait for
// a list server, and leaves the cached list, which may come into force later, in n.pendingCachedList.
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
		cached.Age = max(time.Since(savedAt), 0) // the wall clock may have been set back
	}
	// The whole fleet may be starting. List servers are queried by one node after the other, so the cached
	// lists come into force one after the other as well.
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

// waitReason is why the node does not accept messages, and since when, for readers that must not wait for the
// loop.
type waitReason struct {
	since  time.Time
	reason string
}

// updateStartupWait publishes to clients and operators whether the node waits for a list, and why.
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

// unavailableReason returns why the node waits for a list or is fenced, and since when; it is empty if neither
// is the case. It may be called from any goroutine.
func (n *Node) unavailableReason() string {
	if a := n.startupWait.Load(); a != nil {
		return fmt.Sprintf("waiting for the list since %.1f s: %s", time.Since(a.since).Seconds(), a.reason)
	}
	if a := n.fenceReason.Load(); a != nil {
		return fmt.Sprintf("shut out since %.1f s: %s", time.Since(a.since).Seconds(), a.reason)
	}
	return ""
}

// startupListed processes a list of a list server. The first usable one ends the wait for a list.
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

// activateCachedList brings the cached list into force if no list server has sent a list in time.
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

// saveList writes the current list to the cache if that is due. An empty list never replaces a cached one.
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
