package main

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// noFigures lists, by package, the constants that docs/constants.md leaves out: formats and exit statuses, which are not
// times, counts or shares.
var noFigures = map[string]string{
	"choice":              "datagramRequest datagramGrant datagramCallEnd datagramHandOver datagramOutage maxDatagramSize",
	"internal/auditlog":   "Format checksumLen",
	"internal/cli":        "exitFailed exitUsage epochShift",
	"internal/journal":    "recordHeaderBytes",
	"internal/membership": "Magic version headerSize digestWidth",
	"internal/statedir":   "Format",
	"internal/staleness":  "Magic version datagramSize",
}

// docs/constants.md lists exactly the numeric constants of package choice and of the node's packages, with their
// values.
func TestConstantsPageIsComplete(t *testing.T) {
	const root = "../.."
	deploy, err := os.ReadFile(root + "/deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	node := regexp.MustCompile(`(?m)^node = \[(.*?)\]`).FindSubmatch(deploy)
	if node == nil {
		t.Fatal("deploy/balancer.toml does not list the node's packages")
	}
	want := map[string]string{}
	for _, m := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(string(node[1])+`, "choice"`, -1) {
		collectConstants(t, root, m[1], want)
	}
	page, err := os.ReadFile(root + "/docs/constants.md")
	if err != nil {
		t.Fatal(err)
	}
	section, seen := "", map[string]bool{}
	for _, line := range strings.Split(string(page), "\n") {
		if s, ok := strings.CutPrefix(line, "## "); ok {
			section = s
		}
		m := regexp.MustCompile("^\\| `([^`]+)` \\| `([^`]+)` \\| ([^|]+) \\| ([^|]+) \\|$").FindStringSubmatch(line)
		if m == nil {
			continue
		}
		name := section + "." + m[1]
		if seen[name] = true; want[name] != m[2] {
			t.Errorf("docs/constants.md says that %s is %s, but it is %q", name, m[2], want[name])
		}
	}
	for name := range want {
		if !seen[name] {
			t.Errorf("docs/constants.md lacks %s", name)
		}
	}
}

// collectConstants adds the numeric constants of a package to into, with their values as written in the source.
func collectConstants(t *testing.T, root, dir string, into map[string]string) {
	files, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	set := token.NewFileSet()
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(set, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range f.Decls {
			g, ok := d.(*ast.GenDecl)
			if !ok || g.Tok != token.CONST {
				continue
			}
			for _, s := range g.Specs {
				s := s.(*ast.ValueSpec)
				for i, v := range s.Values {
					var text bytes.Buffer
					if err := printer.Fprint(&text, set, v); err != nil {
						t.Fatal(err)
					}
					figure := !strings.ContainsAny(text.String(), "\"`") && !strings.Contains(text.String(), "iota")
					if figure && !strings.Contains(" "+noFigures[dir]+" ", " "+s.Names[i].Name+" ") {
						into[dir+"."+s.Names[i].Name] = text.String()
					}
				}
			}
		}
	}
}
