package store

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

func openEndpoints(t *testing.T, folder string) *EndpointStore {
	log := zerolog.Nop()
	opened := OpenEndpointStore(folder, &log)
	t.Cleanup(opened.Close)
	return opened
}

func endpoint(number int) state.Endpoint {
	return state.Endpoint{ID: fmt.Sprintf("i-%d", number), Service: "s", Address: "10.0.0.1:80", Sequence: uint64(number),
		WarmupLeftMillis: 100, Models: []state.Model{{Name: "m", Adapters: []string{"x"}}}}
}

func loadEndpoints(t *testing.T, kept *EndpointStore) (ids []string) {
	list, err := kept.Load()
	require.NoError(t, err)
	for _, endpoint := range list {
		ids = append(ids, endpoint.ID)
	}
	return ids
}

func TestSavedEndpointsOutliveTheProcess(t *testing.T) {
	folder := t.TempDir()
	first := openEndpoints(t, folder)
	require.NoError(t, first.Save(EndpointChanges{Snapshot: true, Changed: []state.Endpoint{endpoint(1), endpoint(2)}}))
	require.NoError(t, first.Save(EndpointChanges{Changed: []state.Endpoint{endpoint(3)}, Removed: []string{"i-1"}}))
	copied := t.TempDir() // as a loss of power leaves the files
	require.NoError(t, os.CopyFS(copied, os.DirFS(folder)))
	second := openEndpoints(t, copied)
	list, err := second.Load()
	require.NoError(t, err)
	assert.ElementsMatch(t, []state.Endpoint{endpoint(2), endpoint(3)}, list)
	require.NoError(t, second.Save(EndpointChanges{Snapshot: true}))
	assert.Empty(t, loadEndpoints(t, second))
}

// TestCutEndpointsAreReadOrRemoved cuts the file at each of many places. What is read was saved, and saving goes on.
func TestCutEndpointsAreReadOrRemoved(t *testing.T) {
	folder := t.TempDir()
	first := openEndpoints(t, folder)
	for number := range 200 { // beyond one write-back of the log
		require.NoError(t, first.Save(EndpointChanges{Changed: []state.Endpoint{endpoint(number)}}))
	}
	path := filepath.Join(folder, endpointsFile)
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	for cut := 0; cut < len(whole); cut += 1500 {
		copied := t.TempDir()
		require.NoError(t, os.CopyFS(copied, os.DirFS(folder)))
		require.NoError(t, os.Truncate(filepath.Join(copied, endpointsFile), int64(cut)))
		kept := openEndpoints(t, copied)
		_, err := kept.Load()
		require.NoError(t, err, "cut at %d", cut)
		require.NoError(t, kept.Save(EndpointChanges{Snapshot: true, Changed: []state.Endpoint{endpoint(7)}}))
		assert.Equal(t, []string{"i-7"}, loadEndpoints(t, kept), "cut at %d", cut)
		kept.Close()
	}
}

func TestEndpointFileThatIsNoDatabaseIsRemoved(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, endpointsFile), bytes.Repeat([]byte("noise"), 4000), 0o600))
	kept := openEndpoints(t, folder)
	assert.Empty(t, loadEndpoints(t, kept))
	require.NoError(t, kept.Save(EndpointChanges{Changed: []state.Endpoint{endpoint(1)}}))
	assert.Equal(t, []string{"i-1"}, loadEndpoints(t, kept))
}

func TestEndpointsOnARefusingDisk(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "missing")
	kept := openEndpoints(t, folder)
	_, err := kept.Load()
	assert.Error(t, err)
	assert.Error(t, kept.Save(EndpointChanges{Snapshot: true}))
	require.NoError(t, os.Mkdir(folder, 0o700))
	require.NoError(t, kept.Save(EndpointChanges{Snapshot: true, Changed: []state.Endpoint{endpoint(1)}}))
	kept.Close()
	_, err = kept.Load()
	assert.Error(t, err, "closed")
}
