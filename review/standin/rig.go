// Package main holds the stand-ins of the review's cases: the platform (discovery agent and notices), endpoints,
// clients and the control of node processes. They follow PROTOCOL, DEPLOY and TERMS, and use loopback addresses only.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Rig is what all stand-ins of one run share: the record, the clock and the temporary folder.
type Rig struct {
	began  time.Time
	dir    string // temporary
	root   string // of the repository
	mu     sync.Mutex
	record *os.File
}

func newRig(record string) (*Rig, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	for ; ; root = filepath.Dir(root) {
		if _, err := os.Stat(filepath.Join(root, "deploy", "balancer.toml")); err == nil {
			break
		}
		if root == "/" {
			return nil, fmt.Errorf("deploy/balancer.toml not found above the current folder")
		}
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &Rig{began: time.Now(), dir: dir, root: root, record: f}, nil
}

// logf writes a line to the record, with the seconds since the start.
func (r *Rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.4f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *Rig) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

func (r *Rig) close() {
	r.record.Close()
	os.RemoveAll(r.dir)
}

// runLine returns the command of a key of the deploy file.
func (r *Rig) runLine(key string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, key+" = \""); ok {
			value, _, _ := strings.Cut(rest, "\"")
			return value, nil
		}
	}
	return "", fmt.Errorf("the deploy file has no line %q", key)
}

// Member is an entry of discovery's list.
type Member struct {
	ID       string  `json:"id"`
	Addr     string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	Up       int64   `json:"up_since_ms"`
}

// List is discovery's list or a change of it.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Platform is the agent of discovery, which takes the notices as well.
type Platform struct {
	rig     *Rig
	ln      net.Listener
	list    List // it does not change
	mu      sync.Mutex
	notices map[string][]Notice
}

// Notice is a notice that was answered with 204.
type Notice struct {
	At    time.Time
	ID    string `json:"id"`
	State string `json:"state"`
	After int64  `json:"after_ms"`
}

func newPlatform(r *Rig, members []Member) (*Platform, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{rig: r, ln: ln, list: List{41, true, members}, notices: map[string][]Notice{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", p.serveList)
	mux.HandleFunc("POST /reports", p.serveReports)
	go http.Serve(ln, mux)
	return p, nil
}

func (p *Platform) addr() string { return p.ln.Addr().String() }

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	json.NewEncoder(w).Encode(p.list)
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
}

func (p *Platform) serveReports(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(400)
		return
	}
	var all []Notice
	for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		n := Notice{At: time.Now()}
		if json.Unmarshal([]byte(line), &n) != nil || n.ID == "" || (n.State != "failed" && n.State != "returned") {
			w.WriteHeader(400)
			return
		}
		all = append(all, n)
	}
	p.mu.Lock()
	for _, n := range all {
		p.notices[n.ID] = append(p.notices[n.ID], n)
		p.rig.logf("notice    %s %s after_ms=%d", n.ID, n.State, n.After)
	}
	p.mu.Unlock()
	w.WriteHeader(204)
}

func (p *Platform) noticesOf(id string) []Notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices[id]
}

// Call is a call that an endpoint has read to its last byte.
type Call struct {
	At       time.Time
	Endpoint *Endpoint
	ID, Key  string
	Body     string
	conn     net.Conn

	mu       sync.Mutex
	Answer   string    // status that was written whole, or what was done instead
	Answered time.Time // when that was written, or the connection ended

	quiet chan struct{} // closed when the node has ended the connection, or sent more
}

func (c *Call) set(answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Answer == "" {
		c.Answer, c.Answered = answer, time.Now()
	}
}

func (c *Call) outcome() (string, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Answer, c.Answered
}

// Endpoint is an endpoint of a destination. serve answers a call; false closes the connection.
type Endpoint struct {
	rig    *Rig
	Member Member
	ln     net.Listener
	serve  func(*Call) bool
	calls  *Calls
}

// Calls are the calls at all endpoints.
type Calls struct {
	mu  sync.Mutex
	all []*Call
}

func (c *Calls) add(call *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, call)
}

func (c *Calls) of(id string) (out []*Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.all {
		if call.ID == id {
			out = append(out, call)
		}
	}
	return out
}

func (c *Calls) snapshot() []*Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Call(nil), c.all...)
}

func newEndpoint(r *Rig, calls *Calls, id, zone, kind string, dest int, size float64, serve func(*Call) bool) (*Endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{rig: r, ln: ln, serve: serve, calls: calls}
	e.Member = Member{id, ln.Addr().String(), zone, kind, dest, "SERVING", size, 0}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serveConn(nc)
		}
	}()
	return e, nil
}

func (e *Endpoint) serveConn(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		c := &Call{At: time.Now(), quiet: make(chan struct{}), Endpoint: e, ID: req.Header.Get("X-Trace-Id"), Key: req.Header.Get("Idempotency-Key"), Body: string(body), conn: nc}
		e.calls.add(c)
		e.rig.logf("call      %s at %s (dest %d, %s) key=%s expires=%s", c.ID, e.Member.ID, e.Member.Cell, e.Member.Locality, c.Key, req.Header.Get("X-Expires-In"))
		go func() {
			defer close(c.quiet)
			if _, err := br.Peek(1); err != nil {
				c.set("no answer")
			}
		}()
		if !e.serve(c) {
			c.set("closed")
			return
		}
		<-c.quiet
	}
}

// reply writes a whole answer.
func (c *Call) reply(status int, headers ...string) bool {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	for _, h := range headers {
		text += h + "\r\n"
	}
	c.mu.Lock()
	if c.Answer != "" { // the node has ended the connection
		c.mu.Unlock()
		return false
	}
	// Under the lock: the node may end the connection as soon as it has read the answer.
	_, err := io.WriteString(c.conn, text+"\r\n")
	c.Answer, c.Answered = strconv.Itoa(status), time.Now()
	if err != nil {
		c.Answer = "gone before " + c.Answer
	}
	c.mu.Unlock()
	c.Endpoint.rig.logf("answer    %s at %s: %d %v, error: %v", c.ID, c.Endpoint.Member.ID, status, headers, err)
	return err == nil
}

// Node is a delivery node, as the platform starts it. Two processes are one node during an upgrade.
type Node struct {
	rig    *Rig
	name   string
	listen string
	config string
	state  string
	env    []string
	passed *os.File // the clients' listening socket, if the platform holds it
}

// Proc is one process of a node.
type Proc struct {
	node *Node
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func newNode(r *Rig, name string) (*Node, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	n := &Node{rig: r, name: name, listen: addr, config: filepath.Join(r.dir, name+".json"), state: filepath.Join(r.dir, name+".state")}
	return n, os.Mkdir(n.state, 0o700)
}

// holdSocket opens the clients' socket, which then outlives the processes.
func (n *Node) holdSocket() error {
	ln, err := net.Listen("tcp", n.listen)
	if err != nil {
		return err
	}
	n.passed, err = ln.(*net.TCPListener).File()
	ln.Close()
	return err
}

// configure writes the configuration as the platform does, and replaces an earlier one.
func (n *Node) configure(values map[string]any) error {
	c := map[string]any{"name": n.name, "listen": n.listen, "seed": fmt.Sprintf("%x", time.Now().UnixNano())}
	for k, v := range values {
		c[k] = v
	}
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.config+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(n.config+".new", n.config)
}

// start starts a process by the run line, from the root.
func (n *Node) start(extraEnv ...string) (*Proc, error) {
	run, err := n.rig.runLine("run")
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = n.rig.root
	tmp, err := os.MkdirTemp(n.rig.dir, "tmp")
	if err != nil {
		return nil, err
	}
	cmd.Env = append(os.Environ(), "ROUTER_NAME="+n.name, "ROUTER_LISTEN="+n.listen, "ROUTER_STATE="+n.state, "ROUTER_CONFIG="+n.config, "TMPDIR="+tmp)
	cmd.Env = append(append(cmd.Env, n.env...), extraEnv...)
	if n.passed != nil {
		cmd.ExtraFiles = []*os.File{n.passed}
		cmd.Env = append(cmd.Env, "ROUTER_PASSED_SOCKET=3")
	}
	log, err := os.OpenFile(filepath.Join(n.rig.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Proc{node: n, cmd: cmd, done: make(chan struct{})}
	n.rig.logf("platform  starts %s, pid %d", n.name, cmd.Process.Pid)
	go func() {
		p.err = cmd.Wait()
		n.rig.logf("platform  %s, pid %d, has ended: %v", n.name, cmd.Process.Pid, cmd.ProcessState)
		close(p.done)
	}()
	return p, nil
}

func (p *Proc) signal(s syscall.Signal) {
	p.node.rig.logf("platform  %v to pid %d", s, p.cmd.Process.Pid)
	p.cmd.Process.Signal(s)
}

func (p *Proc) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *Proc) kill() {
	p.cmd.Process.Signal(syscall.SIGCONT)
	p.cmd.Process.Kill()
	<-p.done
}

// end ends the process as at a planned restart: SIGTERM, and SIGKILL 3.7 s later if it is still there.
func (p *Proc) end() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(3700 * time.Millisecond):
		p.kill()
	}
}

// anonMB returns the process's own memory that is resident: no mapped files, no page cache.
func (p *Proc) anonMB() (now float64) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(raw), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// awaitReady waits until the node answers PING with +PONG.
func (n *Node) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if n.ping() {
			n.rig.logf("platform  %s answers PING", n.name)
			return true
		}
	}
	return false
}

func (n *Node) ping() bool {
	nc, err := net.DialTimeout("tcp", n.listen, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(nc, resp("PING"))
	line, err := bufio.NewReader(nc).ReadString('\n')
	return err == nil && strings.HasPrefix(line, "+PONG")
}

// resp encodes a command as an array of bulk strings.
func resp(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}

// Message is a message that a client hands in.
type Message struct {
	ID, Class, Tenant, Key string
	Dest                   int
	TTL                    time.Duration
	Body                   string

	Sent   time.Time // when its last byte was written
	Answer string    // the line that came within the client's patience; empty if none did
	Failed string    // why there was no answer
	Heard  time.Time
}

func (m *Message) deadline() time.Time { return m.Sent.Add(m.TTL) }

func (m *Message) takenOn() bool {
	return strings.HasPrefix(m.Answer, "+") || strings.HasPrefix(m.Answer, "$")
}

func (m *Message) encode() string {
	fields := fmt.Sprintf("c=%s,t=%s,d=%d", m.Class, m.Tenant, m.TTL.Milliseconds())
	if m.Key != "" {
		fields += ",k=" + m.Key
	}
	return resp("ENQUEUE", "0000000000000000", m.ID, fmt.Sprintf("%s,dest=%d", fields, m.Dest), m.Body)
}

// Client keeps one connection to a node.
type Client struct {
	rig    *Rig
	listen string
	nc     net.Conn
	br     *bufio.Reader
}

const clientPatience = 400 * time.Millisecond

// handIn hands in one message. It uses the client's connection, or opens one.
func (c *Client) handIn(m *Message) {
	for again := 0; ; again++ {
		reused := c.nc != nil
		if c.nc == nil {
			nc, err := net.DialTimeout("tcp", c.listen, clientPatience)
			if err != nil {
				m.Sent, m.Failed = time.Now(), err.Error()
				c.rig.logf("client    %s: %s", m.ID, m.Failed)
				return
			}
			c.nc, c.br = nc, bufio.NewReader(nc)
		}
		c.nc.SetDeadline(time.Now().Add(clientPatience))
		_, err := io.WriteString(c.nc, m.encode())
		m.Sent = time.Now()
		var line string
		if err == nil {
			line, err = c.br.ReadString('\n')
		}
		if err == nil {
			m.Answer, m.Heard = strings.TrimSpace(line), time.Now()
			c.rig.logf("handed in %s c=%s dest=%d d=%d k=%s: %s", m.ID, m.Class, m.Dest, m.TTL.Milliseconds(), m.Key, m.Answer)
			return
		}
		c.drop()
		// The node may end a connection between requests; a request that crosses that is sent once more.
		if reused && again == 0 && !os.IsTimeout(err) && line == "" {
			c.rig.logf("client    %s crossed the end of its connection: %v", m.ID, err)
			continue
		}
		m.Failed = err.Error()
		c.rig.logf("client    %s got no answer: %v", m.ID, err)
		return
	}
}

func (c *Client) drop() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}
