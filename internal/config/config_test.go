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

func write(t testing.TB, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const platform = `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"cores":0.5,"memory_mb":64,
	"sockets":256,"disk_mb":1.5},"settings":{"fleetSize":3,"categories":[{"name":"a","aim":1500.5,"deadline":9000,
	"effect":"deduplicated","window":60000}],"domain":{"workers":7},"limits":{"connIdle":5000,"retryAfter":true,"maxRetryAfter":3000}}}`

const people = `name = "n"
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

// Both forms say the same to the module; what people leave out has its default, what the platform leaves out stays zero.
func TestBothFormsAreOneStructure(t *testing.T) {
	p, err := Load(Sources{File: write(t, "c.json", platform), Env: func(name string) string {
		return map[string]string{"ROUTER_STATE": "/s"}[name]
	}})
	if err != nil {
		t.Fatal(err)
	}
	l, err := Load(Sources{File: write(t, "c.toml", people)})
	if err != nil {
		t.Fatal(err)
	}
	if p.Limits != l.Limits || p.State != l.State || p.Listen != l.Listen || !slices.Equal(p.Names.Classes, l.Names.Classes) {
		t.Errorf("platform %+v, people %+v", p, l.Config)
	}
	a, b := p.Settings, l.Settings
	if a.Classes[0] != b.Classes[0] || a.Slots != b.Slots || a.ConnIdle != b.ConnIdle || a.MaxRetryAfter != b.MaxRetryAfter || a.Fleet != b.Fleet {
		t.Errorf("platform %+v, people %+v", a, b)
	}
	if a.Classes[0].Aim != 1500500*time.Microsecond || a.MaxAttempts != 0 || b.MaxAttempts != 12 {
		t.Errorf("aim %v, attempts %d and %d", a.Classes[0].Aim, a.MaxAttempts, b.MaxAttempts)
	}
}

// A running node takes what may change and names what may not.
func TestWhatMayChange(t *testing.T) {
	load := func(text string, sets ...string) *Loaded {
		l, err := Load(Sources{File: write(t, "c.toml", text), Sets: sets})
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	before := load(people)
	taken, kept := before.Moved(load(strings.Replace(people, `"127.0.0.1:2"`, `"127.0.0.1:3"`, 1), "log.level=debug", "limits.sockets=300", "seed=5"))
	if !slices.Equal(taken, []string{"discovery", "log.level"}) || !slices.Equal(kept, []string{"limits.sockets"}) {
		t.Errorf("taken %v, kept %v", taken, kept)
	}
	_, kept = before.Moved(load(people+"[membership]\n[[delivery.class]]\nname=\"b\"\naim=\"1s\"\ndeadline=\"2s\"\neffect=\"idempotent\"\n", "peers=127.0.0.1:5,127.0.0.1:6", "peer_listen=127.0.0.1:5", "delivery.limits.notes=true"))
	if !slices.Contains(kept, "membership.period") || !slices.Contains(kept, "delivery.class[1].name") {
		t.Errorf("kept %v", kept)
	}
}

// Every value of the structure is in the example and in the schema, with its meaning.
func TestEveryValueIsExplained(t *testing.T) {
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
	if _, err := Load(Sources{File: write(t, "example.toml", b.String())}); err != nil {
		t.Error(err)
	}
}

func FuzzTOML(f *testing.F) {
	f.Add(people)
	f.Add("[a]\n[[a]]\n")
	f.Add("[[delivery.class]]\n[delivery.class.x]\ny=1")
	f.Add("limits.sockets = 1\n[limits]\nsockets = 2")
	f.Fuzz(func(t *testing.T, text string) { load(t, "c.toml", text) })
}

func FuzzJSON(f *testing.F) {
	f.Add(platform)
	f.Add(`{"limits":{"memory_mb":1e400},"known":{"members":[{"id":7}]}}`)
	f.Fuzz(func(t *testing.T, text string) { load(t, "c.json", "{"+text) })
}

// load reads a text that may be anything: it is good, or its faults are told.
func load(t *testing.T, name, text string) {
	if len(text) > 1<<16 {
		t.Skip()
	}
	l, err := Load(Sources{File: write(t, name, text)})
	if (err == nil) == (l == nil) || err != nil && err.Error() == "" {
		t.Errorf("%v, %v", l, err)
	}
}
