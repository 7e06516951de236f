package node

import (
	"math/rand/v2"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/listwatch"
	"harrierramp/internal/staleness"
)

// ward is the node's side of straggler: the loop owns it, and hands it datagrams and the time.
type ward struct {
	core *staleness.Detector
	beat time.Duration // of list servers; 0 where they have none
}

// revisionNote is a datagram of straggler.
type revisionNote struct {
	from int
	text []byte
}

// newWard begins to hear which list others act on, or is nil where that is off.
func (n *Node) newWard() *ward {
	if !n.unfit {
		n.outcast.Store(nil) // of a time before, in which this process owned the node
	}
	if n.audit == nil || !n.cfg.Audit.Fencing || n.peers == nil {
		return nil
	}
	return &ward{core: staleness.New(staleness.Config{
		Self: n.cfg.Settings.Number, FleetSize: len(n.peers.addrs), Seed: rand.Uint64(),
	}, n.now(), n.revision), beat: n.cfg.Registry.HeartbeatInterval.Duration()}
}

func (w *ward) out() bool { return w != nil && w.core.Fenced() }

// wait is how long it is until there is something to do.
func (w *ward) wait(now time.Duration) time.Duration {
	if w == nil {
		return time.Hour
	}
	return max(w.core.WakeAt()-now, 0)
}

// shutWait is what clients are told to wait while the node is shut out, and up to as much more.
const shutWait = 500 * time.Millisecond

// heed does what is due about others that act on a later list, after the datagrams and lists that have come were taken.
func (n *Node) heed() {
	w := n.ward
	if w == nil {
		return
	}
	now := n.now()
	w.core.SetRevision(now, n.revision)
	w.core.SetFloor(n.floor.Revision)
	if w.beat > 0 {
		w.core.SetServerSilent(now, now-n.at(n.figures.LastListActivity()) > 3*w.beat)
	}
	news := w.core.Step(now)
	for _, d := range w.core.Take() {
		n.peers.send(choice.SendDatagram{To: d.To, Payload: d.Payload}, n.log)
	}
	n.figures.PeersAheadBy.Store(max(news.NewerRevision-n.revision, 0))
	if news.QueryServer {
		n.late("others act on a later list")
		n.log.Warn("fleet_ahead", "revision", news.NewerRevision, "own", n.revision)
		listwatch.RequestCandidate(n.nudge)
	}
	if !news.FenceChanged {
		return
	}
	if !w.core.Fenced() {
		if !n.unfit {
			n.outcast.Store(nil)
		}
		n.log.Info("shut_out_over", "list_revision", n.revision)
		return
	}
	n.figures.TimesFenced.Add(1)
	n.outcast.Store(&awaited{time.Now(), "others act on a later list, and no list server tells it"})
	n.log.Warn("shut_out", "revision", news.NewerRevision, "own", n.revision)
}

// blinded tells the module when it is not to begin anything new, and when it is again: on what the node knows, or while no
// attempt can be journaled.
func (n *Node) blinded(events []choice.Event) []choice.Event {
	on := n.journal.Down() || n.ward.out() || n.unfit || n.audit != nil && n.audit.gap.Blind()
	if on == n.blind {
		return events
	}
	n.blind = on
	return append(events, choice.Suspended{On: on})
}

// floored takes what the list service asks of every node. A node that is not fit acts no more until the floor is another.
func (n *Node) floored(told *listwatch.Floor) {
	if n.audit == nil {
		return
	}
	var f listwatch.Floor
	if told != nil {
		f = *told
	}
	if f == n.floor {
		return
	}
	n.floor = f
	was := n.unfit
	n.unfit = f.Build != "" && f.Build != build() || f.Config != "" && f.Config != configDigest(n.cfg)
	n.log.Warn("floor", "revision", f.Revision, "build", f.Build, "config", f.Config, "unfit", n.unfit)
	switch {
	case n.unfit:
		n.figures.TimesFenced.Add(1)
		n.outcast.Store(&awaited{time.Now(), "the list service asks for another build or configuration"})
	case was && !n.ward.out():
		n.outcast.Store(nil)
	}
}

// comeLater is what a client is told that hands something in while the node is shut out.
func comeLater() time.Duration { return shutWait + rand.N(shutWait) }
