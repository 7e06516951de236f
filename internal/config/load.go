package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/go-viper/mapstructure/v2"
	"github.com/pelletier/go-toml/v2"

	"harrierramp/internal/units"
)

// maxFileBytes bounds the size of a configuration file. It leaves room for the list of endpoints that the platform's
// files contain.
const maxFileBytes = 16 << 20

// EnvPrefix is the prefix of environment variables that set one value each: HARRIERRAMP_LIMITS_SOCKETS sets
// limits.sockets.
const EnvPrefix = "HARRIERRAMP_"

// Sources are the sources of a configuration. Later fields take precedence over earlier ones.
type Sources struct {
	File      string              // path of a TOML file, or of a JSON file as the platform writes it; empty for none
	Env       func(string) string // looks up a variable, like os.Getenv
	Overrides []string            // KEY=VALUE pairs from the command line, such as "limits.sockets=512"
}

// Loaded is a configuration with the origin of each of its values.
type Loaded struct {
	Config
	Origin map[string]string // by path; a path that is missing was not given and has no default
	Strict bool              // the file is not the platform's JSON: defaults apply and unknown keys are errors
}

// Load reads and checks a configuration. If the file can be parsed, the error is of type Problems and holds everything
// that is wrong with single values.
func Load(s Sources) (*Loaded, error) {
	l := &Loaded{Origin: map[string]string{}, Strict: true}
	var problems Problems
	var lines map[string]int
	if s.File != "" {
		raw, err := readFile(s.File)
		if err != nil {
			return nil, err
		}
		if l.Strict = !looksLikeJSON(raw); l.Strict {
			lines, problems, err = l.readTOML(s.File, raw)
		} else if err = json.Unmarshal(raw, &l.Config); err != nil {
			err = fmt.Errorf("configuration %s: %w", s.File, err)
		}
		if err != nil {
			return nil, err
		}
	} else {
		l.applyDefaults(nil)
	}
	problems = append(problems, l.applyOverrides(s)...)
	unreadable := map[string]bool{} // keys that could not be parsed; they already have a problem
	for _, f := range problems {
		unreadable[f.Key] = true
	}
	if l.Strict {
		problems = append(problems, l.validate(s.File, lines, unreadable)...)
	}
	if len(problems) > 0 {
		slices.SortStableFunc(problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
		return nil, problems
	}
	if err := l.finish(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", s.File, err)
	}
	return l, nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if info.IsDir() {
		return nil, fmt.Errorf("configuration %s: is a directory; give the path of a file", path)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("configuration %s: is %d bytes long, and the limit is %d", path, info.Size(), maxFileBytes)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if len(bytes.TrimSpace(raw)) == 0 {
		return nil, fmt.Errorf("configuration %s: is empty; 'harrierramp config example' prints an example", path)
	}
	return raw, nil
}

func looksLikeJSON(raw []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(raw), []byte("{")) }

// readTOML decodes a TOML text over the defaults. Every unknown key and every value that can't be parsed is a problem.
func (l *Loaded) readTOML(file string, raw []byte) (lines map[string]int, problems Problems, err error) {
	var tree map[string]any
	if err := toml.Unmarshal(raw, &tree); err != nil {
		f := Problem{File: file, Text: err.Error()}
		if bad, ok := errors.AsType[*toml.DecodeError](err); ok {
			f.Line, _ = bad.Position()
			f.Key = strings.Join(bad.Key(), ".")
		}
		return nil, nil, Problems{f}
	}
	lines = keyLines(raw)
	l.applyDefaults(tree)
	d, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result: &l.Config, TagName: "toml",
		MatchName:  func(key, field string) bool { return key == field },
		DecodeHook: mapstructure.ComposeDecodeHookFunc(rejectLossyConversions, mapstructure.TextUnmarshallerHookFunc()),
	})
	if err != nil {
		return nil, nil, err
	}
	if err := d.Decode(tree); err != nil {
		for _, e := range flattenErrors(err) {
			f := Problem{File: file, Text: e.Error()}
			if bad, ok := errors.AsType[*mapstructure.DecodeError](e); ok {
				f.Key, f.Text = bad.Name(), bad.Unwrap().Error()
			}
			f.Line = lines[f.Key]
			problems = append(problems, f)
		}
	}
	problems = append(problems, unknownKeys(file, lines)...)
	for path, line := range lines {
		l.Origin[path] = fmt.Sprintf("%s:%d", file, line)
	}
	return lines, problems, nil
}

// flattenErrors returns the single errors of which err is joined.
func flattenErrors(err error) (out []error) {
	if _, ok := err.(*mapstructure.DecodeError); ok {
		return []error{err}
	}
	switch e := err.(type) {
	case interface{ Unwrap() []error }:
		for _, one := range e.Unwrap() {
			out = append(out, flattenErrors(one)...)
		}
		return out
	case interface{ Unwrap() error }:
		if inner := e.Unwrap(); inner != nil {
			return flattenErrors(inner)
		}
	}
	return []error{err}
}

// rejectLossyConversions is a decode hook that refuses values which would be converted to something other than what the
// file says: sizes and durations without a unit, and fractions where a whole number is required.
func rejectLossyConversions(from, to reflect.Type, value any) (any, error) {
	switch {
	case (to == reflect.TypeFor[units.Millis]() || to == reflect.TypeFor[MiB]()) && from.Kind() != reflect.String && from != to:
		return nil, fmt.Errorf("%v has no unit; write it as in \"150ms\" or \"64MiB\"", value)
	case to.Kind() == reflect.Int && from.Kind() == reflect.Float64:
		return nil, fmt.Errorf("%v is not a whole number", value)
	}
	return value, nil
}

// unknownKeys returns a problem for each key that matches no field. For an unknown table it reports only the table, not
// its keys.
func unknownKeys(file string, lines map[string]int) (problems Problems) {
	all := fields()
	known := map[string]bool{}
	for _, f := range all {
		for path := f.path; path != ""; path = path[:max(strings.LastIndexByte(path, '.'), 0)] {
			known[path], known[strings.TrimSuffix(path, "[]")] = true, true
		}
	}
	for _, path := range slices.Sorted(maps.Keys(lines)) {
		pattern := listIndex.ReplaceAllString(path, "[]")
		if known[pattern] || slices.ContainsFunc(problems, func(f Problem) bool { return strings.HasPrefix(path, f.Key+".") }) {
			continue
		}
		problems = append(problems, Problem{File: file, Line: lines[path], Key: path, Text: "is not known" + suggest(path, candidateKeys(all, path))})
	}
	return problems
}

var listIndex = regexp.MustCompile(`\[\d+\]`)

// candidateKeys returns the known paths at the depth of an unknown key, with its list indexes filled in, as candidates
// for a suggestion.
func candidateKeys(known []field, key string) (out []string) {
	depth := strings.Count(key, ".")
	numbers := listIndex.FindAllString(key, -1)
	for _, f := range known {
		path := f.path
		for _, n := range numbers {
			path = strings.Replace(path, "[]", n, 1)
		}
		if parts := strings.Split(path, "."); len(parts) > depth {
			out = append(out, strings.Join(parts[:depth+1], "."))
		}
	}
	return out
}

// applyDefaults sets the default values of the mandatory sections, and of those optional sections that tree contains.
func (l *Loaded) applyDefaults(tree map[string]any) {
	for _, f := range fields() {
		text := f.tag.Get("default")
		if _, present := tree[f.optionalSection]; text == "" || f.inList || f.optionalSection != "" && !present {
			continue
		}
		if err := l.setValue(f, text); err != nil {
			panic(fmt.Sprintf("invalid default in the tag of %s: %v", f.path, err)) // any test that loads a configuration finds it
		}
		l.Origin[f.path] = "default"
	}
}

// setValue sets a field from its text form. It creates the optional section that contains the field if necessary.
func (l *Loaded) setValue(f field, text string) error {
	v := reflect.ValueOf(&l.Config).Elem()
	for part := range strings.SplitSeq(f.path, ".") {
		if v.Kind() == reflect.Pointer {
			if v.IsNil() {
				v.Set(reflect.New(v.Type().Elem()))
			}
			v = v.Elem()
		}
		v = fieldByTOMLName(v, part)
	}
	return parseInto(v, text)
}

func fieldByTOMLName(v reflect.Value, name string) reflect.Value {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("toml") == name {
			return v.Field(i)
		}
	}
	panic("no field with the TOML name " + name)
}

// applyOverrides applies the environment and then the command line over the values of the file.
func (l *Loaded) applyOverrides(s Sources) (problems Problems) {
	known := map[string]field{}
	var paths []string
	apply := func(f field, text, origin string) {
		if err := l.setValue(f, text); err != nil {
			problems = append(problems, Problem{Key: f.path, Text: fmt.Sprintf("%v (%s)", err, origin)})
			return
		}
		l.Origin[f.path] = origin
	}
	for _, f := range fields() {
		if f.inList {
			continue
		}
		known[f.path] = f
		paths = append(paths, f.path)
		names := []string{EnvPrefix + strings.ToUpper(strings.ReplaceAll(f.path, ".", "_"))}
		switch f.path {
		case "state":
			names = append(names, "ROUTER_STATE")
		case "door":
			names = append(names, "ROUTER_CONSOLE")
		}
		for _, name := range names {
			if s.Env == nil {
				break
			}
			if text := s.Env(name); text != "" {
				apply(f, text, "environment "+name)
				break
			}
		}
	}
	for _, one := range s.Overrides {
		path, text, ok := strings.Cut(one, "=")
		f, exists := known[path]
		switch {
		case !ok:
			problems = append(problems, Problem{Key: one, Text: "does not have the form key=value (command line)"})
		case !exists:
			problems = append(problems, Problem{Key: path, Text: "is not known (command line)" + suggest(path, paths)})
		default:
			apply(f, text, "command line")
		}
	}
	return problems
}

// validate checks every value against its tags, and the rules between several values. Keys in unreadable are skipped.
func (l *Loaded) validate(file string, lines map[string]int, unreadable map[string]bool) (problems Problems) {
	_ = l.visitValues(func(path string, v reflect.Value, tag reflect.StructTag) error { // the visitor returns no error
		if unreadable[path] {
			return nil
		}
		for _, text := range (field{path: path, typ: v.Type(), tag: tag}).check(v, l.Origin[path] != "") {
			problem := Problem{File: file, Line: lines[path], Key: path, Text: text}
			if from := l.Origin[path]; from != "" && !strings.HasPrefix(from, file+":") {
				problem = Problem{Key: path, Text: text + " (" + from + ")"}
			} else if problem.Line == 0 { // the value is missing: use the line of its table
				problem.Line = lines[path[:max(strings.LastIndexByte(path, '.'), 0)]]
			}
			problems = append(problems, problem)
		}
		return nil
	})
	d := l.Delivery
	addProblem := func(key, text string) {
		problems = append(problems, Problem{File: file, Line: lines[key], Key: key, Text: text})
	}
	if len(d.Classes) == 0 {
		addProblem("delivery.class", "no class is defined; a node needs at least one message class")
	}
	names := map[string]bool{}
	for i, c := range d.Classes {
		if names[c.Name] {
			addProblem(fmt.Sprintf("delivery.class[%d].name", i), fmt.Sprintf("is %q, which is already the name of another class", c.Name))
		}
		names[c.Name] = true
		if c.Deadline < c.Aim && !unreadable[fmt.Sprintf("delivery.class[%d].deadline", i)] {
			addProblem(fmt.Sprintf("delivery.class[%d].deadline", i), "is shorter than the aim")
		}
	}
	if l.Registry == nil && l.Discovery == "" {
		addProblem("discovery", "is required unless there is a section registry")
	}
	return problems
}
