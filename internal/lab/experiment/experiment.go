// Package experiment runs variants of the delivery policy on simulated days with a set of seeds, in parallel, and
// reports the results: medians, spread, and differences paired by day and seed.
package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"sync"

	"github.com/pelletier/go-toml/v2"

	"harrierramp/internal/lab/judge"
	"harrierramp/internal/lab/model"
	"harrierramp/internal/lab/policy"
)

// Experiment describes the runs that an experiment file asks for: every combination of policy, day, node count and
// seed.
type Experiment struct {
	Name     string   `toml:"name"`
	Policies []string `toml:"policies"` // names known to policy.Named; the others are compared with the first
	Days     []string `toml:"days"`     // kinds of days known to model.Draw
	Nodes    []int    `toml:"nodes"`
	Seeds    []uint64 `toml:"seeds"`
	Length   string   `toml:"length"` // duration of arrivals, such as "24s"; empty for the default of the kind of day
	Faults   []struct {
		Kind  string  `toml:"kind"`
		At    float64 `toml:"at"`  // start, in seconds
		For   float64 `toml:"for"` // duration, in seconds
		Dests []int   `toml:"destinations"`
		Nodes []int   `toml:"nodes"`
		Zone  *int    `toml:"zone"`
		Size  float64 `toml:"size"`
	} `toml:"trouble"` // in addition to the faults drawn for the kind of day
}

// maxRuns is the largest number of runs in one experiment.
const maxRuns = 20_000

// Load reads an experiment file and checks it. Unknown keys are an error.
func Load(path string) (Experiment, error) {
	var e Experiment
	f, err := os.Open(path)
	if err != nil {
		return e, fmt.Errorf("experiment: %w", err)
	}
	defer f.Close()
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&e); err != nil {
		if strict, ok := errors.AsType[*toml.StrictMissingError](err); ok {
			return e, fmt.Errorf("experiment %s: %s", path, strict.String())
		}
		return e, fmt.Errorf("experiment %s: %w", path, err)
	}
	return e, e.Check()
}

// Check fills in the default nodes and seeds, and returns an error if the experiment is invalid.
func (e *Experiment) Check() error {
	if len(e.Nodes) == 0 {
		e.Nodes = []int{60}
	}
	if len(e.Seeds) == 0 {
		e.Seeds = []uint64{1, 2, 3}
	}
	if len(e.Policies) == 0 || len(e.Days) == 0 {
		return errors.New("experiment: at least one policy and one day are required")
	}
	if n := len(e.Jobs()); n > maxRuns {
		return fmt.Errorf("experiment: %d runs, at most %d are allowed", n, maxRuns)
	}
	for _, p := range e.Policies {
		if _, err := policy.Named(p); err != nil {
			return fmt.Errorf("experiment: %w", err)
		}
	}
	for _, d := range e.Days {
		for _, n := range e.Nodes {
			if _, err := e.buildDay(Job{Day: d, Nodes: n, Seed: e.Seeds[0]}); err != nil {
				return fmt.Errorf("experiment: %w", err)
			}
		}
	}
	return nil
}

// Job identifies one run.
type Job struct {
	Policy string `json:"policy"`
	Day    string `json:"day"`
	Nodes  int    `json:"nodes"`
	Seed   uint64 `json:"seed"`
}

// RunResult is a run and its outcome. A results file has one per line, encoded as JSON.
type RunResult struct {
	Job
	Result *judge.Result `json:"result,omitempty"`
	Error  string        `json:"failed,omitempty"` // why the run failed, with what is needed to reproduce it
}

// Jobs returns all runs of the experiment, in order.
func (e *Experiment) Jobs() (out []Job) {
	for _, d := range e.Days {
		for _, n := range e.Nodes {
			for _, s := range e.Seeds {
				for _, p := range e.Policies {
					out = append(out, Job{p, d, n, s})
				}
			}
		}
	}
	return out
}

// buildDay draws the day of a run and applies the length and the faults of the experiment to it.
func (e *Experiment) buildDay(j Job) (model.Day, error) {
	day, err := model.Draw(j.Day, j.Nodes, j.Seed)
	if err != nil {
		return day, err
	}
	if e.Length != "" {
		if day.Length, err = parseLength(e.Length); err != nil {
			return day, err
		}
	}
	for _, spec := range e.Faults {
		for _, i := range spec.Dests {
			if i < 0 || i >= len(day.Dests) {
				return day, fmt.Errorf("trouble %s: no destination %d on day %s with seed %d", spec.Kind, i, j.Day, j.Seed)
			}
		}
		for _, i := range spec.Nodes {
			if i < 0 || i >= len(day.Nodes) {
				return day, fmt.Errorf("trouble %s: no node %d", spec.Kind, i)
			}
		}
		fault := model.Fault{Kind: spec.Kind, At: seconds(spec.At), Duration: seconds(spec.For), Dests: spec.Dests, Nodes: spec.Nodes, Zone: -1, Size: spec.Size}
		if spec.Zone != nil {
			fault.Zone = *spec.Zone
		}
		day.Faults = append(day.Faults, fault)
	}
	return day, nil
}

// RunJob executes one run. The observer, if it is not nil, receives every event of the run.
func (e *Experiment) RunJob(ctx context.Context, j Job, observer model.Observer) RunResult {
	result := RunResult{Job: j}
	day, err := e.buildDay(j)
	if err != nil {
		result.Error = err.Error()
		return result
	}
	newPolicy, err := policy.Named(j.Policy)
	if err != nil {
		result.Error = err.Error()
		return result
	}
	ledger := judge.New(&day)
	var observers model.Observer = ledger
	if observer != nil {
		observers = model.Observers{ledger, observer}
	}
	if err := model.New(day, newPolicy, observers).Run(ctx); err != nil {
		result.Error = err.Error()
		return result
	}
	result.Result = ledger.Result()
	return result
}

// Run executes the runs that are missing from the results file at path, with the given number of threads (0 for one per
// core), and returns all results in the order of Jobs. Each result is appended to the file as soon as it is available,
// so that an interrupted experiment resumes where it stopped.
func (e *Experiment) Run(ctx context.Context, path string, threads int, progress func(done, all int)) ([]RunResult, error) {
	previous, err := ReadResults(path)
	if err != nil {
		return nil, err
	}
	done := map[Job]RunResult{}
	for _, result := range previous {
		done[result.Job] = result
	}
	jobs := e.Jobs()
	var pending []Job
	for _, j := range jobs {
		if _, ok := done[j]; !ok {
			pending = append(pending, j)
		}
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	defer file.Close()
	if threads <= 0 {
		threads = runtime.NumCPU()
	}
	work, results := make(chan Job), make(chan RunResult)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var workers sync.WaitGroup
	for range min(threads, max(len(pending), 1)) {
		workers.Go(func() {
			for j := range work {
				results <- e.RunJob(ctx, j, nil)
			}
		})
	}
	go func() { // ends when all jobs are handed out or ctx is done
		defer close(results)
		defer workers.Wait()
		defer close(work)
		for _, j := range pending {
			select {
			case work <- j:
			case <-ctx.Done():
				return
			}
		}
	}()
	var writeErr error
	for result := range results {
		if ctx.Err() != nil || writeErr != nil {
			continue // the run may have been interrupted, so it is not recorded and will be repeated
		}
		done[result.Job] = result
		if writeErr = json.NewEncoder(file).Encode(result); writeErr != nil {
			cancel()
		}
		if progress != nil {
			progress(len(done), len(jobs))
		}
	}
	if err := errors.Join(writeErr, ctx.Err()); err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	all := make([]RunResult, 0, len(jobs))
	for _, j := range jobs {
		all = append(all, done[j])
	}
	return all, nil
}

// ReadResults reads a results file. A missing file gives no results, and an incomplete last line is ignored.
func ReadResults(path string) ([]RunResult, error) {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	defer f.Close()
	var results []RunResult
	r := bufio.NewReader(f)
	for {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return results, nil
		}
		if err != nil {
			return nil, fmt.Errorf("results: %w", err)
		}
		var result RunResult
		if err := json.Unmarshal(line, &result); err != nil {
			return nil, fmt.Errorf("results %s: line %d: %w", path, len(results)+1, err)
		}
		results = append(results, result)
	}
}

// Problems returns a description of each run that failed or broke a rule, sorted.
func Problems(results []RunResult) []string {
	var out []string
	for _, result := range results {
		switch {
		case result.Error != "":
			out = append(out, fmt.Sprintf("%s on %s, %d nodes, seed %d: %s", result.Policy, result.Day, result.Nodes, result.Seed, result.Error))
		case result.Result.ViolationCount > 0:
			rules := map[string]int{}
			for _, v := range result.Result.Violations {
				rules[v.Rule]++
			}
			out = append(out, fmt.Sprintf("%s on %s, %d nodes, seed %d: %d rule violations, those recorded by rule: %v", result.Policy, result.Day, result.Nodes, result.Seed, result.Result.ViolationCount, rules))
		}
	}
	slices.Sort(out)
	return out
}
