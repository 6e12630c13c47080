package store

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/register"
	"rowanlink/serving/state"
)

func newState(revision uint64) register.AcceptorState {
	ballot := register.Ballot{Number: revision + 10, Proposer: "p"}
	record := state.Record{
		Revision: revision,
		Configuration: state.Configuration{
			Version:  revision,
			Document: bytes.Repeat([]byte{byte(revision)}, 20_000),
		},
	}
	return register.AcceptorState{
		ReplicaID: "r",
		Promised:  ballot,
		Accepted:  ballot,
		Proposal:  register.Proposal{Record: record},
	}
}

func openStore(t *testing.T, directory string) *Store {
	t.Helper()
	log := zerolog.Nop()
	opened := Open(directory, &log)
	t.Cleanup(opened.Close)
	return opened
}

// copyAndOpen copies the files of an open store, as a kill or a power failure would leave them, and opens the copy.
func copyAndOpen(t *testing.T, directory string) *Store {
	t.Helper()
	copied := t.TempDir()
	require.NoError(t, os.CopyFS(copied, os.DirFS(directory)))
	return openStore(t, copied)
}

func load(t *testing.T, s *Store) (register.AcceptorState, bool) {
	t.Helper()
	saved, found, err := s.Load()
	require.NoError(t, err)
	return saved, found
}

func TestStore_NewIsEmpty(t *testing.T) {
	_, found := load(t, openStore(t, t.TempDir()))
	assert.False(t, found)
}

func TestStore_StateSurvivesRestart(t *testing.T) {
	directory := t.TempDir()
	first := openStore(t, directory)
	for revision := range uint64(200) {
		require.NoError(t, first.Save(newState(revision)))
	}
	promised := newState(199)
	promised.Promised = register.Ballot{Number: 1 << 40, Proposer: "q"}
	require.NoError(t, first.Save(promised))
	second := copyAndOpen(t, directory)
	saved, found := load(t, second)
	assert.True(t, found)
	assert.Equal(t, promised, saved)
}

func TestStore_NewReplicaReplacesFormer(t *testing.T) {
	s := openStore(t, t.TempDir())
	require.NoError(t, s.Save(newState(3)))
	require.NoError(t, s.Save(register.AcceptorState{ReplicaID: "new"}))
	saved, found := load(t, s)
	assert.True(t, found)
	assert.Equal(t, register.AcceptorState{ReplicaID: "new"}, saved)
}

func TestStore_FileSizesAreBounded(t *testing.T) {
	directory := t.TempDir()
	s := openStore(t, directory)
	for revision := range uint64(500) {
		require.NoError(t, s.Save(newState(revision)))
	}
	var total int64
	entries, err := os.ReadDir(directory)
	require.NoError(t, err)
	for _, entry := range entries {
		info, err := entry.Info()
		require.NoError(t, err)
		total += info.Size()
	}
	assert.Less(t, total, int64(4<<20))
	_, err = os.Stat(filepath.Join(directory, replicaFileName+"-shm"))
	assert.ErrorIs(t, err, os.ErrNotExist, "no shared memory")
}

// TestStore_TruncatedFileIsReadOrLost truncates the file at many positions. Load must return a state that was saved, or
// report that the state is lost. Saving must work afterwards.
func TestStore_TruncatedFileIsReadOrLost(t *testing.T) {
	directory := t.TempDir()
	s := openStore(t, directory)
	for revision := range uint64(120) { // more than one checkpoint of the log
		require.NoError(t, s.Save(newState(revision)))
	}
	content, err := os.ReadFile(filepath.Join(directory, replicaFileName))
	require.NoError(t, err)
	for cut := 0; cut < len(content); cut += 1500 {
		second, copied := copyTruncatedAndOpen(t, directory, cut)
		saved, found, err := second.Load()
		if !errors.Is(err, register.ErrStateLost) {
			require.NoError(t, err, "cut at %d", cut)
		}
		if found {
			assert.Equal(t, newState(saved.Proposal.Record.Revision), saved, "cut at %d", cut)
		}
		require.NoError(t, second.Save(newState(7)), "cut at %d", cut)
		third := copyAndOpen(t, copied)
		saved, _ = load(t, third)
		assert.Equal(t, newState(7), saved)
		third.Close()
		second.Close()
	}
}

func copyTruncatedAndOpen(t *testing.T, directory string, size int) (*Store, string) {
	t.Helper()
	copied := t.TempDir()
	require.NoError(t, os.CopyFS(copied, os.DirFS(directory)))
	require.NoError(t, os.Truncate(filepath.Join(copied, replicaFileName), int64(size)))
	return openStore(t, copied), copied
}

// TestStore_TornLogKeepsEarlierSaves checks that only the last save is lost if its part of the log is incomplete.
func TestStore_TornLogKeepsEarlierSaves(t *testing.T) {
	directory := t.TempDir()
	s := openStore(t, directory)
	require.NoError(t, s.Save(newState(1)))
	log := filepath.Join(directory, replicaFileName+logSuffix)
	before, err := os.Stat(log)
	require.NoError(t, err)
	require.NoError(t, s.Save(newState(2)))
	copied := t.TempDir()
	require.NoError(t, os.CopyFS(copied, os.DirFS(directory)))
	require.NoError(t, os.Truncate(filepath.Join(copied, replicaFileName+logSuffix), before.Size()+5000))
	saved, found := load(t, openStore(t, copied))
	assert.True(t, found)
	assert.Equal(t, newState(1), saved)
}

func TestStore_InvalidFileIsQuarantined(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, replicaFileName)
	require.NoError(t, os.WriteFile(path, bytes.Repeat([]byte("noise"), 4000), 0o600))
	s := openStore(t, directory)
	_, _, err := s.Load()
	assert.ErrorIs(t, err, register.ErrStateLost)
	_, found := load(t, s)
	assert.False(t, found)
	assert.FileExists(t, path+quarantineSuffix)
	require.NoError(t, s.Save(newState(1)))
}

func TestStore_FailingDiskIsNoCorruption(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "missing")
	s := openStore(t, directory)
	_, _, err := s.Load()
	assert.Error(t, err)
	assert.Error(t, s.Save(newState(1)))
	require.NoError(t, os.Mkdir(directory, 0o700))
	require.NoError(t, s.Save(newState(1)), "saves once the directory exists")
}

func TestStore_ClosedReturnsErrors(t *testing.T) {
	s := openStore(t, t.TempDir())
	s.Close()
	_, _, err := s.Load()
	assert.Error(t, err)
}
