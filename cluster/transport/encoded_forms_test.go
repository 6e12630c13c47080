package transport

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/internal/wireschema"
)

// TestEncodedForms guards the messages between members: no renamed Go field may change them.
func TestEncodedForms(t *testing.T) {
	golden, err := os.ReadFile("testdata/encoded_forms.golden")
	require.NoError(t, err)
	got := wireschema.Describe(wireschema.CBOR, SessionRequest{}, SessionResponse{}, ProposeResponse{}, StateRequest{},
		StateResponse{}, NotLeaderResponse{}, NodeIdentity{}, JoinRequest{})
	require.Equal(t, string(golden), got)
}
