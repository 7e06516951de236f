package registry

import (
	"fmt"
	"slices"
)

// Revision numbers a state of the list. The upper bits are the epoch in which it was made, the lower 32 bits count the
// changes of that epoch. Every revision of a promoted server is therefore higher than all revisions of its predecessor,
// including those that the promoted server never received. A revision fits in 53 bits, so that JSON readers that store
// numbers as doubles keep its exact value.
type Revision int64

// Epoch is the term of one primary. The number determines the server that owns it, so that two servers promoted at the
// same time never own the same epoch.
type Epoch int64

const (
	epochBits  = 32
	maxServers = 16
	maxEpoch   = Epoch(1)<<(53-epochBits) - 1
)

// firstRevision returns the revision that an epoch begins with.
func firstRevision(e Epoch) Revision { return Revision(e) << epochBits }

// Epoch returns the epoch of the revision.
func (r Revision) Epoch() Epoch { return Epoch(r >> epochBits) }

// Owner returns the number of the server that owns the epoch.
func (e Epoch) Owner() int { return int(e % maxServers) }

// nextOwnedBy returns an epoch after e that is owned by the given server.
func (e Epoch) nextOwnedBy(server int) (Epoch, error) {
	n := (e/maxServers+1)*maxServers + Epoch(server)
	if n > maxEpoch {
		return 0, fmt.Errorf("there is no epoch after %d", e)
	}
	return n, nil
}

// Boundary is the last revision of an epoch in a server's history.
type Boundary struct {
	Epoch Epoch    `json:"epoch"`
	Last  Revision `json:"last"`
}

// maxLineageEpochs bounds how many past epochs are kept. A watcher with a revision of an older epoch gets the complete
// list.
const maxLineageEpochs = 64

// lineage lists the past epochs of a server's list, oldest first, without the present one.
type lineage []Boundary

// contains reports whether r is head or one of the revisions that led to head. A revision that another server made
// after the histories diverged is not: the changes since such a revision are unknown, and its holder needs the
// complete list.
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

// extend returns the lineage of the epoch that follows the one of head.
func (l lineage) extend(head Revision) lineage {
	if head == 0 {
		return nil // there was no list before
	}
	l = append(slices.Clone(l), Boundary{head.Epoch(), head})
	return l[max(0, len(l)-maxLineageEpochs):]
}
