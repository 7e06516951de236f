package config

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines returns the line of each key and table in a TOML text, by path. The path of a table in a list contains its
// index, as in delivery.class[1].aim.
func keyLines(raw []byte) map[string]int {
	lines, counts := map[string]int{}, map[string]int{}
	var p unstable.Parser
	p.Reset(raw)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		parts, line := []string{}, 0
		for it := e.Key(); it.Next(); {
			k := it.Node()
			parts = append(parts, string(k.Data))
			if line == 0 {
				line = p.Shape(k.Raw).Start.Line
			}
		}
		path := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			table = withTableIndexes(path, counts)
			lines[table] = line
		case unstable.ArrayTable:
			at := withTableIndexes(path, counts)
			table = fmt.Sprintf("%s[%d]", at, counts[at])
			counts[at]++
			lines[table] = line
		case unstable.KeyValue:
			if table != "" {
				path = table + "." + path
			}
			lines[path] = line
		}
	}
	return lines
}

// withTableIndexes adds the index of the most recent table to each part of a path that is a list of tables.
func withTableIndexes(path string, counts map[string]int) string {
	out := ""
	parts := strings.Split(path, ".")
	for i, part := range parts {
		if out != "" {
			out += "."
		}
		out += part
		if n := counts[out]; n > 0 && i < len(parts)-1 {
			out += fmt.Sprintf("[%d]", n-1)
		}
	}
	return out
}
