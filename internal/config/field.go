package config

import (
	"encoding"
	"fmt"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// field describes one value that can be configured. Fields inside lists of tables have no default and can't be set by
// the environment; their path has [] in place of the index.
type field struct {
	path            string
	typ             reflect.Type
	tag             reflect.StructTag
	optionalSection string // the optional section that contains it, or empty
	inList          bool   // inside a list of tables
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// fields returns all configurable values, in the order of the structure Config.
func fields() []field { return fieldsOf(reflect.TypeFor[Config](), "", "", false) }

func fieldsOf(t reflect.Type, prefix, optional string, listed bool) (out []field) {
	for i := range t.NumField() {
		f := t.Field(i)
		name := f.Tag.Get("toml")
		if name == "-" || name == "" {
			continue
		}
		path, typ, opt := prefix+name, f.Type, optional
		if typ.Kind() == reflect.Pointer {
			typ, opt = typ.Elem(), path
		}
		switch {
		case isTable(typ):
			out = append(out, fieldsOf(typ, path+".", opt, listed)...)
		case typ.Kind() == reflect.Slice && isTable(typ.Elem()):
			out = append(out, fieldsOf(typ.Elem(), path+"[].", opt, true)...)
		default:
			out = append(out, field{path: path, typ: typ, tag: f.Tag, optionalSection: opt, inList: listed})
		}
	}
	return out
}

func isTable(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && !reflect.PointerTo(t).Implements(textType)
}

// parse parses a value of the field from its text form, which the environment, the command line and the tags use. The
// elements of a list are separated by commas.
func (f field) parse(text string) (any, error) {
	v := reflect.New(f.typ)
	if err := parseInto(v.Elem(), text); err != nil {
		return nil, err
	}
	return v.Elem().Interface(), nil
}

func parseInto(v reflect.Value, text string) error {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return u.UnmarshalText([]byte(text))
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", text)
		}
		v.SetBool(b)
	case reflect.Int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		v.SetInt(int64(n))
	case reflect.Float64:
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || x != x {
			return fmt.Errorf("%q is not a number", text)
		}
		v.SetFloat(x)
	case reflect.Slice:
		v.SetLen(0)
		for part := range strings.SplitSeq(text, ",") {
			if part = strings.TrimSpace(part); part == "" {
				continue
			}
			e := reflect.New(v.Type().Elem()).Elem()
			if err := parseInto(e, part); err != nil {
				return err
			}
			v.Set(reflect.Append(v, e))
		}
	default:
		return fmt.Errorf("a value of type %s can't be given as text", v.Type())
	}
	return nil
}

// check returns what is wrong with a value according to its tags. set says whether the value was given by some source.
func (f field) check(v reflect.Value, set bool) []string {
	var violations []string
	if f.tag.Get("need") != "" && v.IsZero() {
		return []string{"is required"}
	}
	if !set || v.IsZero() && f.tag.Get("min") == "" {
		return nil
	}
	for _, side := range []string{"min", "max"} {
		if bound := f.tag.Get(side); bound != "" && v.Kind() != reflect.Slice {
			limit, err := f.parse(bound)
			if err != nil {
				panic(fmt.Sprintf("invalid bound in the tag of %s: %v", f.path, err)) // any test that loads a configuration finds it
			}
			if side == "min" && less(v, reflect.ValueOf(limit)) || side == "max" && less(reflect.ValueOf(limit), v) {
				violations = append(violations, fmt.Sprintf("is %s: must be from %s to %s", formatTOML(v), f.tag.Get("min"), f.tag.Get("max")))
			}
		}
	}
	if one := f.tag.Get("one"); one != "" && !slices.Contains(strings.Fields(one), v.String()) {
		violations = append(violations, fmt.Sprintf("is %q: must be one of %s%s", v.String(), strings.Join(strings.Fields(one), ", "), suggest(v.String(), strings.Fields(one))))
	}
	if f.tag.Get("check") == "address" {
		for _, addr := range stringValues(v) {
			if host, port, err := net.SplitHostPort(addr); err != nil || port == "" || host == "" {
				violations = append(violations, fmt.Sprintf("is %q: must be an address with a port, such as \"127.0.0.1:6379\"", addr))
			}
		}
	}
	return violations
}

func stringValues(v reflect.Value) []string {
	if v.Kind() == reflect.String {
		return []string{v.String()}
	}
	return v.Interface().([]string)
}

func less(a, b reflect.Value) bool {
	if a.CanInt() {
		return a.Int() < b.Int()
	}
	return a.Float() < b.Float()
}

// formatTOML formats a value as it is written in a TOML file.
func formatTOML(v reflect.Value) string {
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		if text, err := m.MarshalText(); err == nil {
			return strconv.Quote(string(text))
		}
	}
	switch v.Kind() {
	case reflect.String:
		return strconv.Quote(v.String())
	case reflect.Slice:
		parts := make([]string, v.Len())
		for i := range parts {
			parts[i] = formatTOML(v.Index(i))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	}
	return fmt.Sprint(v.Interface())
}
