// Package cli is the command line of the lab.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"harrierramp/internal/lab/experiment"
	"harrierramp/internal/lab/judge"
	"harrierramp/internal/lab/losses"
	"harrierramp/internal/lab/model"
	"harrierramp/internal/lab/policy"
)

// Main runs a command line and returns the exit status: 1 for what failed, 2 for a wrong command line.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := &cobra.Command{
		Use: "harrierlab", Short: "Emulates partners, clients and a fleet, and plays experiments on them",
		Example:       "  harrierlab run lab/small.toml --out small.jsonl --html small.html\n  harrierlab day split --nodes 60 --seed 3",
		SilenceErrors: true, SilenceUsage: true,
	}
	usage := false
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { usage = true; return err })
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.AddCommand(newRun(), newDay(), newTrace(), newLosses(), newCompare(), newPolicies(), newPaper(), newLoopback(), newStage(), newLoad(), newPartner(), newWatchers())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(stderr, "harrierlab: %v\n", err)
		if usage || strings.HasPrefix(err.Error(), "unknown command") {
			return 2
		}
		return 1
	}
	return 0
}

func newRun() *cobra.Command {
	var out, html string
	var threads int
	c := &cobra.Command{
		Use: "run EXPERIMENT", Short: "Play an experiment, go on where it was cut off, and print its table", Args: cobra.ExactArgs(1),
		Example: "  harrierlab run lab/small.toml --out small.jsonl --html small.html",
		RunE: func(c *cobra.Command, args []string) error {
			e, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			if out == "" {
				out = strings.TrimSuffix(args[0], ".toml") + ".jsonl"
			}
			lines, err := e.Run(c.Context(), out, threads, func(done, all int) {
				fmt.Fprintf(c.ErrOrStderr(), "\r%d of %d runs", done, all)
				if done == all {
					fmt.Fprintln(c.ErrOrStderr())
				}
			})
			if err != nil {
				return err
			}
			all := experiment.Summarize(lines)
			if err := experiment.WriteTable(c.OutOrStdout(), all); err != nil {
				return err
			}
			if html != "" {
				if err := writeReport(html, e, lines, all); err != nil {
					return err
				}
			}
			return reportProblems(c, lines)
		},
	}
	c.Flags().StringVar(&out, "out", "", "file of results, a JSON line a run (default: beside the experiment)")
	c.Flags().StringVar(&html, "html", "", "write a report with plots, one file")
	c.Flags().IntVar(&threads, "threads", 0, "runs at once (default: as many as cores)")
	return c
}

// complain prints the runs that failed or broke a rule. Only those of the project's own sender are a failure.
func reportProblems(c *cobra.Command, lines []experiment.RunResult) error {
	bad := 0
	for _, p := range experiment.Problems(lines) {
		if strings.HasPrefix(p, "ours") {
			bad++
		}
		fmt.Fprintln(c.ErrOrStderr(), p)
	}
	if bad > 0 {
		return fmt.Errorf("%d runs of the project's own sender failed or broke a rule", bad)
	}
	return nil
}

func writeReport(path string, e experiment.Experiment, lines []experiment.RunResult, all []experiment.Summary) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := experiment.WriteReport(f, e, lines, all); err != nil {
		return err
	}
	return f.Close()
}

// jobFlags name one run.
func addJobFlags(c *cobra.Command, j *experiment.Job) {
	c.Flags().StringVar(&j.Policy, "policy", "ours", "who decides: see 'harrierlab policies'")
	c.Flags().IntVar(&j.Nodes, "nodes", 60, "nodes of the fleet")
	c.Flags().Uint64Var(&j.Seed, "seed", 1, "of the day and all chance in it")
}

func newDay() *cobra.Command {
	var j experiment.Job
	c := &cobra.Command{
		Use: "day KIND", Short: "Play one day and print what came of it", Args: cobra.ExactArgs(1),
		Example: "  harrierlab day split --nodes 60 --seed 3 --policy lrt+bbc60-80",
		RunE: func(c *cobra.Command, args []string) error {
			j.Day = args[0]
			line := (&experiment.Experiment{}).RunJob(c.Context(), j, nil)
			if line.Error != "" {
				return fmt.Errorf("%s", line.Error)
			}
			return experiment.WriteRun(c.OutOrStdout(), line)
		},
	}
	addJobFlags(c, &j)
	return c
}

// tracer prints the events of one message.
type tracer struct {
	w         io.Writer
	messageID string
	found     bool
}

func (t *tracer) Observe(e *model.Event) {
	if e.Msg == t.messageID || e.FirstID == t.messageID && t.messageID != "" {
		t.found = true
		fmt.Fprintln(t.w, judge.Describe(e))
	}
}

func newTrace() *cobra.Command {
	var j experiment.Job
	c := &cobra.Command{
		Use: "trace KIND MSG", Short: "Print one message's life across the fleet", Args: cobra.ExactArgs(2),
		Example: "  harrierlab trace split m812 --nodes 60 --seed 3",
		RunE: func(c *cobra.Command, args []string) error {
			j.Day = args[0]
			t := &tracer{w: c.OutOrStdout(), messageID: args[1]}
			if line := (&experiment.Experiment{}).RunJob(c.Context(), j, t); line.Error != "" {
				return fmt.Errorf("%s", line.Error)
			}
			if !t.found {
				return fmt.Errorf("no message %s on that day", args[1])
			}
			return nil
		},
	}
	addJobFlags(c, &j)
	return c
}

func newCompare() *cobra.Command {
	return &cobra.Command{
		Use: "compare BEFORE AFTER", Short: "Tell what moved between two files of results", Args: cobra.ExactArgs(2),
		Example: "  harrierlab compare before.jsonl after.jsonl",
		RunE: func(c *cobra.Command, args []string) error {
			before, err := experiment.ReadResults(args[0])
			if err != nil {
				return err
			}
			after, err := experiment.ReadResults(args[1])
			if err != nil {
				return err
			}
			return experiment.WriteComparison(c.OutOrStdout(), before, after)
		},
	}
}

func newLosses() *cobra.Command {
	var j experiment.Job
	c := &cobra.Command{
		Use: "losses KIND", Short: "Play one day and tell where its worth went, by cause, phase and kind of destination", Args: cobra.ExactArgs(1),
		Example: "  harrierlab losses split --nodes 300 --seed 3",
		RunE: func(c *cobra.Command, args []string) error {
			j.Day = args[0]
			day, err := model.Draw(j.Day, j.Nodes, j.Seed)
			if err != nil {
				return err
			}
			l := losses.New(&day)
			if line := (&experiment.Experiment{}).RunJob(c.Context(), j, l); line.Error != "" {
				return fmt.Errorf("%s", line.Error)
			}
			return l.Report().Print(c.OutOrStdout())
		},
	}
	addJobFlags(c, &j)
	return c
}

func newPolicies() *cobra.Command {
	return &cobra.Command{
		Use: "policies", Short: "List who may decide", Args: cobra.NoArgs, Example: "  harrierlab policies",
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), strings.Join(policy.Names(), "\n"))
			return err
		},
	}
}
