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
type orders struct {
	dir     string
	out     map[string]bool // endpoints that nothing is sent to
	drained bool
}

// ordersFile is their lasting form.
type ordersFile struct {
	Out     []string `json:"out"`
	Drained bool     `json:"drained,omitempty"`
}

const ordersName = "orders.json"

// readOrders reads what stands in dir. No file means no orders; one that can't be read is an error, for to go on
// would send to endpoints that the operators have taken out.
func readOrders(dir string) (*orders, error) {
	o := &orders{dir: dir, out: map[string]bool{}}
	raw, err := os.ReadFile(o.path())
	if errors.Is(err, os.ErrNotExist) {
		return o, nil
	}
	if err != nil {
		return nil, fmt.Errorf("orders: %w", err)
	}
	var f ordersFile
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("orders: %w", err)
	}
	for _, id := range f.Out {
		o.out[id] = true
	}
	o.drained = f.Drained
	return o, nil
}

func (o *orders) path() string { return filepath.Join(o.dir, ordersName) }

// setOut takes an endpoint out or puts it back; after an error nothing has changed.
func (o *orders) setOut(id string, out bool) error {
	if o.out[id] == out {
		return nil
	}
	next := maps.Clone(o.out)
	if next[id] = true; !out {
		delete(next, id)
	}
	if err := o.write(next, o.drained); err != nil {
		return err
	}
	o.out = next
	return nil
}

// setDrained notes a drain or its end; after an error nothing has changed.
func (o *orders) setDrained(on bool) error {
	if o.drained == on {
		return nil
	}
	if err := o.write(o.out, on); err != nil {
		return err
	}
	o.drained = on
	return nil
}

// write replaces the file as a whole: a kill leaves the old one or the new one.
func (o *orders) write(out map[string]bool, drained bool) error {
	raw, err := json.Marshal(ordersFile{Out: slices.Sorted(maps.Keys(out)), Drained: drained})
	if err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	if err := atomicfile.Replace(o.path(), raw); err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	return nil
}
