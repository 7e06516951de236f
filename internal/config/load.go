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

// maxFile bounds a configuration file; the platform's hold the list of endpoints as well.
const maxFile = 16 << 20

// EnvPrefix begins the names of variables that set one value each: HARRIERRAMP_LIMITS_SOCKETS for limits.sockets.
const EnvPrefix = "HARRIERRAMP_"

// Sources are where a configuration comes from; the later ones win over the file.
type Sources struct {
	File string              // TOML, or JSON as the platform writes it; empty for none
	Env  func(string) string // as os.Getenv
	Sets []string            // from the command line, "limits.sockets=512"
}

// Loaded is a configuration and where each of its values came from.
type Loaded struct {
	Config
	Origin map[string]string // by path; a path without one was never given and has no default
	Strict bool              // it was written by people, so that defaults hold and unknown keys are faults
}

// Load reads a configuration. Its error is Faults where the text can be read, and names them all.
func Load(s Sources) (*Loaded, error) {
	l := &Loaded{Origin: map[string]string{}, Strict: true}
	var faults Faults
	var lines map[string]int
	if s.File != "" {
		raw, err := readFile(s.File)
		if err != nil {
			return nil, err
		}
		if l.Strict = !looksLikeJSON(raw); l.Strict {
			lines, faults, err = l.readTOML(s.File, raw)
		} else if err = json.Unmarshal(raw, &l.Config); err != nil {
			err = fmt.Errorf("configuration %s: %w", s.File, err)
		}
		if err != nil {
			return nil, err
		}
	} else {
		l.defaults(nil)
	}
	faults = append(faults, l.overlay(s)...)
	broken := map[string]bool{} // a value that could not be read has its fault already
	for _, f := range faults {
		broken[f.Key] = true
	}
	if l.Strict {
		faults = append(faults, l.checked(s.File, lines, broken)...)
	}
	if len(faults) > 0 {
		slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
		return nil, faults
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
		return nil, fmt.Errorf("configuration %s: it is a folder; name the file in it", path)
	}
	if info.Size() > maxFile {
		return nil, fmt.Errorf("configuration %s: %d bytes, and at most %d are read", path, info.Size(), maxFile)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if len(bytes.TrimSpace(raw)) == 0 {
		return nil, fmt.Errorf("configuration %s: it is empty; 'harrierramp config example' prints one", path)
	}
	return raw, nil
}

func looksLikeJSON(raw []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(raw), []byte("{")) }

// readTOML reads what people write: over the defaults, with every unknown key and unreadable value a fault.
func (l *Loaded) readTOML(file string, raw []byte) (lines map[string]int, faults Faults, err error) {
	var tree map[string]any
	if err := toml.Unmarshal(raw, &tree); err != nil {
		f := Fault{File: file, Text: err.Error()}
		if bad, ok := errors.AsType[*toml.DecodeError](err); ok {
			f.Line, _ = bad.Position()
			f.Key = strings.Join(bad.Key(), ".")
		}
		return nil, nil, Faults{f}
	}
	lines = keyLines(raw)
	l.defaults(tree)
	d, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result: &l.Config, TagName: "toml",
		MatchName:  func(key, field string) bool { return key == field },
		DecodeHook: mapstructure.ComposeDecodeHookFunc(strictly, mapstructure.TextUnmarshallerHookFunc()),
	})
	if err != nil {
		return nil, nil, err
	}
	if err := d.Decode(tree); err != nil {
		for _, e := range leaves(err) {
			f := Fault{File: file, Text: e.Error()}
			if bad, ok := errors.AsType[*mapstructure.DecodeError](e); ok {
				f.Key, f.Text = bad.Name(), bad.Unwrap().Error()
			}
			f.Line = lines[f.Key]
			faults = append(faults, f)
		}
	}
	faults = append(faults, unknown(file, lines)...)
	for path, line := range lines {
		l.Origin[path] = fmt.Sprintf("%s:%d", file, line)
	}
	return lines, faults, nil
}

// leaves are the errors that others join.
func leaves(err error) (out []error) {
	if _, ok := err.(*mapstructure.DecodeError); ok {
		return []error{err}
	}
	switch e := err.(type) {
	case interface{ Unwrap() []error }:
		for _, one := range e.Unwrap() {
			out = append(out, leaves(one)...)
		}
		return out
	case interface{ Unwrap() error }:
		if inner := e.Unwrap(); inner != nil {
			return leaves(inner)
		}
	}
	return []error{err}
}

// strictly refuses what would be read as something else than what stands there.
func strictly(from, to reflect.Type, v any) (any, error) {
	switch {
	case (to == reflect.TypeFor[units.Millis]() || to == reflect.TypeFor[MiB]()) && from.Kind() != reflect.String && from != to:
		return nil, fmt.Errorf("%v has no unit, as in \"150ms\" or \"64MiB\"", v)
	case to.Kind() == reflect.Int && from.Kind() == reflect.Float64:
		return nil, fmt.Errorf("%v is no whole number", v)
	}
	return v, nil
}

// unknown are the keys that no field has. Of a table that is not known only its head is told.
func unknown(file string, lines map[string]int) (faults Faults) {
	all := fields()
	known := map[string]bool{}
	for _, f := range all {
		for path := f.path; path != ""; path = path[:max(strings.LastIndexByte(path, '.'), 0)] {
			known[path], known[strings.TrimSuffix(path, "[]")] = true, true
		}
	}
	for _, path := range slices.Sorted(maps.Keys(lines)) {
		plain := listIndex.ReplaceAllString(path, "[]")
		if known[plain] || slices.ContainsFunc(faults, func(f Fault) bool { return strings.HasPrefix(path, f.Key+".") }) {
			continue
		}
		faults = append(faults, Fault{File: file, Line: lines[path], Key: path, Text: "is not known" + nearest(path, siblings(all, path))})
	}
	return faults
}

var listIndex = regexp.MustCompile(`\[\d+\]`)

// siblings are the paths among which a wrong one was most likely meant, with its own numbers in them.
func siblings(known []field, key string) (out []string) {
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

// defaults sets what is not given: in the sections that are always there, and in the optional ones of the tree.
func (l *Loaded) defaults(tree map[string]any) {
	for _, f := range fields() {
		text := f.tag.Get("default")
		if _, there := tree[f.optional]; text == "" || f.listed || f.optional != "" && !there {
			continue
		}
		if err := l.set(f, text); err != nil {
			panic(fmt.Sprintf("the default of %s: %v", f.path, err)) // seen by any test that reads a configuration
		}
		l.Origin[f.path] = "default"
	}
}

// set gives a field a value as text; an optional section comes into being by it.
func (l *Loaded) set(f field, text string) error {
	v := reflect.ValueOf(&l.Config).Elem()
	for part := range strings.SplitSeq(f.path, ".") {
		if v.Kind() == reflect.Pointer {
			if v.IsNil() {
				v.Set(reflect.New(v.Type().Elem()))
			}
			v = v.Elem()
		}
		v = byTag(v, part)
	}
	return parseInto(v, text)
}

func byTag(v reflect.Value, name string) reflect.Value {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("toml") == name {
			return v.Field(i)
		}
	}
	panic("no field " + name)
}

// overlay puts the environment and the command line over the file.
func (l *Loaded) overlay(s Sources) (faults Faults) {
	known := map[string]field{}
	var paths []string
	give := func(f field, text, origin string) {
		if err := l.set(f, text); err != nil {
			faults = append(faults, Fault{Key: f.path, Text: fmt.Sprintf("%v (%s)", err, origin)})
			return
		}
		l.Origin[f.path] = origin
	}
	for _, f := range fields() {
		if f.listed {
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
				give(f, text, "environment "+name)
				break
			}
		}
	}
	for _, one := range s.Sets {
		path, text, ok := strings.Cut(one, "=")
		f, there := known[path]
		switch {
		case !ok:
			faults = append(faults, Fault{Key: one, Text: "is not of the form key=value (command line)"})
		case !there:
			faults = append(faults, Fault{Key: path, Text: "is not known (command line)" + nearest(path, paths)})
		default:
			give(f, text, "command line")
		}
	}
	return faults
}

// checked holds every value against what its tags say.
func (l *Loaded) checked(file string, lines map[string]int, broken map[string]bool) (faults Faults) {
	_ = l.each(func(path string, v reflect.Value, tag reflect.StructTag) error { // visit has no error
		if broken[path] {
			return nil
		}
		for _, text := range (field{path: path, typ: v.Type(), tag: tag}).check(v, l.Origin[path] != "") {
			one := Fault{File: file, Line: lines[path], Key: path, Text: text}
			if from := l.Origin[path]; from != "" && !strings.HasPrefix(from, file+":") {
				one = Fault{Key: path, Text: text + " (" + from + ")"}
			} else if one.Line == 0 { // a table's line, where the value is missing
				one.Line = lines[path[:max(strings.LastIndexByte(path, '.'), 0)]]
			}
			faults = append(faults, one)
		}
		return nil
	})
	d := l.Deployment
	whole := func(key, text string) {
		faults = append(faults, Fault{File: file, Line: lines[key], Key: key, Text: text})
	}
	if len(d.Classes) == 0 {
		whole("delivery.class", "there is none; a node needs one class of messages at least")
	}
	names := map[string]bool{}
	for i, c := range d.Classes {
		if names[c.Name] {
			whole(fmt.Sprintf("delivery.class[%d].name", i), fmt.Sprintf("is %q, which another class has", c.Name))
		}
		names[c.Name] = true
		if c.Deadline < c.Aim && !broken[fmt.Sprintf("delivery.class[%d].deadline", i)] {
			whole(fmt.Sprintf("delivery.class[%d].deadline", i), "comes before the aim")
		}
	}
	if l.Registry == nil && l.Discovery == "" {
		whole("discovery", "is needed, or a section registry")
	}
	return faults
}
