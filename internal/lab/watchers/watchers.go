// Package watchers simulates many nodes at a list server: each watcher requests and follows the list with the client
// of a real node, and does nothing else.
package watchers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"harrierramp/internal/admission"
	"harrierramp/internal/lab/relay"
	"harrierramp/internal/listwatch"
)

// MaxWatchers is the largest number of watchers in a run.
const MaxWatchers = 10_000

// Options configure a run.
type Options struct {
	Servers           []string      // loopback addresses of list servers
	Count             int           // number of watchers
	Timeout           time.Duration // limit of the run, which ends 500 ms after the last watcher has its list
	HeartbeatInterval time.Duration // requested from the servers; 0 for the default of the server
	PaceStart         bool          // spread the first requests; if false, only Retry-After spreads them
}

// Result is the outcome of a run.
type Result struct {
	Listed, Requests, RetryLaters int           // watchers with a list, requests sent, Retry-After answers
	PeakPerSecond                 int           // most requests within one second
	Median, P99, Slowest          time.Duration // from the start of the run until a watcher had its list
	ListBytes                     int64         // bytes read from the servers
	RevisionsSeen, WithoutList    int           // lists and changes received, watchers without a list
}

// Run starts the watchers and returns when all have a list, or on timeout with an error if some have none.
func Run(ctx context.Context, o Options) (Result, error) {
	var r Result
	if o.Count < 1 || o.Count > MaxWatchers || o.Timeout <= 0 || o.Timeout > 10*time.Minute || len(o.Servers) == 0 {
		return r, fmt.Errorf("watchers: %d watchers of %d servers for %v: must be 1 to %d watchers, at least one server, and at most 10 min", o.Count, len(o.Servers), o.Timeout, MaxWatchers)
	}
	for _, addr := range o.Servers {
		if err := relay.CheckLoopback(addr); err != nil {
			return r, fmt.Errorf("watchers: %w", err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	var bytesRead atomic.Int64
	client := &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: o.Count,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := new(net.Dialer).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countingConn{nc, &bytesRead}, nil
		},
	}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var requestTimes []time.Duration
	listLatency := hdrhistogram.New(1, (20 * time.Minute).Microseconds(), 3)
	start := time.Now()
	var running sync.WaitGroup
	listed := make(chan struct{}, o.Count)
	for i := range o.Count {
		w := listwatch.Watcher{
			Log: slog.New(slog.DiscardHandler), Client: client, Servers: listwatch.NewAddresses(o.Servers), PaceStart: o.PaceStart, HeartbeatInterval: o.HeartbeatInterval,
			Pacer: admission.NewPacer(o.Count, i, rand.New(rand.NewPCG(uint64(i), 1))), OnActivity: func() {}, OnServerChange: func() {},
			OnRequest: func() {
				mu.Lock()
				defer mu.Unlock()
				requestTimes = append(requestTimes, time.Since(start))
			},
			OnRetryLater: func() {
				mu.Lock()
				defer mu.Unlock()
				r.RetryLaters++
			},
		}
		first := true
		w.OnList = func(listwatch.List) {
			mu.Lock()
			defer mu.Unlock()
			r.RevisionsSeen++
			if first {
				first = false
				latency := time.Since(start)
				r.Slowest = max(r.Slowest, latency)
				listLatency.RecordValue(max(latency.Microseconds(), 1)) // bounded by Timeout, so always in range
				listed <- struct{}{}
			}
		}
		running.Go(func() { w.Run(ctx, 0) })
	}
wait:
	for r.WithoutList = o.Count; r.WithoutList > 0; r.WithoutList-- {
		select {
		case <-listed:
		case <-ctx.Done():
			break wait
		}
	}
	if r.WithoutList == 0 {
		select {
		case <-time.After(500 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	cancel()
	running.Wait()
	r.Listed, r.Requests, r.ListBytes = o.Count-r.WithoutList, len(requestTimes), bytesRead.Load()
	r.Median = time.Duration(listLatency.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(listLatency.ValueAtQuantile(99)) * time.Microsecond
	for from, i := 0, 0; i < len(requestTimes); i++ {
		for requestTimes[i]-requestTimes[from] >= time.Second {
			from++
		}
		r.PeakPerSecond = max(r.PeakPerSecond, i-from+1)
	}
	if r.WithoutList > 0 {
		return r, errors.New("watchers: some watchers did not get a list in time")
	}
	return r, nil
}

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	bytesRead *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead.Add(int64(n))
	return n, err
}
