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
const startPatience = 5 * time.Second

// lockPatience is how long a process that was told to end may still hold the folder of the one that comes.
const lockPatience = 5 * time.Second

// serveOptions are what the command line says beside the configuration.
type serveOptions struct {
	file string
	sets []string
}

// sources are where the configuration comes from.
func (o serveOptions) sources() config.Sources {
	if o.file == "" {
		o.file = os.Getenv("ROUTER_CONFIG")
	}
	return config.Sources{File: o.file, Env: os.Getenv, Sets: o.sets}
}

// addConfigFlags adds the flags by which a configuration is named and changed.
func addConfigFlags(c *cobra.Command, o *serveOptions) {
	c.Flags().StringVarP(&o.file, "config", "c", "", "configuration file, TOML or the platform's JSON (default $ROUTER_CONFIG)")
	c.Flags().StringArrayVar(&o.sets, "set", nil, "set one value, as limits.sockets=512; may be given often")
	for _, short := range []struct{ flag, key, help string }{
		{"listen", "listen", "address for clients"}, {"door", "door", "address of the operators' door"},
		{"state", "state", "the folder that outlasts the process"}, {"discovery", "discovery", "address of the list"},
		{"log-level", "log.level", "debug, info, warn or error"}, {"log-format", "log.format", "text or json"},
	} {
		c.Flags().Func(short.flag, short.help+" (sets "+short.key+")", func(v string) error {
			o.sets = append(o.sets, short.key+"="+v)
			return nil
		})
	}
}

func newServe() *cobra.Command {
	var o serveOptions
	c := &cobra.Command{
		Use: "serve", Short: "Run a delivery node", Args: none,
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
	replaced := make(chan os.Signal, 1)
	signal.Notify(replaced, syscall.SIGHUP)
	s := o.sources()
	if s.File == "" && len(s.Sets) == 0 {
		return errors.New("no configuration: give --config FILE or set ROUTER_CONFIG; 'harrierramp config example' prints one")
	}
	cfg, err := patientLoad(ctx, s)
	if err != nil {
		return err
	}
	log, level, err := logging.New(stderr, cfg.Log.Level, cfg.Log.Format)
	if err != nil {
		return err
	}
	log = log.With("node", cfg.Name)
	patiently := func(do func() error) error {
		return transient.Retry(ctx, startPatience, func(err error) { log.Warn("start_waits", "err", err) }, do)
	}
	if err := patiently(func() error { return statedir.Check(cfg.State, cfg.Name) }); err != nil {
		return err
	}
	if err := patiently(func() error { return aloneIn(ctx, cfg.State) }); err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	if cfg.Limits.Memory > 0 {
		// Half of the limit: sockets' buffers, stacks and the journal's two files count against it as well.
		debug.SetMemoryLimit((cfg.Limits.Memory - cfg.Limits.Disk).Bytes() / 2)
	}
	// What can't be opened ends the node before it has taken anything on or written anything.
	var door net.Listener
	if cfg.Console != "" {
		err := patiently(func() (err error) {
			door, err = net.Listen("tcp", cfg.Console)
			return err
		})
		if err != nil {
			return fmt.Errorf("operators' door (door): %w", err)
		}
	}
	var ln net.Listener
	err = patiently(func() (err error) {
		ln, err = listenToClients(cfg.Listen)
		return err
	})
	if err != nil {
		return fmt.Errorf("clients (listen): %w", err)
	}
	if err := statedir.Mark(cfg.State, cfg.Name); err != nil {
		log.Warn("state_not_marked", "err", err) // a full disk must not keep a node from what it owes
	}
	n := node.New(cfg.Config, log)
	n.Level = level
	if door != nil {
		defer n.ServeOperators(door)()
	}
	log.Info("serving", "addr", ln.Addr())
	go func() { // ends with the process
		for range replaced {
			cfg = reload(ctx, n, cfg, s, level, log)
		}
	}()
	return n.Run(ctx, ln)
}

// patientLoad reads a configuration, again as long as its file can't be read for a reason that may pass.
func patientLoad(ctx context.Context, s config.Sources) (loaded *config.Loaded, err error) {
	err = transient.Retry(ctx, startPatience, nil, func() (err error) {
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
	next, err := patientLoad(ctx, s)
	if err != nil {
		log.Error("config_kept", "err", err)
		return old
	}
	taken, kept := old.Moved(next)
	if len(kept) > 0 {
		log.Warn("config_needs_restart", "keys", kept)
	}
	n.Reload(next.Config)
	if old.Log.Level != next.Log.Level {
		if err := logging.SetLevel(level, next.Log.Level); err != nil {
			log.Error("config_kept", "err", err)
		}
	}
	log.Info("config_taken", "keys", taken)
	// What waits for a restart is told each time until it is taken back.
	held := *old
	held.Discovery, held.Registry, held.Log.Level = next.Discovery, next.Registry, next.Log.Level
	return &held
}

// aloneIn refuses a folder that another process owns, unless this one comes to take over from it: then the platform
// has passed it the clients' socket. A process that is about to end is waited for.
func aloneIn(ctx context.Context, dir string) error {
	if os.Getenv("ROUTER_PASSED_SOCKET") != "" {
		return nil
	}
	for end := time.Now().Add(lockPatience); ; {
		held, err := handover.Held(dir)
		if err != nil || !held {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(lockPatience / 50):
		}
		if time.Now().After(end) {
			return fmt.Errorf("state folder %s is in use by a running node (%s is locked); stop that one, or upgrade as docs/on-call.md says",
				dir, filepath.Join(dir, "lock"))
		}
	}
}

// listenToClients opens the clients' socket, or takes the one that the platform holds and passes on.
func listenToClients(addr string) (net.Listener, error) {
	if named := os.Getenv("ROUTER_PASSED_SOCKET"); named != "" {
		number, err := strconv.Atoi(named)
		if err != nil || number < 3 {
			number = 3 // the only one that is ever passed
		}
		return ingress.PassedListener(number)
	}
	return net.Listen("tcp", addr)
}
