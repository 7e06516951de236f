package main

import (
	"fmt"
	"os"
	"strconv"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: world3 CASE RECORD ...")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	worlds := []*world{}
	add := func(n int) {
		for i := range n {
			path := os.Args[2]
			if i > 0 {
				path += fmt.Sprintf(".%d", i)
			}
			worlds = append(worlds, newWorld(path))
		}
	}
	switch os.Args[1] {
	case "crowd":
		add(10)
		crowd(worlds, trouble)
	case "stress":
		add(1)
		seed, _ := strconv.ParseUint(os.Args[3], 10, 64)
		seconds, _ := strconv.Atoi(os.Args[5])
		stress(worlds[0], seed, os.Args[4], seconds)
	}
	broken := 0
	for i, w := range worlds {
		w.close()
		for _, b := range w.broken {
			if broken++; broken <= 10 {
				fmt.Println("BROKEN", b)
			}
		}
		if i > 0 { // one record for all nodes
			joinRecord(os.Args[2], i)
		}
	}
	fmt.Println("broken:", broken)
	if broken > 0 {
		os.Exit(1)
	}
}

// joinRecord appends the record of the i-th node to the first one.
func joinRecord(path string, i int) {
	part := fmt.Sprintf("%s.%d", path, i)
	raw, err := os.ReadFile(part)
	check(err)
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	check(err)
	fmt.Fprintf(f, "\n---- node %d\n", i+1)
	f.Write(raw)
	check(f.Close())
	check(os.Remove(part))
}
