package choice

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// The state of a node with thousands of endpoints has over a hundred thousand fields, and nobody acts for the node while
// they are encoded and decoded. So the common types are written and read here, and only others by package json.

// storedFields is a JSON object with the stored fields of a struct, or null if there is no struct.
type storedFields = json.RawMessage

const storedFieldsCapacity = 512 // bytes; most structs need less

// marshalFields encodes the fields of a struct. It sets firstErr unless that has an error already.
func marshalFields(f fieldLister, firstErr *error) storedFields {
	b := append(make([]byte, 0, storedFieldsCapacity), '{')
	for i, field := range f.fields() {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(append(b, '"'), field.name...), `":`...)
		var err error
		if b, err = appendValue(b, field.value); err != nil && *firstErr == nil {
			*firstErr = fmt.Errorf("choice: encode snapshot field %s: %w", field.name, err)
		}
	}
	return append(b, '}')
}

// appendValue appends the JSON of what a pointer points to.
func appendValue(b []byte, pointer any) ([]byte, error) {
	switch p := pointer.(type) {
	case *bool:
		return strconv.AppendBool(b, *p), nil
	case *int:
		return strconv.AppendInt(b, int64(*p), 10), nil
	case *time.Duration:
		return strconv.AppendInt(b, int64(*p), 10), nil
	case *float64:
		if !math.IsNaN(*p) && !math.IsInf(*p, 0) {
			return strconv.AppendFloat(b, *p, 'g', -1, 64), nil
		}
	}
	raw, err := json.Marshal(pointer)
	return append(b, raw...), err
}

// unmarshalFields sets the fields of a struct from an encoded object, which must be valid JSON. It sets firstErr unless that
// has an error already.
func unmarshalFields(stored storedFields, f fieldLister, firstErr *error) {
	known, next := f.fields(), 0
	for name, value := range objectMembers(stored) {
		i := indexOfField(known, next, name)
		if i < 0 {
			continue
		}
		next = i + 1
		if err := parseValue(value, known[i].value); err != nil && *firstErr == nil {
			*firstErr = fmt.Errorf("choice: decode snapshot field %s: %w", name, err)
		}
	}
}

// indexOfField returns the index of the field with a name, which most likely is the given one; -1 if there is none.
func indexOfField(fields []field, likely int, name string) int {
	if likely < len(fields) && fields[likely].name == name {
		return likely
	}
	for i := range fields {
		if fields[i].name == name {
			return i
		}
	}
	return -1
}

// parseValue sets what a pointer points to from JSON.
func parseValue(value string, pointer any) error {
	switch p := pointer.(type) {
	case *bool:
		if value == "true" || value == "false" {
			*p = value == "true"
			return nil
		}
	case *int:
		if n, err := strconv.Atoi(value); err == nil {
			*p = n
			return nil
		}
	case *time.Duration:
		if n, err := strconv.ParseInt(value, 10, 64); err == nil {
			*p = time.Duration(n)
			return nil
		}
	case *float64:
		if x, err := strconv.ParseFloat(value, 64); err == nil && value[0] != '"' {
			*p = x
			return nil
		}
	}
	return json.Unmarshal([]byte(value), pointer)
}

// isObject reports whether stored fields are those of a struct.
func isObject(stored storedFields) bool { return bytes.HasPrefix(stored, []byte("{")) }

// objectMembers yields the members of a JSON object that is valid, by their names as they are written. It yields none of
// another value.
func objectMembers(object []byte) func(yield func(name, value string) bool) {
	return func(yield func(name, value string) bool) {
		rest, ok := strings.CutPrefix(strings.TrimSpace(string(object)), "{")
		for ok {
			start := strings.IndexByte(rest, '"')
			if start < 0 {
				return
			}
			rest = rest[start:]
			nameEnd := stringEnd(rest)
			colon := nameEnd + strings.IndexByte(rest[nameEnd:], ':')
			name := rest[1 : nameEnd-1]
			rest = rest[colon+1:]
			end := valueEnd(rest)
			if !yield(name, strings.TrimSpace(rest[:end])) {
				return
			}
			ok = rest[end] == ','
			rest = rest[end+1:]
		}
	}
}

// valueEnd returns the index of the comma or brace behind a value of an object.
func valueEnd(s string) int {
	depth := 0
	for i := 0; i < len(s); i++ {
		switch s[i] {
		case '"':
			i += stringEnd(s[i:]) - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return i
			}
			depth--
		case ',':
			if depth == 0 {
				return i
			}
		}
	}
	return len(s) - 1
}

// stringEnd returns the index behind a string that s begins with.
func stringEnd(s string) int {
	for i := 1; i < len(s); i++ {
		switch s[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(s)
}
