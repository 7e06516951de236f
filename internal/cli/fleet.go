package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"harrierramp/internal/config"
	"harrierramp/internal/rollout"
)

const (
	listServerTimeout = 3 * time.Second // for one request to a list server or to a node
	fleetPollInterval = 250 * time.Millisecond
	maxFleetBodyBytes = 16 << 20
)

// fleetOptions are the flags shared by the fleet commands.
type fleetOptions struct {
	servers []string
	asJSON  bool
}

func newFleet() *cobra.Command {
	var o fleetOptions
	c := newGroup("fleet", "Query the list service for the state of the fleet, and set what it requires of nodes",
		"  harrierramp fleet status --servers 127.0.0.1:8500,127.0.0.1:8510\n  harrierramp fleet wait 68719476799 --share 0.99 --timeout 30s",
		o.statusCommand(), o.waitCommand(), o.historyCommand(), o.auditCommand(), o.requireCommand(), o.releaseCommand())
	c.PersistentFlags().StringSliceVar(&o.servers, "servers", nil, "addresses of the list servers (default: registry.addresses of $ROUTER_CONFIG)")
	c.PersistentFlags().BoolVar(&o.asJSON, "json", false, "print JSON")
	return c
}

// serverAddrs returns the addresses of the list servers.
func (o *fleetOptions) serverAddrs() ([]string, error) {
	if len(o.servers) > 0 {
		return o.servers, nil
	}
	if file := os.Getenv("ROUTER_CONFIG"); file != "" {
		l, err := config.Load(config.Sources{File: file, Env: os.Getenv})
		if err != nil {
			return nil, err
		}
		if l.Registry != nil {
			return l.Registry.Addresses, nil
		}
	}
	return nil, usageError{errors.New("no list servers: give --servers, or set $ROUTER_CONFIG to a configuration with a section registry")}
}

// fetchView merges the views of all list servers. It also returns the addresses of servers that did not answer. If none
// answered, it returns an error.
func (o *fleetOptions) fetchView(ctx context.Context) (rollout.Snapshot, []string, error) {
	addrs, err := o.serverAddrs()
	if err != nil {
		return rollout.Snapshot{}, nil, err
	}
	views, errs := make([]*rollout.Snapshot, len(addrs)), make([]error, len(addrs))
	var fetches sync.WaitGroup
	for i, addr := range addrs {
		fetches.Go(func() { views[i], errs[i] = fetchServerView(ctx, addr) })
	}
	fetches.Wait()
	var answered []rollout.Snapshot
	var unanswered []string
	for i, v := range views {
		if v == nil {
			unanswered = append(unanswered, addrs[i])
			continue
		}
		answered = append(answered, *v)
	}
	if len(answered) == 0 {
		return rollout.Snapshot{}, unanswered, errors.Join(errs...)
	}
	return rollout.Merge(answered), unanswered, nil
}

func fetchServerView(ctx context.Context, addr string) (*rollout.Snapshot, error) {
	var v rollout.Snapshot
	raw, err := httpGet(ctx, "http://"+addr+"/registry/nodes", maxFleetBodyBytes)
	if err == nil {
		err = json.Unmarshal(raw, &v)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", addr, err)
	}
	return &v, nil
}

// nodeState names the state of a node.
func nodeState(r rollout.NodeStatus) string {
	switch {
	case r.Silent:
		return "silent"
	case r.BehindMS > 0:
		return "behind"
	case r.Fenced:
		return "shut out"
	case !r.Ready:
		return "not ready"
	}
	return "current"
}

func (o *fleetOptions) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Print the state of each node; exit status 0 if all are current", Args: noArgs,
		Long: `Print the state of each node: current, behind and since when, silent, shut out, or not ready; and how many nodes run which
build and configuration. A node that has never reported to an answering list server is missing from the table, so list
servers that don't answer are named. The exit status is 0 if all nodes are current and all servers answer.`,
		Example: "  harrierramp fleet status --servers 127.0.0.1:8500,127.0.0.1:8510",
		RunE: func(c *cobra.Command, _ []string) error {
			v, unanswered, err := o.fetchView(c.Context())
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			states, builds, configs := map[string]int{}, map[string]int{}, map[string]int{}
			for _, r := range v.Nodes {
				states[nodeState(r)]++
				builds[r.Build]++
				configs[r.Config]++
			}
			if o.asJSON {
				err = json.NewEncoder(out).Encode(map[string]any{
					"head": v.Head, "nodes": v.Nodes, "states": states, "builds": builds, "configs": configs, "silent_servers": unanswered,
				})
			} else {
				err = printFleet(out, v, states, builds, configs)
			}
			if err != nil {
				return err
			}
			if notCurrent := len(v.Nodes) - states["current"]; notCurrent > 0 || len(unanswered) > 0 || len(v.Nodes) == 0 {
				return fmt.Errorf("%d of %d nodes are not current; list servers that don't answer: %v", notCurrent, len(v.Nodes), unanswered)
			}
			return nil
		},
	}
}

func printFleet(out io.Writer, v rollout.Snapshot, states, builds, configs map[string]int) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NODE\tSTATE\tREVISION\tBEHIND\tSINCE\tHEARD\tBUILD\tCONFIG\tLAST TROUBLE")
	for _, r := range v.Nodes {
		behind, since := "-", "-"
		if r.BehindMS > 0 {
			behind, since = strconv.FormatInt(v.Head-r.Revision, 10), formatSeconds(r.BehindMS)
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Name, nodeState(r), r.Revision, behind, since, formatSeconds(r.LastReportMS), r.Build, r.Config, cmp.Or(r.LagReason, "-"))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, g := range []struct {
		name string
		of   map[string]int
	}{{"states", states}, {"builds", builds}, {"configurations", configs}} {
		fmt.Fprintf(out, "%s:", g.name)
		for _, k := range slices.Sorted(maps.Keys(g.of)) {
			fmt.Fprintf(out, " %s %d", k, g.of[k])
		}
		fmt.Fprintln(out)
	}
	_, err := fmt.Fprintf(out, "revision %d\n", v.Head)
	return err
}

func formatSeconds(ms int64) string { return fmt.Sprintf("%.1fs", float64(ms)/1000) }

func (o *fleetOptions) waitCommand() *cobra.Command {
	var share float64
	var timeout time.Duration
	c := &cobra.Command{
		Use: "wait REVISION", Short: "Wait until the fleet has applied a revision", Args: cobra.ExactArgs(1),
		Long: `Wait until all nodes that are not silent, or a share of them, act on a revision or a later one. Meant for scripts that
replace endpoints. The exit status is 1 if that does not happen within the timeout.`,
		Example: "  harrierramp fleet wait 68719476799 --share 0.99 --timeout 30s --servers 127.0.0.1:8500",
		RunE: func(c *cobra.Command, args []string) error {
			revision, err := strconv.ParseInt(args[0], 10, 64)
			if err != nil || revision <= 0 || !(share > 0 && share <= 1) {
				return usageError{fmt.Errorf("revision %q, share %v: the revision must be a number over 0, and the share over 0 and at most 1", args[0], share)}
			}
			ctx, cancel := context.WithTimeout(c.Context(), timeout)
			defer cancel()
			for lastApplied := -1; ; {
				v, _, err := o.fetchView(ctx)
				if _, usage := errors.AsType[usageError](err); usage {
					return err
				}
				applied, total := 0, 0
				for _, r := range v.Nodes {
					if r.Silent {
						continue
					}
					if total++; r.Revision >= revision {
						applied++
					}
				}
				if applied != lastApplied {
					lastApplied = applied
					fmt.Fprintf(c.ErrOrStderr(), "%d of %d nodes have revision %d\n", applied, total, revision)
				}
				if err == nil && total > 0 && float64(applied) >= share*float64(total) {
					return nil
				}
				select {
				case <-ctx.Done():
					return errors.Join(fmt.Errorf("%d of %d nodes have revision %d after %v", applied, total, revision, timeout), err)
				case <-time.After(fleetPollInterval):
				}
			}
		},
	}
	c.Flags().Float64Var(&share, "share", 1, "share of the nodes that are not silent")
	c.Flags().DurationVar(&timeout, "timeout", time.Minute, "maximum time to wait")
	return c
}

func (o *fleetOptions) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use: "history", Short: "Print how recent revisions spread through the fleet", Args: noArgs,
		Example: "  harrierramp fleet history --servers 127.0.0.1:8500",
		RunE: func(c *cobra.Command, _ []string) error {
			v, _, err := o.fetchView(c.Context())
			if err != nil {
				return err
			}
			if o.asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(v.Revisions)
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(t, "REVISION\tAGO\tAPPLIED\tOF\t50%\t99%\tALL\t")
			after := func(ms int64) string {
				if ms < 0 {
					return "-"
				}
				return formatSeconds(ms)
			}
			for _, h := range v.Revisions {
				fmt.Fprintf(t, "%d\t%s\t%d\t%d\t%s\t%s\t%s\t\n", h.Revision, formatSeconds(h.AgeMS), h.Applied, h.Nodes, after(h.HalfMS), after(h.P99MS), after(h.AllMS))
			}
			return t.Flush()
		},
	}
}
