package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"harrierramp/internal/lab/process"
	"harrierramp/internal/lab/relay"
	"harrierramp/internal/lab/sysfault"
	"harrierramp/internal/testkit"
)

const (
	restartDelay    = 600 * time.Millisecond  // from the kill to the next start
	shutdownTimeout = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	startTimeout    = 10 * time.Second        // from the start until the node answers PING
)

// faultyNode is a real node process on loopback. The function decide determines the outcome of its system calls. The
// process can be restarted on the same state directory.
type faultyNode struct {
	t      *testing.T
	config string
	state  string
	addr   string
	log    string
	decide func(sysfault.Call) sysfault.Verdict
	ledger *faultLedger

	mu       sync.Mutex
	cmd      *exec.Cmd
	injector *sysfault.Injector
	exited   chan error
}

// newFaultyNode configures a node for the fake platform and starts it.
func newFaultyNode(t *testing.T, p *fakePlatform, state, settings string, decide func(sysfault.Call) sysfault.Verdict, l *faultLedger) *faultyNode {
	t.Helper()
	dir := t.TempDir()
	n := &faultyNode{t: t, config: filepath.Join(dir, "config.json"), state: state, addr: nodeAddress(t), log: filepath.Join(dir, "log"), decide: decide, ledger: l}
	n.configure(p.addr(), p.list(), settings)
	n.start()
	t.Cleanup(func() { n.kill() })
	return n
}

var nodeBlock = sync.OnceValues(process.ReserveBlock)

var nodeCount atomic.Int64

// nodeAddress returns an address that no other node of any test gets, so that it is still free when a node restarts.
func nodeAddress(t *testing.T) string {
	t.Helper()
	block, err := nodeBlock()
	if err != nil {
		t.Fatal(err)
	}
	return process.HostPort(block.OwnAddr(relay.Party{Kind: relay.Node, Index: int(nodeCount.Add(1))}), process.ClientPort)
}

// configure replaces the node's configuration.
func (n *faultyNode) configure(discovery, list, settings string) {
	n.t.Helper()
	text := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":128,"sockets":512,"disk_mb":3},
		"known":%s,"settings":%s}`, n.addr, discovery, list, settings)
	if err := os.WriteFile(n.config+".new", []byte(text), 0o600); err != nil {
		n.t.Fatal(err)
	}
	if err := os.Rename(n.config+".new", n.config); err != nil {
		n.t.Fatal(err)
	}
}

// start starts the process and waits until it answers PING.
func (n *faultyNode) start() {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.t.Error(err)
		return
	}
	defer log.Close()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childEnv+"=1", "ROUTER_CONFIG="+n.config, "ROUTER_STATE="+n.state, "HARRIERRAMP_LOG_LEVEL=debug",
		"GORACE=atexit_sleep_ms=0", "GOMAXPROCS=2")
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.mu.Lock()
	n.injector, err = sysfault.Start(cmd, n.decide)
	if err != nil {
		n.mu.Unlock()
		n.t.Errorf("starting the node: %v", err)
		return
	}
	ended := make(chan error, 1)
	n.cmd, n.exited = cmd, ended
	n.mu.Unlock()
	go func() { ended <- cmd.Wait() }()
	for began := time.Now(); !n.respondsToPing(); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > startTimeout {
			n.ledger.recordViolation("crash", "the node is not ready %v after its start", startTimeout)
			return
		}
		select {
		case err := <-ended:
			n.ledger.recordViolation("crash", "the node exited during its start: %v", err)
			ended <- err
			return
		default:
		}
	}
	n.ledger.recordReady()
}

func (n *faultyNode) respondsToPing() bool {
	nc, err := net.DialTimeout("tcp", n.addr, 100*time.Millisecond)
	if err != nil {
		return false
	}
	defer nc.Close()
	if nc.SetDeadline(time.Now().Add(time.Second)) != nil {
		return false
	}
	if _, err := io.WriteString(nc, testkit.EncodeRESP("PING")); err != nil {
		return false
	}
	line, err := bufio.NewReader(nc).ReadString('\n')
	return err == nil && strings.HasPrefix(line, "+PONG")
}

// submitIgnoringAnswer sends a request to a node that may be killed before it answers.
func (n *faultyNode) submitIgnoringAnswer(request string) {
	nc, err := net.Dial("tcp", n.addr)
	if err != nil {
		return
	}
	defer nc.Close()
	io.WriteString(nc, request)
	nc.SetReadDeadline(time.Now().Add(clientTimeout))
	io.Copy(io.Discard, nc)
}

// threadStates returns what each thread of the process is waiting for.
func (n *faultyNode) threadStates() string {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	if err != nil {
		return err.Error()
	}
	var b strings.Builder
	for _, task := range tasks {
		for _, file := range []string{"wchan", "syscall"} {
			text, err := os.ReadFile(filepath.Join(task, file))
			fmt.Fprintf(&b, "%s %s: %s %v\n", filepath.Base(task), file, strings.TrimSpace(string(text)), err)
		}
	}
	return b.String()
}

// kill ends the process at once.
func (n *faultyNode) kill() {
	n.mu.Lock()
	cmd, ended, injector := n.cmd, n.exited, n.injector
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Kill() // an error means that the process has already ended
	ended <- <-ended
	<-injector.Done()
}

// isRunning reports whether the process has not ended.
func (n *faultyNode) isRunning() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case err := <-n.exited:
		n.exited <- err
		return false
	default:
		return true
	}
}

func (n *faultyNode) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		n.t.Error(err)
	}
}

// restart ends the process and starts it again on the same state directory. If graceful is set, it sends SIGTERM first
// and kills the process after shutdownTimeout.
func (n *faultyNode) restart(graceful bool) {
	n.stop(graceful)
	n.start()
}

// stop ends the process, and returns when the platform starts the next one.
func (n *faultyNode) stop(graceful bool) {
	n.ledger.recordDown()
	if graceful {
		n.signal(syscall.SIGTERM)
		time.Sleep(shutdownTimeout)
	}
	n.kill()
	time.Sleep(restartDelay)
}

// fakePlatform is a stand-in for the discovery service. It serves a fixed list and accepts reports of final answers.
type fakePlatform struct {
	srv                 *httptest.Server
	ledger              *faultLedger
	members             []string
	ignoreReportsBefore atomic.Int64 // Unix time in nanoseconds; reports that arrive earlier are ignored and get no answer
}

// ignoreReportsUntil makes reports that arrive before the given time go unanswered and unrecorded.
func (p *fakePlatform) ignoreReportsUntil(until time.Time) {
	p.ignoreReportsBefore.Store(until.UnixNano())
}

func newFakePlatform(t *testing.T, l *faultLedger, members []string) *fakePlatform {
	t.Helper()
	p := &fakePlatform{ledger: l, members: members}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, p.list())
		if r.FormValue("watch") == "" {
			return
		}
		tick := time.NewTicker(2 * time.Second)
		defer tick.Stop()
		for {
			w.(http.Flusher).Flush()
			select {
			case <-tick.C:
				fmt.Fprintln(w)
			case <-r.Context().Done():
				return
			}
		}
	})
	mux.HandleFunc("POST /reports", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if time.Now().UnixNano() < p.ignoreReportsBefore.Load() {
			<-r.Context().Done() // the context ends with the connection, but only once the request body has been read
			return
		}
		lines := bufio.NewScanner(bytes.NewReader(body))
		for lines.Scan() {
			var notice struct{ ID, State string }
			if err := json.Unmarshal(lines.Bytes(), &notice); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			l.recordReport(notice.ID, notice.State)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	p.srv = httptest.NewServer(mux)
	t.Cleanup(func() {
		p.srv.CloseClientConnections()
		p.srv.Close()
	})
	return p
}

func (p *fakePlatform) addr() string { return p.srv.Listener.Addr().String() }

func (p *fakePlatform) list() string {
	return fmt.Sprintf(`{"revision":1,"complete":true,"members":[%s]}`, strings.Join(p.members, ","))
}

// member returns the list entry of an endpoint.
func member(id, addr string, dest int) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"z","flavor":"m","cell":%d,"phase":"SERVING","size":1000}`, id, addr, dest)
}

// reply is how an endpoint answers one call.
type reply int

const (
	replyDelivered reply = iota
	replySlow
	replyError
	replyRefusal
	replyReset
	replyNever
)

const slowReplyDelay = 300 * time.Millisecond

// newFaultEndpoint starts an endpoint that answers each call as choose returns, and returns its address.
func newFaultEndpoint(t *testing.T, l *faultLedger, choose func() reply) string {
	return testkit.NewPartner(t, func(nc net.Conn, req *http.Request) bool {
		id, answer := req.Header.Get("X-Trace-Id"), choose()
		l.recordCall(id, answer != replyRefusal)
		switch answer {
		case replySlow:
			time.Sleep(slowReplyDelay)
			fallthrough
		case replyDelivered:
			_, err := io.WriteString(nc, testkit.DeliveredResponse)
			if err == nil {
				l.recordDelivery(id)
			}
			return err == nil
		case replyError:
			_, err := io.WriteString(nc, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		case replyRefusal:
			_, err := io.WriteString(nc, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		case replyReset:
			nc.(*net.TCPConn).SetLinger(0)
			return false
		default:
			return testkit.NeverRespond(nc, req)
		}
	}).Addr()
}

// injectedFault is a period of a scenario in which some system calls fail.
type injectedFault struct {
	name        string
	from, to    time.Duration
	span        time.Duration // from the first call that it affects, instead of to; 0 if to is known
	decide      func(sysfault.Call, *rand.Rand) sysfault.Verdict
	struckCalls int // number of calls that the fault has affected
}

// faultSchedule decides the outcome of a node's system calls according to the faults of a scenario.
type faultSchedule struct {
	mu            sync.Mutex
	rng           *rand.Rand
	startedAt     time.Time
	faults        []*injectedFault
	killNextWrite bool // kill the process during its next write to the state directory
}

// addFault adds a fault that starts now and lasts for span.
func (s *faultSchedule) addFault(span time.Duration, decide func(sysfault.Call, *rand.Rand) sysfault.Verdict) *injectedFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := time.Since(s.startedAt)
	f := &injectedFault{from: from, to: from + span, decide: decide}
	s.faults = append(s.faults, f)
	return f
}

// addFaultFromFirstCall adds a fault that starts now and lasts for span from the first call that it affects.
func (s *faultSchedule) addFaultFromFirstCall(span time.Duration, decide func(sysfault.Call, *rand.Rand) sysfault.Verdict) *injectedFault {
	f := s.addFault(time.Hour, decide)
	s.mu.Lock()
	defer s.mu.Unlock()
	f.span = span
	return f
}

// endFault ends a fault now.
func (s *faultSchedule) endFault(f *injectedFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.to = time.Since(s.startedAt)
}

// struckCalls returns how many calls a fault has affected.
func (s *faultSchedule) struckCalls(f *injectedFault) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f.struckCalls
}

func (s *faultSchedule) decide(c sysfault.Call) sysfault.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Since(s.startedAt)
	if s.killNextWrite && isStateWrite(c) && c.Size > 1 {
		s.killNextWrite = false
		return sysfault.Verdict{MaxBytes: 1 + s.rng.IntN(c.Size-1), Kill: true}
	}
	for _, f := range s.faults {
		if at < f.from || at >= f.to {
			continue
		}
		if v := f.decide(c, s.rng); v != (sysfault.Verdict{}) {
			if f.struckCalls++; f.struckCalls == 1 && f.span > 0 {
				f.to = at + f.span
			}
			return v
		}
	}
	return sysfault.Verdict{}
}

// setKillNextWrite sets whether the process is killed in the middle of its next write to the state directory.
func (s *faultSchedule) setKillNextWrite(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killNextWrite = on
}

// stateDirectory is the name of every node's state directory. It identifies system calls on files in it.
const stateDirectory = "lasting-state"

func inStateDir(c sysfault.Call) bool { return strings.Contains(c.Path, stateDirectory) }

func isStateWrite(c sysfault.Call) bool {
	return inStateDir(c) && (c.Number == unix.SYS_WRITE || c.Number == unix.SYS_PWRITE64)
}

// failMatching returns a decision function that fails the matching calls, each with one of the errors drawn at random.
func failMatching(matches func(sysfault.Call) bool, errnos ...syscall.Errno) func(sysfault.Call, *rand.Rand) sysfault.Verdict {
	return func(c sysfault.Call, rng *rand.Rand) sysfault.Verdict {
		if !matches(c) {
			return sysfault.Verdict{}
		}
		return sysfault.Verdict{Errno: errnos[rng.IntN(len(errnos))]}
	}
}

func hasNumber(numbers ...int) func(sysfault.Call) bool {
	return func(c sysfault.Call) bool {
		for _, n := range numbers {
			if c.Number == n {
				return true
			}
		}
		return false
	}
}

func isStateCall(numbers ...int) func(sysfault.Call) bool {
	matches := hasNumber(numbers...)
	return func(c sysfault.Call) bool { return inStateDir(c) && matches(c) }
}

// tearWrites returns a decision function that cuts the first write to the state directory short and fails all later
// ones. Unless truncates is set, truncation of files fails too.
func tearWrites(truncates bool, errno syscall.Errno) func(sysfault.Call, *rand.Rand) sysfault.Verdict {
	torn := false
	return func(c sysfault.Call, rng *rand.Rand) sysfault.Verdict {
		switch {
		case isStateWrite(c) && !torn && c.Size > 1:
			torn = true
			return sysfault.Verdict{MaxBytes: c.Size - 1 - rng.IntN(c.Size/2)}
		case isStateWrite(c), !truncates && isStateCall(unix.SYS_FTRUNCATE)(c):
			return sysfault.Verdict{Errno: errno}
		}
		return sysfault.Verdict{}
	}
}

// interruptCalls fails a third of the interruptible calls with EINTR.
func interruptCalls(c sysfault.Call, rng *rand.Rand) sysfault.Verdict {
	may := c.Socket || hasNumber(unix.SYS_ACCEPT4, unix.SYS_CONNECT)(c) || isStateCall(unix.SYS_OPENAT, unix.SYS_FTRUNCATE, unix.SYS_READ,
		unix.SYS_WRITE, unix.SYS_PREAD64, unix.SYS_PWRITE64)(c)
	if may && rng.IntN(3) == 0 {
		return sysfault.Verdict{Errno: syscall.EINTR}
	}
	return sysfault.Verdict{}
}

// shortenTransfers makes half of the reads and writes transfer only a part of the requested bytes.
func shortenTransfers(c sysfault.Call, rng *rand.Rand) sysfault.Verdict {
	if (c.Socket || inStateDir(c)) && c.Size > 1 && rng.IntN(2) == 0 {
		return sysfault.Verdict{MaxBytes: 1 + rng.IntN(min(c.Size-1, 64))}
	}
	return sysfault.Verdict{}
}

// failWithoutMemory fails a third of the reads and writes on sockets for lack of memory or buffers.
func failWithoutMemory(c sysfault.Call, rng *rand.Rand) sysfault.Verdict {
	if !c.Socket || rng.IntN(3) > 0 {
		return sysfault.Verdict{}
	}
	if c.Number == unix.SYS_WRITE {
		return sysfault.Verdict{Errno: syscall.ENOBUFS}
	}
	return sysfault.Verdict{Errno: syscall.ENOMEM}
}
