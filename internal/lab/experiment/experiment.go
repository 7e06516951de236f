// Package experiment plays variants on days with seeds, in parallel, and says what came of it: medians, spread, and
// differences paired by day and seed.
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

// Experiment is what a file asks for.
type Experiment struct {
	Name     string   `toml:"name"`
	Policies []string `toml:"policies"` // see policy.Named; the first is what the others are held against
	Days     []string `toml:"days"`     // kinds, as model.Draw knows them
	Nodes    []int    `toml:"nodes"`
	Seeds    []uint64 `toml:"seeds"`
	Length   string   `toml:"length"` // of arrivals, as "24s"; the kind's own if empty
	Faults   []struct {
		Kind  string  `toml:"kind"`
		At    float64 `toml:"at"`  // seconds
		For   float64 `toml:"for"` // seconds
		Dests []int   `toml:"destinations"`
		Nodes []int   `toml:"nodes"`
		Zone  *int    `toml:"zone"`
		Size  float64 `toml:"size"`
	} `toml:"trouble"` // on top of what the kind draws
}

// maxRuns bounds an experiment.
const maxRuns = 20_000

// Load reads an experiment. Unknown keys are faults.
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

// Check tells what is wrong with it, and fills in what was left out.
func (e *Experiment) Check() error {
	if len(e.Nodes) == 0 {
		e.Nodes = []int{60}
	}
	if len(e.Seeds) == 0 {
		e.Seeds = []uint64{1, 2, 3}
	}
	if len(e.Policies) == 0 || len(e.Days) == 0 {
		return errors.New("experiment: policies and days are needed")
	}
	if n := len(e.Jobs()); n > maxRuns {
		return fmt.Errorf("experiment: %d runs, and at most %d", n, maxRuns)
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

// Job is one run.
type Job struct {
	Policy string `json:"policy"`
	Day    string `json:"day"`
	Nodes  int    `json:"nodes"`
	Seed   uint64 `json:"seed"`
}

// Line is a run and what came of it, a line of a file of results.
type RunResult struct {
	Job
	Result *judge.Result `json:"result,omitempty"`
	Error  string        `json:"failed,omitempty"` // the policy's failure, with what it takes to play it again
}

// Jobs are all runs, in their order.
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

func (e *Experiment) buildDay(j Job) (model.Day, error) {
	d, err := model.Draw(j.Day, j.Nodes, j.Seed)
	if err != nil {
		return d, err
	}
	if e.Length != "" {
		if d.Length, err = parseLength(e.Length); err != nil {
			return d, err
		}
	}
	for _, t := range e.Faults {
		for _, i := range t.Dests {
			if i < 0 || i >= len(d.Dests) {
				return d, fmt.Errorf("trouble %s: no destination %d on day %s with seed %d", t.Kind, i, j.Day, j.Seed)
			}
		}
		for _, i := range t.Nodes {
			if i < 0 || i >= len(d.Nodes) {
				return d, fmt.Errorf("trouble %s: no node %d", t.Kind, i)
			}
		}
		one := model.Fault{Kind: t.Kind, At: seconds(t.At), Duration: seconds(t.For), Dests: t.Dests, Nodes: t.Nodes, Zone: -1, Size: t.Size}
		if t.Zone != nil {
			one.Zone = *t.Zone
		}
		d.Faults = append(d.Faults, one)
	}
	return d, nil
}

// Play plays one run. watch, if it is not nil, hears of everything.
func (e *Experiment) RunJob(ctx context.Context, j Job, watch model.Observer) RunResult {
	line := RunResult{Job: j}
	day, err := e.buildDay(j)
	if err != nil {
		line.Error = err.Error()
		return line
	}
	maker, err := policy.Named(j.Policy)
	if err != nil {
		line.Error = err.Error()
		return line
	}
	ledger := judge.New(&day)
	var obs model.Observer = ledger
	if watch != nil {
		obs = model.Observers{ledger, watch}
	}
	if err := model.New(day, maker, obs).Run(ctx); err != nil {
		line.Error = err.Error()
		return line
	}
	line.Result = ledger.Result()
	return line
}

// Run plays what the file of results at path lacks, on so many threads (0 for all cores), and returns all lines in the
// order of Jobs. Lines are written as they come, so that a run that was cut off goes on where it was.
func (e *Experiment) Run(ctx context.Context, path string, threads int, progress func(done, all int)) ([]RunResult, error) {
	had, err := ReadResults(path)
	if err != nil {
		return nil, err
	}
	done := map[Job]RunResult{}
	for _, l := range had {
		done[l.Job] = l
	}
	jobs := e.Jobs()
	var todo []Job
	for _, j := range jobs {
		if _, ok := done[j]; !ok {
			todo = append(todo, j)
		}
	}
	out, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	defer out.Close()
	if threads <= 0 {
		threads = runtime.NumCPU()
	}
	work, lines := make(chan Job), make(chan RunResult)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var players sync.WaitGroup
	for range min(threads, max(len(todo), 1)) {
		players.Go(func() {
			for j := range work {
				lines <- e.RunJob(ctx, j, nil)
			}
		})
	}
	go func() { // ends with the jobs or the context
		defer close(lines)
		defer players.Wait()
		defer close(work)
		for _, j := range todo {
			select {
			case work <- j:
			case <-ctx.Done():
				return
			}
		}
	}()
	var fail error
	for l := range lines {
		if ctx.Err() != nil || fail != nil {
			continue // cut off in the middle: it is played again
		}
		done[l.Job] = l
		if fail = json.NewEncoder(out).Encode(l); fail != nil {
			cancel()
		}
		if progress != nil {
			progress(len(done), len(jobs))
		}
	}
	if err := errors.Join(fail, ctx.Err()); err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	all := make([]RunResult, 0, len(jobs))
	for _, j := range jobs {
		all = append(all, done[j])
	}
	return all, nil
}

// ReadLines reads a file of results; none is no lines. A last line that was cut off is left out.
func ReadResults(path string) ([]RunResult, error) {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	defer f.Close()
	var out []RunResult
	r := bufio.NewReader(f)
	for {
		text, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, fmt.Errorf("results: %w", err)
		}
		var l RunResult
		if err := json.Unmarshal(text, &l); err != nil {
			return nil, fmt.Errorf("results %s: line %d: %w", path, len(out)+1, err)
		}
		out = append(out, l)
	}
}

// Problems are the runs that failed or broke a rule.
func Problems(lines []RunResult) []string {
	var out []string
	for _, l := range lines {
		switch {
		case l.Error != "":
			out = append(out, fmt.Sprintf("%s on %s, %d nodes, seed %d: %s", l.Policy, l.Day, l.Nodes, l.Seed, l.Error))
		case l.Result.ViolationCount > 0:
			rules := map[string]int{}
			for _, v := range l.Result.Violations {
				rules[v.Rule]++
			}
			out = append(out, fmt.Sprintf("%s on %s, %d nodes, seed %d: %d rules broken, of those told %v", l.Policy, l.Day, l.Nodes, l.Seed, l.Result.ViolationCount, rules))
		}
	}
	slices.Sort(out)
	return out
}
