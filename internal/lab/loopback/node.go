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

const maxClientConns = 32 // connections of the clients to one node

// node is a real node: its process, a stand-in for the platform that serves this node alone, and the clients of the
// node.
type node struct {
	run              *run
	index            int
	party            relay.Party
	dir              string
	addr             string      // where clients reach the node
	platform         http.Server // serves the list and receives notices
	platformListener net.Listener
	process          process.Process
	clients          chan *client.Client // pool of idle connections
	platformServing  sync.WaitGroup

	mu       sync.Mutex
	revision int64
	members  map[string]listwatch.Member // by endpoint
	watchers map[chan []byte]bool        // one channel of list changes per watch in progress
}

// newNode creates the directories, the clients and the stand-in platform of a node. It does not start the process.
func newNode(r *run, index int, dir string) (*node, error) {
	stateDir := filepath.Join(dir, "state")
	if err := os.MkdirAll(stateDir, 0o700); err != nil {
		return nil, err
	}
	party := relay.Party{Kind: relay.Node, Index: index}
	platformListener, err := net.Listen("tcp4", process.HostPort(r.block.OwnAddr(party), process.AgentPort))
	if err != nil {
		return nil, err
	}
	x := &node{
		run: r, index: index, party: party, dir: dir, addr: process.HostPort(r.block.OwnAddr(party), process.ClientPort), platformListener: platformListener,
		clients: make(chan *client.Client, maxClientConns), revision: 1, members: map[string]listwatch.Member{}, watchers: map[chan []byte]bool{},
		process: process.Process{
			Name: party.String(), Starter: r.starter, Program: r.Program, StateDir: stateDir, LogPath: filepath.Join(dir, "log"),
			Env: []string{"ROUTER_CONFIG=" + filepath.Join(dir, "config.json"), "ROUTER_STATE=" + stateDir},
		},
	}
	for range maxClientConns {
		x.clients <- client.New(x.addr, client.AnswerTimeout)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", x.serveInstances)
	mux.HandleFunc("POST /reports", x.serveReports)
	x.platform = http.Server{Handler: mux}
	x.platformServing.Go(func() { x.platform.Serve(platformListener) }) // returns http.ErrServerClosed after close
	return x, nil
}

// updateMember changes one member of this node's list and sends the change to the watches in progress.
func (x *node) updateMember(e model.ListEntry) {
	server := x.run.server(e.Endpoint)
	if server == nil {
		return // its socket could not be opened, which has been logged
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	m := listwatch.Member{
		ID: e.Endpoint, Addr: server.faceAddr, Locality: fmt.Sprint("z", e.Zone), Flavor: fmt.Sprint("k", e.Kind), Cell: e.Dest,
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
		default: // the watch is too slow and misses this change; its next request gets the complete list
		}
	}
}

// completeList returns the complete list at the current revision. The caller holds x.mu.
func (x *node) completeList() listwatch.List {
	l := listwatch.List{Revision: x.revision, Complete: true, Members: []listwatch.Member{}}
	for _, m := range x.members {
		l.Members = append(l.Members, m)
	}
	return l
}

// serveInstances answers a request for the list: the complete list, and with watch also each change, with an empty line
// as a heartbeat after 2 s without one.
func (x *node) serveInstances(w http.ResponseWriter, r *http.Request) {
	updates := make(chan []byte, 64)
	x.mu.Lock()
	initial, err := json.Marshal(x.completeList())
	x.watchers[updates] = true
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.watchers, updates)
		x.mu.Unlock()
	}()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	for line := initial; ; {
		if _, err := w.Write(append(line, '\n')); err != nil || r.FormValue("watch") == "" {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case line = <-updates:
		case <-time.After(2 * time.Second):
			line = nil
		case <-r.Context().Done():
			return
		case <-x.run.ctx.Done():
			return
		}
	}
}

// serveReports receives notices, one JSON object per line, and passes them to the model.
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
		result := model.SubmitRejected
		if n.State == "failed" {
			result = model.SubmitFailed
		}
		x.run.world.Do(x.run.ctx, func() { x.run.world.Notice(x.index, n.ID, result, time.Duration(n.AfterMS)*time.Millisecond) })
	}
	w.WriteHeader(http.StatusNoContent)
}

// writeConfig writes the node's configuration file in the platform's format.
func (x *node) writeConfig(peerAddrs []string) error {
	x.mu.Lock()
	known := x.completeList()
	x.mu.Unlock()
	raw, err := json.Marshal(map[string]any{
		"name": fmt.Sprint("n", x.index), "listen": x.addr, "discovery": x.platformListener.Addr().String(), "source": x.run.block.OwnAddr(x.party).String(), "seed": fmt.Sprintf("%x", x.run.day.Seed+uint64(x.index)),
		"limits":      map[string]any{"cores": 1, "memory_mb": 128, "sockets": 1024, "disk_mb": 3},
		"peer_listen": process.HostPort(x.run.block.OwnAddr(x.party), process.PeerPort), "peers": peerAddrs, "known": known, "settings": platformSettings(x.run.day, x.index),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(x.dir, "config.json"), raw, 0o600)
}

// platformSettings returns the settings of the day under the names of the platform's configuration format.
func platformSettings(d *model.Day, nodeNumber int) map[string]any {
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
	var separateRoutes []bool
	var maxBatches []int
	var kinds, zones []string
	for i, k := range s.Kinds {
		separateRoutes, maxBatches, kinds = append(separateRoutes, k.SeparateRoutes), append(maxBatches, max(k.MaxBatch, 1)), append(kinds, fmt.Sprint("k", i))
	}
	for i := range d.Zones {
		zones = append(zones, fmt.Sprint("z", i))
	}
	return map[string]any{
		"fleetSize": len(d.Nodes), "myNumber": nodeNumber, "categories": classes, "customers": tenants, "flavors": kinds, "failureDomains": zones,
		"discovery": "pushed", "weights": "nominal", "overShareWorth": s.OverQuotaWorth, "tick": ms(s.Tick),
		"domain": map[string]any{"decay": "line", "workers": s.Slots, "separateRoutes": separateRoutes, "kindBatch": maxBatches},
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

// Start starts the process unless it is running. It implements model.Remote.
func (x *node) Start() { x.logError(x.process.Start()) }

// Kill kills the process. It implements model.Remote.
func (x *node) Kill() { x.logError(x.process.Kill()) }

// Terminate asks the process to shut down. It implements model.Remote.
func (x *node) Terminate() { x.logError(x.process.Terminate()) }

// logError logs an error of a command to the process; nil is ignored.
func (x *node) logError(err error) {
	if err != nil {
		fmt.Fprintf(x.run.Log, "loopback: %v\n", err)
	}
}

// UpdateList sends a change of the list to the node. It implements model.Remote.
func (x *node) UpdateList(e model.ListEntry) { x.updateMember(e) }

// Submit submits a message to the node in the background and reports the answer to the model. It implements
// model.Remote.
func (x *node) Submit(m model.Submission) {
	x.run.submissions.Go(func() {
		result, retryAfter := model.SubmitUnanswered, time.Duration(0)
		select {
		case c := <-x.clients:
			a, answeredWait, _ := c.Enqueue(client.Message{
				ID: m.ID, Class: className(m.Class), Tenant: tenantName(m.Tenant), Key: m.ID, Dest: m.Dest, TTL: m.TimeLeft, Body: []byte("body of " + m.ID),
			})
			x.clients <- c
			retryAfter = answeredWait
			switch a {
			case client.Accepted:
				result = model.SubmitAccepted
			case client.Busy:
				result = model.SubmitRejected
			case client.Failed:
				result = model.SubmitFailed
			}
		case <-x.run.ctx.Done():
			return
		}
		x.run.world.Do(x.run.ctx, func() { x.run.world.HandleSubmitResult(x.index, m.ID, result, retryAfter) })
	})
}

// isServing reports whether the process answers clients.
func (x *node) isServing() bool {
	c := client.New(x.addr, time.Second)
	defer c.Close()
	return c.Ping()
}

// close kills the process, appends its log to the log of the run, and closes the clients and the stand-in platform.
func (x *node) close() error {
	x.Kill()
	if raw, err := os.ReadFile(x.process.LogPath); err == nil { // a process that never ran has no log
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
