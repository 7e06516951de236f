package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	copiesLimit    = 30                    // calls that the partner takes in a second; its 200 says nothing of it
	copiesListed   = 60                    // what the list says: the partner has lowered its limit
	copiesEach     = 5                     // every fifth good answer brings a second copy
	copiesLoad     = 30 * time.Second      // clients hand messages in for so long
	copiesRate     = 40                    // messages a second
	copiesWork     = 15 * time.Millisecond // from a call's last byte to its answer
	copiesDelivery = 8 * time.Second       // what messages still have when they are handed in
)

// caseCopies: some good answers bring a second copy, written straight after the answer while nothing else waits on the
// connection. The partner takes fewer calls than the list says, and answers 503 above that.
func caseCopies(w *World, trouble bool) {
	a := w.NewAgent()
	var mu sync.Mutex
	span, taken, good := time.Duration(0), 0, 0
	partner := w.NewEndpoint("s-partner", "bloc-a", "employer", 1, copiesListed, func(*Msg, int) Reply {
		mu.Lock()
		defer mu.Unlock()
		if now := w.now().Truncate(time.Second); now != span {
			span, taken = now, 0
		}
		if taken++; taken > copiesLimit {
			return Reply{After: time.Millisecond, Status: 503}
		}
		good++
		return Reply{After: copiesWork, Status: 200, Copy: trouble && good%copiesEach == 0}
	})
	a.Set(partner.Member)
	n := w.NewNode("n0", a, nil)
	n.Start()
	if !n.Ready(30 * time.Second) {
		w.fail(fmt.Errorf("the node is not ready"))
	}
	clients := w.NewClients(n.Listen)
	var handing sync.WaitGroup
	for end := w.now() + copiesLoad; w.now() < end; {
		time.Sleep(time.Second / copiesRate)
		m := w.NewMsg("posting-status", partner.Cell, copiesDelivery, []byte("a posting"), false)
		handing.Go(func() { clients.Hand(m) })
	}
	handing.Wait()
	time.Sleep(copiesDelivery + time.Second)
	clients.Close()
	n.mustRun()
	w.CheckEnds()
}
