package cli

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"harrierramp/internal/lab/experiment"
	"harrierramp/internal/lab/loopback"
	"harrierramp/internal/lab/model"
)

func newLoopback() *cobra.Command {
	j := experiment.Job{Policy: "real processes"}
	var length time.Duration
	var program string
	var verbose bool
	c := &cobra.Command{
		Use: "loopback KIND", Short: "Play a day in real time on real sockets, with real nodes that are killed for real", Args: cobra.ExactArgs(1),
		Example: "  harrierlab loopback herd --nodes 3 --seed 1 --length 12s",
		RunE: func(c *cobra.Command, args []string) error {
			j.Day = args[0]
			day, err := model.Draw(j.Day, j.Nodes, j.Seed)
			if err != nil {
				return err
			}
			if length > 0 {
				day.Length = length
			}
			o := loopback.Options{Program: program}
			if o.Program == "" {
				o.Program = findProgram()
			}
			if verbose {
				o.Log = c.ErrOrStderr()
			}
			r, err := loopback.Play(c.Context(), day, o)
			if err != nil {
				return err
			}
			if err := experiment.WriteRun(c.OutOrStdout(), experiment.RunResult{Job: j, Result: r}); err != nil {
				return err
			}
			if r.ViolationCount > 0 {
				return fmt.Errorf("%d rules broken", r.ViolationCount)
			}
			return nil
		},
	}
	c.Flags().IntVar(&j.Nodes, "nodes", 3, "real nodes, 100 at most")
	c.Flags().Uint64Var(&j.Seed, "seed", 1, "of the day and all chance in it")
	c.Flags().DurationVar(&length, "length", 0, "of arrivals (default: the day's own, 24s)")
	c.Flags().StringVar(&program, "program", "", "harrierramp (default: beside this program, else in PATH)")
	c.Flags().BoolVar(&verbose, "verbose", false, "show the logs of the nodes")
	return c
}

// besides is the program that nodes run.
func findProgram() string {
	if self, err := os.Executable(); err == nil {
		if at := filepath.Join(filepath.Dir(self), "harrierramp"); fileExists(at) {
			return at
		}
	}
	if at, err := exec.LookPath("harrierramp"); err == nil {
		return at
	}
	return "harrierramp"
}

func fileExists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
