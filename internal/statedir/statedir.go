// Package statedir says whose a lasting folder is, so that a node does not take another's messages for its own.
package statedir

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"harrierramp/internal/atomicfile"
)

const (
	identityFile = "node.json"
	// Format is that of everything in the folder. It rises when an older build could not read what a newer one writes.
	Format           = 1
	maxIdentityBytes = 4 << 10
)

// identity is the folder's mark.
type identity struct {
	Format int    `json:"format"`
	Node   string `json:"node"`
}

// Check tells whether a node of this name may use the folder. It changes nothing. A folder without a mark, as builds
// before it left them, is anybody's.
func Check(dir, node string) error {
	info, err := os.Stat(dir)
	switch {
	case dir == "":
		return errors.New("no state folder is named: set state, or ROUTER_STATE")
	case errors.Is(err, os.ErrNotExist):
		return fmt.Errorf("state folder %s does not exist; make it, or mend state in the configuration", dir)
	case err != nil:
		return fmt.Errorf("state folder: %w", err)
	case !info.IsDir():
		return fmt.Errorf("state folder %s is a file", dir)
	}
	f, err := os.Open(filepath.Join(dir, identityFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("state folder: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxIdentityBytes))
	if err != nil {
		return fmt.Errorf("state folder: %w", err)
	}
	var id identity
	if err := json.Unmarshal(raw, &id); err != nil {
		return fmt.Errorf("state folder %s: %s can't be read (%w); if the folder is this node's, remove that file", dir, identityFile, err)
	}
	if id.Format > Format {
		return fmt.Errorf("state folder %s has format %d of a newer version, and this one reads %d; start the newer version", dir, id.Format, Format)
	}
	if id.Node != node {
		return fmt.Errorf("state folder %s belongs to node %q, not to %q; give each node a folder of its own", dir, id.Node, node)
	}
	return nil
}

// Mark makes the folder the node's, after Check.
func Mark(dir, node string) error {
	raw, err := json.Marshal(identity{Format, node})
	if err != nil {
		return fmt.Errorf("state folder: %w", err)
	}
	path := filepath.Join(dir, identityFile)
	if old, err := os.ReadFile(path); err == nil && string(old) == string(raw) {
		return nil
	}
	if err := atomicfile.Replace(path, raw); err != nil {
		return fmt.Errorf("state folder: %w", err)
	}
	return nil
}
