package process

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"harrierramp/internal/lab/relay"
)

const (
	minSecondByte, maxSecondByte = 64, 126 // the second byte
	partiesPerLastByte           = 250     // parties told apart by the last byte
	thirdBytesPerKind            = 4       // of the third byte

	reservationPort = 20999
)

// Ports, the same at every address.
const (
	ClientPort    = 21000 // of a node, for clients
	NodeAdminPort = 21001
	PeerPort      = 21002
	AgentPort     = 21003 // the platform, as one node sees it
	ListPort      = 21010 // of a list server
	ListAdminPort = 21011
	PartnerPort   = 21020 // of a partner
)

// Block is a part of 127.0.0.0/8 in which every process has an address to itself, so that its ports can't be another's:
// not those of a block beside it, not an ephemeral one, and not after a restart either. It is held by a socket that stands
// open until Free.
type AddrBlock struct {
	secondByte byte
	listener   net.Listener
}

// HoldBlock takes a block that nobody else holds.
func ReserveBlock() (*AddrBlock, error) {
	var errs []error
	for second := minSecondByte; second <= maxSecondByte; second++ {
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", second, reservationPort))
		if err == nil {
			return &AddrBlock{byte(second), ln}, nil
		}
		errs = append(errs, err)
	}
	return nil, fmt.Errorf("no part of loopback is free: %w", errors.Join(errs...))
}

// Free gives the block back.
func (b *AddrBlock) Release() error { return b.listener.Close() }

// Own is the address of a party itself.
func (b *AddrBlock) OwnAddr(p relay.Party) netip.Addr { return b.addr(p, 0) }

// Face is where others reach it.
func (b *AddrBlock) FaceAddr(p relay.Party) netip.Addr { return b.addr(p, 3*thirdBytesPerKind) }

func (b *AddrBlock) addr(p relay.Party, from int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, b.secondByte, byte(from + int(p.Kind)*thirdBytesPerKind + p.Index/partiesPerLastByte), byte(1 + p.Index%partiesPerLastByte)})
}

// Who names the party that connections from an address are of.
func (b *AddrBlock) PartyAt(a netip.Addr) (relay.Party, bool) {
	raw := a.As4()
	kind, n := int(raw[2])/thirdBytesPerKind, int(raw[2])%thirdBytesPerKind*partiesPerLastByte+int(raw[3])-1
	if raw[0] != 127 || raw[1] != b.secondByte || kind > int(relay.Partner) || raw[3] == 0 || raw[3] > partiesPerLastByte {
		return relay.Party{}, false
	}
	return relay.Party{Kind: relay.Kind(kind), Index: n}, true
}

// At is a port of an address.
func HostPort(a netip.Addr, port uint16) string { return netip.AddrPortFrom(a, port).String() }
