package main

import (
	"fmt"
	"time"
)

const (
	lostAfter   = 500 * time.Millisecond // STANDING: up to half a second after its time an answer only earns nothing
	socketSlack = 50 * time.Millisecond  // PROTOCOL: every time limit is 50 ms longer
)

// judgeLost returns the taken-on messages that neither were delivered nor ended by a notice in time.
func judgeLost(messages []*Message, calls *Calls, p *Platform, until time.Time) (broken []string) {
	for _, m := range messages {
		if !m.takenOn() {
			continue
		}
		var ended time.Time
		note := func(t time.Time) {
			if ended.IsZero() || t.Before(ended) {
				ended = t
			}
		}
		for _, c := range calls.of(m.ID) {
			if a, at := c.outcome(); a == "200" {
				note(at)
			}
		}
		for _, n := range p.noticesOf(m.ID) {
			note(n.At)
		}
		due := m.deadline().Add(lostAfter + socketSlack)
		switch {
		case ended.IsZero() && until.After(due):
			broken = append(broken, fmt.Sprintf("lost: %s (%s) was taken on and never ended; its time was up %.2f s before the end of the test", m.ID, m.Class, until.Sub(m.deadline()).Seconds()))
		case ended.After(due):
			broken = append(broken, fmt.Sprintf("lost: %s (%s) ended %.3f s after its time", m.ID, m.Class, ended.Sub(m.deadline()).Seconds()))
		}
	}
	return broken
}
