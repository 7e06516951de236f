package node

import (
	"math/rand/v2"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/listwatch"
	"harrierramp/internal/staleness"
)

// ward is the node's side of straggler: the loop owns it, and hands it datagrams and the time.
type stalenessGuard struct {
	detector  *staleness.Detector
	heartbeat time.Duration // of list servers; 0 where they have none
}

// revisionNote is a datagram of straggler.
type revisionDatagram struct {
	from    int
	payload []byte
}

// newWard begins to hear which list others act on, or is nil where that is off.
func (n *Node) newStalenessGuard() *stalenessGuard {
	if !n.belowFloor {
		n.fenceReason.Store(nil) // of a time before, in which this process owned the node
	}
	if n.audit == nil || !n.cfg.Audit.Fencing || n.peers == nil {
		return nil
	}
	return &stalenessGuard{detector: staleness.New(staleness.Config{
		Self: n.cfg.Settings.Number, FleetSize: len(n.peers.addrs), Seed: rand.Uint64(),
	}, n.now(), n.listRevision), heartbeat: n.cfg.Registry.HeartbeatInterval.Duration()}
}

func (g *stalenessGuard) fenced() bool { return g != nil && g.detector.Fenced() }

// wait is how long it is until there is something to do.
func (g *stalenessGuard) untilDue(now time.Duration) time.Duration {
	if g == nil {
		return time.Hour
	}
	return max(g.detector.WakeAt()-now, 0)
}

// shutWait is what clients are told to wait while the node is shut out, and up to as much more.
const minFencedRetryAfter = 500 * time.Millisecond

// heed does what is due about others that act on a later list, after the datagrams and lists that have come were taken.
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

// blinded tells the module when it is not to begin anything new, and when it is again: on what the node knows, or while no
// attempt can be journaled.
func (n *Node) updateSendPause(events []choice.Event) []choice.Event {
	pause := n.journal.Down() || n.staleness.fenced() || n.belowFloor || n.audit != nil && n.audit.pauses.Stale()
	if pause == n.sendsPaused {
		return events
	}
	n.sendsPaused = pause
	return append(events, choice.SendsPaused{On: pause})
}

// floored takes what the list service asks of every node. A node that is not fit acts no more until the floor is another.
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

// comeLater is what a client is told that hands something in while the node is shut out.
func fencedRetryAfter() time.Duration { return minFencedRetryAfter + rand.N(minFencedRetryAfter) }
