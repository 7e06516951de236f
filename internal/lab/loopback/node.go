package loopback

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/client"
	"harrierramp/internal/lab/model"
	"harrierramp/internal/lab/process"
	"harrierramp/internal/lab/relay"
	"harrierramp/internal/listwatch"
)

const maxClientConns = 32 // connections to one node

// node is one real node: its process, the platform as it sees it, and its clients.
type node struct {
	run              *run
	index            int
	party            relay.Party
	dir              string
	addr             string
	platform         http.Server
	platformListener net.Listener
	process          process.Process
	clients          chan *client.Client
	platformServing  sync.WaitGroup

	mu       sync.Mutex
	revision int64
	members  map[string]listwatch.Member
	watchers map[chan []byte]bool
}

func newNode(r *run, n int, dir string) (*node, error) {
	state := filepath.Join(dir, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return nil, err
	}
	self := relay.Party{Kind: relay.Node, Index: n}
	front, err := net.Listen("tcp4", process.HostPort(r.block.OwnAddr(self), process.AgentPort))
	if err != nil {
		return nil, err
	}
	x := &node{
		run: r, index: n, party: self, dir: dir, addr: process.HostPort(r.block.OwnAddr(self), process.ClientPort), platformListener: front,
		clients: make(chan *client.Client, maxClientConns), revision: 1, members: map[string]listwatch.Member{}, watchers: map[chan []byte]bool{},
		process: process.Process{
			Name: self.String(), Starter: r.starter, Program: r.Program, StateDir: state, LogPath: filepath.Join(dir, "log"),
			Env: []string{"ROUTER_CONFIG=" + filepath.Join(dir, "config.json"), "ROUTER_STATE=" + state},
		},
	}
	for range maxClientConns {
		x.clients <- client.New(x.addr, client.AnswerTimeout)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", x.serveInstances)
	mux.HandleFunc("POST /reports", x.serveReports)
	x.platform = http.Server{Handler: mux}
	x.platformServing.Go(func() { x.platform.Serve(front) }) // its error says that it was closed
	return x, nil
}

// set changes the list as this node sees it, and tells its watchers.
func (x *node) updateMember(e model.ListEntry) {
	socket := x.run.server(e.Endpoint)
	if socket == nil {
		return // it could not be opened, which has been told
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	m := listwatch.Member{
		ID: e.Endpoint, Addr: socket.faceAddr, Locality: fmt.Sprint("z", e.Zone), Flavor: fmt.Sprint("k", e.Kind), Cell: e.Dest,
		Phase: memberPhases[e.Phase], Size: e.Weight,
	}
	x.revision++
	if x.members[m.ID] = m; e.Phase == choice.Removed {
		delete(x.members, m.ID)
	}
	line, err := json.Marshal(listwatch.List{Revision: x.revision, Members: []listwatch.Member{m}})
	if err != nil {
		fmt.Fprintf(x.run.Log, "loopback: %v\n", err)
		return
	}
	for w := range x.watchers {
		select {
		case w <- line:
		default: // it is behind; the next watch has the whole list
		}
	}
}

func (x *node) completeList() listwatch.List {
	l := listwatch.List{Revision: x.revision, Complete: true, Members: []listwatch.Member{}}
	for _, m := range x.members {
		l.Members = append(l.Members, m)
	}
	return l
}

func (x *node) serveInstances(w http.ResponseWriter, r *http.Request) {
	lines := make(chan []byte, 64)
	x.mu.Lock()
	first, err := json.Marshal(x.completeList())
	x.watchers[lines] = true
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.watchers, lines)
		x.mu.Unlock()
	}()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	for line := first; ; {
		if _, err := w.Write(append(line, '\n')); err != nil || r.FormValue("watch") == "" {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case line = <-lines:
		case <-time.After(2 * time.Second):
			line = nil
		case <-r.Context().Done():
			return
		case <-x.run.ctx.Done():
			return
		}
	}
}

func (x *node) serveReports(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for lines.Scan() {
		var n struct {
			ID      string `json:"id"`
			State   string `json:"state"`
			AfterMS int64  `json:"after_ms"`
		}
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		told := model.SubmitRejected
		if n.State == "failed" {
			told = model.SubmitFailed
		}
		x.run.world.Do(x.run.ctx, func() { x.run.world.Notice(x.index, n.ID, told, time.Duration(n.AfterMS)*time.Millisecond) })
	}
	w.WriteHeader(http.StatusNoContent)
}

// configure writes the node's configuration in the platform's form.
func (x *node) writeConfig(peers []string) error {
	x.mu.Lock()
	known := x.completeList()
	x.mu.Unlock()
	raw, err := json.Marshal(map[string]any{
		"name": fmt.Sprint("n", x.index), "listen": x.addr, "discovery": x.platformListener.Addr().String(), "source": x.run.block.OwnAddr(x.party).String(), "seed": fmt.Sprintf("%x", x.run.day.Seed+uint64(x.index)),
		"limits":      map[string]any{"cores": 1, "memory_mb": 128, "sockets": 1024, "disk_mb": 3},
		"peer_listen": process.HostPort(x.run.block.OwnAddr(x.party), process.PeerPort), "peers": peers, "known": known, "settings": platformSettings(x.run.day, x.index),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(x.dir, "config.json"), raw, 0o600)
}

// settings are the day's, in the platform's words.
func platformSettings(d *model.Day, number int) map[string]any {
	ms := func(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }
	s := d.Settings
	var classes, tenants []any
	for i, c := range s.Classes {
		group := "zone"
		if c.AllEndpointsDeduplicate {
			group = "all"
		}
		classes = append(classes, map[string]any{
			"name": className(i), "aim": ms(c.Aim), "deadline": ms(c.Deadline), "worth": c.Worth, "lateWorth": c.LateWorth,
			"effect": []string{"idempotent", "deduplicated", "at_most_once"}[c.Effect], "window": ms(c.DedupWindow), "group": group,
		})
	}
	for i, t := range s.Tenants {
		tenants = append(tenants, map[string]any{"name": tenantName(i), "allowancePerS": t.PerSecond})
	}
	var apart []bool
	var batch []int
	var kinds, zones []string
	for i, k := range s.Kinds {
		apart, batch, kinds = append(apart, k.SeparateRoutes), append(batch, max(k.MaxBatch, 1)), append(kinds, fmt.Sprint("k", i))
	}
	for i := range d.Zones {
		zones = append(zones, fmt.Sprint("z", i))
	}
	return map[string]any{
		"fleetSize": len(d.Nodes), "myNumber": number, "categories": classes, "customers": tenants, "flavors": kinds, "failureDomains": zones,
		"discovery": "pushed", "weights": "nominal", "overShareWorth": s.OverQuotaWorth, "tick": ms(s.Tick),
		"domain": map[string]any{"decay": "line", "workers": s.Slots, "separateRoutes": apart, "kindBatch": batch},
		"limits": map[string]any{
			"dialTimeout": ms(s.DialTimeout), "connIdle": ms(s.IdleConnTimeout), "maxAttempts": s.MaxAttempts, "maxOpen": s.MaxOpenMessages,
			"maxRetryAfter": ms(s.MaxRetryAfter), "retryAfter": s.MaxRetryAfter > 0, "cancel": s.MayCancel, "mayTell": s.PeerDatagrams,
		},
		"contract": map[string]any{
			"graceToAnswer": ms(s.AnswerGrace), "coldFrom": s.ColdCapacity, "warmWithin": ms(s.WarmUpTime), "stopSendingWithin": ms(s.DrainTimeout),
			"fallMultiple": s.OverloadMultiple, "fall": ms(s.OverloadDuration),
		},
	}
}

func className(i int) string  { return fmt.Sprint("c", i) }
func tenantName(i int) string { return fmt.Sprint("t", i) }

// Begin starts the process, if it does not run. (model.Remote)
func (x *node) Start() { x.logError(x.process.Start()) }

// Die kills the process. (model.Remote)
func (x *node) Kill() { x.logError(x.process.Kill()) }

// Leave tells it to end. (model.Remote)
func (x *node) Terminate() { x.logError(x.process.Terminate()) }

func (x *node) logError(err error) {
	if err != nil {
		fmt.Fprintf(x.run.Log, "loopback: %v\n", err)
	}
}

// Listed tells it of a change of the list. (model.Remote)
func (x *node) UpdateList(e model.ListEntry) { x.updateMember(e) }

// Hand hands a message in. (model.Remote)
func (x *node) Submit(m model.Submission) {
	x.run.submissions.Go(func() {
		told, wait := model.SubmitUnanswered, time.Duration(0)
		select {
		case c := <-x.clients:
			a, after, _ := c.Enqueue(client.Message{
				ID: m.ID, Class: className(m.Class), Tenant: tenantName(m.Tenant), Key: m.ID, Dest: m.Dest, TTL: m.TimeLeft, Body: []byte("body of " + m.ID),
			})
			x.clients <- c
			wait = after
			switch a {
			case client.Accepted:
				told = model.SubmitAccepted
			case client.Busy:
				told = model.SubmitRejected
			case client.Failed:
				told = model.SubmitFailed
			}
		case <-x.run.ctx.Done():
			return
		}
		x.run.world.Do(x.run.ctx, func() { x.run.world.HandleSubmitResult(x.index, m.ID, told, wait) })
	})
}

// serves tells that the process takes clients.
func (x *node) isServing() bool {
	c := client.New(x.addr, time.Second)
	defer c.Close()
	return c.Ping()
}

func (x *node) close() error {
	x.Kill()
	if raw, err := os.ReadFile(x.process.LogPath); err == nil { // one that never ran has none
		x.run.Log.Write(raw)
	}
	for range maxClientConns {
		(<-x.clients).Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := x.platform.Shutdown(ctx)
	if err != nil {
		err = x.platform.Close()
	}
	x.platformServing.Wait()
	return err
}
