package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = memory }

// memory: clients hand in messages. Then peers fill the clients' share of the descriptors, and each sends most of an
// array of five bulk strings, all as long as a body may be, and stays. The platform kills a node over its memory limit.
func memory(r *Rig, trouble bool) (broken []string, err error) {
	const (
		destinations = 8
		memoryMB     = 64
		sockets      = 544
		peers        = sockets/3 - 11 // the clients have the rest of the third
		words        = 5
		wordBytes    = 64 << 10 // 170 peers: 56 MB altogether
		traffic      = 12 * time.Second
	)
	serve := func(c *Call) bool {
		time.Sleep(250 * time.Millisecond)
		return c.reply(200)
	}
	d, err := newDeployment(r, destinations, serve, map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets, "disk_mb": 3}, 24, 298)
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
	var mostKB atomic.Int64
	var killed atomic.Bool
	go func() { // the platform's limit; mapped files and caches are not counted
		for next := time.Now(); proc.running(); time.Sleep(2 * time.Millisecond) {
			mb := proc.anonMB()
			mostKB.Store(max(mostKB.Load(), int64(mb*1024)))
			if time.Now().After(next) || mb > memoryMB {
				r.logf("platform  the node holds %.1f MB of %d MB", mb, memoryMB)
				next = time.Now().Add(200 * time.Millisecond)
			}
			if mb > memoryMB && !killed.Swap(true) {
				r.logf("platform  kills the node, which is over its memory limit")
				proc.cmd.Process.Kill()
			}
		}
	}()
	wait := d.clients(5, 250*time.Millisecond, func(i int) int { return 1 + i%destinations }, time.Now().Add(traffic))
	time.Sleep(4 * time.Second)
	var flood sync.WaitGroup
	if trouble {
		word := fmt.Sprintf("$%d\r\n%s\r\n", wordBytes, strings.Repeat("x", wordBytes))
		text := fmt.Sprintf("*%d\r\n", words) + strings.Repeat(word, words)
		text = text[:len(text)-2]
		r.logf("peers     %d peers connect, and each sends %d bytes, the last two of its array missing", peers, len(text))
		for i := range peers {
			flood.Go(func() {
				nc, err := net.Dial("tcp", d.node.listen)
				if err != nil {
					r.logf("peer %3d  %v", i, err)
					return
				}
				defer nc.Close()
				began := time.Now()
				nc.SetDeadline(began.Add(5 * time.Second))
				sent, err := io.WriteString(nc, text)
				r.logf("peer %3d  sent %d bytes, error: %v", i, sent, err)
				n, err := io.Copy(io.Discard, nc)
				r.logf("peer %3d  %d bytes were answered until the end of the connection, %.1f s after its start: %v", i, n, time.Since(began).Seconds(), err)
			})
		}
	}
	wait()
	flood.Wait()
	most := float64(mostKB.Load()) / 1024
	r.logf("judge     the node held %.1f MB at most", most)
	switch {
	case killed.Load():
		return []string{fmt.Sprintf("crash: the node held %.1f MB, its limit is %d MB, and was killed for memory", most, memoryMB)}, nil
	case !proc.running():
		return []string{"crash: the node has ended"}, nil
	}
	return nil, nil
}
