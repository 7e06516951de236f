package registry

import (
	"fmt"
	"slices"
)

// Revision numbers a state of the list. Its upper part is the epoch in which it was made and its lower 32 bits count
// the changes of that epoch, so that whatever a promoted server says comes after all that its predecessor has said,
// also what it said that the promoted one never heard. JSON readers that hold numbers as doubles keep all of it.
type Revision int64

// Epoch is a term of one primary. The server that owns it is told by the number itself, so that two servers
// promoted at the same moment never own the same one.
type Epoch int64

const (
	epochBits  = 32
	maxServers = 16
	maxEpoch   = Epoch(1)<<(53-epochBits) - 1
)

// firstOf is the revision that an epoch begins with.
func firstRevision(e Epoch) Revision { return Revision(e) << epochBits }

// Epoch is the epoch of the revision.
func (r Revision) Epoch() Epoch { return Epoch(r >> epochBits) }

// Owner is the number of the server that owns the epoch.
func (e Epoch) Owner() int { return int(e % maxServers) }

// next is the first epoch after e that a server owns.
func (e Epoch) nextOwnedBy(server int) (Epoch, error) {
	n := (e/maxServers+1)*maxServers + Epoch(server)
	if n > maxEpoch {
		return 0, fmt.Errorf("there is no epoch after %d", e)
	}
	return n, nil
}

// Boundary tells how far an epoch reaches in a server's past.
type Boundary struct {
	Epoch Epoch    `json:"epoch"`
	Last  Revision `json:"last"`
}

// maxLineage bounds how many epochs are remembered; who comes from an older one gets the whole list.
const maxLineageEpochs = 64

// lineage is a server's past, oldest epoch first, without the present epoch.
type lineage []Boundary

// holds tells whether a revision not after head lies in the past that leads to head. A revision that another server
// made after the two parted does not: what changed after it can't be told, only the whole list can.
func (l lineage) contains(r, head Revision) bool {
	if r > head {
		return false
	}
	if r.Epoch() == head.Epoch() {
		return true
	}
	i := slices.IndexFunc(l, func(b Boundary) bool { return b.Epoch == r.Epoch() })
	return i >= 0 && r <= l[i].Last
}

// after is the lineage of the epoch that begins when head is left behind.
func (l lineage) extend(head Revision) lineage {
	if head == 0 {
		return nil // nothing was ever said before
	}
	l = append(slices.Clone(l), Boundary{head.Epoch(), head})
	return l[max(0, len(l)-maxLineageEpochs):]
}
