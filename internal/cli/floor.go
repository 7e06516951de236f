package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"harrierramp/internal/listwatch"
)

// ask puts a floor to the list servers until one takes it: the primary.
func (o *fleetOptions) setFloor(ctx context.Context, f listwatch.Floor) error {
	addrs, err := o.serverAddrs()
	if err != nil {
		return err
	}
	raw, err := json.Marshal(f)
	if err != nil {
		return err
	}
	var errs []error
	for _, addr := range addrs {
		if err := putFloor(ctx, addr, raw); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", addr, err))
			continue
		}
		return nil
	}
	return errors.Join(errs...)
}

func putFloor(ctx context.Context, addr string, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, listServerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+addr+"/registry/floor", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxFleetBodyBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %.200s", resp.Status, bytes.TrimSpace(body))
	}
	return err
}

const epochShift = 32 // of a revision

func (o *fleetOptions) requireCommand() *cobra.Command {
	var f listwatch.Floor
	var epoch int64
	var share float64
	var force, dryRun bool
	c := &cobra.Command{
		Use: "require", Short: "Ask something of every node; who does not reach it is shut out", Args: noArgs,
		Long: `Set the floor of the fleet: the least revision or epoch of the list, and the build and the configuration that nodes have to
have to act at all. The list service keeps it, and tells it with the list; it replaces the floor before. Nodes that are not
there are named first. If they are more than a share of those that have told, nothing is done without --force. A node with
the section audit that does not reach the floor begins nothing new and says not ready, until it does or the floor is released.`,
		Example: "  harrierramp fleet require --build 0c1f30d27a5b --dry-run --servers 127.0.0.1:8500",
		RunE: func(c *cobra.Command, _ []string) error {
			if epoch > 0 {
				f.Revision = max(f.Revision, epoch<<epochShift)
			}
			if f == (listwatch.Floor{}) || f.Revision < 0 || epoch < 0 || !(share >= 0 && share <= 1) {
				return usageError{errors.New("say what is required, by --revision, --epoch, --build or --config; to ask nothing any more, release; --share is from 0 to 1")}
			}
			v, unanswered, err := o.fetchView(c.Context())
			if err != nil {
				return err
			}
			unfit, total := v.BelowFloor(f.Revision, f.Build, f.Config)
			fmt.Fprintf(c.OutOrStdout(), "%d of %d nodes do not reach it now: %s\n", len(unfit), total, strings.Join(unfit, " "))
			if len(unanswered) > 0 {
				fmt.Fprintf(c.OutOrStdout(), "list servers that don't answer: %s\n", strings.Join(unanswered, " "))
			}
			switch {
			case dryRun:
				return nil
			case !force && float64(len(unfit)) > share*float64(total):
				return fmt.Errorf("nothing is done: %d of %d nodes would be shut out, and %.0f%% at most may be; --force does it all the same", len(unfit), total, 100*share)
			}
			return o.setFloor(c.Context(), f)
		},
	}
	c.Flags().Int64Var(&f.Revision, "revision", 0, "of the list, at least")
	c.Flags().Int64Var(&epoch, "epoch", 0, "of the list, at least")
	c.Flags().StringVar(&f.Build, "build", "", "as fleet status shows it")
	c.Flags().StringVar(&f.Config, "config", "", "digest of the configuration, as fleet status shows it")
	c.Flags().Float64Var(&share, "share", 0.1, "of the nodes that may be shut out by it")
	c.Flags().BoolVar(&force, "force", false, "whatever the share")
	c.Flags().BoolVar(&dryRun, "dry-run", false, "only say who would be shut out")
	return c
}

func (o *fleetOptions) releaseCommand() *cobra.Command {
	return &cobra.Command{
		Use: "release", Short: "Ask nothing of nodes any more", Args: noArgs, Example: "  harrierramp fleet release --servers 127.0.0.1:8500",
		RunE: func(c *cobra.Command, _ []string) error { return o.setFloor(c.Context(), listwatch.Floor{}) },
	}
}
