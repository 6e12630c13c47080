package store

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/register"
	"rowanlink/serving/state"
)

// fuzzRevisions is the number of states that are saved to the files of FuzzStore_CorruptedFiles.
const fuzzRevisions = 5

// writeFuzzFiles returns the contents of a store's file and of its write-ahead log as a power failure would leave them.
func writeFuzzFiles(f *testing.F) (file, log []byte) {
	f.Helper()
	directory := f.TempDir()
	quiet := zerolog.Nop()
	opened := Open(directory, &quiet)
	defer opened.Close()
	for revision := range uint64(fuzzRevisions) {
		require.NoError(f, opened.Save(newSmallState(revision)))
	}
	file, err := os.ReadFile(filepath.Join(directory, replicaFileName))
	require.NoError(f, err)
	log, err = os.ReadFile(filepath.Join(directory, replicaFileName+logSuffix))
	require.NoError(f, err)
	return file, log
}

// newSmallState returns a state whose proposal fits into one page.
func newSmallState(revision uint64) register.AcceptorState {
	saved := newState(revision)
	saved.Proposal.Record = state.Record{Revision: revision}
	return saved
}

// FuzzStore_CorruptedFiles overwrites a part of the file or of its write-ahead log, or truncates it. Load must not
// return a state that was never saved. Nor must it report a new disk where a state was saved: the replica could then
// start as a genesis voter again and forget its votes.
func FuzzStore_CorruptedFiles(f *testing.F) {
	file, log := writeFuzzFiles(f)
	f.Add(true, uint32(24), []byte{0xff}, false)
	f.Add(true, uint32(4096+20), []byte{0, 0}, false)
	f.Add(false, uint32(100), []byte("torn"), true)
	f.Add(false, uint32(32), []byte{1}, false)
	f.Add(true, uint32(18), []byte{1, 1}, false)
	f.Fuzz(func(t *testing.T, inFile bool, position uint32, replacement []byte, truncate bool) {
		directory := t.TempDir()
		corruptFile, corruptLog := file, log
		if inFile {
			corruptFile = corrupt(file, position, replacement, truncate)
		} else {
			corruptLog = corrupt(log, position, replacement, truncate)
		}
		require.NoError(t, os.WriteFile(filepath.Join(directory, replicaFileName), corruptFile, 0o600))
		require.NoError(t, os.WriteFile(filepath.Join(directory, replicaFileName+logSuffix), corruptLog, 0o600))
		opened := openStore(t, directory)
		saved, found, err := opened.Load()
		switch {
		case err != nil:
		case found:
			assert.Less(t, saved.Accepted.Number, uint64(fuzzRevisions+10))
			assert.Equal(t, newSmallState(saved.Accepted.Number-10), saved)
		}
		if len(corruptLog) == len(log) && inFile {
			assert.False(t, err == nil && !found, "a file with saved states was taken for a new one")
		}
	})
}

// corrupt returns content that is overwritten or truncated at a position.
func corrupt(content []byte, position uint32, replacement []byte, truncate bool) []byte {
	if len(content) == 0 {
		return nil
	}
	at := int(position) % len(content)
	if truncate {
		return content[:at]
	}
	changed := append([]byte(nil), content...)
	copy(changed[at:], replacement)
	return changed
}
