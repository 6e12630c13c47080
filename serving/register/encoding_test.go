package register

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms compares the encoded form of all messages between replicas with a golden file: replicas of different
// releases exchange them, and proposals are stored on disk.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR,
		PrepareRequest{},
		AcceptRequest{},
		QueryRequest{},
		Vote{},
		DescribeRequest{},
		Description{},
	)
}
