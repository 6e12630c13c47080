package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/errcode"
)

// TestParse compares the parsed settings, or all errors in the file, with the expected ones in testdata/parse.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		process, err := Parse([]byte(d.Input))
		if err != nil {
			return strings.ReplaceAll(err.Error(), "; ", "\n") + "\n"
		}
		return fmt.Sprintf("%+v\n", *process)
	})
}

func TestLoad_ErrorsNameTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "absent.conf")
	_, err := Load(path)
	assert.True(t, errcode.SettingsUnreadable.Is(err))
	assert.ErrorContains(t, err, path)

	t.Setenv(EnvironmentVariable, "")
	_, err = FromEnvironment()
	assert.ErrorContains(t, err, EnvironmentVariable)

	require.NoError(t, os.WriteFile(path, []byte(minimalSettings), 0o600))
	t.Setenv(EnvironmentVariable, path)
	process, err := FromEnvironment()
	require.NoError(t, err)
	assert.Equal(t, "10.0.0.1:7000", process.InternalAddress())
	assert.Equal(t, "127.0.0.1:7001", process.SubscriptionAddress())
	internal, err := process.InternalAddressOf("10.0.0.9:99")
	require.NoError(t, err)
	assert.Equal(t, "10.0.0.9:7000", internal)
}

// minimalSettings holds only the required settings.
const minimalSettings = "node_name=n\nip_addr=10.0.0.1\nzone=z\nregion=r\nport_range=7000,7001\n"

// TestSubscriptionAddress_MachinesOnOneHost: with one loopback address for all, the agents of simulated machines on one
// host would listen on the same port.
func TestSubscriptionAddress_MachinesOnOneHost(t *testing.T) {
	process, err := Parse([]byte("node_name=n\nip_addr=127.0.1.5\nzone=z\nregion=r\nport_range=7000,7001\n"))
	require.NoError(t, err)
	assert.Equal(t, "127.0.1.5:7001", process.SubscriptionAddress())
}

func TestParse_FractionalDurations(t *testing.T) {
	process, err := Parse([]byte(minimalSettings + "bounds.grace_s=2.5\nbounds.drain_ms=0.25\n"))
	require.NoError(t, err)
	assert.Equal(t, 2500*time.Millisecond, process.Bounds.Grace)
	assert.Equal(t, 250*time.Microsecond, process.Bounds.Drain)
}

// TestParse_UnexplainedBoundIsKept: bounds.again_s is accepted with any value, and SettingsWithoutEffect lists it
// unless the value is empty or zero.
func TestParse_UnexplainedBoundIsKept(t *testing.T) {
	for value, hasNoEffect := range map[string]bool{"": false, "0": false, "0.0": false, "3": true, "true": true} {
		process, err := Parse([]byte(minimalSettings + "bounds.again_s=" + value + "\n"))
		require.NoError(t, err, value)
		assert.Equal(t, value, process.Bounds.Again)
		assert.Equal(t, hasNoEffect, len(process.SettingsWithoutEffect()) == 1, "%q", value)
	}
}

// TestParse_AnyInput: any input results in settings or a numbered error, and never a panic.
func TestParse_AnyInput(t *testing.T) {
	var keys []string
	for _, setting := range Table() {
		keys = append(keys, setting.Key)
	}
	rapid.Check(t, func(t *rapid.T) {
		content := minimalSettings
		for range rapid.IntRange(0, 5).Draw(t, "lines") {
			value := rapid.OneOf(rapid.String(), rapid.StringMatching(`[-+.,:0-9eEnaif]{0,12}`)).Draw(t, "value")
			content += rapid.SampledFrom(keys).Draw(t, "key") + "=" + value + "\n"
		}
		process, err := Parse([]byte(content))
		if err != nil {
			assert.True(t, errcode.SettingsInvalid.Is(err) || errcode.SettingsUnreadable.Is(err))
			return
		}
		assert.GreaterOrEqual(t, process.LastPort, process.FirstPort+1)
		assert.GreaterOrEqual(t, process.Bounds.Grace, time.Duration(0))
	})
}

func TestTable_KeysAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, setting := range Table() {
		assert.False(t, seen[setting.Key], setting.Key)
		seen[setting.Key] = true
		assert.NotEmpty(t, setting.Doc, setting.Key)
		if setting.Default != "" {
			process := &Process{Regions: map[string]string{}}
			assert.NoError(t, setting.store(process, "", setting.Default), setting.Key)
		}
	}
}
