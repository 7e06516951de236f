package cli

import (
	"os"

	"github.com/spf13/cobra"

	"harrierramp/internal/lab/paper"
)

func newPaper() *cobra.Command {
	s := paper.Default()
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
				if err := paper.Report(f, all); err != nil {
					return err
				}
			}
			return paper.Table(c.OutOrStdout(), all)
		},
	}
	f := c.Flags()
	f.IntVar(&s.Sessions, "sessions", s.Sessions, "of each run")
	f.IntVar(&s.Messages, "messages", s.Messages, "of a session")
	f.IntVar(&s.Buffer, "buffer", s.Buffer, "messages that a proxy or server holds; 0 for no bound")
	f.Float64Var(&s.Feedback, "feedback", s.Feedback, "service times between updates of the delays that proxies know")
	f.Uint64Var(&s.Seed, "seed", s.Seed, "of all chance")
	f.IntVar(&s.Threads, "threads", 0, "runs at once (default: as many as cores)")
	f.StringVar(&html, "html", "", "write the figures as one page")
	return c
}
