// Package units provides a duration type that is written with a unit in configuration files ("150ms") and as a plain
// number of milliseconds in JSON.
package units

import (
	"encoding/json"
	"fmt"
	"math"
	"time"
)

// Millis is a duration in milliseconds. In JSON it is a number, which may have a fraction; as text it has the form of
// time.Duration, such as "1.5s".
type Millis float64

// Duration returns m rounded to the microsecond, which is the resolution of the simulator.
func (m Millis) Duration() time.Duration {
	return time.Duration(math.Round(float64(m)*1000)) * time.Microsecond
}

// UnmarshalText parses a duration with a unit, such as "150ms".
func (m *Millis) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time with a unit, as \"150ms\"", text)
	}
	*m = Millis(float64(d) / float64(time.Millisecond))
	return nil
}

// MarshalText returns the form that UnmarshalText parses.
func (m Millis) MarshalText() ([]byte, error) { return []byte(m.Duration().String()), nil }

// UnmarshalJSON parses a number of milliseconds.
func (m *Millis) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, (*float64)(m)) }

// MarshalJSON returns the number of milliseconds.
func (m Millis) MarshalJSON() ([]byte, error) { return json.Marshal(float64(m)) }
