package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["badlines"] = badLines }

// badLines: clients hand in messages; one destination of eight is slow, so its messages end by notices. Then peers that
// do not speak the protocol connect and send lines of a log. Each taken-on message must still end in time.
func badLines(r *Rig, trouble bool) (broken []string, err error) {
	const (
		destinations = 8
		slowDest     = 8
		peers        = 60
		bytesOfPeer  = 512 << 10 // 60 peers: 31 MB altogether
		quiet        = 6 * time.Second
		traffic      = 18 * time.Second
	)
	serve := func(c *Call) bool {
		if c.Endpoint.Member.Cell == slowDest {
			time.Sleep(8 * time.Second)
		} else {
			time.Sleep(250 * time.Millisecond)
		}
		return c.reply(200)
	}
	d, err := newDeployment(r, destinations, serve, map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 384, "disk_mb": 3}, 24, 298)
	if err != nil {
		return nil, err
	}
	proc, err := d.node.start()
	if err != nil {
		return nil, err
	}
	defer proc.kill()
	if !d.node.awaitReady(30 * time.Second) {
		return nil, fmt.Errorf("the node was not ready within 30 s")
	}
	wait := d.clients(5, 250*time.Millisecond, func(i int) int { return 1 + i%destinations }, time.Now().Add(traffic))
	time.Sleep(quiet)
	var flood sync.WaitGroup
	if trouble {
		line := "2026-12-04T08:30:00Z web-3 nginx[711]: 10.0.3.7 GET /offres 200 0.012\n"
		text := strings.Repeat(line, bytesOfPeer/len(line))
		r.logf("peers     %d peers connect, and each sends %d bytes: lines of a log", peers, len(text))
		for i := range peers {
			flood.Go(func() { sendLines(r, d.node.listen, i, text) })
		}
	}
	wait()
	flood.Wait()
	time.Sleep(8 * time.Second) // beyond the time of the last message
	if !proc.running() {
		return []string{"crash: the node has ended"}, nil
	}
	slow := 0
	for _, m := range d.messages {
		if m.takenOn() && m.Dest == slowDest {
			slow++
		}
	}
	r.logf("judge     %d messages were handed in, %d for the slow destination were taken on", len(d.messages), slow)
	if slow < 10 {
		return nil, fmt.Errorf("only %d messages for the slow destination were taken on", slow)
	}
	return judgeLost(d.messages, d.calls, d.platform, time.Now()), nil
}

// sendLines is a peer that sends text and reads whatever is answered, until the node ends the connection.
func sendLines(r *Rig, addr string, number int, text string) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		r.logf("peer %3d  %v", number, err)
		return
	}
	defer nc.Close()
	began := time.Now()
	nc.SetDeadline(began.Add(30 * time.Second))
	answered := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(io.Discard, nc)
		answered <- n
	}()
	sent, err := io.WriteString(nc, text)
	r.logf("peer %3d  sent %d bytes, error: %v", number, sent, err)
	n := <-answered
	r.logf("peer %3d  %d bytes were answered until the end of the connection, %.1f s after its start", number, n, time.Since(began).Seconds())
}
