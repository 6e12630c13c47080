package transport

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
)

// FuzzDecode checks that a decoded message survives another round of encoding and decoding.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(cluster.Command{Component: cluster.LeaseComponent, FencedBy: "t", Epoch: 3, Body: []byte("x")}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var command, again cluster.Command
		if Decode(raw, &command) == nil {
			require.NoError(t, Decode(Encode(command), &again))
			require.Equal(t, command.Epoch, again.Epoch)
		}
	})
}
