package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"harrierramp/internal/config"
	"harrierramp/internal/ingress"
	"harrierramp/internal/journal"
	"harrierramp/internal/testkit"
)

func openJournalAt(t *testing.T, dir string) *journal.Journal {
	t.Helper()
	j, err := journal.Open(dir, 3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.Close() })
	return j
}

func flushJournal(t *testing.T, j *journal.Journal) {
	t.Helper()
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
}

// fakeDiscovery is discovery on a loopback socket. It sends lists to all watchers and stores notices.
type fakeDiscovery struct {
	srv *httptest.Server

	mu            sync.Mutex
	lists         []string
	listAdded     chan struct{} // closed when lists grows
	watches       int
	posts         int
	refusePosts   int // number of posts of notices to answer with 503
	notices       []map[string]any
	watchCtx      context.Context // ends the open watches when cancelled
	cancelWatches context.CancelFunc
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	r := &fakeDiscovery{listAdded: make(chan struct{})}
	r.watchCtx, r.cancelWatches = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		r.watches++
		cut := r.watchCtx
		r.mu.Unlock()
		for sent := 0; ; {
			r.mu.Lock()
			news, more := r.lists[sent:], r.listAdded
			sent = len(r.lists)
			r.mu.Unlock()
			for _, l := range news {
				fmt.Fprintf(w, "%s\n\n", l)
			}
			w.(http.Flusher).Flush()
			select {
			case <-more:
			case <-cut.Done():
				return
			case <-req.Context().Done():
				return
			}
		}
	})
	mux.HandleFunc("POST /reports", func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.posts++
		if r.posts <= r.refusePosts {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		lines := bufio.NewScanner(req.Body)
		for lines.Scan() {
			var n map[string]any
			if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			r.notices = append(r.notices, n)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	r.srv = httptest.NewServer(mux)
	t.Cleanup(func() {
		r.cancelWatches()
		r.srv.CloseClientConnections()
		r.srv.Close()
	})
	return r
}

func (r *fakeDiscovery) addr() string { return r.srv.Listener.Addr().String() }

func (r *fakeDiscovery) publish(l string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists = append(r.lists, l)
	close(r.listAdded)
	r.listAdded = make(chan struct{})
}

// noticeState returns the state of a message according to its notice, or "" if there was no notice yet.
func (r *fakeDiscovery) noticeState(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.notices {
		if n["id"] == id {
			return n["state"].(string)
		}
	}
	return ""
}

func listJSON(revision int, complete bool, members ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

func memberJSON(id, addr string, dest int, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"z","flavor":"m","cell":%d,"phase":%q,"size":1000}`, id, addr, dest, phase)
}

const testSettings = `{"fleetSize":1,"categories":[
	{"name":"status","effect":"idempotent","group":"all","aim":4000,"deadline":60000,"worth":1,"lateWorth":0.3,"window":5000},
	{"name":"order","effect":"deduplicated","group":"all","aim":4000,"deadline":60000,"worth":1,"lateWorth":0.3,"window":60000},
	{"name":"payout","effect":"at_most_once","group":"all","aim":4000,"deadline":60000,"worth":1,"lateWorth":0.3,"window":5000}],
	"contract":{"coldFrom":0.29,"fall":2000,"fallMultiple":1.5,"graceToAnswer":20,"stopSendingWithin":250,"warmWithin":11000},
	"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":8},
	"failureDomains":["z"],"flavors":["m"],
	"limits":{"cancel":true,"connIdle":5000,"dialTimeout":1000,"maxAttempts":12,"maxOpen":4,"maxRetryAfter":3000,"mayDuplicate":true,"retryAfter":true},
	"tick":5,"weights":"rough"}`

// loadConfig reads a configuration as a node does that the platform starts.
func loadConfig(path, state string) (config.Config, error) {
	l, err := config.Load(config.Sources{File: path, Env: func(name string) string {
		if name == "ROUTER_STATE" {
			return state
		}
		return os.Getenv(name)
	}})
	if err != nil {
		return config.Config{}, err
	}
	return l.Config, nil
}

// writeConfig writes a node's configuration and returns its path.
func writeConfig(t *testing.T, listen, discovery string, known ...string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":256,"disk_mb":3},"known":%s,"settings":%s}`,
		listen, discovery, listJSON(1, true, known...), testSettings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startNode runs a node in this process until the test ends or stop is called.
func startNode(t *testing.T, r *fakeDiscovery, state string, known ...string) (addr string, stop func()) {
	t.Helper()
	addr, _, stop = startNodeWithAdmin(t, r, state, known...)
	return addr, stop
}

// startNodeWithAdmin does the same and also returns the address of the admin API.
func startNodeWithAdmin(t *testing.T, r *fakeDiscovery, state string, known ...string) (addr, adminAddr string, stop func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	adminLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr, adminAddr = ln.Addr().String(), adminLn.Addr().String()
	cfg, err := loadConfig(writeConfig(t, addr, r.addr(), known...), state)
	if err != nil {
		t.Fatal(err)
	}
	n := New(cfg, slog.New(slog.DiscardHandler))
	stopAdmin := n.ServeAdmin(adminLn)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx, ln) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		stopAdmin()
	})
	t.Cleanup(stop)
	testkit.Eventually(t, "the node serves", func() bool { return n.NotReadyReason() == "" })
	return addr, adminAddr, stop
}

const statusFields, orderFields, payoutFields = "c=status,d=50000,dest=7", "c=order,d=50000,dest=7,k=key", "c=payout,d=50000,dest=7"

func mustAnswer(t *testing.T, addr, text, want string) {
	t.Helper()
	if got := testkit.Exchange(t, addr, text); got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}

// The sender lowers the worth of messages beyond a tenant's share, so it must know the tenant, also after a
// restart.
func TestTenantReachesSenderAlsoAfterRestart(t *testing.T) {
	q := ingress.Request{ID: "a", Tenant: 1, Dest: 7, TTL: 50 * time.Second, ReceivedAt: time.Now()}
	state := t.TempDir()
	n := &Node{journal: openJournalAt(t, state), messages: map[string]*journal.Message{}, knownDests: map[int]bool{7: true}, clockStart: time.Now()}
	if refusal, ok := n.accept(submission{Request: q}); !ok {
		t.Fatalf("got %+v", refusal)
	}
	flushJournal(t, n.journal)
	if got := n.arrivedEvent(n.messages["a"], time.Now()).Tenant; got != 1 {
		t.Errorf("tenant %d", got)
	}
	for _, p := range openJournalAt(t, state).Unsettled() {
		if got := n.resumedEvent(p).Tenant; got != 1 {
			t.Errorf("tenant %d after a restart", got)
		}
	}
}

func TestDeliveredMessageLeavesJournal(t *testing.T) {
	t.Parallel()
	p, state := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse)), t.TempDir()
	r := newFakeDiscovery(t)
	addr, stop := startNode(t, r, state, memberJSON("e", p.Addr(), 7, "SERVING"))
	mustAnswer(t, addr, testkit.EncodeRESP("PING"), "+PONG")
	mustAnswer(t, addr, testkit.EnqueueRequest("a", orderFields, "body"), "+OK")
	if req := p.Next(t); req.Header.Get("X-Trace-Id") != "a" || req.Header.Get("Idempotency-Key") != "key" {
		t.Errorf("got %v", req.Header)
	}
	if got := testkit.Exchange(t, addr, testkit.EnqueueRequest("b", "c=status,d=5000,dest=99", "")); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("an unknown destination: %q", got)
	}
	stop()
	if j := openJournalAt(t, state); len(j.Unsettled()) != 0 {
		t.Errorf("%d in the journal after delivery", len(j.Unsettled()))
	}
}

// drainingMember is a list member that makes destination 7 known without an endpoint that gets calls.
func drainingMember() string { return memberJSON("e0", "127.0.0.1:9", 7, "DRAINING") }

func TestDuplicateIsAcceptedOnceAndOpenMessagesAreBounded(t *testing.T) {
	t.Parallel()
	p, r := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse)), newFakeDiscovery(t)
	addr, _ := startNode(t, r, t.TempDir(), drainingMember())
	mustAnswer(t, addr, testkit.EnqueueRequest("a", statusFields, "x"), "+OK")
	mustAnswer(t, addr, testkit.EnqueueRequest("a", statusFields, "x"), "+OK") // a duplicate of the same message
	answers := map[string]int{}
	for i := range 6 {
		answers[strings.Fields(testkit.Exchange(t, addr, testkit.EnqueueRequest("m"+strconv.Itoa(i), statusFields, "x")))[0]]++
	}
	if answers["-BUSY"] < 3 || answers["+OK"] < 1 { // at most four messages may be open
		t.Errorf("got %v", answers)
	}
	r.publish(listJSON(2, false, memberJSON("e", p.Addr(), 7, "SERVING")))
	seen := map[string]int{}
	for range 1 + answers["+OK"] {
		seen[p.Next(t).Header.Get("X-Trace-Id")]++
	}
	if len(seen) != 1+answers["+OK"] {
		t.Errorf("got %v", seen)
	}
}

func TestDrainingOrUnlistedEndpointGetsNoCalls(t *testing.T) {
	t.Parallel()
	first, second, r := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse)), testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse)), newFakeDiscovery(t)
	addr, _ := startNode(t, r, t.TempDir(), memberJSON("e1", first.Addr(), 7, "SERVING"))
	mustAnswer(t, addr, testkit.EnqueueRequest("a", statusFields, ""), "+OK")
	first.Next(t)
	for i, l := range []string{
		listJSON(2, false, memberJSON("e1", first.Addr(), 7, "DRAINING"), memberJSON("e2", second.Addr(), 7, "SERVING")),
		listJSON(3, true, memberJSON("e1", first.Addr(), 7, "SERVING")), // e2 is not in it, and so removed
	} {
		from, other := []*testkit.Partner{second, first}[i], []*testkit.Partner{first, second}[i]
		before, _ := other.Counts()
		r.publish(l)
		sentOn := func() bool {
			// Calls to the old endpoint are right until the new list is in force. After the first call to the
			// new endpoint there must be no more.
			mustAnswer(t, addr, testkit.EnqueueRequest(fmt.Sprintf("m%d", time.Now().UnixNano()), statusFields, ""), "+OK")
			select {
			case <-from.Received:
				return true
			case <-other.Received:
				return false
			case <-time.After(testkit.WaitTimeout):
				t.Fatal("no call came")
				return false
			}
		}
		testkit.Eventually(t, "the new list is in force", sentOn)
		after, _ := other.Counts()
		for range 5 {
			if !sentOn() {
				t.Error("a call went to an endpoint that is draining or removed")
			}
		}
		if now, _ := other.Counts(); now != after || before > after {
			t.Errorf("%d calls to the old endpoint", now-after)
		}
	}
}

func TestRetryAfterIsHonored(t *testing.T) {
	t.Parallel()
	const retryAfter = 700 * time.Millisecond
	var mu sync.Mutex
	var answeredAt time.Time
	p := testkit.NewPartner(t, func(nc net.Conn, _ *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if answeredAt.IsZero() {
			io.WriteString(nc, "HTTP/1.1 429 No\r\nRetry-After: 0.7\r\nContent-Length: 0\r\n\r\n")
			answeredAt = time.Now()
			return true
		}
		if early := retryAfter - time.Since(answeredAt); early > 0 {
			t.Errorf("a call arrived %v before the end of Retry-After", early)
		}
		return testkit.RespondWith(testkit.DeliveredResponse)(nc, nil)
	})
	r := newFakeDiscovery(t)
	addr, _ := startNode(t, r, t.TempDir(), memberJSON("e", p.Addr(), 7, "SERVING"))
	mustAnswer(t, addr, testkit.EnqueueRequest("a", payoutFields, ""), "+OK")
	p.Next(t)
	time.Sleep(100 * time.Millisecond) // calls that cross the response are tolerated for this long
	mustAnswer(t, addr, testkit.EnqueueRequest("b", statusFields, ""), "+OK")
	p.Next(t)
	p.Next(t)
}

func TestNodeServesThroughDiscoveryOutage(t *testing.T) {
	t.Parallel()
	p, r := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse)), newFakeDiscovery(t)
	addr, _ := startNode(t, r, t.TempDir(), drainingMember())
	watching := func(least int) func() bool {
		return func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.watches >= least
		}
	}
	testkit.Eventually(t, "a watch", watching(1))
	mustAnswer(t, addr, testkit.EnqueueRequest("a", statusFields, ""), "+OK") // the node works without discovery
	r.mu.Lock()
	r.cancelWatches()
	r.watchCtx, r.cancelWatches = context.WithCancel(context.Background())
	r.mu.Unlock()
	testkit.Eventually(t, "a new watch is opened", watching(2))
	r.publish(listJSON(2, true, memberJSON("e", p.Addr(), 7, "SERVING")))
	p.Next(t)
}

func TestNoticeIsRetriedUntilAccepted(t *testing.T) {
	t.Parallel()
	p, r := testkit.NewPartner(t, testkit.RespondWith("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")), newFakeDiscovery(t)
	r.refusePosts = 2
	state := t.TempDir()
	addr, stop := startNode(t, r, state, memberJSON("e", p.Addr(), 7, "SERVING"), memberJSON("h", "127.0.0.1:9", 8, "DRAINING"))
	mustAnswer(t, addr, testkit.EnqueueRequest("unsafe", payoutFields, ""), "+OK") // it may have been executed: failed
	mustAnswer(t, addr, testkit.EnqueueRequest("short", "c=status,d=300,dest=8", ""), "+OK")
	testkit.Eventually(t, "the notice of a failure", func() bool { return r.noticeState("unsafe") == "failed" })
	testkit.Eventually(t, "the notice of a refusal", func() bool { return r.noticeState("short") == "returned" })
	stop()
	if calls, _ := p.Counts(); calls != 1 {
		t.Errorf("%d calls", calls)
	}
	if j := openJournalAt(t, state); len(j.Unsettled()) != 0 {
		t.Errorf("%d in the journal after their notices", len(j.Unsettled()))
	}
}

// TestMain runs a node if a test has started this binary as a child process, and the tests otherwise.
func TestMain(m *testing.M) {
	child := childMain
	switch os.Getenv("HARRIERRAMP_TEST_CHILD") {
	case "":
		os.Exit(m.Run())
	case "upgrade":
		child = upgradeMain
	}
	if err := child(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func childMain() error {
	cfg, err := loadConfig(os.Getenv("ROUTER_CONFIG"), os.Getenv("ROUTER_STATE"))
	if err != nil {
		return err
	}
	n := New(cfg, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr()) // the parent reads the address from stdout
	ctx, cancel := context.WithCancel(context.Background())
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	go func() {
		<-term
		cancel()
	}()
	return n.Run(ctx, ln)
}

type childNode struct {
	cmd  *exec.Cmd
	addr string
}

func startChild(t *testing.T, r *fakeDiscovery, state string, known ...string) *childNode {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "HARRIERRAMP_TEST_CHILD=1", "ROUTER_STATE="+state,
		"ROUTER_CONFIG="+writeConfig(t, "127.0.0.1:0", r.addr(), known...))
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	c := &childNode{cmd, strings.TrimSpace(addr)}
	mustAnswer(t, c.addr, testkit.EncodeRESP("PING"), "+PONG")
	return c
}

func (c *childNode) kill(t *testing.T) {
	t.Helper()
	if err := c.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	c.cmd.Wait() // the error is that it was killed
}

// The process is killed with one call of each effect in flight. The next process delivers the messages that may
// be repeated, and fails the one that may not without another call.
func TestKillWithCallsInFlight(t *testing.T) {
	t.Parallel()
	p, r, state := testkit.NewPartner(t, testkit.NeverRespond), newFakeDiscovery(t), t.TempDir()
	known := memberJSON("e", p.Addr(), 7, "SERVING")
	c := startChild(t, r, state, known)
	for id, fields := range map[string]string{"safe": statusFields, "keyed": orderFields, "unsafe": payoutFields} {
		mustAnswer(t, c.addr, testkit.EnqueueRequest(id, fields, "body of "+id), "+OK")
		if got := p.Next(t).Header.Get("X-Trace-Id"); got != id {
			t.Fatalf("got a call for %q", got)
		}
	}
	c.kill(t)

	q := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse))
	startChild(t, r, state, memberJSON("e", q.Addr(), 7, "SERVING"))
	seen := map[string]string{}
	for range 2 {
		req := q.Next(t)
		seen[req.Header.Get("X-Trace-Id")] = req.Header.Get("Idempotency-Key")
	}
	if key, ok := seen["keyed"]; !ok || key != "key" || len(seen) != 2 {
		t.Errorf("delivered: %v", seen)
	}
	testkit.Eventually(t, "the unsafe one fails", func() bool { return r.noticeState("unsafe") == "failed" })
	if calls, _ := q.Counts(); calls != 2 {
		t.Errorf("%d calls", calls)
	}
}

// The process is killed before any call: messages of all three effects are then delivered once each.
func TestKillBeforeFirstAttempt(t *testing.T) {
	t.Parallel()
	p, r, state := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse)), newFakeDiscovery(t), t.TempDir()
	c := startChild(t, r, state, drainingMember())
	ids := []string{"safe", "keyed", "unsafe"}
	for i, fields := range []string{statusFields, orderFields, payoutFields} {
		mustAnswer(t, c.addr, testkit.EnqueueRequest(ids[i], fields, ""), "+OK")
	}
	c.kill(t)
	c = startChild(t, r, state, drainingMember())
	// A repeated submission has no effect.
	mustAnswer(t, c.addr, testkit.EnqueueRequest("safe", statusFields, ""), "+OK")
	c.kill(t)
	startChild(t, r, state, memberJSON("e", p.Addr(), 7, "SERVING"))
	seen := map[string]int{}
	for range ids {
		seen[p.Next(t).Header.Get("X-Trace-Id")]++
	}
	if len(seen) != 3 {
		t.Errorf("got %v", seen)
	}
	if calls, _ := p.Counts(); calls != 3 {
		t.Errorf("%d calls", calls)
	}
}

// The node starts on a journal as a kill leaves it after each kind of record, for each effect.
func TestRestartAfterEachJournalRecord(t *testing.T) {
	t.Parallel()
	for class, name := range []string{"safe", "keyed", "unsafe"} {
		for point, records := range []string{"accepted", "attempt", "not run", "ended"} {
			t.Run(name+" "+records, func(t *testing.T) {
				t.Parallel()
				p, r, state := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse)), newFakeDiscovery(t), t.TempDir()
				j := openJournalAt(t, state)
				m, err := j.Accept(&journal.Message{ID: "a", Key: "k", Class: class, Dest: 7, Deadline: time.Now().Add(50 * time.Second)})
				if err != nil {
					t.Fatal(err)
				}
				for i, write := range []func(){
					func() { j.RecordAttempt(m, journal.Attempt{At: time.Now()}) }, func() { j.RecordNotExecuted(m, 0) },
					func() { j.RecordEnded(m, journal.Ending{RetryAfter: time.Second}) },
				} {
					if i < point {
						write()
					}
				}
				flushJournal(t, j)
				startNode(t, r, state, memberJSON("e", p.Addr(), 7, "SERVING"))
				switch {
				case records == "ended":
					testkit.Eventually(t, "the outstanding notice", func() bool { return r.noticeState("a") == "returned" })
				case name == "unsafe" && records == "attempt":
					testkit.Eventually(t, "the failure", func() bool { return r.noticeState("a") == "failed" })
				default:
					p.Next(t)
					return
				}
				if calls, _ := p.Counts(); calls != 0 {
					t.Errorf("%d calls", calls)
				}
			})
		}
	}
}

// After a restart the sender must learn that a destination had failed before. Otherwise it would send the whole
// backlog to a destination that has just come back and is cold. A call that was merely in flight at the kill
// does not count as a failure.
func TestFailedAttemptsAreKnownAfterRestart(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name            string
		write           func(j *journal.Journal, p *journal.Message)
		failed, touched bool
	}{
		{"out at the kill", func(*journal.Journal, *journal.Message) {}, false, true},
		{"timed out", func(j *journal.Journal, p *journal.Message) { j.RecordFailed(p, 0) }, true, true},
		{"refused", func(j *journal.Journal, p *journal.Message) { j.RecordNotExecuted(p, 0) }, true, false},
	} {
		dir := t.TempDir()
		j := openJournalAt(t, dir)
		m, err := j.Accept(&journal.Message{ID: "a", Class: 1, Dest: 7, Deadline: time.Now()})
		if err != nil {
			t.Fatal(err)
		}
		j.RecordAttempt(m, journal.Attempt{At: time.Now()})
		c.write(j, m)
		flushJournal(t, j)
		n := &Node{clockStart: time.Now()}
		for _, p := range openJournalAt(t, dir).Unsettled() {
			r := n.resumedEvent(p)
			if r.Failed != c.failed || r.MayHaveRun != c.touched || r.Attempts != 1 || (r.MayHaveRun && r.FirstRunSentAt > n.now()) {
				t.Errorf("%s: got %+v", c.name, r)
			}
		}
	}
}

func TestExpiredDeadlineOrWindowEndsMessageAtRestart(t *testing.T) {
	t.Parallel()
	p, r, state := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse)), newFakeDiscovery(t), t.TempDir()
	j := openJournalAt(t, state)
	late, err := j.Accept(&journal.Message{ID: "late", Class: 0, Dest: 7, Deadline: time.Now().Add(-time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	pastWindow, err := j.Accept(&journal.Message{ID: "forgotten", Key: "k", Class: 1, Dest: 7, Deadline: time.Now().Add(time.Minute)})
	if err != nil {
		t.Fatal(err)
	}
	j.RecordAttempt(late, journal.Attempt{At: time.Now().Add(-time.Minute)})
	// The deduplication window is one minute.
	j.RecordAttempt(pastWindow, journal.Attempt{At: time.Now().Add(-2 * time.Minute)})
	flushJournal(t, j)
	startNode(t, r, state, memberJSON("e", p.Addr(), 7, "SERVING"))
	testkit.Eventually(t, "the message past its deadline ends", func() bool { return r.noticeState("late") == "returned" })
	testkit.Eventually(t, "the message past its deduplication window ends", func() bool { return r.noticeState("forgotten") == "failed" })
	if calls, _ := p.Counts(); calls != 0 {
		t.Errorf("%d calls", calls)
	}
}

// After SIGTERM clients are still answered, the process exits without error by itself, and the next process
// delivers the messages that were open.
func TestSIGTERMAnswersClientsAndKeepsMessages(t *testing.T) {
	t.Parallel()
	p, r, state := testkit.NewPartner(t, testkit.RespondWith(testkit.DeliveredResponse)), newFakeDiscovery(t), t.TempDir()
	c := startChild(t, r, state, drainingMember())
	nc, br := testkit.Dial(t, c.addr)
	if err := c.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	// On a connection from before the signal.
	for _, m := range []string{testkit.EnqueueRequest("a", statusFields, ""), testkit.EnqueueRequest("b", payoutFields, "")} {
		if _, err := io.WriteString(nc, m); err != nil {
			t.Fatal(err)
		}
		if line, err := br.ReadString('\n'); line != "+OK\r\n" {
			t.Fatalf("got %q, %v", line, err)
		}
	}
	mustAnswer(t, c.addr, testkit.EnqueueRequest("c", orderFields, ""), "+OK") // on a new connection
	if err := c.cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	startChild(t, r, state, memberJSON("e", p.Addr(), 7, "SERVING"))
	seen := map[string]bool{}
	for range 3 {
		seen[p.Next(t).Header.Get("X-Trace-Id")] = true
	}
	if len(seen) != 3 {
		t.Errorf("got %v", seen)
	}
}
