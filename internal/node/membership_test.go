package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"harrierramp/internal/admin"
	"harrierramp/internal/testkit"
)

// testFleet is a set of nodes in this process that know each other's addresses.
type testFleet struct {
	t          *testing.T
	discovery  *fakeDiscovery
	peers      []string
	stateDirs  []string
	adminAddrs []string
	kill       []func() // as SIGKILL would: no other node is notified
	stop       []func() // as SIGTERM would
}

func newTestFleet(t *testing.T, size int) *testFleet {
	t.Helper()
	f := &testFleet{
		t: t, discovery: newFakeDiscovery(t), adminAddrs: make([]string, size), kill: make([]func(), size), stop: make([]func(), size),
	}
	t.Cleanup(func() { // in parallel, because each takes some time to stop
		var stopping sync.WaitGroup
		for _, stop := range f.stop {
			if stop != nil {
				stopping.Go(stop)
			}
		}
		stopping.Wait()
	})
	for range size {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		f.peers = append(f.peers, conn.LocalAddr().String())
		f.stateDirs = append(f.stateDirs, t.TempDir())
	}
	return f
}

// config writes a configuration of node i with additional sections, and returns its path.
func (f *testFleet) config(i int, sections string) string {
	f.t.Helper()
	settings := strings.Replace(testSettings, `"fleetSize":1`, fmt.Sprintf(`"fleetSize":%d,"myNumber":%d`, len(f.peers), i), 1)
	settings = strings.Replace(settings, `"cancel":true`, `"cancel":true,"mayTell":true`, 1)
	peers, err := json.Marshal(f.peers)
	if err != nil {
		f.t.Fatal(err)
	}
	text := fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","discovery":%q,"seed":"%d","peer_listen":%q,"peers":%s,
		"limits":{"cores":1,"memory_mb":192,"sockets":256,"disk_mb":3},"known":%s,"settings":%s%s}`,
		i, f.discovery.addr(), i, f.peers[i], peers, listJSON(1, true, drainingMember()), settings, sections)
	path := filepath.Join(f.t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

const fastMembership = `,"membership":{"period_ms":150,"timeout_ms":50}`

func (f *testFleet) start(i int) {
	f.t.Helper()
	cfg, err := loadConfig(f.config(i, fastMembership), f.stateDirs[i])
	if err != nil {
		f.t.Fatal(err)
	}
	var lns [2]net.Listener
	for k := range lns {
		if lns[k], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			f.t.Fatal(err)
		}
	}
	n := New(cfg, slog.New(slog.DiscardHandler))
	stopAdmin := n.ServeAdmin(lns[1])
	f.adminAddrs[i] = lns[1].Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx, lns[0]) }()
	f.stop[i] = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			f.t.Error(err)
		}
		stopAdmin()
	})
	testkit.Eventually(f.t, "the node serves", func() bool { return n.NotReadyReason() == "" })
	f.kill[i] = func() { // it no longer exchanges datagrams with the others
		n.peers.close()
	}
}

// view returns node i's view of the fleet from its admin API.
func (f *testFleet) view(i int) (v admin.MembershipView) {
	f.t.Helper()
	code, body := testkit.CallAdmin(f.t, f.adminAddrs[i], "GET", "/ops/members")
	if code != 200 || json.Unmarshal([]byte(body), &v) != nil {
		f.t.Fatalf("members: %d %s", code, body)
	}
	return v
}

func (f *testFleet) sees(i, of int, state string) func() bool {
	return func() bool { return f.view(i).Members[of].State == state }
}

func TestMembershipTracksDeathLeaveAndReturn(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 4)
	for i := range 4 {
		f.start(i)
	}
	for i := range 4 {
		testkit.Eventually(t, "all nodes see all others alive, and agree", func() bool {
			v := f.view(i)
			for k, m := range v.Members {
				if m.State != "alive" || m.Incarnation == 0 || m.Addr != f.peers[k] || (k != i && m.HeardMS == nil) {
					return false
				}
			}
			return v.Present == 4 && v.Number == i && v.AgreedMS != nil
		})
	}
	f.kill[3]()
	for i := range 3 {
		testkit.Eventually(t, "a silent node is dead", f.sees(i, 3, "dead"))
	}
	before := f.view(2).Incarnation
	f.stop[2]()
	for i := range 2 {
		testkit.Eventually(t, "a node that ends has left", f.sees(i, 2, "left"))
	}
	f.start(2)
	for i := range 2 {
		testkit.Eventually(t, "it is back", f.sees(i, 2, "alive"))
		if got := f.view(i).Members[2].Incarnation; got <= before {
			t.Errorf("back under incarnation %d after %d", got, before)
		}
	}
	before = f.view(2).Incarnation
	f.stop[2]()
	if err := os.Remove(filepath.Join(f.stateDirs[2], memberIncarnationFile)); err != nil {
		t.Fatal(err)
	}
	f.start(2)
	for i := range 2 {
		testkit.Eventually(t, "it is back after its incarnation file was lost", func() bool {
			m := f.view(i).Members[2]
			return m.State == "alive" && m.Incarnation > before
		})
	}
	code, body := testkit.CallAdmin(t, f.adminAddrs[0], "GET", "/ops/stats")
	if code != 200 || !strings.Contains(body, "router.members_present:3|g") || !strings.Contains(body, "router.members_strangers:0|c") {
		t.Errorf("metrics: %d %s", code, body)
	}
}

func TestDatagramsFromUnknownSendersAreCounted(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2)
	f.start(0)
	stranger, err := net.Dial("udp4", f.peers[0])
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	testkit.Eventually(t, "the datagram is counted", func() bool {
		if _, err := stranger.Write([]byte("M")); err != nil {
			t.Fatal(err)
		}
		_, body := testkit.CallAdmin(t, f.adminAddrs[0], "GET", "/ops/stats")
		return !strings.Contains(body, "router.members_strangers:0|c")
	})
}

func TestMembershipIsOffUnlessConfigured(t *testing.T) {
	t.Parallel()
	_, adminAddr, _ := startNodeWithAdmin(t, newFakeDiscovery(t), t.TempDir(), drainingMember())
	if code, body := testkit.CallAdmin(t, adminAddr, "GET", "/ops/members"); code != 404 || !strings.Contains(body, "off") {
		t.Errorf("members: %d %s", code, body)
	}
	if _, body := testkit.CallAdmin(t, adminAddr, "GET", "/ops/stats"); strings.Contains(body, "members_") {
		t.Errorf("metrics: %s", body)
	}
}

func TestInvalidMembershipConfigIsRejected(t *testing.T) {
	f := newTestFleet(t, 3)
	for section, wantErr := range map[string]string{
		`,"membership":{"period_ms":1}`:                   "period_ms",
		`,"membership":{"period_ms":-5}`:                  "period_ms",
		`,"membership":{"period_ms":100,"timeout_ms":99}`: "timeout_ms",
		`,"membership":{"period_ms":100,"timeout_ms":-1}`: "timeout_ms",
		`,"membership":{},"peer_listen":""`:               "peer_listen",
		`,"membership":{},"peers":["127.0.0.1:1"]`:        "peers",
		`,"membership":{},"peers":["a:1","b:1","a:1"]`:    "same identifier",
	} {
		if _, err := loadConfig(f.config(0, section), t.TempDir()); err == nil || !strings.Contains(err.Error(), wantErr) {
			t.Errorf("%s: %v", section, err)
		}
	}
	if cfg, err := loadConfig(f.config(0, `,"membership":{}`), t.TempDir()); err != nil || cfg.Membership.PingPeriod() != 500*time.Millisecond {
		t.Errorf("the defaults: %v", err)
	}
	f.peers = f.peers[:2]
	if _, err := loadConfig(f.config(1, `,"membership":{},"settings":{"myNumber":2,"limits":{"mayTell":true}}`), t.TempDir()); err == nil {
		t.Error("a node number without an entry in peers was accepted")
	}
}

// During an upgrade two processes share one address. To the other nodes it must look like a restart, not like a
// death.
func TestUpgradeIsNotReportedAsDeath(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 3)
	for i := range 3 {
		f.start(i)
	}
	testkit.Eventually(t, "node 1 has heard from node 0", func() bool { return f.view(1).Members[0].HeardMS != nil })
	stop, before := f.stop[0], f.view(0).Incarnation
	f.start(0) // a second process on the same state folder
	stop()
	for i := 1; i < 3; i++ {
		testkit.Eventually(t, "the new process is known", func() bool {
			m := f.view(i).Members[0]
			if m.State == "dead" || m.State == "left" {
				t.Errorf("it is seen as %s", m.State)
			}
			return m.Incarnation > before
		})
		if got := f.view(i); got.Members[0].State != "alive" {
			t.Errorf("it is seen as %s", got.Members[0].State)
		}
	}
}
