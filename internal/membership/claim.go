package membership

import (
	"encoding/binary"
	"hash/fnv"
)

// ID identifies a member in datagrams. It is derived from the member's address, so that nodes whose member lists
// differ in order or length still mean the same member by it.
type ID uint32

// IDOf returns the ID of the member at an address.
func IDOf(addr string) ID {
	h := fnv.New32a()
	h.Write([]byte(addr))
	return ID(h.Sum32())
}

// State is the state that a node holds a member in.
type State uint8

// The states. A suspect still counts as present: it has time to refute the suspicion.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

func (s State) String() string { return stateNames[s] }

// Gone reports whether a member does not take part: it is dead or has left.
func (s State) Gone() bool { return s >= Dead }

// maxIncarnation bounds the incarnations that are accepted. A member raises its own incarnation by one at a time.
const maxIncarnation = 1 << 30

// claim is a statement about a member's state.
type claim struct {
	id          ID
	state       State
	incarnation uint32
	suspectedBy ID // the member that suspects it
}

// overrides reports whether a claim is newer than the known state. Only the member itself can raise its incarnation,
// so a higher one wins; within the same incarnation the worse state wins.
func (c claim) overrides(state State, incarnation uint32) bool {
	if c.incarnation != incarnation {
		return c.incarnation > incarnation
	}
	return c.state > state && !state.Gone()
}

// A datagram starts with Magic, which no datagram of the choice package starts with, the version and the kind. The
// sequence number, the sender's incarnation, the fields of the kind and as many claims as fit follow.
const (
	Magic   = 'M'
	version = 1
	maxSize = 256
)

type kind uint8

const (
	kindPing kind = iota + 1
	kindAck
	kindPingReq // asks the receiver to ping the target for the sender
	kindNack    // the target has not answered yet
	kindDigest  // digest of the sender's view, per bucket
	kindInSync  // the sender's view has the same digest as the receiver's
	kindEntries // the sender's view of one bucket; wantReply asks for the receiver's
	kindCount
)

const (
	buckets     = 32
	headerSize  = 5
	digestWidth = 4
)

type message struct {
	kind        kind
	seq         uint16
	incarnation uint32 // the sender's
	target      ID     // member to ping, for kindPingReq
	bucket      uint8
	wantReply   bool
	digest      [buckets]uint32
	claims      []claim
}

// header returns the encoded message without its claims.
func (m message) header() []byte {
	b := append(make([]byte, 0, maxSize), Magic, version, byte(m.kind))
	b = binary.BigEndian.AppendUint16(b, m.seq)
	b = binary.AppendUvarint(b, uint64(m.incarnation))
	switch m.kind {
	case kindPingReq:
		b = binary.BigEndian.AppendUint32(b, uint32(m.target))
	case kindDigest:
		for _, d := range m.digest {
			b = binary.BigEndian.AppendUint32(b, d)
		}
	case kindEntries:
		b = append(b, m.bucket<<1)
		if m.wantReply {
			b[len(b)-1] |= 1
		}
	}
	return b
}

// appendClaim appends a claim and reports whether it fitted.
func appendClaim(b []byte, c claim) ([]byte, bool) {
	full := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(c.id))
	b = append(b, byte(c.state))
	b = binary.AppendUvarint(b, uint64(c.incarnation))
	if c.state == Suspect {
		b = binary.BigEndian.AppendUint32(b, uint32(c.suspectedBy))
	}
	if len(b) > maxSize {
		return b[:full], false
	}
	return b, true
}

// reader decodes the fields of a datagram. malformed is set if one is missing or out of range.
type reader struct {
	b         []byte
	malformed bool
}

func (r *reader) take(n int) []byte {
	if n > len(r.b) {
		r.b, r.malformed = nil, true
		return make([]byte, n)
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) byte() byte { return r.take(1)[0] }

func (r *reader) id() ID { return ID(binary.BigEndian.Uint32(r.take(4))) }

func (r *reader) incarnation() uint32 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > maxIncarnation {
		r.b, r.malformed = nil, true
		return 0
	}
	r.b = r.b[n:]
	return uint32(v)
}

// decode decodes a datagram. ok is false if it is truncated, too long, of another version or has values out of range.
func decode(b []byte) (m message, ok bool) {
	if len(b) < headerSize || len(b) > maxSize || b[0] != Magic || b[1] != version {
		return m, false
	}
	r := &reader{b: b[2:]}
	m.kind = kind(r.byte())
	m.seq = binary.BigEndian.Uint16(r.take(2))
	m.incarnation = r.incarnation()
	switch m.kind {
	case kindPingReq:
		m.target = r.id()
	case kindDigest:
		for i := range m.digest {
			m.digest[i] = uint32(r.id())
		}
	case kindEntries:
		b := r.byte()
		m.bucket, m.wantReply = b>>1, b&1 == 1
		r.malformed = r.malformed || m.bucket >= buckets
	}
	for len(r.b) > 0 {
		c := claim{id: r.id(), state: State(r.byte()), incarnation: r.incarnation()}
		if c.state == Suspect {
			c.suspectedBy = r.id()
		}
		r.malformed = r.malformed || c.state > Left
		m.claims = append(m.claims, c)
	}
	return m, !r.malformed && m.kind > 0 && m.kind < kindCount
}
