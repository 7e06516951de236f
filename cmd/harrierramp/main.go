// Command harrierramp is one delivery node on real sockets. Its environment tells it what it is.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"

	"harrierramp/internal/ingress"
	"harrierramp/internal/node"
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(log); err != nil {
		log.Error("harrierramp ends", "err", err)
		os.Exit(1)
	}
}

func run(log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	replaced := make(chan os.Signal, 1)
	signal.Notify(replaced, syscall.SIGHUP)
	load := func() (node.Config, error) {
		return node.LoadConfig(os.Getenv("ROUTER_CONFIG"), os.Getenv("ROUTER_STATE"))
	}
	cfg, err := load()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	if mb := float64(cfg.Limits.MemoryMB); mb > 0 {
		// Half of the limit: sockets' buffers, stacks and the journal's two files count against it as well.
		debug.SetMemoryLimit(int64((mb - cfg.Limits.DiskMB) / 2 * (1 << 20)))
	}
	// A door that can't be opened ends the node before it has taken anything on.
	var door net.Listener
	if cfg.Console != "" {
		if door, err = net.Listen("tcp", cfg.Console); err != nil {
			return fmt.Errorf("operators: %w", err)
		}
	}
	n := node.New(cfg, log.With("node", cfg.Name))
	ln, err := listen(cfg.Listen)
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	if door != nil {
		defer n.ServeOperators(door)()
	}
	log.Info("serving", "addr", ln.Addr())
	go func() {
		for range replaced {
			// One that can't be read must not end the node, which has a good one.
			if cfg, err := load(); err != nil {
				log.Error("the old configuration stays", "err", err)
			} else {
				n.Reload(cfg)
			}
		}
	}()
	return n.Run(ctx, ln)
}

// listen opens the clients' socket, or takes the one that the platform holds and passes on.
func listen(addr string) (net.Listener, error) {
	if named := os.Getenv("ROUTER_PASSED_SOCKET"); named != "" {
		number, err := strconv.Atoi(named)
		if err != nil || number < 3 {
			number = 3 // the only one that is ever passed
		}
		return ingress.PassedListener(number)
	}
	return net.Listen("tcp", addr)
}
