package judge

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"harrierramp/internal/lab/model"
)

// Whatever goes wrong together (kills, partitions, deafness, lost datagrams and answers, outages, lowered limits), every
// message that was taken on has one answer in time, waits and drains are heeded, and nothing is repeated beyond its class.
func TestRulesHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		day, err := model.Draw("quiet", rapid.IntRange(2, 25).Draw(t, "nodes"), rapid.Uint64Max(1000).Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		day.Length = 10 * time.Second
		day.Net.DatagramLoss = rapid.Float64Range(0, 0.5).Draw(t, "datagrams lost")
		day.Net.DatagramDelayMax = time.Duration(rapid.IntRange(2, 800).Draw(t, "datagrams late, ms")) * time.Millisecond
		kinds := []string{
			model.Kill, model.Kill, model.DatagramsBlocked, model.ZonePartition, model.Unresponsive, model.Crash, model.FastErrors, model.RejectAll, model.LostResponses,
			model.LowerLimit, model.Slow, model.SpuriousRejects, model.Surge, model.RollingRestart, model.ReplaceEndpoints, model.ListDelay,
		}
		for range rapid.IntRange(1, 5).Draw(t, "troubles") {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			trouble := model.Fault{
				Kind: kind, At: time.Duration(rapid.IntRange(0, 8000).Draw(t, "at")) * time.Millisecond,
				Duration: time.Duration(rapid.IntRange(100, 6000).Draw(t, "for")) * time.Millisecond, Zone: -1,
				Size: map[string]float64{model.LowerLimit: 0.5, model.Slow: 4, model.Surge: 2, model.ListDelay: 5}[kind],
			}
			if trouble.Size == 0 {
				trouble.Size = rapid.Float64Range(0.05, 0.9).Draw(t, "size")
			}
			if kind == model.ZonePartition {
				trouble.Zone = rapid.IntRange(0, 1).Draw(t, "zone")
			}
			for i := range day.Dests {
				if rapid.Bool().Draw(t, "struck") {
					trouble.Dests = append(trouble.Dests, i)
				}
			}
			for i := range day.Nodes {
				if rapid.Bool().Draw(t, "node") {
					trouble.Nodes = append(trouble.Nodes, i)
				}
			}
			day.Faults = append(day.Faults, trouble)
		}
		j := New(&day)
		if err := model.New(day, newSender, j).Run(t.Context()); err != nil {
			t.Fatal(err)
		}
		for _, v := range j.Result().Violations {
			if v.Rule != "cold" { // a budget that holds with a little slack for chance; the days of CI hold it
				t.Fatalf("%s: %s, message %s at %v: %v", v.Rule, v.Text, v.Msg, v.At, v.Context)
			}
		}
	})
}
