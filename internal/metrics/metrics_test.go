package metrics

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"
)

func newPopulatedSet(t *testing.T) (*Set, string) {
	t.Helper()
	s := New([]string{"status", "payout"})
	s.MembershipEnabled, s.ListServiceEnabled = true, true
	s.CountDelivered(1)
	s.CountShed(0)
	s.Attempts.Add(3)
	for dest := range 2 * MaxDestHistograms {
		s.ObserveFirstAttempt(dest, 3*time.Millisecond)
	}
	s.ObserveAttempt(0, time.Millisecond)
	s.ObserveAttempt(99, time.Millisecond) // not a valid outcome; must be ignored
	s.ObserveIntakeAnswer(time.Millisecond)
	s.ObserveJournalAppend(time.Millisecond)
	s.ObserveLoopStep(time.Millisecond)
	var b strings.Builder
	if err := s.WriteMetrics(&b); err != nil {
		t.Fatal(err)
	}
	return s, b.String()
}

// Every counter and gauge appears in both the StatsD and the Prometheus output, and destinations beyond
// MaxDestHistograms share one histogram.
func TestStatsDAndPrometheusAgree(t *testing.T) {
	s, text := newPopulatedSet(t)
	stats := string(s.StatsD())
	for _, m := range s.snapshot() {
		if !strings.Contains(stats, m.statsdName+":") || !strings.Contains(text, namespace+m.name) {
			t.Errorf("%s or %s is missing", m.statsdName, m.name)
		}
	}
	for _, want := range []string{
		`harrierramp_messages_ended_total{class="payout",end="delivered"} 1`, `harrierramp_messages_ended_total{class="status",end="returned"} 1`,
		"harrierramp_attempts_written_total 3", `harrierramp_attempt_seconds_count{outcome="pass"} 1`,
		fmt.Sprintf(`harrierramp_first_attempt_seconds_count{dest="other"} %d`, MaxDestHistograms),
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("no %s", want)
		}
	}
	if n := strings.Count(text, "harrierramp_first_attempt_seconds_count"); n != MaxDestHistograms+1 {
		t.Errorf("%d histograms of first attempts; at most MaxDestHistograms and one shared one are expected", n)
	}
}

// Every metric that the alerting rules query exists, and the on-call page describes every alert.
func TestAlertsUseExistingMetrics(t *testing.T) {
	_, text := newPopulatedSet(t)
	rules, err := os.ReadFile("../../deploy/alerts.yaml")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/on-call.md")
	if err != nil {
		t.Fatal(err)
	}
	names := regexp.MustCompile(`harrierramp_[a-z_]+`).FindAllString(string(rules), -1)
	if len(names) < 5 {
		t.Fatalf("too few metric names found in the alerting rules: %v", names)
	}
	for _, name := range names {
		if !regexp.MustCompile(`(?m)^` + name + `[ {]`).MatchString(text) {
			t.Errorf("no such metric: %s", name)
		}
	}
	for _, m := range regexp.MustCompile(`alert: (\w+)`).FindAllStringSubmatch(string(rules), -1) {
		if !strings.Contains(string(page), "`"+m[1]+"`") {
			t.Errorf("docs/on-call.md does not describe the alert %s", m[1])
		}
	}
}
