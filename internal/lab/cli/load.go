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
	var classes []string
	var life time.Duration
	var ledger string
	c := &cobra.Command{
		Use: "load", Short: "Drive a running fleet over RESP2, in an open loop", Args: cobra.NoArgs,
		Example: "  harrierlab load --nodes 127.0.0.1:6379 --rate 500 --for 20s --dests 3 --class notice\n" +
			"  harrierlab load --nodes 127.0.0.1:6379,127.0.0.1:6380 --rate 100 --ramp-to 2000 --steps 5 --for 1m --class notice",
		RunE: func(c *cobra.Command, _ []string) error {
			for _, name := range classes {
				cfg.Classes = append(cfg.Classes, load.Class{Name: name, Share: 1, TTL: life})
			}
			r, err := load.Run(c.Context(), cfg, func(sent int, rate float64) {
				fmt.Fprintf(c.ErrOrStderr(), "\r%d handed in, %.0f a second", sent, rate)
			})
			fmt.Fprintln(c.ErrOrStderr())
			if err != nil {
				return err
			}
			if ledger != "" {
				if err := os.WriteFile(ledger, []byte(strings.Join(r.AcceptedIDs, "\n")+"\n"), 0o644); err != nil {
					return err
				}
			}
			return r.WriteTable(c.OutOrStdout())
		},
	}
	f := c.Flags()
	f.StringSliceVar(&cfg.Nodes, "nodes", nil, "addresses of nodes, on loopback")
	f.Float64Var(&cfg.Rate, "rate", cfg.Rate, "messages a second, of all nodes together")
	f.Float64Var(&cfg.RampTo, "ramp-to", 0, "the rate goes to this over the run")
	f.IntVar(&cfg.RampSteps, "steps", 0, "and in so many steps")
	f.StringVar(&cfg.Pattern, "pattern", cfg.Pattern, "poisson, even or clumps")
	f.IntVar(&cfg.Count, "count", 0, "messages at most")
	f.DurationVar(&cfg.Duration, "for", 0, "how long")
	f.IntVar(&cfg.ConnsPerNode, "conns", cfg.ConnsPerNode, "connections to each node")
	f.IntVar(&cfg.Dests, "dests", cfg.Dests, "destinations, from 0")
	f.StringSliceVar(&classes, "class", []string{"notice"}, "classes of messages, in equal parts")
	f.DurationVar(&life, "life", 10*time.Second, "of a message")
	f.IntVar(&cfg.BodyBytes, "body", cfg.BodyBytes, "bytes of a body")
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "of all chance; also in the messages' ids")
	f.StringVar(&ledger, "ledger", "", "write the ids that were taken on to a file")
	return c
}
