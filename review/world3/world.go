// Command world3 plays the platform, its discovery, the partners' endpoints and the clients around one delivery node,
// on loopback and the real clock, and judges what they see by the rules of the protocol page.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one run: its record, and the stand-ins.
type world struct {
	start   time.Time
	mu      sync.Mutex
	record  *bufio.Writer
	dir     string // temporary folder
	root    string // of the repository
	broken  []string
	limits  obj
	workers int // slots

	msgs  map[string]*message
	order []string
	waits []told
	disc  *discovery
	eps   map[string]*endpoint
}

type message struct {
	id, class string
	dest      int
	d         time.Duration
	sentAt    time.Time
	answer    string // what the client heard; empty for nothing
	answerAt  time.Time
	deliverAt time.Time // the first 200 was written
	noticeAt  time.Time
	notice    string
	calls     []*call
}

type call struct {
	ep       *endpoint
	firstAt  time.Time // first byte
	beginAt  time.Time // last byte
	endAt    time.Time // answer written, or connection ended
	status   int       // answered; 0 for none
	body     string
	endedHow string
}

func newWorld(recordPath string) *world {
	f, err := os.Create(recordPath)
	check(err)
	dir, err := os.MkdirTemp("", "world3-")
	check(err)
	root, err := os.Getwd()
	check(err)
	return &world{start: time.Now(), record: bufio.NewWriter(f), dir: dir, root: root, msgs: map[string]*message{}, eps: map[string]*endpoint{}, limits: limits(), workers: 24}
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "world3:", err)
		os.Exit(2)
	}
}

func (w *world) ms(t time.Time) string { return fmt.Sprintf("%.1f", t.Sub(w.start).Seconds()*1000) }

// log writes a line of the record. The caller does not hold w.mu.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(format, args...)
}

func (w *world) logLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%10.1f  %s\n", time.Since(w.start).Seconds()*1000, fmt.Sprintf(format, args...))
}

// fail notes a broken rule.
func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.logLocked("BROKEN %s", text)
}

func (w *world) close() {
	w.mu.Lock()
	w.record.Flush()
	w.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	}
}

// freeAddr returns a free TCP address on a loopback IP of its own, so that no outgoing connection takes its port.
func freeAddr() string {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)))
	check(err)
	defer ln.Close()
	return ln.Addr().String()
}

// ---- the node's process, as the platform runs it

type nodeProc struct {
	w       *world
	cmd     *exec.Cmd
	done    chan struct{}
	err     error
	console string
	name    string
}

// runLine reads a line of the deploy file.
func (w *world) runLine(key string) string {
	raw, err := os.ReadFile(filepath.Join(w.root, "deploy/balancer.toml"))
	check(err)
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, key+" = \""); ok {
			text, _, _ := strings.Cut(rest, "\"")
			return text
		}
	}
	check(fmt.Errorf("no line %s in the deploy file", key))
	return ""
}

// startNode starts the program by the line run. passed is the clients' listening socket, or nil.
func (w *world) startNode(name, config, state, console string, passed *os.File) *nodeProc {
	p := &nodeProc{w: w, done: make(chan struct{}), console: console, name: name}
	p.cmd = exec.Command("/bin/sh", "-c", w.runLine("run"))
	p.cmd.Dir = w.root
	tmp, err := os.MkdirTemp(w.dir, "tmp-")
	check(err)
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "ROUTER_STATE="+state, "TMPDIR="+tmp, "ROUTER_NAME=n1")
	if console != "" {
		p.cmd.Env = append(p.cmd.Env, "ROUTER_CONSOLE="+console)
	}
	if passed != nil {
		p.cmd.ExtraFiles = []*os.File{passed}
		p.cmd.Env = append(p.cmd.Env, "ROUTER_PASSED_SOCKET=3")
	}
	logFile, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(p.cmd.Start())
	w.log("platform: %s started, pid %d", name, p.cmd.Process.Pid)
	go func() {
		p.err = p.cmd.Wait()
		logFile.Close()
		w.log("platform: %s ended: %v", name, p.err)
		close(p.done)
	}()
	return p
}

func (p *nodeProc) signal(s syscall.Signal) {
	p.w.log("platform: %v to %s", s, p.name)
	p.cmd.Process.Signal(s)
}

func (p *nodeProc) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// awaitPong waits until the node answers PING with PONG.
func (w *world) awaitPong(addr string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		nc, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			continue
		}
		nc.SetDeadline(time.Now().Add(300 * time.Millisecond))
		io.WriteString(nc, "*1\r\n$4\r\nPING\r\n")
		line, _ := bufio.NewReader(nc).ReadString('\n')
		nc.Close()
		if line == "+PONG\r\n" {
			return true
		}
	}
	return false
}

// ---- discovery, an agent on the node's machine

type member struct {
	ID       string  `json:"id"`
	Addr     string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type list struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

type discovery struct {
	w        *world
	mu       sync.Mutex
	members  map[string]member
	ids      []string
	revision int64
	changes  []list
	changed  chan struct{}
	silent   bool
	listens  []*discListener
}

type discListener struct {
	addr  string
	ln    net.Listener
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (w *world) newDiscovery() *discovery {
	return &discovery{w: w, members: map[string]member{}, revision: 40, changed: make(chan struct{})}
}

func (d *discovery) whole() list {
	l := list{Revision: d.revision, Complete: true}
	for _, id := range d.ids {
		if m := d.members[id]; m.Phase != "DELETED" {
			l.Members = append(l.Members, m)
		}
	}
	return l
}

// set changes an entry and tells the watchers.
func (d *discovery) set(m member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.members[m.ID]; !ok {
		d.ids = append(d.ids, m.ID)
	}
	d.members[m.ID] = m
	d.revision++
	d.changes = append(d.changes, list{d.revision, false, []member{m}})
	close(d.changed)
	d.changed = make(chan struct{})
	d.w.log("discovery: revision %d, %s %s", d.revision, m.ID, m.Phase)
}

func (d *discovery) setSilent(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = on
	close(d.changed)
	d.changed = make(chan struct{})
	d.w.log("discovery: silent %v", on)
}

func (d *discovery) listen() *discListener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	l := &discListener{addr: ln.Addr().String(), ln: ln, conns: map[net.Conn]bool{}}
	d.listens = append(d.listens, l)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			l.conns[nc] = true
			l.mu.Unlock()
			go func() {
				d.serve(nc)
				nc.Close()
				l.mu.Lock()
				delete(l.conns, nc)
				l.mu.Unlock()
			}()
		}
	}()
	return l
}

// retire is what the old address does after a change of the configuration.
func (l *discListener) retire() {
	l.ln.Close()
	time.AfterFunc(1500*time.Millisecond, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for nc := range l.conns {
			nc.Close()
		}
	})
}

func (d *discovery) awaitVoice() {
	for {
		d.mu.Lock()
		silent, changed := d.silent, d.changed
		d.mu.Unlock()
		if !silent {
			return
		}
		<-changed
	}
}

func (d *discovery) serve(nc net.Conn) {
	r := bufio.NewReader(nc)
	for {
		head, body, _, err := readHTTP(r)
		if err != nil {
			return
		}
		fields := strings.Fields(head[0])
		if len(fields) < 2 {
			return
		}
		if fields[0] == "POST" && fields[1] == "/reports" {
			d.notices(body)
			io.WriteString(nc, "HTTP/1.1 204 No Content\r\n\r\n")
			continue
		}
		d.awaitVoice()
		after := int64(0)
		if _, text, ok := strings.Cut(fields[1], "after="); ok {
			after, _ = strconv.ParseInt(text, 10, 64)
		}
		if !strings.Contains(fields[1], "watch=1") {
			d.mu.Lock()
			raw, _ := json.Marshal(d.whole())
			d.mu.Unlock()
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(raw), raw)
			continue
		}
		d.watch(nc, after)
		return
	}
}

func (d *discovery) watch(nc net.Conn, after int64) {
	if _, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	chunk := func(b []byte) error {
		_, err := fmt.Fprintf(nc, "%x\r\n%s\r\n", len(b), b)
		return err
	}
	first := true
	for {
		d.awaitVoice()
		d.mu.Lock()
		var l list
		switch {
		case first && after < 40:
			l = d.whole()
		default:
			l = list{Revision: d.revision}
			for _, c := range d.changes {
				if c.Revision > after {
					l.Members = append(l.Members, c.Members...)
				}
			}
		}
		changed := d.changed
		send := first || l.Revision > after
		after, first = d.revision, false
		if l.Members == nil {
			l.Members = []member{}
		}
		raw, _ := json.Marshal(l)
		d.mu.Unlock()
		if send {
			if chunk(append(raw, '\n')) != nil {
				return
			}
			d.w.log("discovery: told revision %d", after)
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			d.mu.Lock()
			silent := d.silent
			d.mu.Unlock()
			if !silent && chunk([]byte("\n")) != nil {
				return
			}
		}
	}
}

func (d *discovery) notices(body []byte) {
	now := time.Now()
	for _, line := range bytes.Split(body, []byte("\n")) {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		var n struct {
			ID, State string
			AfterMS   int64 `json:"after_ms"`
		}
		if json.Unmarshal(line, &n) != nil {
			d.w.fail("a notice can't be read: %q", line)
			continue
		}
		d.w.mu.Lock()
		if m := d.w.msgs[n.ID]; m != nil && m.noticeAt.IsZero() {
			m.noticeAt, m.notice = now, n.State
		}
		d.w.logLocked("notice %s %s %d", n.ID, n.State, n.AfterMS)
		d.w.mu.Unlock()
	}
}

// readHTTP reads a request, and returns when its first byte came.
func readHTTP(r *bufio.Reader) (head []string, body []byte, firstAt time.Time, err error) {
	if _, err = r.Peek(1); err != nil {
		return
	}
	firstAt = time.Now()
	length := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return nil, nil, firstAt, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			break
		}
		head = append(head, line)
		if name, value, ok := strings.Cut(line, ":"); ok && strings.EqualFold(name, "Content-Length") {
			length, _ = strconv.Atoi(strings.TrimSpace(value))
		}
	}
	if len(head) == 0 {
		return nil, nil, firstAt, io.ErrUnexpectedEOF
	}
	body = make([]byte, length)
	_, err = io.ReadFull(r, body)
	return head, body, firstAt, err
}

// ---- endpoints

// reply is what an endpoint does with a call.
type reply struct {
	status int // 0: nothing is ever said
	after  time.Duration
	retry  time.Duration
	reset  bool // the connection is reset in place of an answer
	raw    string
	stay   bool // what follows raw never comes, and the connection stays open
}

type endpoint struct {
	w        *world
	m        member
	ln       net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	behave   func(id string, n int) reply // n: calls so far
	n        int
	open     int // calls that are out
	toldAt   time.Time
	bannedAt time.Time
	waitFrom time.Time
	waitTill time.Time
}

func (w *world) addEndpoint(id string, cell int, locality string, behave func(string, int) reply) *endpoint {
	e := &endpoint{w: w, behave: behave, conns: map[net.Conn]bool{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e.ln = ln
	e.m = member{ID: id, Addr: ln.Addr().String(), Locality: locality, Flavor: "employer", Cell: cell, Phase: "SERVING", Size: 200}
	w.eps[id] = e
	w.disc.mu.Lock()
	w.disc.members[id] = e.m
	w.disc.ids = append(w.disc.ids, id)
	w.disc.mu.Unlock()
	go e.accept(ln)
	return e
}

func (e *endpoint) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[nc] = true
		e.mu.Unlock()
		go e.serve(nc)
	}
}

// crash ends the endpoint's process: connections are reset and new ones refused.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ln.Close()
	for nc := range e.conns {
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
	e.w.log("endpoint %s: down", e.m.ID)
}

func (e *endpoint) revive() {
	ln, err := net.Listen("tcp", e.m.Addr)
	check(err)
	e.mu.Lock()
	e.ln = ln
	e.mu.Unlock()
	go e.accept(ln)
	e.w.log("endpoint %s: up", e.m.ID)
}

func (e *endpoint) setBehave(f func(string, int) reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behave = f
}

func header(head []string, name string) string {
	for _, line := range head[1:] {
		if n, v, ok := strings.Cut(line, ":"); ok && strings.EqualFold(n, name) {
			return strings.TrimSpace(v)
		}
	}
	return ""
}

func (e *endpoint) serve(nc net.Conn) {
	defer func() {
		nc.Close()
		e.mu.Lock()
		delete(e.conns, nc)
		e.mu.Unlock()
	}()
	r := bufio.NewReader(nc)
	for {
		head, body, firstAt, err := readHTTP(r)
		if err != nil {
			return
		}
		id := header(head, "X-Trace-Id")
		e.mu.Lock()
		rep := e.behave(id, e.n)
		e.n++
		e.open++
		e.mu.Unlock()
		c := &call{ep: e, firstAt: firstAt, beginAt: time.Now(), body: string(body)}
		e.w.begun(id, c, header(head, "Idempotency-Key"))
		gone := make(chan struct{})
		go func() { // sees the end of the connection while the call is out
			r.Peek(1)
			close(gone)
		}()
		ended := ""
		if rep.status == 0 && !rep.reset && rep.raw == "" {
			<-gone
			ended = "given up"
		} else {
			select {
			case <-gone:
				ended = "given up"
			case <-time.After(rep.after):
			}
		}
		if ended == "" && rep.reset {
			nc.(*net.TCPConn).SetLinger(0)
			nc.Close()
			ended = "reset"
		}
		if ended == "" {
			text := rep.raw
			if text == "" {
				text = fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n", rep.status)
				if rep.retry > 0 {
					text += fmt.Sprintf("Retry-After: %.3f\r\n", rep.retry.Seconds())
				}
				text += "\r\n"
			}
			e.w.answered(id, c, rep)
			if rep.retry > 0 {
				e.mu.Lock()
				e.waitFrom, e.waitTill = time.Now(), time.Now().Add(rep.retry)
				e.mu.Unlock()
			}
			io.WriteString(nc, text)
		} else {
			e.w.ended(id, c, ended)
		}
		e.mu.Lock()
		e.open--
		e.mu.Unlock()
		if ended != "" {
			return
		}
		if rep.raw != "" && !rep.stay {
			return
		}
		<-gone // the next request's first byte, or the end
	}
}

func (w *world) begun(id string, c *call, key string) {
	w.mu.Lock()
	m := w.msgs[id]
	w.logLocked("call %s at %s (dest %d)", id, c.ep.m.ID, c.ep.m.Cell)
	if m == nil {
		w.mu.Unlock()
		w.fail("work that nobody sent: id %q", id)
		return
	}
	m.calls = append(m.calls, c)
	w.mu.Unlock()
	if c.ep.m.Cell != m.dest {
		w.fail("%s sent to another destination", id)
	}
	if c.body != "body of "+id && !strings.HasPrefix(c.body, "big of "+id) {
		w.fail("%s came with another body", id)
	}
	if key != keyOf(id, m.class, m.dest) {
		w.fail("%s came with key %q", id, key)
	}
}

func (w *world) answered(id string, c *call, rep reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.endAt, c.status, c.endedHow = time.Now(), rep.status, "answered"
	if m := w.msgs[id]; m != nil && rep.status == 200 && m.deliverAt.IsZero() {
		m.deliverAt = c.endAt
	}
	if rep.retry > 0 {
		w.waits = append(w.waits, told{c.ep.m.Cell, c.endAt, c.endAt.Add(rep.retry)})
	}
	w.logLocked("answer %s by %s: %d, wait %v", id, c.ep.m.ID, rep.status, rep.retry)
}

func (w *world) ended(id string, c *call, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.endAt, c.endedHow = time.Now(), how
	w.logLocked("no answer %s by %s: %s", id, c.ep.m.ID, how)
}
