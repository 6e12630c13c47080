//go:build cgo

package store

import (
	"github.com/cockroachdb/errors"
	"github.com/mattn/go-sqlite3"
)

// isCorruption reports whether an error means that the content of the file is unusable. Other errors are those of a
// failing disk, which may be temporary.
func isCorruption(err error) bool {
	var failure sqlite3.Error
	if errors.As(err, &failure) {
		return failure.Code == sqlite3.ErrCorrupt ||
			failure.Code == sqlite3.ErrNotADB ||
			failure.Code == sqlite3.ErrFormat
	}
	return errors.Is(err, errCorrupt)
}
