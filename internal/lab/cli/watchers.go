package cli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"harrierramp/internal/lab/watchers"
)

func newWatchers() *cobra.Command {
	o := watchers.Options{}
	var atOnce bool
	c := &cobra.Command{
		Use: "watchers", Short: "Put stand-in watchers on a list server, as many as a fleet has nodes", Args: cobra.NoArgs,
		Example: "  harrierlab watchers --servers 127.0.0.1:8500 --count 3000",
		RunE: func(c *cobra.Command, _ []string) error {
			o.PaceStart = !atOnce
			r, err := watchers.Run(c.Context(), o)
			fmt.Fprintf(c.OutOrStdout(), "%d of %d have a list, half after %v, 99%% after %v, the last after %v\n%d asks, %d in the busiest second, %d told to come later, %.1f MB read\n",
				r.Listed, o.Count, r.Median.Round(time.Millisecond), r.P99.Round(time.Millisecond), r.Slowest.Round(time.Millisecond),
				r.Requests, r.PeakPerSecond, r.RetryLaters, float64(r.ListBytes)/(1<<20))
			return err
		},
	}
	f := c.Flags()
	f.StringSliceVar(&o.Servers, "servers", []string{"127.0.0.1:8500"}, "addresses of list servers, on loopback")
	f.IntVar(&o.Count, "count", 300, "watchers, 10000 at most")
	f.DurationVar(&o.Timeout, "for", time.Minute, "how long to wait at most")
	f.DurationVar(&o.HeartbeatInterval, "beat", 0, "that servers are asked for")
	f.BoolVar(&atOnce, "at-once", false, "all ask in the same moment and then do as they are told")
	return c
}
