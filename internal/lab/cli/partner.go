package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"harrierramp/internal/partner"
)

// maxReportBytes is the largest accepted body of a request with notices.
const maxReportBytes = 64 << 10

func newPartner() *cobra.Command {
	var listen string
	var dests, endpoints int
	cfg := partner.Config{}
	var duration time.Duration
	c := &cobra.Command{
		Use: "partner", Short: "Run stand-in partners, discovery and a receiver of notices, for 'harrierlab load'", Args: cobra.NoArgs,
		Example: "  harrierlab partner --listen 127.0.0.1:8500 --dests 10 --latency 2ms --for 1m",
		RunE: func(c *cobra.Command, _ []string) error {
			host, _, err := net.SplitHostPort(listen)
			if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
				return fmt.Errorf("%q is not a loopback address", listen)
			}
			if dests < 1 || endpoints < 1 || dests*endpoints > 2000 {
				return errors.New("destinations times endpoints must be from 1 to 2000")
			}
			ctx, cancel := context.WithTimeout(c.Context(), duration)
			defer cancel()
			ledger := partner.NewLedger()
			var members []map[string]any
			for d := range dests {
				for e := range endpoints {
					cfg.ID = fmt.Sprintf("p%d-%d", d, e)
					p, err := partner.Start(cfg, ledger)
					if err != nil {
						return err
					}
					defer p.Close()
					members = append(members, map[string]any{
						"id": cfg.ID, "host_port": p.Addr(), "locality": "a", "flavor": "partner", "cell": d, "phase": "SERVING", "size": max(cfg.Rate, 1),
					})
				}
			}
			completeList, err := json.Marshal(map[string]any{"revision": 1, "complete": true, "members": members})
			if err != nil {
				return err
			}
			var returned, failed atomic.Int64
			mux := http.NewServeMux()
			mux.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, r *http.Request) {
				for line := completeList; ; line = nil {
					if _, err := w.Write(append(line, '\n')); err != nil || r.FormValue("watch") == "" {
						return
					}
					w.(http.Flusher).Flush()
					select {
					case <-time.After(2 * time.Second):
					case <-r.Context().Done():
						return
					case <-ctx.Done():
						return
					}
				}
			})
			mux.HandleFunc("POST /reports", func(w http.ResponseWriter, r *http.Request) {
				for lines := bufio.NewScanner(http.MaxBytesReader(w, r.Body, maxReportBytes)); lines.Scan(); {
					var n struct{ State string }
					if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
						http.Error(w, err.Error(), http.StatusBadRequest)
						return
					}
					if n.State == "failed" {
						failed.Add(1)
					} else {
						returned.Add(1)
					}
				}
				w.WriteHeader(http.StatusNoContent)
			})
			ln, err := net.Listen("tcp", listen)
			if err != nil {
				return err
			}
			srv := http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
			done := make(chan struct{})
			go func() {
				defer close(done)
				srv.Serve(ln) // returns http.ErrServerClosed after Close
			}()
			fmt.Fprintf(c.OutOrStdout(), "discovery and notices at %s, %d endpoints, for %v\n", ln.Addr(), len(members), duration)
			<-ctx.Done()
			err = srv.Close()
			<-done
			delivered, repeated := ledger.Counts()
			fmt.Fprintf(c.OutOrStdout(), "ran %d, of them more than once %d; returned %d, failed %d\n", delivered, repeated, returned.Load(), failed.Load())
			return err
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:8500", "loopback address on which discovery and notices are served")
	f.IntVar(&dests, "dests", 1, "destinations")
	f.IntVar(&endpoints, "endpoints", 1, "endpoints per destination")
	f.Float64Var(&cfg.Rate, "rate", 0, "rate limit of an endpoint in calls per second; 0 for no limit")
	f.Float64Var(&cfg.Burst, "burst", 1, "burst of the rate limit, in calls")
	f.DurationVar(&cfg.Latency, "latency", 20*time.Millisecond, "duration of a call")
	f.DurationVar(&duration, "for", 10*time.Minute, "how long to run")
	return c
}
