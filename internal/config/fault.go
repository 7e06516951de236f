package config

import (
	"fmt"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Fault is one thing that is wrong with a configuration, and where.
type Fault struct {
	File string
	Line int // 0 if it is no line of the file
	Key  string
	Text string
}

func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
		if f.Line > 0 {
			fmt.Fprintf(&b, "%d:", f.Line)
		}
		b.WriteByte(' ')
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	return b.String() + f.Text
}

// Faults are all that is wrong with a configuration, a line each.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// nearest suggests which of the known words was meant, if one is near.
func nearest(word string, known []string) string {
	best, least := "", max(2, len(word)/3)+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(word, k); d < least {
			best, least = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}
