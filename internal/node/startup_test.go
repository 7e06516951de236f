package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"harrierramp/internal/listwatch"
	"harrierramp/internal/testkit"
)

// launchNode starts a node with a registry section in its configuration, without waiting until it is ready.
func launchNode(t *testing.T, state, section string) (addr, adminAddr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	adminLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n","listen":%q,"limits":{"cores":1,"memory_mb":192,"sockets":256,"disk_mb":3},"registry":%s,"settings":%s}`,
		ln.Addr(), section, testSettings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := loadConfig(path, state)
	if err != nil {
		t.Fatal(err)
	}
	n := New(cfg, slog.New(slog.NewTextHandler(t.Output(), nil)))
	stopAdmin := n.ServeAdmin(adminLn)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		stopAdmin()
	})
	return ln.Addr().String(), adminLn.Addr().String()
}

func cacheListAt(t *testing.T, dir, partnerAddr string, revision int64) {
	t.Helper()
	k := listwatch.NewCache(dir, 1<<16)
	l := listwatch.List{Revision: revision, Complete: true, Members: []listwatch.Member{
		{ID: "p", Addr: partnerAddr, Locality: "z", Flavor: "m", Cell: 7, Phase: "SERVING", Size: 1000},
	}}
	if err := k.Write(l); err != nil {
		t.Fatal(err)
	}
}

const unreachableAddr = "127.0.0.1:1"

// While no list server answers, a node with a usable cached list serves, and fails no message because the list
// does not name its destination. Without one it accepts nothing and states why.
func TestStartWithoutListServer(t *testing.T) {
	for name, c := range map[string]struct {
		keep, section, spoil string
		why                  string // empty if the node serves
	}{
		"nothing cached":   {"", `"keep":true`, "", "no list is kept"},
		"kept":             {"yes", `"keep":true`, "", ""},
		"cached, not read": {"yes", `"keep":false`, "", "no list is kept"},
		"cached too long":  {"yes", `"keep":true,"kept_most_ms":1`, "", "old"},
		"waits an hour":    {"yes", `"keep":true,"kept_after_ms":3600000`, "", "comes into force 1h"},
		"comes into force": {"yes", `"keep":true,"kept_after_ms":50`, "", ""},
		"cut":              {"yes", `"keep":true`, "cut", "no list is kept"},
		"flipped":          {"yes", `"keep":true`, "flip", "no list is kept"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse))
			dir := t.TempDir()
			if c.keep != "" {
				cacheListAt(t, dir, p.Addr(), 5)
			}
			path := filepath.Join(dir, "list.json")
			if c.spoil != "" {
				raw, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				if raw = raw[:len(raw)/2]; c.spoil == "flip" {
					raw = []byte(strings.Replace(readAll(t, path), `"cell":7`, `"cell":9`, 1))
				}
				if err := os.WriteFile(path, raw, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			addr, adminAddr := launchNode(t, dir, `{"addresses":["`+unreachableAddr+`"],`+c.section+`}`)
			if c.why != "" {
				time.Sleep(100 * time.Millisecond) // longer than the 50 ms after which a cached list comes into force
				code, body := testkit.CallAdmin(t, adminAddr, "GET", "/ops/readiness")
				if code != 503 || !strings.Contains(body, c.why) || !strings.Contains(body, "since") {
					t.Errorf("readiness: %d %s", code, body)
				}
				if got := testkit.Exchange(t, addr, testkit.EncodeRESP("PING")); !strings.HasPrefix(got, "-LOADING waiting for the list") {
					t.Errorf("PING: %s", got)
				}
			} else {
				testkit.Eventually(t, "the node serves", func() bool { code, _ := testkit.CallAdmin(t, adminAddr, "GET", "/ops/readiness"); return code == 204 })
				mustAnswer(t, addr, testkit.EncodeRESP("PING"), "+PONG")
				mustAnswer(t, addr, testkit.EnqueueRequest("m1", statusFields, "x"), "+OK")
				if req := p.Next(t); req.Header.Get("X-Trace-Id") != "m1" {
					t.Error("another message is delivered")
				}
			}
			got := testkit.Exchange(t, addr, testkit.EnqueueRequest("m2", "c=status,d=50000,dest=8", "x"))
			var ms int
			if n, err := fmt.Sscanf(got, "-BUSY %d", &ms); n != 1 || err != nil || ms < 25 || ms > 6000 {
				t.Errorf("for a destination that no list names: %q", got)
			}
		})
	}
}

func readAll(t *testing.T, path string) string {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	raw, err := io.ReadAll(f)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// With the list of a list server, a destination that it does not name is unknown, and the metrics show how long
// the start took. A cached list with a later revision than that of any server is dropped.
func TestStartWithListServer(t *testing.T) {
	p := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse))
	r := newFakeDiscovery(t)
	dir := t.TempDir()
	cacheListAt(t, dir, unreachableAddr, 1<<40)
	addr, adminAddr := launchNode(t, dir, fmt.Sprintf(`{"addresses":[%q],"keep":true}`, r.addr()))
	r.publish(listJSON(5, true, memberJSON("q", p.Addr(), 7, "SERVING")))
	testkit.Eventually(t, "the server's list is in force", func() bool {
		_, text := testkit.CallAdmin(t, adminAddr, "GET", "/ops/stats")
		return strings.Contains(text, "router.list_revision:5|")
	})
	mustAnswer(t, addr, testkit.EnqueueRequest("m1", statusFields, "x"), "+OK")
	p.Next(t)
	mustAnswer(t, addr, testkit.EnqueueRequest("m2", "c=status,d=50000,dest=8", "x"), "-ERR unknown destination")
	testkit.Eventually(t, "the metrics show the start", func() bool {
		_, text := testkit.CallAdmin(t, adminAddr, "GET", "/ops/stats")
		return !strings.Contains(text, "router.start_list_ms:-1|") && !strings.Contains(text, "router.start_delivery_ms:-1|")
	})
}
