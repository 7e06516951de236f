package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

func writeFile(t testing.TB, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const platformJSON = `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"cores":0.5,"memory_mb":64,
	"sockets":256,"disk_mb":1.5},"settings":{"fleetSize":3,"categories":[{"name":"a","aim":1500.5,"deadline":9000,
	"effect":"deduplicated","window":60000}],"domain":{"workers":7},"limits":{"connIdle":5000,"retryAfter":true,"maxRetryAfter":3000}}}`

const operatorTOML = `name = "n"
listen = "127.0.0.1:1"
discovery = "127.0.0.1:2"
state = "/s"
[limits]
cores = 0.5
memory = "64MiB"
sockets = 256
disk = "1536KiB"
[delivery]
fleet_size = 3
[delivery.calls]
slots = 7
[delivery.limits]
idle_timeout = "5s"
longest_wait = "3s"
[[delivery.class]]
name = "a"
aim = "1500500us"
deadline = "9s"
effect = "deduplicated"
window = "1m"
`

// The JSON and the TOML form of a configuration yield the same settings. A value left out of TOML has its default; a
// value left out of the platform's JSON stays zero.
func TestJSONAndTOMLLoadTheSameConfig(t *testing.T) {
	fromJSON, err := Load(Sources{File: writeFile(t, "c.json", platformJSON), Env: func(name string) string {
		return map[string]string{"ROUTER_STATE": "/s"}[name]
	}})
	if err != nil {
		t.Fatal(err)
	}
	fromTOML, err := Load(Sources{File: writeFile(t, "c.toml", operatorTOML)})
	if err != nil {
		t.Fatal(err)
	}
	if fromJSON.Limits != fromTOML.Limits || fromJSON.StateDir != fromTOML.StateDir || fromJSON.Listen != fromTOML.Listen || !slices.Equal(fromJSON.Names.Classes, fromTOML.Names.Classes) {
		t.Errorf("from JSON %+v, from TOML %+v", fromJSON, fromTOML.Config)
	}
	a, b := fromJSON.Settings, fromTOML.Settings
	if a.Classes[0] != b.Classes[0] || a.Slots != b.Slots || a.IdleConnTimeout != b.IdleConnTimeout || a.MaxRetryAfter != b.MaxRetryAfter || a.FleetSize != b.FleetSize {
		t.Errorf("from JSON %+v, from TOML %+v", a, b)
	}
	if a.Classes[0].Aim != 1500500*time.Microsecond || a.MaxAttempts != 0 || b.MaxAttempts != 12 {
		t.Errorf("aim %v, maximum attempts %d from JSON and %d from TOML", a.Classes[0].Aim, a.MaxAttempts, b.MaxAttempts)
	}
}

// Diff tells apart the changed keys that a running node can apply and those that require a restart.
func TestDiffSeparatesReloadableKeys(t *testing.T) {
	load := func(text string, sets ...string) *Loaded {
		l, err := Load(Sources{File: writeFile(t, "c.toml", text), Overrides: sets})
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	before := load(operatorTOML)
	reloadable, restartOnly := before.Diff(load(strings.Replace(operatorTOML, `"127.0.0.1:2"`, `"127.0.0.1:3"`, 1), "log.level=debug", "limits.sockets=300", "seed=5"))
	if !slices.Equal(reloadable, []string{"discovery", "log.level"}) || !slices.Equal(restartOnly, []string{"limits.sockets"}) {
		t.Errorf("reloadable keys %v, restart-only keys %v", reloadable, restartOnly)
	}
	_, restartOnly = before.Diff(load(operatorTOML+"[membership]\n[[delivery.class]]\nname=\"b\"\naim=\"1s\"\ndeadline=\"2s\"\neffect=\"idempotent\"\n", "peers=127.0.0.1:5,127.0.0.1:6", "peer_listen=127.0.0.1:5", "delivery.limits.notes=true"))
	if !slices.Contains(restartOnly, "membership.period") || !slices.Contains(restartOnly, "delivery.class[1].name") {
		t.Errorf("restart-only keys %v", restartOnly)
	}
}

// The example and the schema contain every value of the structure with its description, and the example can be loaded.
func TestExampleAndSchemaDescribeEveryValue(t *testing.T) {
	var b strings.Builder
	if err := Example(&b); err != nil {
		t.Fatal(err)
	}
	raw, err := Schema()
	if err != nil || !json.Valid(raw) {
		t.Fatalf("%v: %s", err, raw)
	}
	for _, f := range fields() {
		name := f.path[strings.LastIndexByte(f.path, '.')+1:]
		if doc := f.tag.Get("doc"); doc == "" || !strings.Contains(b.String(), doc) || !strings.Contains(b.String(), name+" = ") {
			t.Errorf("the example lacks %s", f.path)
		} else if text, err := json.Marshal(doc); err != nil || !strings.Contains(string(raw), strings.Trim(string(text), `"`)) {
			t.Errorf("the schema lacks %s", f.path)
		}
	}
	if _, err := Load(Sources{File: writeFile(t, "example.toml", b.String())}); err != nil {
		t.Error(err)
	}
}

func FuzzTOML(f *testing.F) {
	f.Add(operatorTOML)
	f.Add("[a]\n[[a]]\n")
	f.Add("[[delivery.class]]\n[delivery.class.x]\ny=1")
	f.Add("limits.sockets = 1\n[limits]\nsockets = 2")
	f.Fuzz(func(t *testing.T, text string) { checkLoad(t, "c.toml", text) })
}

func FuzzJSON(f *testing.F) {
	f.Add(platformJSON)
	f.Add(`{"limits":{"memory_mb":1e400},"known":{"members":[{"id":7}]}}`)
	f.Fuzz(func(t *testing.T, text string) { checkLoad(t, "c.json", "{"+text) })
}

// checkLoad loads an arbitrary text, and checks that Load returns either a configuration or a non-empty error.
func checkLoad(t *testing.T, name, text string) {
	if len(text) > 1<<16 {
		t.Skip()
	}
	l, err := Load(Sources{File: writeFile(t, name, text)})
	if (err == nil) == (l == nil) || err != nil && err.Error() == "" {
		t.Errorf("Load returns %v and the error %v", l, err)
	}
}
