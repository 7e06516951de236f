package node

import (
	"slices"

	"harrierramp/choice"
	"harrierramp/internal/listwatch"
	"harrierramp/internal/wire"
)

// phaseByName maps the phases of list members to those of the sender.
var phaseByName = map[string]choice.Phase{
	"SERVING": choice.Ready, "DRAINING": choice.Draining, "DELETED": choice.Removed,
}

// listEntries converts the members of a list to the sender's form. A member in an unknown phase is treated as
// draining.
func listEntries(l listwatch.List, names wire.Names) []choice.Entry {
	out := make([]choice.Entry, 0, len(l.Members))
	for _, m := range l.Members {
		phase, ok := phaseByName[m.Phase]
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
