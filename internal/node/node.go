// Package node runs a delivery node on real sockets. Clients submit messages, the node journals them, asks
// package choice what to do, calls endpoints, and reports the outcome of each message. It makes no delivery
// decisions itself: those are left to the Sender of package choice.
package node

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/admin"
	"harrierramp/internal/backoff"
	"harrierramp/internal/capacity"
	"harrierramp/internal/coldstart"
	"harrierramp/internal/config"
	"harrierramp/internal/dedup"
	"harrierramp/internal/egress"
	"harrierramp/internal/fairqueue"
	"harrierramp/internal/handover"
	"harrierramp/internal/ingress"
	"harrierramp/internal/journal"
	"harrierramp/internal/listwatch"
	"harrierramp/internal/metrics"
	"harrierramp/internal/outbox"
)

const (
	// clockOrigin is the reading of the sender's clock when the process starts. It is large enough that times
	// from before a restart, which the journal still holds, stay above zero.
	clockOrigin         = 48 * time.Hour
	maxBatchEvents      = 256 // the most events that one step of the sender takes
	eventQueueSize      = 1024
	reservedDescriptors = 2*admin.MaxConnections + 16 // file descriptors that neither clients nor calls may use
	// After SIGTERM the platform routes clients to the process for another 0.4 s, and it sends SIGKILL after
	// 3.7 s. Until stopSendingAfter the node works as before. Then the sender is told to start no new calls,
	// and calls in flight have until exitAfter to end. Messages are accepted all that time: the journal keeps
	// them for the next start.
	stopSendingAfter = 1200 * time.Millisecond
	exitAfter        = 2700 * time.Millisecond
	lateThreshold    = 100 * time.Millisecond // a later step or notice is logged; a notice is overdue after 300 ms
)

// attemptID identifies one attempt to deliver a message, and with it the call that carries it out.
type attemptID struct {
	messageID string
	attempt   int
}

// inFlightCall is a call whose outcome is not yet known.
type inFlightCall struct {
	message  *journal.Message
	endpoint *egress.Endpoint // nil for a call of the predecessor process
	cancel   context.CancelFunc
	auditSeq int64 // its number in the audit log; 0 if it is not recorded
}

// Node is a delivery node. The goroutine that runs Run's event loop owns every field that is not marked as
// shared.
type Node struct {
	cfg               config.Config
	division          capacity.Division // of cfg.Limits
	log               *slog.Logger
	sender            *choice.Sender
	journal           *journal.Journal
	pool              *egress.Pool
	listClient        *http.Client               // for the list of endpoints
	postClient        *http.Client               // for notices and status reports
	Level             *slog.LevelVar             // of log; operators may change it unless it is nil
	discovery         *listwatch.Addresses       // shared
	peers             *peers                     // nil if the nodes exchange no datagrams
	membership        *fleetMembership           // nil if membership is not configured
	audit             *audit                     // nil if the node reports nothing to the list service
	staleness         *stalenessGuard            // nil if fencing is not configured
	recheckList       chan struct{}              // has the list watcher query another list server
	fenceReason       atomic.Pointer[waitReason] // shared: why the node is fenced; nil unless it is
	sendsPaused       bool                       // the sender has been told to start nothing new
	belowFloor        bool                       // build or configuration is not the one that the list service requires
	floor             listwatch.Floor
	ownershipLock     *os.File // this process owns the node while it holds the lock
	overrides         *operatorOverrides
	ingress           *ingress.Server      // shared
	metrics           *metrics.Set         // shared
	inputScheduler    *fairqueue.Scheduler // shared: of the processor time for what peers send
	serving           atomic.Bool          // shared: the event loop runs
	handingOver       atomic.Bool          // shared: a successor has been sent the state and may be ready
	handedOver        atomic.Bool          // shared: a successor owns the node
	clockStart        time.Time
	events            chan any
	notices           chan []outbox.Notice
	handoverRequests  chan *handover.Link         // from processes that ask to take over the node
	messages          map[string]*journal.Message // all messages in the journal, by ID
	ended             *dedup.Set                  // messages that may have run and have left the journal
	inFlight          map[attemptID]inFlightCall
	remoteCalls       int // how many of inFlight are calls of the predecessor process
	endpoints         map[string]*egress.Endpoint
	listMembers       map[string]listwatch.Member // the current list of endpoints, by ID
	listRevision      int64                       // of listMembers
	estimates         *estimateStore              // the sender's estimates, on disk
	listCache         *listwatch.Cache            // on disk; nil if no list is cached
	startup           *coldstart.Start            // nil unless the list comes from list servers
	pendingCachedList listwatch.List              // a cached list that is not in use yet
	wallClock         wallClock
	processStart      time.Time                  // start of this process
	lateReason        atomic.Pointer[string]     // shared: why the list may be out of date; nil if it never was
	startupWait       atomic.Pointer[waitReason] // shared: why the node waits for a list; nil once it has one
	// listUnconfirmed is set while the current list was cached before the start and no list server has
	// confirmed it.
	listUnconfirmed bool
	destCooldowns   map[int]*egress.Cooldown // of destinations whose endpoints share one cooldown
	noticeQueue     []outbox.Notice          // not yet handed to outbox.Run
	knownEndpoints  map[string]bool          // all endpoints that any list has named
	knownDests      map[int]bool             // all destinations that any list has named
	openMessages    int                      // number of messages without a final answer
	pending         pendingEffects           // effects that wait for their journal records to be written
	withdrawnCalls  []choice.Event           // outcomes of calls that could not be journaled, for the next step
	cancelled       []attemptID              // attempts to cancel at the end of this step
	commandOutcomes []commandOutcome         // commands to answer at the end of this step
	wakeAt          time.Duration            // the sender's next wake-up; 0 for none
	calls           sync.WaitGroup
}

// Events of the loop, beside those that other packages define.
type (
	// submission is a client's request. reply receives the answer.
	submission struct {
		ingress.Request
		reply      chan ingress.Answer
		duplicates []chan ingress.Answer // replies to repeated submissions of the message within the same step
	}
	// callResult is the outcome of a call and how long the call took.
	callResult struct {
		attemptID
		endpoint *egress.Endpoint
		egress.Result
		took time.Duration
	}
	// acceptedNotices are notices that the platform has accepted.
	acceptedNotices []outbox.Notice

	// operatorCommand is a command of an operator. done receives nil once the command is in effect, or the
	// error.
	operatorCommand struct {
		endpoint string // to disable or enable; empty for a drain
		on       bool
		done     chan error
	}

	// commandOutcome is a command that has been carried out, or the error that prevented it.
	commandOutcome struct {
		operatorCommand
		err error
	}
)

// New returns a node that does nothing until Run is called. No other node may use its state folder.
func New(cfg config.Config, log *slog.Logger) *Node {
	if cfg.Registry != nil {
		_, haveEstimates, err := newEstimateStore(cfg).read(time.Now())
		cfg.Settings.ColdStart = !haveEstimates || err != nil
	}
	division := cfg.Limits.Divide()
	n := &Node{
		cfg: cfg, division: division, log: log, sender: choice.New(cfg.Settings, seed(cfg.Seed)), clockStart: time.Now(), processStart: time.Now(),
		metrics:        metrics.New(cfg.Names.Classes),
		inputScheduler: fairqueue.New(division.Processors, division.UnknownPeers),
		discovery:      listwatch.NewAddresses(cfg.DiscoveryAddrs()),
		events:         make(chan any, eventQueueSize), notices: make(chan []outbox.Notice), handoverRequests: make(chan *handover.Link),
		recheckList: make(chan struct{}, 1),
		messages:    map[string]*journal.Message{}, ended: dedup.NewSet(division.EndedIDs), inFlight: map[attemptID]inFlightCall{}, endpoints: map[string]*egress.Endpoint{},
		destCooldowns: map[int]*egress.Cooldown{}, knownDests: map[int]bool{}, knownEndpoints: map[string]bool{},
	}
	n.listClient, n.postClient = newClients(cfg)
	n.wallClock.startedAt = n.processStart
	n.metrics.ListServiceEnabled, n.metrics.MembershipEnabled = cfg.Registry != nil, cfg.Membership != nil
	return n
}

// newClients returns the HTTP clients for the list of endpoints, and for notices and status reports.
func newClients(cfg config.Config) (list, post *http.Client) {
	source := cfg.SourceAddr()
	if cfg.Registry != nil {
		return listwatch.NewClient(source), listwatch.NewPostClient(source)
	}
	return listwatch.NewAgentClient(source), listwatch.NewAgentPostClient(source)
}

// seed parses the hexadecimal seed of the configuration. Any other text is hashed to a seed.
func seed(text string) uint64 {
	if v, err := strconv.ParseUint(text, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// now returns the current reading of the sender's clock.
func (n *Node) now() time.Duration { return n.clockAt(time.Now()) }

// clockAt returns the reading of the sender's clock at time t.
func (n *Node) clockAt(t time.Time) time.Duration { return clockOrigin + t.Sub(n.clockStart) }

// wallTime returns the time at which the sender's clock reads d.
func (n *Node) wallTime(d time.Duration) time.Time { return n.clockStart.Add(d - clockOrigin) }

// Run serves clients on ln until ctx ends. Then it finishes the messages that it holds, or leaves them in the
// journal for the next start. If another process owns the node, Run asks that process to hand over; and when
// another process asks, Run hands over in turn.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	// Background goroutines outlive ctx by the time that the shutdown takes.
	processCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var background sync.WaitGroup
	n.ingress = ingress.NewServer(ln, n.division.ClientConns, n.cfg.Names, func(q ingress.Request) ingress.Answer { return n.submit(processCtx, q) })
	n.ingress.SetLogger(n.log)
	n.ingress.SetMetrics(&n.metrics.Clients)
	n.ingress.SetScheduler(n.inputScheduler)
	n.ingress.SetRequestMemory(n.division.RequestMemory)
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
		n.ingress.Close() // requests in progress are answered by the loop, which still runs
	})
	defer background.Wait()
	defer cancel()

	var outcomes []callResult
	for request := true; ; request = false {
		var ownership handover.Ownership
		err := n.retryStartup(ctx, func() (err error) {
			ownership, err = handover.Acquire(ctx, n.cfg.StateDir, request)
			return err
		})
		if ctx.Err() != nil && err != nil {
			return nil // this process was on standby or had not begun to serve
		}
		if err != nil {
			return err
		}
		successor, err := n.serveAsOwner(processCtx, ownership, outcomes, exitDue)
		if err != nil || successor == nil {
			return err
		}
		n.log.Info("handover_done", "out", len(n.inFlight))
		n.ingress.HandOver(func(nc net.Conn, m ingress.ConnHandover) error { return moveClient(successor, nc, m) })
		n.handedOver.Store(true)
		var stopped bool
		outcomes, stopped = n.relay(ctx, successor, exitDue)
		n.handedOver.Store(false)
		if stopped {
			return nil
		}
		n.log.Error("successor_gone")
	}
}

// serveAsOwner serves while this process owns the node: until the process may exit, in which case successor is
// nil, or until a successor owns the node. outcomes are those of calls that ended while the node was handed over
// to a successor that is now gone. exitDue is closed when the process has to exit.
func (n *Node) serveAsOwner(processCtx context.Context, ownership handover.Ownership, outcomes []callResult, exitDue <-chan struct{}) (successor *handover.Link, err error) {
	// A successor holds the lock through its own descriptor.
	defer func() { err = errors.Join(err, ownership.Lock.Close()) }()
	n.ownershipLock = ownership.Lock
	events, err := n.loadState(processCtx, ownership, outcomes)
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
		outbox.Run(ownerCtx, n.log, n.postClient, n.discovery, policy, n.notices, func(b []outbox.Notice) { n.enqueue(ownerCtx, acceptedNotices(b)) })
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
		background.Go(func() {
			n.peers.receive(ownerCtx, n.log, n.inputScheduler, &n.metrics.UnknownSenders, n.offer)
		})
		defer n.peers.close()
	}
	n.ingress.Drain(n.overrides.drained)
	n.ingress.Resume()
	n.handingOver.Store(false)
	n.serving.Store(true)
	successor = n.loop(processCtx, exitDue)
	n.serving.Store(false)
	if successor != nil {
		n.ingress.Pause()
		n.openMessages = 0 // the successor counts them now
		n.publishGauges()
		n.postClient.CloseIdleConnections()
		return successor, n.journal.Close()
	}

	for _, o := range n.inFlight {
		o.cancel()
	}
	for len(n.inFlight) > n.remoteCalls { // each cancelled call ends with an event
		n.processBatch(processCtx, []any{<-n.events})
	}
	endOwnership()
	n.calls.Wait()
	n.pool.Close()
	n.postClient.CloseIdleConnections()
	return nil, n.journal.Close()
}

// Reload applies what may change of the configuration while the node runs: the addresses of discovery. It may
// be called at any time, from any goroutine.
func (n *Node) Reload(cfg config.Config) { n.discovery.Set(cfg.DiscoveryAddrs()) }

// enqueue passes an event to the loop. It waits until the loop has room for it or ctx ends.
func (n *Node) enqueue(ctx context.Context, e any) {
	select {
	case n.events <- e:
	case <-ctx.Done():
	}
}

// offer passes a datagram to the loop, and drops it and returns false if the queue is full. A datagram may be
// lost, but the goroutine that reads the socket must not block.
func (n *Node) offer(e any) bool {
	select {
	case n.events <- e:
		return true
	default:
		return false
	}
}

// submit passes a client's request to the loop and waits for the answer.
func (n *Node) submit(ctx context.Context, q ingress.Request) ingress.Answer {
	a := submission{Request: q, reply: make(chan ingress.Answer, 1)}
	n.enqueue(ctx, a)
	select {
	case r := <-a.reply:
		n.metrics.ObserveIntakeAnswer(time.Since(q.ReceivedAt))
		return r
	case <-ctx.Done():
		return ingress.Answer{Refused: true} // the loop has ended and did not accept the message
	}
}

// loop processes events in batches until exitDue is closed, when it returns nil, or until a successor owns the
// node.
func (n *Node) loop(ctx context.Context, exitDue <-chan struct{}) (successor *handover.Link) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait := n.untilNextWake()
		due := time.Now().Add(wait)
		timer.Reset(wait)
		notices := n.notices
		if len(n.noticeQueue) == 0 {
			notices = nil
		}
		var batch []any
		select {
		case e := <-n.events:
			batch = append(batch, e)
		case <-timer.C:
			n.observeLoopDelay(time.Since(due))
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
		runtime.Gosched() // a loop that always has events would keep calls and notices waiting for a whole time slice
	}
}

// untilNextWake returns the time until the loop has work to do even if no event comes: a wake-up of the sender,
// another try to write the journal, or a timer of one of the node's components.
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

// processBatch turns a batch of the loop's events into events for the sender, and runs one step.
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
				n.observeNotice(s)
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
			if first, duplicate := undecided[e.ID]; duplicate { // both get the answer of the first
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
	// The accepted messages must be on disk before the sender acts on them and clients are answered.
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

// applyCommand carries out an operator's command. The command is answered at the end of the step, once the
// sender has processed the event that applyCommand returns, if any.
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
	// Operators usually disable an endpoint before they restart it. The restart breaks its connections, so the idle
	// ones are closed now. Otherwise calls could reuse them once the endpoint is enabled again.
	n.pool.CloseIdle(o.endpoint)
	return choice.EndpointDisabled{Endpoint: o.endpoint}
}

// step passes events to the sender and carries out its decisions in order, once the journal records that they
// depend on are written. undecided holds the submissions whose clients do not know yet whether the message is
// accepted.
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
	for _, a := range undecided { // not refused by this step, so accepted; its record was written before
		a.answer(ingress.Answer{})
	}
	if n.audit != nil {
		n.audit.record.flush(n.listRevision, n.lateReason.Load())
	}
	n.finishStep(ctx)
}

// finishStep performs the effects of the step if the journal can be written, and otherwise withdraws what must
// not happen later. Then it cancels calls and answers operators.
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

// observeLoopDelay records how late a timer of the loop has started a step.
func (n *Node) observeLoopDelay(delay time.Duration) {
	n.metrics.ObserveLoopDelay(delay)
	if delay > lateThreshold {
		n.log.Warn("loop_late", "delay", delay, "queued_events", len(n.events))
	}
}

// observeNotice records how long the platform's acceptance of a notice took.
func (n *Node) observeNotice(notice outbox.Notice) {
	took := time.Since(notice.EndedAt)
	n.metrics.ObserveNotice(took)
	if took > lateThreshold {
		n.log.Warn("notice_late", "msg_id", notice.ID, "took", took)
	}
}

// publishGauges updates the gauges, so that readers of the metrics need not wait for the loop.
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
