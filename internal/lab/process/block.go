package process

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"harrierramp/internal/lab/relay"
)

const (
	minSecondByte, maxSecondByte = 64, 126 // of the second byte of a block's addresses
	partiesPerLastByte           = 250     // parties whose addresses differ in the last byte only
	thirdBytesPerKind            = 4       // values of the third byte for each kind of party

	reservationPort = 20999
)

// Ports of the processes. They are the same at every address, since each process has an address of its own.
const (
	ClientPort    = 21000 // of a node, for clients
	NodeAdminPort = 21001 // of a node, for operators
	PeerPort      = 21002 // of a node, for datagrams of other nodes
	AgentPort     = 21003 // of the discovery agent that stands in for the platform at one node
	ListPort      = 21010 // of a list server, for nodes and partners
	ListAdminPort = 21011 // of a list server, for operators
	PartnerPort   = 21020 // of a partner, for calls
)

// AddrBlock is a /16 part of 127.0.0.0/8. Every process has its own address in it, so that its ports cannot collide
// with those of another block or with ephemeral ports, also when the process restarts. A listening socket reserves the
// block until Release.
type AddrBlock struct {
	secondByte byte
	listener   net.Listener
}

// ReserveBlock reserves a block that no other process on this machine has reserved.
func ReserveBlock() (*AddrBlock, error) {
	var errs []error
	for second := minSecondByte; second <= maxSecondByte; second++ {
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", second, reservationPort))
		if err == nil {
			return &AddrBlock{byte(second), ln}, nil
		}
		errs = append(errs, err)
	}
	return nil, fmt.Errorf("no address block on loopback is free: %w", errors.Join(errs...))
}

// Release releases the block.
func (b *AddrBlock) Release() error { return b.listener.Close() }

// OwnAddr is the address that a party itself uses.
func (b *AddrBlock) OwnAddr(p relay.Party) netip.Addr { return b.addr(p, 0) }

// FaceAddr is the party's face: the address by which other parties reach it, through the relay.
func (b *AddrBlock) FaceAddr(p relay.Party) netip.Addr { return b.addr(p, 3*thirdBytesPerKind) }

func (b *AddrBlock) addr(p relay.Party, from int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, b.secondByte, byte(from + int(p.Kind)*thirdBytesPerKind + p.Index/partiesPerLastByte), byte(1 + p.Index%partiesPerLastByte)})
}

// PartyAt returns the party that an address of the block belongs to. It returns false for other addresses.
func (b *AddrBlock) PartyAt(a netip.Addr) (relay.Party, bool) {
	raw := a.As4()
	kind, n := int(raw[2])/thirdBytesPerKind, int(raw[2])%thirdBytesPerKind*partiesPerLastByte+int(raw[3])-1
	if raw[0] != 127 || raw[1] != b.secondByte || kind > int(relay.Partner) || raw[3] == 0 || raw[3] > partiesPerLastByte {
		return relay.Party{}, false
	}
	return relay.Party{Kind: relay.Kind(kind), Index: n}, true
}

// HostPort joins an address and a port.
func HostPort(a netip.Addr, port uint16) string { return netip.AddrPortFrom(a, port).String() }
