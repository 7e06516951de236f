package choice

import "time"

// Effect says whether a message of a class may be sent to its destination more than once.
type Effect uint8

// The effects of a class.
const (
	Idempotent   Effect = iota // a repeat is harmless
	Deduplicated               // the destination drops repeats within Class.DedupWindow
	AtMostOnce                 // the message must never run twice
)

// Class describes one class of messages. A field that is zero was not configured.
type Class struct {
	// A delivery before Aim has the full worth, and one between Aim and Deadline a lower worth. Both are measured
	// from the moment at which the client first handed the message in.
	Aim, Deadline time.Duration
	AimStretch    float64 // added to Aim, as a multiple of the message's Hint
	Worth         float64 // value of a timely delivery, relative to the other classes
	LateWorth     float64 // share of Worth that is left at the deadline
	Effect        Effect
	DedupWindow   time.Duration `json:"Window"` // Deduplicated: how long the destination drops repeats
	// AllEndpointsDeduplicate applies to Deduplicated classes: it is true if all endpoints of a destination drop
	// repeats of each other's messages, and false if only the endpoints of one zone do.
	AllEndpointsDeduplicate bool `json:"GroupAll"`
	Ordered                 bool // messages with the same key are delivered one after the other, in order of arrival
}

// Kind describes one kind of destination.
type Kind struct {
	SeparateRoutes bool `json:"Apart"` // each endpoint has its own rate limit and its own outages
	MaxBatch       int  `json:"Batch"` // most messages in one call
}

// Tenant is a customer, with a quota of the service.
type Tenant struct {
	PerSecond float64 // quota in messages per second, over all nodes of the fleet
}

// Settings are the facts of the deployment that a Sender is created with. A field that is zero was not configured.
type Settings struct {
	Classes         []Class
	Kinds           []Kind
	Tenants         []Tenant
	FleetSize       int  `json:"Fleet"` // number of delivery nodes, each with one Sender
	Number          int  // of this node in the fleet, from 0
	Slots           int  // most calls in flight at the same time; 0 for no bound
	MaxOpenMessages int  `json:"MaxOpen"` // most messages without a final answer; 0 for no bound
	MaxAttempts     int  // most attempts for one message; 0 for no bound
	MayDuplicate    bool // two attempts of one message may be in flight at once
	MayProbe        bool // a Probe may be requested: a health check of an endpoint that delivers no message
	MayCancel       bool // attempts that are in flight may be cancelled
	PeerDatagrams   bool `json:"MayTell"` // nodes may send datagrams to each other
	// ColdStart says that this node restored no memory, and that destinations may have started just now as well.
	ColdStart     bool `json:"Cautious"`
	ListOnRequest bool `json:"AskForList"` // changes of the list come only after a RequestList
	// WorthHalves says that the worth halves with each further aim after the first; otherwise it falls linearly.
	WorthHalves        bool          `json:"Halves"`
	ApproximateWeights bool          `json:"RoughWeights"`   // an endpoint's Weight may be 50 % too high or too low
	WeightIsRate       bool          `json:"Weighted"`       // an endpoint's Weight is a rate in calls per second
	OverQuotaWorth     float64       `json:"OverShareWorth"` // factor on the worth of messages beyond a tenant's quota
	ZoneFee            []float64     // by zone: cost of a message over a separate route there
	Tick               time.Duration // interval at which the node handles events
	MaxRetryAfter      time.Duration // longest wait that a client can be told
	DialTimeout        time.Duration
	IdleConnTimeout    time.Duration `json:"ConnIdle"` // endpoints close connections that were idle for this long
	// DrainTimeout is the time in which sends to an endpoint must stop after the list says that it drains.
	DrainTimeout time.Duration `json:"DrainGrace"`
	AnswerGrace  time.Duration // a final answer may come this long after the deadline
	// A cold destination fails if it gets more than OverloadMultiple times its present capacity for
	// OverloadDuration.
	OverloadMultiple float64       `json:"FallMultiple"`
	OverloadDuration time.Duration `json:"Fall"`
	// ColdCapacity is the share of its capacity that a destination has right after an outage. It has all of it after
	// WarmUpTime.
	ColdCapacity        float64       `json:"ColdFrom"`
	WarmUpTime          time.Duration `json:"WarmWithin"`
	OrderedPause        time.Duration `json:"OrderSettle"` // Ordered classes: pause between two messages of one key
	ListRequestInterval time.Duration `json:"MustAsk"`     // the list must be requested at least this often
}

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// The outcomes. Rejected, ConnectFailed and NotSent prove that the destination did not process the message.
const (
	Success       Outcome = iota
	ServerError           // the endpoint answered with an error; it may have processed the message
	Rejected              // the endpoint refused the call: over its limit, or its queue or connection table is full
	TimedOut              // no answer until Send.AbandonAt
	ConnectFailed         // no connection
	ConnReset             // the connection was lost during the call
	Cancelled             // by a Cancel
	NotSent               // the node did not make the call
)

// LimitReport is what an endpoint reports about its rate limit. HasLeft and HasLimit say which values it sent.
type LimitReport struct {
	Left, Limit       float64 // share of the limit that is left; the limit in calls per second, 0 for no limit
	HasLeft, HasLimit bool
}

// Phase is the state of an endpoint in the list.
type Phase uint8

// The phases.
const (
	Ready    Phase = iota
	Draining       // takes no new calls
	Removed
)

// Entry describes one endpoint in a list.
type Entry struct {
	Endpoint   string
	Zone, Kind int
	Dest       int
	Phase      Phase
	Weight     float64
}

// Event is an input of a Sender: ListUpdate, MessageArrived, MessageResumed, AttemptEnded, MessageDropped, ProbeEnded,
// DatagramReceived, WakeDue, ShuttingDown, EndpointDisabled, EndpointEnabled, MemberChanged, SendsPaused or
// MemoryRestored.
type Event interface{ event() }

// ListUpdate brings the list of endpoints: all of it if Whole is set, otherwise the entries that changed. Failed says
// that the list could not be fetched.
type ListUpdate struct {
	Whole, Failed bool
	Entries       []Entry
}

// MessageArrived is a new message from a client.
type MessageArrived struct {
	ID                  string
	Class, Tenant, Dest int
	Key                 string
	Deadline            time.Duration // clock time from which a delivery is worth nothing
	Hint                time.Duration // the client's estimate of the extra time needed; see Class.AimStretch
}

// MessageResumed is a message that an earlier process of the node admitted and that has no final answer yet.
type MessageResumed struct {
	MessageArrived
	Attempts       int           // number of attempts so far
	Failed         bool          // at least one attempt is known to have failed
	MayHaveRun     bool          // the destination may have processed an attempt
	FirstRunSentAt time.Duration // send time of the first such attempt
	Zone           int           // zone of the endpoint that it was sent to
}

// AttemptEnded is the outcome of a Send. Each Send has exactly one.
type AttemptEnded struct {
	ID          string
	Attempt     int
	Endpoint    string
	Outcome     Outcome
	Took        time.Duration
	MessageDone bool          // the message needs no further attempt or answer
	RetryAfter  time.Duration // Rejected: the wait that the endpoint asks for; 0 for none
	NoSlot      bool          // NotSent: no slot was free
	ReusedConn  bool          // the call used a connection that had been idle
	Report      LimitReport
}

// MessageDropped says that nobody waits for the message any more.
type MessageDropped struct{ ID string }

// ProbeEnded is the outcome of a Probe.
type ProbeEnded struct {
	Endpoint string
	Outcome  Outcome
	Took     time.Duration
	Report   LimitReport
}

// DatagramReceived is a datagram from the Sender of another node. It may be delayed or duplicated.
type DatagramReceived struct {
	From    int
	Payload []byte
}

// WakeDue says that the time of a Wake has come.
type WakeDue struct{ Tag string }

// ShuttingDown says that the process is about to end. Calls in flight may finish, and no new ones are made. With
// HandOver the other nodes know of the shutdown, and for each destination that this node coordinates, the next
// coordinator is told the share of the limit that is in use.
type ShuttingDown struct{ HandOver bool }

// EndpointDisabled says that operators have disabled an endpoint: it gets no new calls, whatever the list and its
// health say, until EndpointEnabled. The endpoint need not be in the list yet.
type EndpointDisabled struct{ Endpoint string }

// EndpointEnabled says that operators have enabled an endpoint again. The endpoint was most likely restarted in the
// meantime.
type EndpointEnabled struct{ Endpoint string }

// MemberChanged says that another node of the fleet is gone or is back. LeftCleanly is set if the node announced that
// it leaves. Otherwise it may be on the far side of a network partition and still be making calls.
type MemberChanged struct {
	Number            int
	Gone, LeftCleanly bool
}

// SendsPaused with On set says that the node must not send anything new for the time being: for example, its process
// did not run for a while and has yet to check that its list is current, or attempts cannot be written to the journal.
// Final answers are still given in time. SendsPaused without On ends the pause.
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

// MemoryRestored brings what an earlier process of the node had learnt, and how long ago that was written.
type MemoryRestored struct {
	Memory
	Age time.Duration
}

func (MemoryRestored) event() {}

// Action is an output of a Sender: Send, Refuse, Fail, Cancel, Probe, CloseIdle, SendDatagram, Wake, RequestList or
// LogLine.
type Action interface{ action() }

// Send asks for a call to an endpoint with the message. The attempt is abandoned at the clock time AbandonAt. If
// LatestStart is not 0, no byte of the request may be written after it, even if the connection takes that long: a
// repeat that reaches the destination later might be processed a second time.
type Send struct {
	ID, Endpoint           string
	AbandonAt, LatestStart time.Duration
}

// Refuse ends a message undelivered. It promises that the client may safely hand the message in again after
// RetryAfter.
type Refuse struct {
	ID         string
	RetryAfter time.Duration
}

// Fail ends a message without a promise: the message may have been processed.
type Fail struct{ ID string }

// Cancel asks to abort an attempt that is in flight.
type Cancel struct {
	ID      string
	Attempt int
}

// Probe asks for a health check of an endpoint.
type Probe struct{ Endpoint string }

// CloseIdle asks to close the idle connections to an endpoint.
type CloseIdle struct{ Endpoint string }

// SendDatagram sends a datagram to the Sender of another node. It may be lost.
type SendDatagram struct {
	To      int
	Payload []byte
}

// Wake asks for a WakeDue event at the clock time At.
type Wake struct {
	At  time.Duration
	Tag string
}

// RequestList asks for changes of the list of endpoints.
type RequestList struct{}

// LogLine is a line for the log.
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
