// Package watchers puts stand-in watchers on a list server: as many nodes as wanted, of which each follows the list in
// its turn as a real node does, and nothing else.
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

// Most is how many watchers there may be.
const MaxWatchers = 10_000

// Options say what is played.
type Options struct {
	Servers           []string      // on loopback
	Count             int           // of watchers
	Timeout           time.Duration // at most; it ends half a second after the last has its list
	HeartbeatInterval time.Duration // that is asked for; 0 for none
	PaceStart         bool          // each keeps its turn; else all ask at once and then do as they are told
}

// Result is what came of it.
type Result struct {
	Listed, Requests, RetryLaters int
	PeakPerSecond                 int           // asks in one second
	Median, P99, Slowest          time.Duration // until a watcher had its list
	ListBytes                     int64
	RevisionsSeen, WithoutList    int
}

// Run plays it.
func Run(ctx context.Context, o Options) (Result, error) {
	var r Result
	if o.Count < 1 || o.Count > MaxWatchers || o.Timeout <= 0 || o.Timeout > 10*time.Minute || len(o.Servers) == 0 {
		return r, fmt.Errorf("watchers: %d at %d servers for %v: up to %d, one server at least, up to 10 min", o.Count, len(o.Servers), o.Timeout, MaxWatchers)
	}
	for _, addr := range o.Servers {
		if err := relay.CheckLoopback(addr); err != nil {
			return r, fmt.Errorf("watchers: %w", err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	var bytes atomic.Int64
	client := &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: o.Count,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := new(net.Dialer).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countingConn{nc, &bytes}, nil
		},
	}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var asks []time.Duration
	times := hdrhistogram.New(1, (20 * time.Minute).Microseconds(), 3)
	began := time.Now()
	var all sync.WaitGroup
	listed := make(chan struct{}, o.Count)
	for i := range o.Count {
		w := listwatch.Watcher{
			Log: slog.New(slog.DiscardHandler), Client: client, Servers: listwatch.NewAddresses(o.Servers), PaceStart: o.PaceStart, HeartbeatInterval: o.HeartbeatInterval,
			Pacer: admission.NewPacer(o.Count, i, rand.New(rand.NewPCG(uint64(i), 1))), OnActivity: func() {}, OnServerChange: func() {},
			OnRequest: func() {
				mu.Lock()
				defer mu.Unlock()
				asks = append(asks, time.Since(began))
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
				took := time.Since(began)
				r.Slowest = max(r.Slowest, took)
				times.RecordValue(max(took.Microseconds(), 1)) // bounded by For
				listed <- struct{}{}
			}
		}
		all.Go(func() { w.Run(ctx, 0) })
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
	all.Wait()
	r.Listed, r.Requests, r.ListBytes = o.Count-r.WithoutList, len(asks), bytes.Load()
	r.Median = time.Duration(times.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(times.ValueAtQuantile(99)) * time.Microsecond
	for from, i := 0, 0; i < len(asks); i++ {
		for asks[i]-asks[from] >= time.Second {
			from++
		}
		r.PeakPerSecond = max(r.PeakPerSecond, i-from+1)
	}
	if r.WithoutList > 0 {
		return r, errors.New("watchers: some never had a list")
	}
	return r, nil
}

// counted counts what is read.
type countingConn struct {
	net.Conn
	bytesRead *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead.Add(int64(n))
	return n, err
}
