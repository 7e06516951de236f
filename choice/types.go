package choice

import "time"

// Effect tells what a repeat of a message may do at its destination.
type Effect uint8

// The effects of a class.
const (
	Idempotent   Effect = iota // repeats are harmless
	Deduplicated               // repeats are dropped for a while
	AtMostOnce                 // must never run twice
)

// Class describes one kind of message. A zero field was not given.
type Class struct {
	Aim, Deadline           time.Duration // full worth until Aim, some until Deadline, both from the first hand-in
	AimStretch              float64       // extra aim, as a multiple of the message's hint
	Worth                   float64
	LateWorth               float64 // share of Worth left at the deadline
	Effect                  Effect
	DedupWindow             time.Duration `json:"Window"`   // Keyed: how long repeats are dropped
	AllEndpointsDeduplicate bool          `json:"GroupAll"` // Keyed: every endpoint of the destination drops repeats, not one zone's only
	Ordered                 bool          // messages with one key take turns
}

// Kind describes one kind of destination.
type Kind struct {
	SeparateRoutes bool `json:"Apart"` // endpoints are routes with limits and outages of their own
	MaxBatch       int  `json:"Batch"` // messages in one call at most
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	PerSecond float64 // requests inside its share, all senders together
}

// Settings are the facts a sender is born with. Zero means not given.
type Settings struct {
	Classes             []Class
	Kinds               []Kind
	Tenants             []Tenant
	FleetSize           int `json:"Fleet"` // senders altogether
	Number              int // of this one among them, from 0
	Slots               int // calls out at once
	MaxOpenMessages     int `json:"MaxOpen"` // messages held, sent or not
	MaxAttempts         int
	MayDuplicate        bool
	MayProbe            bool
	MayCancel           bool
	PeerDatagrams       bool    `json:"MayTell"`      // notes to other senders
	ColdStart           bool    `json:"Cautious"`     // nothing is remembered from before, and the partners may be as cold as this sender is
	ListOnRequest       bool    `json:"AskForList"`   // changes of the list come only on request
	WorthHalves         bool    `json:"Halves"`       // worth halves with each further aim; otherwise it falls evenly
	ApproximateWeights  bool    `json:"RoughWeights"` // an endpoint's Weight may be half too high or too low
	WeightIsRate        bool    `json:"Weighted"`     // an endpoint's Weight is a rate in calls a second
	OverQuotaWorth      float64 `json:"OverShareWorth"`
	ZoneFee             []float64
	Tick                time.Duration
	MaxRetryAfter       time.Duration
	DialTimeout         time.Duration
	IdleConnTimeout     time.Duration `json:"ConnIdle"` // idle connections are closed after this
	DrainTimeout        time.Duration `json:"DrainGrace"`
	AnswerGrace         time.Duration
	OverloadMultiple    float64       `json:"FallMultiple"` // a cold destination falls above this multiple of its capacity,
	OverloadDuration    time.Duration `json:"Fall"`
	ColdCapacity        float64       `json:"ColdFrom"` // share of its capacity that it has when it returns,
	WarmUpTime          time.Duration `json:"WarmWithin"`
	OrderedPause        time.Duration `json:"OrderSettle"`
	ListRequestInterval time.Duration `json:"MustAsk"`
}

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// The outcomes. Rejected, ConnectFailed and NotSent prove that nothing ran.
const (
	Success Outcome = iota
	ServerError
	Rejected
	TimedOut
	ConnectFailed
	ConnReset
	Cancelled
	NotSent
)

// Report is what an endpoint says of its limit. A missing value has its flag off.
type LimitReport struct {
	Left, Limit       float64 // share of the limit left; the limit in calls a second, 0 for none
	HasLeft, HasLimit bool
}

// Phase is an endpoint's place in the list.
type Phase uint8

// The phases.
const (
	Ready Phase = iota
	Draining
	Removed
)

// Entry is one endpoint of a list.
type Entry struct {
	Endpoint   string
	Zone, Kind int
	Dest       int
	Phase      Phase
	Weight     float64
}

// Event is one piece of news for a sender: Listed, Arrived, Resumed, Ended, Dropped, Probed, Told,
// Rang, Leaving, Disabled, Enabled or Member.
type Event interface{ event() }

// Listed brings the list of endpoints, whole or as changes.
type ListUpdate struct {
	Whole, Failed bool
	Entries       []Entry
}

// Arrived is a new message.
type MessageArrived struct {
	ID                  string
	Class, Tenant, Dest int
	Key                 string
	Deadline            time.Duration // clock time after which it cannot be delivered
	Hint                time.Duration
}

// Resumed is a message that the node took on before its process ended, and whose end it still owes.
type MessageResumed struct {
	MessageArrived
	Attempts       int           // attempts used so far
	Failed         bool          // one of them is known to have failed
	MayHaveRun     bool          // one of them may have run,
	FirstRunSentAt time.Duration // and the first of these was sent then,
	Zone           int           // to an endpoint of this zone
}

// Ended is the one outcome of a Send.
type AttemptEnded struct {
	ID          string
	Attempt     int
	Endpoint    string
	Outcome     Outcome
	Took        time.Duration
	MessageDone bool          // the message is over
	RetryAfter  time.Duration // Rejected: the wait told
	NoSlot      bool          // NotSent: all slots were taken
	ReusedConn  bool          // the call went over a connection that had stood idle
	Report      LimitReport
}

// Dropped says that nobody wants the message any more.
type MessageDropped struct{ ID string }

// Probed is the result of a Probe.
type ProbeEnded struct {
	Endpoint string
	Outcome  Outcome
	Took     time.Duration
	Report   LimitReport
}

// Told is a note of another sender. It may be old, and come twice.
type DatagramReceived struct {
	From    int
	Payload []byte
}

// Rang says that a Wake has fallen due.
type WakeDue struct{ Tag string }

// Leaving says that the process is about to end: what is out may finish, and nothing new should be sent. With HandOver
// the others know of it, and whoever keeps a limit next is told what this sender knows of it.
type ShuttingDown struct{ HandOver bool }

// Disabled says that operators have taken an endpoint out: whatever the list and its health say, nothing more goes
// there until Enabled. The endpoint need not have been listed yet.
type EndpointDisabled struct{ Endpoint string }

// Enabled says that operators have put an endpoint back. It was most likely restarted meanwhile.
type EndpointEnabled struct{ Endpoint string }

// Member says that another sender of the fleet is gone, or back. Who has left has said so; who is gone otherwise may
// be cut off from this one, and go on elsewhere.
type MemberChanged struct {
	Number            int
	Gone, LeftCleanly bool
}

// Blind says that this process did not run for a while and has yet to confirm what it knows, or that it has: nothing new is
// sent in between, and final answers come in time as ever.
type SendsPaused struct{ On bool }

func (SendsPaused) event()      {}
func (MemberChanged) event()    {}
func (ShuttingDown) event()     {}
func (EndpointDisabled) event() {}
func (EndpointEnabled) event()  {}
func (ListUpdate) event()       {}
func (MessageArrived) event()   {}
func (MessageResumed) event()   {}
func (AttemptEnded) event()     {}
func (MessageDropped) event()   {}
func (ProbeEnded) event()       {}
func (WakeDue) event()          {}
func (DatagramReceived) event() {}

// Recalled is what an earlier process of the node had learnt, so long ago.
type MemoryRestored struct {
	Memory
	Age time.Duration
}

func (MemoryRestored) event() {}

// Action is one decision: Send, PushBack, Fail, Cancel, Probe, HangUp, Tell, Wake, Watch or Note.
type Action interface{ action() }

// Send calls an endpoint with a message; it is abandoned at NotPast. Nothing of it is written after BeginBy, however long
// its connection takes: a repeat that comes later may run again. BeginBy is 0 where NotPast is the only bound.
type Send struct {
	ID, Endpoint           string
	AbandonAt, LatestStart time.Duration
}

// PushBack ends a message undelivered; the client may safely come again after RetryAfter.
type Refuse struct {
	ID         string
	RetryAfter time.Duration
}

// Fail ends a message and promises nothing.
type Fail struct{ ID string }

// Cancel calls off an attempt that is out.
type Cancel struct {
	ID      string
	Attempt int
}

// Probe sends a check.
type Probe struct{ Endpoint string }

// HangUp gives back idle connections.
type CloseIdle struct{ Endpoint string }

// Tell sends a note to another sender. It may never come.
type SendDatagram struct {
	To      int
	Payload []byte
}

// Wake asks for a Rang at a clock time.
type Wake struct {
	At  time.Duration
	Tag string
}

// Watch asks for changes of the list.
type RequestList struct{}

// Note is a line for the log.
type LogLine struct{ Text string }

func (Send) action()         {}
func (Refuse) action()       {}
func (Fail) action()         {}
func (Cancel) action()       {}
func (Probe) action()        {}
func (CloseIdle) action()    {}
func (SendDatagram) action() {}
func (Wake) action()         {}
func (RequestList) action()  {}
func (LogLine) action()      {}
