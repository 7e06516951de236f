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
		Use: "loopback KIND", Short: "Run a day in real time with real node processes on loopback sockets, which are killed and restarted", Args: cobra.ExactArgs(1),
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
			options := loopback.Options{Program: program}
			if options.Program == "" {
				options.Program = findProgram()
			}
			if verbose {
				options.Log = c.ErrOrStderr()
			}
			r, err := loopback.Play(c.Context(), day, options)
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
	c.Flags().IntVar(&j.Nodes, "nodes", 3, "number of nodes, at most 100")
	c.Flags().Uint64Var(&j.Seed, "seed", 1, "seed of the day and of all random numbers in it")
	c.Flags().DurationVar(&length, "length", 0, "duration of arrivals (default: that of the day, 24s)")
	c.Flags().StringVar(&program, "program", "", "path of the harrierramp binary (default: beside this program, else in PATH)")
	c.Flags().BoolVar(&verbose, "verbose", false, "print the logs of the nodes")
	return c
}

// findProgram returns the path of the harrierramp binary: beside this program if it is there, else from PATH.
func findProgram() string {
	if self, err := os.Executable(); err == nil {
		if path := filepath.Join(filepath.Dir(self), "harrierramp"); fileExists(path) {
			return path
		}
	}
	if path, err := exec.LookPath("harrierramp"); err == nil {
		return path
	}
	return "harrierramp"
}

func fileExists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
