package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// MaxDests is how many destinations have a histogram of their own; those that come later share one, "other", so that
// neither memory nor what a scrape reads grows with the number of destinations.
const MaxDests = 32

// OutcomeNames label attempts, by the number of the module's outcome.
var OutcomeNames = []string{"pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale"}

// times are the histograms. Their methods may be called from any goroutine, but for First, which the loop owns.
type times struct {
	answer  prometheus.Histogram
	first   *prometheus.HistogramVec
	dests   map[int]prometheus.Observer
	attempt *prometheus.HistogramVec
	byEnd   []prometheus.Observer
	journal prometheus.Histogram
	step    prometheus.Histogram
}

func newTimes() times {
	options := func(name, help string, least float64) prometheus.HistogramOpts {
		return prometheus.HistogramOpts{
			Name: namespace + name, Help: help, Buckets: prometheus.ExponentialBuckets(least, 2.5, 14),
		}
	}
	t := times{
		answer:  prometheus.NewHistogram(options("intake_answer_seconds", "From a request's first byte to its answer.", 0.0001)),
		first:   prometheus.NewHistogramVec(options("first_attempt_seconds", "From hand-in to the first attempt.", 0.0005), []string{"dest"}),
		attempt: prometheus.NewHistogramVec(options("attempt_seconds", "Of one attempt, by outcome.", 0.0005), []string{"outcome"}),
		journal: prometheus.NewHistogram(options("journal_append_seconds", "Of one write of the journal.", 0.00001)),
		step:    prometheus.NewHistogram(options("step_seconds", "Of one step of the loop.", 0.00001)),
		dests:   map[int]prometheus.Observer{},
	}
	for _, name := range OutcomeNames {
		t.byEnd = append(t.byEnd, t.attempt.WithLabelValues(name))
	}
	return t
}

func (t *times) collect(to chan<- prometheus.Metric) {
	t.answer.Collect(to)
	t.first.Collect(to)
	t.attempt.Collect(to)
	t.journal.Collect(to)
	t.step.Collect(to)
}

// Answered takes the time from a request's first byte to its answer.
func (f *Set) Answered(d time.Duration) { f.times.answer.Observe(d.Seconds()) }

// First takes the time from a message's hand-in to its first attempt. Only the loop may call it.
func (f *Set) First(dest int, d time.Duration) {
	o := f.times.dests[dest]
	if o == nil {
		label := "other"
		if len(f.times.dests) < MaxDests {
			label = strconv.Itoa(dest)
		}
		o = f.times.first.WithLabelValues(label)
		if label != "other" {
			f.times.dests[dest] = o
		}
	}
	o.Observe(d.Seconds())
}

// Attempted takes the time of an attempt with this number of outcome.
func (f *Set) Attempted(outcome int, d time.Duration) {
	if outcome >= 0 && outcome < len(f.times.byEnd) {
		f.times.byEnd[outcome].Observe(d.Seconds())
	}
}

// Appended takes the time of one write of the journal.
func (f *Set) Appended(d time.Duration) { f.times.journal.Observe(d.Seconds()) }

// Stepped takes the time of one step of the loop.
func (f *Set) Stepped(d time.Duration) { f.times.step.Observe(d.Seconds()) }
