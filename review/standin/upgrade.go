package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

func init() { cases["upgrade"] = abortedUpgrade }

// abortedUpgrade: while clients hand in messages, a second process takes over from the first. With the disruption the
// platform takes the upgrade back: it ends the second process. Without it the platform ends the first one. The process
// that remains must go on to make calls.
func abortedUpgrade(r *Rig, trouble bool) (broken []string, err error) {
	const (
		destinations = 8
		slots        = 9   // 2 to 2.4 times what 16 messages a second of 250 ms keep busy
		maxOpen      = 160 // 5.7 to 12 s of that load
		answerTime   = 250 * time.Millisecond
		traffic      = 24 * time.Second
		clump        = 48 // for one partner, of which the list says 30 calls a second: what it takes in 1.6 s
	)
	serve := func(c *Call) bool {
		time.Sleep(answerTime)
		return c.reply(200)
	}
	d, err := newDeployment(r, destinations, serve, map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 384, "disk_mb": 3}, slots, maxOpen)
	if err != nil {
		return nil, err
	}
	if err := d.node.holdSocket(); err != nil {
		return nil, err
	}
	first, err := d.node.start()
	if err != nil {
		return nil, err
	}
	defer first.kill()
	if !d.node.awaitReady(30 * time.Second) {
		return nil, fmt.Errorf("the node was not ready within 30 s")
	}
	end := time.Now().Add(traffic)
	wait := d.clients(4, 250*time.Millisecond, func(i int) int { return 1 + i%destinations }, end)
	time.Sleep(3 * time.Second)
	second, err := d.node.start()
	if err != nil {
		return nil, err
	}
	defer second.kill()
	d.clump(clump, func(int) int { return 1 })
	time.Sleep(2 * time.Second)
	if !second.running() {
		return nil, fmt.Errorf("the second process has ended by itself")
	}
	if trouble {
		second.end()
	} else {
		first.end()
	}
	if !d.node.awaitReady(10 * time.Second) {
		return []string{"the node does not answer PING with +PONG within 10 s"}, nil
	}
	from := time.Now().Add(1500 * time.Millisecond)
	wait()
	time.Sleep(6 * time.Second)
	return judgeRejectsAll(r, d, from, end), nil
}

// judgeRejectsAll returns the spans of 4 s or more without a call in which the node rejected 15 messages or more.
func judgeRejectsAll(r *Rig, d *deployment, from, until time.Time) (broken []string) {
	const (
		longest = 4 * time.Second
		most    = 15
	)
	times := []time.Time{from}
	for _, c := range d.calls.snapshot() {
		if c.At.After(from) && c.At.Before(until) {
			times = append(times, c.At)
		}
	}
	times = append(times, until)
	slices.SortFunc(times, time.Time.Compare)
	r.logf("judge     %d calls from %.1f s to %.1f s", len(times)-2, r.at(from), r.at(until))
	for i := 1; i < len(times); i++ {
		a, b := times[i-1], times[i]
		if b.Sub(a) < longest {
			continue
		}
		rejected := 0
		for _, m := range d.messages {
			in := func(t time.Time) bool { return t.After(a) && t.Before(b) }
			if strings.HasPrefix(m.Answer, "-") && in(m.Heard) {
				rejected++
			}
			for _, n := range d.platform.noticesOf(m.ID) {
				if in(n.At) {
					rejected++
					break
				}
			}
		}
		if rejected >= most {
			broken = append(broken, fmt.Sprintf("rejects all: for %.1f s the node made no call and rejected %d messages", b.Sub(a).Seconds(), rejected))
		}
	}
	return broken
}
