package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	crowdPeers    = 150             // idle clients; the node has room for 85 connections of clients
	crowdClumps   = 8               // clumps of messages
	crowdClump    = 30              // messages in one: 1.5 s of what the partner takes
	crowdDelivery = 4 * time.Second // what they still have when they are handed in
)

// caseCrowd: idle clients fill the descriptors while clumps of messages come for a partner. The partner is silent
// throughout, so that its messages end by a notice when their time is up.
func caseCrowd(w *World, trouble bool) {
	a := w.NewAgent()
	silent := w.NewEndpoint("s-silent", "bloc-a", "employer", 1, 20, func(*Msg, int) Reply { return Reply{} })
	a.Set(silent.Member)
	n := w.NewNode("n0", a, func(c map[string]any) {
		c["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 3}
	})
	n.Start()
	if !n.Ready(30 * time.Second) {
		w.fail(fmt.Errorf("the node is not ready"))
	}
	var stop atomic.Bool
	var idle sync.WaitGroup
	defer idle.Wait()
	defer stop.Store(true)
	for range crowdPeers {
		if !trouble {
			break
		}
		idle.Go(func() {
			for !stop.Load() {
				nc, err := net.DialTimeout("tcp", n.Listen, time.Second)
				if err == nil {
					time.Sleep(3*time.Second + rand.N(2*time.Second))
					nc.Close()
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	clients := w.NewClients(n.Listen)
	for range crowdClumps {
		var clump sync.WaitGroup
		for range crowdClump {
			m := w.NewMsg("posting-status", silent.Cell, crowdDelivery, []byte("a posting"), false)
			clump.Go(func() { clients.Hand(m) })
		}
		clump.Wait()
		time.Sleep(3500 * time.Millisecond) // the node ends connections at rest meanwhile
	}
	time.Sleep(crowdDelivery + time.Second)
	clients.Close()
	n.mustRun()
	w.CheckEnds()
}
