package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"harrierramp/internal/lab/sysfault"
)

const childEnv = "TEST_CHILD_OF_HARRIERRAMP"

// TestMain runs the program itself instead of the tests if a test has started this binary as a child process.
func TestMain(m *testing.M) {
	if sysfault.ExecRequired() {
		fmt.Fprintln(os.Stderr, sysfault.Exec("/proc/self/exe", os.Args))
		os.Exit(1)
	}
	if what := os.Getenv(strangersEnv); what != "" {
		runStrangers(what) // exits
	}
	if os.Getenv(childEnv) != "" {
		main() // exits
	}
	testscript.Main(m, map[string]func(){"harrierramp": main})
}

// fakeDiscovery is a stand-in for the discovery service. It passes on the watches and the notices that reach it.
type fakeDiscovery struct {
	*httptest.Server
	watches chan string // the revision after which the watch requests changes
	notices chan string
}

func newFakeDiscovery(t *testing.T, list string) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{watches: make(chan string, 16), notices: make(chan string, 16)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, r *http.Request) {
		d.watches <- r.FormValue("after")
		fmt.Fprintln(w, list)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	mux.HandleFunc("POST /reports", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		d.notices <- string(body)
		w.WriteHeader(http.StatusNoContent)
	})
	d.Server = httptest.NewServer(mux)
	t.Cleanup(func() {
		d.CloseClientConnections()
		d.Close()
	})
	return d
}

// writeConfig atomically replaces the configuration file.
func writeConfig(t *testing.T, path, discovery string) {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256,"disk_mb":3},
		"known":{"revision":1,"complete":true,"members":[]},
		"settings":{"fleetSize":1,"failureDomains":["z"],"flavors":["m"],"limits":{"maxOpen":10},"categories":[
			{"name":"status","effect":"idempotent","aim":4000,"deadline":60000,"worth":1,"lateWorth":0.3}]}}`,
		discovery)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

func receive(t *testing.T, what string, from <-chan string) string {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(waitTimeout):
		t.Fatalf("did not happen within waitTimeout: %s", what)
		return ""
	}
}

// After the configuration was replaced, SIGHUP switches the node to the new discovery address, for notices too, without
// ending it. SIGHUP with a configuration that can't be parsed does not end the node either.
func TestSIGHUPSwitchesDiscoveryAddress(t *testing.T) {
	const draining = `{"id":"e","host_port":"127.0.0.1:9","locality":"z","flavor":"m","cell":7,"phase":"DRAINING","size":1}`
	before := newFakeDiscovery(t, `{"revision":41,"complete":true,"members":[`+draining+`]}`)
	after := newFakeDiscovery(t, "")
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, before.Listener.Addr().String())
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childEnv+"=1", "ROUTER_CONFIG="+path, "ROUTER_STATE="+t.TempDir())
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewReader(log)
	line, err := lines.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	_, addr, found := strings.Cut(strings.TrimSpace(line), " addr=")
	if !found || !strings.Contains(line, " event=serving ") {
		t.Fatalf("the first log line is %q, want the event serving with its address", line)
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		io.Copy(t.Output(), lines)
	}()
	t.Cleanup(func() {
		cmd.Process.Kill()
		<-drained
		cmd.Wait() // its error reports the kill
	})
	receive(t, "a watch", before.watches)
	send := func(text string) string {
		t.Helper()
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		if err := nc.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(nc, text); err != nil {
			t.Fatal(err)
		}
		line, err := bufio.NewReader(nc).ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		return strings.TrimSpace(line)
	}
	const enqueue = "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$1\r\na\r\n$22\r\nc=status,d=3000,dest=7\r\n$1\r\nb\r\n"
	for end := time.Now().Add(waitTimeout); send(enqueue) != "+OK"; time.Sleep(time.Millisecond) { // until the list has arrived
		if time.Now().After(end) {
			t.Fatal("the message is not accepted within waitTimeout")
		}
	}

	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if got := send("PING\r\n"); got != "+PONG" {
		t.Fatalf("got %q", got)
	}
	writeConfig(t, path, after.Listener.Addr().String())
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if got := receive(t, "a watch at the new address", after.watches); got != "41" {
		t.Errorf("the watch requests changes after revision %q, want 41", got)
	}
	if got := receive(t, "the notice", after.notices); !strings.Contains(got, `"id":"a"`) {
		t.Errorf("the notice is %q", got)
	}
	if got := send("PING\r\n"); got != "+PONG" {
		t.Errorf("got %q", got)
	}
}

// Runs the commands, including their error cases, as the scripts in testdata.
func TestCommandScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Setenv("ROUTER_CONFIG", "")
			e.Setenv("ROUTER_CONSOLE", "")
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			// "exits N COMMAND" runs a command that must end with exit status N.
			"exits": func(ts *testscript.TestScript, _ bool, args []string) {
				want, err := strconv.Atoi(args[0])
				ts.Check(err)
				got := 0
				if bad, ok := errors.AsType[*exec.ExitError](ts.Exec(args[1], args[2:]...)); ok {
					got = bad.ExitCode()
				}
				if got != want {
					ts.Fatalf("exit status %d, want %d", got, want)
				}
			},
		},
	})
}

// A second process on the state directory or the address of a running node exits with a one-line error and changes
// nothing; the first keeps running.
func TestSecondProcessOnStateDirIsRefused(t *testing.T) {
	list := newFakeDiscovery(t, `{"revision":2,"complete":true,"members":[]}`)
	path, state := filepath.Join(t.TempDir(), "config.json"), t.TempDir()
	writeConfig(t, path, list.Listener.Addr().String())
	start := func(args ...string) *exec.Cmd {
		cmd := exec.Command(os.Args[0], args...)
		cmd.Env = append(os.Environ(), childEnv+"=1", "ROUTER_CONFIG="+path, "ROUTER_STATE="+state)
		return cmd
	}
	first := start()
	log, err := first.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := first.Start(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(log).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		io.Copy(io.Discard, log)
	}()
	t.Cleanup(func() {
		first.Process.Kill()
		<-ended
		first.Wait() // its error reports the kill
	})
	_, addr, _ := strings.Cut(strings.TrimSpace(line), " addr=")
	receive(t, "the watch of the first process", list.watches)
	files := func() string {
		names, err := os.ReadDir(state)
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Sprint(names)
	}
	before := files()
	for want, args := range map[string][]string{
		"is in use by a running node": {"serve"},
		"address already in use":      {"serve", "--state", t.TempDir(), "--listen", addr},
	} {
		var stderr strings.Builder
		second := start(args...)
		second.Stderr = &stderr
		err := second.Run()
		if bad, ok := errors.AsType[*exec.ExitError](err); !ok || bad.ExitCode() != 1 || strings.Count(stderr.String(), "\n") != 1 || !strings.Contains(stderr.String(), want) {
			t.Errorf("%v: %v, %q", args, err, stderr.String())
		}
	}
	if after := files(); after != before {
		t.Errorf("the state directory contained %s, and now contains %s", before, after)
	}
	nc, err := net.DialTimeout("tcp", addr, waitTimeout)
	if err != nil {
		t.Fatal("the first process does not accept connections any more: ", err)
	}
	nc.Close()
}
