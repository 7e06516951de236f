package stage

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"harrierramp/internal/lab/relay"
)

// Every process of a stage has an address of loopback to itself, so that its ports can't be another's: not those of a
// stage beside it, not an ephemeral one, and not after a restart either. A stage holds one block of 127.0.0.0/8, by a
// socket that stands open as long as the stage does.
const (
	firstBlock, lastBlock = 64, 126 // the second byte
	perByte               = 250     // parties told apart by the last byte
	bytesPerKind          = 4       // of the third byte

	blockPort  = 20999
	clientPort = 21000 // of a node, for clients
	doorPort   = 21001
	notePort   = 21002
	listPort   = 21010 // of a list server
	opsPort    = 21011
	callPort   = 21020 // of a partner
)

// block is the part of loopback that a stage holds.
type block struct {
	second byte
	held   net.Listener
}

// holdBlock takes a block that no other stage holds.
func holdBlock() (*block, error) {
	var errs []error
	for second := firstBlock; second <= lastBlock; second++ {
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", second, blockPort))
		if err == nil {
			return &block{byte(second), ln}, nil
		}
		errs = append(errs, err)
	}
	return nil, fmt.Errorf("stage: no part of loopback is free: %w", errors.Join(errs...))
}

func (b *block) free() error { return b.held.Close() }

// own is the address of a party itself, face where others reach it.
func (b *block) own(p relay.Party) netip.Addr  { return b.at(p, 0) }
func (b *block) face(p relay.Party) netip.Addr { return b.at(p, 3*bytesPerKind) }

func (b *block) at(p relay.Party, from int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, b.second, byte(from + int(p.Kind)*bytesPerKind + p.N/perByte), byte(1 + p.N%perByte)})
}

// who names the party that connections from an address are of.
func (b *block) who(a netip.Addr) (relay.Party, bool) {
	raw := a.As4()
	kind, n := int(raw[2])/bytesPerKind, int(raw[2])%bytesPerKind*perByte+int(raw[3])-1
	if raw[0] != 127 || raw[1] != b.second || kind > int(relay.Partner) || raw[3] == 0 || raw[3] > perByte {
		return relay.Party{}, false
	}
	return relay.Party{Kind: relay.Kind(kind), N: n}, true
}

func at(a netip.Addr, port uint16) string { return netip.AddrPortFrom(a, port).String() }
