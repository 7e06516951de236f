package choice

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// A note between senders is a few bytes: every one is paid for by its length.
type datagramKind uint8

const (
	datagramRequest  datagramKind = 'a' // the sender could use so many calls
	datagramGrant    datagramKind = 'g' // the receiver may make so many calls
	datagramCallEnd  datagramKind = 'e' // a call has ended
	datagramHandOver datagramKind = 'h' // the sender leaves, and the route takes so many 255ths of its limit
	datagramOutage   datagramKind = 'c' // the sender, which heard no keeper, knows that the route is struck, or for how long it has been back
)

const maxDatagramSize = 11

type datagram struct {
	kind         datagramKind
	dest         int
	route        uint16 // of those apart; 0 where all endpoints share one
	seq          uint16
	lastGrantSeq uint16 // the last grant that has come
	count        int
	urgency      uint8
	outcome      Outcome
	wait         time.Duration
}

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

// mark names an endpoint's route in notes.
func (s *Sender) routeID(e *endpoint) uint16 {
	if !s.hasSeparateRoutes(e.dest) {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(e.id))
	v := h.Sum32()
	return max(uint16(v^v>>16), 1)
}

// mix orders the senders in which they keep a destination's limit, another order for each destination.
func rankHash(dest, node int) uint64 {
	x := uint64(dest)<<32 ^ uint64(node)
	for range 3 {
		x = (x ^ x>>31 ^ 0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	}
	return x
}

// newer tells that a number is not one of the last that came before another; numbers wrap, and those of a process
// that was started anew begin anywhere.
func isNewer(seq, last uint16) bool { return last-seq >= 64 }

// note tells another sender, or this one, which may be a keeper itself.
func (s *Sender) sendDatagram(to int, dg datagram) {
	if to == s.cfg.Number {
		s.handleDatagram(to, dg)
	} else {
		s.emit(SendDatagram{To: to, Payload: dg.encode()})
	}
}

// told takes a note of another sender; what can't be read, or speaks of what is not known here, is left.
func (s *Sender) handleDatagramReceived(e DatagramReceived) {
	if dg, ok := decodeDatagram(e.Payload); ok && s.sharesLimits() && e.From >= 0 && e.From < s.cfg.FleetSize {
		s.handleDatagram(e.From, dg)
	}
}

// noted hands a note to what it is for.
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

// handOver tells the next keeper of each limit that is kept here how much of it the destination takes of late.
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

// ask sends an ask for so many calls.
func (s *Sender) sendRequest(d *destination, coordinator, calls int, urgency float64, route uint16) {
	c := &d.requester
	if calls > 0 {
		if c.answeredAt >= c.requestedAt {
			// Who has a part of a call in a second makes none or a whole one: where each begins is left to chance,
			// so that all together make what they may from the first moment on, and not all at once.
			c.unansweredSince, c.allowanceRefilledAt = s.now, s.now+coordinatorSilenceTimeout
			c.grantedShare = min(1, (c.grantRate(s.now)*seconds(demandDecayTime)+0.5)/(d.arrivalRate(s.now)*seconds(demandDecayTime)+1.0))
			if s.uncoordinatedSince(c) > 0 {
				c.grantedShare = 0 // nothing was ever granted, and it may be cold
			}
			c.allowanceTokens = s.rng.Float64() + c.grantedShare*float64(len(d.waiting))
		}
		c.requestedAt = s.now
	}
	c.requestSeq++
	s.sendDatagram(coordinator, datagram{
		kind: datagramRequest, dest: d.id, route: route, seq: c.requestSeq, lastGrantSeq: c.lastGrantSeq, count: min(calls, 255),
		urgency: uint8(255 * min(urgency, 1)),
	})
}

// giveBackGrants returns grants that have run out unused.
func (s *Sender) returnExpiredGrants(d *destination) {
	d.requester.grants = slices.DeleteFunc(d.requester.grants, func(g grant) bool {
		if s.now >= g.expiresAt {
			s.sendDatagram(s.coordinator(d, d.requester.coordinatorRank), datagram{kind: datagramCallEnd, dest: d.id, route: g.route, outcome: NotSent})
		}
		return s.now >= g.expiresAt
	})
}

// fresh tells that a grant has not come before. Grants overtake each other; of the last 64 it is known which have
// come, and one from further behind is of a keeper that was started anew.
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
