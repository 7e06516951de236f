// Package logging makes the program's logger: one event name and stable keys a line, as text or JSON, with a level
// that may be changed while it runs and repeated warnings sampled. docs/logs.md lists the events.
package logging

import (
	"fmt"
	"io"
	"log/slog"
)

// New makes a logger that writes lines to w. format is "json", or text for anything else; level is one of debug, info,
// warn and error, empty for info. The level may be set again at any time.
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

// SetLevel sets the least level that is logged, by name; empty is info. After an error nothing has changed.
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
