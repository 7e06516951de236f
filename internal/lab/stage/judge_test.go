package stage

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"harrierramp/internal/lab/model"
	"harrierramp/internal/partner"
)

const faultEnv = "TEST_FAULTY_NODE"

// faultyNode stands in for a node and makes one kind of mistake, which TEST_FAULTY_NODE names. It reads its addresses
// from the configuration that the stage writes, and the list from the list server.
func faultyNode(args []string) int {
	raw, err := os.ReadFile(args[2]) // serve --config FILE
	if err != nil {
		return 1
	}
	var cfg struct {
		Listen, Source string
		Registry       struct{ Addresses []string }
	}
	if json.Unmarshal(raw, &cfg) != nil {
		return 1
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(cfg.Source)}}
	httpClient := &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 100}}
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM)
	list := func() (addrs []string) {
		resp, err := httpClient.Get("http://" + cfg.Registry.Addresses[0] + "/registry/instances")
		if err != nil {
			return nil
		}
		defer resp.Body.Close()
		var l struct {
			Members []struct {
				Addr string `json:"host_port"`
			}
		}
		json.NewDecoder(resp.Body).Decode(&l) // a response that cannot be read counts as an empty list
		for _, m := range l.Members {
			addrs = append(addrs, m.Addr)
		}
		return addrs
	}
	var known []string
	for known = list(); len(known) == 0; known = list() {
		time.Sleep(20 * time.Millisecond)
	}
	call := func(addr, id string) {
		req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/messages", strings.NewReader("x"))
		if err != nil {
			return
		}
		req.Header.Set("X-Trace-Id", id)
		if resp, err := httpClient.Do(req); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	sendNotice := func(id, state string) {
		resp, err := httpClient.Post("http://"+cfg.Registry.Addresses[0]+"/reports", "application/json", strings.NewReader(fmt.Sprintf(`{"id":%q,"state":%q}`+"\n", id, state)))
		if err == nil {
			resp.Body.Close()
		}
	}
	var accepted atomic.Int64
	fault := os.Getenv(faultEnv)
	deliver := func(id string) {
		switch addr := known[0]; fault {
		case "loses":
		case "copies":
			go call(addr, id)
			time.Sleep(150 * time.Millisecond)
			call(addr, id)
		case "repeats":
			call(addr, id)
			call(addr, id)
		case "invents":
			call(addr, "nobody-handed-this-in")
			call(addr, id)
		case "ends late":
			time.Sleep(1800 * time.Millisecond)
			sendNotice(id, "returned")
		case "goes on": // at the endpoint that it read at the start
			call(addr, id)
			for range 20 {
				time.Sleep(200 * time.Millisecond)
				call(addr, id)
			}
		case "crashes":
			os.Exit(3)
		default:
			call(addr, id)
		}
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return 1
	}
	go func() {
		<-terminate
		os.Exit(0)
	}()
	for {
		nc, err := ln.Accept()
		if err != nil {
			return 1
		}
		go func() {
			defer nc.Close()
			r := bufio.NewReader(nc)
			for {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				var words int
				fmt.Sscanf(line, "*%d", &words)
				var args []string
				for range words {
					r.ReadString('\n')
					w, err := r.ReadString('\n')
					if err != nil {
						return
					}
					args = append(args, strings.TrimSpace(w))
				}
				if len(args) == 1 {
					io.WriteString(nc, "+PONG\r\n")
					continue
				}
				io.WriteString(nc, "+OK\r\n")
				accepted.Add(1)
				go deliver(args[2])
			}
		}()
	}
}

// A partner that executes a call twice, after a refusal or without a call is reported as a violation.
func TestPartnerFaultsAreReported(t *testing.T) {
	s := loadScript(t, "name = \"partner\"\nnodes = 1\n[[destination]]\nendpoints = 2\n")
	day, err := s.judgeDay()
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		does []partner.Event
		want string
	}{
		"executes each call once": {[]partner.Event{{Type: partner.CallReceived, MessageID: "m"}, {Type: partner.CallExecuted, MessageID: "m"}}, ""},
		"refuses, then is called again": {[]partner.Event{
			{Type: partner.CallReceived, MessageID: "m"}, {Type: partner.CallRefused, MessageID: "m"}, {Type: partner.CallReceived, MessageID: "m"}, {Type: partner.CallExecuted, MessageID: "m"}}, ""},
		"executes one call twice":           {[]partner.Event{{Type: partner.CallReceived, MessageID: "m"}, {Type: partner.CallExecuted, MessageID: "m"}, {Type: partner.CallExecuted, MessageID: "m"}}, "without a call"},
		"executes a call it has refused":    {[]partner.Event{{Type: partner.CallReceived, MessageID: "m"}, {Type: partner.CallRefused, MessageID: "m"}, {Type: partner.CallExecuted, MessageID: "m"}}, "without a call"},
		"executes what was never submitted": {[]partner.Event{{Type: partner.CallExecuted, MessageID: "x"}}, "was never submitted"},
		"executes without a call":           {[]partner.Event{{Type: partner.CallExecuted, MessageID: "m"}}, "without a call"},
	} {
		l := newLedger(&s, day, time.Now())
		l.nodeStarted(0)
		m := &message{id: "m", class: classAtMostOnce, deadline: time.Second}
		l.submitting(m)
		l.submissionAnswered(m, model.SubmitAccepted, true)
		for _, e := range c.does {
			e.Endpoint, e.PeerAddr = "p0-0", "127.0.0.1:1"
			l.partnerEvent(0, e)
		}
		broken := strings.Join(l.report(nil).Broken, "\n")
		if (c.want == "") != (broken == "") || !strings.Contains(broken, c.want) {
			t.Errorf("a partner that %s: %q", name, broken)
		}
	}
}

// Each rule that a faulty node breaks on purpose is reported, and a node that breaks no rule is not accused.
func TestNodeFaultsAreReported(t *testing.T) {
	const text = `
name = "judged"
seed = 1
nodes = 1
for = "1s"
[start]
nodes = "300ms"
[traffic]
burst = 3
life = "1s"
unsafe = 1.0
[[destination]]
latency = "300ms"
`
	for fault, want := range map[string]string{
		"": "", "loses": "no final answer", "copies": "copies", "repeats": "repeat", "invents": "was never submitted",
		"ends late": "late", "crashes": "crash", "goes on": "",
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			s := loadScript(t, text)
			if fault == "goes on" {
				s.Actions = []ActionSpec{{At: 1000, Targets: "partners:0", Type: "withdraw"}}
				s.Length = 4500
			}
			r, err := Play(t.Context(), s, Options{Program: os.Args[0], Env: []string{childEnv + "=1", faultEnv + "=" + fault}})
			if err != nil && fault != "crashes" {
				t.Fatal(err)
			}
			rules := strings.Join(r.Broken, "\n")
			if (want == "") != (r.Figures["broken"] == 0) && fault != "goes on" || !strings.Contains(rules, want) {
				t.Errorf("report %q, want a violation of %q", rules, want)
			}
			if late := r.Figures["late_calls"]; (late > 0) != (fault == "goes on") {
				t.Errorf("%v calls at a withdrawn endpoint", late)
			}
			if fault == "goes on" && (len(r.LateCalls) != 1 || r.LateCalls[0].Node != 0 || r.Figures["last_late_call"] < 1) {
				t.Errorf("late calls %+v, the last one %v s after the withdrawal", r.LateCalls, r.Figures["last_late_call"])
			}
		})
	}
}
