package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// waitTimeout is how long a test waits for something before it fails.
const waitTimeout = 60 * time.Second

// childProcess is a process that a test can kill and start again with the same arguments and environment.
type childProcess struct {
	t    *testing.T
	path string
	args []string
	env  []string
	cmd  *exec.Cmd
	log  sync.WaitGroup
}

func (c *childProcess) start() {
	c.t.Helper()
	c.cmd = exec.Command(c.path, c.args...)
	c.cmd.Env = append(os.Environ(), c.env...)
	log, err := c.cmd.StderrPipe()
	if err != nil {
		c.t.Fatal(err)
	}
	if err := c.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.log.Go(func() { io.Copy(c.t.Output(), log) })
}

func (c *childProcess) kill() {
	if c.cmd == nil {
		return
	}
	c.cmd.Process.Kill()
	c.log.Wait()
	c.cmd.Wait() // its error reports the kill
	c.cmd = nil
}

// freeAddrs returns addresses for processes that are restarted on them. Their ports are below the range of ephemeral
// ports, so that no outgoing connection takes one while its process is down.
func freeAddrs(t *testing.T, count int) []string {
	t.Helper()
	var out []string
	for tries := 0; len(out) < count; tries++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12_000+rand.N(20_000)))
		if err != nil {
			if tries > 1000 {
				t.Fatal(err)
			}
			continue
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("did not happen within waitTimeout: %s", what)
		}
	}
}

// httpCall makes an HTTP request on a new connection and returns the status and body of the response.
func httpCall(method, url, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// trafficLog records what the test's clients and endpoints observed.
type trafficLog struct {
	mu                   sync.Mutex
	accepted             map[string]bool
	delivered            map[string]int
	callsAfterWithdrawal []string // IDs of endpoints that were called after they had been withdrawn for longer than the grace period
}

// fakeEndpoint is a stand-in endpoint that answers calls, and keeps itself registered with the primary list server.
type fakeEndpoint struct {
	t       *testing.T
	id      string
	servers []string
	ln      net.Listener
	stop    context.CancelFunc
	done    sync.WaitGroup

	mu            sync.Mutex
	registrations int // number of successful registrations
	withdrawnAt   time.Time
}

const (
	stopSendingWithin = 250 * time.Millisecond // as in the settings of nodeConfig
	propagationSlack  = 2 * time.Second        // time for a node to learn of a withdrawal; the protocol allows at most 6 s
)

func newFakeEndpoint(t *testing.T, id string, servers []string, l *trafficLog) *fakeEndpoint {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &fakeEndpoint{t: t, id: id, servers: servers, ln: ln}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		e.mu.Lock()
		late := !e.withdrawnAt.IsZero() && time.Since(e.withdrawnAt) > stopSendingWithin+propagationSlack
		e.mu.Unlock()
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.delivered[r.Header.Get("X-Trace-Id")]++; late {
			l.callsAfterWithdrawal = append(l.callsAfterWithdrawal, e.id)
		}
	})}
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	e.done.Go(func() { srv.Serve(ln) })
	e.done.Go(func() { e.maintainLease(ctx) })
	t.Cleanup(func() {
		cancel()
		srv.Close()
		e.done.Wait()
	})
	return e
}

// maintainLease renews the endpoint's lease as an instance should: it registers if the server does not know it, and
// tries the next server if one is down or not the primary.
func (e *fakeEndpoint) maintainLease(ctx context.Context) {
	at := 0
	for ctx.Err() == nil {
		url := fmt.Sprintf("http://%s/registry/instances/%s", e.servers[at], e.id)
		code, _, err := httpCall("POST", url+"/renew", fmt.Sprintf(`{"owner":"%s-1"}`, e.id))
		if err == nil && code == http.StatusNotFound {
			code, _, err = httpCall("PUT", url, fmt.Sprintf(
				`{"host_port":%q,"locality":"z","flavor":"m","cell":7,"size":1000,"owner":"%s-1","lease_ms":3000}`, e.ln.Addr(), e.id))
			if err == nil && code == http.StatusOK {
				e.mu.Lock()
				e.registrations++
				e.mu.Unlock()
			}
		}
		if err != nil || code != http.StatusOK {
			at = (at + 1) % len(e.servers)
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (e *fakeEndpoint) registered() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registrations > 0
}

// withdraw removes the endpoint from the list. The endpoint keeps answering calls, to detect those that should not be
// made any more.
func (e *fakeEndpoint) withdraw() {
	e.t.Helper()
	e.stop()
	eventually(e.t, "withdraw "+e.id, func() bool {
		for _, s := range e.servers {
			code, _, err := httpCall("DELETE", fmt.Sprintf("http://%s/registry/instances/%s", s, e.id), fmt.Sprintf(`{"owner":"%s-1"}`, e.id))
			if err == nil && (code == http.StatusNoContent || code == http.StatusNotFound) {
				return true
			}
		}
		return false
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.withdrawnAt = time.Now()
}

// sendMessages sends messages to a node one after the other until ctx ends, and records those that the node accepts.
func sendMessages(ctx context.Context, node, addr string, l *trafficLog) {
	var nc net.Conn
	var answers *bufio.Reader
	for n := 0; ctx.Err() == nil; n++ {
		if nc == nil {
			var err error
			if nc, err = net.DialTimeout("tcp", addr, time.Second); err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			answers = bufio.NewReader(nc)
		}
		id := fmt.Sprintf("%s-%08d", node, n)
		var b bytes.Buffer
		words := []string{"ENQUEUE", "0", id, "c=status,d=20000,dest=7", "body"}
		fmt.Fprintf(&b, "*%d\r\n", len(words))
		for _, w := range words {
			fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
		}
		nc.SetDeadline(time.Now().Add(2 * time.Second))
		_, err := nc.Write(b.Bytes())
		var line string
		if err == nil {
			line, err = answers.ReadString('\n')
		}
		if err != nil { // the node is down, and may or may not have accepted the message
			nc.Close()
			nc = nil
			continue
		}
		if strings.HasPrefix(line, "+") {
			l.mu.Lock()
			l.accepted[id] = true
			l.mu.Unlock()
		}
		time.Sleep(10 * time.Millisecond)
	}
	if nc != nil {
		nc.Close()
	}
}

func nodeConfig(t *testing.T, listen string, servers []string) string {
	t.Helper()
	addrs, err := json.Marshal(servers)
	if err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf(`{"name":"n","listen":%q,"seed":"1","registry":{"addresses":%s,"keep":true},
		"limits":{"cores":1,"memory_mb":128,"sockets":256,"disk_mb":3},
		"known":{"revision":0,"complete":true,"members":[]},
		"settings":{"fleetSize":3,"failureDomains":["z"],"flavors":["m"],"categories":[
			{"name":"status","effect":"idempotent","group":"all","aim":4000,"deadline":20000,"worth":1,"lateWorth":0.3}],
			"contract":{"coldFrom":0.5,"fall":2000,"fallMultiple":3,"graceToAnswer":20,"stopSendingWithin":%d,"warmWithin":2000},
			"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":16},
			"limits":{"cancel":true,"connIdle":5000,"dialTimeout":500,"maxAttempts":12,"maxOpen":400,"maxRetryAfter":3000,
			"mayDuplicate":false,"retryAfter":true},"tick":5,"weights":"rough"}}`, listen, addrs, stopSendingWithin.Milliseconds())
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Three real nodes keep delivering while list servers are killed, restarted and promoted, while an old primary returns,
// and while all list servers are down and a node starts. No accepted message may be lost, and no withdrawn endpoint may
// be called after its grace period.
func TestNodesDeliverWhileTheListServiceFails(t *testing.T) {
	addrs := freeAddrs(t, 7)
	servers, consoles, clients := addrs[:2], addrs[2:4], addrs[4:]
	var services []*childProcess
	for i := range servers {
		c := &childProcess{t: t, path: os.Args[0], env: []string{childEnv + "=1"}, args: []string{
			"registry", "--listen", servers[i], "--console", consoles[i], "--state", t.TempDir(), "--servers", strings.Join(servers, ","),
			"--number", fmt.Sprint(i), fmt.Sprintf("--bootstrap=%v", i == 0),
		}}
		services = append(services, c)
		t.Cleanup(c.kill)
		c.start()
	}
	l := &trafficLog{accepted: map[string]bool{}, delivered: map[string]int{}}
	endpoints := map[string]*fakeEndpoint{}
	addEndpoint := func(id string) {
		t.Helper()
		endpoints[id] = newFakeEndpoint(t, id, servers, l)
		eventually(t, id+" is registered", endpoints[id].registered)
	}
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		addEndpoint(id)
	}
	var nodes []*childProcess
	sending, stopTraffic := context.WithCancel(t.Context())
	defer stopTraffic()
	var senders sync.WaitGroup
	defer senders.Wait()
	for i, addr := range clients {
		name := fmt.Sprintf("n%d", i)
		c := &childProcess{t: t, path: os.Args[0], env: []string{
			childEnv + "=1",
			"ROUTER_CONFIG=" + nodeConfig(t, addr, servers), "ROUTER_STATE=" + t.TempDir(), "ROUTER_CONSOLE=",
		}}
		nodes = append(nodes, c)
		t.Cleanup(c.kill)
		c.start()
		senders.Go(func() { sendMessages(sending, name, addr, l) })
	}
	// awaitDeliveries waits until each node has delivered 20 more messages, which shows that it works after the last
	// step.
	awaitDeliveries := func(during string) {
		t.Helper()
		count := func() map[string]int {
			l.mu.Lock()
			defer l.mu.Unlock()
			by := map[string]int{}
			for id := range l.delivered {
				node, _, _ := strings.Cut(id, "-")
				by[node]++
			}
			return by
		}
		before := count()
		eventually(t, "deliveries by all nodes "+during, func() bool {
			now := count()
			for i := range nodes {
				if name := fmt.Sprintf("n%d", i); now[name] < before[name]+20 {
					return false
				}
			}
			return true
		})
	}
	awaitDeliveries("at first")
	serversInSync := func() bool { // operators wait for this before they act on a server
		statuses := map[string]bool{}
		for _, addr := range servers {
			var st struct{ Revision int64 }
			_, said, err := httpCall("GET", "http://"+addr+"/registry/status", "")
			if err != nil || json.Unmarshal([]byte(said), &st) != nil {
				return false
			}
			statuses[fmt.Sprint(st.Revision)] = true
		}
		return len(statuses) == 1
	}
	eventually(t, "the servers have the same revision of the list", serversInSync)

	services[0].kill()
	awaitDeliveries("while the primary is down")
	services[0].start()
	addEndpoint("e5")
	endpoints["e1"].withdraw()
	awaitDeliveries("after the primary's restart")
	eventually(t, "the servers have the same revision of the list", serversInSync)

	services[0].kill()
	eventually(t, "the promotion", func() bool {
		code, _, err := httpCall("PUT", "http://"+consoles[1]+"/ops/promote", "")
		return err == nil && code == http.StatusOK
	})
	addEndpoint("e6")
	endpoints["e2"].withdraw()
	awaitDeliveries("after the promotion")

	services[0].start() // the old primary, with an outdated list
	eventually(t, "the old primary becomes a follower", func() bool {
		_, said, err := httpCall("GET", "http://"+servers[0]+"/registry/status", "")
		return err == nil && strings.Contains(said, `"role":"follower"`) && strings.Contains(said, `"primary":"`+servers[1])
	})
	eventually(t, "the old primary has the current list", serversInSync)
	awaitDeliveries("with the old primary back")
	services[1].kill()
	awaitDeliveries("from the old primary as a follower")
	services[0].kill()
	nodes[0].kill()
	nodes[0].start()
	awaitDeliveries("with no list server and one node restarted")
	services[1].start()
	services[0].start()

	// Traffic continues long enough to detect calls to a withdrawn endpoint after its grace period.
	time.Sleep(time.Until(endpoints["e2"].withdrawnAt.Add(stopSendingWithin + propagationSlack + time.Second)))
	awaitDeliveries("at the end")
	stopTraffic()
	senders.Wait()
	reported := map[string]bool{}
	eventually(t, "every accepted message is delivered or its final answer is reported", func() bool {
		for _, s := range servers {
			collectNotices(s, reported)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		for id := range l.accepted {
			if l.delivered[id] == 0 && !reported[id] {
				return false
			}
		}
		return true
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.callsAfterWithdrawal) > 0 {
		t.Errorf("%d calls to withdrawn endpoints after the grace period: %v", len(l.callsAfterWithdrawal), l.callsAfterWithdrawal[:min(5, len(l.callsAfterWithdrawal))])
	}
	if len(reported) > len(l.accepted)/20 {
		t.Errorf("%d of %d accepted messages were not delivered, want at most 5%%", len(reported), len(l.accepted))
	}
	t.Logf("%d messages accepted, %d of them reported as not delivered", len(l.accepted), len(reported))
}

// collectNotices adds the messages whose final answer nodes have reported to a list server.
func collectNotices(server string, noticed map[string]bool) {
	_, page, err := httpCall("GET", "http://"+server+"/reports", "")
	if err != nil {
		return // the caller tries again
	}
	for line := range strings.Lines(page) {
		var n struct {
			ID string `json:"id"`
		}
		if json.Unmarshal([]byte(line), &n) == nil {
			noticed[n.ID] = true
		}
	}
}
