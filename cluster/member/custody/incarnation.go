package custody

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io/fs"
	"os"
)

const (
	incarnationFile  = "life"
	incarnationBytes = 8
)

// readIncarnation returns the random number that identifies a custody directory. It reads the number from the file at a
// path, and creates the file with a new number if it is missing or damaged.
func readIncarnation(path string) (uint64, error) {
	raw, err := os.ReadFile(path)
	if err == nil && len(raw) == incarnationBytes {
		return binary.LittleEndian.Uint64(raw), nil
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return 0, err
	}
	raw = make([]byte, incarnationBytes)
	_, _ = rand.Read(raw) // never fails
	raw[0] |= 1           // 0 means that the incarnation is not known
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return 0, err
	}
	return binary.LittleEndian.Uint64(raw), os.Rename(path+".new", path)
}
