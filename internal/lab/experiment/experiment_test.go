package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"harrierramp/internal/lab/model"
)

var record = flag.Bool("record", false, "write the baseline of the regression anew")

const (
	baselinePath = "../../../lab/ci-baseline.json"
	tolerance    = 0.015 // of worth served, by kind of day, median of three seeds
)

// The project's own sender keeps every rule on every kind of day, and serves what it served when the baseline was
// recorded, within a band. A change that is meant to move it records a new one (-record) and says so.
func TestRegression(t *testing.T) {
	e, err := Load("../../../lab/ci.toml")
	if err != nil {
		t.Fatal(err)
	}
	lines, err := e.Run(t.Context(), filepath.Join(t.TempDir(), "ci.jsonl"), 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range Problems(lines) {
		t.Error(p)
	}
	got, want := map[string]float64{}, map[string]float64{}
	for _, s := range Summarize(lines) {
		got[s.Day] = math.Round(s.Median*10000) / 10000
	}
	if *record {
		raw, err := json.MarshalIndent(got, "", "  ")
		if err == nil {
			err = os.WriteFile(baselinePath, append(raw, '\n'), 0o644)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	raw, err := os.ReadFile(baselinePath)
	if err == nil {
		err = json.Unmarshal(raw, &want)
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, day := range e.Days {
		if math.Abs(got[day]-want[day]) > tolerance {
			t.Errorf("%s: %.4f served, and the baseline is %.4f", day, got[day], want[day])
		}
	}
}

// Runs in another order, and runs that were cut off and gone on with, give the same file in the order of the jobs.
func TestInterruptedRunResumesWithTheSameResults(t *testing.T) {
	e := Experiment{Policies: []string{"ours", "lrt"}, Days: []string{"split"}, Nodes: []int{5}, Seeds: []uint64{1, 2, 3}}
	dir := t.TempDir()
	whole, err := e.Run(t.Context(), filepath.Join(dir, "a"), 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	_, err = e.Run(ctx, filepath.Join(dir, "b"), 3, func(done, _ int) {
		if done == 2 {
			cancel()
		}
	})
	if err == nil {
		t.Error("a run that was cut off ends well")
	}
	half, err := ReadResults(filepath.Join(dir, "b"))
	if err != nil || len(half) == 0 || len(half) == len(whole) {
		t.Fatalf("%d lines, %v", len(half), err)
	}
	torn, err := os.OpenFile(filepath.Join(dir, "b"), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := torn.WriteString(`{"policy":"ours","day":"spl`); err != nil {
		t.Fatal(err)
	}
	torn.Close()
	if half, err = ReadResults(filepath.Join(dir, "b")); err != nil {
		t.Fatal(err)
	}
	played := 0
	again, err := e.Run(t.Context(), filepath.Join(dir, "b"), 4, func(int, int) { played++ })
	if err != nil || played != len(whole)-len(half) {
		t.Fatalf("%d runs were played again, %v", played, err)
	}
	a, err := json.Marshal(whole)
	if err != nil {
		t.Fatal(err)
	}
	if b, err := json.Marshal(again); err != nil || !bytes.Equal(a, b) {
		t.Error("the results differ")
	}
}

// Odd days end as they should: nobody comes, one destination, one node, a deadline that is met to the instant.
func TestEdgeCaseDaysKeepTheRules(t *testing.T) {
	e := Experiment{}
	for name, spoil := range map[string]func(d *model.Day){
		"nobody":          func(d *model.Day) { d.Length = 0 },
		"one destination": func(d *model.Day) { d.Dests = d.Dests[:1] },
		"no room":         func(d *model.Day) { d.Dests[0].Limit = 0.01 },
		"at the deadline": func(d *model.Day) { d.Settings.Classes[0].Deadline, d.Settings.Classes[0].Aim = 0, 0 },
	} {
		d, err := model.Draw("calm", 3, 1)
		if err != nil {
			t.Fatal(err)
		}
		spoil(&d)
		if r := runDay(t, d); r.ViolationCount > 0 {
			t.Errorf("%s: %+v", name, r.Violations[0])
		}
	}
	if l := e.RunJob(t.Context(), Job{"ours", "nosuch", 3, 1}, nil); l.Error == "" {
		t.Error("a day of no kind is played")
	}
	if l := e.RunJob(t.Context(), Job{"nobody", "calm", 3, 1}, nil); !strings.Contains(l.Error, "no policy") {
		t.Error(l.Error)
	}
}

// A policy that panics ends its run with what it takes to play it again.
func TestPolicyPanicReportsSeedAndEvent(t *testing.T) {
	d, err := model.Draw("calm", 3, 9)
	if err != nil {
		t.Fatal(err)
	}
	err = model.New(d, newPanickingPolicy, model.Observers{}).Run(t.Context())
	if err == nil || !strings.Contains(err.Error(), "seed 9, event") || !strings.Contains(err.Error(), "on purpose") {
		t.Error(err)
	}
}

func TestSummariesComparisonAndReport(t *testing.T) {
	lines := []RunResult{}
	for seed := range uint64(9) {
		for _, p := range []string{"a", "b"} {
			l := RunResult{Job: Job{p, "calm", 3, seed}, Result: runDay(t, model.Day{Settings: minimalSettings})}
			l.Result.Served = 0.5 + float64(seed)/100
			if p == "b" {
				l.Result.Served += 0.1
			}
			lines = append(lines, l)
		}
	}
	all := Summarize(lines)
	if len(all) != 2 || math.Abs(all[1].Difference-0.1) > 1e-9 || math.Abs(all[0].Median-0.54) > 0.011 || all[1].IntervalLow > 0.1+1e-9 || all[1].IntervalHigh < 0.1-1e-9 {
		t.Errorf("%+v", all)
	}
	slices.Reverse(lines)
	var b strings.Builder
	if err := WriteComparison(&b, lines, lines); err != nil || !strings.Contains(b.String(), "+0.0000") {
		t.Error(err, b.String())
	}
	b.Reset()
	e := Experiment{Name: "x", Policies: []string{"a", "b"}, Days: []string{"calm"}, Nodes: []int{3}}
	if err := WriteReport(&b, e, lines, all); err != nil || strings.Count(b.String(), "<svg") != 3 || strings.Contains(b.String(), "http://127") {
		t.Error(err)
	}
}
