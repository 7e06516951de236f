package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"harrierramp/internal/lab/judge"
)

// figure is one plot of a report, as inline SVG.
type figure struct {
	Title string
	SVG   template.HTML
}

var reportTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}</title><style>
body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:1100px;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .6em;text-align:right;border-bottom:1px solid #ddd}
td:nth-child(-n+3),th:nth-child(-n+3){text-align:left}figure{display:inline-block;margin:.5em}figcaption{font-weight:600}
.bad{color:#b00}</style></head><body><h1>{{.Name}}</h1>
<p>{{.Runs}} runs. Differences are in worth served, paired by seed with {{.Base}}, with bootstrap intervals of 95%.</p>
<table><tr><th>day</th><th>nodes</th><th>policy</th><th>runs</th><th>served</th><th>quartiles</th><th>difference</th><th>interval</th><th>score</th><th>in time</th><th>refused</th><th>over limit</th><th>broken</th></tr>
{{range .Rows}}<tr><td>{{.Day}}</td><td>{{.Nodes}}</td><td>{{.Policy}}</td><td>{{.Runs}}</td><td>{{printf "%.3f" .Median}}</td><td>{{printf "%.3f to %.3f" .LowerQuartile .UpperQuartile}}</td><td>{{printf "%+.3f" .Difference}}</td><td>{{printf "%+.3f to %+.3f" .IntervalLow .IntervalHigh}}</td><td>{{printf "%.3f" .Score}}</td><td>{{printf "%.2f" .InTime}}</td><td>{{printf "%.2f" .Refused}}</td><td>{{printf "%.3f" .OverLimit}}</td><td{{if .Broken}} class="bad"{{end}}>{{.Broken}}</td></tr>
{{end}}</table>
{{range .Figures}}<figure><figcaption>{{.Title}}</figcaption>{{.SVG}}</figure>
{{end}}{{if .Problems}}<h2>Rules broken and runs that failed</h2><ul>{{range .Problems}}<li>{{.}}</li>{{end}}</ul>{{end}}
</body></html>
`))

// WriteReport writes a self-contained HTML page with the table of summaries, and plots over time for each day and node
// count.
func WriteReport(w io.Writer, e Experiment, results []RunResult, summaries []Summary) error {
	data := struct {
		Name, Base string
		Runs       int
		Rows       []Summary
		Figures    []figure
		Problems   []string
	}{Name: e.Name, Runs: len(results), Rows: summaries, Problems: Problems(results)}
	if len(results) > 0 {
		data.Base = results[0].Policy
	}
	if data.Name == "" {
		data.Name = "experiment"
	}
	for _, d := range e.Days {
		for _, n := range e.Nodes {
			for _, kind := range []struct {
				title string
				value func(judge.Window) float64
			}{
				{"worth served, by arrival time", func(w judge.Window) float64 { return ratio(w.Earned, w.Asked) }},
				{"share refused", func(w judge.Window) float64 { return ratio(float64(w.Refused), float64(w.Offered)) }},
				{"share of calls refused over a limit", func(w judge.Window) float64 { return ratio(float64(w.OverLimit), float64(w.Calls)) }},
			} {
				f, err := plotOverTime(fmt.Sprintf("%s, %d nodes: %s", d, n, kind.title), results, d, n, e.Policies, kind.value)
				if err != nil {
					return fmt.Errorf("report: %w", err)
				}
				data.Figures = append(data.Figures, f)
			}
		}
	}
	return reportTemplate.Execute(w, data)
}

// ratio returns a/b, or 0 if b is not positive.
func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}

// plotOverTime plots the median over the seeds of a value of each 5 s window, with one line per policy.
func plotOverTime(title string, results []RunResult, day string, nodes int, policies []string, value func(judge.Window) float64) (figure, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Min, p.Y.Max = "seconds", 0, 1
	p.Legend.Top = true
	for i, name := range policies {
		var points plotter.XYs
		for k := 0; ; k++ {
			var values []float64
			for _, result := range results {
				if result.Policy == name && result.Day == day && result.Nodes == nodes && result.Result != nil && k < len(result.Result.Windows) && result.Result.Windows[k].Offered > 0 {
					values = append(values, value(result.Result.Windows[k]))
				}
			}
			if len(values) == 0 {
				break
			}
			points = append(points, plotter.XY{X: float64(5 * k), Y: quantile(values, 0.5)})
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return figure{}, err
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	svg, err := RenderSVG(p, 12*vg.Centimeter, 8*vg.Centimeter)
	return figure{title, svg}, err
}

// RenderSVG renders a plot as inline SVG markup for an HTML page.
func RenderSVG(p *plot.Plot, width, height vg.Length) (template.HTML, error) {
	p.BackgroundColor = color.White
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	_, markup, ok := strings.Cut(b.String(), "<svg") // drops the XML prolog
	if !ok {
		return "", fmt.Errorf("plot rendered without an svg element")
	}
	return template.HTML("<svg" + markup), nil // generated here, not user input
}

// WriteRun writes the result of one run as text, with a row per 5 s window and the recorded rule violations.
func WriteRun(w io.Writer, result RunResult) error {
	r := result.Result
	fmt.Fprintf(w, "%s on %s, %d nodes, seed %d\n", result.Policy, result.Day, result.Nodes, result.Seed)
	fmt.Fprintf(w, "served %.3f, worst 10 s %.3f, worst class %.3f, prices %.4f, score %.3f\n", r.Served, r.WorstWindow, r.WorstClass, r.Costs, r.Score)
	fmt.Fprintf(w, "offered %d, delivered %d, in time %d, refused %d, failed %d, lost %d; runs beyond the first %d\n",
		r.Offered, r.Delivered, r.InTime, r.Refused, r.Failed, r.Lost, r.DuplicateRuns)
	fmt.Fprintf(w, "calls %d, over a limit %d, across zones %d, handshakes %d, datagrams %d of %d bytes, destinations that fell over %d\n",
		r.Calls, r.OverLimit, r.CrossZoneCalls, r.Handshakes, r.Datagrams, r.PeerBytes, r.Collapses)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "from\toffered\tin time\tlate\trefused\tfailed\tcalls\tover limit\tworth\t")
	for i, window := range r.Windows {
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", 5*i, window.Offered, window.InTime, window.Late, window.Refused, window.Failed, window.Calls, window.OverLimit, ratio(window.Earned, window.Asked))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, v := range r.Violations {
		fmt.Fprintf(w, "rule %s at %v, node %d, message %s: %s\n", v.Rule, v.At, v.Node, v.Msg, v.Text)
		for _, a := range v.Context {
			fmt.Fprintln(w, "   ", a)
		}
	}
	return nil
}

// WriteComparison writes a table of the changes in worth served between two sets of results, by policy, day and node
// count. Only runs that succeeded in both are compared.
func WriteComparison(w io.Writer, before, after []RunResult) error {
	previous := map[Job]RunResult{}
	for _, result := range before {
		previous[result.Job] = result
	}
	type group struct {
		policy, day string
		nodes       int
	}
	differences := map[group][]float64{}
	var order []group
	violations := 0
	for _, result := range after {
		b, ok := previous[result.Job]
		if !ok || b.Result == nil || result.Result == nil {
			continue
		}
		violations += result.Result.ViolationCount - b.Result.ViolationCount
		g := group{result.Policy, result.Day, result.Nodes}
		if differences[g] == nil {
			order = append(order, g)
		}
		differences[g] = append(differences[g], result.Result.Served-b.Result.Served)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "day\tnodes\tpolicy\tpairs\tserved\t95%\tleast\tmost\t")
	for _, g := range order {
		values := differences[g]
		from, to := bootstrapInterval(values)
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%+.4f\t%+.4f..%+.4f\t%+.4f\t%+.4f\t\n", g.day, g.nodes, g.policy, len(values), quantile(values, 0.5), from, to, slices.Min(values), slices.Max(values))
	}
	fmt.Fprintf(t, "rules broken: %+d\t\n", violations)
	return t.Flush()
}
