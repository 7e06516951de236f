package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"harrierramp/internal/lab/stage"
)

func newStage() *cobra.Command {
	var options stage.Options
	var htmlPath, jsonPath string
	var seed uint64
	var nodes int
	var quiet bool
	c := &cobra.Command{
		Use: "stage SCRIPT", Short: "Run a script on real list servers and nodes, with faults injected between them", Args: cobra.ExactArgs(1),
		Long: `Run a script on real list servers, up to 300 real nodes, stand-in partners and clients on loopback. A relay on every
path between them can block, slow down or corrupt the traffic, and processes can be paused, killed, have their state
deleted or their disk filled. The rules are checked against what clients, partners and relays observe. The exit status
is 1 if a rule is broken or an expectation of the script is not met.`,
		Example: "  harrierlab stage lab/stage/cold.toml --html cold.html",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := stage.Load(args[0])
			if err != nil {
				return err
			}
			if c.Flags().Changed("seed") {
				s.Seed = seed
			}
			if nodes > 0 {
				s.Nodes = nodes
			}
			if options.Program == "" {
				options.Program = findProgram()
			}
			if !quiet {
				options.Output = c.ErrOrStderr()
			}
			r, err := stage.Play(c.Context(), s, options)
			if err != nil {
				return err
			}
			if err := r.Print(c.OutOrStdout()); err != nil {
				return err
			}
			if err := errors.Join(writeFile(htmlPath, r.HTML), writeFile(jsonPath, func(w io.Writer) error { return json.NewEncoder(w).Encode(r) })); err != nil {
				return err
			}
			if r.Failed() {
				return fmt.Errorf("%v rules broken, %d expectations missed", r.Figures["broken"], len(r.Missed))
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&options.Program, "program", "", "path of the harrierramp binary (default: beside this program, else in PATH)")
	f.StringVar(&options.Dir, "dir", "", "directory for configurations, logs and state, which is kept (default: a temporary one, removed at the end)")
	f.StringArrayVar(&options.ServerArgs, "server-arg", nil, "additional argument for the list servers; may be repeated")
	f.StringArrayVar(&options.NodeArgs, "node-arg", nil, "additional argument for the nodes; may be repeated")
	f.StringVar(&htmlPath, "html", "", "write a page with plots over time to this file")
	f.StringVar(&jsonPath, "json", "", "write the figures and the counts per 100 ms to this file, as JSON")
	f.Uint64Var(&seed, "seed", 1, "seed, in place of the script's")
	f.IntVar(&nodes, "nodes", 0, "number of nodes, in place of the script's")
	f.BoolVar(&quiet, "quiet", false, "don't print progress")
	return c
}

// writeFile creates a file and writes it with the given function. An empty path writes nothing.
func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}
