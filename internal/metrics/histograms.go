package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// MaxDestHistograms is the number of destinations that get a histogram of their own. All further destinations share the
// histogram "other", so that neither memory nor the size of a scrape grows with the number of destinations.
const MaxDestHistograms = 32

// OutcomeLabels are the label values of attempt outcomes, indexed by the numeric outcome of package choice.
var OutcomeLabels = []string{"pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale"}

// histograms holds the latency histograms of a Set. They may be observed from any goroutine, except firstAttempt and
// byDest, which belong to the event loop.
type histograms struct {
	intakeAnswer  prometheus.Histogram
	firstAttempt  *prometheus.HistogramVec
	byDest        map[int]prometheus.Observer
	attempt       *prometheus.HistogramVec
	byOutcome     []prometheus.Observer
	journalAppend prometheus.Histogram
	loopStep      prometheus.Histogram
	loopDelay     prometheus.Histogram
	noticeTime    prometheus.Histogram
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
		loopDelay:     prometheus.NewHistogram(options("loop_delay_seconds", "From when the loop's timer was due to the step that it starts.", 0.0001)),
		noticeTime:    prometheus.NewHistogram(options("notice_seconds", "From a final answer to the acceptance of its notice.", 0.0005)),
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
	h.loopDelay.Collect(ch)
	h.noticeTime.Collect(ch)
}

// ObserveIntakeAnswer records the time from the first byte of a client's request to its answer.
func (s *Set) ObserveIntakeAnswer(d time.Duration) { s.histograms.intakeAnswer.Observe(d.Seconds()) }

// ObserveFirstAttempt records the time from the hand-in of a message to its first delivery attempt. Only the event loop
// may call it.
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

// ObserveAttempt records the duration of a delivery attempt that ended with the given numeric outcome.
func (s *Set) ObserveAttempt(outcome int, d time.Duration) {
	if outcome >= 0 && outcome < len(s.histograms.byOutcome) {
		s.histograms.byOutcome[outcome].Observe(d.Seconds())
	}
}

// ObserveJournalAppend records the duration of one write to the journal.
func (s *Set) ObserveJournalAppend(d time.Duration) { s.histograms.journalAppend.Observe(d.Seconds()) }

// ObserveLoopStep records the duration of one step of the event loop.
func (s *Set) ObserveLoopStep(d time.Duration) { s.histograms.loopStep.Observe(d.Seconds()) }

// ObserveLoopDelay records how long after it was due a timer of the event loop started a step.
func (s *Set) ObserveLoopDelay(d time.Duration) { s.histograms.loopDelay.Observe(d.Seconds()) }

// ObserveNotice records the time from a message's final answer to the platform's acceptance of its notice.
func (s *Set) ObserveNotice(d time.Duration) { s.histograms.noticeTime.Observe(d.Seconds()) }
