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
	adminTimeout      = 3 * time.Second // the door answers within 1 s
	maxAdminBodyBytes = 4 << 20
)

// doorOptions say which door is meant.
type adminOptions struct {
	addr   string
	asJSON bool
}

func newOps() *cobra.Command {
	var o adminOptions
	c := newGroup("ops", "Ask and tell a running node by its operators' door",
		"  harrierramp ops ready --door 127.0.0.1:9090\n  harrierramp ops endpoint down s-1 --door 127.0.0.1:9090",
		o.getCommand("ready", "Say whether the process is ready to serve; status 0 if it is", "/ops/readiness", nil),
		o.getCommand("stats", "Print the figures", "/ops/stats", statsJSON),
		o.getCommand("metrics", "Print the figures as Prometheus reads them", "/metrics", nil),
		o.getCommand("members", "Print who of the fleet is there", "/ops/members", func(b []byte) (any, error) { return json.RawMessage(b), nil }),
		newGroup("drain", "Send clients away, or take them again", "  harrierramp ops drain start",
			o.putCommand("start", "Send clients away; what was taken on is delivered", "/ops/drain/start", ""),
			o.putCommand("stop", "Take clients again", "/ops/drain/stop", "")),
		newGroup("endpoint", "Take an endpoint out by hand, or put it back", "  harrierramp ops endpoint down s-1",
			o.putCommand("down ID", "Send the endpoint nothing new", "/ops/endpoints/down", "id"),
			o.putCommand("up ID", "Put the endpoint back", "/ops/endpoints/up", "id")),
		o.putCommand("log-level LEVEL", "Set the least level that the node logs", "/ops/log/level", "level"),
	)
	c.PersistentFlags().StringVar(&o.addr, "door", "", "address of the door (default $ROUTER_CONSOLE, else door of $ROUTER_CONFIG)")
	c.PersistentFlags().BoolVar(&o.asJSON, "json", false, "answer as JSON")
	return c
}

// at is the door's address.
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
	return "", usageError{errors.New("which door? give --door ADDRESS, or set ROUTER_CONSOLE")}
}

// get is a command that prints what the door says. parse makes JSON of it where the door does not.
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

// put is a command that gives an order; param names its argument, empty for none.
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

// call makes one call at the door.
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
		return nil, fmt.Errorf("the node says no: %s (%d)", strings.TrimSpace(string(body)), resp.StatusCode)
	}
	return body, nil
}

// statsJSON reads StatsD lines into names and values.
func statsJSON(body []byte) (any, error) {
	values := map[string]json.Number{}
	for line := range strings.Lines(string(body)) {
		name, rest, ok := strings.Cut(strings.TrimSpace(line), ":")
		value, _, _ := strings.Cut(rest, "|")
		if !ok {
			return nil, fmt.Errorf("a figure that can't be read: %q", line)
		}
		values[name] = json.Number(value)
	}
	return values, nil
}
