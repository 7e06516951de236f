package experiment

import (
	"testing"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/lab/judge"
	"harrierramp/internal/lab/model"
)

var minimalSettings = choice.Settings{Classes: []choice.Class{{}}}

func runDay(t *testing.T, d model.Day) *judge.Result {
	t.Helper()
	j := judge.New(&d)
	maker := func(_ *model.World, s choice.Settings, seed uint64) model.Policy { return choice.New(s, seed) }
	if err := model.New(d, maker, j).Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	return j.Result()
}

type panickingPolicy struct{}

func (panickingPolicy) Step(time.Duration, []choice.Event) []choice.Action { panic("on purpose") }

func newPanickingPolicy(*model.World, choice.Settings, uint64) model.Policy { return panickingPolicy{} }
