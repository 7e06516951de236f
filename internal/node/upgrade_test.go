package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"harrierramp/internal/handover"
	"harrierramp/internal/ingress"
	"harrierramp/internal/testkit"
)

// platform stands in for the platform: it holds the clients' listening socket and starts processes of one node
// on it.
type platform struct {
	t          *testing.T
	discovery  *fakeDiscovery
	stateDir   string
	known      []string
	listener   *net.TCPListener
	socketFile *os.File
}

func newPlatform(t *testing.T, r *fakeDiscovery, known ...string) *platform {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &platform{t: t, discovery: r, stateDir: t.TempDir(), known: known, listener: ln.(*net.TCPListener)}
	if p.socketFile, err = p.listener.File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { errors.Join(p.socketFile.Close(), ln.Close()) })
	return p
}

func (p *platform) addr() string { return p.listener.Addr().String() }

// process is one process of the node under test.
type process struct {
	*exec.Cmd
	adminAddr string
	exited    chan struct{}
	err       error
}

// start starts a process with additional environment variables. Its admin API listens when start returns.
func (p *platform) start(env ...string) *process {
	p.t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(append(os.Environ(), "HARRIERRAMP_TEST_CHILD=upgrade", "ROUTER_STATE="+p.stateDir,
		"ROUTER_CONFIG="+writeConfig(p.t, p.addr(), p.discovery.addr(), p.known...)), env...)
	cmd.Stderr = os.Stderr
	cmd.ExtraFiles = []*os.File{p.socketFile}
	out, err := cmd.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	c := &process{Cmd: cmd, exited: make(chan struct{})}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		p.t.Fatal(err)
	}
	c.adminAddr = strings.TrimSpace(line)
	go func() {
		c.err = cmd.Wait()
		close(c.exited)
	}()
	p.t.Cleanup(func() { c.kill(p.t) })
	return c
}

// serve starts a process and waits until it is ready.
func (p *platform) serve(env ...string) *process {
	p.t.Helper()
	c := p.start(env...)
	testkit.Eventually(p.t, "the process is ready", func() bool { return c.ready(p.t) })
	return c
}

func (c *process) ready(t *testing.T) bool {
	code, _ := testkit.CallAdmin(t, c.adminAddr, "GET", "/ops/readiness")
	return code == http.StatusNoContent
}

func (c *process) kill(t *testing.T) {
	select {
	case <-c.exited:
	default:
		if err := c.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			t.Error(err)
		}
		<-c.exited
	}
}

// terminate sends SIGTERM, as the platform does, and fails the test unless the process exits without an error.
func (c *process) terminate(t *testing.T) {
	t.Helper()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-c.exited:
	case <-time.After(testkit.WaitTimeout):
		t.Fatal("the process does not exit")
	}
	if c.err != nil {
		t.Fatal(c.err)
	}
}

// upgradeMain is the main function of a child process of an upgrade test.
func upgradeMain() error {
	cfg, err := loadConfig(os.Getenv("ROUTER_CONFIG"), os.Getenv("ROUTER_STATE"))
	if err != nil {
		return err
	}
	adminLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ln, err := ingress.InheritedListener(3)
	if err != nil {
		return err
	}
	n := New(cfg, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	defer n.ServeAdmin(adminLn)()
	fmt.Println(adminLn.Addr())
	return n.Run(ctx, ln)
}

// A call is in flight and messages are open when the successor starts. The call ends in the old process and is
// counted by the new one, nothing is sent or accepted twice, and connections survive, even with a half-read
// request.
func TestUpgradeWithCallInFlight(t *testing.T) {
	t.Parallel()
	answer := make(chan struct{})
	p, r := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
		<-answer
		_, err := io.WriteString(nc, testkit.DeliveredResponse)
		return err == nil
	}), newFakeDiscovery(t)
	node := newPlatform(t, r, memberJSON("e", p.Addr(), 7, "SERVING"), memberJSON("f", "127.0.0.1:9", 8, "DRAINING"))
	old := node.serve()
	mustAnswer(t, node.addr(), testkit.EnqueueRequest("out", payoutFields, ""), "+OK")
	p.Next(t)
	mustAnswer(t, node.addr(), testkit.EnqueueRequest("held", "c=payout,d=50000,dest=8", ""), "+OK")
	idle, idleR := testkit.Dial(t, node.addr())
	testkit.MustExchange(t, idle, idleR, testkit.EncodeRESP("PING"), "+PONG")
	half, halfR := testkit.Dial(t, node.addr())
	text := testkit.EnqueueRequest("half", statusFields, "body")
	if _, err := io.WriteString(half, text[:30]); err != nil {
		t.Fatal(err)
	}

	next := node.serve()
	if old.ready(t) {
		t.Error("both processes are ready")
	}
	testkit.MustExchange(t, half, halfR, text[30:], "+OK")
	// The message was accepted before: there is no second effect.
	testkit.MustExchange(t, idle, idleR, testkit.EnqueueRequest("out", payoutFields, ""), "+OK")
	testkit.MustExchange(t, idle, idleR, testkit.EnqueueRequest("held", "c=payout,d=50000,dest=8", ""), "+OK")
	mustMetric(t, next.adminAddr, "router.active", "3|g")
	mustMetric(t, old.adminAddr, "router.active", "0|g")
	close(answer)
	if got := p.Next(t).Header.Get("X-Trace-Id"); got != "half" {
		t.Errorf("got a call for %q", got)
	}
	mustMetric(t, next.adminAddr, "router.ok.payout", "1|c")
	mustMetric(t, next.adminAddr, "router.ok.status", "1|c")
	old.terminate(t)
	testkit.MustExchange(t, idle, idleR, testkit.EncodeRESP("PING"), "+PONG")
	testkit.MustExchange(t, half, halfR, testkit.EncodeRESP("PING"), "+PONG")
	r.publish(listJSON(2, false, memberJSON("f", p.Addr(), 8, "SERVING")))
	if got := p.Next(t).Header.Get("X-Trace-Id"); got != "held" {
		t.Errorf("got a call for %q", got)
	}
	if calls, _ := p.Counts(); calls != 3 {
		t.Errorf("%d calls for 3 messages", calls)
	}
	mustMetric(t, next.adminAddr, "router.ok.payout", "2|c")
	mustMetric(t, next.adminAddr, "router.errors.payout", "0|c")
	mustMetric(t, next.adminAddr, "router.active", "0|g")
}

// Clients submit messages during several upgrades: no connection breaks, no request goes unanswered, and each
// message is delivered once.
func TestUpgradesUnderLoad(t *testing.T) {
	t.Parallel()
	p, r := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse)), newFakeDiscovery(t)
	node := newPlatform(t, r, memberJSON("e", p.Addr(), 7, "SERVING"))
	process := node.serve()
	stop := make(chan struct{})
	go func() { // the partner blocks until its calls are received here
		for {
			select {
			case <-p.Received:
			case <-t.Context().Done():
				return
			}
		}
	}()
	var load sync.WaitGroup
	sent := make([]int, 4)
	for w := range sent {
		load.Go(func() {
			nc, br := testkit.Dial(t, node.addr())
			for {
				select {
				case <-stop:
					return
				default:
				}
				if _, err := io.WriteString(nc, testkit.EnqueueRequest(fmt.Sprint(w, "-", sent[w]), payoutFields, "body")); err != nil {
					t.Error(err)
					return
				}
				switch line, err := br.ReadString('\n'); {
				case err != nil:
					t.Error(err)
					return
				case line == "+OK\r\n":
					sent[w]++
				case !strings.HasPrefix(line, "-BUSY"): // no room: the message is submitted again under the same ID
					t.Errorf("got %q", line)
				}
			}
		})
	}
	for range 3 {
		next := node.serve()
		process.terminate(t)
		process = next
	}
	close(stop)
	load.Wait()
	total := 0
	for _, n := range sent {
		total += n
	}
	mustMetric(t, process.adminAddr, "router.active", "0|g")
	testkit.Eventually(t, "all messages are delivered", func() bool { calls, _ := p.Counts(); return calls >= total })
	seen := map[string]bool{}
	p.Mu.Lock()
	defer p.Mu.Unlock()
	for _, req := range p.Calls {
		id := req.Header.Get("X-Trace-Id")
		if seen[id] {
			t.Errorf("%s was sent twice", id)
		}
		seen[id] = true
	}
	if len(seen) != total || total == 0 {
		t.Errorf("%d of %d were sent", len(seen), total)
	}
}

// Operators' overrides survive an upgrade, also a drain. Commands take effect through the admin API of either
// process.
func TestOperatorOverridesSurviveUpgrade(t *testing.T) {
	t.Parallel()
	p, r := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse)), newFakeDiscovery(t)
	node := newPlatform(t, r, memberJSON("e", p.Addr(), 7, "SERVING"))
	old := node.serve()
	testkit.MustCallAdmin(t, old.adminAddr, "PUT", "/ops/endpoints/down?id=e", 204)
	testkit.MustCallAdmin(t, old.adminAddr, "PUT", "/ops/drain/start", 204)
	next := node.serve()
	mustMetric(t, next.adminAddr, "router.pool_ejected", "1|g")
	if got := testkit.Exchange(t, node.addr(), testkit.EncodeRESP("PING")); got == "+PONG" {
		t.Error("the drain did not survive")
	}
	testkit.MustCallAdmin(t, old.adminAddr, "PUT", "/ops/endpoints/up?id=nobody", 404)
	testkit.MustCallAdmin(t, old.adminAddr, "PUT", "/ops/drain/stop", 204)
	mustAnswer(t, node.addr(), testkit.EncodeRESP("PING"), "+PONG")
	mustAnswer(t, node.addr(), testkit.EnqueueRequest("a", statusFields, ""), "+OK")
	if calls, _ := p.Counts(); calls != 0 {
		t.Errorf("%d calls to a disabled endpoint", calls)
	}
	testkit.MustCallAdmin(t, old.adminAddr, "PUT", "/ops/endpoints/up?id=e", 204)
	p.Next(t)
	old.terminate(t)
}

// The old process is killed with calls in flight, before or after the hand-over. The message that may not be
// repeated fails, the one that may is sent again, and the drain stays in effect.
func TestPredecessorKilledDuringUpgrade(t *testing.T) {
	t.Parallel()
	for _, after := range []bool{false, true} {
		t.Run(fmt.Sprint("after the handover ", after), func(t *testing.T) {
			t.Parallel()
			p, r := testkit.NewPartner(t, testkit.NeverRespond), newFakeDiscovery(t)
			node := newPlatform(t, r, memberJSON("e", p.Addr(), 7, "SERVING"))
			old := node.serve()
			mustAnswer(t, node.addr(), testkit.EnqueueRequest("unsafe", payoutFields, ""), "+OK")
			p.Next(t)
			mustAnswer(t, node.addr(), testkit.EnqueueRequest("safe", statusFields, ""), "+OK")
			p.Next(t)
			testkit.MustCallAdmin(t, old.adminAddr, "PUT", "/ops/drain/start", 204)
			var next *process
			if after {
				next = node.serve()
				old.kill(t)
			} else {
				if err := old.Process.Signal(syscall.SIGSTOP); err != nil { // a stopped process cannot hand over
					t.Fatal(err)
				}
				next = node.start()
				if next.ready(t) {
					t.Fatal("the process is ready while another one owns the node")
				}
				old.kill(t)
				testkit.Eventually(t, "the new process is ready", func() bool { return next.ready(t) })
			}
			testkit.Eventually(t, "the notice of the failure arrives", func() bool { return r.noticeState("unsafe") == "failed" })
			if got := p.Next(t).Header.Get("X-Trace-Id"); got != "safe" {
				t.Errorf("got a call for %q", got)
			}
			if got := testkit.Exchange(t, node.addr(), testkit.EncodeRESP("PING")); got == "+PONG" {
				t.Error("the drain did not survive")
			}
			mustMetric(t, next.adminAddr, "router.errors.payout", "1|c")
		})
	}
}

// The new process dies in the middle of the hand-over, or after it has served for a while: the old one serves
// again.
func TestPredecessorResumesWhenSuccessorFails(t *testing.T) {
	t.Parallel()
	p, r := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse)), newFakeDiscovery(t)
	node := newPlatform(t, r, memberJSON("e", p.Addr(), 7, "SERVING"), memberJSON("f", "127.0.0.1:9", 8, "DRAINING"))
	old := node.serve()
	mustAnswer(t, node.addr(), testkit.EnqueueRequest("a", "c=payout,d=50000,dest=8", ""), "+OK")

	// A process that takes over the state and dies at once.
	c, err := handover.Acquire(t.Context(), node.stateDir, true)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(c.Predecessor.Close(), c.Lock.Close()); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "the old process serves again", func() bool { return old.ready(t) })
	mustAnswer(t, node.addr(), testkit.EnqueueRequest("b", "c=payout,d=50000,dest=8", ""), "+OK")

	next := node.serve()
	mustAnswer(t, node.addr(), testkit.EnqueueRequest("c", payoutFields, ""), "+OK")
	p.Next(t)
	testkit.MustCallAdmin(t, next.adminAddr, "PUT", "/ops/endpoints/down?id=e", 204)
	next.kill(t)
	testkit.Eventually(t, "the old process serves again", func() bool { return old.ready(t) })
	mustAnswer(t, node.addr(), testkit.EnqueueRequest("a", "c=payout,d=50000,dest=8", ""), "+OK") // known
	mustAnswer(t, node.addr(), testkit.EnqueueRequest("d", payoutFields, ""), "+OK")              // endpoint disabled
	mustMetric(t, old.adminAddr, "router.active", "3|g")
	r.publish(listJSON(2, false, memberJSON("f", p.Addr(), 8, "SERVING")))
	seen := map[string]bool{}
	for range 2 {
		seen[p.Next(t).Header.Get("X-Trace-Id")] = true
	}
	testkit.MustCallAdmin(t, old.adminAddr, "PUT", "/ops/endpoints/up?id=e", 204)
	seen[p.Next(t).Header.Get("X-Trace-Id")] = true
	if calls, _ := p.Counts(); len(seen) != 3 || seen["c"] || calls != 4 {
		t.Errorf("delivered afterwards: %v, with %d calls", seen, calls)
	}
	old.terminate(t)
}

// The hand-over socket works in a state folder whose path is too long for a socket address.
func TestHandoverSocketWithLongStatePath(t *testing.T) {
	t.Parallel()
	dir := filepath.Join(t.TempDir(), strings.Repeat("long", 40))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	ln, err := handover.Listen(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	path, done, err := handover.SocketPath(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer done()
	nc, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	nc.Close()
}

// Another process that shares the listening socket may set it to blocking mode at any time. Accept must still
// obey deadlines and Close, and closing the listener here must not close the other process's.
func TestInheritedListenerObeysDeadlineAndClose(t *testing.T) {
	node := newPlatform(t, newFakeDiscovery(t))
	number, err := syscall.Dup(int(node.socketFile.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	setBlocking := func() { // as starting another process may do
		t.Helper()
		if err := syscall.SetNonblock(int(node.socketFile.Fd()), false); err != nil {
			t.Fatal(err)
		}
	}
	ln, err := ingress.InheritedListener(number)
	if err != nil {
		t.Fatal(err)
	}
	dial := func() {
		t.Helper()
		nc, err := net.Dial("tcp", node.addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
	}
	for range 2 {
		dial()
		setBlocking()
		nc, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		nc.Close()
	}
	failed := make(chan error)
	accept := func() {
		go func() {
			_, err := ln.Accept()
			failed <- err
		}()
		time.Sleep(50 * time.Millisecond) // time for Accept to block; if it is too short, the test only checks less
	}
	setBlocking()
	accept()
	if err := ln.(interface{ SetDeadline(time.Time) error }).SetDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v", err)
	}
	if err := ln.(interface{ SetDeadline(time.Time) error }).SetDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	accept()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %v", err)
	}
	dial() // the platform's socket is still open
}
