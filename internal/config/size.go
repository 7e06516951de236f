package config

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"github.com/alecthomas/units"
)

// MiB is a size in units of 2^20 bytes. In JSON it is a plain number of MiB; as text it has a unit, as in "64MiB".
type MiB float64

// Bytes returns the size in bytes.
func (m MiB) Bytes() int64 { return int64(float64(m) * (1 << 20)) }

// UnmarshalText parses a size with a unit, such as "64MiB", "512KiB" or "2GiB".
func (m *MiB) UnmarshalText(text []byte) error {
	b, err := units.ParseBase2Bytes(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a size with a unit, such as \"64MiB\"", text)
	}
	*m = MiB(float64(b) / (1 << 20))
	return nil
}

// MarshalText formats the size in the form that UnmarshalText parses.
func (m MiB) MarshalText() ([]byte, error) {
	if m == MiB(math.Trunc(float64(m))) {
		return []byte(strconv.FormatFloat(float64(m), 'f', -1, 64) + "MiB"), nil
	}
	return []byte(strconv.FormatInt(m.Bytes()/1024, 10) + "KiB"), nil
}

// UnmarshalJSON parses a number of MiB.
func (m *MiB) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, (*float64)(m)) }

// MarshalJSON formats the size as a number of MiB.
func (m MiB) MarshalJSON() ([]byte, error) { return json.Marshal(float64(m)) }
