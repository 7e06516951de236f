package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// MaxDests is how many destinations have a histogram of their own; those that come later share one, "other", so that
// neither memory nor what a scrape reads grows with the number of destinations.
const MaxDestHistograms = 32

// OutcomeNames label attempts, by the number of the module's outcome.
var OutcomeLabels = []string{"pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale"}

// times are the histograms. Their methods may be called from any goroutine, but for First, which the loop owns.
type histograms struct {
	intakeAnswer  prometheus.Histogram
	firstAttempt  *prometheus.HistogramVec
	byDest        map[int]prometheus.Observer
	attempt       *prometheus.HistogramVec
	byOutcome     []prometheus.Observer
	journalAppend prometheus.Histogram
	loopStep      prometheus.Histogram
}

func newHistograms() histograms {
	options := func(name, help string, smallestBucket float64) prometheus.HistogramOpts {
		return prometheus.HistogramOpts{
			Name: namespace + name, Help: help, Buckets: prometheus.ExponentialBuckets(smallestBucket, 2.5, 14),
		}
	}
	h := histograms{
		intakeAnswer:  prometheus.NewHistogram(options("intake_answer_seconds", "From a request's first byte to its answer.", 0.0001)),
		firstAttempt:  prometheus.NewHistogramVec(options("first_attempt_seconds", "From hand-in to the first attempt.", 0.0005), []string{"dest"}),
		attempt:       prometheus.NewHistogramVec(options("attempt_seconds", "Of one attempt, by outcome.", 0.0005), []string{"outcome"}),
		journalAppend: prometheus.NewHistogram(options("journal_append_seconds", "Of one write of the journal.", 0.00001)),
		loopStep:      prometheus.NewHistogram(options("step_seconds", "Of one step of the loop.", 0.00001)),
		byDest:        map[int]prometheus.Observer{},
	}
	for _, name := range OutcomeLabels {
		h.byOutcome = append(h.byOutcome, h.attempt.WithLabelValues(name))
	}
	return h
}

func (h *histograms) collect(ch chan<- prometheus.Metric) {
	h.intakeAnswer.Collect(ch)
	h.firstAttempt.Collect(ch)
	h.attempt.Collect(ch)
	h.journalAppend.Collect(ch)
	h.loopStep.Collect(ch)
}

// Answered takes the time from a request's first byte to its answer.
func (s *Set) ObserveIntakeAnswer(d time.Duration) { s.histograms.intakeAnswer.Observe(d.Seconds()) }

// First takes the time from a message's hand-in to its first attempt. Only the loop may call it.
func (s *Set) ObserveFirstAttempt(dest int, d time.Duration) {
	observer := s.histograms.byDest[dest]
	if observer == nil {
		label := "other"
		if len(s.histograms.byDest) < MaxDestHistograms {
			label = strconv.Itoa(dest)
		}
		observer = s.histograms.firstAttempt.WithLabelValues(label)
		if label != "other" {
			s.histograms.byDest[dest] = observer
		}
	}
	observer.Observe(d.Seconds())
}

// Attempted takes the time of an attempt with this number of outcome.
func (s *Set) ObserveAttempt(outcome int, d time.Duration) {
	if outcome >= 0 && outcome < len(s.histograms.byOutcome) {
		s.histograms.byOutcome[outcome].Observe(d.Seconds())
	}
}

// Appended takes the time of one write of the journal.
func (s *Set) ObserveJournalAppend(d time.Duration) { s.histograms.journalAppend.Observe(d.Seconds()) }

// Stepped takes the time of one step of the loop.
func (s *Set) ObserveLoopStep(d time.Duration) { s.histograms.loopStep.Observe(d.Seconds()) }
