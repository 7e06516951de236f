package config

import (
	"fmt"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Problem is one error in a configuration, with its location.
type Problem struct {
	File string
	Line int // 0 if the problem does not belong to a line of the file
	Key  string
	Text string
}

// String returns the problem as "FILE:LINE: KEY: TEXT", without the parts that are not known.
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

// Problems are all errors found in a configuration. As an error, they are formatted one per line.
type Problems []Problem

func (f Problems) Error() string {
	lines := make([]string, len(f))
	for i, problem := range f {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// suggest returns a hint with the known word that is closest to word, or an empty string if none is close.
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
