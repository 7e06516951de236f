// Package node is a delivery node on real sockets: clients hand messages in, the node journals them, asks
// package choice what to do, calls endpoints, and reports the ends. It decides nothing about messages itself.
package node

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/admin"
	"harrierramp/internal/backoff"
	"harrierramp/internal/coldstart"
	"harrierramp/internal/config"
	"harrierramp/internal/egress"
	"harrierramp/internal/handover"
	"harrierramp/internal/ingress"
	"harrierramp/internal/journal"
	"harrierramp/internal/listwatch"
	"harrierramp/internal/metrics"
	"harrierramp/internal/outbox"
)

const (
	// epoch is the module's clock at the start: times before a restart stay above zero.
	epoch      = 48 * time.Hour
	maxBatch   = 256 // events in one Step
	eventQueue = 1024
	setAside   = 2*admin.MaxConnections + 16 // descriptors that neither clients nor calls may take
	// After SIGTERM clients go on coming for 0.4 s, and SIGKILL comes after 3.7 s. Until holdAfter all goes on
	// as ever; then the module is told to send nothing new, and what is out has until leaveAfter to end. All the
	// while messages are taken on: the journal has them for the next start.
	holdAfter  = 1200 * time.Millisecond
	leaveAfter = 2700 * time.Millisecond
)

// attempt names a call that is out.
type attempt struct {
	id string
	n  int
}

// outCall is a call that is out.
type outCall struct {
	m        *journal.Message
	endpoint *egress.Endpoint // nil for a call of the process that has handed over to this one
	cancel   context.CancelFunc
	act      int64 // its number in the record of acts, 0 for none
}

// Node is a delivery node. One goroutine, in Run, owns all that is not said to be shared.
type Node struct {
	cfg       config.Config
	log       *slog.Logger
	sender    *choice.Sender
	journal   *journal.Journal
	pool      *egress.Pool
	client    *http.Client
	Level     *slog.LevelVar          // of log, for operators to change; nil if they may not
	discovery *listwatch.Addresses    // shared
	peers     *peers                  // nil if the fleet has no datagrams
	fellows   *fellows                // nil without membership
	audit     *audit                  // nil where nothing is told
	ward      *ward                   // nil where nobody is shut out
	nudge     chan struct{}           // has the watcher ask another list server
	outcast   atomic.Pointer[awaited] // shared: nil unless the node is shut out
	blind     bool                    // the module was told so
	unfit     bool                    // by the list service's floor
	floor     listwatch.Floor
	lock      *os.File // this process owns the node while it has it
	orders    *orders
	clients   *ingress.Server // shared
	figures   *metrics.Set    // shared
	serving   atomic.Bool     // shared: the loop runs
	passing   atomic.Bool     // shared: a successor owns the node
	start     time.Time
	events    chan any
	notices   chan []outbox.Notice
	asks      chan *handover.Link         // of processes that want to own the node
	messages  map[string]*journal.Message // all in the journal, by id
	out       map[attempt]outCall
	remote    int // of those, calls of the process that has handed over
	eps       map[string]*egress.Endpoint
	members   map[string]listwatch.Member // the list as it is known
	revision  int64                       // of it
	learnt    *learnt                     // what the sender has learnt, on disk
	kept      *listwatch.Cache            // of the last good list; nil if it is not kept
	cold      *coldstart.Start            // what the start waits for; nil where the platform names the list
	stale     listwatch.List              // a kept list that is not in force
	wallClock wallClock
	began     time.Time               // of this process
	why       atomic.Pointer[string]  // shared: the list may be late, last; nil for never
	awaits    atomic.Pointer[awaited] // shared: nil once there is a list
	// The list that is known comes from before the start, and no server has confirmed it yet.
	unconfirmed bool
	waits       map[int]*egress.Cooldown // of destinations whose endpoints share them
	owed        []outbox.Notice          // not yet handed to the reporter
	named       map[string]bool          // endpoints that a list has ever named
	dests       map[int]bool             // all that a list has ever named
	held        int                      // messages without their final answer
	guarded     guarded                  // what the records that are not yet written guard
	withdrawn   []choice.Event           // ends of calls that could not be journaled, for the next step
	cancelled   []attempt                // by this step
	obeyed      []obeyed                 // orders that hold after this step
	wakeAt      time.Duration            // of the module; 0 none
	calls       sync.WaitGroup
}

// Events of the loop.
type (
	arrival struct {
		ingress.Request
		reply chan ingress.Answer
		also  []chan ingress.Answer // of the same message, handed in again in the same step
	}
	called struct {
		attempt
		endpoint *egress.Endpoint
		egress.Result
		took time.Duration
	}
	settled []outbox.Notice

	// order is what operators tell the node. done gets nil once it holds, or why it does not.
	order struct {
		endpoint string // to take out or put back; empty for a drain
		on       bool
		done     chan error
	}

	// obeyed is an order that has been carried out, or why it could not be.
	obeyed struct {
		order
		err error
	}
)

// New makes a node that Run brings to life. Its folder must be the node's alone.
func New(cfg config.Config, log *slog.Logger) *Node {
	if cfg.Registry != nil {
		_, remembers, err := newLearnt(cfg).read(time.Now())
		cfg.Settings.ColdStart = !remembers || err != nil
	}
	n := &Node{
		cfg: cfg, log: log, sender: choice.New(cfg.Settings, seed(cfg.Seed)), start: time.Now(), began: time.Now(),
		figures:   metrics.New(cfg.Names.Classes),
		client:    newListClient(cfg),
		discovery: listwatch.NewAddresses(cfg.DiscoveryAddrs()),
		events:    make(chan any, eventQueue), notices: make(chan []outbox.Notice), asks: make(chan *handover.Link),
		nudge:    make(chan struct{}, 1),
		messages: map[string]*journal.Message{}, out: map[attempt]outCall{}, eps: map[string]*egress.Endpoint{},
		waits: map[int]*egress.Cooldown{}, dests: map[int]bool{}, named: map[string]bool{},
	}
	n.wallClock.began = n.began
	n.figures.ListServiceEnabled, n.figures.MembershipEnabled = cfg.Registry != nil, cfg.Membership != nil
	return n
}

// newListClient makes the client for the list and for notices.
func newListClient(cfg config.Config) *http.Client {
	if cfg.Registry != nil {
		return listwatch.NewClient(cfg.SourceAddr())
	}
	return listwatch.NewAgentClient(cfg.SourceAddr())
}

// seed reads the configuration's hexadecimal seed; any other text serves as well.
func seed(text string) uint64 {
	if v, err := strconv.ParseUint(text, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// now is the module's clock, and at what it shows at another time.
func (n *Node) now() time.Duration { return n.at(time.Now()) }

func (n *Node) at(t time.Time) time.Duration { return epoch + t.Sub(n.start) }

func (n *Node) wall(d time.Duration) time.Time { return n.start.Add(d - epoch) }

// Run serves clients on ln until ctx ends; then it finishes or leaves to the journal what it holds. If another
// process owns the node, it asks that to hand over, and it hands over itself when asked.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	// The parts outlive ctx by the time that it takes to leave.
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var parts sync.WaitGroup
	n.clients = ingress.NewServer(ln, n.cfg.Limits.Sockets/3, n.cfg.Names, func(q ingress.Request) ingress.Answer { return n.hand(life, q) })
	n.clients.SetLogger(n.log)
	n.clients.SetNotReadyReason(n.awaiting)
	n.clients.Pause()
	parts.Go(func() { n.clients.Serve(life) })
	gone := make(chan struct{})
	parts.Go(func() {
		defer close(gone)
		select {
		case <-ctx.Done():
		case <-life.Done():
		}
		backoff.Sleep(life, holdAfter)
		n.tell(life, choice.ShuttingDown{})
		backoff.Sleep(life, leaveAfter-holdAfter)
		n.clients.Close() // those inside a request get their answers from the loop, which still runs
	})
	defer parts.Wait()
	defer cancel()

	var unheard []called
	for ask := true; ; ask = false {
		var c handover.Claim
		err := n.patiently(ctx, func() (err error) {
			c, err = handover.Acquire(ctx, n.cfg.StateDir, ask)
			return err
		})
		if ctx.Err() != nil && err != nil {
			return nil // a stand-by, or one that never came to serve
		}
		if err != nil {
			return err
		}
		successor, err := n.own(life, c, unheard, gone)
		if err != nil || successor == nil {
			return err
		}
		n.log.Info("handover_done", "out", len(n.out))
		n.clients.HandOver(func(nc net.Conn, m ingress.ConnHandover) error { return moveClient(successor, nc, m) })
		n.passing.Store(true)
		var left bool
		unheard, left = n.relay(ctx, successor, gone)
		n.passing.Store(false)
		if left {
			return nil
		}
		n.log.Error("successor_gone")
	}
}

// own serves with the claim until the process may end, or until a successor owns the node.
func (n *Node) own(life context.Context, c handover.Claim, unheard []called, gone <-chan struct{}) (successor *handover.Link, err error) {
	defer func() { err = errors.Join(err, c.Lock.Close()) }() // a successor holds it by a descriptor of its own
	n.lock = c.Lock
	events, err := n.begin(life, c, unheard)
	if err != nil {
		if c.From != nil {
			c.From.Close()
		}
		return nil, err
	}
	var parts sync.WaitGroup
	term, end := context.WithCancel(life)
	defer parts.Wait()
	defer func() {
		end()
		n.audit.close(n.log)
	}()
	n.audit = n.newAudit(term)
	n.step(life, events, nil)
	follow, after := n.newWatcher(func(l listwatch.List) { n.tell(term, l) }), n.revision
	parts.Go(func() { follow.Run(term, after) })
	parts.Go(func() {
		pace := outbox.AgentPace()
		if n.cfg.Registry != nil {
			pace = outbox.ServicePace()
		}
		outbox.Run(term, n.log, n.client, n.discovery, pace, n.notices, func(b []outbox.Notice) { n.tell(term, settled(b)) })
	})
	if ln, err := handover.Listen(n.cfg.StateDir); err != nil {
		n.log.Error("handover_unavailable", "err", err)
	} else {
		parts.Go(func() { n.successors(term, ln) })
		defer ln.Close()
	}
	if c.From != nil {
		parts.Go(func() { n.predecessor(term, c.From) })
		defer c.From.Close()
	}
	if n.peers, err = listenToPeers(term, n.cfg); err != nil {
		n.log.Error("notes_unavailable", "err", err)
	}
	n.ward = n.newWard()
	if n.fellows = n.newFellows(); n.peers != nil {
		parts.Go(func() { n.peers.receive(term, n.log, &n.figures.UnknownSenders, n.noted) })
		defer n.peers.close()
	}
	n.clients.Drain(n.orders.drained)
	n.clients.Resume()
	n.serving.Store(true)
	successor = n.loop(life, gone)
	n.serving.Store(false)
	if successor != nil {
		n.clients.Pause()
		n.held = 0 // the successor's figure now
		n.publish()
		n.client.CloseIdleConnections()
		return successor, n.journal.Close()
	}

	for _, o := range n.out {
		o.cancel()
	}
	for len(n.out) > n.remote { // each call that is called off ends by an event
		n.take(life, []any{<-n.events})
	}
	end()
	n.calls.Wait()
	n.pool.Close()
	n.client.CloseIdleConnections()
	return nil, n.journal.Close()
}

// Reload takes from a configuration that has replaced the old one what may change while the node runs: the
// address of discovery. It may be called at any time, from any goroutine.
func (n *Node) Reload(cfg config.Config) { n.discovery.Set(cfg.DiscoveryAddrs()) }

// tell hands the loop an event.
func (n *Node) tell(ctx context.Context, e any) {
	select {
	case n.events <- e:
	case <-ctx.Done():
	}
}

// noted hands the loop a note, unless it is too busy: a note may be lost, a socket's reader must not wait.
func (n *Node) noted(e any) bool {
	select {
	case n.events <- e:
		return true
	default:
		return false
	}
}

// hand hands in a client's request and waits for the answer.
func (n *Node) hand(ctx context.Context, q ingress.Request) ingress.Answer {
	a := arrival{Request: q, reply: make(chan ingress.Answer, 1)}
	n.tell(ctx, a)
	select {
	case r := <-a.reply:
		n.figures.ObserveIntakeAnswer(time.Since(q.ReceivedAt))
		return r
	case <-ctx.Done():
		return ingress.Answer{Refused: true} // the loop has ended and did not take it on
	}
}

// loop batches what has come and steps through it, until the node has left or a successor owns it.
func (n *Node) loop(ctx context.Context, gone <-chan struct{}) (successor *handover.Link) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(n.untilWake())
		notices := n.notices
		if len(n.owed) == 0 {
			notices = nil
		}
		var batch []any
		select {
		case e := <-n.events:
			batch = append(batch, e)
		case <-timer.C:
		case notices <- n.owed:
			n.owed = nil
			continue
		case l := <-n.asks:
			if n.handOver(l) {
				return l
			}
			continue
		case <-gone:
			return nil
		}
		for more := true; more && len(batch) < maxBatch; {
			select {
			case e := <-n.events:
				batch = append(batch, e)
			default:
				more = false
			}
		}
		n.take(ctx, batch)
	}
}

// untilWake is the time to the module's next wake, or to the next try of a journal that could not be written.
func (n *Node) untilWake() time.Duration {
	wait := time.Hour
	if n.wakeAt > 0 {
		wait = max(n.wakeAt-n.now(), 0)
	}
	if len(n.withdrawn) > 0 {
		return 0
	}
	if n.journal.Down() {
		wait = min(wait, journal.CompactRetryDelay, n.guarded.untilOverdue(time.Now()))
	}
	if n.kept != nil {
		wait = min(wait, n.kept.UntilDue(time.Now()))
	}
	if n.cold != nil && n.cold.Wake() > 0 {
		wait = min(wait, max(n.cold.Wake()-n.now(), 0))
	}
	return min(wait, n.untilClockLook(), n.fellows.wait(n.now()), n.audit.wait(n.now()), n.ward.wait(n.now()))
}

// take turns a batch into the module's events, and steps.
func (n *Node) take(ctx context.Context, batch []any) {
	began := time.Now()
	defer func() { n.figures.ObserveLoopStep(time.Since(began)) }()
	n.look()
	n.restamp(began)
	events := n.withdrawn
	n.withdrawn = nil
	fresh := map[string]arrival{}
	for _, e := range batch {
		switch e := e.(type) {
		case listwatch.List:
			n.unconfirmed = false
			n.floored(e.Floor)
			n.begun(e)
			events = append(events, n.listed(e))
		case called:
			events = append(events, n.called(e))
		case handover.EndedCall:
			events = append(events, n.called(n.remoteEnded(e)))
		case orphaned:
			events = append(events, n.orphans()...)
		case settled:
			for _, s := range e {
				n.forget(s.Of)
			}
		case claimed:
			n.accounted(e)
		case choice.DatagramReceived:
			events = append(events, e)
		case memberNote:
			if n.fellows != nil {
				n.fellows.core.Receive(n.now(), e.from, e.text)
			}
		case revisionNote:
			if n.ward != nil {
				n.ward.core.Receive(n.now(), e.from, e.text)
			}
		case viewAsk:
			e.reply <- n.view()
		case choice.ShuttingDown:
			if n.fellows != nil {
				n.fellows.core.Leave(n.now())
				e.HandOver = true
			}
			events = append(events, e)
		case order:
			if news := n.obey(e); news != nil {
				events = append(events, news)
			}
		case arrival:
			e.TTL -= n.lain(e.ReceivedAt)
			if first, undecided := fresh[e.ID]; undecided { // what the first is told holds for both
				first.also = append(first.also, e.reply)
				fresh[e.ID] = first
				continue
			}
			if refusal, ok := n.accept(e); !ok {
				n.log.Debug("request_answered", "msg_id", e.ID, "refused", refusal.Refused, "after", refusal.RetryAfter, "failed", refusal.ErrorText,
					"journal_down", n.journal.Down(), "held", n.held)
				e.reply <- refusal
				continue
			}
			fresh[e.ID] = e
			events = append(events, n.arrived(n.messages[e.ID], e.ReceivedAt.Add(e.TTL)))
		}
	}
	events = append(events, n.keptDue()...)
	events = append(events, n.meet()...)
	n.heed()
	// What the module is about to be told of, and the clients with it, rests on these records.
	if err := n.journal.Flush(); err != nil && len(fresh) > 0 {
		n.log.Error("messages_turned_away", "err", err)
		events = slices.DeleteFunc(events, func(e choice.Event) bool {
			_, isNew := e.(choice.MessageArrived)
			return isNew
		})
		for id, a := range fresh {
			n.figures.CountShed(a.Class)
			n.forget(n.messages[id])
			n.refuseGivenUp(a)
		}
		fresh = nil
	}
	events = n.blinded(events)
	if n.wakeAt > 0 && n.now() >= n.wakeAt {
		n.wakeAt = 0
		events = append(events, choice.WakeDue{Tag: "sweep"})
	}
	n.step(ctx, events, fresh)
}

// obey carries out what operators have told. The yes follows once the module has heard of it.
func (n *Node) obey(o order) choice.Event {
	done := func(err error) { n.obeyed = append(n.obeyed, obeyed{o, err}) }
	if o.endpoint == "" {
		err := n.orders.setDrained(o.on)
		if err == nil {
			n.clients.Drain(o.on)
		}
		done(err)
		return nil
	}
	if !n.named[o.endpoint] && !n.orders.out[o.endpoint] {
		done(admin.ErrUnknownEndpoint)
		return nil
	}
	if err := n.orders.setOut(o.endpoint, o.on); err != nil {
		done(err)
		return nil
	}
	if e := n.eps[o.endpoint]; e != nil {
		e.Disabled.Store(o.on)
	}
	done(nil)
	if !o.on {
		return choice.EndpointEnabled{Endpoint: o.endpoint}
	}
	n.pool.CloseIdle(o.endpoint) // it is about to be restarted
	return choice.EndpointDisabled{Endpoint: o.endpoint}
}

// step lets the module decide and carries out what it says, in order, once the records are written that guard
// it. fresh are the messages whose clients still wait to hear whether they are taken on.
func (n *Node) step(ctx context.Context, events []choice.Event, fresh map[string]arrival) {
	for _, a := range n.sender.Step(n.now(), events) {
		switch a := a.(type) {
		case choice.Send:
			n.send(a)
		case choice.Refuse:
			n.end(a.ID, journal.Ending{RetryAfter: a.RetryAfter}, fresh)
		case choice.Fail:
			n.end(a.ID, journal.Ending{Failed: true}, fresh)
		case choice.Cancel:
			n.cancelled = append(n.cancelled, attempt{a.ID, a.Attempt})
		case choice.SendDatagram:
			n.peers.send(a, n.log)
		case choice.CloseIdle:
			n.pool.CloseIdle(a.Endpoint)
		case choice.Wake:
			if n.wakeAt == 0 || a.At < n.wakeAt {
				n.wakeAt = a.At
			}
		case choice.LogLine:
			n.log.Info("sender_note", "text", a.Text)
		}
	}
	n.publish()
	n.account()
	n.keepList()
	n.keepLearnt()
	for _, a := range fresh { // not refused, so taken on; its record stands since before the step
		a.answer(ingress.Answer{})
	}
	if n.audit != nil {
		n.audit.acts.flush(n.revision, n.why.Load())
	}
	n.finishStep(ctx)
}

// finishStep does what the step has decided, as far as the journal lets it.
func (n *Node) finishStep(ctx context.Context) {
	if err := n.journal.Flush(); err != nil {
		n.log.Error("journal_waiting", "calls", len(n.guarded.calls), "answers", len(n.guarded.answers),
			"notices", len(n.guarded.notices), "torn", n.journal.StaleTail(), "err", err)
		n.withhold()
	} else {
		n.release(ctx)
	}
	for _, name := range n.cancelled {
		if c, ok := n.out[name]; ok {
			c.cancel()
		}
	}
	for _, o := range n.obeyed {
		o.done <- o.err
	}
	n.cancelled, n.obeyed = n.cancelled[:0], n.obeyed[:0]
}

// publish brings the gauges up to date for readers that must not wait for the loop.
func (n *Node) publish() {
	size, avoided := n.sender.Pool()
	n.figures.Active.Store(int64(n.held))
	n.figures.ListRevision.Store(n.revision)
	if n.fellows != nil {
		n.figures.PublishMembership(n.fellows.core, n.now())
	}
	n.figures.PoolSize.Store(int64(size))
	n.figures.PoolEjected.Store(int64(avoided))
}
