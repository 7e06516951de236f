package stage

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"harrierramp/internal/client"
	"harrierramp/internal/lab/model"
	"harrierramp/internal/lab/process"
	"harrierramp/internal/lab/relay"
	"harrierramp/internal/rollout"
)

const (
	pingInterval       = 40 * time.Millisecond // between PINGs to a node that does not accept clients yet
	clientsPerNode     = 8                     // connections to one node
	minRetryDelay      = 50 * time.Millisecond // before a client submits again
	noticePollInterval = 300 * time.Millisecond
	settleTime         = 5 * time.Second // after the last message's deadline
	maxPageBytes       = 4 << 20
)

// Play opens a stage, runs the script, and returns the report. Broken rules are in the report; they are not errors of
// Play.
func Play(ctx context.Context, s Script, options Options) (r *Report, err error) {
	st, err := Open(ctx, s, options)
	if err != nil {
		return nil, err
	}
	defer func() {
		if closeErr := st.Close(); err == nil && closeErr != nil {
			err = fmt.Errorf("stage: %w", closeErr)
		}
	}()
	if err := st.Run(); err != nil {
		return nil, fmt.Errorf("stage: %w", err)
	}
	return st.Report(), nil
}

// Report collects the figures of the run and checks them against the script's expectations.
func (st *Stage) Report() *Report {
	st.mu.Lock()
	marks := slices.Clone(st.marks)
	st.mu.Unlock()
	r := st.ledger.report(marks)
	if st.script.Node.Admin {
		r.Figures["stale_nodes"] = float64(st.countStaleNodes())
		for name, figure := range map[string]string{"shut_outs": "router.shut_outs:", "gaps": "router.gaps:"} {
			for i := range st.nodes { // counts only the processes that run now
				r.Figures[name] += float64(max(fetchFigure("http://"+st.AdminAddr(i)+"/ops/stats", figure), 0))
			}
		}
	}
	for i, p := range st.servers {
		usage, err := p.Usage()
		if err != nil {
			continue // it is not running
		}
		name := fmt.Sprintf("server%d_", i)
		r.Figures[name+"cpu_s"], r.Figures[name+"mb"] = usage.CPU.Seconds(), float64(usage.PeakMemory)/(1<<20)
	}
	for _, p := range st.nodes { // only the processes that run now
		if usage, err := p.Usage(); err == nil {
			r.Figures["nodes_cpu_s"] += usage.CPU.Seconds()
			r.Figures["node_most_mb"] = max(r.Figures["node_most_mb"], float64(usage.PeakMemory)/(1<<20))
		}
	}
	if st.script.Node.AuditLogKB > 0 {
		st.reportAudit(r)
	}
	r.checkExpectations(&st.script)
	return r
}

// RolloutStatus returns the nodes' builds and list revisions as the list servers know them.
func (st *Stage) RolloutStatus() rollout.Snapshot {
	var views []rollout.Snapshot
	for i := range st.servers {
		addr := process.HostPort(st.addrs.OwnAddr(relay.Party{Kind: relay.Server, Index: i}), process.ListPort)
		var v rollout.Snapshot
		if body, err := httpGet("http://" + addr + "/registry/nodes"); err == nil && json.Unmarshal(body, &v) == nil {
			views = append(views, v)
		}
	}
	return rollout.Merge(views)
}

const staleTimeout = 10 * time.Second // after the run, for every node to have the newest list

// countStaleNodes returns how many nodes still lack the newest revision of the list staleTimeout after the run.
func (st *Stage) countStaleNodes() (behind int) {
	for deadline := time.Now().Add(staleTimeout); ; time.Sleep(50 * time.Millisecond) {
		var newest int64
		for i := range st.servers {
			newest = max(newest, fetchFigure("http://"+st.serverAdminAddr(i)+"/ops/stats", "registry.revision:"))
		}
		behind = 0
		for i := range st.nodes {
			if fetchFigure("http://"+st.AdminAddr(i)+"/ops/stats", "router.list_revision:") < newest {
				behind++
			}
		}
		if behind == 0 && newest > 0 || time.Now().After(deadline) || st.ctx.Err() != nil {
			return behind
		}
	}
}

// serverAdminAddr is the address of a list server's admin endpoint.
func (st *Stage) serverAdminAddr(i int) string {
	return process.HostPort(st.addrs.OwnAddr(relay.Party{Kind: relay.Server, Index: i}), process.ListAdminPort)
}

// httpGet returns the body of an HTTP response from a process of the stage.
func httpGet(url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
}

// fetchFigure reads one figure from an admin endpoint's statistics. It returns -1 if the figure is not available.
func fetchFigure(url, name string) int64 {
	body, err := httpGet(url)
	_, after, found := strings.Cut(string(body), name)
	if err != nil || !found {
		return -1
	}
	value, _, _ := strings.Cut(after, "|")
	v, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return -1
	}
	return v
}

// plannedEvent is a start, fault or action with its time since the start of the run.
type plannedEvent struct {
	at  time.Duration
	run func()
}

// Run runs the script's starts, traffic, faults and actions. It returns when every message has ended, or settleTime
// after the last deadline.
func (st *Stage) Run() error {
	var plan []plannedEvent
	add := func(at time.Duration, do func()) { plan = append(plan, plannedEvent{at, do}) }
	st.planStarts(add)
	st.planFaultsAndActions(add)
	slices.SortStableFunc(plan, func(a, b plannedEvent) int { return cmp.Compare(a.at, b.at) })
	st.ledger.resetClock()
	for i := range st.partners {
		st.SetListed(i, true)
	}
	trafficEnd := st.script.Length.Duration()
	var clients sync.WaitGroup
	for n := range st.nodes {
		clients.Go(func() { st.runClients(n, trafficEnd) })
	}
	var notices sync.WaitGroup
	polling, stop := context.WithCancel(st.ctx)
	notices.Go(func() { st.pollNotices(polling) })
	defer stop()
	var running sync.WaitGroup
	for _, m := range plan {
		if !st.sleepUntil(m.at) {
			break
		}
		running.Go(m.run) // an event that waits must not delay the next one
	}
	st.sleepUntil(trafficEnd)
	clients.Wait()
	deadline := trafficEnd + st.script.Traffic.TTL.Duration() + settleTime
	for st.ledger.openMessages() > 0 && st.ledger.now() < deadline && st.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	running.Wait()
	stop()
	notices.Wait()
	st.readNotices()
	return st.ctx.Err()
}

// sleepUntil waits until a time of the run. It returns false if the run was cancelled.
func (st *Stage) sleepUntil(at time.Duration) bool {
	t := time.NewTimer(at - st.ledger.now())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-st.ctx.Done():
		return false
	}
}

func (st *Stage) planStarts(add func(time.Duration, func())) {
	for i := range st.servers {
		p, at := relay.Party{Kind: relay.Server, Index: i}, time.Duration(0)
		if i < len(st.script.Start.Servers) {
			at = st.script.Start.Servers[i].Duration()
		}
		add(at, func() {
			if at > 0 {
				st.ledger.allowLateNotices()
				st.recordMark("start " + p.String())
			}
			st.recordError(st.Start(p))
		})
	}
	rng := rand.New(rand.NewPCG(st.script.Seed, 2))
	for i := range st.nodes {
		p, at := relay.Party{Kind: relay.Node, Index: i}, st.script.Start.Nodes.Duration()
		if spread := st.script.Start.Spread.Duration(); spread > 0 {
			at += time.Duration(rng.Int64N(int64(spread)))
		}
		add(at, func() { st.recordError(st.Start(p)) })
	}
}

// planFaultsAndActions plans all occurrences of faults and actions. Random groups are drawn anew for each occurrence.
func (st *Stage) planFaultsAndActions(add func(time.Duration, func())) {
	rng := rand.New(rand.NewPCG(st.script.Seed, 3))
	for _, f := range st.script.Faults {
		for at := f.At.Duration(); ; at += f.Every.Duration() {
			from, _ := st.script.Group(f.From, rng) // Check has parsed it already
			to, _ := st.script.Group(f.To, rng)
			add(at, func() { st.runFault(f, from, to) })
			if f.Every <= 0 || at+f.Every.Duration() >= st.script.Length.Duration() {
				break
			}
		}
	}
	for _, a := range st.script.Actions {
		for at := a.At.Duration(); ; at += a.Every.Duration() {
			targets, _ := st.script.Group(a.Targets, rng)
			add(at, func() { st.recordMark(fmt.Sprintf("%s %s", a.Type, describeGroup(targets))) })
			for _, p := range targets {
				targetAt := at
				if a.Spread > 0 {
					targetAt += time.Duration(rng.Int64N(int64(a.Spread.Duration())))
				}
				add(targetAt, func() { st.runAction(a, p) })
			}
			if a.Every <= 0 || at+a.Every.Duration() >= st.script.Length.Duration() {
				break
			}
		}
	}
}

// describeGroup returns a short text that names a group.
func describeGroup(group []relay.Party) string {
	if len(group) > 3 {
		return fmt.Sprintf("%s and %d more", group[0], len(group)-1)
	}
	var names []string
	for _, p := range group {
		names = append(names, p.String())
	}
	return strings.Join(names, ", ")
}

// runFault applies a fault, and removes it after its length.
func (st *Stage) runFault(f FaultSpec, from, to []relay.Party) {
	removers := []func(){st.AddFault(from, to, f.relayFault())}
	if f.BothWays {
		removers = append(removers, st.AddFault(to, from, f.relayFault()))
	}
	st.recordMark(fmt.Sprintf("fault from %s to %s", describeGroup(from), describeGroup(to)))
	if f.Length <= 0 {
		return
	}
	st.sleepUntil(st.ledger.now() + f.Length.Duration())
	for _, remove := range removers {
		remove()
	}
	st.recordMark(fmt.Sprintf("fault from %s to %s ends", describeGroup(from), describeGroup(to)))
}

// runAction applies an action to one party, and reverses it after the action's length.
func (st *Stage) runAction(a ActionSpec, p relay.Party) {
	var undo func() error
	err := error(nil)
	switch a.Type {
	case "pause":
		err = st.SetPaused(p, true)
		undo = func() error { return st.SetPaused(p, false) }
	case "kill":
		err = st.Kill(p)
		undo = func() error { return st.Start(p) }
	case "end":
		err = st.Stop(p)
		undo = func() error { return st.Start(p) }
	case "start":
		err = st.Start(p)
	case "empty", "damage":
		if err = st.Kill(p); err == nil && a.Type == "empty" {
			err = st.ClearState(p)
		} else if err == nil {
			err = st.CorruptFile(p, a.File)
		}
		undo = func() error { return st.Start(p) }
	case "fill":
		err = st.SetDiskFull(p, true)
		undo = func() error { return st.SetDiskFull(p, false) }
	case "shut":
		st.SetRefusing(p.Index, true)
		undo = func() error { st.SetRefusing(p.Index, false); return nil }
	case "withdraw", "return":
		st.SetListed(p.Index, a.Type == "return")
	}
	st.recordError(err)
	if undo == nil || a.Length <= 0 {
		return
	}
	if st.sleepUntil(st.ledger.now() + a.Length.Duration()) {
		st.recordError(undo())
	}
}

// runClients waits until a node accepts clients, and then submits the script's traffic to it.
func (st *Stage) runClients(n int, end time.Duration) {
	rng := rand.New(rand.NewPCG(st.script.Seed, uint64(n)+100))
	clients := make(chan *client.Client, clientsPerNode)
	for range clientsPerNode {
		clients <- client.New(st.ClientAddr(n), client.AnswerTimeout)
	}
	var submissions sync.WaitGroup
	defer func() {
		submissions.Wait()
		for range clientsPerNode {
			(<-clients).Close()
		}
	}()
	for c := <-clients; ; {
		if st.ledger.now() > end || st.ctx.Err() != nil {
			clients <- c
			return
		}
		if c.Ping() {
			clients <- c
			break
		}
		st.sleepUntil(st.ledger.now() + pingInterval/2 + time.Duration(rng.Int64N(int64(pingInterval))))
	}
	st.ledger.nodeReady(n)
	number := 0
	submitOne := func() {
		m := &message{id: fmt.Sprintf("m%d-%d", n, number), node: n, dest: rng.IntN(len(st.script.Dests))}
		if rng.Float64() < st.script.Traffic.AtMostOnceShare {
			m.class = classAtMostOnce
		}
		number++
		m.deadline = st.ledger.now() + st.script.Traffic.TTL.Duration()
		seed := rng.Uint64()
		submissions.Go(func() { st.submit(m, clients, rand.New(rand.NewPCG(seed, 0))) })
	}
	for range st.script.Traffic.Burst {
		submitOne()
	}
	if st.script.Traffic.Rate <= 0 {
		return
	}
	for at := st.ledger.now(); ; {
		at += time.Duration(rng.ExpFloat64() / st.script.Traffic.Rate * float64(time.Second))
		if at > end || !st.sleepUntil(at) {
			return
		}
		submitOne()
	}
}

// submit submits one message. It retries after -BUSY, and after no answer if the message is idempotent, until the
// message's deadline.
func (st *Stage) submit(m *message, clients chan *client.Client, rng *rand.Rand) {
	m.newSubmission = true
	for retry := true; retry; {
		ttl := m.deadline - st.ledger.now()
		if ttl <= 0 || st.ctx.Err() != nil {
			st.ledger.submissionAnswered(m, model.SubmitUnanswered, true)
			return
		}
		var answer client.Answer
		var wait time.Duration
		select {
		case c := <-clients:
			if m.newSubmission {
				st.ledger.submitting(m)
				m.newSubmission = false
			}
			answer, wait, _ = c.Enqueue(client.Message{
				ID: m.submissionID, Class: classNames[m.class], Tenant: "t", Dest: m.dest, TTL: ttl, Body: []byte("body of " + m.id),
			})
			clients <- c
		case <-st.ctx.Done():
			return
		}
		wait = max(wait, minRetryDelay)
		wait += time.Duration(rng.Int64N(int64(wait)/4 + 1))
		switch answer {
		case client.Accepted:
			st.ledger.submissionAnswered(m, model.SubmitAccepted, true)
			return
		case client.Failed:
			st.ledger.submissionAnswered(m, model.SubmitFailed, true)
			return
		case client.Busy:
			retry = st.ledger.now()+wait < m.deadline
			m.newSubmission = true
			st.ledger.submissionAnswered(m, model.SubmitRejected, !retry)
		case client.NoAnswer:
			retry = m.class == classIdempotent // an at-most-once message may have been accepted
			st.ledger.submissionAnswered(m, model.SubmitUnanswered, !retry)
		}
		if retry && !st.sleepUntil(st.ledger.now()+wait) {
			return
		}
	}
}

// pollNotices reads the notices that nodes send to the list servers, at intervals until the context ends.
func (st *Stage) pollNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(noticePollInterval):
			st.readNotices()
		}
	}
}

// readNotices reads the new notices of all running servers once. A server that is down or paused is read later.
func (st *Stage) readNotices() {
	for i := range st.servers {
		if !st.servers[i].Running() {
			continue
		}
		for st.readNoticePage(i) {
		}
	}
}

// readNoticePage reads one page of notices from a server, and returns whether there may be more.
func (st *Stage) readNoticePage(server int) bool {
	ctx, cancel := context.WithTimeout(st.ctx, time.Second)
	defer cancel()
	addr := process.HostPort(st.addrs.OwnAddr(relay.Party{Kind: relay.Server, Index: server}), process.ListPort)
	url := "http://" + addr + "/reports?after=" + strconv.FormatInt(st.noticeSeqs[server], 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	lines, found := bufio.NewScanner(io.LimitReader(resp.Body, maxPageBytes)), false
	for lines.Scan() {
		var n struct {
			Seq   int64  `json:"seq"`
			AtMS  int64  `json:"at_ms"`
			ID    string `json:"id"`
			State string `json:"state"`
		}
		if json.Unmarshal(lines.Bytes(), &n) != nil {
			return false
		}
		found = true
		st.noticeSeqs[server] = n.Seq
		st.ledger.notice(n.ID, n.State, time.UnixMilli(n.AtMS))
	}
	return found
}
