// Package statedir records which node a state folder belongs to, so that no node takes another node's messages
// for its own.
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
	// Format is the version of the format of all files in the folder. It is raised when older builds cannot
	// read what a newer build writes.
	Format           = 1
	maxIdentityBytes = 4 << 10
)

// identity is the content of the file that marks the folder.
type identity struct {
	Format int    `json:"format"`
	Node   string `json:"node"`
}

// Check returns an error unless a node of this name may use the folder. It changes nothing. Any node may use a
// folder without a mark, as builds left it that did not write marks yet.
func Check(dir, node string) error {
	info, err := os.Stat(dir)
	switch {
	case dir == "":
		return errors.New("no state folder is configured: set state, or ROUTER_STATE")
	case errors.Is(err, os.ErrNotExist):
		return fmt.Errorf("state folder %s does not exist; create it, or correct state in the configuration", dir)
	case err != nil:
		return fmt.Errorf("state folder: %w", err)
	case !info.IsDir():
		return fmt.Errorf("state folder %s is not a directory", dir)
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
		return fmt.Errorf("state folder %s: %s is malformed (%w); if the folder belongs to this node, remove that file", dir, identityFile, err)
	}
	if id.Format > Format {
		return fmt.Errorf("state folder %s has format %d of a newer version, and this version reads up to %d; start the newer version", dir, id.Format, Format)
	}
	if id.Node != node {
		return fmt.Errorf("state folder %s belongs to node %q, not to %q; give each node a folder of its own", dir, id.Node, node)
	}
	return nil
}

// Mark records that the folder belongs to the node. Check must have succeeded before.
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
