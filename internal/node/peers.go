package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/backoff"
	"harrierramp/internal/config"
	"harrierramp/internal/fairqueue"
	"harrierramp/internal/membership"
	"harrierramp/internal/staleness"
	"harrierramp/internal/transient"
)

const (
	maxDatagramBytes      = 256 // bytes; nodes must not send longer ones to each other
	peerBindAttempts      = 20
	peerBindRetryInterval = 10 * time.Millisecond
	datagramCost          = 20 * time.Microsecond // processor time to read a datagram and to act on it in the event loop
	unknownDatagramCost   = 5 * time.Microsecond  // processor time to read a datagram and to drop it
)

// peers exchanges datagrams between the nodes of a fleet. They may arrive late or not at all.
type peers struct {
	conn        *net.UDPConn
	addrs       []netip.AddrPort
	nodeNumbers map[netip.AddrPort]int
}

// listenPeers opens the socket for datagrams. It returns nil if the configuration does not allow datagrams,
// gives no address for the socket, or names no other nodes.
func listenPeers(ctx context.Context, cfg config.Config) (*peers, error) {
	if cfg.PeerListen == "" || !cfg.Settings.PeerDatagrams || len(cfg.Peers) < 2 {
		return nil, nil
	}
	p := &peers{nodeNumbers: map[netip.AddrPort]int{}}
	for i, text := range cfg.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		p.addrs = append(p.addrs, addr)
		p.nodeNumbers[addr] = i
	}
	at, err := netip.ParseAddrPort(cfg.PeerListen)
	if err != nil {
		return nil, err
	}
	err = transient.Retry(ctx, startupRetryTimeout, nil, func() error {
		p.conn, err = listenUDP(ctx, at)
		return err
	})
	if err != nil {
		return nil, err
	}
	return p, nil
}

// listenUDP opens a UDP socket. It retries for a while, because the previous process may still hold the
// address.
func listenUDP(ctx context.Context, at netip.AddrPort) (conn *net.UDPConn, err error) {
	for range peerBindAttempts {
		conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
		if err == nil || !backoff.Sleep(ctx, peerBindRetryInterval) {
			break
		}
	}
	return conn, err
}

// receive passes datagrams of the other nodes to deliver until the socket is closed. It counts datagrams from
// other senders in unknownSenders, and drops them. Each datagram takes processor time that scheduler grants; those that
// come faster stay in the socket's buffer, or are dropped there.
func (p *peers) receive(ctx context.Context, log *slog.Logger, scheduler *fairqueue.Scheduler, unknownSenders *atomic.Int64, deliver func(any) bool) {
	fleet, unknown := scheduler.NewFlow(), scheduler.NewFlow()
	fleet.SetClass(fairqueue.Known)
	b := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			log.Debug("note_not_read", "err", err)
			if !backoff.Sleep(ctx, backoff.InitialDelay) {
				return
			}
			continue
		}
		number, ok := p.nodeNumbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !ok || n > maxDatagramBytes {
			unknownSenders.Add(1)
			unknown.Spend(unknownDatagramCost)
			continue // not from a node of the fleet, or too long
		}
		fleet.Spend(datagramCost)
		text := append([]byte(nil), b[:n]...)
		switch {
		case n > 0 && text[0] == membership.Magic:
			deliver(membershipDatagram{number, text})
		case n > 0 && text[0] == staleness.Magic:
			deliver(revisionDatagram{number, text})
		default:
			deliver(choice.DatagramReceived{From: number, Payload: text})
		}
	}
}

// send sends a datagram. One that cannot be sent is dropped, as a datagram may be lost anyway.
func (p *peers) send(a choice.SendDatagram, log *slog.Logger) {
	if p == nil || a.To < 0 || a.To >= len(p.addrs) || len(a.Payload) > maxDatagramBytes {
		return
	}
	if _, err := p.conn.WriteToUDPAddrPort(a.Payload, p.addrs[a.To]); err != nil {
		log.Debug("note_not_sent", "to", a.To, "err", err)
	}
}

func (p *peers) close() {
	if p != nil {
		p.conn.Close()
	}
}
