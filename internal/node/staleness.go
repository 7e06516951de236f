package node

import (
	"math/rand/v2"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/listwatch"
	"harrierramp/internal/staleness"
)

// stalenessGuard connects the node to package staleness, which fences a node whose list is older than that of
// the other nodes. The loop owns it and passes it datagrams and the time.
type stalenessGuard struct {
	detector  *staleness.Detector
	heartbeat time.Duration // interval of the list servers' heartbeats; 0 if they send none
}

// revisionDatagram is a datagram of package staleness, from the node with the number from.
type revisionDatagram struct {
	from    int
	payload []byte
}

// newStalenessGuard starts to compare list revisions with the other nodes, or returns nil if fencing is off.
func (n *Node) newStalenessGuard() *stalenessGuard {
	if !n.belowFloor {
		n.fenceReason.Store(nil) // left from an earlier time in which this process owned the node
	}
	if n.audit == nil || !n.cfg.Audit.Fencing || n.peers == nil {
		return nil
	}
	return &stalenessGuard{detector: staleness.New(staleness.Config{
		Self: n.cfg.Settings.Number, FleetSize: len(n.peers.addrs), Seed: rand.Uint64(),
	}, n.now(), n.listRevision), heartbeat: n.cfg.Registry.HeartbeatInterval.Duration()}
}

// fenced reports whether the node has to stop acting on its list.
func (g *stalenessGuard) fenced() bool { return g != nil && g.detector.Fenced() }

// untilDue returns the time until the guard has something to do.
func (g *stalenessGuard) untilDue(now time.Duration) time.Duration {
	if g == nil {
		return time.Hour
	}
	return max(g.detector.WakeAt()-now, 0)
}

// minFencedRetryAfter is the shortest time that clients are told to wait while the node is fenced; the longest
// is twice as long.
const minFencedRetryAfter = 500 * time.Millisecond

// checkStaleness compares the node's list revision with those of the other nodes, after the datagrams and lists
// of the step were processed. It has the watcher query another list server if others are ahead, and fences the
// node if that does not help.
func (n *Node) checkStaleness() {
	guard := n.staleness
	if guard == nil {
		return
	}
	now := n.now()
	guard.detector.SetRevision(now, n.listRevision)
	guard.detector.SetFloor(n.floor.Revision)
	if guard.heartbeat > 0 {
		guard.detector.SetServerSilent(now, now-n.clockAt(n.metrics.LastListActivity()) > 3*guard.heartbeat)
	}
	result := guard.detector.Step(now)
	for _, d := range guard.detector.Take() {
		n.peers.send(choice.SendDatagram{To: d.To, Payload: d.Payload}, n.log)
	}
	n.metrics.PeersAheadBy.Store(max(result.NewerRevision-n.listRevision, 0))
	if result.QueryServer {
		n.noteListLate("others act on a later list")
		n.log.Warn("fleet_ahead", "revision", result.NewerRevision, "own", n.listRevision)
		listwatch.RequestCandidate(n.recheckList)
	}
	if !result.FenceChanged {
		return
	}
	if !guard.detector.Fenced() {
		if !n.belowFloor {
			n.fenceReason.Store(nil)
		}
		n.log.Info("shut_out_over", "list_revision", n.listRevision)
		return
	}
	n.metrics.TimesFenced.Add(1)
	n.fenceReason.Store(&waitReason{time.Now(), "others act on a later list, and no list server tells it"})
	n.log.Warn("shut_out", "revision", result.NewerRevision, "own", n.listRevision)
}

// updateSendPause appends an event that tells the sender to stop starting new calls, or to resume, when that
// changes. Calls stop while the node's list must not be relied on, and while no attempt can be journaled.
func (n *Node) updateSendPause(events []choice.Event) []choice.Event {
	pause := n.journal.Down() || n.staleness.fenced() || n.belowFloor || n.audit != nil && n.audit.pauses.Stale()
	if pause == n.sendsPaused {
		return events
	}
	n.sendsPaused = pause
	return append(events, choice.SendsPaused{On: pause})
}

// applyFloor applies the list service's minimum requirements for all nodes. A node with another build or
// configuration than required stops acting until the requirements change.
func (n *Node) applyFloor(announced *listwatch.Floor) {
	if n.audit == nil {
		return
	}
	var f listwatch.Floor
	if announced != nil {
		f = *announced
	}
	if f == n.floor {
		return
	}
	n.floor = f
	wasBelow := n.belowFloor
	n.belowFloor = f.Build != "" && f.Build != buildRevision() || f.Config != "" && f.Config != configDigest(n.cfg)
	n.log.Warn("floor", "revision", f.Revision, "build", f.Build, "config", f.Config, "unfit", n.belowFloor)
	switch {
	case n.belowFloor:
		n.metrics.TimesFenced.Add(1)
		n.fenceReason.Store(&waitReason{time.Now(), "the list service asks for another build or configuration"})
	case wasBelow && !n.staleness.fenced():
		n.fenceReason.Store(nil)
	}
}

// fencedRetryAfter returns the time after which a client should retry that submits a message while the node is
// fenced. It is random, so that clients do not return together.
func fencedRetryAfter() time.Duration { return minFencedRetryAfter + rand.N(minFencedRetryAfter) }
