// Package cli implements the commands of harrierlab, the lab's command line.
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

// Main runs a command line and returns the exit status: 0 for success, 1 for a failed command, 2 for a wrong command
// line.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := &cobra.Command{
		Use: "harrierlab", Short: "Simulate partners, clients and a fleet of delivery nodes, and run experiments on them",
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
		Use: "run EXPERIMENT", Short: "Run an experiment, resume it if it was interrupted, and print its table of results", Args: cobra.ExactArgs(1),
		Example: "  harrierlab run lab/small.toml --out small.jsonl --html small.html",
		RunE: func(c *cobra.Command, args []string) error {
			e, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			if out == "" {
				out = strings.TrimSuffix(args[0], ".toml") + ".jsonl"
			}
			results, err := e.Run(c.Context(), out, threads, func(done, total int) {
				fmt.Fprintf(c.ErrOrStderr(), "\r%d of %d runs", done, total)
				if done == total {
					fmt.Fprintln(c.ErrOrStderr())
				}
			})
			if err != nil {
				return err
			}
			summaries := experiment.Summarize(results)
			if err := experiment.WriteTable(c.OutOrStdout(), summaries); err != nil {
				return err
			}
			if html != "" {
				if err := writeReport(html, e, results, summaries); err != nil {
					return err
				}
			}
			return reportProblems(c, results)
		},
	}
	c.Flags().StringVar(&out, "out", "", "results file, one JSON line per run (default: beside the experiment file)")
	c.Flags().StringVar(&html, "html", "", "write a report with plots to this file, as one self-contained page")
	c.Flags().IntVar(&threads, "threads", 0, "number of parallel runs (default: one per core)")
	return c
}

// reportProblems prints the runs that failed or broke a rule. It returns an error only if runs of the project's own
// sender are among them: policies whose name begins with "ours".
func reportProblems(c *cobra.Command, results []experiment.RunResult) error {
	failures := 0
	for _, p := range experiment.Problems(results) {
		if strings.HasPrefix(p, "ours") {
			failures++
		}
		fmt.Fprintln(c.ErrOrStderr(), p)
	}
	if failures > 0 {
		return fmt.Errorf("%d runs of the project's own sender failed or broke a rule", failures)
	}
	return nil
}

// writeReport writes the report of an experiment to a file.
func writeReport(path string, e experiment.Experiment, results []experiment.RunResult, summaries []experiment.Summary) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := experiment.WriteReport(f, e, results, summaries); err != nil {
		return err
	}
	return f.Close()
}

// addJobFlags adds the flags that select a run.
func addJobFlags(c *cobra.Command, j *experiment.Job) {
	c.Flags().StringVar(&j.Policy, "policy", "ours", "policy that decides for the nodes, see 'harrierlab policies'")
	c.Flags().IntVar(&j.Nodes, "nodes", 60, "number of nodes in the fleet")
	c.Flags().Uint64Var(&j.Seed, "seed", 1, "seed of the day and of all random numbers in it")
}

func newDay() *cobra.Command {
	var j experiment.Job
	c := &cobra.Command{
		Use: "day KIND", Short: "Simulate one day and print its result", Args: cobra.ExactArgs(1),
		Example: "  harrierlab day split --nodes 60 --seed 3 --policy lrt+bbc60-80",
		RunE: func(c *cobra.Command, args []string) error {
			j.Day = args[0]
			result := (&experiment.Experiment{}).RunJob(c.Context(), j, nil)
			if result.Error != "" {
				return fmt.Errorf("%s", result.Error)
			}
			return experiment.WriteRun(c.OutOrStdout(), result)
		},
	}
	addJobFlags(c, &j)
	return c
}

// tracer prints the events of one message, including those of its resubmissions.
type tracer struct {
	w         io.Writer
	messageID string
	found     bool
}

// Observe prints an event if it belongs to the message. It implements model.Observer.
func (t *tracer) Observe(e *model.Event) {
	if e.Msg == t.messageID || e.FirstID == t.messageID && t.messageID != "" {
		t.found = true
		fmt.Fprintln(t.w, judge.Describe(e))
	}
}

func newTrace() *cobra.Command {
	var j experiment.Job
	c := &cobra.Command{
		Use: "trace KIND MSG", Short: "Simulate one day and print all events of one message across the fleet", Args: cobra.ExactArgs(2),
		Example: "  harrierlab trace split m812 --nodes 60 --seed 3",
		RunE: func(c *cobra.Command, args []string) error {
			j.Day = args[0]
			t := &tracer{w: c.OutOrStdout(), messageID: args[1]}
			if result := (&experiment.Experiment{}).RunJob(c.Context(), j, t); result.Error != "" {
				return fmt.Errorf("%s", result.Error)
			}
			if !t.found {
				return fmt.Errorf("no message %s on this day", args[1])
			}
			return nil
		},
	}
	addJobFlags(c, &j)
	return c
}

func newCompare() *cobra.Command {
	return &cobra.Command{
		Use: "compare BEFORE AFTER", Short: "Print the changes between two results files", Args: cobra.ExactArgs(2),
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
		Use: "losses KIND", Short: "Simulate one day and print the lost worth by cause, phase and kind of destination", Args: cobra.ExactArgs(1),
		Example: "  harrierlab losses split --nodes 300 --seed 3",
		RunE: func(c *cobra.Command, args []string) error {
			j.Day = args[0]
			day, err := model.Draw(j.Day, j.Nodes, j.Seed)
			if err != nil {
				return err
			}
			l := losses.New(&day)
			if result := (&experiment.Experiment{}).RunJob(c.Context(), j, l); result.Error != "" {
				return fmt.Errorf("%s", result.Error)
			}
			return l.Report().Print(c.OutOrStdout())
		},
	}
	addJobFlags(c, &j)
	return c
}

func newPolicies() *cobra.Command {
	return &cobra.Command{
		Use: "policies", Short: "List the policies", Args: cobra.NoArgs, Example: "  harrierlab policies",
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), strings.Join(policy.Names(), "\n"))
			return err
		},
	}
}
