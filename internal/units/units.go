// Package units is the span of time that people write with a unit ("150ms") and the platform as a bare number of
// milliseconds.
package units

import (
	"encoding/json"
	"fmt"
	"math"
	"time"
)

// Millis is a span of time. As a JSON number it is milliseconds, with a fraction; as text it is Go's form, "1.5s".
type Millis float64

// Duration is the span to the microsecond, the finest that the simulator counts.
func (m Millis) Duration() time.Duration {
	return time.Duration(math.Round(float64(m)*1000)) * time.Microsecond
}

// UnmarshalText reads "150ms".
func (m *Millis) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time with a unit, as \"150ms\"", text)
	}
	*m = Millis(float64(d) / float64(time.Millisecond))
	return nil
}

// MarshalText writes what UnmarshalText reads.
func (m Millis) MarshalText() ([]byte, error) { return []byte(m.Duration().String()), nil }

// UnmarshalJSON reads a number of milliseconds.
func (m *Millis) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, (*float64)(m)) }

// MarshalJSON writes the number of milliseconds.
func (m Millis) MarshalJSON() ([]byte, error) { return json.Marshal(float64(m)) }
