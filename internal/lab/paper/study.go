package paper

import (
	"context"
	"fmt"
	"html/template"
	"io"
	"runtime"
	"sync"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"harrierramp/internal/lab/experiment"
)

// Study has the parameters for figures 3 to 15 of the paper. See Config for their meaning.
type Study struct {
	Sessions           int // per run; the paper uses a million
	MessagesPerSession int
	QueueLimit         int
	FeedbackInterval   float64
	Seed               uint64
	Threads            int // number of parallel runs; 0 for one per core
}

// DefaultStudy returns the values chosen for what the paper does not specify: sessions of three messages, queues of up
// to 400 messages, and servers that report their delays twice per service time.
func DefaultStudy() Study {
	return Study{Sessions: 100_000, MessagesPerSession: 3, QueueLimit: 400, FeedbackInterval: 0.5, Seed: 1}
}

// Series is one curve.
type Series struct {
	Name string
	Y    []float64
}

// Figure is a figure of the paper, with one or more curves over the same X values.
type Figure struct {
	Name, Title string
	X           []float64
	Series      []Series
}

// Loads returns the normalized offered loads of the figures, from 0.75 to 1.25.
func Loads() (out []float64) {
	for i := range 11 {
		out = append(out, 0.75+0.05*float64(i))
	}
	return out
}

// Run simulates the study and returns its figures in order.
func (s Study) Run(ctx context.Context) ([]Figure, error) {
	type scenario struct {
		size               int
		selection, control string
	}
	var scenarios []scenario
	for _, n := range []int{4, 8} {
		scenarios = append(scenarios, scenario{n, "uniform", "none"}, scenario{n, "round-robin", "none"}, scenario{n, "lrt", "none"})
		for _, c := range Controls {
			scenarios = append(scenarios, scenario{n, "lrt", c})
		}
	}
	loads := Loads()
	results := map[scenario][]Result{}
	for _, c := range scenarios {
		results[c] = make([]Result, len(loads))
	}
	type task struct {
		c  scenario
		at int
	}
	work := make(chan task)
	var workers sync.WaitGroup
	threads := s.Threads
	if threads <= 0 {
		threads = runtime.NumCPU()
	}
	for range threads {
		workers.Go(func() {
			for t := range work {
				results[t.c][t.at] = Run(Config{
					Proxies: t.c.size, Servers: t.c.size, Load: loads[t.at], Selection: t.c.selection, Control: t.c.control,
					Sessions: s.Sessions, MessagesPerSession: s.MessagesPerSession, QueueLimit: s.QueueLimit, FeedbackInterval: s.FeedbackInterval, Seed: s.Seed,
				})
			}
		})
	}
	for _, c := range scenarios {
		for i := range loads {
			select {
			case work <- task{c, i}:
			case <-ctx.Done():
			}
		}
	}
	close(work)
	workers.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	base := func(n int) []Result { return results[scenario{n, "uniform", "none"}] }
	curve := func(c scenario, metricOf func(r, base Result) float64) []float64 {
		y := make([]float64, len(loads))
		for i, r := range results[c] {
			y[i] = metricOf(r, base(c.size)[i])
		}
		return y
	}
	gain := func(r, b Result) float64 { return b.Mean / max(r.Mean, 1e-9) }
	gain95 := func(r, b Result) float64 { return b.P95 / max(r.P95, 1e-9) }
	rejected := func(r, _ Result) float64 { return r.Rejected }
	metric := func(a float64) func(r, b Result) float64 {
		return func(r, b Result) float64 { return gain(r, b) + a*(1-r.Rejected) }
	}
	figure := func(number int, title string, size int, controls bool, metricOf func(r, b Result) float64) Figure {
		f := Figure{Name: fmt.Sprintf("Fig. %d", number), Title: fmt.Sprintf("%s (%d×%d)", title, size, size), X: loads}
		if !controls {
			for _, sel := range []string{"round-robin", "lrt"} {
				f.Series = append(f.Series, Series{sel, curve(scenario{size, sel, "none"}, metricOf)})
			}
			if number == 5 {
				f.Series = append(f.Series, Series{"uniform", curve(scenario{size, "uniform", "none"}, metricOf)})
			}
			return f
		}
		for _, c := range Controls {
			f.Series = append(f.Series, Series{c, curve(scenario{size, "lrt", c}, metricOf)})
		}
		return f
	}
	return []Figure{
		s.responseRatioOverTime(),
		figure(4, "delay ratio gain of selections", 4, false, gain), figure(5, "rejection probability of selections", 4, false, rejected),
		figure(6, "delay ratio gain of controls", 4, true, gain), figure(7, "rejection probability of controls", 4, true, rejected),
		figure(8, "M(0.5) of controls", 4, true, metric(0.5)), figure(9, "M(2) of controls", 4, true, metric(2)),
		figure(10, "delay ratio gain of controls", 8, true, gain), figure(11, "rejection probability of controls", 8, true, rejected),
		figure(12, "M(5) of controls", 8, true, metric(5)), figure(13, "M(20) of controls", 8, true, metric(20)),
		figure(14, "95th percentile gain of controls", 4, true, gain95), figure(15, "95th percentile gain of controls", 8, true, gain95),
	}, nil
}

// responseRatioOverTime returns figure 3: the response ratio of one proxy over time under overload.
func (s Study) responseRatioOverTime() Figure {
	f := Figure{Name: "Fig. 3", Title: "response ratio over time, load 1.25 (4×4)"}
	const steps, until = 60, 600.0
	for i := range steps {
		f.X = append(f.X, until*float64(i)/steps)
	}
	for _, c := range []string{"cs30", "lc30", "occ30", "bbc20-40"} {
		y := make([]float64, steps)
		Run(Config{
			Proxies: 4, Servers: 4, Load: 1.25, Selection: "lrt", Control: c, Sessions: 3000, MessagesPerSession: s.MessagesPerSession, QueueLimit: s.QueueLimit,
			FeedbackInterval: s.FeedbackInterval, Seed: s.Seed, Trace: func(at, ratio float64) {
				if i := int(at / until * steps); i < steps {
					y[i] = ratio
				}
			},
		})
		f.Series = append(f.Series, Series{c, y})
	}
	return f
}

// WriteTable writes the figures as text tables.
func WriteTable(w io.Writer, figures []Figure) error {
	for _, f := range figures {
		fmt.Fprintf(w, "\n%s: %s\n", f.Name, f.Title)
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		for i := range f.X {
			if f.Name == "Fig. 3" && i%6 != 0 {
				continue
			}
			fmt.Fprintf(t, "%.2f\t", f.X[i])
			for _, s := range f.Series {
				fmt.Fprintf(t, "%.3f\t", s.Y[i])
			}
			fmt.Fprintln(t)
		}
		fmt.Fprint(t, "\t")
		for _, s := range f.Series {
			fmt.Fprintf(t, "%s\t", s.Name)
		}
		fmt.Fprintln(t)
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}

var reportTemplate = template.Must(template.New("paper").Parse(`<!doctype html><html lang="en"><head><meta charset="utf-8"><title>The paper's study</title>
<style>body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:1100px}figure{display:inline-block;margin:.5em}</style></head>
<body><h1>The paper's study</h1>{{range .}}<figure><figcaption>{{.Title}}</figcaption>{{.SVG}}</figure>{{end}}</body></html>
`))

// WriteReport writes the figures as a self-contained HTML page.
func WriteReport(w io.Writer, figures []Figure) error {
	type renderedFigure struct {
		Title string
		SVG   template.HTML
	}
	var rendered []renderedFigure
	for _, f := range figures {
		p := plot.New()
		p.Legend.Top = true
		p.X.Label.Text = "normalized offered load"
		if f.Name == "Fig. 3" {
			p.X.Label.Text = "time in service times"
		}
		for i, s := range f.Series {
			points := make(plotter.XYs, len(f.X))
			for k := range f.X {
				points[k] = plotter.XY{X: f.X[k], Y: s.Y[k]}
			}
			line, err := plotter.NewLine(points)
			if err != nil {
				return fmt.Errorf("%s: %w", f.Name, err)
			}
			line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
			p.Add(line)
			p.Legend.Add(s.Name, line)
		}
		svg, err := experiment.RenderSVG(p, 13*vg.Centimeter, 9*vg.Centimeter)
		if err != nil {
			return fmt.Errorf("%s: %w", f.Name, err)
		}
		rendered = append(rendered, renderedFigure{f.Name + ": " + f.Title, svg})
	}
	return reportTemplate.Execute(w, rendered)
}
