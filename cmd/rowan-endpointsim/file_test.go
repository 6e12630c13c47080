package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/routing"
	"rowanlink/serving/settings"
)

const example = "../../examples/system"

func TestLoadFile_Example(t *testing.T) {
	read, err := loadFile(filepath.Join(example, "endpoints.toml"))
	require.NoError(t, err)
	all := read.endpoints()
	require.Len(t, all, 5)
	writer := all[0]
	assert.Equal(t, "writer", writer.Service)
	assert.Equal(t, 3*time.Second, writer.Warmup.Span)
	assert.Equal(t, 6*time.Millisecond, writer.Engine.DecodeStep)
	assert.Equal(t, read.Control, writer.Control)

	document, err := os.ReadFile(filepath.Join(example, read.Configuration))
	require.NoError(t, err)
	table, err := routing.Parse(document)
	require.NoError(t, err)
	for _, options := range all {
		service, known := table.Service(options.Service)
		assert.True(t, known, options.Service)
		assert.Equal(t, options.HealthPath, service.HealthPath)
	}
}

func TestExampleSettings_AreValid(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(example, "settings", "*.conf"))
	require.NoError(t, err)
	require.Len(t, files, 9)
	for _, file := range files {
		process, err := settings.Load(file)
		require.NoError(t, err, file)
		assert.Len(t, process.Seeds, 3, file)
	}
}

func TestLoadFile_UnknownFields(t *testing.T) {
	path := filepath.Join(t.TempDir(), "wrong.toml")
	require.NoError(t, os.WriteFile(path, []byte("[[service]]\nnome = \"x\"\n"), 0o600))
	_, err := loadFile(path)
	assert.ErrorContains(t, err, "wrong.toml")
	_, err = loadFile("absent")
	assert.Error(t, err)
}
