package stage

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"testing"

	"harrierramp/internal/auditlog"
	"harrierramp/internal/cli"
	"harrierramp/internal/lab/process"
	"harrierramp/internal/lab/relay"
	"harrierramp/internal/rollout"
	"harrierramp/internal/testkit"
)

// Half of the nodes are cut off from both list servers and go on calling a withdrawn endpoint. One of them is killed
// and one is paused meanwhile. The nodes' audit logs agree with what the partners saw, entry by entry, and "fleet
// audit" finds the same through the nodes' admin endpoints as the stage finds in their state folders.
func TestAuditMatchesLedger(t *testing.T) {
	s := loadScript(t, `
name = "audited"
seed = 1
nodes = 8
servers = 2
for = "9s"
[traffic]
rate = 10
life = "4s"
[[fault]]
at = "2s"
for = "5s"
from = "servers"
to = "nodes:0-3"
cut = true
[[act]]
at = "2500ms"
who = "partners:0"
do = "withdraw"
[[act]]
at = "4500ms"
who = "nodes:0"
do = "kill"
for = "500ms"
[[act]]
at = "4s"
who = "nodes:1"
do = "pause"
for = "1500ms"
[expect]
broken = 0
lost = 0
audit_missed = 0
audit_wrong = 0
[expect_least]
audit_late = 10
`+smallFleet)
	s.Node.Audit, s.Node.ListHeartbeat, s.Node.Admin, s.Node.AuditLogKB = true, 250, true, 128
	st, _, done := openStage(t, s)
	r := done()
	var servers []string // each node reports to one of them
	for i := range s.Servers {
		servers = append(servers, process.HostPort(st.addrs.OwnAddr(relay.Party{Kind: relay.Server, Index: i}), process.ListPort))
	}
	var out, errs bytes.Buffer
	code := cli.Main([]string{"fleet", "audit", "--json", "--servers", strings.Join(servers, ","), "--grace", "1050ms", "--slack", auditSlack.String()}, &out, &errs)
	var fromAdmin auditlog.Report
	if err := json.Unmarshal(out.Bytes(), &fromAdmin); err != nil || code != 1 {
		t.Fatalf("status %d, %v, %s", code, err, errs.String())
	}
	if _, wrong, text := compareAudit(r.LateCalls, fromAdmin); wrong > 0 || len(fromAdmin.Findings) != len(r.Audit.Findings) {
		t.Errorf("%d findings through the admin endpoints, %d in the state folders: %v, unknown %v", len(fromAdmin.Findings), len(r.Audit.Findings), text, fromAdmin.Unknown)
	}
	for _, f := range fromAdmin.Findings {
		if f.Endpoint != "p0-0" || strings.Contains("node-4 node-5 node-6 node-7", f.Node) || f.WithdrawnRevision <= f.Revision || f.Reason == "not told" {
			t.Errorf("%+v", f)
		}
	}
}

// Two nodes receive nothing from both list servers while an endpoint is withdrawn. They learn from other nodes that the
// list has a newer revision, fence themselves, and stop calling at most 0.5 s after the drain timeout. After the fault
// they deliver again.
func TestNodesBehindTheListAreFenced(t *testing.T) {
	s := loadScript(t, `
name = "shut out"
seed = 1
nodes = 6
servers = 2
for = "10s"
[traffic]
rate = 10
life = "5s"
[[fault]]
at = "2s"
for = "5s"
from = "servers"
to = "nodes:0-1"
cut = true
[[act]]
at = "2500ms"
who = "partners:0"
do = "withdraw"
[expect]
broken = 0
lost = 0
last_late_call = 1.5
[expect_least]
busy = 20
delivered = 300
`+smallFleet)
	s.Node.Audit, s.Node.Fencing, s.Node.ListHeartbeat, s.Node.Admin = true, true, 250, true
	st, _, done := openStage(t, s)
	done()
	for n := range s.Nodes {
		if fenced := fetchFigure("http://"+st.AdminAddr(n)+"/ops/stats", "router.shut_outs:"); (fenced > 0) != (n < 2) {
			t.Errorf("node %d was fenced %d times", n, fenced)
		}
	}
}

// "fleet require" rejects a minimum version that no node reaches and names the nodes, unless it is forced. A forced
// minimum fences all nodes until it is released. A minimum that all nodes reach fences none. The list server keeps the
// minimum over a restart.
func TestMinimumVersionIsEnforced(t *testing.T) {
	s := loadScript(t, `
name = "floor"
seed = 1
nodes = 3
for = "14s"
[traffic]
rate = 5
life = "13s"
[expect]
broken = 0
lost = 0
[expect_least]
delivered = 100
`+smallFleet)
	s.Servers = 1
	s.Node.Audit, s.Node.Fencing, s.Node.ListHeartbeat, s.Node.Admin = true, true, 250, true
	st, run, done := openStage(t, s)
	run()
	serverParty := relay.Party{Kind: relay.Server, Index: 0}
	server := process.HostPort(st.addrs.OwnAddr(serverParty), process.ListPort)
	fleet := func(want int, args ...string) string {
		t.Helper()
		var fenced, errs bytes.Buffer
		if code := cli.Main(append([]string{"fleet"}, append(args, "--servers", server)...), &fenced, &errs); code != want {
			t.Errorf("%v: status %d: %s%s", args, code, fenced.String(), errs.String())
		}
		return fenced.String()
	}
	awaitFenced := func(want int) {
		t.Helper()
		testkit.Eventually(t, fmt.Sprint(want, " nodes are fenced"), func() bool {
			fenced := 0
			for _, r := range st.RolloutStatus().Nodes {
				if r.Fenced {
					fenced++
				}
			}
			return fenced == want && len(st.RolloutStatus().Nodes) == s.Nodes
		})
	}
	awaitFenced(0)
	// A node reports a revision up to a second after it acts on it, and a requirement that it has not reported is refused.
	var head int64
	testkit.Eventually(t, "all nodes have reported the head", func() bool {
		status := st.RolloutStatus()
		head = status.Head
		return head > 0 && !slices.ContainsFunc(status.Nodes, func(n rollout.NodeStatus) bool { return n.Revision < head })
	})
	fleet(0, "require", "--revision", strconv.FormatInt(head, 10))
	if output := fleet(1, "require", "--build", "another"); !strings.Contains(output, "3 of 3 nodes do not reach it now: node-0 node-1 node-2") {
		t.Errorf("%q", output)
	}
	fleet(0, "require", "--build", "another", "--dry-run")
	fleet(1, "require", "--revision", "99999999999999", "--force")
	awaitFenced(0)
	fleet(0, "require", "--build", "another", "--force")
	awaitFenced(3)
	if err := errors.Join(st.Kill(serverParty), st.Start(serverParty)); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "the list server serves again", func() bool { return st.RolloutStatus().Head > 0 })
	awaitFenced(3)
	testkit.Eventually(t, "the list server accepts writes", func() bool {
		return cli.Main([]string{"fleet", "release", "--servers", server}, io.Discard, io.Discard) == 0
	})
	awaitFenced(0)
	done()
}

// Each way in which an audit and the ledger can differ is reported.
func TestAuditDifferencesAreReported(t *testing.T) {
	late := []LateCalls{{Endpoint: "p0-0", Node: 1, Incarnation: 2, Revision: 7, Count: 5}}
	finding := func(calls, unsure int) auditlog.Report {
		return auditlog.Report{Findings: []auditlog.Finding{{Node: "node-1", Incarnation: 2, Endpoint: "p0-0", Revision: 7, LateCalls: calls, UnsureCalls: unsure}}}
	}
	for name, c := range map[string]struct {
		late          []LateCalls
		audit         auditlog.Report
		missed, wrong int
	}{
		"equal":                {late, finding(5, 0), 0, 0},
		"partly unsure":        {late, finding(3, 4), 0, 0},
		"too few":              {late, finding(3, 1), 1, 0},
		"too many":             {late, finding(6, 0), 0, 1},
		"nothing":              {late, auditlog.Report{}, 5, 0},
		"nothing, and it says": {late, auditlog.Report{Unknown: []auditlog.Unknown{{Node: "node-1", Incarnation: 2}}}, 0, 0},
		"invented":             {nil, finding(2, 0), 0, 2},
	} {
		if missed, wrong, text := compareAudit(c.late, c.audit); missed != c.missed || wrong != c.wrong {
			t.Errorf("%s: missed %d, wrong %d: %v", name, missed, wrong, text)
		}
	}
}
