package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"harrierramp/internal/auditlog"
)

const (
	maxConcurrentFetches = 16
	maxAuditRecordBytes  = 128 << 20 // nodes bound their records to less
)

// httpGet returns the body of the response of a list server or a node's admin API, up to maxBytes bytes.
func httpGet(ctx context.Context, url string, maxBytes int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, listServerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", url, resp.Status)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxBytes))
}

// fetchHistory returns the history of list changes of the server that remembers most.
func (o *fleetOptions) fetchHistory(ctx context.Context) (best auditlog.History, err error) {
	addrs, err := o.serverAddrs()
	if err != nil {
		return best, err
	}
	var errs []error
	for _, addr := range addrs {
		raw, err := httpGet(ctx, "http://"+addr+"/registry/history", maxFleetBodyBytes)
		var h auditlog.History
		if err == nil {
			err = json.Unmarshal(raw, &h)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", addr, err))
			continue
		}
		best = auditlog.MoreComplete(best, h)
	}
	if len(errs) == len(addrs) {
		return best, errors.Join(errs...)
	}
	return best, nil
}

// auditOptions select the records to read and define which calls count as late.
type auditOptions struct {
	stateDirs    []string
	adminAddrs   []string
	since        time.Duration
	grace, slack time.Duration
}

func (o *fleetOptions) auditCommand() *cobra.Command {
	var a auditOptions
	c := &cobra.Command{
		Use: "audit", Short: "Print calls to endpoints that had been withdrawn, with the calling node and the reason", Args: noArgs,
		Long: `Collect the call records of running nodes through their HTTP API for operators (the door), and from state directories, and
compare them with the list service's history. Print the calls that were made to endpoints after they had been withdrawn or
drained and the grace period was over: by which node, based on which revision, and why the node did not know. Nodes for which
this can't be determined are printed as unknown. The exit status is 0 if there is no such call. The addresses of the nodes
are those that they have reported to the list service, unless --doors is given.`,
		Example: "  harrierramp fleet audit --servers 127.0.0.1:8500\n  harrierramp fleet audit --servers 127.0.0.1:8500 --folders /var/lib/node-7",
		RunE: func(c *cobra.Command, _ []string) error {
			h, err := o.fetchHistory(c.Context())
			if err != nil {
				return err
			}
			r, err := o.collectReport(c.Context(), a, h)
			if err != nil {
				return err
			}
			if o.asJSON {
				err = json.NewEncoder(c.OutOrStdout()).Encode(r)
			} else {
				err = printAudit(c.OutOrStdout(), r)
			}
			if err == nil && len(r.Findings) > 0 {
				err = fmt.Errorf("%d findings", len(r.Findings))
			}
			return err
		},
	}
	c.Flags().StringSliceVar(&a.stateDirs, "folders", nil, "state directories of nodes that don't run")
	c.Flags().StringSliceVar(&a.adminAddrs, "doors", nil, "addresses of the nodes' HTTP APIs for operators (default: those that the list service knows)")
	c.Flags().DurationVar(&a.since, "since", 0, "only consider calls of this last period (0s: all recorded calls)")
	c.Flags().DurationVar(&a.grace, "grace", time.Second, "time after a withdrawal in which calls are still allowed")
	c.Flags().DurationVar(&a.slack, "slack", 250*time.Millisecond, "calls that are closer than this to the end of the grace period are reported as unsure")
	return c
}

// collectReport reads all call records and audits them against a history of list changes. The texts that it adds are
// part of the JSON report, so they stay as they are.
func (o *fleetOptions) collectReport(ctx context.Context, a auditOptions, h auditlog.History) (auditlog.Report, error) {
	audit := auditlog.Auditor{History: h, Grace: a.grace, Slack: a.slack}
	if a.since > 0 {
		audit.SinceMS = time.Now().Add(-a.since).UnixMilli()
	}
	for _, dir := range a.stateDirs {
		raw, err := auditlog.ReadDir(dir)
		if err != nil {
			return auditlog.Report{}, err
		}
		audit.Add(filepath.Base(dir), raw)
	}
	addrs := a.adminAddrs
	names := map[string]string{}
	if len(addrs) == 0 {
		v, unanswered, err := o.fetchView(ctx)
		if err != nil {
			return auditlog.Report{}, err
		}
		for _, s := range unanswered {
			audit.AddMissing(s, "the list server does not answer: nodes that told only it are not looked at")
		}
		for _, n := range v.Nodes {
			if n.AdminAddr == "" {
				audit.AddMissing(n.Name, "it has no door: give its folder")
				continue
			}
			addrs, names[n.AdminAddr] = append(addrs, n.AdminAddr), n.Name
		}
	}
	records, errs := make([][]byte, len(addrs)), make([]error, len(addrs))
	var fetches sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentFetches)
	for i, addr := range addrs {
		slots <- struct{}{}
		fetches.Go(func() {
			records[i], errs[i] = httpGet(ctx, "http://"+addr+"/ops/acts", maxAuditRecordBytes)
			<-slots
		})
	}
	fetches.Wait()
	for i, addr := range addrs {
		name := addr
		if n := names[addr]; n != "" {
			name = n
		}
		if errs[i] != nil {
			audit.AddMissing(name, fmt.Sprintf("its door does not answer: %v", errs[i]))
			continue
		}
		audit.Add(name, records[i])
	}
	return audit.Report(), nil
}

func printAudit(out io.Writer, r auditlog.Report) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NODE\tLIFE\tENDPOINT\tON REVISION\tWITHDRAWN BY\tCALLS\tUNSURE\tLAST AFTER\tWHY")
	for _, f := range r.Findings {
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n", f.Node, f.Incarnation, f.Endpoint, f.Revision, f.WithdrawnRevision, f.LateCalls, f.UnsureCalls, formatSeconds(f.LastMS), f.Reason)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, u := range r.Unknown {
		fmt.Fprintf(out, "unknown: %s: %s\n", u.Node, u.Text)
	}
	_, err := fmt.Fprintf(out, "%d calls of %d nodes on record\n", r.Calls, r.Nodes)
	return err
}
