package model

import (
	"time"

	"harrierramp/choice"
)

// What tells what an Event is of.
type EventKind uint8

// What happens. Which fields of an Event count is said beside each.
const (
	Submitted            EventKind = iota // a client hands a message in: Node, Msg, First, Class, Tenant, Dest, Deadline, InShare
	Accepted                              // the node owes it an end from now on
	Answered                              // its final answer: Outcome Pass delivered, NoRoom refused or returned (Wait), Fault failed
	NodeUnavailable                       // the node was dead when it was handed in; the client goes elsewhere
	Sent                                  // an attempt is made: Endpoint, Attempt
	RequestReceived                       // its last byte is at the endpoint
	Executed                              // it has run there
	AttemptEnded                          // its outcome at the node: Outcome, Wait
	LimitExceeded                         // an endpoint has refused a call over its limit
	WithdrawalReceived                    // a node has heard that an endpoint drains or is gone: Endpoint
	OutageBegan                           // of an endpoint
	OutageEnded                           // it is back, and cold
	DestinationCollapsed                  // a cold destination was sent too much, and is down again
	NodeStopped                           // a node
	NodeStarted                           // a node: Attempt is its life, from 0
	DatagramDelivered                     // one was delivered: Attempt is its size
	ConnectionOpened                      // a new connection to an endpoint
	InvalidAction                         // a policy did what no node may: Text
)

// Event is one thing that happens.
type Event struct {
	At           time.Duration
	Kind         EventKind
	Node         int
	Msg, FirstID string // the message, and the first try that it belongs to
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

// Observer hears of all events in their order. It must not keep the pointer.
type Observer interface{ Observe(e *Event) }

// Observers are several.
type Observers []Observer

// Observe tells each.
func (o Observers) Observe(e *Event) {
	for _, one := range o {
		one.Observe(e)
	}
}

// Policy decides for one node, as a choice.Sender does.
type Policy interface {
	Step(now time.Duration, events []choice.Event) []choice.Action
}

// Maker makes the policy of a node's new life. The world is there for policies that know what no node can know.
type PolicyFactory func(w *World, settings choice.Settings, seed uint64) Policy
