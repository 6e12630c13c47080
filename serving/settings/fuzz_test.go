package settings

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/errcode"
)

// FuzzSettings: any content is rejected with a numbered error, or its settings are within their ranges and are the same
// if it is parsed again.
func FuzzSettings(f *testing.F) {
	f.Add([]byte("node_name=n\nip_addr=127.0.0.1\nzone=z\nregion=r\nport_range=7160,7199\nseed_nodes=127.0.0.2:7146\n" +
		"zones.z=r\nlimits.cpu_fraction=0.4\nbeat_ms=500\nlimits.ram_mb=1e3\n"))
	f.Add([]byte("node_name=${node_name}\nip_addr=::1\nzone=z\nregion:r\nport_range=1,65535\nbeat_ms=1e15\n"))
	f.Add([]byte("node_name = a\\\n b\nip_addr=1.2.3.4\nzone=z\nregion=r\nport_range= 1 , 2 \nfirst_run=TRUE\nlimits.file_limit=1.0\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		parsed, err := Parse(content)
		if err != nil {
			assert.True(t, errcode.SettingsInvalid.Is(err) || errcode.SettingsUnreadable.Is(err), "%v", err)
			return
		}
		reparsed, err := Parse(content)
		require.NoError(t, err)
		assert.Equal(t, parsed, reparsed)
		assert.NotEmpty(t, parsed.NodeName)
		assert.NotEmpty(t, parsed.Zone)
		assert.NotEmpty(t, parsed.Regions[parsed.Zone])
		assert.Positive(t, parsed.FirstPort)
		assert.Greater(t, parsed.LastPort, parsed.FirstPort)
		assert.LessOrEqual(t, parsed.LastPort, 65535)
		assert.GreaterOrEqual(t, int64(parsed.HeartbeatInterval), int64(0))
		for _, number := range []int{parsed.Limits.MemoryMB, parsed.Limits.FileLimit, parsed.Limits.DiskMB,
			parsed.FaultTolerance.MachineLosses, parsed.FaultTolerance.Zones, parsed.FaultTolerance.Regions} {
			assert.GreaterOrEqual(t, number, 0)
		}
		for _, seed := range parsed.Seeds {
			_, err := parsed.InternalAddressOf(seed)
			assert.NoError(t, err)
		}
		assert.NotEmpty(t, parsed.InternalAddress())
	})
}
