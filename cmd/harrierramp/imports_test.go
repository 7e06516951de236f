package main

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// docs/architecture.md lists the packages in layers, from the programs down. Each package must be listed, and must only
// import packages of lower layers.
func TestImportsFollowLayers(t *testing.T) {
	page, err := os.ReadFile("../../docs/architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	row := map[string]int{}
	for i, line := range strings.Split(string(page), "\n") {
		if first, _, ok := strings.Cut(strings.TrimPrefix(line, "| "), " |"); ok && strings.HasPrefix(line, "| `") {
			for _, m := range regexp.MustCompile("`((?:cmd|internal|choice)[a-z/]*)`").FindAllStringSubmatch(first, -1) {
				row[m[1]] = i
			}
		}
	}
	var files []string
	for _, pattern := range []string{"../../choice/*.go", "../../internal/*/*.go", "../../internal/*/*/*.go", "../../cmd/*/*.go"} {
		more, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, more...)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		from := strings.TrimPrefix(filepath.Dir(file), "../../")
		if row[from] == 0 {
			t.Errorf("docs/architecture.md lacks %s", from)
		}
		for _, i := range f.Imports {
			if to, ok := strings.CutPrefix(strings.Trim(i.Path.Value, `"`), "harrierramp/"); ok && row[to] <= row[from] && row[to] > 0 && to != from {
				t.Errorf("%s imports %s, which is in a higher layer or in the same one", file, to)
			}
		}
	}
}
