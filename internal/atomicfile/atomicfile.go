// Package atomicfile replaces files atomically.
package atomicfile

import (
	"errors"
	"os"
)

// Replace writes data to a new file that replaces the one at path. If the process is killed, path holds either the old
// or the new contents.
func Replace(path string, data []byte) error {
	tmpPath := path + ".new"
	if err := os.WriteFile(tmpPath, data, 0o600); err != nil {
		return errors.Join(err, os.Remove(tmpPath))
	}
	return os.Rename(tmpPath, path)
}
