// Package demo runs a small fleet on loopback for a demonstration: a list service, three nodes, stand-in partners with
// limits, and a few seconds of traffic, during which one partner refuses calls and then recovers. It starts its own
// processes and ends only those.
package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"harrierramp/internal/client"
	"harrierramp/internal/partner"
)

// Options configures the demonstration. Zero values mean the defaults.
type Options struct {
	Program         string        // executable of the nodes; this one if empty
	TrafficDuration time.Duration // of the traffic; 6 s by default, 1 min at most
	Rate            float64       // messages per second at each node; 40 by default, 500 at most
	Out             io.Writer     // for the report
	Log             io.Writer     // for the logs of the processes; nil to drop them
}

const (
	nodeCount     = 3
	messageTTL    = 8 * time.Second
	startTimeout  = 10 * time.Second
	settleTimeout = messageTTL + 5*time.Second // until the last message is settled
	stopTimeout   = 5 * time.Second            // for a process to exit after SIGTERM
)

// Result counts the messages by outcome.
type Result struct {
	Submitted, Accepted, Refused, Delivered, Returned, Failed, Lost, Repeated int
	FirstDelivered                                                            time.Duration // since the start
}

// fleet is the processes and partners of one demonstration.
type fleet struct {
	Options
	startedAt  time.Time
	listAddr   string   // address of the list service
	nodeAddrs  []string // client addresses of the nodes
	adminAddrs []string
	ledger     *partner.Ledger
	partners   []*partner.Partner
	processes  []*exec.Cmd
	logCopiers sync.WaitGroup
}

// Run runs the demonstration and prints a table of the results.
func Run(ctx context.Context, o Options) (r Result, err error) {
	if o.TrafficDuration <= 0 || o.TrafficDuration > time.Minute {
		o.TrafficDuration = 6 * time.Second
	}
	if o.Rate <= 0 || o.Rate > 500 {
		o.Rate = 40
	}
	if o.Program == "" {
		if o.Program, err = os.Executable(); err != nil {
			return r, fmt.Errorf("demo: %w", err)
		}
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	f := &fleet{Options: o, startedAt: time.Now(), ledger: partner.NewLedger()}
	dir, err := os.MkdirTemp("", "harrierramp-demo-")
	if err != nil {
		return r, fmt.Errorf("demo: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	var leases sync.WaitGroup
	defer func() {
		cancel()
		leases.Wait()
		err = errors.Join(err, f.close(), os.RemoveAll(dir))
	}()
	if err := f.start(ctx, dir, &leases); err != nil {
		return r, fmt.Errorf("demo: %w", err)
	}
	r, err = f.runTraffic(ctx)
	if err != nil {
		return r, fmt.Errorf("demo: %w", err)
	}
	return r, f.printTable(r)
}

// start starts the list service, the partners and the nodes, and waits until the nodes are ready.
func (f *fleet) start(ctx context.Context, dir string, leases *sync.WaitGroup) error {
	free, err := freeAddrs(2*nodeCount + 1)
	if err != nil {
		return err
	}
	f.listAddr, f.nodeAddrs, f.adminAddrs = free[0], free[1:nodeCount+1], free[nodeCount+1:]
	listDir := filepath.Join(dir, "list")
	if err := os.Mkdir(listDir, 0o700); err != nil {
		return err
	}
	if err := f.startProcess("registry", "--state", listDir, "--listen", f.listAddr, "--bootstrap", "--log-level", "warn"); err != nil {
		return err
	}
	fmt.Fprintf(f.Out, "list service at %s\n", f.listAddr)
	for i, cfg := range []partner.Config{
		{ID: "portal-1", Latency: 20 * time.Millisecond},
		{ID: "portal-2", Latency: 40 * time.Millisecond},
		{ID: "office-1", Rate: 25, Burst: 5, Latency: 60 * time.Millisecond},
		{ID: "office-2", Latency: 30 * time.Millisecond},
	} {
		p, err := partner.Start(cfg, f.ledger)
		if err != nil {
			return err
		}
		f.partners = append(f.partners, p)
		dest := max(0, i-1) // the two portals are endpoints of the same destination
		leases.Go(func() {
			partner.KeepRegistered(ctx, http.DefaultClient, []string{f.listAddr}, partner.Instance{
				ID: cfg.ID, Addr: p.Addr(), Zone: "a", Kind: "partner", Dest: dest, Size: 1,
			})
		})
		fmt.Fprintf(f.Out, "partner %s at %s accepts messages for destination %d\n", cfg.ID, p.Addr(), dest)
	}
	for i, addr := range f.nodeAddrs {
		name := fmt.Sprintf("n%d", i+1)
		state := filepath.Join(dir, name)
		file := state + ".toml"
		if err := errors.Join(os.Mkdir(state, 0o700), os.WriteFile(file, []byte(nodeConfig(name, addr, f.adminAddrs[i], f.listAddr, state)), 0o600)); err != nil {
			return err
		}
		if err := f.startProcess("serve", "--config", file); err != nil {
			return err
		}
	}
	for i, addr := range f.nodeAddrs {
		for end := time.Now().Add(startTimeout); !f.isReady(ctx, f.adminAddrs[i]); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("node n%d at %s is not ready", i+1, addr)
			}
		}
		fmt.Fprintf(f.Out, "node n%d at %s, admin API at %s\n", i+1, addr, f.adminAddrs[i])
	}
	return nil
}

func nodeConfig(name, listen, adminAddr, list, state string) string {
	return fmt.Sprintf(`name = %q
listen = %q
door = %q
state = %q
[registry]
addresses = [%q]
keep = true
[delivery]
fleet_size = %d
zones = ["a"]
kinds = ["partner"]
[delivery.limits]
overlap = false
[[delivery.class]]
name = "notice"
aim = "2s"
deadline = %q
effect = "idempotent"
worth = 1.0
late_worth = 0.3
`, name, listen, adminAddr, state, list, nodeCount, messageTTL.String())
}

// isReady reports whether the node with the given admin address is serving and has all partners in its list.
func (f *fleet) isReady(ctx context.Context, adminAddr string) bool {
	text, err := httpGet(ctx, "http://"+adminAddr+"/ops/stats")
	return err == nil && strings.Contains(text, fmt.Sprintf("router.pool_size:%d|", len(f.partners)))
}

func httpGet(ctx context.Context, url string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	return string(text), err
}

// startProcess starts a process of the program with the given arguments.
func (f *fleet) startProcess(args ...string) error {
	cmd := exec.Command(f.Program, args...)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG=", "ROUTER_STATE=", "ROUTER_CONSOLE=")
	pipe, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	f.processes = append(f.processes, cmd)
	f.logCopiers.Go(func() { io.Copy(f.Log, pipe) })
	return nil
}

// close stops the processes and partners that were started.
func (f *fleet) close() error {
	var errs []error
	for _, p := range f.processes {
		if err := p.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
			errs = append(errs, err)
		}
	}
	slow := time.AfterFunc(stopTimeout, func() {
		for _, p := range f.processes {
			p.Process.Kill() // the error for a process that has exited does not matter
		}
	})
	defer slow.Stop()
	f.logCopiers.Wait() // read the pipes to their end before Wait, which closes them
	for _, p := range f.processes {
		if err := p.Wait(); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", strings.Join(p.Args[1:], " "), err))
		}
	}
	for _, p := range f.partners {
		p.Close()
	}
	return errors.Join(errs...)
}

// runTraffic submits messages while one partner refuses calls and recovers, and waits until every message is settled.
func (f *fleet) runTraffic(ctx context.Context) (Result, error) {
	var r Result
	var mu sync.Mutex
	accepted := map[string]bool{}
	until := time.Now().Add(f.TrafficDuration)
	failing := f.partners[len(f.partners)-1]
	var senders sync.WaitGroup
	for n, addr := range f.nodeAddrs {
		senders.Go(func() {
			c := client.New(addr, 0)
			defer c.Close()
			due := time.Now()
			for i := 0; due.Before(until) && ctx.Err() == nil; i++ {
				time.Sleep(time.Until(due))
				due = due.Add(time.Duration(float64(time.Second) / f.Rate))
				id := fmt.Sprintf("demo-%d-%06d", n+1, i)
				a, _, _ := c.Enqueue(client.Message{ID: id, Class: "notice", Dest: i % 3, TTL: messageTTL, Body: []byte("hello")})
				mu.Lock()
				r.Submitted++
				switch a {
				case client.Accepted:
					accepted[id] = true
				case client.Busy:
					r.Refused++
				case client.Failed:
					r.Failed++
				case client.NoAnswer:
					r.Lost++
				}
				mu.Unlock()
			}
		})
	}
	sleep(ctx, f.TrafficDuration/3)
	fmt.Fprintln(f.Out, "partner office-2 starts to refuse calls")
	failing.SetRefusing(true)
	sleep(ctx, f.TrafficDuration/3)
	fmt.Fprintln(f.Out, "partner office-2 accepts calls again")
	failing.SetRefusing(false)
	senders.Wait()
	r.Accepted = len(accepted)
	notices := map[string]string{}
	for end := time.Now().Add(settleTimeout); ctx.Err() == nil; sleep(ctx, 100*time.Millisecond) {
		if err := f.readNotices(ctx, notices); err != nil {
			return r, err
		}
		unresolved := 0
		for id := range accepted {
			if f.ledger.Runs(id) == 0 && notices[id] == "" {
				unresolved++
			}
		}
		if unresolved == 0 || time.Now().After(end) {
			r.Lost += unresolved
			break
		}
	}
	for id := range accepted {
		switch {
		case f.ledger.Runs(id) > 0:
			r.Delivered++
		case notices[id] == "returned":
			r.Returned++
		case notices[id] == "failed":
			r.Failed++
		}
	}
	_, r.Repeated = f.ledger.Counts()
	if first := f.ledger.FirstRun(); !first.IsZero() {
		r.FirstDelivered = first.Sub(f.startedAt)
	}
	return r, ctx.Err()
}

// readNotices reads the notices that the nodes have sent for undelivered messages, as states by message ID.
func (f *fleet) readNotices(ctx context.Context, into map[string]string) error {
	text, err := httpGet(ctx, "http://"+f.listAddr+"/reports?after=0")
	if err != nil {
		return err
	}
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		var n struct{ ID, State string }
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			return fmt.Errorf("notices: %w", err)
		}
		into[n.ID] = n.State
	}
	return lines.Err()
}

func (f *fleet) printTable(r Result) error {
	w := tabwriter.NewWriter(f.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(f.Out, "\nfirst message delivered after %.2f s\n\n", r.FirstDelivered.Seconds())
	for _, row := range []struct {
		name  string
		count int
	}{
		{"submitted to nodes", r.Submitted}, {"accepted by nodes", r.Accepted}, {"delivered", r.Delivered}, {"refused at once", r.Refused},
		{"returned later", r.Returned}, {"failed", r.Failed}, {"lost", r.Lost}, {"repeated", r.Repeated},
	} {
		fmt.Fprintf(w, "%s\t%d\t\n", row.name, row.count)
	}
	return w.Flush()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// freeAddrs returns loopback addresses that are not in use.
func freeAddrs(count int) ([]string, error) {
	var out []string
	for range count {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}
