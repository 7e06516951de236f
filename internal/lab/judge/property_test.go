package judge

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"harrierramp/internal/lab/model"
)

// Under any combination of faults (kills, partitions, blocked and lost datagrams, lost responses, outages, lowered
// limits) every accepted message gets one final answer in time, Retry-After and drains are respected, and no message is
// repeated beyond what its class allows.
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
			fault := model.Fault{
				Kind: kind, At: time.Duration(rapid.IntRange(0, 8000).Draw(t, "at")) * time.Millisecond,
				Duration: time.Duration(rapid.IntRange(100, 6000).Draw(t, "for")) * time.Millisecond, Zone: -1,
				Size: map[string]float64{model.LowerLimit: 0.5, model.Slow: 4, model.Surge: 2, model.ListDelay: 5}[kind],
			}
			if fault.Size == 0 {
				fault.Size = rapid.Float64Range(0.05, 0.9).Draw(t, "size")
			}
			if kind == model.ZonePartition {
				fault.Zone = rapid.IntRange(0, 1).Draw(t, "zone")
			}
			for i := range day.Dests {
				if rapid.Bool().Draw(t, "struck") {
					fault.Dests = append(fault.Dests, i)
				}
			}
			for i := range day.Nodes {
				if rapid.Bool().Draw(t, "node") {
					fault.Nodes = append(fault.Nodes, i)
				}
			}
			day.Faults = append(day.Faults, fault)
		}
		j := New(&day)
		if err := model.New(day, newSender, j).Run(t.Context()); err != nil {
			t.Fatal(err)
		}
		for _, v := range j.Result().Violations {
			if v.Rule != "cold" { // the budget of cold destinations can be exceeded by chance; the days that CI runs check it
				t.Fatalf("%s: %s, message %s at %v: %v", v.Rule, v.Text, v.Msg, v.At, v.Context)
			}
		}
	})
}
