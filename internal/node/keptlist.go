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

const keepShare = 8 // the kept list may take this part of the disk, and as much again while it is replaced

// keptRoom is the room of the kept list, 0 if there is none.
func keptRoom(c config.Config) int64 {
	if c.Registry == nil || !c.Registry.KeepList {
		return 0
	}
	return min(int64(diskMB(c)*(1<<20))/keepShare, listwatch.MaxCachedList)
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
	mb := diskMB(c) - 2*float64(keptRoom(c)+learntRoom(c))/(1<<20)
	if c.Audit != nil {
		mb -= float64(c.Audit.RecordSize)
	}
	return mb
}

func keptList(c config.Config) *listwatch.Cache {
	if keptRoom(c) == 0 {
		return nil
	}
	return listwatch.NewCache(c.StateDir, keptRoom(c))
}

// startWith begins to wait for a list, and returns what may be served on at once: what the configuration names, or the
// list that is kept, whichever is later. One that may come into force later is left in n.stale.
func (n *Node) startWith() listwatch.List {
	known, at := n.cfg.KnownList, time.Time{}
	if n.kept != nil {
		if last, when, err := n.kept.Read(); err != nil {
			n.log.Warn("kept_list_unusable", "err", err)
		} else if last.Revision > known.Revision {
			known, at = last, when
		}
	}
	if n.cfg.Registry == nil {
		return known
	}
	was := coldstart.Kept{There: known.Revision > 0, Age: -1}
	if !at.IsZero() {
		was.Age = max(time.Since(at), 0) // the clock may have been set back
	}
	// The whole fleet may be starting. Where list servers answer, their lists come to one node after the other; so do the
	// kept ones come into force.
	turn := n.turn()
	n.cold = coldstart.New(coldstart.Config{
		KeptAfter: n.cfg.Registry.KeptListWait.Duration() + turn.InitialDelay(), KeptMost: n.cfg.Registry.KeptListMaxAge.Duration(), Cycle: turn.Cycle(),
	}, n.now(), was)
	if n.cold.KeptDue(n.now()) {
		n.unconfirmed = true
		n.late("a start on a kept list")
		return known
	}
	n.stale = known
	n.await()
	return listwatch.List{}
}

// awaited is what the start waits for, for readers that must not wait for the loop.
type awaited struct {
	since  time.Time
	reason string
}

// await tells clients and operators whether the node waits for a list.
func (n *Node) await() {
	if n.cold == nil || n.cold.Ready() {
		n.awaits.Store(nil)
		return
	}
	a := &awaited{n.began, n.cold.Reason()}
	if before := n.awaits.Swap(a); before == nil || before.reason != a.reason {
		n.log.Info("list_awaited", "reason", a.reason)
	}
}

// awaiting says what the start waits for, and since when; empty once it is ready. It may be called from any goroutine.
func (n *Node) awaiting() string {
	if a := n.awaits.Load(); a != nil {
		return fmt.Sprintf("waiting for the list since %.1f s: %s", time.Since(a.since).Seconds(), a.reason)
	}
	if a := n.outcast.Load(); a != nil {
		return fmt.Sprintf("shut out since %.1f s: %s", time.Since(a.since).Seconds(), a.reason)
	}
	return ""
}

// begun notes the first list of a server's, which ends the wait for one.
func (n *Node) begun(l listwatch.List) {
	if n.cold == nil {
		return
	}
	if !n.cold.Listed(n.now(), l.Settling, len(l.Members)) {
		n.await()
		return
	}
	took, _ := n.cold.Took()
	n.await()
	n.figures.ObserveFirstList(time.Since(n.began))
	n.log.Info("list_known", "revision", l.Revision, "took", time.Since(n.began), "ready_after", took, "asks", n.figures.ListRequests.Load(),
		"told_later", n.figures.ListRequestsDeferred.Load())
}

// keptDue brings the kept list into force where no server has told one for too long.
func (n *Node) keptDue() (events []choice.Event) {
	if n.cold == nil || !n.cold.KeptDue(n.now()) {
		return nil
	}
	n.late("a start on a kept list")
	n.log.Warn("kept_list_in_force", "revision", n.stale.Revision, "members", len(n.stale.Members))
	known := n.stale
	known.Complete, n.stale = true, listwatch.List{}
	n.await()
	return []choice.Event{n.listed(known)}
}

// keepList writes the list down if it is due. An empty one is never worth more than what was kept.
func (n *Node) keepList() {
	if n.kept == nil || n.kept.UntilDue(time.Now()) > 0 {
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
