package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"harrierramp/internal/journal"
	"harrierramp/internal/testkit"
)

// drainingEndpointList is a list whose only endpoint is draining, so that messages for it stay queued.
const drainingEndpointList = `{"revision":41,"complete":true,"members":[{"id":"e","host_port":"127.0.0.1:9","locality":"z","flavor":"m","cell":7,"phase":"DRAINING","size":1}]}`

// stoppingNode is a node, started as the platform does it, which the test tells to shut down.
type stoppingNode struct {
	cmd        *exec.Cmd
	addr       string
	state      string
	configPath string
	exited     chan error
}

func newStoppingNode(t *testing.T, d *fakeDiscovery) *stoppingNode {
	t.Helper()
	l := &stoppingNode{state: t.TempDir(), configPath: filepath.Join(t.TempDir(), "config.json"), exited: make(chan error, 1)}
	writeConfig(t, l.configPath, d.Listener.Addr().String())
	l.cmd = exec.Command(os.Args[0])
	l.cmd.Env = append(os.Environ(), childEnv+"=1", "ROUTER_CONFIG="+l.configPath, "ROUTER_STATE="+l.state,
		"GORACE=atexit_sleep_ms=0") // otherwise the race detector sleeps for a second at the exit
	log, err := l.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := l.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewReader(log)
	line, err := lines.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	_, l.addr, _ = strings.Cut(strings.TrimSpace(line), " addr=")
	go func() {
		io.Copy(io.Discard, lines)
		l.exited <- l.cmd.Wait()
	}()
	t.Cleanup(func() { l.cmd.Process.Kill() })
	for end := time.Now().Add(waitTimeout); testkit.Exchange(t, l.addr, enqueueFor("first", 60000)) != "+OK"; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no message is accepted within waitTimeout")
		}
	}
	return l
}

func enqueueFor(id string, ms int) string {
	return testkit.EnqueueRequest(id, fmt.Sprintf("c=status,d=%d,dest=7", ms), "b")
}

func (l *stoppingNode) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := l.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// awaitExit waits for the process to end. It must end without an error and before the platform would send SIGKILL.
func (l *stoppingNode) awaitExit(t *testing.T, signaled time.Time) {
	t.Helper()
	select {
	case err := <-l.exited:
		if took := time.Since(signaled); err != nil || took > 3700*time.Millisecond {
			t.Errorf("the process ended %v after the signal with error %v, want no error within 3.7 s", took, err)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the process does not end within waitTimeout")
	}
}

// owedMessages returns the IDs of the messages that the journal holds for the next start.
func (l *stoppingNode) owedMessages(t *testing.T) map[string]bool {
	t.Helper()
	j, err := journal.Read(l.state)
	if err != nil {
		t.Fatal(err)
	}
	ids := map[string]bool{}
	for _, m := range j.Unsettled {
		if m.Ended == nil {
			ids[m.ID] = true
		}
	}
	return ids
}

// While a node shuts down, a second SIGTERM has no effect, a new configuration is applied, clients are answered, and
// notices of messages that end meanwhile go to the new address.
func TestSignalsDuringShutdown(t *testing.T) {
	t.Parallel()
	before, after := newFakeDiscovery(t, drainingEndpointList), newFakeDiscovery(t, "")
	l := newStoppingNode(t, before)
	nc, br := testkit.Dial(t, l.addr)
	testkit.MustExchange(t, nc, br, enqueueFor("short", 1500), "+OK")
	signaled := time.Now()
	l.signal(t, syscall.SIGTERM)
	testkit.MustExchange(t, nc, br, enqueueFor("second", 60000), "+OK")
	writeConfig(t, l.configPath, after.Listener.Addr().String())
	l.signal(t, syscall.SIGHUP)
	l.signal(t, syscall.SIGTERM)
	receive(t, "a watch at the new address", after.watches)
	testkit.MustExchange(t, nc, br, enqueueFor("third", 60000), "+OK")
	if got := receive(t, "the notice", after.notices); !strings.Contains(got, `"id":"short"`) {
		t.Errorf("the notice is %q", got)
	}
	l.awaitExit(t, signaled)
	if owed := l.owedMessages(t); len(owed) != 3 || !owed["first"] || !owed["second"] || !owed["third"] {
		t.Errorf("the journal holds %v for the next start, want first, second and third", owed)
	}
}

// Guards against resets and lost messages when a shutting-down node is not scheduled at the moment when it should close
// its clients' connections. It then finds unread requests on all connections together with the expired timer, in any
// order. Each client must read an answer or an end of stream, never a reset, and the journal must hold exactly the
// messages that were accepted.
func TestUnreadRequestsAtShutdownAreNotReset(t *testing.T) {
	t.Parallel()
	for _, kill := range []bool{false, true} {
		l := newStoppingNode(t, newFakeDiscovery(t, drainingEndpointList))
		var conns []net.Conn
		var readers []*bufio.Reader
		for range 20 {
			nc, br := testkit.Dial(t, l.addr)
			testkit.MustExchange(t, nc, br, testkit.EncodeRESP("PING"), "+PONG")
			conns, readers = append(conns, nc), append(readers, br)
		}
		signaled := time.Now()
		l.signal(t, syscall.SIGTERM)
		time.Sleep(time.Until(signaled.Add(2500 * time.Millisecond))) // the node closes connections 2.7 s after the signal
		l.signal(t, syscall.SIGSTOP)
		for i, nc := range conns {
			if _, err := io.WriteString(nc, enqueueFor(fmt.Sprint("late", i), 60000)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Until(signaled.Add(2900 * time.Millisecond)))
		if kill {
			l.signal(t, syscall.SIGKILL)
		} else {
			l.signal(t, syscall.SIGCONT)
		}
		answered := map[string]bool{}
		for i, br := range readers {
			text, err := io.ReadAll(br)
			if err != nil && !kill { // after a kill, the system resets connections with unread requests
				t.Errorf("connection %d: %v", i, err)
			}
			if string(text) == "+OK\r\n" {
				answered[fmt.Sprint("late", i)] = true
			}
		}
		if kill {
			<-l.exited
		} else {
			l.awaitExit(t, signaled)
		}
		owed := l.owedMessages(t)
		for id := range answered {
			if !owed[id] {
				t.Errorf("%s was accepted, but is missing from the journal", id)
			}
		}
		for id := range owed {
			if strings.HasPrefix(id, "late") && !answered[id] && !kill {
				t.Errorf("%s was not answered, but is in the journal", id)
			}
		}
	}
}
