package config

import (
	"fmt"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Fault is one thing that is wrong with a configuration, and where.
type Problem struct {
	File string
	Line int // 0 if it is no line of the file
	Key  string
	Text string
}

func (f Problem) String() string {
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
type Problems []Problem

func (f Problems) Error() string {
	lines := make([]string, len(f))
	for i, problem := range f {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// nearest suggests which of the known words was meant, if one is near.
func suggest(word string, known []string) string {
	closest, leastDistance := "", max(2, len(word)/3)+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(word, k); d < leastDistance {
			closest, leastDistance = k, d
		}
	}
	if closest == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", closest)
}
