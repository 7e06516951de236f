package choice

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// datagramKind is the first byte of a datagram between nodes. Datagrams are kept to a few bytes, because every one is
// paid for by its length.
type datagramKind uint8

// The kinds of datagrams.
const (
	datagramRequest  datagramKind = 'a' // to the coordinator: the sending node could make count calls
	datagramGrant    datagramKind = 'g' // from the coordinator: the receiver may make count calls
	datagramCallEnd  datagramKind = 'e' // to the coordinator: a call has ended, with this outcome
	datagramHandOver datagramKind = 'h' // to the next coordinator: the route uses count/255 of its limit
	// To the coordinator, from a node that heard none for a while: the circuit of the route is open if count is 0,
	// and otherwise it has been recovering for the time in wait.
	datagramOutage datagramKind = 'c'
)

// maxDatagramSize is the size of the longest datagram, a request, in bytes.
const maxDatagramSize = 11

// datagram is a message between the Senders of two nodes. Which fields are used depends on the kind.
type datagram struct {
	kind         datagramKind
	dest         int
	route        uint16 // see routeID
	seq          uint16 // number of the request, or of the grant
	lastGrantSeq uint16 // request: number of the last grant that has arrived
	count        int    // at most 255
	urgency      uint8  // request: worth of the best message, as a fraction of 255
	outcome      Outcome
	wait         time.Duration // call end: the RetryAfter of a refusal; outage: age of the recovery
}

// encode returns the datagram in its wire form. Durations are in whole milliseconds, up to 65.535 s.
func (dg datagram) encode() []byte {
	b := append(make([]byte, 0, maxDatagramSize), byte(dg.kind))
	b = binary.BigEndian.AppendUint16(b, uint16(dg.dest))
	b = binary.BigEndian.AppendUint16(b, dg.route)
	switch dg.kind {
	case datagramRequest:
		b = binary.BigEndian.AppendUint16(b, dg.seq)
		b = binary.BigEndian.AppendUint16(b, dg.lastGrantSeq)
		b = append(b, byte(dg.count), dg.urgency)
	case datagramGrant, datagramHandOver:
		b = binary.BigEndian.AppendUint16(b, dg.seq)
		b = append(b, byte(dg.count))
	case datagramOutage:
		b = append(b, byte(dg.count))
		b = binary.BigEndian.AppendUint16(b, uint16(min(dg.wait/time.Millisecond, 1<<16-1)))
	case datagramCallEnd:
		b = append(b, byte(dg.outcome))
		b = binary.BigEndian.AppendUint16(b, uint16(min(dg.wait/time.Millisecond, 1<<16-1)))
	}
	return b
}

// decodeDatagram decodes a datagram, and reports whether it is valid.
func decodeDatagram(b []byte) (datagram, bool) {
	if len(b) < 8 {
		return datagram{}, false
	}
	dg := datagram{kind: datagramKind(b[0]), dest: int(binary.BigEndian.Uint16(b[1:])), route: binary.BigEndian.Uint16(b[3:])}
	switch {
	case dg.kind == datagramRequest && len(b) == maxDatagramSize:
		dg.seq, dg.lastGrantSeq = binary.BigEndian.Uint16(b[5:]), binary.BigEndian.Uint16(b[7:])
		dg.count, dg.urgency = int(b[9]), b[10]
	case (dg.kind == datagramGrant || dg.kind == datagramHandOver) && len(b) == 8:
		dg.seq, dg.count = binary.BigEndian.Uint16(b[5:]), int(b[7])
	case dg.kind == datagramOutage && len(b) == 8:
		dg.count = int(b[5])
		dg.wait = time.Duration(binary.BigEndian.Uint16(b[6:])) * time.Millisecond
	case dg.kind == datagramCallEnd && len(b) == 8 && Outcome(b[5]) <= NotSent:
		dg.outcome = Outcome(b[5])
		dg.wait = time.Duration(binary.BigEndian.Uint16(b[6:])) * time.Millisecond
	default:
		return datagram{}, false
	}
	return dg, true
}

// routeID identifies an endpoint's route in datagrams: 0 if all endpoints of the destination share a route, and
// otherwise a hash of the endpoint's ID.
func (s *Sender) routeID(e *endpoint) uint16 {
	if !s.hasSeparateRoutes(e.dest) {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(e.id))
	v := h.Sum32()
	return max(uint16(v^v>>16), 1)
}

// rankHash orders the nodes by rank as coordinators of a destination. The order differs from destination to
// destination.
func rankHash(dest, node int) uint64 {
	x := uint64(dest)<<32 ^ uint64(node)
	for range 3 {
		x = (x ^ x>>31 ^ 0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	}
	return x
}

// isNewer reports whether a sequence number is none of the last 64 numbers up to last. Numbers wrap around, and those
// of a restarted process begin anywhere.
func isNewer(seq, last uint16) bool { return last-seq >= 64 }

// sendDatagram sends a datagram to a node. If that is this node, which may be a coordinator itself, it is handled at
// once.
func (s *Sender) sendDatagram(to int, dg datagram) {
	if to == s.cfg.Number {
		s.handleDatagram(to, dg)
	} else {
		s.emit(SendDatagram{To: to, Payload: dg.encode()})
	}
}

// handleDatagramReceived handles a datagram from another node. One that is invalid, or about an unknown destination,
// is ignored.
func (s *Sender) handleDatagramReceived(e DatagramReceived) {
	if dg, ok := decodeDatagram(e.Payload); ok && s.sharesLimits() && e.From >= 0 && e.From < s.cfg.FleetSize {
		s.handleDatagram(e.From, dg)
	}
}

// handleDatagram handles a datagram by its kind.
func (s *Sender) handleDatagram(from int, dg datagram) {
	d := s.destinations[dg.dest]
	if d == nil {
		return
	}
	switch dg.kind {
	case datagramRequest:
		s.handleRequest(d, from, dg)
	case datagramGrant:
		s.handleGrant(d, from, dg)
	case datagramCallEnd, datagramHandOver, datagramOutage:
		for _, e := range d.endpoints {
			if s.routeID(e) != dg.route {
				continue
			}
			switch dg.kind {
			case datagramCallEnd:
				s.handleCallEnd(e, from, dg.outcome, dg.wait)
			case datagramOutage:
				s.handleOutage(e, dg.count == 0, dg.wait)
			default:
				f := s.fleetRoute(e)
				f.limitShare, f.limitShareUpdatedAt = float64(dg.count)/255, s.now
			}
			return
		}
	}
}

// handOverLimits tells the next coordinator of each destination that this node coordinates what share of the limit is
// in use.
func (s *Sender) handOverLimits(e ShuttingDown) {
	if !e.HandOver || !s.sharesLimits() {
		return
	}
	for _, d := range s.destinationOrder {
		if s.coordinator(d, 0) != s.cfg.Number {
			continue
		}
		reported := map[*route]bool{}
		for _, ep := range d.endpoints {
			if f := ep.route.fleetRoute; f != nil && !reported[f] {
				reported[f] = true
				s.sendDatagram(s.coordinator(d, 1), datagram{
					kind: datagramHandOver, dest: d.id, route: s.routeID(ep), count: int(math.Round(255 * min(max(f.limitShare, 0), 1))),
				})
			}
		}
	}
}

// sendRequest sends a request for a number of calls to a coordinator. With 0 calls it only asks for an answer.
func (s *Sender) sendRequest(d *destination, coordinator, calls int, urgency float64, route uint16) {
	c := &d.requester
	if calls > 0 {
		if c.answeredAt >= c.requestedAt {
			// This may be the start of a silence of the coordinator. The allowance of a node in a large fleet is a
			// fraction of a call per second, so its bucket starts at a random level. Then all nodes together make the
			// calls that they may make from the first moment on, and do not make them all at once.
			c.unansweredSince, c.allowanceRefilledAt = s.now, s.now+coordinatorSilenceTimeout
			c.grantedShare = min(1, (float64(c.grantRate(s.now)*seconds(demandDecayTime))+0.5)/(float64(d.arrivalRate(s.now)*seconds(demandDecayTime))+1.0))
			if s.uncoordinatedSince(c) > 0 {
				c.grantedShare = 0 // nothing was ever granted, and the destination may be cold
			}
			c.allowanceTokens = s.rng.Float64() + float64(c.grantedShare*float64(len(d.waiting)))
		}
		c.requestedAt = s.now
	}
	c.requestSeq++
	s.sendDatagram(coordinator, datagram{
		kind: datagramRequest, dest: d.id, route: route, seq: c.requestSeq, lastGrantSeq: c.lastGrantSeq, count: min(calls, 255),
		urgency: uint8(255 * min(urgency, 1)),
	})
}

// returnExpiredGrants returns grants that were not used in time, as calls that were not made.
func (s *Sender) returnExpiredGrants(d *destination) {
	d.requester.grants = slices.DeleteFunc(d.requester.grants, func(g grant) bool {
		if s.now >= g.expiresAt {
			s.sendDatagram(s.coordinator(d, d.requester.coordinatorRank), datagram{kind: datagramCallEnd, dest: d.id, route: g.route, outcome: NotSent})
		}
		return s.now >= g.expiresAt
	})
}

// isNewGrant reports whether a grant has not arrived before. Grants may overtake each other, so the last 64 numbers
// are remembered. A number from further behind comes from a coordinator that was restarted.
func (c *grantRequester) isNewGrant(seq uint16) bool {
	switch ahead, behind := seq-c.lastGrantSeq, c.lastGrantSeq-seq; {
	case behind < 64:
		bit := uint64(1) << behind
		seen := c.grantsSeen&bit != 0
		c.grantsSeen |= bit
		return !seen
	case ahead < 64:
		c.grantsSeen = c.grantsSeen<<ahead | 1
	default:
		c.grantsSeen = 1
	}
	c.lastGrantSeq = seq
	return true
}
