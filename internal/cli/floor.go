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

// setFloor offers a floor to the list servers one after the other, until one accepts it. Only the primary does.
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

const epochShift = 32 // position of the epoch in a revision

func (o *fleetOptions) requireCommand() *cobra.Command {
	var f listwatch.Floor
	var epoch int64
	var share float64
	var force, dryRun bool
	c := &cobra.Command{
		Use: "require", Short: "Set the minimum that every node must meet; nodes below it are shut out", Args: noArgs,
		Long: `Set the floor of the fleet: the minimum revision or epoch of the list, and the build and the configuration that nodes need
in order to make calls at all. The list service stores the floor and sends it with the list; it replaces the previous floor.
The command first names the nodes that don't meet it. If they are more than a share of the nodes that are not silent, nothing
is changed without --force. A node with the section audit that does not meet the floor starts no new calls and reports that
it is not ready, until it meets the floor or the floor is released.`,
		Example: "  harrierramp fleet require --build 0c1f30d27a5b --dry-run --servers 127.0.0.1:8500",
		RunE: func(c *cobra.Command, _ []string) error {
			if epoch > 0 {
				f.Revision = max(f.Revision, epoch<<epochShift)
			}
			if f == (listwatch.Floor{}) || f.Revision < 0 || epoch < 0 || !(share >= 0 && share <= 1) {
				return usageError{errors.New("give --revision, --epoch, --build or --config; to remove the floor, use 'fleet release'; --share must be from 0 to 1")}
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
				return fmt.Errorf("nothing is changed: %d of %d nodes would be shut out, and at most %.0f%% may be; --force overrides this", len(unfit), total, 100*share)
			}
			return o.setFloor(c.Context(), f)
		},
	}
	c.Flags().Int64Var(&f.Revision, "revision", 0, "minimum revision of the list")
	c.Flags().Int64Var(&epoch, "epoch", 0, "minimum epoch of the list")
	c.Flags().StringVar(&f.Build, "build", "", "build, as 'fleet status' prints it")
	c.Flags().StringVar(&f.Config, "config", "", "digest of the configuration, as 'fleet status' prints it")
	c.Flags().Float64Var(&share, "share", 0.1, "share of the nodes that may be shut out")
	c.Flags().BoolVar(&force, "force", false, "set the floor even if more nodes than --share would be shut out")
	c.Flags().BoolVar(&dryRun, "dry-run", false, "only print which nodes would be shut out")
	return c
}

func (o *fleetOptions) releaseCommand() *cobra.Command {
	return &cobra.Command{
		Use: "release", Short: "Remove the floor, so that nothing is required of nodes", Args: noArgs, Example: "  harrierramp fleet release --servers 127.0.0.1:8500",
		RunE: func(c *cobra.Command, _ []string) error { return o.setFloor(c.Context(), listwatch.Floor{}) },
	}
}
