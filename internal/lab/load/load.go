// Package load generates load on a running fleet over RESP2 in an open loop: messages are submitted at scheduled times,
// whatever the answers, and the latency of a message is measured from its scheduled time. So a slow node cannot make
// its latency look better by delaying the client (coordinated omission).
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

// Limits of a run.
const (
	MaxRate     = 100_000    // messages per second
	MaxCount    = 10_000_000 // messages
	MaxDuration = time.Hour
	maxConns    = 4096        // to all nodes together
	maxLatency  = time.Minute // upper end of the histograms; longer times are recorded as this
)

// Class is a class of messages to submit.
type Class struct {
	Name  string
	Share float64       // of the messages, relative to the sum of all shares
	TTL   time.Duration // time from submission to the deadline of a message
}

// Config describes a run. At least one of Count and Duration must be set; the run ends with the first that is reached.
type Config struct {
	Nodes        []string      // loopback addresses
	Rate         float64       // messages per second, to all nodes together
	RampTo       float64       // rate at the end of the run, reached by a linear ramp; 0 for a constant rate
	RampSteps    int           // the ramp has this number of steps; 0 for a continuous one
	Pattern      string        // poisson, even, or clumps (ten messages at once)
	Count        int           // maximum number of messages; 0 for no limit
	Duration     time.Duration // 0 for no limit
	ConnsPerNode int
	Dests        int // destinations 0 to Dests-1, Zipf distributed (exponent 1.01): low numbers are more frequent
	Classes      []Class
	BodyBytes    int
	Seed         uint64
}

// Check returns an error if the configuration is invalid.
func (c *Config) Check() error {
	for _, n := range c.Nodes {
		host, _, err := net.SplitHostPort(n)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("load: %q is not a loopback address", n)
		}
	}
	switch {
	case len(c.Nodes) == 0:
		return fmt.Errorf("load: no nodes")
	case !(c.Rate > 0 && c.Rate <= MaxRate && c.RampTo >= 0 && c.RampTo <= MaxRate):
		return fmt.Errorf("load: rate must be above 0 and ramp target at least 0, both at most %d messages per second", MaxRate)
	case c.Count < 0 || c.Count > MaxCount || c.Duration < 0 || c.Duration > MaxDuration || c.Count == 0 && c.Duration == 0:
		return fmt.Errorf("load: a count (at most %d) or a duration (at most %v) is required", MaxCount, MaxDuration)
	case c.ConnsPerNode < 1 || c.ConnsPerNode*len(c.Nodes) > maxConns:
		return fmt.Errorf("load: %d connections per node: at least 1, and at most %d to all nodes together", c.ConnsPerNode, maxConns)
	case c.Dests < 1 || len(c.Classes) == 0:
		return fmt.Errorf("load: at least one destination and one class are required")
	case !slices.Contains([]string{"poisson", "even", "clumps"}, c.Pattern):
		return fmt.Errorf("load: unknown pattern %q: must be poisson, even or clumps", c.Pattern)
	}
	return nil
}

// rateAt returns the rate in messages per second after the given share of the run, from 0 to 1.
func (c *Config) rateAt(elapsed float64) float64 {
	if c.RampTo <= 0 {
		return c.Rate
	}
	if c.RampSteps > 0 {
		elapsed = float64(min(int(elapsed*float64(c.RampSteps)), c.RampSteps-1)) / float64(max(c.RampSteps-1, 1))
	}
	return c.Rate + (c.RampTo-c.Rate)*min(max(elapsed, 0), 1)
}

// Result is the outcome of a run, by class.
type Result struct {
	Elapsed     time.Duration
	Classes     map[string]*ClassResult
	AcceptedIDs []string // messages for which the nodes owe a final answer, in the order in which they were accepted
}

// ClassResult is the outcome of a class.
type ClassResult struct {
	Sent, Accepted, Busy, Failed, Unanswered int
	Latency                                  *hdrhistogram.Histogram // microseconds from scheduled time to answer
	RetryAfter                               *hdrhistogram.Histogram // milliseconds, as given in Busy answers
}

// submission is a message with its scheduled time.
type submission struct {
	dueAt   time.Time
	message client.Message
	class   string
}

// Run submits messages and returns when the last one is answered or ctx is done. progress, which may be nil, is called
// about once per second.
func Run(ctx context.Context, c Config, progress func(sent int, rate float64)) (*Result, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	r := rand.New(rand.NewPCG(c.Seed, 3))
	zipf := rand.NewZipf(r, 1.01, 1, uint64(c.Dests-1))
	shareTotal := 0.0
	res := &Result{Classes: map[string]*ClassResult{}}
	for _, k := range c.Classes {
		shareTotal += k.Share
		res.Classes[k.Name] = &ClassResult{Latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3), RetryAfter: hdrhistogram.New(1, maxLatency.Milliseconds(), 3)}
	}
	body := []byte(strings.Repeat("x", c.BodyBytes))
	// The loop never waits for a slow node: a message is queued, or counted as unanswered if the queue is full.
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
					answer, retryAfter, _ := conn.Enqueue(d.message)
					latency := time.Since(d.dueAt)
					mu.Lock()
					res.Classes[d.class].record(answer, retryAfter, latency)
					if answer == client.Accepted {
						res.AcceptedIDs = append(res.AcceptedIDs, d.message.ID)
					}
					mu.Unlock()
				}
			})
		}
	}
	start := time.Now()
	dueAt, sent, lastProgress := start, 0, start
	for ctx.Err() == nil && (c.Count == 0 || sent < c.Count) && (c.Duration == 0 || dueAt.Sub(start) < c.Duration) {
		elapsed := 0.0
		if c.Duration > 0 {
			elapsed = dueAt.Sub(start).Seconds() / c.Duration.Seconds()
		} else {
			elapsed = float64(sent) / float64(c.Count)
		}
		rate := c.rateAt(elapsed)
		interval, clumpSize := 1/rate, 1
		switch c.Pattern {
		case "poisson":
			interval = r.ExpFloat64() / rate
		case "clumps":
			interval, clumpSize = 10*r.ExpFloat64()/rate, 10
		}
		dueAt = dueAt.Add(time.Duration(interval * float64(time.Second)))
		if wait := time.Until(dueAt); wait > 0 {
			time.Sleep(wait)
		}
		dest := int(zipf.Uint64())
		for range clumpSize {
			class := c.Classes[len(c.Classes)-1]
			for x, i := r.Float64()*shareTotal, 0; i < len(c.Classes); i++ {
				if x -= c.Classes[i].Share; x < 0 {
					class = c.Classes[i]
					break
				}
			}
			id := fmt.Sprintf("load-%x-%08x", c.Seed, sent)
			d := submission{dueAt, client.Message{ID: id, Key: id, Class: class.Name, Dest: dest, TTL: class.TTL, Body: body}, class.Name}
			select {
			case queues[r.IntN(len(queues))] <- d:
			default: // MaxRate messages are queued already: the node is gone
				mu.Lock()
				res.Classes[class.Name].record(client.NoAnswer, 0, maxLatency)
				mu.Unlock()
			}
			sent++
		}
		if progress != nil && time.Since(lastProgress) > time.Second {
			lastProgress = time.Now()
			progress(sent, rate)
		}
	}
	for _, q := range queues {
		close(q)
	}
	workers.Wait()
	res.Elapsed = time.Since(start)
	return res, ctx.Err()
}

// record counts an answer. Latency is recorded for messages that were answered, and limited to the histogram's range.
func (r *ClassResult) record(answer client.Answer, retryAfter, latency time.Duration) {
	r.Sent++
	switch answer {
	case client.Accepted:
		r.Accepted++
	case client.Busy:
		r.Busy++
		r.RetryAfter.RecordValue(min(max(retryAfter.Milliseconds(), 1), maxLatency.Milliseconds())) // in range
	case client.Failed:
		r.Failed++
	default:
		r.Unanswered++
		return
	}
	r.Latency.RecordValue(min(max(latency.Microseconds(), 1), maxLatency.Microseconds()))
}

// WriteTable writes the result as a text table with a row per class.
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
