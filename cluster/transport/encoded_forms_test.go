package transport

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms checks that the encoding of the messages between members does not change, such as by a renamed field.
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
