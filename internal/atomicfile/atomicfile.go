// Package atomicfile replaces files as a whole.
package atomicfile

import (
	"errors"
	"os"
)

// Replace puts a file in the place of another: a kill leaves the old one or the new one.
func Replace(path string, data []byte) error {
	tmpPath := path + ".new"
	if err := os.WriteFile(tmpPath, data, 0o600); err != nil {
		return errors.Join(err, os.Remove(tmpPath))
	}
	return os.Rename(tmpPath, path)
}
