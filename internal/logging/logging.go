// Package logging creates the program's structured logger. Each line has one event name and stable keys, as text or
// JSON. The level can be changed at run time, and repeated warnings are sampled. docs/logs.md lists the events.
package logging

import (
	"fmt"
	"io"
	"log/slog"
)

// New returns a logger that writes to w, and its level, which may be changed at any time. format is "json"; any other
// value selects text. level is debug, info, warn or error; empty means info.
func New(w io.Writer, level, format string) (*slog.Logger, *slog.LevelVar, error) {
	v := new(slog.LevelVar)
	if err := SetLevel(v, level); err != nil {
		return nil, nil, err
	}
	options := &slog.HandlerOptions{Level: v, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.MessageKey {
			a.Key = "event"
		}
		return a
	}}
	var h slog.Handler = slog.NewTextHandler(w, options)
	if format == "json" {
		h = slog.NewJSONHandler(w, options)
	}
	return slog.New(newSampler(h)), v, nil
}

// SetLevel sets the minimum level that is logged, by name; empty means info. On an error the level is unchanged.
// The text of the error is part of an HTTP response of the admin API, so it stays as it is.
func SetLevel(v *slog.LevelVar, name string) error {
	level := slog.LevelInfo
	if name != "" {
		if err := level.UnmarshalText([]byte(name)); err != nil {
			return fmt.Errorf("log level %q: one of debug, info, warn, error", name)
		}
	}
	v.Set(level)
	return nil
}
