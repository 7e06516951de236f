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

// orders are what the operators have told the node and not taken back. They stand in a file of their own, so that
// neither a journal that can't be written nor its compaction touches them.
type operatorOverrides struct {
	dir      string
	disabled map[string]bool // endpoints that nothing is sent to
	drained  bool
}

// ordersFile is their lasting form.
type overridesFile struct {
	Out     []string `json:"out"`
	Drained bool     `json:"drained,omitempty"`
}

const overridesFileName = "orders.json"

// readOrders reads what stands in dir. No file means no orders; one that can't be read is an error, for to go on
// would send to endpoints that the operators have taken out.
func readOverrides(dir string) (*operatorOverrides, error) {
	o := &operatorOverrides{dir: dir, disabled: map[string]bool{}}
	raw, err := os.ReadFile(o.path())
	if errors.Is(err, os.ErrNotExist) {
		return o, nil
	}
	if err != nil {
		return nil, fmt.Errorf("orders: %w", err)
	}
	var f overridesFile
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("orders: %w", err)
	}
	for _, id := range f.Out {
		o.disabled[id] = true
	}
	o.drained = f.Drained
	return o, nil
}

func (o *operatorOverrides) path() string { return filepath.Join(o.dir, overridesFileName) }

// setOut takes an endpoint out or puts it back; after an error nothing has changed.
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

// setDrained notes a drain or its end; after an error nothing has changed.
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

// write replaces the file as a whole: a kill leaves the old one or the new one.
func (o *operatorOverrides) write(disabled map[string]bool, drained bool) error {
	raw, err := json.Marshal(overridesFile{Out: slices.Sorted(maps.Keys(disabled)), Drained: drained})
	if err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	if err := atomicfile.Replace(o.path(), raw); err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	return nil
}
