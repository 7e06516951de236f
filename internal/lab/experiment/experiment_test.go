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

var record = flag.Bool("record", false, "rewrite the baseline of the regression test")

const (
	baselinePath = "../../../lab/ci-baseline.json"
	tolerance    = 0.015 // allowed deviation of the worth served, per kind of day, median of three seeds
)

// The project's own sender keeps every rule on every kind of day, and the worth that it serves stays within the
// tolerance of the recorded baseline. A change that is meant to move the worth records a new baseline with -record and
// says so in its commit.
func TestRegression(t *testing.T) {
	e, err := Load("../../../lab/ci.toml")
	if err != nil {
		t.Fatal(err)
	}
	results, err := e.Run(t.Context(), filepath.Join(t.TempDir(), "ci.jsonl"), 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range Problems(results) {
		t.Error(p)
	}
	got, want := map[string]float64{}, map[string]float64{}
	for _, s := range Summarize(results) {
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
			t.Errorf("%s: served %.4f, the baseline is %.4f", day, got[day], want[day])
		}
	}
}

// An experiment that was interrupted, with a truncated last line in its results file, resumes with the missing runs
// only, and gives the same results in the same order as an uninterrupted one, whatever the number of threads.
func TestInterruptedRunResumesWithTheSameResults(t *testing.T) {
	e := Experiment{Policies: []string{"ours", "lrt"}, Days: []string{"split"}, Nodes: []int{5}, Seeds: []uint64{1, 2, 3}}
	dir := t.TempDir()
	uninterrupted, err := e.Run(t.Context(), filepath.Join(dir, "a"), 1, nil)
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
		t.Error("an interrupted run returned no error")
	}
	partial, err := ReadResults(filepath.Join(dir, "b"))
	if err != nil || len(partial) == 0 || len(partial) == len(uninterrupted) {
		t.Fatalf("%d results of the interrupted run, error %v", len(partial), err)
	}
	truncated, err := os.OpenFile(filepath.Join(dir, "b"), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := truncated.WriteString(`{"policy":"ours","day":"spl`); err != nil {
		t.Fatal(err)
	}
	truncated.Close()
	if partial, err = ReadResults(filepath.Join(dir, "b")); err != nil {
		t.Fatal(err)
	}
	rerun := 0
	resumed, err := e.Run(t.Context(), filepath.Join(dir, "b"), 4, func(int, int) { rerun++ })
	if err != nil || rerun != len(uninterrupted)-len(partial) {
		t.Fatalf("%d runs were executed on resuming, error %v", rerun, err)
	}
	a, err := json.Marshal(uninterrupted)
	if err != nil {
		t.Fatal(err)
	}
	if b, err := json.Marshal(resumed); err != nil || !bytes.Equal(a, b) {
		t.Error("the results of the resumed run differ from those of the uninterrupted one")
	}
}

// Edge cases break no rule: a day without messages, with one destination, with almost no capacity, and with a deadline
// of zero. An unknown kind of day or an unknown policy fails the run.
func TestEdgeCaseDaysKeepTheRules(t *testing.T) {
	e := Experiment{}
	for name, change := range map[string]func(d *model.Day){
		"nobody":          func(d *model.Day) { d.Length = 0 },
		"one destination": func(d *model.Day) { d.Dests = d.Dests[:1] },
		"no room":         func(d *model.Day) { d.Dests[0].Limit = 0.01 },
		"at the deadline": func(d *model.Day) { d.Settings.Classes[0].Deadline, d.Settings.Classes[0].Aim = 0, 0 },
	} {
		d, err := model.Draw("calm", 3, 1)
		if err != nil {
			t.Fatal(err)
		}
		change(&d)
		if r := runDay(t, d); r.ViolationCount > 0 {
			t.Errorf("%s: %+v", name, r.Violations[0])
		}
	}
	if l := e.RunJob(t.Context(), Job{"ours", "nosuch", 3, 1}, nil); l.Error == "" {
		t.Error("a day of an unknown kind did not fail")
	}
	if l := e.RunJob(t.Context(), Job{"nobody", "calm", 3, 1}, nil); !strings.Contains(l.Error, "no policy") {
		t.Error(l.Error)
	}
}

// A policy that panics ends its run with an error that has the seed and the number of the event, which are needed to
// reproduce it.
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

// Summaries pair the differences by seed, a comparison of results with themselves shows none, and the report page has
// its three plots and no external references.
func TestSummariesComparisonAndReport(t *testing.T) {
	results := []RunResult{}
	for seed := range uint64(9) {
		for _, p := range []string{"a", "b"} {
			result := RunResult{Job: Job{p, "calm", 3, seed}, Result: runDay(t, model.Day{Settings: minimalSettings})}
			result.Result.Served = 0.5 + float64(seed)/100
			if p == "b" {
				result.Result.Served += 0.1
			}
			results = append(results, result)
		}
	}
	summaries := Summarize(results)
	if len(summaries) != 2 || math.Abs(summaries[1].Difference-0.1) > 1e-9 || math.Abs(summaries[0].Median-0.54) > 0.011 || summaries[1].IntervalLow > 0.1+1e-9 || summaries[1].IntervalHigh < 0.1-1e-9 {
		t.Errorf("%+v", summaries)
	}
	slices.Reverse(results)
	var b strings.Builder
	if err := WriteComparison(&b, results, results); err != nil || !strings.Contains(b.String(), "+0.0000") {
		t.Error(err, b.String())
	}
	b.Reset()
	e := Experiment{Name: "x", Policies: []string{"a", "b"}, Days: []string{"calm"}, Nodes: []int{3}}
	if err := WriteReport(&b, e, results, summaries); err != nil || strings.Count(b.String(), "<svg") != 3 || strings.Contains(b.String(), "http://127") {
		t.Error(err)
	}
}
