package process

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"harrierramp/internal/lab/relay"
)

const (
	firstBlock, lastBlock = 64, 126 // the second byte
	perByte               = 250     // parties told apart by the last byte
	bytesPerKind          = 4       // of the third byte

	blockPort = 20999
)

// Ports, the same at every address.
const (
	ClientPort = 21000 // of a node, for clients
	DoorPort   = 21001
	NotePort   = 21002
	AgentPort  = 21003 // the platform, as one node sees it
	ListPort   = 21010 // of a list server
	OpsPort    = 21011
	CallPort   = 21020 // of a partner
)

// Block is a part of 127.0.0.0/8 in which every process has an address to itself, so that its ports can't be another's:
// not those of a block beside it, not an ephemeral one, and not after a restart either. It is held by a socket that stands
// open until Free.
type Block struct {
	second byte
	held   net.Listener
}

// HoldBlock takes a block that nobody else holds.
func HoldBlock() (*Block, error) {
	var errs []error
	for second := firstBlock; second <= lastBlock; second++ {
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", second, blockPort))
		if err == nil {
			return &Block{byte(second), ln}, nil
		}
		errs = append(errs, err)
	}
	return nil, fmt.Errorf("no part of loopback is free: %w", errors.Join(errs...))
}

// Free gives the block back.
func (b *Block) Free() error { return b.held.Close() }

// Own is the address of a party itself.
func (b *Block) Own(p relay.Party) netip.Addr { return b.at(p, 0) }

// Face is where others reach it.
func (b *Block) Face(p relay.Party) netip.Addr { return b.at(p, 3*bytesPerKind) }

func (b *Block) at(p relay.Party, from int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, b.second, byte(from + int(p.Kind)*bytesPerKind + p.N/perByte), byte(1 + p.N%perByte)})
}

// Who names the party that connections from an address are of.
func (b *Block) Who(a netip.Addr) (relay.Party, bool) {
	raw := a.As4()
	kind, n := int(raw[2])/bytesPerKind, int(raw[2])%bytesPerKind*perByte+int(raw[3])-1
	if raw[0] != 127 || raw[1] != b.second || kind > int(relay.Partner) || raw[3] == 0 || raw[3] > perByte {
		return relay.Party{}, false
	}
	return relay.Party{Kind: relay.Kind(kind), N: n}, true
}

// At is a port of an address.
func At(a netip.Addr, port uint16) string { return netip.AddrPortFrom(a, port).String() }
