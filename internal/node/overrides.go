package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"harrierramp/internal/atomicfile"
)

// operatorOverrides is the state that operators have set and not reset: disabled endpoints and a drain. It has
// its own file, so that it does not depend on a journal that cannot be written or is being compacted.
type operatorOverrides struct {
	dir      string
	disabled map[string]bool // IDs of endpoints that get no calls
	drained  bool
}

// overridesFile is the stored form of operatorOverrides.
type overridesFile struct {
	Out     []string `json:"out"`
	Drained bool     `json:"drained,omitempty"`
}

const overridesFileName = "orders.json"

// readOverrides reads the overrides stored in dir. Without a file there are none. A file that cannot be read is
// an error, because without it the node would call endpoints that operators have disabled.
func readOverrides(dir string) (*operatorOverrides, error) {
	o := &operatorOverrides{dir: dir, disabled: map[string]bool{}}
	raw, err := os.ReadFile(o.path())
	if errors.Is(err, os.ErrNotExist) {
		return o, nil
	}
	if err != nil {
		return nil, fmt.Errorf("operator overrides: %w", err)
	}
	var f overridesFile
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("operator overrides: %w", err)
	}
	for _, id := range f.Out {
		o.disabled[id] = true
	}
	o.drained = f.Drained
	return o, nil
}

func (o *operatorOverrides) path() string { return filepath.Join(o.dir, overridesFileName) }

// setDisabled disables or enables an endpoint. After an error nothing has changed.
func (o *operatorOverrides) setDisabled(id string, disabled bool) error {
	if o.disabled[id] == disabled {
		return nil
	}
	next := maps.Clone(o.disabled)
	if next[id] = true; !disabled {
		delete(next, id)
	}
	if err := o.write(next, o.drained); err != nil {
		return err
	}
	o.disabled = next
	return nil
}

// setDrained stores that the node is drained, or no longer is. After an error nothing has changed.
func (o *operatorOverrides) setDrained(on bool) error {
	if o.drained == on {
		return nil
	}
	if err := o.write(o.disabled, on); err != nil {
		return err
	}
	o.drained = on
	return nil
}

// write replaces the file atomically: if the process is killed, either the old or the new file is there.
func (o *operatorOverrides) write(disabled map[string]bool, drained bool) error {
	raw, err := json.Marshal(overridesFile{Out: slices.Sorted(maps.Keys(disabled)), Drained: drained})
	if err != nil {
		return fmt.Errorf("operator overrides: %w", err)
	}
	if err := atomicfile.Replace(o.path(), raw); err != nil {
		return fmt.Errorf("operator overrides: %w", err)
	}
	return nil
}
