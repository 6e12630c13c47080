package store

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

func openEndpoints(t *testing.T, directory string) *EndpointStore {
	t.Helper()
	log := zerolog.Nop()
	opened := OpenEndpointStore(directory, &log)
	t.Cleanup(opened.Close)
	return opened
}

func newEndpoint(number int) state.Endpoint {
	return state.Endpoint{
		ID:               fmt.Sprintf("i-%d", number),
		Service:          "s",
		Address:          "10.0.0.1:80",
		Sequence:         uint64(number),
		WarmupLeftMillis: 100,
		Models:           []state.Model{{Name: "m", Adapters: []string{"x"}}},
	}
}

func loadEndpoints(t *testing.T, store *EndpointStore) (ids []string) {
	t.Helper()
	list, err := store.Load()
	require.NoError(t, err)
	for _, endpoint := range list {
		ids = append(ids, endpoint.ID)
	}
	return ids
}

func TestEndpointStore_SurvivesRestart(t *testing.T) {
	directory := t.TempDir()
	first := openEndpoints(t, directory)
	require.NoError(t, first.Save(EndpointChanges{
		Snapshot: true,
		Changed:  []state.Endpoint{newEndpoint(1), newEndpoint(2)},
	}))
	require.NoError(t, first.Save(EndpointChanges{Changed: []state.Endpoint{newEndpoint(3)}, Removed: []string{"i-1"}}))
	copied := t.TempDir() // copied without closing, as a power failure would leave the files
	require.NoError(t, os.CopyFS(copied, os.DirFS(directory)))
	second := openEndpoints(t, copied)
	list, err := second.Load()
	require.NoError(t, err)
	assert.ElementsMatch(t, []state.Endpoint{newEndpoint(2), newEndpoint(3)}, list)
	require.NoError(t, second.Save(EndpointChanges{Snapshot: true}))
	assert.Empty(t, loadEndpoints(t, second))
}

// TestEndpointStore_TruncatedFileIsReadOrRemoved truncates the file at many positions and checks that loading and
// saving still work.
func TestEndpointStore_TruncatedFileIsReadOrRemoved(t *testing.T) {
	directory := t.TempDir()
	first := openEndpoints(t, directory)
	for number := range 200 { // more than one checkpoint of the log
		require.NoError(t, first.Save(EndpointChanges{Changed: []state.Endpoint{newEndpoint(number)}}))
	}
	path := filepath.Join(directory, endpointFileName)
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	for cut := 0; cut < len(content); cut += 1500 {
		copied := t.TempDir()
		require.NoError(t, os.CopyFS(copied, os.DirFS(directory)))
		require.NoError(t, os.Truncate(filepath.Join(copied, endpointFileName), int64(cut)))
		store := openEndpoints(t, copied)
		_, err := store.Load()
		require.NoError(t, err, "cut at %d", cut)
		require.NoError(t, store.Save(EndpointChanges{Snapshot: true, Changed: []state.Endpoint{newEndpoint(7)}}))
		assert.Equal(t, []string{"i-7"}, loadEndpoints(t, store), "cut at %d", cut)
		store.Close()
	}
}

func TestEndpointStore_InvalidFileIsRemoved(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, endpointFileName)
	require.NoError(t, os.WriteFile(path, bytes.Repeat([]byte("noise"), 4000), 0o600))
	store := openEndpoints(t, directory)
	assert.Empty(t, loadEndpoints(t, store))
	require.NoError(t, store.Save(EndpointChanges{Changed: []state.Endpoint{newEndpoint(1)}}))
	assert.Equal(t, []string{"i-1"}, loadEndpoints(t, store))
}

func TestEndpointStore_FailingDisk(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "missing")
	store := openEndpoints(t, directory)
	_, err := store.Load()
	assert.Error(t, err)
	assert.Error(t, store.Save(EndpointChanges{Snapshot: true}))
	require.NoError(t, os.Mkdir(directory, 0o700))
	require.NoError(t, store.Save(EndpointChanges{Snapshot: true, Changed: []state.Endpoint{newEndpoint(1)}}))
	store.Close()
	_, err = store.Load()
	assert.Error(t, err, "closed")
}

// TestEndpointFile_SyncsItsDirectoryAgainAfterAFailure checks that a save succeeds only once the directory was synced:
// until then a power failure could undo the creation of the file.
func TestEndpointFile_SyncsItsDirectoryAgainAfterAFailure(t *testing.T) {
	log := zerolog.Nop()
	file := &endpointFile{databaseFile: newDatabaseFile[*sqliteFile](t.TempDir(), &log)}
	t.Cleanup(file.closeForGood)
	failure := errors.New("disk full")
	synced := 0
	file.syncDirectory = func(string) error {
		synced++
		return failure
	}
	for range 2 {
		require.ErrorIs(t, file.save(EndpointChanges{Snapshot: true}), failure)
	}
	assert.Equal(t, 2, synced)
	failure = nil
	for range 2 {
		require.NoError(t, file.save(EndpointChanges{Snapshot: true}))
	}
	assert.Equal(t, 3, synced, "synced once while the file is open")
	file.close()
	require.NoError(t, file.save(EndpointChanges{Snapshot: true}))
	assert.Equal(t, 4, synced, "synced again after the file was reopened")
}
