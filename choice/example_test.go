package choice_test

import (
	"fmt"
	"time"

	"harrierramp/choice"
)

// A delivery node creates a Sender with its settings, passes events to it and carries out the actions.
func Example() {
	sender := choice.New(choice.Settings{
		Classes: []choice.Class{{Aim: 2 * time.Second, Deadline: 20 * time.Second, Worth: 1, Effect: choice.Deduplicated,
			DedupWindow: 10 * time.Second, AllEndpointsDeduplicate: true}},
		FleetSize: 3, Slots: 10, MaxOpenMessages: 100, MaxAttempts: 6, MaxRetryAfter: 3 * time.Second,
	}, 42)

	now := time.Duration(0) // the node's own clock, which must never go back
	sender.Step(now, []choice.Event{choice.ListUpdate{Whole: true, Entries: []choice.Entry{{Endpoint: "bank-1", Dest: 7}}}})

	now += 10 * time.Millisecond
	order := choice.MessageArrived{ID: "order-1", Class: 0, Dest: 7, Deadline: now + 20*time.Second}
	for _, a := range sender.Step(now, []choice.Event{order}) {
		switch a := a.(type) {
		case choice.Send:
			fmt.Println("call", a.Endpoint, "with", a.ID)
		case choice.Refuse:
			fmt.Println("refuse", a.ID, "for", a.RetryAfter)
		case choice.Wake:
			fmt.Println("step again in", a.At-now, "unless an event comes before")
		}
	}
	// Output:
	// call bank-1 with order-1
	// step again in 19.985s unless an event comes before
}
