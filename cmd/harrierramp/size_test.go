package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"harrierramp/internal/testkit"
)

// A node with 1,024 peers and 1,024 endpoints starts and delivers within the smallest limits that the platform sets: 32
// MB of memory and 256 file descriptors. Each endpoint has a destination of its own, and names are as long as the
// platform's.
func TestThousandPeersAndEndpointsFitMinimumLimits(t *testing.T) {
	t.Parallel()
	const size, maxMB = 1024, 32
	dir, program := t.TempDir(), buildProgram(t)
	called := make(chan string, size)
	partner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { called <- r.Header.Get("X-Trace-Id") }))
	defer partner.Close()
	var members, peers []string
	for i := range size {
		addr := partner.Listener.Addr().String()
		members = append(members, fmt.Sprintf(`{"id":"s-%08x","host_port":%q,"locality":"zone-a","flavor":"major-portal","cell":%d,"phase":"SERVING","size":100000.0,"up_since_ms":1764633600000}`, i, addr, i))
		peers = append(peers, `"127.0.0.1:9"`)
	}
	own, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peers[0] = strconv.Quote(own.LocalAddr().String())
	own.Close()
	list := func(revision int) string {
		return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, revision, strings.Join(members, ","))
	}
	d := newFakeDiscovery(t, list(42))
	path := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":0.05,"memory_mb":%d,"sockets":256,"disk_mb":3},
		"peer_listen":%s,"peers":[%s],"known":%s,
		"settings":{"fleetSize":%d,"myNumber":0,"failureDomains":["zone-a"],"flavors":["major-portal"],"weights":"nominal","discovery":"pushed",
			"domain":{"workers":64},"limits":{"maxOpen":2000,"mayTell":true,"dialTimeout":1500,"connIdle":15000},
			"categories":[{"name":"status","effect":"idempotent","aim":4000,"deadline":60000,"worth":1,"lateWorth":0.3}]}}`,
		d.Listener.Addr().String(), maxMB, peers[0], strings.Join(peers, ","), list(41), size)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	// Limits the file descriptors of the node as the platform does.
	cmd := exec.Command("/bin/sh", "-c", "ulimit -n 256; exec "+program)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_STATE="+t.TempDir())
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	defer func() {
		cmd.Process.Kill()
		<-ended
	}()
	lines := bufio.NewReader(log)
	line, err := lines.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(ended)
		io.Copy(io.Discard, lines)
		cmd.Wait()
	}()
	_, addr, _ := strings.Cut(strings.TrimSpace(line), " addr=")
	if got := testkit.Exchange(t, addr, testkit.EncodeRESP("PING")); got != "+PONG" {
		t.Fatalf("PING is answered with %q; the first log line is %q", got, line)
	}
	ready := time.Since(began)
	want := map[string]bool{}
	for i := range size {
		id := fmt.Sprintf("%016x", i)
		if got := testkit.Exchange(t, addr, testkit.EnqueueRequest(id, fmt.Sprintf("c=status,d=60000,dest=%d", i), "b")); got != "+OK" {
			t.Fatalf("the message for destination %d is answered with %q", i, got)
		}
		want[id] = true
	}
	for len(want) > 0 {
		delete(want, receive(t, "a call for each destination", called))
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(after)[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("ready after %v; %d messages delivered after %v; peak memory %.1f MB", ready, size, time.Since(began), float64(kb)/1024)
	if kb > maxMB<<10 {
		t.Errorf("peak memory is %.1f MB, want at most %d MB", float64(kb)/1024, maxMB)
	}
}
