package registry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"testing"

	"harrierramp/internal/auditlog"
	"harrierramp/internal/rollout"
)

// A watcher of the table of nodes is sent each report and each new revision.
func TestNodeTableWatch(t *testing.T) {
	a := startServer(t, testConfig(t), listen(t, "127.0.0.1:0"))
	resp, err := http.Get("http://" + a.addr + "/registry/nodes?watch=1")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	until := func(what string, holds func(v rollout.Snapshot) bool) {
		t.Helper()
		for range 40 {
			var v rollout.Snapshot
			if !lines.Scan() {
				break
			}
			if err := json.Unmarshal(lines.Bytes(), &v); err != nil {
				t.Fatal(err)
			}
			if holds(v) {
				return
			}
		}
		t.Fatal("never: " + what)
	}
	until("an empty table", func(v rollout.Snapshot) bool { return len(v.Nodes) == 0 })
	head := a.list().Revision
	if code, said := a.call("POST", "/registry/nodes", fmt.Sprintf(`{"name":"n","incarnation":1,"seq":1,"revision":%d,"build":"b","config":"c"}`, head)); code != http.StatusNoContent {
		t.Fatal(code, said)
	}
	until("the report", func(v rollout.Snapshot) bool { return len(v.Nodes) == 1 && v.Nodes[0].BehindMS == 0 })
	a.register(1, 10_000)
	until("a change", func(v rollout.Snapshot) bool { return len(v.Nodes) == 1 && v.Nodes[0].BehindMS > 0 })
}

// A follower's record of a withdrawal has the time of the server that decided it. A floor is replicated to the
// follower, survives a restart, and can be removed again.
func TestFloorAndChangeTimesAreReplicated(t *testing.T) {
	a, b := startPair(t)
	a.register(1, 10_000)
	eventually(t, "the follower has the instance", func() bool {
		code, text := b.call("GET", "/registry/instances", "")
		return code == http.StatusOK && len(parse(t, text).Members) == 1
	})
	if code, said := a.call("DELETE", "/registry/instances/s1", `{"owner":"p1"}`); code != http.StatusNoContent {
		t.Fatal(code, said)
	}
	history := func(x *testServer) (h auditlog.History) {
		_, text := x.call("GET", "/registry/history", "")
		if err := json.Unmarshal([]byte(text), &h); err != nil {
			t.Fatal(err)
		}
		return h
	}
	head := a.list().Revision
	for _, bad := range []string{`{"revision":-1}`, fmt.Sprintf(`{"revision":%d}`, head+1), `{"build":"a b"}`} {
		if code, _ := a.call("PUT", "/registry/floor", bad); code != http.StatusBadRequest {
			t.Errorf("%s: %d", bad, code)
		}
	}
	if code, _ := b.call("PUT", "/registry/floor", `{"build":"x"}`); code != http.StatusMisdirectedRequest {
		t.Errorf("the follower answers %d", code)
	}
	for _, floor := range []string{`{"build":"x"}`, `{}`} {
		if code, said := a.call("PUT", "/registry/floor", floor); code != http.StatusOK {
			t.Fatal(code, said)
		}
		want := a.list()
		if want.Floor == nil || (want.Floor.Build == "x") != (floor != `{}`) {
			t.Fatalf("the list's floor is %+v", want.Floor)
		}
		eventually(t, "the follower has it", func() bool {
			code, text := b.call("GET", "/registry/instances", "")
			return code == http.StatusOK && reflect.DeepEqual(parse(t, text).Floor, want.Floor)
		})
	}
	last := func(h auditlog.History) (out auditlog.Change) {
		for _, c := range h.Changes {
			if c.ID == "s1" && c.Phase == Deleted {
				out = c
			}
		}
		return out
	}
	if mine, other := last(history(a)), last(history(b)); mine.AtMS == 0 || mine != other {
		t.Errorf("primary has %+v, follower %+v", mine, other)
	}
	again := a.restart()
	if l := again.list(); l.Floor != nil && l.Floor.Build != "" {
		t.Errorf("after a restart %+v", l.Floor)
	}
}
