package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	copiesListed   = 60                    // calls that the partner takes in a second, as the list says
	copiesRate     = 40                    // messages a second
	copiesEach     = 5                     // every fifth answer brings a second copy
	copiesLoad     = 15 * time.Second      // clients hand messages in for so long
	copiesWork     = 15 * time.Millisecond // from a call's last byte to its answer
	copiesDelivery = 4 * time.Second       // what messages still have when they are handed in
)

// caseCopies: some answers of a partner that is well bring a second copy, written straight after the answer while nothing
// else waits on the connection.
func caseCopies(w *World, trouble bool) {
	a := w.NewAgent()
	var answers atomic.Int64
	partner := w.NewEndpoint("s-partner", "bloc-a", "employer", 1, copiesListed, func(*Msg, int) Reply {
		return Reply{After: copiesWork, Status: 200, Copy: answers.Add(1)%copiesEach == 0 && trouble}
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
