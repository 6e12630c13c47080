package settings

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/errcode"
)

// FuzzSettings: a file is refused with a numbered error, or what is read of it is within its bounds and the same at
// each reading.
func FuzzSettings(f *testing.F) {
	f.Add([]byte("node_name=n\nip_addr=127.0.0.1\nzone=z\nregion=r\nport_range=7160,7199\nseed_nodes=127.0.0.2:7146\n" +
		"zones.z=r\nlimits.cpu_fraction=0.4\nbeat_ms=500\nlimits.ram_mb=1e3\n"))
	f.Add([]byte("node_name=${node_name}\nip_addr=::1\nzone=z\nregion:r\nport_range=1,65535\nbeat_ms=1e15\n"))
	f.Add([]byte("node_name = a\\\n b\nip_addr=1.2.3.4\nzone=z\nregion=r\nport_range= 1 , 2 \nfirst_run=TRUE\nlimits.file_limit=1.0\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		read, err := Parse(content)
		if err != nil {
			assert.True(t, errcode.SettingsInvalid.Is(err) || errcode.SettingsUnreadable.Is(err), "%v", err)
			return
		}
		again, err := Parse(content)
		require.NoError(t, err)
		assert.Equal(t, read, again)
		assert.NotEmpty(t, read.NodeName)
		assert.NotEmpty(t, read.Zone)
		assert.NotEmpty(t, read.Regions[read.Zone])
		assert.Positive(t, read.FirstPort)
		assert.Greater(t, read.LastPort, read.FirstPort)
		assert.LessOrEqual(t, read.LastPort, 65535)
		assert.GreaterOrEqual(t, int64(read.HeartbeatInterval), int64(0))
		for _, number := range []int{read.Limits.MemoryMB, read.Limits.FileLimit, read.Limits.DiskMB,
			read.FaultTolerance.MachineLosses, read.FaultTolerance.Zones, read.FaultTolerance.Regions} {
			assert.GreaterOrEqual(t, number, 0)
		}
		for _, seed := range read.Seeds {
			_, err := read.InnerAddressOf(seed)
			assert.NoError(t, err)
		}
		assert.NotEmpty(t, read.InnerAddress())
	})
}
