package main

import (
	"fmt"
	"sync"
	"time"
)

// deployment is one node with its endpoints, its platform and its clients.
type deployment struct {
	rig      *Rig
	calls    *Calls
	platform *Platform
	node     *Node

	mu       sync.Mutex
	messages []*Message
}

// newDeployment sets up two endpoints, one in each zone, for each destination.
func newDeployment(r *Rig, destinations int, serve func(*Call) bool, limits map[string]any, slots, maxOpen int) (*deployment, error) {
	d := &deployment{rig: r, calls: &Calls{}}
	var members []Member
	for dest := 1; dest <= destinations; dest++ {
		for i, zone := range []string{"bloc-a", "bloc-b"} {
			e, err := newEndpoint(r, d.calls, fmt.Sprintf("s-%02d%d", dest, i), zone, "employer", dest, 30, serve)
			if err != nil {
				return nil, err
			}
			members = append(members, e.Member)
		}
	}
	var err error
	if d.platform, err = newPlatform(r, members); err != nil {
		return nil, err
	}
	if d.node, err = newNode(r, "n0"); err != nil {
		return nil, err
	}
	return d, d.node.configure(map[string]any{
		"discovery": d.platform.addr(), "known": d.platform.list, "limits": limits, "settings": settings(slots, maxOpen),
	})
}

// clients hand in messages until the time end: each one a message every pause, to destinations in turn.
func (d *deployment) clients(count int, pause time.Duration, dest func(i int) int, end time.Time) (wait func()) {
	var wg sync.WaitGroup
	for c := range count {
		wg.Go(func() {
			client := &Client{rig: d.rig, listen: d.node.listen}
			defer client.drop()
			time.Sleep(time.Duration(c) * pause / time.Duration(count))
			for i := c; time.Now().Before(end); i += count {
				m := &Message{ID: fmt.Sprintf("%04x%012x", c, i), Class: "posting-status", Tenant: "karama", Dest: dest(i), TTL: 4 * time.Second, Body: fmt.Sprintf("posting %d", i)}
				if i%2 == 0 {
					m.Class, m.Key, m.TTL = "application", fmt.Sprintf("%016x", i), 5*time.Second
				}
				client.handIn(m)
				d.mu.Lock()
				d.messages = append(d.messages, m)
				d.mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	return wg.Wait
}

// clump hands in messages at the same moment, each on a connection of its own.
func (d *deployment) clump(count int, dest func(i int) int) {
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			client := &Client{rig: d.rig, listen: d.node.listen}
			defer client.drop()
			m := &Message{ID: fmt.Sprintf("c%015x", i), Class: "posting-status", Tenant: "karama", Dest: dest(i), TTL: 4 * time.Second, Body: "clump"}
			client.handIn(m)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.messages = append(d.messages, m)
		})
	}
	wg.Wait()
}
