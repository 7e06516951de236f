package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"harrierramp/internal/config"
)

const (
	adminTimeout      = 3 * time.Second // the admin API answers within 1 s
	maxAdminBodyBytes = 4 << 20
)

// adminOptions are the flags shared by the ops commands.
type adminOptions struct {
	addr   string
	asJSON bool
}

func newOps() *cobra.Command {
	var o adminOptions
	c := newGroup("ops", "Query and control a running node through its operators' HTTP API (the door)",
		"  harrierramp ops ready --door 127.0.0.1:9090\n  harrierramp ops endpoint down s-1 --door 127.0.0.1:9090",
		o.getCommand("ready", "Print whether the process is ready to serve; exit status 0 if it is", "/ops/readiness", nil),
		o.getCommand("stats", "Print the metrics as StatsD lines", "/ops/stats", statsJSON),
		o.getCommand("metrics", "Print the metrics in the Prometheus text format", "/metrics", nil),
		o.getCommand("members", "Print the node's view of the fleet's members", "/ops/members", func(b []byte) (any, error) { return json.RawMessage(b), nil }),
		newGroup("drain", "Stop or resume accepting clients", "  harrierramp ops drain start",
			o.putCommand("start", "Stop accepting clients; messages already accepted are still delivered", "/ops/drain/start", ""),
			o.putCommand("stop", "Accept clients again", "/ops/drain/stop", "")),
		newGroup("endpoint", "Disable an endpoint by hand, or enable it again", "  harrierramp ops endpoint down s-1",
			o.putCommand("down ID", "Start no new calls to the endpoint", "/ops/endpoints/down", "id"),
			o.putCommand("up ID", "Enable the endpoint again", "/ops/endpoints/up", "id")),
		o.putCommand("log-level LEVEL", "Set the minimum level that the node logs", "/ops/log/level", "level"),
	)
	c.PersistentFlags().StringVar(&o.addr, "door", "", "address of the node's HTTP API for operators (default $ROUTER_CONSOLE, else the setting door in $ROUTER_CONFIG)")
	c.PersistentFlags().BoolVar(&o.asJSON, "json", false, "print JSON")
	return c
}

// resolveAddr returns the address of the admin API from the flag, the environment or the configuration.
func (o *adminOptions) resolveAddr() (string, error) {
	if o.addr != "" {
		return o.addr, nil
	}
	if env := os.Getenv("ROUTER_CONSOLE"); env != "" {
		return env, nil
	}
	if file := os.Getenv("ROUTER_CONFIG"); file != "" {
		l, err := config.Load(config.Sources{File: file, Env: os.Getenv})
		if err != nil {
			return "", err
		}
		if l.AdminListen != "" {
			return l.AdminListen, nil
		}
	}
	return "", usageError{errors.New("no address of the door: give --door ADDRESS, or set ROUTER_CONSOLE")}
}

// getCommand returns a command that prints the response to a GET request. parse converts a response that is not JSON,
// for --json; nil means that the response is wrapped as text.
func (o *adminOptions) getCommand(use, short, path string, parse func([]byte) (any, error)) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: noArgs, Example: "  harrierramp ops " + use + " --door 127.0.0.1:9090",
		RunE: func(c *cobra.Command, _ []string) error {
			body, err := o.request(c.Context(), http.MethodGet, path)
			if err != nil {
				return err
			}
			if o.asJSON {
				if parse == nil {
					return o.printOK(c, body)
				}
				v, err := parse(body)
				if err != nil {
					return err
				}
				return json.NewEncoder(c.OutOrStdout()).Encode(v)
			}
			if len(body) == 0 {
				body = []byte("yes\n")
			}
			_, err = c.OutOrStdout().Write(body)
			return err
		},
	}
}

// putCommand returns a command that sends a PUT request. param is the query parameter for the command's argument; if it
// is empty, the command has no argument.
func (o *adminOptions) putCommand(use, short, path, param string) *cobra.Command {
	verb, argName, _ := strings.Cut(use, " ")
	c := &cobra.Command{Use: use, Short: short, Args: noArgs, Example: "  harrierramp ops " + strings.ToLower(use) + " --door 127.0.0.1:9090"}
	if param != "" {
		c.Args = exactArgs(argName)
	}
	c.RunE = func(c *cobra.Command, args []string) error {
		target := path
		if param != "" {
			target += "?" + url.Values{param: args}.Encode()
		}
		body, err := o.request(c.Context(), http.MethodPut, target)
		if err != nil {
			return fmt.Errorf("%s: %w", verb, err)
		}
		if o.asJSON {
			return o.printOK(c, body)
		}
		_, err = fmt.Fprintln(c.OutOrStdout(), "yes")
		return err
	}
	return c
}

func (o *adminOptions) printOK(c *cobra.Command, body []byte) error {
	return json.NewEncoder(c.OutOrStdout()).Encode(map[string]any{"ok": true, "text": string(body)})
}

// request sends one request to the admin API and returns the body of a successful response.
func (o *adminOptions) request(ctx context.Context, method, path string) ([]byte, error) {
	addr, err := o.resolveAddr()
	if err != nil {
		return nil, err
	}
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, fmt.Errorf("door %s: %w", addr, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("no answer from the door: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("door %s: %w", addr, err)
	}
	if resp.StatusCode/100 != 2 {
		return nil, fmt.Errorf("the node refuses: %s (HTTP status %d)", strings.TrimSpace(string(body)), resp.StatusCode)
	}
	return body, nil
}

// statsJSON parses StatsD lines into a map from names to values.
func statsJSON(body []byte) (any, error) {
	values := map[string]json.Number{}
	for line := range strings.Lines(string(body)) {
		name, rest, ok := strings.Cut(strings.TrimSpace(line), ":")
		value, _, _ := strings.Cut(rest, "|")
		if !ok {
			return nil, fmt.Errorf("invalid StatsD line %q", line)
		}
		values[name] = json.Number(value)
	}
	return values, nil
}
