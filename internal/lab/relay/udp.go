package relay

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

const (
	maxDatagram = 2048
	mostLate    = 1 << 14 // datagrams on their way at once; more are lost
)

// UDP opens a face for each party: what arrives at the face of one goes on to its own address, from the face of who
// sent it. So each is known to the others by its face, and no process hears of another's own address.
func (n *Net) UDP(parties []Party, faces, targets []string) error {
	if len(faces) != len(parties) || len(targets) != len(parties) {
		return fmt.Errorf("relay: %d parties with %d faces and %d addresses", len(parties), len(faces), len(targets))
	}
	conns := map[Party]*net.UDPConn{}
	at := map[Party]netip.AddrPort{}
	for i, p := range parties {
		own, err := loopback(targets[i])
		if err != nil {
			return err
		}
		face, err := loopback(faces[i])
		if err != nil {
			return err
		}
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(face))
		if err != nil {
			return fmt.Errorf("relay: %w", err)
		}
		if !n.keep(func() { conn.Close() }) {
			return net.ErrClosed
		}
		conns[p], at[p] = conn, own
	}
	for _, to := range parties {
		n.wg.Go(func() {
			b := make([]byte, maxDatagram)
			for {
				k, source, err := conns[to].ReadFromUDPAddrPort(b)
				if errors.Is(err, net.ErrClosed) {
					return
				}
				if err != nil { // the answer to one that found nobody
					continue
				}
				from, known := n.who(source.Addr().Unmap())
				if !known || conns[from] == nil || source.Port() != at[from].Port() {
					continue
				}
				n.datagram(conns[from], at[to], from, to, b[:k])
			}
		})
	}
	return nil
}

// datagram passes one on, or not.
func (n *Net) datagram(face *net.UDPConn, target netip.AddrPort, from, to Party, text []byte) {
	f, _ := n.fault(from, to)
	if f.holds() || n.chance(f.Lose) {
		n.tell(Event{What: Lost, From: from, To: to, Bytes: len(text)})
		return
	}
	copies := 1
	if n.chance(f.Repeat) {
		copies = 2
	}
	for range copies {
		late := f.Delay + n.within(f.Jitter)
		if n.chance(f.Reorder) {
			late += n.within(reorderLate)
		}
		if late <= 0 {
			n.deliver(face, target, from, to, text)
			continue
		}
		n.mu.Lock()
		full := n.late >= mostLate || n.closed
		if !full {
			n.late++
		}
		n.mu.Unlock()
		if full {
			n.tell(Event{What: Lost, From: from, To: to, Bytes: len(text)})
			continue
		}
		kept := append([]byte(nil), text...)
		time.AfterFunc(late, func() {
			n.mu.Lock()
			n.late--
			n.mu.Unlock()
			if f, _ := n.fault(from, to); !f.holds() {
				n.deliver(face, target, from, to, kept)
			}
		})
	}
}

func (n *Net) deliver(face *net.UDPConn, target netip.AddrPort, from, to Party, text []byte) {
	what := Datagram
	if _, err := face.WriteToUDPAddrPort(text, target); err != nil {
		what = Lost
	}
	n.tell(Event{What: what, From: from, To: to, Bytes: len(text)})
}
