package transport

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms guards the messages between members: no renamed Go field may change them.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR,
		SessionRequest{},
		SessionResponse{},
		ProposeResponse{},
		StateRequest{},
		StateResponse{},
		NotLeaderResponse{},
		NodeIdentity{},
		JoinRequest{},
	)
}
