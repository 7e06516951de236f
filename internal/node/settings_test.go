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
	"testing"

	"harrierramp/internal/testkit"
)

// settingsVariants returns the settings with one value changed at a time: missing, 0, negative, huge or of
// another type.
func settingsVariants(t *testing.T) map[string]string {
	t.Helper()
	out := map[string]string{}
	var root map[string]any
	if err := json.Unmarshal([]byte(testSettings), &root); err != nil {
		t.Fatal(err)
	}
	note := func(name string) {
		raw, err := json.Marshal(root)
		if err != nil {
			t.Fatal(err)
		}
		out[name] = string(raw)
	}
	var walk func(path string, m map[string]any)
	walk = func(path string, m map[string]any) {
		for k, v := range m {
			at := path + "." + k
			delete(m, k)
			note(at + " missing")
			for _, odd := range []any{0, -1, 1e18, "x", nil, []any{}} {
				m[k] = odd
				note(fmt.Sprint(at, " is ", odd))
			}
			m[k] = v
			switch v := v.(type) {
			case map[string]any:
				walk(at, v)
			case []any:
				for i, e := range v {
					if e, ok := e.(map[string]any); ok {
						walk(fmt.Sprint(at, "[", i, "]"), e)
					}
				}
			}
		}
	}
	walk("settings", root)
	return out
}

// Settings that the node cannot work with are rejected at the start with one line of text. With all others it
// serves.
func TestInvalidSettingsAreRejectedInOneLine(t *testing.T) {
	t.Parallel()
	r := newFakeDiscovery(t)
	served, refused := 0, 0
	var stops []func()
	for name, settings := range settingsVariants(t) {
		path, state := filepath.Join(t.TempDir(), "config.json"), t.TempDir()
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		text := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
			"limits":{"cores":1,"memory_mb":192,"sockets":256,"disk_mb":3},"known":%s,"settings":%s}`,
			ln.Addr(), r.addr(), listJSON(1, true, drainingMember()), settings)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, err := loadConfig(path, state)
		if err != nil {
			ln.Close()
			if refused++; strings.Contains(strings.TrimSpace(err.Error()), "\n") {
				t.Errorf("%s: %v", name, err)
			}
			continue
		}
		served++
		n := New(cfg, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx, ln) }()
		stops = append(stops, func() {
			if err := <-done; err != nil {
				t.Errorf("%s: %v", name, err)
			}
		})
		for _, q := range []string{testkit.EncodeRESP("PING"), testkit.EnqueueRequest("a", statusFields, ""), testkit.EnqueueRequest("b", orderFields, ""), testkit.EnqueueRequest("c", payoutFields, "")} {
			if got := testkit.Exchange(t, ln.Addr().String(), q); !strings.HasPrefix(got, "+") && !strings.HasPrefix(got, "-") {
				t.Errorf("%s: got %q", name, got)
			}
		}
		cancel()
	}
	for _, stop := range stops {
		stop()
	}
	t.Logf("%d served, %d refused in one line", served, refused)
	if served < 20 || refused < 20 {
		t.Errorf("%d served, %d refused: too few for the test to mean anything", served, refused)
	}
}
