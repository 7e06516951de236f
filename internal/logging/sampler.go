package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// A warning that repeats is written so often, and its next line counts those that were left out.
	sampleInterval   = 5 * time.Second
	maxSampledEvents = 256 // events that are told apart; names are fixed in the code, so there are fewer
)

// sampler lets each warning and error through once in sampleEvery, by the name of its event. What is below a warning
// passes as it is.
type sampler struct {
	slog.Handler
	state *sampleState
}

type sampleState struct {
	mu     sync.Mutex
	events map[string]*eventState
}

type eventState struct {
	nextWrite  time.Time
	suppressed int
}

func newSampler(h slog.Handler) *sampler {
	return &sampler{h, &sampleState{events: map[string]*eventState{}}}
}

// Handle writes the record, or counts it as left out. (slog.Handler)
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

// WithAttrs shares the counts. (slog.Handler)
func (s *sampler) WithAttrs(a []slog.Attr) slog.Handler {
	return &sampler{s.Handler.WithAttrs(a), s.state}
}

// WithGroup shares the counts. (slog.Handler)
func (s *sampler) WithGroup(name string) slog.Handler {
	return &sampler{s.Handler.WithGroup(name), s.state}
}
