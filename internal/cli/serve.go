package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"harrierramp/internal/config"
	"harrierramp/internal/handover"
	"harrierramp/internal/ingress"
	"harrierramp/internal/logging"
	"harrierramp/internal/node"
	"harrierramp/internal/statedir"
	"harrierramp/internal/transient"
)

// startRetryTimeout is how long a start retries steps that fail with a transient error.
const startRetryTimeout = 5 * time.Second

// stateLockTimeout is how long a start waits for a previous process, which has been told to end, to release the state
// directory.
const stateLockTimeout = 5 * time.Second

// serveOptions are the flags that select a configuration and override its values.
type serveOptions struct {
	configFile string
	overrides  []string
}

// sources returns the sources of the configuration.
func (o serveOptions) sources() config.Sources {
	if o.configFile == "" {
		o.configFile = os.Getenv("ROUTER_CONFIG")
	}
	return config.Sources{File: o.configFile, Env: os.Getenv, Overrides: o.overrides}
}

// addConfigFlags adds the flags that select a configuration file and override its values.
func addConfigFlags(c *cobra.Command, o *serveOptions) {
	c.Flags().StringVarP(&o.configFile, "config", "c", "", "configuration file, TOML or the platform's JSON (default $ROUTER_CONFIG)")
	c.Flags().StringArrayVar(&o.overrides, "set", nil, "set one value, such as limits.sockets=512; may be repeated")
	for _, short := range []struct{ flag, key, help string }{
		{"listen", "listen", "address for clients"}, {"door", "door", "address of the operators' HTTP API (the door)"},
		{"state", "state", "state directory, which persists across restarts"}, {"discovery", "discovery", "address of the service that provides the list of endpoints"},
		{"log-level", "log.level", "debug, info, warn or error"}, {"log-format", "log.format", "text or json"},
	} {
		c.Flags().Func(short.flag, short.help+" (sets "+short.key+")", func(v string) error {
			o.overrides = append(o.overrides, short.key+"="+v)
			return nil
		})
	}
}

func newServe() *cobra.Command {
	var o serveOptions
	c := &cobra.Command{
		Use: "serve", Short: "Run a delivery node", Args: noArgs,
		Long: `Run a delivery node. Values on the command line take precedence over the environment (HARRIERRAMP_LIMITS_SOCKETS for
limits.sockets), then over the file, then over the defaults. SIGHUP reloads the configuration. On SIGTERM the node lets
calls in progress finish and leaves all other messages to its journal.`,
		Example: "  harrierramp serve --config node.toml --state /var/lib/harrierramp --log-level debug",
		RunE:    func(c *cobra.Command, _ []string) error { return serve(o, c.ErrOrStderr()) },
	}
	addConfigFlags(c, &o)
	return c
}

func serve(o serveOptions, stderr io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGXFSZ) // exceeding a file size limit then fails the write, like a full disk, and does not end the process
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	s := o.sources()
	if s.File == "" && len(s.Overrides) == 0 {
		return errors.New("no configuration: give --config FILE or set ROUTER_CONFIG; 'harrierramp config example' prints an example")
	}
	cfg, err := loadWithRetry(ctx, s)
	if err != nil {
		return err
	}
	log, level, err := logging.New(stderr, cfg.Log.Level, cfg.Log.Format)
	if err != nil {
		return err
	}
	log = log.With("node", cfg.Name)
	retry := func(do func() error) error {
		return transient.Retry(ctx, startRetryTimeout, func(err error) { log.Warn("start_waits", "err", err) }, do)
	}
	if err := retry(func() error { return statedir.Check(cfg.StateDir, cfg.Name) }); err != nil {
		return err
	}
	if err := retry(func() error { return awaitStateUnlocked(ctx, cfg.StateDir) }); err != nil {
		return err
	}
	division := cfg.Limits.Divide()
	runtime.GOMAXPROCS(division.Processors)
	debug.SetMemoryLimit(division.RuntimeMemory)
	// Sockets are opened first: if one can't be opened, the node ends before it has accepted or written anything.
	var adminListener net.Listener
	if cfg.AdminListen != "" {
		err := retry(func() (err error) {
			adminListener, err = net.Listen("tcp", cfg.AdminListen)
			return err
		})
		if err != nil {
			return fmt.Errorf("operators' HTTP API (door): %w", err)
		}
	}
	var clientListener net.Listener
	err = retry(func() (err error) {
		clientListener, err = openClientListener(cfg.Listen)
		return err
	})
	if err != nil {
		return fmt.Errorf("socket for clients (listen): %w", err)
	}
	if err := statedir.Mark(cfg.StateDir, cfg.Name); err != nil {
		log.Warn("state_not_marked", "err", err) // a full disk must not stop a node from delivering the messages in its journal
	}
	n := node.New(cfg.Config, log)
	n.Level = level
	if adminListener != nil {
		defer n.ServeAdmin(adminListener)()
	}
	log.Info("serving", "addr", clientListener.Addr())
	go func() { // runs until the process ends
		for range hangups {
			cfg = reload(ctx, n, cfg, s, level, log)
		}
	}()
	return n.Run(ctx, clientListener)
}

// loadWithRetry loads a configuration. It retries while the file can't be read because of a transient error.
func loadWithRetry(ctx context.Context, s config.Sources) (loaded *config.Loaded, err error) {
	err = transient.Retry(ctx, startRetryTimeout, nil, func() (err error) {
		loaded, err = config.Load(s)
		return err
	})
	return loaded, err
}

// reload loads the configuration again and applies the values that a running node can change. It returns the
// configuration now in effect. If the new one can't be loaded, the node keeps the old one.
func reload(
	ctx context.Context, n *node.Node, old *config.Loaded, s config.Sources, level *slog.LevelVar, log *slog.Logger,
) *config.Loaded {
	next, err := loadWithRetry(ctx, s)
	if err != nil {
		log.Error("config_kept", "err", err)
		return old
	}
	reloaded, restartOnly := old.Diff(next)
	if len(restartOnly) > 0 {
		log.Warn("config_needs_restart", "keys", restartOnly)
	}
	n.Reload(next.Config)
	if old.Log.Level != next.Log.Level {
		if err := logging.SetLevel(level, next.Log.Level); err != nil {
			log.Error("config_kept", "err", err)
		}
	}
	log.Info("config_taken", "keys", reloaded)
	// Only the reloadable values are carried over, so that each reload warns again of values that need a restart, until
	// the file has their old values again.
	effective := *old
	effective.Discovery, effective.Registry, effective.Log.Level = next.Discovery, next.Registry, next.Log.Level
	return &effective
}

// awaitStateUnlocked waits up to stateLockTimeout for another process to release the state directory, and returns an
// error if it does not. A process that takes over from a running one does not wait: the platform has passed it the
// clients' socket.
func awaitStateUnlocked(ctx context.Context, dir string) error {
	if os.Getenv("ROUTER_PASSED_SOCKET") != "" {
		return nil
	}
	for deadline := time.Now().Add(stateLockTimeout); ; {
		held, err := handover.IsLocked(dir)
		if err != nil || !held {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(stateLockTimeout / 50):
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("state folder %s is in use by a running node (%s is locked); stop that node, or upgrade as described in docs/on-call.md",
				dir, filepath.Join(dir, "lock"))
		}
	}
}

// openClientListener opens the socket for clients, or takes over the one that the platform has passed to this process.
func openClientListener(addr string) (net.Listener, error) {
	if passed := os.Getenv("ROUTER_PASSED_SOCKET"); passed != "" {
		fd, err := strconv.Atoi(passed)
		if err != nil || fd < 3 {
			fd = 3 // the only descriptor that the platform passes
		}
		return ingress.InheritedListener(fd)
	}
	return net.Listen("tcp", addr)
}
