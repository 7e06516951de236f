package cli

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"harrierramp/internal/admission"
	"harrierramp/internal/capacity"
	"harrierramp/internal/config"
	"harrierramp/internal/fairqueue"
	"harrierramp/internal/logging"
	"harrierramp/internal/registry"

	"github.com/spf13/cobra"
)

const (
	registryShutdownTimeout = time.Second
	maxRegistryConsoleConns = 16
)

// registryOptions are the flags of the command registry.
type registryOptions struct {
	level, format   string
	listen, console string
	maxConns        int
	memory          config.MiB
	cores           float64
	server          registry.Config
}

func newRegistry() *cobra.Command {
	o := registryOptions{server: registry.Config{Options: registry.DefaultOptions()}}
	c := &cobra.Command{
		Use: "registry", Short: "Run a list server, where instances register and whose list nodes follow", Args: noArgs,
		Example: "  harrierramp registry --state /var/lib/registry --listen 127.0.0.1:8500 --console 127.0.0.1:8501 --bootstrap",
		RunE: func(c *cobra.Command, _ []string) error {
			if o.server.StateDir == "" {
				return usageError{errors.New("--state is required; see 'harrierramp registry --help'")}
			}
			log, _, err := logging.New(c.ErrOrStderr(), o.level, o.format)
			if err != nil {
				return usageError{err}
			}
			return runRegistry(log, o)
		},
	}
	f := c.Flags()
	f.StringVar(&o.listen, "listen", "127.0.0.1:8500", "address for nodes, instances and other servers")
	f.StringVar(&o.console, "console", "", "address of the HTTP API for operators; none if empty")
	f.StringVar(&o.server.StateDir, "state", "", "state directory, which persists across restarts; required")
	f.StringSliceVar(&o.server.Peers, "servers", nil, "addresses of all servers, separated by commas, in the order of their numbers; empty for a single server")
	f.IntVar(&o.server.Number, "number", 0, "this server's index in --servers, from 0")
	f.BoolVar(&o.server.Bootstrap, "bootstrap", false, "begin a new list if the state directory is empty; for one server only")
	f.Int64Var((*int64)(&o.server.AfterEpoch), "after-epoch", 0, "with --bootstrap: begin after this epoch, the last one that nodes know")
	f.DurationVar(&o.server.Coalesce, "coalesce", 20*time.Millisecond, "changes within this time are sent to nodes together")
	f.IntVar(&o.server.MaxWatchers, "watchers", 4096, "maximum number of watches")
	f.DurationVar(&o.server.SettleTime, "settle", 5*time.Second, "a new list is announced as incomplete for this long")
	f.Float64Var(&o.server.StartRate, "start-rate", admission.DefaultRate,
		"full lists per second that are sent to starting nodes; further nodes are told when to retry (0: no limit)")
	f.IntVar(&o.maxConns, "connections", 8192, "maximum number of connections")
	f.TextVar(&o.memory, "memory", config.MiB(0), "memory limit, such as 64MiB, which bounds connections and bodies too (0: no limit)")
	f.Float64Var(&o.cores, "cores", 0, "processors that the server may use, such as 0.5, half of them for connections and requests (0: all)")
	f.Int64Var(&o.server.MaxReportBytes, "report-bytes", 16<<20, "maximum size of the stored notices, in bytes")
	f.IntVar(&o.server.Options.MaxInstances, "instances", o.server.Options.MaxInstances, "maximum number of instances")
	f.DurationVar(&o.server.Options.Grace, "grace", o.server.Options.Grace, "extension of all leases after a start or a promotion")
	f.Float64Var(&o.server.Options.PreserveShare, "preserve-share", o.server.Options.PreserveShare,
		"no lease expires while more than this share of the instances is silent")
	f.DurationVar(&o.server.Options.PreserveFor, "preserve-for", o.server.Options.PreserveFor, "maximum time that --preserve-share keeps leases from expiring")
	f.Func("source", "local IP address for connections to the other servers (default: chosen by the system)", func(v string) error {
		ip := net.ParseIP(v)
		if ip == nil {
			return fmt.Errorf("%q is not an IP address", v)
		}
		o.server.SourceAddr = &net.TCPAddr{IP: ip}
		return nil
	})
	f.StringVar(&o.level, "log-level", "info", "debug, info, warn or error")
	f.StringVar(&o.format, "log-format", "text", "text or json")
	return c
}

func runRegistry(log *slog.Logger, o registryOptions) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGXFSZ) // exceeding a file size limit then fails the write, like a full disk, and does not end the process
	if o.cores <= 0 {
		o.cores = float64(runtime.NumCPU())
	}
	division := capacity.DivideServer(capacity.Limits{Memory: o.memory.Bytes(), Cores: o.cores})
	runtime.GOMAXPROCS(division.Processors)
	debug.SetMemoryLimit(division.RuntimeMemory)
	o.server.LargeBodies = division.LargeBodies
	s, err := registry.New(o.server, log)
	if err != nil {
		return err
	}
	scheduler := fairqueue.New(division.Processors, division.Peers)
	var serving sync.WaitGroup
	var servers []*http.Server
	open := func(addr string, h http.Handler, maxConns int) error {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		server, bounded := s.HTTPServer(ln, h, maxConns, scheduler, log)
		servers = append(servers, server)
		log.Info("serving", "addr", ln.Addr())
		serving.Go(func() {
			if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
				log.Error("front_shut", "addr", ln.Addr(), "err", err)
				stop()
			}
		})
		return nil
	}
	err = open(o.listen, s.Handler(), min(o.maxConns, division.Conns))
	if err == nil && o.console != "" {
		err = open(o.console, s.OpsHandler(), maxRegistryConsoleConns)
	}
	if err != nil {
		stop() // Run then returns at once, and the servers that are open are shut down
	}
	err = errors.Join(err, s.Run(ctx))
	shutdownCtx, cancel := context.WithTimeout(context.Background(), registryShutdownTimeout)
	defer cancel()
	for _, server := range servers {
		if server.Shutdown(shutdownCtx) != nil {
			err = errors.Join(err, server.Close())
		}
	}
	serving.Wait()
	return err
}
