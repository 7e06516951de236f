package node

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"harrierramp/internal/config"
	"harrierramp/internal/journal"
	"harrierramp/internal/listwatch"
)

func TestInvalidListServiceConfigIsRejected(t *testing.T) {
	for section, wantErr := range map[string]string{
		`{}`:                                   "has 0 addresses",
		`{"addresses":[]}`:                     "has 0 addresses",
		`{"addresses":["10.0.0.1"]}`:           "10.0.0.1",
		`{"addresses":["a:"]}`:                 "not an address",
		`{"addresses":["a:1","b:1","a:1"]}`:    "twice",
		`{"addresses":["a:1"],"keep":"often"}`: "keep",
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		text := fmt.Sprintf(`{"settings":{},"registry":%s}`, section)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := loadConfig(path, t.TempDir()); err == nil || !strings.Contains(err.Error(), wantErr) {
			t.Errorf("%s: %v", section, err)
		}
	}
}

// When a list server ends the watch, lags or is unreachable, the node goes on to the next one.
func TestWatchFailsOverToNextServer(t *testing.T) {
	stale := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, `{"revision":3,"complete":true,"members":[]}`)
	}))
	t.Cleanup(stale.Close)
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"revision":1%s,"complete":false,"members":[]}`+"\n", r.FormValue("after"))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(func() {
		good.CloseClientConnections()
		good.Close()
	})
	ctx, cancel := context.WithCancel(t.Context())
	received := make(chan listwatch.List)
	const gone = "127.0.0.1:1"
	n := New(config.Config{Registry: &config.ListService{Addresses: []string{
		gone, stale.Listener.Addr().String(), good.Listener.Addr().String(),
	}}}, slog.New(slog.NewTextHandler(t.Output(), nil)))
	n.listRevision = 10
	for first := ""; first != gone; { // a node begins with a random one
		n.discovery = listwatch.NewAddresses(n.cfg.Registry.Addresses)
		var done context.CancelFunc
		first, _, done = n.discovery.Pick(ctx, 0)
		done()
	}
	w := n.newWatcher(func(l listwatch.List) { received <- l })
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx, n.listRevision)
	}()
	if l := <-received; l.Revision != 110 {
		t.Errorf("got revision %d", l.Revision)
	}
	cancel()
	<-done
	text := string(n.metrics.StatsD())
	for _, want := range []string{"router.list_turns:2|c", "router.list_older:1|c", "router.list_doubted:0|c"} {
		if !strings.Contains(text, want) {
			t.Errorf("no %s in %s", want, text)
		}
	}
}

func TestListMetricsAreAbsentWithoutListService(t *testing.T) {
	n := New(config.Config{Discovery: "127.0.0.1:1"}, slog.New(slog.DiscardHandler))
	if text := string(n.metrics.StatsD()); strings.Contains(text, "list_") {
		t.Errorf("got %s", text)
	}
}

// The cached list, the estimates, their copies while they are being replaced, and the journal fit into the disk
// limit.
func TestDiskLimitIsDividedWithoutOverlap(t *testing.T) {
	for _, mb := range []float64{0, 1, 3, 100} {
		for _, service := range []*config.ListService{nil, {}, {KeepList: true}} {
			var c config.Config
			c.Limits.Disk, c.Registry = config.MiB(mb), service
			all := mb
			if all == 0 {
				all = journal.DefaultDiskMB
			}
			keeps := service != nil && service.KeepList
			if sum := journalMB(c) + 2*float64(listCacheBytes(c)+estimatesBytes(c))/(1<<20); sum != all || keeps != (listCacheBytes(c) > 0) || keeps != (newListCache(c) != nil) {
				t.Errorf("%v MB: %v MB for the journal, and twice %d and %d bytes", mb, journalMB(c), listCacheBytes(c), estimatesBytes(c))
			}
		}
	}
}
