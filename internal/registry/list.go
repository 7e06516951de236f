package registry

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"time"

	"harrierramp/internal/listwatch"
)

// Phases of an instance. Deleted occurs only in changes, never in a complete list.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

const (
	maxNameLen = 64  // bytes of an id, an owner, a locality, a flavor, a build or a config
	maxAddrLen = 128 // bytes of a host_port
	maxCell    = 1 << 20
	maxSize    = 1e9
	minLease   = time.Second
	maxLease   = 10 * time.Minute
	maxUpSince = int64(1) << 53
)

// Instance is an entry of the list as it is sent to watchers.
type Instance struct {
	ID       string  `json:"id"`
	Addr     string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Member is an instance with its lease. Leases are sent between servers only.
type Member struct {
	Instance
	Owner   string `json:"owner,omitempty"`
	LeaseMS int64  `json:"lease_ms,omitempty"`
}

// List is the complete list at a revision, or the changes that lead to that revision. It is also the form in which the
// log stores changes and in which followers receive them, then with Lineage.
type List struct {
	Revision Revision `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
	Lineage  lineage  `json:"lineage,omitempty"`
	// Settling reports that the list was newly begun and that running instances may not have registered yet.
	Settling bool `json:"settling,omitempty"`
	// AtMS is the time of the change by the clock of the server that decided it. It is sent to other servers and to
	// audits only.
	AtMS int64 `json:"at_ms,omitempty"`
	// Floor is the minimum build, configuration and revision required of every node from this revision on. In changes,
	// nil means unchanged, and an empty Floor removes the requirement.
	Floor *listwatch.Floor `json:"floor,omitempty"`
}

// public returns the list without leases and other data that is sent between servers only.
func (l List) public() any {
	public := struct {
		Revision Revision   `json:"revision"`
		Complete bool       `json:"complete"`
		Members  []Instance `json:"members"`
		Settling bool       `json:"settling,omitempty"`

		Floor *listwatch.Floor `json:"floor,omitempty"`
	}{l.Revision, l.Complete, make([]Instance, len(l.Members)), l.Settling, l.Floor}
	for i, m := range l.Members {
		public.Members[i] = m.Instance
	}
	return public
}

// encodeLine encodes the list as one line, with or without leases and other data that is sent between servers only.
func (l List) encodeLine(withLeases bool) ([]byte, error) {
	var value any = l
	if !withLeases {
		value = l.public()
	}
	raw, err := json.Marshal(value)
	return append(raw, '\n'), err
}

// decodeList decodes a line from another server or a record of the log, and validates it.
func decodeList(raw []byte) (List, error) {
	var l List
	if err := json.Unmarshal(raw, &l); err != nil {
		return l, fmt.Errorf("list: %w", err)
	}
	if l.Revision < 0 || l.Revision.Epoch() > maxEpoch {
		return l, fmt.Errorf("list: impossible revision %d", l.Revision)
	}
	for _, m := range l.Members {
		if err := m.validate(); err != nil {
			return l, fmt.Errorf("list: revision %d: %w", l.Revision, err)
		}
		if l.Complete && m.Phase == Deleted {
			return l, fmt.Errorf("list: revision %d: %s is deleted in a complete list", l.Revision, m.ID)
		}
	}
	return l, nil
}

// compareByID orders members by id, so that equal lists have the same encoding.
func compareByID(a, b Member) int { return cmp.Compare(a.ID, b.ID) }

// validate returns an error that says what is wrong with the member.
func (m Member) validate() error {
	if m.Phase != Serving && m.Phase != Draining && m.Phase != Deleted {
		return fmt.Errorf("phase %q is not known: %s or %s", m.Phase, Serving, Draining)
	}
	lease := time.Duration(m.LeaseMS) * time.Millisecond
	if lease < minLease || lease > maxLease || m.LeaseMS > maxLease.Milliseconds() {
		return fmt.Errorf("lease_ms is %d: from %d to %d", m.LeaseMS, minLease.Milliseconds(), maxLease.Milliseconds())
	}
	return errors.Join(
		validateName("id", m.ID), validateName("owner", m.Owner), validateName("locality", m.Locality),
		validateName("flavor", m.Flavor), validateAddr(m.Addr), validateNumbers(m.Instance),
	)
}

func validateName(name, value string) error {
	if value == "" || len(value) > maxNameLen {
		return fmt.Errorf("%s has %d bytes: from 1 to %d", name, len(value), maxNameLen)
	}
	if slices.ContainsFunc([]byte(value), func(b byte) bool { return b <= ' ' || b > '~' || b == '/' }) {
		return fmt.Errorf("%s %q has a sign other than visible ASCII, or a slash", name, value)
	}
	return nil
}

func validateAddr(addr string) error {
	if len(addr) > maxAddrLen {
		return fmt.Errorf("host_port has %d bytes, %d at most", len(addr), maxAddrLen)
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("host_port %q: %w", addr, err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("host_port %q: the port is no number from 1 to 65535", addr)
	}
	return validateName("the host of host_port", host)
}

func validateNumbers(i Instance) error {
	switch {
	case i.Cell < 0 || i.Cell > maxCell:
		return fmt.Errorf("cell is %d: from 0 to %d", i.Cell, maxCell)
	case !(i.Size > 0 && i.Size <= maxSize) || math.IsInf(i.Size, 0):
		return fmt.Errorf("size is %v: over 0, up to %v", i.Size, maxSize)
	case i.UpSince < 0 || i.UpSince > maxUpSince:
		return fmt.Errorf("up_since_ms is %d: from 0 to %d", i.UpSince, maxUpSince)
	}
	return nil
}
