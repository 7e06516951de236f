package logging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestRepeatedWarningsAreSampled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		log, level, err := New(&b, "", "json")
		if err != nil {
			t.Fatal(err)
		}
		for i := range 100 {
			log.With("node", "n").Warn("journal_waiting", "i", i)
			log.Info("serving")
		}
		log.Error("ended")
		time.Sleep(sampleInterval)
		log.Warn("journal_waiting")
		log.Debug("unheard")
		if err := SetLevel(level, "debug"); err != nil {
			t.Fatal(err)
		}
		log.Debug("heard")
		counts := map[string]int{}
		for line := range strings.Lines(b.String()) {
			var one map[string]any
			if err := json.Unmarshal([]byte(line), &one); err != nil {
				t.Fatal(err)
			}
			counts[one["event"].(string)]++
			if n, ok := one["left_out"]; ok && n != 99.0 {
				t.Errorf("left_out is %v, want 99", n)
			}
		}
		if got := fmt.Sprint(counts); got != "map[ended:1 heard:1 journal_waiting:2 serving:100]" {
			t.Error(got)
		}
		if SetLevel(level, "loud") == nil {
			t.Error("an unknown level name is accepted")
		}
	})
}

// docs/logs.md lists exactly the events that the program can log.
func TestLogPageListsEveryEvent(t *testing.T) {
	page, err := os.ReadFile("../../docs/logs.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]bool{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		listed[m[1]] = true
	}
	found := map[string]bool{}
	calls := regexp.MustCompile(`[lL]og\.(?:Info|Debug|Warn|Error)\("([^"]+)"`)
	for _, pattern := range []string{"../*/*.go", "../../cmd/harrierramp/*.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range files {
			if strings.HasSuffix(f, "_test.go") {
				continue
			}
			raw, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range calls.FindAllStringSubmatch(string(raw), -1) {
				if found[m[1]] = true; !listed[m[1]] {
					t.Errorf("%s logs %q, which is missing from docs/logs.md", f, m[1])
				}
			}
		}
	}
	for event := range listed {
		if !found[event] {
			t.Errorf("docs/logs.md lists %q, which no code logs", event)
		}
	}
}
