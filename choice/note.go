package choice

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// A note between senders is a few bytes: every one is paid for by its length.
type noteKind uint8

const (
	noteAsk   noteKind = 'a' // the sender could use so many calls
	noteGrant noteKind = 'g' // the receiver may make so many calls
	noteEnd   noteKind = 'e' // a call has ended
	noteHand  noteKind = 'h' // the sender leaves, and the route takes so many 255ths of its limit
	noteCold  noteKind = 'c' // the sender, which heard no keeper, knows that the route is struck, or for how long it has been back
)

const noteSize = 11

type note struct {
	kind    noteKind
	dest    int
	route   uint16 // of those apart; 0 where all endpoints share one
	seq     uint16
	seen    uint16 // the last grant that has come
	count   int
	urgency uint8
	outcome Outcome
	wait    time.Duration
}

func (n note) encode() []byte {
	b := append(make([]byte, 0, noteSize), byte(n.kind))
	b = binary.BigEndian.AppendUint16(b, uint16(n.dest))
	b = binary.BigEndian.AppendUint16(b, n.route)
	switch n.kind {
	case noteAsk:
		b = binary.BigEndian.AppendUint16(b, n.seq)
		b = binary.BigEndian.AppendUint16(b, n.seen)
		b = append(b, byte(n.count), n.urgency)
	case noteGrant, noteHand:
		b = binary.BigEndian.AppendUint16(b, n.seq)
		b = append(b, byte(n.count))
	case noteCold:
		b = append(b, byte(n.count))
		b = binary.BigEndian.AppendUint16(b, uint16(min(n.wait/time.Millisecond, 1<<16-1)))
	case noteEnd:
		b = append(b, byte(n.outcome))
		b = binary.BigEndian.AppendUint16(b, uint16(min(n.wait/time.Millisecond, 1<<16-1)))
	}
	return b
}

func decodeNote(b []byte) (note, bool) {
	if len(b) < 8 {
		return note{}, false
	}
	n := note{kind: noteKind(b[0]), dest: int(binary.BigEndian.Uint16(b[1:])), route: binary.BigEndian.Uint16(b[3:])}
	switch {
	case n.kind == noteAsk && len(b) == noteSize:
		n.seq, n.seen = binary.BigEndian.Uint16(b[5:]), binary.BigEndian.Uint16(b[7:])
		n.count, n.urgency = int(b[9]), b[10]
	case (n.kind == noteGrant || n.kind == noteHand) && len(b) == 8:
		n.seq, n.count = binary.BigEndian.Uint16(b[5:]), int(b[7])
	case n.kind == noteCold && len(b) == 8:
		n.count = int(b[5])
		n.wait = time.Duration(binary.BigEndian.Uint16(b[6:])) * time.Millisecond
	case n.kind == noteEnd && len(b) == 8 && Outcome(b[5]) <= NotSent:
		n.outcome = Outcome(b[5])
		n.wait = time.Duration(binary.BigEndian.Uint16(b[6:])) * time.Millisecond
	default:
		return note{}, false
	}
	return n, true
}

// mark names an endpoint's route in notes.
func (s *Sender) mark(e *endpoint) uint16 {
	if !s.apart(e.dest) {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(e.id))
	v := h.Sum32()
	return max(uint16(v^v>>16), 1)
}

// mix orders the senders in which they keep a destination's limit, another order for each destination.
func mix(dest, number int) uint64 {
	x := uint64(dest)<<32 ^ uint64(number)
	for range 3 {
		x = (x ^ x>>31 ^ 0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	}
	return x
}

// newer tells that a number is not one of the last that came before another; numbers wrap, and those of a process
// that was started anew begin anywhere.
func newer(seq, last uint16) bool { return last-seq >= 64 }

// note tells another sender, or this one, which may be a keeper itself.
func (s *Sender) note(to int, n note) {
	if to == s.cfg.Number {
		s.noted(to, n)
	} else {
		s.do(Tell{To: to, Text: n.encode()})
	}
}

// told takes a note of another sender; what can't be read, or speaks of what is not known here, is left.
func (s *Sender) told(e Told) {
	if n, ok := decodeNote(e.Text); ok && s.shared() && e.From >= 0 && e.From < s.cfg.Fleet {
		s.noted(e.From, n)
	}
}

// noted hands a note to what it is for.
func (s *Sender) noted(from int, n note) {
	d := s.dests[n.dest]
	if d == nil {
		return
	}
	switch n.kind {
	case noteAsk:
		s.asked(d, from, n)
	case noteGrant:
		s.grantedBy(d, from, n)
	case noteEnd, noteHand, noteCold:
		for _, e := range d.endpoints {
			if s.mark(e) != n.route {
				continue
			}
			switch n.kind {
			case noteEnd:
				s.fleetHeard(e, from, n.outcome, n.wait)
			case noteCold:
				s.fleetStruck(e, n.count == 0, n.wait)
			default:
				f := s.fleet(e)
				f.part, f.partAt = float64(n.count)/255, s.now
			}
			return
		}
	}
}

// handOver tells the next keeper of each limit that is kept here how much of it the destination takes of late.
func (s *Sender) handOver(e Leaving) {
	if !e.HandOver || !s.shared() {
		return
	}
	for _, d := range s.order {
		if s.keeper(d, 0) != s.cfg.Number {
			continue
		}
		told := map[*route]bool{}
		for _, ep := range d.endpoints {
			if f := ep.route.fleet; f != nil && !told[f] {
				told[f] = true
				s.note(s.keeper(d, 1), note{
					kind: noteHand, dest: d.id, route: s.mark(ep), count: int(math.Round(255 * min(max(f.part, 0), 1))),
				})
			}
		}
	}
}

// ask sends an ask for so many calls.
func (s *Sender) ask(d *destination, keeper, n int, urgency float64, route uint16) {
	c := &d.claim
	if n > 0 {
		if c.heardAt >= c.askedAt {
			// Who has a part of a call in a second makes none or a whole one: where each begins is left to chance,
			// so that all together make what they may from the first moment on, and not all at once.
			c.silentAt, c.tokensAt = s.now, s.now+silentLast
			c.share = min(1, (c.grantRate(s.now)*seconds(demandSpan)+0.5)/(d.rate(s.now)*seconds(demandSpan)+1.0))
			if s.newSince(c) > 0 {
				c.share = 0 // nothing was ever granted, and it may be cold
			}
			c.tokens = s.rng.Float64() + c.share*float64(len(d.waiting))
		}
		c.askedAt = s.now
	}
	c.seq++
	s.note(keeper, note{
		kind: noteAsk, dest: d.id, route: route, seq: c.seq, seen: c.grantSeq, count: min(n, 255),
		urgency: uint8(255 * min(urgency, 1)),
	})
}

// giveBackGrants returns grants that have run out unused.
func (s *Sender) giveBackGrants(d *destination) {
	d.claim.grants = slices.DeleteFunc(d.claim.grants, func(g grant) bool {
		if s.now >= g.until {
			s.note(s.keeper(d, d.claim.rank), note{kind: noteEnd, dest: d.id, route: g.route, outcome: NotSent})
		}
		return s.now >= g.until
	})
}

// fresh tells that a grant has not come before. Grants overtake each other; of the last 64 it is known which have
// come, and one from further behind is of a keeper that was started anew.
func (c *claim) fresh(seq uint16) bool {
	switch ahead, behind := seq-c.grantSeq, c.grantSeq-seq; {
	case behind < 64:
		bit := uint64(1) << behind
		old := c.grantsSeen&bit != 0
		c.grantsSeen |= bit
		return !old
	case ahead < 64:
		c.grantsSeen = c.grantsSeen<<ahead | 1
	default:
		c.grantsSeen = 1
	}
	c.grantSeq = seq
	return true
}
