//go:build !cgo

package store

import "github.com/cockroachdb/errors"

// isCorruption reports whether an error means that the content of the file is unusable. Without cgo, SQLite opens no
// file; this variant is for analysis on machines of another architecture.
func isCorruption(err error) bool { return errors.Is(err, errCorrupt) }
