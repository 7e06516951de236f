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
	clockOrigin         = 48 * time.Hour
	maxBatchEvents      = 256 // events in one Step
	eventQueueSize      = 1024
	reservedDescriptors = 2*admin.MaxConnections + 16 // descriptors that neither clients nor calls may take
	// After SIGTERM clients go on coming for 0.4 s, and SIGKILL comes after 3.7 s. Until holdAfter all goes on
	// as ever; then the module is told to send nothing new, and what is out has until leaveAfter to end. All the
	// while messages are taken on: the journal has them for the next start.
	stopSendingAfter = 1200 * time.Millisecond
	exitAfter        = 2700 * time.Millisecond
)

// attempt names a call that is out.
type attemptID struct {
	messageID string
	attempt   int
}

// outCall is a call that is out.
type inFlightCall struct {
	message  *journal.Message
	endpoint *egress.Endpoint // nil for a call of the process that has handed over to this one
	cancel   context.CancelFunc
	auditSeq int64 // its number in the record of acts, 0 for none
}

// Node is a delivery node. One goroutine, in Run, owns all that is not said to be shared.
type Node struct {
	cfg               config.Config
	log               *slog.Logger
	sender            *choice.Sender
	journal           *journal.Journal
	pool              *egress.Pool
	httpClient        *http.Client
	Level             *slog.LevelVar             // of log, for operators to change; nil if they may not
	discovery         *listwatch.Addresses       // shared
	peers             *peers                     // nil if the fleet has no datagrams
	membership        *fleetMembership           // nil without membership
	audit             *audit                     // nil where nothing is told
	staleness         *stalenessGuard            // nil where nobody is shut out
	recheckList       chan struct{}              // has the watcher ask another list server
	fenceReason       atomic.Pointer[waitReason] // shared: nil unless the node is shut out
	sendsPaused       bool                       // the module was told so
	belowFloor        bool                       // by the list service's floor
	floor             listwatch.Floor
	ownershipLock     *os.File // this process owns the node while it has it
	overrides         *operatorOverrides
	ingress           *ingress.Server // shared
	metrics           *metrics.Set    // shared
	serving           atomic.Bool     // shared: the loop runs
	handedOver        atomic.Bool     // shared: a successor owns the node
	clockStart        time.Time
	events            chan any
	notices           chan []outbox.Notice
	handoverRequests  chan *handover.Link         // of processes that want to own the node
	messages          map[string]*journal.Message // all in the journal, by id
	inFlight          map[attemptID]inFlightCall
	remoteCalls       int // of those, calls of the process that has handed over
	endpoints         map[string]*egress.Endpoint
	listMembers       map[string]listwatch.Member // the list as it is known
	listRevision      int64                       // of it
	estimates         *estimateStore              // what the sender has learnt, on disk
	listCache         *listwatch.Cache            // of the last good list; nil if it is not kept
	startup           *coldstart.Start            // what the start waits for; nil where the platform names the list
	pendingCachedList listwatch.List              // a kept list that is not in force
	wallClock         wallClock
	processStart      time.Time                  // of this process
	lateReason        atomic.Pointer[string]     // shared: the list may be late, last; nil for never
	startupWait       atomic.Pointer[waitReason] // shared: nil once there is a list
	// The list that is known comes from before the start, and no server has confirmed it yet.
	listUnconfirmed bool
	destCooldowns   map[int]*egress.Cooldown // of destinations whose endpoints share them
	noticeQueue     []outbox.Notice          // not yet handed to the reporter
	knownEndpoints  map[string]bool          // endpoints that a list has ever named
	knownDests      map[int]bool             // all that a list has ever named
	openMessages    int                      // messages without their final answer
	pending         pendingEffects           // what the records that are not yet written guard
	withdrawnCalls  []choice.Event           // ends of calls that could not be journaled, for the next step
	cancelled       []attemptID              // by this step
	commandOutcomes []commandOutcome         // orders that hold after this step
	wakeAt          time.Duration            // of the module; 0 none
	calls           sync.WaitGroup
}

// Events of the loop.
type (
	submission struct {
		ingress.Request
		reply      chan ingress.Answer
		duplicates []chan ingress.Answer // of the same message, handed in again in the same step
	}
	callResult struct {
		attemptID
		endpoint *egress.Endpoint
		egress.Result
		took time.Duration
	}
	acceptedNotices []outbox.Notice

	// order is what operators tell the node. done gets nil once it holds, or why it does not.
	operatorCommand struct {
		endpoint string // to take out or put back; empty for a drain
		on       bool
		done     chan error
	}

	// obeyed is an order that has been carried out, or why it could not be.
	commandOutcome struct {
		operatorCommand
		err error
	}
)

// New makes a node that Run brings to life. Its folder must be the node's alone.
func New(cfg config.Config, log *slog.Logger) *Node {
	if cfg.Registry != nil {
		_, haveEstimates, err := newEstimateStore(cfg).read(time.Now())
		cfg.Settings.ColdStart = !haveEstimates || err != nil
	}
	n := &Node{
		cfg: cfg, log: log, sender: choice.New(cfg.Settings, seed(cfg.Seed)), clockStart: time.Now(), processStart: time.Now(),
		metrics:    metrics.New(cfg.Names.Classes),
		httpClient: newListClient(cfg),
		discovery:  listwatch.NewAddresses(cfg.DiscoveryAddrs()),
		events:     make(chan any, eventQueueSize), notices: make(chan []outbox.Notice), handoverRequests: make(chan *handover.Link),
		recheckList: make(chan struct{}, 1),
		messages:    map[string]*journal.Message{}, inFlight: map[attemptID]inFlightCall{}, endpoints: map[string]*egress.Endpoint{},
		destCooldowns: map[int]*egress.Cooldown{}, knownDests: map[int]bool{}, knownEndpoints: map[string]bool{},
	}
	n.wallClock.startedAt = n.processStart
	n.metrics.ListServiceEnabled, n.metrics.MembershipEnabled = cfg.Registry != nil, cfg.Membership != nil
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
func (n *Node) now() time.Duration { return n.clockAt(time.Now()) }

func (n *Node) clockAt(t time.Time) time.Duration { return clockOrigin + t.Sub(n.clockStart) }

func (n *Node) wallTime(d time.Duration) time.Time { return n.clockStart.Add(d - clockOrigin) }

// Run serves clients on ln until ctx ends; then it finishes or leaves to the journal what it holds. If another
// process owns the node, it asks that to hand over, and it hands over itself when asked.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	// The parts outlive ctx by the time that it takes to leave.
	processCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var background sync.WaitGroup
	n.ingress = ingress.NewServer(ln, n.cfg.Limits.Sockets/3, n.cfg.Names, func(q ingress.Request) ingress.Answer { return n.submit(processCtx, q) })
	n.ingress.SetLogger(n.log)
	n.ingress.SetNotReadyReason(n.unavailableReason)
	n.ingress.Pause()
	background.Go(func() { n.ingress.Serve(processCtx) })
	exitDue := make(chan struct{})
	background.Go(func() {
		defer close(exitDue)
		select {
		case <-ctx.Done():
		case <-processCtx.Done():
		}
		backoff.Sleep(processCtx, stopSendingAfter)
		n.enqueue(processCtx, choice.ShuttingDown{})
		backoff.Sleep(processCtx, exitAfter-stopSendingAfter)
		n.ingress.Close() // those inside a request get their answers from the loop, which still runs
	})
	defer background.Wait()
	defer cancel()

	var unreported []callResult
	for request := true; ; request = false {
		var ownership handover.Ownership
		err := n.retryStartup(ctx, func() (err error) {
			ownership, err = handover.Acquire(ctx, n.cfg.StateDir, request)
			return err
		})
		if ctx.Err() != nil && err != nil {
			return nil // a stand-by, or one that never came to serve
		}
		if err != nil {
			return err
		}
		successor, err := n.serveAsOwner(processCtx, ownership, unreported, exitDue)
		if err != nil || successor == nil {
			return err
		}
		n.log.Info("handover_done", "out", len(n.inFlight))
		n.ingress.HandOver(func(nc net.Conn, m ingress.ConnHandover) error { return moveClient(successor, nc, m) })
		n.handedOver.Store(true)
		var stopped bool
		unreported, stopped = n.relay(ctx, successor, exitDue)
		n.handedOver.Store(false)
		if stopped {
			return nil
		}
		n.log.Error("successor_gone")
	}
}

// own serves with the claim until the process may end, or until a successor owns the node.
func (n *Node) serveAsOwner(processCtx context.Context, ownership handover.Ownership, unreported []callResult, exitDue <-chan struct{}) (successor *handover.Link, err error) {
	defer func() { err = errors.Join(err, ownership.Lock.Close()) }() // a successor holds it by a descriptor of its own
	n.ownershipLock = ownership.Lock
	events, err := n.loadState(processCtx, ownership, unreported)
	if err != nil {
		if ownership.Predecessor != nil {
			ownership.Predecessor.Close()
		}
		return nil, err
	}
	var background sync.WaitGroup
	ownerCtx, endOwnership := context.WithCancel(processCtx)
	defer background.Wait()
	defer func() {
		endOwnership()
		n.audit.close(n.log)
	}()
	n.audit = n.newAudit(ownerCtx)
	n.step(processCtx, events, nil)
	watcher, after := n.newWatcher(func(l listwatch.List) { n.enqueue(ownerCtx, l) }), n.listRevision
	background.Go(func() { watcher.Run(ownerCtx, after) })
	background.Go(func() {
		policy := outbox.AgentRetryPolicy()
		if n.cfg.Registry != nil {
			policy = outbox.ServiceRetryPolicy()
		}
		outbox.Run(ownerCtx, n.log, n.httpClient, n.discovery, policy, n.notices, func(b []outbox.Notice) { n.enqueue(ownerCtx, acceptedNotices(b)) })
	})
	if ln, err := handover.Listen(n.cfg.StateDir); err != nil {
		n.log.Error("handover_unavailable", "err", err)
	} else {
		background.Go(func() { n.acceptSuccessors(ownerCtx, ln) })
		defer ln.Close()
	}
	if ownership.Predecessor != nil {
		background.Go(func() { n.receiveFromPredecessor(ownerCtx, ownership.Predecessor) })
		defer ownership.Predecessor.Close()
	}
	if n.peers, err = listenPeers(ownerCtx, n.cfg); err != nil {
		n.log.Error("notes_unavailable", "err", err)
	}
	n.staleness = n.newStalenessGuard()
	if n.membership = n.newFleetMembership(); n.peers != nil {
		background.Go(func() { n.peers.receive(ownerCtx, n.log, &n.metrics.UnknownSenders, n.offer) })
		defer n.peers.close()
	}
	n.ingress.Drain(n.overrides.drained)
	n.ingress.Resume()
	n.serving.Store(true)
	successor = n.loop(processCtx, exitDue)
	n.serving.Store(false)
	if successor != nil {
		n.ingress.Pause()
		n.openMessages = 0 // the successor's figure now
		n.publishGauges()
		n.httpClient.CloseIdleConnections()
		return successor, n.journal.Close()
	}

	for _, o := range n.inFlight {
		o.cancel()
	}
	for len(n.inFlight) > n.remoteCalls { // each call that is called off ends by an event
		n.processBatch(processCtx, []any{<-n.events})
	}
	endOwnership()
	n.calls.Wait()
	n.pool.Close()
	n.httpClient.CloseIdleConnections()
	return nil, n.journal.Close()
}

// Reload takes from a configuration that has replaced the old one what may change while the node runs: the
// address of discovery. It may be called at any time, from any goroutine.
func (n *Node) Reload(cfg config.Config) { n.discovery.Set(cfg.DiscoveryAddrs()) }

// tell hands the loop an event.
func (n *Node) enqueue(ctx context.Context, e any) {
	select {
	case n.events <- e:
	case <-ctx.Done():
	}
}

// noted hands the loop a note, unless it is too busy: a note may be lost, a socket's reader must not wait.
func (n *Node) offer(e any) bool {
	select {
	case n.events <- e:
		return true
	default:
		return false
	}
}

// hand hands in a client's request and waits for the answer.
func (n *Node) submit(ctx context.Context, q ingress.Request) ingress.Answer {
	a := submission{Request: q, reply: make(chan ingress.Answer, 1)}
	n.enqueue(ctx, a)
	select {
	case r := <-a.reply:
		n.metrics.ObserveIntakeAnswer(time.Since(q.ReceivedAt))
		return r
	case <-ctx.Done():
		return ingress.Answer{Refused: true} // the loop has ended and did not take it on
	}
}

// loop batches what has come and steps through it, until the node has left or a successor owns it.
func (n *Node) loop(ctx context.Context, exitDue <-chan struct{}) (successor *handover.Link) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(n.untilNextWake())
		notices := n.notices
		if len(n.noticeQueue) == 0 {
			notices = nil
		}
		var batch []any
		select {
		case e := <-n.events:
			batch = append(batch, e)
		case <-timer.C:
		case notices <- n.noticeQueue:
			n.noticeQueue = nil
			continue
		case l := <-n.handoverRequests:
			if n.handOver(l) {
				return l
			}
			continue
		case <-exitDue:
			return nil
		}
		for more := true; more && len(batch) < maxBatchEvents; {
			select {
			case e := <-n.events:
				batch = append(batch, e)
			default:
				more = false
			}
		}
		n.processBatch(ctx, batch)
	}
}

// untilWake is the time to the module's next wake, or to the next try of a journal that could not be written.
func (n *Node) untilNextWake() time.Duration {
	wait := time.Hour
	if n.wakeAt > 0 {
		wait = max(n.wakeAt-n.now(), 0)
	}
	if len(n.withdrawnCalls) > 0 {
		return 0
	}
	if n.journal.Down() {
		wait = min(wait, journal.CompactRetryDelay, n.pending.untilNoticeDue(time.Now()))
	}
	if n.listCache != nil {
		wait = min(wait, n.listCache.UntilDue(time.Now()))
	}
	if n.startup != nil && n.startup.WakeAt() > 0 {
		wait = min(wait, max(n.startup.WakeAt()-n.now(), 0))
	}
	return min(wait, n.untilClockCheck(), n.membership.untilDue(n.now()), n.audit.untilDue(n.now()), n.staleness.untilDue(n.now()))
}

// take turns a batch into the module's events, and steps.
func (n *Node) processBatch(ctx context.Context, batch []any) {
	began := time.Now()
	defer func() { n.metrics.ObserveLoopStep(time.Since(began)) }()
	n.checkForPause()
	n.restamp(began)
	events := n.withdrawnCalls
	n.withdrawnCalls = nil
	undecided := map[string]submission{}
	for _, e := range batch {
		switch e := e.(type) {
		case listwatch.List:
			n.listUnconfirmed = false
			n.applyFloor(e.Floor)
			n.startupListed(e)
			events = append(events, n.applyList(e))
		case callResult:
			events = append(events, n.finishCall(e))
		case handover.CallResult:
			events = append(events, n.finishCall(n.remoteResult(e)))
		case predecessorGone:
			events = append(events, n.failRemoteCalls()...)
		case acceptedNotices:
			for _, s := range e {
				n.forget(s.Message)
			}
		case statusReportResult:
			n.statusReported(e)
		case choice.DatagramReceived:
			events = append(events, e)
		case membershipDatagram:
			if n.membership != nil {
				n.membership.core.Receive(n.now(), e.from, e.payload)
			}
		case revisionDatagram:
			if n.staleness != nil {
				n.staleness.detector.Receive(n.now(), e.from, e.payload)
			}
		case membersQuery:
			e.reply <- n.membersView()
		case choice.ShuttingDown:
			if n.membership != nil {
				n.membership.core.Leave(n.now())
				e.HandOver = true
			}
			events = append(events, e)
		case operatorCommand:
			if event := n.applyCommand(e); event != nil {
				events = append(events, event)
			}
		case submission:
			e.TTL -= n.unreadFor(e.ReceivedAt)
			if first, duplicate := undecided[e.ID]; duplicate { // what the first is told holds for both
				first.duplicates = append(first.duplicates, e.reply)
				undecided[e.ID] = first
				continue
			}
			if refusal, ok := n.accept(e); !ok {
				n.log.Debug("request_answered", "msg_id", e.ID, "refused", refusal.Refused, "after", refusal.RetryAfter, "failed", refusal.ErrorText,
					"journal_down", n.journal.Down(), "held", n.openMessages)
				e.reply <- refusal
				continue
			}
			undecided[e.ID] = e
			events = append(events, n.arrivedEvent(n.messages[e.ID], e.ReceivedAt.Add(e.TTL)))
		}
	}
	events = append(events, n.activateCachedList()...)
	events = append(events, n.stepMembership()...)
	n.checkStaleness()
	// What the module is about to be told of, and the clients with it, rests on these records.
	if err := n.journal.Flush(); err != nil && len(undecided) > 0 {
		n.log.Error("messages_turned_away", "err", err)
		events = slices.DeleteFunc(events, func(e choice.Event) bool {
			_, isNew := e.(choice.MessageArrived)
			return isNew
		})
		for id, a := range undecided {
			n.metrics.CountShed(a.Class)
			n.forget(n.messages[id])
			n.refuseUnjournaled(a)
		}
		undecided = nil
	}
	events = n.updateSendPause(events)
	if n.wakeAt > 0 && n.now() >= n.wakeAt {
		n.wakeAt = 0
		events = append(events, choice.WakeDue{Tag: "sweep"})
	}
	n.step(ctx, events, undecided)
}

// obey carries out what operators have told. The yes follows once the module has heard of it.
func (n *Node) applyCommand(o operatorCommand) choice.Event {
	done := func(err error) { n.commandOutcomes = append(n.commandOutcomes, commandOutcome{o, err}) }
	if o.endpoint == "" {
		err := n.overrides.setDrained(o.on)
		if err == nil {
			n.ingress.Drain(o.on)
		}
		done(err)
		return nil
	}
	if !n.knownEndpoints[o.endpoint] && !n.overrides.disabled[o.endpoint] {
		done(admin.ErrUnknownEndpoint)
		return nil
	}
	if err := n.overrides.setDisabled(o.endpoint, o.on); err != nil {
		done(err)
		return nil
	}
	if e := n.endpoints[o.endpoint]; e != nil {
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
func (n *Node) step(ctx context.Context, events []choice.Event, undecided map[string]submission) {
	for _, a := range n.sender.Step(n.now(), events) {
		switch a := a.(type) {
		case choice.Send:
			n.prepareCall(a)
		case choice.Refuse:
			n.endMessage(a.ID, journal.Ending{RetryAfter: a.RetryAfter}, undecided)
		case choice.Fail:
			n.endMessage(a.ID, journal.Ending{Failed: true}, undecided)
		case choice.Cancel:
			n.cancelled = append(n.cancelled, attemptID{a.ID, a.Attempt})
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
	n.publishGauges()
	n.reportStatus()
	n.saveList()
	n.saveEstimates()
	for _, a := range undecided { // not refused, so taken on; its record stands since before the step
		a.answer(ingress.Answer{})
	}
	if n.audit != nil {
		n.audit.record.flush(n.listRevision, n.lateReason.Load())
	}
	n.finishStep(ctx)
}

// finishStep does what the step has decided, as far as the journal lets it.
func (n *Node) finishStep(ctx context.Context) {
	if err := n.journal.Flush(); err != nil {
		n.log.Error("journal_waiting", "calls", len(n.pending.calls), "answers", len(n.pending.answers),
			"notices", len(n.pending.notices), "torn", n.journal.StaleTail(), "err", err)
		n.withdrawPending()
	} else {
		n.performPending(ctx)
	}
	for _, id := range n.cancelled {
		if c, ok := n.inFlight[id]; ok {
			c.cancel()
		}
	}
	for _, o := range n.commandOutcomes {
		o.done <- o.err
	}
	n.cancelled, n.commandOutcomes = n.cancelled[:0], n.commandOutcomes[:0]
}

// publish brings the gauges up to date for readers that must not wait for the loop.
func (n *Node) publishGauges() {
	size, ejected := n.sender.EndpointCounts()
	n.metrics.Active.Store(int64(n.openMessages))
	n.metrics.ListRevision.Store(n.listRevision)
	if n.membership != nil {
		n.metrics.PublishMembership(n.membership.core, n.now())
	}
	n.metrics.PoolSize.Store(int64(size))
	n.metrics.PoolEjected.Store(int64(ejected))
}
