package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	bootstrapResamples = 2000
	confidenceLevel    = 0.95
)

// Summary summarizes the results of a policy on a day with a number of nodes, over all seeds.
type Summary struct {
	Policy, Day                          string
	Nodes, Runs                          int     // Runs counts the runs with a result
	Broken                               int     // runs that failed or broke a rule
	Median, LowerQuartile, UpperQuartile float64 // of the worth served
	Score                                float64 // median
	Difference                           float64 // median difference in worth served from the first policy, by seed
	IntervalLow, IntervalHigh            float64 // bootstrap confidence interval of Difference
	InTime, Refused                      float64 // medians of the shares of offered messages
	OverLimit                            float64 // median number of calls refused over a limit, per offered message
	PeerCost                             float64 // median cost of the datagrams between nodes, per offered message
}

// Summarize returns a summary for each policy, day and node count, in the order in which they first occur in the
// results. Summaries of the same day and node count are adjacent.
func Summarize(results []RunResult) []Summary {
	type group struct {
		policy, day string
		nodes       int
	}
	var order []group
	bySeed := map[group]map[uint64]RunResult{}
	for _, result := range results {
		g := group{result.Policy, result.Day, result.Nodes}
		if bySeed[g] == nil {
			bySeed[g] = map[uint64]RunResult{}
			order = append(order, g)
		}
		bySeed[g][result.Seed] = result
	}
	slices.SortStableFunc(order, func(a, b group) int {
		switch {
		case a.day != b.day || a.nodes != b.nodes:
			return slices.IndexFunc(order, func(g group) bool { return g.day == a.day && g.nodes == a.nodes }) -
				slices.IndexFunc(order, func(g group) bool { return g.day == b.day && g.nodes == b.nodes })
		}
		return 0
	})
	var out []Summary
	for _, g := range order {
		s := Summary{Policy: g.policy, Day: g.day, Nodes: g.nodes}
		var served, score, diff, inTime, refused, over, peer []float64
		base := bySeed[group{results[0].Policy, g.day, g.nodes}]
		for _, result := range bySeed[g] {
			if result.Result == nil {
				s.Broken++
				continue
			}
			r, n := result.Result, float64(max(result.Result.Offered, 1))
			s.Runs++
			if r.ViolationCount > 0 {
				s.Broken++
			}
			served, score = append(served, r.Served), append(score, r.Score)
			inTime, refused, over = append(inTime, float64(r.InTime)/n), append(refused, float64(r.Refused)/n), append(over, float64(r.OverLimit)/n)
			peer = append(peer, 0.01*float64(r.PeerBytes)/256/n)
			if b, ok := base[result.Seed]; ok && b.Result != nil {
				diff = append(diff, r.Served-b.Result.Served)
			}
		}
		s.Median, s.LowerQuartile, s.UpperQuartile = quantile(served, 0.5), quantile(served, 0.25), quantile(served, 0.75)
		s.Score, s.InTime, s.Refused, s.OverLimit, s.PeerCost = quantile(score, 0.5), quantile(inTime, 0.5), quantile(refused, 0.5), quantile(over, 0.5), quantile(peer, 0.5)
		s.Difference = quantile(diff, 0.5)
		s.IntervalLow, s.IntervalHigh = bootstrapInterval(diff)
		out = append(out, s)
	}
	return out
}

// quantile returns the p-quantile of the values with linear interpolation, or 0 if there are none.
func quantile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	values = slices.Sorted(slices.Values(values))
	return stat.Quantile(p, stat.LinInterp, values, nil)
}

// bootstrapInterval returns a bootstrap confidence interval of the median. The seed is fixed, so the same values always
// give the same interval.
func bootstrapInterval(values []float64) (low, high float64) {
	if len(values) == 0 {
		return 0, 0
	}
	values = slices.Sorted(slices.Values(values)) // makes the interval independent of the order of the runs
	r := rand.New(rand.NewPCG(1, uint64(len(values))))
	medians, resample := make([]float64, bootstrapResamples), make([]float64, len(values))
	for i := range medians {
		for k := range resample {
			resample[k] = values[r.IntN(len(values))]
		}
		medians[i] = quantile(resample, 0.5)
	}
	return quantile(medians, (1-confidenceLevel)/2), quantile(medians, (1+confidenceLevel)/2)
}

// WriteTable writes the summaries as a text table.
func WriteTable(w io.Writer, summaries []Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "day\tnodes\tpolicy\truns\tserved\tquartiles\tdifference\t95%\tscore\tin time\trefused\tover limit\tnotes\tbroken\t")
	for _, s := range summaries {
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%.3f\t%.3f-%.3f\t%+.3f\t%+.3f..%+.3f\t%.3f\t%.2f\t%.2f\t%.3f\t%.4f\t%d\t\n",
			s.Day, s.Nodes, s.Policy, s.Runs, s.Median, s.LowerQuartile, s.UpperQuartile, s.Difference, s.IntervalLow, s.IntervalHigh, s.Score, s.InTime, s.Refused, s.OverLimit, s.PeerCost, s.Broken)
	}
	return t.Flush()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func parseLength(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > 2*time.Hour {
		return 0, fmt.Errorf("length %q: must be a positive duration up to 2h", text)
	}
	return d, nil
}
