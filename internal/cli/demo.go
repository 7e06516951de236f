package cli

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"harrierramp/internal/demo"
)

func newDemo() *cobra.Command {
	var o demo.Options
	var verbose bool
	c := &cobra.Command{
		Use: "demo", Short: "Run a small fleet on loopback: list service, three nodes, stand-in partners, traffic", Args: noArgs,
		Example: "  harrierramp demo\n  harrierramp demo --for 20s --rate 100 --verbose",
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			if o.Out = c.OutOrStdout(); verbose {
				o.Log = c.ErrOrStderr()
			}
			r, err := demo.Run(ctx, o)
			if err == nil && (r.Lost > 0 || r.Repeated > 0 || r.Delivered == 0) {
				err = errors.New("messages were lost or repeated, or none was delivered")
			}
			return err
		},
	}
	c.Flags().DurationVar(&o.TrafficDuration, "for", o.TrafficDuration, "how long messages are sent (default 6s, at most 1m)")
	c.Flags().Float64Var(&o.Rate, "rate", o.Rate, "messages per second at each node (default 40, at most 500)")
	c.Flags().BoolVar(&verbose, "verbose", false, "print the logs of the processes")
	return c
}
