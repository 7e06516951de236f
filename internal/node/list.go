package node

import (
	"slices"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/backoff"
	"harrierramp/internal/listwatch"
	"harrierramp/internal/wire"
)

var phases = map[string]choice.Phase{
	"SERVING": choice.Ready, "DRAINING": choice.Draining, "DELETED": choice.Gone,
}

// entries converts a list for the module. A member of a phase that is not known is taken as draining.
func entries(l listwatch.List, names wire.Names) []choice.Entry {
	out := make([]choice.Entry, 0, len(l.Members))
	for _, m := range l.Members {
		phase, ok := phases[m.Phase]
		if !ok {
			phase = choice.Draining
		}
		out = append(out, choice.Entry{
			Endpoint: m.ID, Zone: slices.Index(names.Zones, m.Locality), Kind: slices.Index(names.Kinds, m.Flavor),
			Dest: m.Cell, Phase: phase, Weight: m.Size,
		})
	}
	return out
}

const (
	askSpacing = 50 * time.Millisecond // of the whole fleet's first asks again after a failure common to all
	// agentPause is the longest pause between asks of an agent on the node's machine. What an agent gets when discovery
	// returns counts as told at once, and sends have to obey it within the drain grace.
	agentPause = 250 * time.Millisecond
)

// askPauses are the pauses between asks for the list. Where discovery has to be asked, every ask is work for it, and
// one that it can't take in fails late: a whole fleet that asks again within a second or two keeps it from answering
// anybody. So the pauses grow with the fleet, whose asks together stay under a rate that doesn't hang on its size.
func askPauses(s choice.Settings) backoff.Backoff {
	if !s.AskForList {
		return backoff.Backoff{First: backoff.First, Last: agentPause}
	}
	first := max(backoff.First, time.Duration(s.Fleet)*askSpacing)
	return backoff.Backoff{First: first, Last: max(backoff.Last, 8*first)}
}
