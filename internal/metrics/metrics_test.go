package metrics

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"
)

func full(t *testing.T) (*Set, string) {
	t.Helper()
	f := New([]string{"status", "payout"})
	f.Fellows, f.OwnList = true, true
	f.Delivered(1)
	f.Shed(0)
	f.Tries.Add(3)
	for dest := range 2 * MaxDests {
		f.First(dest, 3*time.Millisecond)
	}
	f.Attempted(0, time.Millisecond)
	f.Attempted(99, time.Millisecond) // no outcome
	f.Answered(time.Millisecond)
	f.Appended(time.Millisecond)
	f.Stepped(time.Millisecond)
	var b strings.Builder
	if err := f.WriteMetrics(&b); err != nil {
		t.Fatal(err)
	}
	return f, b.String()
}

// Both forms tell the same numbers, and destinations beyond a bound share one histogram.
func TestBothFormsTellTheSame(t *testing.T) {
	f, text := full(t)
	stats := string(f.Text())
	for _, one := range f.figures() {
		if !strings.Contains(stats, one.statsd+":") || !strings.Contains(text, namespace+one.name) {
			t.Errorf("%s or %s is missing", one.statsd, one.name)
		}
	}
	for _, want := range []string{
		`harrierramp_messages_ended_total{class="payout",end="delivered"} 1`, `harrierramp_messages_ended_total{class="status",end="returned"} 1`,
		"harrierramp_attempts_written_total 3", `harrierramp_attempt_seconds_count{outcome="pass"} 1`,
		fmt.Sprintf(`harrierramp_first_attempt_seconds_count{dest="other"} %d`, MaxDests),
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("no %s", want)
		}
	}
	if n := strings.Count(text, "harrierramp_first_attempt_seconds_count"); n != MaxDests+1 {
		t.Errorf("%d destinations are told apart", n)
	}
}

// The alerting rules ask for what there is, and tell what to do in a page that exists.
func TestAlertsNameWhatThereIs(t *testing.T) {
	_, text := full(t)
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
		t.Fatalf("only %v", names)
	}
	for _, name := range names {
		if !regexp.MustCompile(`(?m)^` + name + `[ {]`).MatchString(text) {
			t.Errorf("no such metric: %s", name)
		}
	}
	for _, m := range regexp.MustCompile(`alert: (\w+)`).FindAllStringSubmatch(string(rules), -1) {
		if !strings.Contains(string(page), "`"+m[1]+"`") {
			t.Errorf("docs/on-call.md does not tell of %s", m[1])
		}
	}
}
