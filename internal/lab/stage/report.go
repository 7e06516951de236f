package stage

import (
	"fmt"
	"html/template"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/HdrHistogram/hdrhistogram-go"

	"harrierramp/internal/auditlog"
	"harrierramp/internal/lab/experiment"
	"harrierramp/internal/lab/judge"
)

// Mark is an action or fault of the run, with its time.
type Mark struct {
	At   time.Duration `json:"at"`
	Text string        `json:"text"`
}

// Report is the result of a run.
type Report struct {
	Name      string             `json:"name"`
	Seed      uint64             `json:"seed"`
	Nodes     int                `json:"nodes"`
	Figures   map[string]float64 `json:"figures"` // by name; times are in seconds, memory in MiB
	Broken    []string           `json:"broken"`  // violations of rules, at most 40
	Missed    []string           `json:"missed"`  // expectations of the script that were not met
	LateCalls []LateCalls        `json:"late"`
	Traces    []string           `json:"stories"` // traces of messages that ended badly, at most 10
	Marks     []Mark             `json:"marks"`
	Bins      []Bin              `json:"bins"` // each of binWidth
	Result    *judge.Result      `json:"result"`
	// Audit is the result of the nodes' audit logs, if they keep them. AuditDifferences are its differences from the
	// ledger.
	Audit            *auditlog.Report `json:"audit,omitempty"`
	AuditDifferences []string         `json:"audit_text,omitempty"`
}

// LateCalls counts the calls of a node to an endpoint after the endpoint's withdrawal and the drain timeout.
type LateCalls struct {
	Endpoint    string `json:"endpoint"`
	Node        int    `json:"node"`
	Incarnation uint32 `json:"life,omitempty"`     // of the node's process; 0 if calls carry no decision basis
	Revision    int64  `json:"revision,omitempty"` // of the list that the calls are based on; 0 as above
	Count       int    `json:"count"`
}

// addTrace adds a message's trace, up to 10 of them.
func (r *Report) addTrace(m *message) {
	if len(r.Traces) < 10 {
		r.Traces = append(r.Traces, m.id+": "+strings.Join(m.trace, "; "))
	}
}

// maxWindowSum returns the highest sum of a count over width consecutive bins.
func maxWindowSum(bins []Bin, width int, count func(Bin) int) float64 {
	highest, sum := 0, 0
	for i, b := range bins {
		if sum += count(b); i >= width {
			sum -= count(bins[i-width])
		}
		highest = max(highest, sum)
	}
	return float64(highest)
}

// durationStats collects durations, and yields their median, 99th percentile and maximum in seconds, and how many
// events never happened.
type durationStats struct {
	histogram *hdrhistogram.Histogram
	never     int
	max       time.Duration
}

func newDurationStats() *durationStats {
	return &durationStats{histogram: hdrhistogram.New(1, (2 * MaxLength).Microseconds(), 3)}
}

func (t *durationStats) add(d time.Duration) {
	if d < 0 {
		t.never++
		return
	}
	t.max = max(t.max, d)
	t.histogram.RecordValue(max(d.Microseconds(), 1)) // does not fail: a run is shorter than the histogram's bound
}

func (t *durationStats) writeFigures(figures map[string]float64, name string) {
	figures[name+"_never"] = float64(t.never)
	if t.histogram.TotalCount() == 0 {
		return
	}
	figures[name+"_median"] = float64(t.histogram.ValueAtQuantile(50)) / 1e6
	figures[name+"_p99"] = float64(t.histogram.ValueAtQuantile(99)) / 1e6
	figures[name+"_last"] = t.max.Seconds()
}

// report computes the report from what the ledger has recorded.
func (l *ledger) report(marks []Mark) *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Report{Name: l.script.Name, Seed: l.script.Seed, Nodes: l.script.Nodes, Figures: map[string]float64{}, Marks: marks, Bins: l.bins}
	f := r.Figures
	outcomes, delays, executedAt := map[string]int{}, newDurationStats(), []time.Duration{}
	repeats, submissions := 0, 0
	for _, m := range l.messages {
		outcome := m.outcome
		if !m.ended {
			outcome = "lost"
		}
		if outcomes[outcome]++; outcome == "lost" {
			r.addTrace(m)
		}
		submissions += m.submissions
		repeats += max(m.executions-1, 0)
		if m.executions > 0 {
			delays.add(m.firstExecutedAt - m.submittedAt)
			executedAt = append(executedAt, m.firstExecutedAt)
		}
	}
	for _, outcome := range []string{"delivered", "returned", "refused", "failed", "failed late", "unheard", "lost"} {
		f[figureName(outcome)] = float64(outcomes[outcome])
	}
	f["handed_in"], f["hand_ins"], f["repeated"] = float64(len(l.messages)), float64(submissions), float64(repeats)
	delays.writeFigures(f, "delivery")
	if slices.Sort(executedAt); len(executedAt) > 0 {
		f["first_delivery"] = executedAt[0].Seconds()
		f["deliveries_99"] = executedAt[(len(executedAt)*99)/100].Seconds()
	}
	ready, listed, called := newDurationStats(), newDurationStats(), newDurationStats()
	for _, n := range l.nodes {
		ready.add(n.ready)
		listed.add(n.listed)
		called.add(n.called)
	}
	ready.writeFigures(f, "ready")
	listed.writeFigures(f, "list")
	called.writeFigures(f, "call")
	var sum Bin
	for _, b := range l.bins {
		sum.ListRequests, sum.ListsServed, sum.ListRequestsDeferred, sum.ListBytes = sum.ListRequests+b.ListRequests, sum.ListsServed+b.ListsServed, sum.ListRequestsDeferred+b.ListRequestsDeferred, sum.ListBytes+b.ListBytes
		sum.Conns, sum.ConnsRejected, sum.Calls, sum.CallsRefused, sum.CallsExecuted = sum.Conns+b.Conns, sum.ConnsRejected+b.ConnsRejected, sum.Calls+b.Calls, sum.CallsRefused+b.CallsRefused, sum.CallsExecuted+b.CallsExecuted
		sum.Datagrams, sum.DatagramsLost, sum.Busy = sum.Datagrams+b.Datagrams, sum.DatagramsLost+b.DatagramsLost, sum.Busy+b.Busy
	}
	for name, count := range series {
		f[name] = float64(count(sum))
		f[name+"_in_1s"] = maxWindowSum(l.bins, 10, count)
		f[name+"_in_100ms"] = maxWindowSum(l.bins, 1, count)
	}
	f["refused_share"] = ratio(float64(sum.CallsRefused), float64(sum.Calls))
	overloads := 0
	for _, e := range l.endpoints {
		overloads += e.overloads
		f["open_early"], f["open_most"] = max(f["open_early"], float64(e.maxOpenAtStart)), max(f["open_most"], float64(e.maxOpenConns))
		f["open_last"] = max(f["open_last"], float64(e.maxOpenLastThird))
		f["cold_load"] = max(f["cold_load"], e.maxLoad)
		f["late_calls"] += float64(e.lateCalls)
		f["last_late_call"] = max(f["last_late_call"], e.lastLateCall.Seconds())
		for basis, n := range e.lateCallsByBasis {
			r.LateCalls = append(r.LateCalls, LateCalls{e.id, basis.node, basis.incarnation, basis.revision, n})
		}
	}
	sortLateCalls(r.LateCalls)
	f["fell"], f["strange"], f["crashes"] = float64(overloads), float64(l.unexpectedEvents), float64(l.crashes)
	f["unmarked"] = float64(l.unmarkedCalls)
	r.Result = l.judge.Result()
	r.Broken = slices.Clone(l.violations)
	for _, v := range r.Result.Violations {
		r.Broken = append(r.Broken, fmt.Sprintf("%9.3f s  %s: node %d, %s: %s", v.At.Seconds(), v.Rule, v.Node, v.Msg, v.Text))
		if m := l.bySubmissionID[v.Msg]; m != nil && m.outcome != "" {
			r.addTrace(m)
		}
	}
	f["broken"] = float64(l.violationCount + r.Result.ViolationCount)
	return r
}

var series = map[string]func(Bin) int{
	"asks": func(b Bin) int { return b.ListRequests }, "lists": func(b Bin) int { return b.ListsServed }, "told": func(b Bin) int { return b.ListRequestsDeferred },
	"conns": func(b Bin) int { return b.Conns }, "hung_up": func(b Bin) int { return b.ConnsRejected }, "calls": func(b Bin) int { return b.Calls },
	"calls_refused": func(b Bin) int { return b.CallsRefused }, "ran": func(b Bin) int { return b.CallsExecuted }, "busy": func(b Bin) int { return b.Busy },
	"list_bytes": func(b Bin) int { return b.ListBytes }, "datagrams": func(b Bin) int { return b.Datagrams }, "datagrams_lost": func(b Bin) int { return b.DatagramsLost },
}

func figureName(outcome string) string {
	if outcome == "failed late" {
		return "failed_late"
	}
	return outcome
}

func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}

// checkExpectations adds to Missed each expectation of the script that the figures do not meet.
func (r *Report) checkExpectations(s *Script) {
	check := func(bounds map[string]float64, upper bool) {
		for _, name := range slices.Sorted(maps.Keys(bounds)) {
			v, known := r.Figures[name]
			switch {
			case !known:
				r.Missed = append(r.Missed, fmt.Sprintf("%s is expected, but there is no such figure", name))
			case upper && v > bounds[name]:
				r.Missed = append(r.Missed, fmt.Sprintf("%s is %v, expected at most %v", name, roundToThousandths(v), bounds[name]))
			case !upper && v < bounds[name]:
				r.Missed = append(r.Missed, fmt.Sprintf("%s is %v, expected at least %v", name, roundToThousandths(v), bounds[name]))
			}
		}
	}
	check(s.Expect, true)
	check(s.ExpectLeast, false)
}

func roundToThousandths(v float64) float64 { return math.Round(v*1000) / 1000 }

// Failed returns whether a rule was broken or an expectation was not met.
func (r *Report) Failed() bool { return r.Figures["broken"] > 0 || len(r.Missed) > 0 }

// Print writes the figures, late calls, traces and failures as text.
func (r *Report) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s: %d nodes, seed %d\n", r.Name, r.Nodes, r.Seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	names := slices.Sorted(maps.Keys(r.Figures))
	const columns = 4
	rows := (len(names) + columns - 1) / columns
	for i := range rows {
		for k := range columns {
			if at := k*rows + i; at < len(names) {
				fmt.Fprintf(t, "%s\t%v\t", names[at], roundToThousandths(r.Figures[names[at]]))
			}
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, x := range r.LateCalls {
		fmt.Fprintf(w, "late: node %d made %d calls to %s after its withdrawal\n", x.Node, x.Count, x.Endpoint)
	}
	for _, x := range r.Traces {
		fmt.Fprintf(w, "story: %s\n", x)
	}
	for _, x := range r.AuditDifferences {
		fmt.Fprintf(w, "audit: %s\n", x)
	}
	for _, x := range r.Broken {
		fmt.Fprintf(w, "rule: %s\n", x)
	}
	for _, x := range r.Missed {
		fmt.Fprintf(w, "missed: %s\n", x)
	}
	return nil
}

var pageTemplate = template.Must(template.New("stage").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Report.Name}}</title><style>
body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:1100px;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0;columns:3}td{padding:.15em .8em;text-align:right;border-bottom:1px solid #ddd}
td:first-child{text-align:left}figure{margin:1em 0}figcaption{font-weight:600}.bad{color:#b00}</style></head><body>
<h1>{{.Report.Name}}</h1><p>{{.Report.Nodes}} nodes, seed {{.Report.Seed}}. Each dashed line is an action or fault.</p>
{{range .Report.Broken}}<p class="bad">Rule broken: {{.}}</p>{{end}}{{range .Report.Missed}}<p class="bad">{{.}}</p>{{end}}
{{range .Figures}}<figure><figcaption>{{.Title}}</figcaption>{{.SVG}}</figure>{{end}}
<h2>Actions and faults</h2><table>{{range .Report.Marks}}<tr><td>{{printf "%.1f s" .At.Seconds}}</td><td>{{.Text}}</td></tr>{{end}}</table>
<h2>Figures</h2><table>{{range $k, $v := .Report.Figures}}<tr><td>{{$k}}</td><td>{{printf "%.3f" $v}}</td></tr>{{end}}</table>
</body></html>
`))

// HTML writes one self-contained page: charts over time with the actions and faults marked, and the figures.
func (r *Report) HTML(w io.Writer) error {
	type figure struct {
		Title string
		SVG   template.HTML
	}
	data := struct {
		Report  *Report
		Figures []figure
	}{Report: r}
	for _, chart := range []struct {
		title string
		lines []string
	}{
		{"List service: requests, lists served, requests deferred, per 100 ms", []string{"asks", "lists", "told"}},
		{"Endpoints: connections, calls, refused calls, rejected connections, per 100 ms", []string{"conns", "calls", "calls_refused", "hung_up"}},
		{"Messages: executed, answered with -BUSY, per 100 ms", []string{"ran", "busy"}},
		{"Datagrams between nodes, and those lost, per 100 ms", []string{"datagrams", "datagrams_lost"}},
	} {
		svg, err := r.plotSeries(chart.lines)
		if err != nil {
			return fmt.Errorf("stage: %w", err)
		}
		data.Figures = append(data.Figures, figure{chart.title, svg})
	}
	return pageTemplate.Execute(w, data)
}

func (r *Report) plotSeries(names []string) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Min = "seconds", 0
	p.Legend.Top = true
	highest := 1.0
	for i, name := range names {
		points := make(plotter.XYs, len(r.Bins))
		for k, b := range r.Bins {
			points[k] = plotter.XY{X: float64(k) * binWidth.Seconds(), Y: float64(series[name](b))}
			highest = max(highest, points[k].Y)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color, line.Width, line.StepStyle = plotutil.Color(i), vg.Points(1.2), plotter.PreStep
		p.Add(line)
		p.Legend.Add(name, line)
	}
	for _, m := range r.Marks {
		line, err := plotter.NewLine(plotter.XYs{{X: m.At.Seconds(), Y: 0}, {X: m.At.Seconds(), Y: highest}})
		if err != nil {
			return "", err
		}
		line.Dashes, line.Width, line.Color = plotutil.Dashes(2), vg.Points(0.6), plotutil.Color(6)
		p.Add(line)
	}
	return experiment.RenderSVG(p, 26*vg.Centimeter, 8*vg.Centimeter)
}
