package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// A warning that repeats is written so often, and its next line counts those that were left out.
	sampleEvery = 5 * time.Second
	maxSampled  = 256 // events that are told apart; names are fixed in the code, so there are fewer
)

// sampler lets each warning and error through once in sampleEvery, by the name of its event. What is below a warning
// passes as it is.
type sampler struct {
	slog.Handler
	seen *seen
}

type seen struct {
	mu     sync.Mutex
	events map[string]*repeats
}

type repeats struct {
	next time.Time
	left int
}

func newSampler(h slog.Handler) *sampler {
	return &sampler{h, &seen{events: map[string]*repeats{}}}
}

// Handle writes the record, or counts it as left out. (slog.Handler)
func (s *sampler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level >= slog.LevelWarn {
		left, write := s.seen.take(r.Message, r.Time)
		if !write {
			return nil
		}
		if left > 0 {
			r = r.Clone()
			r.AddAttrs(slog.Int("left_out", left))
		}
	}
	return s.Handler.Handle(ctx, r)
}

func (s *seen) take(event string, now time.Time) (left int, write bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.events[event]
	if e == nil {
		if len(s.events) >= maxSampled {
			return 0, true
		}
		e = &repeats{}
		s.events[event] = e
	}
	if now.Before(e.next) {
		e.left++
		return 0, false
	}
	left, e.left, e.next = e.left, 0, now.Add(sampleEvery)
	return left, true
}

// WithAttrs shares the counts. (slog.Handler)
func (s *sampler) WithAttrs(a []slog.Attr) slog.Handler {
	return &sampler{s.Handler.WithAttrs(a), s.seen}
}

// WithGroup shares the counts. (slog.Handler)
func (s *sampler) WithGroup(name string) slog.Handler {
	return &sampler{s.Handler.WithGroup(name), s.seen}
}
