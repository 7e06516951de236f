package model

import (
	"time"

	"harrierramp/choice"
)

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events, with the fields of Event that are set besides those that identify the message or the call.
const (
	Submitted            EventKind = iota // a client submits a message: Node, Msg, FirstID, Class, Tenant, Dest, Deadline, InQuota
	Accepted                              // the node has accepted the message and owes a final answer
	Answered                              // the final answer: Outcome is Success (delivered), Rejected (refused, with RetryAfter) or ServerError (failed)
	NodeUnavailable                       // the node was down when the message was submitted; the client goes to another
	Sent                                  // the node starts an attempt: Endpoint, Attempt
	RequestReceived                       // the last byte of the call has reached the endpoint: WrittenAt
	Executed                              // the endpoint has executed the call
	AttemptEnded                          // the node knows the outcome of the attempt: Outcome, RetryAfter
	LimitExceeded                         // an endpoint has rejected a call over its rate limit
	WithdrawalReceived                    // the list has told a node that an endpoint drains or is removed: Endpoint
	OutageBegan                           // an outage of an endpoint began
	OutageEnded                           // the endpoint is back, with cold capacity
	DestinationCollapsed                  // a cold destination received too many calls and is down again
	NodeStopped                           // the process of a node ended
	NodeStarted                           // the process of a node started: Attempt is its incarnation, from 0
	DatagramDelivered                     // a node received a datagram: Attempt is its size in bytes
	ConnectionOpened                      // a node opens a new connection to an endpoint
	InvalidAction                         // a policy took an action that is not allowed: Text
)

// Event is something that happens in a run.
type Event struct {
	At           time.Duration
	Kind         EventKind
	Node         int
	Msg, FirstID string // the submission, and the client's first submission of the same message
	Class        int
	Tenant       int
	Dest         int
	Endpoint     string
	Zone         int
	Attempt      int
	Outcome      choice.Outcome
	RetryAfter   time.Duration
	WrittenAt    time.Duration
	Deadline     time.Duration
	InQuota      bool
	Text         string
}

// Observer receives all events in order. It must not keep the pointer.
type Observer interface{ Observe(e *Event) }

// Observers is an Observer that passes events on to several others.
type Observers []Observer

// Observe passes the event to each observer.
func (o Observers) Observe(e *Event) {
	for _, one := range o {
		one.Observe(e)
	}
}

// Policy makes the decisions of one node, as a choice.Sender does.
type Policy interface {
	Step(now time.Duration, events []choice.Event) []choice.Action
}

// PolicyFactory creates the policy of a node's new incarnation. It gets the World for idealized policies that use
// knowledge which a real node cannot have.
type PolicyFactory func(w *World, settings choice.Settings, seed uint64) Policy
