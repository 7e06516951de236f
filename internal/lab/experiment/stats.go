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

// Summary is what a policy reached on a day and number of nodes, over its seeds.
type Summary struct {
	Policy, Day                          string
	Nodes, Runs                          int
	Broken                               int
	Median, LowerQuartile, UpperQuartile float64 // of the worth served; the quartiles
	Score                                float64 // median
	Difference                           float64 // median of the paired differences in worth served from the first policy,
	IntervalLow, IntervalHigh            float64 // and its interval
	InTime, Refused                      float64 // medians of shares of first tries
	OverLimit                            float64 // median of calls refused over a limit, by first try
	PeerCost                             float64 // median of what datagrams cost
}

// Summarize makes a summary for each policy, day and size, in the order of the lines.
func Summarize(lines []RunResult) []Summary {
	type group struct {
		policy, day string
		nodes       int
	}
	var order []group
	by := map[group]map[uint64]RunResult{}
	for _, l := range lines {
		g := group{l.Policy, l.Day, l.Nodes}
		if by[g] == nil {
			by[g] = map[uint64]RunResult{}
			order = append(order, g)
		}
		by[g][l.Seed] = l
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
		base := by[group{lines[0].Policy, g.day, g.nodes}]
		for _, l := range by[g] {
			if l.Result == nil {
				s.Broken++
				continue
			}
			r, n := l.Result, float64(max(l.Result.Offered, 1))
			s.Runs++
			if r.ViolationCount > 0 {
				s.Broken++
			}
			served, score = append(served, r.Served), append(score, r.Score)
			inTime, refused, over = append(inTime, float64(r.InTime)/n), append(refused, float64(r.Refused)/n), append(over, float64(r.OverLimit)/n)
			peer = append(peer, 0.01*float64(r.PeerBytes)/256/n)
			if b, ok := base[l.Seed]; ok && b.Result != nil {
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

func quantile(x []float64, p float64) float64 {
	if len(x) == 0 {
		return 0
	}
	x = slices.Sorted(slices.Values(x))
	return stat.Quantile(p, stat.LinInterp, x, nil)
}

// interval is a bootstrap interval of the median, the same each time for the same values.
func bootstrapInterval(x []float64) (from, to float64) {
	if len(x) == 0 {
		return 0, 0
	}
	x = slices.Sorted(slices.Values(x)) // whatever order the runs came in
	r := rand.New(rand.NewPCG(1, uint64(len(x))))
	medians, again := make([]float64, bootstrapResamples), make([]float64, len(x))
	for i := range medians {
		for k := range again {
			again[k] = x[r.IntN(len(x))]
		}
		medians[i] = quantile(again, 0.5)
	}
	return quantile(medians, (1-confidenceLevel)/2), quantile(medians, (1+confidenceLevel)/2)
}

// Table writes summaries for people.
func WriteTable(w io.Writer, all []Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "day\tnodes\tpolicy\truns\tserved\tquartiles\tdifference\t95%\tscore\tin time\trefused\tover limit\tnotes\tbroken\t")
	for _, s := range all {
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%.3f\t%.3f-%.3f\t%+.3f\t%+.3f..%+.3f\t%.3f\t%.2f\t%.2f\t%.3f\t%.4f\t%d\t\n",
			s.Day, s.Nodes, s.Policy, s.Runs, s.Median, s.LowerQuartile, s.UpperQuartile, s.Difference, s.IntervalLow, s.IntervalHigh, s.Score, s.InTime, s.Refused, s.OverLimit, s.PeerCost, s.Broken)
	}
	return t.Flush()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func parseLength(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > 2*time.Hour {
		return 0, fmt.Errorf("length %q: a time up to 2h", text)
	}
	return d, nil
}
