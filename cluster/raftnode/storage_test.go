package raftnode

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster/lease"
)

func TestOpen_UnreadableFolderReturnsOneLineError(t *testing.T) {
	overwrite := func(t *testing.T, path, text string) {
		t.Helper()
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	for name, damage := range map[string]func(t *testing.T, folder string){
		"snapshot": func(t *testing.T, folder string) {
			snapshots, err := filepath.Glob(filepath.Join(folder, "snapshots", "*", "state.bin"))
			require.NoError(t, err)
			require.NotEmpty(t, snapshots)
			for _, path := range snapshots {
				overwrite(t, path, "of a newer version")
			}
		},
		"log": func(t *testing.T, folder string) { overwrite(t, filepath.Join(folder, logFile), "none") },
		"missing name": func(t *testing.T, folder string) {
			require.NoError(t, os.Remove(filepath.Join(folder, nameFile)))
		},
		"empty name": func(t *testing.T, folder string) { overwrite(t, filepath.Join(folder, nameFile), "") },
	} {
		t.Run(name, func(t *testing.T) {
			stateDir := t.TempDir()
			n := startLeader(t, stateDir)
			n.apply(t, newLogEntry(lease.OpenSession("a", 7)))
			require.NoError(t, n.Close())
			damage(t, filepath.Join(stateDir, stateFolder))
			_, err := Open(singleNode(t, stateDir))
			require.Error(t, err)
			require.NotContains(t, strings.TrimSpace(err.Error()), "\n")
		})
	}
}
