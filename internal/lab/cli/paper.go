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
		Use: "paper", Short: "Play the study of the paper that the design comes from: its figures 3 to 15", Args: cobra.NoArgs,
		Example: "  harrierlab paper --sessions 1000000 --html paper.html",
		RunE: func(c *cobra.Command, _ []string) error {
			all, err := s.Run(c.Context())
			if err != nil {
				return err
			}
			if html != "" {
				f, err := os.Create(html)
				if err != nil {
					return err
				}
				defer f.Close()
				if err := paper.WriteReport(f, all); err != nil {
					return err
				}
			}
			return paper.WriteTable(c.OutOrStdout(), all)
		},
	}
	f := c.Flags()
	f.IntVar(&s.Sessions, "sessions", s.Sessions, "of each run")
	f.IntVar(&s.MessagesPerSession, "messages", s.MessagesPerSession, "of a session")
	f.IntVar(&s.QueueLimit, "buffer", s.QueueLimit, "messages that a proxy or server holds; 0 for no bound")
	f.Float64Var(&s.FeedbackInterval, "feedback", s.FeedbackInterval, "service times between updates of the delays that proxies know")
	f.Uint64Var(&s.Seed, "seed", s.Seed, "of all chance")
	f.IntVar(&s.Threads, "threads", 0, "runs at once (default: as many as cores)")
	f.StringVar(&html, "html", "", "write the figures as one page")
	return c
}
