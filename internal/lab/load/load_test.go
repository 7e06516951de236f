package load

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// slowNode starts a server that answers the messages of a connection one at a time, each after a pause.
func slowNode(t *testing.T, pause time.Duration) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				lines := bufio.NewReader(nc)
				for {
					for range 11 { // a request is an array of five strings: 11 lines
						if _, err := lines.ReadString('\n'); err != nil {
							return
						}
					}
					time.Sleep(pause)
					if _, err := io.WriteString(nc, "+OK\r\n"); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// When a node answers more slowly than messages are due, the measured latency grows with each message, and all messages
// are submitted nevertheless. A latency measured from the time of sending would hide the delay (coordinated omission).
func TestLatencyIsMeasuredFromTheDueTime(t *testing.T) {
	c := Config{
		Nodes: []string{slowNode(t, 10*time.Millisecond)}, Rate: 200, Pattern: "even", Count: 60, ConnsPerNode: 1, Dests: 3,
		Classes: []Class{{"notice", 1, time.Second}}, BodyBytes: 10,
	}
	r, err := Run(t.Context(), c, nil)
	if err != nil {
		t.Fatal(err)
	}
	k := r.Classes["notice"]
	if k.Sent != 60 || k.Accepted+k.Unanswered != 60 || len(r.AcceptedIDs) != k.Accepted {
		t.Fatalf("%+v", k)
	}
	// The last message was due after 300 ms and answered after 600 ms at the earliest.
	if most := time.Duration(k.Latency.Max()) * time.Microsecond; most < 250*time.Millisecond {
		t.Errorf("the longest latency is %v, want at least 250ms", most)
	}
	var b strings.Builder
	if err := r.WriteTable(&b); err != nil || !strings.Contains(b.String(), "notice") {
		t.Errorf("%v: %s", err, b.String())
	}
}

func TestConfigLimitsAndRamps(t *testing.T) {
	valid := Config{Nodes: []string{"127.0.0.1:1"}, Rate: 100, RampTo: 300, RampSteps: 3, Pattern: "even", Count: 1, ConnsPerNode: 1, Dests: 1, Classes: []Class{{"a", 1, time.Second}}}
	if err := valid.Check(); err != nil {
		t.Fatal(err)
	}
	for elapsed, want := range map[float64]float64{0: 100, 0.3: 100, 0.4: 200, 0.9: 300, 2: 300} {
		if got := valid.rateAt(elapsed); got != want {
			t.Errorf("after share %v of the run: %v messages per second, want %v", elapsed, got, want)
		}
	}
	for name, change := range map[string]func(c *Config){
		"another machine": func(c *Config) { c.Nodes = []string{"10.0.0.1:1"} },
		"a name":          func(c *Config) { c.Nodes = []string{"example.org:1"} },
		"no end":          func(c *Config) { c.Count = 0 },
		"too fast":        func(c *Config) { c.Rate = 1e9 },
		"no connection":   func(c *Config) { c.ConnsPerNode = 0 },
		"a pattern":       func(c *Config) { c.Pattern = "often" },
	} {
		c := valid
		change(&c)
		if c.Check() == nil {
			t.Errorf("%s: the configuration is accepted", name)
		}
	}
}
