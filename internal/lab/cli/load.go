package cli

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"harrierramp/internal/lab/load"
)

func newLoad() *cobra.Command {
	cfg := load.Config{Pattern: "poisson", Rate: 100, ConnsPerNode: 16, Dests: 1, BodyBytes: 300, Seed: 1}
	var classNames []string
	var ttl time.Duration
	var ledgerPath string
	c := &cobra.Command{
		Use: "load", Short: "Generate load on a running fleet over RESP2, in an open loop", Args: cobra.NoArgs,
		Example: "  harrierlab load --nodes 127.0.0.1:6379 --rate 500 --for 20s --dests 3 --class notice\n" +
			"  harrierlab load --nodes 127.0.0.1:6379,127.0.0.1:6380 --rate 100 --ramp-to 2000 --steps 5 --for 1m --class notice",
		RunE: func(c *cobra.Command, _ []string) error {
			for _, name := range classNames {
				cfg.Classes = append(cfg.Classes, load.Class{Name: name, Share: 1, TTL: ttl})
			}
			r, err := load.Run(c.Context(), cfg, func(sent int, rate float64) {
				fmt.Fprintf(c.ErrOrStderr(), "\r%d messages submitted, %.0f per second", sent, rate)
			})
			fmt.Fprintln(c.ErrOrStderr())
			if err != nil {
				return err
			}
			if ledgerPath != "" {
				if err := os.WriteFile(ledgerPath, []byte(strings.Join(r.AcceptedIDs, "\n")+"\n"), 0o644); err != nil {
					return err
				}
			}
			return r.WriteTable(c.OutOrStdout())
		},
	}
	f := c.Flags()
	f.StringSliceVar(&cfg.Nodes, "nodes", nil, "loopback addresses of the nodes")
	f.Float64Var(&cfg.Rate, "rate", cfg.Rate, "messages per second, to all nodes together")
	f.Float64Var(&cfg.RampTo, "ramp-to", 0, "rate at the end of the run, reached by a linear ramp")
	f.IntVar(&cfg.RampSteps, "steps", 0, "number of steps of the ramp (default: continuous)")
	f.StringVar(&cfg.Pattern, "pattern", cfg.Pattern, "pattern of arrivals: poisson, even or clumps")
	f.IntVar(&cfg.Count, "count", 0, "maximum number of messages")
	f.DurationVar(&cfg.Duration, "for", 0, "duration of the run")
	f.IntVar(&cfg.ConnsPerNode, "conns", cfg.ConnsPerNode, "connections per node")
	f.IntVar(&cfg.Dests, "dests", cfg.Dests, "number of destinations, numbered from 0")
	f.StringSliceVar(&classNames, "class", []string{"notice"}, "classes of messages, with equal shares")
	f.DurationVar(&ttl, "life", 10*time.Second, "time to live of a message")
	f.IntVar(&cfg.BodyBytes, "body", cfg.BodyBytes, "size of a message body in bytes")
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of all random numbers, and part of the message ids")
	f.StringVar(&ledgerPath, "ledger", "", "write the ids of the accepted messages to this file")
	return c
}
