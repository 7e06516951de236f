package stage

import (
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"harrierramp/internal/cli"
	"harrierramp/internal/lab/relay"
	"harrierramp/internal/rollout"
)

const childEnv = "TEST_CHILD_OF_THE_STAGE"

// TestMain runs as a node or a list server when the stage starts the test binary as one.
func TestMain(m *testing.M) {
	if _, faulty := os.LookupEnv(faultEnv); faulty && len(os.Args) > 3 && os.Args[1] == "serve" {
		os.Exit(faultyNode(os.Args[1:]))
	}
	if os.Getenv(childEnv) != "" {
		os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// loadScript loads a script from text.
func loadScript(t *testing.T, text string) Script {
	t.Helper()
	path := filepath.Join(t.TempDir(), "script.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// openStage opens a stage. run starts the script in the background. done runs it to its end, starts it if run was not
// called, and fails the test for broken rules and expectations that are not met.
func openStage(t *testing.T, s Script) (st *Stage, run func(), done func() *Report) {
	t.Helper()
	t.Setenv(childEnv, "1")
	st, err := Open(t.Context(), s, Options{Program: os.Args[0], Output: t.Output()})
	if err != nil {
		t.Fatal(err)
	}
	ran := make(chan error, 1)
	run = sync.OnceFunc(func() { go func() { ran <- st.Run() }() })
	t.Cleanup(func() {
		if err := st.Close(); err != nil {
			t.Error(err)
		}
	})
	return st, run, func() *Report {
		t.Helper()
		if run(); t.Failed() {
			return nil
		}
		if err := <-ran; err != nil {
			t.Error(err)
		}
		r := st.Report()
		if r.Failed() {
			r.Print(t.Output())
			t.Errorf("%v, %v, %v", r.Missed, r.Broken, r.AuditDifferences)
		}
		return r
	}
}

// playScript runs a script, and fails the test for broken rules and expectations that are not met.
func playScript(t *testing.T, text string) *Report {
	t.Helper()
	t.Setenv(childEnv, "1")
	r, err := Play(t.Context(), loadScript(t, text), Options{Program: os.Args[0], Output: t.Output()})
	if err != nil {
		t.Fatal(err)
	}
	if r.Print(t.Output()); r.Failed() {
		t.Errorf("%d rules broken, missed %v", int(r.Figures["broken"]), r.Missed)
	}
	return r
}

const smallFleet = `
[node]
notes = true
keep = true
weights = "nominal"
[[destination]]
endpoints = 2
rate = 40
burst = 20
latency = "10ms"
[[destination]]
endpoints = 2
rate = 40
burst = 20
latency = "10ms"
`

// The list server starts two seconds after the nodes. No message fails for lack of a list, and all nodes have the list
// soon after.
func TestFleetWaitsForLateListServer(t *testing.T) {
	playScript(t, `
name = "late"
seed = 3
nodes = 12
for = "4s"
[start]
servers = ["2s"]
[traffic]
burst = 4
life = "6s"
[expect]
failed = 0
lost = 0
returned = 0
refused = 0
list_never = 0
list_last = 4.0
[expect_least]
delivered = 48
`+smallFleet)
}

// During the start half of the nodes are killed, one node is paused and others are cut off from a list server, which is
// killed as well. Every accepted message still gets exactly one outcome, and no message is executed more often than its
// class allows.
func TestDisruptedStartKeepsDeliveryRules(t *testing.T) {
	playScript(t, `
name = "broken"
seed = 5
nodes = 12
servers = 2
for = "6s"
[traffic]
burst = 4
rate = 2
life = "5s"
unsafe = 0.3
[[act]]
at = "1500ms"
spread = "1s"
who = "nodes:50%"
do = "kill"
for = "700ms"
[[act]]
at = "1s"
who = "nodes:3"
do = "pause"
for = "2s"
[[act]]
at = "2s"
who = "servers:0"
do = "kill"
for = "1s"
[[fault]]
at = "500ms"
for = "3s"
from = "nodes:0-2"
to = "servers:0"
both = true
cut = true
[[fault]]
from = "nodes"
to = "nodes"
lose = 0.2
repeat = 0.1
reorder = 0.1
[expect]
lost = 0
crashes = 0
list_never = 0
[expect_least]
delivered = 60
`+smallFleet)
}

// Nodes whose connections work stop calling a withdrawn endpoint within the drain timeout.
func TestWithdrawnEndpointsGetNoCalls(t *testing.T) {
	r := playScript(t, `
name = "withdrawn"
seed = 1
nodes = 6
for = "4s"
[start]
nodes = "500ms"
[traffic]
rate = 20
life = "3s"
[[act]]
at = "2s"
who = "partners:0"
do = "withdraw"
[expect]
late_calls = 0
lost = 0
[expect_least]
delivered = 200
`+smallFleet)
	if len(r.Marks) == 0 || len(r.Bins) < 20 {
		t.Errorf("%d marks and %d bins", len(r.Marks), len(r.Bins))
	}
	if err := r.HTML(io.Discard); err != nil {
		t.Error(err)
	}
}

// A full disk makes writes fail, and does not end the process.
func TestFullDiskDoesNotEndProcesses(t *testing.T) {
	playScript(t, `
name = "full"
seed = 1
nodes = 3
for = "4s"
[start]
nodes = "500ms"
[traffic]
rate = 10
life = "4s"
[[act]]
at = "2s"
who = "nodes:0 servers:0"
do = "fill"
for = "1s"
[expect]
crashes = 0
lost = 0
[expect_least]
delivered = 50
`+smallFleet)
}

// The list servers' rollout status shows which list each node acts on: a node that is cut off is behind after a change,
// and is current again after the fault. Each call carries the list revision that it is based on.
func TestRolloutStatusShowsNodeCutOffFromList(t *testing.T) {
	s := loadScript(t, `
name = "versions"
seed = 1
nodes = 6
servers = 2
for = "11s"
[traffic]
rate = 5
life = "3s"
[[fault]]
at = "3s"
for = "7s"
from = "nodes:2"
to = "servers"
both = true
cut = true
[[act]]
at = "3500ms"
who = "partners:0"
do = "withdraw"
[expect]
unmarked = 0
lost = 0
broken = 0
[expect_least]
delivered = 200
`+smallFleet)
	s.Node.Audit, s.Node.ListHeartbeat = true, 250
	st, run, done := openStage(t, s)
	run()
	eventually := func(what string, holds func(current, behind int, rows []rollout.NodeStatus) bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			v := st.RolloutStatus()
			behind := slices.DeleteFunc(slices.Clone(v.Nodes), func(r rollout.NodeStatus) bool { return r.BehindMS == 0 })
			if holds(len(v.Nodes)-len(behind), len(behind), behind) {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("timed out waiting until %s: %+v", what, v)
			}
		}
	}
	eventually("all nodes are current", func(current, behind int, _ []rollout.NodeStatus) bool { return current == 6 && behind == 0 })
	eventually("only the node that is cut off is behind", func(current, behind int, rows []rollout.NodeStatus) bool {
		return current == 5 && behind == 1 && rows[0].Name == "node-2"
	})
	eventually("the node is current again", func(current, behind int, _ []rollout.NodeStatus) bool { return current == 6 && behind == 0 })
	done()
}

// A node that was paused for 2 s detects the gap, checks its list before it acts on it, and continues to deliver.
func TestPausedNodeDetectsGap(t *testing.T) {
	s := loadScript(t, `
name = "paused"
seed = 1
nodes = 3
for = "6s"
[traffic]
rate = 20
life = "5s"
[[act]]
at = "2s"
who = "nodes:1"
do = "pause"
for = "2s"
[expect]
lost = 0
broken = 0
late_calls = 0
[expect_least]
delivered = 200
`+smallFleet)
	s.Node.Audit, s.Node.ListHeartbeat, s.Node.Admin = true, 250, true
	st, _, done := openStage(t, s)
	done()
	if gaps := fetchFigure("http://"+st.AdminAddr(1)+"/ops/stats", "router.gaps:"); gaps < 1 {
		t.Errorf("%d gaps", gaps)
	}
}

// Two stages can be open at the same time, on separate addresses. A closed stage leaves no process behind.
func TestTwoStagesRunSideBySide(t *testing.T) {
	t.Setenv(childEnv, "1")
	s := loadScript(t, "nodes = 2\nfor = \"1s\"\n"+smallFleet+"\n")
	s.Node.Admin = true
	var stages []*Stage
	for range 2 {
		st, err := Open(t.Context(), s, Options{Program: os.Args[0]})
		if err != nil {
			t.Fatal(err)
		}
		stages = append(stages, st)
	}
	var pids []int
	for _, st := range stages {
		p := relay.Party{Kind: relay.Node, Index: 1}
		if err := st.Start(p); err != nil {
			t.Fatal(err)
		}
		x := st.process(p)
		pids = append(pids, x.PID())
		// The list server is not started. The node reports that, and accepts no messages.
		var reason string
		for end := time.Now().Add(20 * time.Second); reason == "" && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if resp, err := http.Get("http://" + st.AdminAddr(1) + "/ops/readiness"); err == nil {
				text, _ := io.ReadAll(resp.Body)
				if resp.Body.Close(); resp.StatusCode == http.StatusServiceUnavailable && strings.Contains(string(text), "list") {
					reason = string(text)
				}
			}
		}
		if !strings.Contains(reason, "waiting for the list since") {
			t.Errorf("readiness says %q", reason)
		}
	}
	for _, st := range stages {
		if err := st.Close(); err != nil {
			t.Error(err)
		}
	}
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); err == nil {
			t.Errorf("process %d still exists", pid)
		}
	}
}

// The same seed selects the same parties, and another seed selects others.
func TestGroupSelectionIsSeeded(t *testing.T) {
	s := Script{Nodes: 100, Servers: 1, Dests: []DestSpec{{Endpoints: 10}}}
	draw := func(seed uint64) string {
		group, err := s.Group("nodes:30% partners:2-4,7", rand.New(rand.NewPCG(seed, 0)))
		if err != nil || len(group) != 34 {
			t.Fatalf("%d parties, %v", len(group), err)
		}
		return describeGroup(group) + group[29].String()
	}
	if draw(1) != draw(1) || draw(1) == draw(2) {
		t.Error("chance does not come from the seed")
	}
}

func TestInvalidScriptsAreRejected(t *testing.T) {
	for text, wantErr := range map[string]string{
		"nodes = 0":                            "0 nodes",
		"nodes = 301":                          "301 nodes",
		"nodes = 2\nservers = 9":               "9 list servers",
		"nodes = 2\nfor = \"1h\"":              "traffic for",
		"nodes = 2\n[traffic]\nrate = 1e9":     "at most 200",
		"nodes = 2\n[traffic]\nunsafe = 2":     "traffic.unsafe",
		"nodes = 2\nknots = 3":                 "knots",
		"nodes = 2\n[node]\nweights = \"odd\"": "weights",
		"nodes = 2\n[[fault]]\nfrom = \"nodes:2\"\nto = \"servers\"":                "must be numbers from 0 to 1",
		"nodes = 2\n[[fault]]\nfrom = \"nodes\"\nto = \"\"":                         "selects no party",
		"nodes = 2\n[[fault]]\nfrom = \"nodes\"\nto = \"servers\"\nlose = 1.5":      "share from 0 to 1",
		"nodes = 2\n[[fault]]\nfrom = \"nodes:200%\"\nto = \"servers\"":             "is not a share",
		"nodes = 2\n[[act]]\nwho = \"nodes\"\ndo = \"dance\"":                       "unknown action",
		"nodes = 2\n[[act]]\nwho = \"partners\"\ndo = \"kill\"":                     "does not apply to partner-0",
		"nodes = 2\n[[act]]\nwho = \"nodes\"\ndo = \"kill\"\nat = \"-1s\"":          "from 0 to",
		"nodes = 2\n[[destination]]\ncold = true":                                   "cold needs a rate",
		"nodes = 2\n[[destination]]\nendpoints = 501\n[[destination]]\nrate = -1.0": "must not be negative",
	} {
		path := filepath.Join(t.TempDir(), "script.toml")
		dest := "\n[[destination]]\nrate = 1\n"
		if err := os.WriteFile(path, []byte(text+dest), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(path); err == nil || !strings.Contains(err.Error(), wantErr) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func FuzzScript(f *testing.F) {
	f.Add("nodes = 2\n" + smallFleet)
	f.Add("nodes = 3\n[[act]]\nwho = \"nodes:1-2,0 partners:50%\"\ndo = \"pause\"\nevery = \"1ms\"\n" + smallFleet)
	f.Fuzz(func(t *testing.T, text string) {
		path := filepath.Join(t.TempDir(), "script.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if s, err := Load(path); err == nil && (s.Nodes < 1 || s.Nodes > MaxNodes || s.partnerCount() > MaxEndpoints || s.Length.Duration() > MaxLength) {
			t.Errorf("invalid script accepted: %+v", s)
		}
	})
}
