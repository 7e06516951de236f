// Package cli is the command line of harrierramp. Each command parses its flags and calls the package that does the
// work.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// Exit statuses.
const (
	exitFailed = 1 // the command failed
	exitUsage  = 2 // the command line is invalid
)

// usageError is an error in the command line.
type usageError struct{ error }

// Main runs a command line and returns the exit status. Without arguments, and with ROUTER_CONFIG in the environment,
// it runs a node; this is how the platform starts one.
func Main(args []string, stdout, stderr io.Writer) int {
	var err error
	if len(args) == 0 && os.Getenv("ROUTER_CONFIG") != "" {
		err = serve(serveOptions{}, stderr)
	} else {
		root := newRoot()
		root.SetArgs(args)
		root.SetOut(stdout)
		root.SetErr(stderr)
		err = root.Execute()
	}
	switch _, usage := errors.AsType[usageError](err); {
	case err == nil:
		return 0
	case usage:
		fmt.Fprintf(stderr, "harrierramp: %v\n", err)
		return exitUsage
	}
	for line := range strings.Lines(err.Error()) {
		fmt.Fprintf(stderr, "harrierramp: %s\n", strings.TrimRight(line, "\n"))
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "harrierramp",
		Short: "Takes messages from clients, stores them safely, and delivers each to its partner by one HTTP call",
		Long: `harrierramp contains the delivery node, the list service, the tools for operators and a demonstration.
Without arguments, and with ROUTER_CONFIG in the environment, it runs as a node.`,
		Example:       "  harrierramp demo\n  harrierramp config example > node.toml\n  harrierramp serve --config node.toml",
		SilenceErrors: true, SilenceUsage: true, SuggestionsMinimumDistance: 3,
		Args: rejectUnknownCommand, RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	root.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		return usageError{fmt.Errorf("%w%s; see '%s --help'", err, suggestFlag(c, err.Error()), c.CommandPath())}
	})
	root.AddCommand(newServe(), newRegistry(), newConfig(), newOps(), newFleet(), newJournal(), newDemo(), newVersion())
	return root
}

// rejectUnknownCommand returns a usage error for an unknown command, with the closest known command as a suggestion.
func rejectUnknownCommand(c *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	hint := ""
	if near := c.SuggestionsFor(args[0]); len(near) > 0 {
		hint = fmt.Sprintf("; did you mean %q?", near[0])
	}
	return usageError{fmt.Errorf("unknown command %q for %q%s", args[0], c.CommandPath(), hint)}
}

// exactArgs requires one argument for each of the names.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return usageError{fmt.Errorf("%s needs %s; see '%s --help'", c.CommandPath(), strings.Join(names, " and "), c.CommandPath())}
		}
		return nil
	}
}

// noArgs accepts no arguments.
func noArgs(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("%s takes no arguments, got %q; see '%s --help'", c.CommandPath(), args[0], c.CommandPath())}
	}
	return nil
}

// newGroup returns a command that only groups subcommands.
func newGroup(use, short, example string, subs ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{
		Use: use, Short: short, Example: example, Args: rejectUnknownCommand, SuggestionsMinimumDistance: 3,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(subs...)
	return c
}

// suggestFlag returns a hint with the known flag that is closest to the unknown flag which the error message names.
func suggestFlag(c *cobra.Command, message string) string {
	_, unknown, ok := strings.Cut(message, "unknown flag: --")
	if !ok {
		return ""
	}
	closest, leastDistance := "", 4
	c.Flags().VisitAll(func(f *pflag.Flag) {
		if d := levenshtein.ComputeDistance(unknown, f.Name); d < leastDistance {
			closest, leastDistance = f.Name, d
		}
	})
	if closest == "" {
		return ""
	}
	return "; did you mean --" + closest + "?"
}
