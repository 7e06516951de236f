package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// A repeated warning is written at most once per sampleInterval. Its next line says how many were suppressed.
	sampleInterval   = 5 * time.Second
	maxSampledEvents = 256 // distinct events that are tracked; event names are constants in the code, and there are fewer than this
)

// sampler is a slog.Handler that writes each warning and error at most once per sampleInterval, by event name. Records
// below the level warn are always written.
type sampler struct {
	slog.Handler
	state *sampleState
}

// sampleState holds the sampling state of all events. Handlers derived from one logger share it.
type sampleState struct {
	mu     sync.Mutex
	events map[string]*eventState
}

// eventState is the sampling state of one event.
type eventState struct {
	nextWrite  time.Time
	suppressed int
}

func newSampler(h slog.Handler) *sampler {
	return &sampler{h, &sampleState{events: map[string]*eventState{}}}
}

// Handle writes the record or counts it as suppressed. It implements slog.Handler.
func (s *sampler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level >= slog.LevelWarn {
		suppressed, write := s.state.admit(r.Message, r.Time)
		if !write {
			return nil
		}
		if suppressed > 0 {
			r = r.Clone()
			r.AddAttrs(slog.Int("left_out", suppressed))
		}
	}
	return s.Handler.Handle(ctx, r)
}

// admit decides whether a record of an event is written, and returns how many were suppressed since the last one.
// Events beyond maxSampledEvents are always written.
func (s *sampleState) admit(event string, now time.Time) (suppressed int, write bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.events[event]
	if e == nil {
		if len(s.events) >= maxSampledEvents {
			return 0, true
		}
		e = &eventState{}
		s.events[event] = e
	}
	if now.Before(e.nextWrite) {
		e.suppressed++
		return 0, false
	}
	suppressed, e.suppressed, e.nextWrite = e.suppressed, 0, now.Add(sampleInterval)
	return suppressed, true
}

// WithAttrs returns a handler with additional attributes that shares the sampling state. It implements slog.Handler.
func (s *sampler) WithAttrs(a []slog.Attr) slog.Handler {
	return &sampler{s.Handler.WithAttrs(a), s.state}
}

// WithGroup returns a handler with a group that shares the sampling state. It implements slog.Handler.
func (s *sampler) WithGroup(name string) slog.Handler {
	return &sampler{s.Handler.WithGroup(name), s.state}
}
