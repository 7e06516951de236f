package cli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"harrierramp/internal/lab/watchers"
)

func newWatchers() *cobra.Command {
	options := watchers.Options{}
	var atOnce bool
	c := &cobra.Command{
		Use: "watchers", Short: "Simulate as many watchers at list servers as a fleet has nodes", Args: cobra.NoArgs,
		Example: "  harrierlab watchers --servers 127.0.0.1:8500 --count 3000",
		RunE: func(c *cobra.Command, _ []string) error {
			options.PaceStart = !atOnce
			r, err := watchers.Run(c.Context(), options)
			fmt.Fprintf(c.OutOrStdout(), "%d of %d have a list, half after %v, 99%% after %v, the last after %v\n%d asks, %d in the busiest second, %d told to come later, %.1f MB read\n",
				r.Listed, options.Count, r.Median.Round(time.Millisecond), r.P99.Round(time.Millisecond), r.Slowest.Round(time.Millisecond),
				r.Requests, r.PeakPerSecond, r.RetryLaters, float64(r.ListBytes)/(1<<20))
			return err
		},
	}
	f := c.Flags()
	f.StringSliceVar(&options.Servers, "servers", []string{"127.0.0.1:8500"}, "loopback addresses of the list servers")
	f.IntVar(&options.Count, "count", 300, "number of watchers, at most 10000")
	f.DurationVar(&options.Timeout, "for", time.Minute, "maximum duration of the run")
	f.DurationVar(&options.HeartbeatInterval, "beat", 0, "heartbeat interval requested from the servers")
	f.BoolVar(&atOnce, "at-once", false, "all watchers send their first request at once, and are spread only by Retry-After")
	return c
}
