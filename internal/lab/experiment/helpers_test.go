package experiment

import (
	"testing"
	"time"

	"harrierramp/choice"
	"harrierramp/internal/lab/judge"
	"harrierramp/internal/lab/model"
)

var minimalSettings = choice.Settings{Classes: []choice.Class{{}}}

// runDay runs a day with the project's own sender and returns the ledger's result.
func runDay(t *testing.T, d model.Day) *judge.Result {
	t.Helper()
	ledger := judge.New(&d)
	newPolicy := func(_ *model.World, s choice.Settings, seed uint64) model.Policy { return choice.New(s, seed) }
	if err := model.New(d, newPolicy, ledger).Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	return ledger.Result()
}

type panickingPolicy struct{}

func (panickingPolicy) Step(time.Duration, []choice.Event) []choice.Action { panic("on purpose") }

func newPanickingPolicy(*model.World, choice.Settings, uint64) model.Policy { return panickingPolicy{} }
