package node

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// Callers wait 1 s for an answer, and some connect and finish no call. Few places, of which the longest
	// unfinished gives way, keep them from shutting out the others and from the descriptors.
	doorPlaces  = 8
	doorTimeout = 2 * time.Second        // for a whole call
	orderWait   = 900 * time.Millisecond // for a change to hold; past it the caller is told no
)

// Why an order gets a no.
var (
	errUnknownEndpoint = errors.New("no such endpoint")
	errNotServing      = errors.New("this process does not serve now")
	errNoMembership    = errors.New("membership is off")
	errNoPeers         = errors.New("the socket to the other nodes could not be opened")
)

// operators is what the door needs of the node.
type operators interface {
	ready() bool
	stats() []byte
	fellowship(ctx context.Context) (*view, error)
	disable(ctx context.Context, endpoint string) error
	enable(ctx context.Context, endpoint string) error
	drain(ctx context.Context, on bool) error
}

// door answers the operators.
type door struct {
	srv http.Server
	ln  *doorListener
	log *slog.Logger
}

func newDoor(ln net.Listener, n operators, log *slog.Logger) *door {
	d := &door{ln: &doorListener{Listener: ln, open: map[*doorConn]struct{}{}}, log: log}
	order := func(do func(ctx context.Context, r *http.Request) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), orderWait)
			defer cancel()
			switch err := do(ctx, r); {
			case err == nil:
				w.WriteHeader(http.StatusNoContent)
			case errors.Is(err, errUnknownEndpoint):
				http.Error(w, err.Error(), http.StatusNotFound)
			default:
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			}
		}
	}
	endpoint := func(do func(ctx context.Context, endpoint string) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id := r.URL.Query().Get("id")
			if id == "" {
				http.Error(w, "id is needed", http.StatusBadRequest)
				return
			}
			order(func(ctx context.Context, _ *http.Request) error { return do(ctx, id) })(w, r)
		}
	}
	drain := func(on bool) http.HandlerFunc {
		return order(func(ctx context.Context, _ *http.Request) error { return n.drain(ctx, on) })
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ops/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			http.Error(w, errNotServing.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /ops/stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		if _, err := w.Write(n.stats()); err != nil {
			log.Debug("figures not taken", "err", err)
		}
	})
	mux.HandleFunc("GET /ops/members", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), orderWait)
		defer cancel()
		v, err := n.fellowship(ctx)
		switch {
		case errors.Is(err, errNoMembership):
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(v); err != nil {
			log.Debug("members not taken", "err", err)
		}
	})
	mux.HandleFunc("PUT /ops/endpoints/down", endpoint(n.disable))
	mux.HandleFunc("PUT /ops/endpoints/up", endpoint(n.enable))
	mux.HandleFunc("PUT /ops/drain/start", drain(true))
	mux.HandleFunc("PUT /ops/drain/stop", drain(false))
	d.srv = http.Server{
		Handler: mux, ReadTimeout: doorTimeout, WriteTimeout: doorTimeout, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	d.srv.SetKeepAlivesEnabled(false)
	return d
}

// serve answers until close.
func (d *door) serve() {
	if err := d.srv.Serve(d.ln); !errors.Is(err, http.ErrServerClosed) {
		d.log.Error("the operators' door is shut", "err", err)
	}
}

// close lets calls under way have their answers, for a moment.
func (d *door) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeGrace)
	defer cancel()
	if err := d.srv.Shutdown(ctx); err != nil {
		d.log.Debug("operators' calls cut off", "err", errors.Join(err, d.srv.Close()))
	}
}

// doorListener bounds the connections: the longest open one is closed for a newcomer.
type doorListener struct {
	net.Listener
	mu   sync.Mutex
	open map[*doorConn]struct{}
}

type doorConn struct {
	net.Conn
	ln    *doorListener
	since time.Time
}

func (l *doorListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &doorConn{Conn: nc, ln: l, since: time.Now()}
	l.mu.Lock()
	var oldest *doorConn
	if len(l.open) >= doorPlaces {
		for o := range l.open {
			if oldest == nil || o.since.Before(oldest.since) {
				oldest = o
			}
		}
	}
	l.open[c] = struct{}{}
	l.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

func (c *doorConn) Close() error {
	c.ln.mu.Lock()
	delete(c.ln.open, c)
	c.ln.mu.Unlock()
	return c.Conn.Close()
}

// The node as the door sees it; all of these are called from any goroutine.

func (n *Node) ready() bool { return n.serving.Load() }

func (n *Node) stats() []byte { return n.figures.text() }

// fellowship asks the loop who is there.
func (n *Node) fellowship(ctx context.Context) (*view, error) {
	if n.cfg.Membership == nil {
		return nil, errNoMembership
	}
	if !n.serving.Load() {
		return nil, errNotServing
	}
	ask := viewAsk{make(chan *view, 1)}
	n.tell(ctx, ask)
	select {
	case v := <-ask.reply:
		if v == nil {
			return nil, errNoPeers
		}
		return v, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Node) disable(ctx context.Context, endpoint string) error {
	return n.tellOrder(ctx, order{endpoint: endpoint, on: true})
}

func (n *Node) enable(ctx context.Context, endpoint string) error {
	return n.tellOrder(ctx, order{endpoint: endpoint})
}

func (n *Node) drain(ctx context.Context, on bool) error { return n.tellOrder(ctx, order{on: on}) }

// tellOrder hands an order to the loop and waits until it holds.
func (n *Node) tellOrder(ctx context.Context, o order) error {
	if !n.serving.Load() && !n.passing.Load() {
		return errNotServing
	}
	o.done = make(chan error, 1)
	n.tell(ctx, o)
	select {
	case err := <-o.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ServeOperators answers operators on ln until the function that it returns is called.
func (n *Node) ServeOperators(ln net.Listener) (stop func()) {
	d := newDoor(ln, n, n.log)
	var serving sync.WaitGroup
	serving.Go(d.serve)
	return func() {
		d.close()
		serving.Wait()
	}
}
