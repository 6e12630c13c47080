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

func sample(revision uint64) register.AcceptorState {
	ballot := register.Ballot{Number: revision + 10, Proposer: "p"}
	record := state.Record{Revision: revision, Configuration: state.Configuration{Version: revision,
		Document: bytes.Repeat([]byte{byte(revision)}, 20_000)}}
	return register.AcceptorState{ReplicaID: "r", Promised: ballot, Accepted: ballot,
		Proposal: register.Proposal{Record: record}}
}

func open(t *testing.T, folder string) *Store {
	log := zerolog.Nop()
	opened := Open(folder, &log)
	t.Cleanup(opened.Close)
	return opened
}

// reopen copies the files as a kill or a loss of power would leave them, without closing the store, and opens them.
func reopen(t *testing.T, folder string) (*Store, string) {
	copied := t.TempDir()
	require.NoError(t, os.CopyFS(copied, os.DirFS(folder)))
	return open(t, copied), copied
}

func load(t *testing.T, s *Store) (register.AcceptorState, bool) {
	saved, found, err := s.Load()
	require.NoError(t, err)
	return saved, found
}

func TestNewStoreIsEmpty(t *testing.T) {
	_, found := load(t, open(t, t.TempDir()))
	assert.False(t, found)
}

func TestSavedStateOutlivesTheProcess(t *testing.T) {
	folder := t.TempDir()
	first := open(t, folder)
	for revision := range uint64(200) {
		require.NoError(t, first.Save(sample(revision)))
	}
	promised := sample(199)
	promised.Promised = register.Ballot{Number: 1 << 40, Proposer: "q"}
	require.NoError(t, first.Save(promised))
	second, _ := reopen(t, folder)
	saved, found := load(t, second)
	assert.True(t, found)
	assert.Equal(t, promised, saved)
}

func TestNewReplicaReplacesTheFormerOneWhole(t *testing.T) {
	s := open(t, t.TempDir())
	require.NoError(t, s.Save(sample(3)))
	require.NoError(t, s.Save(register.AcceptorState{ReplicaID: "new"}))
	saved, found := load(t, s)
	assert.True(t, found)
	assert.Equal(t, register.AcceptorState{ReplicaID: "new"}, saved)
}

func TestFilesStayBounded(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	for revision := range uint64(500) {
		require.NoError(t, s.Save(sample(revision)))
	}
	var total int64
	entries, err := os.ReadDir(folder)
	require.NoError(t, err)
	for _, entry := range entries {
		info, err := entry.Info()
		require.NoError(t, err)
		total += info.Size()
	}
	assert.Less(t, total, int64(4<<20))
	_, err = os.Stat(filepath.Join(folder, fileName+"-shm"))
	assert.ErrorIs(t, err, os.ErrNotExist, "no shared memory")
}

// A file cut at any place is either read as some state that was saved, or taken for lost; the store then works on.
func TestCutFileIsReadWholeOrTakenForLost(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	for revision := range uint64(120) { // beyond one write-back of the log
		require.NoError(t, s.Save(sample(revision)))
	}
	whole, err := os.ReadFile(filepath.Join(folder, fileName))
	require.NoError(t, err)
	for cut := 0; cut < len(whole); cut += 1500 {
		second, copied := reopenCut(t, folder, cut)
		saved, found, err := second.Load()
		if !errors.Is(err, register.ErrStateLost) {
			require.NoError(t, err, "cut at %d", cut)
		}
		if found {
			assert.Equal(t, sample(saved.Proposal.Record.Revision), saved, "cut at %d", cut)
		}
		require.NoError(t, second.Save(sample(7)), "cut at %d", cut)
		third, _ := reopen(t, copied)
		saved, _ = load(t, third)
		assert.Equal(t, sample(7), saved)
		third.Close()
		second.Close()
	}
}

func reopenCut(t *testing.T, folder string, size int) (*Store, string) {
	copied := t.TempDir()
	require.NoError(t, os.CopyFS(copied, os.DirFS(folder)))
	require.NoError(t, os.Truncate(filepath.Join(copied, fileName), int64(size)))
	return open(t, copied), copied
}

// A torn end of the log takes away only what was not synced; whole saves before it stay.
func TestTornLogKeepsEarlierSaves(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	require.NoError(t, s.Save(sample(1)))
	log := filepath.Join(folder, fileName+"-wal")
	before, err := os.Stat(log)
	require.NoError(t, err)
	require.NoError(t, s.Save(sample(2)))
	copied := t.TempDir()
	require.NoError(t, os.CopyFS(copied, os.DirFS(folder)))
	require.NoError(t, os.Truncate(filepath.Join(copied, fileName+"-wal"), before.Size()+5000))
	saved, found := load(t, open(t, copied))
	assert.True(t, found)
	assert.Equal(t, sample(1), saved)
}

func TestFileThatIsNoDatabaseIsMovedAside(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, fileName)
	require.NoError(t, os.WriteFile(path, bytes.Repeat([]byte("noise"), 4000), 0o600))
	s := open(t, folder)
	_, _, err := s.Load()
	assert.ErrorIs(t, err, register.ErrStateLost)
	_, found := load(t, s)
	assert.False(t, found)
	assert.FileExists(t, path+damagedSuffix)
	require.NoError(t, s.Save(sample(1)))
}

func TestRefusingDiskIsNoDamage(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "missing")
	s := open(t, folder)
	_, _, err := s.Load()
	assert.Error(t, err)
	assert.Error(t, s.Save(sample(1)))
	require.NoError(t, os.Mkdir(folder, 0o700))
	require.NoError(t, s.Save(sample(1)), "works once the disk does")
}

func TestClosedStoreAnswers(t *testing.T) {
	s := open(t, t.TempDir())
	s.Close()
	_, _, err := s.Load()
	assert.Error(t, err)
}
