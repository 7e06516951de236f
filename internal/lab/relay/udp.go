package relay

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

const (
	maxDatagramBytes    = 2048
	maxDelayedDatagrams = 1 << 14 // datagrams that wait at once; more are dropped
)

// ListenUDP opens a face for each party. A datagram that arrives at a party's face is forwarded to the party's own
// address, from the face of its sender. So parties know each other only by their faces.
func (n *Network) ListenUDP(parties []Party, faces, targets []string) error {
	if len(faces) != len(parties) || len(targets) != len(parties) {
		return fmt.Errorf("relay: %d parties with %d faces and %d addresses", len(parties), len(faces), len(targets))
	}
	conns := map[Party]*net.UDPConn{}
	ownAddrs := map[Party]netip.AddrPort{}
	for i, p := range parties {
		ownAddr, err := parseLoopback(targets[i])
		if err != nil {
			return err
		}
		face, err := parseLoopback(faces[i])
		if err != nil {
			return err
		}
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(face))
		if err != nil {
			return fmt.Errorf("relay: %w", err)
		}
		if !n.addCloser(func() { conn.Close() }) {
			return net.ErrClosed
		}
		conns[p], ownAddrs[p] = conn, ownAddr
	}
	for _, to := range parties {
		n.wg.Go(func() {
			b := make([]byte, maxDatagramBytes)
			for {
				size, source, err := conns[to].ReadFromUDPAddrPort(b)
				if errors.Is(err, net.ErrClosed) {
					return
				}
				if err != nil { // an ICMP error for an earlier datagram: its target was not listening
					continue
				}
				from, known := n.partyAt(source.Addr().Unmap())
				if !known || conns[from] == nil || source.Port() != ownAddrs[from].Port() {
					continue
				}
				n.forwardDatagram(conns[from], ownAddrs[to], from, to, b[:size])
			}
		})
	}
	return nil
}

// forwardDatagram forwards a datagram, or drops, duplicates or delays it by the faults of the path.
func (n *Network) forwardDatagram(face *net.UDPConn, target netip.AddrPort, from, to Party, data []byte) {
	f, _ := n.currentFault(from, to)
	if f.blocks() || n.happens(f.LossShare) {
		n.onEvent(Event{Type: DatagramLost, From: from, To: to, Bytes: len(data)})
		return
	}
	copies := 1
	if n.happens(f.DuplicateShare) {
		copies = 2
	}
	for range copies {
		delay := f.Delay + n.randomDuration(f.Jitter)
		if n.happens(f.ReorderShare) {
			delay += n.randomDuration(maxReorderDelay)
		}
		if delay <= 0 {
			n.sendDatagram(face, target, from, to, data)
			continue
		}
		n.mu.Lock()
		full := n.delayedDatagrams >= maxDelayedDatagrams || n.closed
		if !full {
			n.delayedDatagrams++
		}
		n.mu.Unlock()
		if full {
			n.onEvent(Event{Type: DatagramLost, From: from, To: to, Bytes: len(data)})
			continue
		}
		copied := append([]byte(nil), data...)
		time.AfterFunc(delay, func() {
			n.mu.Lock()
			n.delayedDatagrams--
			n.mu.Unlock()
			if f, _ := n.currentFault(from, to); !f.blocks() {
				n.sendDatagram(face, target, from, to, copied)
			}
		})
	}
}

func (n *Network) sendDatagram(face *net.UDPConn, target netip.AddrPort, from, to Party, data []byte) {
	eventType := DatagramForwarded
	if _, err := face.WriteToUDPAddrPort(data, target); err != nil {
		eventType = DatagramLost
	}
	n.onEvent(Event{Type: eventType, From: from, To: to, Bytes: len(data)})
}
