package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type obj = map[string]any

// settings are those of a small deployment after ../given/kit/sites/tunis-lac.toml, with shorter deadlines, and a class
// of each effect.
func settings(workers int) obj {
	return obj{
		"callers": obj{"marksRetry": false},
		"categories": []obj{
			{"aim": 1000.0, "deadline": 5000.0, "effect": "deduplicated", "group": "zone", "lateWorth": 0.3, "name": "application", "stream": false, "window": 4000.0, "worth": 1.0},
			{"aim": 800.0, "deadline": 4000.0, "effect": "idempotent", "group": "all", "lateWorth": 0.3, "name": "status", "stream": false, "window": 5000.0, "worth": 3.0},
			{"aim": 1000.0, "deadline": 4000.0, "effect": "at_most_once", "group": "all", "lateWorth": 0.3, "name": "once", "stream": false, "window": 5000.0, "worth": 2.0},
			{"aim": 1000.0, "deadline": 4000.0, "effect": "idempotent", "group": "all", "lateWorth": 0.3, "name": "line", "stream": false, "window": 5000.0, "worth": 2.0, "fifoByKey": true},
			{"aim": 1000.0, "deadline": 4000.0, "effect": "deduplicated", "group": "all", "lateWorth": 0.3, "name": "short", "stream": false, "window": 2500.0, "worth": 2.0},
		},
		"contract":  obj{"coldFrom": 0.17, "fall": 3000.0, "fallMultiple": 2.5, "graceToAnswer": 20.0, "mustAskIn": 10000.0, "stopSendingWithin": 1000.0, "warmWithin": 3000.0, "orderSettle": 300.0},
		"customers": []obj{{"allowancePerS": 1000.0, "name": "acme", "share": 1.0}},
		"discovery": "pushed",
		"domain": obj{"decay": "line", "feeByZone": []float64{0, 0}, "kindBatch": []int{1, 1}, "notes": "full: milliseconds to wait", "refusedPrice": 0.03,
			"separateRoutes": []bool{true, false}, "workers": workers},
		"failureDomains": []string{"bloc-a", "bloc-b"}, "flavors": []string{"major-portal", "employer"}, "fleetSize": 1,
		"goal": obj{"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.3}, "kindOfService": "deliver",
		"limits": obj{"cancel": true, "connIdle": 15000.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 50000, "dialTimeout": 1500.0, "maxAttempts": 12, "maxOpen": 298, "maxRetryAfter": 3000.0,
			"mayDuplicate": false, "mayTell": true, "probes": true, "retryAfter": true, "streamsPerConn": 1},
		"myNumber": 0, "overShareWorth": 0.2, "prices": obj{}, "report": obj{"fields": []string{}, "how": "silent"}, "tick": 5.0, "tier": 0,
		"tiers": []string{"partner-systems"}, "weights": "nominal", "worthBy": "request", "zone": 0,
	}
}

var effects = map[string]effect{
	"application": {kind: "deduplicated", zone: true, window: 4 * time.Second}, "status": {kind: "idempotent"}, "line": {kind: "idempotent", ordered: true}, "short": {kind: "deduplicated", window: 2500 * time.Millisecond}, "once": {kind: "at_most_once"},
}

func (w *world) writeConfig(path, listen, disc string) {
	w.disc.mu.Lock()
	known := w.disc.whole()
	w.disc.mu.Unlock()
	raw, err := json.MarshalIndent(obj{
		"name": "n1", "listen": listen, "discovery": disc, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits": w.limits, "log": obj{"level": envText("LEVEL", "info")},
		"known": known, "settings": settings(w.workers),
	}, "", " ")
	check(err)
	check(os.WriteFile(path+".new", raw, 0o600))
	check(os.Rename(path+".new", path))
}

func envText(name, def string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return def
}

func envFloat(name string, def float64) float64 {
	if v, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return v
	}
	return def
}

func envInt(name string, def int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return def
}

func limits() obj {
	return obj{"cores": envFloat("CORES", 1), "memory_mb": envInt("MEM", 64), "sockets": envInt("SOCKETS", 256), "disk_mb": 3}
}

// memory returns what a process has in memory at present and had at its most, in MiB.
func memory(pid int) (now, most float64) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(raw), "\n") {
		f := strings.Fields(line)
		if len(f) == 3 && f[0] == "VmHWM:" {
			most, _ = strconv.ParseFloat(f[1], 64)
		}
		if len(f) == 3 && f[0] == "VmRSS:" {
			now, _ = strconv.ParseFloat(f[1], 64)
		}
	}
	return now / 1024, most / 1024
}

// processor returns the processor time of a process in seconds.
func processor(pid int) float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	f := strings.Fields(string(raw))
	if len(f) < 15 {
		return 0
	}
	user, _ := strconv.ParseFloat(f[13], 64)
	system, _ := strconv.ParseFloat(f[14], 64)
	return (user + system) / 100
}

// anonymous returns a process's own memory in MiB.
func anonymous(pid int) float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(raw), "\n") {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "RssAnon:" {
			v, _ := strconv.ParseFloat(f[1], 64)
			return v / 1024
		}
	}
	return 0
}

// pss returns the proportional memory of processes in MiB, each shared page counted once over them as far as they share it.
func pss(pids ...int) (total, anon float64) {
	for _, pid := range pids {
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/smaps_rollup", pid))
		for _, line := range strings.Split(string(raw), "\n") {
			f := strings.Fields(line)
			if len(f) == 3 && f[0] == "Pss:" {
				v, _ := strconv.ParseFloat(f[1], 64)
				total += v / 1024
			}
			if len(f) == 3 && f[0] == "Pss_Anon:" {
				v, _ := strconv.ParseFloat(f[1], 64)
				anon += v / 1024
			}
		}
	}
	return total, anon
}

func fds(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

func put(console, path string) int {
	c := http.Client{Timeout: time.Second}
	req, _ := http.NewRequest("PUT", "http://"+console+path, nil)
	resp, err := c.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func get(console, path string) int {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + console + path)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func stress(w *world, seed uint64, kinds string, seconds int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	w.disc = w.newDiscovery()
	fat := ""
	if strings.Contains(kinds, "fat") {
		fat = "HTTP/1.1 200 OK\r\n"
		for i := 0; len(fat) < 15000; i++ {
			fat += fmt.Sprintf("a%d: b\r\n", i)
		}
		fat += "Content-Length: 60000\r\n\r\n" + strings.Repeat("z", 59000)
	}
	endless := "HTTP/1.1 500 X\r\n"
	for i := 0; len(endless) < 16000; i++ {
		endless += strconv.FormatInt(int64(i), 36) + ":\r\n"
	}
	mixed := func(bad float64) func(string, int) reply {
		return func(id string, n int) reply {
			x := rand.Float64()
			lat := time.Duration(20+rand.IntN(150)) * time.Millisecond
			switch {
			case x < bad*0.2:
				return reply{status: 500, after: lat}
			case x < bad*0.4:
				return reply{status: 503, after: 5 * time.Millisecond}
			case x < bad*0.6:
				return reply{status: 429, after: 5 * time.Millisecond, retry: time.Duration(200+rand.IntN(800)) * time.Millisecond}
			case x < bad*0.75:
				return reply{reset: true, after: lat}
			case x < bad*0.9:
				return reply{}
			case x < bad:
				return reply{raw: "HTTP/1.1 2", after: lat}
			}
			if strings.Contains(kinds, "endless") && x > 0.05 {
				return reply{raw: endless, after: time.Millisecond, stay: true}
			}
			if fat != "" {
				return reply{status: 200, after: lat, raw: fat}
			}
			return reply{status: 200, after: lat}
		}
	}
	var eps []*endpoint
	for d := 0; d < 4; d++ {
		for i, z := range []string{"bloc-a", "bloc-b"} {
			eps = append(eps, w.addEndpoint(fmt.Sprintf("s-%d%d", d, i), d, z, mixed(0.1*float64(d))))
		}
	}
	lnTCP, err := net.Listen("tcp", freeAddr())
	check(err)
	listen := lnTCP.Addr().String()
	passed, err := lnTCP.(*net.TCPListener).File()
	check(err)
	lnTCP.Close()
	usePassed := strings.Contains(kinds, "upgrade")
	if !usePassed {
		passed.Close()
		passed = nil
	}
	dl := w.disc.listen()
	config := filepath.Join(w.dir, "config.json")
	w.writeConfig(config, listen, dl.addr)
	state := filepath.Join(w.dir, "state")
	check(os.Mkdir(state, 0o700))
	console := freeAddr()
	p := w.startNode("node-0", config, state, console, passed)
	if !w.awaitPong(listen, 5*time.Second) {
		check(fmt.Errorf("the node is not ready"))
	}
	var excused []span
	var mu sync.Mutex // of p and console
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var seq atomic.Int64
	classes := []string{"application", "status", "once", "line", "short"}
	for i := range envInt("CLIENTS", 12) {
		wg.Go(func() {
			c := &client{w: w, addr: listen}
			r := rand.New(rand.NewPCG(seed, uint64(100+i)))
			for {
				select {
				case <-stop:
					c.closeIdle()
					return
				case <-time.After(time.Duration(r.IntN(160)) * time.Millisecond):
				}
				id := fmt.Sprintf("m%06d", seq.Add(1))
				cl := classes[r.IntN(len(classes))]
				d := 4000
				if r.IntN(4) == 0 {
					d = 300 + r.IntN(1500)
				}
				if strings.Contains(kinds, "big") && r.IntN(3) == 0 {
					c.sendBody(id, cl, r.IntN(4), time.Duration(d)*time.Millisecond, "big of "+id+strings.Repeat("x", r.IntN(60000)))
				} else {
					c.send(id, cl, r.IntN(4), time.Duration(d)*time.Millisecond)
				}
			}
		})
	}
	if strings.Contains(kinds, "share") { // a quarter of a core
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				mu.Lock()
				q := p
				mu.Unlock()
				q.cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(75 * time.Millisecond)
				q.cmd.Process.Signal(syscall.SIGCONT)
				time.Sleep(25 * time.Millisecond)
			}
		})
	}
	if strings.Contains(kinds, "hold") {
		part := "*8\r\n"
		for range 7 {
			part += "$1024\r\n" + strings.Repeat("x", 1024) + "\r\n"
		}
		whole := "*5\r\n$7\r\nENQUEUE\r\n$16\r\n0000000000000000\r\n$8\r\nstranger\r\n$20\r\nc=status,d=100,dest=\r\n$65536\r\n" + strings.Repeat("y", 65000)
		for i := range envInt("HOLD", 300) {
			part := part
			if i < envInt("BODIES", 0) {
				part = whole
			}
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(rand.IntN(300)) * time.Millisecond):
					}
					nc, err := net.DialTimeout("tcp", listen, time.Second)
					if err != nil {
						continue
					}
					io.WriteString(nc, part)
					nc.SetReadDeadline(time.Now().Add(4 * time.Second))
					io.Copy(io.Discard, nc)
					nc.Close()
				}
			})
		}
	}
	if strings.Contains(kinds, "strangers") {
		for range envInt("STRANGERS", 60) {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					nc, err := net.DialTimeout("tcp", listen, time.Second)
					if err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					switch rand.IntN(4) {
					case 0:
						io.WriteString(nc, "*5\r\n$7\r\nENQ")
					case 1:
						io.WriteString(nc, "GET / HTTP/1.1\r\n\r\n")
					case 2:
						io.WriteString(nc, "*1\r\n$4\r\nPING\r\n")
					}
					nc.SetReadDeadline(time.Now().Add(time.Duration(rand.IntN(3000)) * time.Millisecond))
					io.Copy(io.Discard, nc)
					nc.Close()
				}
			})
		}
	}
	if strings.Contains(kinds, "pipeline") {
		for i := range 3 {
			wg.Go(func() {
				c := &client{w: w, addr: listen}
				r := rand.New(rand.NewPCG(seed, uint64(500+i)))
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(r.IntN(300)) * time.Millisecond):
					}
					var ids []string
					for range 5 + r.IntN(40) {
						ids = append(ids, fmt.Sprintf("p%06d", seq.Add(1)))
					}
					c.pipeline(ids, classes, r.IntN(4))
				}
			})
		}
	}
	if strings.Contains(kinds, "silent") {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					w.disc.setSilent(false)
					return
				case <-time.After(time.Duration(1000+rand.IntN(5000)) * time.Millisecond):
				}
				w.disc.setSilent(true)
				time.Sleep(time.Duration(500+rand.IntN(7000)) * time.Millisecond)
				w.disc.setSilent(false)
			}
		})
	}
	if strings.Contains(kinds, "pause") {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(50+rand.IntN(400)) * time.Millisecond):
				}
				mu.Lock()
				q := p
				mu.Unlock()
				q.cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(rand.IntN(150)) * time.Millisecond)
				q.cmd.Process.Signal(syscall.SIGCONT)
			}
		})
	}
	if strings.Contains(kinds, "ban") {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(300+rand.IntN(1500)) * time.Millisecond):
				}
				e := eps[rand.IntN(len(eps))]
				mu.Lock()
				at := console
				mu.Unlock()
				asked := time.Now()
				code := put(at, "/ops/endpoints/down?id="+e.m.ID)
				w.log("operator: %s down: %d", e.m.ID, code)
				if code/100 != 2 {
					continue
				}
				from := time.Now().Add(1050 * time.Millisecond)
				if limit := asked.Add(2050 * time.Millisecond); limit.Before(from) {
					from = limit
				}
				time.Sleep(time.Duration(2000+rand.IntN(6000)) * time.Millisecond)
				till := time.Now()
				ok := false
				for range 200 {
					mu.Lock()
					at := console
					mu.Unlock()
					till = time.Now()
					if c := put(at, "/ops/endpoints/up?id="+e.m.ID); c/100 == 2 {
						ok = true
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				w.log("operator: %s up: %v", e.m.ID, ok)
				w.mu.Lock()
				var late []string
				for _, msg := range w.msgs {
					for _, c := range msg.calls {
						if c.ep == e && c.firstAt.After(from) && c.firstAt.Before(till) {
							late = append(late, msg.id)
						}
					}
				}
				w.mu.Unlock()
				if len(late) > 0 {
					w.fail("ban: %s got %v", e.m.ID, late)
				}
			}
		})
	}
	if strings.Contains(kinds, "drain") {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(500+rand.IntN(1500)) * time.Millisecond):
				}
				e := eps[rand.IntN(len(eps))]
				m := e.m
				m.Phase = "DRAINING"
				w.disc.awaitVoice()
				e.mu.Lock()
				e.toldAt = time.Now()
				e.mu.Unlock()
				w.disc.set(m)
				time.Sleep(3 * time.Second)
				// what was sent after the grace
				w.mu.Lock()
				from := e.toldAt.Add(1050 * time.Millisecond)
				var late []string
				for _, msg := range w.msgs {
					for _, c := range msg.calls {
						if c.ep == e && c.firstAt.After(from) {
							late = append(late, msg.id)
						}
					}
				}
				w.mu.Unlock()
				if len(late) > 0 {
					w.fail("drain: %s got %v", e.m.ID, late)
				}
				m.Phase = "SERVING"
				w.disc.set(m)
			}
		})
	}
	var mostAnon atomic.Value
	mostAnon.Store(0.0)
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			mu.Lock()
			pid := p.cmd.Process.Pid
			mu.Unlock()
			if a := anonymous(pid); a > mostAnon.Load().(float64) {
				mostAnon.Store(a)
			}
		}
	}()
	began := time.Now()
	restarts := 0
	for time.Since(began) < time.Duration(seconds)*time.Second {
		time.Sleep(time.Duration(1500+rng.IntN(2500)) * time.Millisecond)
		if p.ended() {
			w.fail("crash: the node ended by itself: %v", p.err)
			break
		}
		var acts []string
		for _, a := range []string{"kill", "term", "upgrade", "hup", "hang", "crash"} {
			if strings.Contains(kinds, a) {
				acts = append(acts, a)
			}
		}
		if len(acts) == 0 {
			continue
		}
		switch acts[rng.IntN(len(acts))] {
		case "kill", "term":
			from := time.Now()
			if strings.Contains(kinds, "term") && rng.IntN(2) == 0 {
				p.signal(syscall.SIGTERM)
				select {
				case <-p.done:
				case <-time.After(3700 * time.Millisecond):
				}
				time.Sleep(time.Until(from.Add(3700 * time.Millisecond)))
			}
			p.signal(syscall.SIGKILL)
			<-p.done
			time.Sleep(600 * time.Millisecond)
			restarts++
			w.writeConfig(config, listen, dl.addr)
			q := w.startNode(fmt.Sprintf("node-%d", restarts), config, state, console, passed)
			mu.Lock()
			p = q
			mu.Unlock()
			if !w.awaitPong(listen, 10*time.Second) {
				w.fail("not ready after a restart")
			}
			excused = append(excused, span{from, time.Now().Add(1500 * time.Millisecond)})
			w.log("platform: ready again")
		case "upgrade":
			restarts++
			console2 := freeAddr()
			w.writeConfig(config, listen, dl.addr)
			q := w.startNode(fmt.Sprintf("node-%d", restarts), config, state, console2, passed)
			yes := false
			for end := time.Now().Add(6 * time.Second); time.Now().Before(end) && !yes; time.Sleep(50 * time.Millisecond) {
				yes = get(console2, "/ops/readiness")/100 == 2
			}
			if !yes {
				w.fail("upgrade: no yes within 6 s")
			}
			w.log("platform: the new process says yes")
			t1, a1 := pss(p.cmd.Process.Pid)
			t2, a2 := pss(q.cmd.Process.Pid)
			fmt.Printf("upgrade: pss %.1f + %.1f, anon %.1f + %.1f, descriptors %d + %d\n", t1, t2, a1, a2, fds(p.cmd.Process.Pid), fds(q.cmd.Process.Pid))
			p.signal(syscall.SIGTERM)
			old := p
			mu.Lock()
			p, console = q, console2
			mu.Unlock()
			term := time.Now()
			select {
			case <-old.done:
			case <-time.After(3700 * time.Millisecond):
				old.signal(syscall.SIGKILL)
				<-old.done
			}
			w.log("platform: the old process is gone after %v", time.Since(term))
		case "hup":
			old := dl
			dl = w.disc.listen()
			w.writeConfig(config, listen, dl.addr)
			p.signal(syscall.SIGHUP)
			old.retire()
		case "hang":
			e := eps[rng.IntN(len(eps))]
			e.setBehave(func(string, int) reply { return reply{} })
			w.log("endpoint %s hangs", e.m.ID)
			d := rng.IntN(3) + 2
			time.AfterFunc(time.Duration(d)*time.Second, func() { e.setBehave(mixed(0.1)); w.log("endpoint %s well", e.m.ID) })
		case "crash":
			e := eps[rng.IntN(len(eps))]
			e.crash()
			time.Sleep(1500 * time.Millisecond)
			e.revive()
		}
	}
	close(stop)
	wg.Wait()
	time.Sleep(5 * time.Second)
	w.judge(effects, excused)
	w.judgeWaits(excused)
	w.judgeOrder(effects, 300*time.Millisecond, excused)
	fmt.Printf("most anonymous memory %.1f MiB\n", mostAnon.Load().(float64))
	now, most := memory(p.cmd.Process.Pid)
	fmt.Printf("seconds of the processor %.2f\n", processor(p.cmd.Process.Pid))
	fmt.Printf("memory %.1f MiB, at its most %.1f\n", now, most)
	p.signal(syscall.SIGKILL)
	<-p.done
}
