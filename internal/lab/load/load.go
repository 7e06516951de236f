// Package load drives a running fleet over RESP2 in an open loop: when a message is handed in hangs on the clock alone,
// and its time counts from when it was due, so that a slow node can't hide behind a client that waits for it
// (coordinated omission).
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"harrierramp/internal/client"
)

// Bounds of a run.
const (
	MaxRate     = 100_000
	MaxCount    = 10_000_000
	MaxDuration = time.Hour
	maxConns    = 4096
	maxLatency  = time.Minute // of what a histogram tells apart
)

// Class is a class of messages to hand in.
type Class struct {
	Name  string
	Share float64
	TTL   time.Duration
}

// Config is a run.
type Config struct {
	Nodes        []string // addresses, of loopback
	Rate         float64  // messages a second, of all nodes together
	RampTo       float64  // the rate grows or falls to this over the run; 0 for no ramp
	RampSteps    int      // the ramp goes in so many steps; 0 for a straight one
	Pattern      string   // poisson, even, or clumps of ten
	Count        int      // messages at most
	Duration     time.Duration
	ConnsPerNode int // to each node
	Dests        int // destinations 0 to Dests-1, the first ones more often (Zipf with exponent 1)
	Classes      []Class
	BodyBytes    int // bytes
	Seed         uint64
}

// Check tells what is wrong with a run.
func (c *Config) Check() error {
	for _, n := range c.Nodes {
		host, _, err := net.SplitHostPort(n)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("load: %q is no address of loopback", n)
		}
	}
	switch {
	case len(c.Nodes) == 0:
		return fmt.Errorf("load: no nodes")
	case !(c.Rate > 0 && c.Rate <= MaxRate && c.RampTo >= 0 && c.RampTo <= MaxRate):
		return fmt.Errorf("load: rates are from 0 to %d", MaxRate)
	case c.Count < 0 || c.Count > MaxCount || c.Duration < 0 || c.Duration > MaxDuration || c.Count == 0 && c.Duration == 0:
		return fmt.Errorf("load: a run ends by count (%d at most) or by time (%v at most)", MaxCount, MaxDuration)
	case c.ConnsPerNode < 1 || c.ConnsPerNode*len(c.Nodes) > maxConns:
		return fmt.Errorf("load: %d connections to each node: from 1, and %d altogether", c.ConnsPerNode, maxConns)
	case c.Dests < 1 || len(c.Classes) == 0:
		return fmt.Errorf("load: destinations and classes are needed")
	case !slices.Contains([]string{"poisson", "even", "clumps"}, c.Pattern):
		return fmt.Errorf("load: pattern %q: poisson, even or clumps", c.Pattern)
	}
	return nil
}

// rateAt is the rate at a share of the run that has passed.
func (c *Config) rateAt(part float64) float64 {
	if c.RampTo <= 0 {
		return c.Rate
	}
	if c.RampSteps > 0 {
		part = float64(min(int(part*float64(c.RampSteps)), c.RampSteps-1)) / float64(max(c.RampSteps-1, 1))
	}
	return c.Rate + (c.RampTo-c.Rate)*min(max(part, 0), 1)
}

// Result is what nodes said, by class. Latency is in microseconds, from when a message was due to its answer.
type Result struct {
	Elapsed     time.Duration
	Classes     map[string]*ClassResult
	AcceptedIDs []string // ids that nodes owe an end, in the order of their answers
}

// ClassResult is what came of a class.
type ClassResult struct {
	Sent, Accepted, Busy, Failed, Unanswered int
	Latency                                  *hdrhistogram.Histogram
	RetryAfter                               *hdrhistogram.Histogram // waits told with a refusal, in milliseconds
}

type submission struct {
	dueAt   time.Time
	message client.Message
	class   string
}

// Run hands messages in and returns when the last has its answer, or ctx ends. progress may be nil.
func Run(ctx context.Context, c Config, progress func(sent int, rate float64)) (*Result, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	r := rand.New(rand.NewPCG(c.Seed, 3))
	zipf := rand.NewZipf(r, 1.01, 1, uint64(c.Dests-1))
	total := 0.0
	res := &Result{Classes: map[string]*ClassResult{}}
	for _, k := range c.Classes {
		total += k.Share
		res.Classes[k.Name] = &ClassResult{Latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3), RetryAfter: hdrhistogram.New(1, maxLatency.Milliseconds(), 3)}
	}
	body := []byte(strings.Repeat("x", c.BodyBytes))
	// A place for every message that may be on its way: one that finds none would slow the loop down.
	queues := make([]chan submission, len(c.Nodes))
	var mu sync.Mutex
	var workers sync.WaitGroup
	for i, addr := range c.Nodes {
		queues[i] = make(chan submission, MaxRate)
		for range c.ConnsPerNode {
			workers.Go(func() {
				conn := client.New(addr, client.AnswerTimeout)
				defer conn.Close()
				for d := range queues[i] {
					if ctx.Err() != nil {
						continue
					}
					a, wait, _ := conn.Enqueue(d.message)
					took := time.Since(d.dueAt)
					mu.Lock()
					res.Classes[d.class].record(a, wait, took)
					if a == client.Accepted {
						res.AcceptedIDs = append(res.AcceptedIDs, d.message.ID)
					}
					mu.Unlock()
				}
			})
		}
	}
	began := time.Now()
	at, sent, last := began, 0, began
	for ctx.Err() == nil && (c.Count == 0 || sent < c.Count) && (c.Duration == 0 || at.Sub(began) < c.Duration) {
		part := 0.0
		if c.Duration > 0 {
			part = at.Sub(began).Seconds() / c.Duration.Seconds()
		} else {
			part = float64(sent) / float64(c.Count)
		}
		rate := c.rateAt(part)
		gap, clump := 1/rate, 1
		switch c.Pattern {
		case "poisson":
			gap = r.ExpFloat64() / rate
		case "clumps":
			gap, clump = 10*r.ExpFloat64()/rate, 10
		}
		at = at.Add(time.Duration(gap * float64(time.Second)))
		if wait := time.Until(at); wait > 0 {
			time.Sleep(wait)
		}
		dest := int(zipf.Uint64())
		for range clump {
			class := c.Classes[len(c.Classes)-1]
			for x, i := r.Float64()*total, 0; i < len(c.Classes); i++ {
				if x -= c.Classes[i].Share; x < 0 {
					class = c.Classes[i]
					break
				}
			}
			id := fmt.Sprintf("load-%x-%08x", c.Seed, sent)
			d := submission{at, client.Message{ID: id, Key: id, Class: class.Name, Dest: dest, TTL: class.TTL, Body: body}, class.Name}
			select {
			case queues[r.IntN(len(queues))] <- d:
			default: // a hundred thousand wait: the nodes are gone
				mu.Lock()
				res.Classes[class.Name].record(client.NoAnswer, 0, maxLatency)
				mu.Unlock()
			}
			sent++
		}
		if progress != nil && time.Since(last) > time.Second {
			last = time.Now()
			progress(sent, rate)
		}
	}
	for _, q := range queues {
		close(q)
	}
	workers.Wait()
	res.Elapsed = time.Since(began)
	return res, ctx.Err()
}

func (r *ClassResult) record(a client.Answer, wait, took time.Duration) {
	r.Sent++
	switch a {
	case client.Accepted:
		r.Accepted++
	case client.Busy:
		r.Busy++
		r.RetryAfter.RecordValue(min(max(wait.Milliseconds(), 1), maxLatency.Milliseconds())) // within bounds, so no error
	case client.Failed:
		r.Failed++
	default:
		r.Unanswered++
		return
	}
	r.Latency.RecordValue(min(max(took.Microseconds(), 1), maxLatency.Microseconds()))
}

// Table writes the result for people.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tsent\ttaken\tbusy\tfailed\tunheard\tp50 ms\tp99 ms\tp99.9 ms\tmost ms\twait told, median ms\t")
	names := make([]string, 0, len(r.Classes))
	for n := range r.Classes {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		c := r.Classes[n]
		q := func(p float64) float64 { return float64(c.Latency.ValueAtQuantile(p)) / 1000 }
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t\n",
			n, c.Sent, c.Accepted, c.Busy, c.Failed, c.Unanswered, q(50), q(99), q(99.9), float64(c.Latency.Max())/1000, c.RetryAfter.ValueAtQuantile(50))
	}
	return t.Flush()
}
