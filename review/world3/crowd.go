package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// onOneCore runs f on a thread that may use one core only. Processes that f starts inherit that.
func onOneCore(f func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var old, one [16]uint64
	size := unsafe.Sizeof(old)
	if _, _, e := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, size, uintptr(unsafe.Pointer(&old))); e != 0 {
		check(e)
	}
	for i := range 1024 {
		if old[i/64]&(1<<(i%64)) != 0 {
			one[i/64] = 1 << (i % 64)
			break
		}
	}
	if _, _, e := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&one))); e != 0 {
		check(e)
	}
	f()
	syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&old)))
}

// bad clients stop in the middle of a request and stay until the node ends them. Then others come.
func (w *world) badClients(listen string, count int, stop <-chan struct{}, wg *sync.WaitGroup) {
	words := "*8\r\n"
	for range 7 {
		words += "$1024\r\n" + strings.Repeat("x", 1024) + "\r\n"
	}
	body := "*5\r\n$7\r\nENQUEUE\r\n$16\r\n0000000000000000\r\n$8\r\nstranger\r\n$20\r\nc=status,d=100,dest=\r\n$65536\r\n" + strings.Repeat("y", 65000)
	for i := range count {
		text := words
		if i%9 == 0 {
			text = body
		}
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.IntN(500)) * time.Millisecond):
				}
				nc, err := net.DialTimeout("tcp", listen, time.Second)
				if err != nil {
					continue
				}
				io.WriteString(nc, text)
				nc.SetReadDeadline(time.Now().Add(4 * time.Second))
				io.Copy(io.Discard, nc)
				nc.Close()
			}
		})
	}
}

// limited is a sound partner that takes so many calls in each span of a second and answers 503 above that.
func limited(limit int, took time.Duration) func(string, int) reply {
	var mu sync.Mutex
	var span int64
	n := 0
	return func(string, int) reply {
		mu.Lock()
		defer mu.Unlock()
		if s := time.Now().Unix(); s != span {
			span, n = s, 0
		}
		if n++; n > limit {
			return reply{status: 503, after: time.Millisecond}
		}
		return reply{status: 200, after: took}
	}
}

// crowd runs nodes that share a core, each with its clients, and with bad clients that fill most of their places.
func crowd(worlds []*world, trouble bool) {
	const seconds = 40
	share := 1 / float64(len(worlds))
	type running struct {
		p      *nodeProc
		listen string
	}
	nodes := make([]running, len(worlds))
	for i, w := range worlds {
		w.disc = w.newDiscovery()
		for d := range 4 {
			w.addEndpoint(fmt.Sprintf("s-%d", d), d, "bloc-a", limited(4, 200*time.Millisecond))
		}
		for id, e := range w.eps {
			e.m.Size = 4
			w.disc.members[id] = e.m
		}
		nodes[i].listen = freeAddr()
		config, state := filepath.Join(w.dir, "config.json"), filepath.Join(w.dir, "state")
		check(os.Mkdir(state, 0o700))
		w.limits = obj{"cores": share, "memory_mb": 32, "sockets": 1024, "disk_mb": 3}
		w.writeConfig(config, nodes[i].listen, w.disc.listen().addr)
		onOneCore(func() { nodes[i].p = w.startNode("node", config, state, freeAddr(), nil) })
	}
	for i, w := range worlds {
		if !w.awaitPong(nodes[i].listen, 10*time.Second) {
			check(fmt.Errorf("a node is not ready"))
		}
	}
	stop, stopBad := make(chan struct{}), make(chan struct{})
	var clients, bad sync.WaitGroup
	for i, w := range worlds {
		if trouble {
			w.badClients(nodes[i].listen, 330, stopBad, &bad)
		}
		for n := range 3 {
			clients.Go(func() {
				c := &client{w: w, addr: nodes[i].listen}
				for seq := 0; ; seq++ {
					select {
					case <-stop:
						c.closeIdle()
						return
					case <-time.After(time.Duration(rand.IntN(300)) * time.Millisecond):
					}
					d := time.Duration(500+rand.IntN(1500)) * time.Millisecond
					id := fmt.Sprintf("n%d-%d-%04d", i, n, seq)
					c.sendBody(id, []string{"application", "status", "once"}[seq%3], rand.IntN(4), d, "big of "+id+strings.Repeat("x", rand.IntN(20000)))
				}
			})
		}
	}
	time.Sleep(seconds * time.Second)
	close(stop)
	clients.Wait()
	time.Sleep(4 * time.Second)
	close(stopBad)
	for i, w := range worlds {
		if nodes[i].p.ended() {
			w.fail("crash: the node ended by itself")
		}
		w.judge(effects, nil)
		now, most := memory(nodes[i].p.cmd.Process.Pid)
		w.log("memory %.1f MiB, at its most %.1f; seconds of the processor %.1f", now, most, processor(nodes[i].p.cmd.Process.Pid))
		fmt.Printf("memory %.1f MiB, at its most %.1f; seconds of the processor %.1f\n", now, most, processor(nodes[i].p.cmd.Process.Pid))
		nodes[i].p.signal(syscall.SIGKILL)
		<-nodes[i].p.done
	}
	bad.Wait()
}
