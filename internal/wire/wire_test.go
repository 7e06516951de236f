package wire

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"harrierramp/choice"
)

const ms = time.Millisecond

func TestEvents(t *testing.T) {
	lists := map[int][]choice.Entry{3: {{Endpoint: "endpoint-a", Dest: 57, Zone: 1, Kind: 1, Phase: choice.Draining, Weight: 1.5}}}
	for _, c := range []struct {
		line string
		want choice.Event
	}{
		{`{"event_type":"Query","node":"node-3","handle":"h1","cls":1,"owner":2,"nameKey":"k","dropDead":8652.25,"predicted":12.5,"farEnd":57,"opts":1,"extra":[1]}`,
			choice.MessageArrived{ID: "h1", Class: 1, Tenant: 2, Dest: 57, Key: "k", Deadline: 8652250 * time.Microsecond, Hint: 12500 * time.Microsecond}},
		{`{"event_type":"Query","node":"node-3","handle":"h1","predicted":12.5,"dropDead":1}`, choice.MessageArrived{ID: "h1", Deadline: ms}},
		{`{"event_type":"AttemptEnd","node":"n","handle":"h","go":2,"endpoint":"e","rc":"no_room","duration":18.5,"note":250,"feedback":{"x0":0.4,"x1":1.25}}`,
			choice.AttemptEnded{ID: "h", Attempt: 2, Endpoint: "e", Outcome: choice.Rejected, Took: 18500 * time.Microsecond, RetryAfter: 250 * ms,
				Report: choice.LimitReport{Left: 0.4, Limit: 1.25, HasLeft: true, HasLimit: true}}},
		{`{"event_type":"AttemptEnd","node":"n","handle":"h","endpoint":"e","rc":"stale_send","note":1,"closed":true}`,
			choice.AttemptEnded{ID: "h", Endpoint: "e", Outcome: choice.NotSent, NoSlot: true, MessageDone: true}},
		{`{"event_type":"Echo","node":"n","endpoint":"e","rc":"pass","duration":3}`, choice.ProbeEnded{Endpoint: "e", Took: 3 * ms}},
		{`{"event_type":"Dropped","node":"n","handle":"h"}`, choice.MessageDropped{ID: "h"}},
		{`{"event_type":"Ring","node":"n","tag":"sweep"}`, choice.WakeDue{Tag: "sweep"}},
		{`{"event_type":"Announce","node":"n","form":"stale_copy","gen":41,"slot":3}`, choice.ListUpdate{Whole: true, Entries: lists[3]}},
		{`{"event_type":"Announce","node":"n","form":"patch","gen":41,"slot":3}`, choice.ListUpdate{Entries: lists[3]}},
		{`{"event_type":"Announce","node":"n","form":"broken","gen":41}`, choice.ListUpdate{Failed: true}},
		{`{"event_type":"Memo","node":"n","who":1,"content":"00ff"}`, choice.DatagramReceived{From: 1, Payload: []byte{0, 255}}},
	} {
		l, err := Parse([]byte(c.line))
		if err != nil {
			t.Fatal(err)
		}
		got, err := Event(l, lists)
		if err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s\n got %#v, %v\nwant %#v", c.line, got, err, c.want)
		}
	}
}

func TestEveryOutcomeAndPhaseIsParsed(t *testing.T) {
	for word, want := range outcomes {
		l, err := Parse([]byte(`{"event_type":"AttemptEnd","node":"n","rc":"` + word + `"}`))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Event(l, nil); err != nil || got.(choice.AttemptEnded).Outcome != want {
			t.Errorf("%s: %v, %v", word, got, err)
		}
	}
	if len(outcomes) != 8 || len(phases) != 3 {
		t.Error("an outcome or a phase is missing")
	}
}

func TestInvalidLinesAreRejected(t *testing.T) {
	for _, line := range []string{`{"event_type":`, `[]`, `{}`, `{"event_type":"Ring","simTime":"soon"}`} {
		if _, err := Parse([]byte(line)); err == nil {
			t.Errorf("%s was accepted", line)
		}
	}
	for _, line := range []string{
		`{"event_type":"Knock","node":"n"}`, `{"event_type":"AttemptEnd","node":"n","rc":"maybe"}`,
		`{"event_type":"Echo","node":"n","rc":"maybe"}`, `{"event_type":"Announce","node":"n","form":"whole","slot":9}`,
		`{"event_type":"Announce","node":"n","form":"odd","slot":9}`,
	} {
		l, err := Parse([]byte(line))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Event(l, nil); err == nil {
			t.Errorf("%s was accepted", line)
		}
	}
	if _, err := Entries([]ListRecord{{Endpoint: "e", Phase: "tired"}}); err == nil {
		t.Error("an unknown phase was accepted")
	}
}

func TestActions(t *testing.T) {
	for _, c := range []struct {
		action choice.Action
		want   string
	}{
		{choice.Send{ID: "h", Endpoint: "e", AbandonAt: 8492250 * time.Microsecond}, `{"event_type":"Transmit","node":"n","handle":"h","endpoint":"e","notPast":8492.25}`},
		{choice.Refuse{ID: "h", RetryAfter: 1500 * ms}, `{"event_type":"PushBack","node":"n","handle":"h","holdOff":1500}`},
		{choice.Fail{ID: "h"}, `{"event_type":"RespondError","node":"n","handle":"h"}`},
		{choice.Cancel{ID: "h", Attempt: 1}, `{"event_type":"Recall","node":"n","handle":"h","go":1}`},
		{choice.Probe{Endpoint: "e"}, `{"event_type":"Test","node":"n","endpoint":"e"}`},
		{choice.SendDatagram{To: 3, Payload: []byte{1, 171}}, `{"event_type":"MemoTo","node":"n","addressee":3,"content":"01ab"}`},
		{choice.CloseIdle{Endpoint: "e"}, `{"event_type":"HangUp","node":"n","endpoint":"e"}`},
		{choice.Wake{At: 8912250 * time.Microsecond, Tag: "sweep"}, `{"event_type":"Defer","node":"n","when":8912.25,"tag":"sweep"}`},
		{choice.RequestList{}, `{"event_type":"Track","node":"n","enable":true}`},
		{choice.LogLine{Text: "hi"}, `{"event_type":"JournalLine","node":"n","text":"hi"}`},
	} {
		b, err := Action("n", c.action)
		if err != nil {
			t.Fatal(err)
		}
		var got, want map[string]any
		if json.Unmarshal(b, &got) != nil || json.Unmarshal([]byte(c.want), &want) != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %s, want %s", b, c.want)
		}
	}
}

func TestSettings(t *testing.T) {
	s, err := Settings(json.RawMessage(`{"categories":[{"aim":4000.0,"deadline":28000.0,"effect":"deduplicated","group":"all","lateWorth":0.3,"window":12000,"worth":3,"fifoByKey":true}],
		"contract":{"coldFrom":0.29,"fall":2000.0,"fallMultiple":1.5,"graceToAnswer":20.0,"stopSendingWithin":250.0,"warmWithin":11000.0,"orderSettle":300},
		"customers":[{"name":"x","allowancePerS":4.5}],"discovery":"on_request","domain":{"decay":"halves","kindBatch":[1,5],"separateRoutes":[true],"workers":9},
		"fleetSize":2,"limits":{"cancel":true,"maxAttempts":12,"maxOpen":269,"maxRetryAfter":3000.0,"retryAfter":true},"tick":5,"weights":"rough","novelty":{"a":1}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := choice.Settings{
		Classes: []choice.Class{{Aim: 4000 * ms, Deadline: 28000 * ms, Worth: 3, LateWorth: 0.3, Effect: choice.Deduplicated, DedupWindow: 12000 * ms, AllEndpointsDeduplicate: true, Ordered: true}},
		Kinds:   []choice.Kind{{SeparateRoutes: true, MaxBatch: 1}, {MaxBatch: 5}}, Tenants: []choice.Tenant{{PerSecond: 4.5}},
		FleetSize: 2, Slots: 9, MaxOpenMessages: 269, MaxAttempts: 12, MayCancel: true, ListOnRequest: true, WorthHalves: true, ApproximateWeights: true, WeightIsRate: true,
		Tick: 5 * ms, MaxRetryAfter: 3000 * ms, DrainTimeout: 250 * ms, AnswerGrace: 20 * ms, OverloadMultiple: 1.5, OverloadDuration: 2000 * ms,
		ColdCapacity: 0.29, WarmUpTime: 11000 * ms, OrderedPause: 300 * ms,
	}
	if !reflect.DeepEqual(s, want) {
		t.Errorf("got %+v\nwant %+v", s, want)
	}
	if s, err := Settings(json.RawMessage(`{}`)); err != nil || !reflect.DeepEqual(s, choice.Settings{}) {
		t.Errorf("missing settings must stay zero: %+v, %v", s, err)
	}
	if _, err := Settings(json.RawMessage(`{"categories":[{"effect":"odd"}]}`)); err == nil {
		t.Error("an unknown effect was accepted")
	}
}

func TestSettingsNames(t *testing.T) {
	var c Conf
	err := json.Unmarshal([]byte(`{"categories":[{"name":"a"},{"name":"b"}],"flavors":["big"],"failureDomains":["z1","z2"]}`), &c)
	want := Names{Classes: []string{"a", "b"}, Kinds: []string{"big"}, Zones: []string{"z1", "z2"}}
	if got := c.Names(); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
}
