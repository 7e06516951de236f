// Package wire converts the JSON lines of the simulator's protocol into events of package choice, and actions into
// lines. It also converts the settings of a deployment. It makes no decisions and fills in no defaults: a value that a
// line does not have is zero.
package wire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/units"
)

// InputLine is any line of a batch. Type says which fields are used. Times and durations are in milliseconds.
type InputLine struct {
	Type        string             `json:"event_type"`
	Time        float64            `json:"simTime"`
	Node        string             `json:"node"`
	Seed        json.Number        `json:"nonce64"`
	Settings    json.RawMessage    `json:"conf"`
	ListNumber  int                `json:"slot"`
	Records     []ListRecord       `json:"records"`
	Form        string             `json:"form"`
	MessageID   string             `json:"handle"`
	Class       int                `json:"cls"`
	Tenant      int                `json:"owner"`
	Key         string             `json:"nameKey"`
	Deadline    float64            `json:"dropDead"`
	Hint        float64            `json:"predicted"`
	Dest        int                `json:"farEnd"`
	Options     int                `json:"opts"`
	Attempt     int                `json:"go"`
	Endpoint    string             `json:"endpoint"`
	Outcome     string             `json:"rc"`
	Duration    float64            `json:"duration"`
	MessageDone bool               `json:"closed"`
	Detail      float64            `json:"note"`
	Report      map[string]float64 `json:"feedback"`
	Tag         string             `json:"tag"`
	From        int                `json:"who"`
	Payload     string             `json:"content"`
}

// ListRecord is one endpoint in a list.
type ListRecord struct {
	Endpoint string  `json:"endpoint"`
	Zone     int     `json:"rackZone"`
	Kind     int     `json:"classOfHost"`
	Dest     int     `json:"ownerNo"`
	Phase    string  `json:"phase"`
	Weight   float64 `json:"heft"`
}

const optHint = 1 // bit in InputLine.Options: Hint is valid

// FromMillis converts milliseconds of the protocol. The simulator counts whole microseconds.
func FromMillis(ms float64) time.Duration {
	return units.Millis(ms).Duration()
}

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Parse decodes one line of a batch.
func Parse(text []byte) (InputLine, error) {
	var l InputLine
	if err := json.Unmarshal(text, &l); err != nil {
		return l, fmt.Errorf("malformed line: %w", err)
	}
	if l.Type == "" {
		return l, fmt.Errorf("line has no event_type")
	}
	return l, nil
}

var outcomes = map[string]choice.Outcome{
	"pass": choice.Success, "fault": choice.ServerError, "no_room": choice.Rejected, "too_slow": choice.TimedOut,
	"no_route": choice.ConnectFailed, "cut": choice.ConnReset, "undone": choice.Cancelled, "stale_send": choice.NotSent,
}

var phases = map[string]choice.Phase{
	"healthy": choice.Ready, "cordoned": choice.Draining, "deregistered": choice.Removed,
}

// Entries converts the records of a list.
func Entries(records []ListRecord) ([]choice.Entry, error) {
	list := make([]choice.Entry, 0, len(records))
	for _, r := range records {
		phase, ok := phases[r.Phase]
		if !ok {
			return nil, fmt.Errorf("endpoint %q has unknown phase %q", r.Endpoint, r.Phase)
		}
		list = append(list, choice.Entry{
			Endpoint: r.Endpoint, Zone: r.Zone, Kind: r.Kind, Dest: r.Dest, Phase: phase, Weight: r.Weight,
		})
	}
	return list, nil
}

// Event converts a line that is addressed to one instance. It returns nil for a line that needs no decision. An
// Announce line refers to a list by its number; lists has the lists that were sent so far.
func Event(l InputLine, lists map[int][]choice.Entry) (choice.Event, error) {
	switch l.Type {
	case "Announce":
		if l.Form == "broken" {
			return choice.ListUpdate{Failed: true}, nil
		}
		if l.Form != "patch" && l.Form != "whole" && l.Form != "stale_copy" {
			return nil, fmt.Errorf("Announce has unknown form %q", l.Form)
		}
		entries, ok := lists[l.ListNumber]
		if !ok {
			return nil, fmt.Errorf("Announce refers to list %d, which was never sent", l.ListNumber)
		}
		return choice.ListUpdate{Whole: l.Form != "patch", Entries: entries}, nil
	case "Query":
		ev := choice.MessageArrived{
			ID: l.MessageID, Class: l.Class, Tenant: l.Tenant, Dest: l.Dest, Key: l.Key, Deadline: FromMillis(l.Deadline),
		}
		if l.Options&optHint != 0 {
			ev.Hint = FromMillis(l.Hint)
		}
		return ev, nil
	case "AttemptEnd":
		o, ok := outcomes[l.Outcome]
		if !ok {
			return nil, fmt.Errorf("AttemptEnd has unknown rc %q", l.Outcome)
		}
		ev := choice.AttemptEnded{
			ID: l.MessageID, Attempt: l.Attempt, Endpoint: l.Endpoint, Outcome: o, Took: FromMillis(l.Duration),
			MessageDone: l.MessageDone, Report: limitReport(l.Report),
		}
		if o == choice.Rejected {
			ev.RetryAfter = FromMillis(l.Detail)
		}
		ev.NoSlot = o == choice.NotSent && l.Detail != 0
		return ev, nil
	case "Echo":
		o, ok := outcomes[l.Outcome]
		if !ok {
			return nil, fmt.Errorf("Echo has unknown rc %q", l.Outcome)
		}
		return choice.ProbeEnded{
			Endpoint: l.Endpoint, Outcome: o, Took: FromMillis(l.Duration), Report: limitReport(l.Report),
		}, nil
	case "Dropped":
		return choice.MessageDropped{ID: l.MessageID}, nil
	case "Ring":
		return choice.WakeDue{Tag: l.Tag}, nil
	case "Memo":
		text, err := hex.DecodeString(l.Payload)
		if err != nil {
			return nil, fmt.Errorf("Memo: %w", err)
		}
		return choice.DatagramReceived{From: l.From, Payload: text}, nil
	case "UnderWay":
		return nil, nil
	}
	return nil, fmt.Errorf("unknown event %q", l.Type)
}

func limitReport(f map[string]float64) choice.LimitReport {
	var r choice.LimitReport
	r.Left, r.HasLeft = f["x0"]
	r.Limit, r.HasLimit = f["x1"]
	return r
}

// Action converts an action of the instance with the name node into its line.
func Action(node string, a choice.Action) ([]byte, error) {
	line := map[string]any{"node": node}
	switch a := a.(type) {
	case choice.Send:
		line["event_type"], line["handle"], line["endpoint"] = "Transmit", a.ID, a.Endpoint
		line["notPast"] = toMillis(a.AbandonAt)
	case choice.Refuse:
		line["event_type"], line["handle"], line["holdOff"] = "PushBack", a.ID, toMillis(a.RetryAfter)
	case choice.Fail:
		line["event_type"], line["handle"] = "RespondError", a.ID
	case choice.Cancel:
		line["event_type"], line["handle"], line["go"] = "Recall", a.ID, a.Attempt
	case choice.Probe:
		line["event_type"], line["endpoint"] = "Test", a.Endpoint
	case choice.CloseIdle:
		line["event_type"], line["endpoint"] = "HangUp", a.Endpoint
	case choice.SendDatagram:
		line["event_type"], line["addressee"], line["content"] = "MemoTo", a.To, hex.EncodeToString(a.Payload)
	case choice.Wake:
		line["event_type"], line["when"], line["tag"] = "Defer", toMillis(a.At), a.Tag
	case choice.RequestList:
		line["event_type"], line["enable"] = "Track", true
	case choice.LogLine:
		line["event_type"], line["text"] = "JournalLine", a.Text
	default:
		return nil, fmt.Errorf("action %T has no line in the protocol", a)
	}
	return json.Marshal(line)
}

// CrashLine is the line that reports a panic of the decision code.
func CrashLine(node, text string) []byte {
	b, err := json.Marshal(map[string]string{"event_type": "Broken", "node": node, "text": text})
	if err != nil {
		return []byte(`{"event_type":"Broken"}`)
	}
	return b
}

// DoneLine is the last line of a reply.
const DoneLine = `{"event_type":"Done"}`
