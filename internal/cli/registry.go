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
	"sync"
	"syscall"
	"time"

	"harrierramp/internal/admission"
	"harrierramp/internal/logging"
	"harrierramp/internal/registry"

	"github.com/spf13/cobra"
)

const (
	registryShutdownTimeout = time.Second
	maxRegistryConsoleConns = 16
)

// registryOptions are what the command line says.
type registryOptions struct {
	level, format   string
	listen, console string
	maxConns        int64
	server          registry.Config
}

func newRegistry() *cobra.Command {
	o := registryOptions{server: registry.Config{Options: registry.DefaultOptions()}}
	c := &cobra.Command{
		Use: "registry", Short: "Run a list service, with which instances register and which nodes follow", Args: noArgs,
		Example: "  harrierramp registry --state /var/lib/registry --listen 127.0.0.1:8500 --console 127.0.0.1:8501 --bootstrap",
		RunE: func(c *cobra.Command, _ []string) error {
			if o.server.StateDir == "" {
				return usageError{errors.New("--state is needed; see 'harrierramp registry --help'")}
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
	f.StringVar(&o.console, "console", "", "address for operators; none if empty")
	f.StringVar(&o.server.StateDir, "state", "", "folder that outlasts the process; needed")
	f.StringSliceVar(&o.server.Peers, "servers", nil, "addresses of all servers in the order of their numbers, with commas; empty for a single one")
	f.IntVar(&o.server.Number, "number", 0, "this server's place among them, from 0")
	f.BoolVar(&o.server.Bootstrap, "bootstrap", false, "with an empty folder, begin a list; for one server only")
	f.Int64Var((*int64)(&o.server.AfterEpoch), "after-epoch", 0, "with --bootstrap: begin after this epoch, which nodes have heard of")
	f.DurationVar(&o.server.Coalesce, "coalesce", 20*time.Millisecond, "changes so close together are told at once")
	f.IntVar(&o.server.MaxWatchers, "watchers", 4096, "watches at most")
	f.DurationVar(&o.server.SettleTime, "settle", 5*time.Second, "a list that is begun anew is told as not whole for so long")
	f.Float64Var(&o.server.StartRate, "start-rate", admission.DefaultRate,
		"whole lists a second for nodes that begin; the others are told when to come (0: no bound)")
	f.Int64Var(&o.maxConns, "connections", 8192, "connections at most")
	f.Int64Var(&o.server.MaxReportBytes, "report-bytes", 16<<20, "bytes of notices that are kept")
	f.IntVar(&o.server.Options.MaxInstances, "instances", o.server.Options.MaxInstances, "instances at most")
	f.DurationVar(&o.server.Options.Grace, "grace", o.server.Options.Grace, "what leases get on top after a start or a promotion")
	f.Float64Var(&o.server.Options.PreserveShare, "preserve-share", o.server.Options.PreserveShare,
		"no lease lapses while more than this share of the instances is silent")
	f.DurationVar(&o.server.Options.PreserveFor, "preserve-for", o.server.Options.PreserveFor, "for so long at most")
	f.Func("source", "IP address that connections to the other servers come from (default: the system's choice)", func(v string) error {
		ip := net.ParseIP(v)
		if ip == nil {
			return fmt.Errorf("%q is no IP address", v)
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
	signal.Ignore(syscall.SIGXFSZ) // a bound on the size of files is met as an error of the write, like a full disk
	s, err := registry.New(o.server, log)
	if err != nil {
		return err
	}
	var serving sync.WaitGroup
	var servers []*http.Server
	open := func(addr string, h http.Handler, maxConns int64) error {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		server := s.HTTPServer(h, maxConns, log)
		servers = append(servers, server)
		log.Info("serving", "addr", ln.Addr())
		serving.Go(func() {
			if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				log.Error("front_shut", "addr", ln.Addr(), "err", err)
				stop()
			}
		})
		return nil
	}
	err = open(o.listen, s.Handler(), o.maxConns)
	if err == nil && o.console != "" {
		err = open(o.console, s.OpsHandler(), maxRegistryConsoleConns)
	}
	if err != nil {
		stop() // what is open closes again
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
