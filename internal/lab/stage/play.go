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
	pingInterval       = 40 * time.Millisecond // between tries at a node that does not take clients
	clientsPerNode     = 8                     // connections to one node
	minRetryDelay      = 50 * time.Millisecond // before a client comes again
	noticePollInterval = 300 * time.Millisecond
	settleTime         = 5 * time.Second // after the last message's time
	maxPageBytes       = 4 << 20
)

// Play sets a stage up, plays its script, and returns what came of it. A broken rule is no error of Play.
func Play(ctx context.Context, s Script, o Options) (r *Report, err error) {
	st, err := Open(ctx, s, o)
	if err != nil {
		return nil, err
	}
	defer func() {
		if closing := st.Close(); err == nil && closing != nil {
			err = fmt.Errorf("stage: %w", closing)
		}
	}()
	if err := st.Run(); err != nil {
		return nil, fmt.Errorf("stage: %w", err)
	}
	return st.Report(), nil
}

// Report closes the ledger and holds it against the script.
func (st *Stage) Report() *Report {
	st.mu.Lock()
	marks := slices.Clone(st.marks)
	st.mu.Unlock()
	r := st.ledger.report(marks)
	if st.script.Node.Admin {
		r.Figures["stale_nodes"] = float64(st.countStaleNodes())
		for name, figure := range map[string]string{"shut_outs": "router.shut_outs:", "gaps": "router.gaps:"} {
			for i := range st.nodes { // of the processes that run now
				r.Figures[name] += float64(max(fetchFigure("http://"+st.AdminAddr(i)+"/ops/stats", figure), 0))
			}
		}
	}
	for i, p := range st.servers {
		cost, err := p.Usage()
		if err != nil {
			continue // it does not run
		}
		name := fmt.Sprintf("server%d_", i)
		r.Figures[name+"cpu_s"], r.Figures[name+"mb"] = cost.CPU.Seconds(), float64(cost.PeakMemory)/(1<<20)
	}
	for _, p := range st.nodes { // processes that run now
		if cost, err := p.Usage(); err == nil {
			r.Figures["nodes_cpu_s"] += cost.CPU.Seconds()
			r.Figures["node_most_mb"] = max(r.Figures["node_most_mb"], float64(cost.PeakMemory)/(1<<20))
		}
	}
	if st.script.Node.AuditLogKB > 0 {
		st.reportAudit(r)
	}
	r.checkExpectations(&st.script)
	return r
}

// Roster is what the list servers know of the nodes' versions.
func (st *Stage) RolloutStatus() rollout.Snapshot {
	var views []rollout.Snapshot
	for i := range st.servers {
		addr := process.HostPort(st.addrs.OwnAddr(relay.Party{Kind: relay.Server, Index: i}), process.ListPort)
		var v rollout.Snapshot
		if text, err := httpGet("http://" + addr + "/registry/nodes"); err == nil && json.Unmarshal(text, &v) == nil {
			views = append(views, v)
		}
	}
	return rollout.Merge(views)
}

const staleTimeout = 10 * time.Second // after the traffic, for every node to have the newest list

// stale is how many nodes don't have the newest revision of the list some time after all is over.
func (st *Stage) countStaleNodes() (behind int) {
	for end := time.Now().Add(staleTimeout); ; time.Sleep(50 * time.Millisecond) {
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
		if behind == 0 && newest > 0 || time.Now().After(end) || st.ctx.Err() != nil {
			return behind
		}
	}
}

// ops is the operators' door of a list server.
func (st *Stage) serverAdminAddr(i int) string {
	return process.HostPort(st.addrs.OwnAddr(relay.Party{Kind: relay.Server, Index: i}), process.ListAdminPort)
}

// get reads what a process says at one of its own addresses.
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

// figureAt reads one figure of a door; -1 if it can't be had.
func fetchFigure(url, name string) int64 {
	text, err := httpGet(url)
	_, after, found := strings.Cut(string(text), name)
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

// moment is something that is due.
type plannedEvent struct {
	at  time.Duration
	run func()
}

// Run plays the script: starts, traffic, faults; and waits until every message has its end, or is past it.
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
	until := st.script.Length.Duration()
	var clients sync.WaitGroup
	for n := range st.nodes {
		clients.Go(func() { st.runClients(n, until) })
	}
	var notices sync.WaitGroup
	polling, stop := context.WithCancel(st.ctx)
	notices.Go(func() { st.pollNotices(polling) })
	defer stop()
	var doing sync.WaitGroup
	for _, m := range plan {
		if !st.sleepUntil(m.at) {
			break
		}
		doing.Go(m.run) // one that waits must not delay the next
	}
	st.sleepUntil(until)
	clients.Wait()
	last := until + st.script.Traffic.TTL.Duration() + settleTime
	for st.ledger.openMessages() > 0 && st.ledger.now() < last && st.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	doing.Wait()
	stop()
	notices.Wait()
	st.readNotices()
	return st.ctx.Err()
}

// sleepTo waits for a moment of the play, and tells whether the play still goes on.
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
		p, when := relay.Party{Kind: relay.Server, Index: i}, time.Duration(0)
		if i < len(st.script.Start.Servers) {
			when = st.script.Start.Servers[i].Duration()
		}
		add(when, func() {
			if when > 0 {
				st.ledger.allowLateNotices()
				st.recordMark("start " + p.String())
			}
			st.recordError(st.Start(p))
		})
	}
	rng := rand.New(rand.NewPCG(st.script.Seed, 2))
	for i := range st.nodes {
		p, when := relay.Party{Kind: relay.Node, Index: i}, st.script.Start.Nodes.Duration()
		if spread := st.script.Start.Spread.Duration(); spread > 0 {
			when += time.Duration(rng.Int64N(int64(spread)))
		}
		add(when, func() { st.recordError(st.Start(p)) })
	}
}

// planFaults draws who is meant, once for each time that something comes.
func (st *Stage) planFaultsAndActions(add func(time.Duration, func())) {
	rng := rand.New(rand.NewPCG(st.script.Seed, 3))
	for _, f := range st.script.Faults {
		for at := f.At.Duration(); ; at += f.Every.Duration() {
			from, _ := st.script.Group(f.From, rng) // checked by Check
			to, _ := st.script.Group(f.To, rng)
			add(at, func() { st.runFault(f, from, to) })
			if f.Every <= 0 || at+f.Every.Duration() >= st.script.Length.Duration() {
				break
			}
		}
	}
	for _, a := range st.script.Actions {
		for at := a.At.Duration(); ; at += a.Every.Duration() {
			who, _ := st.script.Group(a.Targets, rng)
			add(at, func() { st.recordMark(fmt.Sprintf("%s %s", a.Type, describeGroup(who))) })
			for _, p := range who {
				when := at
				if a.Spread > 0 {
					when += time.Duration(rng.Int64N(int64(a.Spread.Duration())))
				}
				add(when, func() { st.runAction(a, p) })
			}
			if a.Every <= 0 || at+a.Every.Duration() >= st.script.Length.Duration() {
				break
			}
		}
	}
}

// named tells a group in few words.
func describeGroup(who []relay.Party) string {
	if len(who) > 3 {
		return fmt.Sprintf("%s and %d more", who[0], len(who)-1)
	}
	var names []string
	for _, p := range who {
		names = append(names, p.String())
	}
	return strings.Join(names, ", ")
}

// impair holds a fault for its time.
func (st *Stage) runFault(f FaultSpec, from, to []relay.Party) {
	lifts := []func(){st.AddFault(from, to, f.relayFault())}
	if f.BothWays {
		lifts = append(lifts, st.AddFault(to, from, f.relayFault()))
	}
	st.recordMark(fmt.Sprintf("fault from %s to %s", describeGroup(from), describeGroup(to)))
	if f.Length <= 0 {
		return
	}
	st.sleepUntil(st.ledger.now() + f.Length.Duration())
	for _, lift := range lifts {
		lift()
	}
	st.recordMark(fmt.Sprintf("fault from %s to %s is over", describeGroup(from), describeGroup(to)))
}

// act does something to one party, and undoes it after its time.
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

// traffic is what the clients of one node hand in.
func (st *Stage) runClients(n int, until time.Duration) {
	rng := rand.New(rand.NewPCG(st.script.Seed, uint64(n)+100))
	clients := make(chan *client.Client, clientsPerNode)
	for range clientsPerNode {
		clients <- client.New(st.ClientAddr(n), client.AnswerTimeout)
	}
	var hands sync.WaitGroup
	defer func() {
		hands.Wait()
		for range clientsPerNode {
			(<-clients).Close()
		}
	}()
	for c := <-clients; ; {
		if st.ledger.now() > until || st.ctx.Err() != nil {
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
	one := func() {
		m := &message{id: fmt.Sprintf("m%d-%d", n, number), node: n, dest: rng.IntN(len(st.script.Dests))}
		if rng.Float64() < st.script.Traffic.AtMostOnceShare {
			m.class = classAtMostOnce
		}
		number++
		m.deadline = st.ledger.now() + st.script.Traffic.TTL.Duration()
		seed := rng.Uint64()
		hands.Go(func() { st.submit(m, clients, rand.New(rand.NewPCG(seed, 0))) })
	}
	for range st.script.Traffic.Burst {
		one()
	}
	if st.script.Traffic.Rate <= 0 {
		return
	}
	for at := st.ledger.now(); ; {
		at += time.Duration(rng.ExpFloat64() / st.script.Traffic.Rate * float64(time.Second))
		if at > until || !st.sleepUntil(at) {
			return
		}
		one()
	}
}

// hand hands one message in, and again while the node asks for that or says nothing, until its time is over.
func (st *Stage) submit(m *message, clients chan *client.Client, rng *rand.Rand) {
	m.newSubmission = true
	for again := true; again; {
		left := m.deadline - st.ledger.now()
		if left <= 0 || st.ctx.Err() != nil {
			st.ledger.submissionAnswered(m, model.SubmitUnanswered, true)
			return
		}
		var told client.Answer
		var wait time.Duration
		select {
		case c := <-clients:
			if m.newSubmission {
				st.ledger.submitting(m)
				m.newSubmission = false
			}
			told, wait, _ = c.Enqueue(client.Message{
				ID: m.submissionID, Class: classNames[m.class], Tenant: "t", Dest: m.dest, TTL: left, Body: []byte("body of " + m.id),
			})
			clients <- c
		case <-st.ctx.Done():
			return
		}
		wait = max(wait, minRetryDelay)
		wait += time.Duration(rng.Int64N(int64(wait)/4 + 1))
		switch told {
		case client.Accepted:
			st.ledger.submissionAnswered(m, model.SubmitAccepted, true)
			return
		case client.Failed:
			st.ledger.submissionAnswered(m, model.SubmitFailed, true)
			return
		case client.Busy:
			again = st.ledger.now()+wait < m.deadline
			m.newSubmission = true
			st.ledger.submissionAnswered(m, model.SubmitRejected, !again)
		case client.NoAnswer:
			again = m.class == classIdempotent // the other kind may have been taken on
			st.ledger.submissionAnswered(m, model.SubmitUnanswered, !again)
		}
		if again && !st.sleepUntil(st.ledger.now()+wait) {
			return
		}
	}
}

// pollNotices reads what nodes tell the list servers.
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

// readNotices reads all servers once. One that is out or paused is read later.
func (st *Stage) readNotices() {
	for i := range st.servers {
		if !st.servers[i].Running() {
			continue
		}
		for st.readNoticePage(i) {
		}
	}
}

// readPage reads one page, and tells whether there may be more.
func (st *Stage) readNoticePage(i int) bool {
	ctx, cancel := context.WithTimeout(st.ctx, time.Second)
	defer cancel()
	addr := process.HostPort(st.addrs.OwnAddr(relay.Party{Kind: relay.Server, Index: i}), process.ListPort)
	url := "http://" + addr + "/reports?after=" + strconv.FormatInt(st.noticeSeqs[i], 10)
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
	lines, some := bufio.NewScanner(io.LimitReader(resp.Body, maxPageBytes)), false
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
		some = true
		st.noticeSeqs[i] = n.Seq
		st.ledger.notice(n.ID, n.State, time.UnixMilli(n.AtMS))
	}
	return some
}
