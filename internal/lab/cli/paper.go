package cli

import (
	"os"

	"github.com/spf13/cobra"

	"harrierramp/internal/lab/paper"
)

func newPaper() *cobra.Command {
	s := paper.DefaultStudy()
	var html string
	c := &cobra.Command{
		Use: "paper", Short: "Reproduce figures 3 to 15 of the paper that the design is based on", Args: cobra.NoArgs,
		Example: "  harrierlab paper --sessions 1000000 --html paper.html",
		RunE: func(c *cobra.Command, _ []string) error {
			figures, err := s.Run(c.Context())
			if err != nil {
				return err
			}
			if html != "" {
				f, err := os.Create(html)
				if err != nil {
					return err
				}
				defer f.Close()
				if err := paper.WriteReport(f, figures); err != nil {
					return err
				}
			}
			return paper.WriteTable(c.OutOrStdout(), figures)
		},
	}
	f := c.Flags()
	f.IntVar(&s.Sessions, "sessions", s.Sessions, "sessions per run")
	f.IntVar(&s.MessagesPerSession, "messages", s.MessagesPerSession, "messages per session")
	f.IntVar(&s.QueueLimit, "buffer", s.QueueLimit, "maximum queue length of a proxy or server, in messages; 0 for no limit")
	f.Float64Var(&s.FeedbackInterval, "feedback", s.FeedbackInterval, "interval at which servers report their delays to the proxies, in mean service times")
	f.Uint64Var(&s.Seed, "seed", s.Seed, "seed of all random numbers")
	f.IntVar(&s.Threads, "threads", 0, "number of parallel runs (default: one per core)")
	f.StringVar(&html, "html", "", "write the figures to this file, as one self-contained page")
	return c
}
