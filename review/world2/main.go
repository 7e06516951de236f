package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// runLimit is the longest that a case runs.
const runLimit = 110 * time.Second

// main runs one case: review-world2 CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment the disruption is left out.
func main() {
	cases := map[string]func(w *World, trouble bool){"upgrade": caseUpgrade, "copies": caseCopies}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-world2 CASE RECORD")
		os.Exit(2)
	}
	w := NewWorld(os.Args[2])
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(runLimit):
		}
		w.fail(fmt.Errorf("stopped before its end"))
	}()
	cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	w.Close()
	fmt.Println(w.summary)
	for i, f := range w.faults {
		if i == 10 {
			fmt.Printf("... and %d more\n", len(w.faults)-i)
			break
		}
		fmt.Println("BROKEN:", f)
	}
	if len(w.faults) > 0 {
		os.Exit(1)
	}
	fmt.Println("held")
}
