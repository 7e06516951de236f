package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
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

// startPatience is how long a start repeats what fails for a reason that may pass.
const startRetryTimeout = 5 * time.Second

// lockPatience is how long a process that was told to end may still hold the folder of the one that comes.
const stateLockTimeout = 5 * time.Second

// serveOptions are what the command line says beside the configuration.
type serveOptions struct {
	configFile string
	overrides  []string
}

// sources are where the configuration comes from.
func (o serveOptions) sources() config.Sources {
	if o.configFile == "" {
		o.configFile = os.Getenv("ROUTER_CONFIG")
	}
	return config.Sources{File: o.configFile, Env: os.Getenv, Overrides: o.overrides}
}

// addConfigFlags adds the flags by which a configuration is named and changed.
func addConfigFlags(c *cobra.Command, o *serveOptions) {
	c.Flags().StringVarP(&o.configFile, "config", "c", "", "configuration file, TOML or the platform's JSON (default $ROUTER_CONFIG)")
	c.Flags().StringArrayVar(&o.overrides, "set", nil, "set one value, as limits.sockets=512; may be given often")
	for _, short := range []struct{ flag, key, help string }{
		{"listen", "listen", "address for clients"}, {"door", "door", "address of the operators' door"},
		{"state", "state", "the folder that outlasts the process"}, {"discovery", "discovery", "address of the list"},
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
		Long: `Run a delivery node. A value comes from the command line, else from the environment (HARRIERRAMP_LIMITS_SOCKETS for
limits.sockets), else from the file, else it has its default. SIGHUP reads the configuration again, SIGTERM lets the
node finish what is out and leave the rest to its journal.`,
		Example: "  harrierramp serve --config node.toml --state /var/lib/harrierramp --log-level debug",
		RunE:    func(c *cobra.Command, _ []string) error { return serve(o, c.ErrOrStderr()) },
	}
	addConfigFlags(c, &o)
	return c
}

func serve(o serveOptions, stderr io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGXFSZ) // a bound on the size of files is met as an error of the write, like a full disk
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	s := o.sources()
	if s.File == "" && len(s.Overrides) == 0 {
		return errors.New("no configuration: give --config FILE or set ROUTER_CONFIG; 'harrierramp config example' prints one")
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
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	if cfg.Limits.Memory > 0 {
		// Half of the limit: sockets' buffers, stacks and the journal's two files count against it as well.
		debug.SetMemoryLimit((cfg.Limits.Memory - cfg.Limits.Disk).Bytes() / 2)
	}
	// What can't be opened ends the node before it has taken anything on or written anything.
	var adminListener net.Listener
	if cfg.AdminListen != "" {
		err := retry(func() (err error) {
			adminListener, err = net.Listen("tcp", cfg.AdminListen)
			return err
		})
		if err != nil {
			return fmt.Errorf("operators' door (door): %w", err)
		}
	}
	var clientListener net.Listener
	err = retry(func() (err error) {
		clientListener, err = openClientListener(cfg.Listen)
		return err
	})
	if err != nil {
		return fmt.Errorf("clients (listen): %w", err)
	}
	if err := statedir.Mark(cfg.StateDir, cfg.Name); err != nil {
		log.Warn("state_not_marked", "err", err) // a full disk must not keep a node from what it owes
	}
	n := node.New(cfg.Config, log)
	n.Level = level
	if adminListener != nil {
		defer n.ServeAdmin(adminListener)()
	}
	log.Info("serving", "addr", clientListener.Addr())
	go func() { // ends with the process
		for range hangups {
			cfg = reload(ctx, n, cfg, s, level, log)
		}
	}()
	return n.Run(ctx, clientListener)
}

// patientLoad reads a configuration, again as long as its file can't be read for a reason that may pass.
func loadWithRetry(ctx context.Context, s config.Sources) (loaded *config.Loaded, err error) {
	err = transient.Retry(ctx, startRetryTimeout, nil, func() (err error) {
		loaded, err = config.Load(s)
		return err
	})
	return loaded, err
}

// reload reads the configuration again, and returns the one that holds. One that can't be read must not end the node,
// which has a good one.
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
	// What waits for a restart is told each time until it is taken back.
	effective := *old
	effective.Discovery, effective.Registry, effective.Log.Level = next.Discovery, next.Registry, next.Log.Level
	return &effective
}

// aloneIn refuses a folder that another process owns, unless this one comes to take over from it: then the platform
// has passed it the clients' socket. A process that is about to end is waited for.
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
			return fmt.Errorf("state folder %s is in use by a running node (%s is locked); stop that one, or upgrade as docs/on-call.md says",
				dir, filepath.Join(dir, "lock"))
		}
	}
}

// listenToClients opens the clients' socket, or takes the one that the platform holds and passes on.
func openClientListener(addr string) (net.Listener, error) {
	if passed := os.Getenv("ROUTER_PASSED_SOCKET"); passed != "" {
		fd, err := strconv.Atoi(passed)
		if err != nil || fd < 3 {
			fd = 3 // the only one that is ever passed
		}
		return ingress.InheritedListener(fd)
	}
	return net.Listen("tcp", addr)
}
