package losses

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Print writes a report for people: points are hundredths of the worth that was asked for.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	kinds := slices.Sorted(maps.Keys(r.ByKind))
	fmt.Fprint(t, "lost points\tall\t")
	for _, p := range phaseNames {
		fmt.Fprintf(t, "%s\t", p)
	}
	for _, k := range kinds {
		fmt.Fprintf(t, "kind %d\t", k)
	}
	fmt.Fprintln(t)
	for c := range causeCount {
		name := c.String()
		if r.Lost[name] == 0 {
			continue
		}
		fmt.Fprintf(t, "%s\t%.2f\t", name, 100*r.Lost[name])
		for _, p := range phaseNames {
			fmt.Fprintf(t, "%.2f\t", 100*r.ByPhase[p][name])
		}
		for _, k := range kinds {
			fmt.Fprintf(t, "%.2f\t", 100*r.ByKind[k][name])
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "served %.4f\n", r.Served)
	for _, name := range slices.Sorted(maps.Keys(r.Fairness)) {
		fmt.Fprintf(w, "%s %.3f\n", name, r.Fairness[name])
	}
	return nil
}
