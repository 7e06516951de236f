package choice

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// Whatever the value of a setting is within its bounds (missing, shorter than a call, or very long), every rule must
// hold and each message must get its final answer.
func TestExtremeSettingsKeepRules(t *testing.T) {
	odd := func(name string, set func(*Settings) reflect.Value) {
		values := []any{time.Duration(0), time.Millisecond, 60 * time.Millisecond, 15 * time.Second, 0, 1, 1 << 20, 0.0, 1.0, 100.0}
		for _, v := range values {
			cfg := testSettings()
			if f := set(&cfg); f.Type() != reflect.TypeOf(v) {
				continue
			}
			t.Run(fmt.Sprint(name, "=", v), func(t *testing.T) {
				t.Parallel()
				runRandomEventsWith(t, 1, 120, 5, func(s *Settings) { // with a restore every 5 steps
					for i := range s.Classes {
						s.Classes[i].Aim, s.Classes[i].Deadline = 500*ms, 1500*ms // keeps the test short
					}
					set(s).Set(reflect.ValueOf(v))
				})
			})
		}
	}
	for i := range reflect.TypeFor[Settings]().NumField() {
		f := reflect.TypeFor[Settings]().Field(i)
		if f.Name == "AnswerGrace" || f.Name == "Tick" || f.Name == "Number" { // used by the scenario itself
			continue
		}
		odd(f.Name, func(s *Settings) reflect.Value { return reflect.ValueOf(s).Elem().Field(i) })
	}
	const keyed = 1 // the deduplicated class of testSettings: its window is the easiest rule to violate
	for i := range reflect.TypeFor[Class]().NumField() {
		f := reflect.TypeFor[Class]().Field(i)
		odd("a class's "+f.Name, func(s *Settings) reflect.Value { return reflect.ValueOf(&s.Classes[keyed]).Elem().Field(i) })
	}
	for name, change := range map[string]func(*Settings){
		"no classes": func(s *Settings) { s.Classes = nil },
		"no kinds":   func(s *Settings) { s.Kinds = nil },
		"no figures": func(s *Settings) { *s = Settings{Classes: s.Classes, AnswerGrace: s.AnswerGrace, Tick: s.Tick} },
		"nothing":    func(s *Settings) { *s = Settings{AnswerGrace: s.AnswerGrace, Tick: s.Tick} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				runRandomEventsWith(t, seed, 150, 0, change)
			}
		})
	}
}
