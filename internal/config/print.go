package config

import (
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/invopop/jsonschema"
)

// Example writes a complete TOML configuration with every value, its meaning, bounds and default. Values that have a
// default are commented out. The others are filled in, so that a node can run with the result once the directory that
// state names exists.
func Example(w io.Writer) error {
	sample := map[string]string{
		"state": `"/var/lib/harrierramp"`, "discovery": `"127.0.0.1:8500"`,
		"delivery.class[].name": `"notice"`, "delivery.class[].aim": `"4s"`, "delivery.class[].deadline": `"30s"`,
		"delivery.class[].effect": `"idempotent"`, "delivery.class[].worth": "1.0", "delivery.class[].late_worth": "0.3",
		"delivery.tenant[].name": `"acme"`, "delivery.tenant[].per_second": "100.0",
		"delivery.zones": `["a", "b"]`, "delivery.kinds": `["office"]`,
	}
	out := &strings.Builder{}
	out.WriteString("# A node of harrierramp. 'harrierramp config check FILE' tells what is wrong with one.\n")
	table, commentPrefix := "", ""
	for _, f := range fields() {
		tablePath, name := "", f.path
		if i := strings.LastIndexByte(f.path, '.'); i >= 0 {
			tablePath, name = f.path[:i], f.path[i+1:]
		}
		if tablePath != table {
			if commentPrefix = ""; f.optionalSection != "" {
				commentPrefix = "# "
			}
			head := "[" + tablePath + "]"
			if list, ok := strings.CutSuffix(tablePath, "[]"); ok {
				head = "[[" + list + "]]"
			}
			fmt.Fprintf(out, "\n%s%s\n", commentPrefix, head)
			table = tablePath
		}
		fmt.Fprintf(out, "# %s%s\n", f.tag.Get("doc"), f.describeBounds())
		value, ok := sample[f.path]
		linePrefix := commentPrefix
		if !ok {
			linePrefix = "# "
			v := reflect.New(f.typ).Elem()
			if d := f.tag.Get("default"); d != "" {
				if err := parseInto(v, d); err != nil {
					return err
				}
			}
			value = formatTOML(v)
		}
		fmt.Fprintf(out, "%s%s = %s\n", linePrefix, name, value)
	}
	_, err := io.WriteString(w, out.String())
	return err
}

// describeBounds returns the bounds or the allowed values in the field's tags, in parentheses, or an empty string.
func (f field) describeBounds() string {
	switch {
	case f.tag.Get("min") != "":
		return fmt.Sprintf(" (%s to %s)", f.tag.Get("min"), f.tag.Get("max"))
	case f.tag.Get("one") != "":
		return fmt.Sprintf(" (%s)", strings.Join(strings.Fields(f.tag.Get("one")), ", "))
	}
	return ""
}

// Show writes the effective configuration, one value per line, and with each value's origin if origin is set. The seed
// is left out, because the node's random numbers could be predicted from it.
func (l *Loaded) Show(w io.Writer, origin bool) error {
	return l.visitValues(func(path string, v reflect.Value, _ reflect.StructTag) error {
		if path == "seed" {
			return nil
		}
		from := ""
		if origin {
			if from = l.Origin[path]; from == "" {
				from = "not given"
			}
			from = "  # " + from
		}
		_, err := fmt.Fprintf(w, "%s = %s%s\n", path, formatTOML(v), from)
		return err
	})
}

// visitValues calls visit for every value, except those in optional sections that are absent.
func (l *Loaded) visitValues(visit func(path string, v reflect.Value, tag reflect.StructTag) error) error {
	var walk func(v reflect.Value, prefix string) error
	walk = func(v reflect.Value, prefix string) error {
		for i := range v.NumField() {
			structField := v.Type().Field(i)
			name := structField.Tag.Get("toml")
			if name == "-" || name == "" {
				continue
			}
			value, path := v.Field(i), prefix+name
			if value.Kind() == reflect.Pointer {
				if value.IsNil() {
					continue
				}
				value = value.Elem()
			}
			var err error
			switch {
			case isTable(value.Type()):
				err = walk(value, path+".")
			case value.Kind() == reflect.Slice && isTable(value.Type().Elem()):
				for n := 0; n < value.Len() && err == nil; n++ {
					err = walk(value.Index(n), fmt.Sprintf("%s[%d].", path, n))
				}
			default:
				err = visit(path, value, structField.Tag)
			}
			if err != nil {
				return err
			}
		}
		return nil
	}
	return walk(reflect.ValueOf(&l.Config).Elem(), "")
}

// Diff compares this configuration with next. It returns the keys of changed values that a running node can apply, and
// of those that only take effect at a restart.
func (l *Loaded) Diff(next *Loaded) (reloadable, restartOnly []string) {
	collect := func(l *Loaded) (map[string]string, map[string]bool) {
		texts, reload := map[string]string{}, map[string]bool{}
		_ = l.visitValues(func(path string, v reflect.Value, tag reflect.StructTag) error { // the visitor returns no error
			texts[path], reload[path] = formatTOML(v), tag.Get("reload") != ""
			return nil
		})
		return texts, reload
	}
	before, reloadableBefore := collect(l)
	after, reloadableAfter := collect(next)
	for _, f := range sortedUnion(before, after) {
		switch {
		case before[f] == after[f] || f == "seed": // the platform writes a new seed for each start
		case reloadableBefore[f] && reloadableAfter[f]:
			reloadable = append(reloadable, f)
		default:
			restartOnly = append(restartOnly, f)
		}
	}
	return reloadable, restartOnly
}

// Schema returns the JSON schema of the TOML form of a configuration.
func Schema() ([]byte, error) {
	r := jsonschema.Reflector{
		FieldNameTag: "toml", ExpandedStruct: true, DoNotReference: true, RequiredFromJSONSchemaTags: true, Anonymous: true,
		Mapper: func(t reflect.Type) *jsonschema.Schema {
			if reflect.PointerTo(t).Implements(textType) {
				return &jsonschema.Schema{Type: "string"}
			}
			return nil
		},
	}
	s := r.Reflect(&Config{})
	s.Title, s.Description = "harrierramp", "a node's configuration"
	for _, f := range fields() {
		describe(s, strings.Split(f.path, "."), f)
	}
	return s.MarshalJSON()
}

// describe adds the information in a field's tags to the field's place in the schema.
func describe(s *jsonschema.Schema, path []string, f field) {
	name, listed := strings.CutSuffix(path[0], "[]")
	property, ok := s.Properties.Get(name)
	if !ok {
		return
	}
	if listed {
		property = property.Items
	}
	if len(path) > 1 {
		describe(property, path[1:], f)
		return
	}
	property.Description = f.tag.Get("doc") + f.describeBounds()
	if d := f.tag.Get("default"); d != "" {
		property.Default = d
	}
	for _, one := range strings.Fields(f.tag.Get("one")) {
		property.Enum = append(property.Enum, one)
	}
	if f.tag.Get("need") != "" && f.tag.Get("default") == "" {
		s.Required = append(s.Required, name)
	}
}

func sortedUnion(a, b map[string]string) []string {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}
