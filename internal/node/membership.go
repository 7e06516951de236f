package node

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/admin"
	"harrierramp/internal/atomicfile"
	"harrierramp/internal/membership"
)

const memberIncarnationFile = "incarnation"

// fleetMembership connects the node to package membership. The loop owns it and passes it datagrams and the
// time.
type fleetMembership struct {
	core      *membership.Core
	path      string // of the file that holds the incarnation
	persisted uint32 // the incarnation in that file
}

// membershipDatagram is a datagram of package membership, from the node with the number from.
type membershipDatagram struct {
	from    int
	payload []byte
}

// membersQuery asks the loop for the node's view of the fleet.
type membersQuery struct{ reply chan *admin.MembershipView }

// newFleetMembership joins the fleet under an incarnation that this node never had before, or returns nil if
// membership is off or there is no peer socket. Each process that becomes the owner of the node uses a new
// incarnation, so that the other nodes see a restart.
func (n *Node) newFleetMembership() *fleetMembership {
	m := n.cfg.Membership
	if m == nil || n.peers == nil {
		return nil
	}
	f := &fleetMembership{path: filepath.Join(n.cfg.StateDir, memberIncarnationFile)}
	last, err := readIncarnation(f.path)
	if err != nil {
		n.log.Warn("incarnation_unreadable", "err", err)
	}
	ids := make([]membership.ID, len(n.peers.addrs))
	for i, addr := range n.peers.addrs {
		ids[i] = membership.IDOf(addr.String())
	}
	f.core = membership.New(membership.Config{
		Self: n.cfg.Settings.Number, Members: ids, Incarnation: last + 1, PingInterval: m.PingPeriod(), AckTimeout: m.PingTimeout(),
		Seed: seed(n.cfg.Seed),
	}, n.now())
	f.persistIncarnation(n)
	return f
}

// readIncarnation reads an incarnation number from a file. It returns 0 if there is no file.
func readIncarnation(path string) (uint32, error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("incarnation: %w", err)
	}
	v, err := strconv.ParseUint(strings.TrimSpace(string(raw)), 10, 32)
	if err != nil {
		return 0, fmt.Errorf("incarnation: %w", err)
	}
	return uint32(v), nil
}

// persistIncarnation writes the incarnation to disk before any other node learns of it. If that fails, as on a
// full disk, the next start has to learn it from the other nodes, which consider the node gone until then.
func (f *fleetMembership) persistIncarnation(n *Node) {
	if f.core.Incarnation() == f.persisted {
		return
	}
	f.persisted = f.core.Incarnation()
	if err := atomicfile.Replace(f.path, fmt.Appendln(nil, f.persisted)); err != nil {
		n.log.Warn("incarnation_not_kept", "err", err)
	}
}

// untilDue returns the time until membership has something to do.
func (f *fleetMembership) untilDue(now time.Duration) time.Duration {
	if f == nil {
		return time.Hour
	}
	return max(f.core.WakeAt()-now, 0)
}

// stepMembership runs the membership protocol after the datagrams of the step were processed: it sends
// datagrams that are due and returns the sender's events for members that changed.
func (n *Node) stepMembership() (events []choice.Event) {
	f := n.membership
	if f == nil {
		return nil
	}
	if now := n.now(); now >= f.core.WakeAt() {
		f.core.Tick(now)
	}
	out, changes := f.core.Take()
	f.persistIncarnation(n)
	for _, d := range out {
		n.peers.send(choice.SendDatagram{To: d.To, Payload: d.Payload}, n.log)
	}
	if len(changes) == 0 {
		return nil
	}
	seen := f.core.View()
	for _, c := range changes {
		m := seen[c.Member]
		n.log.Info("member_changed", "number", c.Member, "addr", n.peers.addrs[c.Member], "state", m.State, "reason", m.Reason)
		events = append(events, choice.MemberChanged{Number: c.Member, Gone: c.Gone, LeftCleanly: m.State == membership.Left})
	}
	return events
}

// millisSince returns the time since then in milliseconds, or nil if then is 0, which means never.
func millisSince(now, then time.Duration) *int64 {
	if then == 0 {
		return nil
	}
	ms := (now - then).Milliseconds()
	return &ms
}

// membersView returns the node's view of the fleet, or nil if the peer socket could not be opened.
func (n *Node) membersView() *admin.MembershipView {
	if n.membership == nil {
		return nil
	}
	core, now := n.membership.core, n.now()
	agreed, health := core.Health()
	v := &admin.MembershipView{
		Number: n.cfg.Settings.Number, Incarnation: core.Incarnation(), AgreedMS: millisSince(now, agreed), Health: health,
	}
	v.Present, v.Suspect = core.MemberCounts()
	for _, m := range core.View() {
		v.Members = append(v.Members, admin.Member{
			Number: m.Member, Addr: n.peers.addrs[m.Member].String(), State: m.State.String(), Reason: string(m.Reason),
			Incarnation: m.Incarnation, SinceMS: (now - m.Since).Milliseconds(), HeardMS: millisSince(now, m.LastHeard),
		})
	}
	return v
}
