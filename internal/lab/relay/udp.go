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
	maxDelayedDatagrams = 1 << 14 // datagrams on their way at once; more are lost
)

// UDP opens a face for each party: what arrives at the face of one goes on to its own address, from the face of who
// sent it. So each is known to the others by its face, and no process hears of another's own address.
func (n *Network) ListenUDP(parties []Party, faces, targets []string) error {
	if len(faces) != len(parties) || len(targets) != len(parties) {
		return fmt.Errorf("relay: %d parties with %d faces and %d addresses", len(parties), len(faces), len(targets))
	}
	conns := map[Party]*net.UDPConn{}
	at := map[Party]netip.AddrPort{}
	for i, p := range parties {
		own, err := parseLoopback(targets[i])
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
		conns[p], at[p] = conn, own
	}
	for _, to := range parties {
		n.wg.Go(func() {
			b := make([]byte, maxDatagramBytes)
			for {
				k, source, err := conns[to].ReadFromUDPAddrPort(b)
				if errors.Is(err, net.ErrClosed) {
					return
				}
				if err != nil { // the answer to one that found nobody
					continue
				}
				from, known := n.partyAt(source.Addr().Unmap())
				if !known || conns[from] == nil || source.Port() != at[from].Port() {
					continue
				}
				n.forwardDatagram(conns[from], at[to], from, to, b[:k])
			}
		})
	}
	return nil
}

// datagram passes one on, or not.
func (n *Network) forwardDatagram(face *net.UDPConn, target netip.AddrPort, from, to Party, text []byte) {
	f, _ := n.currentFault(from, to)
	if f.blocks() || n.happens(f.LossShare) {
		n.onEvent(Event{Type: DatagramLost, From: from, To: to, Bytes: len(text)})
		return
	}
	copies := 1
	if n.happens(f.DuplicateShare) {
		copies = 2
	}
	for range copies {
		late := f.Delay + n.randomDuration(f.Jitter)
		if n.happens(f.ReorderShare) {
			late += n.randomDuration(maxReorderDelay)
		}
		if late <= 0 {
			n.sendDatagram(face, target, from, to, text)
			continue
		}
		n.mu.Lock()
		full := n.delayedDatagrams >= maxDelayedDatagrams || n.closed
		if !full {
			n.delayedDatagrams++
		}
		n.mu.Unlock()
		if full {
			n.onEvent(Event{Type: DatagramLost, From: from, To: to, Bytes: len(text)})
			continue
		}
		kept := append([]byte(nil), text...)
		time.AfterFunc(late, func() {
			n.mu.Lock()
			n.delayedDatagrams--
			n.mu.Unlock()
			if f, _ := n.currentFault(from, to); !f.blocks() {
				n.sendDatagram(face, target, from, to, kept)
			}
		})
	}
}

func (n *Network) sendDatagram(face *net.UDPConn, target netip.AddrPort, from, to Party, text []byte) {
	what := DatagramForwarded
	if _, err := face.WriteToUDPAddrPort(text, target); err != nil {
		what = DatagramLost
	}
	n.onEvent(Event{Type: what, From: from, To: to, Bytes: len(text)})
}
