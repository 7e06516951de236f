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
	var o stage.Options
	var html, raw string
	var seed uint64
	var nodes int
	var quiet bool
	c := &cobra.Command{
		Use: "stage SCRIPT", Short: "Play real list servers and nodes with faults on the ways between them", Args: cobra.ExactArgs(1),
		Long: `Play a script: real list servers, up to 300 real nodes, stand-in partners and clients on loopback, with a relay on every
way between them that can be cut, slowed or spoilt, and with processes paused, killed, emptied and filled. It judges by
what clients, partners and relays see. The status is 1 when a rule is broken or the script expects something else.`,
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
			if o.Program == "" {
				o.Program = findProgram()
			}
			if !quiet {
				o.Output = c.ErrOrStderr()
			}
			r, err := stage.Play(c.Context(), s, o)
			if err != nil {
				return err
			}
			if err := r.Print(c.OutOrStdout()); err != nil {
				return err
			}
			if err := errors.Join(writeFile(html, r.HTML), writeFile(raw, func(w io.Writer) error { return json.NewEncoder(w).Encode(r) })); err != nil {
				return err
			}
			if r.Failed() {
				return fmt.Errorf("%v rules broken, %d expectations missed", r.Figures["broken"], len(r.Missed))
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&o.Program, "program", "", "harrierramp (default: beside this program, else in PATH)")
	f.StringVar(&o.Dir, "dir", "", "folder for configurations, logs and lasting folders, which stay there (default: one that goes)")
	f.StringArrayVar(&o.ServerArgs, "server-arg", nil, "one more argument of list servers; may be given often")
	f.StringArrayVar(&o.NodeArgs, "node-arg", nil, "one more argument of nodes; may be given often")
	f.StringVar(&html, "html", "", "write a page with what happened over time")
	f.StringVar(&raw, "json", "", "write figures and bins of 100 ms")
	f.Uint64Var(&seed, "seed", 1, "in place of the script's")
	f.IntVar(&nodes, "nodes", 0, "in place of the script's")
	f.BoolVar(&quiet, "quiet", false, "don't tell what is done")
	return c
}

// save writes a file, if there is a name for it.
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
